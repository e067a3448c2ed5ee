// Package fleetvalve makes a Go program that embeds a valve a member of a fleet, together with daemons and other such
// programs. The members of a fleet discover and monitor one another. The package does not handle RPCs.
//
// It is separate from package valve because it depends on memberlist: a program that does not import it opens no additional
// socket, starts no additional goroutine and is no larger.
package fleetvalve

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/fleet"
)

// Options configure the membership of a program.
type Options struct {
	Name            string   // name of the program, unique in the fleet and unchanged by a restart
	Zone            string   // zone of the program; "" for none
	Listen          string   // IP and port for packets (UDP) and streams (TCP); also the source IP of outgoing ones
	Advertise       string   // IP and port at which peers reach this program; "" for Listen
	FleetName       string   // name of the fleet; packets of a fleet with another name are ignored; "" for none
	Seeds           []string // addresses of peers to join, at the start and periodically afterwards
	ExpectedServers int      // number of servers in the fleet; 0 if unknown
	EncryptionKey   []byte   // AES key of 16, 24 or 32 bytes that encrypts all traffic; nil for no encryption
	Version         string   // version of the program, which peers can see
	Socket          string   // path of a Unix socket that serves `valvefleet status`; "" for none

	// Phase returns the progress of slow start, from 0 to 1, and whether the program is draining. It is called several times
	// per second under a lock, and must neither block nor call the Fleet. Nil stands for a program that is fully warmed up.
	Phase func() (warmUp float64, draining bool)
	Log   io.Writer // receives log lines (docs/operate/fleet.md); nil to discard them
}

// State is the reachability of the fleet from this program.
type State = health.ClusterState

// The states of a fleet.
const (
	Isolated    = health.Isolated    // no peer is reachable
	Partitioned = health.Partitioned // some peers are reachable, but not all that are known or expected
	Complete    = health.Complete    // all known members are reachable, and no fewer than ExpectedServers
)

// View is the fleet as seen by this program. The bounds on its size describe the fleet of a few seconds ago.
type View struct {
	State         State
	StateDuration time.Duration // how long the fleet has been in State
	InGracePeriod bool          // the program has just started or was stalled, and does not know the state of its peers yet
	MinServers    int           // lower bound of the fleet size, including this program
	MaxServers    int           // upper bound of the fleet size
	MaxUnknown    bool          // there is no upper bound: the program has never contacted a peer, and ExpectedServers is 0
	Zones         []Zone
}

// Zone is the part of the fleet in one zone.
type Zone struct {
	Name      string
	Members   int // number of known members
	Reachable int // number of known members that are reachable
}

// Fleet is the membership of a program in a fleet. Its methods are safe for use by several goroutines at once.
type Fleet struct {
	fleet  *fleet.Fleet
	socket *fleet.Socket // nil for none
}

// Join starts the membership without waiting for peers. It returns an error if an option is invalid or an address is in use.
// The caller must close the Fleet.
func Join(o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	log := logrus.New()
	log.SetOutput(o.Log)
	options := fleet.Options{
		Name:            o.Name,
		Zone:            o.Zone,
		Listen:          o.Listen,
		Advertise:       o.Advertise,
		FleetName:       o.FleetName,
		Seeds:           o.Seeds,
		ExpectedServers: o.ExpectedServers,
		EncryptionKey:   o.EncryptionKey,
		Version:         o.Version,
		Log:             log.WithField("node", o.Name),
	}
	if o.Phase != nil {
		options.Phase = fleet.PhaseFunc(o.Phase)
	}
	member, err := fleet.Start(options)
	if err != nil {
		return nil, err
	}
	f := &Fleet{fleet: member}
	if o.Socket != "" {
		if f.socket, err = member.ServeSocket(o.Socket); err != nil {
			member.Close()
			return nil, err
		}
	}
	return f, nil
}

// View returns the current view of the fleet.
func (f *Fleet) View() View {
	fleetView := f.fleet.View()
	view := View{
		State:         fleetView.State,
		StateDuration: time.Duration(fleetView.StateDuration * float64(time.Millisecond)),
		InGracePeriod: fleetView.InGracePeriod,
		MinServers:    fleetView.MinServers,
		MaxServers:    fleetView.MaxServers,
		MaxUnknown:    fleetView.MaxUnknown,
	}
	for _, z := range fleetView.Zones {
		view.Zones = append(view.Zones, Zone{Name: z.Name, Members: z.Members, Reachable: z.Reachable})
	}
	return view
}

// Close announces that the program leaves the fleet, and stops everything that Join started. It takes up to half a second,
// plus the time of an exchange in progress.
func (f *Fleet) Close() {
	if f.socket != nil {
		f.socket.Close()
	}
	f.fleet.Close()
}
