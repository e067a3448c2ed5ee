package fleetsim

// This file owns a server's gate and engine on the virtual clock. The gate is the one that the daemon runs; the engine is a
// machine whose cores are shared evenly by all that runs. It must never answer an RPC in the gate's place.

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/startup"
)

// rpcServer is what a server has for RPCs.
type rpcServer struct {
	gate                 *gate.Gate
	inFlight             []inFlightRPC // in the order of their arrival
	jobs                 []job
	workedUntil          float64 // world's ms up to which the jobs have been worked on
	jobVersion           int32   // of the next end
	coreUse              float64 // of the cores, of late
	speed                float64
	failureRate          float64 // part of the runs
	overdue              int
	finishedWhileStopped []inFlightRPC
}

type inFlightRPC struct {
	ticket  *gate.Ticket
	rpc     int32
	attempt int32
	dueAt   float64 // world's ms by which it must be answered
}

type job struct {
	inFlightRPC
	remainingMs float64 // ms of one core
}

// methods of a world: a read, a write and a purchase.
var methodNames = [3]string{"account-view", "settings-save", "topup-buy"}

var (
	methodShare  = [3]float64{0.5, 0.35, 0.15}
	methodWeight = [3]float64{1, 1, 3}
)

const (
	targetMs            = 400.0
	deadlineMs          = 1200.0
	idempotencyWindowMs = 8000.0
	answerSlackMs       = 80.0
	drainGraceMs        = 500.0
	drainMs             = 3000.0
	coreUseTimeMs       = 250.0
)

// serverSettings are the platform's, for a world's servers.
func (o *Options) serverSettings() *startup.Config {
	s := fmt.Sprintf("classes.count=3\nfamily_info.cores=%d\nfamily_info.ram_kb=4000000\nfamily_info.run_factor=4\nfamily_info.key_kb=1\n"+
		"family_info.callers=3\nfamily_info.meters=core_use,on_cores\nrules.tip_multiple=8\nrules.drain_grace=%g\nrules.answer_slack=%g\n"+
		"limits.max_retry_after=1000000000\nclient_habits.marks_retry=true\ntick=4000000\nrules.cold=%g\nreplicas_of_me=%d\n",
		max(1, o.Cores), drainGraceMs*1e6, answerSlackMs*1e6, max(1, o.SlowStartMs)*1e6, o.Servers)
	for i, name := range methodNames {
		kind := "read_like"
		if i == 2 {
			kind = "idempotency_key"
		}
		s += fmt.Sprintf("classes.%d.name=%s\nclasses.%d.aim=%g\nclasses.%d.give_up=%g\nclasses.%d.worth=%g\nclasses.%d.late_worth=0.2\nclasses.%d.idempotency=%s\nclasses.%d.window=%g\n",
			i, name, i, targetMs*1e6, i, deadlineMs*1e6, i, methodWeight[i], i, i, kind, i, idempotencyWindowMs*1e6)
	}
	p, err := startup.Parse(s)
	if err != nil {
		panic(err) // a fault of this file, found by its first test
	}
	return p
}

func (sim *Simulation) startGate(s *server) {
	if sim.options.RatePerServer <= 0 {
		return
	}
	if s.speed == 0 {
		s.speed = 1
	}
	s.jobs, s.inFlight, s.workedUntil, s.coreUse = s.jobs[:0], s.inFlight[:0], sim.now, 0
	p := sim.settings
	if p == nil {
		p = sim.options.serverSettings()
		sim.settings = p
	}
	own := *p
	own.Node.Seed = s.rand.Uint64()
	s.gate = gate.New(&own, 64, func(text, detail string) {
		if text == "gate: an RPC was overdue" {
			s.overdue++
		}
	})
	s.gate.UseClock(func() time.Time { return time.UnixMilli(0).Add(time.Duration(sim.wallClock(s) * 1e6)) })
	s.gate.Start(sim.options.SlowStartMs > 0 && sim.now > 0, 0) // those of the beginning are warm
	sim.scheduleAfter(s, 40*s.rand.Float64(), eventGateTick, 0, 0)
}

func (sim *Simulation) stopGate(s *server) {
	s.jobs, s.inFlight, s.jobVersion = s.jobs[:0], s.inFlight[:0], s.jobVersion+1
	s.gate = nil
}

func (sim *Simulation) resumeGate(s *server) {
	if s.gate != nil {
		sim.pollVerdicts(s)
		sim.readQueued(s)
	}
}

// startDrain is SIGTERM: the gate drains, the fleet hears it, and at the stop the process ends.
func (sim *Simulation) startDrain(s *server) {
	if !s.up || s.draining {
		return
	}
	s.draining, s.stopAt = true, sim.now+drainMs
	if s.gate != nil {
		s.gate.Drain(time.Duration(drainMs * 1e6))
		sim.pollVerdicts(s)
	}
	sim.queue.put(event{at: s.stopAt, kind: eventDrainDeadline, server: -1, subject: s.index, incarnation: s.incarnation})
}

