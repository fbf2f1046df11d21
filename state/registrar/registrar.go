// Package registrar holds the roster of processes and their backend servers as
// an immutable value with an index by service.
package registrar

import (
	"cmp"
	"slices"

	"github.com/benbjohnson/immutable"
)

// Roster is one view of the fleet. It is never changed once built.
type Roster struct {
	// members holds every known entry under its incarnation, gone ones included.
	members *immutable.Map[uint64, Member]
	// pools holds, for each service, its live members sorted by incarnation.
	pools *immutable.Map[string, []Member]
	// holders maps an address to the incarnation that used it last.
	holders *immutable.Map[string, uint64]
	// digest is the exclusive or of the fingerprints of all members.
	digest uint64
}

// New returns an empty roster.
func New() Roster {
	return Roster{
		members: immutable.NewMap[uint64, Member](incarnationHasher{}),
		pools:   immutable.NewMap[string, []Member](nil),
		holders: immutable.NewMap[string, uint64](nil),
	}
}

// Len counts the entries, gone ones included.
func (r Roster) Len() int { return r.members.Len() }

// Digest is equal for rosters with equal entries.
func (r Roster) Digest() uint64 { return r.digest }

// Member returns the entry of an incarnation.
func (r Roster) Member(incarnation uint64) (Member, bool) {
	return r.members.Get(incarnation)
}

// MemberAt returns the entry that used an address last.
func (r Roster) MemberAt(address string) (Member, bool) {
	incarnation, ok := r.holders.Get(address)
	if !ok {
		return Member{}, false
	}
	return r.members.Get(incarnation)
}

// Pool returns the live members of a service, sorted by incarnation. The slice
// is shared and must not be changed.
func (r Roster) Pool(service string) []Member {
	pool, _ := r.pools.Get(service)
	return pool
}

// Services returns the services that have live members, sorted.
func (r Roster) Services() []string {
	services := make([]string, 0, r.pools.Len())
	for itr := r.pools.Iterator(); !itr.Done(); {
		service, pool, _ := itr.Next()
		if service != "" && len(pool) > 0 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Members returns all entries, sorted by incarnation.
func (r Roster) Members() []Member {
	all := make([]Member, 0, r.members.Len())
	for itr := r.members.Iterator(); !itr.Done(); {
		_, member, _ := itr.Next()
		all = append(all, member)
	}
	slices.SortFunc(all, byIncarnation)
	return all
}

// Fingerprints returns those of all entries, sorted.
func (r Roster) Fingerprints() []uint64 {
	prints := make([]uint64, 0, r.members.Len())
	for itr := r.members.Iterator(); !itr.Done(); {
		_, member, _ := itr.Next()
		prints = append(prints, member.fingerprint())
	}
	slices.Sort(prints)
	return prints
}

// Missing returns the entries whose fingerprints are not among those known,
// sorted by incarnation.
func (r Roster) Missing(known []uint64) []Member {
	held := make(map[uint64]struct{}, len(known))
	for _, fingerprint := range known {
		held[fingerprint] = struct{}{}
	}
	return slices.DeleteFunc(r.Members(), func(member Member) bool {
		_, ok := held[member.fingerprint()]
		return ok
	})
}

// HealthySlots sums the slots of a service that are in healthy states.
func (r Roster) HealthySlots(service string) uint32 {
	var slots uint32
	for _, member := range r.Pool(service) {
		if member.State.Healthy() {
			slots += member.Slots
		}
	}
	return slots
}

// WithMember returns the roster with an entry added or replaced. Of two live
// incarnations at one address only the later one stays; the other is gone.
func (r Roster) WithMember(member Member) Roster {
	holder, held := r.MemberAt(member.Address)
	if !held || holder.Incarnation == member.Incarnation {
		r.holders = r.holders.Set(member.Address, member.Incarnation)
		return r.withEntry(member)
	}
	if !member.State.Live() {
		return r.withEntry(member)
	}
	if holder.State.Live() && holder.Incarnation > member.Incarnation {
		return r.withEntry(member.WithState(StateGone))
	}
	r.holders = r.holders.Set(member.Address, member.Incarnation)
	if holder.State != StateGone {
		r = r.withEntry(holder.WithState(StateGone))
	}
	return r.withEntry(member)
}

// WithoutMember returns the roster without an entry.
func (r Roster) WithoutMember(incarnation uint64) Roster {
	old, ok := r.members.Get(incarnation)
	if !ok {
		return r
	}
	r.digest ^= old.fingerprint()
	r.members = r.members.Delete(incarnation)
	if holder, _ := r.holders.Get(old.Address); holder == incarnation {
		r.holders = r.holders.Delete(old.Address)
	}
	return r.withoutPooled(old)
}

func (r Roster) withEntry(member Member) Roster {
	old, known := r.members.Get(member.Incarnation)
	if known {
		r.digest ^= old.fingerprint()
		if old.Service != member.Service {
			r = r.withoutPooled(old)
		}
	}
	r.digest ^= member.fingerprint()
	r.members = r.members.Set(member.Incarnation, member)
	if !member.State.Live() {
		return r.withoutPooled(member)
	}
	return r.withPooled(member)
}

func (r Roster) withPooled(member Member) Roster {
	pool, _ := r.pools.Get(member.Service)
	at, found := slices.BinarySearchFunc(pool, member, byIncarnation)
	changed := make([]Member, 0, len(pool)+1)
	changed = append(changed, pool[:at]...)
	changed = append(changed, member)
	if found {
		at++
	}
	changed = append(changed, pool[at:]...)
	r.pools = r.pools.Set(member.Service, changed)
	return r
}

func (r Roster) withoutPooled(member Member) Roster {
	pool, _ := r.pools.Get(member.Service)
	at, found := slices.BinarySearchFunc(pool, member, byIncarnation)
	if !found {
		return r
	}
	changed := make([]Member, 0, len(pool))
	changed = append(changed, pool[:at]...)
	changed = append(changed, pool[at+1:]...)
	if len(changed) == 0 {
		r.pools = r.pools.Delete(member.Service)
		return r
	}
	r.pools = r.pools.Set(member.Service, changed)
	return r
}

func byIncarnation(a, b Member) int {
	return cmp.Compare(a.Incarnation, b.Incarnation)
}
