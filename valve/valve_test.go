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

// clock is one that the test moves.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// advance moves the clock, with a tick every 10 ms.
func (c *clock) advance(v *Valve, d time.Duration) {
	for end := c.now().Add(d); c.now().Before(end); {
		c.mu.Lock()
		c.at = c.at.Add(10 * time.Millisecond)
		c.mu.Unlock()
		v.Tick()
	}
}

func open(t *testing.T, change ...func(*Options)) (*Valve, *clock) {
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

// admitLater calls Admit for an RPC that may be queued.
func admitLater(ctx context.Context, v *Valve, r RPC) <-chan struct {
	*Run
	error
} {
	got := make(chan struct {
		*Run
		error
	}, 1)
	before := v.InFlight()
	go func() {
		run, err := v.Admit(ctx, r)
		got <- struct {
			*Run
			error
		}{run, err}
	}()
	for v.InFlight() == before && len(got) == 0 {
		runtime.Gosched()
	}
	return got
}

type finalHandlerFunc func(error)

func (f finalHandlerFunc) HandleFinal(err error) { f(err) }

// admitCase is one way of an RPC through a Valve.
type admitCase struct {
	name string
	run  func(t *testing.T, v *Valve, c *clock)
}

var admitCases = []admitCase{
	{"a run, completed once", func(t *testing.T, v *Valve, _ *clock) {
		r := mustAdmit(t, v, RPC{Method: "view"})
		if !r.Complete(Succeeded, Result{}) || r.Complete(Failed, Result{}) || v.InFlight() != 0 {
			t.Errorf("%d in flight", v.InFlight())
		}
	}},
	{"queued until the first ends", func(t *testing.T, v *Valve, _ *clock) {
		a := mustAdmit(t, v, RPC{Method: "view"})
		b := admitLater(context.Background(), v, RPC{Method: "view"})
		if len(b) > 0 {
			t.Fatal("not queued")
		}
		a.Complete(Succeeded, Result{})
		if got := <-b; got.error != nil {
			t.Error(got.error)
		} else {
			got.Complete(Succeeded, Result{})
		}
	}},
	{"its context ends while it is queued", func(t *testing.T, v *Valve, _ *clock) {
		a := mustAdmit(t, v, RPC{Method: "view"})
		ctx, end := context.WithCancel(context.Background())
		b := admitLater(ctx, v, RPC{Method: "view"})
		end()
		if got := <-b; !errors.Is(got.error, context.Canceled) {
			t.Error(got.error)
		}
		a.Complete(Succeeded, Result{})
	}},
	{"rejected when it is late for its objective", func(t *testing.T, v *Valve, c *clock) {
		a := mustAdmit(t, v, RPC{Method: "view"})
		b := admitLater(context.Background(), v, RPC{Method: "view"})
		c.advance(v, 1500*time.Millisecond)
		got := <-b
		var p *RejectedError
		if !errors.Is(got.error, ErrRejected) || !errors.As(got.error, &p) || p.RetryAfter <= 0 {
			t.Error(got.error)
		}
		a.Complete(Succeeded, Result{})
	}},
	{"aborted when due, its run counts until it ends", func(t *testing.T, v *Valve, c *clock) {
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
			t.Errorf("error %v, %d in flight", got, v.InFlight())
		}
		if r.Complete(Succeeded, Result{}) || v.InFlight() != 0 {
			t.Errorf("%d in flight", v.InFlight())
		}
	}},
	{"duplicates get the cached result", func(t *testing.T, v *Valve, _ *clock) {
		a := mustAdmit(t, v, RPC{Method: "buy", Token: "k", Body: []byte("x")})
		b := admitLater(context.Background(), v, RPC{Method: "buy", Token: "k", Body: []byte("x")})
		a.Complete(Succeeded, Result{[]byte("h"), []byte("done")})
		for _, r := range []*Run{(<-b).Run, mustAdmit(t, v, RPC{Method: "buy", Token: "k", Body: []byte("x")})} {
			if cached, ok := r.Cached(); !ok || string(cached.Body) != "done" || string(cached.Head) != "h" || r.Complete(Failed, Result{}) {
				t.Errorf("cached %+v", cached)
			}
		}
		if _, err := v.Admit(context.Background(), RPC{Method: "buy", Token: "k", Body: []byte("y")}); !errors.Is(err, ErrInvalidRPC) {
			t.Error(err)
		}
	}},
	{"a result that can't be cached: duplicates are aborted", func(t *testing.T, v *Valve, _ *clock) {
		mustAdmit(t, v, RPC{Method: "buy", Token: "k"}).CompleteUncached()
		var a *AbortedError
		if _, err := v.Admit(context.Background(), RPC{Method: "buy", Token: "k"}); !errors.As(err, &a) || !strings.Contains(a.Reason, "has run") {
			t.Error(err)
		}
	}},
	{"no capacity", func(t *testing.T, v *Valve, _ *clock) {
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
	{"past the grace period of a drain", func(t *testing.T, v *Valve, c *clock) {
		v.Drain(5 * time.Second)
		mustAdmit(t, v, RPC{Method: "view"}).Complete(Succeeded, Result{})
		c.advance(v, 2100*time.Millisecond)
		if _, err := v.Admit(context.Background(), RPC{Method: "view"}); !errors.Is(err, ErrRejected) || v.Healthy() {
			t.Error(err)
		}
	}},
	{"closed while one runs and one is queued", func(t *testing.T, v *Valve, _ *clock) {
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
			t.Errorf("%d in flight", v.InFlight())
		}
	}},
}

// mustAdmit is Admit, which must succeed.
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
			v, clock := open(t)
			c.run(t, v, clock)
		})
	}
}

