// Package keeper is one of the few that agree on permits: it carries decision/permit's commands through raft's log, tells any
// client the answer, leads on to the leader, and as a leader looks after who is heard. What is granted is said by
// decision/permit; who leads and what is committed, by hashicorp/raft. It must never answer from a copy that may be old, nor
// call a server in use that it has not heard since it leads.
package permitserver

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
	"sorrelvalve/internal/permitclient"
)

// Peer is one keeper as all are told of it.
type Peer struct {
	Name     string // the same after a restart
	RaftAddr string // IP and port for what keepers say to one another
	HTTPAddr string // IP and port for clients
}

// Options are those of one keeper.
type Options struct {
	Name      string
	Peers     []Peer // the own one among them
	Bind      string // where it listens for the others; "" for where they reach it
	DataDir   string // for the log and snapshots, on a disk that lasts
	Bootstrap bool   // a new set: the folder may be empty. A keeper whose disk was lost must not vote under its old name
	Join      bool   // a new keeper of a set that has others: the folder may be empty, and it waits to be taken in (Replace)
	Log       *logrus.Entry

	snapshotThreshold uint64        // log entries between two snapshots; 0 for the usual
	writeDelay        time.Duration // by which each write of the log takes longer
}

const (
	applyTimeout = 2 * time.Second // for a majority: a client asks again, with the same id
	// silence is for how long a server that was heard is taken for heard: three of its words, which come each second.
	heartbeatTimeout = 3 * time.Second
	// stall is a gap in the own ticks after which nothing heard before counts: this keeper did not run, and cannot know.
	stallThreshold           = time.Second
	tickInterval             = 200 * time.Millisecond
	defaultSnapshotThreshold = 4096
	// trailing entries stay behind a snapshot, for a keeper that is a little late; one that is later gets the snapshot.
	trailingLogs = 1024
)

// ErrBroken is a keeper that has found its log not to be what was written, and ends.
var ErrCorruptLog = errors.New("keeper: its log is not what was written; it ends, and the others go on")

// errEmpty is a folder without a log where one is expected.
var errNoLog = errors.New("the folder has no log: a new set of keepers begins with --new on each, and a keeper whose disk was lost comes back under a new name")

// Keeper is one.
type Server struct {
	options   Options
	raft      *raft.Raft
	store     *raftboltdb.BoltStore
	transport *raft.NetworkTransport
	machine   *stateMachine
	closed    chan struct{}
	closeOnce sync.Once
	running   sync.WaitGroup

	mu         sync.Mutex
	heartbeats map[string]heartbeat
	wasLeader  bool
	lastTick   time.Time
	commandSeq int // of the loop's
}

// word is what a server last said of itself, by this keeper's clock.
type heartbeat struct {
	receivedAt time.Time
	permitclient.Heartbeat
}

// machine is the state that raft keeps the same everywhere.
type stateMachine struct {
	mu        sync.Mutex
	permits   *permit.State
	releases  map[release.Track]*release.State
	index     uint64 // of the last entry
	corrupt   bool   // an entry could not be read: this copy is not what the others have
	onCorrupt func()
}

// Apply carries out an entry of the log.
func (m *stateMachine) Apply(l *raft.Log) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, err := unseal(l.Data)
	if err != nil || m.corrupt {
		if !m.corrupt {
			m.corrupt = true
			m.onCorrupt()
		}
		return ErrCorruptLog
	}
	m.index = l.Index
	if c := e.Release; c != nil {
		b, is := m.releases[c.Track]
		if !is {
			return release.Result{Reason: fmt.Sprintf("%.20q is no track", string(c.Track))}
		}
		c.OtherRelease = ""
		for track, other := range m.releases {
			if goes := other.ActiveSummary(); track != c.Track && goes != "" && (c.Kind == release.PlanRelease || c.Kind == release.StartRelease) {
				c.OtherRelease = goes
			}
		}
		if c.Kind == release.StartRelease && c.OtherRelease != "" {
			return release.Result{Reason: c.OtherRelease + ": it comes to its end first"}
		}
		return b.Apply(*c)
	}
	return m.permits.Apply(e.Command)
}

// kept is a snapshot.
type snapshotState struct {
	Permits  *permit.State                    `json:"permits"`
	Releases map[release.Track]*release.State `json:"releases"`
	Index    uint64                           `json:"index"`
}

