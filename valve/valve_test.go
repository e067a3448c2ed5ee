package valve

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clock is a clock that the test advances.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// advance advances the clock by d, with a tick every 10 ms.
func (c *clock) advance(v *Valve, d time.Duration) {
	for end := c.now().Add(d); c.now().Before(end); {
		c.mu.Lock()
		c.at = c.at.Add(10 * time.Millisecond)
		c.mu.Unlock()
		v.Tick()
	}
}

func newTestValve(t *testing.T, change ...func(*Options)) (*Valve, *clock) {
	c := &clock{at: time.UnixMilli(1_700_000_000_000)}
	o := Options{
		Methods: []Method{{Name: "view", LatencyObjective: time.Second}, {Name: "buy", LatencyObjective: time.Second, Idempotency: IdempotencyKeyed, DedupWindow: 8 * time.Second, Criticality: 3}},
		Cores:   1, Clock: c.now, MaxRetryAfter: time.Second, Gauges: func() (Gauges, bool) { return Gauges{}, false },
	}
	for _, f := range change {
		f(&o)
	}
	v, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	return v, c
}

// admitLater calls Admit in a goroutine, for an RPC that may be queued, and returns once the RPC is in flight or has a result.
func admitLater(ctx context.Context, v *Valve, r RPC) <-chan struct {
	*Run
	error
} {
	results := make(chan struct {
		*Run
		error
	}, 1)
	before := v.InFlight()
	go func() {
		run, err := v.Admit(ctx, r)
		results <- struct {
			*Run
			error
		}{run, err}
	}()
	for v.InFlight() == before && len(results) == 0 {
		runtime.Gosched()
	}
	return results
}

type finalHandlerFunc func(error)

func (f finalHandlerFunc) HandleFinal(err error) { f(err) }

// admitCase is a test case of TestAdmit.
type admitCase struct {
	name string
	run  func(t *testing.T, v *Valve, c *clock)
}

