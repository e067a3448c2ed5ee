package control

import (
	"reflect"
	"testing"
)

func TestSlowStart(t *testing.T) {
	cases := []struct {
		name     string
		cold     bool
		callers  int
		at       float64
		low, top int // of 400 callers
	}{
		{"cold at the start", true, 400, 0, 0, 15},
		{"a quarter in", true, 400, 3600, 70, 130},
		{"half in", true, 400, 7600, 160, 240},
		{"whole", true, 400, 14000, 400, 400},
		{"warm", false, 400, 0, 400, 400},
		{"few callers are split", true, 2, 7000, 150, 250},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newSlowStart(c.cold, 40000, c.callers, 7)
			in := 0
			for i := range 400 {
				caller, subject := uint16(i), uint64(0)
				if c.callers < 400 {
					caller, subject = uint16(i%c.callers), uint64(i)
				}
				if p.admits(0, caller, subject, 1) && !p.admits(c.at, caller, subject, 1) {
					t.Errorf("caller %d was in and is out", i)
				}
				if p.admits(c.at, caller, subject, 1) {
					in++
				}
			}
			if in < c.low || in > c.top {
				t.Errorf("%d of 400 in, want %d to %d", in, c.low, c.top)
			}
		})
	}
}

func TestSlowStartRejections(t *testing.T) {
	s := defaultSetup()
	s.node.WarmingUp = true
	w := newHarness(t, s)
	n := 0
	for id := uint32(1); id <= 50; id++ {
		w.arrive(id, Event{Caller: uint16(id), Retry: id > 45})
		for _, a := range w.lastActions {
			if a.Kind == Reject {
				n++
				if a.NoRetry || a.Time <= 0 || a.Time > 200 {
					t.Errorf("slow start rejects with %+v", a)
				}
			}
		}
	}
	w.advance(12000, Gauges{})
	w.arrive(99, Event{})
	w.advance(15000, Gauges{})
	notes := []string{"slow_start.started", "slow_start.completed"}
	if n < 45 || n > 48 || !reflect.DeepEqual(w.logEvents, notes) {
		t.Errorf("%d of 50 rejected at the start of a cold server; logged %q", n, w.logEvents)
	}
}

// A stall runs the clock without traffic; slow start must not come out of it further on.
func TestStallHoldsSlowStart(t *testing.T) {
	s := defaultSetup()
	s.node.WarmingUp = true
	w := newHarness(t, s)
	w.advance(2000, Gauges{})
	w.now = 12000
	w.handle(Event{Kind: TimerFired})
	w.controller.slowStart.admits(w.now, 1, 0, 1)
	if w.controller.slowStart.admittedPercent > 35 {
		t.Errorf("slow start at %v%% after 2 s of 7 and a stall of 10 s", w.controller.slowStart.admittedPercent)
	}
}

func TestAdmissionLoop(t *testing.T) {
	cases := []struct {
		name    string
		latency float64
		busy    float64
		want    func(share float64) bool
	}{
		{"late and busy cuts", 2000, 0.95, func(s float64) bool { return s < 0.8 }},
		{"late on idle cores does not", 2000, 0.5, func(s float64) bool { return s == 1 }},
		{"busy in time does not", 300, 1, func(s float64) bool { return s == 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := admissionLoop{admitFraction: 1, lateness: make([]float64, 1)}
			for range 20 {
				p.observe(0, c.latency, 1000)
				p.step(&Gauges{CPUUtilization: c.busy})
			}
			share := p.admitFraction
			if p.step(&Gauges{Stale: true}); !c.want(share) || p.admitFraction != share {
				t.Errorf("share %v, and %v after a gauge that is not of now", share, p.admitFraction)
			}
			for range 100 {
				p.observe(0, 100, 1000)
				p.step(&Gauges{CPUUtilization: 1})
			}
			if p.admitFraction != 1 {
				t.Errorf("share %v long after", p.admitFraction)
			}
		})
	}
}

