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

// testGate is a gate whose clock is moved by the test.
type testGate struct {
	*testing.T
	*Gate
	clock    time.Time
	logLines []string
	mu       sync.Mutex
}

// open returns a test gate, with its controller started on request.
func open(t *testing.T, started bool) *testGate {
	config, err := startup.Parse(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	tg := &testGate{T: t, clock: time.UnixMilli(1_700_000_000_000)}
	tg.Gate = New(config, 64, func(event, _ string) {
		tg.mu.Lock()
		tg.logLines = append(tg.logLines, event)
		tg.mu.Unlock()
	})
	tg.now = func() time.Time { return tg.clock }
	if started {
		tg.Start(false, 0)
	}
	return tg
}

// advance moves the clock, with a tick every 10 ms.
func (tg *testGate) advance(d time.Duration) {
	for end := tg.clock.Add(d); tg.clock.Before(end); {
		tg.clock = tg.clock.Add(10 * time.Millisecond)
		tg.Tick(nil)
	}
}

// submit submits an RPC that arrives now.
func (tg *testGate) submit(method, token string) *Ticket {
	return tg.submitAt(method, token, tg.clock)
}

// submitAt submits an RPC that reached the machine at the given time.
func (tg *testGate) submitAt(method, token string, arrived time.Time) *Ticket {
	tg.Helper()
	t, err := tg.Submit(RPC{
		Method: method, Customer: "acme", Caller: 1, ArrivedMs: unixMillis(arrived), QueuedKB: 10, Token: token, CostHintMs: 100,
	})
	if err != nil {
		tg.Fatal(err)
	}
	return t
}

// expect checks the next verdict without waiting for it. A want of -1 means that there must be no verdict.
func (tg *testGate) expect(t *Ticket, want VerdictKind) Verdict {
	tg.Helper()
	select {
	case <-t.verdicts:
		v := t.take()
		if v.Kind != want {
			tg.Fatalf("verdict: got %+v, want kind %d", v, want)
		}
		return v
	default:
		if want >= 0 {
			tg.Fatalf("verdict: got none, want kind %d", want)
		}
	}
	return Verdict{}
}

func TestSubmitErrors(t *testing.T) {
	cases := []struct {
		name, want string
		rpc        RPC
	}{
		{"method", "method \"sell\"", RPC{Method: "sell", Customer: "acme"}},
		{"customer", "customer \"umbra\"", RPC{Method: "view", Customer: "umbra"}},
		{"token", "a token expected", RPC{Method: "buy", Customer: "acme"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, _, err := open(t, true).SubmitAndWait(context.Background(), c.rpc); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("SubmitAndWait: got error %v, want %q", err, c.want)
			}
		})
	}
}

func TestStart(t *testing.T) {
	cases := []struct {
		name      string
		warmingUp bool
		ago       time.Duration
		min, max  int // admitted of 100 callers
	}{
		{"warm", false, 0, 100, 100},
		{"warming up", true, 0, 0, 15},
		{"warming up, halfway through", true, 2 * time.Second, 40, 80},
		{"warm-up ended long ago", true, time.Hour, 100, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tg := open(t, false)
			tg.expect(tg.submit("view", ""), Rejected) // before Start
			tg.Start(c.warmingUp, c.ago)
			tg.Start(!c.warmingUp, 0) // a later call does nothing, as when the engine reconnects
			admitted := 0
			for i := range 100 {
				ticket, v, err := tg.SubmitAndWait(context.Background(), RPC{Method: "view", Customer: "acme", Caller: uint16(i), Subject: uint64(i), ArrivedMs: unixMillis(tg.clock)})
				if err != nil {
					t.Fatal(err)
				}
				if v.Kind == Run {
					admitted++
					ticket.Report(Succeeded, 10, nil)
				}
			}
			if admitted < c.min || admitted > c.max {
				t.Errorf("admitted RPCs: got %d of 100, want %d to %d", admitted, c.min, c.max)
			}
		})
	}
}

