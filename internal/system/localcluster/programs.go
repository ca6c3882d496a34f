package localcluster

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// The programs of the two roles.
const (
	programReplica    = "controlplane"
	programDispatcher = "dataplane"
)

// commandPackages are the programs' packages in this module.
const commandPackages = "gaugeslip/cmd/"

// programRelayed runs either role through a relay; relayedPackage is its package.
const (
	programRelayed = "relayednode"
	relayedPackage = "gaugeslip/internal/tools/relayednode"
)

// Build builds both programs from this module into the folder. It needs the go command, and has to be called in the module.
func Build(ctx context.Context, dir string) error {
	return build(ctx, dir, commandPackages+programReplica, commandPackages+programDispatcher)
}

// BuildRelayed builds the program that runs both roles through a relay.
func BuildRelayed(ctx context.Context, dir string) error {
	return build(ctx, dir, relayedPackage)
}

func build(ctx context.Context, dir string, packages ...string) error {
	arguments := append([]string{"build", "-o", dir + string(filepath.Separator)}, packages...)
	command := exec.CommandContext(ctx, "go", arguments...)
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build the programs: %w: %s", err, output)
	}
	return nil
}
