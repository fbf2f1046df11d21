package soaker

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of an event: a fault or a planned operation.
type Kind string

// Kinds of events. Those whose value starts with Store affect the metadata store, and
// those whose value starts with Server affect a VM's backend server. KindCutOneWay,
// KindCutBoth, KindReset, KindSilence and KindDelay affect a VM's links to its peers.
const (
	KindKill             Kind = "Kill"
	KindPause            Kind = "Pause"
	KindStop             Kind = "Stop"
	KindReload           Kind = "Reload"
	KindStoreDown        Kind = "StoreDown"
	KindStoreSilent      Kind = "StoreSilent"
	KindStoreSlow        Kind = "StoreSlow"
	KindStoreLostReplies Kind = "StoreLossy"
	KindStoreTruncate    Kind = "StoreForget"
	KindStoreRefuse      Kind = "StoreRefuse"
	KindCutOneWay        Kind = "CutOneWay"
	KindCutBoth          Kind = "CutBoth"
	KindReset            Kind = "Reset"
	KindSilence          Kind = "Silence"
	KindDelay            Kind = "Delay"
	KindErrors           Kind = "ServerErrors"
	KindShed             Kind = "ServerSheds"
	KindSlow             Kind = "ServerSlow"
	KindLostAnswers      Kind = "ServerLosesAnswers"
	KindGarbled          Kind = "ServerGarbles"
	KindNoHeartbeats     Kind = "ServerMute"
	KindDrain            Kind = "ServerDrains"
	KindLeaveAndKill     Kind = "ServerLeavesAndKill"
	KindPublish          Kind = "Publish"
	KindStoreLateWrites  Kind = "StoreLateWrites"
	KindStoreOlder       Kind = "StoreOlder"
	KindSayLeaving       Kind = "ServerSaysItLeaves"
)

// kinds are the kinds that a plan draws from; silences, garbled answers and leaves are drawn separately,
// so that a seed still draws the events that it drew before there were any.
var kinds = []Kind{
	KindKill, KindPause, KindStop, KindReload, KindStoreDown, KindStoreSilent, KindStoreSlow, KindStoreLostReplies,
	KindStoreTruncate, KindStoreRefuse, KindCutOneWay, KindCutBoth, KindReset, KindDelay, KindErrors, KindShed,
	KindSlow, KindLostAnswers, KindNoHeartbeats, KindDrain, KindPublish,
}

// Event is one fault or planned operation. VM is the index of the VM it affects; most
// events of the store ignore it, and for KindStoreOlder it is an index of rewrites.
type Event struct {
	// At is the time from the start of the load.
	At time.Duration
	// Length is the time until the event is undone, if it can be undone.
	Length time.Duration
	Kind   Kind
	VM     int
}

// String returns the time, length, kind and VM of the event in one line.
func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %5.2fs %-18s vm%d", e.At.Seconds(), e.Length.Seconds(), e.Kind, e.VM)
}

// Plan holds the events of one run, in order of time.
type Plan []Event

// String returns one line per event.
func (p Plan) String() string {
	lines := make([]string, 0, len(p))
	for _, event := range p {
		lines = append(lines, event.String())
	}
	return strings.Join(lines, "\n") + "\n"
}

const (
	// eventsPerSecond is the mean rate of events. It is high enough for events to
	// follow each other closely and to overlap.
	eventsPerSecond = 1.2
	// recoveryShare is the share of a run at its end in which no event starts or lasts,
	// so that the recovery of the fleet can be checked.
	recoveryShare = 0.3
	// maxEventLength bounds the length of an event.
	maxEventLength = 3 * time.Second
)

