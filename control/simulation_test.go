package control

import (
	"math"
	"math/rand"
)

// This file implements a simulated node that performs the actions of a Controller on a virtual clock, with random
// settings and events.

// attempt is the simulated node's state of one RPC. Its times are clock values in ms.
type attempt struct {
	id, group         uint32 // group is shared by all attempts with the same idempotency token
	method            int
	arrived, deadline float64
	memoryKB          float64
	state             attemptState
	ran, done         bool    // done: the attempt is answered, or its caller is gone
	since, until      float64 // start and end of the current run or call
	callDeadline      float64 // when its call times out
	calls             int     // calls still to be made; -1 if the run was preempted
	joinsRPC          uint32  // the RPC that it duplicates; 0 for none
}

// attemptState is the state of an attempt on the simulated node. The Controller has a state of its own.
type attemptState int

const (
	isQueued attemptState = iota
	isRunning
	isSuspended
	isAwaitingCall
	isCalling
	isJoined
)

// tokenEntry is a cached idempotency token.
type tokenEntry struct {
	rpc       uint32
	expiresAt float64
}

// simulatedNode performs the actions of a Controller and checks the invariants.
type simulatedNode struct {
	setup            setup
	controller       *Controller
	random           *rand.Rand
	now              float64
	attempts         map[uint32]*attempt
	finished         []uint32              // RPCs that are no longer in attempts
	tokens           map[uint32]tokenEntry // by group
	ranAt            map[uint32]float64    // by group: arrival of the attempt that ran last
	lastID           uint32
	nextTimer        float64
	label            uint64
	startedAt        float64
	noticeAt         float64 // -1 for none
	stopAt           float64
	stalledUntil     float64 // end of the latest stall; an answer due shortly after it may be late
	violation        string
	answered         int
	served           int
	running          int
	runnableFraction float64 // fraction of the running RPCs that need a core, for the gauge; all may return from disk at once
	runningHistory   []int   // number of running RPCs at each tick
	calls            []span  // ended calls, including their time at the dependency after they were abandoned
	callSlowdown     float64 // factor of the duration of calls
	runningSum       int     // sum of runningHistory over the last overloadWindow
}

// randomSetup returns random settings, including missing, zero and contradictory values.
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
		objective := 60 * math.Exp(4.5*r.Float64()) // up to a few seconds
		s.methods = append(s.methods, Method{
			Idempotency: Idempotency(r.Intn(3)), LatencyObjective: objective * float64(min(1, r.Intn(12))), Deadline: math.Max(200, objective*(0.8+3*r.Float64())),
			DedupWindow: float64(r.Intn(3)) * 8000 * r.Float64(), Criticality: float64(r.Intn(6)), LateFraction: 0.2 * float64(r.Intn(2)),
			DegradedFraction: 0.5 * float64(r.Intn(2)),
		})
	}
	for range r.Intn(4) {
		s.customers = append(s.customers, Customer{Quota: float64(r.Intn(3)) * 50})
	}
	const queuedKB = 30.0
	// Depending on the drawn value, the run limit or the memory limit is reached first.
	s.node.MemoryKB = queuedKB * s.node.RunMemoryFactor * float64(s.node.Cores) * (1.5 + 20*r.Float64())
	s.node.TokenKB = s.node.MemoryKB / 500 * r.Float64()
	return s
}

// newSimulatedNode returns a node with random settings whose Controller has been started.
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

// handle passes one event to the Controller and performs the resulting actions.
func (m *simulatedNode) handle(ev Event) {
	for _, a := range m.controller.Handle(m.now, ev) {
		m.perform(a)
	}
	m.check()
}

// answer records a final answer. description is used in the message of a violation.
func (m *simulatedNode) answer(att *attempt, description string) {
	if att.done {
		m.violate("RPC %d %s after it was answered or its caller was gone", att.id, description)
	}
	att.done = true
	m.answered++
}

// drop removes an attempt that is finished.
func (m *simulatedNode) drop(att *attempt) {
	delete(m.attempts, att.id)
	m.finished = append(m.finished, att.id)
}

