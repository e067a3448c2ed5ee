// Package pools runs RPCs on pools of uwsgi application servers, as configured in the operator's file. Package decision/pool
// decides which member gets a request, and decision/retry whether to retry; this package provides locks, clock and connections.
//
// The package must never make a further attempt that these packages have not allowed, and must end each run exactly once.
package pools

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/pool"
	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// updateInterval is the interval at which the state of the members is updated, in addition to the update with each RPC. It is a
// tenth of the shortest queue timeout in use.
const updateInterval = 20 * time.Millisecond

// Backends are the pools of an operator's file and the methods that they serve. Its methods are safe for concurrent use.
type Backends struct {
	log       *logrus.Entry
	seed      uint64
	budgets   atomic.Pointer[sharedBudgets] // nil without a fleet
	detection atomic.Pointer[detector]      // nil without a fleet
	methods   atomic.Pointer[map[string]*target]

	mu    sync.Mutex // locked before the mutex of any backend
	pools map[string]*backend
}

// target is the destination of the RPCs of a method.
type target struct {
	pool   *backend
	method operator.Method
}

// New returns Backends without any pool. Equal seeds give equal random choices.
func New(seed uint64, log *logrus.Entry) *Backends {
	b := &Backends{log: log, seed: seed, pools: map[string]*backend{}}
	b.methods.Store(&map[string]*target{})
	return b
}

// nowMs returns the current time in Unix ms.
func nowMs() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// Set replaces the operator's file. The new file must be valid. Pools and members in both files keep their state and their
// requests in flight; removed ones get no new requests.
func (b *Backends) Set(f *operator.File) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := nowMs()
	for name, p := range b.pools {
		if _, ok := f.Pools[name]; !ok {
			p.remove()
			delete(b.pools, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Pools)) {
		config := f.Pools[name]
		if p := b.pools[name]; p != nil {
			p.set(now, config)
			continue
		}
		b.pools[name] = newBackend(name, config, b.seed, now, b.log)
	}
	methods := map[string]*target{}
	for name, m := range f.Methods {
		methods[name] = &target{pool: b.pools[m.Pool], method: m}
	}
	b.methods.Store(&methods)
	b.announceMembers()
}

// UseBudgets makes retries and calls subject to the fleet's budgets. weight returns the priority weight of a method.
func (b *Backends) UseBudgets(budgets Budgets, weight func(method string) float64) {
	b.budgets.Store(&sharedBudgets{budgets: budgets, weight: weight})
}

// UseOutlierDetection makes the fleet eject and return members, in the pools about which the fleet decides.
func (b *Backends) UseOutlierDetection(detection OutlierDetection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detection.Store(&detector{OutlierDetection: detection})
	b.announceMembers()
}

// announceMembers passes the pools and their members to the fleet's outlier detection. The caller must hold mu.
func (b *Backends) announceMembers() {
	d := b.detection.Load()
	if d == nil {
		return
	}
	members := map[string][]string{}
	configs := map[string]pool.Config{}
	for name, p := range b.pools {
		members[name] = p.config.Members
		configs[name] = p.config.Rules()
	}
	d.SetMembers(members, func(name string) pool.Config { return configs[name] })
}

// Serves reports whether a pool serves a method.
func (b *Backends) Serves(method string) bool { return (*b.methods.Load())[method] != nil }

// Runner returns a runner that runs RPCs on the pool of their method, or with engine if the method has no pool. idempotent
// reports whether RPCs of a method may run more than once.
func (b *Backends) Runner(engine gate.Runner, idempotent func(method string) bool) gate.Runner {
	return func(request gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		t := (*b.methods.Load())[request.Method]
		if t == nil {
			engine(request, done)
			return
		}
		r := run{
			target:     t,
			pool:       t.pool,
			request:    request,
			idempotent: idempotent(request.Method),
			budgets:    b.budgets.Load(),
			detector:   b.detection.Load(),
		}
		go r.serve(done) // returns by the due time of the RPC
	}
}

// Serve updates the state of the members until ctx ends.
func (b *Backends) Serve(ctx context.Context) {
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		b.mu.Lock()
		backends := slices.Collect(maps.Values(b.pools))
		b.mu.Unlock()
		d := b.detection.Load()
		for _, p := range backends {
			p.update(d)
		}
	}
}

// SetDraining replaces the set of drained members, which get no new requests. drained lists members by pool. The result has the
// reason for each member that could not be drained, with keys of the form pool/member.
func (b *Backends) SetDraining(drained map[string][]string) (refused map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	refused = map[string]string{}
	for name, p := range b.pools {
		for _, m := range p.setDraining(drained[name]) {
			refused[name+"/"+m] = "all members of the pool are drained"
		}
	}
	return refused
}

// State is a snapshot of the state of a pool, for status pages and metrics.
type State struct {
	Name     string
	Members  []pool.MemberState
	Queued   int
	Attempts retry.Counts
}

// States returns a snapshot of all pools, in order of their names.
func (b *Backends) States() (states []State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		states = append(states, b.pools[name].state())
	}
	return states
}
