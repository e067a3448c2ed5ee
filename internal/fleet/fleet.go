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
	Name            string // the same after a restart
	Zone            string // "" for none
	Listen          string // IP and port for packets and streams; outgoing ones leave from this IP
	Advertise       string // IP and port where the others reach it; "" for Listen
	FleetName       string // those of another fleet are not heard; "" for none
	Seeds           []string
	ExpectedServers int    // servers that there are; 0 for not told
	EncryptionKey   []byte // 16, 24 or 32 bytes encrypt all that is said; nil for none
	Version         string // of the program
	SettingsHash    string // hash of the operator's record
	Phase           func() (Phase, float64)
	Log             *logrus.Entry

	healthRules   health.Config                 // zero for the usual ones
	openTransport func() (baseTransport, error) // nil: sockets
}

const (
	tickInterval       = 100 * time.Millisecond // a tenth of the stall that is to be seen
	joinInterval       = time.Second            // one round of joining those that are silent, jittered by a quarter
	maxConcurrentJoins = 2                      // at a time
	streamTimeout      = time.Second            // for a dial and for a whole exchange of states
	announceInterval   = time.Second            // own record, if nothing in it changes sooner
	// announceScale is the roster from which on pulses become rarer, so that what a server passes on of them stays as it is
	// with so many.
	announceScale = 16
	// healthCheckInterval and probeWait: on loopback and in one zone answers take under 10 ms, between zones up to 100; 300 ms of
	// delay are met by memberlist's own patience (each missed answer stretches its probes) and by asking through others.
	healthCheckInterval = 500 * time.Millisecond
	healthCheckTimeout  = 300 * time.Millisecond
	// suspicionMult times the time between probes is how long a suspected server has to object at the least: 2 s up to ten
	// servers; three times that unless others suspect it, too.
	suspicionMult, suspicionMaxTimeoutMult = 4, 3
	// retransmitMult times the digits of the fleet's size is how often a record is passed on by each: with three peers a
	// round, 8 servers are reached in three rounds with a chance of 0.999 at no loss; pulses mend the rest.
	retransmitMult    = 2
	leaveTimeout      = 300 * time.Millisecond // well within the time that the platform leaves for a stop
	newcomerPeriod    = 10 * time.Second       // of contact, during which a server that meets its name taken gives way
	maxStateBytes     = 4 << 20                // of records in one exchange: 4,096 origins at their usual 200 bytes, five times over
	maxDuplicateNames = 16
)

// Fleet is one server's part in it.
type Fleet struct {
	options    Options
	startedAt  time.Time
	traffic    trafficCounters
	broadcasts *memberlist.TransmitLimitedQueue
	reachable  atomic.Int64 // who is heard, for the queue
	lastTick   atomic.Int64 // ns since origin
	silenced   atomic.Bool  // the server has stalled; until the detector begins anew
	stop       chan struct{}
	loopDone   chan struct{}  // closed once the loop has ended
	wg         sync.WaitGroup // what was started beside it
	joinSlots  chan struct{}  // a place for each at a time

	mu               sync.Mutex
	detector         *health.Detector
	records          *gossip.Table
	identity         health.Identity
	sequences        map[string]uint64
	published        map[string][]byte           // own records' bodies
	nameByAddr       map[string]string           // names by the address that the detector has
	nodes            map[string]*memberlist.Node // those, for packets to one of them alone
	budgets          *Budgets                    // nil if nothing is shared
	outliers         *OutlierDetectors           // nil if nobody is judged
	drains           *DrainCoordinator           // nil without keepers
	lastAddr         map[string]string           // where each name was last found, kept over a new detector
	instance         *instance
	firstContact     time.Time // first of this life; zero for none yet
	duplicateNames   []string
	exclusion        error
	closed           bool
	announcedAt      time.Time
	announcedPhase   Phase
	joinAttempts     uint64
	detectorRestarts uint64
	peersLost        uint64 // times that the detector lost a peer

	memberlistErrors atomic.Uint64 // of memberlist: what could not be read, decrypted or sent
}