func TestOptions(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"Methods: at least one": func(o *Options) { o.Methods = nil },
		"Name: one of its own":  func(o *Options) { o.Methods[1].Name = "view" },
		"DedupWindow: how long": func(o *Options) { o.Methods[1].DedupWindow = 0 },
		"Criticality":           func(o *Options) { o.Methods[0].Criticality = -1 },
		"LateFraction":          func(o *Options) { o.Methods[0].LateFraction = 2 },
		"Memory":                func(o *Options) { o.Memory = -1 },
		"Customers[0]":          func(o *Options) { o.Customers = []Customer{{}} },
	} {
		o := Options{Methods: []Method{{Name: "view"}, {Name: "buy", Idempotency: IdempotencyKeyed, DedupWindow: time.Second}}}
		change(&o)
		if _, err := New(o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}

// TestByItself has several valves in one process tick by themselves, admit RPCs of many goroutines and leave none behind.
func TestByItself(t *testing.T) {
	var all []*Valve
	for range 3 {
		v, err := New(Options{Methods: []Method{{Name: "view"}}, Cores: 4, MaxRunsPerCore: 64})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, v)
	}
	var wg sync.WaitGroup
	for _, v := range all {
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
	for _, v := range all {
		if v.InFlight() != 0 {
			t.Errorf("%d in flight", v.InFlight())
		}
		v.Close()
		v.Close()
	}
}

// TestStore checks that with a store a duplicate after a restart gets the first result, and that a folder of another server is
// an error.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	withStore := func(server string) func(*Options) {
		return func(o *Options) { o.Store, o.Clock = &StoreOptions{Dir: dir, Server: server}, time.Now }
	}
	v, _ := open(t, withStore("a"))
	r, err := v.Admit(context.Background(), RPC{Method: "buy", Token: "k", Body: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	r.Complete(Succeeded, Result{[]byte("h"), []byte("done")})
	for v.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if s, has := v.StoreStatus(); !has || s.Records != 2 || s.Broken || s.Segments != 1 {
		t.Errorf("state %+v", s)
	}
	v.Close()
	v, _ = open(t, withStore("a"))
	if r, err := v.Admit(context.Background(), RPC{Method: "buy", Token: "k", Body: []byte("x")}); err != nil {
		t.Error(err)
	} else if a, is := r.Cached(); !is || string(a.Body) != "done" || string(a.Head) != "h" {
		t.Errorf("cached %+v", a)
	}
	v.Close()
	o := Options{Methods: []Method{{Name: "view"}}, Store: &StoreOptions{Dir: dir, Server: "b"}}
	if _, err := New(o); err == nil || !strings.Contains(err.Error(), "another server") {
		t.Error(err)
	}
}

// TestGauges reads the gauges of a process that spins, and of one that waits.
func TestGauges(t *testing.T) {
	g := newProcessGauges(1)
	spins := 0
	look := func(d time.Duration, spin bool) (got Gauges) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			if spin {
				for range 1000 {
				}
			} else {
				time.Sleep(20 * time.Millisecond)
			}
			if x, known := g.read(); known {
				got = x
			}
			if spin {
				for stop := time.Now().Add(20 * time.Millisecond); time.Now().Before(stop); {
					spins++
				}
			}
		}
		return got
	}
	if busy := look(700*time.Millisecond, true); busy.CPUUtilization < 0.3 {
		t.Errorf("busy %+v", busy)
	}
	if idle := look(700*time.Millisecond, false); idle.CPUUtilization > 0.3 {
		t.Errorf("idle %+v", idle)
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
	var pushed *RejectedError
	switch {
	case errors.As(err, &pushed):
		fmt.Println("return after", pushed.RetryAfter)
	case err != nil:
		fmt.Println(err)
	default:
		fmt.Println("runs")
		run.Complete(Succeeded, Result{})
	}
	// Output: runs
}
