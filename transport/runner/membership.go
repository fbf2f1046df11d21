package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/coordination/warner"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
	"github.com/foxtailhall/foxtailhall/transport/appender"
	"github.com/foxtailhall/foxtailhall/transport/converter"
)

const (
	// pingTimeout bounds a ping and its reply.
	pingTimeout = 500 * time.Millisecond
	// relayTimeout bounds a ping relayed by another process, both hops included.
	relayTimeout = time.Second
	// probeAfterSilence is how long requests may be in flight at a server without
	// any message from it before it is pinged.
	probeAfterSilence = 1500 * time.Millisecond
	// registrationsPerRetention is the number of times that a process renews its
	// record on the log within the log's retention time.
	registrationsPerRetention = 3
	// maxRegistered is the number of processes, the longest running ones, that
	// renew their records.
	maxRegistered = 20
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = 2 * time.Second
	// discoveryPeriod is the interval at which a process without peers reads
	// their addresses from the log.
	discoveryPeriod = 5 * time.Second
)

// publishRoster makes the gossiper's roster visible to readers without the lock.
// The caller holds gossipMu or has exclusive access to the runner.
func (r *Runner) publishRoster() {
	roster := r.gossip.Roster()
	self := r.gossip.Self()
	before := r.roster.Swap(&roster)
	r.self.Store(&self)
	if before == nil || before.Digest() != roster.Digest() {
		r.requestRefresh()
	}
}

// updateMemberStatus gossips a changed state of the backend server.
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

// renewMemberStatus raises the version of the own entry if it names no server and has
// never changed, so that peers can tell that a server has left.
func (r *Runner) renewMemberStatus() {
	r.gossipMu.Lock()
	defer r.gossipMu.Unlock()
	if self := r.gossip.Self(); self.Version == enroller.FirstVersion {
		r.gossip.SetSelf(self)
		r.publishRoster()
	}
}

// announceGone gossips that the process has stopped. Without an HTTPAddress the entry differs
// from that of a process that others believe to be gone, and its share of quotas is freed.
func (r *Runner) announceGone() {
	r.gossipMu.Lock()
	defer r.gossipMu.Unlock()
	self := r.gossip.Self().WithState(registrar.StateGone)
	self.HTTPAddress = ""
	r.gossip.SetSelf(self)
	r.publishRoster()
}

func (r *Runner) gossipOnce(ctx context.Context) {
	r.gossipMu.Lock()
	now := r.now()
	r.gossip.SetConfigVersion(r.catalog().Version())
	avoid, avoidNonIdempotent := r.guard.Avoidance()
	r.gossip.SetWarning(now, avoid, avoidNonIdempotent)
	pings := r.gossip.Tick(now)
	r.publishRoster()
	r.gossipMu.Unlock()
	if server := r.trackedServer(r.incarnation); server != nil {
		server.RecordWarning(now.Mono, avoid, avoidNonIdempotent)
	}
	for _, ping := range pings {
		go r.ping(ctx, ping)
	}
	for _, process := range r.statements.Due(*r.roster.Load()) {
		go r.ping(ctx, r.pingTo(process))
	}
	r.inquire(ctx)
	r.checkAlone()
}

// ping sends one gossip message. If a known member does not reply, other members
// are asked to ping it.
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

// exchangeGossip sends a ping and returns the reply. Both tell what the other process may not
// know that its server said of itself.
func (r *Runner) exchangeGossip(ctx context.Context, ping gossiper.Ping) (gossiper.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	ping.Message.Heard = r.statements.UnknownTo(registrar.Member{Address: ping.Address, Incarnation: ping.Incarnation})
	reply, err := r.connector.GuardClient(ctx, ping.Address).Gossip(ctx, converter.GossipToProto(ping.Message))
	if err != nil {
		return gossiper.Message{}, fmt.Errorf("exchanging gossip: %w", err)
	}
	received := converter.GossipFromProto(reply)
	r.statements.RecordTold(received.Sender, ping.Message.Heard, "Way", "Ping")
	r.receiveStatement(received.Sender, received.Heard)
	return received, nil
}

