package gate

import (
	"math"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
)

// Report tells what became of a run that a verdict asked for. The verdict that answers it comes by Wait,
// if the RPC has none yet.
func (t *Ticket) Report(how Outcome, spent float64, result []byte) {
	t.ReportWithHead(how, spent, nil, result)
}

// ReportWithHead is Report with what the back put before the result: the head of an HTTP answer, say. It is kept and
// handed on with the result, and never looked at here.
// Spent is the time that the run took in ms; 0 for the time since it was asked for.
func (t *Ticket) ReportWithHead(how Outcome, spent float64, head, result []byte) {
	t.Complete(how, spent, head, result)
}

// Complete is ReportHead, and returns whether the verdict that the caller hears is that of the run. With a store it is heard
// once the end is on disk, and the return value tells only that no other verdict had been given by then.
func (t *Ticket) Complete(how Outcome, spent float64, head, result []byte) bool {
	g := t.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.running {
		return false
	}
	t.running = false
	if spent == 0 {
		spent = g.clock(g.now()) - t.began
	}
	own := !t.final
	if t.begun {
		t.keep(how, head, result)
	} else {
		t.over(how, head, result)
	}
	g.ran[t.method].RunMs += spent
	outcome := [...]control.Outcome{control.OutcomeError, control.OutcomeOK, control.OutcomeNotStarted, control.OutcomeNotStarted, control.OutcomeOK}[how]
	g.handle(g.clock(g.now()), control.Event{Kind: control.Completed, RPC: t.id, Outcome: outcome, Elapsed: spent})
	return own
}

// keep has the end of a run that was begun on disk written there, and gives the verdict once it is. An end that can't
// be made durable is told as one that may have run: that is what a repeat would hear after a restart.
func (t *Ticket) keep(how Outcome, head, result []byte) {
	g := t.g
	k := g.tokens[t.key]
	if k == nil || k.id != t.id { // its token has been dropped meanwhile: its window is over
		k = &token{until: t.door + g.told.Methods[t.method].DedupWindow}
	}
	state := [...]recovery.State{recovery.Failed, recovery.Succeeded, recovery.NeverRan, recovery.NeverRan, recovery.SucceededUncached}[how]
	t.keeping = true
	g.store.RecordEnd(t.key, state, t.stored, k.until, head, result, func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		t.keeping = false
		if err != nil && (how == Succeeded || how == SucceededUncached) {
			how = Failed
		}
		t.over(how, head, result)
	})
}

// over gives the verdict of a run that has ended, to its caller and to those that joined it.
func (t *Ticket) over(how Outcome, head, result []byte) {
	g := t.g
	if k := g.tokens[t.key]; k != nil && k.id == t.id {
		if how == NotStarted || how == NoCapacity {
			g.forget(k)
		} else {
			g.keep(k, how, head, result)
			g.settle(k)
		}
	}
	t.told = nil // the verdict is the run's own
	switch how {
	case Succeeded, SucceededUncached:
		t.finish(Verdict{Kind: OK, Head: head, Result: result})
	case NoCapacity:
		t.finish(Verdict{Kind: Rejected, RetryAfterMs: g.CapRetryAfter(math.Max(fullAway, t.away))})
	default:
		t.finish(Verdict{Kind: Aborted, Reason: "the run failed"})
	}
	g.drop(t)
}

// fullAway is the ms to stay away for one that found no room below: a few run times, in which a place comes free.
const fullAway = 500.0

// run starts an RPC, unless another try of it has run within its window: that guards the rule against
// any fault in what the module remembers.
func (g *Gate) run(t *Ticket) {
	k := g.tokens[t.key]
	if k != nil && k.id != t.id && k.ran && t.door < k.until {
		g.log("gate: a second run of a tokened RPC was stopped", "")
		g.ended(t, Verdict{Kind: Aborted, Reason: "another try has run"})
		return
	}
	t.running, t.began = true, g.clock(g.now())
	if k == nil || k.id != t.id || g.store == nil {
		if k != nil && k.id == t.id {
			k.ran = true
		}
		t.give(Verdict{Kind: Run})
		return
	}
	if no := g.store.Reserve(); no != nil { // what can't be remembered is not run
		t.away = no.RetryAfter
		t.notRun()
		return
	}
	k.ran = true // it may have, from here on
	g.store.RecordStart(t.key, t.stored, k.until, func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		switch {
		case err != nil:
			k.ran = false
			t.notRun()
		case t.final: // its caller has left, or was answered: nothing runs any more
			k.ran = false
			g.store.RecordEnd(t.key, recovery.NeverRan, t.stored, k.until, nil, nil, func(error) {})
			t.notRun()
		default:
			t.begun = true
			t.give(Verdict{Kind: Run})
		}
	})
}

// notRun ends a run that the store has kept from beginning.
func (t *Ticket) notRun() {
	t.running = false
	t.over(NoCapacity, nil, nil)
	t.g.later(control.Event{Kind: control.Completed, RPC: t.id, Outcome: control.OutcomeNotStarted})
}

// ended gives a held or joined RPC its verdict and tells the module that it is over.
func (g *Gate) ended(t *Ticket, v Verdict) {
	if !t.finish(v) {
		return
	}
	outcome := control.OutcomeError
	if v.Kind == OK {
		outcome = control.OutcomeOK
	}
	g.later(control.Event{Kind: control.Completed, RPC: t.id, Outcome: outcome})
}
