package fleet

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// Limits of the traffic from one source and from all sources. In a fleet of 300 a server receives about 20 packets per second in total, and
// bursts of a few tens after a fault, but rarely more than 5 per second from one source. Packets over a limit are dropped unread, as they may
// be by the network.
const (
	sourcePacketRate   = 50 // per second
	sourcePacketBurst  = 200
	totalPacketRate    = 1000 // per second
	totalPacketBurst   = 2000
	maxSources         = 1024
	maxIncomingStreams = 32
)

// Each packet ends with the CRC-32C of the preceding bytes. memberlist checksums only some of its packets, and a single corrupted byte in a
// name would add a server to the roster that does not exist and would never be removed.
const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errStalled is returned for a stream that this server does not open because it has stalled.
var errStalled = errors.New("this server has stalled, and opens no streams until memberlist is restarted")

// baseTransport transfers packets and streams. It is memberlist's transport over sockets, or its in-memory mock.
type baseTransport interface {
	memberlist.NodeAwareTransport
}

// trafficCounters counts the traffic of all transports that a Fleet opens during its lifetime.
type trafficCounters struct {
	packetsIn  atomic.Uint64
	packetsOut atomic.Uint64
	bytesIn    atomic.Uint64
	bytesOut   atomic.Uint64
	dropped    atomic.Uint64
	damaged    atomic.Uint64
	streams    atomic.Uint64
}

// status returns the counters for the status, without those of memberlist.
func (c *trafficCounters) status() Traffic {
	return Traffic{
		PacketsIn:  c.packetsIn.Load(),
		PacketsOut: c.packetsOut.Load(),
		BytesIn:    c.bytesIn.Load(),
		BytesOut:   c.bytesOut.Load(),
		Dropped:    c.dropped.Load(),
		Damaged:    c.damaged.Load(),
		Streams:    c.streams.Load(),
	}
}

// transport wraps the network for memberlist. Outgoing streams use the server's own address as their source, incoming traffic is limited per
// source and in total, and after the server has stalled nothing is sent or accepted until memberlist is restarted. It does not interpret the
// contents of packets.
type transport struct {
	baseTransport
	localAddr   *net.TCPAddr      // source address of outgoing streams; nil if the base transport dials
	onPacket    func(from string) // called with the source of each packet
	awake       func() bool       // false once the server has stalled
	traffic     *trafficCounters
	packets     chan *memberlist.Packet
	streams     chan net.Conn
	ctx         context.Context // canceled by Shutdown
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	openStreams atomic.Int64 // number of open incoming streams
}

// newTransport wraps a transport, and starts to relay the packets and streams that it receives.
func newTransport(base baseTransport, localAddr *net.TCPAddr, onPacket func(string), awake func() bool, traffic *trafficCounters) *transport {
	t := &transport{
		baseTransport: base,
		localAddr:     localAddr,
		onPacket:      onPacket,
		awake:         awake,
		traffic:       traffic,
		packets:       make(chan *memberlist.Packet),
		streams:       make(chan net.Conn),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Add(2)
	go t.relayPackets()
	go t.relayStreams()
	return t
}

// packetLimiter limits the rate of packets per source and in total.
type packetLimiter struct {
	total   *rate.Limiter
	sources map[string]*rate.Limiter
}

func newPacketLimiter() *packetLimiter {
	return &packetLimiter{total: rate.NewLimiter(totalPacketRate, totalPacketBurst), sources: map[string]*rate.Limiter{}}
}

func (l *packetLimiter) allow(from string, at time.Time) bool {
	source := l.sources[from]
	if source == nil {
		if len(l.sources) >= maxSources { // a flood from many addresses is still subject to the total limit
			clear(l.sources)
		}
		source = rate.NewLimiter(sourcePacketRate, sourcePacketBurst)
		l.sources[from] = source
	}
	return source.AllowN(at, 1) && l.total.AllowN(at, 1)
}

// relayPackets passes packets within the limits to memberlist.
func (t *transport) relayPackets() {
	defer t.wg.Done()
	limiter := newPacketLimiter()
	for {
		var packet *memberlist.Packet
		select {
		case packet = <-t.baseTransport.PacketCh():
		case <-t.ctx.Done():
			return
		}
		from := packet.From.String()
		if !limiter.allow(from, packet.Timestamp) || !t.awake() {
			t.traffic.dropped.Add(1)
			continue
		}
		payload, ok := verifyChecksum(packet.Buf)
		if !ok {
			t.traffic.damaged.Add(1)
			continue
		}
		packet.Buf = payload
		t.traffic.packetsIn.Add(1)
		t.traffic.bytesIn.Add(uint64(len(payload)))
		t.onPacket(from)
		select {
		case t.packets <- packet:
		case <-t.ctx.Done():
			return
		}
	}
}

// verifyChecksum returns a packet without its checksum. ok is false if the checksum does not match.
func verifyChecksum(packet []byte) (payload []byte, ok bool) {
	length := len(packet) - checksumBytes
	if length < 1 || binary.LittleEndian.Uint32(packet[length:]) != crc32.Checksum(packet[:length], castagnoli) {
		return nil, false
	}
	return packet[:length], true
}

// relayStreams passes incoming streams within the limits to memberlist.
func (t *transport) relayStreams() {
	defer t.wg.Done()
	for {
		var conn net.Conn
		select {
		case conn = <-t.baseTransport.StreamCh():
		case <-t.ctx.Done():
			return
		}
		if t.openStreams.Load() >= maxIncomingStreams || !t.awake() {
			t.traffic.dropped.Add(1)
			_ = conn.Close() // nothing was written to it
			continue
		}
		t.openStreams.Add(1)
		t.traffic.streams.Add(1)
		select {
		case t.streams <- newStream(t, conn, true):
		case <-t.ctx.Done():
			_ = conn.Close() // nothing was written to it
			return
		}
	}
}

// PacketCh returns the channel of received packets (memberlist.Transport).
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of incoming streams (memberlist.Transport).
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo sends a packet to an address (memberlist.Transport).
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a packet with a checksum (memberlist.NodeAwareTransport). After the server has stalled the packet is dropped without an
// error, as it may be by the network.
func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	if !t.awake() {
		t.traffic.dropped.Add(1)
		return time.Now(), nil
	}
	packet := make([]byte, 0, len(b)+checksumBytes) // a copy, because memberlist may send the same bytes to several servers
	packet = append(packet, b...)
	packet = binary.LittleEndian.AppendUint32(packet, crc32.Checksum(b, castagnoli))
	t.traffic.packetsOut.Add(1)
	t.traffic.bytesOut.Add(uint64(len(packet)))
	return t.baseTransport.WriteToAddress(packet, addr)
}

