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
	Name string // the same after a restart
	Raft string // IP and port for what keepers say to one another
	HTTP string // IP and port for clients
}

// Options are those of one keeper.
type Options struct {
	Name  string
	Peers []Peer // the own one among them
	Bind  string // where it listens for the others; "" for where they reach it
	Dir   string // for the log and snapshots, on a disk that lasts
	New   bool   // a new set: the folder may be empty. A keeper whose disk was lost must not vote under its old name
	Join  bool   // a new keeper of a set that has others: the folder may be empty, and it waits to be taken in (Replace)
	Log   *logrus.Entry

	snapEvery uint64        // log entries between two snapshots; 0 for the usual
	slow      time.Duration // by which each write of the log takes longer
}

const (
	applyWait = 2 * time.Second // for a majority: a client asks again, with the same id
	// silence is for how long a server that was heard is taken for heard: three of its words, which come each second.
	silence = 3 * time.Second
	// stall is a gap in the own ticks after which nothing heard before counts: this keeper did not run, and cannot know.
	stall     = time.Second
	tickEvery = 200 * time.Millisecond
	snapUsual = 4096
	// trailing entries stay behind a snapshot, for a keeper that is a little late; one that is later gets the snapshot.
	trailing = 1024
)

// ErrBroken is a keeper that has found its log not to be what was written, and ends.
var ErrBroken = errors.New("keeper: its log is not what was written; it ends, and the others go on")

// errEmpty is a folder without a log where one is expected.
var errEmpty = errors.New("the folder has no log: a new set of keepers begins with --new on each, and a keeper whose disk was lost comes back under a new name")

// Keeper is one.
type Keeper struct {
	o     Options
	raft  *raft.Raft
	store *raftboltdb.BoltStore
	trans *raft.NetworkTransport
	fsm   *machine
	over  chan struct{}
	end   sync.Once
	wg    sync.WaitGroup

	mu     sync.Mutex
	heard  map[string]word
	leads  bool
	ticked time.Time
	marks  int // of the loop's
}

// word is what a server last said of itself, by this keeper's clock.
type word struct {
	at time.Time
	permitclient.Heartbeat
}

// machine is the state that raft keeps the same everywhere.
type machine struct {
	mu     sync.Mutex
	s      *permit.State
	books  map[release.Track]*release.State
	index  uint64 // of the last entry
	broken bool   // an entry could not be read: this copy is not what the others have
	breaks func()
}

// Apply carries out an entry of the log.
func (m *machine) Apply(l *raft.Log) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, err := unseal(l.Data)
	if err != nil || m.broken {
		if !m.broken {
			m.broken = true
			m.breaks()
		}
		return ErrBroken
	}
	m.index = l.Index
	if c := e.Release; c != nil {
		b, is := m.books[c.Track]
		if !is {
			return release.Result{Reason: fmt.Sprintf("%.20q is no track", string(c.Track))}
		}
		c.OtherRelease = ""
		for track, other := range m.books {
			if goes := other.ActiveSummary(); track != c.Track && goes != "" && (c.Kind == release.PlanRelease || c.Kind == release.StartRelease) {
				c.OtherRelease = goes
			}
		}
		if c.Kind == release.StartRelease && c.OtherRelease != "" {
			return release.Result{Reason: c.OtherRelease + ": it comes to its end first"}
		}
		return b.Apply(*c)
	}
	return m.s.Apply(e.Command)
}

// kept is a snapshot.
type kept struct {
	Permits  *permit.State                    `json:"permits"`
	Releases map[release.Track]*release.State `json:"releases"`
	Index    uint64                           `json:"index"`
}

func newBooks() map[release.Track]*release.State {
	return map[release.Track]*release.State{release.Settings: release.New(), release.Program: release.New()}
}

// Snapshot is the state as it stands, in one piece: the log goes on while it is written.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken {
		return nil, ErrBroken
	}
	b, err := json.Marshal(kept{m.s, m.books, m.index})
	return snapshot(b), err
}

