package gate

import (
	"context"
	"fmt"
	"hash/maphash"
	"math"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
)

// Ticket is one RPC that has been entered.
type Ticket struct {
	g        *Gate
	id       uint32
	name     string // the ID of its protocol
	body     uint64 // hash
	method   int
	customer int     // past the last for one that the settings don't have
	due      float64 // Unix ms
	door     float64
	began    float64       // its run, by the module's clock
	key      string        // of its token
	joins    *token        // whose result it waits for
	queue    [2]Verdict    // a run and a final one
	put, got int           // in it so far
	verdicts chan struct{} // has a value for each that was put and not got
	stored   uint64        // hash of the body for the store
	away     float64       // ms: the store's advice
	running  bool
	begun    bool // on disk
	keeping  bool // its end is on its way there
	final    bool
	told     FinalHandler // instead of a verdict in the channel, if the final one is not the run's own
}

// Submit books an RPC as read. It never blocks; the verdicts come by Wait, and exactly one of them is final.
// An error tells that the RPC makes no sense here.
func (g *Gate) Submit(r RPC) (*Ticket, error) {
	m, known := g.methods[r.Method]
	if !known {
		return nil, fmt.Errorf("method %.40q is not known here", r.Method)
	}
	customer, known := g.customers[r.Customer]
	if !known && len(g.customers) > 0 {
		return nil, fmt.Errorf("customer %.40q is not known here", r.Customer)
	}
	tokened := g.told.Methods[m].Idempotency == control.IdempotencyKeyed
	if tokened && r.Token == "" {
		return nil, fmt.Errorf("method %s: a token expected, none there", r.Method)
	}
	var stored stored
	if tokened {
		stored = g.recall(r)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, ErrClosed
	}
	// A second one under the id of an RPC in hand would get the result of the first, which it is not.
	if _, open := g.ids[r.ID]; open {
		return nil, fmt.Errorf("id: that of an RPC in hand, %.20q", r.ID)
	}
	at := g.now()
	now := unixMs(at)
	if g.expiries == nil {
		g.expiries = newWheel(now)
	}
	deadline := g.told.Methods[m].Deadline
	t := &Ticket{
		g: g, name: r.ID, method: m, door: math.Min(r.ArrivedMs, now),
		verdicts: make(chan struct{}, 2), customer: customer,
	}
	door := math.Max(t.door, now-deadline) // one that is older is past its deadline anyway
	t.due = door + deadline
	if tokened {
		t.key, t.body = r.Method+"\x00"+r.Token, maphash.Bytes(g.hash, r.Body)
		if k := g.tokens[t.key]; k != nil && k.body != t.body && t.door < k.until {
			return nil, fmt.Errorf("token: its first try had another body")
		}
	}
	if tokened && g.store != nil {
		t.stored = stored.body
		if k := g.tokens[t.key]; k == nil || t.door >= k.until {
			switch stored.says { // a try before the start of this process is told of what happened to it
			case recovery.BodyMismatch:
				return nil, fmt.Errorf("token: its first try had another body")
			case recovery.ReplayResult:
				t.finish(Verdict{Kind: OK, Head: stored.head, Result: stored.result})
				return t, nil
			case recovery.MayHaveRun:
				t.finish(Verdict{Kind: Aborted, Reason: "it may have run"})
				return t, nil
			case recovery.HasRun:
				t.finish(Verdict{Kind: Aborted, Reason: "the try that it repeats has run; its result was too large to keep"})
				return t, nil
			}
		}
	}
	if g.decide == nil || tokened && g.tokens[t.key] == nil && g.keptKB < tokenKB {
		t.finish(Verdict{Kind: Rejected})
		return t, nil
	}
	g.lastID++
	t.id = g.lastID
	ev := control.Event{
		Kind: control.Arrived, RPC: t.id, Method: m, Customer: customer, Caller: r.Caller, Subject: r.Subject,
		Age: now - door, CostHint: r.CostHintMs, QueuedKB: r.QueuedKB, Retry: r.Retry,
	}
	if k := g.tokens[t.key]; k != nil && t.door < k.until {
		ev.DuplicateOf, t.joins = k.id, k // its customer's quota was asked for the first try
	} else if g.parts != nil && len(g.customers) > 0 {
		ev.Quota, ev.RetryAfter = g.parts.CheckQuota(r.Method, r.Customer, g.told.Methods[m].Criticality)
	}
	g.tickets[t.id] = t
	if t.name != "" {
		g.ids[t.name] = struct{}{}
	}
	g.handle(g.clock(at), ev)
	return t, nil
}

