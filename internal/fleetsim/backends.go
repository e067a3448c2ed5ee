package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/outlier"
	"sorrelvalve/decision/pool"
)

// This file calls a pool of backend members from the simulated servers: each server's own choice of members (decision/pool)
// and its RPCs with their attempts. How the servers detect outliers together is in outliers.go, without which each detects
// for itself. A server knows of a member only what it saw or was told.

// BackendOptions configure a backend pool that all servers call.
type BackendOptions struct {
	Members         int
	RatePerServer   float64 // RPCs per second
	MeanWorkMs      float64
	SharedDetection bool // servers detect outliers together
	PoolRules       pool.Config
	Faults          []MemberFault
	TargetMs        float64 // latency objective
	RetryableShare  float64 // of the RPCs; 0 means all
	Capacity        float64 // RPCs in flight at a member before it slows down; 0 means no bound
	LyingServers    []int   // servers that report every member as failing
}

// MemberFault is a fault of some members for a while.
type MemberFault struct {
	FromMs, UntilMs float64
	Members         []int
	FailureRate     float64 // of attempts
	Slowdown        float64 // factor on their work; 0 means none
	NoResponse      bool
	Servers         []int   // servers that meet the fault; nil means all
	Zone            string  // zone whose servers meet the fault; "" means all
	FlapMs          float64 // alternately present and absent for as long; 0 means always present
}

const (
	backendTickMs        = 250.0 // as in internal/fleet
	alertMs              = 15e3  // outlier detection runs at each tick for so long after a sign of trouble
	attemptTimeoutMs     = 400.0
	failedAttemptMs      = 2.0 // a failing member answers fast
	backendAttempts      = 2
	minWorkShare         = 0.3 // of an attempt's mean work; the rest is exponential
	ejectionCountPhaseMs = 999.0
)

// backendClient is a server's state for the pool.
type backendClient struct {
	pool         *pool.Pool
	evidence     evidence.Recorder
	outliers     *outlier.Detector // nil without shared detection
	reports      map[int32]*peerReport
	alivePeers   []string
	lastReportAt float64 // of the server's clock
	urgent       bool    // has something to report soon
	alertUntil   float64 // virtual time
}

// attempt is one attempt of an RPC.
type attempt struct {
	server        int32
	member        int // as the server's pool numbers it
	startedAt     float64
	rpcStartedAt  float64
	attempts      int // of the RPC so far
	failedMembers []int
	caller        uint64
	noResponse    bool
	ok            bool
	incarnation   uint32
	number        int32 // tells it from others that used the same place
	reportedLate  bool
}

// backendState is the simulation's state of the pool.
type backendState struct {
	attempts        []attempt
	freeAttempts    []int32
	lastAttempt     int32
	memberInFlight  []int
	backendRand     *rand.Rand
	BackendSeries   []BackendSecond // by second of the run
	maxEjectedShare float64
}

// BackendSecond counts what happened at the pool in one second.
type BackendSecond struct {
	Requests       int
	OK             int   // within the latency objective
	Attempts       []int // by member
	EjectedAt      []int // by member: how many servers eject it at the end of the second
	FaultyAttempts int   // attempts at members whose fault the server met
	FalseEjections int   // ejections of members without a fault, over all servers
}

func memberName(member int) string { return fmt.Sprintf("m%02d", member) }

// memberIndex returns the index of the member that a server's pool knows under a number.
func (s *server) memberIndex(number int) int { return int(nameIndex(s.pool.Addr(number), "m%d")) }

// startBackendLoad schedules the first RPC and the counts of ejections.
func (sim *Simulation) startBackendLoad() {
	o := sim.options.Backends
	if o == nil {
		return
	}
	sim.memberInFlight = make([]int, o.Members)
	sim.backendRand = rand.New(rand.NewPCG(sim.options.Seed, backendStream))
	sim.BackendSeries = make([]BackendSecond, int(sim.options.DurationMs/1000)+1)
	for i := range sim.BackendSeries {
		sim.BackendSeries[i].Attempts = make([]int, o.Members)
		sim.BackendSeries[i].EjectedAt = make([]int, o.Members)
	}
	sim.scheduleBackendCall()
	for at := ejectionCountPhaseMs; at < sim.options.DurationMs; at += 1000 {
		sim.queue.put(event{at: at, kind: eventCountEjections, server: noServer})
	}
}

