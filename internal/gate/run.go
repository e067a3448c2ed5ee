package gate

import (
	"math"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
)

// noCapacityRetryAfterMs is the minimum retry-after for an RPC that found no capacity at the backend: a few run times, within
// which capacity becomes free.
const noCapacityRetryAfterMs = 500.0

// Reasons of Aborted verdicts. They are part of answers to clients.
const (
	reasonMayHaveRun = "it may have run"
	reasonUncached   = "the try that it repeats has run; its result was too large to keep"
)

// controlOutcome maps an outcome to the one that is passed to the controller.
var controlOutcome = [...]control.Outcome{
	Failed:            control.OutcomeError,
	Succeeded:         control.OutcomeOK,
	NotStarted:        control.OutcomeNotStarted,
	NoCapacity:        control.OutcomeNotStarted,
	SucceededUncached: control.OutcomeOK,
}

// tokenState maps an outcome to the state that is recorded in the token store.
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

// ReportWithHead is Complete with the signature of a Runner's callback.
func (t *Ticket) ReportWithHead(outcome Outcome, elapsedMs float64, head, result []byte) {
	t.Complete(outcome, elapsedMs, head, result)
}

// Complete reports the end of a run that a verdict requested. If the RPC has no final verdict yet, Wait returns the verdict
// that results from the run. head is data that the backend sent before the result, such as the head of an HTTP response; it
// is cached and returned with the result but never interpreted. elapsedMs is the duration of the run; 0 stands for the time
// since the run was requested.
//
// Complete reports whether the final verdict is the one of the run. With a token store the verdict is given once the end of
// the run is durable, and true means only that there was no other final verdict at the time of the call.
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

// recordEnd writes the end of a recorded run to the token store and gives the verdict once the end is durable. If it can't be
// made durable, a success is reported as a run that may have had its effect, which is also the answer that a duplicate would
// get after a restart.
func (t *Ticket) recordEnd(outcome Outcome, head, result []byte) {
	g := t.gate
	until := t.arrivedMs + g.startup.Methods[t.method].DedupWindow
	if k := g.tokens[t.tokenKey]; k != nil && k.id == t.id { // otherwise it has been evicted, as its window is over
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

// completeRun gives the final verdict of a run that has ended to its RPC and to the duplicates that wait for it.
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
	t.finalHandler = nil // not called for the verdict of the run's own end
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

// startRun gives the verdict Run, unless another attempt has run within the window of the token. The check ensures at most
// one run per token even if the controller's own state is wrong.
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

// recordStart writes the start of a run to the token store and gives the verdict Run once the record is durable. An RPC whose
// start can't be recorded is not run.
func (g *Gate) recordStart(t *Ticket, k *token) {
	if rejection := g.store.Reserve(); rejection != nil {
		t.retryAfterMs = rejection.RetryAfterMs
		t.abandonRun()
		return
	}
	k.ran = true // from here on it may have run
	g.store.RecordStart(t.tokenKey, t.storeBodyHash, k.untilMs, func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		switch {
		case err != nil:
			k.ran = false
			t.abandonRun()
		case t.final: // its caller is gone or has been answered, so it is not run
			k.ran = false
			g.store.RecordEnd(t.tokenKey, recovery.NeverRan, t.storeBodyHash, k.untilMs, nil, nil, func(error) {})
			t.abandonRun()
		default:
			t.recorded = true
			t.deliver(Verdict{Kind: Run})
		}
	})
}

// abandonRun ends a run that was not started, because its start was not recorded or its RPC had its final verdict.
func (t *Ticket) abandonRun() {
	t.running = false
	t.completeRun(NoCapacity, nil, nil)
	t.gate.handleNow(control.Event{Kind: control.Completed, RPC: t.id, Outcome: control.OutcomeNotStarted})
}

// completeUnrun gives an RPC that has not run its final verdict and reports its end to the controller.
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
