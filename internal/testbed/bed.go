package testbed

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
)

// Options configure a Bed.
type Options struct {
	Names         []string
	Zone          func(i int) string // zone of the ith name; nil for none
	Seeds         []string           // names through which the others join; nil for the first three
	Seed          int64              // of the network's random faults
	FleetName     string
	PermitServers []string                   // addresses; nil for none
	ExtraEnv      func(name string) []string // environment at each start beside the bed's own; may be nil
	VersionDir    string                     // directory in which each keeps the version that it runs; "" for none
	NoFleet       bool                       // the operator's files name no fleet
	Invariants    *standin.InvariantChecker  // is told of each run; may be nil
	Cores         float64                    // of each engine; 0 for no engines
	ServeCommand  func() Command             // the program and its sub-command, to which --operator FILE is added
	Operator      operator.File              // what the operator's files say beside the fleet
	SettingsJSON  string                     // the platform's settings; "" for one method, view
}

// Bed is a network of relays with the processes behind them, their engines and their membership service. No process is told
// of the faults.
type Bed struct {
	Network       *Network
	Processes     *ProcessSet
	Names         []string
	Engines       map[string]*standin.Engine // by name
	Machines      map[string]*standin.Cores  // of the engines, by name
	dir           string
	listenAddrs   map[string]string
	operatorFiles map[string]operator.File
	cleanup       []func() // in reverse order
}

const (
	// minimalSettings are enough for servers that receive no RPCs.
	minimalSettings = `{"classes":[{"name":"view","aim":1000000000,"give_up":5000000000}],` +
		`"family_info":{"cores":2,"ram_kb":100000},"rules":{"drain_grace":200000000,"tip_multiple":8}}`

	defaultSeeds    = 3
	overloadPerCore = 8   // jobs per core above which an engine loses throughput
	closedPort      = "9" // nobody listens there
	duplicatePort   = "9999"
	operatorVersion = "bed"
	fileMode        = 0o600
)

// New lays out a bed. No process runs yet.
func New(o Options) (b *Bed, err error) {
	dir, err := os.MkdirTemp("", "bed") // a short name: the length of a socket's path is bounded
	if err != nil {
		return nil, err
	}
	b = &Bed{
		Names: o.Names, dir: dir,
		Engines: map[string]*standin.Engine{}, Machines: map[string]*standin.Cores{},
		listenAddrs: map[string]string{}, operatorFiles: map[string]operator.File{},
	}
	b.cleanup = append(b.cleanup, func() { _ = os.RemoveAll(dir) }) // what is left of a temporary directory does no harm
	defer func() {
		if err != nil {
			b.Close()
		}
	}()
	if b.Network, err = NewNetwork(o.Seed, o.Names...); err != nil {
		return nil, err
	}
	b.cleanup = append(b.cleanup, b.Network.Close)
	members, stopMembers, err := standin.StartMembershipService()
	if err != nil {
		return nil, err
	}
	b.cleanup = append(b.cleanup, stopMembers)
	if o.Seeds == nil {
		o.Seeds = o.Names[:min(defaultSeeds, len(o.Names))]
	}
	if o.SettingsJSON == "" {
		o.SettingsJSON = minimalSettings
	}
	for i, name := range o.Names {
		if err := b.addServer(&o, i, name, members); err != nil {
			return nil, err
		}
	}
	b.Processes = NewProcessSet(dir, b.Network, func(name string) Command { return b.serveCommand(&o, name) })
	b.cleanup = append(b.cleanup, b.Processes.Close)
	return b, nil
}

// addServer starts a name's engine and writes its platform configuration and its operator's file.
func (b *Bed) addServer(o *Options, i int, name, members string) error {
	endpoint := b.Network.Endpoint(name)
	engine, err := b.startEngine(o, name, net.JoinHostPort(endpoint.ListenIP, closedPort))
	if err != nil {
		return err
	}
	b.listenAddrs[name] = net.JoinHostPort(endpoint.ListenIP, strconv.Itoa(endpoint.Port+1))
	const format = `{"name":%q,"listen":%q,"engine":%q,"members":%q,"seed":"%x","stop_ms":2000,` +
		`"limits":{"memory_mb":192,"sockets":512},"settings":%s}`
	config := fmt.Sprintf(format,
		name, b.listenAddrs[name], engine, members, i+1, o.SettingsJSON)
	if err := os.WriteFile(b.path(name, "json"), []byte(config), fileMode); err != nil {
		return err
	}
	file := o.Operator
	file.Version = operatorVersion
	if !o.NoFleet {
		file.Fleet = b.fleetRecord(o, i, name)
	}
	return b.writeOperatorFile(name, file)
}