// Restore takes one.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	x := kept{Permits: permit.New(), Releases: newBooks()}
	if err := json.NewDecoder(r).Decode(&x); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.s, m.books, m.index = x.Permits, x.Releases, x.Index
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
func Start(o Options) (k *Keeper, err error) {
	var own *Peer
	conf := raft.Configuration{}
	for i := range o.Peers {
		p := &o.Peers[i]
		if p.Name == o.Name {
			own = p
		}
		conf.Servers = append(conf.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
	}
	if own == nil {
		return nil, fmt.Errorf("keeper: %q is none of the peers", o.Name)
	}
	if n := len(o.Peers); n%2 == 0 || n > 7 {
		return nil, fmt.Errorf("keeper: an odd number of peers up to 7 expected, %d there", n)
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	k = &Keeper{o: o, fsm: &machine{s: permit.New(), books: newBooks()}, over: make(chan struct{}), heard: map[string]word{}, ticked: time.Now()}
	broken := make(chan struct{})
	k.fsm.breaks = func() { close(broken) }
	begun := k // k is nil where an error is returned
	defer func() {
		if err != nil {
			begun.Close()
		}
	}()
	if err := whole(filepath.Join(o.Dir, "raft.db")); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	if k.store, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(o.Dir, "raft.db")}); err != nil {
		return nil, fmt.Errorf("keeper: %s: %w", o.Dir, err)
	}
	quiet := hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	snaps, err := raft.NewFileSnapshotStoreWithLogger(o.Dir, 2, quiet)
	if err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	way, err := listen(o.Bind, own.Raft)
	if err != nil {
		return nil, fmt.Errorf("keeper: listen on %s: %w", cmp.Or(o.Bind, own.Raft), err)
	}
	// One call in flight to each: the library's pipeline may wait for ever, the shutdown included, for a stream that stands still.
	k.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: way, MaxPool: 3, MaxRPCsInFlight: 1, Timeout: time.Second, Logger: quiet})
	has, err := raft.HasExistingState(k.store, k.store, snaps)
	if err != nil {
		return nil, fmt.Errorf("keeper: %s: %w", o.Dir, err)
	}
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(o.Name), quiet
	// A leader that is gone is replaced within two seconds; on one machine or between zones a beat takes far less than these.
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = 600*time.Millisecond, 600*time.Millisecond, 400*time.Millisecond, 20*time.Millisecond
	if c.SnapshotThreshold = o.snapEvery; c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = snapUsual
	}
	c.SnapshotInterval, c.TrailingLogs = 10*time.Second, min(c.SnapshotThreshold, trailing)
	if o.snapEvery > 0 {
		c.SnapshotInterval = 200 * time.Millisecond
	}
	if !has && !o.Join {
		if !o.New {
			return nil, fmt.Errorf("keeper: %s: %w", o.Dir, errEmpty)
		}
		if err := raft.BootstrapCluster(c, k.store, k.store, snaps, k.trans, conf); err != nil {
			return nil, fmt.Errorf("keeper: %w", err)
		}
	}
	var entries raft.LogStore = k.store
	if o.slow > 0 {
		entries = late{k.store, o.slow}
	}
	if k.raft, err = raft.NewRaft(c, k.fsm, entries, k.store, snaps, k.trans); err != nil {
		return nil, fmt.Errorf("keeper: %s: %w", o.Dir, err)
	}
	k.wg.Add(2)
	go k.loop(broken)
	go k.acts()
	return k, nil
}

