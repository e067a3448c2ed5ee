package fleetsim

// This file owns the members of a pool below simulated servers, and the RPCs that these send there: the servers' own choices
// (decision/pool, decision/evidence, decision/outlier) with what they say to one another, and beside it each server for itself. It
// must never let a server know of a member what it did not see or hear.

import (
	"fmt"
	"math"
	"math/rand/v2"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/outlier"
	"sorrelvalve/decision/pool"
)

// Services is a pool below all of a world's servers.
type BackendOptions struct {
	Members         int
	RatePerServer   float64 // RPCs a second from each server
	MeanWorkMs      float64 // ms, mean
	SharedDetection bool    // the servers judge together
	PoolRules       pool.Config
	Faults          []MemberFault
	TargetMs        float64 // ms
	RetryableShare  float64 // part of the RPCs that may run twice; 0 for all
	Capacity        float64 // RPCs that a member has in hand without getting slower; 0 for no bound
	LyingServers    []int   // servers that spread nonsense: all members are bad
}

// MemberFault is what is wrong with some members for a while.
type MemberFault struct {
	FromMs, UntilMs float64 // ms
	Members         []int
	FailureRate     float64 // chance that a try fails
	Slowdown        float64 // times its work
	NoResponse      bool    // no answer comes
	Servers         []int   // seen by these only; nil: all
	Zone            string  // seen from this zone only; "": all
	FlapMs          float64 // ms: on for as long, off for as long; 0 for on
}

const (
	lookMs   = 250.0 // as internal/fleet
	sayMs    = 1000.0
	alarmMs  = 15e3  // for which something that was heard may have to do with a judgement
	giveUpMs = 400.0 // after which a try has failed
)

// below is a server's part.
type below struct {
	pool   *pool.Pool
	seen   evidence.Own
	judge  *outlier.Judge
	heard  map[int32]*word
	peers2 []string
	sayAt  float64
	bad    bool
	alarm  float64 // until then something bad may be known
}

// word is what was heard of another.
type word struct {
	said outlier.Said
	at   float64
	was  outlier.Said // until then
	then float64
}

// tried is one try of an RPC.
type tried struct {
	server  int32
	member  int
	began   float64
	first   float64
	tries   int
	failed  []int
	caller  uint64
	silent  bool
	outcome bool
	life    uint32
	number  int32 // of tries, so that what was to come for another is known
	told    bool  // of as silent
}

type backendState struct {
	attempts        []tried
	freeAttempts    []int32
	lastAttempt     int32
	memberInFlight  []int // by member
	backendRand     *rand.Rand
	BackendSeries   []BackendSecond // by second
	maxEjectedShare float64
}

// BackendSecond is one second below.
type BackendSecond struct {
	Requests, OK   int
	Attempts       []int // tries, by member
	EjectedAt      []int // servers that hold it out, by member, at its end
	FaultyAttempts int   // tries to members that were failing as their server met them
	FalseEjections int   // members out at some server that were sound
}

func memberName(i int) string { return fmt.Sprintf("m%02d", i) }

func (w *Simulation) beginServices() {
	v := w.o.Backends
	if v == nil {
		return
	}
	w.memberInFlight = make([]int, v.Members)
	w.backendRand = rand.New(rand.NewPCG(w.o.Seed, 3))
	w.BackendSeries = make([]BackendSecond, int(w.o.DurationMs/1000)+1)
	for i := range w.BackendSeries {
		w.BackendSeries[i].Attempts, w.BackendSeries[i].EjectedAt = make([]int, v.Members), make([]int, v.Members)
	}
	w.nextCall()
	for at := 999.0; at < w.o.DurationMs; at += 1000 {
		w.queue.put(event{at: at, kind: evCount, who: -1})
	}
}

