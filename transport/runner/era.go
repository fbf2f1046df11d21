package runner

// recordEra records the era of the Source's data that an answer of the Source names.
func (r *Runner) recordEra(era uint64) {
	r.gossipMu.Lock()
	r.gossip.RaiseEra(r.now(), era)
	r.gossipMu.Unlock()
	r.applyEra()
}

// applyEra makes this process write again what the Source keeps for it if the Source is
// known to have come back from an older copy, whether by an answer or by gossip.
func (r *Runner) applyEra() {
	r.gossipMu.Lock()
	era, age := r.gossip.Era(), r.gossip.EraAge(r.now())
	r.gossipMu.Unlock()
	if r.deps.Source == nil || !r.raiseEra(era) {
		return
	}
	r.deps.Log.Info("SourceEra", "Era", era, "AgeMs", age.Milliseconds())
	r.deps.Meter.CountEvent("SourceEra")
	r.urgent.Store(true)
	r.departures.setEra(era)
	r.registration.setEra(era)
}

// raiseEra raises the applied era and reports whether it was lower.
func (r *Runner) raiseEra(era uint64) bool {
	for {
		known := r.era.Load()
		if era <= known {
			return false
		}
		if r.era.CompareAndSwap(known, era) {
			return true
		}
	}
}