func newReleases() map[release.Track]*release.State {
	return map[release.Track]*release.State{release.Settings: release.New(), release.Program: release.New()}
}

// Snapshot is the state as it stands, in one piece: the log goes on while it is written.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.corrupt {
		return nil, ErrCorruptLog
	}
	b, err := json.Marshal(snapshotState{m.permits, m.releases, m.index})
	return snapshot(b), err
}

// Restore takes one.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	x := snapshotState{Permits: permit.New(), Releases: newReleases()}
	if err := json.NewDecoder(r).Decode(&x); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.permits, m.releases, m.index = x.Permits, x.Releases, x.Index
	return nil
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (snapshot) Release() {}

// Start opens a keeper. It fails if what it is told is wrong, an address is taken, or its folder is empty where it must not be.
func Start(o Options) (k *Server, err error) {
	var own *Peer
	conf := raft.Configuration{}
	for i := range o.Peers {
		p := &o.Peers[i]
		if p.Name == o.Name {
			own = p
		}
		conf.Servers = append(conf.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.RaftAddr)})
	}
	if own == nil {
		return nil, fmt.Errorf("keeper: %q is none of the peers", o.Name)
	}
	if n := len(o.Peers); n%2 == 0 || n > 7 {
		return nil, fmt.Errorf("keeper: an odd number of peers up to 7 expected, %d there", n)
	}
	if err := os.MkdirAll(o.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	k = &Server{options: o, machine: &stateMachine{permits: permit.New(), releases: newReleases()}, closed: make(chan struct{}), heartbeats: map[string]heartbeat{}, lastTick: time.Now()}
	broken := make(chan struct{})
	k.machine.onCorrupt = func() { close(broken) }
	begun := k // k is nil where an error is returned
	defer func() {
		if err != nil {
			begun.Close()
		}
	}()
	if err := verifyLog(filepath.Join(o.DataDir, "raft.db")); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	if k.store, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(o.DataDir, "raft.db")}); err != nil {
		return nil, fmt.Errorf("keeper: %s: %w", o.DataDir, err)
	}
	quiet := hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	snaps, err := raft.NewFileSnapshotStoreWithLogger(o.DataDir, 2, quiet)
	if err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	way, err := listen(o.Bind, own.RaftAddr)
	if err != nil {
		return nil, fmt.Errorf("keeper: listen on %s: %w", cmp.Or(o.Bind, own.RaftAddr), err)
	}
	// One call in flight to each: the library's pipeline may wait for ever, the shutdown included, for a stream that stands still.
	k.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: way, MaxPool: 3, MaxRPCsInFlight: 1, Timeout: time.Second, Logger: quiet})
	has, err := raft.HasExistingState(k.store, k.store, snaps)
	if err != nil {
		return nil, fmt.Errorf("keeper: %s: %w", o.DataDir, err)
	}
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(o.Name), quiet
	// A leader that is gone is replaced within two seconds; on one machine or between zones a beat takes far less than these.
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = 600*time.Millisecond, 600*time.Millisecond, 400*time.Millisecond, 20*time.Millisecond
	if c.SnapshotThreshold = o.snapshotThreshold; c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = defaultSnapshotThreshold
	}
	c.SnapshotInterval, c.TrailingLogs = 10*time.Second, min(c.SnapshotThreshold, trailingLogs)
	if o.snapshotThreshold > 0 {
		c.SnapshotInterval = 200 * time.Millisecond
	}
	if !has && !o.Join {
		if !o.Bootstrap {
			return nil, fmt.Errorf("keeper: %s: %w", o.DataDir, errNoLog)
		}
		if err := raft.BootstrapCluster(c, k.store, k.store, snaps, k.transport, conf); err != nil {
			return nil, fmt.Errorf("keeper: %w", err)
		}
	}
	var entries raft.LogStore = k.store
	if o.writeDelay > 0 {
		entries = delayedLog{k.store, o.writeDelay}
	}
	if k.raft, err = raft.NewRaft(c, k.machine, entries, k.store, snaps, k.transport); err != nil {
		return nil, fmt.Errorf("keeper: %s: %w", o.DataDir, err)
	}
	k.running.Add(2)
	go k.watchLeadership(broken)
	go k.leaderLoop()
	return k, nil
}

