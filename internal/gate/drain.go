package gate

import (
	"time"

	"sorrelvalve/control"
)

// Drain announces that the server will stop after the given period. It does not block.
func (g *Gate) Drain(period time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.drainStarted = g.now()
	g.drainPeriod = period
	g.sendDrainNotice(g.drainStarted)
}

// sendDrainNotice passes a drain on to the controller once that has been started; the drain may be older.
func (g *Gate) sendDrainNotice(now time.Time) {
	if g.controller == nil || !g.draining {
		return
	}
	g.handle(g.elapsedMs(now), control.Event{
		Kind:      control.DrainNotice,
		Remaining: milliseconds(g.drainPeriod),
		Age:       milliseconds(now.Sub(g.drainStarted)),
	})
}

// CancelDrain withdraws a drain: the server goes on at full speed as if it had never been announced. What arrived past
// the grace period is not run any more; what arrives from now on is.
func (g *Gate) CancelDrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		return
	}
	g.draining = false
	if g.controller != nil {
		g.handleNow(control.Event{Kind: control.DrainCancelled})
	}
}
