// Package fleet lets the servers of a fleet know one another: it runs memberlist for who is there and who has fallen
// silent, spreads small records of each, and tells decision/health what its own clock and the network show. It carries out;
// what a server may say of others, which record is newest and which start a server is are said by decision/health and
// decision/gossip. It must never touch an RPC, nor judge a peer by anything that was known before the server itself
// stalled.
package fleet

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/health"
	"sorrelvalve/decision/outlier"
)

// Options are those of one server's part in a fleet.
type Options struct {
	Name      string // the same after a restart
	Zone      string // "" for none
	Listen    string // IP and port for packets and streams; outgoing ones leave from this IP
	Advertise string // IP and port where the others reach it; "" for Listen
	Fleet     string // those of another fleet are not heard; "" for none
	Seeds     []string
	Expect    int    // servers that there are; 0 for not told
	Key       []byte // 16, 24 or 32 bytes encrypt all that is said; nil for none
	Version   string // of the program
	Settings  string // hash of the operator's record
	Phase     func() (Phase, float64)
	Log       *logrus.Entry

	rules health.Rules          // zero for the usual ones
	lower func() (lower, error) // nil: sockets
}

const (
	tickEvery  = 100 * time.Millisecond // a tenth of the stall that is to be seen
	joinEvery  = time.Second            // one round of joining those that are silent, jittered by a quarter
	joinsMost  = 2                      // at a time
	streamWait = time.Second            // for a dial and for a whole exchange of states
	pulseEvery = time.Second            // own record, if nothing in it changes sooner
	// pulseRoster is the roster from which on pulses become rarer, so that what a server passes on of them stays as it is
	// with so many.
	pulseRoster = 16
	// probeEvery and probeWait: on loopback and in one zone answers take under 10 ms, between zones up to 100; 300 ms of
	// delay are met by memberlist's own patience (each missed answer stretches its probes) and by asking through others.
	probeEvery = 500 * time.Millisecond
	probeWait  = 300 * time.Millisecond
	// suspectMult times the time between probes is how long a suspected server has to object at the least: 2 s up to ten
	// servers; three times that unless others suspect it, too.
	suspectMult, suspectMax = 4, 3
	// retransmits times the digits of the fleet's size is how often a record is passed on by each: with three peers a
	// round, 8 servers are reached in three rounds with a chance of 0.999 at no loss; pulses mend the rest.
	retransmits = 2
	leaveWait   = 300 * time.Millisecond // well within the time that the platform leaves for a stop
	young       = 10 * time.Second       // of contact, during which a server that meets its name taken gives way
	stateBytes  = 4 << 20                // of records in one exchange: 4,096 origins at their usual 200 bytes, five times over
	mostTwins   = 16
)

// Fleet is one server's part in it.
type Fleet struct {
	o      Options
	origin time.Time
	count  traffic
	queue  *memberlist.TransmitLimitedQueue
	size   atomic.Int64 // who is heard, for the queue
	ticked atomic.Int64 // ns since origin
	muted  atomic.Bool  // the server has stalled; until the detector begins anew
	cancel chan struct{}
	over   chan struct{}  // closed once the loop has ended
	wg     sync.WaitGroup // what was started beside it
	joins  chan struct{}  // a place for each at a time

	mu       sync.Mutex
	hear     *health.Hearing
	table    *gossip.Table
	self     health.Identity
	seq      map[string]uint64
	said     map[string][]byte           // own records' bodies
	byAddr   map[string]string           // names by the address that the detector has
	nodes    map[string]*memberlist.Node // those, for packets to one of them alone
	shared   *Budgets                    // nil if nothing is shared
	judges   *Judges                     // nil if nobody is judged
	drains   *Drains                     // nil without keepers
	addrs    map[string]string           // where each name was last found, kept over a new detector
	inst     *instance
	contact  time.Time // first of this life; zero for none yet
	twins    []string
	refused  error
	closed   bool
	pulsed   time.Time
	phase    Phase
	tries    uint64
	restarts uint64
	lost     uint64 // times that the detector lost a peer

	complaints atomic.Uint64 // of memberlist: what could not be read, decrypted or sent
}

// instance is one run of memberlist; events of a former one count for nothing.
type instance struct {
	f     *Fleet
	ml    *memberlist.Memberlist
	ready chan struct{} // closed once ml stands
}

// Write takes memberlist's log, of which only the complaints are counted.
func (in *instance) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("[ERR]")) || bytes.Contains(b, []byte("[WARN]")) {
		in.f.complaints.Add(1)
	}
	return len(b), nil
}

