package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	// maxApplyDelay is how long an undisturbed process may take to apply a version
	// after its acknowledgement: the shortest limit in the users' deployments.
	maxApplyDelay = 2 * time.Second
	// settleTime is how long a process must have been undisturbed before its time
	// limits apply.
	settleTime = 3 * time.Second
	// versionShare is the share of requests to the newest version's own route, and
	// recentShare that of requests to any of recentVersions. Only the older ones of them
	// show that a version is still missing while others are published.
	versionShare, recentShare = 0.1, 0.06
	recentVersions            = 6
	// versionPath is the prefix of the versions' own routes; the number follows.
	versionPath = "/version"
)

// publication is a published version and the time of its acknowledgement.
type publication struct {
	version int
	at      time.Time
}

// disturbance is a period in which the time limits do not apply to a VM, or to all
// VMs if vm is allVMs.
type disturbance struct {
	kind     Kind
	vm       int
	from, to time.Time
}

// silenceDetected is the time after which no process uses a connection that went silent.
const silenceDetected = 3 * time.Second

// allVMs is the VM of a disturbance of the store.
const allVMs = -1

// affects returns the VM whose time limits an event suspends, and for how long, and
// reports whether it suspends any.
func (e Event) affects() (vm int, length time.Duration, ok bool) {
	switch e.Kind {
	case KindStoreDown, KindStoreSilent, KindStoreSlow, KindStoreLostReplies, KindStoreTruncate, KindStoreRefuse,
		KindStoreLateWrites, KindStoreOlder:
		return allVMs, e.Length, true
	case KindStop:
		return e.VM, stopLimit + restartDelay, true
	case KindSilence:
		return e.VM, silenceDetected, true
	case KindLeaveAndKill, KindSayLeaving:
		return e.VM, leaveDuration + restartDelay, true
	case KindKill, KindPause, KindCutOneWay, KindCutBoth, KindReset, KindDelay:
		return e.VM, e.Length + restartDelay, true
	default:
		return 0, 0, false
	}
}

// recordDisturbance records the period in which an event suspends time limits.
func (f *fleet) recordDisturbance(event Event) {
	vm, length, ok := event.affects()
	if !ok {
		return
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbances = append(f.disturbances, disturbance{kind: event.Kind, vm: vm, from: now, to: now.Add(length)})
}

// undisturbed reports whether no disturbance of a VM overlaps a period, but for those of some kinds.
func (f *fleet) undisturbed(vm int, from, to time.Time, but ...Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.disturbances {
		if (d.vm == vm || d.vm == allVMs) && !slices.Contains(but, d.kind) && d.from.Before(to) && d.to.After(from) {
			return false
		}
	}
	return true
}

// versionPathOf returns a path on the own route of the version that was published a number
// of versions before the newest one.
func (f *fleet) versionPathOf(before int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%s%d/a", versionPath, max(1, f.version-before))
}

// versionOf returns the version to whose own route a path belongs, or 0.
func versionOf(path string) int {
	number, _, _ := strings.Cut(strings.TrimPrefix(path, versionPath), "/")
	version, err := strconv.Atoi(number)
	if err != nil {
		return 0
	}
	return version
}

// checkVersions checks that VMs know each version maxApplyDelay after its acknowledgement,
// whatever went on then, once they have been undisturbed for settleTime, and never go back
// to an older one. An answer of 404 on a version's own route shows that the VM has not
// applied that version.
func (c *checker) checkVersions(f *fleet) {
	answers := append([]answer(nil), c.answers...)
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
		at := f.publishedAt(version)
		if got.Sent.After(at.Add(maxApplyDelay)) && f.undisturbed(got.VM, got.Sent.Add(-settleTime), got.Ended) {
			c.addViolationLocked("ConfigurationInTime", fmt.Sprintf("%s: vm%d did not know version %d %s after its acknowledgement",
				got.ID, got.VM, version, got.Sent.Sub(at)))
		}
		before, ok := seen[got.VM]
		if ok && version <= versionOf(before.Path) && f.undisturbed(got.VM, before.Sent.Add(-settleTime), got.Ended) {
			c.addViolationLocked("ConfigurationNeverReverts", fmt.Sprintf("%s: vm%d knew version %d, but later not version %d",
				got.ID, got.VM, versionOf(before.Path), version))
		}
	}
}

// publishedAt returns the time at which a version was acknowledged, or the zero
// time if it was not published.
func (f *fleet) publishedAt(version int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.publications {
		if p.version == version {
			return p.at
		}
	}
	return time.Time{}
}

// propagationTime returns the time from the acknowledgement of the last version until
// a caller of each VM saw it, the slowest included, and reports whether a caller of
// every VM did.
func (c *checker) propagationTime(f *fleet) (time.Duration, bool) {
	first := map[int]time.Time{}
	for _, got := range c.answers {
		if versionOf(got.Path) != f.version || got.Status == 0 || got.Status == http.StatusNotFound {
			continue
		}
		if at, ok := first[got.VM]; !ok || got.Sent.Before(at) {
			first[got.VM] = got.Sent
		}
	}
	longest := time.Duration(0)
	for _, at := range first {
		longest = max(longest, at.Sub(f.publishedAt(f.version)))
	}
	return longest, len(first) == len(f.vms)
}
