package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/foxtailhall/foxtailhall/standins/responder"
)

const (
	// customerCount is the number of customers in a run that has any. Each sends half as many requests as the one
	// before it, and the last as many as the one before it.
	customerCount = 4
	// maxKeyDelay is how long a change of keys may take to apply after the acknowledgement of its version.
	maxKeyDelay = 2500 * time.Millisecond
	// Shares of the credentials that are not keys in force for the whole run.
	changingKeyShare  = 0.1
	revokedKeyShare   = 0.1
	unknownKeyShare   = 0.1
	malformedKeyShare = 0.05
	// publicShare is the share of requests to the public route, which carry no key.
	publicShare = 0.05
	// forgedShare is the share of requests with a header that names a customer.
	forgedShare    = 0.2
	headerCustomer = "Foxtailhall-Tenant"
	publicPath     = "/public/a"
)

// key is a customer's key. Its times are those of the acknowledgements of versions.
type key struct {
	text, holder string
	added        time.Time
	// removed is zero while the newest version holds the key.
	removed time.Time
}

// customer is a customer in the published configuration.
type customer struct {
	name     string
	priority int
	// rate and burst are the customer's quota; a rate of 0 means no limit.
	rate, burst float64
	// lasting is in force in all versions; changing is replaced by some of them.
	lasting, changing *key
}

// customers are the customers of a run, none in about half of the runs.
type customers struct {
	all     []*customer
	revoked []*key
}

// hasCustomers reports whether the run of a seed has customers.
func hasCustomers(seed uint64) bool {
	return rand.New(rand.NewPCG(customerCount, seed)).IntN(2) == 0 //nolint:gosec // runs must repeat
}

// drawCustomers draws the customers of a run that sends about requestRate requests a second.
func drawCustomers(seed uint64, requestRate float64) customers {
	if !hasCustomers(seed) {
		return customers{}
	}
	random := rand.New(rand.NewPCG(seed, customerCount+1)) //nolint:gosec // runs must repeat
	var drawn customers
	share := 1.0
	for i := range customerCount {
		if i < customerCount-1 {
			share /= 2
		}
		c := &customer{name: fmt.Sprintf("customer%d", i), priority: random.IntN(3)}
		c.rate = share * requestRate * quotaFactors[i%len(quotaFactors)]
		c.burst = c.rate / 2
		c.lasting = &key{text: fmt.Sprintf("%slasting-%d", responder.KeyPrefix, i), holder: c.name}
		c.changing = &key{text: fmt.Sprintf("%schanging-%d-0", responder.KeyPrefix, i), holder: c.name}
		drawn.all = append(drawn.all, c)
	}
	return drawn
}

// replaceKey replaces the changing key of one customer, which takes turns by the version. The returned function
// records the time at which the version was acknowledged.
func (c *customers) replaceKey(version int) (acknowledge func(at time.Time)) {
	if len(c.all) == 0 {
		return func(time.Time) {}
	}
	if version == 1 {
		return func(at time.Time) {
			for _, one := range c.all {
				one.lasting.added, one.changing.added = at, at
			}
		}
	}
	one := c.all[version%len(c.all)]
	old := one.changing
	one.changing = &key{text: fmt.Sprintf("%schanging-%s-%d", responder.KeyPrefix, one.name, version), holder: one.name}
	return func(at time.Time) {
		one.changing.added, old.removed = at, at
		c.revoked = append(c.revoked, old)
	}
}

// credential is what a request presents as a customer's key.
type credential struct {
	// header is the value of the Authorization header, empty if there is none.
	header string
	// key is nil if the header is not one of a key that a version held.
	key *key
	// lasting reports whether the request must not be refused for its key.
	lasting bool
	// limited reports whether the customer has a quota that is published.
	limited bool
}

// drawCredential draws the credential of a request that needs one.
func (f *fleet) drawCredential() credential {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.customers.all) == 0 {
		return credential{lasting: true}
	}
	index := 0
	for index < customerCount-1 && rand.IntN(2) == 0 {
		index++
	}
	one := f.customers.all[index]
	draw := rand.Float64()
	for _, other := range []struct {
		share      float64
		credential credential
	}{
		{changingKeyShare, credential{header: "Bearer " + one.changing.text, key: one.changing}},
		{revokedKeyShare, f.customers.drawRevoked()},
		{unknownKeyShare, credential{header: fmt.Sprintf("Bearer %sunknown-%d", responder.KeyPrefix, rand.Uint32())}},
		{malformedKeyShare, credential{header: "Basic " + one.lasting.text}},
	} {
		if draw < other.share && other.credential.header != "" {
			return other.credential
		}
		draw -= other.share
	}
	return credential{
		header: "Bearer " + one.lasting.text, key: one.lasting, lasting: true, limited: f.options.Quotas && one.rate > 0,
	}
}

