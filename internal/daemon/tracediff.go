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
	Settings string `type:"existingfile" help:"The platform's configuration that is asked about; that of the trace without it."`
	Operator string `type:"existingfile" help:"The operator's record that is asked about."`
	Seconds  int    `default:"20" help:"Seconds that are listed, those that part most first."`
}

// Run simulates the arrivals of a trace under its own settings and under those that are asked about, and prints how the
// outcomes differ.
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

// applySettings puts the settings that are asked about in place of those of the trace; the seed stays.
func (c diffCmd) applySettings(config *startup.Config) error {
	if c.Settings != "" {
		p, err := startup.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": c.Settings}[key] })
		if err != nil {
			return err
		}
		if len(p.Settings.Methods) != len(config.Methods) {
			return fmt.Errorf("%s: %d methods expected, as in the trace, %d there", c.Settings, len(config.Methods), len(p.Settings.Methods))
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

// outcome is the end of one arrival, kept small as a trace may hold millions.
type outcome struct {
	second  uint32 // of the arrival
	verdict replay.Verdict
	method  uint8
}

// methodInfo is what the table says of a method.
type methodInfo struct {
	name        string
	criticality float64
}

// simulate returns the outcomes by arrival under the settings of the trace, which change may alter.
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
	okBaseline   int // answered, in time or late
	okChanged    int
	onlyBaseline int // answered without a result under the baseline only
	onlyChanged  int // and under the changed settings only
}

// add counts one RPC by its two verdicts.
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

// differences are the RPCs that one of the two answered and the other did not.
func (r *diffRow) differences() int { return r.onlyBaseline + r.onlyChanged }

// outcomeDiff compares the outcomes of the same arrivals under two settings.
type outcomeDiff struct {
	methods []diffRow
	seconds map[uint32]*diffRow
}

func newOutcomeDiff(baseline, changed []outcome, methods int) *outcomeDiff {
	d := &outcomeDiff{methods: make([]diffRow, methods), seconds: map[uint32]*diffRow{}}
	for i := range min(len(baseline), len(changed)) {
		was, is := baseline[i], changed[i]
		second := d.seconds[was.second]
		if second == nil {
			second = &diffRow{}
			d.seconds[was.second] = second
		}
		second.add(was.verdict, is.verdict)
		d.methods[min(int(was.method), methods-1)].add(was.verdict, is.verdict)
	}
	return d
}

// print prints a table by method and the seconds that differ most, at most so many.
func (d *outcomeDiff) print(methods []methodInfo, maxSeconds int) error {
	var t table
	t.printf("method\tcriticality\tRPCs\tok as it was\tok then\tturned away only as it was\tonly then\n")
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
		fmt.Printf("second %d: %d RPCs, turned away only as it was %d, only then %d\n", second, r.total, r.onlyBaseline, r.onlyChanged)
	}
	fmt.Printf("%d seconds part of %d\n", len(different), len(d.seconds))
	return nil
}