// perform performs one action and checks the invariants that it may violate.
func (m *simulatedNode) perform(a Action) {
	switch a.Kind {
	case SetTimer:
		m.nextTimer, m.label = a.Time, a.Label
		return
	case SetHealth, SetFeedback, SetIdleTimeout, LogEvent:
		return
	}
	att := m.attempts[a.RPC]
	if att == nil {
		if a.Kind != EvictToken {
			m.violate("action %d for RPC %d, which is not in flight", a.Kind, a.RPC)
		}
		return
	}
	meth := &m.setup.methods[att.method]
	switch a.Kind {
	case Run:
		m.performRun(att, meth)
	case Reject:
		if att.ran && meth.Idempotency != Idempotent {
			m.violate("duplicate: RPC %d is rejected after it ran", att.id)
		}
		m.answer(att, "is rejected")
		if att.state != isRunning {
			m.drop(att)
		}
	case Abort:
		m.answer(att, "is aborted")
		switch att.state {
		case isQueued, isSuspended, isJoined:
			m.drop(att)
		case isAwaitingCall: // a call continues until it ends
			att.until = m.now
		}
	case Preempt:
		if m.setup.node.Preemption == PreemptNone {
			m.violate("RPC %d is preempted, but runs cannot be preempted", att.id)
		}
		if att.state == isRunning {
			att.until, att.calls = m.now, -1 // the end of the run is reported as cancelled
		}
	case Call:
		if att.state != isAwaitingCall {
			m.violate("RPC %d makes a call in state %d", att.id, att.state)
		}
		att.state, att.since, att.callDeadline = isCalling, m.now, m.now+a.Time
		att.until = math.Min(att.callDeadline, m.now+m.callSlowdown*60*m.random.ExpFloat64())
	case SkipCall:
		if att.state != isAwaitingCall || meth.DegradedFraction == 0 {
			m.violate("RPC %d skips its call, but the call is not optional or the state is %d", att.id, att.state)
		}
		att.state, att.until = isRunning, m.now+100*m.random.Float64()
	case CacheToken:
		if meth.Idempotency == IdempotencyKeyed {
			m.tokens[att.group] = tokenEntry{att.id, m.now + a.Time}
		}
	case EvictToken:
		if e, ok := m.tokens[att.group]; ok && e.rpc == att.id {
			delete(m.tokens, att.group)
		}
	case Join:
		if att.joinsRPC == 0 || att.state != isQueued {
			m.violate("RPC %d joins without an original, or in state %d", att.id, att.state)
		}
		att.state = isJoined
	}
}

// performRun starts or resumes a run with a random duration and a random number of calls.
func (m *simulatedNode) performRun(att *attempt, meth *Method) {
	if att.state != isQueued && att.state != isSuspended || att.done {
		m.violate("RPC %d is run in state %d, or after it was answered", att.id, att.state)
	}
	if att.ran && meth.Idempotency != Idempotent && att.state == isQueued {
		m.violate("duplicate: RPC %d runs again after it was preempted", att.id)
	}
	ranAt, ran := m.ranAt[att.group]
	if meth.Idempotency == IdempotencyKeyed && ran && !att.ran && math.Abs(att.arrived-ranAt) < meth.DedupWindow {
		m.violate("duplicate: RPC %d runs again within the deduplication window", att.id)
	}
	if m.noticeAt >= 0 && att.arrived > m.noticeAt+m.setup.limits.DrainGrace {
		m.violate("drain: RPC %d runs although it arrived after the grace period", att.id)
	}
	if meth.Idempotency == IdempotencyKeyed {
		m.ranAt[att.group] = att.arrived
	}
	att.state, att.ran, att.since = isRunning, true, m.now
	att.until = m.now + meth.Deadline*0.4*m.random.ExpFloat64()*m.random.Float64()
	att.calls = 0
	if m.setup.dependency.ConcurrencyShare > 0 && m.random.Intn(2) == 0 {
		att.calls = 1 + m.random.Intn(2)
	}
}

