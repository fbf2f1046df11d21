package emulator

import (
	"hash/fnv"
	"slices"
	"time"
)

// Kind is a kind of request.
type Kind struct {
	Name string
	// Share is the part of all requests that are of this kind.
	Share      float64
	Idempotent bool
	// Rank is the urgency in a guard's queue, 0 for the most urgent.
	Rank uint32
	// Work is the median service time.
	Work time.Duration
	// Objective is the time within which an answer has its full value, Timeout the
	// time after which the caller is gone.
	Objective time.Duration
	Timeout   time.Duration
}

// route returns a number for the kind, as the hash of a route's name.
func (k Kind) route() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(k.Name))
	return hash.Sum64()
}

// Pattern is a load on one service and what goes wrong meanwhile.
type Pattern struct {
	Name string
	// Answers says in a few words which behavior the pattern is about.
	Answers string
	Zones   int
	Slots   int
	// Load is the rate of requests as a part of what sound servers can serve.
	Load  float64
	Kinds []Kind
	// FailingShare is the part of the servers that fail at any time, for FailingTime
	// each. A failing server answers FailureRate of its requests with an error at once.
	FailingShare float64
	FailingTime  time.Duration
	FailureRate  float64
	// SlowShare is the part of the servers that take SlowFactor times as long.
	SlowShare  float64
	SlowFactor float64
	// BurstFactor multiplies the load from BurstFrom on for BurstTime.
	BurstFactor float64
	BurstFrom   time.Duration
	BurstTime   time.Duration
	// ZoneLostAt is when the servers of one zone fail all requests; 0 for never.
	ZoneLostAt time.Duration
	// Servers replaces the number of servers of the options; 0 keeps it.
	Servers int
	// Customers is the number of customers, 0 for requests without one. Their sizes fall as
	// 1, 1/2, 1/3 and so on. Customer i has the priority i modulo Priorities.
	Customers, Priorities int
	// HotCustomer sends HotFactor times its usual rate from HotFrom on for HotTime.
	HotCustomer int
	HotFactor   float64
	HotFrom     time.Duration
	HotTime     time.Duration
	// Silent keeps routers from exchanging warnings.
	Silent bool
	// TailShare is the part of the requests whose work is TailFactor times the usual.
	TailShare  float64
	TailFactor float64
	// WaveDepth is the amplitude of each zone's demand as a part of its mean. Waves have
	// WavePeriod and a phase per zone.
	WaveDepth  float64
	WavePeriod time.Duration
	// MaxServers bounds the servers; 0 for no bound.
	MaxServers int
	// Paired draws the demand from a random stream of its own, so that runs with equal
	// seeds get equal requests whatever is chosen for them.
	Paired bool
}

// kinds returns a mix of urgent requests that must not run twice, lookups, and long reads.
func kinds() []Kind {
	return []Kind{
		{
			Name: "Billing", Share: 0.6, Rank: 1, Work: 400 * time.Millisecond,
			Objective: 2500 * time.Millisecond, Timeout: 5 * time.Second,
		},
		{
			Name: "Lookup", Share: 0.3, Idempotent: true, Rank: 2, Work: 500 * time.Millisecond,
			Objective: 2500 * time.Millisecond, Timeout: 4 * time.Second,
		},
		{
			Name: "LongRead", Share: 0.1, Idempotent: true, Rank: 2, Work: 1500 * time.Millisecond,
			Objective: 6 * time.Second, Timeout: 12 * time.Second,
		},
	}
}

func base(name, answers string, load float64) Pattern {
	return Pattern{Name: name, Answers: answers, Zones: 5, Slots: 6, Load: load, Kinds: kinds()}
}

