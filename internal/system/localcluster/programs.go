package localcluster

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// The programs of both roles.
const (
	programReplica    = "controlplane"
	programDispatcher = "dataplane"
)

// commandPackages is the import path prefix of the programs in this module.
const commandPackages = "gaugeslip/cmd/"

// programRelayed runs either role with its connections going through a relay. relayedPackage is its import path.
const (
	programRelayed = "relayednode"
	relayedPackage = "gaugeslip/internal/tools/relayednode"
)

// Build compiles both programs of this module into dir. It needs the go command and has to be called inside the module.
func Build(ctx context.Context, dir string) error {
	return build(ctx, dir, commandPackages+programReplica, commandPackages+programDispatcher)
}

// BuildRelayed compiles the program that runs both roles through a relay into dir.
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
