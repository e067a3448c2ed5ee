package quota

// This file holds a server's allocations of many limits: one for each customer, and some for upstream services. An
// allocation takes memory only while something is acquired of it or leased; one that is not in the table owns its full
// share. The table must never make space by forgetting a lease.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// maxAllocations are in the table at a time: of a hundred thousand customers some thousand send within a few seconds,
	// and an allocation takes some hundred bytes.
	maxAllocations     = 8192
	idleTimeout        = 2e3 // ms, after which an allocation without leases may be evicted
	evictionScan       = 32  // allocations that are examined for one eviction
	maxMessagesPerTick = 128 // the rest is sent by the next ticks
)

// Ledger holds one server's allocations by key.
type Ledger struct {
	limits        func(key string) (Limit, bool)
	incarnation   uint64
	startedAt     float64
	lastRequestID uint64
	rng           *rand.Rand
	byKey         map[string]*entry
	entries       []*entry
	evictionHand  int // index into entries, moves round as in the CLOCK algorithm
	nextTicked    int // index of the entry at which the next tick begins, after one with too many messages
	disabled      bool

	// Overflows counts calls that found no place in the table.
	Overflows uint64
}

type entry struct {
	key        string
	lastUsed   float64
	allocation *Allocation
}

// NewLedger returns the ledger of a server whose process has the given incarnation, a random number drawn at its start.
// limits returns the limit of a key, if there is one.
func NewLedger(incarnation uint64, seed int64, now float64, limits func(key string) (Limit, bool)) *Ledger {
	return &Ledger{
		limits:      limits,
		incarnation: incarnation,
		startedAt:   now,
		byKey:       map[string]*entry{},
		rng:         rand.New(rand.NewPCG(uint64(seed), 2)),
	}
}

// lookup returns the allocation of a key, put into the table if there is such a limit and space; nil if not.
func (l *Ledger) lookup(now float64, key string) *Allocation {
	if e := l.byKey[key]; e != nil {
		e.lastUsed = now
		return e.allocation
	}
	limit, limited := l.limits(key)
	if !limited || !l.makeSpace(now) {
		return nil
	}
	a := l.newAllocation(now, limit)
	e := &entry{key: key, lastUsed: now, allocation: a}
	l.byKey[key] = e
	l.entries = append(l.entries, e)
	return a
}

// newAllocation returns an allocation that was not in the table. Since the start of the process nothing was acquired of it
// that its token bucket did not refill, as only full ones are evicted; what a former incarnation granted may still be out.
func (l *Ledger) newAllocation(now float64, limit Limit) *Allocation {
	a := newAllocation(limit, l.incarnation, &l.lastRequestID, l.startedAt)
	a.rng = l.rng
	a.reserveFormerGrants(l.startedAt)
	a.advance(now)
	return a
}

// makeSpace evicts an allocation if the table is full: one without leases, with a full bucket, and not used of late.
func (l *Ledger) makeSpace(now float64) bool {
	if len(l.entries) < maxAllocations {
		return true
	}
	for range evictionScan {
		l.evictionHand = (l.evictionHand + 1) % len(l.entries)
		e := l.entries[l.evictionHand]
		e.allocation.advance(now)
		if now-e.lastUsed < idleTimeout || !e.allocation.evictable() {
			continue
		}
		delete(l.byKey, e.key)
		last := len(l.entries) - 1
		l.entries[l.evictionHand] = l.entries[last]
		l.entries = l.entries[:last]
		return true
	}
	l.Overflows++
	return false
}

// evictable tells whether the allocation may be dropped and made anew without a difference.
func (a *Allocation) evictable() bool {
	return len(a.granted)+len(a.leased)+len(a.pending) == 0 && a.inFlight <= 0 && a.tokens >= a.burst()
}

// TryAcquire takes one item of a limit, as Allocation.TryAcquire. Without such a limit it is admitted, and limited is
// false. If it is rejected, retryAfter is in how many ms it may be admitted, 0 if that is not known.
func (l *Ledger) TryAcquire(now float64, key string, priorityWeight, maxHold float64) (ok, limited bool, retryAfter float64) {
	a := l.lookup(now, key)
	switch {
	case a == nil:
		_, limited = l.limits(key)
		return !limited, limited, 0
	case l.disabled:
		return false, true, 0
	case a.TryAcquire(now, 1, priorityWeight, maxHold):
		return true, true, 0
	}
	return false, true, a.RetryAfter(now)
}

