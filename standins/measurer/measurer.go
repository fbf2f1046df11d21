package measurer

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// horizon is how long a fault is watched.
	horizon = 30 * time.Second
	// silence is the least time without a request that ends a detection.
	silence = time.Second
	// parallel is the number of worlds that run side by side.
	parallel = 8
)

// Policies compared in every run: the two users' policies first.
var (
	Munster    = Policy{Name: "Munster", Caution: 10}
	VanDerPlas = Policy{Name: "VanDerPlas", Caution: 48}
	NoEjection = Policy{Name: "PickerAlone"}
	RoundRobin = Policy{Name: "RoundRobin", RoundRobin: true}
	FiveErrors = Policy{Name: "FiveErrors", RoundRobin: true, ConsecutiveErrors: 5}
	Window     = Policy{Name: "Window10s", RoundRobin: true, Window: true}
	JointRule  = Policy{Name: "JointRule", Caution: 48, Joint: true}
)

// Faults that a policy must detect, or must not take for a sick server.
var (
	Slow3     = Fault{Name: "Slow3x", Factor: 3}
	Slow10    = Fault{Name: "Slow10x", Factor: 10}
	Errors20  = Fault{Name: "Errors20", Factor: 1, Share: 0.2}
	Wrong     = Fault{Name: "WrongQuick", Factor: 0.25, Share: 1}
	Hang      = Fault{Name: "Hang", Factor: 1, Hang: true}
	Flap      = Fault{Name: "Flap5s", Factor: 10, Period: 5 * time.Second}
	PathSlow  = Fault{Name: "PathSlow", Path: 200 * time.Millisecond}
	PoolSlow  = Fault{Name: "PoolSlow", Factor: 5, Whole: true}
	BadRoute  = Fault{Name: "BadRoute", BadRoute: true}
	BadCaller = Fault{Name: "BadCaller", BadCaller: true}
)

// VanDerPlasPool and the others are the pools of the brief.
var (
	VanDerPlasPool = Pool{Servers: 6, Slots: 4, Load: 0.5, FloorShare: 0.6}
	BillingPool    = Pool{Servers: 9, Slots: 4, Load: 0.5, FloorShare: 0.6}
	MunsterPool    = Pool{Servers: 9, Slots: 7, Load: 0.5, FloorShare: 0.6}
	DocketsPool    = Pool{Servers: 12, Slots: 7, Load: 0.5, FloorShare: 0.6}
)

// Figure is one measured line.
type Figure struct {
	Name     string
	Policy   string
	Pool     string
	Value    float64
	Unit     string
	N        int
	Seed     int
	Baseline bool
}

// String gives the figure as one line of key=value pairs.
func (f Figure) String() string {
	return fmt.Sprintf("Figure=%s Policy=%s Baseline=%t Pool=%s Value=%.4g Unit=%s N=%d Seed=%d",
		f.Name, f.Policy, f.Baseline, f.Pool, f.Value, f.Unit, f.N, f.Seed)
}

// Measurer runs measures and prints their figures.
type Measurer struct {
	out io.Writer
	// scale multiplies the number of worlds of each figure.
	scale int
	mu    sync.Mutex
}

// New returns a measurer that prints one line a figure.
func New(out io.Writer, scale int) *Measurer {
	return &Measurer{out: out, scale: scale}
}

func (m *Measurer) print(figure Figure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, _ = fmt.Fprintln(m.out, figure)
}

func (p Pool) name() string {
	return fmt.Sprintf("%dx%d@%.0f%%", p.Servers, p.Slots, 100*p.Load)
}

func (p Policy) baseline() bool {
	return p.RoundRobin || p.Caution == 0
}

// each runs worlds of several seeds side by side.
func each(seeds int, run func(seed int)) {
	var group sync.WaitGroup
	turns := make(chan int)
	for range parallel {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range turns {
				run(seed)
			}
		}()
	}
	for seed := range seeds {
		turns <- seed
	}
	close(turns)
	group.Wait()
}

