package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/guard"
)

// HandleAnnouncement handles an announcement or a leave notice of the backend server. It
// returns once the guard has applied it and, if the server leaves, once the Source keeps
// that for later processes on this VM and peers were told.
func (r *Runner) HandleAnnouncement(announcement enroller.Announcement, coldStart time.Duration) error {
	departure, err := r.applyAnnouncement(announcement, coldStart)
	if err != nil {
		return err
	}
	if !announcement.Leaving || departure.ID != announcement.ID {
		return nil
	}
	told := make(chan struct{})
	go func() {
		defer close(told)
		r.tellNearPeers()
	}()
	if err := r.departures.await(departure); err != nil {
		return err
	}
	<-told
	return nil
}

const (
	// maxTellTime bounds the wait until peers know that the server left. The Source knows it
	// by then.
	maxTellTime = 300 * time.Millisecond
	// toldPeers is how many peers are told, those of the own availability zone first: only
	// they tell other zones.
	toldPeers = 3
	// askedPeers is how many are asked.
	askedPeers = 5
	// spreadTime is how long after its start a process relies on what peers know of the one
	// before it. What one of them learned has reached the others by then.
	spreadTime = time.Second
)

// tellNearPeers sends the own entry and the last departure to some peers and waits for their
// replies. They tell a successor of this process.
func (r *Runner) tellNearPeers() {
	r.announcementMu.Lock()
	own := witness.Statement{Departure: r.enroller.Departure()}
	r.announcementMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), maxTellTime)
	defer cancel()
	var told sync.WaitGroup
	for _, peer := range enroller.Witnesses(*r.self.Load(), r.roster.Load().Members(), toldPeers) {
		told.Go(func() {
			ping := r.pingTo(peer)
			ping.Message.Own = own
			reply, err := r.exchangeGossip(ctx, ping)
			if err != nil {
				r.deps.Log.Debug("PingFailed", "Address", peer.Address, "Error", err)
				return
			}
			r.handleAck(context.Background(), ping, reply)
		})
	}
	told.Wait()
}

// heldAnnouncement is an announcement that may be from a run that has left.
type heldAnnouncement struct {
	announcement enroller.Announcement
	coldStart    time.Duration
}

// applyAnnouncement applies an announcement and returns the last run that left.
func (r *Runner) applyAnnouncement(announcement enroller.Announcement, coldStart time.Duration) (enroller.Departure, error) {
	r.announcementMu.Lock()
	defer r.announcementMu.Unlock()
	announcement.ReceivedAt = r.now()
	return r.enroll(announcement, coldStart)
}

// enroll applies an announcement and returns the last run that left. The caller holds
// announcementMu.
func (r *Runner) enroll(announcement enroller.Announcement, coldStart time.Duration) (enroller.Departure, error) {
	next, verdict := r.enroller.WithAnnouncement(announcement)
	if verdict != enroller.VerdictAnnounced && verdict != enroller.VerdictRetired {
		latest := next.Latest()
		r.deps.Log.Info("AnnouncementIgnored", "Server", announcement.ID, "Verdict", verdict.String(),
			"Address", announcement.Address, "Sequence", announcement.Sequence, "StartedMs", announcement.StartedMs,
			"Leaving", announcement.Leaving, "Latest", latest.ID, "LatestStartedMs", latest.StartedMs,
			"LatestLeaving", latest.Leaving)
	}
	if announcement.Leaving {
		_, err := r.applyLeave(next, announcement.ID, verdict)
		return next.Departure(), err
	}
	return next.Departure(), r.applyReady(next, announcement, verdict, coldStart)
}

// applyLeave applies that a run leaves, however that was learned: the guard retires the run and
// the Source keeps the departure. It reports whether there is a new departure, which peers are
// to be told. The caller holds announcementMu.
func (r *Runner) applyLeave(next enroller.Enroller, run string, verdict enroller.Verdict) (departed bool, err error) {
	departed = next.Departure() != r.enroller.Departure()
	r.enroller = next
	r.departures.keep(next.Departure())
	if verdict != enroller.VerdictRetired {
		return departed, nil
	}
	if err := r.guard.Retire(run); err != nil {
		return departed, fmt.Errorf("retiring %s: %w", run, err)
	}
	r.renewMemberStatus()
	return departed, nil
}

// applyReady applies an announcement of a run that does not leave. The caller holds announcementMu.
func (r *Runner) applyReady(next enroller.Enroller, announcement enroller.Announcement, verdict enroller.Verdict,
	coldStart time.Duration,
) error {
	known := r.enroller
	r.enroller = next
	switch verdict {
	case enroller.VerdictAnnounced:
		r.held.Store(nil)
		r.logBelieved(known, announcement)
	case enroller.VerdictHeld:
		r.held.Store(&heldAnnouncement{announcement: announcement, coldStart: coldStart})
		return nil
	default:
		return nil
	}
	err := r.guard.Announce(guard.Announcement{
		Address: announcement.Address, Run: announcement.ID, Service: announcement.Service, Slots: announcement.Slots,
		ColdStart: coldStart, StartedMs: announcement.StartedMs,
	})
	if err != nil {
		return fmt.Errorf("announcing %s to the guard: %w", announcement.ID, err)
	}
	return nil
}

