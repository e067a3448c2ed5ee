// Package bed is the fault bed: a relay on loopback before each of several real processes, the processes themselves, a
// script of faults, and checkers of what the processes say. Each process sends from an address of its own in 127.0.0.0/8,
// so that the relays know source and destination with no privilege. It ends only processes that it started, by their own
// ids, and must never take a run in which a checker saw nothing for a good one.
package testbed

import (
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"time"
)

// Rule is what happens on the way from one to another.
type Rule struct {
	Cut            bool          // packets are lost, streams stand still
	DropRate       float64       // chance that a packet is lost; a part of a stream comes 200 ms later
	DuplicateRate  float64       // chance that a packet comes twice
	ReorderRate    float64       // chance that a packet is overtaken: it comes reorderBy later
	CorruptRate    float64       // chance that one byte of a packet is another
	Delay, Jitter  time.Duration // of all, and evenly up to so much more
	BytesPerSecond float64       // bytes a second of a stream; 0 for as fast as it goes
}

const (
	reorderBy  = 60 * time.Millisecond
	resend     = 200 * time.Millisecond // as TCP's first
	mostFlying = 20000                  // packets that are delayed at a time; more are lost
	mostLinks  = 512                    // streams at a time through one relay
	chunk      = 16 << 10
)

// Network is a set of relays.
type Network struct {
	began time.Time

	mu      sync.Mutex
	ends    map[string]*Endpoint
	byIP    map[string]*Endpoint
	rules   map[[2]string]Rule
	chance  *rand.Rand
	changed chan struct{} // closed and made anew when a rule changes
	flying  int
	entries []LogEntry
	closed  bool
	wg      sync.WaitGroup
	counts  Counts
}

// Counts are of packets and streams.
type Counts struct{ Delivered, Dropped, Duplicated, Corrupted, Streams uint64 }

// Act is one change, with the time since the net was made.
type LogEntry struct {
	At   time.Duration
	Text string
}

// End is one process's place: it listens at Own, and others reach it at Front.
type Endpoint struct {
	Name              string
	ListenIP, RelayIP string // IP addresses
	Port              int
	net               *Network
	udp               *net.UDPConn
	tcp               *net.TCPListener
	links             map[net.Conn]struct{}
	down              bool
}

// ListenAddr is the address that the process listens on, Reach the one by which others come.
func (e *Endpoint) ListenAddr() string    { return net.JoinHostPort(e.ListenIP, strconv.Itoa(e.Port)) }
func (e *Endpoint) AdvertiseAddr() string { return net.JoinHostPort(e.RelayIP, strconv.Itoa(e.Port)) }

// NewNetwork opens a relay for each name. All chance is drawn from the seed.
func NewNetwork(seed int64, names ...string) (*Network, error) {
	if len(names) > 100 {
		return nil, fmt.Errorf("%d names; a net has room for 100", len(names))
	}
	n := &Network{began: time.Now(), ends: map[string]*Endpoint{}, byIP: map[string]*Endpoint{}, rules: map[[2]string]Rule{}, chance: rand.New(rand.NewSource(seed)), changed: make(chan struct{})}
	place := rand.New(rand.NewSource(time.Now().UnixNano())) // beside other nets of this machine
	var err error
	for range 20 {
		a, b, port := 16+place.Intn(200), place.Intn(256), 20000+place.Intn(10000)
		for i, name := range names {
			e := &Endpoint{Name: name, ListenIP: fmt.Sprintf("127.%d.%d.%d", a, b, i+1), RelayIP: fmt.Sprintf("127.%d.%d.%d", a, b, i+128), Port: port, net: n, links: map[net.Conn]struct{}{}}
			n.ends[name], n.byIP[e.ListenIP] = e, e
		}
		err = nil
		for _, e := range n.ends {
			if err = e.open(); err != nil {
				break
			}
		}
		if err == nil {
			return n, nil
		}
		for _, e := range n.ends {
			e.shut()
		}
		n.wg.Wait() // nobody reads the tables any more
		clear(n.ends)
		clear(n.byIP)
	}
	return nil, err
}