// Start opens the server's part: it listens and joins whom it knows, again and again. It fails only if what it is told is
// wrong or its address is taken.
func Start(o Options) (*Fleet, error) {
	if o.rules == (health.Rules{}) {
		o.rules = health.Usual
	}
	o.rules.Expect = o.Expect
	if o.Phase == nil {
		o.Phase = func() (Phase, float64) { return Warm, 1 }
	}
	if o.Advertise == "" {
		o.Advertise = o.Listen
	}
	o.Seeds = slices.Clone(o.Seeds) // the caller may reuse its slice while the fleet joins
	f := &Fleet{
		o: o, origin: time.Now(), cancel: make(chan struct{}), over: make(chan struct{}),
		joins: make(chan struct{}, joinsMost), table: gossip.NewTable(gossip.Usual), seq: map[string]uint64{},
		said: map[string][]byte{}, byAddr: map[string]string{}, nodes: map[string]*memberlist.Node{}, addrs: map[string]string{},
	}
	f.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmits, NumNodes: func() int { return int(f.size.Load()) }}
	f.size.Store(1)
	var draw [8]byte
	rand.Read(draw[:])
	f.self = health.Identity{Start: 1, Life: binary.LittleEndian.Uint64(draw[:]) | 1}
	f.hear = health.New(o.rules, o.Name, o.Zone, 0, f.wall())
	if err := f.begin(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	go f.loop()
	return f, nil
}

func (f *Fleet) ms(t time.Time) float64 { return float64(t.Sub(f.origin)) / 1e6 }

// wall is the wall clock in ms; only its parting from the own clock is looked at.
func (f *Fleet) wall() float64 { return float64(time.Now().Round(0).UnixNano()) / 1e6 }

// awake tells whether the server has run without a stall. What it finds holds until the detector begins anew.
func (f *Fleet) awake() bool {
	if f.muted.Load() {
		return false
	}
	if gap := time.Now().Sub(f.origin) - time.Duration(f.ticked.Load()); float64(gap)/1e6 >= f.o.rules.Stall {
		f.muted.Store(true)
		return false
	}
	return true
}

// begin starts memberlist, with no knowledge of anybody.
func (f *Fleet) begin() error {
	f.ticked.Store(int64(time.Now().Sub(f.origin)))
	f.muted.Store(false)
	if !goodName(f.o.Name) {
		return errName
	}
	host, port, err := split(f.o.Listen)
	if err != nil {
		return err
	}
	adHost, adPort, err := split(f.o.Advertise)
	if err != nil {
		return err
	}
	in := &instance{f: f, ready: make(chan struct{})}
	quiet := stdlog.New(in, "", 0)
	open := f.o.lower
	var from *net.TCPAddr
	if open == nil {
		from = &net.TCPAddr{IP: net.ParseIP(host)}
		open = func() (lower, error) {
			return memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: quiet})
		}
	}
	under, err := open()
	if err != nil {
		return fmt.Errorf("listen on %s: %w", f.o.Listen, err)
	}
	t := newTransport(under, from, f.word, f.awake, &f.count)
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger = f.o.Name, t, quiet
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = host, port, adHost, adPort
	c.Label, c.SecretKey = f.o.Fleet, f.o.Key
	c.EnableCompression = false // records are small and few
	c.TCPTimeout, c.ProbeInterval, c.ProbeTimeout = streamWait, probeEvery, probeWait
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspectMult, suspectMax
	c.DeadNodeReclaimTime = time.Second // a name may come back under another address
	c.Delegate, c.Events, c.Conflict, c.Ping, c.Alive = in, in, in, in, in
	f.mu.Lock()
	f.inst = in
	f.pulse(time.Now())
	f.mu.Unlock()
	defer close(in.ready)
	if in.ml, err = memberlist.Create(c); err != nil {
		t.Shutdown()
		f.mu.Lock()
		f.inst = nil
		f.mu.Unlock()
		return err
	}
	return nil
}

func split(addr string) (string, int, error) {
	host, p, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, err
	}
	port, err := strconv.ParseUint(p, 10, 16)
	if err != nil || net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q: an IP address and a port expected", addr)
	}
	return host, int(port), nil
}