// startBackendClient starts the pool of a process.
func (sim *Simulation) startBackendClient(s *server) {
	o := sim.options.Backends
	if o == nil {
		return
	}
	now := sim.localClock(s)
	var names []string
	for i := range o.Members {
		names = append(names, memberName(i))
	}
	seed := sim.options.Seed*1000 + uint64(s.index)<<8 + uint64(s.incarnation)
	s.pool = pool.New(o.PoolRules, names, seed, now)
	s.evidence = evidence.Recorder{}
	s.reports = map[int32]*peerReport{}
	if o.SharedDetection {
		s.outliers = outlier.New(outlierConfig(&o.PoolRules), s.name, s.zone, names, now)
		s.pool.UseFleetDecisions(now, nil, outlier.AcceptsCaller)
	}
	sim.scheduleAfter(s, backendTickMs*s.rand.Float64(), eventBackendTick, 0, 0)
}

// backendSecond returns the record of the current second.
func (sim *Simulation) backendSecond() *BackendSecond {
	return &sim.BackendSeries[min(int(sim.now/1000), len(sim.BackendSeries)-1)]
}

// scheduleBackendCall schedules the next RPC of a Poisson process.
func (sim *Simulation) scheduleBackendCall() {
	wait := sim.backendRand.ExpFloat64() * 1000 / (sim.options.Backends.RatePerServer * float64(len(sim.servers)))
	sim.queue.put(event{at: sim.now + wait, kind: eventBackendCall, server: noServer})
}

// backendCall begins an RPC at a random server.
func (sim *Simulation) backendCall() {
	sim.scheduleBackendCall()
	s := &sim.servers[sim.backendRand.IntN(len(sim.servers))]
	if !s.up || s.stopped {
		return
	}
	sim.backendSecond().Requests++
	sim.startAttempt(s, attempt{
		server: s.index, rpcStartedAt: sim.now, caller: sim.backendRand.Uint64(), incarnation: s.incarnation,
	})
}

// pickMember picks the member for an attempt: one that is due a health check, or the pool's choice.
func (s *server) pickMember(now float64, t *attempt) (member int, ok bool) {
	if s.outliers != nil && t.attempts == 0 {
		for _, m := range s.outliers.Members() {
			if !m.Ejected || !m.HealthChecker || !s.outliers.TryHealthCheck(now, m.Name) {
				continue
			}
			if member, ok := s.pool.AcquireEjected(now, m.Name); ok {
				return member, true
			}
			break
		}
	}
	member, result := s.pool.Acquire(now, 0, t.failedMembers, t.caller)
	if result == pool.Queued {
		s.pool.CancelQueued(0)
	}
	return member, result == pool.Granted
}

// startAttempt starts the next attempt of an RPC; without a member the RPC fails.
func (sim *Simulation) startAttempt(s *server, t attempt) {
	number, ok := s.pickMember(sim.localClock(s), &t)
	if !ok {
		return
	}
	t.member = number
	t.startedAt = sim.now
	t.attempts++
	member := s.memberIndex(number)
	sim.backendSecond().Attempts[member]++
	sim.memberInFlight[member]++
	work := sim.drawOutcome(s, &t, member)
	at := sim.allocateAttempt(t)
	late := evidence.LateThreshold(s.pool.MedianLatency())
	if s.outliers != nil && late > 0 && work > late {
		sim.queue.put(event{at: sim.now + late, kind: eventAttemptLate, server: noServer, subject: at, detail: sim.lastAttempt})
	}
	sim.queue.put(event{at: sim.now + work, kind: eventAttemptDone, server: noServer, subject: at, detail: int32(member)})
}

// drawOutcome draws how an attempt ends, and after how many ms.
func (sim *Simulation) drawOutcome(s *server, t *attempt, member int) (workMs float64) {
	o := sim.options.Backends
	fault := sim.faultOn(s, member)
	if fault.failureRate > 0 || fault.noResponse {
		sim.backendSecond().FaultyAttempts++
	}
	workMs = o.MeanWorkMs * (minWorkShare + (1-minWorkShare)*sim.backendRand.ExpFloat64()) * fault.slowdown
	if o.Capacity > 0 {
		workMs *= math.Max(1, float64(sim.memberInFlight[member])/o.Capacity)
	}
	t.ok = sim.backendRand.Float64() >= fault.failureRate
	t.noResponse = fault.noResponse
	if !t.ok && !t.noResponse {
		workMs = failedAttemptMs
	}
	if t.noResponse || workMs > attemptTimeoutMs {
		workMs = attemptTimeoutMs
		t.ok = false
		t.noResponse = true
	}
	return workMs
}

