package fleetsim

// This file owns a model of the detector that the servers run, memberlist's SWIM with the figures of internal/fleet: probes,
// asking through others, suspicion that its subject refutes, news passed on a bounded number of times, exchanges of states.
// It is a model and must never be run by a server; what is made of its findings is the servers' own code.

import (
	"math"

	"sorrelvalve/decision/quota"
)

const (
	healthCheckIntervalMs = 500.0
	healthCheckTimeoutMs  = 300.0
	gossipIntervalMs      = 200.0
	pushPullIntervalMs    = 30e3
	suspicionMult         = 4.0
	suspicionMaxMult      = 3.0
	wantedConfirmations   = 2 // of others, after which a suspicion is as short as it gets
	indirectChecks        = 3
	gossipFanout          = 3
	retransmitMult        = 4 // memberlist's own news
	updatesPerPacket      = 16
	maxHealthPenalty      = 7 // steps by which a server that misses answers waits longer
)

// memberState of a peer as a detector has it.
type memberState uint8

const (
	unknown memberState = iota
	alive
	suspect
	dead
	left
	heartbeat // not a state: a server's own record has come anew
)

type member struct {
	version     uint32
	state       memberState
	incarnation uint32 // the life that was heard
	heartbeat   uint32 // the last record
}

// update is one piece of news.
type update struct {
	subject     int32
	version     uint32
	incarnation uint32
	state       memberState
	reporter    int32 // who suspects
}

type suspicion struct {
	version   uint32
	reporters []int32 // who confirmed it
	startedAt float64 // local ms
	deadline  float64
}

type detector struct {
	members         []member
	version         uint32
	checkIndex      uint32 // in the round of probes
	checkStride     uint32
	checkNumber     int32 // of the probe under way
	checkTarget     int32
	checkAnswered   bool
	healthPenalty   int
	updates         updateQueue
	gossipScheduled bool // an event for the next round is set
	suspicions      map[int32]*suspicion
	aliveCount      int
}

// packetKind is what a packet is.
type packetKind uint8

const (
	ping packetKind = iota
	ack
	indirectRequest // ask somebody for me
	indirectPing    // for another
	indirectAck     // the asked one's answer to who asked for another
	indirectResult  // and its way back
	gossipOnly
	leaseMessages // said about budgets, to this one alone
)

type packet struct {
	from, to    int32
	subject     int32 // of those through others: whom, or for whom
	checkNumber int32
	kind        packetKind
	updates     []update
	leases      []quota.KeyedMessage
}

func (sim *Simulation) resetDetector(s *server) {
	d := &s.detector
	n := int(s.fleetSize)
	if d.members == nil {
		d.members = make([]member, n)
	} else {
		clear(d.members)
	}
	d.updates.reset(s.fleetFirst, s.fleetSize)
	d.suspicions, d.aliveCount, d.healthPenalty, d.gossipScheduled = map[int32]*suspicion{}, 0, 0, false
	d.checkNumber++
	// A round of probes goes through all servers by a step that has no divisor in common with their number.
	d.checkIndex = uint32(s.rand.IntN(n))
	for d.checkStride = uint32(1 + s.rand.IntN(n)); gcd(d.checkStride, uint32(n)) != 1; d.checkStride++ {
	}
}

func gcd(a, b uint32) uint32 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (d *detector) retransmitLimit() uint8 {
	return uint8(retransmitMult * math.Ceil(math.Log10(float64(d.aliveCount+2))))
}

// broadcast puts news on its way, in place of older news of the same.
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

// randomPeers draws peers that are not dead.
func (sim *Simulation) randomPeers(s *server, n int, but int32) (all [8]int32, found int) {
	for range 6 * n {
		p := s.fleetFirst + int32(s.rand.IntN(int(s.fleetSize)))
		if st := s.detector.members[p-s.fleetFirst].state; p == s.index || p == but || st != alive && st != suspect {
			continue
		}
		double := false
		for _, x := range all[:found] {
			double = double || x == p
		}
		if double {
			continue
		}
		all[found] = p
		if found++; found == n {
			break
		}
	}
	return all, found
}

// takeUpdates takes news for one packet.
func (d *detector) takeUpdates(into []update) []update {
	if d.updates.pending == 0 {
		return into
	}
	return d.updates.take(into, updatesPerPacket, int(d.retransmitLimit()))
}

func (sim *Simulation) gossipRound(s *server) {
	s.detector.gossipScheduled = false
	if !sim.awake(s) {
		return
	}
	peers, n := sim.randomPeers(s, gossipFanout, -1)
	for _, p := range peers[:n] {
		if s.detector.updates.pending == 0 {
			break
		}
		sim.sendPacket(s, packet{to: p, kind: gossipOnly})
	}
	sim.scheduleGossip(s)
}

