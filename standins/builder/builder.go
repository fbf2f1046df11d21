// Package builder builds the program that tests, demos and review cases run: with the command of
// the deploy file, to the place that the deploy file names.
package builder

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// deployFile is the path of the deploy file in the module.
const deployFile = "deploy/system.toml"

var errDeployFile = eris.New(deployFile + " has no build command or not exactly one role")

type deployment struct {
	Build string          `toml:"build"`
	Roles map[string]role `toml:"roles"`
}

type role struct {
	Run string `toml:"run"`
}

// Build builds the program of the module in a folder as the deploy file says, and returns its path.
func Build(ctx context.Context, root string) (string, error) {
	content, err := os.ReadFile(filepath.Join(root, deployFile))
	if err != nil {
		return "", fmt.Errorf("reading the deploy file: %w", err)
	}
	var deploy deployment
	if err := toml.Unmarshal(content, &deploy); err != nil {
		return "", fmt.Errorf("reading the deploy file: %w", err)
	}
	if deploy.Build == "" || len(deploy.Roles) != 1 {
		return "", errDeployFile
	}
	if err := run(exec.CommandContext(ctx, "sh", "-c", deploy.Build), root); err != nil {
		return "", err
	}
	for _, role := range deploy.Roles {
		program, _, _ := strings.Cut(role.Run, " ")
		return filepath.Join(root, program), nil
	}
	return "", errDeployFile
}

// BuildRace builds the program with the race detector in another folder, and returns its path.
func BuildRace(ctx context.Context, root, folder string) (string, error) {
	path, err := filepath.Abs(filepath.Join(folder, "foxtailhall-race"))
	if err != nil {
		return "", fmt.Errorf("naming the program: %w", err)
	}
	return path, run(exec.CommandContext(ctx, "go", "build", "-race", "-o", path, "."), root)
}

func run(command *exec.Cmd, root string) error {
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("building the program: %w\n%s", err, out)
	}
	return nil
}
