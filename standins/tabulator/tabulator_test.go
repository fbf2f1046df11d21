package tabulator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/tabulator"
)

const (
	firstEntry = `{"id":"a1","cmd":"score","site":"hall","head":"0123456789abcdef","score":0.5,
"days":[{"name":"quiet-1","G":0.4,"top":0.7,"served":0.9,"prices":[["a",1,0.01],["b",2,0.03],["c",3,0.02]]}]}`
	newestEntry = `{"id":"b2","cmd":"score","site":"hall","head":"0123456789abcdef","score":1,
"days":[{"name":"quiet-1","G":0.75,"top":0.7,"served":0.95,"rules":{"LOST":1},"prices":[]}]}`
	smallEntry = `{"id":"d4","cmd":"score","site":"hall","score":0.1,"argv":["hall.toml","--small"],
"days":[{"name":"quiet-1","G":0.1,"top":0.7,"served":0.5,"prices":[]}]}`
	unscoredEntry = `{"id":"c3","cmd":"run","site":"hall","score":null,"days":[]}`
)

func TestPage(t *testing.T) {
	folder := t.TempDir()
	files := map[string]string{
		"1.json": firstEntry, "2.json": newestEntry, "3.json": unscoredEntry, "4.json": smallEntry,
	}
	for name, text := range files {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	entries, err := tabulator.Read(folder)
	require.NoError(t, err)
	require.Len(t, entries, 2)
	var page strings.Builder
	require.NoError(t, tabulator.Write(&page, entries, "Notes.\n"))
	require.Contains(t, page.String(), "Score 1.00 (entry b2, version 0123456789); first score 0.50 (entry a1)")
	require.Contains(t, page.String(), "| quiet-1 | 0.750 | 0.400 | 0.700 | 0.950 |")
	require.Contains(t, page.String(), "| 1 |")
	require.True(t, strings.HasSuffix(page.String(), "Notes.\n"))
}
