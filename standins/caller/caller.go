// Package caller is a small stand-in for the people in vans: an open load with
// limited patience that checks every answer.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/standins/worker"
)

// Kind is a kind of operation.
type Kind string

// Kinds of operations.
const (
	// KindRead is idempotent.
	KindRead Kind = "Read"
	// KindBill is non-idempotent, without a key.
	KindBill Kind = "Bill"
	// KindOwnKey is non-idempotent, with the caller's own key, and repeated until settled.
	KindOwnKey Kind = "OwnKey"
	// KindBoundKey is non-idempotent, with a key fetched ahead, and repeated until settled.
	KindBoundKey Kind = "BoundKey"
	// KindUpload sends a long body.
	KindUpload Kind = "Upload"
	// KindDownload fetches a long answer.
	KindDownload Kind = "Download"
)

// Result is how one request of an operation ended for its caller.
type Result string

// Results of requests.
const (
	// ResultWhole is the right answer in time.
	ResultWhole Result = "Whole"
	// ResultLate is the right answer after the caller's patience.
	ResultLate Result = "Late"
	// ResultWrong is an answer that is not whole or not the caller's own.
	ResultWrong Result = "Wrong"
	// ResultFailed is an error answer of a backend server.
	ResultFailed  Result = "Failed"
	ResultNotRun  Result = "NotRun"
	ResultUnknown Result = "Unknown"
	ResultRan     Result = "Ran"
	// ResultLost is a broken connection or no answer at all.
	ResultLost Result = "Lost"
)

// Operation is what one caller wanted and what it got, request by request.
type Operation struct {
	Key     string   `json:"Key"`
	Kind    Kind     `json:"Kind"`
	Results []Result `json:"Results"`
	// AtMs and TookMs are the start in Unix ms and the time of the first request in ms.
	AtMs   int64   `json:"AtMs"`
	TookMs float64 `json:"TookMs"`
}

// Options set up a load.
type Options struct {
	// Targets are the CallerAddresses of processes.
	Targets []string
	// Rate is in operations a second.
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
	// Shares give each kind's share of the operations; reads take the rest.
	Shares map[Kind]float64
	// LongBytes is the length of long bodies.
	LongBytes int
	// Paths give the path of each kind.
	Paths map[Kind]string
	// Repeats is how often a keyed operation is repeated if its fate is open.
	Repeats int
	// Progress gets a line a second.
	Progress io.Writer
	// Out gets a JSON line for each operation.
	Out io.Writer
}

// Summary counts the results of all operations' last requests.
type Summary struct {
	Sent      int
	Results   map[Result]int
	Latencies *hdrhistogram.Histogram
}

const (
	// slack is how long a caller's connection outlives its patience.
	slack        = 500 * time.Millisecond
	maxLatencyUs = 10 * 60 * 1000 * 1000
	figures      = 3
)

// Caller drives a load.
type Caller struct {
	options Options
	client  *client.Client

	mu      sync.Mutex
	summary Summary
	encoder *json.Encoder
}

// New returns a load that has not started.
func New(options Options) (*Caller, error) {
	opened, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(time.Second),
		client.WithMaxConnsPerHost(10000),
		client.WithMaxIdleConnDuration(time.Minute),
	)
	if err != nil {
		return nil, fmt.Errorf("opening the callers' client: %w", err)
	}
	c := &Caller{options: options, client: opened, summary: Summary{
		Results:   map[Result]int{},
		Latencies: hdrhistogram.New(1, maxLatencyUs, figures),
	}}
	if options.Out != nil {
		c.encoder = json.NewEncoder(options.Out)
	}
	return c, nil
}

// Run sends operations at the rate, whatever becomes of earlier ones, and
// returns when the last has ended.
func (c *Caller) Run(ctx context.Context) Summary {
	var running sync.WaitGroup
	began := time.Now()
	gap := time.Duration(float64(time.Second) / c.options.Rate)
	shown := began
	for n := 0; ctx.Err() == nil; n++ {
		due := began.Add(time.Duration(n) * gap)
		if due.Sub(began) >= c.options.Duration {
			break
		}
		time.Sleep(time.Until(due))
		running.Add(1)
		go func() {
			defer running.Done()
			c.operate()
		}()
		if time.Since(shown) >= time.Second {
			shown = time.Now()
			c.show(time.Since(began))
		}
	}
	running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary
}

