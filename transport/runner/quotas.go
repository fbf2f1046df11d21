package runner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/quoter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/administrator"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

const (
	// minQuotaRetryAfter is the least that callers are told, since the platform's field has
	// hundredths of a second.
	minQuotaRetryAfter = 10 * time.Millisecond
	// maxQuotaStatuses bounds the customers in the status.
	maxQuotaStatuses = 50
	// ticksPerRanking is how many ticks pass between two rankings of the customers.
	ticksPerRanking = 100
	// quotaUseLifetime is how long a customer's use is kept after its last request.
	quotaUseLifetime = 5 * time.Minute
)

// Decisions about requests of customers with a quota, as they are counted.
const (
	quotaGranted         = "Granted"
	quotaRefused         = "Refused"
	quotaReturned        = "Returned"
	quotaFallbackGranted = "FallbackGranted"
	quotaFallbackRefused = "FallbackRefused"
)

// quotaDependencies are what quotas needs from the process.
type quotaDependencies struct {
	Self      registrar.Member
	Tolerance func() quoter.Tolerance
	Now       func() clocker.Instant
	// Random returns a random number in [0, 1).
	Random  func() float64
	Roster  func() registrar.Roster
	Catalog func() cataloger.Catalog
	// Ask sends a request to another process.
	Ask   func(ctx context.Context, to registrar.Member, request *messenger.QuotaRequest) (*messenger.QuotaReply, error)
	Log   *slog.Logger
	Meter *meter.Meter
}

// quotas keeps customers within their quotas. It is safe for concurrent use.
type quotas struct {
	deps quotaDependencies

	// mu guards all fields below.
	mu      sync.Mutex
	census  *quoter.Census
	home    *quoter.Home
	router  *quoter.Router
	divider *quoter.Divider
	ranking *quoter.Ranking
	uses    map[string]*quotaUse
	// emptyUntil is until when parts without quota are not asked again. Entries last for
	// maxEmptyTime and a tick at most.
	emptyUntil map[part]clocker.Instant
	// digest is that of the roster that the census knows.
	digest uint64
	ticks  int
}

// quotaUse is what this process has decided about one customer's requests.
type quotaUse struct {
	granted, refused uint64
	usedAt           clocker.Instant
	refusedAt        clocker.Instant
	// limited is set from the first refusal until a window without one has passed.
	limited bool
}

func newQuotas(deps quotaDependencies) *quotas {
	now := deps.Now()
	return &quotas{
		deps:    deps,
		census:  quoter.NewCensus(now, deps.Self),
		home:    quoter.NewHome(now, deps.Tolerance(), deps.Random),
		router:  quoter.NewRouter(deps.Self.Incarnation, deps.Tolerance(), deps.Random),
		divider: quoter.NewDivider(),
		ranking: quoter.NewRanking(),
		uses:    map[string]*quotaUse{},

		emptyUntil: map[part]clocker.Instant{},
	}
}

// Acquire takes one request from a customer's quota. If there is none, ok is unset. The
// parts of the quota are asked in turn from a random one on.
func (q *quotas) Acquire(
	parent context.Context, customer cataloger.Customer,
) (release func(), retryAfter time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(parent, maxAcquireTime)
	defer cancel()
	limit := limitOf(customer)
	parts := limit.Split().Parts
	first := int(q.deps.Random() * float64(parts))
	var silent []part
	for i := range parts {
		one := part{customer: customer.Name, index: (first + i) % parts}
		answer, release := q.acquirePart(ctx, one)
		switch {
		case release != nil:
			return release, 0, true
		case answer.Undecided:
			silent = append(silent, one)
			continue
		}
		retryAfter = soonest(retryAfter, answer.RetryAfter)
	}
	for _, one := range silent {
		release, after, ok := q.fallBack(one, limit)
		if ok {
			return release, 0, true
		}
		retryAfter = soonest(retryAfter, after)
	}
	q.record(customer.Name, refusalOf(len(silent), parts))
	return nil, max(retryAfter, minQuotaRetryAfter), false
}

const (
	// maxAcquireTime bounds the asks for one request. It leaves time for the answer of a
	// second home if the first one is silent.
	maxAcquireTime = 2 * quoter.AnswerTimeout
	// maxEmptyTime is the longest time for which a part that had no quota is not asked
	// again. It bounds the messages for a customer far above its limit.
	maxEmptyTime = 100 * time.Millisecond
)

func limitOf(customer cataloger.Customer) quoter.Limit {
	return quoter.Limit{Rate: customer.Rate, Burst: customer.Burst}
}

// refusalOf returns how a refusal is counted.
func refusalOf(silent, parts int) string {
	if silent == parts {
		return quotaFallbackRefused
	}
	return quotaRefused
}