// startEngine starts a name's engine and returns its address; without engines, the given one.
func (b *Bed) startEngine(o *Options, name, none string) (addr string, err error) {
	if o.Cores <= 0 {
		return none, nil
	}
	b.Machines[name] = standin.NewCores(o.Cores, overloadPerCore)
	engine, err := standin.NewEngine(b.Machines[name], standin.WorkFromBody, o.Invariants)
	if err != nil {
		return "", err
	}
	b.Engines[name] = engine
	b.cleanup = append(b.cleanup, engine.Close)
	return engine.Addr(), nil
}

// fleetRecord is what a name's operator's file says of the fleet.
func (b *Bed) fleetRecord(o *Options, i int, name string) *operator.Fleet {
	endpoint := b.Network.Endpoint(name)
	f := &operator.Fleet{
		Name: o.FleetName, Listen: endpoint.ListenAddr(), Advertise: endpoint.AdvertiseAddr(),
		Socket: b.Socket(name), PermitServers: o.PermitServers,
	}
	if o.VersionDir != "" {
		f.DataDir = filepath.Join(o.VersionDir, name)
	}
	if o.Zone != nil {
		f.Zone = o.Zone(i)
	}
	for _, seed := range o.Seeds {
		f.Seeds = append(f.Seeds, b.Network.Endpoint(seed).AdvertiseAddr())
	}
	return f
}

// serveCommand is how a name's process is started.
func (b *Bed) serveCommand(o *Options, name string) Command {
	c := o.ServeCommand()
	c.Args = append(slices.Clone(c.Args), "--operator", b.path(name, "record"))
	c.Env = append(slices.Clone(c.Env), "EDGE_CONFIG="+b.path(name, "json"))
	if o.ExtraEnv != nil {
		c.Env = append(c.Env, o.ExtraEnv(name)...)
	}
	return c
}

// path is the path of one of a name's files.
func (b *Bed) path(name, kind string) string { return filepath.Join(b.dir, name+"."+kind) }

// writeOperatorFile writes a name's operator's file.
func (b *Bed) writeOperatorFile(name string, f operator.File) error {
	raw, err := operator.Marshal(&f)
	if err == nil {
		err = os.WriteFile(b.path(name, "record"), raw, fileMode)
	}
	b.operatorFiles[name] = f
	return err
}

// Reload changes a name's operator's file and has its process reload it.
func (b *Bed) Reload(name string, change func(*operator.File)) error {
	f := b.operatorFiles[name]
	change(&f)
	if err := b.writeOperatorFile(name, f); err != nil {
		return err
	}
	return b.Processes.Signal(name, syscall.SIGHUP)
}

// Socket is the path of a name's operator socket.
func (b *Bed) Socket(name string) string { return b.path(name, "sock") }

// ListenAddr is the address at which a name takes RPCs.
func (b *Bed) ListenAddr(name string) string { return b.listenAddrs[name] }

// StartAll starts all processes.
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
	for _, f := range slices.Backward(b.cleanup) {
		f()
	}
	b.cleanup = nil
}

// StartDuplicate starts a further process, known to the bed as id, under a name that is taken. It listens beside the fleet's
// address in f.
func (b *Bed) StartDuplicate(id, name string, f operator.Fleet) error {
	raw, err := os.ReadFile(b.path(name, "json"))
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(f.Listen)
	if err != nil {
		return err
	}
	config["listen"] = net.JoinHostPort(host, duplicatePort)
	raw, err = json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(b.path(id, "json"), raw, fileMode); err != nil {
		return err
	}
	record, err := operator.Marshal(&operator.File{Version: operatorVersion, Fleet: &f})
	if err != nil {
		return err
	}
	if err := os.WriteFile(b.path(id, "record"), record, fileMode); err != nil {
		return err
	}
	return b.Processes.Start(id)
}