// drawRevoked returns a key that the newest version doesn't hold, or no credential if there is none.
func (c *customers) drawRevoked() credential {
	if len(c.revoked) == 0 {
		return credential{}
	}
	revoked := c.revoked[rand.IntN(len(c.revoked))]
	return credential{header: "Bearer " + revoked.text, key: revoked}
}

// headers returns the header lines of a request with the credential, and at times one that names a customer, which
// only the fleet may set.
func (c credential) headers() string {
	lines := ""
	if c.header != "" {
		lines += "Authorization: " + c.header + "\r\n"
	}
	if rand.Float64() < forgedShare {
		lines += headerCustomer + ": forged\r\n"
	}
	return lines
}

// inForce reports whether a VM must accept the credential in a period.
func (c credential) inForce(f *fleet, vm int, from, to time.Time) bool {
	if c.lasting || c.key == nil {
		return c.lasting
	}
	return (c.key.removed.IsZero() || to.Before(c.key.removed)) && f.mustKnow(vm, c.key.added, from)
}

// mustKnow reports whether a VM that receives a request must have applied a version by then. It must if it was
// undisturbed after the version's acknowledgement, or is now, for as long as a version takes to apply, also if the
// store refuses its calls: versions are passed between peers, and no process goes back to an older version.
func (f *fleet) mustKnow(vm int, published, sent time.Time) bool {
	if sent.Before(published.Add(maxKeyDelay)) {
		return false
	}
	return f.undisturbed(vm, published.Add(-settleTime), published.Add(maxKeyDelay), KindStoreRefuse) ||
		f.undisturbed(vm, sent.Add(-settleTime-maxKeyDelay), sent, KindStoreRefuse)
}

// checkCredential checks an answer and the executions of its request against the credential that it carried.
func (c *checker) checkCredential(f *fleet, got answer, runs []responder.Run) {
	if got.Status == http.StatusUnauthorized {
		if got.Credential.inForce(f, got.VM, got.Sent, got.Ended) {
			c.addViolationLocked("ProperKeyRefused", fmt.Sprintf("%s to %s got 401 from vm%d", got.ID, got.Path, got.VM))
		}
		if len(runs) > 0 {
			c.addViolationLocked("NotRunIsTrue", fmt.Sprintf("%s got status 401, but was executed at %s", got.ID, runs[0].ServerID))
		}
	}
	holder := ""
	if got.Credential.key != nil {
		holder = got.Credential.key.holder
	}
	for _, run := range runs {
		if run.KeyReceived {
			c.addViolationLocked("KeyReachedServer", fmt.Sprintf("%s carried a key at %s", got.ID, run.ServerID))
		}
		if run.Customer != holder {
			c.addViolationLocked("CustomerHeader", fmt.Sprintf("%s was executed at %s for customer %q instead of %q",
				got.ID, run.ServerID, run.Customer, holder))
		}
		if got.Credential.key == nil && !got.Credential.lasting {
			c.addViolationLocked("UnknownKey", fmt.Sprintf("%s was executed at %s with %q, which no version held",
				got.ID, run.ServerID, got.Credential.header))
		}
	}
}

// checkRevocations checks that a removed key stops working in time at each VM. Once a VM has refused a removed key,
// it must not accept it again, whatever happens to its process.
func (c *checker) checkRevocations(f *fleet) {
	answers := slices.Clone(c.answers)
	slices.SortFunc(answers, func(a, b answer) int { return a.Sent.Compare(b.Sent) })
	type place struct {
		vm  int
		key *key
	}
	refused := map[place]answer{}
	for _, got := range answers {
		revoked := got.Credential.key
		if revoked == nil || revoked.removed.IsZero() || got.Sent.Before(revoked.removed) {
			continue
		}
		at := place{vm: got.VM, key: revoked}
		runs := c.runs[got.ID]
		if got.Status == http.StatusUnauthorized {
			if _, ok := refused[at]; !ok {
				refused[at] = got
			}
			continue
		}
		if len(runs) == 0 {
			continue
		}
		late := got.Sent.Sub(revoked.removed)
		if f.mustKnow(got.VM, revoked.removed, got.Sent) {
			c.addViolationLocked("RevokedKey", fmt.Sprintf("%s: vm%d accepted %s %s after its removal",
				got.ID, got.VM, revoked.text, late))
		}
		if before, ok := refused[at]; ok && got.Sent.After(before.Ended) {
			c.addViolationLocked("RevokedKeyWorksAgain", fmt.Sprintf("%s: vm%d accepted %s %s after its removal, but had refused it in %s",
				got.ID, got.VM, revoked.text, late, before.ID))
		}
	}
}

// checkLogs checks that the logs of the processes name no key.
func (c *checker) checkLogs(folder string) {
	logs, err := filepath.Glob(filepath.Join(folder, "vm*.log"))
	if err != nil || len(logs) == 0 {
		c.addViolation("KeyInLog", "no logs to check")
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		if err != nil {
			c.addViolation("KeyInLog", err.Error())
		}
		if strings.Contains(string(text), responder.KeyPrefix) {
			c.addViolation("KeyInLog", log)
		}
	}
}
