package fleetsim

import "math"

// This file models memberlist's failure detector with the figures of internal/fleet: SWIM (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with Lifeguard's health penalty and
// shrinking suspicion timeouts (Dadgar, Phillips, Currey, 2017). Only the simulator uses it; what the servers make of its
// reports is their own code (membership.go).

// The figures of internal/fleet and of memberlist's defaults. Times are in ms.
const (
	healthCheckIntervalMs = 500.0
	healthCheckTimeoutMs  = 300.0 // then indirect checks begin
	gossipIntervalMs      = 200.0
	pushPullIntervalMs    = 30e3
	suspicionMult         = 4.0 // minimum suspicion, in check intervals and logarithms of the fleet's size
	suspicionMaxMult      = 3.0 // maximum over minimum
	wantedConfirmations   = 2   // of other servers, after which a suspicion lasts the minimum
	indirectChecks        = 3
	gossipFanout          = 3
	retransmitMult        = 4
	updatesPerPacket      = 16
	maxHealthPenalty      = 7 // each step lets a health check take one interval more
	noTarget              = -1
	noPeer                = -1
)

// Full exchanges become rarer in fleets of more than 32 servers: memberlist's push-pull scale.
const pushPullThresholdLog = 5

// memberState is the state of a peer in a detector.
type memberState uint8

const (
	unknown memberState = iota
	alive
	suspect
	dead
	left
	heartbeat // no state: marks the update that carries a server's own record
)

// member is what a detector knows of a peer.
type member struct {
	version     uint32 // SWIM's incarnation number, by which a server refutes suspicions
	state       memberState
	incarnation uint32 // of the peer's process
	heartbeat   uint32 // number of its latest record
}

// update is one gossiped statement.
type update struct {
	subject     int32
	version     uint32 // SWIM's incarnation number, or the number of a heartbeat
	incarnation uint32
	state       memberState
	reporter    int32 // who suspects
}

// suspicion is a running one.
type suspicion struct {
	version   uint32
	reporters []int32 // the first one, and those that confirmed it
	startedAt float64 // of the server's clock, as is deadline
	deadline  float64
}

// detector is a server's failure detector.
type detector struct {
	members         []member // by index within the fleet
	version         uint32   // its own
	checkIndex      uint32   // member checked last
	checkStride     uint32
	checkNumber     int32 // of the check under way
	checkTarget     int32 // peer of the check under way, or noTarget
	checkAnswered   bool
	healthPenalty   int
	updates         updateQueue
	gossipScheduled bool
	suspicions      map[int32]*suspicion
	aliveCount      int // peers alive or suspected
}

// member returns what a server's detector knows of a peer.
func (s *server) member(peer int32) *member { return &s.detector.members[peer-s.fleetFirst] }

// resetDetector starts a detector that knows nobody.
func (sim *Simulation) resetDetector(s *server) {
	d := &s.detector
	n := int(s.fleetSize)
	if d.members == nil {
		d.members = make([]member, n)
	} else {
		clear(d.members)
	}
	d.updates.reset(s.fleetFirst, s.fleetSize)
	d.suspicions = map[int32]*suspicion{}
	d.aliveCount = 0
	d.healthPenalty = 0
	d.gossipScheduled = false
	d.checkNumber++
	d.checkTarget = noTarget
	// A round of checks visits each server once, by a stride that is coprime to their number.
	d.checkIndex = uint32(s.rand.IntN(n))
	d.checkStride = uint32(1 + s.rand.IntN(n))
	for gcd(d.checkStride, uint32(n)) != 1 {
		d.checkStride++
	}
}

func gcd(a, b uint32) uint32 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// retransmitLimit is how often an update is passed on.
func (d *detector) retransmitLimit() uint8 {
	return uint8(retransmitMult * math.Ceil(math.Log10(float64(d.aliveCount+2))))
}

// broadcast queues an update for gossip; it replaces an older one of the same subject.
func (sim *Simulation) broadcast(s *server, u update) {
	s.detector.updates.add(u)
	sim.scheduleGossip(s)
}

