package health

// This file implements the membership list and the state that the prober reports for each member.

import (
	"cmp"
	"math"
	"slices"
)

// duplicateWindow is the time in ms for which a superseded incarnation is remembered. If it appears again within this time,
// two processes use the same name.
const duplicateWindow = 60e3

// Departure is whether and how a member has departed.
type Departure int

// The values of Departure.
const (
	Present      Departure = iota // not departed
	Left                          // announced its departure
	DeclaredDead                  // declared dead by an operator
)

// member is one entry of the membership list. The entry of a departed member is kept until its space is needed, so that
// older records do not add the member again. Times are in ms.
type member struct {
	name, zone         string
	generation         uint64  // number of starts under this name
	incarnation        uint64  // random, distinguishes two processes with the same generation; 0: unknown
	formerIncarnation  uint64  // the incarnation before this one
	supersededAt       float64 // when formerIncarnation was superseded
	duplicateName      bool    // whether two processes use the name
	alive              bool    // according to the prober
	statusSince        float64 // time of the last change of alive
	lastMessage        float64 // time of the last message received directly
	lastAck            float64 // time of the last direct answer to a message of this server
	lastIndirect       float64 // time of the last update relayed by another member
	indirectVia        string  // name of that member
	flapPenalty        float64 // at penaltyAt; decays
	penaltyAt          float64
	suspicionCount     int
	departure          Departure
	departureChangedAt float64
}

// setStatus sets whether the member is alive and whether it has departed, and updates the counts.
func (d *Detector) setStatus(m *member, alive bool, departure Departure) {
	d.countMember(m, -1)
	m.alive = alive
	m.departure = departure
	d.countMember(m, 1)
}

// countMember adds delta to the counts that include the member.
func (d *Detector) countMember(m *member, delta int) {
	if m.departure != Present {
		return
	}
	d.present += delta
	if m.alive {
		d.presentAlive += delta
	}
}

// AddMember adds a name to the membership list, with its zone if known, and returns whether the name is listed. The server's
// own name is never listed. A departed incarnation remains departed; a later incarnation of the same name is present again.
func (d *Detector) AddMember(now float64, name, zone string, generation, incarnation uint64) bool {
	if name == d.self || name == "" {
		return false
	}
	m, ok := d.byName[name]
	if !ok {
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

// insert adds a present member to the list.
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

// supersede replaces a member's incarnation by a later one, which is present even if the former one has departed.
func (d *Detector) supersede(now float64, m *member, generation, incarnation uint64) {
	if incarnation == m.formerIncarnation && now-m.supersededAt < duplicateWindow { // the superseded process is still running
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

// evict removes the member that departed longest ago. It returns false if none has departed.
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

// MarkAlive records the prober's report that a member is alive.
func (d *Detector) MarkAlive(now float64, name string) {
	m, ok := d.byName[name]
	if !ok {
		if !d.AddMember(now, name, "", 0, 0) {
			return
		}
		m = d.byName[name]
	}
	if m.departure != Present { // alive, so it is present despite the reported departure
		m.departureChangedAt = now
	}
	if !m.alive {
		m.statusSince = now
	}
	d.everContacted = true
	d.setStatus(m, true, Present)
	d.updateState(now)
}

// MarkSuspect records the prober's report that a member no longer answers. The suspicion adds to the member's flap penalty
// only while this server itself receives messages from peers.
func (d *Detector) MarkSuspect(now float64, name string) {
	m, ok := d.byName[name]
	if !ok || !m.alive {
		return
	}
	d.setStatus(m, false, m.departure)
	m.statusSince = now
	if !d.InGracePeriod(now) && now-d.lastMessage < d.config.SilenceTimeout {
		d.penalize(now, m)
	}
	d.updateState(now)
}

// MarkDeparted marks a member as departed because it announced its departure or an operator declared it dead. It is present
// again once a later incarnation appears or the prober finds this one alive. A report for an earlier generation than the
// listed one is ignored; generation 0 stands for any generation.
func (d *Detector) MarkDeparted(now float64, name string, generation uint64, departure Departure) {
	m, ok := d.byName[name]
	if !ok { // nothing about it arrived before; listed, so that older records do not add it as present
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

// MemberCount returns the number of entries in the membership list, including departed members.
func (d *Detector) MemberCount() int { return len(d.sorted) }

// NeedsRejoin reports whether the prober must join a member again: the member is present, but not alive according to the
// prober. An isolated server must rejoin all present members. Its prober may still consider them alive, because it checks
// less often the fewer answers it gets, while all of them suspect this server and no longer check it.
func (d *Detector) NeedsRejoin(name string) bool {
	m, ok := d.byName[name]
	return ok && d.needsRejoin(m)
}

func (d *Detector) needsRejoin(m *member) bool {
	return m.departure == Present && (!m.alive || d.state == Isolated)
}

// RejoinCandidates returns the sorted names of the members for which NeedsRejoin returns true.
func (d *Detector) RejoinCandidates() (names []string) {
	for _, m := range d.sorted {
		if d.needsRejoin(m) {
			names = append(names, m.name)
		}
	}
	return names
}
