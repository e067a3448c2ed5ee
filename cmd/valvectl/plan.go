package main

// This file owns the command that plans: it reads a trace in parts, has package plan search, and writes what it found as
// an operator's file. It must never apply it.

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

type planCmd struct {
	Trace  string `arg:"" type:"path" help:"A trace that a daemon or a library recorded."`
	Out    string `short:"o" type:"path" help:"Where the operator's file is written; to standard output without it."`
	Parts  int    `default:"8" help:"Parts of the trace: every other one is searched on, the rest tell what to expect."`
	Budget int    `default:"80" help:"Settings that are tried at the most."`
	Seed   int64  `default:"1" help:"Of the order in which they are tried."`
	Steps  int    `default:"2000000" help:"Events that are read at the most; later ones are left out."`
}

func (c *planCmd) Run() error {
	r, err := trace.Open(trace.Files(c.Trace)...)
	if err != nil {
		return err
	}
	defer r.Close()
	var all []replay.Step
	for len(all) < c.Steps {
		e, err := r.Next()
		if err == io.EOF || errors.Is(err, trace.ErrTorn) || errors.Is(err, trace.ErrDamaged) {
			if err != io.EOF {
				fmt.Fprintf(os.Stderr, "the trace ends early: %v\n", err)
			}
			break
		} else if err != nil {
			return err
		}
		all = append(all, replay.Step{Now: e.Now, Event: e.Event, Token: e.Token})
	}
	if len(all) < 2*c.Parts || c.Parts < 2 {
		return fmt.Errorf("%d events in %d parts: too few to plan by", len(all), c.Parts)
	}
	o := &r.Header.Startup
	s := replay.Settings{Node: o.Node, Fleet: o.Fleet, Dependency: o.Dependency, Limits: o.Limits, Methods: o.Methods, Customers: o.Customers}
	from, span := all[0].Now, (all[len(all)-1].Now-all[0].Now)/float64(c.Parts)
	parts := make([][]replay.Step, c.Parts)
	for _, x := range all {
		i := min(c.Parts-1, int((x.Now-from)/max(span, 1e-9)))
		parts[i] = append(parts[i], x)
	}
	p := plan.Search(s, parts, c.Budget, c.Seed)
	text := c.file(&p, &s)
	if err := accepted(text, func(f *operator.File) []operator.FieldError { return operator.Check(f, operator.KnownNames(o)) }); err != nil {
		return fmt.Errorf("the plan does not pass its own check: %w", err)
	}
	if c.Out == "" {
		fmt.Print(text)
		return nil
	}
	return os.WriteFile(c.Out, []byte(text), 0o644)
}

// file is the plan as an operator's file.
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
	if p.Best.SettleMS >= 0 {
		fmt.Fprintf(&b, "hold: settled_ms: %g\n", p.Best.SettleMS)
	}
	if p.Best.OverShare >= 0 {
		fmt.Fprintf(&b, "limits: over_share: %g\n", p.Best.OverShare)
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

// accepted has a text checked as a file would be.
func accepted(text string, check func(*operator.File) []operator.FieldError) error {
	f, err := os.CreateTemp("", "plan-*.cue")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err := f.WriteString(text); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	file, faults := cuefile.Compile([]string{f.Name()}, route.Catalog{})
	for _, e := range faults {
		return e
	}
	for _, x := range check(file) {
		return x
	}
	return nil
}