// stored is what the store knows of a token.
type stored struct {
	says         recovery.Resolution
	body         uint64
	head, result []byte
}

// recall asks the store for a token that this process does not know.
func (g *Gate) recall(r RPC) (s stored) {
	key := r.Method + "\x00" + r.Token
	g.mu.Lock()
	store, now := g.store, unixMs(g.now()) // a store comes while the server listens already
	k := g.tokens[key]
	known := k != nil && r.ArrivedMs < k.until
	g.mu.Unlock()
	if store == nil {
		return s
	}
	if s.body = store.Hash(r.Body); !known {
		s.says, s.head, s.result = store.Lookup(key, s.body, math.Min(r.ArrivedMs, now), g.told.Methods[g.methods[r.Method]].DedupWindow)
	}
	return s
}

// SubmitAndWait enters an RPC and blocks until its first verdict. If ctx ends before, the caller is taken to be gone.
func (g *Gate) SubmitAndWait(ctx context.Context, r RPC) (*Ticket, Verdict, error) {
	t, err := g.Submit(r)
	if err != nil {
		return nil, Verdict{}, err
	}
	return t, t.Wait(ctx), nil
}

// Wait blocks until the next verdict. If ctx ends before, the caller is taken to be gone.
func (t *Ticket) Wait(ctx context.Context) Verdict {
	select {
	case <-t.verdicts:
	case <-ctx.Done():
		t.Cancel()
		<-t.verdicts
	}
	return t.take()
}

// take gets the verdict that a value in the channel stands for.
func (t *Ticket) take() Verdict {
	t.got++
	return t.queue[t.got-1]
}

// give puts a verdict; it is called with the lock held.
func (t *Ticket) give(v Verdict) {
	t.queue[t.put] = v
	t.put++
	t.verdicts <- struct{}{}
}

// TryWait is the next verdict if it is there already.
func (t *Ticket) TryWait() (v Verdict, there bool) {
	select {
	case <-t.verdicts:
		return t.take(), true
	default:
		return v, false
	}
}

// Cancel tells that the caller no longer waits. It does nothing once there is a final verdict.
func (t *Ticket) Cancel() { t.leave(control.OutcomeError) }

// ConnectionLost tells that the caller's connection broke, which says nothing of how long it would have waited.
func (t *Ticket) ConnectionLost() { t.leave(control.OutcomeReset) }

func (t *Ticket) leave(how control.Outcome) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.end(t, how, Verdict{Kind: CallerGone})
}

// end gives a final verdict that the module has no part in. The module hears first, so that it can still
// drop the token of what never ran.
func (g *Gate) end(t *Ticket, how control.Outcome, v Verdict) {
	if !t.final {
		g.handle(g.clock(g.now()), control.Event{Kind: control.CallerGone, RPC: t.id, Outcome: how})
		t.finish(v)
	}
}

// FinalHandler hears of a final verdict, under the gate's lock: it must not block, nor call the gate.
type FinalHandler interface{ HandleFinal(Verdict) }

// NotifyFinal has f told of the final verdict if that is not the run's own, instead of Wait returning it; at once if there
// is one already.
func (t *Ticket) NotifyFinal(f FinalHandler) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	if v, there := t.TryWait(); there {
		f.HandleFinal(v)
		return
	}
	t.told = f
}

// DueMs is when the answer to the RPC must have been given, in Unix ms. It does not change.
func (t *Ticket) DueMs() float64 { return t.due }

// finish gives the final verdict if there is none yet, and tells whether it did.
func (t *Ticket) finish(v Verdict) bool {
	if t.final {
		return false
	}
	t.final = true
	t.g.count(t, &v)
	if t.told != nil {
		t.told.HandleFinal(v)
	} else {
		t.give(v)
	}
	if !t.running && !t.keeping {
		t.g.drop(t)
	}
	return true
}

// drop takes out a ticket that is over.
func (g *Gate) drop(t *Ticket) {
	if g.tickets[t.id] == t {
		delete(g.tickets, t.id)
		delete(g.ids, t.name)
	}
}
