package control

import (
	"testing"
)

func TestDrain(t *testing.T) {
	w := newHarness(t, defaultSetup())
	w.handle(Event{Kind: DrainNotice, Remaining: 6000})
	w.now = 1000
	w.arrive(1, Event{})
	w.now = 2100
	w.arrive(2, Event{Age: 500})
	w.complete(1, OutcomeOK, 1100)
	w.now = 3000
	w.arrive(3, Event{Age: 500})
	w.now = 3100
	w.arrive(4, Event{Remaining: 9000})
	w.complete(2, OutcomeOK, 1000)
	if w.runs[1] != 1 || w.runs[2] != 1 || w.runs[3] != 0 || w.answers[3] != Reject {
		t.Errorf("runs %v, final %v", w.runs, w.answers)
	}
	w = newHarness(t, keyedSetup())
	w.arrive(1, Event{Remaining: 9000})
	w.handle(Event{Kind: DrainNotice, Remaining: 1500})
	w.now = 1470
	w.arrive(2, Event{DuplicateOf: 1, Remaining: 9000})
	if w.answers[2] != Abort || w.runs[2] != 0 {
		t.Error("a duplicate read just before the stop was not answered at once")
	}
	w = newHarness(t, defaultSetup())
	w.arrive(1, Event{Remaining: 9000})
	w.handle(Event{Kind: DrainNotice, Remaining: 2000})
	w.advance(2000, Gauges{})
	if w.answers[1] != Abort {
		t.Error("a run at the stop was not answered")
	}
}

// A drain that is cancelled: what arrives after that is admitted and run as before, though it comes past the grace.
func TestDrainTakenBack(t *testing.T) {
	w := newHarness(t, defaultSetup())
	w.handle(Event{Kind: DrainNotice, Remaining: 6000})
	w.arrive(1, Event{})
	w.complete(1, OutcomeOK, 100)
	w.now = 500
	w.handle(Event{Kind: DrainCancelled})
	good := false
	for _, a := range w.lastActions {
		good = good || a.Kind == SetHealth && a.Healthy
	}
	if !good {
		t.Errorf("health is not reported as good again: %+v", w.lastActions)
	}
	w.advance(8000, Gauges{})
	w.arrive(2, Event{})
	if w.runs[2] != 1 {
		t.Errorf("not run after the drain was cancelled: %+v", w.lastActions)
	}
}
