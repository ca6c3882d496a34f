package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"gaugeslip/internal/system/localcluster"
)

// systemCommand runs the whole cluster scheduler on this machine's loopback.
func systemCommand() *cobra.Command {
	c := &cobra.Command{Use: "system", Short: "Run the whole cluster scheduler on loopback: real processes, hollow workers, clients, troubles",
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("system: run or scale is wanted, or soak or decide")}
		}}
	c.AddCommand(systemRunCommand(), systemScaleCommand(), systemSoakCommand(), systemDecideCommand(), systemProcessCommand())
	return c
}

var errViolations = errors.New("system: jobs were lost, rules were broken or processes exited unexpectedly; see the report")

// systemFlags are the flags that run and scale share.
type systemFlags struct {
	options localcluster.Options
	asJSON  bool
}

func (f *systemFlags) register(c *cobra.Command) {
	flags := c.Flags()
	flags.IntVar(&f.options.Replicas, "replicas", 3, "control plane processes")
	flags.IntVar(&f.options.Dispatchers, "dispatchers", 3, "data plane processes")
	flags.Uint64Var(&f.options.Seed, "seed", 0, "seed of jobs and their times; 0: a random seed, which is printed")
	flags.DurationVar(&f.options.DrainTimeout, "patience", 20*time.Second, "maximum wait at the end for unfinished jobs")
	flags.StringVar(&f.options.ConfigurationFile, "configuration", "", "the operator's configuration (JSON); a built-in one if empty")
	flags.StringVar(&f.options.ProgramDir, "programs", "", "directory of the programs controlplane and dataplane; built from this module if empty")
	flags.StringVar(&f.options.Dir, "folder", "", "directory for settings, disks and logs; if empty, a temporary one that is removed at the end")
	flags.StringVar(&f.options.ProfileDir, "profiles", "", "directory for CPU and heap profiles of the replicas; no profiles if empty")
	flags.Float64Var(&f.options.ReplicaMemoryMb, "replica-memory", 0, "memory limit in the replicas' settings, in megabytes; 0: that of a core machine")
	flags.IntVar(&f.options.ReplicaMaxOpenFiles, "replica-files", 0, "limit of open files in the replicas' settings; 0: that of a core machine")
	flags.Float64Var(&f.options.ListRate, "list-rate", 30, "calls per second that the platform's list accepts")
	flags.IntVar(&f.options.ListPage, "list-page", 50, "workers on a page of the platform's list")
	flags.BoolVar(&f.asJSON, "json", false, "print the report as JSON")
}

// prepare chooses a seed if none is given, finds the path of this program and builds the others. The caller must call cleanUp, also after an
// error.
func (f *systemFlags) prepare(cmd *cobra.Command) (cleanUp func(), err error) {
	cleanUp = func() {}
	if f.options.Seed == 0 {
		f.options.Seed = uint64(time.Now().UnixNano())
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "seed %d\n", f.options.Seed)
	if f.options.GaugelabPath, err = os.Executable(); err != nil {
		return cleanUp, err
	}
	if f.options.ProfileDir != "" {
		if err := os.MkdirAll(f.options.ProfileDir, 0o755); err != nil {
			return cleanUp, err
		}
	}
	if f.options.ProgramDir != "" {
		return cleanUp, nil
	}
	dir, err := os.MkdirTemp("", "gaugeslip-programs-")
	if err != nil {
		return cleanUp, err
	}
	cleanUp = func() { _ = os.RemoveAll(dir) }
	f.options.ProgramDir = dir
	return cleanUp, localcluster.Build(cmd.Context(), dir)
}

func systemRunCommand() *cobra.Command {
	var f systemFlags
	var troubles []string
	var scenario string
	c := &cobra.Command{Use: "run", Short: "Run a local cluster with clients and troubles, and check that nothing is lost and nothing runs twice",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			if err := addTroubles(&f, troubles, scenario); err != nil {
				return usageError{err}
			}
			cleanUp, err := f.prepare(cmd)
			defer cleanUp()
			if err != nil {
				return err
			}
			f.options.Table = cmd.ErrOrStderr()
			report, err := localcluster.Run(cmd.Context(), f.options)
			if err != nil {
				return fmt.Errorf("system run: %w", err)
			}
			return printReport(cmd, report, f.asJSON)
		}}
	f.register(c)
	c.Flags().IntVar(&f.options.Workers, "workers", 12, "hollow workers")
	c.Flags().Float64Var(&f.options.Rate, "rate", 5, "jobs per second")
	c.Flags().DurationVar(&f.options.LoadDuration, "for", 15*time.Second, "how long clients submit jobs")
	c.Flags().StringArrayVar(&troubles, "trouble", nil, `a trouble, "KIND TARGET AT [FOR]", such as "kill head 5s 3s", "freeze replica:1 4s", `+
		`"restart dispatchers 6s 1s", "wipe tail 5s", "kill worker:3 5s" or "reconfigure 4s"; may be repeated`)
	c.Flags().StringVar(&scenario, "scenario", "", "a scenario file (HCL), such as scenarios/localcluster/kill-head.hcl")
	return c
}

func addTroubles(f *systemFlags, troubles []string, scenario string) error {
	if scenario != "" {
		read, err := localcluster.LoadScenario(scenario)
		if err != nil {
			return err
		}
		read.Apply(&f.options)
	}
	for _, text := range troubles {
		trouble, err := localcluster.ParseTrouble(text)
		if err != nil {
			return err
		}
		f.options.Troubles = append(f.options.Troubles, trouble)
	}
	return nil
}

func printReport(cmd *cobra.Command, report *localcluster.Report, asJSON bool) error {
	show := report.Print
	if asJSON {
		show = report.WriteJSON
	}
	if err := show(cmd.OutOrStdout()); err != nil {
		return err
	}
	if !report.Passed() {
		return errViolations
	}
	return nil
}
