package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth    = 22 * vg.Centimeter
	plotARow     = 0.7 * vg.Centimeter
	plotBesides  = 2.5 * vg.Centimeter
	errorsShown  = 2 // standard errors on either side
	leastPlotted = 1
)

// bars are mean differences with twice their standard errors, one below the other.
type bars struct {
	plotter.XYs
	plotter.XErrors
}

// plotResults draws the mean differences with twice their standard errors.
func plotResults(file string, results []result) error {
	if len(results) < leastPlotted {
		return nil
	}
	drawing := plot.New()
	drawing.Title.Text = "Worth gained or lost by each variant"
	drawing.X.Label.Text = "mean difference in worth, with twice its standard error"
	var drawn bars
	var names []string
	for i := range results {
		r := &results[len(results)-1-i]
		drawn.XYs = append(drawn.XYs, plotter.XY{X: r.mean, Y: float64(i)})
		drawn.XErrors = append(drawn.XErrors, struct{ Low, High float64 }{errorsShown * r.deviation, errorsShown * r.deviation})
		names = append(names, fmt.Sprintf("%s, %s", r.variant, r.site))
	}
	points, err := plotter.NewScatter(drawn)
	if err != nil {
		return err
	}
	spread, err := plotter.NewXErrorBars(drawn)
	if err != nil {
		return err
	}
	drawing.Add(plotter.NewGrid(), points, spread)
	drawing.NominalY(names...)
	return drawing.Save(plotWidth, plotBesides+plotARow*vg.Length(len(results)), file)
}