// loop notes the ends of leadership, and stalls of this process.
func (k *Server) watchLeadership(broken <-chan struct{}) {
	defer k.running.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-k.closed:
			return
		case <-broken:
			k.options.Log.Error(ErrCorruptLog)
			go k.Close() // which waits for this loop
			return
		case <-tick.C:
		}
		k.mu.Lock()
		leads := k.raft.State() == raft.Leader
		if leads && !k.wasLeader {
			clear(k.heartbeats) // what was heard before is another's affair
			k.options.Log.Info("keeper: leads; servers count as out until they are heard")
		} else if !leads && k.wasLeader {
			k.options.Log.Warn("keeper: leads no longer")
		}
		k.wasLeader = leads
		k.detectStall()
		k.mu.Unlock()
	}
}

// acts is what a leader does by itself, beside the loop: it may wait for the others.
func (k *Server) leaderLoop() {
	defer k.running.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	noted, looked := time.Now(), time.Time{}
	for {
		select {
		case <-k.closed:
			return
		case <-tick.C:
		}
		leads := k.IsLeader()
		if now := time.Now(); leads && now.Sub(noted) >= autoHaltInterval {
			noted = now
			k.updateAutoHalt()
		}
		switch now := time.Now(); {
		case !leads:
			looked = time.Time{}
		case now.Sub(looked) >= observeInterval:
			passed := time.Duration(0)
			if !looked.IsZero() && now.Sub(looked) < 2*observeInterval+applyTimeout {
				passed = now.Sub(looked)
			}
			looked = now
			for _, track := range []release.Track{release.Settings, release.Program} {
				if k.observeRelease(track, passed) != nil {
					looked = time.Time{}
				}
			}
		}
	}
}

// noteEvery is how often a leader looks whether a halt by itself is to begin or end while nobody asks.
const autoHaltInterval = time.Second

// note has a halt by itself begin or end where what is seen says so. Nothing goes into the log while nothing changes.
func (k *Server) updateAutoHalt() {
	seen := k.observations()
	_, pushed := k.drainReports()
	k.machine.mu.Lock()
	cause, was := k.machine.permits.AutoHaltCause(seen, pushed), k.machine.permits.AutoHaltReason
	k.machine.mu.Unlock()
	if cause == was {
		return
	}
	k.commandSeq++
	if _, err := k.Do(permit.Command{ID: fmt.Sprintf("note-%s-%d-%d", k.options.Name, time.Now().UnixNano(), k.commandSeq), Kind: permit.Observe}); err == nil {
		k.options.Log.WithField("why", cause).Warn("keeper: a halt by itself begins, or ends if no reason is told")
	}
}

// awake forgets what was heard if this process did not run meanwhile. The lock is held.
func (k *Server) detectStall() {
	now := time.Now()
	if now.Sub(k.lastTick) > stallThreshold {
		clear(k.heartbeats)
		k.options.Log.WithField("ms", now.Sub(k.lastTick).Milliseconds()).Warn("keeper: this process had stalled; servers count as out until they are heard")
	}
	k.lastTick = now
}

// Here takes a server's word, and returns what it is to do as far as this keeper knows: what it does by that is asked for once more
// through the log where it matters.
func (k *Server) Heartbeat(h permitclient.Heartbeat) permitclient.Directives {
	k.machine.mu.Lock()
	o := permitclient.Directives{Directives: k.machine.permits.DirectivesFor(h.Name), Index: k.machine.index, SettingsVersion: k.machine.releases[release.Settings].Target(h.Name)}
	if v := k.machine.releases[release.Settings].Version(o.SettingsVersion); v != nil {
		o.SettingsHash = v.Hash
	}
	if v := k.machine.releases[release.Program].Version(k.machine.releases[release.Program].Target(h.Name)); v != nil {
		o.ProgramVersion, o.ProgramName = v.Number, string(v.Body)
	}
	k.machine.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.detectStall()
	if w, is := k.heartbeats[h.Name]; !is || h.Incarnation >= w.Incarnation { // else a former start's, late
		if is || len(k.heartbeats) < maxHeartbeats {
			k.heartbeats[h.Name] = heartbeat{time.Now(), h}
		}
	}
	return o
}

// mostHeard bounds the table of words: twice the largest roster.
const maxHeartbeats = 8192

// words are those of the servers that are heard: what they say of members that are drained, and the share of RPCs that they all
// push back.
func (k *Server) drainReports() (left map[string]map[string]permit.MemberDrain, pushed float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.detectStall()
	now := time.Now()
	left = map[string]map[string]permit.MemberDrain{}
	all, back := 0.0, 0.0
	for name, w := range k.heartbeats {
		if now.Sub(w.receivedAt) <= heartbeatTimeout {
			left[name] = w.MemberDrains
			all, back = all+w.DecidedRPS, back+w.RejectedRPS
		}
	}
	if all > 0 {
		pushed = back / all
	}
	return left, pushed
}

