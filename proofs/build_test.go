package proofs

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/identifier"
)

// TestProcessesNameTheirBuild guards against logs and metrics that don't tell which build a process is of.
func TestProcessesNameTheirBuild(t *testing.T) {
	build, err := identifier.OfFile(program)
	require.NoError(t, err)
	f := newLeavingFleet(t, 178)
	f.startAll()
	t.Run("Version", func(t *testing.T) {
		out, err := exec.Command(program, "version").CombinedOutput()
		require.NoError(t, err)
		require.Contains(t, string(out), " Build="+build+" ")
	})
	t.Run("Started", func(t *testing.T) {
		log, err := os.ReadFile(filepath.Join(f.dir, "0.log"))
		require.NoError(t, err)
		require.Regexp(t, fmt.Sprintf("Event=Started Version=[0-9.]+ Build=%s ", build), string(log))
	})
	t.Run("Metric", func(t *testing.T) {
		answer, err := http.Get("http://" + f.address(1, 8003) + "/metrics")
		require.NoError(t, err)
		defer func() { _ = answer.Body.Close() }()
		text, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		require.Regexp(t, fmt.Sprintf(`foxtailhall_build_info\{version="[0-9.]+",build="%s"\} 1`, build), string(text))
	})
}
