package control

import (
	"math"
	"math/rand"
	"testing"
)

func TestCallAttempts(t *testing.T) {
	cases := []struct {
		name             string
		idempotency      Idempotency
		degradedFraction float64
		outcome          Outcome // of each attempt
		attempts         int
		want             ActionKind
	}{
		{"call of an idempotent RPC is retried", Idempotent, 0, OutcomeTimedOut, 1, Call},
		{"call of an idempotency-keyed RPC that may have run is not retried", IdempotencyKeyed, 0, OutcomeTimedOut, 1, Abort},
		{"call of a non-idempotent RPC that may have run is not retried", NonIdempotent, 0, OutcomeReset, 1, Abort},
		{"call of a non-idempotent RPC that did not run is retried", NonIdempotent, 0, OutcomeRejected, 1, Call},
		{"optional call is skipped after two attempts", Idempotent, 0.3, OutcomeRejected, 2, SkipCall},
		{"RPC is aborted after three attempts", Idempotent, 0, OutcomeRejected, 3, Abort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.methods[0].Idempotency, s.methods[0].DegradedFraction, s.methods[0].DedupWindow = c.idempotency, c.degradedFraction, 5000
			h := newHarness(t, s)
			h.arrive(1, Event{})
			h.handle(Event{Kind: AwaitingCall, RPC: 1})
			if !h.emitted(Call, 1) {
				t.Fatalf("actions at the dependency call: got %+v, want Call", h.lastActions)
			}
			for range c.attempts {
				h.handle(Event{Kind: CallCompleted, RPC: 1, Outcome: c.outcome, Elapsed: 5})
			}
			if !h.emitted(c.want, 1) {
				t.Errorf("actions after the last attempt: got %+v", h.lastActions)
			}
		})
	}
}

func TestSharedCallsStayWithinShare(t *testing.T) {
	k := callLimiter{share: 3.7, limit: 3.7, linger: 200, window: 5000}
	calls := 0
	for k.acquire(0, 1000) > 0 {
		calls++
	}
	if calls != 3 {
		t.Errorf("calls in flight: got %d, want 3", calls)
	}
	k.release(100, 100, OutcomeTimedOut)
	if k.acquire(299, 1000) > 0 {
		t.Error("an abandoned call did not count while it occupied the dependency")
	}
	for k.inFlight > 0 {
		k.release(300, 1, OutcomeOK)
	}
	if k.acquire(300, 1000) != 1000 {
		t.Error("an abandoned call still counted after its linger time")
	}
}

// A share below one call is kept in the mean over every window, whenever and by whatever factor the dependency slows
// down. The test starts a call whenever there is capacity; each call ends or is abandoned by its timeout.
func TestShareUnderOneCall(t *testing.T) {
	const window, linger = 5000.0, 200.0
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		share := 0.1 + 0.89*r.Float64()
		k := callLimiter{share: share, limit: share, linger: linger, window: window}
		slowFrom, slowFactor := 20000*r.Float64(), 2+20*r.Float64()
		var busy []span
		until, startedAt, outcome := 0.0, 0.0, OutcomeOK
		for now := 0.0; now < 40000; now += 5 {
			if k.inFlight > 0 && now >= until {
				k.release(now, now-startedAt, outcome)
				end := now
				if outcome != OutcomeOK {
					end += linger
				}
				busy = append(busy, span{startedAt, end})
			}
			if k.inFlight == 0 {
				if left := k.acquire(now, 200+2000*r.Float64()); left > 0 {
					duration := 40 + 200*r.Float64()
					if now > slowFrom {
						duration *= slowFactor
					}
					startedAt, until, outcome = now, now+5*math.Floor(math.Min(duration, left)/5), OutcomeOK
					if duration > left {
						outcome = OutcomeTimedOut
					}
				}
			}
			sum := 0.0
			for _, s := range busy {
				sum += math.Max(0, math.Min(s.to, now)-math.Max(s.from, now-window))
			}
			if k.inFlight > 0 {
				sum += now - startedAt
			}
			if sum > share*window+1e-6 {
				t.Fatalf("seed %d: calls in flight for %.0f ms in the window of %.0f ms up to %.0f, want at most %.0f ms", seed, sum, window, now, share*window)
			}
		}
		total := 0.0
		for _, s := range busy {
			total += s.to - s.from
		}
		if share*window > 2*(linger+400) && total < 0.4*share*40000 {
			t.Errorf("seed %d: used fraction of the share: got %.2f, want at least 0.4; share %.2f", seed, total/share/40000, share)
		}
	}
}

