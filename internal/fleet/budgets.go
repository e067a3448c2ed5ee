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
	// maxClockStep is the maximum change of the offset between the wall clock and the monotonic clock from one reading to the next. Leases are
	// dropped if it is exceeded, because the monotonic clock stands still while the machine is suspended. Slewing a clock changes the offset
	// by 0.5 ms per second.
	maxClockStep = 50 * time.Millisecond
	// maxCachedNames limits the name cache. Names beyond the limit are built on each use.
	maxCachedNames    = 1 << 16
	maxReportedQuotas = 64
	maxReportedLeases = 16 // of each quota
)

// Budgets manages a server's shares of the fleet's budgets: customers' quotas, retries, and concurrent calls to pools. Package
// decision/quota decides how much a server may use, grant or request; Budgets adds the lock, the clock and the messages. It admits only what
// the ledger admits, and holds no lock while it sends. It is safe for concurrent use.
type Budgets struct {
	fleet     *Fleet
	startedAt time.Time
	limits    atomic.Pointer[map[string]quota.Limit] // by budget key
	lingerMs  atomic.Pointer[map[string]float64]     // by pool: how long the pool may keep working on an abandoned call

	packetsSent atomic.Uint64

	mu          sync.Mutex
	ledger      *quota.Ledger
	clockOffset time.Duration // of the wall clock from the monotonic clock, at the last reading
	clockSteps  int
	malformed   int // malformed packets received
	abandoned   []abandonedCall
	counts      localCounts
	names       map[nameKey]*cachedNames // cache, so that RPCs need not build names
}

// abandonedCall is a call that this server abandoned. It counts as in flight for as long as the pool may keep working on it.
type abandonedCall struct {
	pool      string
	expiresAt float64 // ms
}

// ShareBudgets makes the server share the budgets in config with its fleet. It must be called only once, before the first use of a budget.
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
		limit, ok := (*b.limits.Load())[key]
		return limit, ok
	})
	if f.exclusion != nil {
		b.ledger.Disable()
	}
	f.budgets = b
	return b
}

// Set replaces the limits. Leases that were granted under the previous limits may still be held.
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

// nowMs returns the time of the monotonic clock in ms. It first drops all leases if the clocks have stepped, because the monotonic clock may
// then have missed their expiry. The caller holds the lock.
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

// nameKey holds the parts that names are built from: a customer and a method, or a pool.
type nameKey struct {
	owner   string // the customer or pool
	counted string // the method, failedCalls, or ""
	prefix  string // of the budget's key
}

// cachedNames holds the key of a budget and the key of a counter.
type cachedNames struct {
	budget  string
	counted string
}

// failedCalls is the part of a counter's key, after the pool's name, under which failed calls are counted.
const failedCalls = "failed"

// cachedName returns the names of an RPC or a call. The caller holds the lock.
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

// CheckQuota implements gate.QuotaChecker: it charges an RPC to this server's share of the customer's quota. If the quota is exhausted,
// retryAfter is the time in ms after which the caller should retry.
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

// AllowRetry implements pools.Budgets: it charges a retry to the pool's budget, and returns whether the retry is allowed.
func (b *Budgets) AllowRetry(pool string, priorityWeight float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.cachedName(pool, "", operator.RetriesPrefix).budget
	acquired, _, _ := b.ledger.TryAcquire(b.nowMs(), budget, priorityWeight, 0)
	return acquired
}

// AllowCall implements pools.Budgets: it reserves one of the concurrent calls to a pool for at most maxMs ms, and returns whether the call is
// allowed.
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

// CompleteCall implements pools.Budgets: it records the end of a call. An abandoned call counts as in flight for as long as the pool may keep
// working on it.
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

// releaseCall releases one concurrent call to a pool. The caller holds the lock.
func (b *Budgets) releaseCall(pool string) {
	b.ledger.Release(b.cachedName(pool, failedCalls, operator.CallsPrefix).budget)
	b.counts.inFlight[pool] = max(0, b.counts.inFlight[pool]-1)
}

// endExpiredCalls releases the abandoned calls that the pool can no longer be working on. Their number is limited by that of the calls that
// may be in flight. The caller holds the lock.
func (b *Budgets) endExpiredCalls(now float64) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(call abandonedCall) bool {
		expired := call.expiresAt <= now
		if expired {
			b.releaseCall(call.pool)
		}
		return expired
	})
}

// tick sends the ledger's messages to the reachable peers, and gossips this server's counts when they are due.
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

// dropLeases drops all leases. It is called after this server has stalled.
func (b *Budgets) dropLeases() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Invalidate(b.nowMs())
}

// disable stops the use of all budgets. It is called when another process uses this server's name.
func (b *Budgets) disable() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Disable()
}

// receive processes a packet of lease messages from a peer, and sends the replies.
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

// send sends the messages, with those to the same peer combined into packets.
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
	Quotas           []quota.AllocationStatus `json:"Parts,omitempty"` // the most active ones
	ActiveQuotas     int                      `json:"Table"`           // number of quotas that are not idle
	TableFull        uint64                   `json:"Full"`            // number of RPCs whose quota did not fit into the table
	PacketsSent      uint64                   `json:"Sent"`            // number of lease packets sent
	ClockSteps       int                      `json:"Steps"`           // steps of the wall clock against the monotonic clock; each drops all leases
	MalformedPackets int                      `json:"Wrong"`
	FleetCounts      []CountRange             `json:"Sums,omitempty"` // the largest counts over the fleet
}

// status returns the state except FleetCounts.
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
