// Package health implements failure detection and local health for one server of a fleet, after SWIM and Lifeguard.
//
// A Hearing instance keeps the membership list as this server sees it (alive, suspect, left or declared dead per member
// and incarnation) and derives the view of the cluster: complete, partitioned or isolated, the fraction of each zone in
// contact, and lower and upper bounds on the cluster size. Like Lifeguard's local health multiplier, it first checks
// itself: a server whose process stalled or whose wall clock jumped has seen nothing reliable, and says nothing of its
// peers until it has listened again for Rules.Listen ms. A member that merely falls silent is suspected, never removed:
// it stays in the membership list until it leaves or is declared dead.
//
// The package is pure: it does no I/O, reads no clock (callers pass monotonic and wall times in ms) and starts no
// goroutine. An instance is not safe for concurrent use; its owner must serialise calls.
package health

import (
	"cmp"
	"math"
	"slices"
)

// Config are what an instance goes by. Times are ms of the server's own monotonic clock.
type Config struct {
	StallThreshold      float64 // between two ticks, from which on the server itself had stalled
	ClockJumpThreshold  float64 // by which the wall clock may part from the monotonic one between two ticks
	GracePeriod         float64 // after a stall, before anything is said of others
	SilenceTimeout      float64 // without a word from anybody, and nobody is heard
	StabilizationPeriod float64 // for which a peer, or a better state, must hold until it counts
	ContactWindow       float64 // within which a peer must have spoken to us to count as in contact; it grows with the roster
	MaxPeers            int     // names that are kept at the most
	ExpectedServers     int     // servers that there are, as an operator says; a smaller roster is not the whole. 0 for not told
}

// DefaultConfig are rules for a detector that asks somebody every 500 ms and needs two seconds at the least to call one silent: a
// stall of half of that can't have made it do so.
var DefaultConfig = Config{StallThreshold: 1000, ClockJumpThreshold: 1000, GracePeriod: 1500, SilenceTimeout: 1800, StabilizationPeriod: 1000, ContactWindow: 5000, MaxPeers: 4096}

// directEach is added to Direct for each name on the roster: twice the time in which a detector that asks one peer every
// 500 ms comes round to it.
const directEach = 1000.0

// Flapping: each loss adds one to a penalty that halves in flapHalf; from flapFrom on a peer must be heard so many times
// longer until it counts, longestSettle at the most. Losses ten seconds apart, each a fault of its own, never come to two;
// at five seconds the fifth is over the bound, at three the third.
const (
	flapHalf      = 10e3
	flapFrom      = 2.3
	longestSettle = 30e3
)

// twinWindow is how long a life that was superseded is remembered: if it speaks again within this, two processes bear
// one name.
const twinWindow = 60e3

// ClusterState is what a server hears of its fleet.
type ClusterState int

const (
	Isolated    ClusterState = iota // nobody
	Partitioned                     // some of the roster
	Complete                        // all of it
)

func (s ClusterState) String() string {
	return [...]string{"alone", "part", "whole"}[min(max(s, Isolated), Complete)]
}

// Contact is how a peer is heard.
type Contact int

const (
	NoContact       Contact = iota // not at all
	IndirectContact                // others bring news of it
	InboundOnly                    // it speaks to us, and does not answer what we say: our way to it is cut
	Bidirectional                  // it answers us
)

func (c Contact) String() string {
	return [...]string{"none", "through others", "one way", "both ways"}[min(max(c, NoContact), Bidirectional)]
}

type peer struct {
	name, zone  string
	start, life uint64
	former      uint64  // the life before, and when it was superseded
	formerAt    float64 //
	twin        bool
	alive       bool    // as the detector has it
	since       float64 // of alive
	in, acked   float64 // last direct word, and last direct answer
	via         float64 // last news through another
	through     string
	penalty     float64
	penaltyAt   float64
	losses      int
	away        Departure
	awayAt      float64
}

// Departure is why a name is off the roster.
type Departure int

const (
	Present      Departure = iota
	Left                   // it said that it leaves
	DeclaredDead           // an operator said so
)

// Detector is one instance.
type Detector struct {
	r          Config
	self, zone string
	peers      map[string]*peer
	order      []*peer // by name, so that all that is told comes in one order
	ticked     float64
	wall       float64
	listens    float64 // until then nothing is said of others
	word       float64 // last word from anybody
	stalls     int
	state      ClusterState
	since      float64
	better     ClusterState // what it would be but for Settle, and since when
	betterAt   float64
	changed    int  // states
	met        bool // somebody, in this life

	// Kept as things happen, since fleets are large and ticks are many: names on the roster, those of them that the detector
	// finds there, and peers that were lost so often that they may not count though they are there.
	here, there int
	flappers    []*peer
}