// detected returns how long the sick server received work, up to the horizon.
func (w *world) detected() time.Duration {
	end := w.onset + horizon
	for i, at := range w.dispatches {
		next := end
		if i+1 < len(w.dispatches) {
			next = w.dispatches[i+1]
		}
		if next-at >= silence || next == end {
			return min(at-w.onset, horizon)
		}
	}
	return 0
}

// Detection measures how long a sick server keeps receiving work, and what
// callers saw meanwhile.
func (m *Measurer) Detection(pool Pool, policy Policy, fault Fault) {
	seeds := 100 * m.scale
	times := make([]time.Duration, seeds)
	lates := make([]float64, seeds)
	falses := make([]int, seeds)
	each(seeds, func(seed int) {
		w := newWorld(pool, policy, fault, uint64(seed))
		w.run(settleTime)
		w.onset = w.now
		before, answered, good := w.falseEjections, w.answered, w.good
		w.run(w.now + horizon)
		times[seed] = w.detected()
		answered, good = w.answered-answered, w.good-good
		lates[seed] = float64(answered-good) / float64(max(answered, 1))
		falses[seed] = w.falseEjections - before
	})
	slices.Sort(times)
	base := Figure{Policy: policy.Name, Pool: pool.name(), N: seeds, Baseline: policy.baseline()}
	m.printAs(base, "Detection"+fault.Name+"P50", times[seeds/2].Seconds()*1000, "ms")
	m.printAs(base, "Detection"+fault.Name+"P99", times[(seeds*99)/100].Seconds()*1000, "ms")
	m.printAs(base, "NotWholeShare"+fault.Name, mean(lates), "share")
	m.printAs(base, "HealthySetAside"+fault.Name, sum(falses), "ejections")
}

// MustNotEject counts ejections under a fault that is not a server's own.
func (m *Measurer) MustNotEject(pool Pool, policy Policy, fault Fault) {
	seeds := 50 * m.scale
	falses := make([]int, seeds)
	each(seeds, func(seed int) {
		w := newWorld(pool, policy, fault, uint64(seed))
		w.run(settleTime)
		w.onset = w.now
		before := w.ejections
		w.run(w.now + horizon)
		falses[seed] = w.ejections - before
	})
	base := Figure{Policy: policy.Name, Pool: pool.name(), N: seeds, Baseline: policy.baseline()}
	m.printAs(base, "Ejections"+fault.Name, sum(falses), "ejections")
}

// FalseEjections counts ejections of a healthy pool with cold starts and bursts.
func (m *Measurer) FalseEjections(pool Pool, policy Policy, serverSeconds float64) {
	const worldTime = 1000 * time.Second
	seeds := max(1, int(serverSeconds/(worldTime.Seconds()*float64(pool.Servers))+0.999))
	pool.Restarts = true
	pool.Bursts = true
	falses := make([]int, seeds)
	each(seeds, func(seed int) {
		w := newWorld(pool, policy, Fault{Name: "None"}, uint64(seed))
		w.run(worldTime)
		falses[seed] = w.falseEjections
	})
	served := float64(seeds) * worldTime.Seconds() * float64(pool.Servers)
	base := Figure{Policy: policy.Name, Pool: pool.name(), N: int(served), Baseline: policy.baseline()}
	m.printAs(base, "FalseEjectionsPerMillionServerSeconds", sum(falses)/served*1e6, "ejections")
}

// Overload measures what callers get when more comes than the pool can do.
func (m *Measurer) Overload(pool Pool, policy Policy) {
	seeds := 8 * m.scale
	goodput := make([]float64, seeds)
	extra := make([]float64, seeds)
	each(seeds, func(seed int) {
		w := newWorld(pool, policy, Fault{Name: "None"}, uint64(seed))
		w.run(settleTime)
		w.onset = w.now
		first, more, good := w.first, w.extra, w.good
		w.run(w.now + horizon)
		share := float64(w.good-good) / float64(w.first-first)
		goodput[seed] = share * pool.Load
		extra[seed] = float64(w.extra-more) / float64(w.first-first)
	})
	base := Figure{Policy: policy.Name, Pool: pool.name(), N: seeds, Baseline: policy.baseline()}
	m.printAs(base, "GoodputShareOfCapacity", mean(goodput), "share")
	m.printAs(base, "ExtraLoadByRetries", mean(extra), "share")
}

