package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBuildsReplaceTheDeployedProgram guards against a program of an earlier build, left in the
// folder of deploy/system.toml, that runs instead of the one that was just built.
func TestBuildsReplaceTheDeployedProgram(t *testing.T) {
	const deployed = "target/foxtailhall"
	folder := copyTree(t)
	earlier := filepath.Join(t.TempDir(), "main.go")
	require.NoError(t, os.WriteFile(earlier, []byte("package main\n\nfunc main() { println(\"earlier\") }\n"), 0o600))
	run(t, folder, "go", "build", "-o", deployed, earlier)
	require.Equal(t, "earlier\n", run(t, folder, deployed))
	run(t, folder, "make", "build")
	version := run(t, folder, deployed, "version")
	require.Contains(t, version, "Build=")
	t.Run("BuiltAlikeInAnotherFolder", func(t *testing.T) {
		other := copyTree(t)
		run(t, other, "make", "build")
		require.Equal(t, version, run(t, other, deployed, "version"))
	})
	t.Run("NoOtherProgramIsLeft", func(t *testing.T) {
		require.NoFileExists(t, filepath.Join(folder, "bin", "foxtailhall"))
	})
}

// copyTree copies the files of the module, without what was built, and returns the folder.
func copyTree(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	entries, err := os.ReadDir(".")
	require.NoError(t, err)
	for _, entry := range entries {
		switch entry.Name() {
		case "journal", "bin", "target", "out", ".git":
			continue
		}
		if entry.IsDir() {
			require.NoError(t, os.CopyFS(filepath.Join(folder, entry.Name()), os.DirFS(entry.Name())))
			continue
		}
		content, err := os.ReadFile(entry.Name())
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(folder, entry.Name()), content, 0o600))
	}
	return folder
}

func run(t *testing.T, folder, name string, args ...string) string {
	t.Helper()
	if strings.Contains(name, "/") {
		name = filepath.Join(folder, name)
	}
	command := exec.Command(name, args...)
	command.Dir = folder
	out, err := command.CombinedOutput()
	require.NoError(t, err, string(out))
	return string(out)
}
