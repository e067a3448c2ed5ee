package front

import (
	"context"
	"time"
)

const (
	// drainPollInterval is how often a shutdown closes connections that are drained: a tenth of TransitTime.
	drainPollInterval = TransitTime / 10
	// abortTimeout is how long connections have to close once the time of a shutdown is over: on one machine a peer's
	// end comes back in well under a millisecond, and the process has to be gone 20 ms after that.
	abortTimeout = 10 * time.Millisecond
	// abortWait is how long the end of the aborted connections is waited for.
	abortWait = abortTimeout + abortTimeout/2
)

// Shutdown stops accepting, tells all peers that no more RPCs are wanted, and returns once all that was read has been
// answered and the connections are closed, or shortly after ctx ends. A peer that keeps its idle connection open has
// half of the time to close it; then it is closed from here, so that there is time left to read what crosses that. What
// is open as ctx ends is closed within abortTimeout.
func (t *ConnTable) Shutdown(ctx context.Context) {
	t.shuttingDown.Store(true)
	listening := t.stopListeners()
	for _, c := range t.Conns() {
		c.GoAway()
	}
	closeFrom := time.Now().Add(LingerTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		closeFrom = time.Now().Add(min(LingerTimeout, time.Until(deadline)/2))
	}
	closed := make(chan struct{})
	go func() {
		if listening {
			<-t.acceptorsDone
		}
		t.serving.Wait()
		close(closed)
	}()
	if t.drain(ctx, closeFrom, closed) {
		return
	}
	t.abort(closed)
}

// stopListeners gives the accept loops their last deadline and reports whether there are any.
func (t *ConnTable) stopListeners() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ln := range t.listeners {
		_ = ln.SetDeadline(time.Now().Add(AcceptGrace)) // an error comes again from Accept
	}
	return len(t.listeners) > 0
}

// drain closes connections as they become idle, those whose peer does not close them from closeFrom on. It reports
// whether all were closed before ctx ended.
func (t *ConnTable) drain(ctx context.Context, closeFrom time.Time, closed <-chan struct{}) bool {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-closed:
			return true
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
		linger := LingerTimeout
		if time.Now().After(closeFrom) {
			linger = TransitTime
		}
		for _, c := range t.Conns() {
			c.CloseIdle(0, linger)
		}
	}
}

// abort ends all connections within abortTimeout and waits for them.
func (t *ConnTable) abort(closed <-chan struct{}) {
	deadline := time.Now().Add(abortTimeout)
	for _, c := range t.Conns() {
		c.Abort(deadline)
	}
	timeout := time.NewTimer(abortWait)
	defer timeout.Stop()
	select {
	case <-closed:
	case <-timeout.C:
	}
}
