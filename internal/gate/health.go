package gate

import "time"

// Healthy returns the result for health checks: whether the controller considers the server healthy and there is no drain.
func (g *Gate) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.healthy && !g.draining
}

// HealthChanged returns a channel that receives a value when the result of Healthy may have changed. It supports a single
// receiver.
func (g *Gate) HealthChanged() <-chan struct{} { return g.healthChanged }

func (g *Gate) setHealth(healthy bool) {
	if g.healthy == healthy {
		return
	}
	g.healthy = healthy
	select {
	case g.healthChanged <- struct{}{}:
	default: // the previous change has not been received yet
	}
}

// IdleTimeout returns how long a connection may be idle before the server closes it.
func (g *Gate) IdleTimeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idleTimeout
}

// setIdleTimeout sets the idle timeout in ms; 0 selects the fleet's default.
func (g *Gate) setIdleTimeout(ms float64) {
	if ms == 0 {
		ms = g.startup.Fleet.IdleTimeout
	}
	g.idleTimeout = duration(ms)
}