// loop ticks, pulses, joins and begins the detector anew after a stall.
func (f *Fleet) loop() {
	defer close(f.over)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	nextJoin := time.Now()
	var peers []string
	for {
		select {
		case <-f.cancel:
			return
		case <-tick.C:
		}
		now := time.Now()
		muted := !f.awake() // before the tick is noted: whoever looks first sees the gap
		f.mu.Lock()
		stalled := f.hear.Tick(f.ms(now), f.wall()) || muted
		refused := f.refused != nil
		// Who hears nobody has a detector full of suspicions that nobody can refute; kept until the cut heals, they would
		// call sound peers dead.
		deaf := !stalled && len(f.byAddr) > 0 && f.hear.Deaf(f.ms(now))
		f.mu.Unlock()
		if (stalled || deaf) && !refused {
			f.muted.Store(true)
			f.anew(stalled)
			nextJoin = time.Now()
			continue
		}
		f.ticked.Store(int64(now.Sub(f.origin)))
		if refused {
			continue
		}
		f.mu.Lock()
		if phase, _ := f.o.Phase(); phase != f.phase || now.Sub(f.pulsed) >= f.pulseWait() {
			f.pulse(now)
		}
		shared, judges := f.shared, f.judges
		whole, pulse := false, f.pulseWait()
		if shared != nil || judges != nil {
			peers = f.hear.Heard(f.ms(now), peers[:0])
			whole = f.hear.WholeFor(f.ms(now), outlier.Together)
		}
		f.mu.Unlock()
		if judges != nil {
			judges.tick(peers, whole, pulse)
		}
		if shared != nil {
			shared.tick(peers)
		}
		if !now.Before(nextJoin) {
			f.join(now)
			nextJoin = now.Add(joinEvery*3/4 + time.Duration(now.UnixNano()%int64(joinEvery/2)))
		}
	}
}

func (f *Fleet) pulseWait() time.Duration {
	return pulseEvery * time.Duration(max(1, len(f.byAddr)/pulseRoster))
}

// anew ends the detector and all that it knew, and begins another: the server had stalled, or hears nobody.
func (f *Fleet) anew(stalled bool) {
	f.mu.Lock()
	old := f.inst
	f.inst = nil
	f.hear.Void(f.ms(time.Now()))
	f.contact = time.Time{}
	clear(f.byAddr)
	clear(f.nodes)
	f.restarts++
	shared := f.shared
	f.mu.Unlock()
	if stalled && shared != nil {
		shared.void()
	}
	f.queue.Reset()
	if old != nil {
		old.ml.Shutdown()
	}
	if err := f.begin(); err != nil { // tried again with the next tick
		f.muted.Store(true)
		f.o.Log.WithError(err).Error("fleet: the detector can't begin anew")
		return
	}
	if stalled {
		f.o.Log.WithField("times", f.restarts).Warn("fleet: this server had stalled, it listens before it says anything of others")
	} else {
		f.o.Log.WithField("times", f.restarts).Warn("fleet: nobody is heard, this server joins all that it knows again")
	}
}

// pulse says the own record anew. The lock is held.
func (f *Fleet) pulse(now time.Time) {
	s := Server{Zone: f.o.Zone, Version: f.o.Version, Settings: f.o.Settings, Addr: f.o.Advertise}
	s.Phase, s.Ramp = f.o.Phase()
	f.phase, f.pulsed = s.Phase, now
	f.say(now, keyServer, s.append(nil))
}

// say spreads an own record. The lock is held.
func (f *Fleet) say(now time.Time, key string, body []byte) error {
	f.seq[key]++
	r := gossip.Record{Origin: f.o.Name, Key: key, Start: f.self.Start, Life: f.self.Life, Seq: f.seq[key], Body: body}
	raw := r.Append(nil)
	if _, found := f.table.Put(f.ms(now), raw); found != gossip.News {
		return fmt.Errorf("fleet: the record %q is over the bounds", key)
	}
	f.said[key] = body
	f.queue.QueueBroadcast(&news{name: f.o.Name + "\x00" + key, raw: raw})
	return nil
}

// Say spreads a record of this server under a key of the caller's; the newest goes before all former ones. It fails if
// it is over the bounds of decision/gossip.
func (f *Fleet) Say(key string, body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.say(time.Now(), key, body)
}

// Get returns the newest record of an origin under a key, and the ms since it was heard.
func (f *Fleet) Get(origin, key string) (r gossip.Record, age float64, has bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Get(f.ms(time.Now()), origin, key)
}

// Each calls f for the newest record of each origin under a key, with the ms since it was heard.
func (f *Fleet) Each(key string, each func(r *gossip.Record, age float64)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Each(f.ms(time.Now()), key, each)
}

