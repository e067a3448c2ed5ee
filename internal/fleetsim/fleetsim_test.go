package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"testing"
	"time"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/standin/script"
)

func parseScript(t testing.TB, text string, n int) script.Script {
	t.Helper()
	s, err := script.Parse(text, ServerNames(n))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func run(t testing.TB, o Options) *Result {
	t.Helper()
	r := New(o).Run()
	for _, f := range r.Findings {
		t.Errorf("%v", f)
	}
	return r
}

func TestQueueOrder(t *testing.T) {
	var q queue
	rng := rand.New(rand.NewPCG(1, 1))
	var all []event
	for i := range 5000 {
		e := event{at: float64(rng.IntN(300)), subject: int32(i)}
		q.put(e)
		e.sequence = uint64(i + 1)
		all = append(all, e)
		if rng.IntN(3) == 0 {
			sort.Slice(all, func(i, k int) bool { return all[i].before(&all[k]) })
			if got := q.take(); got.subject != all[0].subject {
				t.Fatalf("took %d, want %d", got.subject, all[0].subject)
			}
			all = all[1:]
		}
	}
}

// Without faults all views are complete, every RPC is finished, and most are served.
func TestWithoutFaults(t *testing.T) {
	r := run(t, Options{Servers: 8, Zones: 2, Seed: 1, DurationMs: 40e3, RatePerServer: 50, Cores: 2, MeanWorkMs: 20})
	if r.SettledMs > 10e3 || r.SettledMs < 0 {
		t.Errorf("settled after %g ms", r.SettledMs)
	}
	if r.OK < 9*r.Offered/10 || r.Offered < 10000 {
		t.Errorf("%+v", r)
	}
}

// Known faults, each played until views must have settled.
func TestKnownFaults(t *testing.T) {
	for name, text := range map[string]string{
		"halves":                       "10s split n0,n1,n2,n3|n4,n5,n6,n7\n20s heal",
		"heals as another begins":      "10s split n0,n1,n2,n3|n4,n5,n6,n7\n20s heal\n20s split n0,n4|n1,n2,n3,n5,n6,n7\n30s heal",
		"a third stopped":              "10s stop n1,n4\n15s cont n1,n4",
		"stopped over a split":         "10s stop n1\n11s split n0,n1|n2,n3,n4,n5,n6,n7\n16s cont n1\n25s heal",
		"killed and back":              "10s kill n2\n10500ms start n2",
		"all at once":                  "10s kill *\n11s start *",
		"one way":                      "10s cut n3>*\n20s heal",
		"loss, delay, mess":            "10s loss *>* 0.3\n10s delay *>* 150ms 150ms\n10s mess *>* 0.1\n20s heal",
		"a clock 10% fast":             "0s rate n5 1.1\n10s kill n1\n20s start n1",
		"clocks that step":             "10s jump n1 60s\n15s jump n2 -60s",
		"an engine slow, then failing": "10s speed n1 0.1\n20s speed n1 1\n20s fail n1 0.9\n25s fail n1 0",
		"drained and back":             "10s term n6\n20s start n6",
		"drained while it is stopped":  "10s term n6\n10s stop n6\n15s cont n6\n20s start n6",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := run(t, Options{
				Servers: 8, Zones: 2, Seed: 3, DurationMs: 46e3, RatePerServer: 10, Cores: 2, MeanWorkMs: 20, SlowStartMs: 2000,
				Script: parseScript(t, text, 8),
			})
			for i, s := range r.FinalStates {
				if s != health.Complete {
					t.Errorf("server %d hears %s at the end", i, s)
				}
			}
		})
	}
}

