package control

import (
	"reflect"
	"testing"
)

func TestSlowStart(t *testing.T) {
	cases := []struct {
		name                     string
		warmingUp                bool
		callers                  int
		at                       float64
		minAdmitted, maxAdmitted int // of 400 callers
	}{
		{"cold at the start", true, 400, 0, 0, 15},
		{"after a quarter", true, 400, 3600, 70, 130},
		{"after half", true, 400, 7600, 160, 240},
		{"complete", true, 400, 14000, 400, 400},
		{"warm", false, 400, 0, 400, 400},
		{"few callers are divided by subject", true, 2, 7000, 150, 250},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newSlowStart(c.warmingUp, 40000, c.callers, 7)
			admitted := 0
			for i := range 400 {
				caller, subject := uint16(i), uint64(0)
				if c.callers < 400 {
					caller, subject = uint16(i%c.callers), uint64(i)
				}
				if p.admits(0, caller, subject, 1) && !p.admits(c.at, caller, subject, 1) {
					t.Errorf("caller %d was admitted at the start and is rejected later", i)
				}
				if p.admits(c.at, caller, subject, 1) {
					admitted++
				}
			}
			if admitted < c.minAdmitted || admitted > c.maxAdmitted {
				t.Errorf("admitted callers: got %d of 400, want %d to %d", admitted, c.minAdmitted, c.maxAdmitted)
			}
		})
	}
}

func TestSlowStartRejections(t *testing.T) {
	s := defaultSetup()
	s.node.WarmingUp = true
	h := newHarness(t, s)
	rejections := 0
	for id := uint32(1); id <= 50; id++ {
		h.arrive(id, Event{Caller: uint16(id), Retry: id > 45})
		for _, a := range h.lastActions {
			if a.Kind == Reject {
				rejections++
				if a.NoRetry || a.Time <= 0 || a.Time > 200 {
					t.Errorf("rejection by slow start: got %+v, want a retry elsewhere after at most 200 ms", a)
				}
			}
		}
	}
	h.advance(12000, Gauges{})
	h.arrive(99, Event{})
	h.advance(15000, Gauges{})
	wantEvents := []string{"slow_start.started", "slow_start.completed"}
	if rejections < 45 || rejections > 48 || !reflect.DeepEqual(h.logEvents, wantEvents) {
		t.Errorf("cold server: rejected %d of 50 arrivals, want 45 to 48; log events %q", rejections, h.logEvents)
	}
}

// The clock advances during a stall although there is no traffic. Slow start must not progress during it.
func TestStallPausesSlowStart(t *testing.T) {
	s := defaultSetup()
	s.node.WarmingUp = true
	h := newHarness(t, s)
	h.advance(2000, Gauges{})
	h.now = 12000
	h.handle(Event{Kind: TimerFired})
	h.controller.slowStart.admits(h.now, 1, 0, 1)
	if h.controller.slowStart.admittedPercent > 35 {
		t.Errorf("admitted percentage: got %v%% after 2 of 7 s of slow start and a stall of 10 s, want at most 35%%", h.controller.slowStart.admittedPercent)
	}
}

func TestAdmissionLoop(t *testing.T) {
	cases := []struct {
		name    string
		latency float64
		busy    float64
		want    func(fraction float64) bool
	}{
		{"late runs on busy cores reduce the fraction", 2000, 0.95, func(s float64) bool { return s < 0.8 }},
		{"late runs on idle cores do not", 2000, 0.5, func(s float64) bool { return s == 1 }},
		{"runs in time on busy cores do not", 300, 1, func(s float64) bool { return s == 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := admissionLoop{admitFraction: 1, lateness: make([]float64, 1)}
			for range 20 {
				p.observe(0, c.latency, 1000)
				p.step(&Gauges{CPUUtilization: c.busy})
			}
			fraction := p.admitFraction
			if p.step(&Gauges{Stale: true}); !c.want(fraction) || p.admitFraction != fraction {
				t.Errorf("admitted fraction: got %v, and %v after stale gauges", fraction, p.admitFraction)
			}
			for range 100 {
				p.observe(0, 100, 1000)
				p.step(&Gauges{CPUUtilization: 1})
			}
			if p.admitFraction != 1 {
				t.Errorf("admitted fraction: got %v after runs in time, want 1", p.admitFraction)
			}
		})
	}
}

