package replay

// This file has the exact replay of the recorded events.

import (
	"errors"
	"io"

	"sorrelvalve/control"
)

// Verify feeds the recorded events to a controller. It calls onDivergence for each verdict that differs from the recorded one,
// and onCompletion for each RPC as recorded. It returns the number of steps, ErrMissingStart, or the error of next unless
// that is io.EOF.
func Verify(s *Settings, next func() (Step, error), onDivergence func(Divergence), onCompletion func(Completion)) (steps int, err error) {
	controller := s.newController()
	recorded := recording{settings: s, inFlight: map[uint32]*rpcState{}, onCompletion: onCompletion}
	for ; ; steps++ {
		step, err := next()
		if errors.Is(err, io.EOF) {
			return steps, nil
		} else if err != nil {
			return steps, err
		}
		if steps == 0 && step.Event.Kind != control.Started {
			return 0, ErrMissingStart
		}
		compare(steps, &step, controller.Handle(step.Now, step.Event), onDivergence)
		recorded.step(&step)
	}
}

// compare reports each verdict among the actions that differs from the step's recorded verdicts. index is that of the step.
func compare(index int, step *Step, actions []control.Action, onDivergence func(Divergence)) {
	i := 0
	for _, replayed := range actions {
		if !isVerdict(replayed.Kind) {
			continue
		}
		var recorded control.Action
		if i < len(step.Actions) {
			recorded = step.Actions[i]
		}
		if i >= len(step.Actions) || !sameVerdict(&recorded, &replayed) {
			onDivergence(Divergence{Step: index, VerdictIndex: i, Now: step.Now, Recorded: recorded, Replayed: replayed})
		}
		i++
	}
	for ; i < len(step.Actions); i++ {
		onDivergence(Divergence{Step: index, VerdictIndex: i, Now: step.Now, Recorded: step.Actions[i]})
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

// recording tracks the RPCs as they were recorded.
type recording struct {
	settings     *Settings
	inFlight     map[uint32]*rpcState
	arrivals     int
	onCompletion func(Completion)
}

func (r *recording) step(step *Step) {
	ev := &step.Event
	if ev.Kind == control.Arrived {
		r.inFlight[ev.RPC] = r.settings.newRPC(r.arrivals, step.Now, ev, step.Token)
		r.arrivals++
	}
	for i := range step.Actions {
		r.action(step.Now, &step.Actions[i])
	}
	if ev.Kind == control.CallerGone || ev.Kind == control.Completed {
		r.end(step.Now, ev)
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

// end handles the end of a run, or a caller that left.
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
