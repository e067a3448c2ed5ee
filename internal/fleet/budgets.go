package fleet

// This file owns a server's parts of the budgets that its fleet shares: their lock, their clock, their messages over
// membership's packets, and what the gate and the pools ask. How much a server may use, lend or ask for is said by
// decision/quota. It must never let through what that has not, nor hold its lock while it sends.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/control"
	"sorrelvalve/decision/count"
	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/operator"
)

// wallStep is by how much wall and own clock may part between two looks before what is borrowed is dropped: a machine that was
// suspended has a monotonic clock that did not go on. Clocks that are set right slowly part by 0.5 ms a second.
const wallStep = 50 * time.Millisecond

// Budgets are one server's parts. Its methods may be called by many goroutines.
type Budgets struct {
	f      *Fleet
	origin time.Time
	rules  atomic.Pointer[map[string]quota.Rules]
	linger atomic.Pointer[map[string]float64] // ms, by pool

	mu     sync.Mutex
	book   *quota.Book
	parted time.Duration // of the wall clock from the own one, at the last look
	steps  int
	wrong  int // packets that could not be read
	sent   atomic.Uint64
	late   []given // calls that were given up, and count until they can't be gone on with
	counts counts
	names  map[named]*names // so that an RPC makes none
}

// given is a call that the own side has ended.
type given struct {
	pool string
	at   float64
}

// Share has a server share budgets with its fleet. It must be called once, before anybody asks for anything.
func (f *Fleet) Share(b *operator.Budgets) *Budgets {
	x := &Budgets{f: f, origin: time.Now(), names: map[named]*names{}, counts: newCounts()}
	x.take(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	x.book = quota.NewBook(f.self.Life, int64(f.self.Life), x.now(), func(key string) (quota.Rules, bool) {
		r, is := (*x.rules.Load())[key]
		return r, is
	})
	if f.refused != nil {
		x.book.Mute()
	}
	f.shared = x
	return x
}

// Set takes other bounds while parts of the former ones may be lent.
func (b *Budgets) Set(o *operator.Budgets) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(o)
	b.book.Set(b.now())
}

func (b *Budgets) take(o *operator.Budgets) {
	rules, linger := o.Rules(), map[string]float64{}
	if o != nil {
		for pool, x := range o.Calls {
			linger[pool] = x.LingerMs
		}
	}
	b.rules.Store(&rules)
	b.linger.Store(&linger)
}

// now is the own clock in ms. What is borrowed is dropped first if the clock can't have seen its end.
func (b *Budgets) now() float64 {
	t := time.Now()
	own := t.Sub(b.origin)
	parted := t.Round(0).Sub(b.origin.Round(0)) - own
	if step := parted - b.parted; step > wallStep || step < -wallStep {
		if b.steps++; b.book != nil {
			b.book.Void(float64(own) / 1e6)
		}
	}
	b.parted = parted
	return float64(own) / 1e6
}

// named is what an RPC goes by: of a customer and its method, or of a pool.
type named struct{ of, counted, prefix string }

// names are those of a budget and of a count, made once for as many as there is room.
type names struct{ budget, counted string }

// failedAt is what failures are counted under, beside a pool's name.
const failedAt = "failed"

// name returns them. The lock is held.
func (b *Budgets) name(of, counted, prefix string) *names {
	k := named{of, counted, prefix}
	n := b.names[k]
	if n == nil {
		if n = (&names{prefix + of, of + "|" + counted}); len(b.names) < mostNames {
			b.names[k] = n
		}
	}
	return n
}

// mostNames: beyond so many, names are made anew each time.
const mostNames = 1 << 16