// End is the place of a name.
func (n *Network) Endpoint(name string) *Endpoint { return n.ends[name] }

func (e *Endpoint) open() (err error) {
	ip := net.ParseIP(e.RelayIP)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: e.Port})
	if err != nil {
		return err
	}
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: e.Port})
	if err != nil {
		udp.Close()
		return err
	}
	e.net.mu.Lock()
	e.udp, e.tcp, e.down = udp, tcp, false
	e.net.mu.Unlock()
	e.net.wg.Add(2)
	go e.packets(udp)
	go e.streams(tcp)
	return nil
}

// shut ends a relay and all that passes through it.
func (e *Endpoint) shut() {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.down || e.udp == nil {
		return
	}
	e.down = true
	e.udp.Close()
	e.tcp.Close()
	for c := range e.links {
		c.Close()
	}
}

// RestartRelay ends the relay before a process and opens it again: streams break, packets meanwhile are lost.
func (n *Network) RestartRelay(name string) error {
	n.note("relay of %s restarts", name)
	e := n.ends[name]
	e.shut()
	var err error
	for range 100 { // until the system has let go of the port
		if err = e.open(); err == nil {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

// Close ends all relays.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.turn()
	n.mu.Unlock()
	for _, e := range n.ends {
		e.shut()
	}
	n.wg.Wait()
}

// turn wakes all that waits for a rule. The lock is held.
func (n *Network) turn() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) note(format string, a ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries = append(n.entries, LogEntry{time.Since(n.began), fmt.Sprintf(format, a...)})
}

// Log are all that was done so far.
func (n *Network) Log() []LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]LogEntry(nil), n.entries...)
}

// Counts are those so far.
func (n *Network) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// UpdateRules applies f to the rules of all ordered pairs of from and to; nil is everybody.
func (n *Network) UpdateRules(text string, from, to []string, f func(*Rule)) {
	n.note("%s", text)
	n.mu.Lock()
	defer n.mu.Unlock()
	all := func(names []string) []string {
		if names != nil {
			return names
		}
		for name := range n.ends {
			names = append(names, name)
		}
		return names
	}
	for _, a := range all(from) {
		for _, b := range all(to) {
			if a != b {
				r := n.rules[[2]string{a, b}]
				f(&r)
				n.rules[[2]string{a, b}] = r
			}
		}
	}
	n.turn()
}

// Split cuts all ways between the sets; names in no set hear everybody.
func (n *Network) Split(sets ...[]string) {
	for i, a := range sets {
		for k, b := range sets {
			if i != k {
				n.UpdateRules(fmt.Sprintf("cut %v from %v", a, b), a, b, func(r *Rule) { r.Cut = true })
			}
		}
	}
}

// Heal ends all rules.
func (n *Network) Heal() {
	n.note("heal")
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
	n.turn()
}

// fate is what becomes of one packet: how often it comes, each time after how long, and with which byte spoilt.
func (n *Network) fate(from, to string, size int) (after []time.Duration, spoilt int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.rules[[2]string{from, to}]
	spoilt = -1
	if r.Cut || n.chance.Float64() < r.DropRate || n.flying >= mostFlying {
		n.counts.Dropped++
		return nil, spoilt
	}
	times := 1
	if n.chance.Float64() < r.DuplicateRate {
		n.counts.Duplicated++
		times = 2
	}
	if size > 0 && n.chance.Float64() < r.CorruptRate {
		n.counts.Corrupted++
		spoilt = n.chance.Intn(size)
	}
	for range times {
		d := r.Delay
		if r.Jitter > 0 {
			d += time.Duration(n.chance.Int63n(int64(r.Jitter)))
		}
		if n.chance.Float64() < r.ReorderRate {
			d += reorderBy
		}
		after = append(after, d)
		n.counts.Delivered++
	}
	return after, spoilt
}

// sender is who owns an address.
func (n *Network) sender(ip net.IP) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byIP[ip.String()]
}

