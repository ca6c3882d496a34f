package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/pprof"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"gaugeslip/internal/system/control"
	"gaugeslip/internal/system/dataplane"
	"gaugeslip/internal/system/nodesettings"
)

const (
	// gcPercent and memoryLimitShare have the same values as in the programs controlplane and dataplane.
	gcPercent        = 200
	memoryLimitShare = 0.6
	megabyte         = 1 << 20
)

// systemProcessCommand runs parts of the two programs in this process: one replica with profiling, or many dispatchers.
func systemProcessCommand() *cobra.Command {
	var profile string
	c := &cobra.Command{Use: "process controlplane|dataplane SETTINGS...", Short: "Run a replica, or many dispatchers in one process, for scale runs",
		Hidden: true, Args: cobra.MinimumNArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
			logger := log.NewWithOptions(cmd.ErrOrStderr(), log.Options{ReportTimestamp: true})
			debug.SetGCPercent(gcPercent)
			switch args[0] {
			case string(nodesettings.RoleControlPlane):
				return runProfiledReplica(cmd, args[1], profile, logger)
			case string(nodesettings.RoleDataPlane):
				return runDispatchers(cmd, args[1:], logger)
			}
			return usageError{fmt.Errorf("system process: %q is neither controlplane nor dataplane", args[0])}
		}}
	c.Flags().StringVar(&profile, "profile", "", "prefix of the files for the CPU and heap profiles")
	return c
}

// runDispatchers runs one dispatcher for each settings file until the command's context is done.
func runDispatchers(cmd *cobra.Command, files []string, logger *log.Logger) error {
	logger.SetLevel(log.WarnLevel)
	for _, file := range files {
		if _, err := dataplane.Start(file, logger, dataplane.Options{Invariants: dataplane.NewInvariants(logger)}); err != nil {
			return fmt.Errorf("system process: %s: %w", file, err)
		}
	}
	<-cmd.Context().Done()
	return nil // the dispatchers end with the process
}

// runProfiledReplica runs one replica until the command's context is done or the replica fails, and writes a CPU profile. It writes a heap
// profile only if the replica has not failed.
func runProfiledReplica(cmd *cobra.Command, file, prefix string, logger *log.Logger) error {
	settings, err := nodesettings.Load(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(settings.Limits.MemoryMb * memoryLimitShare * megabyte))
	processor, err := os.Create(prefix + ".cpu")
	if err != nil {
		return err
	}
	defer processor.Close()
	node, err := control.Start(control.Options{Settings: settings, Logger: logger, Invariants: control.NewInvariants(logger)})
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(processor); err != nil {
		return err
	}
	select {
	case <-cmd.Context().Done():
	case err = <-node.Failed():
	}
	pprof.StopCPUProfile()
	if err != nil {
		return err
	}
	return writeHeapProfile(prefix + ".heap")
}

func writeHeapProfile(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	runtime.GC()
	return pprof.WriteHeapProfile(file)
}
