package control

import "testing"

// site is what a small server is told; cases change what they are about.
type site struct {
	node      Node
	fleet     Fleet
	below     Dependency
	rules     Limits
	methods   []Method
	customers []Customer
}

func plain() site {
	return site{
		node: Node{
			Seed: 1, InitialSpeed: 0.2, WarmUpTime: 20000, Cores: 2, MemoryKB: 10000, RunMemoryFactor: 10, TokenKB: 5, Tick: 4,
		},
		fleet:   Fleet{Peers: 1, Callers: 4, PropagatesDeadline: true, MaxRetryAfter: 1000, OverQuotaFraction: 0.1},
		rules:   Limits{DrainGrace: 2000, MaxRunsPerCore: 8},
		methods: []Method{{Name: "get", LatencyObjective: 1000, Deadline: 3000, Criticality: 1}},
	}
}

// world drives one instance and books what it does.
type world struct {
	t     *testing.T
	c     *Controller
	now   float64
	final map[uint32]ActionKind // final answers: Reject, Abort; Run and Join stand in runs
	runs  map[uint32]int
	last  []Action // what the latest event brought
	armed float64
	notes []string
}

func start(t *testing.T, s site) *world {
	w := &world{
		t: t, c: New(s.node, s.fleet, s.below, s.rules, s.methods, s.customers),
		final: map[uint32]ActionKind{}, runs: map[uint32]int{},
	}
	w.ev(Event{Kind: Started})
	return w
}

func (w *world) ev(e Event) []Action {
	w.t.Helper()
	w.last = append([]Action(nil), w.c.Handle(w.now, e)...)
	for _, a := range w.last {
		switch a.Kind {
		case Run, Join:
			w.runs[a.RPC]++
		case Reject, Abort:
			if _, twice := w.final[a.RPC]; twice {
				w.t.Errorf("RPC %d answered twice", a.RPC)
			}
			w.final[a.RPC] = a.Kind
		case SetTimer:
			w.armed = a.Time
		case LogEvent:
			w.notes = append(w.notes, a.Message)
		}
	}
	return w.last
}

// arrive reads an RPC whose caller waits the whole deadline of method 0 unless e says else.
func (w *world) arrive(id uint32, e Event) {
	w.t.Helper()
	e.Kind, e.RPC = Arrived, id
	if e.Remaining == 0 {
		e.Remaining = 3000
	}
	if e.QueuedKB == 0 {
		e.QueuedKB = 10
	}
	w.ev(e)
}

func (w *world) end(id uint32, o Outcome, spent float64) {
	w.t.Helper()
	w.ev(Event{Kind: Completed, RPC: id, Outcome: o, Elapsed: spent})
}

// until lets time pass with its timers, the gauges standing still.
func (w *world) until(t float64, g Gauges) {
	w.t.Helper()
	for w.armed <= t {
		w.now = w.armed
		w.ev(Event{Kind: TimerFired, Gauges: g})
	}
	w.now = t
}

func (w *world) did(d ActionKind, id uint32) bool {
	for _, a := range w.last {
		if a.Kind == d && a.RPC == id {
			return true
		}
	}
	return false
}
