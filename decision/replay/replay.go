// Package replay re-runs the control decisions over a recorded trace on a virtual clock. Exact feeds the recorded
// events and reports where the verdicts diverge from the recorded ones; with the same build and settings they never do.
// Model answers what other settings would have done: it takes the recorded arrivals and simulates the service itself,
// since requests that were not admitted then have no recorded completion. Both keep only in-flight state and use no
// clock but the trace's timestamps.
package replay

import (
	"container/heap"
	"errors"
	"io"
	"math"

	"sorrelvalve/control"
)

// Step is one recorded event, with the verdicts that it brought. Times are ms.
type Step struct {
	Now     float64
	Event   control.Event
	Token   uint64 // hash; 0 for none
	Actions []control.Action
}

// Settings are what the decisions are made from.
type Settings struct {
	Node       control.Node
	Fleet      control.Fleet
	Dependency control.Dependency
	Limits     control.Limits
	Methods    []control.Method
	Customers  []control.Customer
}

func (s *Settings) start() *control.Controller {
	return control.New(s.Node, s.Fleet, s.Dependency, s.Limits, s.Methods, s.Customers)
}

// Verdict is what became of an RPC.
type Verdict uint8

const (
	OK         Verdict = iota // within its latency target
	Late                      // ok, past it
	PushedBack                //
	Aborted                   //
	Gone                      // its caller left first
)

func (v Verdict) String() string {
	return [...]string{"ok", "late", "pushed back", "aborted", "gone"}[min(v, Gone)]
}

// TurnedAway tells whether that is a verdict with no result.
func (v Verdict) TurnedAway() bool { return v == PushedBack || v == Aborted }

// Final is the end of one RPC. Nth counts arrivals from 0.
type Final struct {
	Nth     int
	RPC     uint32
	Method  int
	Arrived float64
	At      float64
	Verdict Verdict
}

// Tally counts ends.
type Tally struct{ N, OK, Late, PushedBack, Aborted, Gone int }

// Add counts one.
func (t *Tally) Add(v Verdict) {
	t.N++
	switch v {
	case OK:
		t.OK++
	case Late:
		t.Late++
	case PushedBack:
		t.PushedBack++
	case Aborted:
		t.Aborted++
	case Gone:
		t.Gone++
	}
}

// Served is the criticality that the ends of a method came to, and all that there was. Callers that left count for
// nothing on either side.
func (t *Tally) Served(m *control.Method) (got, all float64) {
	return m.Criticality * (float64(t.OK) + m.LateFraction*float64(t.Late)), m.Criticality * float64(t.N-t.Gone)
}

// Parting is a place at which verdicts part from the recorded ones.
type Parting struct {
	Step, At int // which step, and which verdict of it
	Now      float64
	Was, Is  control.Action // the zero Action for none
}

// open is an RPC that has arrived and has no end yet.
type open struct {
	nth     int
	method  int
	arrived float64
	target  float64
	due     float64
	final   bool
	run     bool // on the machine, for Model
	joined  bool
	token   uint64
	work    float64
}

// ErrBegin is that the steps do not begin where the decisions did.
var ErrBegin = errors.New("the trace does not hold its beginning: verdicts can't be compared exactly")