// New returns an instance that listens first. now is ms of the own clock and wall of the wall clock.
func New(r Config, self, zone string, now, wall float64) *Detector {
	h := &Detector{r: r, self: self, zone: zone, peers: map[string]*peer{}, ticked: now, wall: wall, since: now, betterAt: now}
	h.listens, h.word = now+r.GracePeriod, math.Inf(-1)
	return h
}

// Tick is to be called many times within Stall. It tells whether the server itself had stalled or its clock jumped: then
// all that was heard is void, and the owner must begin its detector anew.
func (h *Detector) Tick(now, wall float64) (stalled bool) {
	gap := now - h.ticked
	jump := math.Abs(wall - h.wall - gap)
	h.ticked, h.wall = now, wall
	if gap >= h.r.StallThreshold || jump >= h.r.ClockJumpThreshold {
		h.stalls++
		h.Reset(now)
		return true
	}
	h.settle(now)
	return false
}

// Reset forgets what was heard, not who there is: the roster stays.
func (h *Detector) Reset(now float64) {
	for _, p := range h.order {
		h.mark(p, false, p.away)
		p.since, p.in, p.acked, p.via, p.through = now, math.Inf(-1), math.Inf(-1), math.Inf(-1), ""
	}
	h.word, h.listens = math.Inf(-1), now+h.r.GracePeriod
	h.set(now, Isolated)
}

// InGracePeriod tells whether nothing may be said of others yet.
func (h *Detector) InGracePeriod(now float64) bool { return now < h.listens }

// mark sets what the detector finds and whether the name is on the roster, and keeps the counts.
func (h *Detector) mark(p *peer, alive bool, away Departure) {
	count := func(by int) {
		if p.away == Present {
			h.here += by
			if p.alive {
				h.there += by
			}
		}
	}
	count(-1)
	p.alive, p.away = alive, away
	count(1)
}

func (h *Detector) get(name string) (*peer, bool) {
	p, has := h.peers[name]
	return p, has
}

// AddMember puts a name on the roster, with its zone if that is known, and tells whether it stands there; the own one does not. A life that left or
// was declared gone is not put back; a later one is.
func (h *Detector) AddMember(now float64, name, zone string, start, life uint64) bool {
	if name == h.self || name == "" {
		return false
	}
	p, has := h.get(name)
	if !has {
		if len(h.order) >= h.r.MaxPeers && !h.evict() {
			return false
		}
		p = &peer{name: name, start: start, life: life, since: now, formerAt: math.Inf(-1)}
		p.in, p.acked, p.via = math.Inf(-1), math.Inf(-1), math.Inf(-1)
		h.peers[name] = p
		h.here++
		i, _ := slices.BinarySearchFunc(h.order, name, func(p *peer, name string) int { return cmp.Compare(p.name, name) })
		h.order = slices.Insert(h.order, i, p)
	}
	if zone != "" {
		p.zone = zone
	}
	switch {
	case life == 0 || life == p.life || p.life == 0 && start == p.start:
		p.start, p.life = max(p.start, start), max(p.life, life)
	case start > p.start || start == p.start && life > p.life:
		if life == p.former && now-p.formerAt < twinWindow { // the one that was superseded lives on
			p.twin = true
		}
		p.former, p.formerAt = p.life, now
		p.start, p.life = start, life
		if p.away != Present {
			h.mark(p, p.alive, Present)
			p.awayAt = now
		}
	}
	return true
}

