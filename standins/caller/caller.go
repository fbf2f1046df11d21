// Package caller implements an open-loop load generator that stands in for callers:
// it starts operations at a fixed rate, gives up after a timeout and verifies every response.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/standins/worker"
	"github.com/foxtailhall/foxtailhall/transport/requester"
)

// Kind is the type of an operation.
type Kind string

// Kinds of operations.
const (
	// KindRead is an idempotent GET.
	KindRead Kind = "Read"
	// KindBill is non-idempotent, has no idempotency key and is never repeated.
	KindBill Kind = "Bill"
	// KindOwnKey is non-idempotent, has an idempotency key chosen by the caller, and is repeated until
	// it is known to have run.
	KindOwnKey Kind = "OwnKey"
	// KindBoundKey is non-idempotent, has a key fetched in advance from a process, and is repeated
	// until it is known to have run.
	KindBoundKey Kind = "BoundKey"
	// KindUpload is non-idempotent, has no idempotency key and sends a long request body.
	KindUpload Kind = "Upload"
	// KindDownload is an idempotent GET of a long response body.
	KindDownload Kind = "Download"
)

// Result is the outcome of one request as its caller sees it.
type Result string

// Results of requests.
const (
	// ResultWhole is a complete, correct response within the timeout.
	ResultWhole Result = "Whole"
	// ResultLate is a complete, correct response after the timeout.
	ResultLate Result = "Late"
	// ResultWrong is a response that is incomplete or belongs to another operation.
	ResultWrong Result = "Wrong"
	// ResultFailed is an error response from a backend server.
	ResultFailed Result = "Failed"
	// ResultNotRun, ResultUnknown and ResultRan are outcomes that the process reports in a header.
	ResultNotRun  Result = "NotRun"
	ResultUnknown Result = "Unknown"
	ResultRan     Result = "Ran"
	// ResultLost is a broken connection or no response.
	ResultLost Result = "Lost"
)

// Operation is one operation of a caller with the results of its requests, in the order of sending.
type Operation struct {
	Key  string `json:"Key"`
	Kind Kind   `json:"Kind"`
	// Customer is empty if the operation is sent without a key.
	Customer string   `json:"Customer,omitempty"`
	Results  []Result `json:"Results"`
	// AtMs is the start in Unix milliseconds, TookMs the duration of the first request in milliseconds.
	AtMs   int64   `json:"AtMs"`
	TookMs float64 `json:"TookMs"`
}

// Options configures a load.
type Options struct {
	// Targets are the CallerAddresses of processes.
	Targets []string
	// Rate is in operations per second.
	Rate     float64
	Duration time.Duration
	// Timeout is sent as the deadline; a response after it is late.
	Timeout time.Duration
	// Shares is the fraction of operations of each kind; reads are the rest.
	Shares map[Kind]float64
	// LongBytes is the length of the bodies of uploads and downloads.
	LongBytes int
	// Paths is the path of each kind.
	Paths map[Kind]string
	// Customers maps names of customers to their keys. Each operation is sent for one of them; an empty map sends no
	// keys.
	Customers map[string]string
	// Repeats is how often a keyed operation is repeated at most while it is not known to have run.
	Repeats int
	// Progress, if set, receives one line per second.
	Progress io.Writer
	// Out, if set, receives an Operation as a JSON line when it ends.
	Out io.Writer
}

// Summary counts the operations by the result of their last request. Latencies are those of the first
// requests, in microseconds.
type Summary struct {
	Sent      int
	Results   map[Result]int
	Latencies *hdrhistogram.Histogram
}

const (
	// timeoutSlack is how long a caller waits past its timeout, to distinguish a late response from a
	// lost one.
	timeoutSlack = 500 * time.Millisecond
	// dialTimeout limits the wait for a new connection, and maxIdle the idle ones to a target.
	dialTimeout = time.Second
	maxIdle     = 10000
	// maxAnswerBytes bounds the answers that are not long.
	maxAnswerBytes    = 1 << 20
	maxLatencyUs      = 10 * 60 * 1000 * 1000
	significantDigits = 3
)

// Caller generates load.
type Caller struct {
	options Options
	// targets holds a client for each of the options' targets.
	targets []*requester.Requester

	mu      sync.Mutex
	summary Summary
	encoder *json.Encoder
}

