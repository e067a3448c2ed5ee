// Package world is a simulator of a whole fleet on a virtual clock: servers that run the project's own decisions (the gate
// with control/, decision/health), their engines, callers with the routers' habits, and a network with faults. One seed gives
// one run, whatever the machine. It is where each shared state and each agreement is to be found wanting before it is
// believed; it must never be taken for a measurement of processes, and never decide anything that the servers decide.
package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/standin/script"
)

// Options are those of one run. Times are ms.
type Options struct {
	Servers         int
	FleetSize       int // servers that know one another; 0 for all. Records bound a fleet at 4,096
	Zones           int // 0 for one
	Seed            uint64
	DurationMs      float64
	Script          script.Script
	RatePerServer   float64         // RPCs a second for each server; 0 for none, and no gates
	Cores           int             // of each engine
	MeanWorkMs      float64         // mean of an RPC's
	SlowStartMs     float64         // length of a ramp
	Checkers        []Checker       // nil: all
	HealthRules     health.Config   // zero: the usual ones
	MaxClockDrift   float64         // clocks' rates differ by up to so much; 0 for the usual 1e-3, negative for none
	CheckIntervalMs float64         // between two looks of the checkers; 0 for the usual
	SingleAttempt   bool            // callers try once, at a server drawn for each RPC
	Quota           *QuotaOptions   // that the servers share; nil for none
	Backends        *BackendOptions // a pool below them; nil for none
	SettleTimeoutMs float64         // after the last act, until views are to be whole; 0 for the usual

	injected injectedFault // a fault in a module, for tests of the checkers
}

// plant is a fault that only tests put in.
type injectedFault int

const (
	noInjectedFault     injectedFault = iota
	staleAfterStall                   // a server that wakes goes by its old knowledge
	silenceIsDeparture                // who falls silent is off the roster
	neverAliveAgain                   // who was lost is never heard again
	duplicateAnswers                  // now and then
	missingAnswers                    // now and then
	duplicateRuns                     // a repeated token now and then
	skipLeaseQuarantine               // who starts takes nothing for lent
)

// The usual figures: clocks of machines differ by less than 1e-3; views have settled 20 s after the last fault, which is
// twice what a detector takes at most with 30 servers, and joining again.
const (
	defaultClockDrift = 1e-3
	defaultSettleMs   = 20e3
	healthTickMs      = 100.0
	joinIntervalMs    = 1000.0
	joinAttempts      = 20 // looks at a stream that stands still
	checkIntervalMs   = 500.0
	maxQueuedPackets  = 300 // packets that a stopped process's socket holds
	wallEpochMs       = 1_700_000_000_000
)

// server is one.
type server struct {
	index        int32
	fleetFirst   int32 // the first of its fleet, and how many that has
	fleetSize    int32
	name         string
	zone         string
	up           bool
	stopped      bool
	draining     bool
	stopAt       float64 // when it ends, while it drains
	incarnation  uint32  // of its process, counted over the run: larger is later
	rand         *rand.Rand
	clockRate    float64 // of its clock
	clockSetAt   float64 // world's ms at which its clock showed base
	clockBase    float64
	wallOffset   float64 // steps of its wall clock
	lastTickAt   float64 // local
	muted        bool
	health       *health.Detector
	detector     detector
	queuedEvents []event
	nextJoinAt   float64
	downAt       float64
	stalls       int // that it found
	heartbeats   uint32
	rpcServer
	quotaParticipant
	backendClient

	neverAlive map[int32]bool // of a planted fault
	resumedAt  float64        // world's ms when it last woke or started
}

// Simulation is one run.
type Simulation struct {
	options     Options
	now         float64
	queue       queue
	servers     []server
	network     network
	rand        *rand.Rand
	packets     []packet
	freePackets []int32
	callers
	quotaState
	backendState
	script     script.Script
	lastStepAt float64
	checkers   []Checker
	findings   []Finding
	result     Result
	digest     *xxhash.Digest
}

