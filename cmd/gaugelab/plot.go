package main

import (
	"errors"
	"fmt"
	"image/color"
	"os"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gaugeslip/internal/lab"
)

func plotCommand() *cobra.Command {
	var seed uint64
	var outDir string
	c := &cobra.Command{Use: "plot SCENARIO.hcl ...", Short: "Plot service over time and latencies of scenarios, as PNG and SVG",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("plot: a scenario is wanted")}
			}
			all, err := lab.Load(args...)
			if err != nil {
				return err
			}
			if err := os.MkdirAll(outDir, 0o755); err != nil {
				return err
			}
			over, late := plot.New(), plot.New()
			over.Title.Text, over.X.Label.Text, over.Y.Label.Text = "Service over time", "seconds", "worth in time of worth asked for"
			late.Title.Text, late.X.Label.Text, late.Y.Label.Text = "Latency of served jobs", "milliseconds", "share answered within"
			late.X.Scale, late.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
			over.Y.Min, over.Y.Max, late.Y.Min, late.Y.Max = 0, 1.02, 0, 1.02
			over.Add(plotter.NewGrid())
			late.Add(plotter.NewGrid())
			n := 0
			for i, sc := range all {
				reports, err := runSeeds(cmd.Context(), sc, seed, 1, false, nil)
				if err != nil {
					return err
				}
				var points plotter.XYs
				for k, s := range reports[0].Windows {
					if s >= 0 {
						points = append(points, plotter.XY{X: float64(k*5) + 2.5, Y: s})
					}
				}
				if err := addLine(over, sc.Name, points, plotutil.Color(i), 0); err != nil {
					return err
				}
				for k, class := range sc.Classes {
					ms, share := reports[0].Curve(k)
					var points plotter.XYs
					for j := range ms {
						if ms[j] > 0 {
							points = append(points, plotter.XY{X: ms[j], Y: share[j]})
						}
					}
					if len(points) == 0 {
						continue
					}
					if err := addLine(late, sc.Name+" "+class.Name, points, plotutil.Color(i), k); err != nil {
						return err
					}
					n++
				}
			}
			for name, p := range map[string]*plot.Plot{"service": over, "latency": late} {
				if name == "latency" && n == 0 {
					continue
				}
				p.Legend.Left = name == "latency"
				p.Legend.Top = name == "latency"
				for _, form := range []string{"png", "svg"} {
					path := fmt.Sprintf("%s/%s.%s", outDir, name, form)
					if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, path); err != nil {
						return fmt.Errorf("plot: %w", err)
					}
					fmt.Fprintln(cmd.OutOrStdout(), path)
				}
			}
			return nil
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	c.Flags().StringVar(&outDir, "out", "plots", "directory for the plots")
	return c
}

// addLine adds a curve and its legend entry to a plot.
func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color, dash int) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	l.Color, l.Dashes, l.Width = c, plotutil.Dashes(dash), vg.Points(1.2)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}
