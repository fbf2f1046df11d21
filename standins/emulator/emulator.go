// Package emulator plays patterns of load on the decisions of routers and guards: the
// picker, the search, the admission, the breakers, the retry budgets and the warnings
// of the product, with a virtual clock and without a network. Equal options give equal
// results.
package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/standins/stepper"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// nearDelay and farDelay are the times of one way within a zone and between zones.
	nearDelay = 300 * time.Microsecond
	farDelay  = 700 * time.Microsecond
	// failureTime is how fast a failing server answers.
	failureTime = 5 * time.Millisecond
	// workSpread is the standard deviation of ln of the service time.
	workSpread = 0.5
	// pingPeriod is the time between two messages of a process to others of its zone,
	// and farPings how many of them there are to one to another zone.
	pingPeriod = 200 * time.Millisecond
	farPings   = 5
	// failurePause is the first pause of a breaker.
	failurePause = time.Second
	// queuePerSlot is the length of a guard's queue per slot.
	queuePerSlot = 8
	// maxArrivals bounds the attempts of an idempotent request that reach servers.
	maxArrivals = 3
)

// retryLimit is the limit on retries of the whole fleet.
func retryLimit(servers int) retrier.FleetLimit {
	return retrier.FleetLimit{Share: 0.2, Slack: 5 * float64(servers), Window: 10 * time.Second}
}

// Options configures one run.
type Options struct {
	Pattern  Pattern
	Servers  int
	Duration time.Duration
	Seed     uint64
	// WithoutCustomers keeps guards from knowing the customers of requests.
	WithoutCustomers bool
	// ShedEarly makes routers reject what guards have just said that none could serve in time.
	ShedEarly bool
	// Load replaces that of the pattern unless it is 0.
	Load float64
	// Balance is how routers choose servers.
	Balance Balance
	// Unreported keeps guards from reporting work, as those of earlier versions.
	Unreported bool
}

// world is the state of one run.
type world struct {
	Options
	*stepper.Stepper
	random *rand.Rand
	// demand draws the requests.
	demand  *rand.Rand
	guards  []*guard
	routers []*router
	// meanWork is the mean service time over all kinds.
	meanWork time.Duration
	nextID   uint64
	// sizes holds the relative size of each customer.
	sizes  []float64
	result Result
	// arrivals and retries are the times of first attempts and of retries at servers.
	arrivals, retries []time.Duration
}

// Run plays a pattern.
func Run(options Options) Result {
	w := &world{
		Options: options,
		Stepper: stepper.New(time.Second),
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed^0x9E3779B97F4A7C15)),
	}
	w.applyOptions()
	mean := 0.0
	for i := range w.Pattern.Customers {
		w.sizes = append(w.sizes, 1/float64(i+1))
		w.result.Customers = append(w.result.Customers, newFigures())
	}
	for _, kind := range w.Pattern.Kinds {
		mean += kind.Share * kind.Work.Seconds() * math.Exp(workSpread*workSpread/2)
		w.result.Kinds[kind.Name] = newFigures()
	}
	mean *= 1 + w.Pattern.TailShare*(w.Pattern.TailFactor-1)
	w.meanWork = time.Duration(mean * float64(time.Second))
	members := make([]registrar.Member, 0, w.Servers)
	for i := range w.Servers {
		members = append(members, registrar.Member{
			Incarnation: uint64(i + 1), Zone: strconv.Itoa(i % w.Pattern.Zones), Slots: uint32(w.Pattern.Slots),
			State: registrar.StateServing, Service: "s",
		})
		w.guards = append(w.guards, newGuard(w, i))
	}
	for i := range w.Servers {
		w.routers = append(w.routers, newRouter(w, i, members))
		w.After(time.Duration(w.random.Int64N(int64(pingPeriod))), func() { w.gossip(i, 0) })
	}
	w.scheduleFailures()
	w.After(0, w.arrive)
	w.Run(time.Second + w.Duration)
	w.checkBudget()
	return w.result
}

func (w *world) instant() clocker.Instant { return clocker.Instant{Mono: w.Now(), Wall: w.Now()} }

// elapsed returns the time since the start of the load.
func (w *world) elapsed() time.Duration { return w.Now() - time.Second }

func (w *world) zone(i int) int { return i % w.Pattern.Zones }

func (w *world) delay(from, to int) time.Duration {
	if w.zone(from) == w.zone(to) {
		return nearDelay
	}
	return farDelay
}