// instance is one run of memberlist; events of a former one count for nothing.
type instance struct {
	fleet      *Fleet
	memberlist *memberlist.Memberlist
	ready      chan struct{} // closed once ml stands
}

// Write takes memberlist's log, of which only the complaints are counted.
func (in *instance) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("[ERR]")) || bytes.Contains(b, []byte("[WARN]")) {
		in.fleet.memberlistErrors.Add(1)
	}
	return len(b), nil
}

// Start opens the server's part: it listens and joins whom it knows, again and again. It fails only if what it is told is
// wrong or its address is taken.
func Start(o Options) (*Fleet, error) {
	if o.healthRules == (health.Config{}) {
		o.healthRules = health.DefaultConfig
	}
	o.healthRules.ExpectedServers = o.ExpectedServers
	if o.Phase == nil {
		o.Phase = func() (Phase, float64) { return Warm, 1 }
	}
	if o.Advertise == "" {
		o.Advertise = o.Listen
	}
	o.Seeds = slices.Clone(o.Seeds) // the caller may reuse its slice while the fleet joins
	f := &Fleet{
		options: o, startedAt: time.Now(), stop: make(chan struct{}), loopDone: make(chan struct{}),
		joinSlots: make(chan struct{}, maxConcurrentJoins), records: gossip.NewTable(gossip.DefaultLimits), sequences: map[string]uint64{},
		published: map[string][]byte{}, nameByAddr: map[string]string{}, nodes: map[string]*memberlist.Node{}, lastAddr: map[string]string{},
	}
	f.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMult, NumNodes: func() int { return int(f.reachable.Load()) }}
	f.reachable.Store(1)
	var draw [8]byte
	rand.Read(draw[:])
	f.identity = health.Identity{Generation: 1, Incarnation: binary.LittleEndian.Uint64(draw[:]) | 1}
	f.detector = health.New(o.healthRules, o.Name, o.Zone, 0, f.wallMs())
	if err := f.startMemberlist(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	go f.loop()
	return f, nil
}

func (f *Fleet) elapsedMs(t time.Time) float64 { return float64(t.Sub(f.startedAt)) / 1e6 }

// wallMs is the wall clock in ms; only its parting from the own clock is looked at.
func (f *Fleet) wallMs() float64 { return float64(time.Now().Round(0).UnixNano()) / 1e6 }

// awake tells whether the server has run without a stall. What it finds holds until the detector begins anew.
func (f *Fleet) awake() bool {
	if f.silenced.Load() {
		return false
	}
	if gap := time.Now().Sub(f.startedAt) - time.Duration(f.lastTick.Load()); float64(gap)/1e6 >= f.options.healthRules.StallThreshold {
		f.silenced.Store(true)
		return false
	}
	return true
}

// startMemberlist starts memberlist, with no knowledge of anybody.
func (f *Fleet) startMemberlist() error {
	f.lastTick.Store(int64(time.Now().Sub(f.startedAt)))
	f.silenced.Store(false)
	if !validName(f.options.Name) {
		return errInvalidName
	}
	host, port, err := splitAddress(f.options.Listen)
	if err != nil {
		return err
	}
	adHost, adPort, err := splitAddress(f.options.Advertise)
	if err != nil {
		return err
	}
	in := &instance{fleet: f, ready: make(chan struct{})}
	quiet := stdlog.New(in, "", 0)
	open := f.options.openTransport
	var from *net.TCPAddr
	if open == nil {
		from = &net.TCPAddr{IP: net.ParseIP(host)}
		open = func() (baseTransport, error) {
			return memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: quiet})
		}
	}
	under, err := open()
	if err != nil {
		return fmt.Errorf("listen on %s: %w", f.options.Listen, err)
	}
	t := newTransport(under, from, f.packetReceived, f.awake, &f.traffic)
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger = f.options.Name, t, quiet
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = host, port, adHost, adPort
	c.Label, c.SecretKey = f.options.FleetName, f.options.EncryptionKey
	c.EnableCompression = false // records are small and few
	c.TCPTimeout, c.ProbeInterval, c.ProbeTimeout = streamTimeout, healthCheckInterval, healthCheckTimeout
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxTimeoutMult
	c.DeadNodeReclaimTime = time.Second // a name may come back under another address
	c.Delegate, c.Events, c.Conflict, c.Ping, c.Alive = in, in, in, in, in
	f.mu.Lock()
	f.instance = in
	f.announce(time.Now())
	f.mu.Unlock()
	defer close(in.ready)
	if in.memberlist, err = memberlist.Create(c); err != nil {
		t.Shutdown()
		f.mu.Lock()
		f.instance = nil
		f.mu.Unlock()
		return err
	}
	return nil
}

