package fleet

// This file owns the way of packets and streams between memberlist and the network: outgoing ones leave from the server's
// own address, incoming ones are bounded for each source and in all, and once the server has stalled nothing passes in
// either direction until the detector begins anew. It must never look into a packet.

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// What one source, and all of them, may send. A server of a fleet of 300 gets some 20 packets a second in all, in bursts
// of a few tens after a fault; from one source rarely more than 5. What is over is dropped unread, as the network may.
const (
	sourceRate, sourceBurst = 50, 200
	allRate, allBurst       = 1000, 2000
	maxSources              = 1024
	maxIncomingStreams      = 32
)

// baseTransport is the transport that carries it all: memberlist's own on sockets, its mock in tests.
type baseTransport interface {
	memberlist.NodeAwareTransport
}

// Each packet ends with the CRC-32C of what stands before. memberlist sums only part of its packets, and one spoilt byte
// in a name makes a server that never was, which would stay on the roster for good.
const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// trafficCounters is counted by all transports that a fleet has in its life.
type trafficCounters struct {
	packetsIn, packetsOut, bytesIn, bytesOut, dropped, damaged, streams atomic.Uint64
}

type transport struct {
	baseTransport
	localAddr   *net.TCPAddr // of outgoing streams; nil: the lower one dials
	onPacket    func(from string)
	awake       func() bool // false: the server has stalled
	traffic     *trafficCounters
	packets     chan *memberlist.Packet
	streams     chan net.Conn
	ctx         context.Context // until it is shut down
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	openStreams atomic.Int64
}

// newTransport wraps a transport. word hears where each packet came from; awake tells whether traffic may pass.
func newTransport(l baseTransport, from *net.TCPAddr, word func(string), awake func() bool, count *trafficCounters) *transport {
	t := &transport{
		baseTransport: l, localAddr: from, onPacket: word, awake: awake, traffic: count,
		packets: make(chan *memberlist.Packet), streams: make(chan net.Conn),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Add(2)
	go t.relayPackets()
	go t.relayStreams()
	return t
}

func (t *transport) relayPackets() {
	defer t.wg.Done()
	all := rate.NewLimiter(allRate, allBurst)
	sources := map[string]*rate.Limiter{}
	for {
		var p *memberlist.Packet
		select {
		case p = <-t.baseTransport.PacketCh():
		case <-t.ctx.Done():
			return
		}
		from := p.From.String()
		l := sources[from]
		if l == nil {
			if len(sources) >= maxSources { // a source that floods under many names meets the limit over all
				clear(sources)
			}
			l = rate.NewLimiter(sourceRate, sourceBurst)
			sources[from] = l
		}
		if !l.AllowN(p.Timestamp, 1) || !all.AllowN(p.Timestamp, 1) || !t.awake() {
			t.traffic.dropped.Add(1)
			continue
		}
		whole := len(p.Buf) - checksumBytes
		if whole < 1 || binary.LittleEndian.Uint32(p.Buf[whole:]) != crc32.Checksum(p.Buf[:whole], castagnoli) {
			t.traffic.damaged.Add(1)
			continue
		}
		p.Buf = p.Buf[:whole]
		t.traffic.packetsIn.Add(1)
		t.traffic.bytesIn.Add(uint64(len(p.Buf)))
		t.onPacket(from)
		select {
		case t.packets <- p:
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *transport) relayStreams() {
	defer t.wg.Done()
	for {
		var c net.Conn
		select {
		case c = <-t.baseTransport.StreamCh():
		case <-t.ctx.Done():
			return
		}
		if t.openStreams.Load() >= maxIncomingStreams || !t.awake() {
			t.traffic.dropped.Add(1)
			c.Close()
			continue
		}
		t.openStreams.Add(1)
		t.traffic.streams.Add(1)
		select {
		case t.streams <- newStream(t, c, true):
		case <-t.ctx.Done():
			c.Close()
			return
		}
	}
}

// PacketCh and StreamCh are what memberlist reads from.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

// WriteTo and WriteToAddress send a packet, unless the server has stalled: then it is lost, as packets may be.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if !t.awake() {
		t.traffic.dropped.Add(1)
		return time.Now(), nil
	}
	summed := make([]byte, 0, len(b)+checksumBytes) // memberlist may send the same bytes to several
	summed = binary.LittleEndian.AppendUint32(append(summed, b...), crc32.Checksum(b, castagnoli))
	t.traffic.packetsOut.Add(1)
	t.traffic.bytesOut.Add(uint64(len(summed)))
	return t.baseTransport.WriteToAddress(summed, a)
}

// DialTimeout and DialAddressTimeout open a stream from the server's own address.
func (t *transport) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, d)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	if !t.awake() {
		return nil, fmt.Errorf("dial %s: this server has stalled and listens first", a.Addr)
	}
	var c net.Conn
	var err error
	if t.localAddr != nil {
		dialer := net.Dialer{Timeout: d, LocalAddr: t.localAddr}
		c, err = dialer.DialContext(t.ctx, "tcp", a.Addr)
	} else {
		c, err = t.baseTransport.DialAddressTimeout(a, d)
	}
	if err != nil {
		return nil, err
	}
	t.traffic.streams.Add(1)
	return newStream(t, c, false), nil
}

// Shutdown ends it and what carries it.
func (t *transport) Shutdown() error {
	t.cancel()
	over := make(chan struct{})
	t.wg.Add(1)
	go func() { // the lower one waits for its readers, which may be handing something over
		defer t.wg.Done()
		for {
			select {
			case <-t.baseTransport.PacketCh():
			case c := <-t.baseTransport.StreamCh():
				c.Close()
			case <-over:
				return
			}
		}
	}()
	err := t.baseTransport.Shutdown()
	close(over)
	t.wg.Wait()
	return err
}

// stream counts what passes, and stops with the server and with the transport.
type stream struct {
	net.Conn
	transport *transport
	incoming  bool
	stopWatch func() bool
	closed    atomic.Bool
}

func newStream(t *transport, c net.Conn, in bool) *stream {
	return &stream{Conn: c, transport: t, incoming: in, stopWatch: context.AfterFunc(t.ctx, func() { c.Close() })}
}

func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.transport.traffic.bytesIn.Add(uint64(n))
	if !s.transport.awake() {
		s.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

func (s *stream) Write(b []byte) (int, error) {
	if !s.transport.awake() {
		s.Conn.Close()
		return 0, net.ErrClosed
	}
	n, err := s.Conn.Write(b)
	s.transport.traffic.bytesOut.Add(uint64(n))
	return n, err
}

func (s *stream) Close() error {
	if s.closed.CompareAndSwap(false, true) {
		s.stopWatch()
		if s.incoming {
			s.transport.openStreams.Add(-1)
		}
	}
	return s.Conn.Close()
}
