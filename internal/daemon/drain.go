package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/startup"
)

const (
	// stopMargin is left of the time to the stop when the process ends. The decisions answer the last RPCs two to one
	// of their ticks of 40 ms before the stop, so it lies under one.
	stopMargin = 20 * time.Millisecond
	// minCompletionTime is left of it at least when nothing more is admitted, if the grace is longer.
	minCompletionTime = 240 * time.Millisecond
	// cancelDrainTimeout is far above what a drain takes from its request to its select.
	cancelDrainTimeout = 100 * time.Millisecond
)

// ExitCode is the code with which a process is to end after its drain; its supervisor acts on it. It is an error so that
// commands can return it.
type ExitCode int

// Error names the code.
func (e ExitCode) Error() string { return fmt.Sprintf("ends with code %d", int(e)) }

// errNoDrain is what cancelDrain returns if there is nothing to cancel, or no longer.
var errNoDrain = errors.New("no drain that could be taken back goes on: none has begun by permit, or its grace is over")

// drain goes on as before for the grace, then admits nothing more and waits for the RPCs in flight. If stop is not nil it
// may be cancelled for as long as the grace lasts, and then returns false; a signal on stop begins it anew, for good.
func (x *Server) drain(p *startup.Process, stop <-chan os.Signal) (completed bool) {
	startedAt := time.Now()
	x.lifecycle.draining.Store(true)
	x.Gate.Drain(p.StopTimeout)
	x.log.WithField("stop_timeout_ms", p.StopTimeout.Milliseconds()).Info("drain.started")
	grace := time.Duration(p.Settings.Limits.DrainGrace * float64(time.Millisecond))
	grace = max(0, min(grace, p.StopTimeout-minCompletionTime))
	if stop == nil {
		time.Sleep(grace)
	} else {
		wait := time.NewTimer(grace)
		defer wait.Stop()
		select {
		case <-stop:
			return x.drain(p, nil)
		case cancelled := <-x.cancelRequests:
			x.Gate.CancelDrain()
			x.lifecycle.draining.Store(false)
			x.log.WithField("duration_ms", time.Since(startedAt).Milliseconds()).Info("drain.cancelled")
			cancelled <- nil
			return false
		case <-wait.C:
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(p.StopTimeout-stopMargin))
	defer cancel()
	x.table.Shutdown(ctx)
	x.log.WithFields(logrus.Fields{
		"duration_ms": time.Since(startedAt).Milliseconds(),
		"in_flight":   x.Gate.InFlight(),
	}).Info("drain.completed")
	return true
}

// requestLeave is Parts.Leave.
func (x *Server) requestLeave(code int) {
	select {
	case x.leaveRequests <- code:
	default: // one is pending already
	}
}

// cancelDrain is Parts.CancelDrain.
func (x *Server) cancelDrain() error {
	cancelled := make(chan error, 1)
	select {
	case x.cancelRequests <- cancelled:
		return <-cancelled
	case <-time.After(cancelDrainTimeout):
		return errNoDrain
	}
}

// lifecycle is how far a server is between its start and its end. It is safe for concurrent use.
type lifecycle struct {
	slowStartMs float64
	startedAt   atomic.Pointer[time.Time] // nil before an engine answers; the zero time for a warm start
	draining    atomic.Bool
}

// start notes how and when the decisions began; only the first call counts.
func (l *lifecycle) start(warmingUp bool, ago time.Duration) {
	at := time.Now().Add(-ago)
	if !warmingUp {
		at = time.Time{}
	}
	l.startedAt.CompareAndSwap(nil, &at)
}

// phase is Parts.Phase.
func (l *lifecycle) phase() (warmUp float64, draining bool) {
	at := l.startedAt.Load()
	switch {
	case at == nil:
	case at.IsZero() || l.slowStartMs <= 0:
		warmUp = 1
	default:
		warmUp = min(max(float64(time.Since(*at))/1e6/l.slowStartMs, 0), 1)
	}
	return warmUp, l.draining.Load()
}