// An overloaded dependency stays overloaded unless callers make fewer calls: the limit falls until it is fast again.
func TestSlowDependencyReducesCalls(t *testing.T) {
	k := callLimiter{share: 20, limit: 20, linger: 200}
	limitAfter := func(calls int, elapsed float64) float64 {
		for range calls {
			k.acquire(0, 1000)
			k.release(0, elapsed, OutcomeOK)
		}
		return k.limit
	}
	if limit := limitAfter(50, 40); limit != 20 {
		t.Errorf("limit at normal speed: got %v, want 20", limit)
	}
	if limit := limitAfter(50, 400); limit > 2 {
		t.Errorf("limit at a tenth of the speed: got %v, want at most 2", limit)
	}
	if limit := limitAfter(250, 40); limit < 15 {
		t.Errorf("limit after recovery: got %v, want at least 15", limit)
	}
}

// A dependency call continues after its RPC is answered or its caller is gone, and counts against the limit until it
// ends.
func TestCallOutlivesItsRPC(t *testing.T) {
	s := defaultSetup()
	s.dependency = Dependency{ConcurrencyShare: 2.2, Linger: 200, AveragingWindow: 5000}
	s.node.Cores = 8
	h := newHarness(t, s)
	for id := uint32(1); id <= 3; id++ {
		h.arrive(id, Event{Remaining: 3000})
		h.handle(Event{Kind: AwaitingCall, RPC: id})
	}
	if !h.emitted(Call, 2) && h.emitted(Call, 3) {
		t.Fatalf("actions: got %+v, want calls of RPCs 1 and 2 only", h.lastActions)
	}
	h.handle(Event{Kind: CallerGone, RPC: 1})
	h.handle(Event{Kind: CallerGone, RPC: 2})
	h.now += 400 // longer than the linger time of an abandoned call
	h.handle(Event{Kind: TimerFired, Label: 0})
	if h.emitted(Call, 3) {
		t.Fatal("a third call was made while two are still in flight")
	}
	h.handle(Event{Kind: CallCompleted, RPC: 1, Outcome: OutcomeOK, Elapsed: 400})
	if !h.emitted(Call, 3) {
		t.Errorf("actions after a call has ended: got %+v, want Call of RPC 3", h.lastActions)
	}
	h.handle(Event{Kind: Completed, RPC: 1, Outcome: OutcomeCancelled, Elapsed: 400})
	h.handle(Event{Kind: CallCompleted, RPC: 2, Outcome: OutcomeTimedOut, Elapsed: 400})
	h.handle(Event{Kind: Completed, RPC: 2, Outcome: OutcomeCancelled, Elapsed: 400})
	if h.controller.calls.inFlight != 1 || h.controller.runningCount != 0 {
		t.Errorf("at the end: got %d calls in flight and %d running RPCs, want 1 and 0", h.controller.calls.inFlight, h.controller.runningCount)
	}
}

// If the dependency has no capacity, an RPC whose call is optional skips it at once; any other RPC waits.
func TestNoDependencyCapacity(t *testing.T) {
	for _, degradedFraction := range []float64{0, 0.6} {
		s := defaultSetup()
		s.dependency = Dependency{ConcurrencyShare: 1, Linger: 200, AveragingWindow: 5000}
		s.methods[0].DegradedFraction = degradedFraction
		h := newHarness(t, s)
		h.arrive(1, Event{Remaining: 3000})
		h.arrive(2, Event{Remaining: 3000})
		h.handle(Event{Kind: AwaitingCall, RPC: 1})
		h.handle(Event{Kind: AwaitingCall, RPC: 2})
		if h.emitted(SkipCall, 2) != (degradedFraction > 0) || h.emitted(Call, 2) {
			t.Errorf("degraded fraction %g: got actions %+v", degradedFraction, h.lastActions)
		}
	}
}
