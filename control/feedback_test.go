package control

import (
	"testing"
)

// While all that arrives is too old when read, the admission level keeps everything away, and falls back at once after.
func TestLevelWhileFlooded(t *testing.T) {
	s := loadFeedback{kind: FeedbackLevel, callers: 4}
	for _, c := range []struct{ unread, want float64 }{{0.1, 0}, {1.5, 1}, {0.1, 0}} {
		if s.step(10, c.unread); s.announced != c.want {
			t.Errorf("level %v with a wait of %v unread, want %v", s.announced, c.unread, c.want)
		}
	}
}

// Callers that come back long after leave connections that fill the table; a flood of first attempts is met by the full
// table, a retry storm is not: there callers are asked not to retry.
func TestRetryMonitor(t *testing.T) {
	cases := []struct {
		name          string
		marks         bool
		firsts, again int // read for each run that ends
		unread, idle  float64
		everywhere    bool
	}{
		{"calm", true, 1, 0, 0, 1000, false},
		{"calm, unmarked", false, 2, 0, 0, 1000, false},
		{"a server slow by itself reads first attempts", true, 3, 0, 0, 1000, false},
		{"a storm of marked retries", true, 2, 4, 0, 1000, true},
		{"a storm that waits unread", true, 2, 4, 0.5, 20000, true},
		{"a flood of first attempts", true, 6, 0, 0, 20000, false},
		{"a flood where nothing is marked", false, 6, 0, 0, 20000, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := retryMonitor{marksRetries: c.marks, appliedTimeout: 20000, maxIdleTimeout: 20000}
			for range 200 {
				for range c.firsts {
					p.observe(false)
				}
				for range c.again {
					p.observe(true)
				}
				p.completions++
				p.updateIdleTimeout(c.unread, false)
			}
			if p.idleTimeout != c.idle || p.fleetOverloaded() != c.everywhere {
				t.Errorf("idle timeout %v, fleet overloaded %v", p.idleTimeout, p.fleetOverloaded())
			}
		})
	}
}

// While all that arrives is too old when read, the server is unhealthy, but for two thirds of the time at most.
func TestHealthWhileFlooded(t *testing.T) {
	w := newHarness(t, defaultSetup())
	id, off := uint32(0), 0.0
	for w.now < 30000 {
		w.advance(w.now+40, Gauges{Runnable: 4, CPUUtilization: 1})
		id++
		w.arrive(id, Event{Age: 2900, Remaining: 100})
		if !w.controller.health.healthy {
			off += 40
		}
	}
	if off < 3000 || off > 21000 {
		t.Errorf("off the list for %v ms of 30 s", off)
	}
}

// Connections are kept while cores are idle and nothing is rejected, and closed soon once either ends.
func TestIdleConnectionsInCalm(t *testing.T) {
	cases := []struct {
		name   string
		gauges Gauges
		pushed float64
		kept   bool
	}{
		{"calm", Gauges{CPUUtilization: 0.3}, 0, true},
		{"busy", Gauges{CPUUtilization: 0.7}, 0, false},
		{"rejecting", Gauges{CPUUtilization: 0.3}, 0.1, false},
		{"unknown", Gauges{CPUUtilization: 0.3, Stale: true}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaultSetup()
			s.fleet.IdleTimeout = 30000
			w := newHarness(t, s)
			for range 2000 {
				w.controller.retries.rejectFraction = c.pushed
				w.now = w.nextTimer
				w.handle(Event{Kind: TimerFired, Gauges: c.gauges})
			}
			if kept := w.controller.retries.idleTimeout == 30000; kept != c.kept {
				t.Errorf("idle timeout %v", w.controller.retries.idleTimeout)
			}
		})
	}
}
