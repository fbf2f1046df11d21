package runner

import (
	"sync"
	"time"
)

const (
	// fetchTimeout bounds fetching a configuration version from a peer.
	fetchTimeout = time.Second
	// fetchOverdue is the time after which another peer is asked while a fetch goes on: the
	// first one may have stopped answering.
	fetchOverdue = 300 * time.Millisecond
)

// fetches tracks the fetches of configuration versions in progress. It is safe for
// concurrent use.
type fetches struct {
	mu     sync.Mutex
	active int
	// lastAt is the monotonic time of the last begin.
	lastAt time.Duration
}

// begin reports whether a fetch may begin at a monotonic time. If so, end must be called.
func (f *fetches) begin(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active > 0 && now-f.lastAt < fetchOverdue {
		return false
	}
	f.active++
	f.lastAt = now
	return true
}

func (f *fetches) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active--
}
