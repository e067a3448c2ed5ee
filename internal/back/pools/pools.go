// Package pools has the work of methods done by uwsgi application servers, as the operator's file says. Package
// decision/pool chooses the member, decision/retry whether an attempt is made again; here is what carries that out: the
// locks, the clock, the connections. It must never make a second attempt that these have not allowed, and each run that
// it takes ends exactly once.
package pools

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/pool"
	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// Budgets are what the servers of a fleet share of their pools: further tries, and calls in hand. Its methods must not block.
type Budgets interface {
	AllowRetry(pool string, worth float64) bool                   // one more further try
	AllowCall(pool string, worth, longest float64) (allowed bool) // one more in hand, for at most so many ms
	CompleteCall(pool string, failed, silent bool)                // one that was allowed; silent: the pool may go on with it
}

// Judges say which members are out of use, where the servers of a fleet judge together. Its methods must not block.
type OutlierDetection interface {
	RecordOutcome(pool, member string, how pool.Outcome, latency float64) // the end of a try; or none so far, long after the usual
	RecordRetryAfter(pool, member string, away float64)                   // a member's word that it is to be left alone, in ms
	Decisions(pool string) (all []pool.FleetDecision, judged bool)
	Admits(member string, caller uint64, share float64) bool
	TrialMember(pool string) (member string) // that an RPC may be sent to though it is out; "" for none
	SetMembers(pools map[string][]string, rules func(pool string) pool.Config)
}

// Backs are the pools of a file, and the methods that they serve.
type Backends struct {
	log       *logrus.Entry
	seed      uint64
	budgets   atomic.Pointer[sharedBudgets]
	detection atomic.Pointer[detector]

	mu      sync.Mutex // of Set
	pools   map[string]*backend
	methods atomic.Pointer[map[string]*target]
}

type detector struct{ OutlierDetection }

type sharedBudgets struct {
	budgets Budgets
	weight  func(method string) float64
}

// target is where the work of a method goes.
type target struct {
	pool   *backend
	method operator.Method
}

// backs is one pool. Its choices are guarded by mu.
type backend struct {
	name string
	log  *logrus.Entry

	mu       sync.Mutex
	config   operator.Pool
	balancer *pool.Pool
	retries  *retry.Policy
	queued   map[uint64]chan int // for a member, by id in the line
	nextID   uint64
	removed  bool // no longer in the file: what it has in hand ends there
	draining []string
}

// lookEvery is how often members are looked at beside each RPC's own look: a tenth of the shortest wait in use.
const updateInterval = 20 * time.Millisecond

// New returns pools that serve nothing yet.
func New(seed uint64, log *logrus.Entry) *Backends {
	b := &Backends{log: log, seed: seed, pools: map[string]*backend{}}
	b.methods.Store(&map[string]*target{})
	return b
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// Set takes a file that has been checked, as a whole. Pools and members that stay keep their state and what they have
// in hand; what goes takes nothing new.
func (b *Backends) Set(f *operator.File) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now()
	for name, p := range b.pools {
		if _, stays := f.Pools[name]; !stays {
			p.mu.Lock()
			p.removed = true
			p.mu.Unlock()
			delete(b.pools, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Pools)) {
		set := f.Pools[name]
		if p := b.pools[name]; p != nil {
			p.mu.Lock()
			p.config = set
			p.balancer.Set(at, set.Rules(), set.Members)
			p.balancer.SetDraining(at, p.draining)
			p.retries.Set(set.RetryRules())
			p.deliver(p.balancer.Update(at))
			p.mu.Unlock()
			continue
		}
		b.pools[name] = &backend{
			name: name, log: b.log.WithField("pool", name), config: set, queued: map[uint64]chan int{},
			balancer: pool.New(set.Rules(), set.Members, b.seed, at), retries: retry.New(set.RetryRules(), b.seed, at),
		}
	}
	methods := map[string]*target{}
	for name, m := range f.Methods {
		methods[name] = &target{b.pools[m.Pool], m}
	}
	b.methods.Store(&methods)
	b.announceMembers()
}

// Share has further tries and calls in hand asked for at b, with the criticality of their method.
func (b *Backends) UseBudgets(budgets Budgets, worth func(method string) float64) {
	b.budgets.Store(&sharedBudgets{budgets, worth})
}

// Judge has members go out of use and come back as j says, in pools that it judges.
func (b *Backends) UseOutlierDetection(j OutlierDetection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detection.Store(&detector{j})
	b.announceMembers()
}

// tellMembers tells the judges whom there is to judge. It is called with the lock held.
func (b *Backends) announceMembers() {
	j := b.detection.Load()
	if j == nil {
		return
	}
	members, rules := map[string][]string{}, map[string]pool.Config{}
	for name, p := range b.pools {
		members[name], rules[name] = p.config.Members, p.config.Rules()
	}
	j.SetMembers(members, func(name string) pool.Config { return rules[name] })
}

// Serves tells whether the work of a method is done here.
func (b *Backends) Serves(method string) bool { return (*b.methods.Load())[method] != nil }

// Runner has the work of the methods of the file done by their pools, and that of all others by engine. tokened and
// the like tell which methods may run twice.
func (b *Backends) Runner(engine gate.Runner, idempotent func(method string) bool) gate.Runner {
	return func(w gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		t := (*b.methods.Load())[w.Method]
		if t == nil {
			engine(w, done)
			return
		}
		go t.run(w, idempotent(w.Method), b.budgets.Load(), b.detection.Load(), done)
	}
}

// Serve looks after the members until ctx ends.
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
		j := b.detection.Load()
		for _, p := range all {
			p.tick(j)
		}
	}
}