// arrive sends the arrival of an attempt, which may duplicate an earlier one.
func (m *simulatedNode) arrive() {
	m.lastID++
	method := m.random.Intn(len(m.setup.methods))
	meth := &m.setup.methods[method]
	att := &attempt{id: m.lastID, group: m.lastID, method: method, memoryKB: 10 + 40*m.random.Float64()}
	age := 0.0
	if m.random.Intn(20) == 0 {
		age = meth.Deadline * m.random.Float64()
	}
	att.arrived = m.now - age
	ev := Event{
		Kind: Arrived, RPC: att.id, Method: method, Customer: m.random.Intn(4), Caller: uint16(m.random.Intn(50)), Age: age, QueuedKB: att.memoryKB,
		Retry: m.random.Intn(8) == 0, CostHint: float64(m.random.Intn(2)) * 100 * m.random.Float64(),
	}
	att.deadline = math.Max(att.arrived+meth.Deadline, m.now)
	if m.setup.fleet.PropagatesDeadline {
		ev.Remaining = meth.Deadline * m.random.Float64()
		att.deadline = m.now + ev.Remaining
	}
	if meth.Idempotency == IdempotencyKeyed && m.random.Intn(3) == 0 && len(m.ranAt)+len(m.tokens) > 0 { // a duplicate of a recent RPC
		att.group = m.lastID - min(m.lastID-1, uint32(1+m.random.Intn(200)))
		if original := m.attempts[att.group]; original != nil && original.method != method {
			att.group = att.id
		}
	}
	att.group = att.group*8 + uint32(method)
	if e, ok := m.tokens[att.group]; meth.Idempotency == IdempotencyKeyed && ok && att.arrived < e.expiresAt {
		ev.DuplicateOf, att.joinsRPC = e.rpc, e.rpc
	}
	m.attempts[att.id] = att
	m.handle(ev)
}

// completeDue reports the runs, calls and joins that have ended by now.
func (m *simulatedNode) completeDue() {
	for id := uint32(1); id <= m.lastID; id++ {
		att := m.attempts[id]
		if att == nil || m.now < att.until || att.state == isQueued || att.state == isSuspended {
			continue
		}
		switch att.state {
		case isRunning:
			m.completeRun(att)
		case isAwaitingCall:
			if att.done {
				m.drop(att)
				m.handle(Event{Kind: Completed, RPC: id, Outcome: OutcomeCancelled, Elapsed: m.now - att.since})
			}
		case isCalling:
			m.completeCall(att)
		case isJoined:
			if m.attempts[att.joinsRPC] == nil {
				m.answer(att, "ends a join")
				m.drop(att)
				m.handle(Event{Kind: Completed, RPC: id, Outcome: OutcomeOK, Elapsed: 1})
			}
		}
	}
}

// completeRun ends a run, or reports that it has reached its next call.
func (m *simulatedNode) completeRun(att *attempt) {
	if att.calls > 0 && !att.done {
		att.calls--
		att.state = isAwaitingCall
		m.handle(Event{Kind: AwaitingCall, RPC: att.id})
		return
	}
	outcome := OutcomeOK
	if att.calls < 0 {
		outcome = OutcomeCancelled
	} else if att.calls > 0 {
		outcome = OutcomeCancelled // answered before its remaining calls
	} else if m.random.Intn(20) == 0 {
		outcome = OutcomeError
	}
	if att.calls < 0 && !att.done { // preempted, but not answered yet
		att.state = isQueued
		if m.setup.node.Preemption == PreemptSuspend {
			att.state = isSuspended
		}
		m.handle(Event{Kind: Completed, RPC: att.id, Outcome: OutcomeCancelled, Elapsed: m.now - att.since})
		return
	}
	if !att.done {
		m.answer(att, "ends")
		m.served++
	}
	m.drop(att)
	m.handle(Event{Kind: Completed, RPC: att.id, Outcome: outcome, Elapsed: m.now - att.since})
}

// callOutcomes are the outcomes of calls, drawn with equal probability: half of the calls succeed.
var callOutcomes = [...]Outcome{
	OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK,
	OutcomeError, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable, OutcomeReset,
}

