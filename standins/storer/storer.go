// Package storer stands in for the users' metadata store: a log of keyed topics
// with offsets, long polls, retention, refusals and lost or late replies.
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
	lengthBytes = 4
	// pageKeys bounds the keys of one page of newest records.
	pageKeys = 500
	// maxWait bounds a long poll.
	maxWait = 30 * time.Second
	// operatorTopic can't be written by the system.
	operatorTopic = "keyed.op"
)

// Fault is what goes wrong with calls. Its zero value is a sound store.
type Fault struct {
	// Down refuses all calls with 503, Silent leaves them without any answer.
	Down, Silent bool
	// Slow delays each answer.
	Slow time.Duration
	// LoseShare of the writes are done and not answered.
	LoseShare float64
	// Refused holds the IP numbers whose calls are refused.
	Refused map[string]bool
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	// records holds all that were ever written; those before first are dropped.
	records []record
	first   int
	grown   chan struct{}
}

// Storer is the store. It is safe for concurrent use.
type Storer struct {
	server *server.Hertz

	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
}

// New returns a store that will listen on an IP:port.
func New(address string) *Storer {
	s := &Storer{topics: map[string]*topic{}}
	s.server = server.New(
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	s.server.POST("/log-append", s.guarded(s.append))
	s.server.GET("/log-read", s.guarded(s.read))
	s.server.GET("/log-newest", s.guarded(s.newest))
	return s
}

// Run serves until Close.
func (s *Storer) Run() error {
	if err := s.server.Run(); err != nil {
		return fmt.Errorf("serving the store: %w", err)
	}
	return nil
}

// Close stops serving.
func (s *Storer) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.server.Shutdown(ctx)
}

// SetFault replaces the present fault.
func (s *Storer) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Forget drops all records of a topic from its history. The newest of each key stay.
func (s *Storer) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.topic(name)
	kept.first = len(kept.records)
}

// Publish writes as the operator does, under the key of the configuration.
func (s *Storer) Publish(configuration []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(operatorTopic, []record{{key: "config", value: configuration}})
}

// Keys returns the keys of a topic that have a value.
func (s *Storer) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, 0)
	for key, value := range s.latest(name) {
		if len(value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// topic returns a topic, made on first use. The lock is held.
func (s *Storer) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{grown: make(chan struct{})}
	}
	return s.topics[name]
}

func (s *Storer) write(name string, records []record) int {
	kept := s.topic(name)
	offset := len(kept.records)
	kept.records = append(kept.records, records...)
	close(kept.grown)
	kept.grown = make(chan struct{})
	return offset
}

func (s *Storer) latest(name string) map[string][]byte {
	latest := map[string][]byte{}
	for _, kept := range s.topic(name).records {
		latest[kept.key] = kept.value
	}
	return latest
}

// guarded applies the present fault to a handler.
func (s *Storer) guarded(handle func(*app.RequestContext)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		host, _, _ := strings.Cut(c.RemoteAddr().String(), ":")
		time.Sleep(fault.Slow)
		switch {
		case fault.Silent:
			time.Sleep(maxWait)
			c.Abort()
			_ = c.GetConn().Close()
			return
		case fault.Down || fault.Refused[host]:
			c.SetStatusCode(consts.StatusServiceUnavailable)
			return
		}
		handle(c)
		if c.IsPost() && rand.Float64() < fault.LoseShare {
			_ = c.GetConn().Close()
		}
	}
}

func (s *Storer) append(c *app.RequestContext) {
	name := c.Query("topic")
	if name == operatorTopic || name == "keyed.servers" {
		c.SetStatusCode(consts.StatusForbidden)
		return
	}
	var records []record
	for body := c.Request.Body(); len(body) > 0; {
		if len(body) < lengthBytes {
			c.SetStatusCode(consts.StatusBadRequest)
			return
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
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
	offset := s.write(name, records)
	c.JSON(consts.StatusOK, map[string]int{"offset": offset, "end": offset + len(records)})
}

func (s *Storer) read(c *app.RequestContext) {
	from, err := strconv.Atoi(c.Query("from"))
	if err != nil || from < 0 {
		c.SetStatusCode(consts.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(c.Query("waitMs"))
	s.await(c.Query("topic"), from, min(maxWait, time.Duration(wait)*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.topic(c.Query("topic"))
	if from < kept.first {
		c.JSON(consts.StatusGone, map[string]int{"first": kept.first})
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(kept.records)))
	body = binary.BigEndian.AppendUint64(body, uint64(kept.first))
	for _, next := range kept.records[min(from, len(kept.records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(next.key)+len(next.value)))
		body = append(append(append(body, byte(len(next.key))), next.key...), next.value...)
	}
	c.Data(consts.StatusOK, "application/octet-stream", body)
}

// await waits until a topic has a record at an offset, or for the time given.
func (s *Storer) await(name string, from int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		kept := s.topic(name)
		there, grown := len(kept.records) > from, kept.grown
		s.mu.Unlock()
		if there {
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			return
		}
	}
}

func (s *Storer) newest(c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.latest(c.Query("topic"))
	keys := make([]string, 0, len(latest))
	for key, value := range latest {
		if len(value) > 0 && key > c.Query("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageKeys
	items := make([]map[string]any, 0, min(len(keys), pageKeys))
	for _, key := range keys[:min(len(keys), pageKeys)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(latest[key])})
	}
	c.JSON(consts.StatusOK, map[string]any{
		"items": items, "hasMore": more, "end": len(s.topic(c.Query("topic")).records),
	})
}
