package control

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// This file drives the entry point with random settings and events, among them ones out of order, for unknown ids and twice,
// and checks the four rules after every event, as the wire's page states them.

// try is one RPC as the machine that carries the actions out knows it.
type try struct {
	id, group    uint32 // group: all tries of one tokened RPC
	method       int
	arrived, due float64
	kb           float64
	state        lifeState
	ran, over    bool // over: answered, or its caller has left
	since, until float64
	gives        float64 // when its call is given up
	calls        int
	joins        uint32
}

// lifeState is where a try is; that of the decisions is their own.
type lifeState int

const (
	isHeld lifeState = iota
	isRunning
	isPaused
	isStanding
	isCalling
	isJoined
)

type entry struct {
	id    uint32
	until float64
}

// machine carries out what an instance says and keeps account of the rules.
type machine struct {
	s        site
	c        *Controller
	chance   *rand.Rand
	now      float64
	tries    map[uint32]*try
	old      []uint32
	table    map[uint32]entry   // by group
	ranAt    map[uint32]float64 // arrival of the try of a group that ran last
	lastID   uint32
	wake     float64
	label    uint64
	began    float64
	notice   float64 // -1 for none
	stop     float64
	stalled  float64 // what falls due just after a stall may be answered after it
	broken   string
	answered int
	served   int
	running  int
	onCore   float64 // part of these that want a core, as the gauge has it; all may come back from disk at once
	crowds   []int   // running at each tick
	below    []span  // calls that have ended, as long as they stay below
	slow     float64 // times the usual that calls take
	sum      int     // of these, the last fallTime
}

const answerSlack = 60.0

func (m *machine) breaks(format string, a ...any) {
	if m.broken == "" {
		m.broken = fmt.Sprintf("at %.0f ms: ", m.now) + fmt.Sprintf(format, a...)
	}
}

