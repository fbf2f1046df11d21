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
}

// Read returns io.EOF only after the frame that ends the body.
func (u *upload) Read(buffer []byte) (int, error) {
	for len(u.rest) == 0 {
		if u.ended || u.left == 0 {
			return 0, io.EOF
		}
		frame, err := u.stream.Recv()
		if err != nil {
			return 0, fmt.Errorf("receiving the body: %w", errors.Join(errCutShort, err))
		}
		u.rest = frame.GetData()
		u.ended = frame.GetEnd()
		if u.ended && u.left > 0 {
			return 0, errCutShort
		}
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
	for !u.ended {
		frame, err := u.stream.Recv()
		if err != nil {
			return
		}
		u.ended = frame.GetEnd()
	}
}
