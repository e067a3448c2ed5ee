// Package pool chooses the member of a pool that an RPC goes to: by power of two choices over RPCs in flight and recent
// latency, among the members that are not ejected and have room. It ejects members that fail, say nothing or are far
// slower than the rest, never below a stated share, and lets them return slowly; and it keeps the line of those that
// wait for room, bounded in count and time. It does no I/O and has no clock; an instance must be guarded by its owner.
// It must never hand out more places at a member than that has.
package pool

import (
	"math"
	"math/rand"
	"slices"
)

// Rules are what an operator sets. Times are ms.
type Rules struct {
	Connections int     // at each member
	Waiting     int     // RPCs that may wait for one, over the pool
	Wait        float64 // and for how long
	Failures    int     // in a row until a member is ejected
	Outlier     float64 // times the others' latency until it is
	MinShare    float64 // of the members that stay in use, whatever they do
	Eject       float64 // for how long at first; doubled each time that it is ejected again soon
	Return      float64 // over which a member comes back to its full part
	Check       float64 // between two active checks; 0 for none
	RoundRobin  bool    // in turn, without regard to load: what the rest is measured against
}

const (
	// longestEject is in times of the first ejection: a member that has recovered must not be missed for longer, and
	// what asking a bad one costs is bounded by its first part of places.
	longestEject = 2.0
	enough       = 8    // answers until a latency tells anything
	weight       = 0.2  // of an answer in the mean: about five, a second or less of one member's traffic
	firstPart    = 0.1  // of its places, for a member that returns
	leastSilence = 50.0 // ms without any answer, below which nobody is called silent
	// silent times the usual latency, or its own if that is longer, without any answer, while work is in hand: with several RPCs in flight the
	// chance that a sound member shows none for so long is small.
	silent = 10.0
	// softShare of the members stay in use whatever their latency or silence suggests: these also show in sound members
	// under more load than they bear, and each one that goes leaves more of it to the next.
	softShare = 0.75
	calm      = 4.0 // times its last ejection without another, and the next one is a first again
)

// Why tells what a member was ejected for.
type Why int

const (
	Sound   Why = iota
	Failing     // failures in a row
	Slow        // far slower than the rest
	Silent      // work in hand and no answer
	Checked     // active checks
	Judged      // by the fleet
	Aside       // an operator has it drained
)

func (w Why) String() string {
	return [...]string{"sound", "failing", "slow", "silent", "checked", "judged by the fleet", "drained"}[min(max(w, 0), Aside)]
}

type member struct {
	id       int
	addr     string
	inFlight int
	latency  float64 // mean of answers of late, 0 for none yet
	answers  int     // since it was last ejected
	fails    int     // in a row
	quiet    float64 // since when no answer has come, with work in hand
	out      Why     // Sound while in use
	until    float64 // ejected until then
	length   float64 // of its last ejection
	back     float64 // when it returned; long ago for one that never left
	draw     float64 // from 0 to 1, new with each return
	passed   bool    // the check after its ejection
	checkAt  float64
	checking bool
	gone     bool // no longer in the settings; forgotten once nothing is in flight
	picked   uint64
	share    float64 // judged: of the callers that it gets RPCs of
	aside    bool    // to be left alone, by an operator's drain
}

// Pool is one pool.
type Pool struct {
	rules   Rules
	chance  *rand.Rand
	members []*member
	nextID  int
	turn    int
	line    []waiter
	events  []Event
	takes   func(member string, caller uint64, share float64) bool // nil: this server judges for itself
}

type waiter struct {
	id     uint64
	until  float64
	avoid  []int
	caller uint64
}

// Verdict is what the fleet says of a member.
type Verdict struct {
	Addr  string
	Out   bool
	Share float64 // of the callers that it gets RPCs of, if it is not out; takes says whose
}

// Takes tells whether the pool goes by the fleet's verdicts.
func (p *Pool) Takes() bool { return p.takes != nil }

