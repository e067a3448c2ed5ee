// Package replay re-runs the admission controller over a recorded trace on a virtual clock. Verify feeds it the recorded
// events and reports verdicts that differ from the recorded ones; with the same build and settings none differ. Simulate
// shows what other settings would have done: it takes the recorded arrivals and simulates the service itself, because RPCs
// that were not admitted have no recorded completion. Both keep only in-flight state and use no clock but the timestamps
// of the trace. All times are ms of the controller's clock.
package replay

import (
	"errors"

	"sorrelvalve/control"
)

// Step is one recorded event with the verdicts that followed from it.
type Step struct {
	Now     float64
	Event   control.Event
	Token   uint64 // hash of the RPC's idempotency token; 0 for none
	Actions []control.Action
}

// Settings are the configuration of the controller.
type Settings control.Config

func (s *Settings) newController() *control.Controller { return control.New(control.Config(*s)) }

// Verdict is the outcome of an RPC.
type Verdict uint8

// The verdicts.
const (
	OK         Verdict = iota // completed ok within its latency objective
	Late                      // completed ok, past its latency objective
	Rejected                  // not run
	Aborted                   // failed
	CallerLeft                // the caller left before the RPC completed
)

// String returns the verdict's name as it is printed in tables.
func (v Verdict) String() string {
	return [...]string{"ok", "late", "pushed back", "aborted", "gone"}[min(v, CallerLeft)]
}

// NoResult reports whether the RPC was rejected or aborted, so that its caller got no result.
func (v Verdict) NoResult() bool { return v == Rejected || v == Aborted }

// Completion describes how one RPC ended.
type Completion struct {
	ArrivalIndex int // index among all arrivals, from 0
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

// WeightedCriticality returns the criticality that was served, and the criticality of all completions, of a method. A late
// completion counts as served with the method's LateFraction. RPCs whose caller left count on neither side.
func (t *Tally) WeightedCriticality(m *control.Method) (served, total float64) {
	served = m.Criticality * (float64(t.OK) + m.LateFraction*float64(t.Late))
	total = m.Criticality * float64(t.Total-t.CallerLeft)
	return served, total
}

// Divergence is a verdict that differs from the recorded one.
type Divergence struct {
	Step         int // index of the step, from 0
	VerdictIndex int // index within the step, from 0
	Now          float64
	Recorded     control.Action // the zero Action for none
	Replayed     control.Action // the zero Action for none
}

// ErrMissingStart is returned by Verify if the first step is not the Started event.
var ErrMissingStart = errors.New("the trace does not begin with the start of the recording: verdicts can't be compared exactly")

// rpcState is an RPC in flight.
type rpcState struct {
	arrivalIndex int
	method       int
	arrived      float64
	objective    float64 // time at which its latency objective ends
	due          float64 // time at which its deadline ends
	completed    bool    // has its verdict
	started      bool    // has run, or is running
	joined       bool    // waits for the result of the RPC that it duplicates
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

// verdictFor returns the verdict on a run that ends at now with an outcome.
func (r *rpcState) verdictFor(outcome control.Outcome, now float64) Verdict {
	switch {
	case outcome != control.OutcomeOK:
		return Aborted
	case now <= r.objective:
		return OK
	}
	return Late
}

// complete reports the RPC's verdict, unless one was reported before.
func (r *rpcState) complete(onCompletion func(Completion), rpc uint32, now float64, v Verdict) {
	if r.completed {
		return
	}
	r.completed = true
	onCompletion(Completion{ArrivalIndex: r.arrivalIndex, RPC: rpc, Method: r.method, ArrivedMS: r.arrived, CompletedMS: now, Verdict: v})
}
