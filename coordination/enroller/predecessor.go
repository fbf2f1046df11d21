package enroller

import "github.com/foxtailhall/foxtailhall/state/registrar"

// FirstVersion is the version of a roster entry that its process has never changed.
const FirstVersion = 1

// RuledOut reports whether the entries of a roster show that no announcement can be late
// that a run of the service's server at the address of self sent before it left. They do
// if the last process there with a server had one of the service when it ended, since a
// process whose server has left has none. They also do if no earlier process is known
// there, but a live member with an incarnation below longRunning, which would know it.
func RuledOut(self registrar.Member, service string, members []registrar.Member, longRunning uint64) bool {
	var last registrar.Member
	known := false
	for _, member := range members {
		known = known || member.State.Live() && member.Incarnation < longRunning
		earlier := member.Address == self.Address && member.Incarnation < self.Incarnation
		if earlier && member.Version > FirstVersion && member.Incarnation > last.Incarnation {
			last = member
		}
	}
	if last.Incarnation == 0 {
		return known
	}
	return service != "" && last.Service == service
}
