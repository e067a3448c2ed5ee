package gate

import (
	"math"
	"time"

	"sorrelvalve/control"
)

// startPoll is the interval of ticks before Start, short enough for the first timer after Start to be on time.
const startPoll = 10 * time.Millisecond

// minTickMs is the minimum time between two ticks.
const minTickMs = 1.0

// duration converts milliseconds to a time.Duration.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// milliseconds converts a time.Duration to milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }

func unixMillis(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// elapsedMs converts a time to milliseconds on the controller's clock.
func (g *Gate) elapsedMs(t time.Time) float64 { return milliseconds(t.Sub(g.origin)) }

// Tick fires the controller's timer if it is due and returns the time until Tick should be called again. The gauges are in
// the order of the start-up configuration; an empty slice means that they could not be read. After a stall one call is
// enough, however many ticks were missed.
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

// readGauges assigns values to the gauges that the start-up configuration names.
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

// abortOverdue aborts RPCs that are past their deadline without a final verdict from the controller, so that a fault in the
// controller can never lose an RPC.
func (g *Gate) abortOverdue(nowMs float64) {
	for _, t := range g.tickets {
		if !t.final && nowMs > t.dueMs+g.startup.AnswerSlack/2 {
			g.log("gate.rpc_overdue", "")
			g.endTicket(t, control.OutcomeReset, Verdict{Kind: Aborted, Reason: "overdue", Overdue: true})
		}
	}
}

// expireTokens evicts the tokens whose window is over. A token whose run is still in progress stays and is checked again one
// slot later.
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
