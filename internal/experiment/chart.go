package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a chart's image.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
)

// Chart is a set of lines over a common axis.
type Chart struct {
	Name   string
	XLabel string
	YLabel string
	Lines  []Line
}

// Line is one line of a chart.
type Line struct {
	Name   string
	Points plotter.XYs
}

// add appends a point to the line.
func (l *Line) add(x, y float64) {
	l.Points = append(l.Points, plotter.XY{X: x, Y: y})
}

func (c *Chart) writeSVG(path string) error {
	p := plot.New()
	p.Title.Text = c.Name
	p.X.Label.Text = c.XLabel
	p.Y.Label.Text = c.YLabel
	p.Legend.Top = true
	for i, line := range c.Lines {
		drawn, err := plotter.NewLine(line.Points)
		if err != nil {
			return err
		}
		drawn.Color = plotutil.Color(i)
		drawn.Dashes = plotutil.Dashes(i)
		p.Add(drawn)
		p.Legend.Add(line.Name, drawn)
	}
	return p.Save(chartWidth, chartHeight, path)
}
