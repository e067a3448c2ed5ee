package quota

// This file implements the table of a server's allocations: one per customer, and some for upstream services. An allocation
// takes memory only while it is in use or has leases; an allocation that is not in the table owns its full share. The table
// must never evict an allocation that has leases.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// maxAllocations is the capacity of the table. Of a hundred thousand customers, a few thousand send within a few
	// seconds, and an allocation takes a few hundred bytes.
	maxAllocations     = 8192
	idleTimeout        = 2e3 // ms without use, after which an allocation without leases may be evicted
	evictionScan       = 32  // allocations examined per eviction
	maxMessagesPerTick = 128 // further messages are sent by the next ticks
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
	evictionHand  int // index into entries, advances as in the CLOCK algorithm
	nextTicked    int // index into entries at which the next tick begins, after a tick that reached maxMessagesPerTick
	disabled      bool

	// Overflows counts lookups that failed because the table was full.
	Overflows uint64
}

type entry struct {
	key        string
	lastUsed   float64
	allocation *Allocation
}

// NewLedger returns the ledger of a server. The incarnation is a random number drawn at the start of the process. limits
// returns the limit of a key, and false if the key has none.
func NewLedger(incarnation uint64, seed int64, now float64, limits func(key string) (Limit, bool)) *Ledger {
	return &Ledger{
		limits:      limits,
		incarnation: incarnation,
		startedAt:   now,
		byKey:       map[string]*entry{},
		rng:         rand.New(rand.NewPCG(uint64(seed), 2)),
	}
}

// lookup returns the allocation of a key and inserts it into the table if needed. It returns nil if the key has no limit or
// the table has no space.
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

// newAllocation returns an allocation for a key that is not in the table. Its token bucket is filled as if it had existed
// since the start of the process, which is correct because only allocations with a full bucket are evicted. Leases that a
// former incarnation granted may still be in use.
func (l *Ledger) newAllocation(now float64, limit Limit) *Allocation {
	a := newAllocation(limit, l.incarnation, &l.lastRequestID, l.startedAt)
	a.rng = l.rng
	a.reserveFormerGrants(l.startedAt)
	a.advance(now)
	return a
}

// makeSpace reports whether the table has space. If the table is full, it tries to evict an allocation that has no leases and
// a full bucket and has not been used recently.
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

// evictable reports whether the allocation can be dropped and created again without any difference.
func (a *Allocation) evictable() bool {
	return len(a.granted)+len(a.leased)+len(a.pending) == 0 && a.inFlight <= 0 && a.tokens >= a.burst()
}

// TryAcquire takes one item of the limit of a key, as Allocation.TryAcquire does. If the key has no limit, the item is
// admitted and limited is false. If the item is rejected, retryAfter is the time (ms) after which it may be admitted, or 0 if
// that is unknown.
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

// Release returns one item that was in flight to the limit of a key.
func (l *Ledger) Release(key string) {
	if e := l.byKey[key]; e != nil {
		e.allocation.Release(1)
	}
}

// Update applies the current limits to all allocations. An allocation whose limit was removed owns nothing, and can be
// evicted once its leases have ended.
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

// Invalidate drops all leased capacity. It is called after this process has stalled.
func (l *Ledger) Invalidate(now float64) {
	for _, e := range l.entries {
		e.allocation.Invalidate(now)
	}
}

// Disable stops all use of the allocations, because another process uses this server's name and owns them.
func (l *Ledger) Disable() { l.disabled = true }

// Tick returns the messages to send; peers are the reachable peers. It must be called several times per second.
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

// Receive handles a message from a peer and returns the replies.
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

// AllocationStatus is the status of one allocation of a ledger. Fleet status prints it as JSON.
type AllocationStatus struct {
	Key  string
	Kind Kind
	AllocationState
	Counts Counts
}

// Statuses returns the status of at most maxReported allocations, sorted by descending activity: the sum of leased and
// granted capacity, usage and unmet demand. self is the name of this server. Each status lists at most maxLeasesReported
// leases per direction.
func (l *Ledger) Statuses(now float64, self string, maxReported, maxLeasesReported int) (statuses []AllocationStatus) {
	activity := func(a *Allocation) float64 { return a.leasedSum + a.grantedSum + a.usage + a.unmet }
	entries := slices.Clone(l.entries)
	for _, e := range entries {
		e.allocation.advance(now)
	}
	slices.SortFunc(entries, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(activity(y.allocation), activity(x.allocation)), cmp.Compare(x.key, y.key))
	})
	for _, e := range entries[:min(maxReported, len(entries))] {
		statuses = append(statuses, AllocationStatus{
			Key:             e.key,
			Kind:            e.allocation.limit.Kind,
			AllocationState: e.allocation.State(now, self, maxLeasesReported),
			Counts:          e.allocation.Counts,
		})
	}
	return statuses
}

// Capacity returns the capacity that this server may use now of the limit of a key, in items per second or in flight. It does
// not change the ledger. It returns +Inf if the key has no limit, and 0 once the ledger is disabled.
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

// LeaseCounts returns the number of leases granted to peers, the number leased from peers and the number of pending requests,
// summed over all allocations.
func (l *Ledger) LeaseCounts() (granted, leased, pending int) {
	for _, e := range l.entries {
		granted += len(e.allocation.granted)
		leased += len(e.allocation.leased)
		pending += len(e.allocation.pending)
	}
	return granted, leased, pending
}

// Size returns the number of allocations in the table.
func (l *Ledger) Size() int { return len(l.entries) }
