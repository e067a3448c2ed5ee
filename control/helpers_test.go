package control

import "testing"

// setup is the configuration of a Controller under test. Test cases start from defaultSetup and change some values.
type setup struct {
	node       Node
	fleet      Fleet
	dependency Dependency
	limits     Limits
	methods    []Method
	customers  []Customer
}

func (s *setup) config() Config {
	return Config{
		Node: s.node, Fleet: s.fleet, Dependency: s.dependency, Limits: s.limits, Methods: s.methods, Customers: s.customers,
	}
}

// defaultSetup returns the configuration of a warm server with two cores and one method.
func defaultSetup() setup {
	return setup{
		node: Node{
			Seed: 1, InitialSpeed: 0.2, WarmUpTime: 20000, Cores: 2, MemoryKB: 10000, RunMemoryFactor: 10, TokenKB: 5, Tick: 4,
		},
		fleet:   Fleet{Peers: 1, Callers: 4, PropagatesDeadline: true, MaxRetryAfter: 1000, OverQuotaFraction: 0.1},
		limits:  Limits{DrainGrace: 2000, MaxRunsPerCore: 8},
		methods: []Method{{Name: "get", LatencyObjective: 1000, Deadline: 3000, Criticality: 1}},
	}
}

// harness sends events to a Controller and records its actions.
type harness struct {
	t           *testing.T
	controller  *Controller
	now         float64
	answers     map[uint32]ActionKind // by RPC: Reject or Abort
	runs        map[uint32]int        // by RPC: number of Run and Join actions
	lastActions []Action              // actions of the latest event
	nextTimer   float64
	logEvents   []string
}

func newHarness(t *testing.T, s setup) *harness {
	h := &harness{
		t: t, controller: New(s.config()),
		answers: map[uint32]ActionKind{}, runs: map[uint32]int{},
	}
	h.handle(Event{Kind: Started})
	return h
}

func (h *harness) handle(e Event) []Action {
	h.t.Helper()
	h.lastActions = append([]Action(nil), h.controller.Handle(h.now, e)...)
	for _, a := range h.lastActions {
		switch a.Kind {
		case Run, Join:
			h.runs[a.RPC]++
		case Reject, Abort:
			if _, answered := h.answers[a.RPC]; answered {
				h.t.Errorf("RPC %d answered more than once", a.RPC)
			}
			h.answers[a.RPC] = a.Kind
		case SetTimer:
			h.nextTimer = a.Time
		case LogEvent:
			h.logEvents = append(h.logEvents, a.Message)
		}
	}
	return h.lastActions
}

// arrive sends the arrival of an RPC. The time left defaults to the deadline of method 0, and the memory to 10 KB.
func (h *harness) arrive(id uint32, e Event) {
	h.t.Helper()
	e.Kind, e.RPC = Arrived, id
	if e.Remaining == 0 {
		e.Remaining = 3000
	}
	if e.QueuedKB == 0 {
		e.QueuedKB = 10
	}
	h.handle(e)
}

func (h *harness) complete(id uint32, outcome Outcome, elapsed float64) {
	h.t.Helper()
	h.handle(Event{Kind: Completed, RPC: id, Outcome: outcome, Elapsed: elapsed})
}

// advance advances the clock to until and fires the timers that are due, all with the same gauges.
func (h *harness) advance(until float64, gauges Gauges) {
	h.t.Helper()
	for h.nextTimer <= until {
		h.now = h.nextTimer
		h.handle(Event{Kind: TimerFired, Gauges: gauges})
	}
	h.now = until
}

// emitted reports whether the latest event resulted in an action of a kind for an RPC.
func (h *harness) emitted(kind ActionKind, id uint32) bool {
	for _, a := range h.lastActions {
		if a.Kind == kind && a.RPC == id {
			return true
		}
	}
	return false
}
