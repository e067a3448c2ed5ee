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
	Retry(pool string, worth float64) bool                   // one more further try
	Call(pool string, worth, longest float64) (allowed bool) // one more in hand, for at most so many ms
	CallEnds(pool string, failed, silent bool)               // one that was allowed; silent: the pool may go on with it
}

// Judges say which members are out of use, where the servers of a fleet judge together. Its methods must not block.
type Judges interface {
	Saw(pool, member string, how pool.Outcome, latency float64) // the end of a try; or none so far, long after the usual
	Busy(pool, member string, away float64)                     // a member's word that it is to be left alone, in ms
	Verdicts(pool string) (all []pool.FleetDecision, judged bool)
	Takes(member string, caller uint64, share float64) bool
	Probe(pool string) (member string) // that an RPC may be sent to though it is out; "" for none
	Members(pools map[string][]string, rules func(pool string) pool.Config)
}

// Backs are the pools of a file, and the methods that they serve.
type Backs struct {
	log   *logrus.Entry
	seed  uint64
	parts atomic.Pointer[sharing]
	judge atomic.Pointer[judging]

	mu      sync.Mutex // of Set
	pools   map[string]*backs
	methods atomic.Pointer[map[string]*target]
}

type judging struct{ Judges }

type sharing struct {
	budgets Budgets
	worth   func(method string) float64
}

// target is where the work of a method goes.
type target struct {
	pool   *backs
	method operator.Method
}

// backs is one pool. Its choices are guarded by mu.
type backs struct {
	name string
	log  *logrus.Entry

	mu      sync.Mutex
	set     operator.Pool
	choose  *pool.Pool
	tries   *retry.Policy
	waiting map[uint64]chan int // for a member, by id in the line
	nextID  uint64
	gone    bool // no longer in the file: what it has in hand ends there
	aside   []string
}

// lookEvery is how often members are looked at beside each RPC's own look: a tenth of the shortest wait in use.
const lookEvery = 20 * time.Millisecond

// New returns pools that serve nothing yet.
func New(seed uint64, log *logrus.Entry) *Backs {
	b := &Backs{log: log, seed: seed, pools: map[string]*backs{}}
	b.methods.Store(&map[string]*target{})
	return b
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// Set takes a file that has been checked, as a whole. Pools and members that stay keep their state and what they have
// in hand; what goes takes nothing new.
func (b *Backs) Set(f *operator.File) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now()
	for name, p := range b.pools {
		if _, stays := f.Pools[name]; !stays {
			p.mu.Lock()
			p.gone = true
			p.mu.Unlock()
			delete(b.pools, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Pools)) {
		set := f.Pools[name]
		if p := b.pools[name]; p != nil {
			p.mu.Lock()
			p.set = set
			p.choose.Set(at, set.Rules(), set.Members)
			p.choose.SetDraining(at, p.aside)
			p.tries.Set(set.RetryRules())
			p.hand(p.choose.Update(at))
			p.mu.Unlock()
			continue
		}
		b.pools[name] = &backs{
			name: name, log: b.log.WithField("pool", name), set: set, waiting: map[uint64]chan int{},
			choose: pool.New(set.Rules(), set.Members, b.seed, at), tries: retry.New(set.RetryRules(), b.seed, at),
		}
	}
	methods := map[string]*target{}
	for name, m := range f.Methods {
		methods[name] = &target{b.pools[m.Pool], m}
	}
	b.methods.Store(&methods)
	b.tellMembers()
}

// Share has further tries and calls in hand asked for at b, with the criticality of their method.
func (b *Backs) Share(budgets Budgets, worth func(method string) float64) {
	b.parts.Store(&sharing{budgets, worth})
}

// Judge has members go out of use and come back as j says, in pools that it judges.
func (b *Backs) Judge(j Judges) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judge.Store(&judging{j})
	b.tellMembers()
}

// tellMembers tells the judges whom there is to judge. It is called with the lock held.
func (b *Backs) tellMembers() {
	j := b.judge.Load()
	if j == nil {
		return
	}
	members, rules := map[string][]string{}, map[string]pool.Config{}
	for name, p := range b.pools {
		members[name], rules[name] = p.set.Members, p.set.Rules()
	}
	j.Members(members, func(name string) pool.Config { return rules[name] })
}

// Serves tells whether the work of a method is done here.
func (b *Backs) Serves(method string) bool { return (*b.methods.Load())[method] != nil }