func (m *Measurer) printAs(figure Figure, name string, value float64, unit string) {
	figure.Name = name
	figure.Value = value
	figure.Unit = unit
	m.print(figure)
}

func mean(values []float64) float64 {
	var total float64
	for _, value := range values {
		total += value
	}
	return total / float64(len(values))
}

func sum(values []int) float64 {
	total := 0
	for _, value := range values {
		total += value
	}
	return float64(total)
}

// Sets of figures.
const (
	SetDetection = "detection"
	SetPools     = "pools"
	SetJoint     = "joint"
	SetCurve     = "curve"
	SetOverload  = "overload"
	SetHealthy   = "healthy"
)

// Sets lists all sets in the order in which they are run.
func Sets() []string {
	return []string{SetDetection, SetPools, SetJoint, SetCurve, SetOverload, SetHealthy}
}

// Run runs one set of figures. It returns false for a name that is none.
func (m *Measurer) Run(set string) bool {
	all := []Policy{Munster, VanDerPlas, NoEjection, RoundRobin, FiveErrors, Window}
	switch set {
	case SetDetection:
		m.detections(all)
	case SetPools:
		m.pools()
	case SetJoint:
		m.joint()
	case SetCurve:
		m.curve()
	case SetOverload:
		m.overloads()
	case SetHealthy:
		m.healthy(all)
	default:
		return false
	}
	return true
}

func (m *Measurer) detections(policies []Policy) {
	for _, policy := range policies {
		for _, fault := range []Fault{Slow3, Slow10, Errors20, Wrong, Hang, Flap} {
			m.Detection(VanDerPlasPool, policy, fault)
		}
		for _, fault := range []Fault{PathSlow, PoolSlow, BadRoute, BadCaller} {
			m.MustNotEject(VanDerPlasPool, policy, fault)
		}
	}
}

func (m *Measurer) pools() {
	for _, pool := range []Pool{BillingPool, MunsterPool, DocketsPool} {
		for _, fault := range []Fault{Slow10, Hang} {
			m.Detection(pool, Munster, fault)
			m.Detection(pool, VanDerPlas, fault)
		}
	}
}

// joint tries the related paper's rule of distinct callers and routes.
func (m *Measurer) joint() {
	for _, policy := range []Policy{VanDerPlas, JointRule} {
		m.MustNotEject(VanDerPlasPool, policy, BadRoute)
		m.MustNotEject(VanDerPlasPool, policy, BadCaller)
		m.Detection(VanDerPlasPool, policy, Errors20)
		m.Detection(VanDerPlasPool, policy, Wrong)
	}
}

// curve shows what the policy's one field trades.
func (m *Measurer) curve() {
	for _, caution := range []float64{4, 6, 8, 10, 14, 18, 24, 32, 48} {
		policy := Policy{Name: fmt.Sprintf("Caution%g", caution), Caution: caution}
		m.Detection(VanDerPlasPool, policy, Slow10)
		m.Detection(VanDerPlasPool, policy, Slow3)
		busy := VanDerPlasPool
		busy.Load = 0.7
		m.FalseEjections(busy, policy, 60000*float64(m.scale))
	}
}

func (m *Measurer) overloads() {
	for _, load := range []float64{1, 2, 4} {
		pool := VanDerPlasPool
		pool.Load = load
		for _, policy := range []Policy{VanDerPlas, RoundRobin} {
			m.Overload(pool, policy)
		}
	}
}

// healthy counts false ejections under healthy load.
func (m *Measurer) healthy(policies []Policy) {
	const million = 1e6
	for _, load := range []float64{0.3, 0.7, 0.95} {
		pool := VanDerPlasPool
		pool.Load = load
		for _, policy := range policies {
			seconds := 60000 * float64(m.scale)
			if policy.Name == VanDerPlas.Name && m.scale > 0 {
				seconds = million
			}
			m.FalseEjections(pool, policy, seconds)
		}
	}
}