// Alone has the pool judge for itself again, as without a fleet. What it did on hearsay is taken back.
func (p *Pool) Alone(now float64) {
	if p.takes == nil {
		return
	}
	p.takes = nil
	for _, m := range p.members {
		if m.out == Judged {
			p.restore(now, m)
		}
	}
}

// Judge has the pool go by the fleet's verdicts from now on: it ejects and takes back nobody by itself. takes tells whether a
// member with a share gets a caller's RPCs. A member without a verdict is in use.
func (p *Pool) Judge(now float64, all []Verdict, takes func(member string, caller uint64, share float64) bool) {
	p.takes = takes
	for _, m := range p.members {
		out, share := false, 1.0
		for i := range all {
			if all[i].Addr == m.addr {
				out, share = all[i].Out, all[i].Share
			}
		}
		switch {
		case out && m.out == Sound:
			m.out, m.until = Judged, math.Inf(1)
			p.events = append(p.events, Event{Addr: m.addr, Why: Judged})
		case !out && m.out != Sound:
			p.restore(now, m)
			m.latency = p.middle(m) // its own is of another time: its load is to be its part of the callers
		}
		m.share = share
	}
}

// Aside leaves members alone that are being drained, and no others: they get nothing new, neither first tries nor probes, and use
// up what the pool may spare before any is ejected. One that is no longer drained returns by its ramp. Where all are drained
// none is left alone: that is nobody's intent, and names come back as what could not be done.
func (p *Pool) Aside(now float64, addrs []string) (cannot []string) {
	in := 0
	for _, m := range p.members {
		if !m.gone && !slices.Contains(addrs, m.addr) {
			in++
		}
	}
	for _, m := range p.members {
		drained := !m.gone && slices.Contains(addrs, m.addr)
		if drained && in == 0 {
			cannot = append(cannot, m.addr)
			drained = false
		}
		switch {
		case drained && !m.aside:
			p.events = append(p.events, Event{Addr: m.addr, Why: Aside})
		case !drained && m.aside && !m.gone:
			p.restore(now, m)
		}
		m.aside = drained
	}
	p.refill(now)
	return cannot
}

// Event is an ejection or a return, for the log and the counters.
type Event struct {
	Addr string
	Why  Why // Sound: it returned
	For  float64
}

// New returns a pool of the members at these addresses.
func New(r Rules, addrs []string, seed uint64, now float64) *Pool {
	p := &Pool{chance: rand.New(rand.NewSource(int64(seed)))}
	p.Set(now, r, addrs)
	for _, m := range p.members {
		m.back = math.Inf(-1) // at the start there is nobody to carry the rest
	}
	return p
}

// Set takes new rules and members. A member whose address stays keeps all that is known of it and what is in flight;
// one that goes takes nothing new, and one that comes begins as one that returns.
func (p *Pool) Set(now float64, r Rules, addrs []string) {
	p.rules = r
	for _, m := range p.members {
		m.gone = !slices.Contains(addrs, m.addr)
	}
	for _, addr := range addrs {
		if !slices.ContainsFunc(p.members, func(m *member) bool { return m.addr == addr }) {
			p.members = append(p.members, &member{id: p.nextID, addr: addr, back: now, checkAt: now, passed: true})
			p.nextID++
		}
	}
	p.forget()
	p.refill(now)
}

// refill takes ejected members back, the one first that would return first, where members that went have left too few.
func (p *Pool) refill(now float64) {
	if p.takes != nil {
		return
	}
	for {
		var first *member
		in, all := 0, 0
		for _, m := range p.members {
			switch {
			case m.gone:
				continue
			case m.aside:
			case m.out == Sound:
				in++
			case first == nil || m.until < first.until:
				first = m
			}
			all++
		}
		if first == nil || float64(in) >= p.rules.MinShare*float64(all) {
			return
		}
		p.restore(now, first)
	}
}

