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
	// remaining is the number of bytes still due, -1 if the length was not told.
	remaining int64
	ended     bool
	// abandoned is set if a prefetch still reads the stream.
	abandoned bool
}

// readRelease waits for the frame that releases an offered attempt and returns it.
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

// abandon leaves the stream to a prefetch that is still waiting.
func (u *upload) abandon() { u.abandoned = true }

// Read returns io.EOF only after the frame that ends the body.
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

// drain reads on to the frame that ends the body. Frames that nobody reads
// would keep the connection from carrying another call.
func (u *upload) drain() {
	for !u.ended && !u.abandoned {
		frame, err := u.stream.Recv()
		if err != nil {
			return
		}
		u.ended = frame.GetEnd()
	}
}
