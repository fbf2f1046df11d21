package runner

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
)

// maxAskTime bounds the wait for a peer that is asked about the process before this one.
const maxAskTime = 300 * time.Millisecond

// listPeers records the addresses of peers that were read, and asks some of these peers.
func (r *Runner) listPeers(ctx context.Context, addresses []string) {
	r.announcementMu.Lock()
	r.inquiry = r.inquiry.WithListed(addresses)
	r.announcementMu.Unlock()
	r.inquire(ctx)
}

// inquire asks the peers that are to be asked about the process before this one, and applies the
// held announcement once none is left.
func (r *Runner) inquire(ctx context.Context) {
	r.announcementMu.Lock()
	defer r.announcementMu.Unlock()
	if !r.enroller.Inquiring() {
		return
	}
	now, self, members := r.now(), *r.self.Load(), r.roster.Load().Members()
	next := r.inquiry.Next(self, members)
	r.inquiry = r.inquiry.WithAsked(next...)
	for i, address := range next {
		go r.askPeer(ctx, address, i == 0)
	}
	if !r.inquiry.Done(now, self, members) {
		return
	}
	r.enroller = r.enroller.WithoutInquiry()
	r.deps.Log.Info("PeersAsked", "Asked", r.inquiry.Asked(), "Answered", r.inquiry.Answered(),
		"LastLeft", r.enroller.Departure().ID, "UpMs", now.Mono.Milliseconds())
	r.deps.Meter.ObserveInquiry(now.Mono)
	r.releaseHeld(now)
}

// askPeer asks a peer what it knows of the backend server beside this process. The first one of
// several names its other peers as well if it is not known yet.
func (r *Runner) askPeer(ctx context.Context, address string, first bool) {
	reply, err := r.joinPeer(ctx, address, first)
	if err != nil {
		r.deps.Log.Debug("PingFailed", "Address", address, "Error", err)
	}
	r.announcementMu.Lock()
	r.inquiry = r.inquiry.WithReply(address, err == nil)
	r.announcementMu.Unlock()
	r.deps.Log.Debug("PeerAsked", "Peer", address, "Left", reply.Heard.Departure.ID, "Limited", reply.Heard.Limit.ID)
	r.inquire(ctx)
}

// joinPeer pings the process at an address and merges its reply.
func (r *Runner) joinPeer(ctx context.Context, address string, first bool) (gossiper.Message, error) {
	askCtx, cancel := context.WithTimeout(ctx, maxAskTime)
	defer cancel()
	ping := r.firstPing(address, first)
	reply, err := r.exchangeGossip(askCtx, ping)
	if err == nil && (ping.Incarnation == 0 || reply.Sender.Incarnation == ping.Incarnation) {
		r.handleAck(ctx, ping, reply)
	}
	return reply, err
}

func (r *Runner) firstPing(address string, full bool) gossiper.Ping {
	r.gossipMu.Lock()
	defer r.gossipMu.Unlock()
	if member, ok := r.gossip.Roster().MemberAt(address); ok {
		return r.gossip.PingTo(r.now(), member)
	}
	return r.gossip.PingToSeed(r.now(), address, full)
}
