package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/foxtailhall/foxtailhall/"

// mayImport maps each layer to the layers it may import; docs/design/layout.md describes them.
var mayImport = map[string][]string{
	"state":        {"state"},
	"protocol":     {"protocol"},
	"coordination": {"coordination", "state"},
	"transport":    {"transport", "coordination", "protocol", "state"},
	"platform":     {"coordination", "protocol", "state"},
	"commands":     {"commands", "platform", "transport", "coordination", "protocol", "state"},
	"standins":     {"standins", "transport", "coordination", "protocol", "state"},
}

func TestImportsPointDownwards(t *testing.T) {
	for layer, allowed := range mayImport {
		t.Run(layer, func(t *testing.T) {
			err := filepath.WalkDir(layer, func(path string, _ fs.DirEntry, err error) error {
				require.NoError(t, err)
				if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
					requireImports(t, path, allowed)
				}
				return nil
			})
			require.NoError(t, err)
		})
	}
}

func requireImports(t *testing.T, path string, allowed []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	require.NoError(t, err)
	for _, spec := range file.Imports {
		name, ours := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module)
		if !ours {
			continue
		}
		layer, _, _ := strings.Cut(name, "/")
		require.Contains(t, allowed, layer, "%s imports %s", path, name)
	}
}
