package health

// This file implements the reports on the cluster, its zones and the peers.

import (
	"cmp"
	"math"
	"slices"
)

// Zone is this server's view of one zone. Fleet status prints it as JSON with the names in the tags.
type Zone struct {
	Name      string
	Members   int `json:"Roster"` // number of present members, including this server
	Reachable int `json:"Heard"`  // number of these that are reachable
}

// Peer is this server's view of one peer. Times are in ms.
type Peer struct {
	Name, Zone     string
	Generation     uint64 // number of starts under this name
	Incarnation    uint64 // random, distinguishes two processes with the same generation
	Reachable      bool   // present, alive and not damped, and this server is not isolated
	Alive          bool   // according to the prober
	FlapDamped     bool   // alive, but suspected too often to count as reachable
	Contact        Contact
	Via            string  // with IndirectContact: the member that relayed the last update about the peer
	LastContactAge float64 // time since the last message or update; 0 if Unconfirmed
	StatusDuration float64 // time since Alive last changed
	SuspicionCount int     // number of suspicions while this server's own observations were reliable
	DuplicateName  bool    // two processes use the name
	Departure      Departure
	Unconfirmed    bool // no message from it or update about it was received
}

// View is this server's view of the cluster. Times are in ms.
type View struct {
	State                  ClusterState
	InGracePeriod          bool    // after a start or stall: nothing is reported about peers
	StateDuration          float64 // time in this state
	Members, Reachable     int     // present and reachable members, both including this server
	MinServers, MaxServers int     // lower and upper bound on the number of running servers
	MaxUnknown             bool    // no peer was ever alive and ExpectedServers is not set: more than MaxServers may be running
	Zones                  []Zone  // sorted by name, including the server's own
	StallCount             int
	StateChanges           int
}

// Summary returns the view without its zones. It costs no more than a tick.
func (d *Detector) Summary(now float64) View {
	d.updateState(now)
	v := View{
		State:         d.state,
		InGracePeriod: d.InGracePeriod(now),
		StateDuration: now - d.stateSince,
		StallCount:    d.stallCount,
		StateChanges:  d.stateChanges,
	}
	v.Members, v.Reachable = d.countMembers(now)
	if d.state == Isolated {
		v.Reachable = 1
	}
	v.MinServers = v.Reachable
	v.MaxServers = max(v.Members, d.config.ExpectedServers)
	v.MaxUnknown = !d.everContacted && d.config.ExpectedServers == 0
	return v
}

// View returns the current view, including its zones.
func (d *Detector) View(now float64) View {
	v := d.Summary(now)
	zones := map[string]*Zone{d.zone: {Name: d.zone, Members: 1, Reachable: 1}}
	for _, m := range d.sorted {
		if m.departure != Present {
			continue
		}
		z := zones[m.zone]
		if z == nil {
			z = &Zone{Name: m.zone}
			zones[m.zone] = z
		}
		z.Members++
		if d.state != Isolated && d.reachable(m, now) {
			z.Reachable++
		}
	}
	for _, z := range zones {
		v.Zones = append(v.Zones, *z)
	}
	slices.SortFunc(v.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Peers returns all listed members sorted by name, including departed members.
func (d *Detector) Peers(now float64) []Peer {
	window := d.contactWindow()
	peers := make([]Peer, 0, len(d.sorted))
	for _, m := range d.sorted {
		peers = append(peers, d.peer(m, now, window))
	}
	return peers
}

// peer returns the view of one member; window is the result of contactWindow.
func (d *Detector) peer(m *member, now, window float64) Peer {
	reachable := d.reachable(m, now)
	lastContact := max(m.lastMessage, m.lastAck, m.lastIndirect)
	p := Peer{
		Name:           m.name,
		Zone:           m.zone,
		Generation:     m.generation,
		Incarnation:    m.incarnation,
		Reachable:      d.state != Isolated && reachable,
		Alive:          m.alive,
		FlapDamped:     m.alive && m.departure == Present && !reachable,
		Contact:        m.contact(now, window),
		StatusDuration: now - m.statusSince,
		SuspicionCount: m.suspicionCount,
		DuplicateName:  m.duplicateName,
		Departure:      m.departure,
		Unconfirmed:    math.IsInf(lastContact, -1),
	}
	if !p.Unconfirmed {
		p.LastContactAge = now - lastContact
	}
	if p.Contact == IndirectContact {
		p.Via = m.indirectVia
	}
	return p
}

// AppendReachable appends the sorted names of the reachable peers to names, and none while this server is isolated.
func (d *Detector) AppendReachable(now float64, names []string) []string {
	if d.State(now) == Isolated {
		return names
	}
	for _, m := range d.sorted {
		if d.reachable(m, now) {
			names = append(names, m.name)
		}
	}
	return names
}