func (e *Endpoint) packets(in *net.UDPConn) {
	defer e.net.wg.Done()
	n, to := e.net, &net.UDPAddr{IP: net.ParseIP(e.ListenIP), Port: e.Port}
	b := make([]byte, 64<<10)
	for {
		size, from, err := in.ReadFromUDP(b)
		if err != nil {
			return
		}
		s := n.sender(from.IP)
		if s == nil {
			continue // nobody of this net
		}
		after, spoilt := n.fate(s.Name, e.Name, size)
		for _, d := range after {
			p := append([]byte(nil), b[:size]...)
			if spoilt >= 0 {
				p[spoilt] ^= 0x5a
			}
			send := func() {
				n.mu.Lock()
				out := s.udp // so that it comes from where its sender is reached
				n.mu.Unlock()
				out.WriteToUDP(p, to)
			}
			if d == 0 {
				send()
				continue
			}
			n.mu.Lock()
			n.flying++
			n.mu.Unlock()
			time.AfterFunc(d, func() {
				send()
				n.mu.Lock()
				n.flying--
				n.mu.Unlock()
			})
		}
	}
}

func (e *Endpoint) streams(in *net.TCPListener) {
	defer e.net.wg.Done()
	for {
		c, err := in.AcceptTCP()
		if err != nil {
			return
		}
		s := e.net.sender(c.RemoteAddr().(*net.TCPAddr).IP)
		if s == nil || !e.keep(c) {
			c.Close()
			continue
		}
		e.net.wg.Add(1)
		go func() {
			defer e.net.wg.Done()
			e.stream(s, c)
		}()
	}
}

// keep notes a stream's end, so that it is closed with the relay; false if there is no room.
func (e *Endpoint) keep(c net.Conn) bool {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.down || len(e.links) >= mostLinks {
		return false
	}
	e.links[c] = struct{}{}
	return true
}

func (e *Endpoint) drop(c net.Conn) {
	c.Close()
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	delete(e.links, c)
}

// open waits until nothing is cut on the ways given, and tells what is to be waited beside; false once the net closes.
func (n *Network) open(ways ...[2]string) (Rule, bool) {
	for {
		n.mu.Lock()
		cut, turn, closed := false, n.changed, n.closed
		for _, w := range ways {
			cut = cut || n.rules[w].Cut
		}
		r := n.rules[ways[0]]
		n.mu.Unlock()
		if closed {
			return r, false
		}
		if !cut {
			return r, true
		}
		<-turn
	}
}

// stream carries one stream. A dial through a cut stands still, as one without an answer does.
func (e *Endpoint) stream(s *Endpoint, c *net.TCPConn) {
	defer e.drop(c)
	n, there, back := e.net, [2]string{s.Name, e.Name}, [2]string{e.Name, s.Name}
	if _, ok := n.open(there, back); !ok {
		return
	}
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.RelayIP)}}
	o, err := d.Dial("tcp", e.ListenAddr())
	if err != nil || !e.keep(o) {
		if err == nil {
			o.Close()
		}
		return
	}
	defer e.drop(o)
	n.mu.Lock()
	n.counts.Streams++
	n.mu.Unlock()
	over := make(chan struct{})
	go func() {
		defer close(over)
		n.pump(o, c, back)
	}()
	n.pump(c, o, there)
	<-over
}

// pump carries one way of a stream until it ends, and ends the other side's writing with it.
func (n *Network) pump(from, to net.Conn, way [2]string) {
	b := make([]byte, chunk)
	for {
		size, err := from.Read(b)
		if size > 0 {
			r, ok := n.open(way)
			if !ok {
				return
			}
			wait := r.Delay
			n.mu.Lock()
			if n.chance.Float64() < r.DropRate {
				wait += resend
			}
			if r.Jitter > 0 {
				wait += time.Duration(n.chance.Int63n(int64(r.Jitter)))
			}
			n.mu.Unlock()
			if r.BytesPerSecond > 0 {
				wait += time.Duration(float64(size) / r.BytesPerSecond * float64(time.Second))
			}
			time.Sleep(wait)
			if _, bad := to.Write(b[:size]); bad != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if t, is := to.(*net.TCPConn); is {
				t.CloseWrite()
			}
			return
		}
	}
}