// loop notes the ends of leadership, and stalls of this process.
func (k *Keeper) loop(broken <-chan struct{}) {
	defer k.wg.Done()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-k.over:
			return
		case <-broken:
			k.o.Log.Error(ErrBroken)
			go k.Close() // which waits for this loop
			return
		case <-tick.C:
		}
		k.mu.Lock()
		leads := k.raft.State() == raft.Leader
		if leads && !k.leads {
			clear(k.heard) // what was heard before is another's affair
			k.o.Log.Info("keeper: leads; servers count as out until they are heard")
		} else if !leads && k.leads {
			k.o.Log.Warn("keeper: leads no longer")
		}
		k.leads = leads
		k.awake()
		k.mu.Unlock()
	}
}

// acts is what a leader does by itself, beside the loop: it may wait for the others.
func (k *Keeper) acts() {
	defer k.wg.Done()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	noted, looked := time.Now(), time.Time{}
	for {
		select {
		case <-k.over:
			return
		case <-tick.C:
		}
		leads := k.Leads()
		if now := time.Now(); leads && now.Sub(noted) >= noteEvery {
			noted = now
			k.note()
		}
		switch now := time.Now(); {
		case !leads:
			looked = time.Time{}
		case now.Sub(looked) >= lookEvery:
			passed := time.Duration(0)
			if !looked.IsZero() && now.Sub(looked) < 2*lookEvery+applyWait {
				passed = now.Sub(looked)
			}
			looked = now
			for _, track := range []release.Track{release.Settings, release.Program} {
				if k.look(track, passed) != nil {
					looked = time.Time{}
				}
			}
		}
	}
}

// noteEvery is how often a leader looks whether a halt by itself is to begin or end while nobody asks.
const noteEvery = time.Second

// note has a halt by itself begin or end where what is seen says so. Nothing goes into the log while nothing changes.
func (k *Keeper) note() {
	seen := k.seen()
	_, pushed := k.words()
	k.fsm.mu.Lock()
	cause, was := k.fsm.s.AutoHaltCause(seen, pushed), k.fsm.s.AutoHaltReason
	k.fsm.mu.Unlock()
	if cause == was {
		return
	}
	k.marks++
	if _, err := k.Do(permit.Command{ID: fmt.Sprintf("note-%s-%d-%d", k.o.Name, time.Now().UnixNano(), k.marks), Kind: permit.Observe}); err == nil {
		k.o.Log.WithField("why", cause).Warn("keeper: a halt by itself begins, or ends if no reason is told")
	}
}

// awake forgets what was heard if this process did not run meanwhile. The lock is held.
func (k *Keeper) awake() {
	now := time.Now()
	if now.Sub(k.ticked) > stall {
		clear(k.heard)
		k.o.Log.WithField("ms", now.Sub(k.ticked).Milliseconds()).Warn("keeper: this process had stalled; servers count as out until they are heard")
	}
	k.ticked = now
}

// Here takes a server's word, and returns what it is to do as far as this keeper knows: what it does by that is asked for once more
// through the log where it matters.
func (k *Keeper) Here(h permitclient.Heartbeat) permitclient.Directives {
	k.fsm.mu.Lock()
	o := permitclient.Directives{Directives: k.fsm.s.DirectivesFor(h.Name), Index: k.fsm.index, SettingsVersion: k.fsm.books[release.Settings].Target(h.Name)}
	if v := k.fsm.books[release.Settings].Version(o.SettingsVersion); v != nil {
		o.SettingsHash = v.Hash
	}
	if v := k.fsm.books[release.Program].Version(k.fsm.books[release.Program].Target(h.Name)); v != nil {
		o.ProgramVersion, o.ProgramName = v.Number, string(v.Body)
	}
	k.fsm.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.awake()
	if w, is := k.heard[h.Name]; !is || h.Incarnation >= w.Incarnation { // else a former start's, late
		if is || len(k.heard) < mostHeard {
			k.heard[h.Name] = word{time.Now(), h}
		}
	}
	return o
}

// mostHeard bounds the table of words: twice the largest roster.
const mostHeard = 8192