var admitCases = []admitCase{
	{"run completed once", func(t *testing.T, v *Valve, _ *clock) {
		r := mustAdmit(t, v, RPC{Method: "view"})
		if !r.Complete(Succeeded, Result{}) || r.Complete(Failed, Result{}) || v.InFlight() != 0 {
			t.Errorf("only the first Complete must return true; RPCs in flight: got %d, want 0", v.InFlight())
		}
	}},
	{"queued until the first run ends", func(t *testing.T, v *Valve, _ *clock) {
		a := mustAdmit(t, v, RPC{Method: "view"})
		b := admitLater(context.Background(), v, RPC{Method: "view"})
		if len(b) > 0 {
			t.Fatal("second RPC was not queued")
		}
		a.Complete(Succeeded, Result{})
		if got := <-b; got.error != nil {
			t.Error(got.error)
		} else {
			got.Complete(Succeeded, Result{})
		}
	}},
	{"context ends while the RPC is queued", func(t *testing.T, v *Valve, _ *clock) {
		a := mustAdmit(t, v, RPC{Method: "view"})
		ctx, cancel := context.WithCancel(context.Background())
		b := admitLater(ctx, v, RPC{Method: "view"})
		cancel()
		if got := <-b; !errors.Is(got.error, context.Canceled) {
			t.Error(got.error)
		}
		a.Complete(Succeeded, Result{})
	}},
	{"rejected when the latency objective can no longer be met", func(t *testing.T, v *Valve, c *clock) {
		a := mustAdmit(t, v, RPC{Method: "view"})
		b := admitLater(context.Background(), v, RPC{Method: "view"})
		c.advance(v, 1500*time.Millisecond)
		got := <-b
		var rejected *RejectedError
		if !errors.Is(got.error, ErrRejected) || !errors.As(got.error, &rejected) || rejected.RetryAfter <= 0 {
			t.Error(got.error)
		}
		a.Complete(Succeeded, Result{})
	}},
	{"aborted when due; the run counts as in flight until it ends", func(t *testing.T, v *Valve, c *clock) {
		r := mustAdmit(t, v, RPC{Method: "view"})
		var got error
		r.NotifyFinal(finalHandlerFunc(func(err error) { got = err }))
		c.advance(v, 1900*time.Millisecond)
		if got != nil {
			t.Fatal(got)
		}
		c.advance(v, 100*time.Millisecond)
		var a *AbortedError
		if !errors.As(got, &a) || !a.Overdue || !errors.Is(got, ErrAborted) || v.InFlight() != 1 {
			t.Errorf("final error %v, RPCs in flight: got %d, want 1", got, v.InFlight())
		}
		if r.Complete(Succeeded, Result{}) || v.InFlight() != 0 {
			t.Errorf("Complete after the final error must return false; RPCs in flight: got %d, want 0", v.InFlight())
		}
	}},
	{"duplicates get the cached result", func(t *testing.T, v *Valve, _ *clock) {
		a := mustAdmit(t, v, RPC{Method: "buy", Token: "k", Body: []byte("x")})
		b := admitLater(context.Background(), v, RPC{Method: "buy", Token: "k", Body: []byte("x")})
		a.Complete(Succeeded, Result{[]byte("h"), []byte("done")})
		for _, r := range []*Run{(<-b).Run, mustAdmit(t, v, RPC{Method: "buy", Token: "k", Body: []byte("x")})} {
			if cached, ok := r.Cached(); !ok || string(cached.Body) != "done" || string(cached.Head) != "h" || r.Complete(Failed, Result{}) {
				t.Errorf("result of a duplicate, for which Complete must return false: got %+v", cached)
			}
		}
		if _, err := v.Admit(context.Background(), RPC{Method: "buy", Token: "k", Body: []byte("y")}); !errors.Is(err, ErrInvalidRPC) {
			t.Error(err)
		}
	}},
	{"duplicates are aborted if the result can't be cached", func(t *testing.T, v *Valve, _ *clock) {
		mustAdmit(t, v, RPC{Method: "buy", Token: "k"}).CompleteUncached()
		var a *AbortedError
		if _, err := v.Admit(context.Background(), RPC{Method: "buy", Token: "k"}); !errors.As(err, &a) || !strings.Contains(a.Reason, "has run") {
			t.Error(err)
		}
	}},
	{"no capacity: the token can be used again", func(t *testing.T, v *Valve, _ *clock) {
		r := mustAdmit(t, v, RPC{Method: "buy", Token: "k"})
		r.Complete(NoCapacity, Result{})
		mustAdmit(t, v, RPC{Method: "buy", Token: "k"}).Complete(Succeeded, Result{})
	}},
	{"invalid RPCs", func(t *testing.T, v *Valve, _ *clock) {
		for _, r := range []RPC{{Method: "sell"}, {Method: "buy"}} {
			if _, err := v.Admit(context.Background(), r); !errors.Is(err, ErrInvalidRPC) {
				t.Error(err)
			}
		}
	}},
	{"rejected after the grace period of a drain", func(t *testing.T, v *Valve, c *clock) {
		v.Drain(5 * time.Second)
		mustAdmit(t, v, RPC{Method: "view"}).Complete(Succeeded, Result{})
		c.advance(v, 2100*time.Millisecond)
		if _, err := v.Admit(context.Background(), RPC{Method: "view"}); !errors.Is(err, ErrRejected) || v.Healthy() {
			t.Error(err)
		}
	}},
	{"Close with a running and a queued RPC", func(t *testing.T, v *Valve, _ *clock) {
		a := mustAdmit(t, v, RPC{Method: "view"})
		final := make(chan error, 1)
		a.NotifyFinal(finalHandlerFunc(func(err error) { final <- err }))
		b := admitLater(context.Background(), v, RPC{Method: "view"})
		v.Close()
		if got := <-b; !errors.Is(got.error, ErrRejected) {
			t.Error(got.error)
		}
		if err := <-final; !errors.Is(err, ErrAborted) {
			t.Error(err)
		}
		if _, err := v.Admit(context.Background(), RPC{Method: "view"}); !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
		if a.Complete(Succeeded, Result{}) || v.InFlight() != 0 {
			t.Errorf("Complete after Close must return false; RPCs in flight: got %d, want 0", v.InFlight())
		}
	}},
}

// mustAdmit calls Admit and fails the test on an error.
func mustAdmit(t *testing.T, v *Valve, r RPC) *Run {
	t.Helper()
	run, err := v.Admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return run
}

func TestAdmit(t *testing.T) {
	for _, c := range admitCases {
		t.Run(c.name, func(t *testing.T) {
			v, clock := newTestValve(t)
			c.run(t, v, clock)
		})
	}
}

