package connector_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
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
	return stream.Send(frame)
}

func servePeer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
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
	return listener.Addr().String()
}

func TestMessagesAreCounted(t *testing.T) {
	address := servePeer(t)
	var mu sync.Mutex
	counted := map[string]int{}
	pool := connector.New(nil, func(to, method string, bytes int) {
		mu.Lock()
		defer mu.Unlock()
		counted[to+" "+method] += bytes
	})
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