// soonest returns the shorter of two times, of which 0 is unknown.
func soonest(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// part is one part of a customer's quota.
type part struct {
	customer string
	index    int
}

// key returns the name under which the quoter knows the part.
func (p part) key() string { return p.customer + "\x00" + strconv.Itoa(p.index) }

// partOf is the inverse of key. The name of a customer may contain any character.
func partOf(key string) part {
	end := max(0, strings.LastIndexByte(key, 0))
	index, _ := strconv.Atoi(key[min(end+1, len(key)):])
	return part{customer: key[:end], index: index}
}

// acquirePart asks the home of a part. Release is set if the request was granted, and the
// answer is Undecided if the home is silent or can't decide, or if no time is left to ask it.
func (q *quotas) acquirePart(ctx context.Context, one part) (answer quoter.Answer, release func()) {
	undecided := quoter.Answer{Undecided: true}
	if left := q.emptyFor(one); left > 0 {
		return quoter.Answer{RetryAfter: left}, nil
	}
	if ctx.Err() != nil {
		return undecided, nil
	}
	plan := q.plan(one.key())
	if plan.Release.Incarnation != 0 {
		if _, err := q.send(ctx, quoter.Plan{Home: plan.Release}, plan.ReleaseAsk()); err == nil {
			plan = q.takeBack(plan)
		}
	}
	if plan.Home.Incarnation == 0 {
		return undecided, nil
	}
	answer, err := q.sendPatiently(ctx, plan)
	if err != nil || answer.Undecided {
		return undecided, nil
	}
	if answer.Granted == 0 {
		q.setEmpty(one, answer.RetryAfter)
		return answer, nil
	}
	granted := q.deps.Now()
	q.record(one.customer, quotaGranted)
	return answer, func() { q.giveBack(one, plan.Home, granted) }
}

// emptyFor returns how long a part that had no quota is not asked again.
func (q *quotas) emptyFor(one part) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, ok := q.emptyUntil[one]
	if !ok {
		return 0
	}
	left := -q.deps.Now().Since(until)
	if left <= 0 {
		delete(q.emptyUntil, one)
	}
	return left
}

func (q *quotas) setEmpty(one part, retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.emptyUntil[one] = q.deps.Now().Add(min(retryAfter, maxEmptyTime))
}

// sendPatiently sends an ask, and once more if the bucket is new and about to fill.
func (q *quotas) sendPatiently(ctx context.Context, plan quoter.Plan) (quoter.Answer, error) {
	answer, err := q.send(ctx, plan, plan.Ask)
	refused := err == nil && !answer.Undecided && answer.Granted == 0
	if !refused || !answer.Young || answer.RetryAfter > quoter.MaxYoungWait || !pause(ctx, answer.RetryAfter) {
		return answer, err
	}
	plan.Ask.Returned = 0
	return q.send(ctx, plan, plan.Ask)
}

func (q *quotas) plan(customer string) quoter.Plan {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	home := q.census.Home(now, customer)
	via := q.census.Relay(home, q.deps.Random())
	return q.router.Plan(now, customer, home, via, q.census.View(now, customer))
}

func (q *quotas) takeBack(plan quoter.Plan) quoter.Plan {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.router.TakeBack(q.deps.Now(), plan)
}

// send sends an ask to the home of a plan, which may be this process.
func (q *quotas) send(ctx context.Context, plan quoter.Plan, ask quoter.Ask) (quoter.Answer, error) {
	plan.Ask = ask
	request := q.toProto(plan.Home, ask)
	if plan.Home.Incarnation == q.deps.Self.Incarnation {
		return answerFromProto(q.Serve(request)), nil
	}
	to := plan.Home
	if plan.Via.Incarnation != 0 {
		to = plan.Via
	}
	ctx, cancel := context.WithTimeout(ctx, quoter.AnswerTimeout)
	defer cancel()
	asked := q.deps.Now()
	reply, err := q.deps.Ask(ctx, to, request)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	if err != nil {
		if tellsSilence(ctx, now.Since(asked)) && q.router.Failed(now, plan) {
			q.deps.Log.Info("QuotaHomeSilent", "Peer", plan.Home.Address, "Error", err)
			q.deps.Meter.CountEvent("QuotaHomeSilent")
		}
		return quoter.Answer{}, fmt.Errorf("asking for quota: %w", err)
	}
	answer := answerFromProto(reply)
	q.router.Answered(plan, answer)
	q.census.Hear(now, plan.Home.Incarnation, answer.Members)
	return answer, nil
}

// minSilence is the shortest time in which a process that was asked counts as silent. Asks of
// one request share maxAcquireTime, so that the last may have had hardly any time.
const minSilence = quoter.AnswerTimeout * 9 / 10

// tellsSilence reports whether an ask that failed after some time shows that the process is
// silent. A caller that gave up shows nothing.
func tellsSilence(ctx context.Context, after time.Duration) bool {
	cause := context.Cause(ctx)
	return cause == nil || errors.Is(cause, context.DeadlineExceeded) && after >= minSilence
}

