package engine

import (
	"errors"

	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
)

// Runner returns the link as a runner of the gate. An error that proves that nothing ran is reported as such; any other
// run may have had its effect.
func (l *Link) Runner() gate.Runner {
	return func(w gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		l.Run(w.ID, w.Method, w.Body, func(c Completion) {
			var failed *retry.Error
			switch {
			case c.Err == nil:
				done(gate.Succeeded, c.ServiceMs, nil, c.Result)
			case errors.As(c.Err, &failed) && failed.Progress < retry.MayHaveRun:
				done(gate.NotStarted, c.ServiceMs, nil, nil)
			default:
				done(gate.Failed, c.ServiceMs, nil, nil)
			}
		})
	}
}
