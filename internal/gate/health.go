package gate

import "time"

// Healthy returns the answer to health checks.
func (g *Gate) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.healthy && !g.draining
}

// HealthChanged returns a channel that holds a value after Healthy may have changed. It serves one receiver.
func (g *Gate) HealthChanged() <-chan struct{} { return g.healthChanged }

func (g *Gate) setHealth(healthy bool) {
	if g.healthy == healthy {
		return
	}
	g.healthy = healthy
	select {
	case g.healthChanged <- struct{}{}:
	default: // the change before has not been received yet
	}
}

// IdleTimeout returns how long a connection may be idle before the server closes it.
func (g *Gate) IdleTimeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idleTimeout
}

// setIdleTimeout sets it in ms; 0 stands for the fleet's own.
func (g *Gate) setIdleTimeout(ms float64) {
	if ms == 0 {
		ms = g.startup.Fleet.IdleTimeout
	}
	g.idleTimeout = duration(ms)
}
