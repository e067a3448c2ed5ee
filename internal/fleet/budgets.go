package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/operator"
)

const (
	// maxClockStep is by how much the wall clock and the monotonic one may part between two looks before leases are dropped: the monotonic
	// clock of a machine that was suspended did not go on. Clocks that are slewed part by 0.5 ms a second.
	maxClockStep = 50 * time.Millisecond
	// maxCachedNames bounds the names that are kept; beyond, they are built anew each time.
	maxCachedNames    = 1 << 16
	maxReportedQuotas = 64
	maxReportedLeases = 16 // of each quota
)

// Budgets are a server's share of the budgets of its fleet: customers' quotas, retries and concurrent calls to pools. How much a server
// may use, grant or request is decided by decision/quota; Budgets have the lock, the clock and the messages. They admit nothing that the
// ledger has not, and hold no lock while they send. Their methods may be called by many goroutines.
type Budgets struct {
	fleet     *Fleet
	startedAt time.Time
	limits    atomic.Pointer[map[string]quota.Limit] // by budget
	lingerMs  atomic.Pointer[map[string]float64]     // by pool: for how long it may go on with an abandoned call

	packetsSent atomic.Uint64

	mu          sync.Mutex
	ledger      *quota.Ledger
	clockOffset time.Duration // of the wall clock from the monotonic one, at the last look
	clockSteps  int
	malformed   int // packets
	abandoned   []abandonedCall
	counts      localCounts
	names       map[nameKey]*cachedNames // so that an RPC builds none
}

// abandonedCall is a call that this server gave up, and that counts as in flight until the pool can't go on with it.
type abandonedCall struct {
	pool      string
	expiresAt float64 // ms
}

// ShareBudgets has a server share budgets with its fleet. It must be called once, before anything is acquired.
func (f *Fleet) ShareBudgets(config *operator.Budgets) *Budgets {
	b := &Budgets{
		fleet:     f,
		startedAt: time.Now(),
		names:     map[nameKey]*cachedNames{},
		counts:    newLocalCounts(),
	}
	b.storeLimits(config)
	f.mu.Lock()
	defer f.mu.Unlock()
	seed := int64(f.identity.Incarnation)
	b.ledger = quota.NewLedger(f.identity.Incarnation, seed, b.nowMs(), func(key string) (quota.Limit, bool) {
		limit, has := (*b.limits.Load())[key]
		return limit, has
	})
	if f.exclusion != nil {
		b.ledger.Disable()
	}
	f.budgets = b
	return b
}

// Set replaces the limits while leases under the former ones may be out.
func (b *Budgets) Set(config *operator.Budgets) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeLimits(config)
	b.ledger.Update(b.nowMs())
}

func (b *Budgets) storeLimits(config *operator.Budgets) {
	limits := config.Rules()
	linger := map[string]float64{}
	if config != nil {
		for pool, calls := range config.Calls {
			linger[pool] = calls.LingerMs
		}
	}
	b.limits.Store(&limits)
	b.lingerMs.Store(&linger)
}

// nowMs is the monotonic clock in ms. Leases are dropped first if that clock can't have seen their end. The lock is held.
func (b *Budgets) nowMs() float64 {
	now := time.Now()
	elapsed := now.Sub(b.startedAt)
	elapsedMs := float64(elapsed) / 1e6
	clockOffset := now.Round(0).Sub(b.startedAt.Round(0)) - elapsed
	if step := clockOffset - b.clockOffset; step > maxClockStep || step < -maxClockStep {
		b.clockSteps++
		if b.ledger != nil {
			b.ledger.Invalidate(elapsedMs)
		}
	}
	b.clockOffset = clockOffset
	return elapsedMs
}

// nameKey is what names are built from: a customer and a method, or a pool.
type nameKey struct {
	owner   string // the customer or pool
	counted string // the method, failedCalls, or ""
	prefix  string // of the budget
}

// cachedNames are the keys of a budget and of a count.
type cachedNames struct {
	budget  string
	counted string
}

// failedCalls is what failures are counted under, beside a pool's name.
const failedCalls = "failed"

// cachedName returns the names of an RPC or a call. The lock is held.
func (b *Budgets) cachedName(owner, counted, prefix string) *cachedNames {
	key := nameKey{owner: owner, counted: counted, prefix: prefix}
	names := b.names[key]
	if names == nil {
		names = &cachedNames{budget: prefix + owner, counted: owner + "|" + counted}
		if len(b.names) < maxCachedNames {
			b.names[key] = names
		}
	}
	return names
}

