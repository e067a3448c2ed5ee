// Package gate is the facade of the decisions, in blocking style. A protocol enters each RPC that it has
// read, waits for verdicts, reports what became of runs, and ticks the clock. The gate owns the ids, the lock,
// the clock, the timer, the tokens with the results kept for their repeats, and the promise that each RPC
// gets exactly one final verdict, whatever races for it. It must never touch a socket, and it decides
// nothing: what is taken, run or turned away is for package control, whose events and actions stay in here.
package gate

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"math"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/startup"
)

// Answer is what a verdict asks the protocol to do.
type Answer int

const (
	Run        Answer = iota // run the RPC, report its end, and wait for the next verdict
	OK                       // final: answer with Result
	PushedBack               // final: it never ran
	Aborted                  // final: an error, with no word on effects
	Gone                     // final: its caller no longer waits, nothing is owed
)

// Verdict is what has been decided on an RPC.
type Verdict struct {
	Answer Answer
	Result []byte  // OK
	Head   []byte  // OK: what a back put before its result, if anything; as it came
	Away   float64 // PushedBack: ms that the caller should stay away
	Last   bool    // PushedBack: the caller should not go elsewhere
	Why    string  // Aborted
	Late   bool    // Aborted: as its answer was due
}

// Outcome is what became of a run.
type Outcome int

const (
	Failed     Outcome = iota // may have had its effect
	Succeeded                 //
	NotStarted                // nothing ran
	Full                      // nothing ran: there was no room for it below, which may pass
	Unkept                    // succeeded, with a result that can't be kept for repeats
)

// RPC is what a protocol has read.
type RPC struct {
	ID               string // new with every try; "" if the protocol has none
	Method, Customer string
	Body             []byte
	Caller           uint16
	Subject          uint64  // 0 for none
	Door             float64 // when it reached the machine, in Unix ms
	Hint             float64 // expected work in ms, 0 for none
	HeldKB           float64
	Retry            bool
	Token            string // the same in all tries of a tokened RPC, which also have the same body
}

// Work is a run that a verdict asked for, as a back is told of it.
type Work struct {
	ID, Method string
	Body       []byte
	Due        float64 // Unix ms by which its answer must have been given
	Caller     uint64  // tells callers apart, where a back serves some of them only
	Variables  string  // what the RPC came with beside its body, in a form that front and back agree on
}

// CallerOf is what tells an RPC's caller from others: its subject, or the RPC itself if it has none.
func CallerOf(r *RPC) uint64 {
	h := uint64(r.Caller)<<32 ^ r.Subject
	if r.Subject == 0 {
		for i := range len(r.ID) {
			h = (h ^ uint64(r.ID[i])) * 1099511628211
		}
	}
	return h
}

// Runner has the work of an RPC run and calls done once with what became of it, the head as in ReportHead.
type Runner func(w Work, done func(how Outcome, spent float64, head, result []byte))

// Log takes the lines that the decisions and the gate have to say. The texts are constants; what differs from
// line to line is in the detail, if there is one.
type Log func(text, detail string)

// Tracer hears of all that the decisions are told and say, under the gate's lock: it must not block. The actions are
// valid until it returns. The token is the key of a tokened arrival, else "".
type Tracer interface {
	Begin(told *startup.Opening, cold bool, origin time.Time)
	Event(now float64, ev control.Event, actions []control.Action, token string)
}

// Keeper keeps what happened to tokens over restarts. Find may read a disk and is called without the gate's lock; the
// others are called under it and must not block. done is called later, from another goroutine.
type Keeper interface {
	Hash(body []byte) uint64
	Find(key string, body uint64, door, window float64) (says recovery.Says, head, result []byte)
	May() *recovery.Refusal // reserves room for one run; each is to be used by one Begin
	Begin(key string, body uint64, until float64, done func(error))
	End(key string, state recovery.State, body uint64, until float64, head, result []byte, done func(error))
}

