// Package permitserver implements one replica of the permit service. It replicates the commands of decision/permit and
// decision/release through a raft log (Ongaro and Ousterhout 2014; the implementation is hashicorp/raft), serves clients over
// HTTP, and as the leader tracks which servers are reachable. decision/permit decides on grants; raft elects the leader and
// commits entries. A replica must never answer a read from state that may be stale, and a leader must never count a server as
// in service before it has received a heartbeat from it.
package permitserver

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/permitclient"
)

// Peer is the address configuration of one replica. All replicas have the same list of peers.
type Peer struct {
	Name     string // unchanged by a restart
	RaftAddr string // IP and port for the other replicas
	HTTPAddr string // IP and port for clients
}

// Options configure one replica.
type Options struct {
	Name      string // of this replica; one of Peers
	Peers     []Peer // all replicas, including this one
	Bind      string // address to listen on for the other replicas; "" for the RaftAddr of this replica
	DataDir   string // for the log and snapshots, on a persistent disk
	Bootstrap bool   // first start of a new cluster: DataDir may be empty. Never set for a replica that lost its disk: it must not vote under its old name
	Join      bool   // first start of a replica that Replace adds to an existing cluster: DataDir may be empty
	Log       *logrus.Entry

	snapshotThreshold uint64                            // log entries between two snapshots; 0 for the default
	wrapLog           func(raft.LogStore) raft.LogStore // wraps the log store, for tests; nil for no wrapper
}

const (
	maxPeers = 7
	// applyTimeout bounds the wait for a majority to store an entry. A client then retries with the same command ID.
	applyTimeout = 2 * time.Second
	logName      = "raft.db" // file of the log in DataDir

	retainedSnapshots        = 2    // in DataDir
	defaultSnapshotThreshold = 4096 // log entries
	// trailingLogs is the number of log entries that are kept after a snapshot, for a replica that lags a little. A replica
	// that lags more receives the snapshot.
	trailingLogs = 1024
)

// Timing of raft. A failed leader is replaced within two seconds. A heartbeat on one machine or between zones takes far less
// time than these timeouts.
const (
	raftHeartbeatTimeout = 600 * time.Millisecond
	raftElectionTimeout  = 600 * time.Millisecond
	raftLeaderLease      = 400 * time.Millisecond
	raftCommitTimeout    = 20 * time.Millisecond
	raftSnapshotInterval = 10 * time.Second
	testSnapshotInterval = 200 * time.Millisecond // if Options.snapshotThreshold is set
)

// ErrCorruptLog is returned by a replica that finds a corrupt log entry. The replica closes; the other replicas continue.
var ErrCorruptLog = errors.New("keeper: its log is not what was written; it ends, and the others go on")

// errNoLog reports a data directory without a log, on a start with neither Bootstrap nor Join.
var errNoLog = errors.New("the folder has no log: a new set of keepers begins with --new on each, and a keeper whose disk was lost comes back under a new name")

// Server is one replica. It is safe for concurrent use.
type Server struct {
	options   Options
	raft      *raft.Raft
	store     *raftboltdb.BoltStore
	transport *gatedTransport
	machine   *stateMachine
	closed    chan struct{}
	closeOnce sync.Once
	running   sync.WaitGroup

	mu         sync.Mutex
	heartbeats map[string]heartbeat // latest, by server name
	wasLeader  bool
	lastTick   time.Time
	commandSeq int // number of commands that this replica issued itself
}

// Start opens a replica. It fails if an option is invalid, an address is in use, the log is corrupt, or DataDir is empty while
// neither Bootstrap nor Join is set.
func Start(o Options) (*Server, error) {
	own, err := o.validate()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	s := &Server{
		options:    o,
		machine:    newStateMachine(),
		closed:     make(chan struct{}),
		heartbeats: map[string]heartbeat{},
		lastTick:   time.Now(),
	}
	corrupt := make(chan struct{})
	s.machine.onCorrupt = func() { close(corrupt) }
	if err := s.open(own); err != nil {
		s.Close()
		return nil, err
	}
	s.running.Add(2)
	go s.watchLeadership(corrupt)
	go s.leaderLoop()
	return s, nil
}

// validate checks the options and returns the peer of this replica.
func (o *Options) validate() (own *Peer, err error) {
	for i := range o.Peers {
		if o.Peers[i].Name == o.Name {
			own = &o.Peers[i]
		}
	}
	if own == nil {
		return nil, fmt.Errorf("keeper: %q is none of the peers", o.Name)
	}
	if n := len(o.Peers); n%2 == 0 || n > maxPeers {
		return nil, fmt.Errorf("keeper: an odd number of peers up to %d expected, %d there", maxPeers, n)
	}
	return own, nil
}

