package control

import (
	"reflect"
	"testing"
)

func TestAnswers(t *testing.T) {
	cases := []struct {
		name string
		stop Preemption
		at   float64
		want ActionKind
	}{
		{"running past its due time is aborted", PreemptNone, 3000, Abort},
		{"running past its latency objective is given up where it can be stopped", PreemptSuspend, 1100, Abort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.node.Preemption = c.stop
			w := newHarness(t, s)
			w.arrive(1, Event{})
			w.advance(c.at, Gauges{})
			if got, ok := w.answers[1]; !ok || got != c.want {
				t.Errorf("answer %v, %v", got, ok)
			}
			w.complete(1, OutcomeOK, c.at)
			if w.controller.usedKB != 0 || w.controller.runningCount != 0 {
				t.Errorf("memory %v, runs %d after the end", w.controller.usedKB, w.controller.runningCount)
			}
		})
	}
}

// All that waits behind work that hangs is answered in time, in one sweep, though timers come late.
func TestQueuedAnsweredAfterStall(t *testing.T) {
	w := newHarness(t, defaultSetup())
	for id := uint32(1); id <= 20; id++ {
		w.arrive(id, Event{})
	}
	w.now = 5000
	w.handle(Event{Kind: TimerFired})
	for id := uint32(1); id <= 20; id++ {
		if _, ok := w.answers[id]; !ok {
			t.Errorf("RPC %d not answered after its due time", id)
		}
	}
}

// Odd but legal figures at the start, and runs that take no time, give finite numbers and answers.
func TestOddStarts(t *testing.T) {
	cases := []struct {
		name string
		odd  func(s *setup)
	}{
		{"no callers and no peers", func(s *setup) { s.fleet.Callers, s.fleet.Peers = 0, 0 }},
		{"a share of calls under one", func(s *setup) { s.dependency = Dependency{ConcurrencyShare: 0.01, Linger: 200} }},
		{"one core, one run", func(s *setup) { s.node.Cores, s.limits.MaxRunsPerCore = 1, 1 }},
		{"no memory to spare", func(s *setup) { s.node.MemoryKB = 0 }},
		{"cold, without a warm-up", func(s *setup) { s.node.WarmingUp, s.node.WarmUpTime = true, 0 }},
		{"a customer without a quota", func(s *setup) { s.customers = []Customer{{}} }},
		{"no latency objective, no weight", func(s *setup) { s.methods[0] = Method{Deadline: 3000} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.fleet.Feedback = FeedbackWindow
			c.odd(&s)
			w := newHarness(t, s)
			for id := uint32(1); id <= 60; id++ {
				w.arrive(id, Event{CostHint: 50})
				w.handle(Event{Kind: AwaitingCall, RPC: id})
				w.advance(w.now+200, Gauges{Runnable: 2, CPUUtilization: 1})
				w.complete(id, OutcomeOK, 100*float64(id%2))
				for _, a := range w.lastActions {
					if !(a.Time >= 0 && a.Time < 1e9 && a.Feedback >= 0 && a.Feedback < 1e9) {
						t.Fatalf("did %+v", a)
					}
				}
			}
			w.advance(w.now+4000, Gauges{})
			if len(w.controller.rpcs.byID) != 0 || s.node.WarmingUp && w.runs[60] != 1 {
				t.Errorf("%d in flight long after, %d run", len(w.controller.rpcs.byID), len(w.runs))
			}
		})
	}
}

func TestCallerGone(t *testing.T) {
	s := defaultSetup()
	s.node.Preemption = PreemptSuspend
	w := newHarness(t, s)
	for id := uint32(1); id <= 3; id++ {
		w.arrive(id, Event{})
	}
	for id := uint32(3); id >= 1; id-- {
		w.handle(Event{Kind: CallerGone, RPC: id})
	}
	w.complete(1, OutcomeCancelled, 5)
	w.complete(2, OutcomeCancelled, 5)
	if len(w.answers) != 0 || w.controller.usedKB != 0 || len(w.controller.rpcs.byID) != 0 {
		t.Errorf("answered %v, memory %v, in flight %d", w.answers, w.controller.usedKB, len(w.controller.rpcs.byID))
	}
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	c := newHarness(t, defaultSetup()).controller
	now, id := 1000.0, uint32(0)
	turn := func() {
		id++
		now += 50
		c.Handle(now, Event{Kind: Arrived, RPC: id, Remaining: 3000, QueuedKB: 10})
		c.Handle(now, Event{Kind: TimerFired})
		c.Handle(now+30, Event{Kind: Completed, RPC: id, Outcome: OutcomeOK, Elapsed: 30})
	}
	for range 100 {
		turn()
	}
	if n := testing.AllocsPerRun(1000, turn); n != 0 {
		t.Errorf("%v allocations an RPC", n)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (all []Action) {
		s := keyedSetup()
		s.node.WarmingUp = true
		w := newHarness(t, s)
		for id := uint32(1); id < 300; id++ {
			w.now += 20
			w.arrive(id, Event{Caller: uint16(id % 7), DuplicateOf: id / 3})
			all = append(all, w.lastActions...)
			w.complete(id/2, OutcomeOK, 100)
			all = append(all, w.lastActions...)
			w.advance(w.now, Gauges{Runnable: 4, CPUUtilization: 1})
		}
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Error("two instances with the same events act differently")
	}
}