// Arrives is gate.Budgets: it tells whether an RPC lies within this server's part of its customer's quota.
func (b *Budgets) Arrives(method, customer string, criticality float64) (control.QuotaStatus, float64) {
	if len(*b.rules.Load()) == 0 {
		return control.QuotaUnknown, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	n := b.name(customer, method, operator.QuotaPrefix)
	b.counts.own.Add(now, n.counted, 1)
	ok, bound, again := b.book.Take(now, n.budget, criticality, 0)
	switch {
	case !bound:
		return control.QuotaUnknown, 0
	case ok:
		return control.WithinQuota, 0
	}
	return control.OverQuota, again
}

// Retry is pools.Budgets: one more further try.
func (b *Budgets) AllowRetry(pool string, worth float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok, _, _ := b.book.Take(b.now(), b.name(pool, "", operator.RetriesPrefix).budget, worth, 0)
	return ok
}

// Call is pools.Budgets: one more in hand.
func (b *Budgets) AllowCall(pool string, worth, longest float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.ended(now)
	ok, _, _ := b.book.Take(now, b.name(pool, failedAt, operator.CallsPrefix).budget, worth, longest+(*b.linger.Load())[pool])
	if ok {
		b.counts.inHand[pool]++
	}
	return ok
}

// CallEnds is pools.Budgets. One that was given up stays in hand for as long as the pool may go on with it.
func (b *Budgets) CompleteCall(pool string, failed, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if failed {
		b.counts.own.Add(now, b.name(pool, failedAt, operator.CallsPrefix).counted, 1)
	}
	if wait := (*b.linger.Load())[pool]; silent && wait > 0 {
		b.late = append(b.late, given{pool, now + wait})
		return
	}
	b.gives(pool)
}

func (b *Budgets) gives(pool string) {
	b.book.Give(b.name(pool, failedAt, operator.CallsPrefix).budget)
	b.counts.inHand[pool] = max(0, b.counts.inHand[pool]-1)
}

// ended gives back calls that can't be gone on with any more. They are no more than may be in hand.
func (b *Budgets) ended(now float64) {
	b.late = slices.DeleteFunc(b.late, func(g given) bool {
		if g.at <= now {
			b.gives(g.pool)
		}
		return g.at <= now
	})
}

// tick says what is to be said, to those that are heard.
func (b *Budgets) tick(peers []string) {
	b.mu.Lock()
	now := b.now()
	b.ended(now)
	out := b.book.Tick(now, peers)
	said := b.counts.due(now)
	b.mu.Unlock()
	b.send(out)
	if said != nil {
		b.f.Say(keyCounts, said)
	}
}

// void drops what is borrowed: this server has stalled.
func (b *Budgets) void() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.Void(b.now())
}

// mute ends the use of any part: another process bears this server's name.
func (b *Budgets) mute() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.Mute()
}

// hears takes a packet that a peer sent to this server alone, and answers it.
func (b *Budgets) hears(from string, raw []byte) {
	all, ok := parseLoans(raw)
	b.mu.Lock()
	if !ok {
		b.wrong++
	}
	var out []quota.Keyed
	for _, m := range all {
		out = append(out, b.book.Receive(b.now(), from, m)...)
	}
	b.mu.Unlock()
	b.send(out)
}

// packetBytes of messages go in one packet, so that with memberlist's own it fits one frame.
const packetBytes = 1100

// send packs what goes to one peer together.
func (b *Budgets) send(all []quota.Keyed) {
	slices.SortStableFunc(all, func(x, y quota.Keyed) int { return cmp.Compare(x.To, y.To) })
	var raw []byte
	for i := range all {
		raw = appendLoan(raw, &all[i])
		if i+1 == len(all) || all[i+1].To != all[i].To || len(raw) > packetBytes {
			b.sent.Add(1)
			b.f.direct(all[i].To, channelLoans, raw)
			raw = nil
		}
	}
}

// mostInPacket bounds what a packet brings.
const mostInPacket = 256

// appendLoan writes a message as fleet.proto has it.
func appendLoan(b []byte, m *quota.Keyed) []byte {
	var x []byte
	number := func(f protowire.Number, v uint64) {
		if v != 0 {
			x = protowire.AppendVarint(protowire.AppendTag(x, f, protowire.VarintType), v)
		}
	}
	float := func(f protowire.Number, v float64) {
		if v != 0 {
			x = protowire.AppendFixed64(protowire.AppendTag(x, f, protowire.Fixed64Type), math.Float64bits(v))
		}
	}
	x = appendText(x, 1, m.Key)
	number(2, uint64(m.Kind))
	number(3, m.Number)
	x = protowire.AppendFixed64(protowire.AppendTag(x, 4, protowire.Fixed64Type), m.Life)
	float(5, m.Amount)
	float(6, m.For)
	float(7, m.Worth)
	float(8, m.Has)
	number(9, m.Renews)
	number(10, uint64(m.Why))
	return protowire.AppendBytes(protowire.AppendTag(b, 1, protowire.BytesType), x)
}

// parseLoans reads a packet of them; what makes no sense is left out, and told.
func parseLoans(raw []byte) (all []quota.Keyed, ok bool) {
	sense := true
	whole := fields(raw, func(num protowire.Number, v []byte, _ uint64) {
		if num != 1 || len(all) >= mostInPacket {
			return
		}
		var m quota.Keyed
		good := fields(v, func(num protowire.Number, v []byte, n uint64) {
			x := math.Float64frombits(n)
			switch num {
			case 1:
				m.Key = string(v)
			case 2:
				m.Kind = quota.MessageKind(min(n, 255))
			case 3:
				m.Number = n
			case 4:
				m.Life = n
			case 5:
				m.Amount = x
			case 6:
				m.For = x
			case 7:
				m.Worth = x
			case 8:
				m.Has = x
			case 9:
				m.Renews = n
			case 10:
				m.Why = quota.Why(min(n, 255))
			}
		})
		finite := true
		for _, x := range [...]float64{m.Amount, m.For, m.Worth, m.Has} {
			finite = finite && x >= 0 && x <= 1e12
		}
		if good && finite && m.Key != "" && m.Kind >= quota.Ask && m.Kind <= quota.Offer {
			all = append(all, m)
		} else {
			sense = false
		}
	})
	return all, whole && sense && len(all) > 0
}

