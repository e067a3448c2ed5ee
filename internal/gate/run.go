package gate

import (
	"math"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
)

// noCapacityRetryAfterMs is the retry-after for an RPC that found no capacity at the backend: a few run times, in which a
// place comes free.
const noCapacityRetryAfterMs = 500.0

// The reasons of aborted verdicts, which clients get to see.
const (
	reasonMayHaveRun = "it may have run"
	reasonUncached   = "the try that it repeats has run; its result was too large to keep"
)

// controlOutcome is the outcome that is passed to the controller.
var controlOutcome = [...]control.Outcome{
	Failed:            control.OutcomeError,
	Succeeded:         control.OutcomeOK,
	NotStarted:        control.OutcomeNotStarted,
	NoCapacity:        control.OutcomeNotStarted,
	SucceededUncached: control.OutcomeOK,
}

// tokenState is what the token store records of each outcome.
var tokenState = [...]recovery.State{
	Failed:            recovery.Failed,
	Succeeded:         recovery.Succeeded,
	NotStarted:        recovery.NeverRan,
	NoCapacity:        recovery.NeverRan,
	SucceededUncached: recovery.SucceededUncached,
}

// Report is ReportWithHead without a head.
func (t *Ticket) Report(outcome Outcome, elapsedMs float64, result []byte) {
	t.ReportWithHead(outcome, elapsedMs, nil, result)
}

// ReportWithHead is Complete in the form of a Runner's callback.
func (t *Ticket) ReportWithHead(outcome Outcome, elapsedMs float64, head, result []byte) {
	t.Complete(outcome, elapsedMs, head, result)
}

// Complete reports the end of a run that a verdict asked for. The verdict that answers it comes by Wait if the RPC has no
// final one yet. The head is what the backend put before the result, such as the head of an HTTP response; it is cached and
// returned with the result and never interpreted. elapsedMs is the time that the run took; 0 stands for the time since it was
// asked for.
//
// Complete returns whether the verdict that the caller gets is that of the run. With a token store that verdict comes once
// the end is durable, and the return value tells only that there was no other by the time of the call.
func (t *Ticket) Complete(outcome Outcome, elapsedMs float64, head, result []byte) bool {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.running {
		return false
	}
	t.running = false
	if elapsedMs == 0 {
		elapsedMs = g.elapsedMs(g.now()) - t.runStarted
	}
	own := !t.final
	if t.recorded {
		t.recordEnd(outcome, head, result)
	} else {
		t.completeRun(outcome, head, result)
	}
	g.methodStats[t.method].RunMs += elapsedMs
	g.handleNow(control.Event{Kind: control.Completed, RPC: t.id, Outcome: controlOutcome[outcome], Elapsed: elapsedMs})
	return own
}

// recordEnd has the end of a recorded run written to the token store and gives the verdict once it is durable. An end that
// can't be made durable counts as a run that may have had its effect, which is what a duplicate would get after a restart.
func (t *Ticket) recordEnd(outcome Outcome, head, result []byte) {
	g := t.gate
	until := t.arrivedMs + g.startup.Methods[t.method].DedupWindow
	if k := g.tokens[t.tokenKey]; k != nil && k.id == t.id { // else it has been evicted meanwhile, as its window is over
		until = k.untilMs
	}
	t.recordingEnd = true
	g.store.RecordEnd(t.tokenKey, tokenState[outcome], t.storeBodyHash, until, head, result, func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		t.recordingEnd = false
		if err != nil && (outcome == Succeeded || outcome == SucceededUncached) {
			outcome = Failed
		}
		t.completeRun(outcome, head, result)
	})
}

// completeRun gives the verdict of a run that has ended, to its caller and to the duplicates that wait for it.
func (t *Ticket) completeRun(outcome Outcome, head, result []byte) {
	g := t.gate
	if k := g.tokens[t.tokenKey]; k != nil && k.id == t.id {
		if outcome == NotStarted || outcome == NoCapacity {
			g.dropToken(k)
		} else {
			g.cacheResult(k, outcome, head, result)
			g.answerDuplicates(k)
		}
	}
	t.finalHandler = nil // the verdict is the run's own
	switch outcome {
	case Succeeded, SucceededUncached:
		t.finish(Verdict{Kind: OK, Head: head, Result: result})
	case NoCapacity:
		t.finish(Verdict{Kind: Rejected, RetryAfterMs: g.CapRetryAfter(math.Max(noCapacityRetryAfterMs, t.retryAfterMs))})
	default:
		t.finish(Verdict{Kind: Aborted, Reason: "the run failed"})
	}
	g.removeTicket(t)
}

// startRun gives the verdict to run, unless another attempt has run within the window of its token: that upholds at most one
// run a token against any fault in what the controller remembers.
func (g *Gate) startRun(t *Ticket) {
	k := g.tokens[t.tokenKey]
	own := k != nil && k.id == t.id
	if k != nil && !own && k.ran && t.arrivedMs < k.untilMs {
		g.log("gate.second_run_prevented", "")
		g.completeUnrun(t, Verdict{Kind: Aborted, Reason: "another try has run"})
		return
	}
	t.running = true
	t.runStarted = g.elapsedMs(g.now())
	if own && g.store != nil {
		g.recordStart(t, k)
		return
	}
	if own {
		k.ran = true
	}
	t.deliver(Verdict{Kind: Run})
}

// recordStart has the start of a run written to the token store and gives the verdict to run once it is durable: what can't
// be recorded is not run.
func (g *Gate) recordStart(t *Ticket, k *token) {
	if rejection := g.store.Reserve(); rejection != nil {
		t.retryAfterMs = rejection.RetryAfterMs
		t.abandonRun()
		return
	}
	k.ran = true // it may have, from here on
	g.store.RecordStart(t.tokenKey, t.storeBodyHash, k.untilMs, func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		switch {
		case err != nil:
			k.ran = false
			t.abandonRun()
		case t.final: // its caller has left or been answered: it is not run any more
			k.ran = false
			g.store.RecordEnd(t.tokenKey, recovery.NeverRan, t.storeBodyHash, k.untilMs, nil, nil, func(error) {})
			t.abandonRun()
		default:
			t.recorded = true
			t.deliver(Verdict{Kind: Run})
		}
	})
}

// abandonRun ends a run that the token store has kept from starting.
func (t *Ticket) abandonRun() {
	t.running = false
	t.completeRun(NoCapacity, nil, nil)
	t.gate.handleNow(control.Event{Kind: control.Completed, RPC: t.id, Outcome: control.OutcomeNotStarted})
}

// completeUnrun gives a queued or joined RPC its final verdict and reports to the controller that it is over.
func (g *Gate) completeUnrun(t *Ticket, v Verdict) {
	if !t.finish(v) {
		return
	}
	outcome := control.OutcomeError
	if v.Kind == OK {
		outcome = control.OutcomeOK
	}
	g.handleNow(control.Event{Kind: control.Completed, RPC: t.id, Outcome: outcome})
}
