package guard

import (
	"errors"
	"fmt"
	"io"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
)

// upload reads a request's body from the frames that follow its head.
type upload struct {
	stream messenger.DRPCGuard_ForwardStream
	rest   []byte
	// left is the number of bytes still due, -1 if the length was not told.
	left  int64
	ended bool
	// abandoned is set if a prefetch still reads the stream.
	abandoned bool
}

// prefetch waits for the frame that releases an offered attempt and returns it.
func (u *upload) prefetch() (*messenger.RequestHead, error) {
	frame, err := u.stream.Recv()
	if err != nil {
		return nil, fmt.Errorf("awaiting the release: %w", err)
	}
	head := frame.GetRequest()
	if head == nil {
		return nil, ErrProtocol
	}
	u.ended = !head.BodyFollows
	return head, nil
}

// abandon leaves the stream to a prefetch that is still waiting.
func (u *upload) abandon() { u.abandoned = true }

// Read returns io.EOF only after the frame that ends the body.
func (u *upload) Read(buffer []byte) (int, error) {
	for len(u.rest) == 0 {
		if u.ended && u.left > 0 {
			return 0, errCutShort
		}
		if u.ended || u.left == 0 {
			return 0, io.EOF
		}
		frame, err := u.stream.Recv()
		if err != nil {
			return 0, fmt.Errorf("receiving the body: %w", errors.Join(errCutShort, err))
		}
		u.rest = frame.GetData()
		u.ended = frame.GetEnd()
	}
	n := copy(buffer, u.rest)
	u.rest = u.rest[n:]
	if u.left > 0 {
		u.left -= int64(n)
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
