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

// Rules are what an instance goes by. Times are ms of the server's own monotonic clock.
type Rules struct {
	Stall  float64 // between two ticks, from which on the server itself had stalled
	Jump   float64 // by which the wall clock may part from the monotonic one between two ticks
	Listen float64 // after a stall, before anything is said of others
	Quiet  float64 // without a word from anybody, and nobody is heard
	Settle float64 // for which a peer, or a better state, must hold until it counts
	Direct float64 // within which a peer must have spoken to us to count as in contact; it grows with the roster
	Peers  int     // names that are kept at the most
	Expect int     // servers that there are, as an operator says; a smaller roster is not the whole. 0 for not told
}

// Usual are rules for a detector that asks somebody every 500 ms and needs two seconds at the least to call one silent: a
// stall of half of that can't have made it do so.
var Usual = Rules{Stall: 1000, Jump: 1000, Listen: 1500, Quiet: 1800, Settle: 1000, Direct: 5000, Peers: 4096}

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

// State is what a server hears of its fleet.
type State int

const (
	Alone State = iota // nobody
	Part               // some of the roster
	Whole              // all of it
)

func (s State) String() string {
	return [...]string{"alone", "part", "whole"}[min(max(s, Alone), Whole)]
}

// Contact is how a peer is heard.
type Contact int

const (
	None    Contact = iota // not at all
	Through                // others bring news of it
	In                     // it speaks to us, and does not answer what we say: our way to it is cut
	Both                   // it answers us
)

func (c Contact) String() string {
	return [...]string{"none", "through others", "one way", "both ways"}[min(max(c, None), Both)]
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
	away        Away
	awayAt      float64
}

// Away is why a name is off the roster.
type Away int

const (
	Here Away = iota
	Left      // it said that it leaves
	Gone      // an operator said so
)

// Hearing is one instance.
type Hearing struct {
	r          Rules
	self, zone string
	peers      map[string]*peer
	order      []*peer // by name, so that all that is told comes in one order
	ticked     float64
	wall       float64
	listens    float64 // until then nothing is said of others
	word       float64 // last word from anybody
	stalls     int
	state      State
	since      float64
	better     State // what it would be but for Settle, and since when
	betterAt   float64
	changed    int  // states
	met        bool // somebody, in this life

	// Kept as things happen, since fleets are large and ticks are many: names on the roster, those of them that the detector
	// finds there, and peers that were lost so often that they may not count though they are there.
	here, there int
	flappers    []*peer
}

// New returns an instance that listens first. now is ms of the own clock and wall of the wall clock.
func New(r Rules, self, zone string, now, wall float64) *Hearing {
	h := &Hearing{r: r, self: self, zone: zone, peers: map[string]*peer{}, ticked: now, wall: wall, since: now, betterAt: now}
	h.listens, h.word = now+r.Listen, math.Inf(-1)
	return h
}

// Tick is to be called many times within Stall. It tells whether the server itself had stalled or its clock jumped: then
// all that was heard is void, and the owner must begin its detector anew.
func (h *Hearing) Tick(now, wall float64) (stalled bool) {
	gap := now - h.ticked
	jump := math.Abs(wall - h.wall - gap)
	h.ticked, h.wall = now, wall
	if gap >= h.r.Stall || jump >= h.r.Jump {
		h.stalls++
		h.Void(now)
		return true
	}
	h.settle(now)
	return false
}

// Void forgets what was heard, not who there is: the roster stays.
func (h *Hearing) Void(now float64) {
	for _, p := range h.order {
		h.mark(p, false, p.away)
		p.since, p.in, p.acked, p.via, p.through = now, math.Inf(-1), math.Inf(-1), math.Inf(-1), ""
	}
	h.word, h.listens = math.Inf(-1), now+h.r.Listen
	h.set(now, Alone)
}

// Listening tells whether nothing may be said of others yet.
func (h *Hearing) Listening(now float64) bool { return now < h.listens }