// New returns a load generator that has not started.
func New(options Options) *Caller {
	c := &Caller{options: options, summary: Summary{
		Results:   map[Result]int{},
		Latencies: hdrhistogram.New(1, maxLatencyUs, significantDigits),
	}}
	for _, target := range options.Targets {
		c.targets = append(c.targets, requester.NewWithDialer(target, maxIdle, &net.Dialer{Timeout: dialTimeout}))
	}
	if options.Out != nil {
		c.encoder = json.NewEncoder(options.Out)
	}
	return c
}

// Run starts operations at the configured rate, without waiting for earlier ones, and returns when the
// last has ended.
func (c *Caller) Run(ctx context.Context) Summary {
	var running sync.WaitGroup
	began := time.Now()
	gap := time.Duration(float64(time.Second) / c.options.Rate)
	lastPrinted := began
	for n := 0; ctx.Err() == nil; n++ {
		due := began.Add(time.Duration(n) * gap)
		if due.Sub(began) >= c.options.Duration {
			break
		}
		time.Sleep(time.Until(due))
		running.Add(1)
		go func() {
			defer running.Done()
			c.runOperation()
		}()
		if time.Since(lastPrinted) >= time.Second {
			lastPrinted = time.Now()
			c.printProgress(time.Since(began))
		}
	}
	running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary
}

func (c *Caller) printProgress(passed time.Duration) {
	if c.options.Progress == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.options.Progress, "  %3.0fs  sent %6d  whole %6d  late %4d  not whole %4d  p99 %6.1f ms\n",
		passed.Seconds(), c.summary.Sent, c.summary.Results[ResultWhole], c.summary.Results[ResultLate],
		c.summary.Sent-c.summary.Results[ResultWhole]-c.summary.Results[ResultLate],
		float64(c.summary.Latencies.ValueAtQuantile(99))/1000)
}

func (c *Caller) randomKind() Kind {
	point := rand.Float64()
	for _, kind := range []Kind{KindBill, KindOwnKey, KindBoundKey, KindUpload, KindDownload} {
		if point < c.options.Shares[kind] {
			return kind
		}
		point -= c.options.Shares[kind]
	}
	return KindRead
}

// runOperation sends one operation and, if it has a key, repeats it until it is known to have run.
func (c *Caller) runOperation() {
	op := Operation{
		Key: NewKey(time.Now()), Kind: c.randomKind(), Customer: c.randomCustomer(), AtMs: time.Now().UnixMilli(),
	}
	boundKey := ""
	if op.Kind == KindBoundKey {
		boundKey = c.fetchBoundKey(op)
	}
	began := time.Now()
	result := c.sendRequest(op, boundKey)
	took := time.Since(began)
	op.TookMs = float64(took) / float64(time.Millisecond)
	op.Results = append(op.Results, result)
	repeatable := op.Kind == KindOwnKey || op.Kind == KindBoundKey && boundKey != ""
	for range c.options.Repeats {
		if !repeatable || result == ResultWhole || result == ResultLate || result == ResultRan {
			break
		}
		time.Sleep(time.Duration(rand.Int64N(int64(200 * time.Millisecond))))
		result = c.sendRequest(op, boundKey)
		op.Results = append(op.Results, result)
	}
	c.record(op, took)
}

func (c *Caller) record(op Operation, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.Sent++
	c.summary.Results[op.Results[len(op.Results)-1]]++
	_ = c.summary.Latencies.RecordValue(max(1, took.Microseconds()))
	if c.encoder != nil {
		_ = c.encoder.Encode(op)
	}
}

// call sends a request to a random target and waits for the whole answer.
func (c *Caller) call(request *protocol.Request, target string, timeout time.Duration) (*protocol.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	i := rand.IntN(len(c.targets))
	request.SetRequestURI("http://" + c.options.Targets[i] + target)
	response, err := c.targets[i].Once(ctx, request, int64(maxAnswerBytes+c.options.LongBytes))
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", c.options.Targets[i], err)
	}
	return response, nil
}

// randomCustomer returns the name of a customer, empty if there are none.
func (c *Caller) randomCustomer() string {
	left := rand.IntN(max(1, len(c.options.Customers)))
	for name := range c.options.Customers {
		if left == 0 {
			return name
		}
		left--
	}
	return ""
}

// setCustomerKey adds the key of an operation's customer to a request.
func (c *Caller) setCustomerKey(request *protocol.Request, op Operation) {
	if op.Customer != "" {
		request.Header.Set(consts.HeaderAuthorization, "Bearer "+c.options.Customers[op.Customer])
	}
}

