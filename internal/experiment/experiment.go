// Package lab is what the experiments share: a server of this build put together in the process, what an experiment
// reports, and the bars that it must clear. It must never print a figure that was not measured in the run at hand.
package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Options are those of one run.
type Options struct {
	Quick bool
	Seed  int64
	Dir   string // for the table and the chart; "" for none
	Out   io.Writer

	Servers  int    // of a simulated fleet; 0 for the experiment's own
	Schedule string // a file of faults; "" for none
	Seeds    string // A..B; "" for the experiment's own
}

// Report is what an experiment found.
type Report struct {
	Name   string
	Header []string
	Rows   [][]string
	Bars   []Bar
	Charts []Chart
}

// Bar is one figure and what is wanted of it.
type Bar struct {
	Name   string
	Value  float64
	Wanted string // as >= 0.97
	Holds  bool
}

// AtLeast and AtMost add a bar.
func (r *Report) AtLeast(name string, v, least float64) {
	r.Bars = append(r.Bars, Bar{name, v, fmt.Sprintf("at least %g", least), v >= least})
}

func (r *Report) AtMost(name string, v, most float64) {
	r.Bars = append(r.Bars, Bar{name, v, fmt.Sprintf("at most %g", most), v <= most})
}

// Above adds a bar that another run of the same experiment sets.
func (r *Report) Above(name string, v, other float64) {
	r.Bars = append(r.Bars, Bar{name, v, fmt.Sprintf("above %.4g", other), v > other})
}

// Row adds a row of the table.
func (r *Report) Row(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		if v, ok := c.(float64); ok {
			row[i] = fmt.Sprintf("%.4g", v)
		} else {
			row[i] = fmt.Sprint(c)
		}
	}
	r.Rows = append(r.Rows, row)
}

// Chart is lines over time or any other axis.
type Chart struct {
	Name, X, Y string
	Lines      []Line
}

// Line is one of a chart.
type Line struct {
	Name string
	XY   plotter.XYs
}

// Write prints the table and the bars, and writes both and the charts to the folder. It tells whether all bars hold.
func (r *Report) Write(o Options) (bool, error) {
	w := tabwriter.NewWriter(o.Out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(r.Header, "\t"))
	for _, row := range r.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
	holds := true
	for _, b := range r.Bars {
		short := ""
		if !b.Holds {
			holds, short = false, "  FALLS SHORT"
		}
		fmt.Fprintf(o.Out, "bar %s: %.4g (wanted %s)%s\n", b.Name, b.Value, b.Wanted, short)
	}
	if o.Dir == "" {
		return holds, nil
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return holds, err
	}
	f, err := os.Create(filepath.Join(o.Dir, r.Name+".csv"))
	if err != nil {
		return holds, err
	}
	defer f.Close()
	if err := csv.NewWriter(f).WriteAll(append([][]string{r.Header}, r.Rows...)); err != nil {
		return holds, err
	}
	for _, c := range r.Charts {
		if err := c.write(filepath.Join(o.Dir, r.Name+"-"+c.Name+".svg")); err != nil {
			return holds, err
		}
	}
	return holds, nil
}

func (c *Chart) write(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Name, c.X, c.Y
	p.Legend.Top = true
	for i, l := range c.Lines {
		line, err := plotter.NewLine(l.XY)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
