package control

import (
	"reflect"
	"testing"
)

func keyedSetup() setup {
	s := defaultSetup()
	s.methods[0].Idempotency, s.methods[0].DedupWindow = IdempotencyKeyed, 5000
	return s
}

func TestTokens(t *testing.T) {
	cases := []struct {
		name string
		play func(w *harness)
		runs map[uint32]int // of 2, how it is taken
		want ActionKind
	}{
		{"duplicate of a running one joins", func(w *harness) {
			w.arrive(1, Event{})
			w.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{1: 1, 2: 1}, Join},
		{"duplicate of a completed one joins", func(w *harness) {
			w.arrive(1, Event{})
			w.complete(1, OutcomeOK, 10)
			w.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{1: 1, 2: 1}, Join},
		{"two of one batch that name each other: one runs", func(w *harness) {
			w.arrive(1, Event{DuplicateOf: 2})
			w.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{1: 1, 2: 1}, Join},
		{"original aborted while it ran still counts as run", func(w *harness) {
			w.arrive(1, Event{})
			w.advance(3000, Gauges{})
			w.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{1: 1, 2: 1}, Join},
		{"original rejected unrun: the duplicate runs", func(w *harness) {
			w.arrive(8, Event{})
			w.arrive(9, Event{})
			w.arrive(1, Event{})
			w.advance(1100, Gauges{Runnable: 2, CPUUtilization: 1})
			w.complete(8, OutcomeOK, 1100)
			w.complete(9, OutcomeOK, 1100)
			w.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{8: 1, 9: 1, 2: 1}, Run},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, keyedSetup())
			c.play(w)
			if !reflect.DeepEqual(w.runs, c.runs) || !w.did(c.want, 2) {
				t.Errorf("taken %v, want %v; last %+v", w.runs, c.runs, w.lastActions)
			}
		})
	}
}

func TestTokenCachedBeforeItRuns(t *testing.T) {
	w := newHarness(t, keyedSetup())
	w.arrive(1, Event{Age: 300})
	if len(w.lastActions) < 2 || w.lastActions[0].Kind != CacheToken || w.lastActions[0].Time != 4700 || w.lastActions[1].Kind != Run {
		t.Errorf("got %+v", w.lastActions)
	}
}
