// Package storer is a stand-in for the users' metadata store. It keeps topics of
// keyed records in memory, serves them by offset with long polls, and can truncate
// topics, refuse calls, and lose or delay replies.
package storer

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

const (
	// recordLengthBytes is the size of the length that precedes each record. It counts
	// the key length (one byte), the key and the value.
	recordLengthBytes = 4
	// maxPageKeys bounds the number of keys in one page of newest values.
	maxPageKeys = 500
	// maxPollWait bounds the time of a long poll.
	maxPollWait = 30 * time.Second
	// operatorTopic holds the configuration. Only Publish writes it.
	operatorTopic = "keyed.op"
)

// Fault describes how calls fail. The zero value injects no fault.
type Fault struct {
	// Down refuses all calls with 503. Silent never answers: it closes the connection
	// after maxPollWait.
	Down, Silent bool
	// Delay is added before each call is handled.
	Delay time.Duration
	// LostReplyShare is the share of writes that take effect but get no answer.
	LostReplyShare float64
	// RefusedIPs holds the IP addresses whose calls are refused with 503.
	RefusedIPs map[string]bool
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	// records holds all records ever written. Those before firstOffset cannot be read
	// by offset any more.
	records     []record
	firstOffset int
	// appended is closed and replaced when records are appended.
	appended chan struct{}
}

// Storer is an in-memory metadata store with an HTTP interface. It is safe for
// concurrent use.
type Storer struct {
	server *server.Hertz

	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
}

// New returns a store that listens on an IP:port once Run is called.
func New(address string) *Storer {
	s := &Storer{topics: map[string]*topic{}}
	s.server = server.New(
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	s.server.POST("/log-append", s.withFault(s.append))
	s.server.GET("/log-read", s.withFault(s.read))
	s.server.GET("/log-newest", s.withFault(s.newest))
	return s
}

// Run serves until Close.
func (s *Storer) Run() error {
	if err := s.server.Run(); err != nil {
		return fmt.Errorf("serving the store: %w", err)
	}
	return nil
}

// Close stops the server, waiting up to a second for open calls.
func (s *Storer) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.server.Shutdown(ctx)
}

// SetFault replaces the fault that applies to all calls.
func (s *Storer) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Truncate makes all present records of a topic unreadable by offset, as retention
// does. The newest value of each key can still be read.
func (s *Storer) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset = len(t.records)
}

// Publish writes a configuration to the operator's topic.
func (s *Storer) Publish(configuration []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecords(operatorTopic, []record{{key: "config", value: configuration}})
}

// Keys returns the sorted keys of a topic whose newest value is not empty.
func (s *Storer) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, 0)
	for key, value := range s.latestValues(name) {
		if len(value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// topic returns a topic and creates it on first use. The caller must hold the lock.
func (s *Storer) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{appended: make(chan struct{})}
	}
	return s.topics[name]
}

// appendRecords appends records to a topic, wakes its long polls, and returns the
// offset of the first one. The caller must hold the lock.
func (s *Storer) appendRecords(name string, records []record) int {
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, records...)
	close(t.appended)
	t.appended = make(chan struct{})
	return offset
}

// latestValues returns the newest value of each key of a topic; a deleted key has an
// empty value. The caller must hold the lock.
func (s *Storer) latestValues(name string) map[string][]byte {
	latestValues := map[string][]byte{}
	for _, r := range s.topic(name).records {
		latestValues[r.key] = r.value
	}
	return latestValues
}

// withFault wraps a handler so that the current fault applies to its calls.
func (s *Storer) withFault(handle func(*app.RequestContext)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		host, _, _ := strings.Cut(c.RemoteAddr().String(), ":")
		time.Sleep(fault.Delay)
		switch {
		case fault.Silent:
			time.Sleep(maxPollWait)
			c.Abort()
			_ = c.GetConn().Close()
			return
		case fault.Down || fault.RefusedIPs[host]:
			c.SetStatusCode(consts.StatusServiceUnavailable)
			return
		}
		handle(c)
		if c.IsPost() && rand.Float64() < fault.LostReplyShare {
			_ = c.GetConn().Close()
		}
	}
}

// append handles writes to a topic. The topics of the operator and of the servers
// are read-only and answer 403.
func (s *Storer) append(c *app.RequestContext) {
	name := c.Query("topic")
	if name == operatorTopic || name == "keyed.servers" {
		c.SetStatusCode(consts.StatusForbidden)
		return
	}
	var records []record
	for body := c.Request.Body(); len(body) > 0; {
		if len(body) < recordLengthBytes {
			c.SetStatusCode(consts.StatusBadRequest)
			return
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[recordLengthBytes:]
		if length < 1 || length > len(body) || int(body[0]) >= length {
			c.SetStatusCode(consts.StatusBadRequest)
			return
		}
		keyEnd := 1 + int(body[0])
		value := append([]byte(nil), body[keyEnd:length]...)
		records = append(records, record{key: string(body[1:keyEnd]), value: value})
		body = body[length:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.appendRecords(name, records)
	c.JSON(consts.StatusOK, map[string]int{"offset": offset, "end": offset + len(records)})
}

// read handles reads from an offset. It waits up to waitMs for a record, and answers
// 410 with the first offset if the requested one was truncated.
func (s *Storer) read(c *app.RequestContext) {
	from, err := strconv.Atoi(c.Query("from"))
	if err != nil || from < 0 {
		c.SetStatusCode(consts.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(c.Query("waitMs"))
	s.await(c.Query("topic"), from, min(maxPollWait, time.Duration(wait)*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(c.Query("topic"))
	if from < t.firstOffset {
		c.JSON(consts.StatusGone, map[string]int{"first": t.firstOffset})
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, uint64(t.firstOffset))
	for _, r := range t.records[min(from, len(t.records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(append(append(body, byte(len(r.key))), r.key...), r.value...)
	}
	c.Data(consts.StatusOK, "application/octet-stream", body)
}

// await waits until a topic has a record at an offset, or until the timeout.
func (s *Storer) await(name string, from int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(name)
		available, appended := len(t.records) > from, t.appended
		s.mu.Unlock()
		if available {
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			return
		}
	}
}

// newest handles reads of the newest values of a topic, one page of keys at a time in
// lexical order, starting after the key in the parameter "after".
func (s *Storer) newest(c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latestValues := s.latestValues(c.Query("topic"))
	keys := make([]string, 0, len(latestValues))
	for key, value := range latestValues {
		if len(value) > 0 && key > c.Query("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxPageKeys
	items := make([]map[string]any, 0, min(len(keys), maxPageKeys))
	for _, key := range keys[:min(len(keys), maxPageKeys)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(latestValues[key])})
	}
	c.JSON(consts.StatusOK, map[string]any{
		"items": items, "hasMore": more, "end": len(s.topic(c.Query("topic")).records),
	})
}
