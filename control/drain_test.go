package control

import (
	"testing"
)

func TestDrain(t *testing.T) {
	h := newHarness(t, defaultSetup())
	h.handle(Event{Kind: DrainNotice, Remaining: 6000})
	h.now = 1000
	h.arrive(1, Event{})
	h.now = 2100
	h.arrive(2, Event{Age: 500})
	h.complete(1, OutcomeOK, 1100)
	h.now = 3000
	h.arrive(3, Event{Age: 500})
	h.now = 3100
	h.arrive(4, Event{Remaining: 9000})
	h.complete(2, OutcomeOK, 1000)
	if h.runs[1] != 1 || h.runs[2] != 1 || h.runs[3] != 0 || h.answers[3] != Reject {
		t.Errorf("RPCs 1 and 2 within and 3 after the grace period: runs %v, answers %v", h.runs, h.answers)
	}
	h = newHarness(t, keyedSetup())
	h.arrive(1, Event{Remaining: 9000})
	h.handle(Event{Kind: DrainNotice, Remaining: 1500})
	h.now = 1470
	h.arrive(2, Event{DuplicateOf: 1, Remaining: 9000})
	if h.answers[2] != Abort || h.runs[2] != 0 {
		t.Error("a duplicate read just before the stop was not aborted at once")
	}
	h = newHarness(t, defaultSetup())
	h.arrive(1, Event{Remaining: 9000})
	h.handle(Event{Kind: DrainNotice, Remaining: 2000})
	h.advance(2000, Gauges{})
	if h.answers[1] != Abort {
		t.Error("an RPC that runs at the stop was not aborted")
	}
}

// After a drain is cancelled, RPCs are admitted and run as before, even after the former grace period.
func TestDrainCancelled(t *testing.T) {
	h := newHarness(t, defaultSetup())
	h.handle(Event{Kind: DrainNotice, Remaining: 6000})
	h.arrive(1, Event{})
	h.complete(1, OutcomeOK, 100)
	h.now = 500
	h.handle(Event{Kind: DrainCancelled})
	healthy := false
	for _, a := range h.lastActions {
		healthy = healthy || a.Kind == SetHealth && a.Healthy
	}
	if !healthy {
		t.Errorf("actions after the drain was cancelled: got %+v, want SetHealth with Healthy", h.lastActions)
	}
	h.advance(8000, Gauges{})
	h.arrive(2, Event{})
	if h.runs[2] != 1 {
		t.Errorf("arrival after the drain was cancelled: got %+v, want Run", h.lastActions)
	}
}