func TestQuotaMeter(t *testing.T) {
	meter := quotaMeter{rate: 0.01}
	first, burst := meter.fractionWithin(0, 0, false), 1.0
	for i := range 400 {
		burst = meter.fractionWithin(float64(i)*10, 0, false) // 100 RPCs per second with a quota of 10
	}
	if first != 1 || burst > 0.2 {
		t.Errorf("fraction within the quota: got %v for the first RPC, want 1; got %v at ten times the quota, want at most 0.2", first, burst)
	}
}

// The quota status of an arrival takes precedence over the measured rate. An RPC over a hard quota is rejected at once
// even if there is capacity, with a retry-after up to the maximum that callers honour. A duplicate is still joined.
func TestLeasedQuota(t *testing.T) {
	s := defaultSetup()
	s.customers = []Customer{{"a", 1000}}
	s.methods[0].Idempotency, s.methods[0].DedupWindow = IdempotencyKeyed, 10000
	s.fleet.OverQuotaFraction = 0
	h := newHarness(t, s)
	h.arrive(1, Event{Quota: WithinQuota})
	if !h.emitted(Run, 1) {
		t.Errorf("RPC within the quota: got %+v, want Run", h.lastActions)
	}
	h.arrive(2, Event{Quota: OverQuota, RetryAfter: 70})
	if h.answers[2] != Reject || h.lastActions[0].Time != 70 || h.lastActions[0].NoRetry {
		t.Errorf("RPC over a hard quota: got %+v, want Reject with retry-after 70", h.lastActions)
	}
	h.arrive(3, Event{Quota: OverQuota, RetryAfter: 5000})
	if h.answers[3] != Reject || h.lastActions[0].Time != 1000 {
		t.Errorf("RPC over a hard quota with a long retry-after: got %+v, want Reject with retry-after 1000", h.lastActions)
	}
	h.arrive(4, Event{DuplicateOf: 1})
	h.complete(1, OutcomeOK, 10)
	if h.runs[4] != 1 {
		t.Errorf("duplicate: got %+v, want Join", h.lastActions)
	}
	h.arrive(5, Event{}) // unknown quota status: handled as without shared quotas
	if !h.emitted(Run, 5) {
		t.Errorf("RPC of unknown quota status: got %+v, want Run", h.lastActions)
	}
	s.fleet.OverQuotaFraction = 0.1 // RPCs over quota keep a tenth of their criticality and run if there is capacity
	h = newHarness(t, s)
	h.arrive(1, Event{Quota: OverQuota, RetryAfter: 70})
	if !h.emitted(Run, 1) {
		t.Errorf("RPC over a soft quota with free capacity: got %+v, want Run", h.lastActions)
	}
}

func TestMemory(t *testing.T) {
	s := keyedSetup()
	s.node.MemoryKB = 300
	h := newHarness(t, s)
	for id := uint32(1); id <= 40; id++ {
		h.arrive(id, Event{QueuedKB: 20})
		if usedKB := h.controller.usedKB + h.controller.tokens.usedKB(h.now); usedKB > s.node.MemoryKB {
			t.Fatalf("memory in use: got %v KB, want at most %v KB", usedKB, s.node.MemoryKB)
		}
	}
	if len(h.runs) == 0 || len(h.answers) == 0 {
		t.Errorf("got %d runs and %d rejections, want both above 0", len(h.runs), len(h.answers))
	}
}

func TestRunLimit(t *testing.T) {
	cases := []struct {
		name    string
		cold    bool
		gauge   Gauges
		maxRuns int
	}{
		{"RPCs that use the cores all the time", false, Gauges{Runnable: 2, CPUUtilization: 1}, 2},
		{"RPCs that wait for disk half of the time", false, Gauges{Runnable: 1, CPUUtilization: 0.6}, 8},
		{"stale gauges", false, Gauges{Stale: true}, 2},
		{"cold node, where all runs may return from disk at once", true, Gauges{Runnable: 0.5, CPUUtilization: 0.6}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := runLimit{cores: 2, warmingUp: c.cold, initialSpeed: 0.2, warmUpTime: 20000, maxPerCore: 8, runnableFraction: 1}
			for i := range 100 {
				l.step(float64(i)*tickPeriod, &c.gauge, 2)
			}
			if n := l.maxRuns(); n > c.maxRuns || n < c.maxRuns/2 {
				t.Errorf("run limit on 2 cores: got %d, want at most %d", n, c.maxRuns)
			}
		})
	}
}

