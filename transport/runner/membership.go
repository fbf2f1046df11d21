package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
	"github.com/foxtailhall/foxtailhall/transport/appender"
	"github.com/foxtailhall/foxtailhall/transport/converter"
)

const (
	// pingTimeout is how long a reply to a ping may take.
	pingTimeout = 500 * time.Millisecond
	// relayTimeout is how long a relayed ping may take in all.
	relayTimeout = time.Second
	// probeAfterSilence is how long requests may be in flight without a sign before the path is probed.
	probeAfterSilence = 1500 * time.Millisecond
	// registrationsPerRetention is how many times an entry on the log is renewed within the log's retention.
	registrationsPerRetention = 3
	// maxRegistered is how many processes, the longest running, renew their entries.
	maxRegistered = 20
	// registerRetryDelay is the pause after a failed entry.
	registerRetryDelay = 2 * time.Second
	// discoveryPeriod is how often the log is read for addresses.
	discoveryPeriod = 5 * time.Second
)

// publishRoster publishes the gossip's view to the readers. The caller holds
// gossipMu, or is the only one to know the runner.
func (r *Runner) publishRoster() {
	roster := r.gossip.Roster()
	self := r.gossip.Self()
	before := r.roster.Swap(&roster)
	r.self.Store(&self)
	if before == nil || before.Digest() != roster.Digest() {
		r.requestRefresh()
	}
}

// updateMemberStatus tells the fleet of the guard's new status.
func (r *Runner) updateMemberStatus() {
	r.gossipMu.Lock()
	defer r.gossipMu.Unlock()
	status := r.guard.MemberStatus()
	self := r.gossip.Self()
	if self.Service == status.Service && self.Slots == status.Slots && self.State == status.State {
		return
	}
	self.Service, self.Slots, self.State = status.Service, status.Slots, status.State
	r.gossip.SetSelf(self)
	r.publishRoster()
}

// announceGone tells the fleet that the process is gone.
func (r *Runner) announceGone() {
	r.gossipMu.Lock()
	defer r.gossipMu.Unlock()
	r.gossip.SetSelf(r.gossip.Self().WithState(registrar.StateGone))
	r.publishRoster()
}

func (r *Runner) gossipOnce(ctx context.Context) {
	r.gossipMu.Lock()
	r.gossip.SetConfigVersion(r.catalog().Version())
	pings := r.gossip.Tick(r.now())
	r.publishRoster()
	r.gossipMu.Unlock()
	for _, ping := range pings {
		go r.ping(ctx, ping)
	}
}

// ping sends one message and handles its reply or the lack of one.
func (r *Runner) ping(ctx context.Context, ping gossiper.Ping) {
	reply, err := r.exchangeGossip(ctx, ping)
	if err == nil && (ping.Incarnation == 0 || reply.Sender.Incarnation == ping.Incarnation) {
		r.handleAck(ctx, ping, reply)
		return
	}
	if ping.Incarnation == 0 {
		return
	}
	r.deps.Log.Debug("PingFailed", "Address", ping.Address, "Error", err)
	r.pingIndirectly(ctx, ping.Incarnation)
}

func (r *Runner) exchangeGossip(ctx context.Context, ping gossiper.Ping) (gossiper.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	reply, err := r.connector.GuardClient(ctx, ping.Address).Gossip(ctx, converter.GossipToProto(ping.Message))
	if err != nil {
		return gossiper.Message{}, fmt.Errorf("exchanging gossip: %w", err)
	}
	return converter.GossipFromProto(reply), nil
}

func (r *Runner) handleAck(ctx context.Context, ping gossiper.Ping, reply gossiper.Message) {
	r.gossipMu.Lock()
	more := r.gossip.Acked(r.now(), reply)
	r.publishRoster()
	r.gossipMu.Unlock()
	r.recordContact(ping.Incarnation)
	r.fetchIfNewer(ctx, ping.Address, reply.ConfigVersion)
	for _, next := range more {
		go r.ping(ctx, next)
	}
}

// recordContact notes in all lanes that the path to a member works in both directions.
func (r *Runner) recordContact(incarnation uint64) {
	if server := r.trackedServer(incarnation); server != nil {
		server.RecordContact(r.now().Mono)
	}
}

// trackedServer returns the router's view of a member, nil if it serves nothing.
func (r *Runner) trackedServer(incarnation uint64) *tracker.Server {
	member, ok := r.roster.Load().Member(incarnation)
	if !ok {
		return nil
	}
	service := r.serviceTable.ServiceState(member.Service)
	if service == nil {
		return nil
	}
	entry, _ := service.Pool.Find(incarnation)
	return entry.Server
}