// Budgets tells how an arrival stands to its server's part of its customer's quota, where servers share quotas, and in how
// many ms one that is over may be within. It is called under the gate's lock: it must neither block nor call the gate.
type Budgets interface {
	Arrives(method, customer string, criticality float64) (stands control.Budget, again float64)
}

// Gate is one instance.
type Gate struct {
	log   Log
	now   func() time.Time
	told  *startup.Opening
	trace Tracer  // nil for none
	store Keeper  // nil for none
	parts Budgets // nil for none

	methods   map[string]int
	customers map[string]int

	mu       sync.Mutex
	decide   *control.Control // nil until Start
	origin   time.Time        // zero of the module's clock
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
	flow     Flow
	ran      []Ran // by method
	top      int   // the most critical
}

// Flow counts RPCs since the start, by their final verdicts; those whose caller left are not in it. The most critical method is the one
// of the largest criticality, or the first of several.
type Flow struct {
	All, PushedBack, Aborted, Late uint64 // Late: ok past their latency target
	Top, TopBad                    uint64 // of the most critical method, and not ok
}

// Ran is what a method carried since the start.
type Ran struct {
	OK        uint64
	RunMs     float64  // of all of its runs
	Customers []uint64 // ok, by customer as the settings have them; the last is for those without one
}

// Flow returns the counts.
func (g *Gate) Flow() Flow {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.flow
}

// Carried returns what each method carried, as the settings have them.
func (g *Gate) Carried() []Ran {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := slices.Clone(g.ran)
	for i := range all {
		all[i].Customers = slices.Clone(all[i].Customers)
	}
	return all
}

// count notes a final verdict.
func (g *Gate) count(t *Ticket, v *Verdict) {
	if v.Answer == Gone || v.Answer == Run {
		return
	}
	f := &g.flow
	f.All++
	if t.method == g.top {
		f.Top++
		if v.Answer != OK {
			f.TopBad++
		}
	}
	switch v.Answer {
	case PushedBack:
		f.PushedBack++
	case Aborted:
		f.Aborted++
	case OK:
		if unixMs(g.now())-t.door > g.told.Methods[t.method].LatencyTarget {
			f.Late++
		}
		r := &g.ran[t.method]
		r.OK++
		r.Customers[min(t.customer, len(r.Customers)-1)]++
	}
}

// Ticket is one RPC that has been entered.
type Ticket struct {
	g        *Gate
	id       uint32
	name     string // the ID of its protocol
	body     uint64 // hash
	method   int
	customer int     // past the last for one that the settings don't have
	due      float64 // Unix ms
	door     float64
	began    float64       // its run, by the module's clock
	key      string        // of its token
	joins    *token        // whose result it waits for
	queue    [2]Verdict    // a run and a final one
	put, got int           // in it so far
	verdicts chan struct{} // has a value for each that was put and not got
	stored   uint64        // hash of the body for the store
	away     float64       // ms: the store's advice
	running  bool
	begun    bool // on disk
	keeping  bool // its end is on its way there
	final    bool
	told     Finisher // instead of a verdict in the channel, if the final one is not the run's own
}

// token is a try of a tokened RPC that repeats are told of. It is of the method, whatever front its tries come by.
type token struct {
	id        uint32
	key       string
	body      uint64  // hash
	until     float64 // Unix ms: no try that comes before may run
	expiry            // its time: repeats read late are past their deadline then
	ran, over bool
	ok        bool
	large     bool // it ran, and its result is too large to keep
	head      []byte
	result    []byte
	kb        float64 // of these beyond tokenKB
	joined    []*Ticket
}

const (
	// tokenKB bounds what a kept token takes: a result of up to plainResult and its entry, rounded up for the
	// allocator. One with a larger result counts for what it takes beyond.
	tokenKB     = 6
	plainResult = 4 << 10
	// keptMost is the largest share of all that may be kept that one result may take: a few large ones must not
	// keep tokens out.
	keptMost = 1.0 / 16
)

