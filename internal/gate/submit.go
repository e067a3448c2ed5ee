package gate

import (
	"context"
	"fmt"
	"hash/maphash"
	"math"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
)

// InvalidRPCError is returned by Submit for an invalid RPC: its method or customer is unknown, its token is missing or was
// used with another body, or its ID is that of an RPC in flight.
type InvalidRPCError struct {
	reason string
}

// Error describes what is invalid. The text is part of the answer to the client.
func (e *InvalidRPCError) Error() string { return e.reason }

func invalidRPC(format string, args ...any) error {
	return &InvalidRPCError{reason: fmt.Sprintf(format, args...)}
}

// errBodyMismatch reports a token that an earlier attempt used with another body.
var errBodyMismatch = invalidRPC("token: its first try had another body")

// Submit submits an RPC for admission. It does not block: Ticket.Wait returns the verdicts, of which exactly one is final. The
// error is ErrClosed or an *InvalidRPCError.
func (g *Gate) Submit(r RPC) (*Ticket, error) {
	method, customer, err := g.validate(&r)
	if err != nil {
		return nil, err
	}
	keyed := g.startup.Methods[method].Idempotency == control.IdempotencyKeyed
	var stored storedToken
	if keyed {
		stored = g.lookupStored(&r, method)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, ErrClosed
	}
	// A second RPC with the ID of an RPC in flight would get the result of the first.
	if _, open := g.openIDs[r.ID]; open {
		return nil, invalidRPC("id: that of an RPC in hand, %.20q", r.ID)
	}
	at := g.now()
	now := unixMillis(at)
	if g.expiries == nil {
		g.expiries = newWheel(now)
	}
	t, age := g.newTicket(&r, method, customer, now)
	if keyed {
		t.tokenKey = tokenKey(&r)
		t.bodyHash = maphash.Bytes(g.hashSeed, r.Body)
		t.storeBodyHash = stored.bodyHash
		if k := g.tokens[t.tokenKey]; k != nil && k.bodyHash != t.bodyHash && t.arrivedMs < k.untilMs {
			return nil, errBodyMismatch
		}
		if answered, err := g.answerFromStore(t, &stored); err != nil {
			return nil, err
		} else if answered {
			return t, nil
		}
	}
	cacheFull := keyed && g.tokens[t.tokenKey] == nil && g.cacheFreeKB < tokenKB
	if g.controller == nil || cacheFull {
		t.finish(Verdict{Kind: Rejected})
		return t, nil
	}
	g.arrive(t, &r, at, age)
	return t, nil
}

// SubmitAndWait submits an RPC and blocks until its first verdict. If ctx ends earlier, the caller counts as gone.
func (g *Gate) SubmitAndWait(ctx context.Context, r RPC) (*Ticket, Verdict, error) {
	t, err := g.Submit(r)
	if err != nil {
		return nil, Verdict{}, err
	}
	return t, t.Wait(ctx), nil
}

// validate returns the indices of an RPC's method and customer. The index of the customer has no meaning if the configuration
// has no customers.
func (g *Gate) validate(r *RPC) (method, customer int, err error) {
	method, known := g.methods[r.Method]
	if !known {
		return 0, 0, invalidRPC("method %.40q is not known here", r.Method)
	}
	customer, known = g.customers[r.Customer]
	if !known && len(g.customers) > 0 {
		return 0, 0, invalidRPC("customer %.40q is not known here", r.Customer)
	}
	if g.startup.Methods[method].Idempotency == control.IdempotencyKeyed && r.Token == "" {
		return 0, 0, invalidRPC("method %s: a token expected, none there", r.Method)
	}
	return method, customer, nil
}

// newTicket returns the ticket of an RPC and the time in ms since it reached the machine. That time is limited to the method's
// deadline, because an older RPC is overdue anyway.
func (g *Gate) newTicket(r *RPC, method, customer int, now float64) (t *Ticket, age float64) {
	t = &Ticket{
		gate:       g,
		protocolID: r.ID,
		method:     method,
		customer:   customer,
		arrivedMs:  math.Min(r.ArrivedMs, now),
		verdicts:   make(chan struct{}, maxVerdicts),
	}
	deadline := g.startup.Methods[method].Deadline
	arrived := math.Max(t.arrivedMs, now-deadline)
	t.dueMs = arrived + deadline
	return t, now - arrived
}

// arrive registers a ticket and passes its arrival to the controller.
func (g *Gate) arrive(t *Ticket, r *RPC, at time.Time, age float64) {
	g.lastID++
	t.id = g.lastID
	ev := control.Event{
		Kind:     control.Arrived,
		RPC:      t.id,
		Method:   t.method,
		Customer: t.customer,
		Caller:   r.Caller,
		Subject:  r.Subject,
		Age:      age,
		CostHint: r.CostHintMs,
		QueuedKB: r.QueuedKB,
		Retry:    r.Retry,
	}
	if k := g.tokens[t.tokenKey]; k != nil && t.arrivedMs < k.untilMs {
		ev.DuplicateOf = k.id // the customer's quota was checked for the first attempt
		t.original = k
	} else if g.quota != nil && len(g.customers) > 0 {
		ev.Quota, ev.RetryAfter = g.quota.CheckQuota(r.Method, r.Customer, g.startup.Methods[t.method].Criticality)
	}
	g.tickets[t.id] = t
	if t.protocolID != "" {
		g.openIDs[t.protocolID] = struct{}{}
	}
	g.handle(g.elapsedMs(at), ev)
}

// storedToken is the state of a token in the token store.
type storedToken struct {
	resolution recovery.Resolution
	bodyHash   uint64 // the store's hash of the RPC's body; 0 without a store
	head       []byte
	result     []byte
}

// lookupStored looks up a token in the token store unless it is in this process's cache. It must be called without the lock,
// as the store may read a disk.
func (g *Gate) lookupStored(r *RPC, method int) (s storedToken) {
	key := tokenKey(r)
	g.mu.Lock()
	store := g.store // UseTokenStore may be called when the server already listens, but before Start
	now := unixMillis(g.now())
	k := g.tokens[key]
	cached := k != nil && r.ArrivedMs < k.untilMs
	g.mu.Unlock()
	if store == nil {
		return s
	}
	s.bodyHash = store.Hash(r.Body)
	if !cached {
		window := g.startup.Methods[method].DedupWindow
		s.resolution, s.head, s.result = store.Lookup(key, s.bodyHash, math.Min(r.ArrivedMs, now), window)
	}
	return s
}

// answerFromStore answers a duplicate of an attempt from before the start of this process and reports whether it did. A token
// that is in the cache by now takes precedence over the store.
func (g *Gate) answerFromStore(t *Ticket, stored *storedToken) (answered bool, err error) {
	if g.store == nil {
		return false, nil
	}
	if k := g.tokens[t.tokenKey]; k != nil && t.arrivedMs < k.untilMs {
		return false, nil
	}
	switch stored.resolution {
	case recovery.BodyMismatch:
		return false, errBodyMismatch
	case recovery.ReplayResult:
		t.finish(Verdict{Kind: OK, Head: stored.head, Result: stored.result})
	case recovery.MayHaveRun:
		t.finish(Verdict{Kind: Aborted, Reason: reasonMayHaveRun})
	case recovery.HasRun:
		t.finish(Verdict{Kind: Aborted, Reason: reasonUncached})
	default:
		return false, nil
	}
	return true, nil
}
