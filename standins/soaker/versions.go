package soaker

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	// applyBound is how long after its acknowledgement a version may be unknown to
	// a process that nothing disturbs: the shortest bound of the users' deployments.
	applyBound = 2 * time.Second
	// stableTime is how long a process must be undisturbed for bounds to hold.
	stableTime = 3 * time.Second
	// versionShare of the requests ask for the newest version's own route.
	versionShare = 0.1
	versionPath  = "/version"
)

// publication is one version with the time of its acknowledgement.
type publication struct {
	version int
	at      time.Time
}

// disturbance is a span in which bounds don't hold for a VM, or for all.
type disturbance struct {
	vm       int
	from, to time.Time
}

// everyVM marks a disturbance of the store.
const everyVM = -1

// disturbed tells which VM an event takes out of its bounds, and for how long.
func (e Event) disturbed() (vm int, lasts time.Duration, ok bool) {
	switch e.Kind {
	case KindStoreDown, KindStoreSilent, KindStoreSlow, KindStoreLossy, KindStoreForget, KindStoreRefuse:
		return everyVM, e.Lasts, true
	case KindStop:
		return e.VM, stopLimit + restartPause, true
	case KindKill, KindPause, KindCutOneWay, KindCutBoth, KindReset, KindDelay:
		return e.VM, e.Lasts + restartPause, true
	default:
		return 0, 0, false
	}
}

func (f *fleet) noteDisturbance(event Event) {
	vm, lasts, ok := event.disturbed()
	if !ok {
		return
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbances = append(f.disturbances, disturbance{vm: vm, from: now, to: now.Add(lasts)})
}

// calm tells whether nothing disturbed a VM in a span of time.
func (f *fleet) calm(vm int, from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.disturbances {
		if (d.vm == vm || d.vm == everyVM) && d.from.Before(to) && d.to.After(from) {
			return false
		}
	}
	return true
}

// newestPath is the path of the route that came with the newest version.
func (f *fleet) newestPath() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%s%d/a", versionPath, f.version)
}

// versionOf returns the version that a request's path came with, 0 if none.
func versionOf(path string) int {
	number, _, _ := strings.Cut(strings.TrimPrefix(path, versionPath), "/")
	version, err := strconv.Atoi(number)
	if err != nil {
		return 0
	}
	return version
}

// checkVersions checks that versions are in force in time and stay so.
func (l *ledger) checkVersions(f *fleet) {
	answers := append([]answer(nil), l.answers...)
	sort.Slice(answers, func(i, j int) bool { return answers[i].Sent.Before(answers[j].Sent) })
	seen := map[int]answer{}
	for _, got := range answers {
		version := versionOf(got.Path)
		if version == 0 || got.Status == 0 {
			continue
		}
		if got.Status != http.StatusNotFound {
			if version >= versionOf(seen[got.VM].Path) {
				seen[got.VM] = got
			}
			continue
		}
		at := f.acknowledged(version)
		if got.Sent.After(at.Add(applyBound)) && f.calm(got.VM, at.Add(-stableTime), got.Ended) {
			l.broken("ConfigurationInTime", fmt.Sprintf("%s: vm%d did not know version %d after %s",
				got.ID, got.VM, version, got.Sent.Sub(at)))
		}
		before, ok := seen[got.VM]
		if ok && version <= versionOf(before.Path) && f.calm(got.VM, before.Sent.Add(-stableTime), got.Ended) {
			l.broken("ConfigurationNeverReverts", fmt.Sprintf("%s: vm%d knew version %d and not %d later",
				got.ID, got.VM, versionOf(before.Path), version))
		}
	}
}

func (f *fleet) acknowledged(version int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, one := range f.publications {
		if one.version == version {
			return one.at
		}
	}
	return time.Time{}
}

// spread returns how long the last version took until a caller of each VM saw it.
func (l *ledger) spread(f *fleet) (time.Duration, bool) {
	first := map[int]time.Time{}
	for _, got := range l.answers {
		if versionOf(got.Path) != f.version || got.Status == 0 || got.Status == http.StatusNotFound {
			continue
		}
		if at, ok := first[got.VM]; !ok || got.Sent.Before(at) {
			first[got.VM] = got.Sent
		}
	}
	longest := time.Duration(0)
	for _, at := range first {
		longest = max(longest, at.Sub(f.acknowledged(f.version)))
	}
	return longest, len(first) == len(f.vms)
}