// Result is what a run came to.
type Result struct {
	Digest         uint64 // over all that was observed
	Events         uint64
	Findings       []Finding
	CasesByChecker map[string]int // cases, by checker
	SettledMs      float64        // ms after the last act from which all views were whole; negative for never
	Network        struct{ Delivered, Dropped uint64 }
	Offered        int
	OK             int
	Rejected       int
	Failed         int // aborted, or no answer
	Attempts       int
	ServedWeight   float64 // criticality served, and offered
	OfferedWeight  float64
	FinalStates    []health.ClusterState
}

// Finding is one thing that a checker found wrong.
type Finding struct {
	AtMs    float64 // ms
	Checker string
	Message string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: at %.1f s: %s", f.Checker, f.AtMs/1000, f.Message)
}

// maxFindings are kept of a run: the first tell the cause.
const maxFindings = 20

// AddFinding notes one.
func (sim *Simulation) AddFinding(checker, format string, a ...any) {
	if len(sim.findings) < maxFindings {
		sim.findings = append(sim.findings, Finding{sim.now, checker, fmt.Sprintf(format, a...)})
	}
}

// ServerNames are those of servers, as scripts have them.
func ServerNames(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("n", i))
	}
	return all
}

// New lays out a run.
func New(o Options) *Simulation {
	if o.HealthRules == (health.Config{}) {
		o.HealthRules = health.DefaultConfig
		o.HealthRules.ExpectedServers = o.Servers
		if o.FleetSize > 0 {
			o.HealthRules.ExpectedServers = 0
		}
	}
	if o.MaxClockDrift == 0 {
		o.MaxClockDrift = defaultClockDrift
	}
	if o.SettleTimeoutMs == 0 {
		o.SettleTimeoutMs = defaultSettleMs
	}
	sim := &Simulation{options: o, digest: xxhash.New(), script: o.Script, checkers: o.Checkers, rand: rand.New(rand.NewPCG(o.Seed, 1))}
	sim.network.rand = rand.New(rand.NewPCG(o.Seed, 2))
	if sim.checkers == nil {
		sim.checkers = AllCheckers()
	}
	sim.servers = make([]server, o.Servers)
	zones := max(1, o.Zones)
	for i, name := range ServerNames(o.Servers) {
		s := &sim.servers[i]
		s.index, s.name, s.zone = int32(i), name, fmt.Sprint("z", i%zones)
		if s.fleetSize = int32(o.Servers); o.FleetSize > 0 {
			s.fleetFirst = int32(i / o.FleetSize * o.FleetSize)
			s.fleetSize = min(int32(o.FleetSize), int32(o.Servers)-s.fleetFirst)
		}
		s.rand = rand.New(rand.NewPCG(o.Seed, uint64(100+i)))
		s.clockRate = 1 + max(0, o.MaxClockDrift)*(2*s.rand.Float64()-1)
		s.detector.checkTarget = -1
		sim.startProcess(s)
	}
	for k, x := range sim.script {
		at := float64(x.At) / 1e6
		sim.queue.put(event{at: at, kind: eventScriptStep, server: -1, subject: int32(k)})
		sim.lastStepAt = max(sim.lastStepAt, at)
	}
	if o.CheckIntervalMs == 0 {
		o.CheckIntervalMs = checkIntervalMs
	}
	for at := o.CheckIntervalMs; at <= o.DurationMs; at += o.CheckIntervalMs {
		sim.queue.put(event{at: at, kind: eventCheck, server: -1})
	}
	sim.startCallers()
	sim.startQuotaLoad()
	sim.startBackendLoad()
	return sim
}

// localClock is a server's own monotonic clock.
func (sim *Simulation) localClock(s *server) float64 {
	return s.clockBase + (sim.now-s.clockSetAt)*s.clockRate
}

// wallClock is its wall clock.
func (sim *Simulation) wallClock(s *server) float64 {
	return wallEpochMs + sim.localClock(s) + s.wallOffset
}

