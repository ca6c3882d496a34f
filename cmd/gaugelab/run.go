package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"gaugeslip/internal/lab"
)

// runSeeds runs a scenario on consecutive seeds, as many concurrently as there are cores, and returns the reports in the order of the seeds.
// It calls done, if not nil, for one finished run at a time.
func runSeeds(ctx context.Context, sc *lab.Scenario, first uint64, seeds int, checked bool, done func(*lab.Report)) ([]*lab.Report, error) {
	return runSeedsWith(ctx, first, seeds, done, func(seed uint64) (*lab.Lab, error) { return lab.New(sc, seed, checked) })
}

// runSeedsWith is runSeeds with the run of each seed created by start. The report of a run that could not be started is nil.
func runSeedsWith(ctx context.Context, first uint64, seeds int, done func(*lab.Report), start func(seed uint64) (*lab.Lab, error)) (
	[]*lab.Report, error) {
	reports, errs := make([]*lab.Report, seeds), make([]error, seeds)
	var mu sync.Mutex
	forEachParallel(seeds, func(i int) {
		l, err := start(first + uint64(i))
		if err == nil {
			reports[i], err = l.Run(ctx)
		}
		if errs[i] = err; err == nil && done != nil {
			mu.Lock()
			defer mu.Unlock()
			done(reports[i])
		}
	})
	return reports, errors.Join(errs...)
}

// forEachParallel calls do for each number from 0 to n-1, as many concurrently as there are cores, and waits for all calls.
func forEachParallel(n int, do func(i int)) {
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	var all sync.WaitGroup
	for i := range n {
		free <- struct{}{}
		all.Go(func() {
			defer func() { <-free }()
			do(i)
		})
	}
	all.Wait()
}

// scenarioFiles returns the scenario files that are given as arguments, followed by those in dir if all is set (--all).
func scenarioFiles(command string, args []string, all bool, dir string) ([]string, error) {
	if all {
		found, err := filepath.Glob(filepath.Join(dir, "*.hcl"))
		if err != nil {
			return nil, usageError{err}
		}
		args = append(args, found...)
	}
	if len(args) == 0 {
		return nil, usageError{fmt.Errorf("%s: a scenario, or --all, is wanted", command)}
	}
	return args, nil
}

// unmetError returns the error of a command whose scenarios missed n expectations, or nil if n is 0.
func unmetError(n int) error {
	if n == 0 {
		return nil
	}
	return fmt.Errorf("%d expectations were not met", n)
}

func runCommand() *cobra.Command {
	var seeds int
	var first uint64
	var dir string
	var asJSON, everything, fast, ideal bool
	c := &cobra.Command{Use: "run [SCENARIO.hcl ...]", Short: "Simulate scenarios in virtual time and check their expectations",
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := scenarioFiles("run", args, everything, dir)
			if err != nil {
				return err
			}
			all, err := lab.Load(files...)
			if err != nil {
				return err
			}
			missed := 0
			for _, sc := range all {
				if !asJSON {
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s\n", sc.Name, sc.About)
				}
				start := func(seed uint64) (*lab.Lab, error) { return lab.New(sc, seed, !fast) }
				if ideal {
					start = func(seed uint64) (*lab.Lab, error) { return lab.NewIdeal(sc, seed) }
				}
				reports, err := runSeedsWith(cmd.Context(), first, seeds, func(r *lab.Report) {
					fmt.Fprintf(cmd.ErrOrStderr(), "  seed %d done, service %.3f, %.1f s\n", r.Seed, r.Service, r.Wall)
				}, start)
				for _, r := range reports {
					if r == nil {
						continue
					}
					if asJSON {
						r.JSON(cmd.OutOrStdout())
					} else {
						r.Print(cmd.OutOrStdout())
					}
					for _, what := range sc.Missed(r) {
						missed++
						fmt.Fprintf(cmd.ErrOrStderr(), "MISSED %s, seed %d: %s (gaugelab replay %d SCENARIO plays it again)\n", sc.Name, r.Seed,
							what, r.Seed)
					}
				}
				if err != nil {
					return err
				}
			}
			return unmetError(missed)
		}}
	c.Flags().IntVar(&seeds, "seeds", 3, "number of seeds")
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().StringVar(&dir, "dir", "scenarios", "with --all: directory of the scenarios")
	c.Flags().BoolVar(&everything, "all", false, "run every scenario of the directory")
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object for each run")
	c.Flags().BoolVar(&ideal, "ideal", false, "replace the dispatchers by one scheduler with complete knowledge")
	c.Flags().BoolVar(&fast, "fast", false, "do not check the invariants")
	return c
}

func replayCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "replay SEED SCENARIO.hcl", Short: "Run one seed of a scenario twice and check that both runs have the same digest",
		Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
			seed, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageError{fmt.Errorf("replay: %q is no seed", args[0])}
			}
			all, err := lab.Load(args[1])
			if err != nil {
				return err
			}
			for _, sc := range all {
				var first *lab.Report
				for range 2 {
					reports, err := runSeeds(cmd.Context(), sc, seed, 1, true, nil)
					if err != nil {
						return err
					}
					if first != nil && first.Digest != reports[0].Digest {
						return fmt.Errorf("two runs of one seed have different digests, %s and %s", first.Digest, reports[0].Digest)
					}
					first = reports[0]
				}
				if asJSON {
					first.JSON(cmd.OutOrStdout())
				} else {
					first.Print(cmd.OutOrStdout())
				}
			}
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// Comparison is the result of two scenarios on the same seeds.
type Comparison struct {
	A       float64 `json:"a"`
	B       float64 `json:"b"`
	Diff    float64 `json:"difference"` // B minus A, mean over the seeds
	Low     float64 `json:"low"`        // lower bound of the 95 % confidence interval of the difference
	High    float64 `json:"high"`
	Seeds   int     `json:"seeds"`
	Verdict string  `json:"verdict"`
}

// compare compares paired values by the mean of their differences and its 95 % confidence interval by Student's t distribution. The interval
// of a single pair is infinite.
func compare(a, b []float64) Comparison {
	diff := make([]float64, len(a))
	for i := range a {
		diff[i] = b[i] - a[i]
	}
	mean, dev := stat.MeanStdDev(diff, nil)
	half := math.Inf(1)
	if n := float64(len(a)); n > 1 {
		half = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * dev / math.Sqrt(n)
	}
	c := Comparison{A: stat.Mean(a, nil), B: stat.Mean(b, nil), Diff: mean, Low: mean - half, High: mean + half, Seeds: len(a)}
	switch {
	case c.Low > 0:
		c.Verdict = "B is better"
	case c.High < 0:
		c.Verdict = "A is better"
	default:
		c.Verdict = "too close to call"
	}
	return c
}

// Print writes the comparison as text.
func (c *Comparison) Print(w io.Writer) {
	fmt.Fprintf(w, "A %.4f, B %.4f: difference %+.4f, 95 %% of it within %+.4f to %+.4f, %d seeds: %s\n", c.A, c.B, c.Diff, c.Low,
		c.High, c.Seeds, c.Verdict)
}

func compareCommand() *cobra.Command {
	var seeds int
	var first uint64
	var asJSON bool
	c := &cobra.Command{Use: "compare A.hcl B.hcl", Short: "Compare the service of two scenarios on the same seeds", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var service [2][]float64
			for i, p := range args {
				all, err := lab.Load(p)
				if err != nil {
					return err
				}
				if len(all) != 1 {
					return usageError{fmt.Errorf("compare: %s contains %d scenarios, want 1", p, len(all))}
				}
				reports, err := runSeeds(cmd.Context(), all[0], first, seeds, false, func(r *lab.Report) {
					fmt.Fprintf(cmd.ErrOrStderr(), "  %s, seed %d: service %.3f\n", r.Scenario, r.Seed, r.Service)
				})
				if err != nil {
					return err
				}
				for _, r := range reports {
					service[i] = append(service[i], r.Service)
				}
			}
			x := compare(service[0], service[1])
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(&x)
			}
			x.Print(cmd.OutOrStdout())
			return nil
		}}
	c.Flags().IntVar(&seeds, "seeds", 10, "number of seeds")
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