// Under overload, an RPC of greater weight displaces queued RPCs of less weight, but no more than necessary.
func TestDisplacement(t *testing.T) {
	s := defaultSetup()
	s.methods = append(s.methods, Method{Name: "pay", LatencyObjective: 1000, Deadline: 3000, Criticality: 4})
	h := newHarness(t, s)
	for id := uint32(1); id <= 50; id++ {
		h.arrive(id, Event{})
	}
	queueWait := h.controller.expectedWait(1e9, 0) // this retry-after would leave the cores idle
	if a := h.lastActions[0]; a.Kind != Reject || a.Time >= queueWait || a.Time < slowStartRetryAfter {
		t.Errorf("last rejection: got %+v, want a retry-after below the queueing time of %v", a, queueWait)
	}
	before := len(h.answers)
	if before < 30 || before == 50 {
		t.Errorf("rejections on arrival: got %d of 50, want 30 to 49", before)
	}
	h.arrive(51, Event{Method: 1})
	_, rejected := h.answers[51]
	if displaced := len(h.answers) - before; rejected || displaced < 1 || displaced > 4 {
		t.Errorf("RPC of criticality 4: rejected %v; displaced %d RPCs, want 1 to 4", rejected, displaced)
	}
}

// If a caller abandons its attempts after 800 ms, its RPCs that take longer cannot succeed and are rejected at once.
func TestImpatientCaller(t *testing.T) {
	cases := []struct {
		name     string
		ages     []float64 // ms at which attempts are abandoned
		outcome  Outcome
		rejected bool
	}{
		{"three attempts abandoned at the same age", []float64{800, 820, 810, 800}, OutcomeError, true},
		{"attempts abandoned at different ages", []float64{800, 100, 1500, 300}, OutcomeError, false},
		{"broken connections", []float64{800, 820, 810, 800}, OutcomeReset, false},
		{"attempts cancelled immediately", []float64{1, 1, 1, 1, 1, 1}, OutcomeError, false},
		{"no attempt abandoned", nil, OutcomeError, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.fleet.PropagatesDeadline = false
			s.methods[0].LatencyObjective, s.methods[0].Deadline = 2000, 5000
			h := newHarness(t, s)
			id := uint32(1)
			for range 30 { // the run time is twice the cost hint
				h.arrive(id, Event{CostHint: 100})
				h.now += 200
				h.complete(id, OutcomeOK, 200)
				id++
			}
			for _, age := range c.ages {
				h.arrive(id, Event{CostHint: 800})
				h.now += age
				h.handle(Event{Kind: CallerGone, RPC: id, Outcome: c.outcome})
				h.complete(id, OutcomeOK, 1600)
				id++
			}
			h.arrive(id, Event{CostHint: 800})
			if _, rejected := h.answers[id]; rejected != c.rejected {
				t.Errorf("RPC longer than the timeout rejected: got %v", rejected)
			}
			h.arrive(id+1, Event{CostHint: 100})
			if _, rejected := h.answers[id+1]; rejected {
				t.Error("RPC shorter than the timeout was rejected")
			}
		})
	}
}

// An RPC of greater weight displaces a queued RPC, unless that has been queued for longer than DisplaceableFor.
func TestDisplaceableFor(t *testing.T) {
	for _, c := range []struct {
		name                       string
		displaceableFor, queuedFor float64 // ms
		displaced                  bool
	}{{"just read", 20, 5, true}, {"queued for longer than the limit", 20, 30, false}, {"queued for long without a limit", 0, 30, true}} {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.methods = append(s.methods, Method{Name: "buy", LatencyObjective: 1000, Deadline: 3000, Criticality: 3})
			s.limits.DisplaceableFor = c.displaceableFor
			h := newHarness(t, s)
			id := uint32(0)
			for i := range 200 { // until the queue is full and an RPC is rejected
				id++
				h.arrive(id, Event{Caller: uint16(i), CostHint: 200})
				if h.emitted(Reject, id) {
					break
				}
			}
			before := len(h.answers)
			h.now += c.queuedFor
			displaced := false
			for range 8 { // more than fit into the queue
				id++
				h.arrive(id, Event{Method: 1, Caller: 1, CostHint: 200})
				for _, a := range h.lastActions {
					displaced = displaced || a.Kind == Reject && a.RPC <= uint32(id-1)
				}
			}
			if before == 0 || displaced != c.displaced {
				t.Errorf("rejections before the arrivals of greater weight: got %d, want some; displaced a queued RPC: got %v", before, displaced)
			}
		})
	}
}
