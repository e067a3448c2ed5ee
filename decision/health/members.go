package health

// This file holds the membership list: who is on it, and what the prober reports about each member.

import (
	"cmp"
	"math"
	"slices"
)

// duplicateWindow is how long (ms) a superseded incarnation is remembered: if it speaks again within this time, two
// processes use one name.
const duplicateWindow = 60e3

// Departure is whether and how a member left the membership list.
type Departure int

// The values of Departure.
const (
	Present      Departure = iota // has not departed
	Left                          // announced that it leaves
	DeclaredDead                  // declared dead by an operator
)

// member is one entry of the membership list. A departed member stays until its place is needed, so that older records
// do not bring it back.
type member struct {
	name, zone         string
	generation         uint64 // counts restarts of this name
	incarnation        uint64 // random, tells apart two processes of one generation; 0: not known yet
	formerIncarnation  uint64
	supersededAt       float64 // when formerIncarnation was superseded
	duplicateName      bool
	alive              bool    // according to the prober
	statusSince        float64 // last change of alive
	lastMessage        float64 // received directly
	lastAck            float64 // direct answer to a message of ours
	lastIndirect       float64 // last update about it that another member relayed
	indirectVia        string  // who relayed that
	flapPenalty        float64 // as of penaltyAt, decays
	penaltyAt          float64
	suspicionCount     int
	departure          Departure
	departureChangedAt float64
}

// setStatus sets what the prober found and whether the member has departed, and keeps the counts.
func (d *Detector) setStatus(m *member, alive bool, departure Departure) {
	d.countMember(m, -1)
	m.alive = alive
	m.departure = departure
	d.countMember(m, 1)
}

func (d *Detector) countMember(m *member, delta int) {
	if m.departure != Present {
		return
	}
	d.present += delta
	if m.alive {
		d.presentAlive += delta
	}
}

// AddMember puts a name on the membership list, with its zone if known, and reports whether it is listed; the server's
// own name never is. An incarnation that departed is not put back, a later one is.
func (d *Detector) AddMember(now float64, name, zone string, generation, incarnation uint64) bool {
	if name == d.self || name == "" {
		return false
	}
	m, has := d.byName[name]
	if !has {
		if len(d.sorted) >= d.config.MaxPeers && !d.evict() {
			return false
		}
		m = d.insert(now, name, generation, incarnation)
	}
	if zone != "" {
		m.zone = zone
	}
	switch {
	case incarnation == 0 || incarnation == m.incarnation || m.incarnation == 0 && generation == m.generation:
		m.generation = max(m.generation, generation)
		m.incarnation = max(m.incarnation, incarnation)
	case generation > m.generation || generation == m.generation && incarnation > m.incarnation:
		d.supersede(now, m, generation, incarnation)
	}
	return true
}

func (d *Detector) insert(now float64, name string, generation, incarnation uint64) *member {
	m := &member{
		name:         name,
		generation:   generation,
		incarnation:  incarnation,
		statusSince:  now,
		supersededAt: math.Inf(-1),
		lastMessage:  math.Inf(-1),
		lastAck:      math.Inf(-1),
		lastIndirect: math.Inf(-1),
	}
	d.byName[name] = m
	d.present++
	i, _ := slices.BinarySearchFunc(d.sorted, name, func(m *member, name string) int { return cmp.Compare(m.name, name) })
	d.sorted = slices.Insert(d.sorted, i, m)
	return m
}

// supersede replaces a member's incarnation by a later one, which is present whatever was said of the former.
func (d *Detector) supersede(now float64, m *member, generation, incarnation uint64) {
	if incarnation == m.formerIncarnation && now-m.supersededAt < duplicateWindow { // the superseded process still runs
		m.duplicateName = true
	}
	m.formerIncarnation = m.incarnation
	m.supersededAt = now
	m.generation = generation
	m.incarnation = incarnation
	if m.departure != Present {
		d.setStatus(m, m.alive, Present)
		m.departureChangedAt = now
	}
}

// evict drops the member that departed longest ago; false if none has departed.
func (d *Detector) evict() bool {
	oldest := -1
	for i, m := range d.sorted {
		if m.departure != Present && (oldest < 0 || m.departureChangedAt < d.sorted[oldest].departureChangedAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	delete(d.byName, d.sorted[oldest].name)
	d.sorted = slices.Delete(d.sorted, oldest, oldest+1)
	return true
}

// MarkAlive takes the prober's report that a member is alive.
func (d *Detector) MarkAlive(now float64, name string) {
	m, has := d.byName[name]
	if !has {
		if !d.AddMember(now, name, "", 0, 0) {
			return
		}
		m = d.byName[name]
	}
	if m.departure != Present { // it is there, whatever was said
		m.departureChangedAt = now
	}
	if !m.alive {
		m.statusSince = now
	}
	d.everContacted = true
	d.setStatus(m, true, Present)
	d.updateState(now)
}

// MarkSuspect takes the prober's report that a member no longer answers. It counts against the member only while this
// server receives messages from others itself.
func (d *Detector) MarkSuspect(now float64, name string) {
	m, has := d.byName[name]
	if !has || !m.alive {
		return
	}
	d.setStatus(m, false, m.departure)
	m.statusSince = now
	if !d.InGracePeriod(now) && now-d.lastMessage < d.config.SilenceTimeout {
		d.penalize(now, m)
	}
	d.updateState(now)
}

// MarkDeparted takes a member off the list: it announced that it leaves, or an operator declared it dead. A later
// generation, or a sign of life of this one, brings it back. generation 0 stands for any.
func (d *Detector) MarkDeparted(now float64, name string, generation uint64, departure Departure) {
	m, has := d.byName[name]
	if !has { // the departure arrived before anything else: listed, so that older records do not add the member
		if !d.AddMember(now, name, "", generation, 0) {
			return
		}
		m = d.byName[name]
	}
	if generation < m.generation && generation != 0 {
		return
	}
	d.setStatus(m, false, departure)
	m.statusSince = now
	m.departureChangedAt = now
	d.updateState(now)
}

// MemberCount is the number of entries in the membership list, departed ones included.
func (d *Detector) MemberCount() int { return len(d.sorted) }

// NeedsRejoin tells whether the prober must join a name again: it is present, and the prober does not find it alive. An
// isolated server rejoins everybody: its prober may still take all for alive, since it checks the more rarely the less
// it is answered, while all others suspect this server and no longer check it.
func (d *Detector) NeedsRejoin(name string) bool {
	m, has := d.byName[name]
	return has && d.needsRejoin(m)
}

func (d *Detector) needsRejoin(m *member) bool {
	return m.departure == Present && (!m.alive || d.state == Isolated)
}

// RejoinCandidates returns the names for which NeedsRejoin is true, sorted.
func (d *Detector) RejoinCandidates() (names []string) {
	for _, m := range d.sorted {
		if d.needsRejoin(m) {
			names = append(names, m.name)
		}
	}
	return names
}
