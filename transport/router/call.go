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
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/transport/acceptor"
)

// callerRequest is one request of a caller with what routing has decided about it.
type callerRequest struct {
	id         string
	receivedAt clocker.Instant
	timeout    time.Duration
	method     string
	uri        string
	host       string
	path       string
	options    interpreter.RequestOptions
	headers    []*messenger.Header
	// body is the whole body if bodyStream is nil.
	body []byte
	// bodyStream reads a body that is too long to be buffered. It can be read only once.
	bodyStream *acceptor.Stream
	// bodyLength is in bytes, -1 if the caller did not send it.
	bodyLength int64
	// catalog is the configuration that the request is handled by.
	catalog   cataloger.Catalog
	route     cataloger.Route
	routeHash uint64
	// customer sent the request. It has no name if the request needs no key.
	customer   cataloger.Customer
	service    cataloger.Service
	policy     cataloger.Policy
	idempotent bool
	// nested is set if the backend server of this VM may have sent the request
	// while it handled another one. parentRetryProbability is the probability, from
	// 0 to 1, that the request that it handled was a retry.
	nested                 bool
	parentRetryProbability float64
	// drawn is set once nested, parentRetryProbability and splitPoint are. A request whose
	// checks are repeated keeps them: the estimate of nested calls counts it once.
	drawn bool
	// splitPoint, in [0, 1), chooses the service among those of the route.
	splitPoint  float64
	key         string
	keyIssuedMs int64
	// boundKey is set if key was issued by the system and is bound to one guard.
	boundKey   claimer.BoundKey
	callerHash uint64
	// remoteIP is the caller's IP address.
	remoteIP string
	// reserveAnswer asks for memory for an answer in bytes.
	reserveAnswer func(bytes int64) bool
	// attempts counts the attempts sent to guards, refused ones included.
	attempts int
	// arrivals counts the attempts that may have reached a backend server.
	arrivals int
	// unanswered is the time spent on attempts to which no guard responded.
	unanswered time.Duration
	// retryAfter is the shortest time until a slot that a guard named, 0 if none did.
	retryAfter time.Duration
	// funded is set while a guard has paid for the next attempt that reaches a server.
	funded bool
}

// deadline returns the time at which the caller's timeout or the route's time limit
// expires, whichever is earlier.
func (c *callerRequest) deadline() clocker.Instant {
	return c.receivedAt.Add(c.timeout)
}

// rank returns the request's place in a guard's queue, 0 for the most urgent. Nested
// requests come first, since the request that waits for them occupies a slot at
// another server. The customer's priority goes before the route's.
func (c *callerRequest) rank() uint32 {
	if c.nested {
		return 0
	}
	customer, route := min(c.customer.Priority, cataloger.MaxPriority), min(c.route.Priority, cataloger.MaxPriority)
	return customer*(cataloger.MaxPriority+1) + route + 1
}

// maxQueueWait returns the total time that the request may wait for slots, 0 if only
// its deadline bounds the wait.
func (c *callerRequest) maxQueueWait() time.Duration {
	return searcher.MaxQueueWait(c.route.Objective, c.timeout, c.nested)
}

// queueWait returns the time that the request has waited for slots. Attempts without a
// response don't count: their servers are gone, which says nothing of slots elsewhere.
func (c *callerRequest) queueWait(now clocker.Instant) time.Duration {
	return now.Since(c.receivedAt) - c.unanswered
}

// maxArrivals returns how many attempts of the request may reach a backend server.
func (c *callerRequest) maxArrivals() int {
	if c.route.MaxAttempts > 0 {
		return c.route.MaxAttempts
	}
	return retrier.MaxAttempts
}

// parse reads the head of an HTTP request, or returns why it is refused.
func (r *Router) parse(incoming *acceptor.Request) (*callerRequest, *refusal) {
	header := incoming.Header
	request := &callerRequest{
		receivedAt: r.deps.Now(),
		method:     string(header.Method()),
		uri:        string(header.RequestURI()),
		body:       incoming.Body,
		bodyStream: incoming.Stream,
		bodyLength: incoming.Length,
		callerHash: hashOf(incoming.Remote),
		remoteIP:   incoming.Remote,

		reserveAnswer: incoming.ReserveAnswer,

		catalog: r.deps.Catalog(),
	}
	request.host, _, _ = strings.Cut(string(header.Host()), ":")
	request.path, _, _ = strings.Cut(request.uri, "?")
	options, err := r.deps.Callers.Read(header)
	request.options, request.id = options, options.ID
	if request.id == "" {
		request.id = strconv.FormatUint(r.deps.Random(), 16) + strconv.FormatUint(r.deps.Random(), 16)
	}
	if err != nil {
		return request, notRun(consts.StatusBadRequest, err.Error())
	}
	return request, nil
}

// resume returns a request that was checked at its head, with its body and the
// configuration now in force, since a body can take minutes to arrive.
func (r *Router) resume(request *callerRequest, incoming *acceptor.Request) *callerRequest {
	request.receivedAt = r.deps.Now()
	request.catalog = r.deps.Catalog()
	request.customer = cataloger.Customer{}
	request.body, request.bodyStream, request.bodyLength = incoming.Body, incoming.Stream, incoming.Length
	return request
}

