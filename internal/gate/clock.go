package gate

import (
	"math"
	"time"

	"sorrelvalve/control"
)

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// clock is the module's time.
func (g *Gate) clock(t time.Time) float64 { return float64(t.Sub(g.origin)) / 1e6 }

// Tick moves the clock on, with the gauges as they stand in the order told, none if they are not known. It returns
// the time until it should be called next. Ticks that came due in a stall are made up for by one.
func (g *Gate) Tick(gauges []float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.decide == nil {
		return 10 * time.Millisecond // nothing runs yet; the start is noticed soon enough
	}
	at := g.now()
	now := g.clock(at)
	if now >= g.wake {
		ev := control.Event{Kind: control.TimerFired, Label: g.label}
		ev.Gauges.Stale = len(gauges) == 0 && len(g.told.Gauges) > 0
		for i := range min(len(gauges), len(g.told.Gauges)) {
			switch g.told.Gauges[i] {
			case "core_use":
				ev.Gauges.CPUUtilization = gauges[i]
			case "on_cores":
				ev.Gauges.Runnable = gauges[i]
			}
		}
		g.handle(now, ev)
		g.sweep(unixMs(at))
	}
	return ms(math.Max(1, g.wake-now))
}

// sweep drops what has had its time. An RPC that the decisions have left without an answer past its due time
// gets one here: no error in them may lose it.
func (g *Gate) sweep(now float64) {
	for _, t := range g.tickets {
		if !t.final && now > t.due+g.told.AnswerSlack/2 {
			g.log("gate: an RPC was overdue", "")
			g.end(t, control.OutcomeReset, Verdict{Kind: Aborted, Reason: "overdue", Overdue: true})
		}
	}
	if g.expiries == nil {
		return
	}
	g.expiries.advance(now, func(e *expiry) {
		k := e.token
		if !k.over && g.tickets[k.id] != nil { // its run goes on; it is looked at again soon
			k.at = now + slotMs
			g.expiries.add(e)
			return
		}
		g.release(k)
	})
}