// New returns a gate for a server told o. Its table of tokens stays under a quarter of memoryMB.
func New(o *startup.Opening, memoryMB int, log Log) *Gate {
	g := &Gate{
		log: log, now: time.Now, told: o,
		methods: map[string]int{}, customers: map[string]int{},
		tickets: map[uint32]*Ticket{}, ids: map[string]struct{}{}, tokens: map[string]*token{},
		hash:    maphash.MakeSeed(),
		keptKB:  float64(memoryMB) * 1024 / 4,
		idle:    ms(o.Fleet.Idle),
		changed: make(chan struct{}, 1),
	}
	for i, m := range o.Methods {
		g.methods[m.Name] = i
		g.ran = append(g.ran, Ran{Customers: make([]uint64, len(o.Customers)+1)})
		if m.Criticality > o.Methods[g.top].Criticality {
			g.top = i
		}
	}
	for i, c := range o.Customers {
		g.customers[c.Name] = i
	}
	return g
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// clock is the module's time.
func (g *Gate) clock(t time.Time) float64 { return float64(t.Sub(g.origin)) / 1e6 }

// UseClock has the gate go by another clock. It must be called before anything else.
func (g *Gate) UseClock(now func() time.Time) { g.now = now }

// Keep has tokens kept by k. It must be called before Start.
func (g *Gate) Keep(k Keeper) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store = k
}

// Share has arrivals of customers told apart by b.
func (g *Gate) Share(b Budgets) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts = b
}

// Trace has all decisions told to t. It must be called before Start.
func (g *Gate) Trace(t Tracer) { g.trace = t }

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
			g.end(t, control.Reset, Verdict{Answer: Aborted, Why: "the server is closed"})
		} else {
			g.end(t, control.Reset, Verdict{Answer: PushedBack})
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
	node.Cold = cold
	if g.trace != nil {
		g.trace.Begin(o, cold, g.origin)
	}
	g.decide = control.New(node, o.Fleet, o.Below, o.Rules, o.Methods, o.Customers)
	g.handle(0, control.Event{Kind: control.Begin})
	for at := g.wake; cold && at <= math.Min(g.clock(now), node.WarmBy); at = g.wake {
		g.handle(at, control.Event{Kind: control.Timer, Label: g.label})
	}
	g.notice(now)
}

// Enter books an RPC as read. It never blocks; the verdicts come by Wait, and exactly one of them is final.
// An error tells that the RPC makes no sense here.
func (g *Gate) Enter(r RPC) (*Ticket, error) {
	m, known := g.methods[r.Method]
	if !known {
		return nil, fmt.Errorf("method %.40q is not known here", r.Method)
	}
	customer, known := g.customers[r.Customer]
	if !known && len(g.customers) > 0 {
		return nil, fmt.Errorf("customer %.40q is not known here", r.Customer)
	}
	tokened := g.told.Methods[m].Repeat == control.Tokened
	if tokened && r.Token == "" {
		return nil, fmt.Errorf("method %s: a token expected, none there", r.Method)
	}
	var stored stored
	if tokened {
		stored = g.recall(r)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, ErrClosed
	}
	// A second one under the id of an RPC in hand would get the result of the first, which it is not.
	if _, open := g.ids[r.ID]; open {
		return nil, fmt.Errorf("id: that of an RPC in hand, %.20q", r.ID)
	}
	at := g.now()
	now := unixMs(at)
	if g.expiries == nil {
		g.expiries = newWheel(now)
	}
	deadline := g.told.Methods[m].Deadline
	t := &Ticket{
		g: g, name: r.ID, method: m, door: math.Min(r.Door, now),
		verdicts: make(chan struct{}, 2), customer: customer,
	}
	door := math.Max(t.door, now-deadline) // one that is older is past its deadline anyway
	t.due = door + deadline
	if tokened {
		t.key, t.body = r.Method+"\x00"+r.Token, maphash.Bytes(g.hash, r.Body)
		if k := g.tokens[t.key]; k != nil && k.body != t.body && t.door < k.until {
			return nil, fmt.Errorf("token: its first try had another body")
		}
	}
	if tokened && g.store != nil {
		t.stored = stored.body
		if k := g.tokens[t.key]; k == nil || t.door >= k.until {
			switch stored.says { // a try before the start of this process is told of what happened to it
			case recovery.OtherBody:
				return nil, fmt.Errorf("token: its first try had another body")
			case recovery.Answer:
				t.finish(Verdict{Answer: OK, Head: stored.head, Result: stored.result})
				return t, nil
			case recovery.MayRun:
				t.finish(Verdict{Answer: Aborted, Why: "it may have run"})
				return t, nil
			case recovery.HasRun:
				t.finish(Verdict{Answer: Aborted, Why: "the try that it repeats has run; its result was too large to keep"})
				return t, nil
			}
		}
	}
	if g.decide == nil || tokened && g.tokens[t.key] == nil && g.keptKB < tokenKB {
		t.finish(Verdict{Answer: PushedBack})
		return t, nil
	}
	g.lastID++
	t.id = g.lastID
	ev := control.Event{
		Kind: control.Arrive, RPC: t.id, Method: m, Customer: customer, Caller: r.Caller, Subject: r.Subject,
		Waited: now - door, Hint: r.Hint, HeldKB: r.HeldKB, Retry: r.Retry,
	}
	if k := g.tokens[t.key]; k != nil && t.door < k.until {
		ev.Original, t.joins = k.id, k // its customer's quota was asked for the first try
	} else if g.parts != nil && len(g.customers) > 0 {
		ev.Budget, ev.Again = g.parts.Arrives(r.Method, r.Customer, g.told.Methods[m].Criticality)
	}
	g.tickets[t.id] = t
	if t.name != "" {
		g.ids[t.name] = struct{}{}
	}
	g.handle(g.clock(at), ev)
	return t, nil
}

