package dialer_test

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/muter"
	"github.com/foxtailhall/foxtailhall/transport/dialer"
)

const (
	silence = 2 * time.Second
	// detected is within what time a silent connection has to fail: the operating
	// system's timers count in whole seconds.
	detected = silence + time.Second
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := dialer.Listen("127.0.0.1:0", silence)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client, err = dialer.New(nil, time.Second, silence).Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// requireFails checks that a read fails within detected, and not by its own deadline.
func requireFails(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(detected)))
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "the connection still counts as open")
}

// TestSilentConnectionsFail guards against calls that wait out their whole time limit on a
// connection whose path delivers nothing any more and sends no reset.
func TestSilentConnectionsFail(t *testing.T) {
	t.Run("WaitingForAnAnswer", func(t *testing.T) {
		t.Parallel()
		client, server := connect(t)
		require.NoError(t, muter.Mute(server))
		requireFails(t, client)
	})
	t.Run("WithUnacknowledgedData", func(t *testing.T) {
		t.Parallel()
		client, server := connect(t)
		require.NoError(t, muter.Mute(server))
		_, err := client.Write([]byte("request"))
		require.NoError(t, err)
		requireFails(t, client)
	})
	t.Run("AtTheAcceptingEnd", func(t *testing.T) {
		t.Parallel()
		client, server := connect(t)
		require.NoError(t, muter.Mute(client))
		requireFails(t, server)
	})
	t.Run("NotThoseThatAreIdle", func(t *testing.T) {
		t.Parallel()
		client, _ := connect(t)
		require.NoError(t, client.SetReadDeadline(time.Now().Add(detected)))
		_, err := client.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
}
