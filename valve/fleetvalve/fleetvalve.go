// Package fleetvalve makes a Go program that embeds a valve a member of a fleet whose servers know one another, beside
// daemons and other such programs. It never touches an RPC.
//
// It is a package of its own since it links memberlist: a program that does not import it opens no further socket, starts no
// goroutine and is no larger.
package fleetvalve

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/fleet"
)

// Options configure the membership of one program.
type Options struct {
	Name            string   // unique in the fleet, and the same after a restart
	Zone            string   // "" for none
	Listen          string   // IP and port for packets (UDP) and streams (TCP); outgoing ones leave from this IP
	Advertise       string   // IP and port where peers reach this program; "" for Listen
	FleetName       string   // packets of a fleet with another name are ignored; "" for none
	Seeds           []string // addresses that are joined at the start and from then on
	ExpectedServers int      // size of the fleet; 0 for unknown
	EncryptionKey   []byte   // 16, 24 or 32 bytes (AES) encrypt all traffic; nil for none
	Version         string   // of the program, for others to see
	Socket          string   // path of a Unix socket for valvefleet status; "" for none

	// Phase returns the progress of slow start from 0 to 1 and whether the program drains; nil for a warm one. It is called
	// some times a second and must not block.
	Phase func() (warmUp float64, draining bool)
	Log   io.Writer // gets log lines (docs/operate/fleet.md); nil for none
}

// State is how much of the fleet is reachable.
type State = health.ClusterState

// The states of a fleet.
const (
	Isolated    = health.Isolated
	Partitioned = health.Partitioned
	Complete    = health.Complete
)

// View is the fleet as this program sees it. The bounds on its size are those of some seconds ago.
type View struct {
	State         State
	StateDuration time.Duration // for which it has been in that state
	InGracePeriod bool          // the program has just started or had stalled: it knows nothing of its peers yet
	MinServers    int           // lower bound of the size, this program included
	MaxServers    int           // upper bound of the size
	MaxUnknown    bool          // there is no upper bound: it was never in contact and no size is expected
	Zones         []Zone
}

// Zone is the part of a fleet in one zone.
type Zone struct {
	Name      string
	Members   int // known
	Reachable int // of these
}

// Fleet is the membership of a program. Its methods may be called by many goroutines at once.
type Fleet struct {
	fleet  *fleet.Fleet
	socket *fleet.Socket // nil for none
}

// Join starts the membership without waiting for peers. It fails if an option is wrong or an address is taken. The Fleet
// must be closed.
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

// View returns the fleet as it is seen now.
func (f *Fleet) View() View {
	v := f.fleet.View()
	view := View{
		State:         v.State,
		StateDuration: time.Duration(v.StateDuration * float64(time.Millisecond)),
		InGracePeriod: v.InGracePeriod,
		MinServers:    v.MinServers,
		MaxServers:    v.MaxServers,
		MaxUnknown:    v.MaxUnknown,
	}
	for _, z := range v.Zones {
		view.Zones = append(view.Zones, Zone{Name: z.Name, Members: z.Members, Reachable: z.Reachable})
	}
	return view
}

// Close announces that the program leaves and ends all that Join started. It takes up to half a second and an exchange that
// is under way.
func (f *Fleet) Close() {
	if f.socket != nil {
		f.socket.Close()
	}
	f.fleet.Close()
}