// Aside has every pool leave the members alone that are drained, by pool, and no others. It returns those that it could not, as
// pool/member, and why.
func (b *Backends) SetDraining(drained map[string][]string) (cannot map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cannot = map[string]string{}
	for name, p := range b.pools {
		p.mu.Lock()
		p.draining = drained[name]
		for _, m := range p.balancer.SetDraining(now(), p.draining) {
			cannot[name+"/"+m] = "all members of the pool are drained"
		}
		p.logEvents()
		p.mu.Unlock()
	}
	return cannot
}

func (p *backend) tick(j *detector) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	if j != nil {
		if all, judged := j.Decisions(p.name); judged {
			p.balancer.UseFleetDecisions(at, all, j.Admits)
		} else {
			p.balancer.UseLocalDetection(at)
		}
	}
	p.deliver(p.balancer.Update(at))
	for _, id := range p.balancer.DueHealthChecks(at) {
		addr, limit := p.balancer.Addr(id), operator.Milliseconds(p.config.ConnectTimeoutMs)
		go func() {
			good := ping(addr, limit)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.balancer.RecordHealthCheck(now(), id, good)
		}()
	}
	p.logEvents()
}

// tell logs what happened to members. It is called with the lock held.
func (p *backend) logEvents() {
	for _, e := range p.balancer.Events() {
		if e.Reason == pool.NotEjected {
			p.log.WithField("member", e.Addr).Info("pool: member returned")
		} else {
			p.log.WithFields(logrus.Fields{"member": e.Addr, "why": e.Reason, "ms": e.Duration}).Warn("pool: member ejected")
		}
	}
}

// hand gives members to those that wait. It is called with the lock held.
func (p *backend) deliver(grants []pool.Grant) {
	for _, g := range grants {
		p.queued[g.ID] <- g.Member
		delete(p.queued, g.ID)
	}
}

// State of a pool, for status and metrics.
type State struct {
	Name     string
	Members  []pool.MemberState
	Queued   int
	Attempts retry.Counts
}

// States returns how all pools stand, by name.
func (b *Backends) States() (all []State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		p := b.pools[name]
		p.mu.Lock()
		all = append(all, State{name, p.balancer.MemberStates(now()), p.balancer.Queued(), p.retries.Counts()})
		p.mu.Unlock()
	}
	return all
}

// call takes one of the fleet's calls in hand at the pool, if these are shared, until it is ended.
func (x *sharedBudgets) acquireCall(pool string, w *gate.RunRequest) (end func(*retry.Error), err *retry.Error) {
	if x == nil {
		return func(*retry.Error) {}, nil
	}
	if !x.budgets.AllowCall(pool, x.weight(w.Method), w.DueMs-now()) {
		return nil, errFleetQuota
	}
	return func(err *retry.Error) {
		x.budgets.CompleteCall(pool, err != nil && err.Progress > retry.NotSent, err != nil && err.TimedOut)
	}, nil
}

