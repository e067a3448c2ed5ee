package fleetsim

import (
	"math/rand/v2"

	"sorrelvalve/decision/health"
)

// server is one simulated server: its process, its clock, and the state of each of its parts.
type server struct {
	index      int32
	fleetFirst int32 // index of the first server of its fleet
	fleetSize  int32
	name       string
	zone       string
	rand       *rand.Rand

	// Its process.
	incarnation uint32 // counts the starts over the run: a later process has a larger one
	up          bool
	stopped     bool // by SIGSTOP: events wait in queuedEvents
	draining    bool
	stopAt      float64 // when a drain ends the process
	downAt      float64 // when the process last ended
	resumedAt   float64 // when the process last started, resumed, or noticed a stall

	// Its clock, which runs at its own rate from a random base.
	clockRate  float64
	clockSetAt float64 // virtual time at which the clock showed clockBase
	clockBase  float64
	wallOffset float64 // sum of the wall clock's steps

	// Its view of the fleet. Times are of its own clock.
	health       *health.Detector
	detector     detector
	lastTickAt   float64
	nextJoinAt   float64
	muted        bool // stalled: sends nothing until its detector starts afresh
	stalls       int  // stalls that it noticed
	heartbeats   uint32
	queuedEvents []event

	rpcServer
	quotaParticipant
	backendClient

	neverAlive map[int32]bool // for the injected fault neverAliveAgain
}

// wallEpochMs is the Unix time in ms at which wall clocks begin.
const wallEpochMs = 1_700_000_000_000

// localClock is a server's monotonic clock.
func (sim *Simulation) localClock(s *server) float64 {
	return s.clockBase + (sim.now-s.clockSetAt)*s.clockRate
}

// wallClock is a server's wall clock in Unix ms.
func (sim *Simulation) wallClock(s *server) float64 {
	return wallEpochMs + sim.localClock(s) + s.wallOffset
}

// scheduleAfter schedules an event of a server's process after some ms of the server's own clock.
func (sim *Simulation) scheduleAfter(s *server, delayMs float64, kind eventKind, subject, detail int32) {
	sim.queue.put(event{
		at: sim.now + delayMs/s.clockRate, kind: kind, server: s.index,
		subject: subject, detail: detail, incarnation: s.incarnation,
	})
}

// startProcess starts a server's process, which knows no peer yet.
func (sim *Simulation) startProcess(s *server) {
	s.clockBase = 1000 * s.rand.Float64()
	s.clockSetAt = sim.now
	s.up = true
	s.stopped = false
	s.draining = false
	s.muted = false
	s.incarnation++
	s.resumedAt = sim.now
	s.queuedEvents = s.queuedEvents[:0]
	s.detector.version = 0
	sim.resetDetector(s)
	now := sim.localClock(s)
	s.health = health.New(sim.options.HealthRules, s.name, s.zone, now, sim.wallClock(s))
	s.lastTickAt = now
	s.nextJoinAt = now
	sim.scheduleAfter(s, healthTickMs*s.rand.Float64(), eventHealthTick, 0, 0)
	sim.scheduleAfter(s, healthCheckIntervalMs*s.rand.Float64(), eventHealthCheck, 0, 0)
	sim.scheduleAfter(s, heartbeatMs*s.rand.Float64(), eventHeartbeat, 0, 0)
	sim.scheduleAfter(s, pushPullIntervalMs*(0.5+s.rand.Float64()), eventPushPull, 0, 0)
	sim.startGate(s)
	sim.startQuota(s)
	sim.startBackendClient(s)
}

// endProcess ends a server's process at once.
func (sim *Simulation) endProcess(s *server) {
	if !s.up {
		return
	}
	sim.breakConnections(s)
	s.up = false
	s.downAt = sim.now
	s.incarnation++ // voids the events that it had scheduled
	sim.stopGate(s)
}

// resumeProcess continues a stopped process: what waited meanwhile, timers and packets in its sockets, happens now in its order.
func (sim *Simulation) resumeProcess(s *server) {
	if !s.up || !s.stopped {
		return
	}
	s.stopped = false
	s.resumedAt = sim.now
	queued := s.queuedEvents
	s.queuedEvents = nil
	for _, e := range queued {
		e.at = sim.now
		sim.queue.put(e)
	}
	sim.resumeGate(s)
}
