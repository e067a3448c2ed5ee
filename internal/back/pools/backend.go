package pools

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/pool"
	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// backend is a pool of application servers.
type backend struct {
	name string
	log  *logrus.Entry

	mu       sync.Mutex // guards the fields below, including all calls of balancer and retries
	config   operator.Pool
	balancer *pool.Pool
	retries  *retry.Policy
	queued   map[uint64]chan int // by request ID: receives the granted member; buffered, so that a grant does not block
	lastID   uint64              // last request ID passed to the balancer
	removed  bool                // the pool was removed from the operator's file: requests in flight still end there
	draining []string            // addresses of the members that are drained
}

// The errors of a pool without capacity for a run.
var (
	errNoCapacity  = &retry.Error{Progress: retry.NotSent, Reason: "no member has capacity", NoCapacity: true}
	errFleetQuota  = &retry.Error{Progress: retry.NotSent, Reason: "the fleet's budget of calls to the pool is used up", NoCapacity: true}
	errPoolRemoved = &retry.Error{Progress: retry.NotSent, Reason: "the pool was removed", NoCapacity: true}
)

func newBackend(name string, config operator.Pool, seed uint64, now float64, log *logrus.Entry) *backend {
	return &backend{
		name:     name,
		log:      log.WithField("pool", name),
		config:   config,
		balancer: pool.New(config.Rules(), config.Members, seed, now),
		retries:  retry.New(config.RetryRules(), seed, now),
		queued:   map[uint64]chan int{},
	}
}

func (p *backend) set(now float64, config operator.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = config
	p.balancer.Set(now, config.Rules(), config.Members)
	p.balancer.SetDraining(now, p.draining)
	p.retries.Set(config.RetryRules())
	p.deliver(p.balancer.Update(now))
}

func (p *backend) remove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = true
}

// setDraining replaces the set of drained members and returns those that could not be drained.
func (p *backend) setDraining(members []string) (refused []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = members
	refused = p.balancer.SetDraining(nowMs(), members)
	p.logEvents()
	return refused
}

// update applies the fleet's decisions, if there are any, and starts the health checks that are due.
func (p *backend) update(d *detector) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := nowMs()
	if d != nil {
		if decisions, ok := d.Decisions(p.name); ok {
			p.balancer.UseFleetDecisions(now, decisions, d.Admits)
		} else {
			p.balancer.UseLocalDetection(now)
		}
	}
	p.deliver(p.balancer.Update(now))
	for _, member := range p.balancer.DueHealthChecks(now) {
		addr := p.balancer.Addr(member)
		timeout := operator.Milliseconds(p.config.ConnectTimeoutMs)
		go p.checkHealth(member, addr, timeout) // returns within twice the timeout
	}
	p.logEvents()
}

func (p *backend) checkHealth(member int, addr string, timeout time.Duration) {
	healthy := ping(addr, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.RecordHealthCheck(nowMs(), member, healthy)
}

// logEvents logs ejections and returns of members. The caller must hold mu.
func (p *backend) logEvents() {
	for _, e := range p.balancer.Events() {
		if e.Reason == pool.NotEjected {
			p.log.WithField("member", e.Addr).Info("pool.member_returned")
			continue
		}
		p.log.WithFields(logrus.Fields{
			"member":      e.Addr,
			"reason":      e.Reason,
			"duration_ms": e.Duration,
		}).Warn("pool.member_ejected")
	}
}

// deliver passes granted members to the queued requests. The caller must hold mu.
func (p *backend) deliver(grants []pool.Grant) {
	for _, g := range grants {
		p.queued[g.ID] <- g.Member
		delete(p.queued, g.ID)
	}
}

func (p *backend) state() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{
		Name:     p.name,
		Members:  p.balancer.MemberStates(nowMs()),
		Queued:   p.balancer.Queued(),
		Attempts: p.retries.Counts(),
	}
}

// acquire waits for a member with capacity, up to the queue timeout or the due time of the request. It prefers members that are
// not in avoid. trial is the address of an ejected member that is tried first, "" for none.
func (p *backend) acquire(request *gate.RunRequest, avoid []int, trial string) (member int, err *retry.Error) {
	p.mu.Lock()
	if p.removed {
		p.mu.Unlock()
		return 0, errPoolRemoved
	}
	if trial != "" {
		if member, granted := p.balancer.AcquireEjected(nowMs(), trial); granted {
			p.mu.Unlock()
			return member, nil
		}
	}
	p.lastID++
	id := p.lastID
	member, placement := p.balancer.Acquire(nowMs(), id, avoid, request.Caller)
	if placement != pool.Queued {
		p.mu.Unlock()
		if placement == pool.NoCapacity {
			return 0, errNoCapacity
		}
		return member, nil
	}
	granted := make(chan int, 1)
	p.queued[id] = granted
	timeout := operator.Milliseconds(max(0, min(p.config.QueueTimeoutMs, request.DueMs-nowMs())))
	p.mu.Unlock()
	return p.await(id, granted, timeout)
}

// await waits for the member that is granted to a queued request.
func (p *backend) await(id uint64, granted <-chan int, timeout time.Duration) (member int, err *retry.Error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case member = <-granted:
		return member, nil
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.balancer.CancelQueued(id) {
		delete(p.queued, id)
		return 0, errNoCapacity
	}
	return <-granted, nil // the member was granted after the timeout
}
