package fleet

import (
	"bytes"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// instance is one run of memberlist, and its delegate. Events of previous runs are ignored.
type instance struct {
	fleet      *Fleet
	memberlist *memberlist.Memberlist // nil if it could not be created
	ready      chan struct{}          // closed when memberlist has been set
}

// isCurrent reports whether this is the current run, whose events are processed. The caller holds the fleet's lock.
func (in *instance) isCurrent() bool {
	return in.fleet.instance == in
}

// Write receives memberlist's log. It only counts the errors and warnings.
func (in *instance) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("[ERR]")) || bytes.Contains(line, []byte("[WARN]")) {
		in.fleet.memberlistErrors.Add(1)
	}
	return len(line), nil
}

// startMemberlist starts memberlist, which then knows no peers.
func (f *Fleet) startMemberlist() error {
	f.lastTick.Store(int64(time.Since(f.startedAt)))
	f.silenced.Store(false)
	if !validName(f.options.Name) {
		return errInvalidName
	}
	in := &instance{fleet: f, ready: make(chan struct{})}
	config, err := f.memberlistConfig(in)
	if err != nil {
		return err
	}
	transport, err := f.listen(config)
	if err != nil {
		return err
	}
	config.Transport = transport
	f.mu.Lock()
	f.instance = in
	f.announce(time.Now())
	f.mu.Unlock()
	defer close(in.ready)
	if in.memberlist, err = memberlist.Create(config); err != nil {
		err = errors.Join(err, transport.Shutdown())
		f.mu.Lock()
		f.instance = nil
		f.mu.Unlock()
		return err
	}
	return nil
}

// memberlistConfig returns the configuration of one run, without its transport.
func (f *Fleet) memberlistConfig(in *instance) (*memberlist.Config, error) {
	host, port, err := splitAddress(f.options.Listen)
	if err != nil {
		return nil, err
	}
	advertiseHost, advertisePort, err := splitAddress(f.options.Advertise)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name = f.options.Name
	c.Logger = stdlog.New(in, "", 0)
	c.BindAddr = host
	c.BindPort = port
	c.AdvertiseAddr = advertiseHost
	c.AdvertisePort = advertisePort
	c.Label = f.options.FleetName
	c.SecretKey = f.options.EncryptionKey
	c.EnableCompression = false // records are small and few
	c.TCPTimeout = streamTimeout
	c.ProbeInterval = healthCheckInterval
	c.ProbeTimeout = healthCheckTimeout
	c.SuspicionMult = suspicionMult
	c.SuspicionMaxTimeoutMult = suspicionMaxTimeoutMult
	c.DeadNodeReclaimTime = nameReclaimTime
	c.Delegate = in
	c.Events = in
	c.Conflict = in
	c.Ping = in
	c.Alive = in
	return c, nil
}

// listen opens a transport that listens at the bind address in c.
func (f *Fleet) listen(c *memberlist.Config) (*transport, error) {
	open := f.options.openTransport
	var localAddr *net.TCPAddr
	if open == nil {
		localAddr = &net.TCPAddr{IP: net.ParseIP(c.BindAddr)}
		open = func() (baseTransport, error) {
			return memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{c.BindAddr}, BindPort: c.BindPort, Logger: c.Logger})
		}
	}
	base, err := open()
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", f.options.Listen, err)
	}
	return newTransport(base, localAddr, f.packetReceived, f.awake, &f.traffic), nil
}

// restartMemberlist discards memberlist with all its state, and starts it again. It is called after this server has stalled, or is isolated.
func (f *Fleet) restartMemberlist(stalled bool) {
	f.mu.Lock()
	old := f.instance
	f.instance = nil
	f.detector.Reset(f.elapsedMs(time.Now()))
	f.firstContact = time.Time{}
	clear(f.nameByAddr)
	clear(f.nodes)
	f.detectorRestarts++
	budgets := f.budgets
	f.mu.Unlock()
	if stalled && budgets != nil {
		budgets.dropLeases()
	}
	f.broadcasts.Reset()
	if old != nil {
		f.shutDown(old)
	}
	if err := f.startMemberlist(); err != nil { // retried at the next tick
		f.silenced.Store(true)
		f.options.Log.WithError(err).Error("fleet.restart_failed")
		return
	}
	line := f.options.Log.WithField("restarts", f.detectorRestarts)
	if stalled {
		line.Warn("fleet.stalled")
	} else {
		line.Warn("fleet.isolated")
	}
}

// shutDown stops one run of memberlist.
func (f *Fleet) shutDown(in *instance) {
	if err := in.memberlist.Shutdown(); err != nil {
		f.options.Log.WithError(err).Warn("fleet.shutdown_failed")
	}
}
