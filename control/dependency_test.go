package control

import (
	"math"
	"math/rand"
	"testing"
)

func TestCallAttempts(t *testing.T) {
	cases := []struct {
		name    string
		repeat  Idempotency
		skip    float64
		outcome Outcome
		times   int // the call ends so, this often
		want    ActionKind
	}{
		{"call of an idempotent RPC is made again", Idempotent, 0, OutcomeTimedOut, 1, Call},
		{"call of a tokened one that may have run is not", IdempotencyKeyed, 0, OutcomeTimedOut, 1, Abort},
		{"nor that of a non-idempotent one", NonIdempotent, 0, OutcomeReset, 1, Abort},
		{"proven not run it is", NonIdempotent, 0, OutcomeRejected, 1, Call},
		{"after two it goes without where that counts", Idempotent, 0.3, OutcomeRejected, 2, SkipCall},
		{"after three it is aborted", Idempotent, 0, OutcomeRejected, 3, Abort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.methods[0].Idempotency, s.methods[0].DegradedFraction, s.methods[0].DedupWindow = c.repeat, c.skip, 5000
			w := newHarness(t, s)
			w.arrive(1, Event{})
			w.handle(Event{Kind: AwaitingCall, RPC: 1})
			if !w.did(Call, 1) {
				t.Fatalf("no call: %+v", w.lastActions)
			}
			for range c.times {
				w.handle(Event{Kind: CallCompleted, RPC: 1, Outcome: c.outcome, Elapsed: 5})
			}
			if !w.did(c.want, 1) {
				t.Errorf("got %+v", w.lastActions)
			}
		})
	}
}

func TestSharedCallsStayWithinShare(t *testing.T) {
	k := callLimiter{share: 3.7, limit: 3.7, linger: 200, window: 5000}
	n := 0
	for k.acquire(0, 1000) > 0 {
		n++
	}
	if n != 3 {
		t.Errorf("%d calls in flight", n)
	}
	k.release(100, 100, OutcomeTimedOut)
	if k.acquire(299, 1000) > 0 {
		t.Error("an abandoned call no longer counts while it lingers")
	}
	for k.inFlight > 0 {
		k.release(300, 1, OutcomeOK)
	}
	if k.acquire(300, 1000) != 1000 {
		t.Error("it counts after that")
	}
}

// A share under one call holds in the mean of every window, whenever and however much the dependency slows down: calls are as
// many as may be, and each ends by the time that it was given, or is given up then.
func TestShareUnderOneCall(t *testing.T) {
	const over, linger = 5000.0, 200.0
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		share := 0.1 + 0.89*r.Float64()
		k := callLimiter{share: share, limit: share, linger: linger, window: over}
		slowFrom, times := 20000*r.Float64(), 2+20*r.Float64()
		var busy []span
		until, began, how := 0.0, 0.0, OutcomeOK
		for now := 0.0; now < 40000; now += 5 {
			if k.inFlight > 0 && now >= until {
				k.release(now, now-began, how)
				end := now
				if how != OutcomeOK {
					end += linger
				}
				busy = append(busy, span{began, end})
			}
			if k.inFlight == 0 {
				if left := k.acquire(now, 200+2000*r.Float64()); left > 0 {
					took := 40 + 200*r.Float64()
					if now > slowFrom {
						took *= times
					}
					began, until, how = now, now+5*math.Floor(math.Min(took, left)/5), OutcomeOK
					if took > left {
						how = OutcomeTimedOut
					}
				}
			}
			sum := 0.0
			for _, s := range busy {
				sum += math.Max(0, math.Min(s.to, now)-math.Max(s.from, now-over))
			}
			if k.inFlight > 0 {
				sum += now - began
			}
			if sum > share*over+1e-6 {
				t.Fatalf("seed %d: %.0f ms in flight in the %.0f to %.0f, %.0f is the share", seed, sum, over, now, share*over)
			}
		}
		total := 0.0
		for _, s := range busy {
			total += s.to - s.from
		}
		if share*over > 2*(linger+400) && total < 0.4*share*40000 {
			t.Errorf("seed %d: %.2f of the share %.2f is used", seed, total/share/40000, share)
		}
	}
}

// A crowded dependency stays crowded; fewer calls are made until it is fast again.
func TestFewerCallsToSlowDependency(t *testing.T) {
	k := callLimiter{share: 20, limit: 20, linger: 200}
	play := func(n int, spent float64) float64 {
		for range n {
			k.acquire(0, 1000)
			k.release(0, spent, OutcomeOK)
		}
		return k.limit
	}
	if m := play(50, 40); m != 20 {
		t.Errorf("%v calls while it is quick", m)
	}
	if m := play(50, 400); m > 2 {
		t.Errorf("%v calls while it is ten times slower", m)
	}
	if m := play(250, 40); m < 15 {
		t.Errorf("%v calls long after", m)
	}
}

// Neither an answer nor a caller that is gone ends a call: it goes on at the dependency until its own end, and counts until then.
func TestCallOutlivesItsRPC(t *testing.T) {
	s := defaultSetup()
	s.dependency = Dependency{ConcurrencyShare: 2.2, Linger: 200, AveragingWindow: 5000}
	s.node.Cores = 8
	w := newHarness(t, s)
	for id := uint32(1); id <= 3; id++ {
		w.arrive(id, Event{Remaining: 3000})
		w.handle(Event{Kind: AwaitingCall, RPC: id})
	}
	if !w.did(Call, 2) && w.did(Call, 3) {
		t.Fatalf("calls %+v", w.lastActions)
	}
	w.handle(Event{Kind: CallerGone, RPC: 1})
	w.handle(Event{Kind: CallerGone, RPC: 2})
	w.now += 400 // after what an abandoned call lingers
	w.handle(Event{Kind: TimerFired, Label: 0})
	if w.did(Call, 3) {
		t.Fatal("a third call while two go on at the dependency")
	}
	w.handle(Event{Kind: CallCompleted, RPC: 1, Outcome: OutcomeOK, Elapsed: 400})
	if !w.did(Call, 3) {
		t.Errorf("no call though one has ended: %+v", w.lastActions)
	}
	w.handle(Event{Kind: Completed, RPC: 1, Outcome: OutcomeCancelled, Elapsed: 400})
	w.handle(Event{Kind: CallCompleted, RPC: 2, Outcome: OutcomeTimedOut, Elapsed: 400})
	w.handle(Event{Kind: Completed, RPC: 2, Outcome: OutcomeCancelled, Elapsed: 400})
	if w.controller.calls.inFlight != 1 || w.controller.runningCount != 0 {
		t.Errorf("%d calls in flight, %d running", w.controller.calls.inFlight, w.controller.runningCount)
	}
}

// Where the dependency has no capacity, an RPC that may skip its call does so at once; one that may not waits.
func TestNoDependencyCapacity(t *testing.T) {
	for _, skip := range []float64{0, 0.6} {
		s := defaultSetup()
		s.dependency = Dependency{ConcurrencyShare: 1, Linger: 200, AveragingWindow: 5000}
		s.methods[0].DegradedFraction = skip
		w := newHarness(t, s)
		w.arrive(1, Event{Remaining: 3000})
		w.arrive(2, Event{Remaining: 3000})
		w.handle(Event{Kind: AwaitingCall, RPC: 1})
		w.handle(Event{Kind: AwaitingCall, RPC: 2})
		if w.did(SkipCall, 2) != (skip > 0) || w.did(Call, 2) {
			t.Errorf("where %g is kept without the call: %+v", skip, w.lastActions)
		}
	}
}