// evict drops the name that has been away for longest; false if none is.
func (h *Detector) evict() bool {
	oldest := -1
	for i, p := range h.order {
		if p.away != Present && (oldest < 0 || p.awayAt < h.order[oldest].awayAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	delete(h.peers, h.order[oldest].name)
	h.order = slices.Delete(h.order, oldest, oldest+1)
	return true
}

// MarkAlive is what the detector says of a name that it finds there.
func (h *Detector) MarkAlive(now float64, name string) {
	p, has := h.get(name)
	if !has {
		if !h.AddMember(now, name, "", 0, 0) {
			return
		}
		p, _ = h.get(name)
	}
	if p.away != Present { // it is there, whatever was said
		p.awayAt = now
	}
	if !p.alive {
		p.since = now
	}
	h.met = true
	h.mark(p, true, Present)
	h.settle(now)
}

// MarkSuspect is what the detector says of a name that has fallen silent.
func (h *Detector) MarkSuspect(now float64, name string) {
	p, has := h.get(name)
	if !has || !p.alive {
		return
	}
	h.mark(p, false, p.away)
	p.since = now
	if !h.InGracePeriod(now) && now-h.word < h.r.SilenceTimeout { // else it is we who hear nothing
		p.penalty, p.penaltyAt = p.faded(now)+1, now
		p.losses++
		if p.penalty >= flapFrom && !slices.Contains(h.flappers, p) {
			h.flappers = append(h.flappers, p)
		}
	}
	h.settle(now)
}

// MarkDeparted takes a name off the roster: it said itself that it leaves, or an operator declared it gone. A later life of it,
// or a sign of this one, brings it back.
func (h *Detector) MarkDeparted(now float64, name string, start uint64, why Departure) {
	p, has := h.get(name)
	if !has { // word of it came before anything else: kept, so that older news does not put it back
		if !h.AddMember(now, name, "", start, 0) {
			return
		}
		p, _ = h.get(name)
	}
	if start < p.start && start != 0 {
		return
	}
	h.mark(p, false, why)
	p.since, p.awayAt = now, now
	h.settle(now)
}

// RecordMessage is a direct word from a peer; the name may be "" if it is not known who spoke.
func (h *Detector) RecordMessage(now float64, name string) {
	h.word = now
	if p, has := h.get(name); has {
		p.in = now
	}
}

// RecordAck is a peer's direct answer to what we said to it.
func (h *Detector) RecordAck(now float64, name string) {
	h.RecordMessage(now, name)
	if p, has := h.get(name); has {
		p.acked = now
	}
}

// RecordIndirect is news of a peer that another brought; not what a whole state held, which may be old.
func (h *Detector) RecordIndirect(now float64, name, through string) {
	if p, has := h.get(name); has && through != name && through != "" {
		p.via, p.through = now, through
	}
}

func (p *peer) faded(now float64) float64 {
	return p.penalty * math.Exp2(-(now-p.penaltyAt)/flapHalf)
}

// counts tells whether a peer is heard, and for long enough.
func (h *Detector) counts(p *peer, now float64) bool {
	if !p.alive || p.away != Present {
		return false
	}
	least := 0.0
	if x := p.faded(now); x >= flapFrom {
		least = min(h.r.StabilizationPeriod*math.Exp2(2*x), longestSettle)
	}
	return now-p.since >= least
}

// census counts the roster and who of it is heard, the server itself included.
func (h *Detector) census(now float64) (roster, heard int) {
	roster, heard = 1+h.here, 1+h.there
	keep := h.flappers[:0]
	for _, p := range h.flappers {
		if p.faded(now) < flapFrom || h.peers[p.name] != p {
			continue
		}
		keep = append(keep, p)
		if p.alive && p.away == Present && !h.counts(p, now) {
			heard--
		}
	}
	clear(h.flappers[len(keep):])
	h.flappers = keep
	return roster, heard
}

// settle moves the state: down at once, up after Settle.
func (h *Detector) settle(now float64) {
	to := Isolated
	roster, heard := h.census(now)
	switch {
	case h.InGracePeriod(now):
	case roster == 1 && len(h.order) > 0 && h.r.ExpectedServers <= 1: // all others have left: a fleet of one
		to = Complete
	case roster > 1 && now-h.word >= h.r.SilenceTimeout: // not even a word
	case heard == roster && roster > 1 && roster >= h.r.ExpectedServers:
		to = Complete
	case heard > 1:
		to = Partitioned
	}
	if to <= h.state {
		h.better, h.betterAt = to, now
		if to < h.state {
			h.set(now, to)
		}
		return
	}
	if to != h.better {
		if h.better <= h.state || to < h.better {
			h.betterAt = now
		}
		h.better = to
	}
	if now-h.betterAt >= h.r.StabilizationPeriod {
		h.set(now, to)
	}
}

func (h *Detector) set(now float64, to ClusterState) {
	if to != h.state {
		h.state, h.since = to, now
		h.changed++
	}
	h.better, h.betterAt = to, now
}

// Zone is what is heard of one.
type Zone struct {
	Name      string
	Members   int `json:"Roster"` // on the membership list
	Reachable int `json:"Heard"`
}

// Peer is what is heard of one.
type Peer struct {
	Name, Zone     string
	Generation     uint64
	Reachable      bool // counts as there
	Alive          bool // the detector finds it there
	FlapDamped     bool // it is there and has flapped too much to count
	Contact        Contact
	Via            string // who brought the last news of it, if that is how it is heard
	LastContactAge float64
	StatusDuration float64 // ms of Alive as it is
	SuspicionCount int
	DuplicateName  bool // two processes bear the name
	Departure      Departure
	Incarnation    uint64
	Unconfirmed    bool // a name on the roster that was never heard here
}

// View is what a server hears.
type View struct {
	State                    ClusterState
	InGracePeriod            bool    // just started, or itself stalled: nothing is said of others
	StateDuration            float64 // ms in this state
	Members, Reachable       int     // self included
	MinServers, MaxServers   int     // servers that are there, whatever is not known
	MaxUnknown               bool    // never in contact in this life, nor told what to expect: there may be more than AtMost
	Zones                    []Zone  // by name, the own one included
	StallCount, StateChanges int
}

// State is that of View, at no cost.
func (h *Detector) State(now float64) ClusterState {
	h.settle(now)
	return h.state
}

// InboundTimedOut tells whether not a word has come for Quiet, from anybody, though the server has listened.
func (h *Detector) InboundTimedOut(now float64) bool {
	return !h.InGracePeriod(now) && now-h.word >= h.r.SilenceTimeout
}

// Summary is View without its zones, at the cost of a tick.
func (h *Detector) Summary(now float64) View {
	h.settle(now)
	v := View{State: h.state, InGracePeriod: h.InGracePeriod(now), StateDuration: now - h.since, StallCount: h.stalls, StateChanges: h.changed}
	v.Members, v.Reachable = h.census(now)
	if h.state == Isolated {
		v.Reachable = 1
	}
	v.MinServers, v.MaxServers = v.Reachable, max(v.Members, h.r.ExpectedServers)
	v.MaxUnknown = !h.met && h.r.ExpectedServers == 0
	return v
}

// View tells what is heard now.
func (h *Detector) View(now float64) View {
	v := h.Summary(now)
	zones := map[string]*Zone{h.zone: {h.zone, 1, 1}}
	for _, p := range h.order {
		if p.away != Present {
			continue
		}
		z := zones[p.zone]
		if z == nil {
			z = &Zone{Name: p.zone}
			zones[p.zone] = z
		}
		z.Members++
		if h.state != Isolated && h.counts(p, now) {
			z.Reachable++
		}
	}
	for _, z := range zones {
		v.Zones = append(v.Zones, *z)
	}
	slices.SortFunc(v.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Contact tells how a peer is heard.
func (h *Detector) Contact(now float64, name string) Contact {
	p, has := h.get(name)
	if !has {
		return NoContact
	}
	return h.contact(p, now, h.r.ContactWindow+directEach*float64(len(h.order)))
}

func (h *Detector) contact(p *peer, now, window float64) Contact {
	switch {
	case now-p.acked < window:
		return Bidirectional
	case now-p.in < window:
		return InboundOnly
	case now-p.via < window || p.alive:
		return IndirectContact
	}
	return NoContact
}

// Peers tells what is heard of each, by name; those away are told, too, while they are remembered.
func (h *Detector) Peers(now float64) []Peer {
	window := h.r.ContactWindow + directEach*float64(len(h.order))
	all := make([]Peer, 0, len(h.order))
	for _, p := range h.order {
		x := Peer{
			Name: p.name, Zone: p.zone, Generation: p.start, Incarnation: p.life, Alive: p.alive, Reachable: h.state != Isolated && h.counts(p, now),
			Contact: h.contact(p, now, window), StatusDuration: now - p.since, SuspicionCount: p.losses, DuplicateName: p.twin, Departure: p.away,
		}
		x.FlapDamped = p.alive && p.away == Present && !h.counts(p, now)
		last := max(p.in, p.acked, p.via)
		x.LastContactAge, x.Unconfirmed = now-last, math.IsInf(last, -1)
		if x.Unconfirmed {
			x.LastContactAge = 0
		}
		if x.Contact == IndirectContact {
			x.Via = p.through
		}
		all = append(all, x)
	}
	return all
}

// MemberCount is how many are remembered, those away included.
func (h *Detector) MemberCount() int { return len(h.order) }

// NeedsRejoin tells whether a name is to be joined again: it is on the roster, and the detector does not find it. Who hears
// nobody joins everybody: its detector may still take all for alive, since it asks the more rarely the less it is answered,
// while all others have called this server dead and do not ask it any more.
func (h *Detector) NeedsRejoin(name string) bool {
	p, has := h.peers[name]
	return has && h.misses(p)
}

func (h *Detector) misses(p *peer) bool {
	return p.away == Present && (!p.alive || h.state == Isolated)
}

// RejoinCandidates are the names of which Misses is true.
func (h *Detector) RejoinCandidates() (names []string) {
	for _, p := range h.order {
		if h.misses(p) {
			names = append(names, p.name)
		}
	}
	return names
}

// AppendReachable appends the names of those that are heard now: nobody's while this server is alone.
func (h *Detector) AppendReachable(now float64, into []string) []string {
	if h.State(now) == Isolated {
		return into
	}
	for _, p := range h.order {
		if h.counts(p, now) {
			into = append(into, p.name)
		}
	}
	return into
}

// CompleteFor tells whether all have been heard for some ms, and this server was not merely listening.
func (h *Detector) CompleteFor(now, ms float64) bool {
	return h.State(now) == Complete && !h.InGracePeriod(now) && now-h.since >= ms
}
