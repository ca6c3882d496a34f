package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gaugeslip/internal/system/decisionlab"
)

// decideFlags are the flags of decide.
type decideFlags struct {
	days, draws int
	seed        uint64
	loads       []float64
	policies    string
	calm        bool
	asJSON      bool
	plot        string
}

// systemDecideCommand simulates the scheduler's decisions in virtual time.
func systemDecideCommand() *cobra.Command {
	var f decideFlags
	c := &cobra.Command{Use: "decide DEPLOYMENT.toml ...", Short: "Simulate the scheduler's decisions in virtual time, compared with simple policies and an upper bound",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("system decide: a deployment is wanted, such as scenarios/decisions/press.toml")}
			}
			plans, err := f.plans(args)
			if err != nil {
				return usageError{err}
			}
			var all []decisionlab.Summary
			for _, plan := range plans {
				days, err := decisionlab.PlayAll(cmd.Context(), plan)
				if err != nil {
					return fmt.Errorf("system decide: %w", err)
				}
				all = append(all, decisionlab.Summarize(plan, days)...)
			}
			if f.plot != "" {
				if err := plotDecisions(f.plot, all); err != nil {
					return fmt.Errorf("system decide: plot: %w", err)
				}
			}
			return f.print(cmd.OutOrStdout(), all)
		}}
	flags := c.Flags()
	flags.IntVar(&f.days, "days", 50, "number of days for each deployment and load")
	flags.IntVar(&f.draws, "draws", 1, "runs of each day with different delays; their spread is the noise")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the first day; the next day has the next one")
	flags.Float64SliceVar(&f.loads, "load", nil, "loads, as shares of the workers' capacity; the deployment's own if none is given")
	flags.StringVar(&f.policies, "policies", "", "policies to run, including the project's scheduler; all if empty")
	flags.BoolVar(&f.calm, "calm", false, "omit the deployments' troubles")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
	flags.StringVar(&f.plot, "plot", "", "file for a plot of worth by load (SVG or PNG)")
	return c
}

// plans returns one plan for each deployment and load.
func (f *decideFlags) plans(files []string) ([]decisionlab.Plan, error) {
	if f.days < 1 || f.draws < 1 {
		return nil, errors.New("system decide: --days and --draws: want 1 at least")
	}
	policies := decisionlab.Policies()
	if f.policies != "" {
		var err error
		if policies, err = decisionlab.ParsePolicies(f.policies); err != nil {
			return nil, fmt.Errorf("system decide: --policies: %w", err)
		}
	}
	var plans []decisionlab.Plan
	for _, file := range files {
		deployment, err := decisionlab.Load(file)
		if err != nil {
			return nil, err
		}
		if f.calm {
			deployment = deployment.WithoutTroubles()
		}
		loads := f.loads
		if len(loads) == 0 {
			loads = []float64{deployment.Load}
		}
		for _, load := range loads {
			if load <= 0 {
				return nil, fmt.Errorf("system decide: --load %g: want more than 0", load)
			}
			plans = append(plans, decisionlab.Plan{Deployment: deployment.WithLoad(load), Policies: policies, FirstSeed: f.seed, Days: f.days,
				Draws: f.draws})
		}
	}
	return plans, nil
}

// print writes the summaries as JSON or as a table. If there is only one summary, it also prints its worth on a line of its own, for tools that
// compare programs.
func (f *decideFlags) print(out io.Writer, all []decisionlab.Summary) error {
	if f.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(all)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "deployment\tload\tpolicy\tdays\tworth\t±\tof bound\tless than ours\t±\tnoise\tin time\tstarts/job\twasted/job\tlate jobs' time")
	for i := range all {
		s := &all[i]
		fmt.Fprintf(table, "%s\t%.2f\t%s\t%d\t%.4f\t%.4f\t%.3f\t%+.4f\t%.4f\t%.4f\t%.3f\t%.2f\t%.2f\t%s\n", s.Deployment, s.Load, s.Policy, s.Days,
			s.Worth, s.Error, s.Worth/s.Bound, s.Less, s.LessError, s.Noise, s.InTime, s.Starts, s.Wasted, latePartsText(s.LateFor))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(all) == 1 {
		fmt.Fprintf(out, "worth %.4f\n", all[0].Worth)
	}
	return nil
}

func latePartsText(parts []decisionlab.LatePart) string {
	text := ""
	for _, part := range parts {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %v", part.Part, part.Mean.Round(time.Millisecond))
	}
	return text
}
