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

// play runs a scenario on seeds, as many at a time as there are cores, and gives the reports in the order of the seeds.
func play(ctx context.Context, sc *lab.Scenario, first uint64, seeds int, checked bool, done func(*lab.Report)) ([]*lab.Report, error) {
	return playOn(ctx, first, seeds, done, func(seed uint64) (*lab.Lab, error) { return lab.New(sc, seed, checked) })
}

// playOn runs what start gives for each seed.
func playOn(ctx context.Context, first uint64, seeds int, done func(*lab.Report), start func(seed uint64) (*lab.Lab, error)) (
	[]*lab.Report, error) {
	reports, errs := make([]*lab.Report, seeds), make([]error, seeds)
	var mu sync.Mutex
	eachOf(seeds, func(i int) {
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

// eachOf does something for each number below n, as many at a time as there are cores.
func eachOf(n int, do func(i int)) {
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

// scenarioFiles are those that a command names, and with --all those of a folder.
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

// unmet is the error of a command whose scenarios missed so many expectations; nil: none.
func unmet(n int) error {
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
	c := &cobra.Command{Use: "run [SCENARIO.hcl ...]", Short: "Play scenarios in virtual time and say whether they keep what they expect",
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
				reports, err := playOn(cmd.Context(), first, seeds, func(r *lab.Report) {
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
			return unmet(missed)
		}}
	c.Flags().IntVar(&seeds, "seeds", 3, "how many seeds")
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().StringVar(&dir, "dir", "scenarios", "with --all: where the scenarios are")
	c.Flags().BoolVar(&everything, "all", false, "play every scenario of a folder")
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object a run")
	c.Flags().BoolVar(&ideal, "ideal", false, "no dispatchers: one decision that sees all")
	c.Flags().BoolVar(&fast, "fast", false, "do not check the rules")
	return c
}

func replayCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "replay SEED SCENARIO.hcl", Short: "Play one seed of a scenario again, and say whether its digest is the same twice",
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
					reports, err := play(cmd.Context(), sc, seed, 1, true, nil)
					if err != nil {
						return err
					}
					if first != nil && first.Digest != reports[0].Digest {
						return fmt.Errorf("digests %s and %s of one seed", first.Digest, reports[0].Digest)
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

// Comparison is what came of two scenarios on the same seeds.
type Comparison struct {
	A       float64 `json:"a"`
	B       float64 `json:"b"`
	Diff    float64 `json:"difference"` // B less A, mean over the seeds
	Low     float64 `json:"low"`        // of its interval of 95 %
	High    float64 `json:"high"`
	Seeds   int     `json:"seeds"`
	Verdict string  `json:"verdict"`
}

// compare weighs paired figures: the mean of their differences with Student's interval of 95 %.
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

// Print writes it for people.
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
					return usageError{fmt.Errorf("compare: %s holds %d scenarios, one is wanted", p, len(all))}
				}
				reports, err := play(cmd.Context(), all[0], first, seeds, false, func(r *lab.Report) {
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
	c.Flags().IntVar(&seeds, "seeds", 10, "how many seeds")
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