// arrive starts one request at a random router and schedules the next arrival.
func (w *world) arrive() {
	capacity := float64(w.Servers*w.Pattern.Slots) / w.meanWork.Seconds()
	rate := capacity * w.Pattern.Load
	since := w.elapsed() - w.Pattern.BurstFrom
	if w.Pattern.BurstFactor > 0 && since >= 0 && since < w.Pattern.BurstTime {
		rate *= w.Pattern.BurstFactor
	}
	rate *= w.hotFactor()
	w.After(time.Duration(w.demand.ExpFloat64()/rate*float64(time.Second)), w.arrive)
	customer := w.drawCustomer()
	drawn := w.demand.Float64()
	for _, kind := range w.Pattern.Kinds {
		if drawn -= kind.Share; drawn < 0 {
			w.routers[w.drawRouter()].start(kind, customer)
			return
		}
	}
}

// size returns the relative rate of a customer at the moment.
func (w *world) size(customer int) float64 {
	since := w.elapsed() - w.Pattern.HotFrom
	if customer == w.Pattern.HotCustomer && w.Pattern.HotFactor > 0 && since >= 0 && since < w.Pattern.HotTime {
		return w.sizes[customer] * w.Pattern.HotFactor
	}
	return w.sizes[customer]
}

// hotFactor returns by how much the hot customer raises the rate of all requests.
func (w *world) hotFactor() float64 {
	usual, now := 0.0, 0.0
	for customer, size := range w.sizes {
		usual += size
		now += w.size(customer)
	}
	if usual == 0 {
		return 1
	}
	return now / usual
}

// drawCustomer draws the customer of a request, -1 if there are none.
func (w *world) drawCustomer() int {
	if len(w.sizes) == 0 {
		return -1
	}
	total := 0.0
	for customer := range w.sizes {
		total += w.size(customer)
	}
	drawn := w.demand.Float64() * total
	for customer := range w.sizes {
		if drawn -= w.size(customer); drawn < 0 {
			return customer
		}
	}
	return len(w.sizes) - 1
}

// scheduleFailures makes servers fail by turns, so that FailingShare of them fail at any time.
func (w *world) scheduleFailures() {
	if w.Pattern.ZoneLostAt > 0 {
		w.After(w.Pattern.ZoneLostAt, func() {
			for i := 0; i < w.Servers; i += w.Pattern.Zones {
				w.guards[i].failureRate = 1
			}
		})
	}
	if w.Pattern.FailingShare == 0 {
		return
	}
	sound := time.Duration(float64(w.Pattern.FailingTime) * (1 - w.Pattern.FailingShare) / w.Pattern.FailingShare)
	for _, g := range w.guards {
		w.After(time.Duration(w.random.Int64N(int64(w.Pattern.FailingTime+sound))), func() { w.fail(g, sound) })
	}
}

func (w *world) fail(g *guard, sound time.Duration) {
	g.failureRate = w.Pattern.FailureRate
	w.After(w.Pattern.FailingTime, func() {
		g.failureRate = 0
		w.After(sound, func() { w.fail(g, sound) })
	})
}

// gossip exchanges warnings with another process.
func (w *world) gossip(i, count int) {
	w.After(pingPeriod, func() { w.gossip(i, count+1) })
	own := w.routers[i]
	own.warn(w.guards[i])
	if w.Pattern.Silent {
		return
	}
	peer := w.peer(i, count%farPings != 0)
	delay := w.delay(i, peer)
	message := own.message(w.routers[peer])
	w.After(delay, func() {
		w.routers[peer].receive(message)
		reply := w.routers[peer].message(own)
		w.After(delay, func() { own.receive(reply) })
	})
}

// peer draws another process, of the same zone if near is set.
func (w *world) peer(i int, near bool) int {
	zones := w.Pattern.Zones
	inZone := (w.Servers - w.zone(i) + zones - 1) / zones
	if near && inZone > 1 {
		return (i + zones*(1+w.random.IntN(inZone-1))) % (zones * inZone)
	}
	return (i + 1 + w.random.IntN(w.Servers-1)) % w.Servers
}

// checkBudget counts the windows in which more retries reached servers than allowed.
func (w *world) checkBudget() {
	limit := retryLimit(w.Servers)
	firsts := 0
	first, last := 0, 0
	for i, from := range w.retries {
		for last < len(w.retries) && w.retries[last] < from+limit.Window {
			last++
		}
		for first < len(w.arrivals) && w.arrivals[first] < from+limit.Window {
			first++
		}
		for firsts < len(w.arrivals) && w.arrivals[firsts] < from {
			firsts++
		}
		if float64(last-i) > limit.Share*float64(first-firsts)+limit.Slack {
			w.result.BudgetBreaches++
		}
	}
}
