// Package recorder implements a stand-in for the platform's append-only log, with injectable faults.
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

// PathFault accepts a Fault as JSON and applies it to later requests.
const PathFault = "/.standin/fault"

const maxRecordBytes = 64 << 20

// Fault describes the failures to inject.
type Fault struct {
	// Down closes every connection without a response.
	Down bool `json:"Down"`
	// SlowMs delays every response by that many milliseconds; reads are delayed twice.
	SlowMs int `json:"SlowMs"`
	// LostReplyShare is the fraction of appends that take effect without a response.
	LostReplyShare float64 `json:"LostReplyShare"`
}

// Options configures the limits of the log.
type Options struct {
	// Retention is how long a record is kept.
	Retention time.Duration
	// AppendsPerSecond limits the appends in each second of the wall clock; 0 means no limit.
	AppendsPerSecond int
}

// stream holds the retained records of one stream.
type stream struct {
	// earliest is the offset of entries[0].
	earliest int64
	entries  []appender.Entry
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// Recorder is the stand-in log. It is safe for concurrent use.
type Recorder struct {
	options Options
	server  *server.Hertz

	mu      sync.Mutex
	streams map[string]*stream
	fault   Fault
	// currentSecond and appendsInSecond count the appends in the current second of Unix time.
	currentSecond   int64
	appendsInSecond int
	// totalAppends counts all appends.
	totalAppends int64
}

type connKey struct{}

// New returns a log that listens on an IP:port once Run is called.
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

// SetFault replaces the faults to inject.
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

// applyFault applies the current fault. It returns the fault and reports whether it closed the
// connection.
func (r *Recorder) applyFault(ctx context.Context) (Fault, bool) {
	r.mu.Lock()
	fault := r.fault
	r.mu.Unlock()
	if fault.SlowMs > 0 {
		time.Sleep(time.Duration(fault.SlowMs) * time.Millisecond)
	}
	if fault.Down {
		closeConnection(ctx)
	}
	return fault, fault.Down
}

func closeConnection(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		_ = conn.Close()
	}
}

func (r *Recorder) append(ctx context.Context, c *app.RequestContext) {
	fault, dropped := r.applyFault(ctx)
	if dropped {
		return
	}
	offset, ok := r.Append(c.Param("Stream"), c.Request.Body())
	if !ok {
		c.String(consts.StatusTooManyRequests, "more than %d appends a second\n", r.options.AppendsPerSecond)
		return
	}
	if rand.Float64() < fault.LostReplyShare {
		closeConnection(ctx)
		return
	}
	c.JSON(consts.StatusOK, map[string]int64{"Offset": offset})
}

// Append adds a record, unless the append limit is reached. It returns the record's offset and reports
// whether the record was added.
func (r *Recorder) Append(name string, data []byte) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Unix() != r.currentSecond {
		r.currentSecond = now.Unix()
		r.appendsInSecond = 0
	}
	if r.options.AppendsPerSecond > 0 && r.appendsInSecond >= r.options.AppendsPerSecond {
		return 0, false
	}
	r.appendsInSecond++
	r.totalAppends++
	s := r.stream(name)
	r.expireRecords(s, now)
	entry := appender.Entry{
		Offset: s.earliest + int64(len(s.entries)),
		AtMs:   now.UnixMilli(),
		Data:   append([]byte(nil), data...),
	}
	s.entries = append(s.entries, entry)
	close(s.appended)
	s.appended = make(chan struct{})
	return entry.Offset, true
}

func (r *Recorder) stream(name string) *stream {
	s, ok := r.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		r.streams[name] = s
	}
	return s
}

func (r *Recorder) expireRecords(s *stream, now time.Time) {
	oldest := now.Add(-r.options.Retention).UnixMilli()
	expired := 0
	for expired < len(s.entries) && s.entries[expired].AtMs < oldest {
		expired++
	}
	s.entries = s.entries[expired:]
	s.earliest += int64(expired)
}

func (r *Recorder) read(ctx context.Context, c *app.RequestContext) {
	if _, dropped := r.applyFault(ctx); dropped {
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
	batch := r.waitForRecords(c.Param("Stream"), from, time.Duration(wait)*time.Millisecond)
	if _, dropped := r.applyFault(ctx); dropped {
		return
	}
	c.JSON(consts.StatusOK, batch)
}

func (r *Recorder) waitForRecords(name string, from int64, wait time.Duration) appender.Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, appended := r.Read(name, from)
		if len(batch.Entries) > 0 || wait <= 0 {
			return batch
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch
		}
	}
}

// Read returns up to appender.MaxRecords records from an offset on, and a channel that is closed at the
// next append.
func (r *Recorder) Read(name string, from int64) (appender.Batch, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stream(name)
	r.expireRecords(s, time.Now())
	batch := appender.Batch{Earliest: s.earliest, End: s.earliest + int64(len(s.entries))}
	first := max(0, from-s.earliest)
	if first < int64(len(s.entries)) {
		rest := s.entries[first:]
		batch.Entries = append(batch.Entries, rest[:min(len(rest), appender.MaxRecords)]...)
	}
	return batch, s.appended
}