// Runner has the work of the methods of the file done by their pools, and that of all others by engine. tokened and
// the like tell which methods may run twice.
func (b *Backs) Runner(engine gate.Runner, idempotent func(method string) bool) gate.Runner {
	return func(w gate.Work, done func(gate.Outcome, float64, []byte, []byte)) {
		t := (*b.methods.Load())[w.Method]
		if t == nil {
			engine(w, done)
			return
		}
		go t.run(w, idempotent(w.Method), b.parts.Load(), b.judge.Load(), done)
	}
}

// Serve looks after the members until ctx ends.
func (b *Backs) Serve(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
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
		j := b.judge.Load()
		for _, p := range all {
			p.tick(j)
		}
	}
}

// Aside has every pool leave the members alone that are drained, by pool, and no others. It returns those that it could not, as
// pool/member, and why.
func (b *Backs) Aside(drained map[string][]string) (cannot map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cannot = map[string]string{}
	for name, p := range b.pools {
		p.mu.Lock()
		p.aside = drained[name]
		for _, m := range p.choose.SetDraining(now(), p.aside) {
			cannot[name+"/"+m] = "all members of the pool are drained"
		}
		p.tell()
		p.mu.Unlock()
	}
	return cannot
}

func (p *backs) tick(j *judging) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	if j != nil {
		if all, judged := j.Verdicts(p.name); judged {
			p.choose.UseFleetDecisions(at, all, j.Takes)
		} else {
			p.choose.UseLocalDetection(at)
		}
	}
	p.hand(p.choose.Update(at))
	for _, id := range p.choose.DueHealthChecks(at) {
		addr, limit := p.choose.Addr(id), operator.Milliseconds(p.set.ConnectTimeoutMs)
		go func() {
			good := ping(addr, limit)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.choose.RecordHealthCheck(now(), id, good)
		}()
	}
	p.tell()
}

// tell logs what happened to members. It is called with the lock held.
func (p *backs) tell() {
	for _, e := range p.choose.Events() {
		if e.Reason == pool.NotEjected {
			p.log.WithField("member", e.Addr).Info("pool: member returned")
		} else {
			p.log.WithFields(logrus.Fields{"member": e.Addr, "why": e.Reason, "ms": e.Duration}).Warn("pool: member ejected")
		}
	}
}

// hand gives members to those that wait. It is called with the lock held.
func (p *backs) hand(grants []pool.Grant) {
	for _, g := range grants {
		p.waiting[g.ID] <- g.Member
		delete(p.waiting, g.ID)
	}
}

// State of a pool, for status and metrics.
type State struct {
	Name    string
	Members []pool.MemberState
	Waiting int
	Tries   retry.Counts
}

// States returns how all pools stand, by name.
func (b *Backs) States() (all []State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		p := b.pools[name]
		p.mu.Lock()
		all = append(all, State{name, p.choose.MemberStates(now()), p.choose.Queued(), p.tries.Counts()})
		p.mu.Unlock()
	}
	return all
}

// call takes one of the fleet's calls in hand at the pool, if these are shared, until it is ended.
func (x *sharing) call(pool string, w *gate.Work) (end func(*retry.Error), err *retry.Error) {
	if x == nil {
		return func(*retry.Error) {}, nil
	}
	if !x.budgets.Call(pool, x.worth(w.Method), w.Due-now()) {
		return nil, errShared
	}
	return func(err *retry.Error) {
		x.budgets.CallEnds(pool, err != nil && err.Progress > retry.NotSent, err != nil && err.TimedOut)
	}, nil
}

