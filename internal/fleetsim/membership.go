package fleetsim

import "sorrelvalve/decision/health"

// This file drives decision/health, each server's view of its fleet, as internal/fleet does it: ticks, the check for stalls,
// joins, and what the failure detector reports.

const (
	healthTickMs     = 100.0
	joinIntervalMs   = 1000.0
	joinAttempts     = 20 // attempts of one join while a cut holds up its stream
	joinsAtOnce      = 2
	seedServers      = 3 // the first servers of a fleet are its seeds
	joinRoundTripsMs = 3 * networkDelayMs
)

// awake reports whether a server may act on what it knows: false from a stall until its detector has started afresh.
func (sim *Simulation) awake(s *server) bool {
	if s.muted {
		return false
	}
	stalled := sim.localClock(s)-s.lastTickAt >= sim.options.HealthRules.StallThreshold
	if stalled && sim.options.injected != staleAfterStall {
		s.muted = true
	}
	return !s.muted
}

// healthTick is one tick of internal/fleet's loop.
func (sim *Simulation) healthTick(s *server) {
	sim.scheduleAfter(s, healthTickMs, eventHealthTick, 0, 0)
	muted := !sim.awake(s)
	now := sim.localClock(s)
	if sim.options.injected == staleAfterStall {
		s.health.Tick(s.lastTickAt+healthTickMs, wallEpochMs) // as if no time had passed
		s.health.Tick(now, wallEpochMs+now-s.lastTickAt)
	} else if s.health.Tick(now, sim.wallClock(s)) || muted {
		sim.recoverFromStall(s, now)
		return
	}
	s.lastTickAt = now
	if s.detector.aliveCount > 0 && s.health.InboundTimedOut(now) { // nothing arrives from any peer
		s.health.Reset(now)
		sim.resetDetector(s)
		s.nextJoinAt = now
	}
	if now < s.nextJoinAt {
		return
	}
	s.nextJoinAt = now + joinIntervalMs*(0.75+0.5*s.rand.Float64())
	if s.health.State(now) != health.Complete {
		sim.joinPeers(s)
	}
}

// recoverFromStall forgets what a server knew before it stalled.
func (sim *Simulation) recoverFromStall(s *server, now float64) {
	s.health.Reset(now)
	s.stalls++
	sim.suspendQuota(s)
	sim.observe(observedStall, s.index, 0)
	sim.resetDetector(s)
	s.muted = false
	s.lastTickAt = now
	s.nextJoinAt = now
	s.resumedAt = sim.now
}

// joinPeers starts a join with up to two peers: silent ones of the roster, and seeds at which nobody was found yet.
func (sim *Simulation) joinPeers(s *server) {
	n := int(s.fleetSize)
	started := 0
	from := s.rand.IntN(n)
	for k := 0; k < n && started < joinsAtOnce; k++ {
		offset := int32((from + k) % n)
		peer := s.fleetFirst + offset
		if peer == s.index {
			continue
		}
		state := s.detector.members[offset].state
		found := state == alive || state == suspect
		missed := s.health.NeedsRejoin(sim.servers[peer].name)
		if !missed && (found || offset >= seedServers) {
			continue
		}
		started++
		sim.scheduleAfter(s, joinRoundTripsMs, eventJoin, peer, 0)
	}
}

// join exchanges states with a peer. A stream through a cut stands still for a second, and goes on if the cut heals before.
func (sim *Simulation) join(s *server, peer, attempt int32) {
	p := &sim.servers[peer]
	if !sim.pushPull(s, p) && attempt < joinAttempts && p.up {
		sim.scheduleAfter(s, joinIntervalMs/joinAttempts, eventJoin, peer, attempt+1)
	}
}

// onAlive handles the detector's report that a peer is alive.
func (sim *Simulation) onAlive(s *server, peer int32) {
	now := sim.localClock(s)
	p := &sim.servers[peer]
	s.health.AddMember(now, p.name, p.zone, 0, 0)
	if sim.options.injected == neverAliveAgain && s.neverAlive[peer] {
		return
	}
	s.health.MarkAlive(now, p.name)
	sim.observe(observedAlive, s.index, peer)
}

// onKnown handles a peer that another server names without calling it alive.
func (sim *Simulation) onKnown(s *server, peer int32, incarnation uint32) {
	if peer == s.index {
		return
	}
	m := s.member(peer)
	if m.state != unknown {
		return
	}
	*m = member{state: dead, incarnation: incarnation}
	p := &sim.servers[peer]
	s.health.AddMember(sim.localClock(s), p.name, p.zone, 0, 0)
}

// onLost handles the detector's report that a peer is dead or has left.
func (sim *Simulation) onLost(s *server, peer int32, how memberState) {
	now := sim.localClock(s)
	name := sim.servers[peer].name
	sim.observe(observedLost, s.index, peer)
	if how == left || sim.options.injected == silenceIsDeparture {
		s.health.MarkDeparted(now, name, 0, health.Left)
		return
	}
	if sim.options.injected == neverAliveAgain {
		if s.neverAlive == nil {
			s.neverAlive = map[int32]bool{}
		}
		s.neverAlive[peer] = true
	}
	s.health.MarkSuspect(now, name)
}

// onPacketFrom notes that something arrived from a peer.
func (sim *Simulation) onPacketFrom(s *server, from int32) {
	s.health.RecordMessage(sim.localClock(s), sim.servers[from].name)
}

// onAnswered notes that a peer answered a health check.
func (sim *Simulation) onAnswered(s *server, from int32) {
	s.health.RecordAck(sim.localClock(s), sim.servers[from].name)
}

// declaredDead tells the checkers that a server itself declares a peer dead.
func (sim *Simulation) declaredDead(s *server, peer int32, why *suspicion) {
	for _, c := range sim.checkers {
		if observer, ok := c.(deathObserver); ok {
			observer.declaredDead(sim, s, peer, why)
		}
	}
}