// admit matches the route and checks the request against its limits.
func (r *Router) admit(request *callerRequest, header *protocol.RequestHeader) *refusal {
	if r.refusing.Load() {
		return notRun(consts.StatusServiceUnavailable, "Stopping")
	}
	if !r.deps.Ready() {
		return notRun(consts.StatusServiceUnavailable, "NoConfiguration")
	}
	route, ok := request.catalog.Match(request.host, request.path)
	if !ok {
		return notRun(consts.StatusNotFound, "UnknownRoute")
	}
	request.route = route
	request.routeHash = hashOf(route.Name)
	if !request.drawn {
		request.splitPoint = r.randomFraction()
	}
	refused := r.authenticate(request, header)
	request.drawn = true
	if refused != nil {
		return refused
	}
	request.service, _ = request.catalog.Service(route.Pick(request.splitPoint))
	request.policy, _ = request.catalog.Policy(request.service.Policy)
	if request.bodyLength > request.service.MaxBodyBytes {
		return notRun(consts.StatusRequestEntityTooLarge, "BodyTooLarge")
	}
	request.timeout = timeoutOf(request)
	request.idempotent = idempotent(request)
	if !r.finishesBeforeStop(request) {
		return notRun(consts.StatusServiceUnavailable, "StoppingBeforeItsEnd")
	}
	return r.validateKey(request)
}

// expectedDurationFraction is the fraction of a route's latency objective that its
// requests are expected to take at least. One process sees too few requests of a
// route to rely on its own measurements.
const expectedDurationFraction = 0.5

// finishesBeforeStop reports whether the request is expected to finish before a
// planned stop would cut it off. At another process it can run to its end.
func (r *Router) finishesBeforeStop(request *callerRequest) bool {
	expected := time.Duration(expectedDurationFraction * float64(request.route.Objective))
	if state := r.deps.ServiceTable.ServiceState(request.service.Name); state != nil {
		expected = max(expected, state.Latencies.Delay(request.routeHash))
	}
	return r.deps.FinishesBeforeStop(expected)
}

// randomFraction returns a random number in [0, 1).
func (r *Router) randomFraction() float64 {
	const mantissaBits = 53
	return float64(r.deps.Random()>>(64-mantissaBits)) / (1 << mantissaBits)
}

// timeoutOf returns the caller's own timeout or else the service's default, limited
// by the route's time limit.
func timeoutOf(request *callerRequest) time.Duration {
	timeout := request.options.Timeout
	if timeout == 0 {
		timeout = request.service.Deadline
	}
	if limit := request.route.TimeLimit; limit > 0 {
		timeout = min(timeout, limit)
	}
	return timeout
}

// idempotent reports whether the request may run more than once: as the caller declares
// it, else as the route is configured, else by its method. A request with a key
// counts as non-idempotent.
func idempotent(request *callerRequest) bool {
	switch {
	case request.options.Key != "":
		return false
	case request.options.Idempotent || request.options.NonIdempotent:
		return request.options.Idempotent
	case request.route.Idempotent || request.route.NonIdempotent:
		return request.route.Idempotent
	}
	switch request.method {
	case consts.MethodGet, consts.MethodHead, consts.MethodOptions, consts.MethodPut, consts.MethodDelete:
		return true
	}
	return false
}

func (r *Router) validateKey(request *callerRequest) *refusal {
	request.key = request.options.Key
	if request.key == "" {
		return nil
	}
	if len(request.key) > claimer.MaxKeyBytes {
		return notRun(consts.StatusBadRequest, claimer.ErrKeyTooLong.Error())
	}
	var err error
	if claimer.IsBound(request.key) {
		request.boundKey, err = claimer.ParseBound(request.key)
		request.keyIssuedMs = request.boundKey.IssuedMs
	} else {
		request.keyIssuedMs, err = claimer.KeyTime(request.key, request.options.KeyTime)
	}
	if err == nil {
		err = claimer.CheckAge(r.deps.Now().UnixMilli(), request.keyIssuedMs, r.deps.KeyLifetime)
	}
	if err != nil {
		return notRun(consts.StatusBadRequest, err.Error())
	}
	return nil
}

// forwardedHeaders returns the header fields to pass on to the backend server. With
// withoutKey they lack the caller's key.
func (r *Router) forwardedHeaders(
	incoming *acceptor.Request, header *protocol.RequestHeader, withoutKey bool,
) []*messenger.Header {
	connectionFields := connectionTokens(string(header.Peek(consts.HeaderConnection)))
	var headers []*messenger.Header
	header.VisitAll(func(name, value []byte) {
		lower := strings.ToLower(string(name))
		if hopByHop(lower) || connectionFields[lower] || r.deps.Callers.Strips(lower) || withoutKey && lower == "authorization" {
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

// hopByHop reports whether a header field, given in lower case, applies to one
// connection only.
func hopByHop(lower string) bool {
	switch lower {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
		"upgrade", "content-length", "expect":
		return true
	}
	return false
}

// serveKey answers with a new idempotency key, bound to one guard, for a later request.
func (r *Router) serveKey(request *callerRequest) *protocol.Response {
	_, query, _ := strings.Cut(request.uri, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return r.refuse(request, *notRun(consts.StatusBadRequest, "MalformedQuery"))
	}
	route, ok := r.deps.Catalog().Match(request.host, values.Get("Path"))
	if !ok {
		return r.refuse(request, *notRun(consts.StatusNotFound, "UnknownRoute"))
	}
	request.service, _ = r.deps.Catalog().Service(route.Pick(r.randomFraction()))
	entry, _ := r.pick(request, searcher.Constraints{})
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