// run makes attempts until one has a result, or no further one is allowed.
func (t *target) run(w gate.Work, idempotent bool, parts *sharing, judge *judging, done func(gate.Outcome, float64, []byte, []byte)) {
	began := now()
	p := t.pool
	packet, noBody := t.packet(w)
	f := retry.FailedAttempt{Idempotent: idempotent}
	ran := false // some try may have run
	p.mu.Lock()
	p.tries.RecordFirstAttempt(began)
	p.mu.Unlock()
	var failed []int
	for {
		var member int
		var head, body []byte
		ends, err := parts.call(p.name, &w)
		if err == nil {
			if member, err = p.place(&w, failed, idempotent && f.Attempts == 0, judge); err != nil {
				ends(err)
			}
		}
		if err == nil {
			p.mu.Lock()
			at := now()
			f.TimeLeft, f.ExpectedLatency = w.Due-at, p.choose.MedianLatency()
			a := attempt{
				addr: p.choose.Addr(member), connect: operator.Milliseconds(min(p.set.ConnectTimeoutMs, f.TimeLeft)),
				until: time.Now().Add(operator.Milliseconds(p.tries.AttemptTimeout(f))), most: p.set.MaxAnswerBytes, noBody: noBody,
			}
			p.mu.Unlock()
			over := func() bool { return false }
			if judge != nil {
				over = judge.quiet(p.name, a.addr, f.ExpectedLatency)
			}
			head, body, err = a.do(packet, w.Body)
			told := over()
			how := pool.Succeeded
			if err != nil {
				how = pool.Failed
			}
			p.mu.Lock()
			end := now()
			p.hand(p.choose.Complete(end, member, how, end-at))
			p.tell()
			p.mu.Unlock()
			ends(err)
			if judge != nil && !(told && how == pool.Failed && err.RetryAfter == 0) { // it was told that it says nothing
				judge.saw(p.name, a.addr, err, end-at)
			}
		}
		if err == nil {
			done(gate.Succeeded, now()-began, head, body)
			return
		}
		f.Attempts++
		f.Progress, f.TimeLeft = err.Progress, w.Due-now()
		ran = ran || err.Progress >= retry.MayHaveRun
		if !err.NoCapacity {
			failed = append(failed, member)
			p.mu.Lock()
			f.ExpectedLatency = p.choose.MedianLatency()
			after, again := p.tries.Retry(now(), f)
			p.mu.Unlock()
			if again && parts != nil && !parts.budgets.Retry(p.name, parts.worth(w.Method)) {
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
			done(gate.Full, now()-began, nil, nil)
		}
		return
	}
}

var (
	errFull   = &retry.Error{Progress: retry.NotSent, Reason: "no member has room", NoCapacity: true}
	errShared = &retry.Error{Progress: retry.NotSent, Reason: "the fleet's calls to the pool are all in hand", NoCapacity: true}
	errGone   = &retry.Error{Progress: retry.NotSent, Reason: "the pool is no longer in use", NoCapacity: true}
)

// saw tells the judges how a try ended.
func (j *judging) saw(name, addr string, err *retry.Error, latency float64) {
	switch {
	case err == nil:
		j.Saw(name, addr, pool.Succeeded, latency)
	case err.RetryAfter > 0:
		j.Busy(name, addr, err.RetryAfter)
	default:
		j.Saw(name, addr, pool.Failed, latency)
	}
}

// stallSlack is by how many ms a timer may be late before its process is taken to have stalled meanwhile.
const stallSlack = 50.0

// quiet tells the judges of a try that has no answer long after the pool's usual time. Its end calls over, which says whether it
// was told. A process that has not run meanwhile judges nobody by that: it waits once more.
func (j *judging) quiet(name, addr string, usual float64) (over func() (told bool)) {
	late := evidence.Late(usual)
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
		case at-began > late+stallSlack:
			began = at
			timer.Reset(operator.Milliseconds(late))
		default:
			told = true
			j.Saw(name, addr, pool.Failed, at-began)
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
func (p *backs) place(w *gate.Work, avoid []int, mayProbe bool, judge *judging) (member int, err *retry.Error) {
	due := w.Due
	probe := ""
	if mayProbe && judge != nil {
		probe = judge.Probe(p.name)
	}
	p.mu.Lock()
	if p.gone {
		p.mu.Unlock()
		return 0, errGone
	}
	if probe != "" {
		if member, got := p.choose.AcquireEjected(now(), probe); got {
			p.mu.Unlock()
			return member, nil
		}
	}
	p.nextID++
	id := p.nextID
	member, got := p.choose.Acquire(now(), id, avoid, w.Caller)
	if got != pool.Queued {
		p.mu.Unlock()
		if got == pool.NoCapacity {
			return 0, errFull
		}
		return member, nil
	}
	mine := make(chan int, 1)
	p.waiting[id] = mine
	wait := operator.Milliseconds(max(0, min(p.set.QueueTimeoutMs, due-now())))
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
	if p.choose.CancelQueued(id) {
		delete(p.waiting, id)
		return 0, errFull
	}
	return <-mine, nil // it was granted meanwhile
}
