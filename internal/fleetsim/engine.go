package fleetsim

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/startup"
)

// This file runs a server's gate, the one that the daemon runs, on the virtual clock, and models its engine: a machine whose
// cores are shared evenly by all that runs.

// rpcServer is a server's state for RPCs.
type rpcServer struct {
	gate                 *gate.Gate
	inFlight             []inFlightRPC // in the order of their arrival
	jobs                 []job
	workedUntil          float64 // virtual time up to which the jobs have advanced
	jobVersion           int32   // of the schedule: voids the end that was scheduled before
	coreUse              float64 // busy share of the cores, smoothed
	speed                float64
	failureRate          float64 // of runs
	overdue              int     // RPCs that the gate reported as overdue
	finishedWhileStopped []inFlightRPC
}

// inFlightRPC is an attempt that a server has read and not answered.
type inFlightRPC struct {
	ticket  *gate.Ticket
	rpc     int32
	attempt int32
	dueAt   float64 // virtual time by which it must be answered
}

// job is a run on the engine.
type job struct {
	inFlightRPC
	remainingMs float64 // of one core
}

// Methods: a read, a write, and a purchase with an idempotency token.
const purchase = 2

var (
	methodNames  = [3]string{"account-view", "settings-save", "topup-buy"}
	methodShare  = [3]float64{0.5, 0.35, 0.15}
	methodWeight = [3]float64{1, 1, 3} // priority weight
)

const (
	targetMs            = 400.0 // latency objective
	deadlineMs          = 1200.0
	lateWeight          = 0.2 // of the weight remains past the objective
	idempotencyWindowMs = 8000.0
	answerSlackMs       = 80.0
	drainGraceMs        = 500.0
	drainMs             = 3000.0 // from SIGTERM to the end
	coreUseTimeMs       = 250.0  // time constant of the gauge
	gateTickMs          = 40.0   // bound on the first tick of a gate
	gateMemoryMB        = 64
	queuedKB            = 16
	subjects            = 5000
	callerNumbers       = 3
)

// overdueEvent is the gate's log event for an RPC whose run did not end by its due time.
const overdueEvent = "gate.rpc_overdue"

// servedWeight is the priority weight earned by an answer after some ms.
func servedWeight(method uint8, latencyMs float64) float64 {
	switch {
	case latencyMs <= targetMs:
		return methodWeight[method]
	case latencyMs <= deadlineMs:
		return lateWeight * methodWeight[method]
	}
	return 0
}

// serverSettings are the platform's settings for the simulated servers.
func (o *Options) serverSettings() *startup.Config {
	var b strings.Builder
	set := func(key, format string, value any) { fmt.Fprintf(&b, "%s="+format+"\n", key, value) }
	set("classes.count", "%d", len(methodNames))
	set("family_info.cores", "%d", max(1, o.Cores))
	set("family_info.ram_kb", "%d", 4000000)
	set("family_info.run_factor", "%d", 4)
	set("family_info.key_kb", "%d", 1)
	set("family_info.callers", "%d", callerNumbers)
	set("family_info.meters", "%s", "core_use,on_cores")
	set("rules.tip_multiple", "%d", 8)
	set("rules.drain_grace", "%g", drainGraceMs*1e6)
	set("rules.answer_slack", "%g", answerSlackMs*1e6)
	set("limits.max_retry_after", "%d", 1000000000)
	set("client_habits.marks_retry", "%t", true)
	set("tick", "%d", 4000000)
	set("rules.cold", "%g", max(1, o.SlowStartMs)*1e6)
	set("replicas_of_me", "%d", o.Servers)
	for i, name := range methodNames {
		class := fmt.Sprintf("classes.%d.", i)
		idempotency := "read_like"
		if i == purchase {
			idempotency = "idempotency_key"
		}
		set(class+"name", "%s", name)
		set(class+"aim", "%g", targetMs*1e6)
		set(class+"give_up", "%g", deadlineMs*1e6)
		set(class+"worth", "%g", methodWeight[i])
		set(class+"late_worth", "%g", lateWeight)
		set(class+"idempotency", "%s", idempotency)
		set(class+"window", "%g", idempotencyWindowMs*1e6)
	}
	settings, err := startup.Parse(b.String())
	if err != nil {
		panic(err) // a programming error in this function
	}
	return settings
}