// startHealthCheck asks the next peer of the round.
func (sim *Simulation) startHealthCheck(s *server) {
	d := &s.detector
	sim.scheduleAfter(s, healthCheckIntervalMs, eventHealthCheck, 0, 0)
	if !sim.awake(s) || d.checkTarget >= 0 { // the last one has not ended yet
		return
	}
	n := uint32(s.fleetSize)
	for range n {
		d.checkIndex = (d.checkIndex + d.checkStride) % n
		p := s.fleetFirst + int32(d.checkIndex)
		if st := d.members[p-s.fleetFirst].state; p != s.index && (st == alive || st == suspect) {
			d.checkNumber++
			d.checkTarget, d.checkAnswered = p, false
			sim.sendPacket(s, packet{to: p, kind: ping, checkNumber: d.checkNumber})
			if d.members[p-s.fleetFirst].state == suspect {
				sim.broadcast(s, update{subject: p, version: d.members[p-s.fleetFirst].version, state: suspect, reporter: s.index})
			}
			sim.scheduleAfter(s, healthCheckTimeoutMs, eventHealthCheckTimeout, p, d.checkNumber)
			sim.scheduleAfter(s, healthCheckIntervalMs*float64(d.healthPenalty+1), eventHealthCheckEnd, p, d.checkNumber)
			return
		}
	}
}

// healthCheckTimeout asks through others, and by a stream.
func (sim *Simulation) healthCheckTimeout(s *server, p, number int32) {
	d := &s.detector
	if number != d.checkNumber || d.checkAnswered || !sim.awake(s) {
		return
	}
	peers, n := sim.randomPeers(s, indirectChecks, p)
	for _, k := range peers[:n] {
		sim.sendPacket(s, packet{to: k, kind: indirectRequest, subject: p, checkNumber: number})
	}
	if o := &sim.servers[p]; o.up && !o.stopped && sim.network.isOpen(s.index, p) && sim.network.isOpen(p, s.index) && !o.muted {
		d.checkAnswered = true // streams make up for loss
	}
}

func (sim *Simulation) finishHealthCheck(s *server, p, number int32) {
	d := &s.detector
	if number != d.checkNumber {
		return
	}
	d.checkTarget = -1
	if !sim.awake(s) {
		return
	}
	if d.checkAnswered {
		d.healthPenalty = max(0, d.healthPenalty-1)
		return
	}
	d.healthPenalty = min(maxHealthPenalty, d.healthPenalty+1)
	sim.onSuspect(s, p, d.members[p-s.fleetFirst].version, s.index)
}

// onSuspect hears that somebody suspects a peer.
func (sim *Simulation) onSuspect(s *server, p int32, inc uint32, from int32) {
	d := &s.detector
	m := &d.members[p-s.fleetFirst]
	if p == s.index {
		sim.refute(s, inc)
		return
	}
	if m.state == unknown || inc < m.version {
		return
	}
	if x := d.suspicions[p]; x != nil && m.state == suspect {
		if inc > x.version {
			x.version = inc
		}
		for _, f := range x.reporters {
			if f == from {
				return
			}
		}
		if len(x.reporters) > wantedConfirmations {
			return
		}
		x.reporters = append(x.reporters, from)
		sim.broadcast(s, update{subject: p, version: inc, state: suspect, reporter: from})
		sim.scheduleSuspicion(s, p, x)
		return
	}
	if m.state != alive {
		return
	}
	m.state, m.version = suspect, inc
	x := &suspicion{version: inc, reporters: []int32{from}, startedAt: sim.localClock(s)}
	d.suspicions[p] = x
	sim.broadcast(s, update{subject: p, version: inc, state: suspect, reporter: from})
	sim.scheduleSuspicion(s, p, x)
}

// scheduleSuspicion sets when a suspicion becomes a death: the sooner, the more confirm it.
func (sim *Simulation) scheduleSuspicion(s *server, p int32, x *suspicion) {
	least := suspicionMult * max(1, math.Log10(float64(s.detector.aliveCount+1))) * healthCheckIntervalMs
	most := suspicionMaxMult * least
	wait := most
	if s.detector.aliveCount+1 > wantedConfirmations+2 {
		share := math.Log(float64(len(x.reporters)-1)+1) / math.Log(wantedConfirmations+1)
		wait = max(least, most-share*(most-least))
	} else {
		wait = least
	}
	x.deadline = x.startedAt + wait
	sim.scheduleAfter(s, max(0, x.deadline-sim.localClock(s)), eventSuspicionTimeout, p, int32(x.version))
}

func (sim *Simulation) suspicionTimeout(s *server, p int32, inc uint32) {
	x := s.detector.suspicions[p]
	if x == nil || s.detector.members[p-s.fleetFirst].state != suspect || sim.localClock(s) < x.deadline-1e-6 || !sim.awake(s) {
		return
	}
	sim.declaredDead(s, p, x)
	sim.onDead(s, p, x.version, dead, s.index)
}

// onDead hears that a peer is dead or has left.
func (sim *Simulation) onDead(s *server, p int32, inc uint32, how memberState, from int32) {
	d := &s.detector
	m := &d.members[p-s.fleetFirst]
	if p == s.index { // dead, or left by a former life
		if !s.draining {
			sim.refute(s, inc)
		}
		return
	}
	if m.state == unknown || inc < m.version || m.state == dead || m.state == left {
		return
	}
	m.state, m.version = how, inc
	d.aliveCount--
	delete(d.suspicions, p)
	sim.broadcast(s, update{subject: p, version: inc, state: how, reporter: from})
	sim.onLost(s, p, how)
}