// Exact feeds the events as they were. part is called for each verdict that differs, end for each RPC as recorded. The
// error is that of next, but for io.EOF.
func Exact(s *Settings, next func() (Step, error), part func(Parting), end func(Final)) (steps int, err error) {
	c := s.start()
	in := map[uint32]*open{}
	nth := 0
	for ; ; steps++ {
		x, err := next()
		if err == io.EOF {
			return steps, nil
		} else if err != nil {
			return steps, err
		}
		if steps == 0 && x.Event.Kind != control.Started {
			return 0, ErrBegin
		}
		k := 0
		for _, a := range c.Handle(x.Now, x.Event) {
			if !verdict(a.Kind) {
				continue
			}
			var was control.Action
			if k < len(x.Actions) {
				was = x.Actions[k]
			}
			if k >= len(x.Actions) || was.Kind != a.Kind || was.RPC != a.RPC || was.Time != a.Time || was.NoRetry != a.NoRetry {
				part(Parting{steps, k, x.Now, was, a})
			}
			k++
		}
		for ; k < len(x.Actions); k++ {
			part(Parting{steps, k, x.Now, x.Actions[k], control.Action{}})
		}
		ev := &x.Event
		if ev.Kind == control.Arrived {
			in[ev.RPC] = s.open(nth, x.Now, ev, x.Token)
			nth++
		}
		for _, a := range x.Actions {
			o := in[a.RPC]
			if o == nil {
				continue
			}
			switch a.Kind {
			case control.Reject:
				o.end(end, a.RPC, x.Now, PushedBack)
				delete(in, a.RPC)
			case control.Abort:
				o.end(end, a.RPC, x.Now, Aborted)
			case control.Run, control.Join:
				o.run = true
			}
		}
		if o := in[ev.RPC]; o != nil && (ev.Kind == control.CallerGone || ev.Kind == control.Completed) {
			switch {
			case ev.Kind == control.CallerGone:
				o.end(end, ev.RPC, x.Now, Gone)
			case ev.Outcome == control.OutcomeOK:
				o.end(end, ev.RPC, x.Now, o.ok(x.Now))
			case ev.Outcome == control.OutcomeNotStarted:
				o.end(end, ev.RPC, x.Now, PushedBack)
			default:
				o.end(end, ev.RPC, x.Now, Aborted)
			}
			if ev.Kind == control.Completed || !o.run {
				delete(in, ev.RPC)
			}
		}
	}
}

func verdict(d control.ActionKind) bool {
	return d == control.Run || d == control.Reject || d == control.Abort || d == control.Join
}

func (s *Settings) open(nth int, now float64, ev *control.Event, token uint64) *open {
	m := &s.Methods[min(ev.Method, len(s.Methods)-1)]
	o := &open{nth: nth, method: ev.Method, arrived: now - ev.Age, token: token}
	o.target, o.due = o.arrived+m.LatencyObjective+m.ObjectiveStretch*ev.CostHint, o.arrived+m.Deadline
	return o
}

func (o *open) ok(now float64) Verdict {
	if now <= o.target {
		return OK
	}
	return Late
}

func (o *open) end(tell func(Final), rpc uint32, now float64, v Verdict) {
	if !o.final {
		o.final = true
		tell(Final{o.nth, rpc, o.method, o.arrived, now, v})
	}
}

// Machine is what does the work in a Model: cores that all runs share evenly, with what the runs were seen to take.
type machine struct {
	cores float64
	now   float64
	done  float64 // work that a run on it since the beginning has had
	runs  ends
	use   float64 // share of the cores busy, of late
}

// run ends once done has come to until.
type run struct {
	until float64
	rpc   uint32
}

type ends []run

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, k int) bool { return h[i].until < h[k].until }
func (h ends) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *ends) Push(x any)        { *h = append(*h, x.(run)) }
func (h *ends) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// useTime in ms is the time constant of the gauge, which stands for half a second.
const useTime = 250.0

func (m *machine) rate() float64 {
	return math.Min(1, m.cores/math.Max(1, float64(len(m.runs))))
}

// pass moves the machine's clock on; no run may end before.
func (m *machine) pass(now float64) {
	if now <= m.now {
		return
	}
	busy := math.Min(1, float64(len(m.runs))/m.cores)
	m.use += (1 - math.Exp(-(now-m.now)/useTime)) * (busy - m.use)
	m.done += (now - m.now) * m.rate()
	m.now = now
}

// next is when the first run ends.
func (m *machine) next() float64 {
	if len(m.runs) == 0 {
		return math.Inf(1)
	}
	return m.now + math.Max(0, m.runs[0].until-m.done)/m.rate()
}

// remembered is a token of a Model.
type remembered struct {
	rpc   uint32
	until float64
	over  bool
	ok    bool
	joins []uint32
}

// model is one instance of Model at work.
type model struct {
	s       *Settings
	c       *control.Controller
	m       machine
	in      map[uint32]*open
	tokens  map[uint64]*remembered
	wake    float64
	label   uint64
	end     func(Final)
	todo    []control.Event
	means   []mean // of the work of each method
	expires []expiry
}

type mean struct{ sum, n float64 }

type expiry struct {
	at    float64
	token uint64
}