// allocateAttempt stores an attempt under a new number and returns its index.
func (sim *Simulation) allocateAttempt(t attempt) (at int32) {
	if n := len(sim.freeAttempts); n > 0 {
		at = sim.freeAttempts[n-1]
		sim.freeAttempts = sim.freeAttempts[:n-1]
	} else {
		sim.attempts = append(sim.attempts, attempt{})
		at = int32(len(sim.attempts) - 1)
	}
	sim.lastAttempt++
	t.number = sim.lastAttempt
	t.reportedLate = false
	sim.attempts[at] = t
	return at
}

// memberCondition is what a server meets at a member.
type memberCondition struct {
	failureRate float64
	slowdown    float64
	noResponse  bool
}

// faulty reports whether any fault is present.
func (c memberCondition) faulty() bool { return c.failureRate != 0 || c.slowdown != 1 || c.noResponse }

// faultOn combines the faults that a server meets at a member now.
func (sim *Simulation) faultOn(s *server, member int) memberCondition {
	c := memberCondition{slowdown: 1}
	for i := range sim.options.Backends.Faults {
		f := &sim.options.Backends.Faults[i]
		if !f.presentAt(sim.now) || !f.concerns(s, member) {
			continue
		}
		c.failureRate = math.Max(c.failureRate, f.FailureRate)
		c.noResponse = c.noResponse || f.NoResponse
		if f.Slowdown > 0 {
			c.slowdown *= f.Slowdown
		}
	}
	return c
}

func (f *MemberFault) presentAt(now float64) bool {
	if now < f.FromMs || now >= f.UntilMs {
		return false
	}
	return f.FlapMs <= 0 || int((now-f.FromMs)/f.FlapMs)%2 == 0
}

func (f *MemberFault) concerns(s *server, member int) bool {
	if f.Zone != "" && f.Zone != s.zone {
		return false
	}
	return slices.Contains(f.Members, member) && (f.Servers == nil || slices.Contains(f.Servers, int(s.index)))
}

// attemptServer returns the server of an attempt; nil if its process has ended since, or is stopped.
func (sim *Simulation) attemptServer(t *attempt) *server {
	s := &sim.servers[t.server]
	if s.incarnation != t.incarnation || !s.up || s.stopped {
		return nil
	}
	return s
}

// attemptLate reports an attempt without an answer long after the usual time.
func (sim *Simulation) attemptLate(at, number int32) {
	t := &sim.attempts[at]
	if t.number != number {
		return
	}
	s := sim.attemptServer(t)
	if s == nil {
		return
	}
	t.reportedLate = true
	s.evidence.RecordFailure(sim.localClock(s), memberName(s.memberIndex(t.member)))
	sim.raiseAlert(s)
	sim.detectOutliers(s)
}

// raiseAlert notes a failure that peers are to know of soon.
func (sim *Simulation) raiseAlert(s *server) {
	s.urgent = true
	s.alertUntil = sim.now + alertMs
}

// finishAttempt ends an attempt; one that failed may be retried.
func (sim *Simulation) finishAttempt(at, member int32) {
	t := sim.attempts[at]
	sim.attempts[at].number = 0
	sim.freeAttempts = append(sim.freeAttempts, at)
	sim.memberInFlight[member]--
	s := sim.attemptServer(&t)
	if s == nil {
		return
	}
	o := sim.options.Backends
	now := sim.localClock(s)
	latencyMs := sim.now - t.startedAt
	name := memberName(int(member))
	if t.ok {
		s.pool.Complete(now, t.member, pool.Succeeded, latencyMs)
		s.evidence.RecordSuccess(now, name, latencyMs)
		if s.outliers != nil && latencyMs > o.MeanWorkMs*o.PoolRules.LatencyFactor {
			s.alertUntil = sim.now + alertMs
		}
		if sim.now-t.rpcStartedAt <= o.TargetMs {
			sim.backendSecond().OK++
		}
		return
	}
	s.pool.Complete(now, t.member, pool.Failed, latencyMs)
	if !t.reportedLate {
		s.evidence.RecordFailure(now, name)
	}
	sim.raiseAlert(s)
	if s.outliers != nil {
		sim.detectOutliers(s)
	}
	if t.attempts < backendAttempts && o.retryable(t.caller) {
		t.failedMembers = append(append([]int(nil), t.failedMembers...), t.member)
		sim.startAttempt(s, t)
	}
}

// retryable draws by the caller's number whether its RPCs may run twice.
func (o *BackendOptions) retryable(caller uint64) bool {
	return o.RetryableShare == 0 || float64(caller>>11)/(1<<53) < o.RetryableShare
}
