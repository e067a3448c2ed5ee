package fleetsim

// This file owns a model of the detector that the servers run, memberlist's SWIM with the figures of internal/fleet: probes,
// asking through others, suspicion that its subject refutes, news passed on a bounded number of times, exchanges of states.
// It is a model and must never be run by a server; what is made of its findings is the servers' own code.

import (
	"math"

	"sorrelvalve/decision/quota"
)

const (
	probeMs      = 500.0
	probeWaitMs  = 300.0
	gossipMs     = 200.0
	exchangeMs   = 30e3
	suspectMult  = 4.0
	suspectMax   = 3.0
	confirmsWant = 2 // of others, after which a suspicion is as short as it gets
	throughMost  = 3
	gossipNodes  = 3
	retransmits  = 4 // memberlist's own news
	packetNews   = 16
	mostHealth   = 7 // steps by which a server that misses answers waits longer
)

// state of a peer as a detector has it.
type state uint8

const (
	unknown state = iota
	alive
	suspect
	dead
	left
	pulsed // not a state: a server's own record has come anew
)

type member struct {
	inc    uint32
	state  state
	heardL uint32 // the life that was heard
	pulse  uint32 // the last record
}

// update is one piece of news.
type update struct {
	about int32
	inc   uint32
	life  uint32
	state state
	from  int32 // who suspects
}

type suspicion struct {
	inc      uint32
	from     []int32 // who confirmed it
	began    float64 // local ms
	deadline float64
}

type detector struct {
	m        []member
	inc      uint32
	at       uint32 // in the round of probes
	step     uint32
	number   int32 // of the probe under way
	target   int32
	answered bool
	health   int
	news     news
	gossips  bool // an event for the next round is set
	suspects map[int32]*suspicion
	there    int
}

// packetKind is what a packet is.
type packetKind uint8

const (
	ping packetKind = iota
	ack
	through        // ask somebody for me
	throughPing    // for another
	throughAck     // the asked one's answer to who asked for another
	throughForward // and its way back
	gossip
	loans // said about budgets, to this one alone
)

type packet struct {
	from, to int32
	about    int32 // of those through others: whom, or for whom
	number   int32
	kind     packetKind
	news     []update
	said     []quota.Keyed
}

func (w *Simulation) freshDetector(s *server) {
	d := &s.det
	n := int(s.size)
	if d.m == nil {
		d.m = make([]member, n)
	} else {
		clear(d.m)
	}
	d.news.clear(s.low, s.size)
	d.suspects, d.there, d.health, d.gossips = map[int32]*suspicion{}, 0, 0, false
	d.number++
	// A round of probes goes through all servers by a step that has no divisor in common with their number.
	d.at = uint32(s.chance.IntN(n))
	for d.step = uint32(1 + s.chance.IntN(n)); gcd(d.step, uint32(n)) != 1; d.step++ {
	}
}

func gcd(a, b uint32) uint32 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (d *detector) limit() uint8 {
	return uint8(retransmits * math.Ceil(math.Log10(float64(d.there+2))))
}

// tell puts news on its way, in place of older news of the same.
func (w *Simulation) tell(s *server, u update) {
	s.det.news.put(u)
	w.gossips(s)
}

func (w *Simulation) gossips(s *server) {
	if !s.det.gossips && s.det.news.live > 0 {
		s.det.gossips = true
		w.after(s, gossipMs, evGossip, 0, 0)
	}
}