func TestOptions(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"Methods: must have at least one": func(o *Options) { o.Methods = nil },
		"Name: must be unique":            func(o *Options) { o.Methods[1].Name = "view" },
		"DedupWindow: must be a time > 0": func(o *Options) { o.Methods[1].DedupWindow = 0 },
		"Criticality":                     func(o *Options) { o.Methods[0].Criticality = -1 },
		"LateFraction":                    func(o *Options) { o.Methods[0].LateFraction = 2 },
		"Memory":                          func(o *Options) { o.Memory = -1 },
		"Customers[0]":                    func(o *Options) { o.Customers = []Customer{{}} },
	} {
		o := Options{Methods: []Method{{Name: "view"}, {Name: "buy", Idempotency: IdempotencyKeyed, DedupWindow: time.Second}}}
		change(&o)
		if _, err := New(o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New: got error %v, want %q", err, want)
		}
	}
}

// TestOwnTicker checks that several valves in one process tick by themselves, admit RPCs of several goroutines and have none
// in flight afterwards.
func TestOwnTicker(t *testing.T) {
	var valves []*Valve
	for range 3 {
		v, err := New(Options{Methods: []Method{{Name: "view"}}, Cores: 4, MaxRunsPerCore: 64})
		if err != nil {
			t.Fatal(err)
		}
		valves = append(valves, v)
	}
	var wg sync.WaitGroup
	for _, v := range valves {
		for range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range 200 {
					r, err := v.Admit(context.Background(), RPC{Method: "view"})
					if err != nil {
						continue
					}
					runtime.Gosched()
					r.Complete(Succeeded, Result{})
				}
			}()
		}
	}
	wg.Wait()
	for _, v := range valves {
		if v.InFlight() != 0 {
			t.Errorf("RPCs in flight: got %d, want 0", v.InFlight())
		}
		v.Close()
		v.Close()
	}
}

// TestStore checks that, with a store, a duplicate after a restart gets the first result, and that New fails for the directory
// of another server.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	withStore := func(server string) func(*Options) {
		return func(o *Options) { o.Store, o.Clock = &StoreOptions{Dir: dir, Server: server}, time.Now }
	}
	v, _ := newTestValve(t, withStore("a"))
	r, err := v.Admit(context.Background(), RPC{Method: "buy", Token: "k", Body: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	r.Complete(Succeeded, Result{[]byte("h"), []byte("done")})
	for v.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if s, ok := v.StoreStatus(); !ok || s.Records != 2 || s.Broken || s.Segments != 1 {
		t.Errorf("store status: got %+v", s)
	}
	v.Close()
	v, _ = newTestValve(t, withStore("a"))
	if r, err := v.Admit(context.Background(), RPC{Method: "buy", Token: "k", Body: []byte("x")}); err != nil {
		t.Error(err)
	} else if cached, ok := r.Cached(); !ok || string(cached.Body) != "done" || string(cached.Head) != "h" {
		t.Errorf("cached result after restart: got %+v", cached)
	}
	v.Close()
	o := Options{Methods: []Method{{Name: "view"}}, Store: &StoreOptions{Dir: dir, Server: "b"}}
	if _, err := New(o); err == nil || !strings.Contains(err.Error(), "another server") {
		t.Error(err)
	}
}

// TestGauges checks the CPU utilization of a process that spins, and of one that is idle.
func TestGauges(t *testing.T) {
	g := newProcessGauges(1)
	spins := 0
	measure := func(d time.Duration, spin bool) (last Gauges) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			if spin {
				for range 1000 {
				}
			} else {
				time.Sleep(20 * time.Millisecond)
			}
			if gauges, ok := g.read(); ok {
				last = gauges
			}
			if spin {
				for stop := time.Now().Add(20 * time.Millisecond); time.Now().Before(stop); {
					spins++
				}
			}
		}
		return last
	}
	if busy := measure(700*time.Millisecond, true); busy.CPUUtilization < 0.3 {
		t.Errorf("gauges while busy: got %+v", busy)
	}
	if idle := measure(700*time.Millisecond, false); idle.CPUUtilization > 0.3 {
		t.Errorf("gauges while idle: got %+v", idle)
	}
}

func ExampleValve_Admit() {
	v, err := New(Options{Methods: []Method{{Name: "account-view", LatencyObjective: 500 * time.Millisecond}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer v.Close()
	run, err := v.Admit(context.Background(), RPC{Method: "account-view"})
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected):
		fmt.Println("retry after", rejected.RetryAfter)
	case err != nil:
		fmt.Println(err)
	default:
		fmt.Println("runs")
		run.Complete(Succeeded, Result{})
	}
	// Output: runs
}
