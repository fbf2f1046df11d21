// Package peeker checks the state of a TCP connection without consuming its data.
package peeker

import (
	"net"

	"golang.org/x/sys/unix"
)

// State is the state of a connection at the time of a check.
type State uint8

// States of a connection.
const (
	// StateIdle means that the connection is open and no data is waiting.
	StateIdle State = iota + 1
	// StateReadable means that data is waiting to be read.
	StateReadable
	// StateClosed means that the peer has closed the connection or that it failed.
	StateClosed
)

// Peek returns the state of a connection. A connection other than TCP counts as idle.
// Peek may be called while another goroutine reads from the connection.
func Peek(conn net.Conn) State {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return StateIdle
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return StateClosed
	}
	state := StateIdle
	if err := raw.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return StateClosed
	}
	return state
}

func peek(fd int) State {
	var one [1]byte
	n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return StateIdle
	case err != nil || n == 0:
		return StateClosed
	default:
		return StateReadable
	}
}
