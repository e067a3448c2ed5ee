package front

import (
	"context"
	"time"
)

const (
	// drainPollInterval is the interval at which a shutdown checks for drained connections: a tenth of TransitTime.
	drainPollInterval = TransitTime / 10
	// abortTimeout is how long connections have to close after the shutdown's context has ended. On one machine a peer's
	// close arrives in well under a millisecond, and the process must exit within 20 ms of the end of the context.
	abortTimeout = 10 * time.Millisecond
	// abortWait is how long a shutdown waits for the aborted connections to close.
	abortWait = abortTimeout + abortTimeout/2
)

// Shutdown stops accepting connections and asks all peers to send no more RPCs. It returns when every message that was
// read has been answered and all connections are closed, or shortly after ctx ends. A peer has half of the time, at
// most LingerTimeout, to close its idle connection. After that the server closes it, which leaves time to read messages
// that cross the close.
// Connections that are open when ctx ends are closed within abortTimeout.
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

// stopListeners sets the final deadline of the accept loops and reports whether there are any.
func (t *ConnTable) stopListeners() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ln := range t.listeners {
		_ = ln.SetDeadline(time.Now().Add(AcceptGrace)) // Accept returns the same error
	}
	return len(t.listeners) > 0
}

// drain closes connections as they become idle. Until closeFrom it allows the peers LingerTimeout to close them, and
// TransitTime afterwards. It reports whether all connections were closed before ctx ended.
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

// abort closes all connections within abortTimeout and waits up to abortWait for their goroutines to end.
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