// scheduleAfter sets an event of a server's process after a while of its own clock.
func (sim *Simulation) scheduleAfter(s *server, d float64, k eventKind, a, b int32) {
	sim.queue.put(event{at: sim.now + d/s.clockRate, kind: k, server: s.index, subject: a, detail: b, incarnation: s.incarnation})
}

// startProcess starts a server's process, which knows nobody.
func (sim *Simulation) startProcess(s *server) {
	s.clockBase, s.clockSetAt = 1000*s.rand.Float64(), sim.now
	s.up, s.stopped, s.draining, s.muted = true, false, false, false
	s.incarnation++
	s.resumedAt = sim.now
	s.queuedEvents = s.queuedEvents[:0]
	s.detector.version = 0
	sim.resetDetector(s)
	s.detector.checkTarget = -1
	now := sim.localClock(s)
	s.health = health.New(sim.options.HealthRules, s.name, s.zone, now, sim.wallClock(s))
	s.lastTickAt, s.nextJoinAt = now, now
	sim.scheduleAfter(s, healthTickMs*s.rand.Float64(), eventHealthTick, 0, 0)
	sim.scheduleAfter(s, healthCheckIntervalMs*s.rand.Float64(), eventHealthCheck, 0, 0)
	sim.scheduleAfter(s, heartbeatMs*s.rand.Float64(), eventHeartbeat, 0, 0)
	sim.scheduleAfter(s, pushPullIntervalMs*(0.5+s.rand.Float64()), eventPushPull, 0, 0)
	sim.startGate(s)
	sim.startQuota(s)
	sim.startBackendClient(s)
}

// endProcess ends it.
func (sim *Simulation) endProcess(s *server) {
	if !s.up {
		return
	}
	sim.breakConnections(s)
	s.up, s.downAt = false, sim.now
	s.incarnation++ // what is under way for it is void
	sim.stopGate(s)
}

// awake is as internal/fleet has it: false once the server has stalled, until its detector begins anew.
func (sim *Simulation) awake(s *server) bool {
	if s.muted {
		return false
	}
	if sim.localClock(s)-s.lastTickAt >= sim.options.HealthRules.StallThreshold && sim.options.injected != staleAfterStall {
		s.muted = true
	}
	return !s.muted
}

// healthTick is one of the fleet's part, as internal/fleet's loop does it.
func (sim *Simulation) healthTick(s *server) {
	sim.scheduleAfter(s, healthTickMs, eventHealthTick, 0, 0)
	muted := !sim.awake(s)
	now := sim.localClock(s)
	if sim.options.injected == staleAfterStall {
		s.health.Tick(s.lastTickAt+healthTickMs, wallEpochMs) // as if no time had passed
		s.health.Tick(now, wallEpochMs+now-s.lastTickAt)
	} else if s.health.Tick(now, sim.wallClock(s)) || muted {
		s.health.Reset(now)
		s.stalls++
		sim.suspendQuota(s)
		sim.observe(10, s.index, 0)
		sim.resetDetector(s)
		s.detector.checkTarget = -1
		s.muted, s.lastTickAt, s.nextJoinAt = false, now, now
		s.resumedAt = sim.now
		return
	}
	s.lastTickAt = now
	if s.detector.aliveCount > 0 && s.health.InboundTimedOut(now) { // as internal/fleet: it hears nobody
		s.health.Reset(now)
		sim.resetDetector(s)
		s.detector.checkTarget, s.nextJoinAt = -1, now
	}
	if now >= s.nextJoinAt {
		s.nextJoinAt = now + joinIntervalMs*(0.75+0.5*s.rand.Float64())
		if s.health.State(now) != health.Complete {
			sim.joinPeers(s)
		}
	}
}

