package gossiper

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/warner"
)

// SetConfigVersion sets the version in force, which is sent with every message. A new
// version is sent to several members in each of the next ticks.
func (g *Gossiper) SetConfigVersion(configVersion uint64) {
	if configVersion != g.configVersion {
		g.urgentTicks = versionTicks
	}
	g.configVersion = configVersion
}

// Confirm records that the source of the configuration was read at a time.
func (g *Gossiper) Confirm(at clocker.Instant) {
	if !g.everConfirmed || at.Mono > g.confirmedAt.Mono {
		g.confirmedAt, g.everConfirmed = at, true
	}
}

// Confirmed returns the age of the last successful read of the configuration's source
// by any process, as far as this one knows, negative if it knows of none.
func (g *Gossiper) Confirmed(now clocker.Instant) time.Duration {
	if !g.everConfirmed {
		return -1
	}
	return now.Since(g.confirmedAt)
}

// RaiseEra records that the source's data is of an era, which rises when the source comes
// back from an older copy. A source may name none before the first time. A new era is sent to
// several members in each of the next ticks.
func (g *Gossiper) RaiseEra(now clocker.Instant, era uint64) {
	if era <= g.era {
		return
	}
	if g.era > 0 || g.everConfirmed {
		g.eraRoseAt, g.eraRose = now, true
		g.urgentTicks = versionTicks
	}
	g.era = era
}

// mergeEra adopts the era that another member knows, and when it rose.
func (g *Gossiper) mergeEra(now clocker.Instant, message Message) {
	if message.Era < g.era || message.Era == 0 {
		return
	}
	later := message.Era > g.era
	g.RaiseEra(now, message.Era)
	if message.EraAge >= 0 && (later || !g.eraRose) {
		g.eraRoseAt, g.eraRose = now.Add(-message.EraAge), true
	}
}

// Era returns the latest known era of the source's data, 0 for none.
func (g *Gossiper) Era() uint64 { return g.era }

// EraAge returns the time since a process saw the era rise, negative if none is known to
// have done so.
func (g *Gossiper) EraAge(now clocker.Instant) time.Duration {
	if !g.eraRose {
		return -1
	}
	return now.Since(g.eraRoseAt)
}

// SetWarning sets how long requests should avoid the own server. The durations are 0
// if there is no reason to. A new warning is sent without delay.
func (g *Gossiper) SetWarning(now clocker.Instant, avoid, avoidNonIdempotent time.Duration) {
	if avoid > 0 && g.warned <= 0 {
		g.selfChanged = true
	}
	g.warned = avoid
	g.warner.SetOwn(now, avoid, avoidNonIdempotent)
}

// TakeWarnings returns the warnings received since the last call.
func (g *Gossiper) TakeWarnings() []warner.Warning {
	taken := g.adopted
	g.adopted = nil
	return taken
}
