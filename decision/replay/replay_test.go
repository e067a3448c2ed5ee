package replay

import (
	"errors"
	"flag"
	"io"
	"math/rand"
	"runtime"
	"testing"

	"sorrelvalve/control"
)

func testSettings() *Settings {
	return &Settings{
		Node:   control.Node{Seed: 3, Cores: 4, MemoryKB: 1e6, RunMemoryFactor: 4, Tick: 4, WarmUpTime: 4000, InitialSpeed: 0.2},
		Fleet:  control.Fleet{Peers: 1, Callers: 3, MarksRetries: true, MaxRetryAfter: 1000, OverQuotaFraction: 0.3, FeedbackTTL: 1000, IdleTimeout: 30000},
		Limits: control.Limits{DrainGrace: 1000, MaxRunsPerCore: 8},
		Methods: []control.Method{
			{Name: "view", LatencyObjective: 400, Deadline: 1000, Criticality: 1, LateFraction: 0.2},
			{Name: "buy", Idempotency: control.IdempotencyKeyed, LatencyObjective: 400, Deadline: 1000, DedupWindow: 5000, Criticality: 3},
		},
		Customers: []control.Customer{{Name: "a", Quota: 40}, {Name: "b", Quota: 40}},
	}
}

// arrivals returns the events of some seconds of load, given as a share of the machine's capacity: arrivals, duplicates and
// callers that leave, without the completions that a trace also records.
func arrivals(load float64, seconds int, seed int64) (steps []Step) {
	random := rand.New(rand.NewSource(seed))
	steps = append(steps, Step{Event: control.Event{Kind: control.Started}})
	id, token := uint32(0), uint64(0)
	for at := 0.0; at < float64(seconds)*1000; {
		at += random.ExpFloat64() * 40 / 4 / load
		id++
		ev := control.Event{Kind: control.Arrived, RPC: id, Caller: uint16(random.Intn(3)), Customer: random.Intn(2), CostHint: 8 + 32*random.ExpFloat64(), QueuedKB: 10, Age: 1}
		step := Step{Now: at, Event: ev}
		if random.Intn(8) == 0 {
			step.Event.Method, step.Token = 1, token+1
			if token++; random.Intn(3) == 0 && token > 1 {
				step.Token = token - 1 // a duplicate of the previous token
			}
		}
		steps = append(steps, step)
		if random.Intn(20) == 0 {
			steps = append(steps, Step{Now: at + 1, Event: control.Event{Kind: control.CallerGone, RPC: id}})
		}
	}
	return steps
}

// feed returns a function that returns the steps one by one, then io.EOF.
func feed(steps []Step) func() (Step, error) {
	i := 0
	return func() (Step, error) {
		if i == len(steps) {
			return Step{}, io.EOF
		}
		i++
		return steps[i-1], nil
	}
}

// Each arrival completes exactly once, the same steps give the same completions, and a higher load has a higher share of RPCs
// rejected.
func TestSimulate(t *testing.T) {
	noResult := map[float64]float64{}
	for _, load := range []float64{0.5, 1.2, 2} {
		steps := arrivals(load, 30, 7)
		var runs [2][]Completion
		for k := range runs {
			if err := Simulate(testSettings(), feed(steps), func(completion Completion) { runs[k] = append(runs[k], completion) }); err != nil {
				t.Fatal(err)
			}
		}
		seen, arrived := map[int]bool{}, 0
		for _, step := range steps {
			if step.Event.Kind == control.Arrived {
				arrived++
			}
		}
		for i, completion := range runs[0] {
			if seen[completion.ArrivalIndex] {
				t.Fatalf("RPC %d completed twice", completion.ArrivalIndex)
			}
			seen[completion.ArrivalIndex] = true
			if completion != runs[1][i] {
				t.Fatalf("completion %d differs between two runs: %+v and %+v", i, completion, runs[1][i])
			}
			if completion.Verdict.NoResult() {
				noResult[load]++
			}
			if completion.CompletedMS > completion.ArrivedMS+1000+1 {
				t.Errorf("RPC %d completed %g ms after its arrival, want at most its deadline", completion.ArrivalIndex, completion.CompletedMS-completion.ArrivedMS)
			}
		}
		if len(seen) != arrived {
			t.Errorf("load %g: completed RPCs: got %d, want %d", load, len(seen), arrived)
		}
		noResult[load] /= float64(arrived)
	}
	if noResult[0.5] > 0.02 || noResult[1.2] < 0.05 || noResult[2] < noResult[1.2]+0.1 {
		t.Errorf("share of RPCs without a result, by load: got %v, want at most 0.02 at load 0.5, at least 0.05 at 1.2 and 0.1 more at 2", noResult)
	}
}