// seen is how much of each server on the roster is out, as this keeper sees it: all of those that it has not heard of late.
func (k *Server) observations() (all []permit.Observation) {
	k.machine.mu.Lock()
	servers, members := k.machine.permits.Servers, k.machine.permits.Members
	k.machine.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.detectStall()
	now := time.Now()
	for _, s := range servers {
		w, is := k.heartbeats[s.Name]
		switch {
		case !is || now.Sub(w.receivedAt) > heartbeatTimeout:
			all = append(all, permit.Observation{Name: s.Name, OutOfService: 1})
		case w.OutOfService > 0:
			all = append(all, permit.Observation{Name: s.Name, OutOfService: w.OutOfService, Incarnation: w.Incarnation})
		}
	}
	// A member is out if most of those that are heard and know it have it out, or if nobody that is heard knows it.
	for _, m := range members {
		subject := m.Pool + "/" + m.Name
		know, out := 0, 0
		for _, w := range k.heartbeats {
			if is, knows := w.MembersOut[subject]; knows && now.Sub(w.receivedAt) <= heartbeatTimeout {
				know++
				if is {
					out++
				}
			}
		}
		if know == 0 || 2*out >= know {
			all = append(all, permit.Observation{Name: subject, OutOfService: 1})
		}
	}
	return all
}

// ErrLeader is what a keeper that does not lead answers; Addr is where the leader's clients come, "" if it is not known.
type NotLeaderError struct{ Addr string }

func (e *NotLeaderError) Error() string {
	if e.Addr == "" {
		return "no keeper leads just now: most of them are not in contact"
	}
	return "the keeper at " + e.Addr + " leads"
}

// Do carries a command through the log and returns its answer, which most keepers hold then. It fails with ErrLeader at a
// keeper that does not lead, and if most keepers can't be reached in time: then the same command may be sent again.
func (k *Server) Do(c permit.Command) (a permit.Result, err error) {
	c.Observations = nil
	if c.Kind == permit.Acquire || c.Kind == permit.Begin || c.Kind == permit.Observe {
		if k.raft.State() != raft.Leader {
			return a, k.notLeader()
		}
		c.Observations = k.observations()
		_, c.RejectedShare = k.drainReports()
	}
	r, err := k.apply(&entry{Command: c})
	if err == nil {
		var is bool
		if a, is = r.(permit.Result); !is {
			err = ErrCorruptLog
		}
	}
	return a, err
}

// apply carries an entry through the log.
func (k *Server) apply(e *entry) (any, error) {
	b, err := seal(e)
	if err != nil {
		return nil, err
	}
	f := k.raft.Apply(b, applyTimeout)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) || errors.Is(err, raft.ErrLeadershipTransferInProgress) {
			return nil, k.notLeader()
		}
		return nil, fmt.Errorf("keeper: %w", err)
	}
	if err, is := f.Response().(error); is {
		return nil, err
	}
	return f.Response(), nil
}

// Release carries a command on versions and releases through the log, as Do does. A plan is for the roster as it stands.
func (k *Server) Release(c release.Command) (a release.Result, err error) {
	c.Servers = nil
	if c.Kind == release.PlanRelease {
		if k.raft.State() != raft.Leader {
			return a, k.notLeader()
		}
		k.machine.mu.Lock()
		for _, s := range k.machine.permits.Servers {
			c.Servers = append(c.Servers, release.Server{Name: s.Name, Zone: s.Zone})
		}
		k.machine.mu.Unlock()
	}
	r, err := k.apply(&entry{Release: &c})
	if err == nil {
		var is bool
		if a, is = r.(release.Result); !is {
			err = ErrCorruptLog
		}
	}
	return a, err
}

// lookEvery is how often a leader looks at a release that goes on.
const observeInterval = 1500 * time.Millisecond