// joinPeers tries two of those on the roster that are silent, and of the seeds on which nobody heard is: the first three names.
func (sim *Simulation) joinPeers(s *server) {
	n := int(s.fleetSize)
	tried := 0
	from := s.rand.IntN(n)
	for k := 0; k < n && tried < 2; k++ {
		p := s.fleetFirst + int32((from+k)%n)
		st := s.detector.members[p-s.fleetFirst].state
		found := st == alive || st == suspect
		if p == s.index || !s.health.NeedsRejoin(sim.servers[p].name) && (found || p-s.fleetFirst >= 3) {
			continue
		}
		tried++
		sim.scheduleAfter(s, 3*networkDelayMs, eventJoin, p, 0)
	}
}

// What the servers' own code hears of the detector, as internal/fleet hands it on.

func (sim *Simulation) onAlive(s *server, p int32, life uint32) {
	now := sim.localClock(s)
	o := &sim.servers[p]
	s.health.AddMember(now, o.name, o.zone, 0, 0)
	if sim.options.injected == neverAliveAgain && s.neverAlive[p] {
		return
	}
	s.health.MarkAlive(now, o.name)
	sim.observe(1, s.index, p)
}

func (sim *Simulation) onKnown(s *server, p int32, life uint32) {
	if p == s.index {
		return
	}
	if m := &s.detector.members[p-s.fleetFirst]; m.state == unknown {
		*m = member{state: dead, incarnation: life}
		o := &sim.servers[p]
		s.health.AddMember(sim.localClock(s), o.name, o.zone, 0, 0)
	}
}

func (sim *Simulation) onLost(s *server, p int32, how memberState) {
	name, now := sim.servers[p].name, sim.localClock(s)
	sim.observe(2, s.index, p)
	if how == left || sim.options.injected == silenceIsDeparture {
		s.health.MarkDeparted(now, name, 0, health.Left)
		return
	}
	if sim.options.injected == neverAliveAgain {
		if s.neverAlive == nil {
			s.neverAlive = map[int32]bool{}
		}
		s.neverAlive[p] = true
	}
	s.health.MarkSuspect(now, name)
}

func (sim *Simulation) onPacketFrom(s *server, from int32) {
	s.health.RecordMessage(sim.localClock(s), sim.servers[from].name)
}

func (sim *Simulation) onAnswered(s *server, from int32) {
	s.health.RecordAck(sim.localClock(s), sim.servers[from].name)
}

// declaredDead tells the checkers that a server itself calls another dead.
func (sim *Simulation) declaredDead(s *server, p int32, x *suspicion) {
	for _, c := range sim.checkers {
		if j, is := c.(deathObserver); is {
			j.declaredDead(sim, s, p, x)
		}
	}
}

// sendPacket puts a packet on its way.
func (sim *Simulation) sendPacket(s *server, p packet) {
	if !sim.awake(s) {
		return
	}
	p.from = s.index
	first, again := sim.network.transmit(s.index, p.to)
	if first < 0 {
		sim.carry(s, nil) // what it carried counts as sent
		return
	}
	for k, d := range [2]float64{first, again} {
		if d < 0 {
			continue
		}
		var at int32
		if n := len(sim.freePackets); n > 0 {
			at = sim.freePackets[n-1]
			sim.freePackets = sim.freePackets[:n-1]
		} else {
			sim.packets = append(sim.packets, packet{})
			at = int32(len(sim.packets) - 1)
		}
		x := &sim.packets[at]
		news := x.updates[:0]
		*x = p
		if k == 0 {
			x.updates = sim.carry(s, news)
		} else {
			x.updates = news
		}
		sim.queue.put(event{at: sim.now + d, kind: eventPacket, server: p.to, subject: at})
	}
}

func (sim *Simulation) carry(s *server, into []update) []update { return s.detector.takeUpdates(into) }

// observe adds to the digest: what, who, whom, and when.
func (sim *Simulation) observe(what byte, a, b int32) {
	x := math.Float64bits(sim.now)
	var buf [17]byte
	buf[0] = what
	for i := range 8 {
		buf[1+i] = byte(x >> (8 * i))
	}
	for i := range 4 {
		buf[9+i], buf[13+i] = byte(a>>(8*i)), byte(b>>(8*i))
	}
	sim.digest.Write(buf[:])
}

