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

// confirmation is when the source was last known to be read. It is immutable.
type confirmation struct {
	at clocker.Instant
	// ever is set once at is.
	ever bool
}

// withRead returns the confirmation once the source is known to have been read at a time.
func (c confirmation) withRead(at clocker.Instant) confirmation {
	if c.ever && at.Mono <= c.at.Mono {
		return c
	}
	return confirmation{at: at, ever: true}
}

// age returns the time since the last read, negative if none is known.
func (c confirmation) age(now clocker.Instant) time.Duration {
	if !c.ever {
		return -1
	}
	return now.Since(c.at)
}

// Confirm records that this process has read the source of the configuration at a time.
func (g *Gossiper) Confirm(at clocker.Instant) {
	g.confirmed = g.confirmed.withRead(at)
	g.zoneConfirmed = g.zoneConfirmed.withRead(at)
}

// Confirmed returns the age of the last successful read of the configuration's source
// by any process, as far as this one knows, negative if it knows of none.
func (g *Gossiper) Confirmed(now clocker.Instant) time.Duration { return g.confirmed.age(now) }

// ZoneConfirmed returns the age of the last such read by a process of the own availability
// zone, negative if this one knows of none.
func (g *Gossiper) ZoneConfirmed(now clocker.Instant) time.Duration { return g.zoneConfirmed.age(now) }

// RaiseEra records that the source's data is of an era, which rises when the source comes
// back from an older copy. A source may name none before the first time. A new era is sent to
// several members in each of the next ticks.
func (g *Gossiper) RaiseEra(now clocker.Instant, era uint64) {
	if era <= g.era {
		return
	}
	if g.era > 0 || g.confirmed.ever {
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
