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

// maxClockStep is by how much wall and own clock may part between two looks before what is borrowed is dropped: a machine that was
// suspended has a monotonic clock that did not go on. Clocks that are set right slowly part by 0.5 ms a second.
const maxClockStep = 50 * time.Millisecond

// Budgets are one server's parts. Its methods may be called by many goroutines.
type Budgets struct {
	fleet     *Fleet
	startedAt time.Time
	rules     atomic.Pointer[map[string]quota.Limit]
	lingerMs  atomic.Pointer[map[string]float64] // ms, by pool

	mu          sync.Mutex
	ledger      *quota.Ledger
	clockOffset time.Duration // of the wall clock from the own one, at the last look
	clockSteps  int
	malformed   int // packets that could not be read
	packetsSent atomic.Uint64
	abandoned   []abandonedCall // calls that were given up, and count until they can't be gone on with
	counts      localCounts
	names       map[nameKey]*cachedNames // so that an RPC makes none
}

// abandonedCall is a call that the own side has ended.
type abandonedCall struct {
	pool      string
	expiresAt float64
}

// ShareBudgets has a server share budgets with its fleet. It must be called once, before anybody asks for anything.
func (f *Fleet) ShareBudgets(b *operator.Budgets) *Budgets {
	x := &Budgets{fleet: f, startedAt: time.Now(), names: map[nameKey]*cachedNames{}, counts: newLocalCounts()}
	x.storeRules(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	x.ledger = quota.NewLedger(f.identity.Incarnation, int64(f.identity.Incarnation), x.nowMs(), func(key string) (quota.Limit, bool) {
		r, is := (*x.rules.Load())[key]
		return r, is
	})
	if f.exclusion != nil {
		x.ledger.Disable()
	}
	f.budgets = x
	return x
}

// Set takes other bounds while parts of the former ones may be lent.
func (b *Budgets) Set(o *operator.Budgets) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeRules(o)
	b.ledger.Update(b.nowMs())
}

func (b *Budgets) storeRules(o *operator.Budgets) {
	rules, linger := o.Rules(), map[string]float64{}
	if o != nil {
		for pool, x := range o.Calls {
			linger[pool] = x.LingerMs
		}
	}
	b.rules.Store(&rules)
	b.lingerMs.Store(&linger)
}

// nowMs is the own clock in ms. What is borrowed is dropped first if the clock can't have seen its end.
func (b *Budgets) nowMs() float64 {
	t := time.Now()
	own := t.Sub(b.startedAt)
	parted := t.Round(0).Sub(b.startedAt.Round(0)) - own
	if step := parted - b.clockOffset; step > maxClockStep || step < -maxClockStep {
		if b.clockSteps++; b.ledger != nil {
			b.ledger.Invalidate(float64(own) / 1e6)
		}
	}
	b.clockOffset = parted
	return float64(own) / 1e6
}

// nameKey is what an RPC goes by: of a customer and its method, or of a pool.
type nameKey struct{ of, counted, prefix string }

// cachedNames are those of a budget and of a count, made once for as many as there is room.
type cachedNames struct{ budget, counted string }

// failedCalls is what failures are counted under, beside a pool's name.
const failedCalls = "failed"

// cachedName returns them. The lock is held.
func (b *Budgets) cachedName(of, counted, prefix string) *cachedNames {
	k := nameKey{of, counted, prefix}
	n := b.names[k]
	if n == nil {
		if n = (&cachedNames{prefix + of, of + "|" + counted}); len(b.names) < maxCachedNames {
			b.names[k] = n
		}
	}
	return n
}

// maxCachedNames: beyond so many, names are made anew each time.
const maxCachedNames = 1 << 16

// CheckQuota implements gate.QuotaChecker: it tells whether an RPC lies within this server's part of its customer's quota.
func (b *Budgets) CheckQuota(method, customer string, criticality float64) (control.QuotaStatus, float64) {
	if len(*b.rules.Load()) == 0 {
		return control.QuotaUnknown, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.nowMs()
	n := b.cachedName(customer, method, operator.QuotaPrefix)
	b.counts.counter.Add(now, n.counted, 1)
	ok, bound, again := b.ledger.TryAcquire(now, n.budget, criticality, 0)
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
	ok, _, _ := b.ledger.TryAcquire(b.nowMs(), b.cachedName(pool, "", operator.RetriesPrefix).budget, worth, 0)
	return ok
}

// Call is pools.Budgets: one more in hand.
func (b *Budgets) AllowCall(pool string, worth, longest float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.nowMs()
	b.endExpiredCalls(now)
	ok, _, _ := b.ledger.TryAcquire(now, b.cachedName(pool, failedCalls, operator.CallsPrefix).budget, worth, longest+(*b.lingerMs.Load())[pool])
	if ok {
		b.counts.inFlight[pool]++
	}
	return ok
}

// CallEnds is pools.Budgets. One that was given up stays in hand for as long as the pool may go on with it.
func (b *Budgets) CompleteCall(pool string, failed, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.nowMs()
	if failed {
		b.counts.counter.Add(now, b.cachedName(pool, failedCalls, operator.CallsPrefix).counted, 1)
	}
	if wait := (*b.lingerMs.Load())[pool]; silent && wait > 0 {
		b.abandoned = append(b.abandoned, abandonedCall{pool, now + wait})
		return
	}
	b.endCall(pool)
}

func (b *Budgets) endCall(pool string) {
	b.ledger.Release(b.cachedName(pool, failedCalls, operator.CallsPrefix).budget)
	b.counts.inFlight[pool] = max(0, b.counts.inFlight[pool]-1)
}

// endExpiredCalls gives back calls that can't be gone on with any more. They are no more than may be in hand.
func (b *Budgets) endExpiredCalls(now float64) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(g abandonedCall) bool {
		if g.expiresAt <= now {
			b.endCall(g.pool)
		}
		return g.expiresAt <= now
	})
}

