package measurer

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// observationTime is how long a pool is observed after the onset of a fault.
	observationTime = 30 * time.Second
	// quietPeriod is the shortest time without a dispatch to the faulty server that counts as detection.
	quietPeriod = time.Second
	// parallelWorlds is the number of worlds simulated concurrently.
	parallelWorlds = 8
)

// Policies to compare. Munster and VanDerPlas are those of the two users.
var (
	Munster    = Policy{Name: "Munster", EvidenceThreshold: 10}
	VanDerPlas = Policy{Name: "VanDerPlas", EvidenceThreshold: 48}
	NoEjection = Policy{Name: "PickerAlone"}
	RoundRobin = Policy{Name: "RoundRobin", RoundRobin: true}
	FiveErrors = Policy{Name: "FiveErrors", RoundRobin: true, ConsecutiveErrors: 5}
	Window     = Policy{Name: "Window10s", RoundRobin: true, Window: true}
	JointRule  = Policy{Name: "JointRule", EvidenceThreshold: 48, DistinctOrigins: true}
)

// Faults. A policy must detect those of one server and must not eject for PathSlow, PoolSlow, BadRoute
// and BadCaller.
var (
	Slow3     = Fault{Name: "Slow3x", Factor: 3}
	Slow10    = Fault{Name: "Slow10x", Factor: 10}
	Errors20  = Fault{Name: "Errors20", Factor: 1, ErrorShare: 0.2}
	Wrong     = Fault{Name: "WrongQuick", Factor: 0.25, ErrorShare: 1}
	Hang      = Fault{Name: "Hang", Factor: 1, Hang: true}
	Flap      = Fault{Name: "Flap5s", Factor: 10, FlapPeriod: 5 * time.Second}
	PathSlow  = Fault{Name: "PathSlow", PathDelay: 200 * time.Millisecond}
	PoolSlow  = Fault{Name: "PoolSlow", Factor: 5, AllServers: true}
	BadRoute  = Fault{Name: "BadRoute", BadRoute: true}
	BadCaller = Fault{Name: "BadCaller", BadCaller: true}
)

// Pools from the users' requirements, half loaded.
var (
	VanDerPlasPool = Pool{Servers: 6, Slots: 4, Load: 0.5, FloorShare: 0.6}
	BillingPool    = Pool{Servers: 9, Slots: 4, Load: 0.5, FloorShare: 0.6}
	MunsterPool    = Pool{Servers: 9, Slots: 7, Load: 0.5, FloorShare: 0.6}
	DocketsPool    = Pool{Servers: 12, Slots: 7, Load: 0.5, FloorShare: 0.6}
)

// Figure is one measured value.
type Figure struct {
	Name   string
	Policy string
	Pool   string
	Value  float64
	Unit   string
	// N is the number of worlds simulated, or of server-seconds for false ejections.
	N    int
	Seed int
	// Baseline is whether the policy is a baseline for comparison.
	Baseline bool
}

// String returns the figure as one line of key=value pairs.
func (f Figure) String() string {
	return fmt.Sprintf("Figure=%s Policy=%s Baseline=%t Pool=%s Value=%.4g Unit=%s N=%d Seed=%d",
		f.Name, f.Policy, f.Baseline, f.Pool, f.Value, f.Unit, f.N, f.Seed)
}

// Measurer simulates worlds and prints the figures measured.
type Measurer struct {
	out io.Writer
	// scale multiplies the number of worlds of each figure.
	scale int
	mu    sync.Mutex
}

// New returns a measurer that prints one line per figure.
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
	return p.RoundRobin || p.EvidenceThreshold == 0
}

// forEachSeed calls run once for each seed, with up to parallelWorlds calls at a time.
func forEachSeed(seeds int, run func(seed int)) {
	var group sync.WaitGroup
	pending := make(chan int)
	for range parallelWorlds {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range pending {
				run(seed)
			}
		}()
	}
	for seed := range seeds {
		pending <- seed
	}
	close(pending)
	group.Wait()
}

// detectionTime returns the time from the onset to the last dispatch before a quiet period, at most
// observationTime.
func (w *world) detectionTime() time.Duration {
	end := w.onset + observationTime
	for i, at := range w.dispatches {
		next := end
		if i+1 < len(w.dispatches) {
			next = w.dispatches[i+1]
		}
		if next-at >= quietPeriod || next == end {
			return min(at-w.onset, observationTime)
		}
	}
	return 0
}