// CheckQuota implements gate.QuotaChecker: it takes an RPC from this server's part of its customer's quota. retryAfter is in ms if the
// quota is used up.
func (b *Budgets) CheckQuota(method, customer string, criticality float64) (status control.QuotaStatus, retryAfter float64) {
	if len(*b.limits.Load()) == 0 {
		return control.QuotaUnknown, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.nowMs()
	names := b.cachedName(customer, method, operator.QuotaPrefix)
	b.counts.counter.Add(now, names.counted, 1)
	acquired, limited, retryAfter := b.ledger.TryAcquire(now, names.budget, criticality, 0)
	switch {
	case !limited:
		return control.QuotaUnknown, 0
	case acquired:
		return control.WithinQuota, 0
	}
	return control.OverQuota, retryAfter
}

// AllowRetry implements pools.Budgets: it takes a retry from the pool's budget.
func (b *Budgets) AllowRetry(pool string, priorityWeight float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.cachedName(pool, "", operator.RetriesPrefix).budget
	acquired, _, _ := b.ledger.TryAcquire(b.nowMs(), budget, priorityWeight, 0)
	return acquired
}

// AllowCall implements pools.Budgets: it takes a place among the concurrent calls to a pool, for at most maxMs.
func (b *Budgets) AllowCall(pool string, priorityWeight, maxMs float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.nowMs()
	b.endExpiredCalls(now)
	budget := b.cachedName(pool, failedCalls, operator.CallsPrefix).budget
	acquired, _, _ := b.ledger.TryAcquire(now, budget, priorityWeight, maxMs+(*b.lingerMs.Load())[pool])
	if acquired {
		b.counts.inFlight[pool]++
	}
	return acquired
}

// CompleteCall implements pools.Budgets: a call ended. An abandoned one stays in flight for as long as the pool may go on with it.
func (b *Budgets) CompleteCall(pool string, failed, abandoned bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.nowMs()
	if failed {
		b.counts.counter.Add(now, b.cachedName(pool, failedCalls, operator.CallsPrefix).counted, 1)
	}
	linger := (*b.lingerMs.Load())[pool]
	if abandoned && linger > 0 {
		b.abandoned = append(b.abandoned, abandonedCall{pool: pool, expiresAt: now + linger})
		return
	}
	b.releaseCall(pool)
}

// releaseCall returns the place of a call. The lock is held.
func (b *Budgets) releaseCall(pool string) {
	b.ledger.Release(b.cachedName(pool, failedCalls, operator.CallsPrefix).budget)
	b.counts.inFlight[pool] = max(0, b.counts.inFlight[pool]-1)
}

// endExpiredCalls releases abandoned calls that the pool can't go on with any more. There are no more of them than may be in flight. The
// lock is held.
func (b *Budgets) endExpiredCalls(now float64) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(call abandonedCall) bool {
		expired := call.expiresAt <= now
		if expired {
			b.releaseCall(call.pool)
		}
		return expired
	})
}

// tick sends the ledger's messages to the reachable peers, and gossips the counts when they are due.
func (b *Budgets) tick(peers []string) {
	b.mu.Lock()
	now := b.nowMs()
	b.endExpiredCalls(now)
	messages := b.ledger.Tick(now, peers)
	counts := b.counts.dueRecord(now)
	b.mu.Unlock()
	b.send(messages)
	if counts == nil {
		return
	}
	if err := b.fleet.Publish(keyCounts, counts); err != nil {
		b.fleet.options.Log.WithError(err).Warn("fleet.publish_failed")
	}
}

// dropLeases drops what is leased: this server has stalled.
func (b *Budgets) dropLeases() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Invalidate(b.nowMs())
}

// disable ends the use of all budgets: another process has this server's name.
func (b *Budgets) disable() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Disable()
}

// receive takes a packet of lease messages from a peer, and answers it.
func (b *Budgets) receive(from string, packet []byte) {
	messages, ok := parseLeases(packet)
	b.mu.Lock()
	if !ok {
		b.malformed++
	}
	var replies []quota.KeyedMessage
	for _, message := range messages {
		replies = append(replies, b.ledger.Receive(b.nowMs(), from, message)...)
	}
	b.mu.Unlock()
	b.send(replies)
}

// send packs the messages to each peer together.
func (b *Budgets) send(messages []quota.KeyedMessage) {
	slices.SortStableFunc(messages, func(x, y quota.KeyedMessage) int { return cmp.Compare(x.To, y.To) })
	var packet []byte
	for i := range messages {
		packet = appendLease(packet, &messages[i])
		lastOfPeer := i+1 == len(messages) || messages[i+1].To != messages[i].To
		if lastOfPeer || len(packet) > maxPacketBytes {
			b.packetsSent.Add(1)
			b.fleet.sendDirect(messages[i].To, channelLeases, packet)
			packet = nil
		}
	}
}

// BudgetStatus is the state of a server's budgets.
type BudgetStatus struct {
	Quotas           []quota.AllocationStatus `json:"Parts,omitempty"` // those with the most activity
	ActiveQuotas     int                      `json:"Table"`           // quotas that are not idle
	TableFull        uint64                   `json:"Full"`            // RPCs for which the table had no room
	PacketsSent      uint64                   `json:"Sent"`            // lease packets
	ClockSteps       int                      `json:"Steps"`           // of the wall clock against the monotonic one, at which leases were dropped
	MalformedPackets int                      `json:"Wrong"`
	FleetCounts      []CountRange             `json:"Sums,omitempty"` // the largest
}

// status returns the state without the fleet's counts.
func (b *Budgets) status() *BudgetStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.nowMs()
	return &BudgetStatus{
		Quotas:           b.ledger.Statuses(now, b.fleet.options.Name, maxReportedQuotas, maxReportedLeases),
		ActiveQuotas:     b.ledger.Size(),
		TableFull:        b.ledger.Overflows,
		PacketsSent:      b.packetsSent.Load(),
		ClockSteps:       b.clockSteps,
		MalformedPackets: b.malformed,
	}
}