// Run lets the whole length pass and tells what came of it.
func (sim *Simulation) Run() *Result {
	for sim.queue.len() > 0 && sim.queue.heap[0].at <= sim.options.DurationMs {
		e := sim.queue.take()
		sim.now = e.at
		sim.result.Events++
		sim.dispatch(&e)
	}
	sim.now = sim.options.DurationMs
	r := &sim.result
	for _, c := range sim.checkers {
		c.Finish(sim)
		if r.CasesByChecker == nil {
			r.CasesByChecker = map[string]int{}
		}
		if r.CasesByChecker[c.Name()] = c.Cases(); c.Cases() == 0 && c.MustHaveCases(sim) {
			sim.AddFinding(c.Name(), "saw no case")
		}
	}
	for i := range sim.servers {
		s := &sim.servers[i]
		if s.up && !s.stopped {
			st := s.health.State(sim.localClock(s))
			r.FinalStates = append(r.FinalStates, st)
			sim.observe(20, s.index, int32(st))
		}
	}
	r.Findings, r.Digest = sim.findings, sim.digest.Sum64()
	r.Network.Delivered, r.Network.Dropped = sim.network.delivered, sim.network.dropped
	return r
}

func (sim *Simulation) dispatch(e *event) {
	if e.server >= 0 {
		s := &sim.servers[e.server]
		if e.kind == eventPacket {
			if s.up && s.stopped {
				if len(s.queuedEvents) < maxQueuedPackets {
					s.queuedEvents = append(s.queuedEvents, *e)
				} else {
					sim.freePackets = append(sim.freePackets, e.subject)
				}
				return
			}
			if s.up {
				p := sim.packets[e.subject] // a copy: the place may move while it is taken
				sim.receivePacket(s, &p)
			}
			sim.freePackets = append(sim.freePackets, e.subject)
			return
		}
		if e.incarnation != s.incarnation || !s.up {
			return
		}
		if s.stopped && e.kind != eventJobDone {
			s.queuedEvents = append(s.queuedEvents, *e)
			return
		}
		switch e.kind {
		case eventHealthTick:
			sim.healthTick(s)
		case eventGateTick:
			sim.gateTick(s)
		case eventHealthCheck:
			sim.startHealthCheck(s)
		case eventHealthCheckTimeout:
			sim.healthCheckTimeout(s, e.subject, e.detail)
		case eventHealthCheckEnd:
			sim.finishHealthCheck(s, e.subject, e.detail)
		case eventSuspicionTimeout:
			sim.suspicionTimeout(s, e.subject, uint32(e.detail))
		case eventHeartbeat:
			sim.sendHeartbeat(s)
		case eventGossipRound:
			sim.gossipRound(s)
		case eventPushPull:
			sim.scheduleAfter(s, pushPullIntervalMs*math.Max(1, math.Ceil(math.Log2(float64(s.fleetSize))-5)+1), eventPushPull, 0, 0)
			if peers, n := sim.randomPeers(s, 1, -1); n == 1 {
				sim.pushPull(s, &sim.servers[peers[0]])
			}
		case eventJoin:
			// A stream through a cut stands still for a second, and goes on if the cut heals before.
			if !sim.pushPull(s, &sim.servers[e.subject]) && e.detail < joinAttempts && sim.servers[e.subject].up {
				sim.scheduleAfter(s, joinIntervalMs/joinAttempts, eventJoin, e.subject, e.detail+1)
			}
		case eventAnswerDue:
			sim.checkAnswered(s, e.subject, e.detail)
		case eventJobDone:
			sim.finishJobs(s, e.subject)
		case eventQuotaTick:
			sim.quotaTick(s)
		case eventQuotaRequest:
			sim.requestQuota(s, e.subject)
		case eventBackendTick:
			sim.backendTick(s)
		}
		return
	}
	switch e.kind {
	case eventQuotaArrival:
		sim.quotaArrival()
	case eventBackendCall:
		sim.backendCall()
	case eventAttemptLate:
		sim.attemptLate(e.subject, e.detail)
	case eventAttemptDone:
		sim.finishAttempt(e.subject, e.detail)
	case eventCountEjections:
		sim.countEjections()
	case eventDrainDeadline:
		sim.finishDrain(&sim.servers[e.subject], e.incarnation)
	case eventScriptStep:
		sim.applyStep(&sim.script[e.subject])
	case eventCheck:
		for _, c := range sim.checkers {
			c.Check(sim)
		}
	default:
		sim.dispatchCallerEvent(e)
	}
}

