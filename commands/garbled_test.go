package commands_test

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/commands"
	"github.com/foxtailhall/foxtailhall/standins/garbler"
)

// versionFields are the fields of an answer with objects.
const versionFields = "Foxtailhall-Version: 7\r\nFoxtailhall-As-Of: 3\r\n"

// serveAnswer starts a process's interface, or a log, that gives one answer to each request, and
// returns its address.
func serveAnswer(t *testing.T, answer garbler.Answer, body string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go garbler.Serve(listener, func(*http.Request) string { return answer.Render(versionFields, body) })
	return listener.Addr().String()
}

// TestGarbledAnswersAreNotShown guards against a state or a version that no process named.
func TestGarbledAnswersAreNotShown(t *testing.T) {
	file := filepath.Join(t.TempDir(), "objects.yaml")
	require.NoError(t, os.WriteFile(file, []byte("Kind: Policy\nName: p\n"), 0o600))
	const (
		state   = `{"PeerAddress": "shown"}`
		objects = "Kind: Policy\nName: shown\n"
		batch   = `{"Earliest": 0, "End": 0, "Entries": []}`
	)
	run := func(args ...string) (int, string) {
		var stdout, stderr strings.Builder
		code := commands.Execute(args, &stdout, &stderr)
		return code, stdout.String() + stderr.String()
	}
	for _, garbled := range garbler.Garbled() {
		t.Run(garbled.Name, func(t *testing.T) {
			t.Parallel()
			code, text := run("status", "--admin", serveAnswer(t, garbled, state))
			require.Equal(t, commands.ExitFailed, code)
			require.NotContains(t, text, "shown")
			code, text = run("check", "--admin", serveAnswer(t, garbled, objects), file)
			require.Equal(t, commands.ExitNotChecked, code)
			require.NotContains(t, text, "shown")
			code, text = run("publish", "--patience", "50ms", "--log", serveAnswer(t, garbled, batch), file)
			require.Equal(t, commands.ExitFailed, code)
			require.Contains(t, text, "reading the newest version")
		})
	}
	for _, sound := range garbler.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			t.Parallel()
			code, text := run("status", "--admin", serveAnswer(t, sound, state))
			require.Equal(t, commands.ExitDone, code, text)
			require.Contains(t, text, "shown")
			code, text = run("check", "--admin", serveAnswer(t, sound, objects), file)
			require.Equal(t, commands.ExitDone, code, text)
			require.Contains(t, text, "shown")
			code, _ = run("publish", "--patience", "200ms", "--log", serveAnswer(t, sound, batch), file)
			require.Equal(t, commands.ExitUnknown, code, "the log shows no publication")
		})
	}
}
