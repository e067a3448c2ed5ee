// Package replay re-runs the control decisions over a recorded trace on a virtual clock. Verify feeds the recorded events
// and reports where the verdicts diverge from the recorded ones; with the same build and settings they never do. Simulate
// answers what other settings would have done: it takes the recorded arrivals and simulates the service itself, since RPCs
// that were not admitted have no recorded completion. Both keep only in-flight state and use no clock but the trace's
// timestamps. All times are ms of the decisions' clock.
package replay

import (
	"errors"

	"sorrelvalve/control"
)

// Step is one recorded event, with the verdicts on it.
type Step struct {
	Now     float64
	Event   control.Event
	Token   uint64 // hash of the RPC's token; 0 for none
	Actions []control.Action
}

// Settings are what the decisions are configured with.
type Settings control.Config

func (s *Settings) newController() *control.Controller { return control.New(control.Config(*s)) }

// Verdict is what became of an RPC.
type Verdict uint8

// The verdicts.
const (
	OK         Verdict = iota // within its latency objective
	Late                      // ok, past its latency objective
	Rejected                  // not run
	Aborted                   // failed
	CallerLeft                // its caller left first
)

// String returns the verdict's name in tables.
func (v Verdict) String() string {
	return [...]string{"ok", "late", "pushed back", "aborted", "gone"}[min(v, CallerLeft)]
}

// NoResult reports whether the RPC's caller got no result.
func (v Verdict) NoResult() bool { return v == Rejected || v == Aborted }

// Completion is the end of one RPC.
type Completion struct {
	ArrivalIndex int // counts arrivals from 0
	RPC          uint32
	Method       int
	ArrivedMS    float64 // at the machine
	CompletedMS  float64
	Verdict      Verdict
}

// Tally counts completions by verdict.
type Tally struct{ Total, OK, Late, Rejected, Aborted, CallerLeft int }

// Add counts one completion.
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

// WeightedCriticality returns the criticality that the completions of a method served, and that of all of them. Callers that
// left count on neither side.
func (t *Tally) WeightedCriticality(m *control.Method) (served, all float64) {
	served = m.Criticality * (float64(t.OK) + m.LateFraction*float64(t.Late))
	all = m.Criticality * float64(t.Total-t.CallerLeft)
	return served, all
}

// Divergence is a verdict that differs from the recorded one.
type Divergence struct {
	Step         int // counts from 0
	VerdictIndex int // within the step, from 0
	Now          float64
	Recorded     control.Action // the zero Action for none
	Replayed     control.Action // the zero Action for none
}

// ErrMissingStart is returned where the steps do not begin where the decisions did.
var ErrMissingStart = errors.New("the trace does not hold its beginning: verdicts can't be compared exactly")

// rpcState is an RPC in flight.
type rpcState struct {
	arrivalIndex int
	method       int
	arrived      float64
	objective    float64 // when its latency objective ends
	due          float64 // when its deadline ends
	completed    bool    // it has its verdict
	started      bool    // it has run, or runs
	joined       bool    // it waits for the RPC that it repeats
	token        uint64
	work         float64 // ms on one core, for Simulate
}

func (s *Settings) newRPC(arrivalIndex int, now float64, ev *control.Event, token uint64) *rpcState {
	m := &s.Methods[min(ev.Method, len(s.Methods)-1)]
	arrived := now - ev.Age
	return &rpcState{
		arrivalIndex: arrivalIndex,
		method:       ev.Method,
		arrived:      arrived,
		objective:    arrived + m.LatencyObjective + m.ObjectiveStretch*ev.CostHint,
		due:          arrived + m.Deadline,
		token:        token,
	}
}

// verdictFor returns the verdict of a run that ends now with an outcome.
func (r *rpcState) verdictFor(outcome control.Outcome, now float64) Verdict {
	switch {
	case outcome != control.OutcomeOK:
		return Aborted
	case now <= r.objective:
		return OK
	}
	return Late
}

// complete reports the RPC's verdict, unless it has one.
func (r *rpcState) complete(onCompletion func(Completion), rpc uint32, now float64, v Verdict) {
	if r.completed {
		return
	}
	r.completed = true
	onCompletion(Completion{ArrivalIndex: r.arrivalIndex, RPC: rpc, Method: r.method, ArrivedMS: r.arrived, CompletedMS: now, Verdict: v})
}