// stored is what the store knows of a token.
type stored struct {
	says         recovery.Says
	body         uint64
	head, result []byte
}

// recall asks the store for a token that this process does not know.
func (g *Gate) recall(r RPC) (s stored) {
	key := r.Method + "\x00" + r.Token
	g.mu.Lock()
	store, now := g.store, unixMs(g.now()) // a store comes while the server listens already
	k := g.tokens[key]
	known := k != nil && r.Door < k.until
	g.mu.Unlock()
	if store == nil {
		return s
	}
	if s.body = store.Hash(r.Body); !known {
		s.says, s.head, s.result = store.Find(key, s.body, math.Min(r.Door, now), g.told.Methods[g.methods[r.Method]].Window)
	}
	return s
}

// Pick enters an RPC and blocks until its first verdict. If ctx ends before, the caller is taken to be gone.
func (g *Gate) Pick(ctx context.Context, r RPC) (*Ticket, Verdict, error) {
	t, err := g.Enter(r)
	if err != nil {
		return nil, Verdict{}, err
	}
	return t, t.Wait(ctx), nil
}

// Wait blocks until the next verdict. If ctx ends before, the caller is taken to be gone.
func (t *Ticket) Wait(ctx context.Context) Verdict {
	select {
	case <-t.verdicts:
	case <-ctx.Done():
		t.Leave()
		<-t.verdicts
	}
	return t.take()
}

// take gets the verdict that a value in the channel stands for.
func (t *Ticket) take() Verdict {
	t.got++
	return t.queue[t.got-1]
}

// give puts a verdict; it is called with the lock held.
func (t *Ticket) give(v Verdict) {
	t.queue[t.put] = v
	t.put++
	t.verdicts <- struct{}{}
}

// Now is the next verdict if it is there already.
func (t *Ticket) Now() (v Verdict, there bool) {
	select {
	case <-t.verdicts:
		return t.take(), true
	default:
		return v, false
	}
}

// Leave tells that the caller no longer waits. It does nothing once there is a final verdict.
func (t *Ticket) Leave() { t.leave(control.Error) }

// Lost tells that the caller's connection broke, which says nothing of how long it would have waited.
func (t *Ticket) Lost() { t.leave(control.Reset) }

func (t *Ticket) leave(how control.Outcome) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.end(t, how, Verdict{Answer: Gone})
}

