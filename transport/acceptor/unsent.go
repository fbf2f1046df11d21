package acceptor

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/foxtailhall/foxtailhall/coordination/allocator"
)

const (
	// freeUnsentBytes is what the kernel may hold of answers within connectionBytes.
	freeUnsentBytes = 8 << 10
	// unsentCheckPeriod is how often an idle connection is checked of whose answers the kernel
	// held more than that.
	unsentCheckPeriod = time.Second
)

// unsent is what the kernel holds of the answers that were written to a connection and that
// the caller has not acknowledged. Answers that are never read would otherwise use memory
// that nothing accounts for.
type unsent struct {
	mu sync.Mutex
	// charged is the memory reserved for it in bytes.
	charged atomic.Int64
	// written counts the bytes written since the last check.
	written atomic.Int64
}

// chargeUnsent reserves memory for what the kernel holds. It closes the connection if there
// is none.
func (c *connection) chargeUnsent() {
	u := &c.unsent
	if c.memory == nil || u.charged.Load() == 0 && u.written.Load() <= freeUnsentBytes {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.written.Store(0)
	held := c.unsentBytes()
	if held <= freeUnsentBytes {
		held = 0
	}
	charged := u.charged.Swap(held)
	c.memory.Release(allocator.KindAnswer, charged-held)
	if !c.memory.Reserve(allocator.KindAnswer, held-charged) {
		c.abort()
	}
}

// unsentBytes returns how many bytes the caller has not acknowledged.
func (c *connection) unsentBytes() int64 {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return 0
	}
	socket, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var held int
	err = socket.Control(func(fd uintptr) { held, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return int64(held)
}

// checkDeadline returns the time at which an idle connection wakes up, at the latest at the
// given one.
func (c *connection) checkDeadline(until time.Time) time.Time {
	if c.unsent.charged.Load() == 0 {
		return until
	}
	if next := time.Now().Add(unsentCheckPeriod); next.Before(until) {
		return next
	}
	return until
}
