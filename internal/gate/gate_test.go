package gate

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

const testSettings = "classes.count=2\nclasses.0.name=view\nclasses.0.aim=1000000000\nclasses.0.give_up=2000000000\n" +
	"classes.1.name=buy\nclasses.1.aim=1000000000\nclasses.1.give_up=2000000000\n" +
	"classes.1.idempotency=idempotency_key\nclasses.1.window=8000000000\n" +
	"customers.count=1\ncustomers.0.name=acme\nfamily_info.cores=2\nfamily_info.ram_kb=100000\n" +
	"family_info.meters=core_use,on_cores\nrules.tip_multiple=8\nrules.drain_grace=1000000000\n" +
	"limits.max_retry_after=1000000000\nrules.cold=10000000000\n"

// testGate is a gate with a clock that the test moves.
type testGate struct {
	*testing.T
	*Gate
	clock    time.Time
	logLines []string
	mu       sync.Mutex
}

func open(t *testing.T, started bool) *testGate {
	o, err := startup.Parse(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	w := &testGate{T: t, clock: time.UnixMilli(1_700_000_000_000)}
	w.Gate = New(o, 64, func(s, _ string) {
		w.mu.Lock()
		w.logLines = append(w.logLines, s)
		w.mu.Unlock()
	})
	w.now = func() time.Time { return w.clock }
	if started {
		w.Start(false, 0)
	}
	return w
}

// advance moves the clock, with a tick every 10 ms.
func (w *testGate) advance(d time.Duration) {
	for end := w.clock.Add(d); w.clock.Before(end); {
		w.clock = w.clock.Add(10 * time.Millisecond)
		w.Tick(nil)
	}
}

// submit submits an RPC that arrives now.
func (w *testGate) submit(method, token string) *Ticket {
	return w.submitAt(method, token, w.clock)
}

func (w *testGate) submitAt(method, token string, arrived time.Time) *Ticket {
	w.Helper()
	t, err := w.Submit(RPC{
		Method: method, Customer: "acme", Caller: 1, ArrivedMs: unixMillis(arrived), QueuedKB: 10, Token: token, CostHintMs: 100,
	})
	if err != nil {
		w.Fatal(err)
	}
	return t
}

// expect checks the next verdict without waiting for it; -1 stands for none of any kind.
func (w *testGate) expect(t *Ticket, want VerdictKind) Verdict {
	w.Helper()
	select {
	case <-t.verdicts:
		v := t.take()
		if v.Kind != want {
			w.Fatalf("verdict %+v, want kind %d", v, want)
		}
		return v
	default:
		if want >= 0 {
			w.Fatalf("no verdict, want kind %d", want)
		}
	}
	return Verdict{}
}

func TestEnterErrors(t *testing.T) {
	cases := []struct {
		name, bad string
		rpc       RPC
	}{
		{"method", "method \"sell\"", RPC{Method: "sell", Customer: "acme"}},
		{"customer", "customer \"umbra\"", RPC{Method: "view", Customer: "umbra"}},
		{"token", "a token expected", RPC{Method: "buy", Customer: "acme"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, _, err := open(t, true).SubmitAndWait(context.Background(), c.rpc); err == nil || !strings.Contains(err.Error(), c.bad) {
				t.Errorf("error %v, want %q", err, c.bad)
			}
		})
	}
}

func TestStart(t *testing.T) {
	cases := []struct {
		name      string
		warmingUp bool
		ago       time.Duration
		low, high int // admitted of 100 callers
	}{
		{"warm", false, 0, 100, 100},
		{"warming up", true, 0, 0, 15},
		{"warming up, the engine half way", true, 2 * time.Second, 40, 80},
		{"warming up, long ago", true, time.Hour, 100, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := open(t, false)
			w.expect(w.submit("view", ""), Rejected) // before the start
			w.Start(c.warmingUp, c.ago)
			w.Start(!c.warmingUp, 0) // as for a new link to the engine
			admitted := 0
			for i := range 100 {
				a, v, err := w.SubmitAndWait(context.Background(), RPC{Method: "view", Customer: "acme", Caller: uint16(i), Subject: uint64(i), ArrivedMs: unixMillis(w.clock)})
				if err != nil {
					t.Fatal(err)
				}
				if v.Kind == Run {
					admitted++
					a.Report(Succeeded, 10, nil)
				}
			}
			if admitted < c.low || admitted > c.high {
				t.Errorf("%d of 100 admitted, want %d to %d", admitted, c.low, c.high)
			}
		})
	}
}