// some draws peers that are not dead.
func (w *Simulation) some(s *server, n int, but int32) (all [8]int32, found int) {
	for range 6 * n {
		p := s.low + int32(s.chance.IntN(int(s.size)))
		if st := s.det.m[p-s.low].state; p == s.i || p == but || st != alive && st != suspect {
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

// carried takes news for one packet.
func (d *detector) carried(into []update) []update {
	if d.news.live == 0 {
		return into
	}
	return d.news.take(into, packetNews, int(d.limit()))
}

func (w *Simulation) gossipRound(s *server) {
	s.det.gossips = false
	if !w.awake(s) {
		return
	}
	peers, n := w.some(s, gossipNodes, -1)
	for _, p := range peers[:n] {
		if s.det.news.live == 0 {
			break
		}
		w.send(s, packet{to: p, kind: gossip})
	}
	w.gossips(s)
}

// probe asks the next peer of the round.
func (w *Simulation) probe(s *server) {
	d := &s.det
	w.after(s, probeMs, evProbe, 0, 0)
	if !w.awake(s) || d.target >= 0 { // the last one has not ended yet
		return
	}
	n := uint32(s.size)
	for range n {
		d.at = (d.at + d.step) % n
		p := s.low + int32(d.at)
		if st := d.m[p-s.low].state; p != s.i && (st == alive || st == suspect) {
			d.number++
			d.target, d.answered = p, false
			w.send(s, packet{to: p, kind: ping, number: d.number})
			if d.m[p-s.low].state == suspect {
				w.tell(s, update{about: p, inc: d.m[p-s.low].inc, state: suspect, from: s.i})
			}
			w.after(s, probeWaitMs, evProbeLate, p, d.number)
			w.after(s, probeMs*float64(d.health+1), evProbeOver, p, d.number)
			return
		}
	}
}

// probeLate asks through others, and by a stream.
func (w *Simulation) probeLate(s *server, p, number int32) {
	d := &s.det
	if number != d.number || d.answered || !w.awake(s) {
		return
	}
	peers, n := w.some(s, throughMost, p)
	for _, k := range peers[:n] {
		w.send(s, packet{to: k, kind: through, about: p, number: number})
	}
	if o := &w.servers[p]; o.up && !o.stopped && w.wire.open(s.i, p) && w.wire.open(p, s.i) && !o.muted {
		d.answered = true // streams make up for loss
	}
}

func (w *Simulation) probeOver(s *server, p, number int32) {
	d := &s.det
	if number != d.number {
		return
	}
	d.target = -1
	if !w.awake(s) {
		return
	}
	if d.answered {
		d.health = max(0, d.health-1)
		return
	}
	d.health = min(mostHealth, d.health+1)
	w.suspects(s, p, d.m[p-s.low].inc, s.i)
}

// suspects hears that somebody suspects a peer.
func (w *Simulation) suspects(s *server, p int32, inc uint32, from int32) {
	d := &s.det
	m := &d.m[p-s.low]
	if p == s.i {
		w.refute(s, inc)
		return
	}
	if m.state == unknown || inc < m.inc {
		return
	}
	if x := d.suspects[p]; x != nil && m.state == suspect {
		if inc > x.inc {
			x.inc = inc
		}
		for _, f := range x.from {
			if f == from {
				return
			}
		}
		if len(x.from) > confirmsWant {
			return
		}
		x.from = append(x.from, from)
		w.tell(s, update{about: p, inc: inc, state: suspect, from: from})
		w.armSuspicion(s, p, x)
		return
	}
	if m.state != alive {
		return
	}
	m.state, m.inc = suspect, inc
	x := &suspicion{inc: inc, from: []int32{from}, began: w.local(s)}
	d.suspects[p] = x
	w.tell(s, update{about: p, inc: inc, state: suspect, from: from})
	w.armSuspicion(s, p, x)
}

// armSuspicion sets when a suspicion becomes a death: the sooner, the more confirm it.
func (w *Simulation) armSuspicion(s *server, p int32, x *suspicion) {
	least := suspectMult * max(1, math.Log10(float64(s.det.there+1))) * probeMs
	most := suspectMax * least
	wait := most
	if s.det.there+1 > confirmsWant+2 {
		share := math.Log(float64(len(x.from)-1)+1) / math.Log(confirmsWant+1)
		wait = max(least, most-share*(most-least))
	} else {
		wait = least
	}
	x.deadline = x.began + wait
	w.after(s, max(0, x.deadline-w.local(s)), evSuspect, p, int32(x.inc))
}

func (w *Simulation) suspicionOver(s *server, p int32, inc uint32) {
	x := s.det.suspects[p]
	if x == nil || s.det.m[p-s.low].state != suspect || w.local(s) < x.deadline-1e-6 || !w.awake(s) {
		return
	}
	w.declaredDead(s, p, x)
	w.dies(s, p, x.inc, dead, s.i)
}

// dies hears that a peer is dead or has left.
func (w *Simulation) dies(s *server, p int32, inc uint32, how state, from int32) {
	d := &s.det
	m := &d.m[p-s.low]
	if p == s.i { // dead, or left by a former life
		if !s.draining {
			w.refute(s, inc)
		}
		return
	}
	if m.state == unknown || inc < m.inc || m.state == dead || m.state == left {
		return
	}
	m.state, m.inc = how, inc
	d.there--
	delete(d.suspects, p)
	w.tell(s, update{about: p, inc: inc, state: how, from: from})
	w.heardLost(s, p, how)
}

// lives hears that a peer is alive.
func (w *Simulation) lives(s *server, p int32, inc, life uint32) {
	d := &s.det
	m := &d.m[p-s.low]
	if p == s.i {
		if life != s.life && inc >= d.inc { // a former life's: go before it
			w.refute(s, inc)
		}
		return
	}
	if m.state != unknown && inc <= m.inc {
		return
	}
	was := m.state
	if life != m.heardL {
		m.pulse = 0
	}
	m.state, m.inc, m.heardL = alive, inc, life
	if was != alive && was != suspect {
		d.there++
	}
	delete(d.suspects, p)
	w.tell(s, update{about: p, inc: inc, life: life, state: alive})
	w.heardAlive(s, p, life)
}

// refute goes before what is said of this server.
func (w *Simulation) refute(s *server, inc uint32) {
	d := &s.det
	if inc < d.inc {
		return
	}
	d.inc = inc + 1
	d.health = min(mostHealth, d.health+1)
	w.tell(s, update{about: s.i, inc: d.inc, life: s.life, state: alive})
}

// takeNews hears one piece of it.
func (w *Simulation) takeNews(s *server, u *update, from int32) {
	switch u.state {
	case pulsed:
		w.takePulse(s, u, from)
	case alive:
		w.lives(s, u.about, u.inc, u.life)
	case suspect:
		w.suspects(s, u.about, u.inc, u.from)
	default:
		w.dies(s, u.about, u.inc, u.state, u.from)
	}
}

// Records of a server's own are spread as internal/fleet does it: anew each second, more rarely from 32 servers on.
const (
	pulseMs     = 1000.0
	pulseRoster = 16
)

func (w *Simulation) pulse(s *server) {
	w.after(s, pulseMs*max(1, math.Floor(float64(s.det.there)/pulseRoster)), evPulse, 0, 0)
	if w.awake(s) {
		s.pulses++
		w.tell(s, update{about: s.i, inc: s.pulses, life: s.life, state: pulsed})
	}
}

// takePulse hears another's record, which somebody brings.
func (w *Simulation) takePulse(s *server, u *update, from int32) {
	if u.about == s.i {
		return
	}
	m := &s.det.m[u.about-s.low]
	if u.life < m.heardL || u.life == m.heardL && u.inc <= m.pulse {
		return
	}
	m.pulse = u.inc
	w.tell(s, *u)
	s.hear.Via(w.local(s), w.servers[u.about].name, w.servers[from].name)
}

// exchange has two servers hear all that the other knows, and tells whether the way was open both ways.
func (w *Simulation) exchange(a, b *server) bool {
	if !a.up || !b.up || a.stopped || b.stopped || !w.wire.open(a.i, b.i) || !w.wire.open(b.i, a.i) || !w.awake(a) || !w.awake(b) {
		return false
	}
	w.hearAll(b, a)
	w.hearAll(a, b)
	w.word(a, b.i)
	w.word(b, a.i)
	return true
}

// hearAll has one hear another's whole state; what that calls dead is suspected only.
func (w *Simulation) hearAll(s, from *server) {
	w.lives(s, from.i, from.det.inc, from.life)
	for i := range from.det.m {
		m := &from.det.m[i]
		p := from.low + int32(i)
		if p == from.i {
			continue
		}
		switch m.state {
		case alive:
			w.lives(s, p, m.inc, m.heardL)
		case suspect, dead:
			w.knows(s, p, m.heardL)
			w.suspects(s, p, m.inc, from.i)
		case left:
			w.dies(s, p, m.inc, left, from.i)
		}
	}
}

// receive has a server take a packet.
func (w *Simulation) receive(s *server, p *packet) {
	if !w.awake(s) {
		return
	}
	w.word(s, p.from)
	for i := range p.news {
		w.takeNews(s, &p.news[i], p.from)
	}
	switch p.kind {
	case loans:
		w.hearLoans(s, p)
	case ping:
		w.send(s, packet{to: p.from, kind: ack, number: p.number})
	case ack:
		if p.number == s.det.number && p.from == s.det.target {
			s.det.answered = true
			w.answeredBy(s, p.from)
		}
	case through:
		w.send(s, packet{to: p.about, kind: throughPing, about: p.from, number: p.number})
	case throughPing:
		w.send(s, packet{to: p.from, kind: throughAck, about: p.about, number: p.number})
	case throughAck:
		w.send(s, packet{to: p.about, kind: throughForward, about: p.from, number: p.number})
	case throughForward:
		if p.number == s.det.number && p.about == s.det.target {
			s.det.answered = true
		}
	}
}