func (sim *Simulation) scheduleGossip(s *server) {
	if !s.detector.gossipScheduled && s.detector.updates.pending > 0 {
		s.detector.gossipScheduled = true
		sim.scheduleAfter(s, gossipIntervalMs, eventGossipRound, 0, 0)
	}
}

// randomPeers draws up to n different peers (at most eight) that are alive or suspected, without the one excluded.
func (sim *Simulation) randomPeers(s *server, n int, excluded int32) (peers [8]int32, found int) {
	for range 6 * n {
		peer := s.fleetFirst + int32(s.rand.IntN(int(s.fleetSize)))
		state := s.member(peer).state
		if peer == s.index || peer == excluded || state != alive && state != suspect {
			continue
		}
		drawn := false
		for _, p := range peers[:found] {
			drawn = drawn || p == peer
		}
		if drawn {
			continue
		}
		peers[found] = peer
		found++
		if found == n {
			break
		}
	}
	return peers, found
}

// takeUpdates appends the updates for one packet.
func (d *detector) takeUpdates(into []update) []update {
	if d.updates.pending == 0 {
		return into
	}
	return d.updates.take(into, updatesPerPacket, int(d.retransmitLimit()))
}

// gossipRound sends queued updates to some peers.
func (sim *Simulation) gossipRound(s *server) {
	s.detector.gossipScheduled = false
	if !sim.awake(s) {
		return
	}
	peers, n := sim.randomPeers(s, gossipFanout, noPeer)
	for _, peer := range peers[:n] {
		if s.detector.updates.pending == 0 {
			break
		}
		sim.sendPacket(s, packet{to: peer, kind: gossipOnly})
	}
	sim.scheduleGossip(s)
}

// startHealthCheck pings the next peer of the round, unless the last check has not ended.
func (sim *Simulation) startHealthCheck(s *server) {
	d := &s.detector
	sim.scheduleAfter(s, healthCheckIntervalMs, eventHealthCheck, 0, 0)
	if !sim.awake(s) || d.checkTarget >= 0 {
		return
	}
	n := uint32(s.fleetSize)
	for range n {
		d.checkIndex = (d.checkIndex + d.checkStride) % n
		peer := s.fleetFirst + int32(d.checkIndex)
		m := s.member(peer)
		if peer == s.index || m.state != alive && m.state != suspect {
			continue
		}
		d.checkNumber++
		d.checkTarget = peer
		d.checkAnswered = false
		sim.sendPacket(s, packet{to: peer, kind: ping, checkNumber: d.checkNumber})
		if m.state == suspect {
			sim.broadcast(s, update{subject: peer, version: m.version, state: suspect, reporter: s.index})
		}
		sim.scheduleAfter(s, healthCheckTimeoutMs, eventHealthCheckTimeout, peer, d.checkNumber)
		sim.scheduleAfter(s, healthCheckIntervalMs*float64(d.healthPenalty+1), eventHealthCheckEnd, peer, d.checkNumber)
		return
	}
}

// healthCheckTimeout checks a peer through others, and by a stream, which makes up for lost packets.
func (sim *Simulation) healthCheckTimeout(s *server, peer, number int32) {
	d := &s.detector
	if number != d.checkNumber || d.checkAnswered || !sim.awake(s) {
		return
	}
	helpers, n := sim.randomPeers(s, indirectChecks, peer)
	for _, helper := range helpers[:n] {
		sim.sendPacket(s, packet{to: helper, kind: indirectRequest, subject: peer, checkNumber: number})
	}
	p := &sim.servers[peer]
	reachable := sim.network.isOpen(s.index, peer) && sim.network.isOpen(peer, s.index)
	if p.up && !p.stopped && !p.muted && reachable {
		d.checkAnswered = true
	}
}

// finishHealthCheck suspects a peer that has not answered.
func (sim *Simulation) finishHealthCheck(s *server, peer, number int32) {
	d := &s.detector
	if number != d.checkNumber {
		return
	}
	d.checkTarget = noTarget
	if !sim.awake(s) {
		return
	}
	if d.checkAnswered {
		d.healthPenalty = max(0, d.healthPenalty-1)
		return
	}
	d.healthPenalty = min(maxHealthPenalty, d.healthPenalty+1)
	sim.onSuspect(s, peer, s.member(peer).version, s.index)
}

