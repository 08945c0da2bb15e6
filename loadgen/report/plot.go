package report

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot's image.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Colors of a plot's lines.
var (
	deliveredColor = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
	goodputColor   = color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff}
	boundColor     = color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff}
)

// PlotError reports that a plot could not be drawn or written to Path.
type PlotError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *PlotError) Error() string { return fmt.Sprintf("plot %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Cause }

// Plot draws the throughput over the run and writes it to a file. The extension
// of path selects the format: .png, .svg or .pdf. The error is a *PlotError.
func (r Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Delivered tokens a second"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens/s"
	p.Y.Min = 0
	p.Legend.Top = true
	for _, l := range r.lines() {
		line, err := plotter.NewLine(l.points)
		if err != nil {
			return &PlotError{Path: path, Cause: err}
		}
		line.Color = l.color
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return &PlotError{Path: path, Cause: err}
	}
	return nil
}

// plotLine is one line of a plot.
type plotLine struct {
	name   string
	color  color.Color
	points plotter.XYs
}

// lines returns the lines to draw: throughput, goodput, and the bound if known.
// Without a series there are none.
func (r Report) lines() []plotLine {
	if len(r.Series) == 0 {
		return nil
	}
	delivered := plotLine{name: "delivered", color: deliveredColor}
	goodput := plotLine{name: "in complete answers", color: goodputColor}
	for _, p := range r.Series {
		delivered.points = append(delivered.points, plotter.XY{X: p.StartSeconds, Y: p.Delivered})
		goodput.points = append(goodput.points, plotter.XY{X: p.StartSeconds, Y: p.Goodput})
	}
	out := []plotLine{delivered, goodput}
	if r.Bound > 0 {
		last := r.Series[len(r.Series)-1].StartSeconds
		out = append(out, plotLine{
			name:   "bound",
			color:  boundColor,
			points: plotter.XYs{{X: 0, Y: r.Bound}, {X: last, Y: r.Bound}},
		})
	}
	return out
}