// tick says what is to be said, to those that are heard.
func (b *Budgets) tick(peers []string) {
	b.mu.Lock()
	now := b.nowMs()
	b.endExpiredCalls(now)
	out := b.ledger.Tick(now, peers)
	said := b.counts.dueRecord(now)
	b.mu.Unlock()
	b.send(out)
	if said != nil {
		b.fleet.Publish(keyCounts, said)
	}
}

// dropLeases drops what is borrowed: this server has stalled.
func (b *Budgets) dropLeases() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Invalidate(b.nowMs())
}

// disable ends the use of any part: another process bears this server's name.
func (b *Budgets) disable() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Disable()
}

// receive takes a packet that a peer sent to this server alone, and answers it.
func (b *Budgets) receive(from string, raw []byte) {
	all, ok := parseLeases(raw)
	b.mu.Lock()
	if !ok {
		b.malformed++
	}
	var out []quota.KeyedMessage
	for _, m := range all {
		out = append(out, b.ledger.Receive(b.nowMs(), from, m)...)
	}
	b.mu.Unlock()
	b.send(out)
}

// maxPacketBytes of messages go in one packet, so that with memberlist's own it fits one frame.
const maxPacketBytes = 1100

// send packs what goes to one peer together.
func (b *Budgets) send(all []quota.KeyedMessage) {
	slices.SortStableFunc(all, func(x, y quota.KeyedMessage) int { return cmp.Compare(x.To, y.To) })
	var raw []byte
	for i := range all {
		raw = appendLease(raw, &all[i])
		if i+1 == len(all) || all[i+1].To != all[i].To || len(raw) > maxPacketBytes {
			b.packetsSent.Add(1)
			b.fleet.sendDirect(all[i].To, channelLeases, raw)
			raw = nil
		}
	}
}

// maxPacketMessages bounds what a packet brings.
const maxPacketMessages = 256

// appendLease writes a message as fleet.proto has it.
func appendLease(b []byte, m *quota.KeyedMessage) []byte {
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
	x = appendStringField(x, 1, m.Key)
	number(2, uint64(m.Kind))
	number(3, m.RequestID)
	x = protowire.AppendFixed64(protowire.AppendTag(x, 4, protowire.Fixed64Type), m.Incarnation)
	float(5, m.Amount)
	float(6, m.Duration)
	float(7, m.PriorityWeight)
	float(8, m.CurrentCapacity)
	number(9, m.Renews)
	number(10, uint64(m.Reason))
	return protowire.AppendBytes(protowire.AppendTag(b, 1, protowire.BytesType), x)
}

// parseLeases reads a packet of them; what makes no sense is left out, and told.
func parseLeases(raw []byte) (all []quota.KeyedMessage, ok bool) {
	sense := true
	whole := eachField(raw, func(num protowire.Number, v []byte, _ uint64) {
		if num != 1 || len(all) >= maxPacketMessages {
			return
		}
		var m quota.KeyedMessage
		good := eachField(v, func(num protowire.Number, v []byte, n uint64) {
			x := math.Float64frombits(n)
			switch num {
			case 1:
				m.Key = string(v)
			case 2:
				m.Kind = quota.MessageKind(min(n, 255))
			case 3:
				m.RequestID = n
			case 4:
				m.Incarnation = n
			case 5:
				m.Amount = x
			case 6:
				m.Duration = x
			case 7:
				m.PriorityWeight = x
			case 8:
				m.CurrentCapacity = x
			case 9:
				m.Renews = n
			case 10:
				m.Reason = quota.DenialReason(min(n, 255))
			}
		})
		finite := true
		for _, x := range [...]float64{m.Amount, m.Duration, m.PriorityWeight, m.CurrentCapacity} {
			finite = finite && x >= 0 && x <= 1e12
		}
		if good && finite && m.Key != "" && m.Kind >= quota.Request && m.Kind <= quota.Offer {
			all = append(all, m)
		} else {
			sense = false
		}
	})
	return all, whole && sense && len(all) > 0
}

