package runner

import (
	"log/slog"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

var errPanicked = eris.New("handling the call failed with an internal error")

// containedHandler passes calls of other processes on. A panic ends its call alone
// instead of the process.
type containedHandler struct {
	drpc.Handler
	log *slog.Logger
}

// HandleRPC handles one call.
func (h *containedHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			h.log.Error("Panicked", "Call", rpc, "Cause", cause, "Stack", string(debug.Stack()))
			err = errPanicked
		}
	}()
	return h.Handler.HandleRPC(stream, rpc) //nolint:wrapcheck // The server logs the handler's own error.
}
