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
type Settings control.Config

func (s *Settings) newControl() *control.Controller {
	return control.New(control.Config(*s))
}

// Verdict is what became of an RPC.
type Verdict uint8

const (
	OK         Verdict = iota // within its latency target
	Late                      // ok, past it
	Rejected                  //
	Aborted                   //
	CallerLeft                // its caller left first
)

func (v Verdict) String() string {
	return [...]string{"ok", "late", "pushed back", "aborted", "gone"}[min(v, CallerLeft)]
}

// TurnedAway tells whether that is a verdict with no result.
func (v Verdict) NoResult() bool { return v == Rejected || v == Aborted }

// Final is the end of one RPC. Nth counts arrivals from 0.
type Completion struct {
	ArrivalIndex int
	RPC          uint32
	Method       int
	ArrivedMS    float64
	CompletedMS  float64
	Verdict      Verdict
}

// Tally counts ends.
type Tally struct{ Total, OK, Late, Rejected, Aborted, CallerLeft int }

// Add counts one.
func (t *Tally) Add(v Verdict) {
	t.Total++
	switch v {
	case OK:
		t.OK++
	case Late:
		t.Late++
	case Rejected:
		t.Rejected++
	case Aborted:
		t.Aborted++
	case CallerLeft:
		t.CallerLeft++
	}
}

// Served is the criticality that the ends of a method came to, and all that there was. Callers that left count for
// nothing on either side.
func (t *Tally) WeightedCriticality(m *control.Method) (got, all float64) {
	return m.Criticality * (float64(t.OK) + m.LateFraction*float64(t.Late)), m.Criticality * float64(t.Total-t.CallerLeft)
}

// Parting is a place at which verdicts part from the recorded ones.
type Divergence struct {
	Step, VerdictIndex int // which step, and which verdict of it
	Now                float64
	Recorded, Replayed control.Action // the zero Action for none
}

// open is an RPC that has arrived and has no end yet.
type rpcState struct {
	arrivalIndex int
	method       int
	arrived      float64
	target       float64
	due          float64
	completed    bool
	started      bool // on the machine, for Model
	joined       bool
	token        uint64
	work         float64
}

// ErrBegin is that the steps do not begin where the decisions did.
var ErrNoBeginning = errors.New("the trace does not hold its beginning: verdicts can't be compared exactly")

// Exact feeds the events as they were. part is called for each verdict that differs, end for each RPC as recorded. The
// error is that of next, but for io.EOF.
func Verify(s *Settings, next func() (Step, error), part func(Divergence), end func(Completion)) (steps int, err error) {
	c := s.newControl()
	in := map[uint32]*rpcState{}
	nth := 0
	for ; ; steps++ {
		x, err := next()
		if err == io.EOF {
			return steps, nil
		} else if err != nil {
			return steps, err
		}
		if steps == 0 && x.Event.Kind != control.Started {
			return 0, ErrNoBeginning
		}
		k := 0
		for _, a := range c.Handle(x.Now, x.Event) {
			if !isVerdict(a.Kind) {
				continue
			}
			var was control.Action
			if k < len(x.Actions) {
				was = x.Actions[k]
			}
			if k >= len(x.Actions) || was.Kind != a.Kind || was.RPC != a.RPC || was.Time != a.Time || was.NoRetry != a.NoRetry {
				part(Divergence{steps, k, x.Now, was, a})
			}
			k++
		}
		for ; k < len(x.Actions); k++ {
			part(Divergence{steps, k, x.Now, x.Actions[k], control.Action{}})
		}
		ev := &x.Event
		if ev.Kind == control.Arrived {
			in[ev.RPC] = s.newRPC(nth, x.Now, ev, x.Token)
			nth++
		}
		for _, a := range x.Actions {
			o := in[a.RPC]
			if o == nil {
				continue
			}
			switch a.Kind {
			case control.Reject:
				o.complete(end, a.RPC, x.Now, Rejected)
				delete(in, a.RPC)
			case control.Abort:
				o.complete(end, a.RPC, x.Now, Aborted)
			case control.Run, control.Join:
				o.started = true
			}
		}
		if o := in[ev.RPC]; o != nil && (ev.Kind == control.CallerGone || ev.Kind == control.Completed) {
			switch {
			case ev.Kind == control.CallerGone:
				o.complete(end, ev.RPC, x.Now, CallerLeft)
			case ev.Outcome == control.OutcomeOK:
				o.complete(end, ev.RPC, x.Now, o.okVerdict(x.Now))
			case ev.Outcome == control.OutcomeNotStarted:
				o.complete(end, ev.RPC, x.Now, Rejected)
			default:
				o.complete(end, ev.RPC, x.Now, Aborted)
			}
			if ev.Kind == control.Completed || !o.started {
				delete(in, ev.RPC)
			}
		}
	}
}

