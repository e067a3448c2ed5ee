package testbed

// This file owns a bed as a whole: names, their relays and processes, what each is told, and a watch over their views of
// one another. It must never tell a process anything of the faults that are played.

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
)

// Options are those of a bed.
type Options struct {
	Names         []string
	Zone          func(i int) string // nil: none
	Seeds         []string           // names; nil: the first three
	Seed          int64
	FleetName     string                     // the fleet's name
	PermitServers []string                   // of permits; nil for none
	ExtraEnv      func(name string) []string // beside the bed's own, at each start; may be nil
	VersionDir    string                     // in which each keeps the version that it runs; "" for none
	NoFleet       bool                       // no fleet in the operator's records
	Invariants    *standin.InvariantChecker  // hears of runs; may be nil
	Cores         float64                    // of each engine; 0 for no engines
	ServeCommand  func() Command             // the program up to and with its sub-command, to which --operator RECORD is added
	Operator      operator.File              // what stands in the records beside the fleet
	SettingsJSON  string                     // settings, as JSON; "" for one method, view
}

// Bed is relays, processes and engines.
type Bed struct {
	Network   *Network
	Processes *ProcessSet
	Names     []string
	Engines   map[string]*standin.Engine
	Machines  map[string]*standin.Cores
	dir       string
	listen    map[string]string
	files     map[string]operator.File
	end       []func()
}

// plainSettings are enough for servers that are not sent anything.
const plainSettings = `{"classes":[{"name":"view","aim":1000000000,"give_up":5000000000}],"family_info":{"cores":2,"ram_kb":100000},"rules":{"drain_grace":200000000,"tip_multiple":8}}`

// New lays out a bed; nothing runs yet.
func New(o Options) (b *Bed, err error) {
	dir, err := os.MkdirTemp("", "bed") // short: the path of a socket has a bound
	if err != nil {
		return nil, err
	}
	b = &Bed{Names: o.Names, dir: dir, Engines: map[string]*standin.Engine{}, Machines: map[string]*standin.Cores{}, listen: map[string]string{}, files: map[string]operator.File{}}
	b.end = append(b.end, func() { os.RemoveAll(dir) })
	defer func() {
		if err != nil {
			b.Close()
		}
	}()
	if b.Network, err = NewNetwork(o.Seed, o.Names...); err != nil {
		return nil, err
	}
	b.end = append(b.end, b.Network.Close)
	members, endMembers, err := standin.StartMembershipService()
	if err != nil {
		return nil, err
	}
	b.end = append(b.end, endMembers)
	seeds := o.Seeds
	if seeds == nil {
		seeds = o.Names[:min(3, len(o.Names))]
	}
	if o.SettingsJSON == "" {
		o.SettingsJSON = plainSettings
	}
	for i, name := range o.Names {
		e := b.Network.Endpoint(name)
		engine := net.JoinHostPort(e.ListenIP, "9") // nobody listens there
		if o.Cores > 0 {
			b.Machines[name] = standin.NewCores(o.Cores, 8)
			if b.Engines[name], err = standin.NewEngine(b.Machines[name], standin.WorkFromBody, o.Invariants); err != nil {
				return nil, err
			}
			engine = b.Engines[name].Addr()
			b.end = append(b.end, b.Engines[name].Close)
		}
		b.listen[name] = net.JoinHostPort(e.ListenIP, fmt.Sprint(e.Port+1))
		told := fmt.Sprintf(`{"name":%q,"listen":%q,"engine":%q,"members":%q,"seed":"%x","stop_ms":2000,"limits":{"memory_mb":192,"sockets":512},"settings":%s}`,
			name, b.listen[name], engine, members, i+1, o.SettingsJSON)
		file := o.Operator
		file.Version = "bed"
		if !o.NoFleet {
			file.Fleet = &operator.Fleet{Name: o.FleetName, Listen: e.ListenAddr(), Advertise: e.AdvertiseAddr(), Socket: b.Socket(name), PermitServers: o.PermitServers}
			if o.VersionDir != "" {
				file.Fleet.DataDir = filepath.Join(o.VersionDir, name)
			}
			if o.Zone != nil {
				file.Fleet.Zone = o.Zone(i)
			}
			for _, s := range seeds {
				file.Fleet.Seeds = append(file.Fleet.Seeds, b.Network.Endpoint(s).AdvertiseAddr())
			}
		}
		if err := os.WriteFile(b.path(name, "json"), []byte(told), 0o600); err != nil {
			return nil, err
		}
		if err := b.record(name, file); err != nil {
			return nil, err
		}
	}
	b.Processes = NewProcessSet(dir, b.Network, func(name string) Command {
		c := o.ServeCommand()
		c.Args = append(slices.Clone(c.Args), "--operator", b.path(name, "record"))
		c.Env = append(slices.Clone(c.Env), "EDGE_CONFIG="+b.path(name, "json"))
		if o.ExtraEnv != nil {
			c.Env = append(c.Env, o.ExtraEnv(name)...)
		}
		return c
	})
	b.end = append(b.end, b.Processes.Close)
	return b, nil
}

func (b *Bed) path(name, kind string) string { return filepath.Join(b.dir, name+"."+kind) }

// record writes what the operator tells a name.
func (b *Bed) record(name string, f operator.File) error {
	raw, err := operator.Marshal(&f)
	if err == nil {
		err = os.WriteFile(b.path(name, "record"), raw, 0o600)
	}
	b.files[name] = f
	return err
}

// Reload changes what the operator tells a name, and has its process take it anew.
func (b *Bed) Reload(name string, change func(*operator.File)) error {
	f := b.files[name]
	change(&f)
	if err := b.record(name, f); err != nil {
		return err
	}
	return b.Processes.Signal(name, syscall.SIGHUP)
}

