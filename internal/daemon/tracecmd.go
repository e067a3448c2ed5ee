package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"

	"sorrelvalve/control"
	"sorrelvalve/decision/replay"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/trace"
)

// This file owns the commands over traces: they print what package replay finds. They must never write to a trace.

// TraceCmd are the commands over traces.
type TraceCmd struct {
	Record recordCmd `cmd:"" help:"Serve, and record a trace."`
	Show   showCmd   `cmd:"" help:"Print what a trace holds, an event a line."`
	Replay replayCmd `cmd:"" help:"Run this build's decisions over a trace: the same verdicts, or where they part."`
	Diff   diffCmd   `cmd:"" help:"What other settings would have done with the same arrivals."`
}

type recordCmd struct {
	File string `arg:"" type:"path" help:"The trace; older parts of it become FILE.1 and so on."`
	Command
}

// Run serves as Command does.
func (c recordCmd) Run() error {
	c.Trace = c.File
	return c.Command.Run(nil)
}

type showCmd struct {
	File  string `arg:"" type:"path"`
	Limit int    `default:"0" help:"Lines at the most; 0 for all."`
}

// Run prints the header and the entries of a trace.
func (c showCmd) Run() error {
	r, err := trace.Open(trace.Files(c.File)...)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }() // it was only read
	h := &r.Header
	fmt.Printf("build %s, cold %v, %d methods, %d customers, %d cores\n",
		h.Build, h.SlowStart, len(h.Startup.Methods), len(h.Startup.Customers), h.Startup.Node.Cores)
	for n := 0; c.Limit == 0 || n < c.Limit; n++ {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("after %d entries: %w", n, err)
		}
		fmt.Println(e.String())
	}
	return nil
}

// traceSteps feeds a trace to a replay. A trace that ends early is replayed as far as it goes.
type traceSteps struct {
	*trace.Reader
	truncation error // why it ended early; nil if it did not
	dropped    int   // entries that were dropped when it was recorded
}

func openTrace(file string) (*traceSteps, error) {
	r, err := trace.Open(trace.Files(file)...)
	if err != nil {
		return nil, err
	}
	return &traceSteps{Reader: r}, nil
}

// next returns the next step, io.EOF at the end.
func (s *traceSteps) next() (replay.Step, error) {
	e, err := s.Next()
	s.dropped += e.Dropped
	if errors.Is(err, trace.ErrTorn) || errors.Is(err, trace.ErrDamaged) {
		s.truncation = err
		err = io.EOF
	}
	return replay.Step{Now: e.Now, Event: e.Event, Token: e.Token, Actions: e.Actions}, err
}

// settings are those that the trace was recorded with.
func (s *traceSteps) settings() *replay.Settings {
	return replaySettings(&s.Header.Startup, s.Header.SlowStart)
}

func replaySettings(c *startup.Config, warmingUp bool) *replay.Settings {
	s := replay.Settings(c.Config)
	s.Node.WarmingUp = warmingUp
	return &s
}

// close reports what the trace lacks.
func (s *traceSteps) close() {
	if s.truncation != nil {
		fmt.Fprintf(os.Stderr, "the trace ends early: %v\n", s.truncation)
	}
	if s.dropped > 0 {
		fmt.Fprintf(os.Stderr, "%d entries were dropped when it was recorded\n", s.dropped)
	}
	_ = s.Close() // it was only read
}

type replayCmd struct {
	File string `arg:"" type:"path"`
}

// maxPrintedDivergences are as many as a reader needs to see what is different.
const maxPrintedDivergences = 20

// errDiverged tells that a replay gave other verdicts than were recorded.
var errDiverged = errors.New("the verdicts are not those of the trace")

// Run prints where the verdicts diverge and a tally by method, and returns an error if any do.
func (c replayCmd) Run() error {
	steps, err := openTrace(c.File)
	if err != nil {
		return err
	}
	defer steps.close()
	settings := steps.settings()
	tallies := make([]replay.Tally, len(settings.Methods))
	divergences := 0
	onDivergence := func(d replay.Divergence) {
		divergences++
		if divergences <= maxPrintedDivergences {
			fmt.Printf("at %.3f ms (event %d): was %s, is %s\n", d.Now, d.Step, verdictName(d.Recorded), verdictName(d.Replayed))
		}
	}
	onCompletion := func(f replay.Completion) { tallies[min(f.Method, len(tallies)-1)].Add(f.Verdict) }
	events, err := replay.Verify(settings, steps.next, onDivergence, onCompletion)
	if err != nil {
		return err
	}
	var t table
	t.printf("method\tRPCs\tok\tlate\tpushed back\taborted\tgone\n")
	for i, tally := range tallies {
		t.printf("%s\t%d\t%d\t%d\t%d\t%d\t%d\n", settings.Methods[i].Name,
			tally.Total, tally.OK, tally.Late, tally.Rejected, tally.Aborted, tally.CallerLeft)
	}
	if err := t.writeTo(os.Stdout); err != nil {
		return err
	}
	fmt.Printf("%d events, %d verdicts part\n", events, divergences)
	if divergences > 0 {
		return errDiverged
	}
	return nil
}

// verdictNames are the names that this command prints.
var verdictNames = map[control.ActionKind]string{
	control.Run:    "run",
	control.Reject: "push back",
	control.Abort:  "abort",
	control.Join:   "join",
}

// verdictName names a verdict and its RPC.
func verdictName(a control.Action) string {
	if a.RPC == 0 {
		return "none"
	}
	return fmt.Sprintf("%s %d", verdictNames[a.Kind], a.RPC)
}