// words are those of the servers that are heard: what they say of members that are drained, and the share of RPCs that they all
// push back.
func (k *Keeper) words() (left map[string]map[string]permit.MemberDrain, pushed float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.awake()
	now := time.Now()
	left = map[string]map[string]permit.MemberDrain{}
	all, back := 0.0, 0.0
	for name, w := range k.heard {
		if now.Sub(w.at) <= silence {
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
func (k *Keeper) seen() (all []permit.Observation) {
	k.fsm.mu.Lock()
	servers, members := k.fsm.s.Servers, k.fsm.s.Members
	k.fsm.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.awake()
	now := time.Now()
	for _, s := range servers {
		w, is := k.heard[s.Name]
		switch {
		case !is || now.Sub(w.at) > silence:
			all = append(all, permit.Observation{Name: s.Name, OutOfService: 1})
		case w.OutOfService > 0:
			all = append(all, permit.Observation{Name: s.Name, OutOfService: w.OutOfService, Incarnation: w.Incarnation})
		}
	}
	// A member is out if most of those that are heard and know it have it out, or if nobody that is heard knows it.
	for _, m := range members {
		subject := m.Pool + "/" + m.Name
		know, out := 0, 0
		for _, w := range k.heard {
			if is, knows := w.MembersOut[subject]; knows && now.Sub(w.at) <= silence {
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
type ErrLeader struct{ Addr string }

func (e *ErrLeader) Error() string {
	if e.Addr == "" {
		return "no keeper leads just now: most of them are not in contact"
	}
	return "the keeper at " + e.Addr + " leads"
}

// Do carries a command through the log and returns its answer, which most keepers hold then. It fails with ErrLeader at a
// keeper that does not lead, and if most keepers can't be reached in time: then the same command may be sent again.
func (k *Keeper) Do(c permit.Command) (a permit.Result, err error) {
	c.Observations = nil
	if c.Kind == permit.Acquire || c.Kind == permit.Begin || c.Kind == permit.Observe {
		if k.raft.State() != raft.Leader {
			return a, k.elsewhere()
		}
		c.Observations = k.seen()
		_, c.RejectedShare = k.words()
	}
	r, err := k.apply(&entry{Command: c})
	if err == nil {
		var is bool
		if a, is = r.(permit.Result); !is {
			err = ErrBroken
		}
	}
	return a, err
}

// apply carries an entry through the log.
func (k *Keeper) apply(e *entry) (any, error) {
	b, err := seal(e)
	if err != nil {
		return nil, err
	}
	f := k.raft.Apply(b, applyWait)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) || errors.Is(err, raft.ErrLeadershipTransferInProgress) {
			return nil, k.elsewhere()
		}
		return nil, fmt.Errorf("keeper: %w", err)
	}
	if err, is := f.Response().(error); is {
		return nil, err
	}
	return f.Response(), nil
}

// Release carries a command on versions and releases through the log, as Do does. A plan is for the roster as it stands.
func (k *Keeper) Release(c release.Command) (a release.Result, err error) {
	c.Servers = nil
	if c.Kind == release.PlanRelease {
		if k.raft.State() != raft.Leader {
			return a, k.elsewhere()
		}
		k.fsm.mu.Lock()
		for _, s := range k.fsm.s.Servers {
			c.Servers = append(c.Servers, release.Server{Name: s.Name, Zone: s.Zone})
		}
		k.fsm.mu.Unlock()
	}
	r, err := k.apply(&entry{Release: &c})
	if err == nil {
		var is bool
		if a, is = r.(release.Result); !is {
			err = ErrBroken
		}
	}
	return a, err
}

// lookEvery is how often a leader looks at a release that goes on.
const lookEvery = 1500 * time.Millisecond

// look has a release of a track go on by what is seen. passed is the time since this leader's last look, nothing if there was none: what
// passed while another led, or while this process did not run, is not known.
func (k *Keeper) look(track release.Track, passed time.Duration) error {
	k.fsm.mu.Lock()
	r := k.fsm.books[track].Release
	active := r != nil && r.Phase.Active()
	halted, wary := k.fsm.s.HaltReason, k.fsm.s.AutoHaltReason
	k.fsm.mu.Unlock()
	if !active {
		return nil
	}
	c := release.Command{Kind: release.Observe, Track: track, ElapsedMS: float64(passed) / 1e6, HaltReason: halted, AutoHaltReason: wary}
	now := time.Now()
	k.mu.Lock()
	k.awake()
	for name, w := range k.heard {
		if w.Release != nil && now.Sub(w.at) <= silence {
			s := *w.Release
			if track == release.Program {
				s = w.Release.ForProgram()
			}
			s.Name, s.Incarnation = name, w.Incarnation
			c.Reports = append(c.Reports, s)
		}
	}
	k.marks++
	c.ID = fmt.Sprintf("look-%s-%d-%d", k.o.Name, now.UnixNano(), k.marks)
	k.mu.Unlock()
	slices.SortFunc(c.Reports, func(a, b release.Report) int { return cmp.Compare(a.Name, b.Name) })
	_, err := k.apply(&entry{Release: &c})
	return err
}

// version is one that is kept.
func (k *Keeper) version(track release.Track, number uint64) *release.Version {
	k.fsm.mu.Lock()
	defer k.fsm.mu.Unlock()
	if v := k.fsm.books[track].Version(number); v != nil {
		x := *v
		return &x
	}
	return nil
}

// releases is a copy of a book, without the bodies of its versions.
func (k *Keeper) releases(track release.Track) (*release.State, error) {
	k.fsm.mu.Lock()
	defer k.fsm.mu.Unlock()
	x := *k.fsm.books[track]
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
func (k *Keeper) Replace(out string, in Peer) error {
	if k.raft.State() != raft.Leader {
		return k.elsewhere()
	}
	if out == k.o.Name {
		return fmt.Errorf("keeper: %s leads; it is replaced once another does", out)
	}
	if out != "" {
		if err := k.raft.RemoveServer(raft.ServerID(out), 0, applyWait).Error(); err != nil {
			return fmt.Errorf("keeper: %w", err)
		}
	}
	if in.Name == "" {
		return nil
	}
	if err := k.raft.AddVoter(raft.ServerID(in.Name), raft.ServerAddress(in.Raft), 0, applyWait).Error(); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	return nil
}

func (k *Keeper) elsewhere() error {
	_, id := k.raft.LeaderWithID()
	for _, p := range k.o.Peers {
		if p.Name == string(id) && p.Name != k.o.Name {
			return &ErrLeader{p.HTTP}
		}
	}
	return &ErrLeader{}
}

// State returns a copy of all that is agreed on, as of a moment after the call: it asks most keepers whether this one leads.
func (k *Keeper) State() (*permit.State, []permit.Observation, error) {
	if err := k.raft.VerifyLeader().Error(); err != nil {
		return nil, nil, k.elsewhere()
	}
	if err := k.raft.Barrier(applyWait).Error(); err != nil {
		return nil, nil, k.elsewhere()
	}
	k.fsm.mu.Lock()
	b, err := json.Marshal(k.fsm.s)
	k.fsm.mu.Unlock()
	s := permit.New()
	if err == nil {
		err = json.Unmarshal(b, s)
	}
	return s, k.seen(), err
}

// Leads tells whether this keeper takes itself for the leader.
func (k *Keeper) Leads() bool { return k.raft.State() == raft.Leader }

// Close ends it; its log stays.
func (k *Keeper) Close() {
	k.end.Do(func() {
		close(k.over)
		if k.raft != nil {
			k.raft.Shutdown().Error()
		}
		if k.trans != nil {
			k.trans.Close()
		}
		k.wg.Wait()
		if k.store != nil {
			k.store.Close()
		}
	})
}