// DialTimeout opens a stream to an address (memberlist.Transport).
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout opens a stream from the server's own address (memberlist.NodeAwareTransport). It fails after the server has stalled.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if !t.awake() {
		return nil, fmt.Errorf("dial %s: %w", addr.Addr, errStalled)
	}
	conn, err := t.dial(addr, timeout)
	if err != nil {
		return nil, err
	}
	t.traffic.streams.Add(1)
	return newStream(t, conn, false), nil
}

func (t *transport) dial(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if t.localAddr == nil {
		return t.baseTransport.DialAddressTimeout(addr, timeout)
	}
	dialer := net.Dialer{Timeout: timeout, LocalAddr: t.localAddr}
	return dialer.DialContext(t.ctx, "tcp", addr.Addr)
}

// Shutdown shuts down the transport and its base transport.
func (t *transport) Shutdown() error {
	t.cancel()
	baseDone := make(chan struct{})
	t.wg.Add(1)
	go func() { // the base transport waits for its readers, which may be blocked on a channel
		defer t.wg.Done()
		drainTransport(t.baseTransport, baseDone)
	}()
	err := t.baseTransport.Shutdown()
	close(baseDone)
	t.wg.Wait()
	return err
}

// drainTransport discards the packets and streams that a transport receives until done is closed.
func drainTransport(from memberlist.Transport, done <-chan struct{}) {
	for {
		select {
		case <-from.PacketCh():
		case conn := <-from.StreamCh():
			_ = conn.Close() // nothing was written to it
		case <-done:
			return
		}
	}
}

// stream is a connection that counts its traffic. It is closed when the server has stalled or the transport is shut down.
type stream struct {
	net.Conn
	transport *transport
	incoming  bool
	stopWatch func() bool // stops waiting for the transport's shutdown
	closed    atomic.Bool
}

func newStream(t *transport, conn net.Conn, incoming bool) *stream {
	stop := context.AfterFunc(t.ctx, func() { _ = conn.Close() }) // pending reads and writes return an error
	return &stream{Conn: conn, transport: t, incoming: incoming, stopWatch: stop}
}

// Read reads from the stream. It fails after the server has stalled.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.transport.traffic.bytesIn.Add(uint64(n))
	if !s.transport.awake() {
		_ = s.Conn.Close() // the stream is abandoned
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the stream. It fails after the server has stalled.
func (s *stream) Write(b []byte) (int, error) {
	if !s.transport.awake() {
		_ = s.Conn.Close() // the stream is abandoned
		return 0, net.ErrClosed
	}
	n, err := s.Conn.Write(b)
	s.transport.traffic.bytesOut.Add(uint64(n))
	return n, err
}

// Close closes the stream. A second call closes the connection again, and returns its error.
func (s *stream) Close() error {
	if s.closed.CompareAndSwap(false, true) {
		s.stopWatch()
		if s.incoming {
			s.transport.openStreams.Add(-1)
		}
	}
	return s.Conn.Close()
}
