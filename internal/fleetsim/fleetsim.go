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
	HealthRules     health.Rules    // zero: the usual ones
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
	usualDrift  = 1e-3
	usualSettle = 20e3
	tickMs      = 100.0
	joinMs      = 1000.0
	joinTries   = 20 // looks at a stream that stands still
	checkMs     = 500.0
	mostHeld    = 300 // packets that a stopped process's socket holds
	epoch       = 1_700_000_000_000
)

// server is one.
type server struct {
	i        int32
	low      int32 // the first of its fleet, and how many that has
	size     int32
	name     string
	zone     string
	up       bool
	stopped  bool
	draining bool
	stopAt   float64 // when it ends, while it drains
	life     uint32  // of its process, counted over the run: larger is later
	chance   *rand.Rand
	rate     float64 // of its clock
	at0      float64 // world's ms at which its clock showed base
	base     float64
	wall     float64 // steps of its wall clock
	ticked   float64 // local
	muted    bool
	hear     *health.Hearing
	det      detector
	held     []event
	joinAt   float64
	downAt   float64
	stalls   int // that it found
	pulses   uint32
	serving
	sharing
	below

	deaf   map[int32]bool // of a planted fault
	roused float64        // world's ms when it last woke or started
}

// Simulation is one run.
type Simulation struct {
	o       Options
	now     float64
	queue   queue
	servers []server
	wire    wire
	chance  *rand.Rand
	packets []packet
	free    []int32
	callers
	quotaState
	backendState
	script   script.Script
	lastAct  float64
	checkers []Checker
	found    []Finding
	result   Result
	digest   *xxhash.Digest
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
	FinalStates    []health.State
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
func (w *Simulation) AddFinding(checker, format string, a ...any) {
	if len(w.found) < maxFindings {
		w.found = append(w.found, Finding{w.now, checker, fmt.Sprintf(format, a...)})
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
	if o.HealthRules == (health.Rules{}) {
		o.HealthRules = health.Usual
		o.HealthRules.Expect = o.Servers
		if o.FleetSize > 0 {
			o.HealthRules.Expect = 0
		}
	}
	if o.MaxClockDrift == 0 {
		o.MaxClockDrift = usualDrift
	}
	if o.SettleTimeoutMs == 0 {
		o.SettleTimeoutMs = usualSettle
	}
	w := &Simulation{o: o, digest: xxhash.New(), script: o.Script, checkers: o.Checkers, chance: rand.New(rand.NewPCG(o.Seed, 1))}
	w.wire.chance = rand.New(rand.NewPCG(o.Seed, 2))
	if w.checkers == nil {
		w.checkers = AllCheckers()
	}
	w.servers = make([]server, o.Servers)
	zones := max(1, o.Zones)
	for i, name := range ServerNames(o.Servers) {
		s := &w.servers[i]
		s.i, s.name, s.zone = int32(i), name, fmt.Sprint("z", i%zones)
		if s.size = int32(o.Servers); o.FleetSize > 0 {
			s.low = int32(i / o.FleetSize * o.FleetSize)
			s.size = min(int32(o.FleetSize), int32(o.Servers)-s.low)
		}
		s.chance = rand.New(rand.NewPCG(o.Seed, uint64(100+i)))
		s.rate = 1 + max(0, o.MaxClockDrift)*(2*s.chance.Float64()-1)
		s.det.target = -1
		w.rise(s)
	}
	for k, x := range w.script {
		at := float64(x.At) / 1e6
		w.queue.put(event{at: at, kind: evAct, who: -1, a: int32(k)})
		w.lastAct = max(w.lastAct, at)
	}
	if o.CheckIntervalMs == 0 {
		o.CheckIntervalMs = checkMs
	}
	for at := o.CheckIntervalMs; at <= o.DurationMs; at += o.CheckIntervalMs {
		w.queue.put(event{at: at, kind: evCheck, who: -1})
	}
	w.beginCallers()
	w.beginLoad()
	w.beginServices()
	return w
}

// local is a server's own monotonic clock.
func (w *Simulation) local(s *server) float64 { return s.base + (w.now-s.at0)*s.rate }

// wallOf is its wall clock.
func (w *Simulation) wallOf(s *server) float64 { return epoch + w.local(s) + s.wall }

// after sets an event of a server's process after a while of its own clock.
func (w *Simulation) after(s *server, d float64, k kind, a, b int32) {
	w.queue.put(event{at: w.now + d/s.rate, kind: k, who: s.i, a: a, b: b, life: s.life})
}

// rise starts a server's process, which knows nobody.
func (w *Simulation) rise(s *server) {
	s.base, s.at0 = 1000*s.chance.Float64(), w.now
	s.up, s.stopped, s.draining, s.muted = true, false, false, false
	s.life++
	s.roused = w.now
	s.held = s.held[:0]
	s.det.inc = 0
	w.freshDetector(s)
	s.det.target = -1
	now := w.local(s)
	s.hear = health.New(w.o.HealthRules, s.name, s.zone, now, w.wallOf(s))
	s.ticked, s.joinAt = now, now
	w.after(s, tickMs*s.chance.Float64(), evTick, 0, 0)
	w.after(s, probeMs*s.chance.Float64(), evProbe, 0, 0)
	w.after(s, pulseMs*s.chance.Float64(), evPulse, 0, 0)
	w.after(s, exchangeMs*(0.5+s.chance.Float64()), evExchange, 0, 0)
	w.beginServing(s)
	w.beginSharing(s)
	w.beginBelow(s)
}

// fall ends it.
func (w *Simulation) fall(s *server) {
	if !s.up {
		return
	}
	w.broken(s)
	s.up, s.downAt = false, w.now
	s.life++ // what is under way for it is void
	w.endServing(s)
}

// awake is as internal/fleet has it: false once the server has stalled, until its detector begins anew.
func (w *Simulation) awake(s *server) bool {
	if s.muted {
		return false
	}
	if w.local(s)-s.ticked >= w.o.HealthRules.Stall && w.o.injected != staleAfterStall {
		s.muted = true
	}
	return !s.muted
}

// tick is one of the fleet's part, as internal/fleet's loop does it.
func (w *Simulation) tick(s *server) {
	w.after(s, tickMs, evTick, 0, 0)
	muted := !w.awake(s)
	now := w.local(s)
	if w.o.injected == staleAfterStall {
		s.hear.Tick(s.ticked+tickMs, epoch) // as if no time had passed
		s.hear.Tick(now, epoch+now-s.ticked)
	} else if s.hear.Tick(now, w.wallOf(s)) || muted {
		s.hear.Void(now)
		s.stalls++
		w.voidSharing(s)
		w.observe(10, s.i, 0)
		w.freshDetector(s)
		s.det.target = -1
		s.muted, s.ticked, s.joinAt = false, now, now
		s.roused = w.now
		return
	}
	s.ticked = now
	if s.det.there > 0 && s.hear.Deaf(now) { // as internal/fleet: it hears nobody
		s.hear.Void(now)
		w.freshDetector(s)
		s.det.target, s.joinAt = -1, now
	}
	if now >= s.joinAt {
		s.joinAt = now + joinMs*(0.75+0.5*s.chance.Float64())
		if s.hear.State(now) != health.Whole {
			w.joins(s)
		}
	}
}

// joins tries two of those on the roster that are silent, and of the seeds on which nobody heard is: the first three names.
func (w *Simulation) joins(s *server) {
	n := int(s.size)
	tried := 0
	from := s.chance.IntN(n)
	for k := 0; k < n && tried < 2; k++ {
		p := s.low + int32((from+k)%n)
		st := s.det.m[p-s.low].state
		found := st == alive || st == suspect
		if p == s.i || !s.hear.Misses(w.servers[p].name) && (found || p-s.low >= 3) {
			continue
		}
		tried++
		w.after(s, 3*wayMs, evJoin, p, 0)
	}
}

// What the servers' own code hears of the detector, as internal/fleet hands it on.

func (w *Simulation) heardAlive(s *server, p int32, life uint32) {
	now := w.local(s)
	o := &w.servers[p]
	s.hear.Known(now, o.name, o.zone, 0, 0)
	if w.o.injected == neverAliveAgain && s.deaf[p] {
		return
	}
	s.hear.Alive(now, o.name)
	w.observe(1, s.i, p)
}

func (w *Simulation) knows(s *server, p int32, life uint32) {
	if p == s.i {
		return
	}
	if m := &s.det.m[p-s.low]; m.state == unknown {
		*m = member{state: dead, heardL: life}
		o := &w.servers[p]
		s.hear.Known(w.local(s), o.name, o.zone, 0, 0)
	}
}

func (w *Simulation) heardLost(s *server, p int32, how state) {
	name, now := w.servers[p].name, w.local(s)
	w.observe(2, s.i, p)
	if how == left || w.o.injected == silenceIsDeparture {
		s.hear.Leaves(now, name, 0, health.Left)
		return
	}
	if w.o.injected == neverAliveAgain {
		if s.deaf == nil {
			s.deaf = map[int32]bool{}
		}
		s.deaf[p] = true
	}
	s.hear.Lost(now, name)
}

func (w *Simulation) word(s *server, from int32) { s.hear.Word(w.local(s), w.servers[from].name) }

func (w *Simulation) answeredBy(s *server, from int32) {
	s.hear.Answered(w.local(s), w.servers[from].name)
}

// declaredDead tells the checkers that a server itself calls another dead.
func (w *Simulation) declaredDead(s *server, p int32, x *suspicion) {
	for _, c := range w.checkers {
		if j, is := c.(deathObserver); is {
			j.declaredDead(w, s, p, x)
		}
	}
}

// send puts a packet on its way.
func (w *Simulation) send(s *server, p packet) {
	if !w.awake(s) {
		return
	}
	p.from = s.i
	first, again := w.wire.fate(s.i, p.to)
	if first < 0 {
		w.carry(s, nil) // what it carried counts as sent
		return
	}
	for k, d := range [2]float64{first, again} {
		if d < 0 {
			continue
		}
		var at int32
		if n := len(w.free); n > 0 {
			at = w.free[n-1]
			w.free = w.free[:n-1]
		} else {
			w.packets = append(w.packets, packet{})
			at = int32(len(w.packets) - 1)
		}
		x := &w.packets[at]
		news := x.news[:0]
		*x = p
		if k == 0 {
			x.news = w.carry(s, news)
		} else {
			x.news = news
		}
		w.queue.put(event{at: w.now + d, kind: evPacket, who: p.to, a: at})
	}
}

func (w *Simulation) carry(s *server, into []update) []update { return s.det.carried(into) }

// observe adds to the digest: what, who, whom, and when.
func (w *Simulation) observe(what byte, a, b int32) {
	x := math.Float64bits(w.now)
	var buf [17]byte
	buf[0] = what
	for i := range 8 {
		buf[1+i] = byte(x >> (8 * i))
	}
	for i := range 4 {
		buf[9+i], buf[13+i] = byte(a>>(8*i)), byte(b>>(8*i))
	}
	w.digest.Write(buf[:])
}

// Run lets the whole length pass and tells what came of it.
func (w *Simulation) Run() *Result {
	for w.queue.len() > 0 && w.queue.heap[0].at <= w.o.DurationMs {
		e := w.queue.take()
		w.now = e.at
		w.result.Events++
		w.happens(&e)
	}
	w.now = w.o.DurationMs
	r := &w.result
	for _, c := range w.checkers {
		c.Finish(w)
		if r.CasesByChecker == nil {
			r.CasesByChecker = map[string]int{}
		}
		if r.CasesByChecker[c.Name()] = c.Cases(); c.Cases() == 0 && c.MustHaveCases(w) {
			w.AddFinding(c.Name(), "saw no case")
		}
	}
	for i := range w.servers {
		s := &w.servers[i]
		if s.up && !s.stopped {
			st := s.hear.State(w.local(s))
			r.FinalStates = append(r.FinalStates, st)
			w.observe(20, s.i, int32(st))
		}
	}
	r.Findings, r.Digest = w.found, w.digest.Sum64()
	r.Network.Delivered, r.Network.Dropped = w.wire.passed, w.wire.lost
	return r
}

func (w *Simulation) happens(e *event) {
	if e.who >= 0 {
		s := &w.servers[e.who]
		if e.kind == evPacket {
			if s.up && s.stopped {
				if len(s.held) < mostHeld {
					s.held = append(s.held, *e)
				} else {
					w.free = append(w.free, e.a)
				}
				return
			}
			if s.up {
				p := w.packets[e.a] // a copy: the place may move while it is taken
				w.receive(s, &p)
			}
			w.free = append(w.free, e.a)
			return
		}
		if e.life != s.life || !s.up {
			return
		}
		if s.stopped && e.kind != evEngine {
			s.held = append(s.held, *e)
			return
		}
		switch e.kind {
		case evTick:
			w.tick(s)
		case evGateTick:
			w.gateTick(s)
		case evProbe:
			w.probe(s)
		case evProbeLate:
			w.probeLate(s, e.a, e.b)
		case evProbeOver:
			w.probeOver(s, e.a, e.b)
		case evSuspect:
			w.suspicionOver(s, e.a, uint32(e.b))
		case evPulse:
			w.pulse(s)
		case evGossip:
			w.gossipRound(s)
		case evExchange:
			w.after(s, exchangeMs*math.Max(1, math.Ceil(math.Log2(float64(s.size))-5)+1), evExchange, 0, 0)
			if peers, n := w.some(s, 1, -1); n == 1 {
				w.exchange(s, &w.servers[peers[0]])
			}
		case evJoin:
			// A stream through a cut stands still for a second, and goes on if the cut heals before.
			if !w.exchange(s, &w.servers[e.a]) && e.b < joinTries && w.servers[e.a].up {
				w.after(s, joinMs/joinTries, evJoin, e.a, e.b+1)
			}
		case evOwed:
			w.owed(s, e.a, e.b)
		case evEngine:
			w.engineDone(s, e.a)
		case evShare:
			w.shareTick(s)
		case evTake:
			w.takes(s, e.a)
		case evLook:
			w.lookTick(s)
		}
		return
	}
	switch e.kind {
	case evLoad:
		w.load()
	case evCall:
		w.call()
	case evQuiet:
		w.quiet(e.a, e.b)
	case evCallOver:
		w.callOver(e.a, e.b)
	case evCount:
		w.countBelow()
	case evStop:
		w.stops(&w.servers[e.a], e.life)
	case evAct:
		w.act(&w.script[e.a])
	case evCheck:
		for _, c := range w.checkers {
			c.Check(w)
		}
	default:
		w.callersEvent(e)
	}
}

// wake has all happen that was held while a process was stopped: its timers and what lay in its socket, in their order.
func (w *Simulation) wake(s *server) {
	if !s.up || !s.stopped {
		return
	}
	s.stopped = false
	s.roused = w.now
	held := s.held
	s.held = nil
	for _, e := range held {
		e.at = w.now
		w.queue.put(e)
	}
	w.wakeServing(s)
}

// act carries out a step of the script.
func (w *Simulation) act(x *script.Step) {
	w.observe(30, int32(len(x.Action)), 0)
	numbers := func(names []string) (all []int32) {
		if names == nil {
			for i := range w.servers {
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
	add := func(r rule) { w.wire.rules = append(w.wire.rules, r) }
	ways := func(r rule) {
		from, to := script.ParseDirection(x.Args[0])
		if from != nil {
			r.from = setOf(len(w.servers), numbers(from))
		}
		if to != nil {
			r.to = setOf(len(w.servers), numbers(to))
		}
		add(r)
	}
	each := func(f func(s *server)) {
		for _, i := range numbers(script.ParseNames(x.Args[0])) {
			f(&w.servers[i])
		}
	}
	switch x.Action {
	case "split":
		sets := script.ParseSets(x.Args[0])
		for i := range sets {
			for k := range sets {
				if i != k {
					add(rule{cut: true, from: setOf(len(w.servers), numbers(sets[i])), to: setOf(len(w.servers), numbers(sets[k]))})
				}
			}
		}
	case "cut":
		ways(rule{cut: true})
	case "loss":
		ways(rule{drop: x.NumberArg(1)})
	case "mess":
		ways(rule{mess: x.NumberArg(1)})
	case "delay":
		ways(rule{delay: float64(x.DurationArg(1)) / 1e6, spread: float64(x.DurationArg(2)) / 1e6})
	case "heal":
		w.wire.rules = w.wire.rules[:0]
	case "stop":
		each(func(s *server) { s.stopped = s.up })
	case "cont":
		each(w.wake)
	case "term":
		each(w.drains)
	case "kill":
		each(w.fall)
	case "start":
		each(func(s *server) {
			if !s.up {
				w.rise(s)
			}
		})
	case "slow": // of streams, which are modelled by their end
	case "relay": // packets under way are lost, streams break: for the servers a moment's cut
	case "rate":
		each(func(s *server) {
			s.base, s.at0 = w.local(s), w.now
			s.rate = x.NumberArg(1)
		})
	case "speed":
		each(func(s *server) {
			if s.gate != nil {
				w.work(s)
				s.speed = x.NumberArg(1)
				w.arm(s)
			}
		})
	case "fail":
		each(func(s *server) { s.fails = x.NumberArg(1) })
	case "jump":
		each(func(s *server) { s.wall += float64(x.DurationArg(1)) / 1e6 })
	}
}