// finishDrain is a drained server at its stop: all must have been answered.
func (sim *Simulation) finishDrain(s *server, life uint32) {
	if s.incarnation != life || !s.up {
		return
	}
	if n := len(s.inFlight); n > 0 && !s.stopped {
		sim.AddFinding("rules", "%s stops with %d RPCs unanswered", s.name, n)
	}
	sim.drainedServers++
	for i := range sim.servers { // it says good-bye to those that it reaches
		if o := &sim.servers[i]; o.up && !o.stopped && o != s && sim.network.isOpen(s.index, o.index) {
			sim.onDead(o, s.index, s.detector.version, left, s.index)
		}
	}
	sim.endProcess(s)
}

func (sim *Simulation) gateTick(s *server) {
	if s.gate == nil {
		return
	}
	sim.advanceJobs(s)
	wait := s.gate.Tick([]float64{s.coreUse, float64(len(s.jobs))})
	sim.scheduleAfter(s, float64(wait)/1e6, eventGateTick, 0, 0)
	sim.pollVerdicts(s)
}

// advanceJobs brings the jobs up to now: each has an even part of the cores.
func (sim *Simulation) advanceJobs(s *server) {
	dt := sim.now - s.workedUntil
	s.workedUntil = sim.now
	if dt <= 0 {
		return
	}
	n := float64(len(s.jobs))
	cores := float64(sim.options.Cores)
	busy := math.Min(1, n/cores)
	s.coreUse += (busy - s.coreUse) * (1 - math.Exp(-dt/coreUseTimeMs))
	if n == 0 {
		return
	}
	each := dt * s.speed * math.Min(1, cores/n)
	for i := range s.jobs {
		s.jobs[i].remainingMs -= each
	}
}

// scheduleJobDone sets the next end of a job.
func (sim *Simulation) scheduleJobDone(s *server) {
	s.jobVersion++
	if len(s.jobs) == 0 {
		return
	}
	least := s.jobs[0].remainingMs
	for i := range s.jobs {
		least = math.Min(least, s.jobs[i].remainingMs)
	}
	n := float64(len(s.jobs))
	each := s.speed * math.Min(1, float64(sim.options.Cores)/n)
	sim.queue.put(event{at: sim.now + math.Max(0, least)/math.Max(each, 1e-9), kind: eventJobDone, server: s.index, subject: s.jobVersion, incarnation: s.incarnation})
}

func (sim *Simulation) finishJobs(s *server, version int32) {
	if version != s.jobVersion || s.gate == nil {
		return
	}
	sim.advanceJobs(s)
	for i := 0; i < len(s.jobs); {
		j := s.jobs[i]
		if j.remainingMs > 1e-6 {
			i++
			continue
		}
		s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
		if !s.stopped {
			j.ticket.Report(sim.runOutcome(s), 0, nil)
		} else {
			s.finishedWhileStopped = append(s.finishedWhileStopped, j.inFlightRPC)
		}
	}
	sim.scheduleJobDone(s)
	if !s.stopped {
		sim.pollVerdicts(s)
	}
}

// runOutcome is how a run ends.
func (sim *Simulation) runOutcome(s *server) gate.Outcome {
	if s.failureRate > 0 && s.rand.Float64() < s.failureRate {
		return gate.Failed
	}
	return gate.Succeeded
}

// readRPC has a server take an RPC.
func (sim *Simulation) readRPC(s *server, rpc int32, try int32) {
	r := &sim.rpcs[rpc]
	in := gate.RPC{
		ID: strconv.FormatInt(int64(r.id)<<8|int64(try), 36), Method: methodNames[r.method], Caller: uint16(r.router%3 + 1),
		Subject: uint64(r.id%5000 + 1), ArrivedMs: sim.wallClock(s), CostHintMs: r.workMs, QueuedKB: 16, Retry: try > 1, Body: r.body[:],
	}
	if r.method == 2 {
		in.Token, in.Subject = strconv.FormatInt(int64(r.token), 36), 0
	}
	t, err := s.gate.Submit(in)
	if err != nil {
		sim.AddFinding("rules", "%s: an RPC that makes sense is senseless: %v", s.name, err)
		return
	}
	owed := sim.now + (deadlineMs+answerSlackMs)/s.clockRate
	s.inFlight = append(s.inFlight, inFlightRPC{t, rpc, try, owed})
	sim.pollVerdicts(s)
}

// pollVerdicts takes all verdicts that are there.
func (sim *Simulation) pollVerdicts(s *server) {
	for _, d := range s.finishedWhileStopped { // runs that ended while the process was stopped
		d.ticket.Report(sim.runOutcome(s), 0, nil)
	}
	s.finishedWhileStopped = s.finishedWhileStopped[:0]
	for again := true; again; {
		again = false
		keep := s.inFlight[:0]
		begun := false
		for _, h := range s.inFlight {
			if sim.options.injected == missingAnswers && sim.rpcs[h.rpc].id%97 == 0 {
				keep = append(keep, h)
				continue
			}
			v, there := h.ticket.TryWait()
			if !there {
				keep = append(keep, h)
				continue
			}
			if v.Kind == gate.Run {
				sim.advanceJobs(s)
				s.jobs = append(s.jobs, job{h, sim.rpcs[h.rpc].workMs})
				begun, again = true, true
				sim.recordRun(s, h.rpc)
				keep = append(keep, h)
				continue
			}
			sim.onVerdict(s, &h, &v)
		}
		clear(s.inFlight[len(keep):])
		s.inFlight = keep
		if begun {
			sim.scheduleJobDone(s)
		}
	}
}