func (c *Caller) show(passed time.Duration) {
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

func (c *Caller) draw() Kind {
	at := rand.Float64()
	for _, kind := range []Kind{KindBill, KindOwnKey, KindBoundKey, KindUpload, KindDownload} {
		if at < c.options.Shares[kind] {
			return kind
		}
		at -= c.options.Shares[kind]
	}
	return KindRead
}

// operate runs one operation with its repeats.
func (c *Caller) operate() {
	op := Operation{Key: NewKey(time.Now()), Kind: c.draw(), AtMs: time.Now().UnixMilli()}
	bound := ""
	if op.Kind == KindBoundKey {
		bound = c.fetchKey(op)
	}
	began := time.Now()
	result := c.request(op, bound)
	took := time.Since(began)
	op.TookMs = float64(took) / float64(time.Millisecond)
	op.Results = append(op.Results, result)
	repeatable := op.Kind == KindOwnKey || op.Kind == KindBoundKey && bound != ""
	for range c.options.Repeats {
		if !repeatable || result == ResultWhole || result == ResultLate || result == ResultRan {
			break
		}
		time.Sleep(time.Duration(rand.Int64N(int64(200 * time.Millisecond))))
		result = c.request(op, bound)
		op.Results = append(op.Results, result)
	}
	c.note(op, took)
}

func (c *Caller) note(op Operation, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.Sent++
	c.summary.Results[op.Results[len(op.Results)-1]]++
	_ = c.summary.Latencies.RecordValue(max(1, took.Microseconds()))
	if c.encoder != nil {
		_ = c.encoder.Encode(op)
	}
}

func (c *Caller) target() string {
	return c.options.Targets[rand.IntN(len(c.options.Targets))]
}

func (c *Caller) fetchKey(op Operation) string {
	request, response := &protocol.Request{}, &protocol.Response{}
	request.SetMethod(consts.MethodGet)
	request.SetRequestURI("http://" + c.target() + answerer.PathKey + "?Path=" + c.options.Paths[op.Kind])
	request.SetOptions(config.WithRequestTimeout(c.options.Timeout))
	if err := c.client.Do(context.Background(), request, response); err != nil || response.StatusCode() != consts.StatusOK {
		return ""
	}
	return string(response.Body())
}

// request sends one request and judges its answer.
func (c *Caller) request(op Operation, bound string) Result {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	body := c.fill(request, op, bound)
	request.SetOptions(config.WithRequestTimeout(c.options.Timeout + slack))
	began := time.Now()
	if err := c.client.Do(context.Background(), request, response); err != nil {
		return ResultLost
	}
	result := c.judge(op, response, body)
	if result == ResultWhole && time.Since(began) > c.options.Timeout {
		return ResultLate
	}
	return result
}

// fill builds the request and returns its body.
func (c *Caller) fill(request *protocol.Request, op Operation, bound string) []byte {
	request.SetMethod(consts.MethodPost)
	request.SetRequestURI("http://" + c.target() + c.options.Paths[op.Kind] + "/" + op.Key)
	request.Header.Set(answerer.HeaderDeadline, strconv.FormatInt(c.options.Timeout.Milliseconds(), 10))
	request.Header.Set(worker.HeaderKey, op.Key)
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
		request.Header.Set(answerer.HeaderKey, bound)
	}
	request.SetBody(body)
	return body
}

type answer struct {
	Key   string `json:"Key"`
	Bytes int64  `json:"Bytes"`
	Sum   uint64 `json:"Sum"`
}

func (c *Caller) judge(op Operation, response *protocol.Response, body []byte) Result {
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
	if got.Key != op.Key || got.Bytes != int64(len(body)) || got.Sum != sum.Sum64() {
		return ResultWrong
	}
	return ResultWhole
}

// NewKey returns a UUIDv7 made at the given time.
func NewKey(at time.Time) string {
	millis := uint64(at.UnixMilli())
	high := millis<<16 | 0x7000 | rand.Uint64()&0x0FFF
	low := rand.Uint64()&0x3FFFFFFFFFFFFFFF | 0x8000000000000000
	return fmt.Sprintf("%08x-%04x-%04x-%04x-%012x",
		high>>32, high>>16&0xFFFF, high&0xFFFF, low>>48, low&0xFFFFFFFFFFFF)
}
