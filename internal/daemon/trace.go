package daemon

// This file owns the commands over traces: they print what package replay finds. They must never write to a trace.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"sorrelvalve/decision/replay"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/trace"
)

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

func (c recordCmd) Run() error {
	c.Trace = c.File
	return c.Command.Run(nil)
}

type showCmd struct {
	File  string `arg:"" type:"path"`
	Limit int    `default:"0" help:"Lines at the most; 0 for all."`
}

func (c showCmd) Run() error {
	r, err := trace.Open(trace.Files(c.File)...)
	if err != nil {
		return err
	}
	defer r.Close()
	h := &r.Header
	fmt.Printf("build %s, cold %v, %d methods, %d customers, %d cores\n", h.Build, h.SlowStart, len(h.Startup.Methods), len(h.Startup.Customers), h.Startup.Node.Cores)
	for n := 0; c.Limit == 0 || n < c.Limit; n++ {
		e, err := r.Next()
		if err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("after %d entries: %w", n, err)
		}
		fmt.Println(e.String())
	}
	return nil
}

// steps feeds a trace to a replay. A trace that ends early is replayed as far as it goes; why is told then.
type traceSteps struct {
	*trace.Reader
	truncation error
	dropped    int
}

func openTrace(file string) (*traceSteps, error) {
	r, err := trace.Open(trace.Files(file)...)
	if err != nil {
		return nil, err
	}
	return &traceSteps{Reader: r}, nil
}

func (s *traceSteps) next() (replay.Step, error) {
	e, err := s.Next()
	s.dropped += e.Dropped
	if errors.Is(err, trace.ErrTorn) || errors.Is(err, trace.ErrDamaged) {
		s.truncation, err = err, io.EOF
	}
	return replay.Step{Now: e.Now, Event: e.Event, Token: e.Token, Actions: e.Actions}, err
}

func (s *traceSteps) settings() *replay.Settings {
	return replaySettings(&s.Header.Startup, s.Header.SlowStart)
}

func replaySettings(o *startup.Config, cold bool) *replay.Settings {
	s := &replay.Settings{Node: o.Node, Fleet: o.Fleet, Dependency: o.Dependency, Limits: o.Limits, Methods: o.Methods, Customers: o.Customers}
	s.Node.WarmingUp = cold
	return s
}

func (s *traceSteps) close() {
	if s.truncation != nil {
		fmt.Fprintf(os.Stderr, "the trace ends early: %v\n", s.truncation)
	}
	if s.dropped > 0 {
		fmt.Fprintf(os.Stderr, "%d entries were dropped when it was recorded\n", s.dropped)
	}
	s.Reader.Close()
}

type replayCmd struct {
	File string `arg:"" type:"path"`
}

func (c replayCmd) Run() error {
	s, err := openTrace(c.File)
	if err != nil {
		return err
	}
	defer s.close()
	set := s.settings()
	tallies := make([]replay.Tally, len(set.Methods))
	parts := 0
	n, err := replay.Verify(set, s.next, func(p replay.Divergence) {
		if parts++; parts <= 20 {
			fmt.Printf("at %.3f ms (event %d): was %s, is %s\n", p.Now, p.Step, verdictName(p.Recorded.RPC, int(p.Recorded.Kind)), verdictName(p.Replayed.RPC, int(p.Replayed.Kind)))
		}
	}, func(f replay.Completion) { tallies[min(f.Method, len(tallies)-1)].Add(f.Verdict) })
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "method\tRPCs\tok\tlate\tpushed back\taborted\tgone")
	for i, t := range tallies {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", set.Methods[i].Name, t.Total, t.OK, t.Late, t.Rejected, t.Aborted, t.CallerLeft)
	}
	w.Flush()
	fmt.Printf("%d events, %d verdicts part\n", n, parts)
	if parts > 0 {
		return errors.New("the verdicts are not those of the trace")
	}
	return nil
}

func verdictName(rpc uint32, do int) string {
	if rpc == 0 {
		return "none"
	}
	names := map[int]string{0: "run", 1: "push back", 2: "abort", 8: "join"}
	return fmt.Sprintf("%s %d", names[do], rpc)
}