func isVerdict(d control.ActionKind) bool {
	return d == control.Run || d == control.Reject || d == control.Abort || d == control.Join
}

func (s *Settings) newRPC(nth int, now float64, ev *control.Event, token uint64) *rpcState {
	m := &s.Methods[min(ev.Method, len(s.Methods)-1)]
	o := &rpcState{arrivalIndex: nth, method: ev.Method, arrived: now - ev.Age, token: token}
	o.target, o.due = o.arrived+m.LatencyObjective+m.ObjectiveStretch*ev.CostHint, o.arrived+m.Deadline
	return o
}

func (o *rpcState) okVerdict(now float64) Verdict {
	if now <= o.target {
		return OK
	}
	return Late
}

func (o *rpcState) complete(tell func(Completion), rpc uint32, now float64, v Verdict) {
	if !o.completed {
		o.completed = true
		tell(Completion{o.arrivalIndex, rpc, o.method, o.arrived, now, v})
	}
}

// Machine is what does the work in a Model: cores that all runs share evenly, with what the runs were seen to take.
type cpuModel struct {
	cores       float64
	now         float64
	servedMS    float64 // work that a run on it since the beginning has had
	runs        runHeap
	utilization float64 // share of the cores busy, of late
}

// run ends once done has come to until.
type activeRun struct {
	until float64
	rpc   uint32
}

