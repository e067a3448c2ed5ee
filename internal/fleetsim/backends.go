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
	backendTickMs      = 250.0 // as internal/fleet
	evidenceIntervalMs = 1000.0
	alertMs            = 15e3  // for which something that was heard may have to do with a judgement
	attemptTimeoutMs   = 400.0 // after which a try has failed
)

// backendClient is a server's part.
type backendClient struct {
	pool         *pool.Pool
	evidence     evidence.Recorder
	outliers     *outlier.Detector
	reports      map[int32]*peerReport
	alivePeers   []string
	lastReportAt float64
	urgent       bool
	alertUntil   float64 // until then something bad may be known
}

// word is what was heard of another.
type peerReport struct {
	latest     outlier.Report
	arrivesAt  float64
	previous   outlier.Report // until then
	previousAt float64
}

// attempt is one try of an RPC.
type attempt struct {
	server        int32
	member        int
	startedAt     float64
	rpcStartedAt  float64
	attempts      int
	failedMembers []int
	caller        uint64
	noResponse    bool
	ok            bool
	incarnation   uint32
	number        int32 // of tries, so that what was to come for another is known
	reportedLate  bool  // of as silent
}

type backendState struct {
	attempts        []attempt
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

func (sim *Simulation) startBackendLoad() {
	v := sim.options.Backends
	if v == nil {
		return
	}
	sim.memberInFlight = make([]int, v.Members)
	sim.backendRand = rand.New(rand.NewPCG(sim.options.Seed, 3))
	sim.BackendSeries = make([]BackendSecond, int(sim.options.DurationMs/1000)+1)
	for i := range sim.BackendSeries {
		sim.BackendSeries[i].Attempts, sim.BackendSeries[i].EjectedAt = make([]int, v.Members), make([]int, v.Members)
	}
	sim.scheduleBackendCall()
	for at := 999.0; at < sim.options.DurationMs; at += 1000 {
		sim.queue.put(event{at: at, kind: eventCountEjections, server: -1})
	}
}

func (sim *Simulation) startBackendClient(s *server) {
	v := sim.options.Backends
	if v == nil {
		return
	}
	now := sim.localClock(s)
	var names []string
	for i := range v.Members {
		names = append(names, memberName(i))
	}
	s.pool = pool.New(v.PoolRules, names, sim.options.Seed*1000+uint64(s.index)<<8+uint64(s.incarnation), now)
	s.evidence, s.reports = evidence.Recorder{}, map[int32]*peerReport{}
	if v.SharedDetection {
		r := v.PoolRules
		s.outliers = outlier.New(outlier.Config{MinInUseFraction: r.MinHealthyShare, LatencyFactor: r.LatencyFactor, ConsecutiveFailures: r.ConsecutiveFailures, BaseEjectionTime: r.BaseEjection, RecoveryRamp: r.SlowStart}, s.name, s.zone, names, now)
		s.pool.UseFleetDecisions(now, nil, outlier.AcceptsCaller)
	}
	sim.scheduleAfter(s, backendTickMs*s.rand.Float64(), eventBackendTick, 0, 0)
}

func (sim *Simulation) backendSecond() *BackendSecond {
	return &sim.BackendSeries[min(int(sim.now/1000), len(sim.BackendSeries)-1)]
}

func (sim *Simulation) scheduleBackendCall() {
	sim.queue.put(event{at: sim.now + sim.backendRand.ExpFloat64()*1000/(sim.options.Backends.RatePerServer*float64(len(sim.servers))), kind: eventBackendCall, server: -1})
}

// backendCall is a new RPC at some server.
func (sim *Simulation) backendCall() {
	sim.scheduleBackendCall()
	s := &sim.servers[sim.backendRand.IntN(len(sim.servers))]
	if !s.up || s.stopped {
		return
	}
	sim.backendSecond().Requests++
	sim.startAttempt(s, attempt{server: s.index, rpcStartedAt: sim.now, caller: sim.backendRand.Uint64(), incarnation: s.incarnation})
}

// startAttempt makes the next try of an RPC.
func (sim *Simulation) startAttempt(s *server, t attempt) {
	v := sim.options.Backends
	now := sim.localClock(s)
	member, got := 0, pool.NoCapacity
	if s.outliers != nil && t.attempts == 0 {
		for _, m := range s.outliers.Members() {
			if m.Ejected && m.HealthChecker && s.outliers.TryHealthCheck(now, m.Name) {
				if id, ok := s.pool.AcquireEjected(now, m.Name); ok {
					member, got = id, pool.Granted
				}
				break
			}
		}
	}
	if got != pool.Granted {
		if member, got = s.pool.Acquire(now, 0, t.failedMembers, t.caller); got == pool.Queued {
			s.pool.CancelQueued(0)
		}
	}
	if got != pool.Granted {
		return
	}
	t.member, t.startedAt, t.attempts = member, sim.now, t.attempts+1
	var i int
	fmt.Sscanf(s.pool.Addr(member), "m%d", &i)
	sim.backendSecond().Attempts[i]++
	sim.memberInFlight[i]++
	fail, slow, silent := sim.faultOn(s, i)
	if fail > 0 || silent {
		sim.backendSecond().FaultyAttempts++
	}
	work := v.MeanWorkMs * (0.3 + 0.7*sim.backendRand.ExpFloat64()) * slow
	if v.Capacity > 0 {
		work *= math.Max(1, float64(sim.memberInFlight[i])/v.Capacity)
	}
	t.ok, t.noResponse = sim.backendRand.Float64() >= fail, silent
	if !t.ok && !silent {
		work = 2 // fast in errors
	}
	if silent || work > attemptTimeoutMs {
		work, t.ok, t.noResponse = attemptTimeoutMs, false, true
	}
	var at int32
	if n := len(sim.freeAttempts); n > 0 {
		at = sim.freeAttempts[n-1]
		sim.freeAttempts = sim.freeAttempts[:n-1]
	} else {
		sim.attempts = append(sim.attempts, attempt{})
		at = int32(len(sim.attempts) - 1)
	}
	sim.lastAttempt++
	t.number, t.reportedLate = sim.lastAttempt, false
	sim.attempts[at] = t
	if late := evidence.LateThreshold(s.pool.MedianLatency()); s.outliers != nil && late > 0 && work > late {
		sim.queue.put(event{at: sim.now + late, kind: eventAttemptLate, server: -1, subject: at, detail: t.number})
	}
	sim.queue.put(event{at: sim.now + work, kind: eventAttemptDone, server: -1, subject: at, detail: int32(i)})
}

// faultOn is what is wrong with a member as a server sees it.
func (sim *Simulation) faultOn(s *server, member int) (fail, slow float64, silent bool) {
	slow = 1
	for _, t := range sim.options.Backends.Faults {
		if sim.now < t.FromMs || sim.now >= t.UntilMs || t.Zone != "" && t.Zone != s.zone || t.FlapMs > 0 && int((sim.now-t.FromMs)/t.FlapMs)%2 == 1 {
			continue
		}
		mine, seen := false, t.Servers == nil
		for _, m := range t.Members {
			mine = mine || m == member
		}
		for _, i := range t.Servers {
			seen = seen || int32(i) == s.index
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

// attemptLate is a try that has no answer yet.
func (sim *Simulation) attemptLate(at, number int32) {
	t := &sim.attempts[at]
	if t.number != number {
		return
	}
	s := &sim.servers[t.server]
	if s.incarnation != t.incarnation || !s.up || s.stopped {
		return
	}
	var i int
	fmt.Sscanf(s.pool.Addr(t.member), "m%d", &i)
	t.reportedLate = true
	s.evidence.RecordFailure(sim.localClock(s), memberName(i))
	s.urgent, s.alertUntil = true, sim.now+alertMs
	sim.detectOutliers(s)
}

// finishAttempt is the end of a try.
func (sim *Simulation) finishAttempt(at, member int32) {
	t := sim.attempts[at]
	sim.attempts[at].number = 0
	sim.freeAttempts = append(sim.freeAttempts, at)
	sim.memberInFlight[member]--
	s := &sim.servers[t.server]
	if s.incarnation != t.incarnation || !s.up || s.stopped {
		return
	}
	now := sim.localClock(s)
	how := pool.Succeeded
	if !t.ok {
		how = pool.Failed
	}
	s.pool.Complete(now, t.member, how, sim.now-t.startedAt)
	name := memberName(int(member))
	if t.ok {
		s.evidence.RecordSuccess(now, name, sim.now-t.startedAt)
		if s.outliers != nil && sim.now-t.startedAt > sim.options.Backends.MeanWorkMs*sim.options.Backends.PoolRules.LatencyFactor {
			s.alertUntil = sim.now + alertMs
		}
		if sim.now-t.rpcStartedAt <= sim.options.Backends.TargetMs {
			sim.backendSecond().OK++
		}
		return
	}
	again := sim.options.Backends.RetryableShare
	if !t.reportedLate {
		s.evidence.RecordFailure(now, name)
	}
	s.urgent, s.alertUntil = true, sim.now+alertMs
	if s.outliers != nil {
		sim.detectOutliers(s)
	}
	if t.attempts < 2 && (again == 0 || float64(t.caller>>11)/(1<<53) < again) {
		t.failedMembers = append(append([]int(nil), t.failedMembers...), t.member)
		sim.startAttempt(s, t)
	}
}

// backendTick is internal/fleet's look at the pool, some times a second.
func (sim *Simulation) backendTick(s *server) {
	sim.scheduleAfter(s, backendTickMs, eventBackendTick, 0, 0)
	now := sim.localClock(s)
	s.pool.Update(now)
	if s.outliers == nil {
		return
	}
	if sim.now < s.alertUntil || s.pool.FollowsFleet() != s.health.CompleteFor(now, outlier.CompletePeriod) {
		sim.detectOutliers(s) // else nothing bad is known, nor has been of late: the look would find nothing
	}
	bad := s.urgent
	s.urgent = false
	for _, m := range s.outliers.Members() {
		bad = bad || m.Ejected || s.outliers.TrafficFraction(now, m) < 1
	}
	wait := 2 * heartbeatMs * max(1, math.Floor(float64(s.detector.aliveCount)/heartbeatRoster))
	if bad {
		wait = evidenceIntervalMs
	}
	if now < s.lastReportAt+wait {
		s.urgent = bad
		return
	}
	s.lastReportAt = now
	sim.shareEvidence(s)
}

// shareEvidence spreads a record: it reaches the others by gossip, which is modelled by its end, some rounds later, over ways that are
// open.
func (sim *Simulation) shareEvidence(s *server) {
	if !sim.awake(s) {
		return
	}
	now := sim.localClock(s)
	out, back := s.outliers.Announcement(now)
	said := outlier.Report{Origin: s.name, Zone: s.zone, Summaries: s.evidence.Summaries(now), Ejected: out, Recoveries: back}
	for _, i := range sim.options.Backends.LyingServers {
		if int32(i) == s.index {
			for k := range said.Summaries {
				said.Summaries[k].Run, said.Summaries[k].Age = -evidence.MaxRun, 0
			}
		}
	}
	alarm := len(out)+len(back) > 0
	for _, v := range said.Summaries {
		alarm = alarm || v.Run < 0 || v.LatencySamples > 0.5 && v.LogLatencyRatio > 2*math.Ln2
	}
	for i := range sim.servers {
		o := &sim.servers[i]
		if o == s || !o.up || o.stopped || !sim.network.isOpen(s.index, o.index) {
			continue
		}
		if alarm {
			o.alertUntil = sim.now + alertMs
		}
		rounds := math.Max(1, math.Ceil(math.Log2(float64(len(sim.servers)))/2))
		x := o.reports[s.index]
		if x == nil {
			x = &peerReport{}
			o.reports[s.index] = x
		}
		if x.arrivesAt <= sim.now {
			x.previous, x.previousAt = x.latest, x.arrivesAt
		}
		x.latest, x.arrivesAt = said, sim.now+gossipIntervalMs*rounds*sim.backendRand.Float64()
	}
}

// detectOutliers judges, and tells the pool.
func (sim *Simulation) detectOutliers(s *server) {
	now := sim.localClock(s)
	var peers []outlier.Report
	s.alivePeers = s.health.AppendReachable(now, s.alivePeers[:0])
	known := map[string]bool{}
	for _, name := range s.alivePeers {
		known[name] = true
	}
	for i := range sim.servers {
		x := s.reports[int32(i)]
		if x == nil || !known[x.latest.Origin] {
			continue
		}
		said, at := x.latest, x.arrivesAt
		if at > sim.now {
			said, at = x.previous, x.previousAt
		}
		if said.Origin == "" || sim.now-at > 15e3 {
			continue
		}
		said.Age = sim.now - at
		peers = append(peers, said)
	}
	whole := s.health.CompleteFor(now, outlier.CompletePeriod)
	views := s.evidence.Summaries(now)
	s.outliers.Evaluate(now, views, peers, s.alivePeers, whole)
	if !whole {
		s.pool.UseLocalDetection(now)
		return
	}
	s.urgent = s.urgent || outlier.Urgent(views) || s.outliers.ShouldRefute(views, s.rand.Float64(), len(s.alivePeers)+1)
	var verdicts []pool.FleetDecision
	for _, m := range s.outliers.Members() {
		if part := s.outliers.TrafficFraction(now, m); m.Ejected || part < 1 {
			verdicts = append(verdicts, pool.FleetDecision{Addr: m.Name, Ejected: m.Ejected, CallerShare: part})
		}
	}
	s.outliers.Events()
	s.pool.UseFleetDecisions(now, verdicts, outlier.AcceptsCaller)
	s.pool.Events()
}

// countEjections notes who is out where.
func (sim *Simulation) countEjections() {
	x := sim.backendSecond()
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up || s.stopped {
			continue
		}
		out := 0
		for k, m := range s.pool.MemberStates(sim.localClock(s)) {
			if m.Ejection == pool.NotEjected {
				continue
			}
			out++
			x.EjectedAt[k]++
			if fail, slow, silent := sim.faultOn(s, k); fail == 0 && slow == 1 && !silent {
				x.FalseEjections++
			}
		}
		v := sim.options.Backends
		sim.maxEjectedShare = math.Max(sim.maxEjectedShare, float64(out)/float64(v.Members))
		if v.SharedDetection && float64(v.Members-out) < v.PoolRules.MinHealthyShare*float64(v.Members) {
			sim.AddFinding("services", "%s has %d of %d members out", s.name, out, v.Members)
		}
	}
}

// MaxEjectedShare is the largest share of the members that any server held out at a time.
func (sim *Simulation) MaxEjectedShare() float64 { return sim.maxEjectedShare }