// join tries whoever is silent, and seeds that nobody heard listens on, a few at a time.
func (f *Fleet) join(now time.Time) {
	f.mu.Lock()
	var to []string
	for _, name := range f.hear.Silent() {
		addr := f.addrs[name]
		if r, _, has := f.table.Get(f.ms(now), name, keyServer); has {
			if s, ok := parseServer(r.Body); ok && s.Addr != "" {
				addr = s.Addr
			}
		}
		if addr != "" && addr != f.o.Advertise {
			to = append(to, addr)
		}
	}
	for _, s := range f.o.Seeds {
		if _, heard := f.byAddr[s]; !heard && s != f.o.Advertise && s != f.o.Listen && !slices.Contains(to, s) {
			to = append(to, s)
		}
	}
	in := f.inst
	f.mu.Unlock()
	if in == nil || len(to) == 0 {
		return
	}
	for range min(joinsMost, len(to)) {
		f.tries++
		addr := to[f.tries%uint64(len(to))]
		select {
		case f.joins <- struct{}{}:
		default:
			return
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			in.ml.Join([]string{addr})
			<-f.joins
		}()
	}
}

// word is a packet from an address.
func (f *Fleet) word(from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hear.Word(f.ms(time.Now()), f.byAddr[from])
}

// current tells whether events of an instance count. The lock is held.
func (in *instance) current() bool {
	return in.f.inst == in
}

// NotifyAlive keeps out names that no operator gave.
func (in *instance) NotifyAlive(n *memberlist.Node) error {
	if !goodName(n.Name) {
		return errName
	}
	return nil
}

// nameBytes are the most that a name may have.
const nameBytes = 64

var errName = fmt.Errorf("a name of 1 to %d printing bytes expected", nameBytes)

func goodName(s string) bool {
	return s != "" && len(s) <= nameBytes && clean(s) == s && utf8.ValidString(s)
}

// NotifyJoin and the rest are called by memberlist.
func (in *instance) NotifyJoin(n *memberlist.Node) { in.there(n) }

// NotifyUpdate hears of a node that said something new of itself.
func (in *instance) NotifyUpdate(n *memberlist.Node) { in.there(n) }

func (in *instance) there(n *memberlist.Node) {
	f := in.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Name == f.o.Name || !in.current() || !f.awake() {
		return
	}
	now := time.Now()
	if f.contact.IsZero() {
		f.contact = now
	}
	f.byAddr[n.Address()] = n.Name
	node := *n
	f.nodes[n.Name] = &node
	if len(f.addrs) < f.o.rules.Peers || f.addrs[n.Name] != "" {
		f.addrs[n.Name] = n.Address()
	}
	start, life := lifeOf(n.Meta)
	f.hear.Known(f.ms(now), n.Name, "", start, life)
	f.hear.Alive(f.ms(now), n.Name)
	f.size.Store(int64(1 + len(f.byAddr)))
}

// NotifyLeave hears of a node that left or fell silent.
func (in *instance) NotifyLeave(n *memberlist.Node) {
	f := in.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Name == f.o.Name || !in.current() || !f.awake() {
		return
	}
	now := time.Now()
	delete(f.byAddr, n.Address())
	delete(f.nodes, n.Name)
	f.size.Store(int64(1 + len(f.byAddr)))
	if n.State == memberlist.StateLeft {
		f.hear.Leaves(f.ms(now), n.Name, 0, health.Left)
	} else {
		f.lost++
		f.hear.Lost(f.ms(now), n.Name)
	}
}

// NodeMeta tells one life of a name from another.
func (in *instance) NodeMeta(limit int) []byte {
	in.f.mu.Lock()
	defer in.f.mu.Unlock()
	return binary.LittleEndian.AppendUint64(binary.AppendUvarint(nil, in.f.self.Start), in.f.self.Life)
}

func lifeOf(meta []byte) (start, life uint64) {
	start, n := binary.Uvarint(meta)
	if n <= 0 || len(meta) < n+8 {
		return 0, 0
	}
	return start, binary.LittleEndian.Uint64(meta[n:])
}