// How much of the parts and loans is told.
const (
	maxReportedQuotas = 64
	maxReportedLeases = 16
)

// BudgetStatus is the state of this server's budget quotas.
type BudgetStatus struct {
	Quotas           []quota.AllocationStatus `json:"Parts,omitempty"` // the quotas with the most activity
	ActiveQuotas     int                      `json:"Table"`           // quotas that are not idle
	TableFull        uint64                   `json:"Full"`            // RPCs for which the table had no room
	PacketsSent      uint64                   `json:"Sent"`            // lease packets
	ClockSteps       int                      `json:"Steps"`           // of the wall clock against the monotonic one, at which leases were dropped
	MalformedPackets int                      `json:"Wrong"`           // malformed packets
	FleetCounts      []CountRange             `json:"Sums,omitempty"`
}

func (b *Budgets) status() *BudgetStatus {
	b.mu.Lock()
	now := b.nowMs()
	s := &BudgetStatus{Quotas: b.ledger.Statuses(now, b.fleet.options.Name, maxReportedQuotas, maxReportedLeases), ActiveQuotas: b.ledger.Size(), TableFull: b.ledger.Overflows, PacketsSent: b.packetsSent.Load(), ClockSteps: b.clockSteps, MalformedPackets: b.malformed}
	b.mu.Unlock()
	return s
}

// CountRange is what a fleet's servers count under a key: at least and at most so many a second, or in hand.
type CountRange struct {
	Key string
	Min float64 `json:"AtLeast"`
	Max float64 `json:"AtMost"`
}

// localCounts is what this server counts for the others.
type localCounts struct {
	counter     *count.Local
	inFlight    map[string]int // calls, by pool
	publishedAt float64        // when they were last said
}

const (
	keyCounts          = "counts"
	countsIntervalMs   = 2000.0
	maxPublishedCounts = 12 // keys of a record, which has 1 KB
)

func newLocalCounts() localCounts {
	return localCounts{counter: count.NewLocal(count.DefaultConfig), inFlight: map[string]int{}}
}

// dueRecord is the record that is to be said now; nil for none yet.
func (c *localCounts) dueRecord(now float64) []byte {
	if now-c.publishedAt < countsIntervalMs {
		return nil
	}
	c.publishedAt = now
	items := c.counter.Largest(now, maxPublishedCounts)
	rest := 0.0
	if len(items) == maxPublishedCounts {
		rest = items[maxPublishedCounts-1].Value
	}
	items = slices.DeleteFunc(items, func(x count.Counter) bool { return x.Value < 0.05 })
	for _, pool := range slices.Sorted(maps.Keys(c.inFlight)) {
		if len(items) < maxPublishedCounts+4 {
			items = append(items, count.Counter{Key: "in hand|" + pool, Value: float64(c.inFlight[pool])})
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
		b = appendStringField(b, 2, x.Key)
		float(3, x.Value)
		float(4, x.MaxError)
	}
	return b
}

// parseCounts reads such a record.
func parseCounts(raw []byte) (items []count.Counter, rest float64, ok bool) {
	ok = eachField(raw, func(num protowire.Number, v []byte, n uint64) {
		x := float64(math.Float32frombits(uint32(n)))
		if !(x >= 0 && x < 1e12) {
			x = 0
		}
		switch {
		case num == 1:
			rest = x
		case num == 2:
			items = append(items, count.Counter{Key: sanitize(string(v))})
		case num == 3 && len(items) > 0:
			items[len(items)-1].Value = x
		case num == 4 && len(items) > 0:
			items[len(items)-1].MaxError = x
		}
	})
	return items, rest, ok
}

// countRanges are over the roster, as ranges that widen for those not heard. The lock of the fleet is held.
func (f *Fleet) countRanges(now float64, most int) (all []CountRange) {
	sum := count.NewAggregate(count.DefaultConfig)
	roster := []string{f.options.Name}
	for _, p := range f.detector.Peers(now) {
		if p.Departure == 0 {
			roster = append(roster, p.Name)
		}
	}
	f.records.Each(now, keyCounts, func(r *gossip.Record, age float64) {
		if items, rest, ok := parseCounts(r.Body); ok {
			sum.Merge(now-age, r.Origin, r.Generation, r.Sequence, items, rest)
		}
	})
	for _, key := range sum.Keys() {
		r := sum.Sum(now, key, roster)
		all = append(all, CountRange{key, r.Min, r.Max})
	}
	slices.SortStableFunc(all, func(a, b CountRange) int { return cmp.Compare(b.Min, a.Min) })
	return all[:min(most, len(all))]
}
