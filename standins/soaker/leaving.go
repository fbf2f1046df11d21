package soaker

import (
	"fmt"
	"slices"
	"time"
)

// recordLeavingLocked records an answer which says that its server leaves. The caller holds the lock.
func (c *checker) recordLeavingLocked(got answer) {
	vms := c.leaving[got.Server]
	if vms == nil {
		vms = map[int]time.Time{}
		c.leaving[got.Server] = vms
	}
	if _, known := vms[got.VM]; !known {
		vms[got.VM] = got.Ended
	}
}

// saidLeaving reports whether a caller got an answer in which a server says that it leaves.
func (c *checker) saidLeaving(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.leaving[server]) > 0
}

// checkLeavingAnswers checks that a request sent later than maxDrainDelay after its VM had passed
// on an answer in which a server says that it leaves does not reach that server, unless the VM's
// process was killed, stopped or paused since then.
func (c *checker) checkLeavingAnswers(f *fleet) {
	for _, got := range c.answers {
		for _, run := range c.runs[got.ID] {
			said, ok := c.leaving[run.ServerID][got.VM]
			if ok && got.Sent.After(said.Add(maxDrainDelay)) && !f.interrupted(got.VM, said, run.At) {
				c.addViolationLocked("NoWorkAfterALeavingAnswer", fmt.Sprintf("%s through vm%d was executed at %s, "+
					"sent %s after vm%d had passed on that it leaves", got.ID, got.VM, run.ServerID, got.Sent.Sub(said), got.VM))
			}
		}
	}
}

// interrupted reports whether a VM's process was killed, stopped or paused within a period.
func (f *fleet) interrupted(vm int, from, to time.Time) bool {
	if f.vms[vm].crashedWithin(from, to) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.disturbances, func(d disturbance) bool {
		return d.vm == vm && (d.kind == KindStop || d.kind == KindPause) && d.from.Before(to) && d.to.After(from)
	})
}
