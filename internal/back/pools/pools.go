// Package pools has the work of methods done by pools of uwsgi application servers, as the operator's file says. The
// decisions are made by decision/pool (which member) and decision/retry (whether to try again); this package carries them
// out with its locks, clock and connections.
//
// The package must never make a second attempt that these have not allowed, and each run that it takes ends exactly once.
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

// updateInterval is how often the state of members is updated beside each RPC's own update: a tenth of the shortest queue
// timeout in use.
const updateInterval = 20 * time.Millisecond

// Backends are the pools of an operator's file, and the methods that they serve. Its methods may be called from any
// goroutine.
type Backends struct {
	log       *logrus.Entry
	seed      uint64
	budgets   atomic.Pointer[sharedBudgets] // nil without a fleet
	detection atomic.Pointer[detector]      // nil without a fleet
	methods   atomic.Pointer[map[string]*target]

	mu    sync.Mutex // held before any backend's
	pools map[string]*backend
}

// target is where the work of a method goes.
type target struct {
	pool   *backend
	method operator.Method
}

// New returns backends without any pool. Equal seeds give equal choices.
func New(seed uint64, log *logrus.Entry) *Backends {
	b := &Backends{log: log, seed: seed, pools: map[string]*backend{}}
	b.methods.Store(&map[string]*target{})
	return b
}

// nowMs returns the time in Unix ms.
func nowMs() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// Set replaces the operator's file by another one that has been checked. Pools and members that stay keep their state and
// what they have in flight; those that go take nothing new.
func (b *Backends) Set(f *operator.File) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := nowMs()
	for name, p := range b.pools {
		if _, stays := f.Pools[name]; !stays {
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

// UseBudgets has retries and calls allowed by the fleet's budgets, by the priority weight of their method.
func (b *Backends) UseBudgets(budgets Budgets, weight func(method string) float64) {
	b.budgets.Store(&sharedBudgets{budgets: budgets, weight: weight})
}

// UseOutlierDetection has the fleet eject and return members, in the pools that it decides about.
func (b *Backends) UseOutlierDetection(detection OutlierDetection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detection.Store(&detector{OutlierDetection: detection})
	b.announceMembers()
}

// announceMembers tells the fleet's outlier detection which members there are. mu is held.
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

// Serves reports whether a pool does the work of a method.
func (b *Backends) Serves(method string) bool { return (*b.methods.Load())[method] != nil }

// Runner returns a runner that has the work of the file's methods done by their pools and that of all others by engine.
// idempotent reports which methods may run twice.
func (b *Backends) Runner(engine gate.Runner, idempotent func(method string) bool) gate.Runner {
	return func(w gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		t := (*b.methods.Load())[w.Method]
		if t == nil {
			engine(w, done)
			return
		}
		r := run{
			target:     t,
			pool:       t.pool,
			request:    w,
			idempotent: idempotent(w.Method),
			budgets:    b.budgets.Load(),
			detector:   b.detection.Load(),
		}
		go r.serve(done) // ends by the due time of the RPC
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
		all := slices.Collect(maps.Values(b.pools))
		b.mu.Unlock()
		d := b.detection.Load()
		for _, p := range all {
			p.update(d)
		}
	}
}

// SetDraining has the members that are drained, by pool, and no others get no new requests. It returns those that could
// not be drained, as pool/member, with the reason.
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

// State is a snapshot of a pool, for status pages and metrics.
type State struct {
	Name     string
	Members  []pool.MemberState
	Queued   int
	Attempts retry.Counts
}

// States returns a snapshot of all pools, by name.
func (b *Backends) States() (states []State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		states = append(states, b.pools[name].state())
	}
	return states
}
