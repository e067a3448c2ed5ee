package gate

import (
	"context"

	"sorrelvalve/control"
)

// maxVerdicts is the maximum number of verdicts of an RPC: Run and a final one.
const maxVerdicts = 2

// Ticket is an RPC that has been submitted. The gate's lock guards all fields except gate, protocolID, method, customer,
// arrivedMs and dueMs, which do not change, and taken, which only the goroutine that waits uses.
type Ticket struct {
	gate       *Gate
	id         uint32  // 0 if the RPC was not passed to the controller
	protocolID string  // RPC.ID
	method     int     // index into the start-up configuration
	customer   int     // likewise; 0 if the configuration has no customers
	arrivedMs  float64 // Unix ms
	dueMs      float64 // Unix ms

	tokenKey      string // "" if the method is not keyed
	bodyHash      uint64
	storeBodyHash uint64 // the token store's hash of the body
	original      *token // token of the attempt that it duplicates; nil for none

	runStarted   float64 // in ms of the controller's clock
	running      bool
	recorded     bool    // the start of its run is in the token store
	recordingEnd bool    // the end of its run is being written to the token store
	retryAfterMs float64 // from the token store; 0 for none

	final        bool         // it has its final verdict
	finalHandler FinalHandler // receives a final verdict other than that of the run's end; nil to use the queue
	queue        [maxVerdicts]Verdict
	delivered    int           // number of verdicts added to the queue
	taken        int           // number of verdicts taken from the queue
	verdicts     chan struct{} // holds a value for each verdict that was delivered but not taken
}

// Wait blocks until the next verdict and returns it. If ctx ends earlier, the caller counts as gone. Wait must not be called
// after a final verdict or concurrently.
func (t *Ticket) Wait(ctx context.Context) Verdict {
	select {
	case <-t.verdicts:
	case <-ctx.Done():
		t.Cancel()
		<-t.verdicts
	}
	return t.take()
}

// TryWait returns the next verdict if there already is one. It does not block.
func (t *Ticket) TryWait() (v Verdict, ok bool) {
	select {
	case <-t.verdicts:
		return t.take(), true
	default:
		return v, false
	}
}

// take returns the next verdict of the queue, after a value has been received from the channel.
func (t *Ticket) take() Verdict {
	t.taken++
	return t.queue[t.taken-1]
}

// deliver queues a verdict. It does not block. The caller must hold the lock.
func (t *Ticket) deliver(v Verdict) {
	t.queue[t.delivered] = v
	t.delivered++
	t.verdicts <- struct{}{}
}

// Cancel reports that the caller no longer waits. It has no effect after the final verdict.
func (t *Ticket) Cancel() { t.callerGone(control.OutcomeError) }

// ConnectionLost reports that the caller's connection broke, which does not tell how long the caller would have waited. It
// has no effect after the final verdict.
func (t *Ticket) ConnectionLost() { t.callerGone(control.OutcomeReset) }

func (t *Ticket) callerGone(outcome control.Outcome) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.endTicket(t, outcome, Verdict{Kind: CallerGone})
}

// endTicket gives a final verdict that does not come from the controller. The controller receives the event first, so that it
// can still evict the token of an RPC that never ran.
func (g *Gate) endTicket(t *Ticket, outcome control.Outcome, v Verdict) {
	if !t.final {
		g.handleNow(control.Event{Kind: control.CallerGone, RPC: t.id, Outcome: outcome})
		t.finish(v)
	}
}

// FinalHandler receives a final verdict. HandleFinal is called under the gate's lock and must neither block nor call the
// gate.
type FinalHandler interface{ HandleFinal(Verdict) }

// NotifyFinal makes h instead of Wait receive the final verdict, unless it is the verdict of the run's own end. If there
// already is a final verdict, h receives it at once.
func (t *Ticket) NotifyFinal(h FinalHandler) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if v, ok := t.TryWait(); ok {
		h.HandleFinal(v)
		return
	}
	t.finalHandler = h
}

// DueMs returns the time by which the answer to the RPC must have been given, in Unix ms. It does not change.
func (t *Ticket) DueMs() float64 { return t.dueMs }

// finish gives the final verdict unless there already is one, and reports whether it did.
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

// removeTicket removes a ticket that has its final verdict and no run in progress.
func (g *Gate) removeTicket(t *Ticket) {
	if g.tickets[t.id] == t {
		delete(g.tickets, t.id)
		delete(g.openIDs, t.protocolID)
	}
}
