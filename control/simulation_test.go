package control

import (
	"math"
	"math/rand"
)

// This file owns a node that performs the actions of an instance on a virtual clock, with random settings and events.

// attempt is one RPC as the node that performs the actions knows it.
type attempt struct {
	id, group         uint32 // group: all attempts of one RPC with an idempotency token
	method            int
	arrived, deadline float64
	memoryKB          float64
	state             attemptState
	ran, done         bool // done: answered, or its caller is gone
	since, until      float64
	callDeadline      float64 // when its call is given up
	calls             int
	joinsRPC          uint32
}

// attemptState is what an attempt is doing on the node; the decisions keep their own.
type attemptState int

const (
	isQueued attemptState = iota
	isRunning
	isSuspended
	isAwaitingCall
	isCalling
	isJoined
)

type tokenEntry struct {
	rpc       uint32
	expiresAt float64
}

// simulatedNode performs the actions of an instance and keeps account of the rules.
type simulatedNode struct {
	setup            setup
	controller       *Controller
	random           *rand.Rand
	now              float64
	attempts         map[uint32]*attempt
	finished         []uint32
	tokens           map[uint32]tokenEntry // by group
	ranAt            map[uint32]float64    // arrival of the attempt of a group that ran last
	lastID           uint32
	nextTimer        float64
	label            uint64
	startedAt        float64
	noticeAt         float64 // -1 for none
	stopAt           float64
	stalledUntil     float64 // what falls due just after a stall may be answered after it
	violation        string
	answered         int
	served           int
	running          int
	runnableFraction float64 // part of these that want a core, as the gauge has it; all may come back from disk at once
	runningHistory   []int   // running at each tick
	calls            []span  // calls that have ended, until they leave the dependency
	callSlowdown     float64 // times the usual that calls take
	runningSum       int     // of these, over the last overloadWindow
}

// randomSetup draws settings; what is missing, nothing or contradictory is among them.
func randomSetup(r *rand.Rand) setup {
	s := setup{
		node: Node{
			Seed: r.Uint64(), WarmingUp: r.Intn(3) == 0, InitialSpeed: 0.2 + 0.3*r.Float64(), WarmUpTime: 20000 * r.Float64(), Cores: 1 + r.Intn(16),
			RunMemoryFactor: 1 + 15*r.Float64(), Tick: 4, Preemption: Preemption(r.Intn(3)),
		},
		fleet: Fleet{
			Peers: r.Intn(300), Callers: r.Intn(1000), MarksRetries: r.Intn(2) == 0, PropagatesDeadline: r.Intn(2) == 0, Feedback: FeedbackKind(r.Intn(4)),
			FeedbackTTL: 1000, IdleTimeout: 30000, MaxRetryAfter: float64(r.Intn(2)) * 1000, OverQuotaFraction: r.Float64(),
		},
		limits: Limits{DrainGrace: float64(r.Intn(4)) * 1000, MaxRunsPerCore: 2 + 6*r.Float64(), DisplaceableFor: float64(r.Intn(2)) * 200},
	}
	if r.Intn(3) == 0 {
		s.dependency = Dependency{ConcurrencyShare: 0.3 + 8*r.Float64()*r.Float64(), Linger: 200, AveragingWindow: 5000}
	}
	for range 1 + r.Intn(4) {
		target := 60 * math.Exp(4.5*r.Float64()) // up to some seconds
		s.methods = append(s.methods, Method{
			Idempotency: Idempotency(r.Intn(3)), LatencyObjective: target * float64(min(1, r.Intn(12))), Deadline: math.Max(200, target*(0.8+3*r.Float64())),
			DedupWindow: float64(r.Intn(3)) * 8000 * r.Float64(), Criticality: float64(r.Intn(6)), LateFraction: 0.2 * float64(r.Intn(2)),
			DegradedFraction: 0.5 * float64(r.Intn(2)),
		})
	}
	for range r.Intn(4) {
		s.customers = append(s.customers, Customer{Quota: float64(r.Intn(3)) * 50})
	}
	const queuedKB = 30.0
	// Either the run limit or the memory binds first.
	s.node.MemoryKB = queuedKB * s.node.RunMemoryFactor * float64(s.node.Cores) * (1.5 + 20*r.Float64())
	s.node.TokenKB = s.node.MemoryKB / 500 * r.Float64()
	return s
}

