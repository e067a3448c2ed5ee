// Package gate is the facade of the decisions, in blocking style. A protocol enters each RPC that it has
// read, waits for verdicts, reports what became of runs, and ticks the clock. The gate owns the ids, the lock,
// the clock, the timer, the tokens with the results kept for their repeats, and the promise that each RPC
// gets exactly one final verdict, whatever races for it. It must never touch a socket, and it decides
// nothing: what is taken, run or turned away is for package control, whose events and actions stay in here.
package gate

import (
	"errors"
	"hash/maphash"
	"math"
	"sync"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

// Gate is one instance.
type Gate struct {
	log   Log
	now   func() time.Time
	told  *startup.Config
	trace Tracer       // nil for none
	store TokenStore   // nil for none
	parts QuotaChecker // nil for none

	methods   map[string]int
	customers map[string]int

	mu       sync.Mutex
	decide   *control.Controller // nil until Start
	origin   time.Time           // zero of the module's clock
	wake     float64
	label    uint64
	lastID   uint32
	tickets  map[uint32]*Ticket  // until the final verdict and the end of the run
	ids      map[string]struct{} // of these, as their protocol has them
	hash     maphash.Seed
	tokens   map[string]*token
	expiries *wheel // of the tokens, by when they are dropped
	keptKB   float64
	todo     []control.Event // what the actions of one event brought about
	draining bool
	leaves   time.Time     // when the drain began,
	stop     time.Duration // and how long after that the stop comes
	closed   bool
	good     bool
	idle     time.Duration
	changed  chan struct{}
	flow     Counts
	ran      []MethodStats // by method
	top      int           // the most critical
}

// New returns a gate for a server told o. Its table of tokens stays under a quarter of memoryMB.
func New(o *startup.Config, memoryMB int, log Log) *Gate {
	g := &Gate{
		log: log, now: time.Now, told: o,
		methods: map[string]int{}, customers: map[string]int{},
		tickets: map[uint32]*Ticket{}, ids: map[string]struct{}{}, tokens: map[string]*token{},
		hash:    maphash.MakeSeed(),
		keptKB:  float64(memoryMB) * 1024 / 4,
		idle:    ms(o.Fleet.IdleTimeout),
		changed: make(chan struct{}, 1),
	}
	for i, m := range o.Methods {
		g.methods[m.Name] = i
		g.ran = append(g.ran, MethodStats{Customers: make([]uint64, len(o.Customers)+1)})
		if m.Criticality > o.Methods[g.top].Criticality {
			g.top = i
		}
	}
	for i, c := range o.Customers {
		g.customers[c.Name] = i
	}
	return g
}

// UseClock has the gate go by another clock. It must be called before anything else.
func (g *Gate) UseClock(now func() time.Time) { g.now = now }

// UseTokenStore has tokens kept by k. It must be called before Start.
func (g *Gate) UseTokenStore(k TokenStore) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store = k
}

// UseQuota has arrivals of customers told apart by b.
func (g *Gate) UseQuota(b QuotaChecker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts = b
}

// UseTracer has all decisions told to t. It must be called before Start.
func (g *Gate) UseTracer(t Tracer) { g.trace = t }

// ErrClosed is what Enter says once the gate is closed.
var ErrClosed = errors.New("the gate is closed")

// Close gives all that is in hand its final verdict and takes nothing more: what never ran is pushed back.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, t := range g.tickets {
		k := t.joins
		if t.running || t.keeping || k != nil && k.ran { // what ran is never pushed back
			g.end(t, control.OutcomeReset, Verdict{Kind: Aborted, Reason: "the server is closed"})
		} else {
			g.end(t, control.OutcomeReset, Verdict{Kind: Rejected})
		}
	}
}

// Start begins the decisions: the work behind this server started a while ago, cold or warm. The time since
// then is lived through at once, so that a ramp stands where it would.
func (g *Gate) Start(cold bool, ago time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.decide != nil {
		return
	}
	now := g.now()
	g.origin = now.Add(-ago)
	o := g.told
	node := o.Node
	node.WarmingUp = cold
	if g.trace != nil {
		g.trace.Begin(o, cold, g.origin)
	}
	g.decide = control.New(node, o.Fleet, o.Dependency, o.Limits, o.Methods, o.Customers)
	g.handle(0, control.Event{Kind: control.Started})
	for at := g.wake; cold && at <= math.Min(g.clock(now), node.WarmUpTime); at = g.wake {
		g.handle(at, control.Event{Kind: control.TimerFired, Label: g.label})
	}
	g.notice(now)
}

// InFlight is the number of RPCs without a final verdict or with a run that is not over.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tickets)
}

// MaxAnswerTime is the longest deadline of a method, with the slack that an answer may take: who has not taken one by then no longer waits.
func (g *Gate) MaxAnswerTime() time.Duration {
	longest := 0.0
	for i := range g.told.Methods {
		longest = math.Max(longest, g.told.Methods[i].Deadline)
	}
	return ms(longest + g.told.AnswerSlack)
}

// CapRetryAfter is the time to stay away that goes with what the protocol itself pushes back, within what is honoured.
func (g *Gate) CapRetryAfter(away float64) float64 { return math.Min(away, g.told.Fleet.MaxRetryAfter) }