func splitAddress(addr string) (string, int, error) {
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
	defer close(f.loopDone)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	nextJoin := time.Now()
	var peers []string
	for {
		select {
		case <-f.stop:
			return
		case <-tick.C:
		}
		now := time.Now()
		muted := !f.awake() // before the tick is noted: whoever looks first sees the gap
		f.mu.Lock()
		stalled := f.detector.Tick(f.elapsedMs(now), f.wallMs()) || muted
		refused := f.exclusion != nil
		// Who hears nobody has a detector full of suspicions that nobody can refute; kept until the cut heals, they would
		// call sound peers dead.
		deaf := !stalled && len(f.nameByAddr) > 0 && f.detector.InboundTimedOut(f.elapsedMs(now))
		f.mu.Unlock()
		if (stalled || deaf) && !refused {
			f.silenced.Store(true)
			f.restartMemberlist(stalled)
			nextJoin = time.Now()
			continue
		}
		f.lastTick.Store(int64(now.Sub(f.startedAt)))
		if refused {
			continue
		}
		f.mu.Lock()
		if phase, _ := f.options.Phase(); phase != f.announcedPhase || now.Sub(f.announcedAt) >= f.announceWait() {
			f.announce(now)
		}
		shared, judges := f.budgets, f.outliers
		whole, pulse := false, f.announceWait()
		if shared != nil || judges != nil {
			peers = f.detector.AppendReachable(f.elapsedMs(now), peers[:0])
			whole = f.detector.CompleteFor(f.elapsedMs(now), outlier.CompletePeriod)
		}
		f.mu.Unlock()
		if judges != nil {
			judges.tick(peers, whole, pulse)
		}
		if shared != nil {
			shared.tick(peers)
		}
		if !now.Before(nextJoin) {
			f.joinPeers(now)
			nextJoin = now.Add(joinInterval*3/4 + time.Duration(now.UnixNano()%int64(joinInterval/2)))
		}
	}
}

func (f *Fleet) announceWait() time.Duration {
	return announceInterval * time.Duration(max(1, len(f.nameByAddr)/announceScale))
}

// restartMemberlist ends the detector and all that it knew, and begins another: the server had stalled, or hears nobody.
func (f *Fleet) restartMemberlist(stalled bool) {
	f.mu.Lock()
	old := f.instance
	f.instance = nil
	f.detector.Reset(f.elapsedMs(time.Now()))
	f.firstContact = time.Time{}
	clear(f.nameByAddr)
	clear(f.nodes)
	f.detectorRestarts++
	shared := f.budgets
	f.mu.Unlock()
	if stalled && shared != nil {
		shared.dropLeases()
	}
	f.broadcasts.Reset()
	if old != nil {
		old.memberlist.Shutdown()
	}
	if err := f.startMemberlist(); err != nil { // tried again with the next tick
		f.silenced.Store(true)
		f.options.Log.WithError(err).Error("fleet: the detector can't begin anew")
		return
	}
	if stalled {
		f.options.Log.WithField("times", f.detectorRestarts).Warn("fleet: this server had stalled, it listens before it says anything of others")
	} else {
		f.options.Log.WithField("times", f.detectorRestarts).Warn("fleet: nobody is heard, this server joins all that it knows again")
	}
}