// startGate starts a server's gate. Servers of the beginning are warm, later ones warm up if the options say so.
func (sim *Simulation) startGate(s *server) {
	if sim.options.RatePerServer <= 0 {
		return
	}
	if s.speed == 0 {
		s.speed = 1
	}
	s.jobs = s.jobs[:0]
	s.inFlight = s.inFlight[:0]
	s.workedUntil = sim.now
	s.coreUse = 0
	if sim.settings == nil {
		sim.settings = sim.options.serverSettings()
	}
	own := *sim.settings
	own.Node.Seed = s.rand.Uint64()
	s.gate = gate.New(&own, gateMemoryMB, func(event, _ string) {
		if event == overdueEvent {
			s.overdue++
		}
	})
	s.gate.UseClock(func() time.Time {
		return time.UnixMilli(0).Add(time.Duration(sim.wallClock(s) * 1e6))
	})
	s.gate.Start(sim.options.SlowStartMs > 0 && sim.now > 0, 0)
	sim.scheduleAfter(s, gateTickMs*s.rand.Float64(), eventGateTick, 0, 0)
}

// stopGate drops the gate and all runs of a process that has ended.
func (sim *Simulation) stopGate(s *server) {
	s.jobs = s.jobs[:0]
	s.inFlight = s.inFlight[:0]
	s.jobVersion++
	s.gate = nil
}

// resumeGate handles what happened while the process was stopped.
func (sim *Simulation) resumeGate(s *server) {
	if s.gate != nil {
		sim.pollVerdicts(s)
		sim.readQueued(s)
	}
}

// startDrain is SIGTERM: the gate drains, and the process ends after drainMs.
func (sim *Simulation) startDrain(s *server) {
	if !s.up || s.draining {
		return
	}
	s.draining = true
	s.stopAt = sim.now + drainMs
	if s.gate != nil {
		s.gate.Drain(time.Duration(drainMs * 1e6))
		sim.pollVerdicts(s)
	}
	sim.queue.put(event{at: s.stopAt, kind: eventDrainDeadline, server: noServer, subject: s.index, incarnation: s.incarnation})
}

// finishDrain ends a drained process, which must have answered everything, and announces its departure to the peers in reach.
func (sim *Simulation) finishDrain(s *server, incarnation uint32) {
	if s.incarnation != incarnation || !s.up {
		return
	}
	if n := len(s.inFlight); n > 0 && !s.stopped {
		sim.AddFinding("rules", "%s stops with %d RPCs unanswered", s.name, n)
	}
	sim.drainedServers++
	for i := range sim.servers {
		peer := &sim.servers[i]
		if peer != s && peer.up && !peer.stopped && sim.network.isOpen(s.index, peer.index) {
			sim.onDead(peer, s.index, s.detector.version, left, s.index)
		}
	}
	sim.endProcess(s)
}

// gateTick ticks the gate with the engine's gauges.
func (sim *Simulation) gateTick(s *server) {
	if s.gate == nil {
		return
	}
	sim.advanceJobs(s)
	wait := s.gate.Tick([]float64{s.coreUse, float64(len(s.jobs))})
	sim.scheduleAfter(s, float64(wait)/1e6, eventGateTick, 0, 0)
	sim.pollVerdicts(s)
}

// advanceJobs advances the jobs to now: each has an even part of the cores.
func (sim *Simulation) advanceJobs(s *server) {
	elapsed := sim.now - s.workedUntil
	s.workedUntil = sim.now
	if elapsed <= 0 {
		return
	}
	n := float64(len(s.jobs))
	cores := float64(sim.options.Cores)
	busy := math.Min(1, n/cores)
	s.coreUse += (busy - s.coreUse) * (1 - math.Exp(-elapsed/coreUseTimeMs))
	if n == 0 {
		return
	}
	done := elapsed * s.speed * math.Min(1, cores/n)
	for i := range s.jobs {
		s.jobs[i].remainingMs -= done
	}
}

