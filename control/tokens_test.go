package control

import (
	"reflect"
	"testing"
)

// keyedSetup returns defaultSetup with an idempotency-keyed method.
func keyedSetup() setup {
	s := defaultSetup()
	s.methods[0].Idempotency, s.methods[0].DedupWindow = IdempotencyKeyed, 5000
	return s
}

func TestTokens(t *testing.T) {
	cases := []struct {
		name     string
		scenario func(h *harness)
		runs     map[uint32]int // wanted number of Run and Join actions by RPC
		want     ActionKind     // wanted action for RPC 2
	}{
		{"duplicate of a running RPC is joined", func(h *harness) {
			h.arrive(1, Event{})
			h.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{1: 1, 2: 1}, Join},
		{"duplicate of a completed RPC is joined", func(h *harness) {
			h.arrive(1, Event{})
			h.complete(1, OutcomeOK, 10)
			h.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{1: 1, 2: 1}, Join},
		{"two RPCs of one batch that name each other as original: one runs", func(h *harness) {
			h.arrive(1, Event{DuplicateOf: 2})
			h.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{1: 1, 2: 1}, Join},
		{"duplicate of an RPC that was aborted while running is joined", func(h *harness) {
			h.arrive(1, Event{})
			h.advance(3000, Gauges{})
			h.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{1: 1, 2: 1}, Join},
		{"duplicate of an RPC that was rejected before it ran is run", func(h *harness) {
			h.arrive(8, Event{})
			h.arrive(9, Event{})
			h.arrive(1, Event{})
			h.advance(1100, Gauges{Runnable: 2, CPUUtilization: 1})
			h.complete(8, OutcomeOK, 1100)
			h.complete(9, OutcomeOK, 1100)
			h.arrive(2, Event{DuplicateOf: 1})
		}, map[uint32]int{8: 1, 9: 1, 2: 1}, Run},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, keyedSetup())
			c.scenario(h)
			if !reflect.DeepEqual(h.runs, c.runs) || !h.emitted(c.want, 2) {
				t.Errorf("runs and joins by RPC: got %v, want %v; last actions %+v", h.runs, c.runs, h.lastActions)
			}
		})
	}
}

func TestTokenCachedBeforeItRuns(t *testing.T) {
	h := newHarness(t, keyedSetup())
	h.arrive(1, Event{Age: 300})
	if len(h.lastActions) < 2 || h.lastActions[0].Kind != CacheToken || h.lastActions[0].Time != 4700 || h.lastActions[1].Kind != Run {
		t.Errorf("actions of the arrival: got %+v, want CacheToken for 4700 ms, then Run", h.lastActions)
	}
}