// restore takes an ejected member back. What it has done before is no longer held against it.
func (p *Pool) restore(now float64, m *member) {
	m.out, m.back, m.fails, m.answers, m.quiet = Sound, now, 0, 0, now
	m.draw = p.chance.Float64()
	p.events = append(p.events, Event{Addr: m.addr})
}

func (p *Pool) forget() {
	p.members = slices.DeleteFunc(p.members, func(m *member) bool { return m.gone && m.inFlight == 0 })
}

func (p *Pool) member(id int) *member {
	for _, m := range p.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// Addr is the address of a member that has been handed out and not yet ended.
func (p *Pool) Addr(id int) string {
	if m := p.member(id); m != nil {
		return m.addr
	}
	return ""
}

// Place is what came of asking for one.
type Place int

const (
	Granted Place = iota
	Queued        // End or Look will grant it, or Expire or Cancel end the wait
	None          // no room, in the pool and in its line
)

// Ask asks for a place for an RPC. id is the caller's name for it in the line. Members in avoid, which have failed it,
// are chosen only if there is no other that could ever do. caller is a hash of whose RPC it is.
func (p *Pool) Ask(now float64, id uint64, avoid []int, caller uint64) (member int, got Place) {
	p.look(now)
	if len(p.line) == 0 { // who waits goes first
		if m := p.choose(now, avoid, caller); m != nil {
			p.take(now, m)
			return m.id, Granted
		}
	}
	if len(p.line) >= p.rules.Waiting {
		return 0, None
	}
	p.line = append(p.line, waiter{id, now + p.rules.Wait, avoid, caller})
	return 0, Queued
}

// Probe is a place at a member that is out, for one RPC that tells how it is.
func (p *Pool) Probe(now float64, addr string) (member int, got bool) {
	for _, m := range p.members {
		if m.addr == addr && !m.gone && m.out != Sound && !m.aside && m.inFlight < p.rules.Connections {
			p.take(now, m)
			return m.id, true
		}
	}
	return 0, false
}

func (p *Pool) take(now float64, m *member) {
	if m.inFlight == 0 {
		m.quiet = now
	}
	m.inFlight++
	m.picked++
}

// usable tells whether a member may get anything new.
func (m *member) usable() bool { return !m.gone && m.out == Sound && !m.aside }

// part is how much of its full load a member may have: all, but for one that has just returned.
func (p *Pool) part(now float64, m *member) float64 {
	if p.rules.Return <= 0 || p.takes != nil { // judged: it is full for those callers that it takes
		return 1
	}
	return math.Min(1, math.Max(firstPart, (now-m.back)/p.rules.Return))
}

// open tells whether a member gets RPCs of a caller.
func (p *Pool) open(m *member, caller uint64) bool {
	return m.usable() && (p.takes == nil || p.takes(m.addr, caller, m.share))
}

func (p *Pool) room(now float64, m *member, caller uint64) bool {
	return p.open(m, caller) && m.inFlight < p.places(now, m)
}

// places is how many RPCs a member may have in flight from here. What is not whole is rounded by chance, the same for the
// whole return: a member hears from all servers of a fleet, and were each to round up, the sum would be many times the part that it is
// to have while each is to send less than one. The mean over the servers is that part, without any contact between them.
func (p *Pool) places(now float64, m *member) int {
	return min(p.rules.Connections, int(float64(p.rules.Connections)*p.part(now, m)+m.draw))
}

// choose takes the better of two members drawn by chance, each by its part.
func (p *Pool) choose(now float64, avoid []int, caller uint64) *member {
	free := make([]*member, 0, 16)
	for _, m := range p.members {
		if p.room(now, m, caller) && !slices.Contains(avoid, m.id) {
			free = append(free, m)
		}
	}
	if len(free) == 0 && len(avoid) > 0 && !slices.ContainsFunc(p.members, func(m *member) bool {
		return p.open(m, caller) && !slices.Contains(avoid, m.id)
	}) { // all that are left have failed it
		return p.choose(now, nil, caller)
	}
	if len(free) == 0 {
		return nil
	}
	if p.rules.RoundRobin {
		p.turn++
		return free[p.turn%len(free)]
	}
	a, b := p.draw(now, free), p.draw(now, free)
	if p.load(now, b) < p.load(now, a) {
		return b
	}
	return a
}

// draw takes one by chance, each by its part.
func (p *Pool) draw(now float64, free []*member) *member {
	sum := 0.0
	for _, m := range free {
		sum += p.part(now, m)
	}
	x := p.chance.Float64() * sum
	for _, m := range free {
		if x -= p.part(now, m); x < 0 {
			return m
		}
	}
	return free[len(free)-1]
}

// load is the expected time at a member: RPCs in flight, this one included, by their latency of late, and by the
// part that a returning one may have.
func (p *Pool) load(now float64, m *member) float64 {
	latency := m.latency
	if m.answers < enough {
		latency = math.Max(latency, p.usual(m))
	}
	return float64(m.inFlight+1) * math.Max(1, latency) / p.part(now, m)
}

// usual is the median latency of the other members that are in use, 0 if that is not known.
func (p *Pool) usual(but *member) float64 {
	var all []float64
	for _, m := range p.members {
		if m != but && m.usable() && m.answers >= enough {
			all = append(all, m.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// middle is the median latency of the other members in use that have answered at all; a member's own if there are none. With little
// traffic for each few have answered often enough to tell what is usual.
func (p *Pool) middle(m *member) float64 {
	var all []float64
	for _, o := range p.members {
		if o != m && o.usable() && o.latency > 0 {
			all = append(all, o.latency)
		}
	}
	if len(all) == 0 {
		return m.latency
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// Usual is the expected latency of an RPC here, in ms; 0 if it is not known yet.
func (p *Pool) Usual() float64 { return p.usual(nil) }

// How is the way in which an RPC ended at a member.
type How int

const (
	OK       How = iota
	Failed       // an answer that says so, a broken connection, none in time
	Withdrew     // its caller gave up: nothing is said of the member
)

// Granted place for one that waited.
type Grant struct {
	ID     uint64
	Member int
}

// End books the end of an RPC at a member after latency ms, and grants what room there is to those that wait.
func (p *Pool) End(now float64, member int, how How, latency float64) []Grant {
	m := p.member(member)
	if m == nil || m.inFlight == 0 {
		return nil
	}
	m.inFlight--
	switch how {
	case OK:
		m.fails, m.quiet = 0, now
		if m.answers == 0 {
			m.latency = latency
		} else { // a rise counts at once in part, so that a member that turns slow is left to itself soon
			m.latency += weight * (latency - m.latency)
		}
		m.answers++
	case Failed: // its latency says nothing: one that fails fast must not look quick
		m.fails++
		m.quiet = now
		if m.out == Sound && p.rules.Failures > 0 && m.fails >= p.rules.Failures {
			p.eject(now, m, Failing)
		}
	}
	if m.inFlight == 0 {
		m.quiet = now
	}
	p.forget()
	return p.Look(now)
}

// Look ejects and takes back members as the time asks for, and grants room to those that wait.
func (p *Pool) Look(now float64) (grants []Grant) {
	p.look(now)
	for n := 0; n < len(p.line); {
		w := p.line[n]
		m := p.choose(now, w.avoid, w.caller)
		if m == nil {
			if len(w.avoid) > 0 { // another, that avoids nobody, may still find one
				n++
				continue
			}
			break
		}
		p.take(now, m)
		p.line = slices.Delete(p.line, n, n+1)
		grants = append(grants, Grant{w.id, m.id})
	}
	return grants
}

func (p *Pool) look(now float64) {
	if p.takes != nil {
		return
	}
	for _, m := range p.members {
		if m.out != Sound && now >= m.until && (p.rules.Check == 0 || m.passed) {
			p.restore(now, m)
		}
	}
	for _, m := range p.members {
		if !m.usable() {
			continue
		}
		usual := p.usual(m)
		if usual == 0 {
			continue
		}
		switch {
		case p.rules.Outlier > 0 && m.answers >= enough && m.latency > p.rules.Outlier*usual:
			p.eject(now, m, Slow)
		case p.rules.Failures > 0 && m.inFlight > 1 && now-m.quiet > math.Max(leastSilence, silent*math.Max(usual, m.latency)):
			p.eject(now, m, Silent)
		}
	}
}

// eject takes a member out of use, unless too few would be left.
func (p *Pool) eject(now float64, m *member, why Why) {
	if p.takes != nil {
		return
	}
	in, all := 0, 0
	for _, o := range p.members {
		if !o.gone {
			all++
			if o.out == Sound && !o.aside {
				in++
			}
		}
	}
	share := p.rules.MinShare
	if why == Slow || why == Silent {
		share = math.Max(share, softShare)
	}
	if float64(in-1) < share*float64(all) {
		return
	}
	if now-m.back > calm*m.length { // it had been sound for a while
		m.length = 0
	}
	m.length = math.Min(longestEject*p.rules.Eject, math.Max(p.rules.Eject, 2*m.length))
	m.out, m.until, m.passed, m.checkAt = why, now+m.length, false, now+m.length
	p.events = append(p.events, Event{m.addr, why, m.length})
}

// Expire ends the waits that have taken too long and returns whose they were.
func (p *Pool) Expire(now float64) (ids []uint64) {
	p.line = slices.DeleteFunc(p.line, func(w waiter) bool {
		if now >= w.until {
			ids = append(ids, w.id)
		}
		return now >= w.until
	})
	return ids
}

// Cancel ends a wait. It tells whether there was one.
func (p *Pool) Cancel(id uint64) bool {
	n := len(p.line)
	p.line = slices.DeleteFunc(p.line, func(w waiter) bool { return w.id == id })
	return len(p.line) < n
}

// Checks are the members whose active check is due. Each is to be told by Checked.
func (p *Pool) Checks(now float64) (ids []int) {
	if p.rules.Check <= 0 {
		return nil
	}
	for _, m := range p.members {
		if !m.gone && !m.checking && now >= m.checkAt {
			m.checking = true
			ids = append(ids, m.id)
		}
	}
	return ids
}

// Checked is the end of an active check.
func (p *Pool) Checked(now float64, id int, good bool) {
	m := p.member(id)
	if m == nil {
		return
	}
	// Spread by chance, so that a fleet of servers does not check a member all at once.
	m.checking, m.checkAt = false, now+p.rules.Check*(0.75+0.5*p.chance.Float64())
	switch {
	case m.out != Sound:
		m.passed = m.passed || good
	case good:
		// A check is no traffic: what RPCs say of the member counts for more.
	default:
		if m.fails++; p.rules.Failures > 0 && m.fails >= p.rules.Failures {
			p.eject(now, m, Checked)
		}
	}
}

// Soonest is the ms until an ejected member may return, 0 if none is ejected: what to tell one that found no room.
func (p *Pool) Soonest(now float64) float64 {
	least := math.Inf(1)
	for _, m := range p.members {
		if !m.gone && m.out != Sound {
			least = math.Min(least, m.until-now)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return math.Max(0, least)
}

// Events returns what happened to members since the last call.
func (p *Pool) Events() []Event {
	e := p.events
	p.events = nil
	return e
}

// State is how a member stands.
type State struct {
	Addr     string
	Out      Why
	InFlight int
	Latency  float64 // ms
	Part     float64 // of its full load that it may have
	Picked   uint64
}

// States returns how the members stand, in their order.
func (p *Pool) States(now float64) (all []State) {
	for _, m := range p.members {
		if !m.gone {
			why := m.out
			if m.aside {
				why = Aside
			}
			all = append(all, State{m.addr, why, m.inFlight, m.latency, p.part(now, m), m.picked})
		}
	}
	return all
}

// Waiting is the length of the line.
func (p *Pool) Waiting() int { return len(p.line) }
