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
	// stopMargin is the time between the end of the drain and the stop deadline. The controller answers the last RPCs one
	// to two of its ticks of 40 ms before the deadline, so the margin is shorter than one tick.
	stopMargin = 20 * time.Millisecond
	// minCompletionTime is the minimum time left before the stop deadline when admission ends; a longer grace is cut.
	minCompletionTime = 240 * time.Millisecond
	// cancelDrainTimeout is much longer than a drain takes from its request until it accepts a cancellation.
	cancelDrainTimeout = 100 * time.Millisecond
)

// ExitCode is the exit code that a process returns to its supervisor after a drain. It is an error so that commands can
// return it.
type ExitCode int

// Error implements error.
func (e ExitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// errNoDrain is returned by cancelDrain if no drain with a permit has begun, or its grace is over. The text is sent to
// clients.
var errNoDrain = errors.New("no drain that could be taken back goes on: none has begun by permit, or its grace is over")

// drain continues to admit RPCs for the grace, then stops admission and waits for the RPCs in flight. If stop is not nil,
// the drain can be cancelled during the grace, in which case drain returns false; a signal on stop then restarts the drain
// as one that can't be cancelled.
func (s *Server) drain(p *startup.Process, stop <-chan os.Signal) (completed bool) {
	startedAt := time.Now()
	s.lifecycle.draining.Store(true)
	s.Gate.Drain(p.StopTimeout)
	s.log.WithField("stop_timeout_ms", p.StopTimeout.Milliseconds()).Info("drain.started")
	grace := time.Duration(p.Settings.Limits.DrainGrace * float64(time.Millisecond))
	grace = max(0, min(grace, p.StopTimeout-minCompletionTime))
	if stop == nil {
		time.Sleep(grace)
	} else {
		graceTimer := time.NewTimer(grace)
		defer graceTimer.Stop()
		select {
		case <-stop:
			return s.drain(p, nil)
		case cancelled := <-s.cancelRequests:
			s.Gate.CancelDrain()
			s.lifecycle.draining.Store(false)
			s.log.WithField("duration_ms", time.Since(startedAt).Milliseconds()).Info("drain.cancelled")
			cancelled <- nil
			return false
		case <-graceTimer.C:
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(p.StopTimeout-stopMargin))
	defer cancel()
	s.table.Shutdown(ctx)
	s.log.WithFields(logrus.Fields{
		"duration_ms": time.Since(startedAt).Milliseconds(),
		"in_flight":   s.Gate.InFlight(),
	}).Info("drain.completed")
	return true
}

// requestDrain implements Parts.RequestDrain.
func (s *Server) requestDrain(code int) {
	select {
	case s.drainRequests <- code:
	default: // a request is already pending
	}
}

// cancelDrain implements Parts.CancelDrain.
func (s *Server) cancelDrain() error {
	cancelled := make(chan error, 1)
	select {
	case s.cancelRequests <- cancelled:
		return <-cancelled
	case <-time.After(cancelDrainTimeout):
		return errNoDrain
	}
}

// lifecycle tracks the warm-up and drain of a server. It is safe for concurrent use.
type lifecycle struct {
	slowStartMs float64
	startedAt   atomic.Pointer[time.Time] // nil before an engine responds; the zero time after a warm start
	draining    atomic.Bool
}

// start records when decisions began and whether the server warms up. Only the first call has an effect.
func (l *lifecycle) start(warmingUp bool, ago time.Duration) {
	at := time.Now().Add(-ago)
	if !warmingUp {
		at = time.Time{}
	}
	l.startedAt.CompareAndSwap(nil, &at)
}

// phase implements Parts.Phase.
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