// Model takes the arrivals, the leaving callers and the notices of the steps, and tells the end of each RPC under the
// settings. The work of a run is what was recorded for it, else its hint, else what its method took so far; where runs
// shared cores, what was recorded is taken down by the crowd that the last gauge told. The error is that of next.
func Model(s *Settings, next func() (Step, error), end func(Final)) error {
	d := &model{
		s: s, c: s.start(), m: machine{cores: math.Max(1, float64(s.Node.Cores))}, in: map[uint32]*open{},
		tokens: map[uint64]*remembered{}, wake: math.Inf(1), end: end, means: make([]mean, len(s.Methods)),
	}
	spent := map[uint32]float64{} // recorded runs are only known at their end, so steps are read ahead by a while
	ahead := newAhead(next, spent, d.m.cores)
	begun := false
	nth := 0
	for {
		x, err := ahead.step()
		if err != nil && err != io.EOF {
			return err
		}
		if err == io.EOF { // what is in hand still ends
			limit := d.m.now
			for _, o := range d.in {
				limit = math.Max(limit, o.due)
			}
			d.until(limit + 1000)
			return nil
		}
		if !begun {
			begun = true
			d.m.now = x.Now
			d.handle(x.Now, control.Event{Kind: control.Started})
			if x.Event.Kind == control.Started {
				continue
			}
		}
		ev := x.Event
		switch ev.Kind {
		case control.Arrived, control.CallerGone, control.DrainNotice, control.DrainCancelled:
			d.until(x.Now)
		default:
			continue
		}
		switch ev.Kind {
		case control.Arrived:
			o := s.open(nth, x.Now, &ev, x.Token)
			nth++
			o.work = d.work(&ev, spent)
			d.in[ev.RPC] = o
			ev.DuplicateOf = 0
			if k := d.tokens[x.Token]; x.Token != 0 && k != nil && o.arrived < k.until {
				ev.DuplicateOf = k.rpc
			}
			d.handle(x.Now, ev)
		case control.CallerGone:
			if o := d.in[ev.RPC]; o != nil && !o.final {
				o.end(end, ev.RPC, x.Now, Gone)
				d.handle(x.Now, ev)
				if !o.run && !o.joined {
					delete(d.in, ev.RPC)
				}
			}
		case control.DrainNotice, control.DrainCancelled:
			d.handle(x.Now, ev)
		}
	}
}

// work is what a run of an RPC takes on one core.
func (d *model) work(ev *control.Event, spent map[uint32]float64) float64 {
	m := min(ev.Method, len(d.means)-1)
	w, seen := spent[ev.RPC]
	delete(spent, ev.RPC)
	switch {
	case seen:
		d.means[m].sum += w
		d.means[m].n++
	case ev.CostHint > 0:
		w = ev.CostHint
	case d.means[m].n > 0:
		w = d.means[m].sum / d.means[m].n
	default:
		w = d.s.Methods[m].LatencyObjective / 6 // as the decisions begin
	}
	return math.Max(0.001, w)
}

// until lives through the ends of runs and the timers before now.
func (d *model) until(now float64) {
	for {
		at := math.Min(d.m.next(), d.wake)
		if at > now {
			break
		}
		if at = math.Max(at, d.m.now); d.wake < d.m.next() {
			d.m.pass(at)
			ev := control.Event{Kind: control.TimerFired, Label: d.label}
			ev.Gauges.CPUUtilization, ev.Gauges.Runnable = d.m.use, float64(len(d.m.runs))
			d.wake = math.Inf(1)
			d.handle(at, ev)
			for len(d.expires) > 0 && d.expires[0].at < at {
				if k := d.tokens[d.expires[0].token]; k != nil && k.until <= d.expires[0].at && (k.over || d.in[k.rpc] == nil) {
					delete(d.tokens, d.expires[0].token)
				}
				d.expires = d.expires[1:]
			}
			continue
		}
		d.m.pass(at)
		r := heap.Pop(&d.m.runs).(run)
		d.ended(r.rpc, at, control.OutcomeOK)
	}
	d.m.pass(now)
}

// ended is the end of a run, and of those that joined it.
func (d *model) ended(rpc uint32, now float64, how control.Outcome) {
	o := d.in[rpc]
	if o == nil {
		return
	}
	delete(d.in, rpc)
	if how == control.OutcomeOK {
		o.end(d.end, rpc, now, o.ok(now))
	} else {
		o.end(d.end, rpc, now, Aborted)
	}
	d.handle(now, control.Event{Kind: control.Completed, RPC: rpc, Outcome: how, Elapsed: o.work})
	if k := d.tokens[o.token]; o.token != 0 && k != nil && k.rpc == rpc {
		k.over, k.ok = true, how == control.OutcomeOK
		joins := k.joins
		k.joins = nil
		for _, j := range joins {
			d.ended(j, now, how)
		}
	}
}

