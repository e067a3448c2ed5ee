package engine

import (
	"errors"

	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
)

// Runner returns a gate.Runner that runs RPCs on the engine. It reports an error as gate.NotStarted only if the error proves
// that the RPC did not run; otherwise the RPC may have taken effect.
func (l *Link) Runner() gate.Runner {
	return func(request gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		l.Run(request.ID, request.Method, request.Body, func(c Completion) {
			var runErr *retry.Error
			switch {
			case c.Err == nil:
				done(gate.Succeeded, c.ServiceMs, nil, c.Result)
			case errors.As(c.Err, &runErr) && runErr.Progress < retry.MayHaveRun:
				done(gate.NotStarted, c.ServiceMs, nil, nil)
			default:
				done(gate.Failed, c.ServiceMs, nil, nil)
			}
		})
	}
}
