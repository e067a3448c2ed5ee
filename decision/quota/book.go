package quota

// This file owns a server's parts of many bounds: one for each customer, and some for the services below. A part takes room only
// while something is taken of it or lent; what is not in the table has all that it owns. It must never make room by
// forgetting a loan.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// KeyedMessage is a message about one bound.
type KeyedMessage struct {
	Key string
	Message
}

const (
	// mostParts are in the table at a time: of a hundred thousand customers some thousand send within a few seconds, and a
	// part takes some hundred bytes.
	mostParts = 8192
	idleFor   = 2e3 // after which a part with no loans may leave the table
	sweep     = 32  // parts that are looked at for one more place
	mostSaid  = 128 // messages of one tick; the rest comes with the next ones
)

// Ledger is one server's parts.
type Ledger struct {
	rules     func(key string) (Limit, bool)
	life      uint64
	began     float64
	numbers   uint64
	chance    *rand.Rand
	parts     map[string]*entry
	order     []*entry // as they came; the hand goes round for places
	hand      int
	from      int // the part at which a tick that had too much to say goes on
	muted     bool
	Overflows uint64 // what found no place
}

type entry struct {
	key  string
	used float64
	s    *Allocation
}

// NewLedger returns one of a server whose process has the given life, drawn at its start. rules says which bounds there are.
func NewLedger(life uint64, seed int64, now float64, rules func(key string) (Limit, bool)) *Ledger {
	return &Ledger{rules: rules, life: life, began: now, parts: map[string]*entry{}, chance: rand.New(rand.NewPCG(uint64(seed), 2))}
}

// part is that of a key, put into the table if there is room and such a bound.
func (b *Ledger) part(now float64, key string) *Allocation {
	if e := b.parts[key]; e != nil {
		e.used = now
		return e.s
	}
	r, is := b.rules(key)
	if !is || !b.room(now) {
		return nil
	}
	s := b.make(now, r)
	e := &entry{key, now, s}
	b.parts[key] = e
	b.order = append(b.order, e)
	return s
}

// make is a part that was not in the table. Since the start of the process nothing was taken of it that its bucket did not
// make good, as only full ones leave; what a former life lent may still be out.
func (b *Ledger) make(now float64, r Limit) *Allocation {
	s := fresh(r, b.life, &b.numbers, b.began)
	s.chance = b.chance
	s.forgotten(b.began)
	s.pass(now)
	return s
}

// room makes a place by dropping a part that has no loans, a full bucket, and was not used of late.
func (b *Ledger) room(now float64) bool {
	if len(b.order) < mostParts {
		return true
	}
	for range sweep {
		b.hand = (b.hand + 1) % len(b.order)
		e := b.order[b.hand]
		e.s.pass(now)
		if now-e.used < idleFor || len(e.s.lent)+len(e.s.borrowed)+len(e.s.asks) > 0 || e.s.inHand > 0 || e.s.tokens < e.s.burst() {
			continue
		}
		delete(b.parts, e.key)
		last := len(b.order) - 1
		b.order[b.hand] = b.order[last]
		b.order = b.order[:last]
		return true
	}
	b.Overflows++
	return false
}

// TryAcquire asks for one of a bound, as Share.Take. Where there is no such bound it is allowed, and bound is false. Else away is,
// if it is not allowed, in how many ms it may be.
func (b *Ledger) TryAcquire(now float64, key string, worth, longest float64) (ok, bound bool, away float64) {
	s := b.part(now, key)
	switch {
	case s == nil:
		_, is := b.rules(key)
		return !is, is, 0
	case b.muted:
		return false, true, 0
	case s.TryAcquire(now, 1, worth, longest):
		return true, true, 0
	}
	return false, true, s.RetryAfter(now)
}

// Release returns one of a stock.
func (b *Ledger) Release(key string) {
	if e := b.parts[key]; e != nil {
		e.s.Release(1)
	}
}

// Update has all parts go by the rules as they are now. What no longer has any is dropped once its loans are over.
func (b *Ledger) Update(now float64) {
	for _, e := range b.order {
		r, is := b.rules(e.key)
		if !is {
			r = e.s.r
			r.Capacity, r.Burst, r.Floor = 0, 0, 0
		}
		e.s.Update(now, r)
		e.s.quiet = false
	}
}

// Invalidate drops all that is borrowed: this server has stalled.
func (b *Ledger) Invalidate(now float64) {
	for _, e := range b.order {
		e.s.Invalidate(now)
	}
}

// Disable ends the use of any part: another process bears this server's name and owns them.
func (b *Ledger) Disable() { b.muted = true }

// Tick returns the messages that are to be sent to those that are heard.
func (b *Ledger) Tick(now float64, peers []string) (out []KeyedMessage) {
	if b.muted {
		return nil
	}
	n := len(b.order)
	for k := range n {
		e := b.order[(b.from+k)%n]
		for _, m := range e.s.Tick(now, peers) {
			out = append(out, KeyedMessage{e.key, m})
		}
		if len(out) >= mostSaid {
			b.from = (b.from + k + 1) % n
			break
		}
	}
	return out
}

// Receive takes a message from a peer and returns what is to be answered.
func (b *Ledger) Receive(now float64, from string, m KeyedMessage) (out []KeyedMessage) {
	if b.muted {
		return nil
	}
	s := b.part(now, m.Key)
	if s == nil {
		if m.Kind == Request {
			out = append(out, KeyedMessage{m.Key, Message{Kind: Deny, To: from, RequestID: m.RequestID, Incarnation: m.Incarnation, Reason: UnknownLimit}})
		}
		return out
	}
	for _, a := range s.Receive(now, from, m.Message) {
		out = append(out, KeyedMessage{m.Key, a})
	}
	return out
}

// AllocationStatus is the state of one part.
type AllocationStatus struct {
	Key  string
	Kind Kind
	AllocationState
	Counts Counts
}

// Statuses tells how the parts stand that have most to tell: loans first, then use and need. An instance called name tells at
// most so many parts and loans of each.
func (b *Ledger) Statuses(now float64, name string, parts, loans int) (all []AllocationStatus) {
	weight := func(s *Allocation) float64 { return s.in + s.out + s.use + s.need }
	order := slices.Clone(b.order)
	for _, e := range order {
		e.s.pass(now)
	}
	slices.SortFunc(order, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(weight(y.s), weight(x.s)), cmp.Compare(x.key, y.key))
	})
	for _, e := range order[:min(parts, len(order))] {
		all = append(all, AllocationStatus{e.key, e.s.r.Kind, e.s.State(now, name, loans), e.s.Counts})
	}
	return all
}

// Capacity is what may be used of a bound now, a second or in hand, without any change to the instance; what is not in the table is
// owned whole.
func (b *Ledger) Capacity(now float64, key string) float64 {
	if b.muted {
		return 0
	}
	if e := b.parts[key]; e != nil {
		return e.s.held(now)
	}
	r, is := b.rules(key)
	if !is {
		return math.Inf(1)
	}
	return b.make(now, r).held(now)
}

// LeaseCounts is how many are out or in, and Asks how many wait for an answer, over all parts.
func (b *Ledger) LeaseCounts() (out, in, asks int) {
	for _, e := range b.order {
		out, in, asks = out+len(e.s.lent), in+len(e.s.borrowed), asks+len(e.s.asks)
	}
	return out, in, asks
}

// Size is how many parts are in the table.
func (b *Ledger) Size() int { return len(b.order) }
