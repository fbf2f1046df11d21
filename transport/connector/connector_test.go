package connector_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/standins/muter"
	"github.com/foxtailhall/foxtailhall/transport/connector"
)

// peer answers Resolve and echoes the frames of Forward.
type peer struct {
	messenger.DRPCGuardUnimplementedServer
}

func (p *peer) Resolve(context.Context, *messenger.ResolveRequest) (*messenger.ResolveReply, error) {
	return &messenger.ResolveReply{State: 3}, nil
}

func (p *peer) Forward(stream messenger.DRPCGuard_ForwardStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	if err := stream.Send(frame); err != nil {
		return err
	}
	if frame.GetEnd() {
		return nil
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

// servePeer serves a peer and returns its address, and the listener that can make its
// connections go silent.
func servePeer(t *testing.T) (string, *muter.Listener) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &muter.Listener{Listener: raw}
	mux := drpcmux.New()
	require.NoError(t, messenger.DRPCRegisterGuard(mux, &peer{}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String(), listener
}

func TestMessagesAreCounted(t *testing.T) {
	address, _ := servePeer(t)
	var mu sync.Mutex
	counted := map[string]int{}
	pool := connector.New(nil, func(to, method string, bytes int) {
		mu.Lock()
		defer mu.Unlock()
		counted[to+" "+method] += bytes
	}, nil)
	t.Cleanup(func() { require.NoError(t, pool.Close()) })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)

	request := &messenger.ResolveRequest{Attempt: make([]byte, 16), Key: "k"}
	reply, err := pool.GuardClient(ctx, address).Resolve(ctx, request)
	require.NoError(t, err)
	stream, err := pool.GuardClient(ctx, address).Forward(ctx)
	require.NoError(t, err)
	frame := &messenger.Frame{Part: &messenger.Frame_Data{Data: make([]byte, 1000)}}
	require.NoError(t, stream.Send(frame))
	_, err = stream.Recv()
	require.NoError(t, err)
	require.NoError(t, stream.Close())

	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, map[string]int{
		address + " Resolve": proto.Size(request) + proto.Size(reply),
		address + " Forward": 2 * proto.Size(frame),
	}, counted)
}

// resolve makes one call within a time limit.
func resolve(pool *connector.Connector, address string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := pool.GuardClient(ctx, address).Resolve(ctx, &messenger.ResolveRequest{Attempt: make([]byte, 16)})
	return err
}

// openStreams opens streams side by side, so that each needs a connection of its own, and
// ends them. It leaves the connections idle.
func openStreams(t *testing.T, pool *connector.Connector, address string, count int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	streams := make([]messenger.DRPCGuard_ForwardClient, 0, count)
	for range count {
		stream, err := pool.GuardClient(ctx, address).Forward(ctx)
		require.NoError(t, err)
		require.NoError(t, stream.Send(&messenger.Frame{Part: &messenger.Frame_End{End: true}}))
		streams = append(streams, stream)
	}
	for _, stream := range streams {
		_, err := stream.Recv()
		require.NoError(t, err)
		_, err = stream.Recv()
		require.ErrorIs(t, err, io.EOF, "the peer ends the stream")
		require.NoError(t, stream.Close())
		<-stream.Context().Done()
	}
}

// TestSilentConnectionsAreNotUsedAgain guards against a peer that no call reaches, although
// new connections to it work, because a cancelled call leaves its silent connection to the next.
func TestSilentConnectionsAreNotUsedAgain(t *testing.T) {
	const idle = 4
	t.Run("AfterOneUnansweredCall", func(t *testing.T) {
		address, connections := servePeer(t)
		pool := connector.New(nil, nil, nil)
		t.Cleanup(func() { _ = pool.Close() })
		openStreams(t, pool, address, idle)
		require.Equal(t, idle, connections.Mute())

		require.Error(t, resolve(pool, address, 200*time.Millisecond))
		require.NoError(t, resolve(pool, address, 10*time.Second))
	})
	t.Run("AfterOneUnansweredStream", func(t *testing.T) {
		address, connections := servePeer(t)
		dropped := make(chan int, 1)
		pool := connector.New(nil, nil, func(_ string, _ time.Duration, idleClosed int) { dropped <- idleClosed })
		t.Cleanup(func() { _ = pool.Close() })
		openStreams(t, pool, address, idle)
		require.Equal(t, idle, connections.Mute())

		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		t.Cleanup(cancel)
		stream, err := pool.GuardClient(ctx, address).Forward(ctx)
		require.NoError(t, err)
		_, err = stream.Recv()
		require.Error(t, err)
		require.Equal(t, idle-1, <-dropped)
		require.NoError(t, resolve(pool, address, 10*time.Second))
	})
	t.Run("NotAfterAnsweredOnes", func(t *testing.T) {
		address, connections := servePeer(t)
		pool := connector.New(nil, nil, nil)
		t.Cleanup(func() { _ = pool.Close() })
		for range idle {
			openStreams(t, pool, address, 1)
			require.NoError(t, resolve(pool, address, 10*time.Second))
		}
		require.Equal(t, 1, connections.Mute())
	})
}

// TestRunningCallsEndAfterSilence guards against requests that wait out their whole time
// limit for an answer on a connection that went silent while the request ran.
func TestRunningCallsEndAfterSilence(t *testing.T) {
	// The connection has to fail after 3 s; the operating system's timers count in seconds.
	const detected = 4 * time.Second
	address, connections := servePeer(t)
	pool := connector.New(nil, nil, nil)
	t.Cleanup(func() { _ = pool.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	stream, err := pool.GuardClient(ctx, address).Forward(ctx)
	require.NoError(t, err)
	require.NoError(t, stream.Send(&messenger.Frame{Part: &messenger.Frame_Data{Data: make([]byte, 10)}}))
	_, err = stream.Recv()
	require.NoError(t, err)

	require.Equal(t, 1, connections.Mute())
	muted := time.Now()
	_, err = stream.Recv()
	require.Error(t, err)
	require.Less(t, time.Since(muted), detected)
}
