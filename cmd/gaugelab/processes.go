package main

import (
	"fmt"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"gaugeslip/internal/rig"
)

// processesCommand plays scenarios on real dispatchers, each a process of its own.
func processesCommand() *cobra.Command {
	c := &cobra.Command{Use: "processes", Short: "Play scenarios on real dispatchers, each a process, with faults between them"}
	c.AddCommand(processesRunCommand(), processesReplayCommand())
	return c
}

// processFlags is what run and replay have in common.
type processFlags struct {
	program, site, record string
	asJSON                bool
}

func (p *processFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&p.program, "program", "", "the dispatcher's program; built from this module where it is empty")
	c.Flags().StringVar(&p.site, "site", "", "a settings file of our own for every dispatcher")
	c.Flags().StringVar(&p.record, "record", "", "file for the record of what was seen, JSON lines")
	c.Flags().BoolVar(&p.asJSON, "json", false, "print one JSON object a run")
}

// runSeed plays one seed, prints its report and returns what was missed.
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

// runScenarios plays so many seeds of the scenarios of files, those of one name where only is not empty.
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
	c := &cobra.Command{Use: "run [SCENARIO.hcl ...]", Short: "Play days on real processes and say whether they keep what they expect",
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := scenarioFiles("processes run", args, everything, dir)
			if err != nil {
				return err
			}
			return p.runScenarios(cmd, files, only, first, seeds)
		}}
	p.register(c)
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().IntVar(&seeds, "seeds", 1, "how many seeds")
	c.Flags().BoolVar(&everything, "all", false, "play every scenario of a folder")
	c.Flags().StringVar(&dir, "dir", "scenarios/processes", "with --all: where they are")
	c.Flags().StringVar(&only, "only", "", "play the scenario of this name alone")
	return c
}

func processesReplayCommand() *cobra.Command {
	var p processFlags
	c := &cobra.Command{Use: "replay SEED SCENARIO.hcl", Short: "Play one seed again: the same arrivals and troubles, in real time",
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