// end gives a final verdict that the module has no part in. The module hears first, so that it can still
// drop the token of what never ran.
func (g *Gate) end(t *Ticket, how control.Outcome, v Verdict) {
	if !t.final {
		g.handle(g.clock(g.now()), control.Event{Kind: control.Left, RPC: t.id, Outcome: how})
		t.finish(v)
	}
}

// Report tells what became of a run that a verdict asked for. The verdict that answers it comes by Wait,
// if the RPC has none yet.
func (t *Ticket) Report(how Outcome, spent float64, result []byte) {
	t.ReportHead(how, spent, nil, result)
}

// ReportHead is Report with what the back put before the result: the head of an HTTP answer, say. It is kept and
// handed on with the result, and never looked at here.
// Spent is the time that the run took in ms; 0 for the time since it was asked for.
func (t *Ticket) ReportHead(how Outcome, spent float64, head, result []byte) {
	t.End(how, spent, head, result)
}

// End is ReportHead, and returns whether the verdict that the caller hears is that of the run. With a store it is heard
// once the end is on disk, and the return value tells only that no other verdict had been given by then.
func (t *Ticket) End(how Outcome, spent float64, head, result []byte) bool {
	g := t.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.running {
		return false
	}
	t.running = false
	if spent == 0 {
		spent = g.clock(g.now()) - t.began
	}
	own := !t.final
	if t.begun {
		t.keep(how, head, result)
	} else {
		t.over(how, head, result)
	}
	g.ran[t.method].RunMs += spent
	outcome := [...]control.Outcome{control.Error, control.OK, control.Moot, control.Moot, control.OK}[how]
	g.handle(g.clock(g.now()), control.Event{Kind: control.Ended, RPC: t.id, Outcome: outcome, Spent: spent})
	return own
}

// keep has the end of a run that was begun on disk written there, and gives the verdict once it is. An end that can't
// be made durable is told as one that may have run: that is what a repeat would hear after a restart.
func (t *Ticket) keep(how Outcome, head, result []byte) {
	g := t.g
	k := g.tokens[t.key]
	if k == nil || k.id != t.id { // its token has been dropped meanwhile: its window is over
		k = &token{until: t.door + g.told.Methods[t.method].Window}
	}
	state := [...]recovery.State{recovery.Failed, recovery.Done, recovery.Forgotten, recovery.Forgotten, recovery.Unkept}[how]
	t.keeping = true
	g.store.End(t.key, state, t.stored, k.until, head, result, func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		t.keeping = false
		if err != nil && (how == Succeeded || how == Unkept) {
			how = Failed
		}
		t.over(how, head, result)
	})
}

// over gives the verdict of a run that has ended, to its caller and to those that joined it.
func (t *Ticket) over(how Outcome, head, result []byte) {
	g := t.g
	if k := g.tokens[t.key]; k != nil && k.id == t.id {
		if how == NotStarted || how == Full {
			g.forget(k)
		} else {
			g.keep(k, how, head, result)
			g.settle(k)
		}
	}
	t.told = nil // the verdict is the run's own
	switch how {
	case Succeeded, Unkept:
		t.finish(Verdict{Answer: OK, Head: head, Result: result})
	case Full:
		t.finish(Verdict{Answer: PushedBack, Away: g.Advice(math.Max(fullAway, t.away))})
	default:
		t.finish(Verdict{Answer: Aborted, Why: "the run failed"})
	}
	g.drop(t)
}

// Finisher hears of a final verdict, under the gate's lock: it must not block, nor call the gate.
type Finisher interface{ Final(Verdict) }

// OnFinal has f told of the final verdict if that is not the run's own, instead of Wait returning it; at once if there
// is one already.
func (t *Ticket) OnFinal(f Finisher) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	if v, there := t.Now(); there {
		f.Final(v)
		return
	}
	t.told = f
}

// fullAway is the ms to stay away for one that found no room below: a few run times, in which a place comes free.
const fullAway = 500.0

// Due is when the answer to the RPC must have been given, in Unix ms. It does not change.
func (t *Ticket) Due() float64 { return t.due }

