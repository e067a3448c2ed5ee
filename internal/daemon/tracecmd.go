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

// This file has the commands for traces, which print the results of package replay. They must never write to a trace.

// TraceCmd holds the commands for traces.
type TraceCmd struct {
	Record recordCmd `cmd:"" help:"Serve RPCs and record a trace."`
	Show   showCmd   `cmd:"" help:"Print the events of a trace, one per line."`
	Replay replayCmd `cmd:"" help:"Replay a trace with this build and report the verdicts that differ from the recorded ones."`
	Diff   diffCmd   `cmd:"" help:"Simulate the arrivals of a trace under other settings and compare the outcomes."`
}

type recordCmd struct {
	File string `arg:"" type:"path" help:"Trace file to write; older files are renamed to FILE.1 and so on."`
	Command
}

// Run serves like Command.
func (c recordCmd) Run() error {
	c.Trace = c.File
	return c.Command.Run(nil)
}

type showCmd struct {
	File  string `arg:"" type:"path"`
	Limit int    `default:"0" help:"Maximum number of events to print; 0 for all."`
}

// Run prints the header and the entries of a trace.
func (c showCmd) Run() error {
	r, err := trace.Open(trace.Files(c.File)...)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }() // opened only for reading
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

// traceSteps reads a trace for a replay. A truncated or damaged trace is replayed up to the fault.
type traceSteps struct {
	*trace.Reader
	truncation error // why the trace ended early; nil if it is complete
	dropped    int   // entries that were dropped during recording
}

// openTrace opens the files of a trace.
func openTrace(file string) (*traceSteps, error) {
	r, err := trace.Open(trace.Files(file)...)
	if err != nil {
		return nil, err
	}
	return &traceSteps{Reader: r}, nil
}

// next returns the next step, or io.EOF at the end.
func (s *traceSteps) next() (replay.Step, error) {
	e, err := s.Next()
	s.dropped += e.Dropped
	if errors.Is(err, trace.ErrTorn) || errors.Is(err, trace.ErrDamaged) {
		s.truncation = err
		err = io.EOF
	}
	return replay.Step{Now: e.Now, Event: e.Event, Token: e.Token, Actions: e.Actions}, err
}

// settings returns the settings that the trace was recorded with.
func (s *traceSteps) settings() *replay.Settings {
	return replaySettings(&s.Header.Startup, s.Header.SlowStart)
}

// replaySettings returns the settings for a replay of a controller that starts with or without a warm-up.
func replaySettings(c *startup.Config, warmingUp bool) *replay.Settings {
	s := replay.Settings(c.Config)
	s.Node.WarmingUp = warmingUp
	return &s
}

// close closes the trace and reports on stderr whether entries are missing.
func (s *traceSteps) close() {
	if s.truncation != nil {
		fmt.Fprintf(os.Stderr, "trace is truncated or damaged; later entries are ignored: %v\n", s.truncation)
	}
	if s.dropped > 0 {
		fmt.Fprintf(os.Stderr, "%d entries were dropped while the trace was recorded\n", s.dropped)
	}
	_ = s.Close() // opened only for reading
}

type replayCmd struct {
	File string `arg:"" type:"path"`
}

// maxPrintedDivergences limits the output to the first divergences, which suffice to find the difference.
const maxPrintedDivergences = 20

// errDiverged is returned if the verdicts of a replay differ from the recorded ones.
var errDiverged = errors.New("replayed verdicts differ from the recorded ones")

// Run prints the verdicts that diverge and a tally by method. It returns errDiverged if there is a divergence.
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
			fmt.Printf("at %.3f ms (event %d): recorded %s, replayed %s\n", d.Now, d.Step, verdictName(d.Recorded), verdictName(d.Replayed))
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
	fmt.Printf("%d events, %d verdicts differ\n", events, divergences)
	if divergences > 0 {
		return errDiverged
	}
	return nil
}

// verdictNames are the printed names of the verdicts.
var verdictNames = map[control.ActionKind]string{
	control.Run:    "run",
	control.Reject: "push back",
	control.Abort:  "abort",
	control.Join:   "join",
}

// verdictName returns the name of a verdict with its RPC, or "none".
func verdictName(a control.Action) string {
	if a.RPC == 0 {
		return "none"
	}
	return fmt.Sprintf("%s %d", verdictNames[a.Kind], a.RPC)
}