// Release returns one item that was in flight.
func (l *Ledger) Release(key string) {
	if e := l.byKey[key]; e != nil {
		e.allocation.Release(1)
	}
}

// Update applies the limits as they are now to all allocations. One that has no limit any more owns nothing, and is
// evicted once its leases are over.
func (l *Ledger) Update(now float64) {
	for _, e := range l.entries {
		limit, limited := l.limits(e.key)
		if !limited {
			limit = e.allocation.limit
			limit.Capacity = 0
			limit.Burst = 0
			limit.Floor = 0
		}
		e.allocation.Update(now, limit)
		e.allocation.idle = false
	}
}

// Invalidate drops all leased capacity: this server has stalled.
func (l *Ledger) Invalidate(now float64) {
	for _, e := range l.entries {
		e.allocation.Invalidate(now)
	}
}

// Disable ends the use of all allocations: another process uses this server's name and owns them.
func (l *Ledger) Disable() { l.disabled = true }

// Tick returns the messages to send to peers that are reachable.
func (l *Ledger) Tick(now float64, peers []string) (out []KeyedMessage) {
	if l.disabled {
		return nil
	}
	n := len(l.entries)
	for k := range n {
		e := l.entries[(l.nextTicked+k)%n]
		for _, m := range e.allocation.Tick(now, peers) {
			out = append(out, KeyedMessage{Key: e.key, Message: m})
		}
		if len(out) >= maxMessagesPerTick {
			l.nextTicked = (l.nextTicked + k + 1) % n
			break
		}
	}
	return out
}

// Receive takes a message from a peer and returns the answers.
func (l *Ledger) Receive(now float64, from string, m KeyedMessage) (out []KeyedMessage) {
	if l.disabled {
		return nil
	}
	a := l.lookup(now, m.Key)
	if a == nil {
		if m.Kind == Request {
			out = append(out, KeyedMessage{Key: m.Key, Message: denyMessage(from, m.Message, UnknownLimit)})
		}
		return out
	}
	for _, answer := range a.Receive(now, from, m.Message) {
		out = append(out, KeyedMessage{Key: m.Key, Message: answer})
	}
	return out
}

// AllocationStatus is how one allocation of a ledger stands. Fleet status prints it as JSON.
type AllocationStatus struct {
	Key  string
	Kind Kind
	AllocationState
	Counts Counts
}

// Statuses reports at most maxReported allocations of the server called self, those with the most leased, used and
// rejected first, each with at most maxLeasesReported leases of either direction.
func (l *Ledger) Statuses(now float64, self string, maxReported, maxLeasesReported int) (all []AllocationStatus) {
	activity := func(a *Allocation) float64 { return a.leasedSum + a.grantedSum + a.usage + a.unmet }
	entries := slices.Clone(l.entries)
	for _, e := range entries {
		e.allocation.advance(now)
	}
	slices.SortFunc(entries, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(activity(y.allocation), activity(x.allocation)), cmp.Compare(x.key, y.key))
	})
	for _, e := range entries[:min(maxReported, len(entries))] {
		all = append(all, AllocationStatus{
			Key:             e.key,
			Kind:            e.allocation.limit.Kind,
			AllocationState: e.allocation.State(now, self, maxLeasesReported),
			Counts:          e.allocation.Counts,
		})
	}
	return all
}

// Capacity is what may be used of a limit now, a second or in flight, without any change to the ledger. It is infinite
// without such a limit, and 0 once the ledger is disabled.
func (l *Ledger) Capacity(now float64, key string) float64 {
	if l.disabled {
		return 0
	}
	if e := l.byKey[key]; e != nil {
		return e.allocation.capacityAt(now)
	}
	limit, limited := l.limits(key)
	if !limited {
		return math.Inf(1)
	}
	return l.newAllocation(now, limit).capacityAt(now)
}

// LeaseCounts is how many leases are granted to and leased from peers, and how many requests are pending, over all
// allocations.
func (l *Ledger) LeaseCounts() (granted, leased, pending int) {
	for _, e := range l.entries {
		granted += len(e.allocation.granted)
		leased += len(e.allocation.leased)
		pending += len(e.allocation.pending)
	}
	return granted, leased, pending
}

// Size is how many allocations are in the table.
func (l *Ledger) Size() int { return len(l.entries) }
