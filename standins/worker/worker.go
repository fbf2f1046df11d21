// Package worker implements a stand-in backend server with injectable gray failures.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
)

// Paths and headers of the stand-in.
const (
	// PathFault accepts a Fault as JSON and applies it to later requests.
	PathFault = "/.standin/fault"
	// HeaderKey identifies the operation that a request belongs to.
	HeaderKey = "Standin-Key"
	// HeaderAnswerBytes requests a response body of that many bytes.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
)

// Mode selects how the server fails.
type Mode string

// Failure modes of a backend server.
const (
	// ModeHealthy injects no failure.
	ModeHealthy Mode = "Healthy"
	// ModeSlow multiplies service times by Fault.Factor.
	ModeSlow Mode = "Slow"
	// ModeErrors responds with status 500.
	ModeErrors Mode = "Errors"
	// ModeWrong responds with the key and request ID of another request, in a quarter of the service time.
	ModeWrong Mode = "Wrong"
	// ModeCutOff closes the connection after half of the response body.
	ModeCutOff Mode = "CutOff"
	// ModeHang sends no response before the deadline or maxHangTime.
	ModeHang Mode = "Hang"
)

// Fault describes the failure to inject.
type Fault struct {
	Mode Mode `json:"Mode"`
	// Factor multiplies service times in mode Slow.
	Factor float64 `json:"Factor"`
	// Share is the fraction of requests that fail in the other modes; 0 means all.
	Share float64 `json:"Share"`
	// PeriodMs, if set, alternates between the fault and health every PeriodMs milliseconds.
	PeriodMs int64 `json:"PeriodMs"`
}

// Options configures a Worker.
type Options struct {
	Name string
	// Slots is the number of requests processed concurrently; further requests wait.
	Slots int
	// Latency is the median service time.
	Latency time.Duration
	// Spread is the standard deviation of the natural logarithm of the service time.
	Spread float64
	// ColdTime is the period after the start in which service times are multiplied by ColdFactor.
	ColdTime   time.Duration
	ColdFactor float64
	// Journal is the path of a file that receives a line for each keyed request that starts to
	// run. An empty path writes no journal.
	Journal string
}

const (
	maxBodyBytes = 1 << 31
	// maxHangTime limits how long a request hangs or waits if it has no deadline.
	maxHangTime = 10 * time.Minute
	// disconnectCheckInterval is how often a running request checks for its deadline and for a
	// closed connection.
	disconnectCheckInterval = 10 * time.Millisecond
)

// Worker is the stand-in backend server. It is safe for concurrent use.
type Worker struct {
	options Options
	server  *server.Hertz
	slots   chan struct{}
	started time.Time

	mu         sync.Mutex
	fault      Fault
	faultSince time.Time
	journal    *os.File
}

type connKey struct{}

// New returns a server that listens on an IP:port once Run is called.
func New(address string, options Options) (*Worker, error) {
	w := &Worker{
		options: options,
		slots:   make(chan struct{}, options.Slots),
		started: time.Now(),
		fault:   Fault{Mode: ModeHealthy},
	}
	if options.Journal != "" {
		journal, err := os.OpenFile(options.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("opening the journal: %w", err)
		}
		w.journal = journal
	}
	w.server = server.New(
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
		server.WithOnAccept(func(conn net.Conn) context.Context {
			return context.WithValue(context.Background(), connKey{}, conn)
		}),
	)
	w.server.POST(PathFault, w.setFault)
	w.server.NoRoute(w.serve)
	return w, nil
}

// Run serves until the process ends.
func (w *Worker) Run() error {
	if err := w.server.Run(); err != nil {
		return fmt.Errorf("serving: %w", err)
	}
	return nil
}

func (w *Worker) setFault(_ context.Context, c *app.RequestContext) {
	var fault Fault
	if err := json.Unmarshal(c.Request.Body(), &fault); err != nil {
		c.String(consts.StatusBadRequest, "%v\n", err)
		return
	}
	w.mu.Lock()
	w.fault = fault
	w.faultSince = time.Now()
	w.mu.Unlock()
	c.SetStatusCode(consts.StatusNoContent)
}

// currentFault returns the fault to apply to one request, which depends on chance if Share is set.
func (w *Worker) currentFault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	fault := w.fault
	if fault.PeriodMs > 0 && time.Since(w.faultSince).Milliseconds()/fault.PeriodMs%2 == 1 {
		return Fault{Mode: ModeHealthy}
	}
	if fault.Mode != ModeSlow && fault.Share > 0 && rand.Float64() >= fault.Share {
		return Fault{Mode: ModeHealthy}
	}
	return fault
}