// onSuspect handles the report that somebody suspects a peer.
func (sim *Simulation) onSuspect(s *server, peer int32, version uint32, reporter int32) {
	if peer == s.index {
		sim.refute(s, version)
		return
	}
	d := &s.detector
	m := s.member(peer)
	if m.state == unknown || version < m.version {
		return
	}
	if running := d.suspicions[peer]; running != nil && m.state == suspect {
		sim.confirmSuspicion(s, peer, running, version, reporter)
		return
	}
	if m.state != alive {
		return
	}
	m.state = suspect
	m.version = version
	started := &suspicion{version: version, reporters: []int32{reporter}, startedAt: sim.localClock(s)}
	d.suspicions[peer] = started
	sim.broadcast(s, update{subject: peer, version: version, state: suspect, reporter: reporter})
	sim.scheduleSuspicion(s, peer, started)
}

// confirmSuspicion adds a reporter to a running suspicion, which shortens it.
func (sim *Simulation) confirmSuspicion(s *server, peer int32, running *suspicion, version uint32, reporter int32) {
	running.version = max(running.version, version)
	for _, r := range running.reporters {
		if r == reporter {
			return
		}
	}
	if len(running.reporters) > wantedConfirmations {
		return
	}
	running.reporters = append(running.reporters, reporter)
	sim.broadcast(s, update{subject: peer, version: version, state: suspect, reporter: reporter})
	sim.scheduleSuspicion(s, peer, running)
}

// scheduleSuspicion sets when a suspicion declares its subject dead: the sooner, the more servers confirm it.
func (sim *Simulation) scheduleSuspicion(s *server, peer int32, x *suspicion) {
	fleet := s.detector.aliveCount + 1
	shortest := suspicionMult * max(1, math.Log10(float64(fleet))) * healthCheckIntervalMs
	longest := suspicionMaxMult * shortest
	wait := shortest
	if fleet > wantedConfirmations+2 {
		confirmations := len(x.reporters) - 1
		share := math.Log(float64(confirmations)+1) / math.Log(wantedConfirmations+1)
		wait = max(shortest, longest-share*(longest-shortest))
	}
	x.deadline = x.startedAt + wait
	sim.scheduleAfter(s, max(0, x.deadline-sim.localClock(s)), eventSuspicionTimeout, peer, 0)
}

// suspicionTimeout declares a peer dead whose suspicion nobody refuted in time.
func (sim *Simulation) suspicionTimeout(s *server, peer int32) {
	const rounding = 1e-6 // ms
	x := s.detector.suspicions[peer]
	if x == nil || s.member(peer).state != suspect || sim.localClock(s) < x.deadline-rounding || !sim.awake(s) {
		return
	}
	sim.declaredDead(s, peer, x)
	sim.onDead(s, peer, x.version, dead, s.index)
}

// onDead handles the report that a peer is dead or has left, as how tells.
func (sim *Simulation) onDead(s *server, peer int32, version uint32, how memberState, reporter int32) {
	d := &s.detector
	if peer == s.index { // said of it, or of a former process that left
		if !s.draining {
			sim.refute(s, version)
		}
		return
	}
	m := s.member(peer)
	if m.state == unknown || version < m.version || m.state == dead || m.state == left {
		return
	}
	m.state = how
	m.version = version
	d.aliveCount--
	delete(d.suspicions, peer)
	sim.broadcast(s, update{subject: peer, version: version, state: how, reporter: reporter})
	sim.onLost(s, peer, how)
}

// onAliveUpdate handles the report that a peer is alive.
func (sim *Simulation) onAliveUpdate(s *server, peer int32, version, incarnation uint32) {
	d := &s.detector
	if peer == s.index {
		if incarnation != s.incarnation && version >= d.version { // of a former process
			sim.refute(s, version)
		}
		return
	}
	m := s.member(peer)
	if m.state != unknown && version <= m.version {
		return
	}
	if incarnation != m.incarnation {
		m.heartbeat = 0
	}
	if m.state != alive && m.state != suspect {
		d.aliveCount++
	}
	m.state = alive
	m.version = version
	m.incarnation = incarnation
	delete(d.suspicions, peer)
	sim.broadcast(s, update{subject: peer, version: version, incarnation: incarnation, state: alive})
	sim.onAlive(s, peer)
}