// handleAck merges the reply to a ping and sends the further pings that it requires.
func (r *Runner) handleAck(ctx context.Context, ping gossiper.Ping, reply gossiper.Message) {
	r.gossipMu.Lock()
	more := r.gossip.Acked(r.now(), reply)
	warnings := r.gossip.TakeWarnings()
	r.publishRoster()
	r.gossipMu.Unlock()
	r.recordWarnings(warnings)
	r.recordContact(ping.Incarnation)
	r.applyEra()
	r.checkVouched(reply)
	r.checkPredecessor(ctx)
	r.fetchIfNewer(ctx, ping.Address, reply.ConfigVersion)
	for _, next := range more {
		go r.ping(ctx, next)
	}
}

// countPeerBytes counts the bytes of a message to or from another process, by the
// call and by whether it crosses the border of the own availability zone.
func (r *Runner) countPeerBytes(address, method string, bytes int) {
	member, ok := r.roster.Load().MemberAt(address)
	relation := "Unknown"
	switch {
	case ok && member.Zone == r.deps.Settings.Zone:
		relation = "Same"
	case ok:
		relation = "Other"
	}
	r.deps.Meter.CountPeerBytes(method, relation, bytes)
}

// recordSilence records a connection that was closed since nothing arrived on it during a call.
func (r *Runner) recordSilence(address string, after time.Duration, idleClosed int) {
	r.deps.Log.Info("ConnectionSilent", "Peer", address, "AfterMs", after.Milliseconds(), "IdleClosed", idleClosed)
	r.deps.Meter.CountEvent("ConnectionSilent")
}

// recordContact records that the path to a member works in both directions.
func (r *Runner) recordContact(incarnation uint64) {
	if server := r.trackedServer(incarnation); server != nil {
		server.RecordContact(r.now().Mono)
	}
}

// recordWarnings passes warnings on to the router.
func (r *Runner) recordWarnings(warnings []warner.Warning) {
	for _, warning := range warnings {
		if server := r.trackedServer(warning.Incarnation); server != nil {
			server.RecordWarning(r.now().Mono, warning.Avoid, warning.AvoidNonIdempotent)
		}
	}
}

// trackedServer returns the router's record of a member, or nil if it serves nothing.
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

// pingIndirectly asks other members to ping a member that did not reply, and marks
// it as unreachable if none of them gets a reply.
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

// probeSilentServers pings the servers that have been silent while requests are in
// flight at them.
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
	return r.gossip.PingTo(r.now(), member)
}

// memberRecord is one record of the members stream.
type memberRecord struct {
	Address     string `json:"Address"`
	Incarnation uint64 `json:"Incarnation,string"`
}

// registerOnLog keeps this process's address on the log until the context is done
// and starts peer discovery.
func (r *Runner) registerOnLog(ctx context.Context) error {
	entry, err := json.Marshal(memberRecord{Address: r.deps.Settings.PeerAddress, Incarnation: r.incarnation})
	if err != nil {
		return fmt.Errorf("encoding the member record: %w", err)
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

// rank returns the number of live members that started before this process, by
// their incarnations. Leaving members don't count.
func (r *Runner) rank() int {
	rank := 0
	for _, member := range r.roster.Load().Members() {
		if member.State.Live() && member.State != registrar.StateLeaving && member.Incarnation < r.incarnation {
			rank++
		}
	}
	return rank
}

// discoverPeers adds addresses from the log as seeds while no peer is known.
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

// alone reports whether no other live member is known.
func (r *Runner) alone() bool {
	for _, member := range r.roster.Load().Members() {
		if member.Incarnation != r.incarnation && member.State.Live() {
			return false
		}
	}
	return true
}

// readPeers adds the addresses on the log from an offset on as seeds and returns
// the offset to read next.
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