// randomSite draws settings; what is missing, nothing or contradictory is among them.
func randomSite(r *rand.Rand) site {
	s := site{
		node: Node{
			Seed: r.Uint64(), WarmingUp: r.Intn(3) == 0, InitialSpeed: 0.2 + 0.3*r.Float64(), WarmUpTime: 20000 * r.Float64(), Cores: 1 + r.Intn(16),
			RunMemoryFactor: 1 + 15*r.Float64(), Tick: 4, Preemption: Preemption(r.Intn(3)),
		},
		fleet: Fleet{
			Peers: r.Intn(300), Callers: r.Intn(1000), MarksRetries: r.Intn(2) == 0, PropagatesDeadline: r.Intn(2) == 0, Feedback: FeedbackKind(r.Intn(4)),
			FeedbackTTL: 1000, IdleTimeout: 30000, MaxRetryAfter: float64(r.Intn(2)) * 1000, OverQuotaFraction: r.Float64(),
		},
		rules: Limits{DrainGrace: float64(r.Intn(4)) * 1000, MaxRunsPerCore: 2 + 6*r.Float64(), DisplaceableFor: float64(r.Intn(2)) * 200},
	}
	if r.Intn(3) == 0 {
		s.below = Dependency{ConcurrencyShare: 0.3 + 8*r.Float64()*r.Float64(), Linger: 200, AveragingWindow: 5000}
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
	const held = 30.0
	s.node.MemoryKB = held * s.node.RunMemoryFactor * float64(s.node.Cores) * (1.5 + 20*r.Float64()) // the run limit binds first or the memory does
	s.node.TokenKB = s.node.MemoryKB / 500 * r.Float64()
	return s
}

func newMachine(seed int64) *machine {
	r := rand.New(rand.NewSource(seed))
	s := randomSite(r)
	m := &machine{
		s: s, chance: r, tries: map[uint32]*try{}, table: map[uint32]entry{}, ranAt: map[uint32]float64{}, notice: -1,
		now: 1e6 * r.Float64(), onCore: r.Float64(), slow: 1,
	}
	m.began = m.now
	m.c = New(s.node, s.fleet, s.below, s.rules, s.methods, s.customers)
	m.give(Event{Kind: Started})
	return m
}

// give hands over one event and carries out what it brings.
func (m *machine) give(ev Event) {
	for _, a := range m.c.Handle(m.now, ev) {
		m.carryOut(a)
	}
	m.check()
}

func (m *machine) answer(t *try, how string) {
	if t.over {
		m.breaks("RPC %d %s, though it was over", t.id, how)
	}
	t.over = true
	m.answered++
}

func (m *machine) drop(t *try) {
	delete(m.tries, t.id)
	m.old = append(m.old, t.id)
}

func (m *machine) carryOut(a Action) {
	switch a.Kind {
	case SetTimer:
		m.wake, m.label = a.Time, a.Label
		return
	case SetHealth, SetFeedback, SetIdleTimeout, LogEvent:
		return
	}
	t := m.tries[a.RPC]
	if t == nil {
		if a.Kind != EvictToken {
			m.breaks("action %d for RPC %d, which is not here", a.Kind, a.RPC)
		}
		return
	}
	meth := &m.s.methods[t.method]
	switch a.Kind {
	case Run:
		if t.state != isHeld && t.state != isPaused || t.over {
			m.breaks("RPC %d run in state %d", t.id, t.state)
		}
		if t.ran && meth.Idempotency != Idempotent && t.state == isHeld {
			m.breaks("duplicate: RPC %d runs again after it was stopped", t.id)
		}
		if at, ran := m.ranAt[t.group]; meth.Idempotency == IdempotencyKeyed && ran && !t.ran && math.Abs(t.arrived-at) < meth.DedupWindow {
			m.breaks("duplicate: RPC %d runs within the window of its token", t.id)
		}
		if m.notice >= 0 && t.arrived > m.notice+m.s.rules.DrainGrace {
			m.breaks("drain: RPC %d, which arrived past the grace, runs", t.id)
		}
		if meth.Idempotency == IdempotencyKeyed {
			m.ranAt[t.group] = t.arrived
		}
		t.state, t.ran, t.since = isRunning, true, m.now
		t.until = m.now + meth.Deadline*0.4*m.chance.ExpFloat64()*m.chance.Float64()
		t.calls = 0
		if m.s.below.ConcurrencyShare > 0 && m.chance.Intn(2) == 0 {
			t.calls = 1 + m.chance.Intn(2)
		}
	case Reject:
		if t.ran && meth.Idempotency != Idempotent {
			m.breaks("duplicate: RPC %d is pushed back after it ran", t.id)
		}
		m.answer(t, "is pushed back")
		if t.state != isRunning {
			m.drop(t)
		}
	case Abort:
		m.answer(t, "is aborted")
		switch t.state {
		case isHeld, isPaused, isJoined:
			m.drop(t)
		case isStanding: // a call goes on until its own end
			t.until = m.now
		}
	case Preempt:
		if m.s.node.Preemption == PreemptNone {
			m.breaks("RPC %d is stopped, which can't be done here", t.id)
		}
		if t.state == isRunning {
			t.until, t.calls = m.now, -1 // its end is told as cancelled
		}
	case Call:
		if t.state != isStanding {
			m.breaks("RPC %d calls in state %d", t.id, t.state)
		}
		t.state, t.since, t.gives = isCalling, m.now, m.now+a.Time
		t.until = math.Min(t.gives, m.now+m.slow*60*m.chance.ExpFloat64())
	case SkipCall:
		if t.state != isStanding || meth.DegradedFraction == 0 {
			m.breaks("RPC %d goes on without its call in state %d", t.id, t.state)
		}
		t.state, t.until = isRunning, m.now+100*m.chance.Float64()
	case CacheToken:
		if meth.Idempotency == IdempotencyKeyed {
			m.table[t.group] = entry{t.id, m.now + a.Time}
		}
	case EvictToken:
		if e, there := m.table[t.group]; there && e.id == t.id {
			delete(m.table, t.group)
		}
	case Join:
		if t.joins == 0 || t.state != isHeld {
			m.breaks("RPC %d joins nothing, or in state %d", t.id, t.state)
		}
		t.state = isJoined
	}
}

// check is the rules that hold at each moment.
func (m *machine) check() {
	kb, running := 0.0, 0
	for _, t := range m.tries {
		switch t.state {
		case isHeld, isJoined:
			kb += t.kb
		case isRunning:
			running++
			fallthrough
		default:
			kb += t.kb * m.s.node.RunMemoryFactor
		}
		if !t.over && m.now > math.Max(t.due, m.stalled)+answerSlack {
			m.breaks("lost: RPC %d, due at %.0f, has no answer", t.id, t.due)
		}
		if !t.over && m.notice >= 0 && m.now >= m.stop && m.stalled < m.stop-200 {
			m.breaks("drain: RPC %d has no answer at the stop", t.id)
		}
	}
	for _, e := range m.table {
		if e.until > m.now {
			kb += m.s.node.TokenKB
		}
	}
	if kb > m.s.node.MemoryKB {
		m.breaks("fall-over: %.0f KB of %.0f", kb, m.s.node.MemoryKB)
	}
	m.running = running
}

// fallTime is what the crowd on the cores is averaged over, the shortest that a site has set.
const fallTime = 1500.0

// crowd is the rule on the running RPCs, in the mean of fallTime up to now.
func (m *machine) crowd() {
	m.crowds = append(m.crowds, m.running)
	m.sum += m.running
	n := int(fallTime / m.s.node.Tick)
	if len(m.crowds) > n {
		m.sum -= m.crowds[len(m.crowds)-1-n]
	}
	if over := m.s.below.AveragingWindow; over > 0 {
		sum := 0.0
		for _, t := range m.tries {
			if t.state == isCalling {
				sum += math.Max(0, math.Min(t.until, m.now)-math.Max(t.since, m.now-over))
			}
		}
		for _, s := range m.below {
			sum += math.Max(0, math.Min(s.to, m.now)-math.Max(s.from, m.now-over))
		}
		if most := m.s.below.ConcurrencyShare * over; sum > most+1e-6 {
			m.breaks("fall-over below: %.2f calls in the mean, %.2f is the share", sum/over, m.s.below.ConcurrencyShare)
		}
	}
	speed := 1.0
	if m.s.node.WarmingUp && m.s.node.WarmUpTime > 0 {
		speed = math.Min(1, m.s.node.InitialSpeed+(1-m.s.node.InitialSpeed)*(m.now-m.began)/m.s.node.WarmUpTime)
	}
	if mean, most := float64(m.sum)/float64(n), float64(m.s.node.Cores)*(1+(m.s.rules.MaxRunsPerCore-1)*speed); mean > most {
		m.breaks("fall-over: %.1f running in the mean, %.1f survived", mean, most)
	}
}

func (m *machine) arrive() {
	m.lastID++
	method := m.chance.Intn(len(m.s.methods))
	meth := &m.s.methods[method]
	t := &try{id: m.lastID, group: m.lastID, method: method, kb: 10 + 40*m.chance.Float64()}
	waited := 0.0
	if m.chance.Intn(20) == 0 {
		waited = meth.Deadline * m.chance.Float64()
	}
	t.arrived = m.now - waited
	ev := Event{
		Kind: Arrived, RPC: t.id, Method: method, Customer: m.chance.Intn(4), Caller: uint16(m.chance.Intn(50)), Age: waited, QueuedKB: t.kb,
		Retry: m.chance.Intn(8) == 0, CostHint: float64(m.chance.Intn(2)) * 100 * m.chance.Float64(),
	}
	t.due = math.Max(t.arrived+meth.Deadline, m.now)
	if m.s.fleet.PropagatesDeadline {
		ev.Remaining = meth.Deadline * m.chance.Float64()
		t.due = m.now + ev.Remaining
	}
	if meth.Idempotency == IdempotencyKeyed && m.chance.Intn(3) == 0 && len(m.ranAt)+len(m.table) > 0 { // a repeat of a late one
		t.group = m.lastID - min(m.lastID-1, uint32(1+m.chance.Intn(200)))
		if o := m.tries[t.group]; o != nil && o.method != method {
			t.group = t.id
		}
	}
	t.group = t.group*8 + uint32(method)
	if e, there := m.table[t.group]; meth.Idempotency == IdempotencyKeyed && there && t.arrived < e.until {
		ev.DuplicateOf, t.joins = e.id, e.id
	}
	m.tries[t.id] = t
	m.give(ev)
}

// ends tells of all that is over by now.
func (m *machine) ends() {
	for id := uint32(1); id <= m.lastID; id++ {
		t := m.tries[id]
		if t == nil || m.now < t.until || t.state == isHeld || t.state == isPaused {
			continue
		}
		switch t.state {
		case isRunning:
			if t.calls > 0 && !t.over {
				t.calls--
				t.state = isStanding
				m.give(Event{Kind: AwaitingCall, RPC: id})
				continue
			}
			outcome := OutcomeOK
			if t.calls < 0 {
				outcome = OutcomeCancelled
			} else if t.calls > 0 {
				outcome = OutcomeCancelled // at a call, as it is over
			} else if m.chance.Intn(20) == 0 {
				outcome = OutcomeError
			}
			if t.calls < 0 && !t.over { // stopped and still owed
				t.state = isHeld
				if m.s.node.Preemption == PreemptSuspend {
					t.state = isPaused
				}
				m.give(Event{Kind: Completed, RPC: id, Outcome: OutcomeCancelled, Elapsed: m.now - t.since})
				continue
			}
			if !t.over {
				m.answer(t, "ends")
				m.served++
			}
			m.drop(t)
			m.give(Event{Kind: Completed, RPC: id, Outcome: outcome, Elapsed: m.now - t.since})
		case isStanding:
			if t.over {
				m.drop(t)
				m.give(Event{Kind: Completed, RPC: id, Outcome: OutcomeCancelled, Elapsed: m.now - t.since})
			}
		case isCalling:
			m.below = append(m.below, span{t.since, t.until}) // told late after a stall
			outcome := [...]Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK, OutcomeError, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable, OutcomeReset}[m.chance.Intn(10)]
			if m.now >= t.gives {
				outcome = OutcomeTimedOut
			}
			if outcome == OutcomeTimedOut || outcome == OutcomeReset {
				m.below[len(m.below)-1].to += m.s.below.Linger
			}
			spent := t.until - t.since
			if t.over {
				t.state, t.until = isStanding, m.now
				m.give(Event{Kind: CallCompleted, RPC: id, Outcome: outcome, Elapsed: spent})
				m.drop(t)
				m.give(Event{Kind: Completed, RPC: id, Outcome: OutcomeCancelled, Elapsed: m.now - t.since})
				continue
			}
			t.state, t.until = isStanding, m.now
			if outcome == OutcomeOK {
				t.state, t.until = isRunning, m.now+100*m.chance.Float64()
			}
			m.give(Event{Kind: CallCompleted, RPC: id, Outcome: outcome, Elapsed: spent})
		case isJoined:
			if m.tries[t.joins] == nil {
				m.answer(t, "ends joined")
				m.drop(t)
				m.give(Event{Kind: Completed, RPC: id, Outcome: OutcomeOK, Elapsed: 1})
			}
		}
	}
}