// mark sets what the detector finds and whether the name is on the roster, and keeps the counts.
func (h *Hearing) mark(p *peer, alive bool, away Away) {
	count := func(by int) {
		if p.away == Here {
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

func (h *Hearing) get(name string) (*peer, bool) {
	p, has := h.peers[name]
	return p, has
}

// Known puts a name on the roster, with its zone if that is known, and tells whether it stands there; the own one does not. A life that left or
// was declared gone is not put back; a later one is.
func (h *Hearing) Known(now float64, name, zone string, start, life uint64) bool {
	if name == h.self || name == "" {
		return false
	}
	p, has := h.get(name)
	if !has {
		if len(h.order) >= h.r.Peers && !h.evict() {
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
		if p.away != Here {
			h.mark(p, p.alive, Here)
			p.awayAt = now
		}
	}
	return true
}

// evict drops the name that has been away for longest; false if none is.
func (h *Hearing) evict() bool {
	oldest := -1
	for i, p := range h.order {
		if p.away != Here && (oldest < 0 || p.awayAt < h.order[oldest].awayAt) {
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

// Alive is what the detector says of a name that it finds there.
func (h *Hearing) Alive(now float64, name string) {
	p, has := h.get(name)
	if !has {
		if !h.Known(now, name, "", 0, 0) {
			return
		}
		p, _ = h.get(name)
	}
	if p.away != Here { // it is there, whatever was said
		p.awayAt = now
	}
	if !p.alive {
		p.since = now
	}
	h.met = true
	h.mark(p, true, Here)
	h.settle(now)
}

// Lost is what the detector says of a name that has fallen silent.
func (h *Hearing) Lost(now float64, name string) {
	p, has := h.get(name)
	if !has || !p.alive {
		return
	}
	h.mark(p, false, p.away)
	p.since = now
	if !h.Listening(now) && now-h.word < h.r.Quiet { // else it is we who hear nothing
		p.penalty, p.penaltyAt = p.faded(now)+1, now
		p.losses++
		if p.penalty >= flapFrom && !slices.Contains(h.flappers, p) {
			h.flappers = append(h.flappers, p)
		}
	}
	h.settle(now)
}

// Leaves takes a name off the roster: it said itself that it leaves, or an operator declared it gone. A later life of it,
// or a sign of this one, brings it back.
func (h *Hearing) Leaves(now float64, name string, start uint64, why Away) {
	p, has := h.get(name)
	if !has { // word of it came before anything else: kept, so that older news does not put it back
		if !h.Known(now, name, "", start, 0) {
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

// Word is a direct word from a peer; the name may be "" if it is not known who spoke.
func (h *Hearing) Word(now float64, name string) {
	h.word = now
	if p, has := h.get(name); has {
		p.in = now
	}
}

// Answered is a peer's direct answer to what we said to it.
func (h *Hearing) Answered(now float64, name string) {
	h.Word(now, name)
	if p, has := h.get(name); has {
		p.acked = now
	}
}

// Via is news of a peer that another brought; not what a whole state held, which may be old.
func (h *Hearing) Via(now float64, name, through string) {
	if p, has := h.get(name); has && through != name && through != "" {
		p.via, p.through = now, through
	}
}

func (p *peer) faded(now float64) float64 {
	return p.penalty * math.Exp2(-(now-p.penaltyAt)/flapHalf)
}

// counts tells whether a peer is heard, and for long enough.
func (h *Hearing) counts(p *peer, now float64) bool {
	if !p.alive || p.away != Here {
		return false
	}
	least := 0.0
	if x := p.faded(now); x >= flapFrom {
		least = min(h.r.Settle*math.Exp2(2*x), longestSettle)
	}
	return now-p.since >= least
}

// census counts the roster and who of it is heard, the server itself included.
func (h *Hearing) census(now float64) (roster, heard int) {
	roster, heard = 1+h.here, 1+h.there
	keep := h.flappers[:0]
	for _, p := range h.flappers {
		if p.faded(now) < flapFrom || h.peers[p.name] != p {
			continue
		}
		keep = append(keep, p)
		if p.alive && p.away == Here && !h.counts(p, now) {
			heard--
		}
	}
	clear(h.flappers[len(keep):])
	h.flappers = keep
	return roster, heard
}

// settle moves the state: down at once, up after Settle.
func (h *Hearing) settle(now float64) {
	to := Alone
	roster, heard := h.census(now)
	switch {
	case h.Listening(now):
	case roster == 1 && len(h.order) > 0 && h.r.Expect <= 1: // all others have left: a fleet of one
		to = Whole
	case roster > 1 && now-h.word >= h.r.Quiet: // not even a word
	case heard == roster && roster > 1 && roster >= h.r.Expect:
		to = Whole
	case heard > 1:
		to = Part
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
	if now-h.betterAt >= h.r.Settle {
		h.set(now, to)
	}
}

func (h *Hearing) set(now float64, to State) {
	if to != h.state {
		h.state, h.since = to, now
		h.changed++
	}
	h.better, h.betterAt = to, now
}

// Zone is what is heard of one.
type Zone struct {
	Name          string
	Roster, Heard int
}

// Peer is what is heard of one.
type Peer struct {
	Name, Zone  string
	Start       uint64
	Heard       bool // counts as there
	Alive       bool // the detector finds it there
	Damped      bool // it is there and has flapped too much to count
	Contact     Contact
	Through     string // who brought the last news of it, if that is how it is heard
	Age         float64
	For         float64 // ms of Alive as it is
	Losses      int
	Twin        bool // two processes bear the name
	Away        Away
	Life        uint64
	Unconfirmed bool // a name on the roster that was never heard here
}

// View is what a server hears.
type View struct {
	State           State
	Listening       bool    // just started, or itself stalled: nothing is said of others
	For             float64 // ms in this state
	Roster, Heard   int     // self included
	AtLeast, AtMost int     // servers that are there, whatever is not known
	Blind           bool    // never in contact in this life, nor told what to expect: there may be more than AtMost
	Zones           []Zone  // by name, the own one included
	Stalls, Changes int
}

// State is that of View, at no cost.
func (h *Hearing) State(now float64) State {
	h.settle(now)
	return h.state
}

// Deaf tells whether not a word has come for Quiet, from anybody, though the server has listened.
func (h *Hearing) Deaf(now float64) bool { return !h.Listening(now) && now-h.word >= h.r.Quiet }

// Ends is View without its zones, at the cost of a tick.
func (h *Hearing) Ends(now float64) View {
	h.settle(now)
	v := View{State: h.state, Listening: h.Listening(now), For: now - h.since, Stalls: h.stalls, Changes: h.changed}
	v.Roster, v.Heard = h.census(now)
	if h.state == Alone {
		v.Heard = 1
	}
	v.AtLeast, v.AtMost = v.Heard, max(v.Roster, h.r.Expect)
	v.Blind = !h.met && h.r.Expect == 0
	return v
}

// View tells what is heard now.
func (h *Hearing) View(now float64) View {
	v := h.Ends(now)
	zones := map[string]*Zone{h.zone: {h.zone, 1, 1}}
	for _, p := range h.order {
		if p.away != Here {
			continue
		}
		z := zones[p.zone]
		if z == nil {
			z = &Zone{Name: p.zone}
			zones[p.zone] = z
		}
		z.Roster++
		if h.state != Alone && h.counts(p, now) {
			z.Heard++
		}
	}
	for _, z := range zones {
		v.Zones = append(v.Zones, *z)
	}
	slices.SortFunc(v.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Contact tells how a peer is heard.
func (h *Hearing) Contact(now float64, name string) Contact {
	p, has := h.get(name)
	if !has {
		return None
	}
	return h.contact(p, now, h.r.Direct+directEach*float64(len(h.order)))
}

func (h *Hearing) contact(p *peer, now, window float64) Contact {
	switch {
	case now-p.acked < window:
		return Both
	case now-p.in < window:
		return In
	case now-p.via < window || p.alive:
		return Through
	}
	return None
}

// Peers tells what is heard of each, by name; those away are told, too, while they are remembered.
func (h *Hearing) Peers(now float64) []Peer {
	window := h.r.Direct + directEach*float64(len(h.order))
	all := make([]Peer, 0, len(h.order))
	for _, p := range h.order {
		x := Peer{
			Name: p.name, Zone: p.zone, Start: p.start, Life: p.life, Alive: p.alive, Heard: h.state != Alone && h.counts(p, now),
			Contact: h.contact(p, now, window), For: now - p.since, Losses: p.losses, Twin: p.twin, Away: p.away,
		}
		x.Damped = p.alive && p.away == Here && !h.counts(p, now)
		last := max(p.in, p.acked, p.via)
		x.Age, x.Unconfirmed = now-last, math.IsInf(last, -1)
		if x.Unconfirmed {
			x.Age = 0
		}
		if x.Contact == Through {
			x.Through = p.through
		}
		all = append(all, x)
	}
	return all
}

// Names is how many are remembered, those away included.
func (h *Hearing) Names() int { return len(h.order) }

// Misses tells whether a name is to be joined again: it is on the roster, and the detector does not find it. Who hears
// nobody joins everybody: its detector may still take all for alive, since it asks the more rarely the less it is answered,
// while all others have called this server dead and do not ask it any more.
func (h *Hearing) Misses(name string) bool {
	p, has := h.peers[name]
	return has && h.misses(p)
}

func (h *Hearing) misses(p *peer) bool { return p.away == Here && (!p.alive || h.state == Alone) }

// Silent are the names of which Misses is true.
func (h *Hearing) Silent() (names []string) {
	for _, p := range h.order {
		if h.misses(p) {
			names = append(names, p.name)
		}
	}
	return names
}

// Heard appends the names of those that are heard now: nobody's while this server is alone.
func (h *Hearing) Heard(now float64, into []string) []string {
	if h.State(now) == Alone {
		return into
	}
	for _, p := range h.order {
		if h.counts(p, now) {
			into = append(into, p.name)
		}
	}
	return into
}

// WholeFor tells whether all have been heard for some ms, and this server was not merely listening.
func (h *Hearing) WholeFor(now, ms float64) bool {
	return h.State(now) == Whole && !h.Listening(now) && now-h.since >= ms
}
