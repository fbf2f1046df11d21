// Package muter makes open TCP connections go silent: each end keeps its socket, but
// nothing arrives any more, acknowledgements and resets included.
package muter

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

var errNotTCP = eris.New("not a TCP connection")

// Mute makes the local socket of a connection drop everything that arrives, so that the
// other end gets no acknowledgement either.
func Mute(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return errNotTCP
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("muting a connection: %w", err)
	}
	// The only instruction accepts 0 bytes of each packet.
	dropAll := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll)
	}); err != nil {
		return fmt.Errorf("muting a connection: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("muting a connection: %w", failed)
	}
	return nil
}

// Listener accepts connections that can go silent in both directions. It is safe for
// concurrent use.
type Listener struct {
	net.Listener
	mu       sync.Mutex
	accepted []*conn
}

// conn discards what is written once it is muted.
type conn struct {
	net.Conn
	muted atomic.Bool
}

// Write writes to the other end.
func (c *conn) Write(data []byte) (int, error) {
	if c.muted.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Accept accepts a connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted := &conn{Conn: raw}
	l.accepted = append(l.accepted, accepted)
	return accepted, nil
}

// Mute makes all connections accepted so far go silent and returns their number. Later
// ones work. Connections that have been closed are left out.
func (l *Listener) Mute() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	muted := 0
	for _, accepted := range l.accepted {
		if Mute(accepted.Conn) == nil {
			accepted.muted.Store(true)
			muted++
		}
	}
	l.accepted = nil
	return muted
}
