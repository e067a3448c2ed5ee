// Package fleetsim simulates a whole fleet on a virtual clock. Its servers run the project's own decision code (the gate with
// control/, decision/health, decision/quota, decision/pool, decision/outlier); failure detector, engines, callers and network
// are models. A run is single-threaded and a pure function of its Options: equal seeds give equal digests on every machine.
// Checkers look for violations of what the shared state and the agreements promise.
//
// A run is no measurement of real processes (internal/testbed makes those), and the simulator takes no decision that belongs
// to the servers.
package fleetsim

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"sorrelvalve/internal/standin/script"
)

// Simulation is one run. It is not safe for concurrent use.
type Simulation struct {
	options     Options
	now         float64 // virtual time in ms
	queue       queue
	servers     []server
	network     network
	rand        *rand.Rand
	packets     []packet
	freePackets []int32 // places in packets that are not in use
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

// Streams of the seed's random numbers: several, so that the draws of one part don't shift those of another.
const (
	callerStream      = 1
	networkStream     = 2
	backendStream     = 3
	firstServerStream = 100
)

// New prepares a run: servers start, and the script's steps and the checkers are scheduled.
func New(o Options) *Simulation {
	o = o.withDefaults()
	sim := &Simulation{options: o, digest: xxhash.New(), script: o.Script, checkers: o.Checkers}
	sim.rand = rand.New(rand.NewPCG(o.Seed, callerStream))
	sim.network.rand = rand.New(rand.NewPCG(o.Seed, networkStream))
	sim.servers = make([]server, o.Servers)
	for i, name := range ServerNames(o.Servers) {
		sim.addServer(int32(i), name)
	}
	for i, step := range sim.script {
		at := milliseconds(step.At)
		sim.queue.put(event{at: at, kind: eventScriptStep, server: noServer, subject: int32(i)})
		sim.lastStepAt = max(sim.lastStepAt, at)
	}
	for at := o.CheckIntervalMs; at <= o.DurationMs; at += o.CheckIntervalMs {
		sim.queue.put(event{at: at, kind: eventCheck, server: noServer})
	}
	sim.startCallers()
	sim.startQuotaLoad()
	sim.startBackendLoad()
	return sim
}

// addServer fills a server's place and starts its process.
func (sim *Simulation) addServer(index int32, name string) {
	o := &sim.options
	s := &sim.servers[index]
	s.index = index
	s.name = name
	s.zone = fmt.Sprint("z", int(index)%max(1, o.Zones))
	s.fleetSize = int32(o.Servers)
	if fleet := int32(o.FleetSize); fleet > 0 {
		s.fleetFirst = index / fleet * fleet
		s.fleetSize = min(fleet, int32(o.Servers)-s.fleetFirst)
	}
	s.rand = rand.New(rand.NewPCG(o.Seed, uint64(firstServerStream+index)))
	s.clockRate = 1 + max(0, o.MaxClockDrift)*(2*s.rand.Float64()-1)
	sim.startProcess(s)
}

// Run plays the whole run and returns its result.
func (sim *Simulation) Run() *Result {
	for sim.queue.len() > 0 && sim.queue.heap[0].at <= sim.options.DurationMs {
		e := sim.queue.take()
		sim.now = e.at
		sim.result.Events++
		sim.dispatch(&e)
	}
	sim.now = sim.options.DurationMs
	return sim.report()
}

// dispatch handles one event.
func (sim *Simulation) dispatch(e *event) {
	if e.server == noServer {
		sim.dispatchGlobal(e)
		return
	}
	s := &sim.servers[e.server]
	switch {
	case e.kind == eventPacket:
		sim.dispatchPacket(s, e)
	case e.incarnation != s.incarnation || !s.up: // of a former process
	case s.stopped && e.kind != eventJobDone:
		s.queuedEvents = append(s.queuedEvents, *e)
	default:
		sim.dispatchToServer(s, e)
	}
}

// maxQueuedPackets is how many events wait at a stopped process before its socket drops packets.
const maxQueuedPackets = 300

// dispatchPacket delivers a packet, or leaves it in the socket of a stopped process.
func (sim *Simulation) dispatchPacket(s *server, e *event) {
	if s.up && s.stopped && len(s.queuedEvents) < maxQueuedPackets {
		s.queuedEvents = append(s.queuedEvents, *e)
		return
	}
	if s.up && !s.stopped {
		p := sim.packets[e.subject] // a copy: handling it may grow the slice
		sim.receivePacket(s, &p)
	}
	sim.freePackets = append(sim.freePackets, e.subject)
}

// dispatchToServer handles an event of a process that runs.
func (sim *Simulation) dispatchToServer(s *server, e *event) {
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
		sim.suspicionTimeout(s, e.subject)
	case eventHeartbeat:
		sim.sendHeartbeat(s)
	case eventGossipRound:
		sim.gossipRound(s)
	case eventPushPull:
		sim.pushPullRound(s)
	case eventJoin:
		sim.join(s, e.subject, e.detail)
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
}

// dispatchGlobal handles an event that belongs to no server's process.
func (sim *Simulation) dispatchGlobal(e *event) {
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
		sim.dispatchToCaller(e)
	}
}