// logBelieved logs why the first announcement of a run is believed.
func (r *Runner) logBelieved(known enroller.Enroller, announcement enroller.Announcement) {
	latest, left := known.Latest(), known.Departure()
	if latest.ID == announcement.ID && latest.StartedMs == announcement.StartedMs {
		return
	}
	r.deps.Log.Info("AnnouncementBelieved", "Server", announcement.ID, "StartedMs", announcement.StartedMs,
		"Sequence", announcement.Sequence, "Ground", string(known.Ground(announcement.ReceivedAt)),
		"Asked", r.inquiry.Asked(), "Answered", r.inquiry.Answered(),
		"LastLeft", left.ID, "LastLeftStartedMs", left.StartedMs)
}

// checkPredecessor applies the held announcement if peers show that it is not from a run
// that has left. Peers are asked for all that they know first.
func (r *Runner) checkPredecessor(ctx context.Context) {
	if r.held.Load() == nil || r.now().Mono < spreadTime || !r.asking.CompareAndSwap(false, true) {
		return
	}
	defer r.asking.Store(false)
	asked, askedLongRunning := 0, 0
	for _, peer := range enroller.Witnesses(*r.self.Load(), r.roster.Load().Members(), askedPeers) {
		if !r.askForAll(ctx, peer) {
			continue
		}
		asked++
		if r.longRunning(peer) {
			askedLongRunning++
		}
	}
	held := r.held.Load()
	if asked == 0 || held == nil {
		return
	}
	last, ruledOut := enroller.RuledOut(*r.self.Load(), held.announcement.Service, r.roster.Load().Members())
	// Only a member that has run for long enough knows that there was no earlier process. It
	// is not needed if the Source has no departure either, though it may have lost one.
	if ruledOut && (last.Incarnation > 0 || askedLongRunning > 0 || r.doubted()) {
		r.deps.Log.Info("DepartureRuledOut", "Server", held.announcement.ID, "Asked", asked,
			"Predecessor", last.Incarnation, "Version", last.Version, "Service", last.Service)
		r.ruleOutDeparture()
	}
}

// longRunning reports whether a member was running long before this process started.
func (r *Runner) longRunning(member registrar.Member) bool {
	return member.Incarnation < uint64(r.started.Add(-enroller.MaxDelay).UnixMilli())<<incarnationRandomBits
}

// doubted reports whether the Source may have lost a later departure than the recalled one.
func (r *Runner) doubted() bool {
	r.announcementMu.Lock()
	defer r.announcementMu.Unlock()
	return r.enroller.Doubted()
}

// checkVouched takes the recalled departure for the last one if a peer shows that the Source
// did not come back from an older copy lately.
func (r *Runner) checkVouched(reply gossiper.Message) {
	r.announcementMu.Lock()
	doubted, recalledEra := r.enroller.Doubted(), r.recalledEra
	r.announcementMu.Unlock()
	if doubted && enroller.Vouches(r.longRunning(reply.Sender), recalledEra, reply.Era, reply.EraAge) {
		r.deps.Log.Info("DepartureVouched", "Peer", reply.Sender.Address, "Era", reply.Era, "AgeMs", reply.EraAge.Milliseconds())
		r.ruleOutDeparture()
	}
}

// checkAlone takes the recalled departure for the last one if there is no peer to ask.
func (r *Runner) checkAlone() {
	if r.now().Mono > maxJoinWait && r.doubted() && r.alone() {
		r.deps.Log.Info("DepartureUnwitnessed")
		r.ruleOutDeparture()
	}
}

// askForAll merges all entries of a peer's roster and reports whether it replied.
func (r *Runner) askForAll(ctx context.Context, peer registrar.Member) bool {
	r.gossipMu.Lock()
	ping := r.gossip.FullPingTo(r.now(), peer)
	r.gossipMu.Unlock()
	reply, err := r.exchangeGossip(ctx, ping)
	if err != nil || reply.Sender.Incarnation != peer.Incarnation || !reply.Full {
		return false
	}
	r.gossipMu.Lock()
	defer r.gossipMu.Unlock()
	r.gossip.Acked(r.now(), reply)
	r.publishRoster()
	return true
}

// handleLeavingAnswer applies that a run's answers say that it is shutting down, like an
// announcement of that, which may arrive late or never. It returns the run's departure.
func (r *Runner) handleLeavingAnswer(run string, startedMs int64) enroller.Departure {
	departure := enroller.Departure{ID: run, StartedMs: startedMs, LeftMs: r.now().UnixMilli()}
	if last := r.learnLeft("LeavingAnswer", departure); last.SameRun(departure) {
		return last
	}
	return departure
}

