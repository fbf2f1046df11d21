package peeker_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/peeker"
)

func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func requireState(t *testing.T, conn net.Conn, want peeker.State) {
	t.Helper()
	require.Eventually(t, func() bool { return peeker.Peek(conn) == want }, 10*time.Second, time.Millisecond)
}

func TestPeek(t *testing.T) {
	near, far := pair(t)
	requireState(t, near, peeker.StateIdle)
	_, err := far.Write([]byte("x"))
	require.NoError(t, err)
	requireState(t, near, peeker.StateReadable)
	_, err = near.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, far.Close())
	requireState(t, near, peeker.StateClosed)
}
