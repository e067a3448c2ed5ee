// Package fleetvalve gives a Go program that embeds a valve a part in a fleet whose servers know one another, beside daemons
// and other such programs. It is a package of its own since it links memberlist: who does not import it opens no further
// socket, starts no goroutine and weighs no more. It must never touch an RPC.
package fleetvalve

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/fleet"
)

// Options are those of one program's part.
type Options struct {
	Name            string   // the same after a restart, and no other server's
	Zone            string   // "" for none
	Listen          string   // IP and port for packets (UDP) and streams (TCP); what is sent leaves from this IP
	Advertise       string   // where others reach it; "" for Listen
	FleetName       string   // servers with another name of their fleet are not heard
	Seeds           []string // whom to join, at the start and for ever after
	ExpectedServers int      // servers that there are: a smaller roster is not the whole; 0 for not told
	Key             []byte   // 16, 24 or 32 bytes encrypt what is said; nil for none
	Version         string   // of the program, for others to see
	Socket          string   // path of a Unix socket for valvefleet status; "" for none

	// Phase tells how far the ramp of a cold start is over, from 0 to 1, and whether the program drains; nil for warm. It is
	// called some times a second and must not block.
	Phase func() (ramp float64, draining bool)
	Log   io.Writer // lines for operators (docs/operate/fleet.md); nil for none
}

// State is what is heard of the fleet.
type State = health.ClusterState

// Alone, Part and Whole are the states.
const (
	Isolated    = health.Isolated
	Partitioned = health.Partitioned
	Complete    = health.Complete
)

// View is what this program hears: how many servers there are at least, as of some seconds ago, and at most, whatever is not
// known. Listening, it has just started or had stalled itself, and says nothing of others yet.
type View struct {
	State                  State
	Listening              bool
	StateAge               time.Duration // in this state
	MinServers, MaxServers int           // this program included
	Unbounded              bool          // never in contact, nor told what to expect: there may be more than AtMost
	Zones                  []Zone
}

// Zone is the part of the fleet in one.
type Zone struct {
	Name               string
	Members, InContact int
}

// Fleet is a program's part. Its methods may be called by many goroutines.
type Fleet struct {
	f *fleet.Fleet
	s *fleet.Socket
}

// Join begins a part; it does not wait for anybody. It fails if an option is wrong or the address is taken.
func Join(o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	log := logrus.New()
	log.SetOutput(o.Log)
	in := fleet.Options{
		Name: o.Name, Zone: o.Zone, Listen: o.Listen, Advertise: o.Advertise, FleetName: o.FleetName, Seeds: o.Seeds, ExpectedServers: o.ExpectedServers,
		EncryptionKey: o.Key, Version: o.Version, Log: log.WithField("node", o.Name),
	}
	if o.Phase != nil {
		in.Phase = fleet.PhaseFunc(o.Phase)
	}
	f, err := fleet.Start(in)
	if err != nil {
		return nil, err
	}
	x := &Fleet{f: f}
	if o.Socket != "" {
		if x.s, err = f.ServeSocket(o.Socket); err != nil {
			f.Close()
			return nil, err
		}
	}
	return x, nil
}

// View tells what is heard now.
func (f *Fleet) View() View {
	v := f.f.View()
	x := View{State: v.State, Listening: v.InGracePeriod, StateAge: time.Duration(v.StateDuration * float64(time.Millisecond)), MinServers: v.MinServers, MaxServers: v.MaxServers, Unbounded: v.MaxUnknown}
	for _, z := range v.Zones {
		x.Zones = append(x.Zones, Zone{Name: z.Name, Members: z.Members, InContact: z.Reachable})
	}
	return x
}

// Close says good-bye and ends all that was started, within half a second beside an exchange under way.
func (f *Fleet) Close() {
	if f.s != nil {
		f.s.Close()
	}
	f.f.Close()
}
