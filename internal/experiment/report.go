package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
)

// Report is what an experiment measured.
type Report struct {
	Name   string // of the experiment
	Header []string
	Rows   [][]string
	Checks []Check
	Charts []Chart
}

// AddRow adds a row to the table. Floats are printed with four significant digits.
func (r *Report) AddRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		if v, ok := cell.(float64); ok {
			row[i] = fmt.Sprintf("%.4g", v)
		} else {
			row[i] = fmt.Sprint(cell)
		}
	}
	r.Rows = append(r.Rows, row)
}

// AddChecks adds checks, which are printed in this order.
func (r *Report) AddChecks(checks ...Check) {
	r.Checks = append(r.Checks, checks...)
}

// merge appends the table, the checks and the charts of a part that ran on its own.
func (r *Report) merge(part *Report) {
	r.Rows = append(r.Rows, part.Rows...)
	r.Checks = append(r.Checks, part.Checks...)
	r.Charts = append(r.Charts, part.Charts...)
}

// Passed reports whether every check passed.
func (r *Report) Passed() bool {
	for _, check := range r.Checks {
		if !check.Passed() {
			return false
		}
	}
	return true
}

// Write prints the table and the checks to o.Out, and writes the table and the charts to o.OutputDir if that is set.
func (r *Report) Write(o Options) error {
	if err := r.print(o.Out); err != nil {
		return err
	}
	if o.OutputDir == "" {
		return nil
	}
	if err := os.MkdirAll(o.OutputDir, 0o755); err != nil {
		return err
	}
	if err := r.writeCSV(filepath.Join(o.OutputDir, r.Name+".csv")); err != nil {
		return err
	}
	for i := range r.Charts {
		chart := &r.Charts[i]
		if err := chart.writeSVG(filepath.Join(o.OutputDir, r.Name+"-"+chart.Name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	for _, row := range append([][]string{r.Header}, r.Rows...) {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, check := range r.Checks {
		if _, err := fmt.Fprintln(out, check); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) writeCSV(path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return csv.NewWriter(file).WriteAll(append([][]string{r.Header}, r.Rows...))
}
