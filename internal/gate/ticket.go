package gate

import (
	"context"

	"sorrelvalve/control"
)

// maxVerdicts is the number of verdicts that an RPC can get: one to run, and a final one.
const maxVerdicts = 2

// Ticket is an RPC that has been submitted. All but its gate, protocolID, method, customer and times is guarded by the
// gate's lock; taken belongs to the goroutine that waits.
type Ticket struct {
	gate       *Gate
	id         uint32  // 0 if it was not passed to the controller
	protocolID string  // RPC.ID
	method     int     // index into the start-up configuration
	customer   int     // likewise; its number of customers for one that it does not have
	arrivedMs  float64 // Unix ms
	dueMs      float64 // Unix ms

	tokenKey      string // "" if the method is not keyed
	bodyHash      uint64
	storeBodyHash uint64 // the token store's own hash
	original      *token // of the attempt that it duplicates; nil for none

	runStarted   float64 // ms of the controller's clock
	running      bool
	recorded     bool    // the start of its run is in the token store
	recordingEnd bool    // the end of its run is on its way there
	retryAfterMs float64 // as the token store advised; 0 for none

	final        bool         // it has had its final verdict
	finalHandler FinalHandler // gets a final verdict that is not the run's own; nil for the queue
	queue        [maxVerdicts]Verdict
	delivered    int           // into the queue so far
	taken        int           // from the queue so far
	verdicts     chan struct{} // holds a value for each that was delivered and not taken
}

// Wait blocks until the next verdict and returns it. If ctx ends before, the caller is taken to be gone. It must not be
// called again after a final verdict, nor by two goroutines at once.
func (t *Ticket) Wait(ctx context.Context) Verdict {
	select {
	case <-t.verdicts:
	case <-ctx.Done():
		t.Cancel()
		<-t.verdicts
	}
	return t.take()
}

// TryWait returns the next verdict if there is one already.
func (t *Ticket) TryWait() (v Verdict, ok bool) {
	select {
	case <-t.verdicts:
		return t.take(), true
	default:
		return v, false
	}
}

// take returns the verdict that a value received from the channel stands for.
func (t *Ticket) take() Verdict {
	t.taken++
	return t.queue[t.taken-1]
}

// deliver queues a verdict. It is called with the lock held and does not block.
func (t *Ticket) deliver(v Verdict) {
	t.queue[t.delivered] = v
	t.delivered++
	t.verdicts <- struct{}{}
}

// Cancel reports that the caller no longer waits. It does nothing after the final verdict.
func (t *Ticket) Cancel() { t.callerGone(control.OutcomeError) }

// ConnectionLost reports that the caller's connection broke, which says nothing of how long it would have waited. It does
// nothing after the final verdict.
func (t *Ticket) ConnectionLost() { t.callerGone(control.OutcomeReset) }

func (t *Ticket) callerGone(outcome control.Outcome) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.endTicket(t, outcome, Verdict{Kind: CallerGone})
}

// endTicket gives a final verdict that is not the controller's. The controller gets the event first, so that it can
// still evict the token of an RPC that never ran.
func (g *Gate) endTicket(t *Ticket, outcome control.Outcome, v Verdict) {
	if !t.final {
		g.handleNow(control.Event{Kind: control.CallerGone, RPC: t.id, Outcome: outcome})
		t.finish(v)
	}
}

// FinalHandler receives a final verdict. HandleFinal is called under the gate's lock: it must neither block nor call the
// gate.
type FinalHandler interface{ HandleFinal(Verdict) }

// NotifyFinal has h receive the final verdict, if that is not the one of the run's own end, in place of Wait. It does so at
// once if there is one already.
func (t *Ticket) NotifyFinal(h FinalHandler) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if v, ok := t.TryWait(); ok {
		h.HandleFinal(v)
		return
	}
	t.finalHandler = h
}

// DueMs returns when the answer to the RPC must have been given, in Unix ms. It does not change.
func (t *Ticket) DueMs() float64 { return t.dueMs }

// finish gives the final verdict, unless there is one already, and returns whether it did.
func (t *Ticket) finish(v Verdict) bool {
	if t.final {
		return false
	}
	t.final = true
	t.gate.count(t, &v)
	if t.finalHandler != nil {
		t.finalHandler.HandleFinal(v)
	} else {
		t.deliver(v)
	}
	if !t.running && !t.recordingEnd {
		t.gate.removeTicket(t)
	}
	return true
}

// removeTicket forgets a ticket that has its final verdict and no run.
func (g *Gate) removeTicket(t *Ticket) {
	if g.tickets[t.id] == t {
		delete(g.tickets, t.id)
		delete(g.openIDs, t.protocolID)
	}
}
