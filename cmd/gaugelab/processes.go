package main

import (
	"fmt"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"gaugeslip/internal/rig"
)

// processesCommand runs scenarios on real dispatchers, each of which is a process of its own.
func processesCommand() *cobra.Command {
	c := &cobra.Command{Use: "processes", Short: "Run scenarios on real dispatcher processes with injected faults"}
	c.AddCommand(processesRunCommand(), processesReplayCommand())
	return c
}

// processFlags are the flags that run and replay share.
type processFlags struct {
	program, site, record string
	asJSON                bool
}

func (p *processFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&p.program, "program", "", "the dispatcher's program; built from this module if empty")
	c.Flags().StringVar(&p.site, "site", "", "operator settings file for every dispatcher")
	c.Flags().StringVar(&p.record, "record", "", "file for the record of observed events, as JSON lines")
	c.Flags().BoolVar(&p.asJSON, "json", false, "print one JSON object for each run")
}

// runSeed runs a scenario on one seed, prints the report and returns the number of missed expectations.
func (p *processFlags) runSeed(cmd *cobra.Command, sc *rig.Scenario, seed uint64) (missed int, err error) {
	opt := rig.Options{Program: p.program, Site: p.site,
		Progress: func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), "  "+line) }}
	if p.record != "" {
		f, err := os.Create(p.record)
		if err != nil {
			return 0, err
		}
		defer f.Close()
		opt.Record = f
	}
	r, err := rig.Run(cmd.Context(), sc, seed, opt)
	if err != nil {
		return 0, err
	}
	if p.asJSON {
		err = r.JSON(cmd.OutOrStdout())
	} else {
		r.Print(cmd.OutOrStdout())
	}
	for _, what := range sc.Missed(r) {
		missed++
		fmt.Fprintf(cmd.ErrOrStderr(), "MISSED %s, seed %d: %s (gaugelab processes replay %d FILE --record FILE draws the same troubles again)\n",
			sc.Name, seed, what, seed)
	}
	return missed, err
}

// runScenarios runs the scenarios of the files on consecutive seeds from first on. If only is not empty, it runs only the scenario of that name.
func (p *processFlags) runScenarios(cmd *cobra.Command, files []string, only string, first uint64, seeds int) error {
	all, err := rig.Load(files...)
	if err != nil {
		return err
	}
	missed := 0
	for _, sc := range all {
		if only != "" && sc.Name != only {
			continue
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s\n", sc.Name, sc.About)
		for i := range seeds {
			n, err := p.runSeed(cmd, sc, first+uint64(i))
			if missed += n; err != nil {
				return err
			}
		}
	}
	return unmetError(missed)
}

func processesRunCommand() *cobra.Command {
	var p processFlags
	var first uint64
	var seeds int
	var dir, only string
	var everything bool
	c := &cobra.Command{Use: "run [SCENARIO.hcl ...]", Short: "Run scenarios on real processes and check their expectations",
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := scenarioFiles("processes run", args, everything, dir)
			if err != nil {
				return err
			}
			return p.runScenarios(cmd, files, only, first, seeds)
		}}
	p.register(c)
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().IntVar(&seeds, "seeds", 1, "number of seeds")
	c.Flags().BoolVar(&everything, "all", false, "run every scenario of the directory")
	c.Flags().StringVar(&dir, "dir", "scenarios/processes", "with --all: directory of the scenarios")
	c.Flags().StringVar(&only, "only", "", "run only the scenario of this name")
	return c
}

func processesReplayCommand() *cobra.Command {
	var p processFlags
	c := &cobra.Command{Use: "replay SEED SCENARIO.hcl", Short: "Run one seed again with the same arrivals and faults, in real time",
		Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
			seed, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageError{fmt.Errorf("processes replay: %q is no seed", args[0])}
			}
			return p.runScenarios(cmd, args[1:], "", seed, 1)
		}}
	p.register(c)
	return c
}