// Tick moves the clock on, with the gauges as they stand in the order told, none if they are not known. It returns
// the time until it should be called next. Ticks that came due in a stall are made up for by one.
func (g *Gate) Tick(gauges []float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.decide == nil {
		return 10 * time.Millisecond // nothing runs yet; the start is noticed soon enough
	}
	at := g.now()
	now := g.clock(at)
	if now >= g.wake {
		ev := control.Event{Kind: control.Timer, Label: g.label}
		ev.Gauges.Stale = len(gauges) == 0 && len(g.told.Gauges) > 0
		for i := range min(len(gauges), len(g.told.Gauges)) {
			switch g.told.Gauges[i] {
			case "core_use":
				ev.Gauges.CoreUse = gauges[i]
			case "on_cores":
				ev.Gauges.OnCores = gauges[i]
			}
		}
		g.handle(now, ev)
		g.sweep(unixMs(at))
	}
	return ms(math.Max(1, g.wake-now))
}

// sweep drops what has had its time. An RPC that the decisions have left without an answer past its due time
// gets one here: no error in them may lose it.
func (g *Gate) sweep(now float64) {
	for _, t := range g.tickets {
		if !t.final && now > t.due+g.told.Slack/2 {
			g.log("gate: an RPC was overdue", "")
			g.end(t, control.Reset, Verdict{Answer: Aborted, Why: "overdue", Late: true})
		}
	}
	if g.expiries == nil {
		return
	}
	g.expiries.advance(now, func(e *expiry) {
		k := e.token
		if !k.over && g.tickets[k.id] != nil { // its run goes on; it is looked at again soon
			k.at = now + slotMs
			g.expiries.add(e)
			return
		}
		g.release(k)
	})
}

// Drain tells that the server will be stopped after a while.
func (g *Gate) Drain(stop time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining, g.leaves, g.stop = true, g.now(), stop
	g.notice(g.leaves)
}

// notice tells the decisions of a drain, if they have begun: it may be older than they are.
func (g *Gate) notice(now time.Time) {
	if g.decide != nil && g.draining {
		g.handle(g.clock(now), control.Event{Kind: control.Notice, Time: float64(g.stop) / 1e6, Waited: float64(now.Sub(g.leaves)) / 1e6})
	}
}

// Stay takes a drain back: the server goes on, warm, as if it had never been told to leave. Nothing that arrived past the grace is
// run for it; what arrives from now on is.
func (g *Gate) Stay() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		return
	}
	g.draining = false
	if g.decide != nil {
		g.handle(g.clock(g.now()), control.Event{Kind: control.Stay})
	}
}

// Good is what health checks are told.
func (g *Gate) Good() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.good && !g.draining
}

// Started tells whether the decisions have begun.
func (g *Gate) Started() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decide != nil
}

// Changed has a value after health has changed.
func (g *Gate) Changed() <-chan struct{} { return g.changed }

// Idle is how long a connection may carry nothing.
func (g *Gate) Idle() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// Advice is the time to stay away that goes with what the protocol itself pushes back, within what is honoured.
func (g *Gate) Advice(away float64) float64 { return math.Min(away, g.told.Fleet.MaxRetryAfter) }

// Longest is the longest deadline of a method, with the slack that an answer may take: who has not taken one by then no longer waits.
func (g *Gate) Longest() time.Duration {
	longest := 0.0
	for i := range g.told.Methods {
		longest = math.Max(longest, g.told.Methods[i].Deadline)
	}
	return ms(longest + g.told.Slack)
}

// InHand is the number of RPCs without a final verdict or with a run that is not over.
func (g *Gate) InHand() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tickets)
}