// announce says the own record anew. The lock is held.
func (f *Fleet) announce(now time.Time) {
	s := ServerRecord{Zone: f.options.Zone, Version: f.options.Version, SettingsHash: f.options.SettingsHash, Addr: f.options.Advertise}
	s.Phase, s.WarmupProgress = f.options.Phase()
	f.announcedPhase, f.announcedAt = s.Phase, now
	f.publish(now, keyServer, s.appendTo(nil))
}

// publish spreads an own record. The lock is held.
func (f *Fleet) publish(now time.Time, key string, body []byte) error {
	f.sequences[key]++
	r := gossip.Record{Origin: f.options.Name, Key: key, Generation: f.identity.Generation, Incarnation: f.identity.Incarnation, Sequence: f.sequences[key], Body: body}
	raw := r.Append(nil)
	if _, found := f.records.Put(f.elapsedMs(now), raw); found != gossip.Updated {
		return fmt.Errorf("fleet: the record %q is over the bounds", key)
	}
	f.published[key] = body
	f.broadcasts.QueueBroadcast(&recordBroadcast{key: f.options.Name + "\x00" + key, record: raw})
	return nil
}

// Publish spreads a record of this server under a key of the caller's; the newest goes before all former ones. It fails if
// it is over the bounds of decision/gossip.
func (f *Fleet) Publish(key string, body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publish(time.Now(), key, body)
}

// Get returns the newest record of an origin under a key, and the ms since it was heard.
func (f *Fleet) Get(origin, key string) (r gossip.Record, age float64, has bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records.Get(f.elapsedMs(time.Now()), origin, key)
}

// Each calls f for the newest record of each origin under a key, with the ms since it was heard.
func (f *Fleet) Each(key string, each func(r *gossip.Record, age float64)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records.Each(f.elapsedMs(time.Now()), key, each)
}

// joinPeers tries whoever is silent, and seeds that nobody heard listens on, a few at a time.
func (f *Fleet) joinPeers(now time.Time) {
	f.mu.Lock()
	var to []string
	for _, name := range f.detector.RejoinCandidates() {
		addr := f.lastAddr[name]
		if r, _, has := f.records.Get(f.elapsedMs(now), name, keyServer); has {
			if s, ok := parseServer(r.Body); ok && s.Addr != "" {
				addr = s.Addr
			}
		}
		if addr != "" && addr != f.options.Advertise {
			to = append(to, addr)
		}
	}
	for _, s := range f.options.Seeds {
		if _, heard := f.nameByAddr[s]; !heard && s != f.options.Advertise && s != f.options.Listen && !slices.Contains(to, s) {
			to = append(to, s)
		}
	}
	in := f.instance
	f.mu.Unlock()
	if in == nil || len(to) == 0 {
		return
	}
	for range min(maxConcurrentJoins, len(to)) {
		f.joinAttempts++
		addr := to[f.joinAttempts%uint64(len(to))]
		select {
		case f.joinSlots <- struct{}{}:
		default:
			return
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			in.memberlist.Join([]string{addr})
			<-f.joinSlots
		}()
	}
}

// packetReceived is a packet from an address.
func (f *Fleet) packetReceived(from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector.RecordMessage(f.elapsedMs(time.Now()), f.nameByAddr[from])
}

// isCurrent tells whether events of an instance count. The lock is held.
func (in *instance) isCurrent() bool {
	return in.fleet.instance == in
}

// NotifyAlive keeps out names that no operator gave.
func (in *instance) NotifyAlive(n *memberlist.Node) error {
	if !validName(n.Name) {
		return errInvalidName
	}
	return nil
}

// maxNameBytes are the most that a name may have.
const maxNameBytes = 64

var errInvalidName = fmt.Errorf("a name of 1 to %d printing bytes expected", maxNameBytes)

func validName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && sanitize(s) == s && utf8.ValidString(s)
}

// NotifyJoin and the rest are called by memberlist.
func (in *instance) NotifyJoin(n *memberlist.Node) { in.nodeAlive(n) }

// NotifyUpdate hears of a node that said something new of itself.
func (in *instance) NotifyUpdate(n *memberlist.Node) { in.nodeAlive(n) }