// oddity is an event that makes no sense, or a caller that leaves.
func (m *machine) oddity() {
	some := func() uint32 {
		switch m.chance.Intn(3) {
		case 0:
			return m.lastID + 1000 // never heard of
		case 1:
			if len(m.old) > 0 {
				return m.old[m.chance.Intn(len(m.old))]
			}
		}
		return 0
	}
	switch m.chance.Intn(6) {
	case 0:
		m.give(Event{Kind: Completed, RPC: some(), Outcome: OutcomeOK, Elapsed: -1})
	case 1:
		m.give(Event{Kind: CallCompleted, RPC: some(), Outcome: OutcomeRejected})
	case 2:
		m.give(Event{Kind: AwaitingCall, RPC: some()})
	case 3:
		m.give(Event{Kind: CallerGone, RPC: some()})
	case 4: // a call that nobody made, of one that is held
		for id := range m.lastID {
			if t := m.tries[id]; t != nil && t.state == isHeld {
				m.give(Event{Kind: CallCompleted, RPC: id, Outcome: OutcomeOK})
				m.give(Event{Kind: AwaitingCall, RPC: id})
				break
			}
		}
	case 5:
		for id := range m.lastID {
			t := m.tries[id]
			if t == nil || t.over || m.chance.Intn(4) > 0 {
				continue
			}
			t.over = true
			switch t.state {
			case isHeld, isPaused, isJoined:
				m.drop(t)
			case isStanding:
				t.until = m.now
			}
			m.give(Event{Kind: CallerGone, RPC: id, Outcome: []Outcome{OutcomeError, OutcomeReset}[m.chance.Intn(2)]})
			break
		}
	}
}

