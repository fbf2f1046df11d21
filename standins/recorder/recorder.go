// Package recorder is a small stand-in for the platform's append-only log, with
// faults that can be switched on.
package recorder

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/transport/appender"
)

// PathFault is where faults are switched.
const PathFault = "/.standin/fault"

const maxRecordBytes = 64 << 20

// Fault is what is wrong with the log at the moment.
type Fault struct {
	// Down makes the log drop every connection without an answer.
	Down bool `json:"Down"`
	// SlowMs delays every answer.
	SlowMs int `json:"SlowMs"`
	// LostReplyShare is the share of appends that take effect without a reply.
	LostReplyShare float64 `json:"LostReplyShare"`
}

// Options set the limits of the log.
type Options struct {
	// Retention is how long a record is kept.
	Retention time.Duration
	// AppendsPerSecond is the cap above which appends are refused.
	AppendsPerSecond int
}

type stream struct {
	earliest int64
	entries  []appender.Entry
	// grown is closed and replaced with each append.
	grown chan struct{}
}

// Recorder is the log. It is safe for concurrent use.
type Recorder struct {
	options Options
	server  *server.Hertz

	mu      sync.Mutex
	streams map[string]*stream
	fault   Fault
	// second and appends count the appends of the running second.
	second  int64
	appends int
	// total counts all appends.
	total int64
}

type connKey struct{}

// New returns a log that will listen on an IP:port.
func New(address string, options Options) *Recorder {
	r := &Recorder{options: options, streams: map[string]*stream{}}
	r.server = server.New(
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxRecordBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
		server.WithOnAccept(func(conn net.Conn) context.Context {
			return context.WithValue(context.Background(), connKey{}, conn)
		}),
	)
	r.server.POST("/streams/:Stream", r.append)
	r.server.GET("/streams/:Stream", r.read)
	r.server.POST(PathFault, r.setFault)
	return r
}

// Run serves until the process ends.
func (r *Recorder) Run() error {
	if err := r.server.Run(); err != nil {
		return fmt.Errorf("serving the log: %w", err)
	}
	return nil
}

// SetFault switches faults on or off.
func (r *Recorder) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

func (r *Recorder) setFault(_ context.Context, c *app.RequestContext) {
	var fault Fault
	if err := json.Unmarshal(c.Request.Body(), &fault); err != nil {
		c.String(consts.StatusBadRequest, "%v\n", err)
		return
	}
	r.SetFault(fault)
	c.SetStatusCode(consts.StatusNoContent)
}

// suffer applies the present fault and tells whether the request is dropped.
func (r *Recorder) suffer(ctx context.Context) (Fault, bool) {
	r.mu.Lock()
	fault := r.fault
	r.mu.Unlock()
	if fault.SlowMs > 0 {
		time.Sleep(time.Duration(fault.SlowMs) * time.Millisecond)
	}
	if fault.Down {
		drop(ctx)
	}
	return fault, fault.Down
}

func drop(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		_ = conn.Close()
	}
}

func (r *Recorder) append(ctx context.Context, c *app.RequestContext) {
	fault, dropped := r.suffer(ctx)
	if dropped {
		return
	}
	offset, ok := r.Append(c.Param("Stream"), c.Request.Body())
	if !ok {
		c.String(consts.StatusTooManyRequests, "more than %d appends a second\n", r.options.AppendsPerSecond)
		return
	}
	if rand.Float64() < fault.LostReplyShare {
		drop(ctx)
		return
	}
	c.JSON(consts.StatusOK, map[string]int64{"Offset": offset})
}

// Append adds a record, unless the cap is reached.
func (r *Recorder) Append(name string, data []byte) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Unix() != r.second {
		r.second = now.Unix()
		r.appends = 0
	}
	if r.options.AppendsPerSecond > 0 && r.appends >= r.options.AppendsPerSecond {
		return 0, false
	}
	r.appends++
	r.total++
	s := r.stream(name)
	r.expire(s, now)
	entry := appender.Entry{
		Offset: s.earliest + int64(len(s.entries)),
		AtMs:   now.UnixMilli(),
		Data:   append([]byte(nil), data...),
	}
	s.entries = append(s.entries, entry)
	close(s.grown)
	s.grown = make(chan struct{})
	return entry.Offset, true
}

func (r *Recorder) stream(name string) *stream {
	s, ok := r.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		r.streams[name] = s
	}
	return s
}

func (r *Recorder) expire(s *stream, now time.Time) {
	oldest := now.Add(-r.options.Retention).UnixMilli()
	kept := 0
	for kept < len(s.entries) && s.entries[kept].AtMs < oldest {
		kept++
	}
	s.entries = s.entries[kept:]
	s.earliest += int64(kept)
}

func (r *Recorder) read(ctx context.Context, c *app.RequestContext) {
	if _, dropped := r.suffer(ctx); dropped {
		return
	}
	from, err := strconv.ParseInt(c.Query("From"), 10, 64)
	if err != nil {
		c.String(consts.StatusBadRequest, "From: %v\n", err)
		return
	}
	wait, err := strconv.Atoi(c.DefaultQuery("WaitMs", "0"))
	if err != nil {
		c.String(consts.StatusBadRequest, "WaitMs: %v\n", err)
		return
	}
	batch := r.wait(c.Param("Stream"), from, time.Duration(wait)*time.Millisecond)
	if _, dropped := r.suffer(ctx); dropped {
		return
	}
	c.JSON(consts.StatusOK, batch)
}

func (r *Recorder) wait(name string, from int64, wait time.Duration) appender.Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, grown := r.Read(name, from)
		if len(batch.Entries) > 0 || wait <= 0 {
			return batch
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch
		}
	}
}

// Read returns the records from an offset on and a channel that is closed with the next append.
func (r *Recorder) Read(name string, from int64) (appender.Batch, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stream(name)
	r.expire(s, time.Now())
	batch := appender.Batch{Earliest: s.earliest, End: s.earliest + int64(len(s.entries))}
	first := max(0, from-s.earliest)
	if first < int64(len(s.entries)) {
		rest := s.entries[first:]
		batch.Entries = append(batch.Entries, rest[:min(len(rest), appender.MaxRecords)]...)
	}
	return batch, s.grown
}
