package gate

import (
	"math"
	"time"

	"sorrelvalve/control"
)

// startPoll is the time to the next tick while the decisions have not begun: soon enough to notice that they have.
const startPoll = 10 * time.Millisecond

// minTickMs is the shortest time between two ticks.
const minTickMs = 1.0

// duration converts milliseconds.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// milliseconds converts a duration.
func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }

func unixMillis(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// elapsedMs returns a time on the controller's clock.
func (g *Gate) elapsedMs(t time.Time) float64 { return milliseconds(t.Sub(g.origin)) }

// Tick moves the clock on. The gauges are in the order of the start-up configuration; none means that they could not be
// read. It returns the time until it should be called next. Ticks that a stall has delayed are made up for by one.
func (g *Gate) Tick(gauges []float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.controller == nil {
		return startPoll
	}
	at := g.now()
	now := g.elapsedMs(at)
	if now >= g.nextTimer {
		g.handle(now, control.Event{Kind: control.TimerFired, Label: g.timerLabel, Gauges: g.readGauges(gauges)})
		nowMs := unixMillis(at)
		g.abortOverdue(nowMs)
		g.expireTokens(nowMs)
	}
	return duration(math.Max(minTickMs, g.nextTimer-now))
}

// readGauges puts values into the gauges that the start-up configuration names.
func (g *Gate) readGauges(values []float64) control.Gauges {
	gauges := control.Gauges{Stale: len(values) == 0 && len(g.startup.Gauges) > 0}
	for i := range min(len(values), len(g.startup.Gauges)) {
		switch g.startup.Gauges[i] {
		case "core_use":
			gauges.CPUUtilization = values[i]
		case "on_cores":
			gauges.Runnable = values[i]
		}
	}
	return gauges
}

// abortOverdue gives a verdict to RPCs that the decisions have left without one past their deadline: no fault in them may
// lose an RPC.
func (g *Gate) abortOverdue(nowMs float64) {
	for _, t := range g.tickets {
		if !t.final && nowMs > t.dueMs+g.startup.AnswerSlack/2 {
			g.log("gate.rpc_overdue", "")
			g.endTicket(t, control.OutcomeReset, Verdict{Kind: Aborted, Reason: "overdue", Overdue: true})
		}
	}
}

// expireTokens evicts the tokens whose window is over. One with a run that goes on stays and is looked at again soon.
func (g *Gate) expireTokens(nowMs float64) {
	if g.expiries == nil {
		return
	}
	g.expiries.advance(nowMs, func(e *expiry) {
		k := e.token
		if !k.completed && g.tickets[k.id] != nil {
			k.atMs = nowMs + slotMs
			g.expiries.add(e)
			return
		}
		g.evictToken(k)
	})
}
