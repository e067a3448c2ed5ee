package control

import (
	"testing"
)

// While arrivals are too old when they are read, the admission level is 1, so that callers send nothing. It returns to
// its former value at once afterwards.
func TestLevelWhileFlooded(t *testing.T) {
	f := loadFeedback{kind: FeedbackLevel, callers: 4}
	for _, c := range []struct{ unreadWait, want float64 }{{0.1, 0}, {1.5, 1}, {0.1, 0}} {
		if f.step(10, c.unreadWait); f.announced != c.want {
			t.Errorf("admission level: got %v at an unread wait of %v, want %v", f.announced, c.unreadWait, c.want)
		}
	}
}

// Idle connections are closed early, because callers that return only after a long time fill the connection table. In a
// flood of first attempts they are kept, so that a full table rejects traffic. In a retry storm they are not: there the
// callers are asked not to retry.
func TestRetryMonitor(t *testing.T) {
	cases := []struct {
		name                    string
		marksRetries            bool
		firstAttempts, retries  int // number read per completed run
		unreadWait, idleTimeout float64
		fleetOverloaded         bool
	}{
		{"light load", true, 1, 0, 0, 1000, false},
		{"light load, unmarked retries", false, 2, 0, 0, 1000, false},
		{"slow server that reads first attempts", true, 3, 0, 0, 1000, false},
		{"storm of marked retries", true, 2, 4, 0, 1000, true},
		{"storm of marked retries that wait unread", true, 2, 4, 0.5, 20000, true},
		{"flood of first attempts", true, 6, 0, 0, 20000, false},
		{"flood of unmarked attempts", false, 6, 0, 0, 20000, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := retryMonitor{marksRetries: c.marksRetries, appliedTimeout: 20000, maxIdleTimeout: 20000}
			for range 200 {
				for range c.firstAttempts {
					p.observe(false)
				}
				for range c.retries {
					p.observe(true)
				}
				p.completions++
				p.updateIdleTimeout(c.unreadWait, false)
			}
			if p.idleTimeout != c.idleTimeout || p.fleetOverloaded() != c.fleetOverloaded {
				t.Errorf("got idle timeout %v and fleet overloaded %v", p.idleTimeout, p.fleetOverloaded())
			}
		})
	}
}

// While arrivals are too old when they are read, the server is unhealthy, but for at most two thirds of the time.
func TestHealthWhileFlooded(t *testing.T) {
	h := newHarness(t, defaultSetup())
	id, unhealthyFor := uint32(0), 0.0
	for h.now < 30000 {
		h.advance(h.now+40, Gauges{Runnable: 4, CPUUtilization: 1})
		id++
		h.arrive(id, Event{Age: 2900, Remaining: 100})
		if !h.controller.health.healthy {
			unhealthyFor += 40
		}
	}
	if unhealthyFor < 3000 || unhealthyFor > 21000 {
		t.Errorf("unhealthy for %v ms of 30 s, want 3000 to 21000", unhealthyFor)
	}
}

// Idle connections are kept open while the cores are lightly loaded and nothing is rejected, and closed early
// otherwise.
func TestIdleTimeoutAtLightLoad(t *testing.T) {
	cases := []struct {
		name           string
		gauges         Gauges
		rejectFraction float64
		kept           bool
	}{
		{"light load", Gauges{CPUUtilization: 0.3}, 0, true},
		{"busy", Gauges{CPUUtilization: 0.7}, 0, false},
		{"rejecting", Gauges{CPUUtilization: 0.3}, 0.1, false},
		{"stale gauges", Gauges{CPUUtilization: 0.3, Stale: true}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.fleet.IdleTimeout = 30000
			h := newHarness(t, s)
			for range 2000 {
				h.controller.retries.rejectFraction = c.rejectFraction
				h.now = h.nextTimer
				h.handle(Event{Kind: TimerFired, Gauges: c.gauges})
			}
			if kept := h.controller.retries.idleTimeout == 30000; kept != c.kept {
				t.Errorf("idle timeout: got %v", h.controller.retries.idleTimeout)
			}
		})
	}
}