// Socket is where a name's operators come.
func (b *Bed) Socket(name string) string { return b.path(name, "sock") }

// ListenAddr is where a name takes RPCs.
func (b *Bed) ListenAddr(name string) string { return b.listen[name] }

// StartAll starts all names at once.
func (b *Bed) StartAll() error {
	for _, name := range b.Names {
		if err := b.Processes.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all that was started and removes what was written.
func (b *Bed) Close() {
	for i := len(b.end) - 1; i >= 0; i-- {
		b.end[i]()
	}
	b.end = nil
}

// Status asks one server.
func (b *Bed) Status(name string) (fleet.Status, error) {
	ctx, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	return fleet.FetchStatus(ctx, b.Socket(name))
}

// Observation is one server's view at one time.
type Observation struct {
	At         time.Duration
	Name       string
	AliveNames []string // others, sorted
	fleet.Status
}

// Watch asks all servers that run, again and again, until it is ended.
type Watch struct {
	bed   *Bed
	began time.Time
	end   context.CancelFunc
	wg    sync.WaitGroup

	mu     sync.Mutex
	points []Observation
}

// mostPoints bounds a watch: 100 servers, ten times a second, for two minutes.
const mostPoints = 120000

// Watch begins one, which asks each server every so often.
func (b *Bed) Watch(every time.Duration) *Watch {
	ctx, end := context.WithCancel(context.Background())
	w := &Watch{bed: b, began: time.Now(), end: end}
	for _, name := range b.Names {
		w.wg.Go(func() {
			tick := time.NewTicker(every)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				if !b.Processes.Running(name) {
					continue
				}
				asked, endAsk := context.WithTimeout(ctx, time.Second)
				s, err := fleet.FetchStatus(asked, b.Socket(name))
				endAsk()
				if err != nil {
					continue
				}
				p := Observation{At: time.Since(w.began), Name: name, Status: s}
				for _, x := range s.Peers {
					if x.Reachable {
						p.AliveNames = append(p.AliveNames, x.Name)
					}
				}
				w.mu.Lock()
				if len(w.points) < mostPoints {
					w.points = append(w.points, p)
				}
				w.mu.Unlock()
			}
		})
	}
	return w
}

// Elapsed is the time of the watch.
func (w *Watch) Elapsed() time.Duration { return time.Since(w.began) }

// Observations are those so far.
func (w *Watch) Observations() []Observation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.points)
}

// Close ends it.
func (w *Watch) Close() {
	w.end()
	w.wg.Wait()
}

// Settled tells from when on, between two times, each of the viewers' views is as it is wanted, given by the viewer's name
// and its view. It fails if one of them was not seen at all after that, or never settled.
func (w *Watch) SettledAt(from, until time.Duration, viewers []string, wanted func(p *Observation) bool) (time.Duration, error) {
	last, seen := map[string]time.Duration{}, map[string]int{}
	for _, p := range w.Observations() {
		if p.At < from || p.At > until || !slices.Contains(viewers, p.Name) {
			continue
		}
		seen[p.Name]++
		if !wanted(&p) {
			last[p.Name] = p.At
			seen[p.Name] = 0
		}
	}
	settled := from
	for _, name := range viewers {
		if seen[name] < 3 {
			return 0, fmt.Errorf("%s: %d views as wanted at the end, three at least expected", name, seen[name])
		}
		settled = max(settled, last[name])
	}
	return settled, nil
}

// Await polls until all the viewers' views are as wanted at one time; it returns the last views if that takes too long.
func (b *Bed) Await(within time.Duration, viewers []string, wanted func(p *Observation) bool) error {
	var last string
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		good := 0
		last = ""
		for _, name := range viewers {
			s, err := b.Status(name)
			if err != nil {
				last += fmt.Sprintf("%s: %v; ", name, err)
				continue
			}
			p := Observation{Name: name, Status: s}
			for _, x := range s.Peers {
				if x.Reachable {
					p.AliveNames = append(p.AliveNames, x.Name)
				}
			}
			if wanted(&p) {
				good++
			} else {
				last += fmt.Sprintf("%s hears %s %v, listening %v, stalls %d; ", name, s.Connectivity, p.AliveNames, s.InGracePeriod, s.StallCount)
			}
		}
		if good == len(viewers) && good > 0 {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", within, last)
}

// ExpectView is a wish for Await and Settled: a state, and so many heard, the server itself included.
func ExpectView(state string, heard int) func(p *Observation) bool {
	return func(p *Observation) bool { return p.Connectivity == state && len(p.AliveNames)+1 == heard }
}

// JSON is a point as one line, for logs of a run.
func (p *Observation) JSON() string {
	b, _ := json.Marshal(p)
	return string(b)
}

// StartDuplicate writes what a further process under a name that is taken is told, and starts it as id.
func (b *Bed) StartDuplicate(id, name string, f operator.Fleet) error {
	told, err := os.ReadFile(b.path(name, "json"))
	if err != nil {
		return err
	}
	var t map[string]any
	if err := json.Unmarshal(told, &t); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(f.Listen)
	t["listen"] = net.JoinHostPort(host, "9999")
	record, err := operator.Marshal(&operator.File{Version: "bed", Fleet: &f})
	if err == nil {
		told, err = json.Marshal(t)
	}
	if err == nil {
		err = os.WriteFile(b.path(id, "json"), told, 0o600)
	}
	if err == nil {
		err = os.WriteFile(b.path(id, "record"), record, 0o600)
	}
	if err != nil {
		return err
	}
	return b.Processes.Start(id)
}