func (w *Simulation) beginBelow(s *server) {
	v := w.o.Backends
	if v == nil {
		return
	}
	now := w.local(s)
	var names []string
	for i := range v.Members {
		names = append(names, memberName(i))
	}
	s.pool = pool.New(v.PoolRules, names, w.o.Seed*1000+uint64(s.i)<<8+uint64(s.life), now)
	s.seen, s.heard = evidence.Own{}, map[int32]*word{}
	if v.SharedDetection {
		r := v.PoolRules
		s.judge = outlier.New(outlier.Rules{MinShare: r.MinHealthyShare, Outlier: r.LatencyFactor, Failures: r.ConsecutiveFailures, Hold: r.BaseEjection, Return: r.SlowStart}, s.name, s.zone, names, now)
		s.pool.UseFleetDecisions(now, nil, outlier.Takes)
	}
	w.after(s, lookMs*s.chance.Float64(), evLook, 0, 0)
}

func (w *Simulation) window() *BackendSecond {
	return &w.BackendSeries[min(int(w.now/1000), len(w.BackendSeries)-1)]
}

func (w *Simulation) nextCall() {
	w.queue.put(event{at: w.now + w.backendRand.ExpFloat64()*1000/(w.o.Backends.RatePerServer*float64(len(w.servers))), kind: evCall, who: -1})
}

// call is a new RPC at some server.
func (w *Simulation) call() {
	w.nextCall()
	s := &w.servers[w.backendRand.IntN(len(w.servers))]
	if !s.up || s.stopped {
		return
	}
	w.window().Requests++
	w.tryNext(s, tried{server: s.i, first: w.now, caller: w.backendRand.Uint64(), life: s.life})
}

// tryNext makes the next try of an RPC.
func (w *Simulation) tryNext(s *server, t tried) {
	v := w.o.Backends
	now := w.local(s)
	member, got := 0, pool.NoCapacity
	if s.judge != nil && t.tries == 0 {
		for _, m := range s.judge.Members() {
			if m.Out && m.Probes && s.judge.Probe(now, m.Name) {
				if id, ok := s.pool.AcquireEjected(now, m.Name); ok {
					member, got = id, pool.Granted
				}
				break
			}
		}
	}
	if got != pool.Granted {
		if member, got = s.pool.Acquire(now, 0, t.failed, t.caller); got == pool.Queued {
			s.pool.CancelQueued(0)
		}
	}
	if got != pool.Granted {
		return
	}
	t.member, t.began, t.tries = member, w.now, t.tries+1
	var i int
	fmt.Sscanf(s.pool.Addr(member), "m%d", &i)
	w.window().Attempts[i]++
	w.memberInFlight[i]++
	fail, slow, silent := w.troubled(s, i)
	if fail > 0 || silent {
		w.window().FaultyAttempts++
	}
	work := v.MeanWorkMs * (0.3 + 0.7*w.backendRand.ExpFloat64()) * slow
	if v.Capacity > 0 {
		work *= math.Max(1, float64(w.memberInFlight[i])/v.Capacity)
	}
	t.outcome, t.silent = w.backendRand.Float64() >= fail, silent
	if !t.outcome && !silent {
		work = 2 // fast in errors
	}
	if silent || work > giveUpMs {
		work, t.outcome, t.silent = giveUpMs, false, true
	}
	var at int32
	if n := len(w.freeAttempts); n > 0 {
		at = w.freeAttempts[n-1]
		w.freeAttempts = w.freeAttempts[:n-1]
	} else {
		w.attempts = append(w.attempts, tried{})
		at = int32(len(w.attempts) - 1)
	}
	w.lastAttempt++
	t.number, t.told = w.lastAttempt, false
	w.attempts[at] = t
	if late := evidence.Late(s.pool.MedianLatency()); s.judge != nil && late > 0 && work > late {
		w.queue.put(event{at: w.now + late, kind: evQuiet, who: -1, a: at, b: t.number})
	}
	w.queue.put(event{at: w.now + work, kind: evCallOver, who: -1, a: at, b: int32(i)})
}

