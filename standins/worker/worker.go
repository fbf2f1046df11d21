// Package worker is a small stand-in for a backend server whose gray failures
// can be switched on.
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
	PathFault = "/.standin/fault"
	// HeaderKey names the operation that a request stands for.
	HeaderKey = "Standin-Key"
	// HeaderAnswerBytes asks for an answer of that many bytes.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
)

// Mode is a way to fail.
type Mode string

// Modes of a backend server.
const (
	ModeHealthy Mode = "Healthy"
	ModeSlow    Mode = "Slow"
	ModeErrors  Mode = "Errors"
	ModeWrong   Mode = "Wrong"
	ModeCutOff  Mode = "CutOff"
	ModeHang    Mode = "Hang"
)

// Fault is how the server fails at the moment.
type Fault struct {
	Mode Mode `json:"Mode"`
	// Factor multiplies service times in mode Slow.
	Factor float64 `json:"Factor"`
	// Share is the share of requests concerned in the other modes; 0 means all.
	Share float64 `json:"Share"`
	// PeriodMs, if set, switches the fault on and off with that period.
	PeriodMs int64 `json:"PeriodMs"`
}

// Options set up a server.
type Options struct {
	Name string
	// Slots is the number of requests worked on at once; more wait.
	Slots int
	// Latency is the median service time.
	Latency time.Duration
	// Spread is the standard deviation of ln of service time.
	Spread float64
	// ColdTime is how long after its start the server is slow, by ColdFactor.
	ColdTime   time.Duration
	ColdFactor float64
	// Journal is a file that gets a line for each request that starts to run.
	Journal string
}

const (
	maxBodyBytes = 1 << 31
	// hangTime is how long a hanging request is held at most.
	hangTime = 10 * time.Minute
	// goneProbe is how often a running request looks whether its caller is still there.
	goneProbe = 10 * time.Millisecond
)

// Worker is the server. It is safe for concurrent use.
type Worker struct {
	options Options
	server  *server.Hertz
	slots   chan struct{}
	started time.Time

	mu      sync.Mutex
	fault   Fault
	since   time.Time
	journal *os.File
}

type connKey struct{}

// New returns a server that will listen on an IP:port.
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
	w.since = time.Now()
	w.mu.Unlock()
	c.SetStatusCode(consts.StatusNoContent)
}

// present returns the fault that applies to one request.
func (w *Worker) present() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	fault := w.fault
	if fault.PeriodMs > 0 && time.Since(w.since).Milliseconds()/fault.PeriodMs%2 == 1 {
		return Fault{Mode: ModeHealthy}
	}
	if fault.Mode != ModeSlow && fault.Share > 0 && rand.Float64() >= fault.Share {
		return Fault{Mode: ModeHealthy}
	}
	return fault
}

// serve runs one request: read it, take a slot, work, answer.
func (w *Worker) serve(ctx context.Context, c *app.RequestContext) {
	sum := fnv.New64a()
	var length int64
	if body := c.RequestBodyStream(); body != nil {
		n, err := io.Copy(sum, body)
		if err != nil {
			c.String(consts.StatusBadRequest, "half request: %v\n", err)
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
	w.note(key)
	fault := w.present()
	if !w.work(ctx, c, fault) {
		return
	}
	w.answer(ctx, c, fault, key, length, sum.Sum64())
}

func untilDeadline(c *app.RequestContext) time.Duration {
	millis, err := strconv.ParseInt(string(c.GetHeader(answerer.HeaderServerDeadline)), 10, 64)
	if err != nil {
		return hangTime
	}
	return time.Until(time.UnixMilli(millis))
}

// note writes the start of a request to the journal.
func (w *Worker) note(key string) {
	if w.journal == nil || key == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.journal, "%s %s %d\n", key, w.options.Name, time.Now().UnixMilli())
}

// work takes the service time and tells whether the caller is still there.
func (w *Worker) work(ctx context.Context, c *app.RequestContext, fault Fault) bool {
	took := float64(w.options.Latency) * math.Exp(w.options.Spread*rand.NormFloat64())
	if time.Since(w.started) < w.options.ColdTime {
		took *= max(1, w.options.ColdFactor)
	}
	switch fault.Mode {
	case ModeSlow:
		took *= max(1, fault.Factor)
	case ModeHang:
		took = float64(hangTime)
	case ModeWrong:
		took /= 4
	}
	ends := time.Now().Add(time.Duration(took))
	for left := time.Until(ends); left > 0; left = time.Until(ends) {
		time.Sleep(min(left, goneProbe))
		if untilDeadline(c) <= 0 || closed(ctx) {
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
	body := Body(key, w.options.Name, length, sum)
	if want, err := strconv.Atoi(string(c.GetHeader(HeaderAnswerBytes))); err == nil {
		body = Filler(key, want)
	}
	if fault.Mode == ModeCutOff {
		cut := &cutBody{reader: bytes.NewReader(body[:len(body)/2]), ctx: ctx}
		c.Response.SetBodyStream(cut, len(body))
		return
	}
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(body)
}

// Body is the answer to an operation whose request had the given length and checksum.
func Body(key, name string, length int64, sum uint64) []byte {
	return []byte(fmt.Sprintf(`{"Key":%q,"Server":%q,"Bytes":%d,"Sum":%d}`, key, name, length, sum))
}

// Filler is a long answer that only the given key has.
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

var errCut = errors.New("answer is cut off")

type cutBody struct {
	reader *bytes.Reader
	ctx    context.Context
}

// Read returns the first half and then breaks the connection.
func (b *cutBody) Read(buffer []byte) (int, error) {
	if b.reader.Len() > 0 {
		return b.reader.Read(buffer)
	}
	if conn, ok := b.ctx.Value(connKey{}).(net.Conn); ok {
		_ = conn.Close()
	}
	return 0, errCut
}