// TestPanic checks that a panic in the controller aborts only the RPC concerned.
func TestPanic(t *testing.T) {
	tg := open(t, true)
	a := tg.submit("view", "")
	tg.expect(a, Run)
	working := tg.controller
	tg.controller = &control.Controller{} // panics on any event
	b := tg.submit("view", "")
	tg.expect(b, Aborted)
	tg.controller = working
	a.Report(Succeeded, 10, nil)
	tg.expect(a, OK)
	if len(tg.logLines) == 0 || !strings.Contains(tg.logLines[0], "panic") {
		t.Errorf("log lines: got %q", tg.logLines)
	}
}

// TestOneFinalVerdict races all events that can end an RPC, and checks that each RPC gets exactly one final verdict and each token
// at most one run.
func TestOneFinalVerdict(t *testing.T) {
	tg := open(t, true)
	tg.now = time.Now
	tg.controller = nil
	tg.Start(false, 0)
	var wg sync.WaitGroup
	runs := map[string]int{}
	for i := range 300 {
		token := fmt.Sprint("k", i/3)
		ctx, cancel := context.WithCancel(context.Background())
		wg.Go(func() {
			ticket, v, err := tg.SubmitAndWait(ctx, RPC{Method: []string{"view", "buy"}[i%2], Customer: "acme", ArrivedMs: unixMillis(time.Now()), Token: token})
			if err != nil {
				t.Error(err)
				return
			}
			for v.Kind == Run {
				tg.mu.Lock()
				runs[token+fmt.Sprint(i%2)]++
				tg.mu.Unlock()
				wg.Go(cancel)
				wg.Go(func() { ticket.Report(Outcome(i%2), 1, nil) })
				wg.Go(func() { ticket.Report(Succeeded, 1, nil) })
				v = ticket.Wait(ctx)
			}
			select {
			case v := <-ticket.verdicts:
				t.Errorf("got %+v after the final verdict", v)
			default:
			}
		})
		wg.Go(func() { tg.Tick([]float64{1, 1}) })
		if i%7 == 0 {
			wg.Go(cancel)
		}
		if i == 250 {
			wg.Go(func() { tg.Drain(time.Second) })
		}
	}
	wg.Wait()
	for i := 0; i < 1000 && tg.InFlight() > 0; i++ {
		tg.Tick(nil)
	}
	if n := tg.InFlight(); n > 0 {
		t.Errorf("RPCs in flight at the end: got %d, want 0", n)
	}
	for key, n := range runs {
		if n > 1 && strings.HasSuffix(key, "1") {
			t.Errorf("token %s ran %d times", key, n)
		}
	}
}

// TestStartInDrain checks that the grace period of a drain counts from its notice even if the controller starts after the
// notice, as it does if the engine starts late.
func TestStartInDrain(t *testing.T) {
	for _, warmingUp := range []bool{false, true} {
		tg := open(t, false)
		tg.Drain(3 * time.Second)
		tg.clock = tg.clock.Add(500 * time.Millisecond)
		tg.Start(warmingUp, 0)
		if tg.Healthy() {
			t.Error("healthy during a drain")
		}
		if a := tg.submit("view", ""); !warmingUp {
			tg.expect(a, Run)
			a.Report(Succeeded, 10, nil)
			tg.expect(a, OK)
		}
		tg.clock = tg.clock.Add(600 * time.Millisecond)
		tg.expect(tg.submit("view", ""), Rejected)

		late := open(t, false)
		late.Drain(3 * time.Second)
		late.clock = late.clock.Add(1100 * time.Millisecond)
		late.Start(warmingUp, 0)
		late.expect(late.submit("buy", "u"), Rejected)
	}
}

func TestMaxAnswerTime(t *testing.T) {
	if got, want := open(t, false).MaxAnswerTime(), 2060*time.Millisecond; got != want {
		t.Errorf("MaxAnswerTime: got %v, want %v", got, want)
	}
}
