package testbed

import (
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"
)

// Rule is the condition of one direction between two endpoints. Rates are probabilities. The zero Rule is a sound network.
type Rule struct {
	Cut            bool          // packets are lost, streams stand still
	DropRate       float64       // of packets lost; a part of a stream is delayed by 200 ms instead
	DuplicateRate  float64       // of packets delivered twice
	ReorderRate    float64       // of packets delayed by 60 ms, so that others overtake them
	CorruptRate    float64       // of packets with one byte changed
	Delay          time.Duration // of everything
	Jitter         time.Duration // further delay, evenly distributed from 0
	BytesPerSecond float64       // of a stream; 0 means no limit
}

const (
	reorderDelay      = 60 * time.Millisecond
	retransmitDelay   = 200 * time.Millisecond // TCP's minimum retransmission time-out
	maxDelayedPackets = 20000                  // at a time in a network; more are lost
	maxEndpoints      = 100
	placementAttempts = 20 // draws of addresses until none is taken
	restartAttempts   = 100
	restartInterval   = 10 * time.Millisecond
	relayIPOffset     = 128 // added to the last octet of a process's address
)

// direction is an ordered pair of endpoint names.
type direction struct{ from, to string }

// Network is a set of relays. Its methods may be called concurrently.
type Network struct {
	startedAt time.Time
	endpoints map[string]*Endpoint // by name; fixed once the network is open
	wg        sync.WaitGroup

	mu             sync.Mutex
	byIP           map[string]*Endpoint // by ListenIP
	rules          map[direction]Rule
	rand           *rand.Rand
	changed        chan struct{} // closed and replaced when a rule changes
	delayedPackets int
	entries        []LogEntry
	closed         bool
	counts         Counts
}

// Counts are numbers of packets, and of streams.
type Counts struct{ Delivered, Dropped, Duplicated, Corrupted, Streams uint64 }

// LogEntry records a change of a rule, a relay or a process.
type LogEntry struct {
	At   time.Duration // since the network was opened
	Text string
}

// NewNetwork opens a relay for each name. Random faults are drawn from the seed; the addresses are not, since other networks may
// be open on this machine.
func NewNetwork(seed int64, names ...string) (*Network, error) {
	if len(names) > maxEndpoints {
		return nil, fmt.Errorf("%d names; a net has room for %d", len(names), maxEndpoints)
	}
	n := &Network{
		startedAt: time.Now(), endpoints: map[string]*Endpoint{}, byIP: map[string]*Endpoint{}, rules: map[direction]Rule{},
		rand: rand.New(rand.NewSource(seed)), changed: make(chan struct{}),
	}
	placement := rand.New(rand.NewSource(time.Now().UnixNano()))
	var err error
	for range placementAttempts {
		n.place(placement, names)
		if err = n.openAll(); err == nil {
			return n, nil
		}
		for _, e := range n.endpoints {
			e.close()
		}
		n.wg.Wait() // until nothing reads the maps any more
		clear(n.endpoints)
		clear(n.byIP)
	}
	return nil, err
}

// place draws addresses for all names.
func (n *Network) place(placement *rand.Rand, names []string) {
	a := 16 + placement.Intn(200)
	b := placement.Intn(256)
	port := 20000 + placement.Intn(10000)
	for i, name := range names {
		e := &Endpoint{
			Name:        name,
			ListenIP:    fmt.Sprintf("127.%d.%d.%d", a, b, i+1),
			RelayIP:     fmt.Sprintf("127.%d.%d.%d", a, b, i+relayIPOffset),
			Port:        port,
			network:     n,
			connections: map[net.Conn]struct{}{},
		}
		n.endpoints[name] = e
		n.byIP[e.ListenIP] = e
	}
}

// openAll opens all relays.
func (n *Network) openAll() error {
	for _, e := range n.endpoints {
		if err := e.open(); err != nil {
			return err
		}
	}
	return nil
}

// Endpoint returns a name's endpoint.
func (n *Network) Endpoint(name string) *Endpoint { return n.endpoints[name] }

// RestartRelay closes and reopens the relay of a name: its streams break, and packets meanwhile are lost.
func (n *Network) RestartRelay(name string) error {
	n.record("relay of %s restarts", name)
	e := n.endpoints[name]
	e.close()
	var err error
	for range restartAttempts { // until the system has released the port
		if err = e.open(); err == nil {
			return nil
		}
		time.Sleep(restartInterval)
	}
	return err
}