// handle gives an event to the module and carries out what it says, and so on with what that brought about.
// A panic in there costs the RPC concerned, not the server.
func (g *Gate) handle(now float64, ev control.Event) {
	g.todo = append(g.todo, ev)
	if len(g.todo) > 1 {
		return // the call below this one goes on with it
	}
	defer func() {
		g.todo = g.todo[:0]
		if v := recover(); v != nil {
			g.log("gate: panic in the decisions", fmt.Sprintf("%v\n%s", v, debug.Stack()))
			if t := g.tickets[ev.RPC]; t != nil {
				t.finish(Verdict{Answer: Aborted, Why: "a fault of the server"})
			}
			g.wake = math.Max(g.wake, now+faultPause)
		}
	}()
	for i := 0; i < len(g.todo); i++ {
		actions := g.decide.Handle(now, g.todo[i])
		if g.trace != nil {
			token := ""
			if t := g.tickets[g.todo[i].RPC]; t != nil && g.todo[i].Kind == control.Arrive {
				token = t.key
			}
			g.trace.Event(now, g.todo[i], actions, token)
		}
		for _, a := range actions {
			g.carryOut(a)
		}
	}
}

// faultPause is the time to the next tick when one has ended in a panic before it asked for another.
const faultPause = 40.0

// dueSoon is the ms before the due time in which the module gives up what is due: two of its looks.
const dueSoon = 80.0

func (g *Gate) carryOut(a control.Action) {
	switch a.Do {
	case control.Arm:
		g.wake, g.label = a.Time, a.Label
		return
	case control.Health:
		if g.good != a.Good {
			g.good = a.Good
			select {
			case g.changed <- struct{}{}:
			default:
			}
		}
		return
	case control.IdleAfter:
		g.idle = ms(a.Time)
		if a.Time == 0 {
			g.idle = ms(g.told.Fleet.Idle)
		}
		return
	case control.Note:
		g.log(a.Text, "")
		return
	}
	t := g.tickets[a.RPC]
	if t == nil { // it is over; a run of it must still end for the module
		if a.Do == control.Run {
			g.later(control.Event{Kind: control.Ended, RPC: a.RPC, Outcome: control.Moot})
		}
		return
	}
	switch a.Do {
	case control.Run:
		g.run(t)
	case control.PushBack:
		v := Verdict{Answer: PushedBack, Last: a.Last, Away: math.Min(a.Time, g.told.Fleet.MaxRetryAfter)}
		if k := t.joins; t.running || k != nil && k.ran && g.tokens[t.key] == k {
			v = Verdict{Answer: Aborted, Why: "it may have run"} // what ran is never pushed back
		}
		t.finish(v)
	case control.Abort:
		late := unixMs(g.now())+dueSoon > t.due
		t.finish(Verdict{Answer: Aborted, Why: "given up", Late: late})
	case control.Remember:
		g.remember(t, a.Time)
	case control.Forget:
		if k := g.tokens[t.key]; k != nil && k.id == t.id && !k.ran {
			g.forget(k)
		}
	case control.Join:
		k := t.joins
		if k == nil || g.tokens[t.key] != k {
			g.ended(t, Verdict{Answer: Aborted, Why: "the try that it repeats is over"})
			return
		}
		k.joined = append(k.joined, t)
		if k.over {
			g.settle(k)
		}
	default:
		g.log("gate: an action that this server can't carry out", "")
	}
}

// run starts an RPC, unless another try of it has run within its window: that guards the rule against
// any fault in what the module remembers.
func (g *Gate) run(t *Ticket) {
	k := g.tokens[t.key]
	if k != nil && k.id != t.id && k.ran && t.door < k.until {
		g.log("gate: a second run of a tokened RPC was stopped", "")
		g.ended(t, Verdict{Answer: Aborted, Why: "another try has run"})
		return
	}
	t.running, t.began = true, g.clock(g.now())
	if k == nil || k.id != t.id || g.store == nil {
		if k != nil && k.id == t.id {
			k.ran = true
		}
		t.give(Verdict{Answer: Run})
		return
	}
	if no := g.store.May(); no != nil { // what can't be remembered is not run
		t.away = no.After
		t.notRun()
		return
	}
	k.ran = true // it may have, from here on
	g.store.Begin(t.key, t.stored, k.until, func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		switch {
		case err != nil:
			k.ran = false
			t.notRun()
		case t.final: // its caller has left, or was answered: nothing runs any more
			k.ran = false
			g.store.End(t.key, recovery.Forgotten, t.stored, k.until, nil, nil, func(error) {})
			t.notRun()
		default:
			t.begun = true
			t.give(Verdict{Answer: Run})
		}
	})
}

