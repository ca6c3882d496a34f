package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gaugeslip/internal/lab"
)

// SizeResult holds the size of a fleet and the results of its runs.
type SizeResult struct {
	Hosts       int     `json:"hosts"`
	Dispatchers int     `json:"dispatchers"`
	Service     float64 `json:"service"`
	Ideal       float64 `json:"ideal"` // service of a scheduler with complete knowledge on the same seeds
	Refused     float64 `json:"refused"`
	Crossed     float64 `json:"crossed"` // share of sends that go to another room
	Probes      float64 `json:"probes"`  // per job
	JobsASecond float64 `json:"jobs_a_second"`
}

// parseSizes parses a list of HOSTSxDISPATCHERS such as "10x3,100x30".
func parseSizes(sizeList string) (all []SizeResult, err error) {
	for _, part := range strings.Split(sizeList, ",") {
		h, d, ok := strings.Cut(strings.TrimSpace(part), "x")
		hosts, err1 := strconv.Atoi(h)
		nodes, err2 := strconv.Atoi(d)
		if !ok || err1 != nil || err2 != nil || hosts < 1 || nodes < 1 {
			return nil, usageError{fmt.Errorf("scale: --sizes: %q is no HOSTSxDISPATCHERS", part)}
		}
		all = append(all, SizeResult{Hosts: hosts, Dispatchers: nodes})
	}
	return all, nil
}

// runResized runs a file's one scenario at the given size, load and length, and the ideal scheduler on the same seeds.
func runResized(cmd *cobra.Command, path string, hosts, dispatchers int, load float64, length time.Duration, seeds int) (
	real, ideal []*lab.Report, err error) {
	sc, err := loadSingleScenario(path)
	if err != nil {
		return nil, nil, err
	}
	if err := sc.Resize(hosts, dispatchers, load, length); err != nil {
		return nil, nil, usageError{fmt.Errorf("%s: %w", cmd.Name(), err)}
	}
	if real, err = runSeeds(cmd.Context(), sc, 1, seeds, false, nil); err != nil {
		return nil, nil, err
	}
	ideal, err = runSeedsWith(cmd.Context(), 1, seeds, nil, func(seed uint64) (*lab.Lab, error) { return lab.NewIdeal(sc, seed) })
	return real, ideal, err
}

func scaleCommand() *cobra.Command {
	var sizeList, outDir string
	var seeds int
	var load float64
	var length time.Duration
	var asJSON bool
	c := &cobra.Command{Use: "scale SCENARIO.hcl", Short: "Run a scenario at several fleet sizes and compare it with a scheduler of complete knowledge",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			all, err := parseSizes(sizeList)
			if err != nil {
				return err
			}
			for i := range all {
				x := &all[i]
				real, ideal, err := runResized(cmd, args[0], x.Hosts, x.Dispatchers, load, length, seeds)
				if err != nil {
					return err
				}
				n := float64(seeds)
				for k, r := range real {
					x.Service += r.Service / n
					x.Ideal += ideal[k].Service / n
					x.Refused += float64(r.Refused) / float64(max(r.Jobs, 1)) / n
					x.Crossed += float64(r.Crossed) / float64(max(r.Sends, 1)) / n
					x.Probes += float64(r.Probes) / float64(max(r.Jobs, 1)) / n
					x.JobsASecond += r.JobsASecond / n
				}
				fmt.Fprintf(cmd.ErrOrStderr(), "  %d hosts, %d dispatchers: service %.3f, ideal %.3f\n", x.Hosts, x.Dispatchers, x.Service, x.Ideal)
			}
			if outDir != "" {
				if err := plotSizes(all, outDir); err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "hosts\tdispatchers\tservice\tideal\trefused a job\tcrossed\tprobes a job\tjobs/s")
			for _, x := range all {
				fmt.Fprintf(w, "%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.0f\n", x.Hosts, x.Dispatchers, x.Service, x.Ideal, x.Refused,
					x.Crossed, x.Probes, x.JobsASecond)
			}
			return w.Flush()
		}}
	c.Flags().StringVar(&sizeList, "sizes", "10x3,100x3,100x30,1000x30,1000x100", "fleets, as HOSTSxDISPATCHERS")
	c.Flags().IntVar(&seeds, "seeds", 3, "number of seeds")
	c.Flags().Float64Var(&load, "load", 0.95, "offered work, as a share of the fleet's capacity")
	c.Flags().DurationVar(&length, "length", 20*time.Second, "simulated time of each run")
	c.Flags().StringVar(&outDir, "out", "", "directory for a plot of jobs per second; no plot if empty")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// plotSizes plots the simulator's speed, in jobs per second of wall time, over the fleet size.
func plotSizes(all []SizeResult, outDir string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "The lab's pace", "game workers", "jobs a second of wall time, one core a run"
	p.X.Scale, p.X.Tick.Marker, p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}, plot.LogScale{}, plot.LogTicks{Prec: -1}
	return plotByDispatchers(p, all, outDir+"/scale.png", func(x SizeResult) (int, plotter.XY) {
		return x.Dispatchers, plotter.XY{X: float64(x.Hosts), Y: x.JobsASecond}
	})
}

// plotByDispatchers plots one curve for each number of dispatchers, in order of first occurrence, and saves the plot.
func plotByDispatchers[T any](p *plot.Plot, all []T, path string, point func(T) (dispatchers int, at plotter.XY)) error {
	return plotLines(p, all, path, func(x T) (string, plotter.XY) {
		n, at := point(x)
		return fmt.Sprintf("%d dispatchers", n), at
	})
}

// plotLines plots one curve for each name, in order of first occurrence, and saves the plot. It creates the directory of path.
func plotLines[T any](p *plot.Plot, all []T, path string, point func(T) (line string, at plotter.XY)) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	curves, order := map[string]plotter.XYs{}, []string(nil)
	for _, x := range all {
		n, at := point(x)
		if curves[n] == nil {
			order = append(order, n)
		}
		curves[n] = append(curves[n], at)
	}
	for i, n := range order {
		l, s, err := plotter.NewLinePoints(curves[n])
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		l.Color, s.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(l, s)
		p.Legend.Add(n, l, s)
	}
	return p.Save(18*vg.Centimeter, 11*vg.Centimeter, path)
}
