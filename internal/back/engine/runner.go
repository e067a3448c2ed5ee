package engine

// This file owns the link as a back of the gate's. It must never call a run not started that may have been.

import (
	"errors"

	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
)

// Runner has runs done by the engine. An error that proves that nothing ran is told as such; any other may have had its
// effect.
func (l *Link) Runner() gate.Runner {
	return func(w gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		l.Run(w.ID, w.Method, w.Body, func(e Completion) {
			var failed *retry.Error
			switch {
			case e.Err == nil:
				done(gate.Succeeded, e.ServiceTime, nil, e.Result)
			case errors.As(e.Err, &failed) && failed.Progress < retry.MayHaveRun:
				done(gate.NotStarted, e.ServiceTime, nil, nil)
			default:
				done(gate.Failed, e.ServiceTime, nil, nil)
			}
		})
	}
}