// open opens the log, the snapshots and the transport, and starts raft. After an error, Close closes what was opened.
func (s *Server) open(own *Peer) error {
	o := &s.options
	path := filepath.Join(o.DataDir, logName)
	if err := verifyLog(path); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	var err error
	if s.store, err = raftboltdb.New(raftboltdb.Options{Path: path}); err != nil {
		return fmt.Errorf("keeper: %s: %w", o.DataDir, err)
	}
	discard := hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(o.DataDir, retainedSnapshots, discard)
	if err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	stream, err := listen(o.Bind, own.RaftAddr)
	if err != nil {
		return fmt.Errorf("keeper: listen on %s: %w", cmp.Or(o.Bind, own.RaftAddr), err)
	}
	s.transport = &gatedTransport{NetworkTransport: raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  stream,
		MaxPool: 3,
		// One call in flight to each replica, which disables pipelining: the library's pipeline may wait forever for a stalled
		// stream, also during shutdown.
		MaxRPCsInFlight: 1,
		Timeout:         time.Second,
		Logger:          discard,
	})}
	config := o.raftConfig(discard)
	if err := s.bootstrap(config, snapshots); err != nil {
		return err
	}
	var log raft.LogStore = s.store
	if o.wrapLog != nil {
		log = o.wrapLog(log)
	}
	if s.raft, err = raft.NewRaft(config, s.machine, log, s.store, snapshots, s.transport); err != nil {
		return fmt.Errorf("keeper: %s: %w", o.DataDir, err)
	}
	return nil
}

func (o *Options) raftConfig(log hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(o.Name)
	c.Logger = log
	c.HeartbeatTimeout = raftHeartbeatTimeout
	c.ElectionTimeout = raftElectionTimeout
	c.LeaderLeaseTimeout = raftLeaderLease
	c.CommitTimeout = raftCommitTimeout
	c.SnapshotThreshold = cmp.Or(o.snapshotThreshold, defaultSnapshotThreshold)
	c.SnapshotInterval = raftSnapshotInterval
	if o.snapshotThreshold > 0 {
		c.SnapshotInterval = testSnapshotInterval
	}
	c.TrailingLogs = min(c.SnapshotThreshold, trailingLogs)
	return c
}

// bootstrap writes the initial configuration of a new cluster. It returns errNoLog if the data directory has no log and neither
// Bootstrap nor Join is set.
func (s *Server) bootstrap(config *raft.Config, snapshots raft.SnapshotStore) error {
	o := &s.options
	exists, err := raft.HasExistingState(s.store, s.store, snapshots)
	if err != nil {
		return fmt.Errorf("keeper: %s: %w", o.DataDir, err)
	}
	if exists || o.Join {
		return nil
	}
	if !o.Bootstrap {
		return fmt.Errorf("keeper: %s: %w", o.DataDir, errNoLog)
	}
	var cluster raft.Configuration
	for _, p := range o.Peers {
		cluster.Servers = append(cluster.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.RaftAddr)})
	}
	if err := raft.BootstrapCluster(config, s.store, s.store, snapshots, s.transport, cluster); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	return nil
}

// IsLeader reports whether this replica considers itself the leader. Another replica may have been elected in the meantime.
func (s *Server) IsLeader() bool { return s.raft.State() == raft.Leader }

// Close stops the replica and waits for its goroutines. The log and the snapshots remain on disk.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		var errs []error
		if s.raft != nil {
			errs = append(errs, s.raft.Shutdown().Error())
		}
		if s.transport != nil {
			errs = append(errs, s.transport.Close())
			s.transport.stopHeartbeats() // before the log is closed, which heartbeats write to
		}
		s.running.Wait()
		if s.store != nil {
			errs = append(errs, s.store.Close())
		}
		if err := errors.Join(errs...); err != nil {
			s.options.Log.WithError(err).Warn("permitserver.close_failed")
		}
	})
}

// NotLeaderError is returned by a replica that is not the leader.
type NotLeaderError struct {
	Addr string // of the leader, for clients; "" if the leader is unknown
}

// Error returns the message for clients, with the leader's address.
func (e *NotLeaderError) Error() string {
	if e.Addr == "" {
		return "no keeper leads just now: most of them are not in contact"
	}
	return "the keeper at " + e.Addr + " leads"
}

// notLeader returns a NotLeaderError with the address of the leader, if it is known.
func (s *Server) notLeader() error {
	_, id := s.raft.LeaderWithID()
	for _, p := range s.options.Peers {
		if p.Name == string(id) && p.Name != s.options.Name {
			return &NotLeaderError{p.HTTPAddr}
		}
	}
	return &NotLeaderError{}
}

// Replace removes a replica from the cluster and then adds another; either may be empty. A replica whose disk or machine is
// lost must never vote again under its name. Only the leader can replace a replica. The added replica must run with Join.
func (s *Server) Replace(removed string, added Peer) error {
	if !s.IsLeader() {
		return s.notLeader()
	}
	if removed == s.options.Name {
		return fmt.Errorf("keeper: %s leads; it is replaced once another does", removed)
	}
	if removed != "" {
		if err := s.raft.RemoveServer(raft.ServerID(removed), 0, applyTimeout).Error(); err != nil {
			return fmt.Errorf("keeper: %w", err)
		}
	}
	if added.Name == "" {
		return nil
	}
	if err := s.raft.AddVoter(raft.ServerID(added.Name), raft.ServerAddress(added.RaftAddr), 0, applyTimeout).Error(); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	return nil
}

// applyReplacement calls Replace for a client's request.
func (s *Server) applyReplacement(r *permitclient.Replacement) error {
	return s.Replace(r.Removed, Peer{Name: r.Added, RaftAddr: r.AddedRaftAddr})
}
