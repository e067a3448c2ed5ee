package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"sorrelvalve/decision/plan"
	"sorrelvalve/decision/replay"
	"sorrelvalve/decision/route"
	"sorrelvalve/internal/cuefile"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/trace"
)

// planCmd searches settings over a trace (package plan) and writes what it found as an operator's file.
type planCmd struct {
	Trace  string `arg:"" type:"path" help:"A trace that a daemon or a library recorded."`
	Out    string `short:"o" type:"path" help:"Where the operator's file is written; to standard output without it."`
	Parts  int    `default:"8" help:"Parts of the trace: every other one is searched on, the rest tell what to expect."`
	Budget int    `default:"80" help:"Settings that are tried at the most."`
	Seed   int64  `default:"1" help:"Of the order in which they are tried."`
	Steps  int    `default:"2000000" help:"Events that are read at the most; later ones are left out."`
}

// minSpan, in milliseconds, keeps the division of a trace whose events all have one time defined.
const minSpan = 1e-9

// Run searches over the trace and writes the plan. It applies nothing.
func (c *planCmd) Run() error {
	r, err := trace.Open(trace.Files(c.Trace)...)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }() // only read
	steps, err := c.read(r)
	if err != nil {
		return err
	}
	if len(steps) < 2*c.Parts || c.Parts < 2 {
		return fmt.Errorf("%d events in %d parts: too few to plan by", len(steps), c.Parts)
	}
	o := &r.Header.Startup
	s := replay.Settings(o.Config)
	p := plan.Search(s, split(steps, c.Parts), c.Budget, c.Seed)
	text := c.file(&p, &s)
	if err := validate(text, operator.KnownNames(o)); err != nil {
		return fmt.Errorf("the plan does not pass its own check: %w", err)
	}
	if c.Out == "" {
		fmt.Print(text)
		return nil
	}
	return os.WriteFile(c.Out, []byte(text), 0o644)
}

// read reads the events of a trace, as many as the command takes. A trace that is cut off or damaged ends there.
func (c *planCmd) read(r *trace.Reader) ([]replay.Step, error) {
	var steps []replay.Step
	for len(steps) < c.Steps {
		e, err := r.Next()
		switch {
		case errors.Is(err, io.EOF):
			return steps, nil
		case errors.Is(err, trace.ErrTorn) || errors.Is(err, trace.ErrDamaged):
			fmt.Fprintf(os.Stderr, "the trace ends early: %v\n", err)
			return steps, nil
		case err != nil:
			return nil, err
		}
		steps = append(steps, replay.Step{Now: e.Now, Event: e.Event, Token: e.Token})
	}
	return steps, nil
}

// split divides a trace into parts of equal time.
func split(steps []replay.Step, n int) [][]replay.Step {
	start := steps[0].Now
	span := (steps[len(steps)-1].Now - start) / float64(n)
	parts := make([][]replay.Step, n)
	for _, step := range steps {
		i := min(n-1, int((step.Now-start)/max(span, minSpan)))
		parts[i] = append(parts[i], step)
	}
	return parts
}

// file returns the plan as an operator's file.
func (c *planCmd) file(p *plan.Plan, s *replay.Settings) string {
	var b strings.Builder
	fmt.Fprintf(&b, "// Planned over a trace; applied by nobody. %d settings were tried.\n", p.Replays)
	fmt.Fprintf(&b, "// Criticality served on the parts searched on: %.4f, before %.4f.\n", p.TrainAfter, p.TrainBefore)
	fmt.Fprintf(&b, "// On %d parts that it never saw: %+.4f in the mean, from %+.4f to %+.4f.\n", len(p.HeldOut), p.MeanGain, p.MinGain, p.MaxGain)
	for i, h := range p.HeldOut {
		fmt.Fprintf(&b, "//   part %d: %.4f, before %.4f; the most critical method %.4f, before %.4f\n", 2*i+2, h.After.Served, h.Before.Served,
			h.After.Critical, h.Before.Critical)
	}
	fmt.Fprintf(&b, "package sorrelvalve\n\nversion: %q\n", "plan "+strconv.FormatInt(c.Seed, 10))
	if p.Best.DisplaceableMS >= 0 {
		fmt.Fprintf(&b, "hold: settled_ms: %g\n", p.Best.DisplaceableMS)
	}
	if p.Best.OverQuotaFraction >= 0 {
		fmt.Fprintf(&b, "limits: over_share: %g\n", p.Best.OverQuotaFraction)
	}
	if p.Best.MaxRunsPerCore > 0 {
		fmt.Fprintf(&b, "limits: runs_a_core: %g\n", p.Best.MaxRunsPerCore)
	}
	for i, f := range p.Best.QuotaFactors {
		if f != 1 {
			fmt.Fprintf(&b, "limits: quotas: %q: %g\n", s.Customers[i].Name, s.Customers[i].Quota*f)
		}
	}
	return b.String()
}

// validate checks the text of an operator's file as `valvectl check` does, and returns the first error.
func validate(text string, known route.Catalog) error {
	f, err := os.CreateTemp("", "plan-*.cue")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // a temporary file left behind does no harm
	if _, err := f.WriteString(text); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	file, errs := cuefile.Compile([]string{f.Name()}, route.Catalog{})
	if len(errs) > 0 {
		return errs[0]
	}
	if errs := operator.Check(file, known); len(errs) > 0 {
		return errs[0]
	}
	return nil
}