// NewPlan draws a plan. The same seed draws the same plan.
func NewPlan(seed uint64, duration time.Duration, vms int) Plan {
	activeTime := time.Duration((1 - recoveryShare) * float64(duration))
	var plan Plan
	if !onlyStoreFaults(seed) {
		plan = append(drawMixed(seed, activeTime, vms), drawSilences(seed, activeTime, vms)...)
		plan = append(plan, drawGarbled(seed, activeTime, vms)...)
	}
	plan = append(plan, drawLeaves(seed, activeTime, vms)...)
	plan = append(plan, drawLeavingAnswers(seed, activeTime, vms)...)
	plan = append(plan, drawStoreFaults(seed, activeTime)...)
	if hasCustomers(seed) {
		plan = append(plan, drawKeyChanges(seed, activeTime)...)
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// onlyStoreFaults reports whether a seed leaves the VMs alone but for servers that leave.
// Time limits apply to undisturbed VMs only, of which a mixed plan leaves few.
func onlyStoreFaults(seed uint64) bool { return seed%5 == 4 }

// namesNoEra reports whether the store of a seed names no era and never comes back older. A process
// that starts beside it trusts what it reads at once.
func namesNoEra(seed uint64) bool { return seed%7 == 3 }

// drawMixed draws events of all kinds.
func drawMixed(seed uint64, activeTime time.Duration, vms int) Plan {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // plans must repeat
	count := int(eventsPerSecond * activeTime.Seconds())
	plan := make(Plan, 0, count)
	for range count {
		at := time.Duration(random.Int64N(int64(activeTime)))
		length := min(time.Duration(random.Int64N(int64(maxEventLength))), activeTime-at)
		plan = append(plan, Event{At: at, Length: length, Kind: kinds[random.IntN(len(kinds))], VM: random.IntN(vms)})
	}
	return plan
}

// silencesPerSecond is the mean rate of silences.
const silencesPerSecond = 0.2

// drawSilences draws the events that silence the connections of a VM.
func drawSilences(seed uint64, activeTime time.Duration, vms int) Plan {
	random := rand.New(rand.NewPCG(seed, ^seed)) //nolint:gosec // plans must repeat
	count := int(silencesPerSecond * activeTime.Seconds())
	silences := make(Plan, 0, count)
	for range count {
		at := time.Duration(random.Int64N(int64(activeTime)))
		silences = append(silences, Event{At: at, Kind: KindSilence, VM: random.IntN(vms)})
	}
	return silences
}

// garbledPerSecond is the mean rate of the times in which a server garbles answers.
const garbledPerSecond = 0.2

// drawGarbled draws the times in which a server garbles answers.
func drawGarbled(seed uint64, activeTime time.Duration, vms int) Plan {
	random := rand.New(rand.NewPCG(seed+1, ^seed)) //nolint:gosec // plans must repeat
	count := int(garbledPerSecond * activeTime.Seconds())
	garbled := make(Plan, 0, count)
	for range count {
		at := time.Duration(random.Int64N(int64(activeTime)))
		length := min(time.Duration(random.Int64N(int64(maxEventLength))), activeTime-at)
		garbled = append(garbled, Event{At: at, Length: length, Kind: KindGarbled, VM: random.IntN(vms)})
	}
	return garbled
}

const (
	// storeFaultsPerSecond is the mean rate of further faults of the whole store, and
	// onlyStoreFaultsPerSecond that of plans without other faults.
	storeFaultsPerSecond     = 0.12
	onlyStoreFaultsPerSecond = 0.2
	// publicationsPerFault is how many versions are published around each of them.
	publicationsPerFault = 4
)

// drawStoreFaults draws faults of the whole store, with versions published during each and
// shortly after it.
func drawStoreFaults(seed uint64, activeTime time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, seed+1)) //nolint:gosec // plans must repeat
	rate := storeFaultsPerSecond
	if onlyStoreFaults(seed) {
		rate = onlyStoreFaultsPerSecond
	}
	count := max(1, int(rate*activeTime.Seconds()))
	faults := make(Plan, 0, count*(1+publicationsPerFault))
	for range count {
		kind := []Kind{KindStoreOlder, KindStoreSilent, KindStoreLateWrites}[random.IntN(3)]
		if kind == KindStoreOlder && namesNoEra(seed) {
			kind = KindStoreSilent
		}
		at := time.Duration(random.Int64N(int64(activeTime)))
		length := min(time.Duration(random.Int64N(int64(maxEventLength))), activeTime-at)
		faults = append(faults, Event{At: at, Length: length, Kind: kind, VM: random.IntN(len(rewrites))})
		for range publicationsPerFault {
			later := time.Duration(random.Int64N(int64(length + time.Second)))
			faults = append(faults, Event{At: at + later, Kind: KindPublish})
		}
	}
	return faults
}

// leavesPerSecond is the mean rate of leaves with kills.
const leavesPerSecond = 0.15

// drawLeaves draws the events in which a server leaves and its process is killed after it
// acknowledged that.
func drawLeaves(seed uint64, activeTime time.Duration, vms int) Plan {
	random := rand.New(rand.NewPCG(^seed, seed)) //nolint:gosec // plans must repeat
	count := int(leavesPerSecond * activeTime.Seconds())
	leaves := make(Plan, 0, count)
	for range count {
		at := time.Duration(random.Int64N(int64(activeTime - leaveDuration)))
		leave := Event{At: at, Kind: KindLeaveAndKill, VM: random.IntN(vms)}
		if onlyStoreFaults(seed) {
			leave.Length = time.Duration(random.Int64N(int64(leaveDuration - drainDuration)))
		}
		leaves = append(leaves, leave)
	}
	return leaves
}

// leavingAnswersPerSecond is the mean rate of leaves that only answers tell in time.
const leavingAnswersPerSecond = 0.25

// killDelays are the times from the first answer that says that its server leaves to the kill of
// the process beside it.
var killDelays = []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}

// drawLeavingAnswers draws the events in which a server says in its answers that it leaves, while
// its announcements are late, and its process is killed after that.
func drawLeavingAnswers(seed uint64, activeTime time.Duration, vms int) Plan {
	random := rand.New(rand.NewPCG(seed+2, ^seed)) //nolint:gosec // plans must repeat
	count := int(leavingAnswersPerSecond * activeTime.Seconds())
	leaves := make(Plan, 0, count)
	for range count {
		at := time.Duration(random.Int64N(int64(activeTime - leaveDuration)))
		delay := killDelays[random.IntN(len(killDelays))]
		leaves = append(leaves, Event{At: at, Length: delay, Kind: KindSayLeaving, VM: random.IntN(vms)})
	}
	return leaves
}

// keyChangesPerSecond is the mean rate of further versions in runs with customers.
const keyChangesPerSecond = 0.4

// drawKeyChanges draws versions that take keys away and add others.
func drawKeyChanges(seed uint64, activeTime time.Duration) Plan {
	random := rand.New(rand.NewPCG(^seed, ^seed)) //nolint:gosec // plans must repeat
	count := int(keyChangesPerSecond * activeTime.Seconds())
	changes := make(Plan, 0, count)
	for range count {
		changes = append(changes, Event{At: time.Duration(random.Int64N(int64(activeTime))), Kind: KindPublish})
	}
	return changes
}
