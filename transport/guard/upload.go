package guard

import (
	"errors"
	"fmt"
	"io"

	"github.com/foxtailhall/foxtailhall/coordination/allocator"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/transport/reserver"
)

// longBodyShare is the share of MaxInFlightBytes that one body counts for at most. A body that
// exceeds the bound alone is then served, and short ones beside it.
const longBodyShare = 0.75

// attemptBytes is the memory of an attempt at the backend server: one frame of the request,
// the first bytes of the answer and one frame of the rest.
const attemptBytes = MaxBufferedBytes + 2*chunkBytes

// reserveBody reserves the attempt's memory and counts its body toward the bytes at the
// backend server, or returns why the attempt is refused. A body of unknown length counts as
// the longest allowed.
func (g *Guard) reserveBody(work *task) *refusal {
	memory := g.deps.Memory.Open(func() {})
	reserved := memory.Reserve(allocator.KindServer, attemptBytes)
	g.mu.Lock()
	defer g.mu.Unlock()
	work.bodyBytes = g.countedBytes(work)
	if reserved && g.inFlightBytes+work.bodyBytes <= g.deps.MaxInFlightBytes {
		g.inFlightBytes += work.bodyBytes
		work.memory = memory
		return nil
	}
	memory.Close()
	g.withdrawAttempt(work)
	g.admitter.Return(work.admission())
	if !reserved {
		return &refusal{outcome: answerer.OutcomeNotRun, reason: reserver.ReasonRefused}
	}
	g.deps.Memory.Count(reserver.ReasonServerBytes)
	return &refusal{outcome: answerer.OutcomeNotRun, reason: reserver.ReasonServerBytes}
}

// countedBytes returns what the attempt's body counts toward MaxInFlightBytes.
func (g *Guard) countedBytes(work *task) int64 {
	length := work.head.BodyLength
	if length < 0 {
		length = work.service.MaxBodyBytes
	}
	return min(length, int64(longBodyShare*float64(g.deps.MaxInFlightBytes)))
}

// releaseBody ends what reserveBody has begun.
func (g *Guard) releaseBody(work *task) {
	work.memory.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlightBytes -= work.bodyBytes
}

// upload reads a request's body from the frames that follow its head.
type upload struct {
	stream   messenger.DRPCGuard_ForwardStream
	buffered []byte
	// remaining is the number of bytes still to come, or -1 if the length is unknown.
	remaining int64
	ended     bool
	// abandoned is set if a call of readRelease may still be reading the stream.
	abandoned bool
}

// readRelease waits for the frame that releases an offered attempt and returns
// its head, which carries the request's header fields and body.
func (u *upload) readRelease() (*messenger.RequestHead, error) {
	frame, err := u.stream.Recv()
	if err != nil {
		return nil, fmt.Errorf("awaiting the release: %w", err)
	}
	head := frame.GetRequest()
	if head == nil {
		return nil, ErrMissingHead
	}
	u.ended = !head.BodyFollows
	return head, nil
}

// abandon leaves the stream to a readRelease that is still waiting.
func (u *upload) abandon() { u.abandoned = true }

// Read implements io.Reader. It returns io.EOF only at the end of the whole body.
func (u *upload) Read(buffer []byte) (int, error) {
	for len(u.buffered) == 0 {
		if u.ended && u.remaining > 0 {
			return 0, errBodyTruncated
		}
		if u.ended || u.remaining == 0 {
			return 0, io.EOF
		}
		frame, err := u.stream.Recv()
		if err != nil {
			return 0, fmt.Errorf("receiving the body: %w", errors.Join(errBodyTruncated, err))
		}
		u.buffered = frame.GetData()
		u.ended = frame.GetEnd()
	}
	n := copy(buffer, u.buffered)
	u.buffered = u.buffered[n:]
	if u.remaining > 0 {
		u.remaining -= int64(n)
	}
	return n, nil
}

// drain discards frames up to the one that ends the body. Unread frames would
// block the connection for other calls.
func (u *upload) drain() {
	for !u.ended && !u.abandoned {
		frame, err := u.stream.Recv()
		if err != nil {
			return
		}
		u.ended = frame.GetEnd()
	}
}