// notRun ends a run that the store has kept from beginning.
func (t *Ticket) notRun() {
	t.running = false
	t.over(Full, nil, nil)
	t.g.later(control.Event{Kind: control.Ended, RPC: t.id, Outcome: control.Moot})
}

// remember sets the token of a try; one that it takes over from is no longer named.
func (g *Gate) remember(t *Ticket, life float64) {
	if t.key == "" {
		return
	}
	if k := g.tokens[t.key]; k != nil {
		if k.ran && t.door < k.until {
			return
		}
		g.forget(k)
	}
	until := math.Max(unixMs(g.now())+life, t.door+g.told.Methods[t.method].Window+1) // a door has whole ms
	k := &token{id: t.id, key: t.key, body: t.body, until: until}
	k.at, k.token = until+g.told.Methods[t.method].Deadline, k
	g.tokens[t.key] = k
	g.expiries.add(&k.expiry)
	g.keptKB -= tokenKB
}

// release drops a token and what is kept with it.
func (g *Gate) release(k *token) {
	if g.tokens[k.key] != k {
		return
	}
	delete(g.tokens, k.key)
	g.expiries.remove(&k.expiry)
	g.keptKB += tokenKB + k.kb
}

// keep takes the end of a token's run, and its result if there is room for that. A repeat of one whose result is
// not kept hears that it ran, and never runs.
func (g *Gate) keep(k *token, how Outcome, head, result []byte) {
	k.over, k.ok, k.large = true, how == Succeeded, how == Unkept
	if !k.ok {
		return
	}
	if more := float64(len(head)+len(result)-plainResult) / 1024; more > 0 {
		most := keptMost * (g.keptKB + tokenKB*float64(len(g.tokens)))
		if more > most || more > g.keptKB {
			k.ok, k.large = false, true
			return
		}
		k.kb = more
		g.keptKB -= more
	}
	k.head, k.result = head, result
}

// forget drops a token whose try never ran. Those that wait for it end with an error.
func (g *Gate) forget(k *token) {
	g.release(k)
	k.over = true
	g.settle(k)
}

// settle ends those that wait for a token's try.
func (g *Gate) settle(k *token) {
	joined := k.joined
	k.joined = nil
	for _, t := range joined {
		switch {
		case k.ok:
			g.ended(t, Verdict{Answer: OK, Head: k.head, Result: k.result})
		case k.large:
			g.ended(t, Verdict{Answer: Aborted, Why: "the try that it repeats has run; its result was too large to keep"})
		default:
			g.ended(t, Verdict{Answer: Aborted, Why: "the try that it repeats failed"})
		}
	}
}

// ended gives a held or joined RPC its verdict and tells the module that it is over.
func (g *Gate) ended(t *Ticket, v Verdict) {
	if !t.finish(v) {
		return
	}
	outcome := control.Error
	if v.Answer == OK {
		outcome = control.OK
	}
	g.later(control.Event{Kind: control.Ended, RPC: t.id, Outcome: outcome})
}

// later hands an event to the module after the one in hand, or now if there is none.
func (g *Gate) later(ev control.Event) { g.handle(g.clock(g.now()), ev) }

// finish gives the final verdict if there is none yet, and tells whether it did.
func (t *Ticket) finish(v Verdict) bool {
	if t.final {
		return false
	}
	t.final = true
	t.g.count(t, &v)
	if t.told != nil {
		t.told.Final(v)
	} else {
		t.give(v)
	}
	if !t.running && !t.keeping {
		t.g.drop(t)
	}
	return true
}

// drop takes out a ticket that is over.
func (g *Gate) drop(t *Ticket) {
	if g.tickets[t.id] == t {
		delete(g.tickets, t.id)
		delete(g.ids, t.name)
	}
}
