package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFetchesDontWaitForASilentPeer guards against versions that are late because the only
// fetch in progress is from a peer that stopped answering.
func TestFetchesDontWaitForASilentPeer(t *testing.T) {
	const start = time.Minute
	var f fetches
	require.True(t, f.begin(start))
	require.False(t, f.begin(start+fetchOverdue-1))
	require.True(t, f.begin(start+fetchOverdue))
	require.False(t, f.begin(start+fetchOverdue+1))
	f.end()
	require.False(t, f.begin(start+2*fetchOverdue-1))
	f.end()
	require.True(t, f.begin(start+fetchOverdue+1), "none is in progress")
}
