package health

// This file reports the detector's view: the whole cluster, each zone and each peer.

import (
	"cmp"
	"math"
	"slices"
)

// Zone is one zone as this server sees it. Fleet status prints it as JSON under the names in the tags.
type Zone struct {
	Name      string
	Members   int `json:"Roster"` // on the membership list, the server itself included
	Reachable int `json:"Heard"`
}

// Peer is one member as this server sees it. Times are ms.
type Peer struct {
	Name, Zone     string
	Generation     uint64  // counts restarts of this name
	Incarnation    uint64  // random, tells apart two processes of one generation
	Reachable      bool    // counts as reachable
	Alive          bool    // according to the prober
	FlapDamped     bool    // alive, and suspected too often to count as reachable
	Contact        Contact // how it is reached
	Via            string  // who relayed the last update about it, for IndirectContact
	LastContactAge float64 // since the last message or update; 0 if Unconfirmed
	StatusDuration float64 // since Alive last changed
	SuspicionCount int     // times that it was suspected while this server was healthy
	DuplicateName  bool    // two processes use its name
	Departure      Departure
	Unconfirmed    bool // listed, and no message or update about it ever came
}

// View is one server's view of the cluster. Times are ms.
type View struct {
	State                  ClusterState
	InGracePeriod          bool    // just started, or stalled: nothing is reported about peers
	StateDuration          float64 // in this state
	Members, Reachable     int     // the server itself included
	MinServers, MaxServers int     // bounds on the number of servers that run, whatever is not known
	MaxUnknown             bool    // never in contact in this incarnation, and no ExpectedServers: more than MaxServers may run
	Zones                  []Zone  // by name, the server's own included
	StallCount             int
	StateChanges           int
}

// Summary is View without its zones, at the cost of a tick.
func (d *Detector) Summary(now float64) View {
	d.updateState(now)
	v := View{
		State:         d.state,
		InGracePeriod: d.InGracePeriod(now),
		StateDuration: now - d.stateSince,
		StallCount:    d.stallCount,
		StateChanges:  d.stateChanges,
	}
	v.Members, v.Reachable = d.census(now)
	if d.state == Isolated {
		v.Reachable = 1
	}
	v.MinServers = v.Reachable
	v.MaxServers = max(v.Members, d.config.ExpectedServers)
	v.MaxUnknown = !d.everContacted && d.config.ExpectedServers == 0
	return v
}

// View returns the view as of now.
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

// Peers reports every listed member by name, departed ones included while they are remembered.
func (d *Detector) Peers(now float64) []Peer {
	window := d.contactWindow()
	all := make([]Peer, 0, len(d.sorted))
	for _, m := range d.sorted {
		all = append(all, d.peer(m, now, window))
	}
	return all
}

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

// AppendReachable appends the names of the reachable peers to names, sorted; none while this server is isolated.
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