// Patterns returns all patterns by name, in order.
func Patterns() []Pattern {
	calm := base("Calm", "nothing goes wrong", 0.5)

	third := base("ThirdFailing", "servers fail for seconds each, and routers must learn of it", 0.4)
	third.FailingShare, third.FailingTime, third.FailureRate = 0.3, 9*time.Second, 0.85

	silent := third
	silent.Name, silent.Answers, silent.Silent = "ThirdFailingSilent", "the same without warnings, to compare", true

	burst := base("DawnBurst", "twice the capacity for seconds", 0.6)
	burst.BurstFactor, burst.BurstFrom, burst.BurstTime = 3.5, 10*time.Second, 5*time.Second

	slow := base("TenthSlow", "a tenth of the servers is five times slower", 0.6)
	slow.SlowShare, slow.SlowFactor = 0.1, 5

	overload := base("Overload", "more work than sound servers can do, and a third fails", 1.1)
	overload.FailingShare, overload.FailingTime, overload.FailureRate = 0.3, 9*time.Second, 0.85

	zone := base("ZoneLost", "all servers of one zone fail at once", 0.5)
	zone.ZoneLostAt = 10 * time.Second
	return slices.Concat([]Pattern{calm, third, silent, burst, slow, overload, zone}, customerPatterns(), uneven())
}

// customerPatterns returns the patterns in which 74 customers share the servers.
func customerPatterns() []Pattern {
	const customers = 74
	hot := base("HotCustomer", "the second largest of 74 customers sends eight times its usual rate", 0.8)
	hot.Customers, hot.HotCustomer, hot.HotFactor = customers, 1, 8
	hot.HotFrom, hot.HotTime = 20*time.Second, 8*time.Second

	uploads := base("UploadsAndFetches", "long uploads beside short fetches, more than ten servers can do", 1.3)
	uploads.Customers, uploads.Servers, uploads.Slots = customers, 10, 11
	uploads.Kinds = []Kind{
		{
			Name: "Upload", Share: 0.1, Rank: 1, Work: 2 * time.Second,
			Objective: 5 * time.Second, Timeout: 9 * time.Second,
		},
		{
			Name: "Fetch", Share: 0.9, Idempotent: true, Rank: 1, Work: 120 * time.Millisecond,
			Objective: time.Second, Timeout: 3 * time.Second,
		},
	}
	burst := base("BurstAndFailures", "a burst of 1.7 times the usual while a third fails", 0.6)
	burst.Customers, burst.BurstFactor, burst.BurstFrom, burst.BurstTime = customers, 1.7, 14*time.Second, 3*time.Second
	burst.FailingShare, burst.FailingTime, burst.FailureRate = 0.3, 5*time.Second, 0.85

	ranks := base("StrictRanks", "twice the capacity for good, from customers of three priorities", 2)
	ranks.Customers, ranks.Priorities = customers, 3
	return []Pattern{hot, uploads, burst, ranks}
}

// uneven returns the patterns of requests that differ in work and of servers that differ in speed.
func uneven() []Pattern {
	tails := base("HeavyTails", "3 of 100 requests take 7 times the usual work", 0.8)
	tails.TailShare, tails.TailFactor, tails.Paired = 0.03, 7, true

	speeds := tails
	speeds.Name, speeds.Answers = "HeavyTailsTenthSlow", "the same with a tenth of the servers five times slower"
	speeds.SlowShare, speeds.SlowFactor = 0.1, 5

	waves := tails
	waves.Name, waves.Answers = "HeavyTailsWaves", "the same while demand swings, with a phase per zone"
	waves.WaveDepth, waves.WavePeriod = 0.6, 13*time.Second

	uploads := base("UploadsBesideFetches", "long uploads beside short fetches at few servers", 0.8)
	uploads.Zones, uploads.MaxServers, uploads.Paired = 2, 6, true
	uploads.Kinds = []Kind{
		{
			Name: "Fetch", Share: 0.95, Idempotent: true, Rank: 1, Work: 60 * time.Millisecond,
			Objective: 500 * time.Millisecond, Timeout: 2 * time.Second,
		},
		{
			Name: "Upload", Share: 0.05, Rank: 1, Work: 3 * time.Second,
			Objective: 10 * time.Second, Timeout: 20 * time.Second,
		},
	}
	return []Pattern{tails, speeds, waves, uploads}
}
