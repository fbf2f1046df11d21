// Package dialer opens TCP connections that fail soon after their path has gone silent:
// without a reset, only unanswered probes or unacknowledged data show that.
package dialer

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probePeriod is the time without data after which a connection is probed, and the time
// between two probes. The operating system takes whole seconds.
const probePeriod = time.Second

// New returns a dialer whose connections fail after the path has been silent for silence,
// whole seconds and at least two. They use the given source IP unless it is nil.
func New(source net.IP, timeout, silence time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(silence), Control: limitUnacknowledged(silence)}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return dialer
}

// Listen listens on an IP:port for connections that fail like those of New.
func Listen(address string, silence time.Duration) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(silence), Control: limitUnacknowledged(silence)}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return listener, nil
}

func keepAlive(silence time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: probePeriod, Interval: probePeriod, Count: max(1, int(silence/probePeriod)-1),
	}
}

// limitUnacknowledged returns a function that limits how long sent data may remain
// unacknowledged. Probes are not sent in that time.
func limitUnacknowledged(silence time.Duration) func(network, address string, socket syscall.RawConn) error {
	return func(_, _ string, socket syscall.RawConn) error {
		var failed error
		err := socket.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		if err == nil {
			err = failed
		}
		if err != nil {
			return fmt.Errorf("limiting unacknowledged data: %w", err)
		}
		return nil
	}
}