func newSimulatedNode(seed int64) *simulatedNode {
	r := rand.New(rand.NewSource(seed))
	s := randomSetup(r)
	m := &simulatedNode{
		setup: s, random: r, attempts: map[uint32]*attempt{}, tokens: map[uint32]tokenEntry{}, ranAt: map[uint32]float64{}, noticeAt: -1,
		now: 1e6 * r.Float64(), runnableFraction: r.Float64(), callSlowdown: 1,
	}
	m.startedAt = m.now
	m.controller = New(s.config())
	m.handle(Event{Kind: Started})
	return m
}

// handle hands over one event and performs the actions that answer it.
func (m *simulatedNode) handle(ev Event) {
	for _, a := range m.controller.Handle(m.now, ev) {
		m.perform(a)
	}
	m.check()
}

// answer notes a final answer.
func (m *simulatedNode) answer(t *attempt, how string) {
	if t.done {
		m.violate("RPC %d %s, though it was over", t.id, how)
	}
	t.done = true
	m.answered++
}

// drop forgets an attempt that is over.
func (m *simulatedNode) drop(t *attempt) {
	delete(m.attempts, t.id)
	m.finished = append(m.finished, t.id)
}

// perform carries out one action, and tests the rules that it may break.
func (m *simulatedNode) perform(a Action) {
	switch a.Kind {
	case SetTimer:
		m.nextTimer, m.label = a.Time, a.Label
		return
	case SetHealth, SetFeedback, SetIdleTimeout, LogEvent:
		return
	}
	t := m.attempts[a.RPC]
	if t == nil {
		if a.Kind != EvictToken {
			m.violate("action %d for RPC %d, which is not here", a.Kind, a.RPC)
		}
		return
	}
	meth := &m.setup.methods[t.method]
	switch a.Kind {
	case Run:
		m.performRun(t, meth)
	case Reject:
		if t.ran && meth.Idempotency != Idempotent {
			m.violate("duplicate: RPC %d is rejected after it ran", t.id)
		}
		m.answer(t, "is rejected")
		if t.state != isRunning {
			m.drop(t)
		}
	case Abort:
		m.answer(t, "is aborted")
		switch t.state {
		case isQueued, isSuspended, isJoined:
			m.drop(t)
		case isAwaitingCall: // a call goes on until its own end
			t.until = m.now
		}
	case Preempt:
		if m.setup.node.Preemption == PreemptNone {
			m.violate("RPC %d is stopped, which can't be done here", t.id)
		}
		if t.state == isRunning {
			t.until, t.calls = m.now, -1 // its end is reported as cancelled
		}
	case Call:
		if t.state != isAwaitingCall {
			m.violate("RPC %d calls in state %d", t.id, t.state)
		}
		t.state, t.since, t.callDeadline = isCalling, m.now, m.now+a.Time
		t.until = math.Min(t.callDeadline, m.now+m.callSlowdown*60*m.random.ExpFloat64())
	case SkipCall:
		if t.state != isAwaitingCall || meth.DegradedFraction == 0 {
			m.violate("RPC %d goes on without its call in state %d", t.id, t.state)
		}
		t.state, t.until = isRunning, m.now+100*m.random.Float64()
	case CacheToken:
		if meth.Idempotency == IdempotencyKeyed {
			m.tokens[t.group] = tokenEntry{t.id, m.now + a.Time}
		}
	case EvictToken:
		if e, there := m.tokens[t.group]; there && e.rpc == t.id {
			delete(m.tokens, t.group)
		}
	case Join:
		if t.joinsRPC == 0 || t.state != isQueued {
			m.violate("RPC %d joins nothing, or in state %d", t.id, t.state)
		}
		t.state = isJoined
	}
}

// performRun starts or resumes a run and draws its length and its calls.
func (m *simulatedNode) performRun(t *attempt, meth *Method) {
	if t.state != isQueued && t.state != isSuspended || t.done {
		m.violate("RPC %d run in state %d", t.id, t.state)
	}
	if t.ran && meth.Idempotency != Idempotent && t.state == isQueued {
		m.violate("duplicate: RPC %d runs again after it was stopped", t.id)
	}
	at, ran := m.ranAt[t.group]
	if meth.Idempotency == IdempotencyKeyed && ran && !t.ran && math.Abs(t.arrived-at) < meth.DedupWindow {
		m.violate("duplicate: RPC %d runs within the window of its token", t.id)
	}
	if m.noticeAt >= 0 && t.arrived > m.noticeAt+m.setup.limits.DrainGrace {
		m.violate("drain: RPC %d, which arrived past the grace, runs", t.id)
	}
	if meth.Idempotency == IdempotencyKeyed {
		m.ranAt[t.group] = t.arrived
	}
	t.state, t.ran, t.since = isRunning, true, m.now
	t.until = m.now + meth.Deadline*0.4*m.random.ExpFloat64()*m.random.Float64()
	t.calls = 0
	if m.setup.dependency.ConcurrencyShare > 0 && m.random.Intn(2) == 0 {
		t.calls = 1 + m.random.Intn(2)
	}
}