// resumeProcess has all happen that was held while a process was stopped: its timers and what lay in its socket, in their order.
func (sim *Simulation) resumeProcess(s *server) {
	if !s.up || !s.stopped {
		return
	}
	s.stopped = false
	s.resumedAt = sim.now
	held := s.queuedEvents
	s.queuedEvents = nil
	for _, e := range held {
		e.at = sim.now
		sim.queue.put(e)
	}
	sim.resumeGate(s)
}

// applyStep carries out a step of the script.
func (sim *Simulation) applyStep(x *script.Step) {
	sim.observe(30, int32(len(x.Action)), 0)
	numbers := func(names []string) (all []int32) {
		if names == nil {
			for i := range sim.servers {
				all = append(all, int32(i))
			}
		}
		for _, name := range names {
			var i int32
			fmt.Sscanf(name, "n%d", &i)
			all = append(all, i)
		}
		return all
	}
	add := func(r networkRule) { sim.network.rules = append(sim.network.rules, r) }
	ways := func(r networkRule) {
		from, to := script.ParseDirection(x.Args[0])
		if from != nil {
			r.from = newServerSet(len(sim.servers), numbers(from))
		}
		if to != nil {
			r.to = newServerSet(len(sim.servers), numbers(to))
		}
		add(r)
	}
	each := func(f func(s *server)) {
		for _, i := range numbers(script.ParseNames(x.Args[0])) {
			f(&sim.servers[i])
		}
	}
	switch x.Action {
	case "split":
		sets := script.ParseSets(x.Args[0])
		for i := range sets {
			for k := range sets {
				if i != k {
					add(networkRule{cut: true, from: newServerSet(len(sim.servers), numbers(sets[i])), to: newServerSet(len(sim.servers), numbers(sets[k]))})
				}
			}
		}
	case "cut":
		ways(networkRule{cut: true})
	case "loss":
		ways(networkRule{dropRate: x.NumberArg(1)})
	case "mess":
		ways(networkRule{disturbRate: x.NumberArg(1)})
	case "delay":
		ways(networkRule{delayMs: float64(x.DurationArg(1)) / 1e6, jitterMs: float64(x.DurationArg(2)) / 1e6})
	case "heal":
		sim.network.rules = sim.network.rules[:0]
	case "stop":
		each(func(s *server) { s.stopped = s.up })
	case "cont":
		each(sim.resumeProcess)
	case "term":
		each(sim.startDrain)
	case "kill":
		each(sim.endProcess)
	case "start":
		each(func(s *server) {
			if !s.up {
				sim.startProcess(s)
			}
		})
	case "slow": // of streams, which are modelled by their end
	case "relay": // packets under way are lost, streams break: for the servers a moment's cut
	case "rate":
		each(func(s *server) {
			s.clockBase, s.clockSetAt = sim.localClock(s), sim.now
			s.clockRate = x.NumberArg(1)
		})
	case "speed":
		each(func(s *server) {
			if s.gate != nil {
				sim.advanceJobs(s)
				s.speed = x.NumberArg(1)
				sim.scheduleJobDone(s)
			}
		})
	case "fail":
		each(func(s *server) { s.failureRate = x.NumberArg(1) })
	case "jump":
		each(func(s *server) { s.wallOffset += float64(x.DurationArg(1)) / 1e6 })
	}
}