// run makes attempts until one has a result, or no further one is allowed.
func (t *target) run(w gate.RunRequest, idempotent bool, parts *sharedBudgets, judge *detector, done func(gate.Outcome, float64, []byte, []byte)) {
	began := now()
	p := t.pool
	packet, noBody := t.packet(w)
	f := retry.FailedAttempt{Idempotent: idempotent}
	ran := false // some try may have run
	p.mu.Lock()
	p.retries.RecordFirstAttempt(began)
	p.mu.Unlock()
	var failed []int
	for {
		var member int
		var head, body []byte
		ends, err := parts.acquireCall(p.name, &w)
		if err == nil {
			if member, err = p.acquire(&w, failed, idempotent && f.Attempts == 0, judge); err != nil {
				ends(err)
			}
		}
		if err == nil {
			p.mu.Lock()
			at := now()
			f.TimeLeft, f.ExpectedLatency = w.DueMs-at, p.balancer.MedianLatency()
			a := attempt{
				addr: p.balancer.Addr(member), connectTimeout: operator.Milliseconds(min(p.config.ConnectTimeoutMs, f.TimeLeft)),
				deadline: time.Now().Add(operator.Milliseconds(p.retries.AttemptTimeout(f))), maxBodyBytes: p.config.MaxAnswerBytes, noBody: noBody,
			}
			p.mu.Unlock()
			over := func() bool { return false }
			if judge != nil {
				over = judge.watchSilence(p.name, a.addr, f.ExpectedLatency)
			}
			head, body, err = a.send(packet, w.Body)
			told := over()
			how := pool.Succeeded
			if err != nil {
				how = pool.Failed
			}
			p.mu.Lock()
			end := now()
			p.deliver(p.balancer.Complete(end, member, how, end-at))
			p.logEvents()
			p.mu.Unlock()
			ends(err)
			if judge != nil && !(told && how == pool.Failed && err.RetryAfter == 0) { // it was told that it says nothing
				judge.record(p.name, a.addr, err, end-at)
			}
		}
		if err == nil {
			done(gate.Succeeded, now()-began, head, body)
			return
		}
		f.Attempts++
		f.Progress, f.TimeLeft = err.Progress, w.DueMs-now()
		ran = ran || err.Progress >= retry.MayHaveRun
		if !err.NoCapacity {
			failed = append(failed, member)
			p.mu.Lock()
			f.ExpectedLatency = p.balancer.MedianLatency()
			after, again := p.retries.Retry(now(), f)
			p.mu.Unlock()
			if again && parts != nil && !parts.budgets.AllowRetry(p.name, parts.weight(w.Method)) {
				again = false
			}
			if again {
				time.Sleep(operator.Milliseconds(after))
				continue
			}
		}
		p.log.WithField("tries", f.Attempts).WithError(err).Warn("pool: no result")
		if ran {
			done(gate.Failed, now()-began, nil, nil)
		} else {
			done(gate.NoCapacity, now()-began, nil, nil)
		}
		return
	}
}

var (
	errNoCapacity  = &retry.Error{Progress: retry.NotSent, Reason: "no member has room", NoCapacity: true}
	errFleetQuota  = &retry.Error{Progress: retry.NotSent, Reason: "the fleet's calls to the pool are all in hand", NoCapacity: true}
	errPoolRemoved = &retry.Error{Progress: retry.NotSent, Reason: "the pool is no longer in use", NoCapacity: true}
)

// saw tells the judges how a try ended.
func (j *detector) record(name, addr string, err *retry.Error, latency float64) {
	switch {
	case err == nil:
		j.RecordOutcome(name, addr, pool.Succeeded, latency)
	case err.RetryAfter > 0:
		j.RecordRetryAfter(name, addr, err.RetryAfter)
	default:
		j.RecordOutcome(name, addr, pool.Failed, latency)
	}
}

// stallSlack is by how many ms a timer may be late before its process is taken to have stalled meanwhile.
const maxTimerLateness = 50.0

// quiet tells the judges of a try that has no answer long after the pool's usual time. Its end calls over, which says whether it
// was told. A process that has not run meanwhile judges nobody by that: it waits once more.
func (j *detector) watchSilence(name, addr string, usual float64) (over func() (told bool)) {
	late := evidence.LateThreshold(usual)
	if late == 0 {
		return func() bool { return false }
	}
	var mu sync.Mutex
	var timer *time.Timer
	ended, told, began := false, false, now()
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(operator.Milliseconds(late), func() {
		mu.Lock()
		defer mu.Unlock()
		at := now()
		switch {
		case ended:
		case at-began > late+maxTimerLateness:
			began = at
			timer.Reset(operator.Milliseconds(late))
		default:
			told = true
			j.RecordOutcome(name, addr, pool.Failed, at-began)
		}
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
		return told
	}
}

// place waits for a member with room, as long as the pool's line and the due time allow. One that may probe goes to a member
// that is out, if this server is to ask after it.
func (p *backend) acquire(w *gate.RunRequest, avoid []int, mayProbe bool, judge *detector) (member int, err *retry.Error) {
	due := w.DueMs
	probe := ""
	if mayProbe && judge != nil {
		probe = judge.TrialMember(p.name)
	}
	p.mu.Lock()
	if p.removed {
		p.mu.Unlock()
		return 0, errPoolRemoved
	}
	if probe != "" {
		if member, got := p.balancer.AcquireEjected(now(), probe); got {
			p.mu.Unlock()
			return member, nil
		}
	}
	p.nextID++
	id := p.nextID
	member, got := p.balancer.Acquire(now(), id, avoid, w.Caller)
	if got != pool.Queued {
		p.mu.Unlock()
		if got == pool.NoCapacity {
			return 0, errNoCapacity
		}
		return member, nil
	}
	mine := make(chan int, 1)
	p.queued[id] = mine
	wait := operator.Milliseconds(max(0, min(p.config.QueueTimeoutMs, due-now())))
	p.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case member = <-mine:
		return member, nil
	case <-t.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.balancer.CancelQueued(id) {
		delete(p.queued, id)
		return 0, errNoCapacity
	}
	return <-mine, nil // it was granted meanwhile
}
