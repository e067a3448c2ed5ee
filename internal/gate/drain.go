package gate

import (
	"time"

	"sorrelvalve/control"
)

// Drain tells that the server will be stopped after a while.
func (g *Gate) Drain(stop time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining, g.leaves, g.stop = true, g.now(), stop
	g.notice(g.leaves)
}

// notice tells the decisions of a drain, if they have begun: it may be older than they are.
func (g *Gate) notice(now time.Time) {
	if g.decide != nil && g.draining {
		g.handle(g.clock(now), control.Event{Kind: control.DrainNotice, Remaining: float64(g.stop) / 1e6, Age: float64(now.Sub(g.leaves)) / 1e6})
	}
}

// CancelDrain takes a drain back: the server goes on, warm, as if it had never been told to leave. Nothing that arrived past the grace is
// run for it; what arrives from now on is.
func (g *Gate) CancelDrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		return
	}
	g.draining = false
	if g.decide != nil {
		g.handle(g.clock(g.now()), control.Event{Kind: control.DrainCancelled})
	}
}

// Healthy is what health checks are told.
func (g *Gate) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.good && !g.draining
}

// Started tells whether the decisions have begun.
func (g *Gate) Started() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decide != nil
}

// HealthChanged has a value after health has changed.
func (g *Gate) HealthChanged() <-chan struct{} { return g.changed }

// IdleTimeout is how long a connection may carry nothing.
func (g *Gate) IdleTimeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}
