package replay

// This file owns the exact replay: the recorded events, as they were.

import (
	"errors"
	"io"

	"sorrelvalve/control"
)

// Verify feeds the events as they were recorded. onDivergence is called for each verdict that differs, onCompletion for each
// RPC as recorded. It returns the number of steps, and the error of next unless that is io.EOF.
func Verify(s *Settings, next func() (Step, error), onDivergence func(Divergence), onCompletion func(Completion)) (steps int, err error) {
	controller := s.newController()
	recorded := recording{settings: s, inFlight: map[uint32]*rpcState{}, onCompletion: onCompletion}
	for ; ; steps++ {
		x, err := next()
		if errors.Is(err, io.EOF) {
			return steps, nil
		} else if err != nil {
			return steps, err
		}
		if steps == 0 && x.Event.Kind != control.Started {
			return 0, ErrMissingStart
		}
		compare(steps, &x, controller.Handle(x.Now, x.Event), onDivergence)
		recorded.step(&x)
	}
}

// compare reports where the verdicts among actions differ from those of the step.
func compare(step int, x *Step, actions []control.Action, onDivergence func(Divergence)) {
	i := 0
	for _, replayed := range actions {
		if !isVerdict(replayed.Kind) {
			continue
		}
		var recorded control.Action
		if i < len(x.Actions) {
			recorded = x.Actions[i]
		}
		if i >= len(x.Actions) || !sameVerdict(&recorded, &replayed) {
			onDivergence(Divergence{Step: step, VerdictIndex: i, Now: x.Now, Recorded: recorded, Replayed: replayed})
		}
		i++
	}
	for ; i < len(x.Actions); i++ {
		onDivergence(Divergence{Step: step, VerdictIndex: i, Now: x.Now, Recorded: x.Actions[i]})
	}
}

// isVerdict reports whether traces record actions of a kind.
func isVerdict(k control.ActionKind) bool {
	return k == control.Run || k == control.Reject || k == control.Abort || k == control.Join
}

// sameVerdict compares the fields that traces record.
func sameVerdict(a, b *control.Action) bool {
	return a.Kind == b.Kind && a.RPC == b.RPC && a.Time == b.Time && a.NoRetry == b.NoRetry
}

// recording follows the RPCs as they were recorded.
type recording struct {
	settings     *Settings
	inFlight     map[uint32]*rpcState
	arrivals     int
	onCompletion func(Completion)
}

func (r *recording) step(x *Step) {
	ev := &x.Event
	if ev.Kind == control.Arrived {
		r.inFlight[ev.RPC] = r.settings.newRPC(r.arrivals, x.Now, ev, x.Token)
		r.arrivals++
	}
	for i := range x.Actions {
		r.action(x.Now, &x.Actions[i])
	}
	if ev.Kind == control.CallerGone || ev.Kind == control.Completed {
		r.end(x.Now, ev)
	}
}

func (r *recording) action(now float64, a *control.Action) {
	rpc := r.inFlight[a.RPC]
	if rpc == nil {
		return
	}
	switch a.Kind {
	case control.Reject:
		rpc.complete(r.onCompletion, a.RPC, now, Rejected)
		delete(r.inFlight, a.RPC)
	case control.Abort:
		rpc.complete(r.onCompletion, a.RPC, now, Aborted)
	case control.Run, control.Join:
		rpc.started = true
	}
}

// end takes in that a run ended or a caller left.
func (r *recording) end(now float64, ev *control.Event) {
	rpc := r.inFlight[ev.RPC]
	if rpc == nil {
		return
	}
	verdict := rpc.verdictFor(ev.Outcome, now)
	if ev.Kind == control.CallerGone {
		verdict = CallerLeft
	} else if ev.Outcome == control.OutcomeNotStarted {
		verdict = Rejected
	}
	rpc.complete(r.onCompletion, ev.RPC, now, verdict)
	if ev.Kind == control.Completed || !rpc.started {
		delete(r.inFlight, ev.RPC)
	}
}