// Detection measures how long a faulty server keeps receiving requests, which share of the callers'
// requests fails or is late meanwhile, and how often a healthy server is ejected.
func (m *Measurer) Detection(pool Pool, policy Policy, fault Fault) {
	seeds := 100 * m.scale
	times := make([]time.Duration, seeds)
	notWholeShares := make([]float64, seeds)
	falseEjections := make([]int, seeds)
	forEachSeed(seeds, func(seed int) {
		w := newWorld(pool, policy, fault, uint64(seed))
		w.run(warmupTime)
		w.onset = w.now
		before, answered, good := w.falseEjections, w.answered, w.good
		w.run(w.now + observationTime)
		times[seed] = w.detectionTime()
		answered, good = w.answered-answered, w.good-good
		notWholeShares[seed] = float64(answered-good) / float64(max(answered, 1))
		falseEjections[seed] = w.falseEjections - before
	})
	slices.Sort(times)
	base := Figure{Policy: policy.Name, Pool: pool.name(), N: seeds, Baseline: policy.baseline()}
	m.printAs(base, "Detection"+fault.Name+"P50", times[seeds/2].Seconds()*1000, "ms")
	m.printAs(base, "Detection"+fault.Name+"P99", times[(seeds*99)/100].Seconds()*1000, "ms")
	m.printAs(base, "NotWholeShare"+fault.Name, mean(notWholeShares), "share")
	m.printAs(base, "HealthySetAside"+fault.Name, sum(falseEjections), "ejections")
}

// MustNotEject counts the ejections under a fault that no single server causes.
func (m *Measurer) MustNotEject(pool Pool, policy Policy, fault Fault) {
	seeds := 50 * m.scale
	ejections := make([]int, seeds)
	forEachSeed(seeds, func(seed int) {
		w := newWorld(pool, policy, fault, uint64(seed))
		w.run(warmupTime)
		w.onset = w.now
		before := w.ejections
		w.run(w.now + observationTime)
		ejections[seed] = w.ejections - before
	})
	base := Figure{Policy: policy.Name, Pool: pool.name(), N: seeds, Baseline: policy.baseline()}
	m.printAs(base, "Ejections"+fault.Name, sum(ejections), "ejections")
}

// FalseEjections counts the ejections in a healthy pool with cold starts and bursts.
func (m *Measurer) FalseEjections(pool Pool, policy Policy, serverSeconds float64) {
	const worldTime = 1000 * time.Second
	seeds := max(1, int(serverSeconds/(worldTime.Seconds()*float64(pool.Servers))+0.999))
	pool.Restarts = true
	pool.Bursts = true
	falseEjections := make([]int, seeds)
	forEachSeed(seeds, func(seed int) {
		w := newWorld(pool, policy, Fault{Name: "None"}, uint64(seed))
		w.run(worldTime)
		falseEjections[seed] = w.falseEjections
	})
	simulatedSeconds := float64(seeds) * worldTime.Seconds() * float64(pool.Servers)
	base := Figure{Policy: policy.Name, Pool: pool.name(), N: int(simulatedSeconds), Baseline: policy.baseline()}
	m.printAs(base, "FalseEjectionsPerMillionServerSeconds", sum(falseEjections)/simulatedSeconds*1e6, "ejections")
}

// Overload measures goodput and the extra load by retries when the load exceeds the pool's capacity.
func (m *Measurer) Overload(pool Pool, policy Policy) {
	seeds := 8 * m.scale
	goodput := make([]float64, seeds)
	extra := make([]float64, seeds)
	forEachSeed(seeds, func(seed int) {
		w := newWorld(pool, policy, Fault{Name: "None"}, uint64(seed))
		w.run(warmupTime)
		w.onset = w.now
		arrivalsBefore, extraRunsBefore, goodBefore := w.arrivals, w.extraRuns, w.good
		w.run(w.now + observationTime)
		share := float64(w.good-goodBefore) / float64(w.arrivals-arrivalsBefore)
		goodput[seed] = share * pool.Load
		extra[seed] = float64(w.extraRuns-extraRunsBefore) / float64(w.arrivals-arrivalsBefore)
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

// Sets returns the names of all sets in the order in which they run.
func Sets() []string {
	return []string{SetDetection, SetPools, SetJoint, SetCurve, SetOverload, SetHealthy}
}

// Run measures one set of figures and reports whether a set with that name exists.
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

// joint measures the related paper's rule, which requires bad responses from distinct callers and routes.
func (m *Measurer) joint() {
	for _, policy := range []Policy{VanDerPlas, JointRule} {
		m.MustNotEject(VanDerPlasPool, policy, BadRoute)
		m.MustNotEject(VanDerPlasPool, policy, BadCaller)
		m.Detection(VanDerPlasPool, policy, Errors20)
		m.Detection(VanDerPlasPool, policy, Wrong)
	}
}

// curve measures how the evidence threshold trades detection time for false ejections.
func (m *Measurer) curve() {
	for _, threshold := range []float64{4, 6, 8, 10, 14, 18, 24, 32, 48} {
		policy := Policy{Name: fmt.Sprintf("Caution%g", threshold), EvidenceThreshold: threshold}
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

// healthy measures false ejections in a healthy pool at several loads.
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