func (in *instance) nodeAlive(n *memberlist.Node) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Name == f.options.Name || !in.isCurrent() || !f.awake() {
		return
	}
	now := time.Now()
	if f.firstContact.IsZero() {
		f.firstContact = now
	}
	f.nameByAddr[n.Address()] = n.Name
	node := *n
	f.nodes[n.Name] = &node
	if len(f.lastAddr) < f.options.healthRules.MaxPeers || f.lastAddr[n.Name] != "" {
		f.lastAddr[n.Name] = n.Address()
	}
	start, life := parseNodeMeta(n.Meta)
	f.detector.AddMember(f.elapsedMs(now), n.Name, "", start, life)
	f.detector.MarkAlive(f.elapsedMs(now), n.Name)
	f.reachable.Store(int64(1 + len(f.nameByAddr)))
}

// NotifyLeave hears of a node that left or fell silent.
func (in *instance) NotifyLeave(n *memberlist.Node) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Name == f.options.Name || !in.isCurrent() || !f.awake() {
		return
	}
	now := time.Now()
	delete(f.nameByAddr, n.Address())
	delete(f.nodes, n.Name)
	f.reachable.Store(int64(1 + len(f.nameByAddr)))
	if n.State == memberlist.StateLeft {
		f.detector.MarkDeparted(f.elapsedMs(now), n.Name, 0, health.Left)
	} else {
		f.peersLost++
		f.detector.MarkSuspect(f.elapsedMs(now), n.Name)
	}
}

// NodeMeta tells one life of a name from another.
func (in *instance) NodeMeta(limit int) []byte {
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	return binary.LittleEndian.AppendUint64(binary.AppendUvarint(nil, in.fleet.identity.Generation), in.fleet.identity.Incarnation)
}

func parseNodeMeta(meta []byte) (start, life uint64) {
	start, n := binary.Uvarint(meta)
	if n <= 0 || len(meta) < n+8 {
		return 0, 0
	}
	return start, binary.LittleEndian.Uint64(meta[n:])
}

// NotifyConflict hears of one name at two addresses. If it is the own one, and this server has only just come into
// contact, it gives way; else both stay, and are named.
func (in *instance) NotifyConflict(existing, other *memberlist.Node) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !in.isCurrent() || !f.awake() {
		return
	}
	text := fmt.Sprintf("%s at %s and at %s", existing.Name, existing.Address(), other.Address())
	if !slices.Contains(f.duplicateNames, text) {
		if len(f.duplicateNames) >= maxDuplicateNames {
			f.duplicateNames = f.duplicateNames[1:]
		}
		f.duplicateNames = append(f.duplicateNames, text)
		f.options.Log.WithField("twins", text).Error("fleet: two servers bear one name")
	}
	if existing.Name != f.options.Name || f.exclusion != nil {
		return
	}
	now := time.Now()
	otherStart, otherLife := parseNodeMeta(other.Meta)
	isNew := f.firstContact.IsZero() || now.Sub(f.firstContact) < newcomerPeriod
	if isNew && (otherStart > f.identity.Generation || otherStart == f.identity.Generation && otherLife > f.identity.Incarnation || f.detector.View(f.elapsedMs(now)).State == health.Isolated) {
		f.exclude(fmt.Errorf("the name %s is taken by a server at %s; this one serves without the fleet", f.options.Name, other.Address()))
	}
}

// exclude ends this server's part in the fleet. The lock is held.
func (f *Fleet) exclude(err error) {
	f.exclusion = err
	f.silenced.Store(true)
	if f.budgets != nil {
		go f.budgets.disable() // its lock is taken before this one's elsewhere
	}
	f.detector.Reset(f.elapsedMs(time.Now()))
	f.options.Log.WithError(err).Error("fleet: refused")
}

// AckPayload adds nothing to an answer.
func (in *instance) AckPayload() []byte { return nil }

