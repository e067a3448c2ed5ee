package gate

import (
	"fmt"
	"math"
	"runtime/debug"

	"sorrelvalve/control"
)

const (
	// panicRetryMs is the minimum time to the next timer after a panic, since the event may not have set another timer.
	panicRetryMs = 40.0
	// abortLeadMs is how long before its deadline the controller may abort an RPC that is due: two of its timer intervals. An
	// abort within that time counts as overdue.
	abortLeadMs = 80.0
)

// handle passes an event to the controller, executes the resulting actions and handles the events that these raise. A panic
// in the controller aborts the RPC concerned but does not stop the server. The caller must hold the lock.
func (g *Gate) handle(now float64, ev control.Event) {
	g.pending = append(g.pending, ev)
	if len(g.pending) > 1 {
		return // a call of handle further up the stack processes it
	}
	defer func() {
		g.pending = g.pending[:0]
		if v := recover(); v != nil {
			g.log("gate.decision_panic", fmt.Sprintf("%v\n%s", v, debug.Stack()))
			if t := g.tickets[ev.RPC]; t != nil {
				t.finish(Verdict{Kind: Aborted, Reason: "a fault of the server"})
			}
			g.nextTimer = math.Max(g.nextTimer, now+panicRetryMs)
		}
	}()
	for i := 0; i < len(g.pending); i++ {
		actions := g.controller.Handle(now, g.pending[i])
		if g.tracer != nil {
			g.trace(now, g.pending[i], actions)
		}
		for _, a := range actions {
			g.execute(a)
		}
	}
}

// handleNow handles an event at the current time: at once, or after the event that is being handled.
func (g *Gate) handleNow(ev control.Event) { g.handle(g.elapsedMs(g.now()), ev) }

// trace passes an event and its actions to the tracer, with the token key if the event is the arrival of a keyed RPC.
func (g *Gate) trace(now float64, ev control.Event, actions []control.Action) {
	tokenKey := ""
	if t := g.tickets[ev.RPC]; t != nil && ev.Kind == control.Arrived {
		tokenKey = t.tokenKey
	}
	g.tracer.Event(now, ev, actions, tokenKey)
}

// execute carries out an action of the controller.
func (g *Gate) execute(a control.Action) {
	switch a.Kind {
	case control.SetTimer:
		g.nextTimer = a.Time
		g.timerLabel = a.Label
	case control.SetHealth:
		g.setHealth(a.Healthy)
	case control.SetIdleTimeout:
		g.setIdleTimeout(a.Time)
	case control.LogEvent:
		g.log(a.Message, "")
	default:
		if t := g.tickets[a.RPC]; t != nil {
			g.executeRPC(t, a)
		} else if a.Kind == control.Run { // the RPC is over, but the controller must still receive the end of its run
			g.handleNow(control.Event{Kind: control.Completed, RPC: a.RPC, Outcome: control.OutcomeNotStarted})
		}
	}
}

// executeRPC carries out an action that concerns an RPC.
func (g *Gate) executeRPC(t *Ticket, a control.Action) {
	switch a.Kind {
	case control.Run:
		g.startRun(t)
	case control.Reject:
		g.reject(t, a)
	case control.Abort:
		overdue := unixMillis(g.now())+abortLeadMs > t.dueMs
		t.finish(Verdict{Kind: Aborted, Reason: "given up", Overdue: overdue})
	case control.CacheToken:
		g.cacheToken(t, a.Time)
	case control.EvictToken:
		if k := g.tokens[t.tokenKey]; k != nil && k.id == t.id && !k.ran {
			g.dropToken(k)
		}
	case control.Join:
		g.join(t)
	default:
		g.log("gate.action_unsupported", "")
	}
}

// reject gives an RPC the final verdict Rejected. An RPC that is running, or that duplicates one that has run, is aborted
// instead: an RPC that may have had its effect is never reported as rejected.
func (g *Gate) reject(t *Ticket, a control.Action) {
	k := t.original
	if t.running || k != nil && k.ran && g.tokens[t.tokenKey] == k {
		t.finish(Verdict{Kind: Aborted, Reason: reasonMayHaveRun})
		return
	}
	t.finish(Verdict{Kind: Rejected, NoRetry: a.NoRetry, RetryAfterMs: g.CapRetryAfter(a.Time)})
}

// join makes an RPC wait for the result of the attempt that it duplicates.
func (g *Gate) join(t *Ticket) {
	k := t.original
	if k == nil || g.tokens[t.tokenKey] != k {
		g.completeUnrun(t, Verdict{Kind: Aborted, Reason: "the try that it repeats is over"})
		return
	}
	k.duplicates = append(k.duplicates, t)
	if k.completed {
		g.answerDuplicates(k)
	}
}
