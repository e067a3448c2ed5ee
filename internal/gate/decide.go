package gate

import (
	"fmt"
	"math"
	"runtime/debug"

	"sorrelvalve/control"
)

// handle gives an event to the module and carries out what it says, and so on with what that brought about.
// A panic in there costs the RPC concerned, not the server.
func (g *Gate) handle(now float64, ev control.Event) {
	g.todo = append(g.todo, ev)
	if len(g.todo) > 1 {
		return // the call below this one goes on with it
	}
	defer func() {
		g.todo = g.todo[:0]
		if v := recover(); v != nil {
			g.log("gate: panic in the decisions", fmt.Sprintf("%v\n%s", v, debug.Stack()))
			if t := g.tickets[ev.RPC]; t != nil {
				t.finish(Verdict{Kind: Aborted, Reason: "a fault of the server"})
			}
			g.wake = math.Max(g.wake, now+faultPause)
		}
	}()
	for i := 0; i < len(g.todo); i++ {
		actions := g.decide.Handle(now, g.todo[i])
		if g.trace != nil {
			token := ""
			if t := g.tickets[g.todo[i].RPC]; t != nil && g.todo[i].Kind == control.Arrived {
				token = t.key
			}
			g.trace.Event(now, g.todo[i], actions, token)
		}
		for _, a := range actions {
			g.carryOut(a)
		}
	}
}

// faultPause is the time to the next tick when one has ended in a panic before it asked for another.
const faultPause = 40.0

// dueSoon is the ms before the due time in which the module gives up what is due: two of its looks.
const dueSoon = 80.0

func (g *Gate) carryOut(a control.Action) {
	switch a.Kind {
	case control.SetTimer:
		g.wake, g.label = a.Time, a.Label
		return
	case control.SetHealth:
		if g.good != a.Healthy {
			g.good = a.Healthy
			select {
			case g.changed <- struct{}{}:
			default:
			}
		}
		return
	case control.SetIdleTimeout:
		g.idle = ms(a.Time)
		if a.Time == 0 {
			g.idle = ms(g.told.Fleet.IdleTimeout)
		}
		return
	case control.LogEvent:
		g.log(a.Message, "")
		return
	}
	t := g.tickets[a.RPC]
	if t == nil { // it is over; a run of it must still end for the module
		if a.Kind == control.Run {
			g.later(control.Event{Kind: control.Completed, RPC: a.RPC, Outcome: control.OutcomeNotStarted})
		}
		return
	}
	switch a.Kind {
	case control.Run:
		g.run(t)
	case control.Reject:
		v := Verdict{Kind: Rejected, NoRetry: a.NoRetry, RetryAfterMs: math.Min(a.Time, g.told.Fleet.MaxRetryAfter)}
		if k := t.joins; t.running || k != nil && k.ran && g.tokens[t.key] == k {
			v = Verdict{Kind: Aborted, Reason: "it may have run"} // what ran is never pushed back
		}
		t.finish(v)
	case control.Abort:
		late := unixMs(g.now())+dueSoon > t.due
		t.finish(Verdict{Kind: Aborted, Reason: "given up", Overdue: late})
	case control.CacheToken:
		g.remember(t, a.Time)
	case control.EvictToken:
		if k := g.tokens[t.key]; k != nil && k.id == t.id && !k.ran {
			g.forget(k)
		}
	case control.Join:
		k := t.joins
		if k == nil || g.tokens[t.key] != k {
			g.ended(t, Verdict{Kind: Aborted, Reason: "the try that it repeats is over"})
			return
		}
		k.joined = append(k.joined, t)
		if k.over {
			g.settle(k)
		}
	default:
		g.log("gate: an action that this server can't carry out", "")
	}
}

// later hands an event to the module after the one in hand, or now if there is none.
func (g *Gate) later(ev control.Event) { g.handle(g.clock(g.now()), ev) }
