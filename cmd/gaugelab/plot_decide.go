package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gaugeslip/internal/system/decisionlab"
)

// Size of the plot of worth by load.
const (
	decidePlotWidth  = 7 * vg.Inch
	decidePlotHeight = 5 * vg.Inch
)

// worthByLoad is one line of the plot: points with error bars of twice their standard error.
type worthByLoad struct {
	plotter.XYs
	plotter.YErrors
}

// plotDecisions plots worth by load: a line for each deployment and policy, and one for each deployment's upper bound.
func plotDecisions(file string, all []decisionlab.Summary) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "load", "worth earned of worth owed, with twice the standard error"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	lines, order := map[string]*worthByLoad{}, []string{}
	add := func(name string, load, worth, spread float64) {
		if lines[name] == nil {
			lines[name] = &worthByLoad{}
			order = append(order, name)
		}
		lines[name].XYs = append(lines[name].XYs, plotter.XY{X: load, Y: worth})
		lines[name].YErrors = append(lines[name].YErrors, struct{ Low, High float64 }{2 * spread, 2 * spread})
	}
	for i := range all {
		s := &all[i]
		add(fmt.Sprintf("%s %s", s.Deployment, s.Policy), s.Load, s.Worth, s.Error)
		if s.Policy == decisionlab.Scheduler {
			add(s.Deployment+" bound", s.Load, s.Bound, 0)
		}
	}
	for i, name := range order {
		if err := plotutil.AddLinePoints(p, name, lines[name].XYs); err != nil {
			return err
		}
		bars, err := plotter.NewYErrorBars(lines[name])
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		p.Add(bars)
	}
	return p.Save(decidePlotWidth, decidePlotHeight, file)
}