// Serve decides about a request of a router, as the customer's home.
func (q *quotas) Serve(request *messenger.QuotaRequest) *messenger.QuotaReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, catalog := q.deps.Now(), q.deps.Catalog()
	q.census.Hear(now, request.Sender, int(request.Members))
	customer, known := catalog.Customer(request.Customer)
	switch {
	case !known && catalog.Version() < request.ConfigVersion:
		return &messenger.QuotaReply{Undecided: true}
	case customer.Rate <= 0:
		return &messenger.QuotaReply{Granted: request.Count}
	}
	ask := askFromProto(request)
	view := q.census.View(now, ask.Customer)
	limit := q.divider.Part(now, customer.Name, limitOf(customer), int(min(request.Part, maxQuotaCount)))
	var answer quoter.Answer
	if limit.Rate > 0 {
		answer = q.home.Acquire(now, ask, limit, view)
	} else {
		// The sender has a version of the limit with more parts. The parts that both
		// versions have serve the customer meanwhile.
		answer = q.home.Refuse(view)
	}
	return &messenger.QuotaReply{
		Granted:      uint32(answer.Granted),
		RetryAfterMs: uint32(answer.RetryAfter.Milliseconds()),
		Undecided:    answer.Undecided,
		Members:      uint32(answer.Members),
		Young:        answer.Young,
		PatienceMs:   uint32(answer.Patience.Milliseconds()),
	}
}

// relay passes a request on to the process that it is meant for. A process that is not
// known as live, or the sender itself, gets none, so that no request goes in circles.
func (q *quotas) relay(ctx context.Context, request *messenger.QuotaRequest) (*messenger.QuotaReply, error) {
	home, ok := q.deps.Roster().Member(request.Incarnation)
	if !ok || !home.State.Live() || request.Relayed || request.Incarnation == request.Sender {
		return nil, errOtherIncarnation
	}
	ctx, cancel := context.WithTimeout(ctx, quoter.AnswerTimeout)
	defer cancel()
	request.Relayed = true
	reply, err := q.deps.Ask(ctx, home, request)
	if err != nil {
		return nil, fmt.Errorf("asking the home: %w", err)
	}
	return reply, nil
}

// fallBack decides about one request without the home of a part.
func (q *quotas) fallBack(one part, whole quoter.Limit) (release func(), retryAfter time.Duration, ok bool) {
	q.mu.Lock()
	now := q.deps.Now()
	view := q.census.View(now, one.key())
	limit := q.divider.Part(now, one.customer, whole, one.index)
	retryAfter, ok = q.router.Fallback(now, one.key(), limit, view)
	q.mu.Unlock()
	if !ok {
		return nil, retryAfter, false
	}
	q.record(one.customer, quotaFallbackGranted)
	return func() {
		q.mu.Lock()
		q.router.ReturnOwn(q.deps.Now(), one.key(), limit, view)
		q.mu.Unlock()
		q.record(one.customer, quotaReturned)
	}, 0, true
}

// giveBack returns the quota of a request that has not run.
func (q *quotas) giveBack(one part, home registrar.Member, granted clocker.Instant) {
	q.mu.Lock()
	q.router.Return(q.deps.Now(), one.key(), home, granted)
	q.mu.Unlock()
	q.record(one.customer, quotaReturned)
}

// record counts a decision and logs when a customer begins to be limited.
func (q *quotas) record(customer, decision string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	use := q.uses[customer]
	if use == nil {
		use = &quotaUse{}
		q.uses[customer] = use
	}
	use.usedAt = now
	label := q.ranking.Count(customer)
	q.deps.Meter.CountQuota(label, decision)
	switch decision {
	case quotaGranted, quotaFallbackGranted:
		use.granted++
	case quotaRefused, quotaFallbackRefused:
		use.refused++
		use.refusedAt = now
		if !use.limited {
			use.limited = true
			q.deps.Log.Info("CustomerLimited", "Customer", customer, "Decision", decision,
				"Homes", strings.Join(q.homesOf(now, customer), ","))
		}
	}
}

// homesOf returns the addresses of the homes of a customer's parts.
func (q *quotas) homesOf(now clocker.Instant, name string) []string {
	customer, _ := q.deps.Catalog().Customer(name)
	homes := make([]string, limitOf(customer).Split().Parts)
	for i := range homes {
		homes[i] = q.census.Home(now, part{customer: name, index: i}.key()).Address
	}
	return homes
}

// run drives what depends on time until the context is done.
func (q *quotas) run(ctx context.Context) error {
	return every(ctx, quoter.TickPeriod, func() { q.tick(ctx) })
}

