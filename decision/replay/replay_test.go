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

func settings() *Settings {
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

// arrivals returns some seconds of load as a share of the machine's capacity, without the completions that a recorder sees.
func arrivals(load float64, seconds int, seed int64) (steps []Step) {
	random := rand.New(rand.NewSource(seed))
	steps = append(steps, Step{Event: control.Event{Kind: control.Started}})
	id, token := uint32(0), uint64(0)
	for at := 0.0; at < float64(seconds)*1000; {
		at += random.ExpFloat64() * 40 / 4 / load
		id++
		ev := control.Event{Kind: control.Arrived, RPC: id, Caller: uint16(random.Intn(3)), Customer: random.Intn(2), CostHint: 8 + 32*random.ExpFloat64(), QueuedKB: 10, Age: 1}
		s := Step{Now: at, Event: ev}
		if random.Intn(8) == 0 {
			s.Event.Method, s.Token = 1, token+1
			if token++; random.Intn(3) == 0 && token > 1 {
				s.Token = token - 1 // a repeat
			}
		}
		steps = append(steps, s)
		if random.Intn(20) == 0 {
			steps = append(steps, Step{Now: at + 1, Event: control.Event{Kind: control.CallerGone, RPC: id}})
		}
	}
	return steps
}

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

// Each arrival completes exactly once, the same steps give the same completions, and more load has more RPCs rejected.
func TestSimulate(t *testing.T) {
	away := map[float64]float64{}
	for _, load := range []float64{0.5, 1.2, 2} {
		steps := arrivals(load, 30, 7)
		var runs [2][]Completion
		for k := range runs {
			if err := Simulate(settings(), feed(steps), func(f Completion) { runs[k] = append(runs[k], f) }); err != nil {
				t.Fatal(err)
			}
		}
		seen, n := map[int]bool{}, 0
		for _, s := range steps {
			if s.Event.Kind == control.Arrived {
				n++
			}
		}
		for i, f := range runs[0] {
			if seen[f.ArrivalIndex] {
				t.Fatalf("RPC %d ended twice", f.ArrivalIndex)
			}
			seen[f.ArrivalIndex] = true
			if f != runs[1][i] {
				t.Fatalf("end %d differs: %+v and %+v", i, f, runs[1][i])
			}
			if f.Verdict.NoResult() {
				away[load]++
			}
			if f.CompletedMS > f.ArrivedMS+1000+1 {
				t.Errorf("RPC %d ended %g ms after its arrival", f.ArrivalIndex, f.CompletedMS-f.ArrivedMS)
			}
		}
		if len(seen) != n {
			t.Errorf("load %g: %d of %d ended", load, len(seen), n)
		}
		away[load] /= float64(n)
	}
	if away[0.5] > 0.02 || away[1.2] < 0.05 || away[2] < away[1.2]+0.1 {
		t.Errorf("turned away %v", away)
	}
}

// Two controllers give the same verdicts on the same events; a changed setting or verdict is found.
func TestVerify(t *testing.T) {
	s := settings()
	c := s.newController()
	var steps []Step
	rec := func(now float64, ev control.Event) []control.Action {
		x := Step{Now: now, Event: ev}
		all := append([]control.Action(nil), c.Handle(now, ev)...)
		for _, a := range all {
			if isVerdict(a.Kind) {
				x.Actions = append(x.Actions, a)
			}
		}
		steps = append(steps, x)
		return all
	}
	rec(0, control.Event{Kind: control.Started})
	wake := 40.0
	for _, x := range arrivals(1.5, 10, 5)[1:] {
		for wake <= x.Now {
			for _, a := range rec(wake, control.Event{Kind: control.TimerFired}) {
				if a.Kind == control.SetTimer {
					wake = a.Time
				}
			}
		}
		for _, a := range rec(x.Now, x.Event) {
			if a.Kind == control.Run {
				rec(x.Now+0.1, control.Event{Kind: control.Completed, RPC: a.RPC, Outcome: control.OutcomeOK, Elapsed: 30})
			}
		}
	}
	cases := []struct {
		name   string
		change func([]Step, *Settings)
		parts  bool
	}{
		{"as it was", func([]Step, *Settings) {}, false},
		{"another seed", func(_ []Step, s *Settings) { s.Node.Seed++ }, false}, // nothing was drawn at random: nothing was late
		{"a verdict changed", func(x []Step, _ *Settings) { x[20].Actions = []control.Action{{Kind: control.Abort, RPC: 1}} }, true},
		{"another setting", func(_ []Step, s *Settings) { s.Methods[0].LatencyObjective = 30 }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, own := settings(), append([]Step(nil), steps...)
			c.change(own, s)
			parts, ends := 0, 0
			n, err := Verify(s, feed(own), func(Divergence) { parts++ }, func(Completion) { ends++ })
			if err != nil || n != len(steps) || (parts > 0) != c.parts || ends == 0 {
				t.Errorf("%d of %d steps, %d partings, %d ends, error %v", n, len(steps), parts, ends, err)
			}
		})
	}
	if _, err := Verify(settings(), feed(steps[5:]), func(Divergence) {}, func(Completion) {}); !errors.Is(err, ErrMissingStart) {
		t.Errorf("error %v of a trace without its beginning", err)
	}
}

func BenchmarkSimulate(b *testing.B) {
	steps := arrivals(1.2, 60, 1)
	b.ReportAllocs()
	for b.Loop() {
		if err := Simulate(settings(), feed(steps), func(Completion) {}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(steps))*float64(b.N)/b.Elapsed().Seconds(), "steps/s")
}

var arrivalsFlag = flag.Int("arrivals", 200000, "of the test of bounded memory; 10 million take half a minute")

// A trace of any length is replayed in the memory of what is in flight.
func TestBounded(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	n, at := 0, 0.0
	next := func() (Step, error) {
		if n == *arrivalsFlag {
			return Step{}, io.EOF
		}
		n++
		at += random.ExpFloat64() * 8
		s := Step{Now: at, Event: control.Event{Kind: control.Arrived, RPC: uint32(n), Customer: n % 2, Caller: uint16(n % 3), CostHint: 10 + 30*random.ExpFloat64(), QueuedKB: 10}}
		if n%9 == 0 {
			s.Event.Method, s.Token = 1, uint64(n)
		}
		return s, nil
	}
	var m runtime.MemStats
	ends, most := 0, uint64(0)
	if err := Simulate(settings(), next, func(Completion) {
		if ends++; ends%50000 == 0 {
			runtime.GC()
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
		}
	}); err != nil {
		t.Fatal(err)
	}
	if ends != *arrivalsFlag || most > 32<<20 {
		t.Errorf("%d ends of %d, %d KB of heap", ends, *arrivalsFlag, most>>10)
	}
	t.Logf("%d KB of heap at the most", most>>10)
}