// A second controller gives the same verdicts on the same events; a changed setting or verdict is reported as a divergence.
func TestVerify(t *testing.T) {
	s := testSettings()
	controller := s.newController()
	var steps []Step
	record := func(now float64, ev control.Event) []control.Action {
		step := Step{Now: now, Event: ev}
		actions := append([]control.Action(nil), controller.Handle(now, ev)...)
		for _, a := range actions {
			if isVerdict(a.Kind) {
				step.Actions = append(step.Actions, a)
			}
		}
		steps = append(steps, step)
		return actions
	}
	record(0, control.Event{Kind: control.Started})
	timerAt := 40.0
	for _, arrival := range arrivals(1.5, 10, 5)[1:] {
		for timerAt <= arrival.Now {
			for _, a := range record(timerAt, control.Event{Kind: control.TimerFired}) {
				if a.Kind == control.SetTimer {
					timerAt = a.Time
				}
			}
		}
		for _, a := range record(arrival.Now, arrival.Event) {
			if a.Kind == control.Run {
				record(arrival.Now+0.1, control.Event{Kind: control.Completed, RPC: a.RPC, Outcome: control.OutcomeOK, Elapsed: 30})
			}
		}
	}
	cases := []struct {
		name     string
		change   func([]Step, *Settings)
		diverges bool
	}{
		{"unchanged", func([]Step, *Settings) {}, false},
		{"another seed", func(_ []Step, s *Settings) { s.Node.Seed++ }, false}, // no RPC is late, so that no random number is drawn
		{"changed verdict", func(steps []Step, _ *Settings) { steps[20].Actions = []control.Action{{Kind: control.Abort, RPC: 1}} }, true},
		{"changed setting", func(_ []Step, s *Settings) { s.Methods[0].LatencyObjective = 30 }, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s, changed := testSettings(), append([]Step(nil), steps...)
			test.change(changed, s)
			divergences, completions := 0, 0
			n, err := Verify(s, feed(changed), func(Divergence) { divergences++ }, func(Completion) { completions++ })
			if err != nil || n != len(steps) || (divergences > 0) != test.diverges || completions == 0 {
				t.Errorf("verified %d of %d steps: %d divergences, %d completions, error %v", n, len(steps), divergences, completions, err)
			}
		})
	}
	if _, err := Verify(testSettings(), feed(steps[5:]), func(Divergence) {}, func(Completion) {}); !errors.Is(err, ErrMissingStart) {
		t.Errorf("error for a trace without its start: got %v, want ErrMissingStart", err)
	}
}

func BenchmarkSimulate(b *testing.B) {
	steps := arrivals(1.2, 60, 1)
	b.ReportAllocs()
	for b.Loop() {
		if err := Simulate(testSettings(), feed(steps), func(Completion) {}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(steps))*float64(b.N)/b.Elapsed().Seconds(), "steps/s")
}

var arrivalsFlag = flag.Int("arrivals", 200000, "number of arrivals in TestMemoryBounded; 10 million take half a minute")

// The memory of a simulation depends only on the RPCs in flight, not on the length of the trace.
func TestMemoryBounded(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	arrived, at := 0, 0.0
	next := func() (Step, error) {
		if arrived == *arrivalsFlag {
			return Step{}, io.EOF
		}
		arrived++
		at += random.ExpFloat64() * 8
		step := Step{Now: at, Event: control.Event{Kind: control.Arrived, RPC: uint32(arrived), Customer: arrived % 2, Caller: uint16(arrived % 3), CostHint: 10 + 30*random.ExpFloat64(), QueuedKB: 10}}
		if arrived%9 == 0 {
			step.Event.Method, step.Token = 1, uint64(arrived)
		}
		return step, nil
	}
	var memory runtime.MemStats
	completed, maxHeap := 0, uint64(0)
	if err := Simulate(testSettings(), next, func(Completion) {
		if completed++; completed%50000 == 0 {
			runtime.GC()
			runtime.ReadMemStats(&memory)
			maxHeap = max(maxHeap, memory.HeapAlloc)
		}
	}); err != nil {
		t.Fatal(err)
	}
	if completed != *arrivalsFlag || maxHeap > 32<<20 {
		t.Errorf("completed %d of %d RPCs with a maximum heap of %d KB, want all with at most 32 MB", completed, *arrivalsFlag, maxHeap>>10)
	}
	t.Logf("maximum heap: %d KB", maxHeap>>10)
}
