package soaker

import (
	"time"

	"github.com/foxtailhall/foxtailhall/standins/storer"
)

// storeFaults holds the faults of the store in force, which may overlap.
type storeFaults struct {
	active map[int]storer.Fault
	next   int
}

// applyStoreFault adds a fault to those of the store. The returned function ends it.
func (f *fleet) applyStoreFault(fault storer.Fault) (undo func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := f.faults.next
	f.faults.next++
	f.faults.active[number] = fault
	f.updateStore()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.faults.active, number)
		f.updateStore()
	}
}

// updateStore gives the store the faults in force. The caller holds mu.
func (f *fleet) updateStore() {
	var all storer.Fault
	for _, fault := range f.faults.active {
		all = all.With(fault)
	}
	f.store.SetFault(all)
}

// injectStoreFault makes the store fail: for the VM only if it refuses calls, else for
// all VMs.
func (f *fleet) injectStoreFault(event Event, v *vm) (undo func()) {
	switch event.Kind {
	case KindStoreTruncate:
		f.store.Truncate("keyed.op")
		f.store.Truncate("keyed.members")
		return nil
	case KindStoreSilent:
		return f.applyStoreFault(storer.Fault{Silent: true})
	case KindStoreSlow:
		return f.applyStoreFault(storer.Fault{Delay: 300 * time.Millisecond})
	case KindStoreLostReplies:
		return f.applyStoreFault(storer.Fault{LostReplyShare: 0.5})
	case KindStoreLateWrites:
		return f.applyStoreFault(storer.Fault{LateWriteShare: 0.5})
	case KindStoreRefuse:
		return f.applyStoreFault(storer.Fault{RefusedIPs: map[string]bool{v.ip: true}})
	case KindStoreOlder:
		end := f.applyStoreFault(storer.Fault{Down: true})
		return func() {
			f.restoreStore(rewrites[event.VM])
			end()
		}
	default:
		return f.applyStoreFault(storer.Fault{Down: true})
	}
}

// copyAge is the age of the copy from which the store comes back.
const copyAge = 4 * time.Second

// rewrite is what the operator writes again after the store has lost versions.
type rewrite string

const (
	// rewriteNewest writes the newest version, rewriteAll each of the lost ones.
	rewriteNewest rewrite = "Newest"
	rewriteAll    rewrite = "All"
	// rewriteReplaced writes the newest version and then as many others as give each
	// offset of a lost one out again.
	rewriteReplaced rewrite = "Replaced"
)

var rewrites = []rewrite{rewriteNewest, rewriteAll, rewriteReplaced}

// restoreStore replaces the records of the store by an older copy and lets the operator
// write the lost versions again.
func (f *fleet) restoreStore(again rewrite) {
	lost := f.store.Restore(copyAge)
	if len(lost) == 0 {
		return
	}
	if again == rewriteAll {
		for _, text := range lost[:len(lost)-1] {
			f.store.Publish(text)
		}
	}
	f.store.Publish(lost[len(lost)-1])
	if again != rewriteReplaced {
		return
	}
	for range len(lost) - 1 {
		if err := f.publish(); err != nil {
			f.checker.addViolation("Publish", err.Error())
		}
	}
}
