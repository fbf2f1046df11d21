package router

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/transport/acceptor"
)

// call is one request of a caller.
type call struct {
	id       string
	began    clocker.Instant
	patience time.Duration
	method   string
	uri      string
	host     string
	path     string
	marks    interpreter.RequestOptions
	headers  []*messenger.Header
	// body is the whole body if long is nil.
	body []byte
	// long reads a body too long to be kept. It can be read once.
	long *acceptor.Stream
	// length is that of the body in bytes, -1 if it was not told.
	length     int64
	route      cataloger.Route
	routeHash  uint64
	service    cataloger.Service
	policy     cataloger.Policy
	idempotent bool
	// called is set if the backend server of the VM may have called the request,
	// and derived is the likelihood that a repeated run did.
	called  bool
	derived float64
	key     string
	keyMs   int64
	// bound is set if key is a bound key.
	bound  claimer.BoundKey
	caller uint64
	// remote is the caller's IP number.
	remote string
	// attempts counts the guards that were asked.
	attempts int
	// arrivals counts the attempts that may have reached a backend server.
	arrivals int
}

// deadline is when the caller's patience or the route's time limit ends.
func (c *call) deadline() clocker.Instant {
	return c.began.Add(c.patience)
}

// rank is the urgency among the requests that wait for one server. Calls come
// first, since the run that waits for them holds a slot elsewhere.
func (c *call) rank() uint32 {
	if c.called {
		return 0
	}
	return c.route.Priority + 1
}

const (
	// holdShare is the part of its objective that a request may wait for a slot.
	// One that waits longer would be late, and so would all behind it.
	holdShare = 0.5
	// calledHoldShare is the part of its patience that a call may wait.
	calledHoldShare = 0.6
)

// hold is how long the request may wait for a slot in all, 0 for as long as its patience.
func (c *call) hold() time.Duration {
	switch {
	case c.route.Objective == 0:
		return 0
	case c.called:
		return time.Duration(calledHoldShare * float64(c.patience))
	default:
		return time.Duration(holdShare * float64(min(c.route.Objective, c.patience)))
	}
}

// maxArrivals bounds the backend servers that may run the request.
func (c *call) maxArrivals() int {
	if c.route.MaxAttempts > 0 {
		return c.route.MaxAttempts
	}
	return retrier.MaxAttempts
}

// read turns an HTTP request into a call, or tells why it is refused.
func (r *Router) read(incoming *acceptor.Request) (*call, *refusal) {
	header := incoming.Header
	request := &call{
		began:  r.deps.Now(),
		method: string(header.Method()),
		uri:    string(header.RequestURI()),
		body:   incoming.Body,
		long:   incoming.Stream,
		length: incoming.Length,
		caller: hashOf(incoming.Remote),
		remote: incoming.Remote,
	}
	request.host, _, _ = strings.Cut(string(header.Host()), ":")
	request.path, _, _ = strings.Cut(request.uri, "?")
	marks, err := r.deps.Callers.Read(header)
	request.marks, request.id = marks, marks.ID
	if request.id == "" {
		request.id = strconv.FormatUint(r.deps.Random(), 16) + strconv.FormatUint(r.deps.Random(), 16)
	}
	if err != nil {
		return request, notRun(consts.StatusBadRequest, err.Error())
	}
	request.headers = r.headersOf(incoming, header)
	return request, nil
}

// admit finds the route and checks the request against it.
func (r *Router) admit(request *call) *refusal {
	if r.refusing.Load() {
		return notRun(consts.StatusServiceUnavailable, "Stopping")
	}
	if !r.deps.Ready() {
		return notRun(consts.StatusServiceUnavailable, "NoConfiguration")
	}
	catalog := r.deps.Catalog()
	route, ok := catalog.Match(request.host, request.path)
	if !ok {
		return notRun(consts.StatusNotFound, "UnknownRoute")
	}
	request.route = route
	request.routeHash = hashOf(route.Name)
	request.called, request.derived = r.deps.NestedCall(request.routeHash)
	request.service, _ = catalog.Service(route.Pick(r.point()))
	request.policy, _ = catalog.Policy(request.service.Policy)
	if request.length > request.service.MaxBodyBytes {
		return notRun(consts.StatusRequestEntityTooLarge, "BodyTooLarge")
	}
	request.patience = patienceOf(request)
	request.idempotent = idempotent(request)
	if !r.fits(request) {
		return notRun(consts.StatusServiceUnavailable, "StoppingBeforeItsEnd")
	}
	return r.admitKey(request)
}

// longShare is the part of a route's objective that its requests are expected to
// take, as far as the router has not seen longer ones: one process sees few.
const longShare = 0.5