// refute overrides a report about this server by a higher version.
func (sim *Simulation) refute(s *server, version uint32) {
	d := &s.detector
	if version < d.version {
		return
	}
	d.version = version + 1
	d.healthPenalty = min(maxHealthPenalty, d.healthPenalty+1)
	sim.broadcast(s, update{subject: s.index, version: d.version, incarnation: s.incarnation, state: alive})
}

// applyUpdate handles one gossiped update.
func (sim *Simulation) applyUpdate(s *server, u *update, from int32) {
	switch u.state {
	case heartbeat:
		sim.onHeartbeat(s, u, from)
	case alive:
		sim.onAliveUpdate(s, u.subject, u.version, u.incarnation)
	case suspect:
		sim.onSuspect(s, u.subject, u.version, u.reporter)
	default:
		sim.onDead(s, u.subject, u.version, u.state, u.reporter)
	}
}

// A server's own record is gossiped anew each second as internal/fleet does it, more rarely from 32 servers on.
const (
	heartbeatMs     = 1000.0
	heartbeatRoster = 16
)

// heartbeatIntervalMs is the time between two records of a server.
func (s *server) heartbeatIntervalMs() float64 {
	return heartbeatMs * max(1, math.Floor(float64(s.detector.aliveCount)/heartbeatRoster))
}

// sendHeartbeat gossips a server's own record.
func (sim *Simulation) sendHeartbeat(s *server) {
	sim.scheduleAfter(s, s.heartbeatIntervalMs(), eventHeartbeat, 0, 0)
	if sim.awake(s) {
		s.heartbeats++
		sim.broadcast(s, update{subject: s.index, version: s.heartbeats, incarnation: s.incarnation, state: heartbeat})
	}
}

// onHeartbeat handles a peer's record, which another peer may have passed on.
func (sim *Simulation) onHeartbeat(s *server, u *update, from int32) {
	if u.subject == s.index {
		return
	}
	m := s.member(u.subject)
	if u.incarnation < m.incarnation || u.incarnation == m.incarnation && u.version <= m.heartbeat {
		return
	}
	m.heartbeat = u.version
	sim.broadcast(s, *u)
	s.health.RecordIndirect(sim.localClock(s), sim.servers[u.subject].name, sim.servers[from].name)
}

// pushPullRound exchanges full states with a random peer.
func (sim *Simulation) pushPullRound(s *server) {
	scale := math.Max(1, math.Ceil(math.Log2(float64(s.fleetSize))-pushPullThresholdLog)+1)
	sim.scheduleAfter(s, pushPullIntervalMs*scale, eventPushPull, 0, 0)
	if peers, n := sim.randomPeers(s, 1, noPeer); n == 1 {
		sim.pushPull(s, &sim.servers[peers[0]])
	}
}

// pushPull exchanges full states between two servers, and reports whether they could reach one another.
func (sim *Simulation) pushPull(a, b *server) bool {
	running := a.up && b.up && !a.stopped && !b.stopped
	if !running || !sim.network.isOpen(a.index, b.index) || !sim.network.isOpen(b.index, a.index) {
		return false
	}
	if !sim.awake(a) || !sim.awake(b) {
		return false
	}
	sim.mergeState(b, a)
	sim.mergeState(a, b)
	sim.onPacketFrom(a, b.index)
	sim.onPacketFrom(b, a.index)
	return true
}

// mergeState merges another server's full state into a server's; what that calls dead is only suspected.
func (sim *Simulation) mergeState(s, from *server) {
	sim.onAliveUpdate(s, from.index, from.detector.version, from.incarnation)
	for i := range from.detector.members {
		m := &from.detector.members[i]
		peer := from.fleetFirst + int32(i)
		if peer == from.index {
			continue
		}
		switch m.state {
		case alive:
			sim.onAliveUpdate(s, peer, m.version, m.incarnation)
		case suspect, dead:
			sim.onKnown(s, peer, m.incarnation)
			sim.onSuspect(s, peer, m.version, from.index)
		case left:
			sim.onDead(s, peer, m.version, left, from.index)
		}
	}
}