// receiveStatement applies what a peer tells of the backend server with its gossip.
func (r *Runner) receiveStatement(peer registrar.Member, said witness.Statement) {
	if said.Empty() {
		return
	}
	r.deps.Log.Info("StatementReceived", append(said.LogFields(), "Way", "Ping", "Peer", peer.Address)...)
	r.learnStatement(said)
}

// learnStatement applies what another process heard the backend server say of itself.
func (r *Runner) learnStatement(said witness.Statement) {
	if r.deps.Source != nil && said.Departure.ID != "" {
		r.learnLeft("DepartureTold", said.Departure)
	}
	if said.Limit.ID != "" {
		r.guard.RecallLimit(said.Limit)
	}
}

// learnLeft applies a departure that was learned in another way than by an announcement or
// from the Source, and logs it if it is news. It waits for neither the Source nor peers, and
// returns the last departure that is then known.
func (r *Runner) learnLeft(event string, departure enroller.Departure) enroller.Departure {
	r.announcementMu.Lock()
	defer r.announcementMu.Unlock()
	next, verdict := r.enroller.WithLeft(departure, r.now())
	latest := r.enroller.Latest()
	departed, err := r.applyLeave(next, departure.ID, verdict)
	if err != nil {
		r.deps.Log.Error("RetireFailed", "Run", departure.ID, "Error", err)
	}
	if !departed {
		return next.Departure()
	}
	r.deps.Log.Info(event, "Run", departure.ID, "StartedMs", departure.StartedMs, "LeftMs", departure.LeftMs,
		"Verdict", verdict.String(), "Latest", latest.ID, "LatestStartedMs", latest.StartedMs)
	r.deps.Meter.CountEvent(event)
	go r.tellNearPeers()
	return next.Departure()
}

// handleDeparture applies the last departure before this process started, or the zero value
// if the Source knows of none, and returns the last departure that is then known. In an era
// that the Source names, it may have lost a later one; peers are asked then.
func (r *Runner) handleDeparture(departure enroller.Departure, era uint64) enroller.Departure {
	r.recordEra(era)
	r.announcementMu.Lock()
	defer r.announcementMu.Unlock()
	now := r.now()
	recall := r.enroller.WithDeparture
	if era > 0 {
		recall = r.enroller.WithDoubtedDeparture
	}
	next, verdict := recall(departure, now)
	r.recalledEra = era
	r.deps.Log.Info("DepartureRecalled", "Server", departure.ID, "StartedMs", departure.StartedMs,
		"LeftMs", departure.LeftMs, "Verdict", verdict.String(), "Era", era)
	if _, err := r.applyLeave(next, departure.ID, verdict); err != nil {
		r.deps.Log.Error("RetireFailed", "Run", departure.ID, "Error", err)
	}
	r.releaseHeld(now)
	return r.enroller.Departure()
}

// ruleOutDeparture records that no departure before this process is unknown.
func (r *Runner) ruleOutDeparture() {
	r.announcementMu.Lock()
	defer r.announcementMu.Unlock()
	now := r.now()
	r.enroller, _ = r.enroller.WithDeparture(enroller.Departure{}, now)
	r.releaseHeld(now)
}

// releaseHeld applies the held announcement once the last departure is known, and tells near
// peers at once that the server is in service. The caller holds announcementMu.
func (r *Runner) releaseHeld(now clocker.Instant) {
	if !r.enroller.Settled(now) {
		return
	}
	held := r.held.Swap(nil)
	if held == nil {
		return
	}
	announcement := held.announcement
	announcement.ReceivedAt = now
	if _, err := r.enroll(announcement, held.coldStart); err != nil {
		r.deps.Log.Warn("AnnouncementRefused", "Server", announcement.ID, "Error", err)
	}
	go r.tellNearPeers()
}

// keepDepartures keeps the departures of the backend server in the Source until the
// context is done.
func (r *Runner) keepDepartures(ctx context.Context) error {
	r.departures.run(ctx, r.handleDeparture, func() bool {
		r.announcementMu.Lock()
		defer r.announcementMu.Unlock()
		return r.enroller.Settled(r.now())
	})
	return nil
}

// maxJoinWait is how long a starting process that knows no peer waits before it
// reports ready.
const maxJoinWait = 1500 * time.Millisecond

// Ready reports whether the process can serve callers.
func (r *Runner) Ready() bool {
	if r.stopping.Load() || !r.configured() {
		return false
	}
	return !r.alone() || r.now().Mono > maxJoinWait
}

// configured reports whether the process has a configuration.
func (r *Runner) configured() bool { return r.catalog().Version() > 0 }