// onAliveUpdate hears that a peer is alive.
func (sim *Simulation) onAliveUpdate(s *server, p int32, inc, life uint32) {
	d := &s.detector
	m := &d.members[p-s.fleetFirst]
	if p == s.index {
		if life != s.incarnation && inc >= d.version { // a former life's: go before it
			sim.refute(s, inc)
		}
		return
	}
	if m.state != unknown && inc <= m.version {
		return
	}
	was := m.state
	if life != m.incarnation {
		m.heartbeat = 0
	}
	m.state, m.version, m.incarnation = alive, inc, life
	if was != alive && was != suspect {
		d.aliveCount++
	}
	delete(d.suspicions, p)
	sim.broadcast(s, update{subject: p, version: inc, incarnation: life, state: alive})
	sim.onAlive(s, p, life)
}

// refute goes before what is said of this server.
func (sim *Simulation) refute(s *server, inc uint32) {
	d := &s.detector
	if inc < d.version {
		return
	}
	d.version = inc + 1
	d.healthPenalty = min(maxHealthPenalty, d.healthPenalty+1)
	sim.broadcast(s, update{subject: s.index, version: d.version, incarnation: s.incarnation, state: alive})
}

// applyUpdate hears one piece of it.
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

// Records of a server's own are spread as internal/fleet does it: anew each second, more rarely from 32 servers on.
const (
	heartbeatMs     = 1000.0
	heartbeatRoster = 16
)

func (sim *Simulation) sendHeartbeat(s *server) {
	sim.scheduleAfter(s, heartbeatMs*max(1, math.Floor(float64(s.detector.aliveCount)/heartbeatRoster)), eventHeartbeat, 0, 0)
	if sim.awake(s) {
		s.heartbeats++
		sim.broadcast(s, update{subject: s.index, version: s.heartbeats, incarnation: s.incarnation, state: heartbeat})
	}
}

// onHeartbeat hears another's record, which somebody brings.
func (sim *Simulation) onHeartbeat(s *server, u *update, from int32) {
	if u.subject == s.index {
		return
	}
	m := &s.detector.members[u.subject-s.fleetFirst]
	if u.incarnation < m.incarnation || u.incarnation == m.incarnation && u.version <= m.heartbeat {
		return
	}
	m.heartbeat = u.version
	sim.broadcast(s, *u)
	s.health.RecordIndirect(sim.localClock(s), sim.servers[u.subject].name, sim.servers[from].name)
}

// pushPull has two servers hear all that the other knows, and tells whether the way was open both ways.
func (sim *Simulation) pushPull(a, b *server) bool {
	if !a.up || !b.up || a.stopped || b.stopped || !sim.network.isOpen(a.index, b.index) || !sim.network.isOpen(b.index, a.index) || !sim.awake(a) || !sim.awake(b) {
		return false
	}
	sim.mergeState(b, a)
	sim.mergeState(a, b)
	sim.onPacketFrom(a, b.index)
	sim.onPacketFrom(b, a.index)
	return true
}

// mergeState has one hear another's whole state; what that calls dead is suspected only.
func (sim *Simulation) mergeState(s, from *server) {
	sim.onAliveUpdate(s, from.index, from.detector.version, from.incarnation)
	for i := range from.detector.members {
		m := &from.detector.members[i]
		p := from.fleetFirst + int32(i)
		if p == from.index {
			continue
		}
		switch m.state {
		case alive:
			sim.onAliveUpdate(s, p, m.version, m.incarnation)
		case suspect, dead:
			sim.onKnown(s, p, m.incarnation)
			sim.onSuspect(s, p, m.version, from.index)
		case left:
			sim.onDead(s, p, m.version, left, from.index)
		}
	}
}

// receivePacket has a server take a packet.
func (sim *Simulation) receivePacket(s *server, p *packet) {
	if !sim.awake(s) {
		return
	}
	sim.onPacketFrom(s, p.from)
	for i := range p.updates {
		sim.applyUpdate(s, &p.updates[i], p.from)
	}
	switch p.kind {
	case leaseMessages:
		sim.receiveQuota(s, p)
	case ping:
		sim.sendPacket(s, packet{to: p.from, kind: ack, checkNumber: p.checkNumber})
	case ack:
		if p.checkNumber == s.detector.checkNumber && p.from == s.detector.checkTarget {
			s.detector.checkAnswered = true
			sim.onAnswered(s, p.from)
		}
	case indirectRequest:
		sim.sendPacket(s, packet{to: p.subject, kind: indirectPing, subject: p.from, checkNumber: p.checkNumber})
	case indirectPing:
		sim.sendPacket(s, packet{to: p.from, kind: indirectAck, subject: p.subject, checkNumber: p.checkNumber})
	case indirectAck:
		sim.sendPacket(s, packet{to: p.subject, kind: indirectResult, subject: p.from, checkNumber: p.checkNumber})
	case indirectResult:
		if p.checkNumber == s.detector.checkNumber && p.subject == s.detector.checkTarget {
			s.detector.checkAnswered = true
		}
	}
}
