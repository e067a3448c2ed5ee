package control

import "testing"

// setup is what a small server is configured with; cases change what they are about.
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

// harness drives one instance and records what it does.
type harness struct {
	t           *testing.T
	controller  *Controller
	now         float64
	answers     map[uint32]ActionKind // Reject or Abort; Run and Join are counted in runs
	runs        map[uint32]int
	lastActions []Action // what the latest event brought
	nextTimer   float64
	logEvents   []string
}

func newHarness(t *testing.T, s setup) *harness {
	w := &harness{
		t: t, controller: New(s.config()),
		answers: map[uint32]ActionKind{}, runs: map[uint32]int{},
	}
	w.handle(Event{Kind: Started})
	return w
}

func (w *harness) handle(e Event) []Action {
	w.t.Helper()
	w.lastActions = append([]Action(nil), w.controller.Handle(w.now, e)...)
	for _, a := range w.lastActions {
		switch a.Kind {
		case Run, Join:
			w.runs[a.RPC]++
		case Reject, Abort:
			if _, twice := w.answers[a.RPC]; twice {
				w.t.Errorf("RPC %d answered twice", a.RPC)
			}
			w.answers[a.RPC] = a.Kind
		case SetTimer:
			w.nextTimer = a.Time
		case LogEvent:
			w.logEvents = append(w.logEvents, a.Message)
		}
	}
	return w.lastActions
}

// arrive reads an RPC whose caller waits the whole deadline of method 0 unless e says else.
func (w *harness) arrive(id uint32, e Event) {
	w.t.Helper()
	e.Kind, e.RPC = Arrived, id
	if e.Remaining == 0 {
		e.Remaining = 3000
	}
	if e.QueuedKB == 0 {
		e.QueuedKB = 10
	}
	w.handle(e)
}

func (w *harness) complete(id uint32, o Outcome, spent float64) {
	w.t.Helper()
	w.handle(Event{Kind: Completed, RPC: id, Outcome: o, Elapsed: spent})
}

// advance lets time pass with its timers, the gauges standing still.
func (w *harness) advance(t float64, g Gauges) {
	w.t.Helper()
	for w.nextTimer <= t {
		w.now = w.nextTimer
		w.handle(Event{Kind: TimerFired, Gauges: g})
	}
	w.now = t
}

func (w *harness) did(d ActionKind, id uint32) bool {
	for _, a := range w.lastActions {
		if a.Kind == d && a.RPC == id {
			return true
		}
	}
	return false
}
