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

// Keyed is a message about one bound.
type Keyed struct {
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

// Book is one server's parts.
type Book struct {
	rules   func(key string) (Rules, bool)
	life    uint64
	began   float64
	numbers uint64
	chance  *rand.Rand
	parts   map[string]*entry
	order   []*entry // as they came; the hand goes round for places
	hand    int
	from    int // the part at which a tick that had too much to say goes on
	muted   bool
	Full    uint64 // what found no place
}

type entry struct {
	key  string
	used float64
	s    *Share
}

// NewBook returns one of a server whose process has the given life, drawn at its start. rules says which bounds there are.
func NewBook(life uint64, seed int64, now float64, rules func(key string) (Rules, bool)) *Book {
	return &Book{rules: rules, life: life, began: now, parts: map[string]*entry{}, chance: rand.New(rand.NewPCG(uint64(seed), 2))}
}

// part is that of a key, put into the table if there is room and such a bound.
func (b *Book) part(now float64, key string) *Share {
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
func (b *Book) make(now float64, r Rules) *Share {
	s := fresh(r, b.life, &b.numbers, b.began)
	s.chance = b.chance
	s.forgotten(b.began)
	s.pass(now)
	return s
}

// room makes a place by dropping a part that has no loans, a full bucket, and was not used of late.
func (b *Book) room(now float64) bool {
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
	b.Full++
	return false
}

// Take asks for one of a bound, as Share.Take. Where there is no such bound it is allowed, and bound is false. Else away is,
// if it is not allowed, in how many ms it may be.
func (b *Book) Take(now float64, key string, worth, longest float64) (ok, bound bool, away float64) {
	s := b.part(now, key)
	switch {
	case s == nil:
		_, is := b.rules(key)
		return !is, is, 0
	case b.muted:
		return false, true, 0
	case s.Take(now, 1, worth, longest):
		return true, true, 0
	}
	return false, true, s.Wait(now)
}

// Give returns one of a stock.
func (b *Book) Give(key string) {
	if e := b.parts[key]; e != nil {
		e.s.Give(1)
	}
}

// Set has all parts go by the rules as they are now. What no longer has any is dropped once its loans are over.
func (b *Book) Set(now float64) {
	for _, e := range b.order {
		r, is := b.rules(e.key)
		if !is {
			r = e.s.r
			r.Bound, r.Burst, r.Floor = 0, 0, 0
		}
		e.s.Set(now, r)
		e.s.quiet = false
	}
}

// Void drops all that is borrowed: this server has stalled.
func (b *Book) Void(now float64) {
	for _, e := range b.order {
		e.s.Void(now)
	}
}

// Mute ends the use of any part: another process bears this server's name and owns them.
func (b *Book) Mute() { b.muted = true }

// Tick returns the messages that are to be sent to those that are heard.
func (b *Book) Tick(now float64, peers []string) (out []Keyed) {
	if b.muted {
		return nil
	}
	n := len(b.order)
	for k := range n {
		e := b.order[(b.from+k)%n]
		for _, m := range e.s.Tick(now, peers) {
			out = append(out, Keyed{e.key, m})
		}
		if len(out) >= mostSaid {
			b.from = (b.from + k + 1) % n
			break
		}
	}
	return out
}

// Receive takes a message from a peer and returns what is to be answered.
func (b *Book) Receive(now float64, from string, m Keyed) (out []Keyed) {
	if b.muted {
		return nil
	}
	s := b.part(now, m.Key)
	if s == nil {
		if m.Kind == Ask {
			out = append(out, Keyed{m.Key, Message{Kind: Deny, To: from, Number: m.Number, Life: m.Life, Why: Unknown}})
		}
		return out
	}
	for _, a := range s.Receive(now, from, m.Message) {
		out = append(out, Keyed{m.Key, a})
	}
	return out
}

// Named is the state of one part.
type Named struct {
	Key  string
	Kind Kind
	State
	Counts Counts
}

// States tells how the parts stand that have most to tell: loans first, then use and need. An instance called name tells at
// most so many parts and loans of each.
func (b *Book) States(now float64, name string, parts, loans int) (all []Named) {
	weight := func(s *Share) float64 { return s.in + s.out + s.use + s.need }
	order := slices.Clone(b.order)
	for _, e := range order {
		e.s.pass(now)
	}
	slices.SortFunc(order, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(weight(y.s), weight(x.s)), cmp.Compare(x.key, y.key))
	})
	for _, e := range order[:min(parts, len(order))] {
		all = append(all, Named{e.key, e.s.r.Kind, e.s.State(now, name, loans), e.s.Counts})
	}
	return all
}

// Part is what may be used of a bound now, a second or in hand, without any change to the instance; what is not in the table is
// owned whole.
func (b *Book) Part(now float64, key string) float64 {
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

// Loans is how many are out or in, and Asks how many wait for an answer, over all parts.
func (b *Book) Loans() (out, in, asks int) {
	for _, e := range b.order {
		out, in, asks = out+len(e.s.lent), in+len(e.s.borrowed), asks+len(e.s.asks)
	}
	return out, in, asks
}

// Size is how many parts are in the table.
func (b *Book) Size() int { return len(b.order) }
