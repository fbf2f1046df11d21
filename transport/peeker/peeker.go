// Package peeker looks at a TCP connection without reading from it.
package peeker

import (
	"net"

	"golang.org/x/sys/unix"
)

// State is what a look at a connection shows.
type State uint8

// States of a connection.
const (
	// StateQuiet means that the other side has sent nothing and is still there.
	StateQuiet State = iota + 1
	// StateData means that bytes wait to be read.
	StateData
	// StateClosed means that the other side has closed, or that the connection failed.
	StateClosed
)

// Peek looks at a connection. One that is not TCP counts as quiet. It may be
// called while others read from the connection.
func Peek(conn net.Conn) State {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return StateQuiet
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return StateClosed
	}
	state := StateQuiet
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
		return StateQuiet
	case err != nil || n == 0:
		return StateClosed
	default:
		return StateData
	}
}
