package daemon

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"sorrelvalve/decision/replay"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

type diffCmd struct {
	File     string `arg:"" type:"path"`
	Settings string `type:"existingfile" help:"Platform configuration to simulate; without it, the settings of the trace."`
	Operator string `type:"existingfile" help:"Operator's record to simulate."`
	Seconds  int    `default:"20" help:"Maximum number of seconds to list; those with the most differences come first."`
}

// Run simulates the arrivals of a trace under its recorded settings and under the settings of the command line, and prints
// how the outcomes differ.
func (c diffCmd) Run() error {
	baseline, methods, err := c.simulate(nil)
	if err != nil {
		return err
	}
	changed, _, err := c.simulate(c.applySettings)
	if err != nil {
		return err
	}
	d := newOutcomeDiff(baseline, changed, len(methods))
	return d.print(methods, c.Seconds)
}

// applySettings replaces the settings of the trace by those of the command line, except for the seed.
func (c diffCmd) applySettings(config *startup.Config) error {
	if c.Settings != "" {
		p, err := startup.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": c.Settings}[key] })
		if err != nil {
			return err
		}
		if len(p.Settings.Methods) != len(config.Methods) {
			return fmt.Errorf("%s: want %d methods, as in the trace, got %d", c.Settings, len(config.Methods), len(p.Settings.Methods))
		}
		seed := config.Node.Seed
		*config = *p.Settings
		config.Node.Seed = seed
	}
	if c.Operator != "" {
		r, err := operator.Load(c.Operator, config)
		if err != nil {
			return err
		}
		r.File.Apply(config)
	}
	return nil
}

// outcome is the outcome of one arrival. It is small because a trace may have millions of arrivals.
type outcome struct {
	second  uint32 // of the arrival
	verdict replay.Verdict
	method  uint8
}

// methodInfo is the part of a method's settings that the table shows.
type methodInfo struct {
	name        string
	criticality float64
}

// simulate returns the outcomes by arrival index under the settings of the trace, after change has been applied to them.
// change may be nil.
func (c diffCmd) simulate(change func(*startup.Config) error) ([]outcome, []methodInfo, error) {
	steps, err := openTrace(c.File)
	if err != nil {
		return nil, nil, err
	}
	defer steps.close()
	config := steps.Header.Startup
	if change != nil {
		if err := change(&config); err != nil {
			return nil, nil, err
		}
	}
	settings := replaySettings(&config, steps.Header.SlowStart)
	var outcomes []outcome
	err = replay.Simulate(settings, steps.next, func(f replay.Completion) {
		for len(outcomes) <= f.ArrivalIndex {
			outcomes = append(outcomes, outcome{verdict: replay.CallerLeft})
		}
		outcomes[f.ArrivalIndex] = outcome{uint32(max(0, f.ArrivedMS) / 1000), f.Verdict, uint8(f.Method)}
	})
	var methods []methodInfo
	for _, m := range settings.Methods {
		methods = append(methods, methodInfo{m.Name, m.Criticality})
	}
	return outcomes, methods, err
}

// diffRow counts the RPCs of a method or a second.
type diffRow struct {
	total        int
	okBaseline   int // completed ok, in time or late
	okChanged    int
	onlyBaseline int // rejected or aborted under the baseline settings only
	onlyChanged  int // rejected or aborted under the changed settings only
}

// add counts one RPC with its two verdicts.
func (r *diffRow) add(baseline, changed replay.Verdict) {
	r.total++
	if baseline <= replay.Late {
		r.okBaseline++
	}
	if changed <= replay.Late {
		r.okChanged++
	}
	if baseline.NoResult() && !changed.NoResult() {
		r.onlyBaseline++
	} else if changed.NoResult() && !baseline.NoResult() {
		r.onlyChanged++
	}
}

// differences returns the number of RPCs that were rejected or aborted under only one of the two settings.
func (r *diffRow) differences() int { return r.onlyBaseline + r.onlyChanged }

// outcomeDiff compares the outcomes of the same arrivals under two settings.
type outcomeDiff struct {
	methods []diffRow
	seconds map[uint32]*diffRow
}

// newOutcomeDiff counts the outcomes by method and by second. Both slices are indexed by arrival.
func newOutcomeDiff(baseline, changed []outcome, methods int) *outcomeDiff {
	d := &outcomeDiff{methods: make([]diffRow, methods), seconds: map[uint32]*diffRow{}}
	for i := range min(len(baseline), len(changed)) {
		before, after := baseline[i], changed[i]
		second := d.seconds[before.second]
		if second == nil {
			second = &diffRow{}
			d.seconds[before.second] = second
		}
		second.add(before.verdict, after.verdict)
		d.methods[min(int(before.method), methods-1)].add(before.verdict, after.verdict)
	}
	return d
}

// print prints a table by method and the maxSeconds seconds with the most differences. In the output, before stands for the
// settings of the trace and after for those of the command line.
func (d *outcomeDiff) print(methods []methodInfo, maxSeconds int) error {
	var t table
	t.printf("method\tcriticality\tRPCs\tok before\tok after\trejected or aborted only before\tonly after\n")
	for i, r := range d.methods {
		t.printf("%s\t%g\t%d\t%d\t%d\t%d\t%d\n", methods[i].name, methods[i].criticality,
			r.total, r.okBaseline, r.okChanged, r.onlyBaseline, r.onlyChanged)
	}
	if err := t.writeTo(os.Stdout); err != nil {
		return err
	}
	var different []uint32
	for second, r := range d.seconds {
		if r.differences() > 0 {
			different = append(different, second)
		}
	}
	slices.SortFunc(different, func(a, b uint32) int {
		byDifferences := cmp.Compare(d.seconds[b].differences(), d.seconds[a].differences())
		return cmp.Or(byDifferences, cmp.Compare(a, b))
	})
	for _, second := range different[:min(len(different), maxSeconds)] {
		r := d.seconds[second]
		fmt.Printf("second %d: %d RPCs, rejected or aborted only before %d, only after %d\n", second, r.total, r.onlyBaseline, r.onlyChanged)
	}
	fmt.Printf("%d seconds differ of %d\n", len(different), len(d.seconds))
	return nil
}
