package identifier_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/identifier"
)

// link builds a program that prints a text, and returns the identity of its executable.
func link(t *testing.T, text string, flags ...string) string {
	t.Helper()
	folder := t.TempDir()
	source := filepath.Join(folder, "main.go")
	require.NoError(t, os.WriteFile(source, []byte("package main\n\nfunc main() { println(\""+text+"\") }\n"), 0o600))
	path := filepath.Join(folder, "program")
	args := append([]string{"build", "-trimpath", "-o", path}, flags...)
	out, err := exec.Command("go", append(args, source)...).CombinedOutput()
	require.NoError(t, err, string(out))
	id, err := identifier.OfFile(path)
	require.NoError(t, err)
	require.NotEmpty(t, id)
	return id
}

// TestBuildsAreToldApart guards against a process whose log does not say which build it is of.
func TestBuildsAreToldApart(t *testing.T) {
	first := link(t, "a")
	t.Run("SameSources", func(t *testing.T) { require.Equal(t, first, link(t, "a")) })
	t.Run("OtherSources", func(t *testing.T) { require.NotEqual(t, first, link(t, "b")) })
	t.Run("WithoutBuildID", func(t *testing.T) {
		stripped := link(t, "a", "-ldflags=-buildid=")
		require.Equal(t, stripped, link(t, "a", "-ldflags=-buildid="))
		require.NotEqual(t, stripped, link(t, "b", "-ldflags=-buildid="))
	})
	t.Run("NoExecutable", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "text")
		_, err := identifier.OfFile(path)
		require.Error(t, err)
		require.NoError(t, os.WriteFile(path, []byte("text"), 0o600))
		id, err := identifier.OfFile(path)
		require.NoError(t, err)
		require.NotEmpty(t, id)
	})
	t.Run("Running", func(t *testing.T) {
		id, err := identifier.Running()
		require.NoError(t, err)
		require.NotEmpty(t, id)
	})
}
