package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/connector"
	"github.com/foxtailhall/foxtailhall/transport/guard"
)

const (
	// ticksPerPing is how many ticks of the guard there are to one of the gossip.
	ticksPerPing = int(gossiper.PingPeriod / guard.TickPeriod)
	// snapshotCheckPeriod is the interval of checks whether a snapshot of the
	// configuration is due.
	snapshotCheckPeriod = time.Second
)

func (r *Runner) startServers(ctx context.Context, group *errgroup.Group, peers net.Listener) {
	group.Go(func() error { return r.servePeers(ctx, peers) })
	group.Go(r.router.Run)
	group.Go(r.admin.Run)
}

func (r *Runner) servePeers(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterGuard(mux, &responder{runner: r}); err != nil {
		return fmt.Errorf("registering the guard: %w", err)
	}
	options := drpcserver.Options{
		Manager: connector.Options(),
		Log:     r.logPeerError,
	}
	if err := drpcserver.NewWithOptions(&containedHandler{Handler: mux, log: r.deps.Log}, options).Serve(ctx, listener); err != nil {
		return fmt.Errorf("serving other processes: %w", err)
	}
	return nil
}

// logPeerError logs why a connection from another process ended. A connection
// closed by the other side is normal and logged at debug level only.
func (r *Runner) logPeerError(err error) {
	level := slog.LevelWarn
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		level = slog.LevelDebug
	}
	r.deps.Log.Log(context.Background(), level, "PeerConnectionEnded", "Error", strings.ReplaceAll(err.Error(), "\n", " "))
}

func (r *Runner) startLoops(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return r.refreshServiceTable(ctx) })
	group.Go(func() error { return r.tick(ctx) })
	group.Go(func() error { return r.quotas.run(ctx) })
	if r.deps.Source != nil {
		group.Go(func() error { return r.followSource(ctx) })
		group.Go(func() error { return r.registerAtSource(ctx) })
		group.Go(func() error { return r.keepDepartures(ctx) })
		return
	}
	group.Go(func() error { return every(ctx, snapshotCheckPeriod, func() { r.appendSnapshot(ctx) }) })
	group.Go(func() error { return r.followConfiguration(ctx) })
	group.Go(func() error { return r.claims.follow(ctx) })
	group.Go(func() error { return r.claims.writeBatches(ctx) })
	group.Go(func() error { return r.registerOnLog(ctx) })
}

// tick drives everything that depends on time but the configuration. One timer for
// all of it keeps an idle process from waking up often.
func (r *Runner) tick(ctx context.Context) error {
	ticks := 0
	return every(ctx, guard.TickPeriod, func() {
		r.guard.Tick(r.roster.Load().HealthySlots)
		r.sendDueReport(ctx)
		r.tickEjectors()
		if ticks++; ticks%ticksPerPing == 0 || r.urgent.Swap(false) {
			r.gossipOnce(ctx)
			r.probeSilentServers(ctx)
		}
	})
}

// refreshServiceTable updates the router's service table and the retry budget
// after changes of the roster, the configuration or the settings.
func (r *Runner) refreshServiceTable(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.refresh:
			r.serviceTable.Update(r.now().Mono, *r.roster.Load())
			r.guard.SetAllowance(r.retryAllowance)
		}
	}
}

// requestRefresh makes refreshServiceTable run. Requests are coalesced.
func (r *Runner) requestRefresh() {
	select {
	case r.refresh <- struct{}{}:
	default:
	}
}

// retryAllowance returns the retry budget for one server of a service. With a
// Source the limit applies to the fleet and is divided by the number of the
// service's servers. The divisor is the largest number known so far, so that a
// process that loses contact with some servers does not exceed its share.
func (r *Runner) retryAllowance(service string) retrier.Allowance {
	settings := r.settings.Load()
	if r.deps.Source == nil {
		policy, _ := r.catalog().PolicyOf(service)
		return retrier.Allowance{Share: policy.RetryShare, Burst: retrier.DefaultBurst, Debt: retrier.DefaultBurst}
	}
	pool := r.roster.Load().Pool(service)
	r.maxKnownServers[service] = max(r.maxKnownServers[service], len(pool), minAssumedServers)
	fleet := retrier.FleetLimit{Share: settings.RetryShare, Slack: settings.RetrySlack, Window: settings.RetryWindow}
	return fleet.Allowance(r.maxKnownServers[service], r.rankIn(pool))
}

// rankIn returns the number of servers in a pool that started before the own one.
func (r *Runner) rankIn(pool []registrar.Member) int {
	rank := 0
	for _, member := range pool {
		if member.Incarnation < r.incarnation {
			rank++
		}
	}
	return rank
}

// minAssumedServers is the smallest number of servers that a process assumes for a
// service, since a starting process does not know all of them.
const minAssumedServers = 6
