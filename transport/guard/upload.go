package guard

import (
	"errors"
	"fmt"
	"io"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
)

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