type diffCmd struct {
	File     string `arg:"" type:"path"`
	Settings string `type:"existingfile" help:"The platform's configuration that is asked about; that of the trace without it."`
	Operator string `type:"existingfile" help:"The operator's record that is asked about."`
	Seconds  int    `default:"20" help:"Seconds that are listed, those that part most first."`
}

func (c diffCmd) Run() error {
	was, names, err := c.model(nil)
	if err != nil {
		return err
	}
	is, _, err := c.model(func(o *startup.Config) error {
		if c.Settings != "" {
			p, err := startup.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": c.Settings}[key] })
			if err != nil {
				return err
			}
			if len(p.Settings.Methods) != len(o.Methods) {
				return fmt.Errorf("%s: %d methods expected, as in the trace, %d there", c.Settings, len(o.Methods), len(p.Settings.Methods))
			}
			seed := o.Node.Seed
			*o = *p.Settings
			o.Node.Seed = seed
		}
		if c.Operator != "" {
			r, err := operator.Load(c.Operator, o)
			if err != nil {
				return err
			}
			r.File.Apply(o)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.print(was, is, names)
}

// ends are the ends of all arrivals, by their number: two bytes each.
type outcomes struct {
	verdict []replay.Verdict
	method  []uint8
	second  []uint32
}

type methodName struct {
	name        string
	criticality float64
}

func (c diffCmd) model(change func(*startup.Config) error) (*outcomes, []methodName, error) {
	s, err := openTrace(c.File)
	if err != nil {
		return nil, nil, err
	}
	defer s.close()
	o := s.Header.Startup
	if change != nil {
		if err := change(&o); err != nil {
			return nil, nil, err
		}
	}
	set := replaySettings(&o, s.Header.SlowStart)
	e := &outcomes{}
	err = replay.Simulate(set, s.next, func(f replay.Completion) {
		for len(e.verdict) <= f.ArrivalIndex {
			e.verdict, e.method, e.second = append(e.verdict, replay.CallerLeft), append(e.method, 0), append(e.second, 0)
		}
		e.verdict[f.ArrivalIndex], e.method[f.ArrivalIndex], e.second[f.ArrivalIndex] = f.Verdict, uint8(f.Method), uint32(max(0, f.ArrivedMS)/1000)
	})
	var names []methodName
	for _, m := range set.Methods {
		names = append(names, methodName{m.Name, m.Criticality})
	}
	return e, names, err
}

func (c diffCmd) print(was, is *outcomes, names []methodName) error {
	type row struct{ n, okWas, okIs, onlyWas, onlyIs int }
	rows := make([]row, len(names))
	seconds := map[uint32]*row{}
	for i := range min(len(was.verdict), len(is.verdict)) {
		a, b := was.verdict[i], is.verdict[i]
		s := seconds[was.second[i]]
		if s == nil {
			s = &row{}
			seconds[was.second[i]] = s
		}
		for _, r := range []*row{&rows[min(int(was.method[i]), len(rows)-1)], s} {
			r.n++
			if a <= replay.Late {
				r.okWas++
			}
			if b <= replay.Late {
				r.okIs++
			}
			if a.NoResult() && !b.NoResult() {
				r.onlyWas++
			} else if b.NoResult() && !a.NoResult() {
				r.onlyIs++
			}
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "method\tcriticality\tRPCs\tok as it was\tok then\tturned away only as it was\tonly then")
	for i, r := range rows {
		fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%d\t%d\n", names[i].name, names[i].criticality, r.n, r.okWas, r.okIs, r.onlyWas, r.onlyIs)
	}
	w.Flush()
	var order []uint32
	for s, r := range seconds {
		if r.onlyWas+r.onlyIs > 0 {
			order = append(order, s)
		}
	}
	slices.SortFunc(order, func(a, b uint32) int {
		x, y := seconds[a], seconds[b]
		if d := y.onlyWas + y.onlyIs - x.onlyWas - x.onlyIs; d != 0 {
			return d
		}
		return int(a) - int(b)
	})
	for _, s := range order[:min(len(order), c.Seconds)] {
		r := seconds[s]
		fmt.Printf("second %d: %d RPCs, turned away only as it was %d, only then %d\n", s, r.n, r.onlyWas, r.onlyIs)
	}
	fmt.Printf("%d seconds part of %d\n", len(order), len(seconds))
	return nil
}