// serve handles one request: it reads the body, waits for a slot, simulates the work and responds.
func (w *Worker) serve(ctx context.Context, c *app.RequestContext) {
	sum := fnv.New64a()
	var length int64
	if body := c.RequestBodyStream(); body != nil {
		n, err := io.Copy(sum, body)
		if err != nil {
			c.String(consts.StatusBadRequest, "reading request body: %v\n", err)
			return
		}
		length = n
	}
	select {
	case w.slots <- struct{}{}:
	case <-time.After(untilDeadline(c)):
		c.String(consts.StatusServiceUnavailable, "deadline passed in the queue\n")
		return
	}
	defer func() { <-w.slots }()
	if untilDeadline(c) <= 0 {
		c.String(consts.StatusServiceUnavailable, "deadline passed\n")
		return
	}
	key := string(c.GetHeader(HeaderKey))
	w.writeJournal(key)
	fault := w.currentFault()
	if !w.simulateWork(ctx, c, fault) {
		return
	}
	w.answer(ctx, c, fault, key, length, sum.Sum64())
}

func untilDeadline(c *app.RequestContext) time.Duration {
	millis, err := strconv.ParseInt(string(c.GetHeader(answerer.HeaderServerDeadline)), 10, 64)
	if err != nil {
		return maxHangTime
	}
	return time.Until(time.UnixMilli(millis))
}

// writeJournal records the start of a request in the journal.
func (w *Worker) writeJournal(key string) {
	if w.journal == nil || key == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.journal, "%s %s %d\n", key, w.options.Name, time.Now().UnixMilli())
}

// simulateWork sleeps for the service time. It reports whether the work ended before the
// deadline passed and before the caller closed the connection.
func (w *Worker) simulateWork(ctx context.Context, c *app.RequestContext, fault Fault) bool {
	serviceTime := float64(w.options.Latency) * math.Exp(w.options.Spread*rand.NormFloat64())
	if time.Since(w.started) < w.options.ColdTime {
		serviceTime *= max(1, w.options.ColdFactor)
	}
	switch fault.Mode {
	case ModeSlow:
		serviceTime *= max(1, fault.Factor)
	case ModeHang:
		serviceTime = float64(maxHangTime)
	case ModeWrong:
		serviceTime /= 4
	}
	ends := time.Now().Add(time.Duration(serviceTime))
	for left := time.Until(ends); left > 0; left = time.Until(ends) {
		time.Sleep(min(left, disconnectCheckInterval))
		if untilDeadline(c) <= 0 || connectionClosed(ctx) {
			c.String(consts.StatusServiceUnavailable, "cancelled\n")
			return false
		}
	}
	return true
}

func (w *Worker) answer(ctx context.Context, c *app.RequestContext, fault Fault, key string, length int64, sum uint64) {
	c.Response.Header.Set(answerer.HeaderRequestID, string(c.GetHeader(answerer.HeaderRequestID)))
	c.Response.Header.Set(HeaderKey, key)
	switch fault.Mode {
	case ModeErrors:
		c.String(consts.StatusInternalServerError, "failed\n")
		return
	case ModeWrong:
		c.Response.Header.Set(answerer.HeaderRequestID, "other")
		c.Response.Header.Set(HeaderKey, "other")
		key = "other"
	}
	c.SetStatusCode(consts.StatusOK)
	keyReceived := len(c.GetHeader(consts.HeaderAuthorization)) > 0
	body := Body(key, w.options.Name, string(c.GetHeader(answerer.HeaderCustomer)), keyReceived, length, sum)
	if want, err := strconv.Atoi(string(c.GetHeader(HeaderAnswerBytes))); err == nil {
		body = Filler(key, want)
	}
	if fault.Mode == ModeCutOff {
		truncated := &truncatedBody{reader: bytes.NewReader(body[:len(body)/2]), ctx: ctx}
		c.Response.SetBodyStream(truncated, len(body))
		return
	}
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(body)
}

// Body returns the response to an operation whose request named a customer and had a body of the given length and
// checksum. keyReceived reports whether the request carried a customer's key, which servers must not receive.
func Body(key, name, customer string, keyReceived bool, length int64, sum uint64) []byte {
	return []byte(fmt.Sprintf(`{"Key":%q,"Server":%q,"Customer":%q,"KeyReceived":%t,"Bytes":%d,"Sum":%d}`,
		key, name, customer, keyReceived, length, sum))
}

// Filler returns a long body of pseudorandom bytes derived from the key, so that a body that belongs
// to another operation is detected.
func Filler(key string, length int) []byte {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	source := rand.New(rand.NewPCG(hash.Sum64(), 1))
	body := make([]byte, length)
	for i := range body {
		body[i] = byte(source.Uint32())
	}
	return body
}

var errTruncated = errors.New("response truncated by injected fault")

// truncatedBody is a response body that ends before its announced length.
type truncatedBody struct {
	reader *bytes.Reader
	ctx    context.Context
}

// Read returns the first half of the body and then closes the connection.
func (b *truncatedBody) Read(buffer []byte) (int, error) {
	if b.reader.Len() > 0 {
		return b.reader.Read(buffer)
	}
	if conn, ok := b.ctx.Value(connKey{}).(net.Conn); ok {
		_ = conn.Close()
	}
	return 0, errTruncated
}