// troubled is what is wrong with a member as a server sees it.
func (w *Simulation) troubled(s *server, member int) (fail, slow float64, silent bool) {
	slow = 1
	for _, t := range w.o.Backends.Faults {
		if w.now < t.FromMs || w.now >= t.UntilMs || t.Zone != "" && t.Zone != s.zone || t.FlapMs > 0 && int((w.now-t.FromMs)/t.FlapMs)%2 == 1 {
			continue
		}
		mine, seen := false, t.Servers == nil
		for _, m := range t.Members {
			mine = mine || m == member
		}
		for _, i := range t.Servers {
			seen = seen || int32(i) == s.i
		}
		if mine && seen {
			fail, silent = math.Max(fail, t.FailureRate), silent || t.NoResponse
			if t.Slowdown > 0 {
				slow *= t.Slowdown
			}
		}
	}
	return fail, slow, silent
}

// quiet is a try that has no answer yet.
func (w *Simulation) quiet(at, number int32) {
	t := &w.attempts[at]
	if t.number != number {
		return
	}
	s := &w.servers[t.server]
	if s.life != t.life || !s.up || s.stopped {
		return
	}
	var i int
	fmt.Sscanf(s.pool.Addr(t.member), "m%d", &i)
	t.told = true
	s.seen.Failed(w.local(s), memberName(i))
	s.bad, s.alarm = true, w.now+alarmMs
	w.lookBelow(s)
}

// callOver is the end of a try.
func (w *Simulation) callOver(at, member int32) {
	t := w.attempts[at]
	w.attempts[at].number = 0
	w.freeAttempts = append(w.freeAttempts, at)
	w.memberInFlight[member]--
	s := &w.servers[t.server]
	if s.life != t.life || !s.up || s.stopped {
		return
	}
	now := w.local(s)
	how := pool.Succeeded
	if !t.outcome {
		how = pool.Failed
	}
	s.pool.Complete(now, t.member, how, w.now-t.began)
	name := memberName(int(member))
	if t.outcome {
		s.seen.OK(now, name, w.now-t.began)
		if s.judge != nil && w.now-t.began > w.o.Backends.MeanWorkMs*w.o.Backends.PoolRules.LatencyFactor {
			s.alarm = w.now + alarmMs
		}
		if w.now-t.first <= w.o.Backends.TargetMs {
			w.window().OK++
		}
		return
	}
	again := w.o.Backends.RetryableShare
	if !t.told {
		s.seen.Failed(now, name)
	}
	s.bad, s.alarm = true, w.now+alarmMs
	if s.judge != nil {
		w.lookBelow(s)
	}
	if t.tries < 2 && (again == 0 || float64(t.caller>>11)/(1<<53) < again) {
		t.failed = append(append([]int(nil), t.failed...), t.member)
		w.tryNext(s, t)
	}
}

// lookTick is internal/fleet's look at the pool, some times a second.
func (w *Simulation) lookTick(s *server) {
	w.after(s, lookMs, evLook, 0, 0)
	now := w.local(s)
	s.pool.Update(now)
	if s.judge == nil {
		return
	}
	if w.now < s.alarm || s.pool.FollowsFleet() != s.hear.WholeFor(now, outlier.Together) {
		w.lookBelow(s) // else nothing bad is known, nor has been of late: the look would find nothing
	}
	bad := s.bad
	s.bad = false
	for _, m := range s.judge.Members() {
		bad = bad || m.Out || s.judge.Part(now, m) < 1
	}
	wait := 2 * pulseMs * max(1, math.Floor(float64(s.det.there)/pulseRoster))
	if bad {
		wait = sayMs
	}
	if now < s.sayAt+wait {
		s.bad = bad
		return
	}
	s.sayAt = now
	w.saySeen(s)
}

