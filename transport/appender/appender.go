// Package appender is the client of the platform's append-only log.
package appender

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/transport/requester"
)

// Streams of the log.
const (
	StreamConfiguration = "configuration"
	StreamClaims        = "claims"
	StreamMembers       = "members"
)

const (
	dialTimeout   = time.Second
	appendTimeout = 2 * time.Second
	// readSlack is added to a read's wait for records to get its request timeout.
	readSlack = 2 * time.Second
	// maxIdle bounds the idle connections to the log.
	maxIdle = 8
	// maxAnswerBytes bounds the answer to a read, with MaxRecords records of any usual size.
	maxAnswerBytes = 1 << 30
	// MaxRecords is the maximum number of records that one read returns.
	MaxRecords = 1000
)

var (
	// ErrRefused means that the log did not append the record and never will.
	ErrRefused = eris.New("log refused the record")
	// ErrUnconfirmed means that the record may or may not be on the log.
	ErrUnconfirmed = eris.New("log did not confirm the record")
)

// Entry is one record of a stream.
type Entry struct {
	Offset int64 `json:"Offset"`
	// AtMs is the Unix time in ms at which the log appended the record.
	AtMs int64  `json:"AtMs"`
	Data []byte `json:"Data"`
}

// Batch is the result of one read.
type Batch struct {
	// Earliest is the lowest offset that the log still retains.
	Earliest int64 `json:"Earliest"`
	// End is the offset of the next record to be appended.
	End     int64   `json:"End"`
	Entries []Entry `json:"Entries"`
}

type appendReply struct {
	Offset int64 `json:"Offset"`
}

// Appender is a client of the log. It is safe for concurrent use.
type Appender struct {
	address string
	calls   *requester.Requester
}

// New returns a client of the log at an IP:port.
func New(address string) *Appender {
	return &Appender{address: address, calls: requester.NewWithDialer(address, maxIdle, &net.Dialer{Timeout: dialTimeout})}
}

// call sends a request and waits for its answer.
func (a *Appender) call(ctx context.Context, request *protocol.Request, timeout time.Duration) (*protocol.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := a.calls.Once(ctx, request, maxAnswerBytes)
	if err != nil {
		return nil, fmt.Errorf("calling the log: %w", err)
	}
	return answer, nil
}

// Append adds a record to a stream and returns its offset. An error that is
// not ErrRefused leaves open whether the record is on the log.
func (a *Appender) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	request := &protocol.Request{}
	request.SetMethod(consts.MethodPost)
	request.SetRequestURI("http://" + a.address + "/streams/" + stream)
	request.SetBody(data)
	response, err := a.call(ctx, request, appendTimeout)
	if err != nil {
		return 0, fmt.Errorf("appending to %s: %w: %w", stream, ErrUnconfirmed, err)
	}
	if code := response.StatusCode(); code != consts.StatusOK {
		return 0, fmt.Errorf("appending to %s: %w: status %d", stream, statusError(code), code)
	}
	var result appendReply
	if err := json.Unmarshal(response.Body(), &result); err != nil {
		return 0, fmt.Errorf("appending to %s: %w: %w", stream, ErrUnconfirmed, err)
	}
	return result.Offset, nil
}

// statusError returns ErrRefused for a status that the log sends before it writes,
// and ErrUnconfirmed for any other failure.
func statusError(code int) error {
	if code == consts.StatusTooManyRequests || code == consts.StatusServiceUnavailable {
		return ErrRefused
	}
	return ErrUnconfirmed
}

// Read returns the records of a stream from an offset on. If there are none, it
// waits for the next one, up to the given time.
func (a *Appender) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	request := &protocol.Request{}
	request.SetMethod(consts.MethodGet)
	request.SetRequestURI("http://" + a.address + "/streams/" + stream +
		"?From=" + strconv.FormatInt(from, 10) + "&WaitMs=" + strconv.FormatInt(wait.Milliseconds(), 10))
	response, err := a.call(ctx, request, wait+readSlack)
	if err != nil {
		return Batch{}, fmt.Errorf("reading %s: %w", stream, err)
	}
	if code := response.StatusCode(); code != consts.StatusOK {
		return Batch{}, fmt.Errorf("reading %s: %w", stream, eris.Errorf("status %d", code))
	}
	var batch Batch
	if err := json.Unmarshal(response.Body(), &batch); err != nil {
		return Batch{}, fmt.Errorf("decoding records of %s: %w", stream, err)
	}
	return batch, nil
}
