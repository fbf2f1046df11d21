// Package storer is a stand-in for the users' metadata store. It keeps topics of
// keyed records in memory, serves them by offset with long polls, and can truncate
// topics, refuse calls, leave them unanswered, lose or delay replies, execute writes late,
// and come back from an older copy of its records.
package storer

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
	// maxWriteDelay bounds the delay of writes that are executed late.
	maxWriteDelay = 6 * time.Second
	// operatorTopic holds the configuration. Only Publish writes it.
	operatorTopic = "keyed.op"
	// headerEra numbers the copies of the records that the store has run on.
	headerEra = "Store-Era"
)

// Fault describes how calls fail. The zero value injects no fault.
type Fault struct {
	// Down refuses all calls with 503. Silent never answers, nor does it later answer the
	// calls that were open meanwhile: it closes their connections after maxPollWait.
	Down, Silent bool
	// NoEra leaves the era out of the answers.
	NoEra bool
	// Delay is added before each call is handled.
	Delay time.Duration
	// LostReplyShare is the share of writes that take effect but get no answer, and
	// LateWriteShare that of writes that take effect up to maxWriteDelay later and get none.
	LostReplyShare, LateWriteShare float64
	// RefusedIPs holds the IP addresses whose calls are refused with 503.
	RefusedIPs map[string]bool
}

// With returns the fault that has the effects of both.
func (f Fault) With(other Fault) Fault {
	f.Down = f.Down || other.Down
	f.Silent = f.Silent || other.Silent
	f.NoEra = f.NoEra || other.NoEra
	f.Delay = max(f.Delay, other.Delay)
	f.LostReplyShare = max(f.LostReplyShare, other.LostReplyShare)
	f.LateWriteShare = max(f.LateWriteShare, other.LateWriteShare)
	refused := maps.Clone(f.RefusedIPs)
	if refused == nil {
		refused = map[string]bool{}
	}
	maps.Copy(refused, other.RefusedIPs)
	f.RefusedIPs = refused
	return f
}

type record struct {
	key   string
	value []byte
	// at is when the record was appended.
	at time.Time
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
	// silences counts the faults that made the store silent.
	silences int
	// era rises with each restore.
	era int
}

// New returns a store that listens on an IP:port once Run is called.
func New(address string) *Storer {
	s := &Storer{topics: map[string]*topic{}, era: 1}
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
	if fault.Silent && !s.fault.Silent {
		s.silences++
	}
	s.fault = fault
}

// Restore replaces the records by a copy of a given age: what was written since is lost,
// and its offsets are given out again. Open calls get no answer. It returns the lost
// configurations, which the operator is to publish again.
func (s *Storer) Restore(age time.Duration) (lost [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	copied := time.Now().Add(-age)
	for name, t := range s.topics {
		kept := len(t.records)
		for kept > 0 && t.records[kept-1].at.After(copied) {
			kept--
			if name == operatorTopic {
				lost = append(lost, t.records[kept].value)
			}
		}
		t.records = t.records[:kept]
		t.firstOffset = min(t.firstOffset, kept)
		close(t.appended)
		t.appended = make(chan struct{})
	}
	slices.Reverse(lost)
	return lost
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
	for i := range records {
		records[i].at = time.Now()
	}
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
		fault, silences, era := s.fault, s.silences, s.era
		s.mu.Unlock()
		if !fault.NoEra {
			c.Header(headerEra, strconv.Itoa(era))
		}
		host, _, _ := strings.Cut(c.RemoteAddr().String(), ":")
		time.Sleep(fault.Delay)
		refused := fault.Down || fault.RefusedIPs[host]
		switch {
		case fault.Silent:
		case refused:
			c.SetStatusCode(consts.StatusServiceUnavailable)
		case c.IsPost() && rand.Float64() < fault.LateWriteShare:
			time.Sleep(time.Second + rand.N(maxWriteDelay-time.Second))
			handle(c)
			_ = c.GetConn().Close()
			return
		default:
			handle(c)
		}
		s.mu.Lock()
		silenced, restored := fault.Silent || s.silences != silences, s.era != era
		s.mu.Unlock()
		if silenced {
			time.Sleep(maxPollWait)
		}
		if silenced || restored || !refused && c.IsPost() && rand.Float64() < fault.LostReplyShare {
			c.Abort()
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
// 410 with the first offset if the requested one was truncated or not given out yet.
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
	if from < t.firstOffset || from > len(t.records) {
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

// await waits until a topic has a record at an offset, or until the timeout. It doesn't
// wait for an offset beyond the next one, nor beyond a restore.
func (s *Storer) await(name string, from int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		t := s.topic(name)
		ended, appended := len(t.records) != from || s.era != era, t.appended
		s.mu.Unlock()
		if ended {
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