func (c *Caller) fetchBoundKey(op Operation) string {
	request := &protocol.Request{}
	request.SetMethod(consts.MethodGet)
	c.setCustomerKey(request, op)
	response, err := c.call(request, answerer.PathKey+"?Path="+c.options.Paths[op.Kind], c.options.Timeout)
	if err != nil || response.StatusCode() != consts.StatusOK {
		return ""
	}
	return string(response.Body())
}

// sendRequest sends one request and classifies its response.
func (c *Caller) sendRequest(op Operation, boundKey string) Result {
	request := &protocol.Request{}
	body := c.buildRequest(request, op, boundKey)
	began := time.Now()
	response, err := c.call(request, c.options.Paths[op.Kind]+"/"+op.Key, c.options.Timeout+timeoutSlack)
	if err != nil {
		return ResultLost
	}
	result := c.checkResponse(op, response, body)
	if result == ResultWhole && time.Since(began) > c.options.Timeout {
		return ResultLate
	}
	return result
}

// buildRequest fills in a request and returns its body.
func (c *Caller) buildRequest(request *protocol.Request, op Operation, boundKey string) []byte {
	request.SetMethod(consts.MethodPost)
	request.Header.Set(answerer.HeaderDeadline, strconv.FormatInt(c.options.Timeout.Milliseconds(), 10))
	request.Header.Set(worker.HeaderKey, op.Key)
	c.setCustomerKey(request, op)
	var body []byte
	switch op.Kind {
	case KindRead:
		request.SetMethod(consts.MethodGet)
	case KindDownload:
		request.SetMethod(consts.MethodGet)
		request.Header.Set(worker.HeaderAnswerBytes, strconv.Itoa(c.options.LongBytes))
	case KindUpload:
		body = worker.Filler(op.Key, c.options.LongBytes)
	case KindBill:
		body = []byte(op.Key)
	case KindOwnKey:
		body = []byte(op.Key)
		request.Header.Set(answerer.HeaderKey, op.Key)
	case KindBoundKey:
		body = []byte(op.Key)
		request.Header.Set(answerer.HeaderKey, boundKey)
	}
	if len(body) > 0 {
		request.SetBodyStream(bytes.NewReader(body), len(body))
	}
	return body
}

// answer is the response body that worker.Body writes.
type answer struct {
	Key         string `json:"Key"`
	Customer    string `json:"Customer"`
	KeyReceived bool   `json:"KeyReceived"`
	Bytes       int64  `json:"Bytes"`
	Sum         uint64 `json:"Sum"`
}

// checkResponse classifies a response; body is that of the request.
func (c *Caller) checkResponse(op Operation, response *protocol.Response, body []byte) Result {
	switch string(response.Header.Peek(answerer.HeaderOutcome)) {
	case answerer.OutcomeNotRun.String():
		return ResultNotRun
	case answerer.OutcomeUnknown.String():
		return ResultUnknown
	case answerer.OutcomeRan.String():
		return ResultRan
	}
	if response.StatusCode() != consts.StatusOK {
		return ResultFailed
	}
	if op.Kind == KindDownload {
		if string(response.Body()) == string(worker.Filler(op.Key, c.options.LongBytes)) {
			return ResultWhole
		}
		return ResultWrong
	}
	var got answer
	if err := json.Unmarshal(response.Body(), &got); err != nil {
		return ResultWrong
	}
	sum := fnv.New64a()
	_, _ = sum.Write(body)
	if got.KeyReceived || got.Customer != op.Customer {
		return ResultWrong
	}
	if got.Key != op.Key || got.Bytes != int64(len(body)) || got.Sum != sum.Sum64() {
		return ResultWrong
	}
	return ResultWhole
}

// NewKey returns a UUIDv7 with the given time.
func NewKey(at time.Time) string {
	millis := uint64(at.UnixMilli())
	high := millis<<16 | 0x7000 | rand.Uint64()&0x0FFF
	low := rand.Uint64()&0x3FFFFFFFFFFFFFFF | 0x8000000000000000
	return fmt.Sprintf("%08x-%04x-%04x-%04x-%012x",
		high>>32, high>>16&0xFFFF, high&0xFFFF, low>>48, low&0xFFFFFFFFFFFF)
}