func (q *quotas) tick(ctx context.Context) {
	for _, plan := range q.step() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, quoter.AnswerTimeout)
			defer cancel()
			if _, err := q.send(ctx, plan, plan.Ask); err != nil {
				q.deps.Log.Debug("QuotaNotReturned", "Customer", plan.Ask.Customer, "Error", err)
			}
		}()
	}
}

// step takes in changes of the fleet and the settings, and returns the asks that are due.
func (q *quotas) step() []quoter.Plan {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Now()
	if roster := q.deps.Roster(); roster.Digest() != q.digest {
		q.digest = roster.Digest()
		q.census.Update(now, roster.Members())
	}
	tolerance := q.deps.Tolerance()
	q.home.SetTolerance(tolerance)
	q.router.SetTolerance(tolerance)
	if q.home.Tick(now) {
		q.deps.Log.Info("QuotaHomePaused")
		q.deps.Meter.CountEvent("QuotaHomePaused")
	}
	if q.ticks++; q.ticks%ticksPerRanking == 0 {
		q.ranking.Rank()
	}
	q.divider.Tick(now)
	for one, until := range q.emptyUntil {
		if now.Since(until) > 0 {
			delete(q.emptyUntil, one)
		}
	}
	for name, use := range q.uses {
		if use.limited && now.Since(use.refusedAt) > tolerance.Window {
			use.limited = false
			q.deps.Log.Info("CustomerLimitLifted", "Customer", name, "Granted", use.granted, "Refused", use.refused)
		}
		if now.Since(use.usedAt) > quotaUseLifetime {
			delete(q.uses, name)
		}
	}
	return q.router.Tick(now)
}

// Statuses returns the limits and the use of the customers with the most requests here.
func (q *quotas) Statuses() []administrator.QuotaStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, catalog := q.deps.Now(), q.deps.Catalog()
	buckets := map[string]quoter.Use{}
	for _, bucket := range q.home.Uses() {
		buckets[bucket.Customer] = bucket
	}
	names := slices.SortedFunc(maps.Keys(q.uses), func(a, b string) int {
		return cmp.Or(cmp.Compare(q.uses[b].granted+q.uses[b].refused, q.uses[a].granted+q.uses[a].refused), cmp.Compare(a, b))
	})
	statuses := make([]administrator.QuotaStatus, 0, min(len(names), maxQuotaStatuses))
	for _, name := range names[:min(len(names), maxQuotaStatuses)] {
		customer, _ := catalog.Customer(name)
		use, view := q.uses[name], q.census.View(now, part{customer: name}.key())
		status := administrator.QuotaStatus{
			Customer: name, Rate: customer.Rate, Burst: customer.Burst, Limited: use.limited,
			Granted: use.granted, Refused: use.refused, Live: view.Live, Members: view.Members,
			Homes: q.homesOf(now, name),
		}
		parts := limitOf(customer).Split().Parts
		for i := range parts {
			if bucket, held := buckets[part{customer: name, index: i}.key()]; held {
				status.Held++
				status.Level += bucket.Level
				status.Fraction += bucket.Fraction / float64(parts)
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (q *quotas) toProto(home registrar.Member, ask quoter.Ask) *messenger.QuotaRequest {
	one := partOf(ask.Customer)
	return &messenger.QuotaRequest{
		Incarnation:   home.Incarnation,
		Sender:        ask.Sender,
		Customer:      one.customer,
		Part:          uint32(one.index),
		Count:         uint32(ask.Count),
		Returned:      uint32(ask.Returned),
		ConfigVersion: q.deps.Catalog().Version(),
		Lends:         ask.Lends,
		Members:       uint32(ask.Members),
		ReturnedAgeMs: uint32(ask.ReturnedAge.Milliseconds()),
	}
}

// maxQuotaCount bounds the numbers in a message, whose sender may be faulty.
const maxQuotaCount = 1 << 20

func askFromProto(request *messenger.QuotaRequest) quoter.Ask {
	return quoter.Ask{
		Sender:      request.Sender,
		Customer:    part{customer: request.Customer, index: int(min(request.Part, maxQuotaCount))}.key(),
		Count:       int(min(request.Count, maxQuotaCount)),
		Returned:    int(min(request.Returned, maxQuotaCount)),
		ReturnedAge: time.Duration(request.ReturnedAgeMs) * time.Millisecond,
		Lends:       request.Lends,
		Members:     int(min(request.Members, maxQuotaCount)),
	}
}

func answerFromProto(reply *messenger.QuotaReply) quoter.Answer {
	return quoter.Answer{
		Granted:    int(min(reply.Granted, maxQuotaCount)),
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
		Undecided:  reply.Undecided,
		Young:      reply.Young,
		Patience:   time.Duration(reply.PatienceMs) * time.Millisecond,
		Members:    int(min(reply.Members, maxQuotaCount)),
	}
}