// saySeen spreads a record: it reaches the others by gossip, which is modelled by its end, some rounds later, over ways that are
// open.
func (w *Simulation) saySeen(s *server) {
	if !w.awake(s) {
		return
	}
	now := w.local(s)
	out, back := s.judge.Told(now)
	said := outlier.Said{Origin: s.name, Zone: s.zone, Views: s.seen.Views(now), Out: out, Back: back}
	for _, i := range w.o.Backends.LyingServers {
		if int32(i) == s.i {
			for k := range said.Views {
				said.Views[k].Run, said.Views[k].Age = -evidence.LongestRun, 0
			}
		}
	}
	alarm := len(out)+len(back) > 0
	for _, v := range said.Views {
		alarm = alarm || v.Run < 0 || v.SlowN > 0.5 && v.Slow > 2*math.Ln2
	}
	for i := range w.servers {
		o := &w.servers[i]
		if o == s || !o.up || o.stopped || !w.wire.open(s.i, o.i) {
			continue
		}
		if alarm {
			o.alarm = w.now + alarmMs
		}
		rounds := math.Max(1, math.Ceil(math.Log2(float64(len(w.servers)))/2))
		x := o.heard[s.i]
		if x == nil {
			x = &word{}
			o.heard[s.i] = x
		}
		if x.at <= w.now {
			x.was, x.then = x.said, x.at
		}
		x.said, x.at = said, w.now+gossipMs*rounds*w.backendRand.Float64()
	}
}

// lookBelow judges, and tells the pool.
func (w *Simulation) lookBelow(s *server) {
	now := w.local(s)
	var peers []outlier.Said
	s.peers2 = s.hear.Heard(now, s.peers2[:0])
	known := map[string]bool{}
	for _, name := range s.peers2 {
		known[name] = true
	}
	for i := range w.servers {
		x := s.heard[int32(i)]
		if x == nil || !known[x.said.Origin] {
			continue
		}
		said, at := x.said, x.at
		if at > w.now {
			said, at = x.was, x.then
		}
		if said.Origin == "" || w.now-at > 15e3 {
			continue
		}
		said.Age = w.now - at
		peers = append(peers, said)
	}
	whole := s.hear.WholeFor(now, outlier.Together)
	views := s.seen.Views(now)
	s.judge.Look(now, views, peers, s.peers2, whole)
	if !whole {
		s.pool.UseLocalDetection(now)
		return
	}
	s.bad = s.bad || outlier.Urgent(views) || s.judge.Objects(views, s.chance.Float64(), len(s.peers2)+1)
	var verdicts []pool.FleetDecision
	for _, m := range s.judge.Members() {
		if part := s.judge.Part(now, m); m.Out || part < 1 {
			verdicts = append(verdicts, pool.FleetDecision{Addr: m.Name, Ejected: m.Out, CallerShare: part})
		}
	}
	s.judge.Events()
	s.pool.UseFleetDecisions(now, verdicts, outlier.Takes)
	s.pool.Events()
}

// countBelow notes who is out where.
func (w *Simulation) countBelow() {
	x := w.window()
	for i := range w.servers {
		s := &w.servers[i]
		if !s.up || s.stopped {
			continue
		}
		out := 0
		for k, m := range s.pool.MemberStates(w.local(s)) {
			if m.Ejection == pool.NotEjected {
				continue
			}
			out++
			x.EjectedAt[k]++
			if fail, slow, silent := w.troubled(s, k); fail == 0 && slow == 1 && !silent {
				x.FalseEjections++
			}
		}
		v := w.o.Backends
		w.maxEjectedShare = math.Max(w.maxEjectedShare, float64(out)/float64(v.Members))
		if v.SharedDetection && float64(v.Members-out) < v.PoolRules.MinHealthyShare*float64(v.Members) {
			w.AddFinding("services", "%s has %d of %d members out", s.name, out, v.Members)
		}
	}
}

// MaxEjectedShare is the largest share of the members that any server held out at a time.
func (w *Simulation) MaxEjectedShare() float64 { return w.maxEjectedShare }