// TestPanic checks that a panic in the decisions costs one RPC.
func TestPanic(t *testing.T) {
	w := open(t, true)
	a := w.submit("view", "")
	w.expect(a, Run)
	good := w.controller
	w.controller = &control.Controller{} // which panics at any event
	b := w.submit("view", "")
	w.expect(b, Aborted)
	w.controller = good
	a.Report(Succeeded, 10, nil)
	w.expect(a, OK)
	if len(w.logLines) == 0 || !strings.Contains(w.logLines[0], "panic") {
		t.Errorf("log lines %q", w.logLines)
	}
}

// TestOneAnswer races all that can end an RPC: each RPC gets one final verdict and at most one run, and each token one run.
func TestOneAnswer(t *testing.T) {
	w := open(t, true)
	w.now = time.Now
	w.controller = nil
	w.Start(false, 0)
	var all sync.WaitGroup
	runs := map[string]int{}
	for i := range 300 {
		token := fmt.Sprint("k", i/3)
		ctx, leave := context.WithCancel(context.Background())
		all.Go(func() {
			a, v, err := w.SubmitAndWait(ctx, RPC{Method: []string{"view", "buy"}[i%2], Customer: "acme", ArrivedMs: unixMillis(time.Now()), Token: token})
			if err != nil {
				t.Error(err)
				return
			}
			for v.Kind == Run {
				w.mu.Lock()
				runs[token+fmt.Sprint(i%2)]++
				w.mu.Unlock()
				all.Go(leave)
				all.Go(func() { a.Report(Outcome(i%2), 1, nil) })
				all.Go(func() { a.Report(Succeeded, 1, nil) })
				v = a.Wait(ctx)
			}
			select {
			case v := <-a.verdicts:
				t.Errorf("%+v after the final verdict", v)
			default:
			}
		})
		all.Go(func() { w.Tick([]float64{1, 1}) })
		if i%7 == 0 {
			all.Go(leave)
		}
		if i == 250 {
			all.Go(func() { w.Drain(time.Second) })
		}
	}
	all.Wait()
	for i := 0; i < 1000 && w.InFlight() > 0; i++ {
		w.Tick(nil)
	}
	if n := w.InFlight(); n > 0 {
		t.Errorf("%d in flight at the end", n)
	}
	for key, n := range runs {
		if n > 1 && strings.HasSuffix(key, "1") {
			t.Errorf("token %s ran %d times", key, n)
		}
	}
}

// TestStartInDrain checks that the grace period of a drain counts from its notice, though the decisions begin after that,
// as with an engine that starts late.
func TestStartInDrain(t *testing.T) {
	for _, cold := range []bool{false, true} {
		w := open(t, false)
		w.Drain(3 * time.Second)
		w.clock = w.clock.Add(500 * time.Millisecond)
		w.Start(cold, 0)
		if w.Healthy() {
			t.Error("healthy in a drain")
		}
		if a := w.submit("view", ""); !cold {
			w.expect(a, Run)
			a.Report(Succeeded, 10, nil)
			w.expect(a, OK)
		}
		w.clock = w.clock.Add(600 * time.Millisecond)
		w.expect(w.submit("view", ""), Rejected)

		late := open(t, false)
		late.Drain(3 * time.Second)
		late.clock = late.clock.Add(1100 * time.Millisecond)
		late.Start(cold, 0)
		late.expect(late.submit("buy", "u"), Rejected)
	}
}

func TestLongest(t *testing.T) {
	if got, want := open(t, false).MaxAnswerTime(), 2060*time.Millisecond; got != want {
		t.Errorf("longest %v, want %v", got, want)
	}
}