// play lives through some seconds and returns what broke.
func (m *machine) play(ms float64) string {
	end := m.now + ms
	rate := float64(m.s.node.Cores) * (0.2 + 3*m.chance.Float64()) / 200 // arrivals a ms
	notice := math.Inf(1)
	if m.chance.Intn(2) == 0 {
		notice = m.now + ms*m.chance.Float64()
	}
	for m.now < end && m.broken == "" {
		m.now += m.s.node.Tick
		if m.chance.Intn(2000) == 0 { // the machine stands still
			m.now += 1000 * m.chance.Float64()
			m.stalled = m.now
		}
		if m.now >= notice && m.notice < 0 {
			m.notice, m.stop = m.now, m.now+200+4000*m.chance.Float64()
			m.give(Event{Kind: DrainNotice, Remaining: m.stop - m.now})
		}
		if m.notice >= 0 && m.now >= m.stop {
			m.check()
			break
		}
		if m.chance.Intn(1000) == 0 {
			m.slow = 1 + 10*m.chance.Float64()*float64(m.chance.Intn(2))
		}
		if m.now >= m.wake {
			g := Gauges{Stale: m.chance.Intn(5) == 0, CPUUtilization: m.chance.Float64(), Runnable: m.onCore * float64(m.running)}
			m.give(Event{Kind: TimerFired, Label: m.label, Gauges: g})
		}
		m.ends()
		m.crowd()
		if m.chance.Intn(50) == 0 {
			m.oddity()
		}
		for n := rate * m.s.node.Tick * m.chance.ExpFloat64(); n > m.chance.Float64(); n-- {
			m.arrive()
		}
	}
	return m.broken
}

// No settings and no order of events break a rule or make the instance panic.
func TestRules(t *testing.T) {
	const cases = 300
	answered, served := 0, 0
	for seed := range int64(cases) {
		m := newMachine(seed)
		if broken := m.play(4000); broken != "" {
			t.Errorf("seed %d: %s; %+v", seed, broken, m.s)
		}
		answered, served = answered+m.answered, served+m.served
	}
	if served < answered/20 {
		t.Errorf("%d of %d served: the test tries nothing", served, answered)
	}
	t.Logf("%d answered, %d of them served", answered, served)
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) {
		if broken := newMachine(seed).play(3000); broken != "" {
			t.Error(broken)
		}
	})
}
