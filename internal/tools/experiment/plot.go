package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth     = 22 * vg.Centimeter
	plotRowHeight = 0.7 * vg.Centimeter
	plotMargin    = 2.5 * vg.Centimeter
	errorBarWidth = 2 // in standard errors, on either side of the mean
	minPlotted    = 1
)

// bars are mean differences with twice their standard errors, one row for each result.
type bars struct {
	plotter.XYs
	plotter.XErrors
}

// plotResults draws the mean differences with twice their standard errors.
func plotResults(file string, results []result) error {
	if len(results) < minPlotted {
		return nil
	}
	p := plot.New()
	p.Title.Text = "Worth gained or lost by each variant"
	p.X.Label.Text = "mean difference in worth, with twice its standard error"
	var drawn bars
	var names []string
	for i := range results {
		r := &results[len(results)-1-i]
		drawn.XYs = append(drawn.XYs, plotter.XY{X: r.mean, Y: float64(i)})
		drawn.XErrors = append(drawn.XErrors, struct{ Low, High float64 }{errorBarWidth * r.standardError, errorBarWidth * r.standardError})
		names = append(names, fmt.Sprintf("%s, %s", r.variant, r.site))
	}
	points, err := plotter.NewScatter(drawn)
	if err != nil {
		return err
	}
	errorBars, err := plotter.NewXErrorBars(drawn)
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), points, errorBars)
	p.NominalY(names...)
	return p.Save(plotWidth, plotMargin+plotRowHeight*vg.Length(len(results)), file)
}
