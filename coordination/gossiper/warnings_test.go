package gossiper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failing is the member whose server fails.
const failing = 7

// warnedMembers adds the members that received a warning since the last call, and
// returns how many there are in the zone of the failing server and elsewhere.
func (c *cluster) warnedMembers(warned map[int]bool) (near, far int) {
	for i, member := range c.members {
		for _, warning := range member.TakeWarnings() {
			if warning.Incarnation == uint64(failing+1) && warning.AvoidNonIdempotent > 0 {
				warned[i] = true
			}
		}
	}
	for i := range warned {
		if i%c.zones == failing%c.zones {
			near++
		} else {
			far++
		}
	}
	return near, far
}

// TestWarningsSpread answers the pattern of a fleet in which each router asks each
// server about once a minute: without warnings it asks failing servers over and over.
func TestWarningsSpread(t *testing.T) {
	const zones, perZone = 5, 30
	c := newZonedCluster(zones*perZone, zones, 3)
	c.until(200, c.complete)
	require.True(t, c.complete())
	warned := map[int]bool{}
	c.warnedMembers(warned)
	clear(warned)
	rounds := 0
	for near := 0; near < (perZone-1)*9/10; rounds++ {
		c.members[failing].SetWarning(c.instant(), time.Second, 2*time.Second)
		c.rounds(1)
		near, _ = c.warnedMembers(warned)
		require.Less(t, rounds, 6, "nine tenths of the zone know within 1.2 s, reached %d", near)
	}
	_, far := c.warnedMembers(warned)
	require.Positive(t, far, "other zones hear of it as well")

	c.members[failing].SetWarning(c.instant(), 0, 0)
	c.rounds(int(3 * time.Second / (200 * time.Millisecond)))
	clear(warned)
	c.warnedMembers(warned)
	clear(warned)
	c.rounds(5)
	near, far := c.warnedMembers(warned)
	require.Zero(t, near+far, "no warning is left after the recovery")
}

func TestNewWarningsAreSentAtOnce(t *testing.T) {
	c := newCluster(20, 1)
	c.until(100, c.complete)
	c.rounds(3)
	calm := len(c.members[0].Tick(c.instant()))
	c.members[0].SetWarning(c.instant(), time.Second, time.Second)
	require.Greater(t, len(c.members[0].Tick(c.instant())), calm)
	c.members[0].SetWarning(c.instant(), time.Second, time.Second)
	require.Len(t, c.members[0].Tick(c.instant()), calm, "a warning that goes on is not urgent")
}
