package bench

import (
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotGoodput plots the goodput over the time of arrival.
func (r *runner) plotGoodput(variant string, samples []sample, duration time.Duration) {
	var points plotter.XYs
	for from := time.Duration(0); from+recoveryWindow <= duration; from += recoveryWindow {
		points = append(points, plotter.XY{
			X: from.Seconds(),
			Y: goodput(samples, from, from+recoveryWindow),
		})
	}
	r.plot(variant, "time of arrival, s", "whole answers in time, 1/s", points)
}

// plot writes a line plot as a PNG file.
func (r *runner) plot(variant, xLabel, yLabel string, points plotter.XYs) {
	chart := plot.New()
	chart.Title.Text = r.name + ", " + variant
	chart.X.Label.Text = xLabel
	chart.Y.Label.Text = yLabel
	chart.Y.Min = 0
	if err := plotutil.AddLinePoints(chart, variant, points); err != nil {
		r.Fatal(err)
	}
	path := filepath.Join(r.config.Folder, r.name+"-"+variant+".png")
	if err := chart.Save(20*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		r.Fatal(err)
	}
}
