package control

import (
	"reflect"
	"testing"
)

func TestRunningRPCIsAborted(t *testing.T) {
	cases := []struct {
		name       string
		preemption Preemption
		at         float64
		want       ActionKind
	}{
		{"running RPC is aborted at its deadline", PreemptNone, 3000, Abort},
		{"running RPC that can be preempted is aborted after its latency objective", PreemptSuspend, 1100, Abort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.node.Preemption = c.preemption
			h := newHarness(t, s)
			h.arrive(1, Event{})
			h.advance(c.at, Gauges{})
			if got, ok := h.answers[1]; !ok || got != c.want {
				t.Errorf("answer of the running RPC: got %v, answered %v", got, ok)
			}
			h.complete(1, OutcomeOK, c.at)
			if h.controller.usedKB != 0 || h.controller.runningCount != 0 {
				t.Errorf("after the end of the run: memory in use %v, running RPCs %d, want 0", h.controller.usedKB, h.controller.runningCount)
			}
		})
	}
}

// While runs hang, all queued RPCs are answered at the first timer after a stall, even though the timer is late.
func TestQueuedAnsweredAfterStall(t *testing.T) {
	h := newHarness(t, defaultSetup())
	for id := uint32(1); id <= 20; id++ {
		h.arrive(id, Event{})
	}
	h.now = 5000
	h.handle(Event{Kind: TimerFired})
	for id := uint32(1); id <= 20; id++ {
		if _, ok := h.answers[id]; !ok {
			t.Errorf("RPC %d has no answer after its deadline", id)
		}
	}
}

// Extreme but legal configurations, and runs of zero length, must not lead to infinite or undefined values or to RPCs
// without an answer.
func TestExtremeConfigurations(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *setup)
	}{
		{"no callers and no peers", func(s *setup) { s.fleet.Callers, s.fleet.Peers = 0, 0 }},
		{"call share below one", func(s *setup) { s.dependency = Dependency{ConcurrencyShare: 0.01, Linger: 200} }},
		{"one core and one run per core", func(s *setup) { s.node.Cores, s.limits.MaxRunsPerCore = 1, 1 }},
		{"no memory", func(s *setup) { s.node.MemoryKB = 0 }},
		{"cold node without warm-up time", func(s *setup) { s.node.WarmingUp, s.node.WarmUpTime = true, 0 }},
		{"customer without a quota", func(s *setup) { s.customers = []Customer{{}} }},
		{"no latency objective and no criticality", func(s *setup) { s.methods[0] = Method{Deadline: 3000} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.fleet.Feedback = FeedbackWindow
			c.change(&s)
			h := newHarness(t, s)
			for id := uint32(1); id <= 60; id++ {
				h.arrive(id, Event{CostHint: 50})
				h.handle(Event{Kind: AwaitingCall, RPC: id})
				h.advance(h.now+200, Gauges{Runnable: 2, CPUUtilization: 1})
				h.complete(id, OutcomeOK, 100*float64(id%2))
				for _, a := range h.lastActions {
					if !(a.Time >= 0 && a.Time < 1e9 && a.Feedback >= 0 && a.Feedback < 1e9) {
						t.Fatalf("action with a value out of range: %+v", a)
					}
				}
			}
			h.advance(h.now+4000, Gauges{})
			if len(h.controller.rpcs.byID) != 0 || s.node.WarmingUp && h.runs[60] != 1 {
				t.Errorf("at the end: %d RPCs in flight, want 0; %d RPCs run", len(h.controller.rpcs.byID), len(h.runs))
			}
		})
	}
}

func TestCallerGone(t *testing.T) {
	s := defaultSetup()
	s.node.Preemption = PreemptSuspend
	h := newHarness(t, s)
	for id := uint32(1); id <= 3; id++ {
		h.arrive(id, Event{})
	}
	for id := uint32(3); id >= 1; id-- {
		h.handle(Event{Kind: CallerGone, RPC: id})
	}
	h.complete(1, OutcomeCancelled, 5)
	h.complete(2, OutcomeCancelled, 5)
	if len(h.answers) != 0 || h.controller.usedKB != 0 || len(h.controller.rpcs.byID) != 0 {
		t.Errorf("after all callers have gone: answers %v, memory in use %v, RPCs in flight %d, want none", h.answers, h.controller.usedKB, len(h.controller.rpcs.byID))
	}
}

func TestNormalPathAllocatesNothing(t *testing.T) {
	c := newHarness(t, defaultSetup()).controller
	now, id := 1000.0, uint32(0)
	handleRPC := func() {
		id++
		now += 50
		c.Handle(now, Event{Kind: Arrived, RPC: id, Remaining: 3000, QueuedKB: 10})
		c.Handle(now, Event{Kind: TimerFired})
		c.Handle(now+30, Event{Kind: Completed, RPC: id, Outcome: OutcomeOK, Elapsed: 30})
	}
	for range 100 {
		handleRPC()
	}
	if n := testing.AllocsPerRun(1000, handleRPC); n != 0 {
		t.Errorf("allocations per RPC: got %v, want 0", n)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (actions []Action) {
		s := keyedSetup()
		s.node.WarmingUp = true
		h := newHarness(t, s)
		for id := uint32(1); id < 300; id++ {
			h.now += 20
			h.arrive(id, Event{Caller: uint16(id % 7), DuplicateOf: id / 3})
			actions = append(actions, h.lastActions...)
			h.complete(id/2, OutcomeOK, 100)
			actions = append(actions, h.lastActions...)
			h.advance(h.now, Gauges{Runnable: 4, CPUUtilization: 1})
		}
		return actions
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two Controllers with the same events returned different actions")
	}
}
