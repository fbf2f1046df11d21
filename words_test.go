package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// platformWords matches names from the interface of the users' platform. It leaves out the two names
// that the program's own interface shares with the platform; see docs/design/8-platform.md.
var platformWords = regexp.MustCompile(`Foxtailhall-(Response-Seal|Expect-Instance|Not-Executed|Caller-Service` +
	`|Instance-Id|Server-Load)|/log-(append|read|newest|join|commit|trim)|keyed\.(op|servers|status)|/instances/|/readyz` +
	`|trafficSplit|targetLatency|warmupLeft|maxConcurrency|heartbeatAddr|entryType|Foxtailhall-Tenant|apiKeys|ratePerS` +
	`|Store-Era|Server-(Limit|Leaving)`)

// TestPlatformWordsStayInTheAdapter checks that no code outside platform/ and standins/ contains a
// header, path or name from the platform's interface.
func TestPlatformWordsStayInTheAdapter(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		require.NoError(t, err)
		if entry.IsDir() {
			switch path {
			case "platform", "standins", "journal", "bin", "target", "out", ".git":
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Empty(t, platformWords.FindString(string(text)), path)
		return nil
	})
	require.NoError(t, err)
}