// completeCall ends a call with a random outcome.
func (m *simulatedNode) completeCall(att *attempt) {
	m.calls = append(m.calls, span{att.since, att.until}) // the end may be reported late after a stall
	outcome := callOutcomes[m.random.Intn(len(callOutcomes))]
	if m.now >= att.callDeadline {
		outcome = OutcomeTimedOut
	}
	if outcome == OutcomeTimedOut || outcome == OutcomeReset {
		m.calls[len(m.calls)-1].to += m.setup.dependency.Linger
	}
	elapsed := att.until - att.since
	if att.done {
		att.state, att.until = isAwaitingCall, m.now
		m.handle(Event{Kind: CallCompleted, RPC: att.id, Outcome: outcome, Elapsed: elapsed})
		m.drop(att)
		m.handle(Event{Kind: Completed, RPC: att.id, Outcome: OutcomeCancelled, Elapsed: m.now - att.since})
		return
	}
	att.state, att.until = isAwaitingCall, m.now
	if outcome == OutcomeOK {
		att.state, att.until = isRunning, m.now+100*m.random.Float64()
	}
	m.handle(Event{Kind: CallCompleted, RPC: att.id, Outcome: outcome, Elapsed: elapsed})
}

// invalidEvent sends an event that is invalid in the current state, or the departure of a caller.
func (m *simulatedNode) invalidEvent() {
	randomID := func() uint32 {
		switch m.random.Intn(3) {
		case 0:
			return m.lastID + 1000 // an RPC that never arrived
		case 1:
			if len(m.finished) > 0 {
				return m.finished[m.random.Intn(len(m.finished))]
			}
		}
		return 0
	}
	switch m.random.Intn(6) {
	case 0:
		m.handle(Event{Kind: Completed, RPC: randomID(), Outcome: OutcomeOK, Elapsed: -1})
	case 1:
		m.handle(Event{Kind: CallCompleted, RPC: randomID(), Outcome: OutcomeRejected})
	case 2:
		m.handle(Event{Kind: AwaitingCall, RPC: randomID()})
	case 3:
		m.handle(Event{Kind: CallerGone, RPC: randomID()})
	case 4: // the end of a call that was not made, for a queued RPC
		for id := range m.lastID {
			if att := m.attempts[id]; att != nil && att.state == isQueued {
				m.handle(Event{Kind: CallCompleted, RPC: id, Outcome: OutcomeOK})
				m.handle(Event{Kind: AwaitingCall, RPC: id})
				break
			}
		}
	case 5:
		for id := range m.lastID {
			att := m.attempts[id]
			if att == nil || att.done || m.random.Intn(4) > 0 {
				continue
			}
			att.done = true
			switch att.state {
			case isQueued, isSuspended, isJoined:
				m.drop(att)
			case isAwaitingCall:
				att.until = m.now
			}
			m.handle(Event{Kind: CallerGone, RPC: id, Outcome: []Outcome{OutcomeError, OutcomeReset}[m.random.Intn(2)]})
			break
		}
	}
}

// run simulates the given time and returns the first violation, or an empty string.
func (m *simulatedNode) run(ms float64) string {
	end := m.now + ms
	rate := float64(m.setup.node.Cores) * (0.2 + 3*m.random.Float64()) / 200 // arrivals per ms
	noticeAt := math.Inf(1)
	if m.random.Intn(2) == 0 {
		noticeAt = m.now + ms*m.random.Float64()
	}
	for m.now < end && m.violation == "" {
		m.now += m.setup.node.Tick
		if m.random.Intn(2000) == 0 { // a stall of the machine
			m.now += 1000 * m.random.Float64()
			m.stalledUntil = m.now
		}
		if m.now >= noticeAt && m.noticeAt < 0 {
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
			m.invalidEvent()
		}
		for n := rate * m.setup.node.Tick * m.random.ExpFloat64(); n > m.random.Float64(); n-- {
			m.arrive()
		}
	}
	return m.violation
}