// arrive has an attempt arrive, which may duplicate an earlier one.
func (m *simulatedNode) arrive() {
	m.lastID++
	method := m.random.Intn(len(m.setup.methods))
	meth := &m.setup.methods[method]
	t := &attempt{id: m.lastID, group: m.lastID, method: method, memoryKB: 10 + 40*m.random.Float64()}
	waited := 0.0
	if m.random.Intn(20) == 0 {
		waited = meth.Deadline * m.random.Float64()
	}
	t.arrived = m.now - waited
	ev := Event{
		Kind: Arrived, RPC: t.id, Method: method, Customer: m.random.Intn(4), Caller: uint16(m.random.Intn(50)), Age: waited, QueuedKB: t.memoryKB,
		Retry: m.random.Intn(8) == 0, CostHint: float64(m.random.Intn(2)) * 100 * m.random.Float64(),
	}
	t.deadline = math.Max(t.arrived+meth.Deadline, m.now)
	if m.setup.fleet.PropagatesDeadline {
		ev.Remaining = meth.Deadline * m.random.Float64()
		t.deadline = m.now + ev.Remaining
	}
	if meth.Idempotency == IdempotencyKeyed && m.random.Intn(3) == 0 && len(m.ranAt)+len(m.tokens) > 0 { // a duplicate of a late one
		t.group = m.lastID - min(m.lastID-1, uint32(1+m.random.Intn(200)))
		if o := m.attempts[t.group]; o != nil && o.method != method {
			t.group = t.id
		}
	}
	t.group = t.group*8 + uint32(method)
	if e, there := m.tokens[t.group]; meth.Idempotency == IdempotencyKeyed && there && t.arrived < e.expiresAt {
		ev.DuplicateOf, t.joinsRPC = e.rpc, e.rpc
	}
	m.attempts[t.id] = t
	m.handle(ev)
}

// completeDue reports all that is over by now.
func (m *simulatedNode) completeDue() {
	for id := uint32(1); id <= m.lastID; id++ {
		t := m.attempts[id]
		if t == nil || m.now < t.until || t.state == isQueued || t.state == isSuspended {
			continue
		}
		switch t.state {
		case isRunning:
			m.completeRun(t)
		case isAwaitingCall:
			if t.done {
				m.drop(t)
				m.handle(Event{Kind: Completed, RPC: id, Outcome: OutcomeCancelled, Elapsed: m.now - t.since})
			}
		case isCalling:
			m.completeCall(t)
		case isJoined:
			if m.attempts[t.joinsRPC] == nil {
				m.answer(t, "ends joined")
				m.drop(t)
				m.handle(Event{Kind: Completed, RPC: id, Outcome: OutcomeOK, Elapsed: 1})
			}
		}
	}
}

// completeRun ends a run, or has it come to its next call.
func (m *simulatedNode) completeRun(t *attempt) {
	if t.calls > 0 && !t.done {
		t.calls--
		t.state = isAwaitingCall
		m.handle(Event{Kind: AwaitingCall, RPC: t.id})
		return
	}
	outcome := OutcomeOK
	if t.calls < 0 {
		outcome = OutcomeCancelled
	} else if t.calls > 0 {
		outcome = OutcomeCancelled // at a call, as it is over
	} else if m.random.Intn(20) == 0 {
		outcome = OutcomeError
	}
	if t.calls < 0 && !t.done { // stopped and still owed
		t.state = isQueued
		if m.setup.node.Preemption == PreemptSuspend {
			t.state = isSuspended
		}
		m.handle(Event{Kind: Completed, RPC: t.id, Outcome: OutcomeCancelled, Elapsed: m.now - t.since})
		return
	}
	if !t.done {
		m.answer(t, "ends")
		m.served++
	}
	m.drop(t)
	m.handle(Event{Kind: Completed, RPC: t.id, Outcome: outcome, Elapsed: m.now - t.since})
}

// callOutcomes are drawn from evenly: half of the calls succeed.
var callOutcomes = [...]Outcome{
	OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK,
	OutcomeError, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable, OutcomeReset,
}