// A seed determines the run, whatever GOMAXPROCS is; another seed gives another run.
func TestDeterministic(t *testing.T) {
	o := Options{
		Servers: 12, Zones: 3, Seed: 5, DurationMs: 40e3, RatePerServer: 20, Cores: 2, MeanWorkMs: 30, SlowStartMs: 1000,
		Script: script.Random(5, ServerNames(12), 20*time.Second, 4),
	}
	digests := map[uint64]bool{}
	for _, procs := range []int{1, runtime.NumCPU(), 2} {
		was := runtime.GOMAXPROCS(procs)
		digests[New(o).Run().Digest] = true
		runtime.GOMAXPROCS(was)
	}
	if len(digests) != 1 {
		t.Errorf("%d different runs of one seed", len(digests))
	}
	o.Seed++
	if digests[New(o).Run().Digest] {
		t.Error("another seed gives the same run")
	}
}

// randomRun configures 20 servers with random faults over half a minute.
func randomRun(seed int64, injected injectedFault) (Options, script.Script) {
	n := 20
	s := script.Random(seed, ServerNames(n), 30*time.Second, 4)
	return Options{
		Servers: n, Zones: 3, Seed: uint64(seed), DurationMs: 55e3, RatePerServer: 5, Cores: 2, MeanWorkMs: 20, SlowStartMs: 1000,
		Script: s, injected: injected,
	}, s
}

func TestRandomSchedules(t *testing.T) {
	seeds := int64(8) // valveexperiment run fleet-sim plays a thousand
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o, s := randomRun(seed, noInjectedFault)
			if r := New(o).Run(); len(r.Findings) > 0 {
				t.Errorf("%v\nvalveexperiment run fleet-sim --seeds %d..%d\n%s", r.Findings, seed, seed, s)
			}
		})
	}
}

// Random schedules find the faults injected into the servers within some seeds, and shrink to a few steps.
func TestInjectedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		injected injectedFault
		checker  string
		from     int64 // the seeds from 100 on do not find it before
	}{
		"a server that wakes goes by its old knowledge": {staleAfterStall, "judgement", 118},
		"silence is taken for departure":                {silenceIsDeparture, "bounds", 100},
		"who was lost once is never heard again":        {neverAliveAgain, "views", 100},
		"answers come twice":                            {duplicateAnswers, "rules", 100},
		"an answer never comes":                         {missingAnswers, "rules", 100},
		"a purchase runs twice":                         {duplicateRuns, "rules", 100},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const within = 60 // seeds
			for seed := c.from; seed < 100+within; seed++ {
				o, s := randomRun(seed, c.injected)
				fails := func(s script.Script) bool {
					o.Script = s.WithRecovery(30 * time.Second)
					for _, f := range New(o).Run().Findings {
						if f.Checker == c.checker {
							return true
						}
					}
					return false
				}
				if !fails(s) {
					continue
				}
				if less := script.Shrink(s, fails); len(less) > 5 {
					t.Errorf("seed %d: cut down to %d acts only:\n%s", seed, len(less), less)
				} else {
					t.Logf("seed %d, %d acts of %d:\n%s", seed, len(less), len(s), less)
				}
				return
			}
			t.Errorf("not found within %d seeds", within)
		})
	}
}

type binaryHeap []event

func (h binaryHeap) Len() int           { return len(h) }
func (h binaryHeap) Less(i, k int) bool { return h[i].before(&h[k]) }
func (h binaryHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *binaryHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *binaryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// BenchmarkQueue holds 100,000 events, takes the first and puts another, as a run does.
func BenchmarkQueue(b *testing.B) {
	const held = 100000
	rng := rand.New(rand.NewPCG(1, 1))
	b.Run("own", func(b *testing.B) {
		var q queue
		for range held {
			q.put(event{at: rng.Float64()})
		}
		b.ReportAllocs()
		for b.Loop() {
			e := q.take()
			e.at += rng.Float64()
			q.put(e)
		}
	})
	b.Run("container/heap", func(b *testing.B) {
		var h binaryHeap
		for i := range held {
			heap.Push(&h, event{at: rng.Float64(), sequence: uint64(i)})
		}
		b.ReportAllocs()
		for b.Loop() {
			e := heap.Pop(&h).(event)
			e.at += rng.Float64()
			heap.Push(&h, e)
		}
	})
}
