package control

import "testing"

// site is what a small server is told; cases change what they are about.
type site struct {
	node      Node
	fleet     Fleet
	below     Below
	rules     Rules
	methods   []Method
	customers []Customer
}

func plain() site {
	return site{
		node: Node{
			Seed: 1, StartSpeed: 0.2, WarmBy: 20000, Cores: 2, MemKB: 10000, RunFactor: 10, KeyKB: 5, Tick: 4,
		},
		fleet:   Fleet{Peers: 1, Callers: 4, TellsTime: true, MaxRetryAfter: 1000, OverShare: 0.1},
		rules:   Rules{DrainGrace: 2000, Ceiling: 8},
		methods: []Method{{Name: "get", LatencyTarget: 1000, Deadline: 3000, Criticality: 1}},
	}
}

// world drives one instance and books what it does.
type world struct {
	t     *testing.T
	c     *Control
	now   float64
	final map[uint32]Do // final answers: PushBack, Abort; Run and Join stand in runs
	runs  map[uint32]int
	last  []Action // what the latest event brought
	armed float64
	notes []string
}

func start(t *testing.T, s site) *world {
	w := &world{
		t: t, c: New(s.node, s.fleet, s.below, s.rules, s.methods, s.customers),
		final: map[uint32]Do{}, runs: map[uint32]int{},
	}
	w.ev(Event{Kind: Begin})
	return w
}

func (w *world) ev(e Event) []Action {
	w.t.Helper()
	w.last = append([]Action(nil), w.c.Handle(w.now, e)...)
	for _, a := range w.last {
		switch a.Do {
		case Run, Join:
			w.runs[a.RPC]++
		case PushBack, Abort:
			if _, twice := w.final[a.RPC]; twice {
				w.t.Errorf("RPC %d answered twice", a.RPC)
			}
			w.final[a.RPC] = a.Do
		case Arm:
			w.armed = a.Time
		case Note:
			w.notes = append(w.notes, a.Text)
		}
	}
	return w.last
}

// arrive reads an RPC whose caller waits the whole deadline of method 0 unless e says else.
func (w *world) arrive(id uint32, e Event) {
	w.t.Helper()
	e.Kind, e.RPC = Arrive, id
	if e.Time == 0 {
		e.Time = 3000
	}
	if e.HeldKB == 0 {
		e.HeldKB = 10
	}
	w.ev(e)
}

func (w *world) end(id uint32, o Outcome, spent float64) {
	w.t.Helper()
	w.ev(Event{Kind: Ended, RPC: id, Outcome: o, Spent: spent})
}

// until lets time pass with its timers, the gauges standing still.
func (w *world) until(t float64, g Gauges) {
	w.t.Helper()
	for w.armed <= t {
		w.now = w.armed
		w.ev(Event{Kind: Timer, Gauges: g})
	}
	w.now = t
}

func (w *world) did(d Do, id uint32) bool {
	for _, a := range w.last {
		if a.Do == d && a.RPC == id {
			return true
		}
	}
	return false
}
