package gate

import (
	"time"

	"sorrelvalve/control"
)

// Drain announces that the server will stop after period. It does not block.
func (g *Gate) Drain(period time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.drainStarted = g.now()
	g.drainPeriod = period
	g.sendDrainNotice(g.drainStarted)
}

// sendDrainNotice notifies the controller of a drain, if both have begun. The drain may have begun before the controller.
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

// CancelDrain cancels a drain. The server continues at full speed as if the drain had never been announced. RPCs that
// arrived after the grace period are not run; RPCs that arrive from now on are.
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
