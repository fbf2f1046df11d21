package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/transport/administrator"
	"github.com/foxtailhall/foxtailhall/transport/guard"
	"github.com/foxtailhall/foxtailhall/transport/peeker"
	"github.com/foxtailhall/foxtailhall/transport/requester"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	leaveTimeout     = 15 * time.Minute
	// maxAcknowledgementBytes bounds the answer to an announcement.
	maxAcknowledgementBytes = 64 << 10
)

// Announcer registers a stand-in server with the guard on its VM.
type Announcer struct {
	adminAddress string
	announcement guard.Announcement
	calls        *requester.Requester
}

// NewAnnouncer returns an announcer that posts to a process's AdminAddress.
func NewAnnouncer(adminAddress string, announcement guard.Announcement) *Announcer {
	return &Announcer{
		adminAddress: adminAddress, announcement: announcement,
		calls: requester.NewWithDialer(adminAddress, 1, &net.Dialer{Timeout: announceTimeout}),
	}
}

// Run announces the server every announceInterval until the context is canceled. Failed
// announcements are ignored, because the next one repeats them.
func (a *Announcer) Run(ctx context.Context) {
	data, err := json.Marshal(a.announcement)
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		_, _ = a.post(administrator.PathAnnounce, data, announceTimeout)
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// Leave requests a planned stop and returns once the guard has drained.
func (a *Announcer) Leave() error {
	status, err := a.post(administrator.PathLeave, nil, leaveTimeout)
	if err != nil {
		return fmt.Errorf("leaving: %w", err)
	}
	if status != consts.StatusNoContent {
		return fmt.Errorf("leaving: status %d", status)
	}
	return nil
}

func (a *Announcer) post(path string, data []byte, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request := &protocol.Request{}
	request.SetMethod(consts.MethodPost)
	request.SetRequestURI("http://" + a.adminAddress + path)
	request.SetBodyStream(bytes.NewReader(data), len(data))
	response, err := a.calls.Once(ctx, request, maxAcknowledgementBytes)
	if err != nil {
		return 0, fmt.Errorf("posting to %s: %w", path, err)
	}
	return response.StatusCode(), nil
}

// connectionClosed reports whether the peer has closed the connection of a request.
func connectionClosed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && peeker.Peek(conn) == peeker.StateClosed
}