// NotifyPingComplete hears of a direct answer.
func (in *instance) NotifyPingComplete(n *memberlist.Node, rtt time.Duration, payload []byte) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if in.isCurrent() && f.awake() {
		f.detector.RecordAck(f.elapsedMs(time.Now()), n.Name)
	}
}

// recordBroadcast is a record on its way.
type recordBroadcast struct {
	key    string
	record []byte
}

// Invalidates and the rest are what memberlist's queue asks of a broadcast.
func (n *recordBroadcast) Invalidates(o memberlist.Broadcast) bool {
	x, is := o.(*recordBroadcast)
	return is && x.key == n.key
}
func (n *recordBroadcast) Name() string    { return n.key }
func (n *recordBroadcast) Message() []byte { return n.record }
func (n *recordBroadcast) Finished()       {}

// GetBroadcasts gives the records that travel with the next packet, each behind the name of who brings it.
func (in *instance) GetBroadcasts(overhead, limit int) [][]byte {
	name := in.fleet.options.Name
	all := in.fleet.broadcasts.GetBroadcasts(overhead+1+len(name), limit)
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
	directMark    = 0
	channelLeases = 1
)

// sendDirect sends a packet to one server alone, if it is heard. It may be lost, doubled or overtaken.
func (f *Fleet) sendDirect(to string, channel byte, body []byte) {
	f.mu.Lock()
	in, node := f.instance, f.nodes[to]
	f.mu.Unlock()
	if in == nil || node == nil || !f.awake() {
		return
	}
	select {
	case <-in.ready:
	default:
		return
	}
	if in.memberlist == nil {
		return
	}
	b := append([]byte{directMark, channel, byte(len(f.options.Name))}, f.options.Name...)
	in.memberlist.SendBestEffort(node, append(b, body...))
}

// receiveDirect takes a packet to this server alone.
func (in *instance) receiveDirect(b []byte) {
	f := in.fleet
	if len(b) < 2 || len(b) < 2+int(b[1]) {
		return
	}
	from, body := string(b[2:2+b[1]]), b[2+b[1]:]
	f.mu.Lock()
	shared, heard := f.budgets, in.isCurrent() && f.awake() && f.exclusion == nil && from != f.options.Name && f.nodes[from] != nil
	f.mu.Unlock()
	if heard && b[0] == channelLeases && shared != nil {
		shared.receive(from, body)
	}
}

// NotifyMsg takes a record, or a packet to this server alone.
func (in *instance) NotifyMsg(b []byte) {
	if len(b) > 1 && b[0] == directMark {
		in.receiveDirect(b[1:])
		return
	}
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		in.fleet.receiveRecord(in, "", nil)
		return
	}
	in.fleet.receiveRecord(in, string(b[1:1+b[0]]), b[1+b[0]:])
}

// LocalState is what goes with an exchange of states: the own name, and all records.
func (in *instance) LocalState(join bool) []byte {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	b := append([]byte{byte(len(f.options.Name))}, f.options.Name...)
	return f.records.AppendState(b, maxStateBytes)
}

// MergeRemoteState takes what came with one.
func (in *instance) MergeRemoteState(b []byte, join bool) {
	if len(b) < 1 || len(b) < 1+int(b[0]) || len(b) > 2*maxStateBytes {
		in.fleet.receiveRecord(in, "", nil)
		return
	}
	if !gossip.SplitState(b[1+b[0]:], func(raw []byte) { in.fleet.receiveRecord(in, "", raw) }) {
		in.fleet.receiveRecord(in, "", nil)
	}
}