// completeCall ends a call.
func (m *simulatedNode) completeCall(t *attempt) {
	m.calls = append(m.calls, span{t.since, t.until}) // reported late after a stall
	outcome := callOutcomes[m.random.Intn(len(callOutcomes))]
	if m.now >= t.callDeadline {
		outcome = OutcomeTimedOut
	}
	if outcome == OutcomeTimedOut || outcome == OutcomeReset {
		m.calls[len(m.calls)-1].to += m.setup.dependency.Linger
	}
	spent := t.until - t.since
	if t.done {
		t.state, t.until = isAwaitingCall, m.now
		m.handle(Event{Kind: CallCompleted, RPC: t.id, Outcome: outcome, Elapsed: spent})
		m.drop(t)
		m.handle(Event{Kind: Completed, RPC: t.id, Outcome: OutcomeCancelled, Elapsed: m.now - t.since})
		return
	}
	t.state, t.until = isAwaitingCall, m.now
	if outcome == OutcomeOK {
		t.state, t.until = isRunning, m.now+100*m.random.Float64()
	}
	m.handle(Event{Kind: CallCompleted, RPC: t.id, Outcome: outcome, Elapsed: spent})
}

// oddEvent raises an event that makes no sense, or has a caller leave.
func (m *simulatedNode) oddEvent() {
	some := func() uint32 {
		switch m.random.Intn(3) {
		case 0:
			return m.lastID + 1000 // never heard of
		case 1:
			if len(m.finished) > 0 {
				return m.finished[m.random.Intn(len(m.finished))]
			}
		}
		return 0
	}
	switch m.random.Intn(6) {
	case 0:
		m.handle(Event{Kind: Completed, RPC: some(), Outcome: OutcomeOK, Elapsed: -1})
	case 1:
		m.handle(Event{Kind: CallCompleted, RPC: some(), Outcome: OutcomeRejected})
	case 2:
		m.handle(Event{Kind: AwaitingCall, RPC: some()})
	case 3:
		m.handle(Event{Kind: CallerGone, RPC: some()})
	case 4: // a call that nobody made, of one that is queued
		for id := range m.lastID {
			if t := m.attempts[id]; t != nil && t.state == isQueued {
				m.handle(Event{Kind: CallCompleted, RPC: id, Outcome: OutcomeOK})
				m.handle(Event{Kind: AwaitingCall, RPC: id})
				break
			}
		}
	case 5:
		for id := range m.lastID {
			t := m.attempts[id]
			if t == nil || t.done || m.random.Intn(4) > 0 {
				continue
			}
			t.done = true
			switch t.state {
			case isQueued, isSuspended, isJoined:
				m.drop(t)
			case isAwaitingCall:
				t.until = m.now
			}
			m.handle(Event{Kind: CallerGone, RPC: id, Outcome: []Outcome{OutcomeError, OutcomeReset}[m.random.Intn(2)]})
			break
		}
	}
}

// run simulates some seconds and returns the first violation.
func (m *simulatedNode) run(ms float64) string {
	end := m.now + ms
	rate := float64(m.setup.node.Cores) * (0.2 + 3*m.random.Float64()) / 200 // arrivals a ms
	notice := math.Inf(1)
	if m.random.Intn(2) == 0 {
		notice = m.now + ms*m.random.Float64()
	}
	for m.now < end && m.violation == "" {
		m.now += m.setup.node.Tick
		if m.random.Intn(2000) == 0 { // the machine stands still
			m.now += 1000 * m.random.Float64()
			m.stalledUntil = m.now
		}
		if m.now >= notice && m.noticeAt < 0 {
			m.noticeAt, m.stopAt = m.now, m.now+200+4000*m.random.Float64()
			m.handle(Event{Kind: DrainNotice, Remaining: m.stopAt - m.now})
		}
		if m.noticeAt >= 0 && m.now >= m.stopAt {
			m.check()
			break
		}
		if m.random.Intn(1000) == 0 {
			m.callSlowdown = 1 + 10*m.random.Float64()*float64(m.random.Intn(2))
		}
		if m.now >= m.nextTimer {
			g := Gauges{Stale: m.random.Intn(5) == 0, CPUUtilization: m.random.Float64(), Runnable: m.runnableFraction * float64(m.running)}
			m.handle(Event{Kind: TimerFired, Label: m.label, Gauges: g})
		}
		m.completeDue()
		m.checkRunLimit()
		if m.random.Intn(50) == 0 {
			m.oddEvent()
		}
		for n := rate * m.setup.node.Tick * m.random.ExpFloat64(); n > m.random.Float64(); n-- {
			m.arrive()
		}
	}
	return m.violation
}
