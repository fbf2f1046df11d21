package soaker

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// Kinds of events.
const (
	KindKill        Kind = "Kill"
	KindPause       Kind = "Pause"
	KindStop        Kind = "Stop"
	KindReload      Kind = "Reload"
	KindStoreDown   Kind = "StoreDown"
	KindStoreSilent Kind = "StoreSilent"
	KindStoreSlow   Kind = "StoreSlow"
	KindStoreLossy  Kind = "StoreLossy"
	KindStoreForget Kind = "StoreForget"
	KindStoreRefuse Kind = "StoreRefuse"
	KindCutOneWay   Kind = "CutOneWay"
	KindCutBoth     Kind = "CutBoth"
	KindReset       Kind = "Reset"
	KindDelay       Kind = "Delay"
	KindErrors      Kind = "ServerErrors"
	KindShed        Kind = "ServerSheds"
	KindSlow        Kind = "ServerSlow"
	KindLostAnswers Kind = "ServerLosesAnswers"
	KindMute        Kind = "ServerMute"
	KindDrain       Kind = "ServerDrains"
	KindPublish     Kind = "Publish"
)

var kinds = []Kind{
	KindKill, KindPause, KindStop, KindReload, KindStoreDown, KindStoreSilent, KindStoreSlow, KindStoreLossy,
	KindStoreForget, KindStoreRefuse, KindCutOneWay, KindCutBoth, KindReset, KindDelay, KindErrors, KindShed,
	KindSlow, KindLostAnswers, KindMute, KindDrain, KindPublish,
}

// Event is one fault or planned step. VM is the index of the VM it strikes.
type Event struct {
	At    time.Duration
	Lasts time.Duration
	Kind  Kind
	VM    int
}

// String gives the event in one line.
func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %5.2fs %-18s vm%d", e.At.Seconds(), e.Lasts.Seconds(), e.Kind, e.VM)
}

// Plan is all that strikes one run, in order of time.
type Plan []Event

// String gives a line an event.
func (p Plan) String() string {
	lines := make([]string, 0, len(p))
	for _, event := range p {
		lines = append(lines, event.String())
	}
	return strings.Join(lines, "\n") + "\n"
}

const (
	// eventsPerSecond is how often something strikes, also in series and overlapping.
	eventsPerSecond = 1.2
	// calmShare of a run, at its end, sees no new event, so that recovery shows.
	calmShare  = 0.3
	maxLasting = 3 * time.Second
)

// NewPlan draws a plan. The same seed draws the same plan.
func NewPlan(seed uint64, duration time.Duration, vms int) Plan {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // plans must repeat
	busy := time.Duration((1 - calmShare) * float64(duration))
	count := int(eventsPerSecond * busy.Seconds())
	plan := make(Plan, 0, count)
	for range count {
		at := time.Duration(random.Int64N(int64(busy)))
		lasts := min(time.Duration(random.Int64N(int64(maxLasting))), busy-at)
		plan = append(plan, Event{At: at, Lasts: lasts, Kind: kinds[random.IntN(len(kinds))], VM: random.IntN(vms)})
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}