// Close closes all relays and waits for what passes through them.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.notifyRuleChange()
	n.mu.Unlock()
	for _, e := range n.endpoints {
		e.close()
	}
	n.wg.Wait()
}

// notifyRuleChange wakes all that waits for a rule. The lock is held.
func (n *Network) notifyRuleChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// record adds an entry to the log.
func (n *Network) record(format string, a ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries = append(n.entries, LogEntry{time.Since(n.startedAt), fmt.Sprintf(format, a...)})
}

// Log returns what was done so far.
func (n *Network) Log() []LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]LogEntry(nil), n.entries...)
}

// Counts returns the numbers so far.
func (n *Network) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// UpdateRules applies change to the rules of all directions from one list of names to another; nil is all names. The text is
// logged.
func (n *Network) UpdateRules(text string, from, to []string, change func(*Rule)) {
	n.record("%s", text)
	n.mu.Lock()
	defer n.mu.Unlock()
	from = n.orAll(from)
	to = n.orAll(to)
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			way := direction{a, b}
			r := n.rules[way]
			change(&r)
			n.rules[way] = r
		}
	}
	n.notifyRuleChange()
}

// orAll returns names, or all names for nil.
func (n *Network) orAll(names []string) []string {
	if names != nil {
		return names
	}
	for name := range n.endpoints {
		names = append(names, name)
	}
	return names
}

// Split cuts all directions between the sets; names in no set reach everybody.
func (n *Network) Split(sets ...[]string) {
	for i, a := range sets {
		for k, b := range sets {
			if i != k {
				n.UpdateRules(fmt.Sprintf("cut %v from %v", a, b), a, b, func(r *Rule) { r.Cut = true })
			}
		}
	}
}

// Heal removes all rules.
func (n *Network) Heal() {
	n.record("heal")
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
	n.notifyRuleChange()
}

// delivery is what becomes of a packet: one delay for each copy that is delivered, and the byte that is changed, or noByte.
type delivery struct {
	delays    []time.Duration
	corrupted int
}

const noByte = -1

// transmit draws what becomes of a packet of some size.
func (n *Network) transmit(from, to string, size int) delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.rules[direction{from, to}]
	d := delivery{corrupted: noByte}
	if r.Cut || n.rand.Float64() < r.DropRate || n.delayedPackets >= maxDelayedPackets {
		n.counts.Dropped++
		return d
	}
	copies := 1
	if n.rand.Float64() < r.DuplicateRate {
		n.counts.Duplicated++
		copies = 2
	}
	if size > 0 && n.rand.Float64() < r.CorruptRate {
		n.counts.Corrupted++
		d.corrupted = n.rand.Intn(size)
	}
	for range copies {
		delay := r.Delay + n.jitter(r)
		if n.rand.Float64() < r.ReorderRate {
			delay += reorderDelay
		}
		d.delays = append(d.delays, delay)
		n.counts.Delivered++
	}
	return d
}

// jitter draws a rule's jitter. The lock is held.
func (n *Network) jitter(r Rule) time.Duration {
	if r.Jitter <= 0 {
		return 0
	}
	return time.Duration(n.rand.Int63n(int64(r.Jitter)))
}

// streamDelay draws the delay of a part of a stream.
func (n *Network) streamDelay(r Rule, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := r.Delay
	if n.rand.Float64() < r.DropRate {
		delay += retransmitDelay
	}
	delay += n.jitter(r)
	if r.BytesPerSecond > 0 {
		delay += time.Duration(float64(size) / r.BytesPerSecond * float64(time.Second))
	}
	return delay
}

// senderOf returns the endpoint whose process has an address; nil for none.
func (n *Network) senderOf(ip net.IP) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byIP[ip.String()]
}

// waitOpen waits until none of some directions is cut, and returns the rule of the first; false once the network is closed.
func (n *Network) waitOpen(ways ...direction) (Rule, bool) {
	for {
		n.mu.Lock()
		cut := false
		for _, way := range ways {
			cut = cut || n.rules[way].Cut
		}
		rule := n.rules[ways[0]]
		changed := n.changed
		closed := n.closed
		n.mu.Unlock()
		if closed {
			return rule, false
		}
		if !cut {
			return rule, true
		}
		<-changed
	}
}