// pingIndirectly asks others to try a member that did not answer.
func (r *Runner) pingIndirectly(ctx context.Context, incarnation uint64) {
	r.gossipMu.Lock()
	relays := r.gossip.Failed(incarnation)
	r.gossipMu.Unlock()
	if server := r.trackedServer(incarnation); server != nil {
		server.RecordFailure(r.now().Mono)
	}
	reached := make(chan bool, len(relays))
	for _, relay := range relays {
		go func() { reached <- r.requestRelay(ctx, relay) }()
	}
	for range relays {
		if <-reached {
			r.deps.Log.Info("PathCut", "Server", relays[0].Target.Address)
			return
		}
	}
	if ctx.Err() != nil {
		return
	}
	r.markUnreachable(incarnation)
}

func (r *Runner) requestRelay(ctx context.Context, relay gossiper.Relay) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := r.connector.GuardClient(ctx, relay.Via.Address).Relay(ctx, &messenger.RelayRequest{
		Address:     relay.Target.Address,
		Incarnation: relay.Target.Incarnation,
	})
	return err == nil && reply.Reached
}

func (r *Runner) markUnreachable(incarnation uint64) {
	r.gossipMu.Lock()
	defer r.gossipMu.Unlock()
	r.gossip.Unreached(r.now(), incarnation)
	r.publishRoster()
	if member, ok := r.gossip.Roster().Member(incarnation); ok {
		r.deps.Log.Info("Unreachable", "Server", member.Address, "Service", member.Service)
		r.deps.Meter.CountEvent("Unreachable")
	}
}

// probeSilentServers pings the servers that have been silent while requests wait for them.
func (r *Runner) probeSilentServers(ctx context.Context) {
	now := r.now().Mono
	for _, service := range r.serviceTable.All() {
		for _, entry := range service.Pool.Entries {
			if entry.Server.SilentFor(now) > probeAfterSilence && entry.Server.StartProbe(now) {
				go r.ping(ctx, r.pingTo(entry.Member))
			}
		}
	}
}

func (r *Runner) pingTo(member registrar.Member) gossiper.Ping {
	r.gossipMu.Lock()
	defer r.gossipMu.Unlock()
	return r.gossip.PingTo(member)
}

// memberRecord is an entry of the members stream.
type memberRecord struct {
	Address     string `json:"Address"`
	Incarnation uint64 `json:"Incarnation,string"`
}

// registerOnLog leaves the own address on the log and looks there for others while alone.
func (r *Runner) registerOnLog(ctx context.Context) error {
	entry, err := json.Marshal(memberRecord{Address: r.deps.Settings.PeerAddress, Incarnation: r.incarnation})
	if err != nil {
		return fmt.Errorf("encoding the own entry: %w", err)
	}
	go r.discoverPeers(ctx)
	for ctx.Err() == nil {
		if _, err := r.appender.Append(ctx, appender.StreamMembers, entry); err != nil {
			r.deps.Log.Debug("EnlistFailed", "Error", err)
			pause(ctx, registerRetryDelay)
			continue
		}
		for pause(ctx, r.deps.Settings.LogRetention/registrationsPerRetention) && r.rank() >= maxRegistered {
			continue
		}
	}
	return nil
}

// rank counts the live members with lower incarnations, those that started earlier.
func (r *Runner) rank() int {
	rank := 0
	for _, member := range r.roster.Load().Members() {
		if member.State.Live() && member.State != registrar.StateLeaving && member.Incarnation < r.incarnation {
			rank++
		}
	}
	return rank
}

func (r *Runner) discoverPeers(ctx context.Context) {
	var next int64
	for ctx.Err() == nil {
		if r.alone() {
			next = r.readPeers(ctx, next)
		}
		if !pause(ctx, discoveryPeriod) {
			return
		}
	}
}

func (r *Runner) alone() bool {
	for _, member := range r.roster.Load().Members() {
		if member.Incarnation != r.incarnation && member.State.Live() {
			return false
		}
	}
	return true
}

func (r *Runner) readPeers(ctx context.Context, from int64) int64 {
	batch, err := r.appender.Read(ctx, appender.StreamMembers, from, 0)
	if err != nil {
		r.deps.Log.Debug("MembersUnread", "Error", err)
		return from
	}
	r.gossipMu.Lock()
	defer r.gossipMu.Unlock()
	for _, entry := range batch.Entries {
		var found memberRecord
		if err := json.Unmarshal(entry.Data, &found); err != nil {
			r.deps.Log.Warn("MalformedRecord", "Stream", appender.StreamMembers, "Offset", entry.Offset, "Error", err)
			continue
		}
		r.gossip.AddSeeds(found.Address)
	}
	if len(batch.Entries) == 0 {
		return batch.End
	}
	return batch.Entries[len(batch.Entries)-1].Offset + 1
}