// fits tells whether a request of a route that mostly takes long would end
// before a planned stop cuts it off. Elsewhere it can run to its end.
func (r *Router) fits(request *call) bool {
	takes := time.Duration(longShare * float64(request.route.Objective))
	if lane := r.deps.ServiceTable.ServiceState(request.service.Name); lane != nil {
		takes = max(takes, lane.Latencies.Delay(request.routeHash))
	}
	return r.deps.FinishesBeforeStop(takes)
}

// point returns a random number between 0 and 1.
func (r *Router) point() float64 {
	const mantissaBits = 53
	return float64(r.deps.Random()>>(64-mantissaBits)) / (1 << mantissaBits)
}

// patienceOf is the caller's own deadline, else the service's, within the route's limit.
func patienceOf(request *call) time.Duration {
	patience := request.marks.Timeout
	if patience == 0 {
		patience = request.service.Deadline
	}
	if limit := request.route.TimeLimit; limit > 0 {
		patience = min(patience, limit)
	}
	return patience
}

// idempotent takes the caller's mark, else the route's, else that of the method.
func idempotent(request *call) bool {
	switch {
	case request.marks.Key != "":
		return false
	case request.marks.Idempotent || request.marks.NonIdempotent:
		return request.marks.Idempotent
	case request.route.Idempotent || request.route.NonIdempotent:
		return request.route.Idempotent
	}
	switch request.method {
	case consts.MethodGet, consts.MethodHead, consts.MethodOptions, consts.MethodPut, consts.MethodDelete:
		return true
	}
	return false
}

func (r *Router) admitKey(request *call) *refusal {
	request.key = request.marks.Key
	if request.key == "" {
		return nil
	}
	if len(request.key) > claimer.MaxKeyBytes {
		return notRun(consts.StatusBadRequest, claimer.ErrKeyTooLong.Error())
	}
	var err error
	if claimer.IsBound(request.key) {
		request.bound, err = claimer.ParseBound(request.key)
		request.keyMs = request.bound.IssuedMs
	} else {
		request.keyMs, err = claimer.KeyTime(request.key, request.marks.KeyTime)
	}
	if err == nil {
		err = claimer.CheckAge(r.deps.Now().UnixMilli(), request.keyMs, r.deps.KeyLifetime)
	}
	if err != nil {
		return notRun(consts.StatusBadRequest, err.Error())
	}
	return nil
}

// headersOf returns the fields that go on to the backend server.
func (r *Router) headersOf(incoming *acceptor.Request, header *protocol.RequestHeader) []*messenger.Header {
	named := connectionTokens(string(header.Peek(consts.HeaderConnection)))
	var headers []*messenger.Header
	header.VisitAll(func(name, value []byte) {
		lower := strings.ToLower(string(name))
		if hopByHop(lower) || named[lower] || r.deps.Callers.Strips(lower) {
			return
		}
		headers = append(headers, &messenger.Header{Name: string(name), Value: string(value)})
	})
	return append(headers, &messenger.Header{Name: "X-Forwarded-For", Value: incoming.Remote})
}

func connectionTokens(field string) map[string]bool {
	tokens := map[string]bool{}
	for _, token := range strings.Split(field, ",") {
		tokens[strings.ToLower(strings.TrimSpace(token))] = true
	}
	return tokens
}

// hopByHop tells whether a field concerns one connection only.
func hopByHop(lower string) bool {
	switch lower {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
		"upgrade", "content-length", "expect":
		return true
	}
	return false
}

// serveKey issues a bound key for a later request.
func (r *Router) serveKey(request *call) *protocol.Response {
	_, query, _ := strings.Cut(request.uri, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return r.refuse(request, *notRun(consts.StatusBadRequest, "MalformedQuery"))
	}
	route, ok := r.deps.Catalog().Match(request.host, values.Get("Path"))
	if !ok {
		return r.refuse(request, *notRun(consts.StatusNotFound, "UnknownRoute"))
	}
	request.service, _ = r.deps.Catalog().Service(route.Pick(r.point()))
	entry, _ := r.pick(request, wish{})
	if entry.Server == nil {
		return r.refuse(request, *notRun(consts.StatusServiceUnavailable, "NoBackendServer"))
	}
	key := claimer.BoundKey{
		Guard:    entry.Member.Incarnation,
		IssuedMs: r.deps.Now().UnixMilli(),
		Random:   r.deps.Random(),
	}
	r.deps.Log.Info("KeyIssued", "Service", request.service.Name, "Server", entry.Member.Address)
	response := &protocol.Response{}
	response.Header.SetContentType("text/plain; charset=utf-8")
	response.SetBodyString(key.String())
	return response
}