// scheduleJobDone schedules the end of the job that is done first.
func (sim *Simulation) scheduleJobDone(s *server) {
	const minSpeed = 1e-9
	s.jobVersion++
	if len(s.jobs) == 0 {
		return
	}
	shortest := s.jobs[0].remainingMs
	for i := range s.jobs {
		shortest = math.Min(shortest, s.jobs[i].remainingMs)
	}
	n := float64(len(s.jobs))
	speed := s.speed * math.Min(1, float64(sim.options.Cores)/n)
	at := sim.now + math.Max(0, shortest)/math.Max(speed, minSpeed)
	sim.queue.put(event{at: at, kind: eventJobDone, server: s.index, subject: s.jobVersion, incarnation: s.incarnation})
}

// finishJobs reports the runs that are done; those of a stopped process are reported once it resumes.
func (sim *Simulation) finishJobs(s *server, version int32) {
	const rounding = 1e-6 // ms of work
	if version != s.jobVersion || s.gate == nil {
		return
	}
	sim.advanceJobs(s)
	for i := 0; i < len(s.jobs); {
		done := s.jobs[i]
		if done.remainingMs > rounding {
			i++
			continue
		}
		s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
		if s.stopped {
			s.finishedWhileStopped = append(s.finishedWhileStopped, done.inFlightRPC)
		} else {
			done.ticket.Report(s.runOutcome(), 0, nil)
		}
	}
	sim.scheduleJobDone(s)
	if !s.stopped {
		sim.pollVerdicts(s)
	}
}

// runOutcome draws how a run ends.
func (s *server) runOutcome() gate.Outcome {
	if s.failureRate > 0 && s.rand.Float64() < s.failureRate {
		return gate.Failed
	}
	return gate.Succeeded
}

// readRPC has a server read an attempt.
func (sim *Simulation) readRPC(s *server, at, attempt int32) {
	r := &sim.rpcs[at]
	request := gate.RPC{
		ID:         strconv.FormatInt(int64(r.id)<<8|int64(attempt), 36),
		Method:     methodNames[r.method],
		Caller:     uint16(r.router%callerNumbers + 1),
		Subject:    r.id%subjects + 1,
		ArrivedMs:  sim.wallClock(s),
		CostHintMs: r.workMs,
		QueuedKB:   queuedKB,
		Retry:      attempt > 1,
		Body:       r.body[:],
	}
	if r.method == purchase {
		request.Token = strconv.FormatInt(int64(r.token), 36)
		request.Subject = 0
	}
	ticket, err := s.gate.Submit(request)
	if err != nil {
		sim.AddFinding("rules", "%s: an RPC that makes sense is senseless: %v", s.name, err)
		return
	}
	dueAt := sim.now + (deadlineMs+answerSlackMs)/s.clockRate
	s.inFlight = append(s.inFlight, inFlightRPC{ticket, at, attempt, dueAt})
	sim.pollVerdicts(s)
}

// pollVerdicts handles all verdicts that the gate has given, until it gives no more.
func (sim *Simulation) pollVerdicts(s *server) {
	for _, done := range s.finishedWhileStopped {
		done.ticket.Report(s.runOutcome(), 0, nil)
	}
	s.finishedWhileStopped = s.finishedWhileStopped[:0]
	for began := true; began; {
		began = sim.pollOnce(s)
	}
}

// pollOnce handles the verdicts given so far, and reports whether runs began.
func (sim *Simulation) pollOnce(s *server) (began bool) {
	open := s.inFlight[:0]
	for _, attempt := range s.inFlight {
		if sim.options.injected == missingAnswers && sim.rpcs[attempt.rpc].id%injectedFaultEach == 0 {
			open = append(open, attempt)
			continue
		}
		verdict, given := attempt.ticket.TryWait()
		if !given {
			open = append(open, attempt)
			continue
		}
		if verdict.Kind != gate.Run {
			sim.onVerdict(&attempt, &verdict)
			continue
		}
		sim.advanceJobs(s)
		s.jobs = append(s.jobs, job{attempt, sim.rpcs[attempt.rpc].workMs})
		began = true
		sim.recordRun(s, attempt.rpc)
		open = append(open, attempt)
	}
	clear(s.inFlight[len(open):])
	s.inFlight = open
	if began {
		sim.scheduleJobDone(s)
	}
	return began
}
