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

// modulePackages are the programs' packages in this module.
const modulePackages = "gaugeslip/cmd/"

// Build builds both programs from this module into the folder. It needs the go command, and has to be called in the module.
func Build(ctx context.Context, folder string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", folder+string(filepath.Separator), modulePackages+programReplica,
		modulePackages+programDispatcher)
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build the programs: %w: %s", err, output)
	}
	return nil
}