// handle gives the decisions an event and carries out what they say.
func (d *model) handle(now float64, ev control.Event) {
	d.todo = append(d.todo, ev)
	if len(d.todo) > 1 {
		return
	}
	for i := 0; i < len(d.todo); i++ {
		for _, a := range append([]control.Action(nil), d.c.Handle(now, d.todo[i])...) {
			d.carryOut(now, a)
		}
	}
	d.todo = d.todo[:0]
}

func (d *model) carryOut(now float64, a control.Action) {
	if a.Kind == control.SetTimer {
		d.wake, d.label = a.Time, a.Label
		return
	}
	o := d.in[a.RPC]
	if o == nil {
		return
	}
	switch a.Kind {
	case control.Run:
		o.run = true
		heap.Push(&d.m.runs, run{d.m.done + o.work, a.RPC})
	case control.Reject:
		o.end(d.end, a.RPC, now, PushedBack)
		delete(d.in, a.RPC)
	case control.Abort:
		o.end(d.end, a.RPC, now, Aborted)
		if !o.run {
			delete(d.in, a.RPC)
		}
	case control.CacheToken:
		if o.token != 0 {
			until := math.Max(now+a.Time, o.arrived+d.s.Methods[o.method].DedupWindow)
			d.tokens[o.token] = &remembered{rpc: a.RPC, until: until}
			d.expires = append(d.expires, expiry{until, o.token})
		}
	case control.EvictToken:
		if k := d.tokens[o.token]; k != nil && k.rpc == a.RPC {
			delete(d.tokens, o.token)
		}
	case control.Join:
		o.joined = true
		k := d.tokens[o.token]
		switch {
		case k == nil:
			d.joinOver(now, a.RPC, control.OutcomeError)
		case k.over && k.ok:
			d.joinOver(now, a.RPC, control.OutcomeOK)
		case k.over:
			d.joinOver(now, a.RPC, control.OutcomeError)
		default:
			k.joins = append(k.joins, a.RPC)
		}
	}
}

func (d *model) joinOver(now float64, rpc uint32, how control.Outcome) {
	o := d.in[rpc]
	delete(d.in, rpc)
	if how == control.OutcomeOK {
		o.end(d.end, rpc, now, o.ok(now))
	} else {
		o.end(d.end, rpc, now, Aborted)
	}
	d.todo = append(d.todo, control.Event{Kind: control.Completed, RPC: rpc, Outcome: how})
}

// ahead reads steps so far before they are played that the end of nearly every run is known.
type ahead struct {
	next  func() (Step, error)
	spent map[uint32]float64
	cores float64
	crowd float64
	queue []Step
	err   error
}

// reach in ms is how far steps are read ahead, and mostAhead how many: runs longer than that count by their hint.
const (
	reach     = 10e3
	mostAhead = 200000
)

func newAhead(next func() (Step, error), spent map[uint32]float64, cores float64) *ahead {
	return &ahead{next: next, spent: spent, cores: cores}
}

func (a *ahead) step() (Step, error) {
	for a.err == nil && (len(a.queue) < 2 || len(a.queue) < mostAhead && a.queue[len(a.queue)-1].Now-a.queue[0].Now < reach) {
		x, err := a.next()
		if err != nil {
			a.err = err
			break
		}
		ev := &x.Event
		switch ev.Kind {
		case control.TimerFired:
			a.crowd = ev.Gauges.Runnable
			continue // not played
		case control.Completed:
			if ev.Outcome == control.OutcomeOK && ev.Elapsed > 0 {
				a.spent[ev.RPC] = ev.Elapsed / math.Max(1, a.crowd/a.cores)
			}
			continue
		}
		x.Actions = nil
		a.queue = append(a.queue, x)
	}
	if len(a.queue) == 0 {
		if a.err == nil {
			a.err = io.EOF
		}
		return Step{}, a.err
	}
	x := a.queue[0]
	a.queue = a.queue[1:]
	return x, nil
}