// look has a release of a track go on by what is seen. passed is the time since this leader's last look, nothing if there was none: what
// passed while another led, or while this process did not run, is not known.
func (k *Server) observeRelease(track release.Track, passed time.Duration) error {
	k.machine.mu.Lock()
	r := k.machine.releases[track].Release
	active := r != nil && r.Phase.Active()
	halted, wary := k.machine.permits.HaltReason, k.machine.permits.AutoHaltReason
	k.machine.mu.Unlock()
	if !active {
		return nil
	}
	c := release.Command{Kind: release.Observe, Track: track, ElapsedMS: float64(passed) / 1e6, HaltReason: halted, AutoHaltReason: wary}
	now := time.Now()
	k.mu.Lock()
	k.detectStall()
	for name, w := range k.heartbeats {
		if w.Release != nil && now.Sub(w.receivedAt) <= heartbeatTimeout {
			s := *w.Release
			if track == release.Program {
				s = w.Release.ForProgram()
			}
			s.Name, s.Incarnation = name, w.Incarnation
			c.Reports = append(c.Reports, s)
		}
	}
	k.commandSeq++
	c.ID = fmt.Sprintf("look-%s-%d-%d", k.options.Name, now.UnixNano(), k.commandSeq)
	k.mu.Unlock()
	slices.SortFunc(c.Reports, func(a, b release.Report) int { return cmp.Compare(a.Name, b.Name) })
	_, err := k.apply(&entry{Release: &c})
	return err
}

// version is one that is kept.
func (k *Server) version(track release.Track, number uint64) *release.Version {
	k.machine.mu.Lock()
	defer k.machine.mu.Unlock()
	if v := k.machine.releases[track].Version(number); v != nil {
		x := *v
		return &x
	}
	return nil
}

// releases is a copy of a book, without the bodies of its versions.
func (k *Server) releaseState(track release.Track) (*release.State, error) {
	k.machine.mu.Lock()
	defer k.machine.mu.Unlock()
	x := *k.machine.releases[track]
	x.Versions = slices.Clone(x.Versions)
	for i := range x.Versions {
		if track == release.Settings { // a program's is its name
			x.Versions[i].Body = nil
		}
	}
	x.Results, x.ResultOrder = nil, nil
	b, err := json.Marshal(x)
	y := release.New()
	if err == nil {
		err = json.Unmarshal(b, y)
	}
	return y, err
}

// Replace takes a keeper out of the set and another in, in that order: one whose disk or machine is lost never votes again under its
// name. It is asked of the leader; either may be left out. The new one is to run with Join.
func (k *Server) Replace(out string, in Peer) error {
	if k.raft.State() != raft.Leader {
		return k.notLeader()
	}
	if out == k.options.Name {
		return fmt.Errorf("keeper: %s leads; it is replaced once another does", out)
	}
	if out != "" {
		if err := k.raft.RemoveServer(raft.ServerID(out), 0, applyTimeout).Error(); err != nil {
			return fmt.Errorf("keeper: %w", err)
		}
	}
	if in.Name == "" {
		return nil
	}
	if err := k.raft.AddVoter(raft.ServerID(in.Name), raft.ServerAddress(in.RaftAddr), 0, applyTimeout).Error(); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	return nil
}

func (k *Server) notLeader() error {
	_, id := k.raft.LeaderWithID()
	for _, p := range k.options.Peers {
		if p.Name == string(id) && p.Name != k.options.Name {
			return &NotLeaderError{p.HTTPAddr}
		}
	}
	return &NotLeaderError{}
}

// State returns a copy of all that is agreed on, as of a moment after the call: it asks most keepers whether this one leads.
func (k *Server) State() (*permit.State, []permit.Observation, error) {
	if err := k.raft.VerifyLeader().Error(); err != nil {
		return nil, nil, k.notLeader()
	}
	if err := k.raft.Barrier(applyTimeout).Error(); err != nil {
		return nil, nil, k.notLeader()
	}
	k.machine.mu.Lock()
	b, err := json.Marshal(k.machine.permits)
	k.machine.mu.Unlock()
	s := permit.New()
	if err == nil {
		err = json.Unmarshal(b, s)
	}
	return s, k.observations(), err
}

// Leads tells whether this keeper takes itself for the leader.
func (k *Server) IsLeader() bool { return k.raft.State() == raft.Leader }

// Close ends it; its log stays.
func (k *Server) Close() {
	k.closeOnce.Do(func() {
		close(k.closed)
		if k.raft != nil {
			k.raft.Shutdown().Error()
		}
		if k.transport != nil {
			k.transport.Close()
		}
		k.running.Wait()
		if k.store != nil {
			k.store.Close()
		}
	})
}
