package fleetsim

import "sorrelvalve/decision/quota"

// This file sends and receives the datagrams between servers.

// packetKind is the purpose of a packet. Those of indirect checks follow SWIM's ping-req: requester, helper, target and back.
type packetKind uint8

const (
	ping            packetKind = iota
	ack                        // answer to a ping
	indirectRequest            // requester asks a helper to ping a target
	indirectPing               // helper pings the target
	indirectAck                // target answers the helper
	indirectResult             // helper tells the requester
	gossipOnly                 // carries nothing but updates
	leaseMessages              // quota messages for this one peer
)

// packet is one datagram. Every kind carries gossip updates besides.
type packet struct {
	from, to    int32
	subject     int32 // of indirect kinds: the target, or the requester
	checkNumber int32
	kind        packetKind
	updates     []update
	leases      []quota.KeyedMessage
}

// sendPacket puts a packet, and a duplicate if the network makes one, on its way.
func (sim *Simulation) sendPacket(s *server, p packet) {
	if !sim.awake(s) {
		return
	}
	p.from = s.index
	first, duplicate := sim.network.transmit(s.index, p.to)
	if first < 0 {
		s.detector.takeUpdates(nil) // updates of a lost packet count as sent
		return
	}
	at := sim.allocatePacket(p)
	stored := &sim.packets[at]
	stored.updates = s.detector.takeUpdates(stored.updates)
	sim.queue.put(event{at: sim.now + first, kind: eventPacket, server: p.to, subject: at})
	if duplicate >= 0 {
		at := sim.allocatePacket(p)
		sim.queue.put(event{at: sim.now + duplicate, kind: eventPacket, server: p.to, subject: at})
	}
}

// allocatePacket stores a packet without updates and returns its index; the memory of former updates is reused.
func (sim *Simulation) allocatePacket(p packet) (at int32) {
	if n := len(sim.freePackets); n > 0 {
		at = sim.freePackets[n-1]
		sim.freePackets = sim.freePackets[:n-1]
	} else {
		sim.packets = append(sim.packets, packet{})
		at = int32(len(sim.packets) - 1)
	}
	stored := &sim.packets[at]
	p.updates = stored.updates[:0]
	*stored = p
	return at
}

// receivePacket has a server handle a packet.
func (sim *Simulation) receivePacket(s *server, p *packet) {
	if !sim.awake(s) {
		return
	}
	sim.onPacketFrom(s, p.from)
	for i := range p.updates {
		sim.applyUpdate(s, &p.updates[i], p.from)
	}
	expected := p.checkNumber == s.detector.checkNumber
	switch p.kind {
	case leaseMessages:
		sim.receiveQuota(s, p)
	case ping:
		sim.sendPacket(s, packet{to: p.from, kind: ack, checkNumber: p.checkNumber})
	case ack:
		if expected && p.from == s.detector.checkTarget {
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
		if expected && p.subject == s.detector.checkTarget {
			s.detector.checkAnswered = true
		}
	}
}