func TestCustomerOverQuotaCountsLess(t *testing.T) {
	s := quotaMeter{rate: 0.01}
	first, burst := s.fractionWithin(0, 0, false), 1.0
	for i := range 400 {
		burst = s.fractionWithin(float64(i)*10, 0, false) // 100 a second against 10
	}
	if first != 1 || burst > 0.2 {
		t.Errorf("%v of the first and %v of a tenfold stream within the share", first, burst)
	}
}

// The quota status that an arrival carries goes before what the instance measures: one that is over a hard quota is rejected
// at once, with a retry-after as far as that is honoured, though there is capacity; a duplicate still joins.
func TestLeasedQuota(t *testing.T) {
	s := defaultSetup()
	s.customers = []Customer{{"a", 1000}}
	s.methods[0].Idempotency, s.methods[0].DedupWindow = IdempotencyKeyed, 10000
	s.fleet.OverQuotaFraction = 0
	w := newHarness(t, s)
	w.arrive(1, Event{Quota: WithinQuota})
	if !w.did(Run, 1) {
		t.Errorf("within: %+v", w.lastActions)
	}
	w.arrive(2, Event{Quota: OverQuota, RetryAfter: 70})
	if w.answers[2] != Reject || w.lastActions[0].Time != 70 || w.lastActions[0].NoRetry {
		t.Errorf("over: %+v", w.lastActions)
	}
	w.arrive(3, Event{Quota: OverQuota, RetryAfter: 5000})
	if w.answers[3] != Reject || w.lastActions[0].Time != 1000 {
		t.Errorf("over, for long: %+v", w.lastActions)
	}
	w.arrive(4, Event{DuplicateOf: 1})
	w.complete(1, OutcomeOK, 10)
	if w.runs[4] != 1 {
		t.Errorf("a duplicate: %+v", w.lastActions)
	}
	w.arrive(5, Event{}) // status unknown: as without shared quotas
	if !w.did(Run, 5) {
		t.Errorf("untold: %+v", w.lastActions)
	}
	s.fleet.OverQuotaFraction = 0.1 // it keeps a tenth of its criticality: there is capacity, so it runs
	w = newHarness(t, s)
	w.arrive(1, Event{Quota: OverQuota, RetryAfter: 70})
	if !w.did(Run, 1) {
		t.Errorf("over, and there is capacity: %+v", w.lastActions)
	}
}

func TestMemory(t *testing.T) {
	s := keyedSetup()
	s.node.MemoryKB = 300
	w := newHarness(t, s)
	for id := uint32(1); id <= 40; id++ {
		w.arrive(id, Event{QueuedKB: 20})
		if need := w.controller.usedKB + w.controller.tokens.usedKB(w.now); need > s.node.MemoryKB {
			t.Fatalf("%v kB in use of %v", need, s.node.MemoryKB)
		}
	}
	if len(w.runs) == 0 || len(w.answers) == 0 {
		t.Errorf("%d run, %d rejected", len(w.runs), len(w.answers))
	}
}

func TestRunLimit(t *testing.T) {
	cases := []struct {
		name  string
		cold  bool
		gauge Gauges
		most  int
	}{
		{"work that fills the cores", false, Gauges{Runnable: 2, CPUUtilization: 1}, 2},
		{"work that waits for disk half its time", false, Gauges{Runnable: 1, CPUUtilization: 0.6}, 8},
		{"a gauge that is not of now", false, Gauges{Stale: true}, 2},
		{"cold: all may come back from disk at once", true, Gauges{Runnable: 0.5, CPUUtilization: 0.6}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := runLimit{cores: 2, warmingUp: c.cold, initialSpeed: 0.2, warmUpTime: 20000, maxPerCore: 8, runnableFraction: 1}
			for i := range 100 {
				l.step(float64(i)*tickPeriod, &c.gauge, 2)
			}
			if n := l.maxRuns(); n > c.most || n < c.most/2 {
				t.Errorf("%d runs on 2 cores, want at most %d", n, c.most)
			}
		})
	}
}

