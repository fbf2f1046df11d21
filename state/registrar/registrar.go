// Package registrar holds the roster of processes and their backend servers in
// an immutable data structure indexed by incarnation, service and address.
package registrar

import (
	"cmp"
	"slices"

	"github.com/benbjohnson/immutable"
)

// Roster is an immutable view of the fleet's members.
type Roster struct {
	// members maps incarnations to entries, including those in StateGone.
	members *immutable.Map[uint64, Member]
	// pools maps each service to its live members, sorted by incarnation.
	pools *immutable.Map[string, []Member]
	// byAddress maps an address to the latest incarnation that used it.
	byAddress *immutable.Map[string, uint64]
	// digest is the XOR of the fingerprints of all members.
	digest uint64
}

// New returns an empty roster.
func New() Roster {
	return Roster{
		members:   immutable.NewMap[uint64, Member](incarnationHasher{}),
		pools:     immutable.NewMap[string, []Member](nil),
		byAddress: immutable.NewMap[string, uint64](nil),
	}
}

// Len returns the number of entries, including those in StateGone.
func (r Roster) Len() int { return r.members.Len() }

// Digest returns a hash that is equal for rosters with equal entries.
func (r Roster) Digest() uint64 { return r.digest }

// Member returns the entry of an incarnation.
func (r Roster) Member(incarnation uint64) (Member, bool) {
	return r.members.Get(incarnation)
}

// MemberAt returns the entry of the latest incarnation that used an address.
func (r Roster) MemberAt(address string) (Member, bool) {
	incarnation, ok := r.byAddress.Get(address)
	if !ok {
		return Member{}, false
	}
	return r.members.Get(incarnation)
}

// Pool returns the live members of a service, sorted by incarnation. The slice
// is shared and must not be modified.
func (r Roster) Pool(service string) []Member {
	pool, _ := r.pools.Get(service)
	return pool
}

// Services returns the services that have live members, sorted.
func (r Roster) Services() []string {
	services := make([]string, 0, r.pools.Len())
	for it := r.pools.Iterator(); !it.Done(); {
		service, pool, _ := it.Next()
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
	for it := r.members.Iterator(); !it.Done(); {
		_, member, _ := it.Next()
		all = append(all, member)
	}
	slices.SortFunc(all, byIncarnation)
	return all
}

// Fingerprints returns the fingerprints of all entries, sorted.
func (r Roster) Fingerprints() []uint64 {
	fingerprints := make([]uint64, 0, r.members.Len())
	for it := r.members.Iterator(); !it.Done(); {
		_, member, _ := it.Next()
		fingerprints = append(fingerprints, member.fingerprint())
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// Missing returns the entries whose fingerprints are not in known, sorted by
// incarnation.
func (r Roster) Missing(known []uint64) []Member {
	have := make(map[uint64]struct{}, len(known))
	for _, fingerprint := range known {
		have[fingerprint] = struct{}{}
	}
	return slices.DeleteFunc(r.Members(), func(member Member) bool {
		_, ok := have[member.fingerprint()]
		return ok
	})
}

// HealthySlots returns the total slots of a service's healthy members.
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
// incarnations at one address, the earlier one is set to StateGone.
func (r Roster) WithMember(member Member) Roster {
	occupant, occupied := r.MemberAt(member.Address)
	if !occupied || occupant.Incarnation == member.Incarnation {
		r.byAddress = r.byAddress.Set(member.Address, member.Incarnation)
		return r.withEntry(member)
	}
	if !member.State.Live() {
		return r.withEntry(member)
	}
	if occupant.State.Live() && occupant.Incarnation > member.Incarnation {
		return r.withEntry(member.WithState(StateGone))
	}
	r.byAddress = r.byAddress.Set(member.Address, member.Incarnation)
	if occupant.State != StateGone {
		r = r.withEntry(occupant.WithState(StateGone))
	}
	return r.withEntry(member)
}

// WithoutMember returns the roster without the entry of an incarnation.
func (r Roster) WithoutMember(incarnation uint64) Roster {
	old, ok := r.members.Get(incarnation)
	if !ok {
		return r
	}
	r.digest ^= old.fingerprint()
	r.members = r.members.Delete(incarnation)
	if occupant, _ := r.byAddress.Get(old.Address); occupant == incarnation {
		r.byAddress = r.byAddress.Delete(old.Address)
	}
	return r.withoutPoolMember(old)
}

func (r Roster) withEntry(member Member) Roster {
	old, known := r.members.Get(member.Incarnation)
	if known {
		r.digest ^= old.fingerprint()
		if old.Service != member.Service {
			r = r.withoutPoolMember(old)
		}
	}
	r.digest ^= member.fingerprint()
	r.members = r.members.Set(member.Incarnation, member)
	if !member.State.Live() {
		return r.withoutPoolMember(member)
	}
	return r.withPoolMember(member)
}

func (r Roster) withPoolMember(member Member) Roster {
	pool, _ := r.pools.Get(member.Service)
	i, found := slices.BinarySearchFunc(pool, member, byIncarnation)
	updated := make([]Member, 0, len(pool)+1)
	updated = append(updated, pool[:i]...)
	updated = append(updated, member)
	if found {
		i++
	}
	updated = append(updated, pool[i:]...)
	r.pools = r.pools.Set(member.Service, updated)
	return r
}

func (r Roster) withoutPoolMember(member Member) Roster {
	pool, _ := r.pools.Get(member.Service)
	i, found := slices.BinarySearchFunc(pool, member, byIncarnation)
	if !found {
		return r
	}
	updated := make([]Member, 0, len(pool))
	updated = append(updated, pool[:i]...)
	updated = append(updated, pool[i+1:]...)
	if len(updated) == 0 {
		r.pools = r.pools.Delete(member.Service)
		return r
	}
	r.pools = r.pools.Set(member.Service, updated)
	return r
}

func byIncarnation(a, b Member) int {
	return cmp.Compare(a.Incarnation, b.Incarnation)
}