type runHeap []activeRun

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, k int) bool { return h[i].until < h[k].until }
func (h runHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(activeRun)) }
func (h *runHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// useTime in ms is the time constant of the gauge, which stands for half a second.
const utilizationTimeConstant = 250.0

func (m *cpuModel) rate() float64 {
	return math.Min(1, m.cores/math.Max(1, float64(len(m.runs))))
}

// pass moves the machine's clock on; no run may end before.
func (m *cpuModel) advance(now float64) {
	if now <= m.now {
		return
	}
	busy := math.Min(1, float64(len(m.runs))/m.cores)
	m.utilization += (1 - math.Exp(-(now-m.now)/utilizationTimeConstant)) * (busy - m.utilization)
	m.servedMS += (now - m.now) * m.rate()
	m.now = now
}

// next is when the first run ends.
func (m *cpuModel) nextCompletion() float64 {
	if len(m.runs) == 0 {
		return math.Inf(1)
	}
	return m.now + math.Max(0, m.runs[0].until-m.servedMS)/m.rate()
}

// remembered is a token of a Model.
type tokenEntry struct {
	rpc       uint32
	until     float64
	completed bool
	ok        bool
	joined    []uint32
}

// model is one instance of Model at work.
type simulation struct {
	settings      *Settings
	decisions     *control.Controller
	cpu           cpuModel
	inFlight      map[uint32]*rpcState
	tokens        map[uint64]*tokenEntry
	timerAt       float64
	timerLabel    uint64
	onCompletion  func(Completion)
	pendingEvents []control.Event
	meanWork      []mean // of the work of each method
	tokenExpiries []tokenExpiry
}

type mean struct{ sum, n float64 }

type tokenExpiry struct {
	at    float64
	token uint64
}

// Model takes the arrivals, the leaving callers and the notices of the steps, and tells the end of each RPC under the
// settings. The work of a run is what was recorded for it, else its hint, else what its method took so far; where runs
// shared cores, what was recorded is taken down by the crowd that the last gauge told. The error is that of next.
func Simulate(s *Settings, next func() (Step, error), end func(Completion)) error {
	d := &simulation{
		settings: s, decisions: s.newControl(), cpu: cpuModel{cores: math.Max(1, float64(s.Node.Cores))}, inFlight: map[uint32]*rpcState{},
		tokens: map[uint64]*tokenEntry{}, timerAt: math.Inf(1), onCompletion: end, meanWork: make([]mean, len(s.Methods)),
	}
	spent := map[uint32]float64{} // recorded runs are only known at their end, so steps are read ahead by a while
	ahead := newLookahead(next, spent, d.cpu.cores)
	begun := false
	nth := 0
	for {
		x, err := ahead.step()
		if err != nil && err != io.EOF {
			return err
		}
		if err == io.EOF { // what is in hand still ends
			limit := d.cpu.now
			for _, o := range d.inFlight {
				limit = math.Max(limit, o.due)
			}
			d.advanceTo(limit + 1000)
			return nil
		}
		if !begun {
			begun = true
			d.cpu.now = x.Now
			d.handle(x.Now, control.Event{Kind: control.Started})
			if x.Event.Kind == control.Started {
				continue
			}
		}
		ev := x.Event
		switch ev.Kind {
		case control.Arrived, control.CallerGone, control.DrainNotice, control.DrainCancelled:
			d.advanceTo(x.Now)
		default:
			continue
		}
		switch ev.Kind {
		case control.Arrived:
			o := s.newRPC(nth, x.Now, &ev, x.Token)
			nth++
			o.work = d.workOf(&ev, spent)
			d.inFlight[ev.RPC] = o
			ev.DuplicateOf = 0
			if k := d.tokens[x.Token]; x.Token != 0 && k != nil && o.arrived < k.until {
				ev.DuplicateOf = k.rpc
			}
			d.handle(x.Now, ev)
		case control.CallerGone:
			if o := d.inFlight[ev.RPC]; o != nil && !o.completed {
				o.complete(end, ev.RPC, x.Now, CallerLeft)
				d.handle(x.Now, ev)
				if !o.started && !o.joined {
					delete(d.inFlight, ev.RPC)
				}
			}
		case control.DrainNotice, control.DrainCancelled:
			d.handle(x.Now, ev)
		}
	}
}

// work is what a run of an RPC takes on one core.
func (d *simulation) workOf(ev *control.Event, spent map[uint32]float64) float64 {
	m := min(ev.Method, len(d.meanWork)-1)
	w, seen := spent[ev.RPC]
	delete(spent, ev.RPC)
	switch {
	case seen:
		d.meanWork[m].sum += w
		d.meanWork[m].n++
	case ev.CostHint > 0:
		w = ev.CostHint
	case d.meanWork[m].n > 0:
		w = d.meanWork[m].sum / d.meanWork[m].n
	default:
		w = d.settings.Methods[m].LatencyObjective / 6 // as the decisions begin
	}
	return math.Max(0.001, w)
}

// until lives through the ends of runs and the timers before now.
func (d *simulation) advanceTo(now float64) {
	for {
		at := math.Min(d.cpu.nextCompletion(), d.timerAt)
		if at > now {
			break
		}
		if at = math.Max(at, d.cpu.now); d.timerAt < d.cpu.nextCompletion() {
			d.cpu.advance(at)
			ev := control.Event{Kind: control.TimerFired, Label: d.timerLabel}
			ev.Gauges.CPUUtilization, ev.Gauges.Runnable = d.cpu.utilization, float64(len(d.cpu.runs))
			d.timerAt = math.Inf(1)
			d.handle(at, ev)
			for len(d.tokenExpiries) > 0 && d.tokenExpiries[0].at < at {
				if k := d.tokens[d.tokenExpiries[0].token]; k != nil && k.until <= d.tokenExpiries[0].at && (k.completed || d.inFlight[k.rpc] == nil) {
					delete(d.tokens, d.tokenExpiries[0].token)
				}
				d.tokenExpiries = d.tokenExpiries[1:]
			}
			continue
		}
		d.cpu.advance(at)
		r := heap.Pop(&d.cpu.runs).(activeRun)
		d.completeRun(r.rpc, at, control.OutcomeOK)
	}
	d.cpu.advance(now)
}

// ended is the end of a run, and of those that joined it.
func (d *simulation) completeRun(rpc uint32, now float64, how control.Outcome) {
	o := d.inFlight[rpc]
	if o == nil {
		return
	}
	delete(d.inFlight, rpc)
	if how == control.OutcomeOK {
		o.complete(d.onCompletion, rpc, now, o.okVerdict(now))
	} else {
		o.complete(d.onCompletion, rpc, now, Aborted)
	}
	d.handle(now, control.Event{Kind: control.Completed, RPC: rpc, Outcome: how, Elapsed: o.work})
	if k := d.tokens[o.token]; o.token != 0 && k != nil && k.rpc == rpc {
		k.completed, k.ok = true, how == control.OutcomeOK
		joins := k.joined
		k.joined = nil
		for _, j := range joins {
			d.completeRun(j, now, how)
		}
	}
}

// handle gives the decisions an event and carries out what they say.
func (d *simulation) handle(now float64, ev control.Event) {
	d.pendingEvents = append(d.pendingEvents, ev)
	if len(d.pendingEvents) > 1 {
		return
	}
	for i := 0; i < len(d.pendingEvents); i++ {
		for _, a := range append([]control.Action(nil), d.decisions.Handle(now, d.pendingEvents[i])...) {
			d.carryOut(now, a)
		}
	}
	d.pendingEvents = d.pendingEvents[:0]
}

func (d *simulation) carryOut(now float64, a control.Action) {
	if a.Kind == control.SetTimer {
		d.timerAt, d.timerLabel = a.Time, a.Label
		return
	}
	o := d.inFlight[a.RPC]
	if o == nil {
		return
	}
	switch a.Kind {
	case control.Run:
		o.started = true
		heap.Push(&d.cpu.runs, activeRun{d.cpu.servedMS + o.work, a.RPC})
	case control.Reject:
		o.complete(d.onCompletion, a.RPC, now, Rejected)
		delete(d.inFlight, a.RPC)
	case control.Abort:
		o.complete(d.onCompletion, a.RPC, now, Aborted)
		if !o.started {
			delete(d.inFlight, a.RPC)
		}
	case control.CacheToken:
		if o.token != 0 {
			until := math.Max(now+a.Time, o.arrived+d.settings.Methods[o.method].DedupWindow)
			d.tokens[o.token] = &tokenEntry{rpc: a.RPC, until: until}
			d.tokenExpiries = append(d.tokenExpiries, tokenExpiry{until, o.token})
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
			d.completeJoin(now, a.RPC, control.OutcomeError)
		case k.completed && k.ok:
			d.completeJoin(now, a.RPC, control.OutcomeOK)
		case k.completed:
			d.completeJoin(now, a.RPC, control.OutcomeError)
		default:
			k.joined = append(k.joined, a.RPC)
		}
	}
}

func (d *simulation) completeJoin(now float64, rpc uint32, how control.Outcome) {
	o := d.inFlight[rpc]
	delete(d.inFlight, rpc)
	if how == control.OutcomeOK {
		o.complete(d.onCompletion, rpc, now, o.okVerdict(now))
	} else {
		o.complete(d.onCompletion, rpc, now, Aborted)
	}
	d.pendingEvents = append(d.pendingEvents, control.Event{Kind: control.Completed, RPC: rpc, Outcome: how})
}

// ahead reads steps so far before they are played that the end of nearly every run is known.
type lookahead struct {
	next    func() (Step, error)
	spent   map[uint32]float64
	cores   float64
	onCores float64
	queue   []Step
	err     error
}

// reach in ms is how far steps are read ahead, and mostAhead how many: runs longer than that count by their hint.
const (
	lookaheadMS  = 10e3
	maxLookahead = 200000
)

func newLookahead(next func() (Step, error), spent map[uint32]float64, cores float64) *lookahead {
	return &lookahead{next: next, spent: spent, cores: cores}
}

func (a *lookahead) step() (Step, error) {
	for a.err == nil && (len(a.queue) < 2 || len(a.queue) < maxLookahead && a.queue[len(a.queue)-1].Now-a.queue[0].Now < lookaheadMS) {
		x, err := a.next()
		if err != nil {
			a.err = err
			break
		}
		ev := &x.Event
		switch ev.Kind {
		case control.TimerFired:
			a.onCores = ev.Gauges.Runnable
			continue // not played
		case control.Completed:
			if ev.Outcome == control.OutcomeOK && ev.Elapsed > 0 {
				a.spent[ev.RPC] = ev.Elapsed / math.Max(1, a.onCores/a.cores)
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