// Under overload a heavier RPC displaces queued lighter ones, and only as many as it must.
func TestDisplacement(t *testing.T) {
	s := defaultSetup()
	s.methods = append(s.methods, Method{Name: "pay", LatencyObjective: 1000, Deadline: 3000, Criticality: 4})
	w := newHarness(t, s)
	for id := uint32(1); id <= 50; id++ {
		w.arrive(id, Event{})
	}
	all := w.controller.expectedWait(1e9, 0) // callers with such a retry-after would leave the cores idle
	if a := w.lastActions[0]; a.Kind != Reject || a.Time >= all || a.Time < slowStartRetryAfter {
		t.Errorf("rejected with %+v while the queue takes %v", a, all)
	}
	before := len(w.answers)
	if before < 30 || before == 50 {
		t.Errorf("%d of 50 rejected on arrival", before)
	}
	w.arrive(51, Event{Method: 1})
	_, out := w.answers[51]
	if gone := len(w.answers) - before; out || gone < 1 || gone > 4 {
		t.Errorf("criticality 4 rejected: %v; %d others displaced", out, gone)
	}
}

// A caller that abandons its attempts after 800 ms can't be served what takes longer; it is rejected at once.
func TestImpatientCaller(t *testing.T) {
	cases := []struct {
		name string
		ages []float64
		how  Outcome
		out  bool
	}{
		{"three attempts abandoned at the same age", []float64{800, 820, 810, 800}, OutcomeError, true},
		{"abandoned for reasons of their own", []float64{800, 100, 1500, 300}, OutcomeError, false},
		{"connections that broke", []float64{800, 820, 810, 800}, OutcomeReset, false},
		{"withdrawn at once", []float64{1, 1, 1, 1, 1, 1}, OutcomeError, false},
		{"none left", nil, OutcomeError, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.fleet.PropagatesDeadline = false
			s.methods[0].LatencyObjective, s.methods[0].Deadline = 2000, 5000
			w := newHarness(t, s)
			id := uint32(1)
			for range 30 { // a unit of work takes two
				w.arrive(id, Event{CostHint: 100})
				w.now += 200
				w.complete(id, OutcomeOK, 200)
				id++
			}
			for _, age := range c.ages {
				w.arrive(id, Event{CostHint: 800})
				w.now += age
				w.handle(Event{Kind: CallerGone, RPC: id, Outcome: c.how})
				w.complete(id, OutcomeOK, 1600)
				id++
			}
			w.arrive(id, Event{CostHint: 800})
			if _, out := w.answers[id]; out != c.out {
				t.Errorf("rejected: %v", out)
			}
			w.arrive(id+1, Event{CostHint: 100})
			if _, out := w.answers[id+1]; out {
				t.Error("short work rejected")
			}
		})
	}
}

// A heavier RPC displaces one that was just read, at once; one that has been queued for a while stays.
func TestWhoIsDisplaced(t *testing.T) {
	for _, c := range []struct {
		name         string
		settle, held float64 // ms
		gone         bool
	}{{"just read", 20, 5, true}, {"queued for a while", 20, 30, false}, {"for a while, where there is no such time", 0, 30, true}} {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.methods = append(s.methods, Method{Name: "buy", LatencyObjective: 1000, Deadline: 3000, Criticality: 3})
			s.limits.DisplaceableFor = c.settle
			w := newHarness(t, s)
			id := uint32(0)
			for i := range 200 { // until one is rejected: the queue is full
				id++
				w.arrive(id, Event{Caller: uint16(i), CostHint: 200})
				if w.did(Reject, id) {
					break
				}
			}
			before := len(w.answers)
			w.now += c.held
			pushed := false
			for range 8 { // more than fit beside
				id++
				w.arrive(id, Event{Method: 1, Caller: 1, CostHint: 200})
				for _, a := range w.lastActions {
					pushed = pushed || a.Kind == Reject && a.RPC <= uint32(id-1)
				}
			}
			if before == 0 || pushed != c.gone {
				t.Errorf("%d rejected before, queued ones displaced: %v", before, pushed)
			}
		})
	}
}