// receiveRecord hears a record that somebody brings.
func (f *Fleet) receiveRecord(in *instance, through string, raw []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !in.isCurrent() || !f.awake() || f.exclusion != nil {
		return
	}
	at := time.Now()
	now := f.elapsedMs(at)
	r, err := gossip.Parse(raw)
	if err == nil && !validName(r.Origin) {
		raw = nil // as damaged
	} else if err == nil && r.Origin == f.options.Name {
		f.receiveOwnRecord(at, &r)
		return
	}
	r, found := f.records.Put(now, raw)
	if found != gossip.Updated {
		return
	}
	f.broadcasts.QueueBroadcast(&recordBroadcast{key: r.Origin + "\x00" + r.Key, record: slices.Clone(raw)})
	zone := ""
	switch r.Key {
	case keyServer:
		s, ok := parseServer(r.Body)
		if !ok {
			break
		}
		zone = s.Zone
		if f.detector.AddMember(now, r.Origin, zone, r.Generation, r.Incarnation); s.Phase == Leaving {
			f.detector.MarkDeparted(now, r.Origin, r.Generation, health.Left)
		}
	case keyRemoval:
		if g, ok := parseRemoval(r.Body); ok && g.name != f.options.Name {
			f.detector.MarkDeparted(now, g.name, g.start, health.DeclaredDead)
		}
	}
	f.detector.RecordIndirect(now, r.Origin, through)
}

// receiveOwnRecord is a record of the own name: of a former life, or of another process. The lock is held.
func (f *Fleet) receiveOwnRecord(at time.Time, r *gossip.Record) {
	raised, twin := f.identity.Refute(f.elapsedMs(at), r.Generation, r.Incarnation)
	if !raised {
		return
	}
	if twin {
		f.exclude(fmt.Errorf("the name %s is borne by another process, too; this one serves without the fleet", f.options.Name))
		return
	}
	clear(f.sequences)
	for key, body := range f.published {
		f.publish(at, key, body)
	}
	if in := f.instance; in != nil && !f.closed { // Close waits for what was begun before
		f.wg.Add(1)
		go func() { // memberlist must not be called from within its own call
			defer f.wg.Done()
			if <-in.ready; in.memberlist != nil {
				in.memberlist.UpdateNode(leaveTimeout)
			}
		}()
	}
}

// DeclareRemoved is an operator's word that a name will not come back: it leaves the roster everywhere. A later life of it, or a
// sign that it is there, brings it back.
func (f *Fleet) DeclareRemoved(name, who, why string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	start, _, has := f.records.LatestIncarnation(name)
	if !has || name == f.options.Name {
		return fmt.Errorf("%q is no other server of the fleet that is known here", name)
	}
	for _, p := range f.detector.Peers(f.elapsedMs(time.Now())) {
		if p.Name == name && p.Reachable {
			return fmt.Errorf("%s is heard: it is not gone", name)
		}
	}
	now := time.Now()
	g := removal{name: name, start: start, operator: who, reason: why}
	if err := f.publish(now, keyRemoval, g.appendTo(nil)); err != nil {
		return err
	}
	f.detector.MarkDeparted(f.elapsedMs(now), name, start, health.DeclaredDead)
	f.options.Log.WithFields(logrus.Fields{"name": name, "who": who, "why": why}).Warn("fleet: declared gone")
	return nil
}

// View tells what this server hears.
func (f *Fleet) View() health.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.detector.View(f.elapsedMs(time.Now()))
}

// Close says good-bye and ends all that was started. It takes half a second at the most beside an exchange under way.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	if f.instance != nil && f.exclusion == nil {
		s := ServerRecord{Zone: f.options.Zone, Version: f.options.Version, SettingsHash: f.options.SettingsHash, Addr: f.options.Advertise, Phase: Leaving}
		f.publish(time.Now(), keyServer, s.appendTo(nil))
	}
	f.mu.Unlock()
	close(f.stop)
	<-f.loopDone
	f.mu.Lock()
	in, refused := f.instance, f.exclusion
	f.mu.Unlock()
	if in != nil {
		if refused == nil {
			in.memberlist.Leave(leaveTimeout)
		}
		in.memberlist.Shutdown()
	}
	f.wg.Wait()
}

// ErrKeySize is a key that memberlist does not take.
var ErrKeySize = errors.New("16, 24 or 32 bytes expected")

// ValidateKey tells whether a key can be used.
func ValidateKey(key []byte) error {
	if memberlist.ValidateKey(key) != nil {
		return ErrKeySize
	}
	return nil
}

// sanitize makes what came from the network fit for a line of log or status.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
