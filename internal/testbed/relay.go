package testbed

import (
	"net"
	"strconv"
	"time"
)

const (
	maxStreams     = 512      // connections at a time through one relay
	streamChunk    = 16 << 10 // bytes that a stream passes on at a time
	maxPacketSize  = 64 << 10
	dialTimeout    = time.Second
	corruptionMask = 0x5a
)

// Endpoint is the place of one process in a Network: it listens at ListenIP, and peers reach it through its relay at RelayIP.
type Endpoint struct {
	Name     string
	ListenIP string
	RelayIP  string
	Port     int // of both
	network  *Network

	// Guarded by the network's lock.
	udp         *net.UDPConn
	tcp         *net.TCPListener
	connections map[net.Conn]struct{}
	closed      bool
}

// ListenAddr is the address at which the process listens.
func (e *Endpoint) ListenAddr() string { return net.JoinHostPort(e.ListenIP, strconv.Itoa(e.Port)) }

// AdvertiseAddr is the address of the relay, by which peers reach the process.
func (e *Endpoint) AdvertiseAddr() string { return net.JoinHostPort(e.RelayIP, strconv.Itoa(e.Port)) }

// open opens the relay.
func (e *Endpoint) open() error {
	ip := net.ParseIP(e.RelayIP)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: e.Port})
	if err != nil {
		return err
	}
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: e.Port})
	if err != nil {
		_ = udp.Close() // it has not been used; the error tells why the relay can't open
		return err
	}
	e.network.mu.Lock()
	e.udp = udp
	e.tcp = tcp
	e.closed = false
	e.network.mu.Unlock()
	e.network.wg.Add(2)
	go e.relayPackets(udp)
	go e.acceptStreams(tcp)
	return nil
}

// close closes the relay and all that passes through it. What it closes may be closed already, which is no error.
func (e *Endpoint) close() {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.closed || e.udp == nil {
		return
	}
	e.closed = true
	_ = e.udp.Close()
	_ = e.tcp.Close()
	for c := range e.connections {
		_ = c.Close()
	}
}

// relayPackets passes on the packets that peers send to this endpoint's process, until the socket is closed.
func (e *Endpoint) relayPackets(in *net.UDPConn) {
	defer e.network.wg.Done()
	buffer := make([]byte, maxPacketSize)
	for {
		size, from, err := in.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		sender := e.network.senderOf(from.IP)
		if sender == nil {
			continue // from outside of this network
		}
		d := e.network.transmit(sender.Name, e.Name, size)
		for _, delay := range d.delays {
			packet := append([]byte(nil), buffer[:size]...)
			if d.corrupted != noByte {
				packet[d.corrupted] ^= corruptionMask
			}
			e.deliver(sender, packet, delay)
		}
	}
}

// deliver passes a packet on after a delay.
func (e *Endpoint) deliver(sender *Endpoint, packet []byte, delay time.Duration) {
	if delay == 0 {
		e.deliverNow(sender, packet)
		return
	}
	n := e.network
	n.mu.Lock()
	n.delayedPackets++
	n.mu.Unlock()
	time.AfterFunc(delay, func() {
		e.deliverNow(sender, packet)
		n.mu.Lock()
		n.delayedPackets--
		n.mu.Unlock()
	})
}

// deliverNow sends a packet from the sender's relay, so that the receiver sees the address by which the sender is reached.
func (e *Endpoint) deliverNow(sender *Endpoint, packet []byte) {
	e.network.mu.Lock()
	out := sender.udp
	e.network.mu.Unlock()
	_, _ = out.WriteToUDP(packet, &net.UDPAddr{IP: net.ParseIP(e.ListenIP), Port: e.Port}) // a datagram that can't be sent is lost
}

// acceptStreams relays the connections of peers to this endpoint's process, until the listener is closed.
func (e *Endpoint) acceptStreams(in *net.TCPListener) {
	defer e.network.wg.Done()
	for {
		c, err := in.AcceptTCP()
		if err != nil {
			return
		}
		sender := e.network.senderOf(c.RemoteAddr().(*net.TCPAddr).IP)
		if sender == nil || !e.register(c) {
			_ = c.Close() // it is refused
			continue
		}
		e.network.wg.Go(func() { e.relayStream(sender, c) })
	}
}

// register notes a connection, so that it is closed with the relay; false if there are too many.
func (e *Endpoint) register(c net.Conn) bool {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.closed || len(e.connections) >= maxStreams {
		return false
	}
	e.connections[c] = struct{}{}
	return true
}

// unregister closes a connection and forgets it.
func (e *Endpoint) unregister(c net.Conn) {
	_ = c.Close() // either end may have closed it
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	delete(e.connections, c)
}

// relayStream relays one connection. Through a cut the set-up stands still, as one without an answer does.
func (e *Endpoint) relayStream(sender *Endpoint, c *net.TCPConn) {
	defer e.unregister(c)
	n := e.network
	forth := direction{sender.Name, e.Name}
	back := direction{e.Name, sender.Name}
	if _, ok := n.waitOpen(forth, back); !ok {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(sender.RelayIP)}}
	out, err := dialer.Dial("tcp", e.ListenAddr())
	if err != nil {
		return
	}
	if !e.register(out) {
		_ = out.Close() // nothing was sent
		return
	}
	defer e.unregister(out)
	n.mu.Lock()
	n.counts.Streams++
	n.mu.Unlock()
	backDone := make(chan struct{})
	go func() {
		defer close(backDone)
		n.copyStream(out, c, back)
	}()
	n.copyStream(c, out, forth)
	<-backDone
}

// copyStream copies one direction of a stream until it ends, and then ends the other side's reading with it.
func (n *Network) copyStream(from, to net.Conn, way direction) {
	buffer := make([]byte, streamChunk)
	for {
		size, readErr := from.Read(buffer)
		if size > 0 {
			rule, ok := n.waitOpen(way)
			if !ok {
				return
			}
			time.Sleep(n.streamDelay(rule, size))
			if _, err := to.Write(buffer[:size]); err != nil {
				_ = from.Close() // so that the sender learns of it
				return
			}
		}
		if readErr != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // fails if that side is closed already
			}
			return
		}
	}
}