// NotifyConflict hears of one name at two addresses. If it is the own one, and this server has only just come into
// contact, it gives way; else both stay, and are named.
func (in *instance) NotifyConflict(existing, other *memberlist.Node) {
	f := in.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if !in.current() || !f.awake() {
		return
	}
	text := fmt.Sprintf("%s at %s and at %s", existing.Name, existing.Address(), other.Address())
	if !slices.Contains(f.twins, text) {
		if len(f.twins) >= mostTwins {
			f.twins = f.twins[1:]
		}
		f.twins = append(f.twins, text)
		f.o.Log.WithField("twins", text).Error("fleet: two servers bear one name")
	}
	if existing.Name != f.o.Name || f.refused != nil {
		return
	}
	now := time.Now()
	otherStart, otherLife := lifeOf(other.Meta)
	isNew := f.contact.IsZero() || now.Sub(f.contact) < young
	if isNew && (otherStart > f.self.Start || otherStart == f.self.Start && otherLife > f.self.Life || f.hear.View(f.ms(now)).State == health.Alone) {
		f.refuse(fmt.Errorf("the name %s is taken by a server at %s; this one serves without the fleet", f.o.Name, other.Address()))
	}
}

// refuse ends this server's part in the fleet. The lock is held.
func (f *Fleet) refuse(err error) {
	f.refused = err
	f.muted.Store(true)
	if f.shared != nil {
		go f.shared.mute() // its lock is taken before this one's elsewhere
	}
	f.hear.Void(f.ms(time.Now()))
	f.o.Log.WithError(err).Error("fleet: refused")
}

// AckPayload adds nothing to an answer.
func (in *instance) AckPayload() []byte { return nil }

// NotifyPingComplete hears of a direct answer.
func (in *instance) NotifyPingComplete(n *memberlist.Node, rtt time.Duration, payload []byte) {
	f := in.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if in.current() && f.awake() {
		f.hear.Answered(f.ms(time.Now()), n.Name)
	}
}

// news is a record on its way.
type news struct {
	name string
	raw  []byte
}

// Invalidates and the rest are what memberlist's queue asks of a broadcast.
func (n *news) Invalidates(o memberlist.Broadcast) bool {
	x, is := o.(*news)
	return is && x.name == n.name
}
func (n *news) Name() string    { return n.name }
func (n *news) Message() []byte { return n.raw }
func (n *news) Finished()       {}

// GetBroadcasts gives the records that travel with the next packet, each behind the name of who brings it.
func (in *instance) GetBroadcasts(overhead, limit int) [][]byte {
	name := in.f.o.Name
	all := in.f.queue.GetBroadcasts(overhead+1+len(name), limit)
	for i, raw := range all {
		b := make([]byte, 0, 1+len(name)+len(raw))
		b = append(append(b, byte(len(name))), name...)
		all[i] = append(b, raw...)
	}
	return all
}

// A packet to one server alone begins with a zero, where those with records have the length of who brings them; then come
// its channel, and the length of its sender's name with that.
const (
	directMark   = 0
	channelLoans = 1
)

// direct sends a packet to one server alone, if it is heard. It may be lost, doubled or overtaken.
func (f *Fleet) direct(to string, channel byte, body []byte) {
	f.mu.Lock()
	in, node := f.inst, f.nodes[to]
	f.mu.Unlock()
	if in == nil || node == nil || !f.awake() {
		return
	}
	select {
	case <-in.ready:
	default:
		return
	}
	if in.ml == nil {
		return
	}
	b := append([]byte{directMark, channel, byte(len(f.o.Name))}, f.o.Name...)
	in.ml.SendBestEffort(node, append(b, body...))
}

// hears takes a packet to this server alone.
func (in *instance) hears(b []byte) {
	f := in.f
	if len(b) < 2 || len(b) < 2+int(b[1]) {
		return
	}
	from, body := string(b[2:2+b[1]]), b[2+b[1]:]
	f.mu.Lock()
	shared, heard := f.shared, in.current() && f.awake() && f.refused == nil && from != f.o.Name && f.nodes[from] != nil
	f.mu.Unlock()
	if heard && b[0] == channelLoans && shared != nil {
		shared.hears(from, body)
	}
}

// NotifyMsg takes a record, or a packet to this server alone.
func (in *instance) NotifyMsg(b []byte) {
	if len(b) > 1 && b[0] == directMark {
		in.hears(b[1:])
		return
	}
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		in.f.take(in, "", nil)
		return
	}
	in.f.take(in, string(b[1:1+b[0]]), b[1+b[0]:])
}

// LocalState is what goes with an exchange of states: the own name, and all records.
func (in *instance) LocalState(join bool) []byte {
	f := in.f
	f.mu.Lock()
	defer f.mu.Unlock()
	b := append([]byte{byte(len(f.o.Name))}, f.o.Name...)
	return f.table.AppendAll(b, stateBytes)
}

