package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/keeper"
)

const (
	// discoveryRetryDelay is the first delay between two attempts to register
	// and to find peers. It doubles up to maxDiscoveryRetryDelay.
	discoveryRetryDelay    = 300 * time.Millisecond
	maxDiscoveryRetryDelay = 5 * time.Second
	// maxReregisterDelay bounds the random delay before a process registers again in a later
	// era of the Source, which the whole fleet does.
	maxReregisterDelay = time.Second
)

// registration tracks whether the Source has the address of this process. It is safe for
// concurrent use.
type registration struct {
	mu     sync.Mutex
	keeper keeper.Keeper
	// wake tells that the era has risen.
	wake chan struct{}
}

func newRegistration() *registration {
	return &registration{keeper: keeper.Keeper{}.WithValue(), wake: make(chan struct{}, 1)}
}

func (g *registration) due() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keeper.Due()
}

// setEra records the latest known era of the Source.
func (g *registration) setEra(era uint64) {
	g.mu.Lock()
	g.keeper = g.keeper.WithEra(era)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// setKept records that the Source has acknowledged the address in an era.
func (g *registration) setKept(era uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keeper = g.keeper.WithKept(g.keeper.Value(), era)
}

// registerAtSource registers the address of this process, again in each era of the Source,
// and adds the registered addresses as gossip seeds until a peer is alive.
func (r *Runner) registerAtSource(ctx context.Context) error {
	retry := discoveryRetryDelay
	found := false
	for ctx.Err() == nil && !r.stopping.Load() {
		if !r.registration.due() && found && !r.alone() {
			select {
			case <-ctx.Done():
			case <-r.registration.wake:
				pause(ctx, rand.N(maxReregisterDelay))
			}
			retry = discoveryRetryDelay
			continue
		}
		if r.registration.due() {
			era, err := r.deps.Source.Register(ctx, r.deps.Settings.PeerAddress)
			r.logStoreResult("Enlisted", err)
			if err == nil {
				r.registration.setKept(era)
				r.recordEra(era)
			}
		}
		if !found || r.alone() {
			found = r.addSourcePeers(ctx) || found
		}
		pause(ctx, retry)
		retry = min(2*retry, maxDiscoveryRetryDelay)
	}
	return nil
}

// addSourcePeers adds the registered addresses as gossip seeds and reports whether
// they could be read.
func (r *Runner) addSourcePeers(ctx context.Context) bool {
	peers, err := r.deps.Source.Peers(ctx, r.deps.Settings.PeerAddress)
	r.logStoreResult("PeersListed", err)
	if err != nil {
		return false
	}
	r.gossipMu.Lock()
	r.gossip.AddSeeds(peers...)
	r.gossipMu.Unlock()
	r.listPeers(ctx, append(slices.Clone(r.deps.Settings.Peers), peers...))
	return true
}

// logStoreResult logs an event of the Source, or event+"Failed" with its error.
func (r *Runner) logStoreResult(event string, err error) {
	if err != nil {
		r.deps.Log.Warn(event+"Failed", "Error", err)
		return
	}
	r.deps.Log.Info(event)
}

// deregister removes the address of this process at a planned stop.
func (r *Runner) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	r.logStoreResult("Delisted", r.deps.Source.Deregister(ctx, r.deps.Settings.PeerAddress))
}