// How much of the parts and loans is told.
const (
	partsTold = 64
	loansTold = 16
)

// BudgetStatus is the state of this server's budget quotas.
type BudgetStatus struct {
	Parts []quota.Named `json:"Parts,omitempty"` // the quotas with the most activity
	Table int           `json:"Table"`           // quotas that are not idle
	Full  uint64        `json:"Full"`            // RPCs for which the table had no room
	Sent  uint64        `json:"Sent"`            // lease packets
	Steps int           `json:"Steps"`           // of the wall clock against the monotonic one, at which leases were dropped
	Wrong int           `json:"Wrong"`           // malformed packets
	Sums  []Sum         `json:"Sums,omitempty"`
}

func (b *Budgets) status() *BudgetStatus {
	b.mu.Lock()
	now := b.now()
	s := &BudgetStatus{Parts: b.book.States(now, b.f.o.Name, partsTold, loansTold), Table: b.book.Size(), Full: b.book.Full, Sent: b.sent.Load(), Steps: b.steps, Wrong: b.wrong}
	b.mu.Unlock()
	return s
}

// Sum is what a fleet's servers count under a key: at least and at most so many a second, or in hand.
type Sum struct {
	Key             string
	AtLeast, AtMost float64
}

// counts is what this server counts for the others.
type counts struct {
	own    *count.Own
	inHand map[string]int // calls, by pool
	at     float64        // when they were last said
}

const (
	keyCounts   = "counts"
	countsEvery = 2000.0
	mostSaid    = 12 // keys of a record, which has 1 KB
)

func newCounts() counts {
	return counts{own: count.NewOwn(count.Usual), inHand: map[string]int{}}
}

// due is the record that is to be said now; nil for none yet.
func (c *counts) due(now float64) []byte {
	if now-c.at < countsEvery {
		return nil
	}
	c.at = now
	items := c.own.Items(now, mostSaid)
	rest := 0.0
	if len(items) == mostSaid {
		rest = items[mostSaid-1].Value
	}
	items = slices.DeleteFunc(items, func(x count.Item) bool { return x.Value < 0.05 })
	for _, pool := range slices.Sorted(maps.Keys(c.inHand)) {
		if len(items) < mostSaid+4 {
			items = append(items, count.Item{Key: "in hand|" + pool, Value: float64(c.inHand[pool])})
		}
	}
	if len(items) == 0 {
		return nil
	}
	var b []byte
	float := func(f protowire.Number, v float64) {
		b = protowire.AppendFixed32(protowire.AppendTag(b, f, protowire.Fixed32Type), math.Float32bits(float32(v)))
	}
	float(1, rest)
	for _, x := range items {
		if len(b)+len(x.Key)+16 > 900 {
			break
		}
		b = appendText(b, 2, x.Key)
		float(3, x.Value)
		float(4, x.Err)
	}
	return b
}

// parseCounts reads such a record.
func parseCounts(raw []byte) (items []count.Item, rest float64, ok bool) {
	ok = fields(raw, func(num protowire.Number, v []byte, n uint64) {
		x := float64(math.Float32frombits(uint32(n)))
		if !(x >= 0 && x < 1e12) {
			x = 0
		}
		switch {
		case num == 1:
			rest = x
		case num == 2:
			items = append(items, count.Item{Key: clean(string(v))})
		case num == 3 && len(items) > 0:
			items[len(items)-1].Value = x
		case num == 4 && len(items) > 0:
			items[len(items)-1].Err = x
		}
	})
	return items, rest, ok
}

// sums are over the roster, as ranges that widen for those not heard. The lock of the fleet is held.
func (f *Fleet) sums(now float64, most int) (all []Sum) {
	sum := count.NewFleet(count.Usual)
	roster := []string{f.o.Name}
	for _, p := range f.hear.Peers(now) {
		if p.Away == 0 {
			roster = append(roster, p.Name)
		}
	}
	f.table.Each(now, keyCounts, func(r *gossip.Record, age float64) {
		if items, rest, ok := parseCounts(r.Body); ok {
			sum.Take(now-age, r.Origin, r.Start, r.Seq, items, rest)
		}
	})
	for _, key := range sum.Keys() {
		r := sum.Sum(now, key, roster)
		all = append(all, Sum{key, r.AtLeast, r.AtMost})
	}
	slices.SortStableFunc(all, func(a, b Sum) int { return cmp.Compare(b.AtLeast, a.AtLeast) })
	return all[:min(most, len(all))]
}