// MergeRemoteState takes what came with one.
func (in *instance) MergeRemoteState(b []byte, join bool) {
	if len(b) < 1 || len(b) < 1+int(b[0]) || len(b) > 2*stateBytes {
		in.f.take(in, "", nil)
		return
	}
	if !gossip.Split(b[1+b[0]:], func(raw []byte) { in.f.take(in, "", raw) }) {
		in.f.take(in, "", nil)
	}
}

// take hears a record that somebody brings.
func (f *Fleet) take(in *instance, through string, raw []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !in.current() || !f.awake() || f.refused != nil {
		return
	}
	at := time.Now()
	now := f.ms(at)
	r, err := gossip.Parse(raw)
	if err == nil && !goodName(r.Origin) {
		raw = nil // as damaged
	} else if err == nil && r.Origin == f.o.Name {
		f.ownName(at, &r)
		return
	}
	r, found := f.table.Put(now, raw)
	if found != gossip.News {
		return
	}
	f.queue.QueueBroadcast(&news{name: r.Origin + "\x00" + r.Key, raw: slices.Clone(raw)})
	zone := ""
	switch r.Key {
	case keyServer:
		s, ok := parseServer(r.Body)
		if !ok {
			break
		}
		zone = s.Zone
		if f.hear.Known(now, r.Origin, zone, r.Start, r.Life); s.Phase == Leaving {
			f.hear.Leaves(now, r.Origin, r.Start, health.Left)
		}
	case keyGone:
		if g, ok := parseGone(r.Body); ok && g.name != f.o.Name {
			f.hear.Leaves(now, g.name, g.start, health.Gone)
		}
	}
	f.hear.Via(now, r.Origin, through)
}

// ownName is a record of the own name: of a former life, or of another process. The lock is held.
func (f *Fleet) ownName(at time.Time, r *gossip.Record) {
	raised, twin := f.self.Met(f.ms(at), r.Start, r.Life)
	if !raised {
		return
	}
	if twin {
		f.refuse(fmt.Errorf("the name %s is borne by another process, too; this one serves without the fleet", f.o.Name))
		return
	}
	clear(f.seq)
	for key, body := range f.said {
		f.say(at, key, body)
	}
	if in := f.inst; in != nil && !f.closed { // Close waits for what was begun before
		f.wg.Add(1)
		go func() { // memberlist must not be called from within its own call
			defer f.wg.Done()
			if <-in.ready; in.ml != nil {
				in.ml.UpdateNode(leaveWait)
			}
		}()
	}
}

// Gone is an operator's word that a name will not come back: it leaves the roster everywhere. A later life of it, or a
// sign that it is there, brings it back.
func (f *Fleet) Gone(name, who, why string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	start, _, has := f.table.Newest(name)
	if !has || name == f.o.Name {
		return fmt.Errorf("%q is no other server of the fleet that is known here", name)
	}
	for _, p := range f.hear.Peers(f.ms(time.Now())) {
		if p.Name == name && p.Heard {
			return fmt.Errorf("%s is heard: it is not gone", name)
		}
	}
	now := time.Now()
	g := gone{name: name, start: start, who: who, why: why}
	if err := f.say(now, keyGone, g.append(nil)); err != nil {
		return err
	}
	f.hear.Leaves(f.ms(now), name, start, health.Gone)
	f.o.Log.WithFields(logrus.Fields{"name": name, "who": who, "why": why}).Warn("fleet: declared gone")
	return nil
}

// View tells what this server hears.
func (f *Fleet) View() health.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hear.View(f.ms(time.Now()))
}

// Close says good-bye and ends all that was started. It takes half a second at the most beside an exchange under way.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	if f.inst != nil && f.refused == nil {
		s := Server{Zone: f.o.Zone, Version: f.o.Version, Settings: f.o.Settings, Addr: f.o.Advertise, Phase: Leaving}
		f.say(time.Now(), keyServer, s.append(nil))
	}
	f.mu.Unlock()
	close(f.cancel)
	<-f.over
	f.mu.Lock()
	in, refused := f.inst, f.refused
	f.mu.Unlock()
	if in != nil {
		if refused == nil {
			in.ml.Leave(leaveWait)
		}
		in.ml.Shutdown()
	}
	f.wg.Wait()
}

// ErrKey is a key that memberlist does not take.
var ErrKey = errors.New("16, 24 or 32 bytes expected")

// CheckKey tells whether a key can be used.
func CheckKey(key []byte) error {
	if memberlist.ValidateKey(key) != nil {
		return ErrKey
	}
	return nil
}

// clean makes what came from the network fit for a line of log or status.
func clean(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
