// Package permitserver is one replica of the permit service: it replicates the commands of decision/permit and
// decision/release through a raft log (Ongaro and Ousterhout 2014, by hashicorp/raft), serves clients over HTTP, and as the
// leader tracks which servers are reachable. What is granted is decided by decision/permit, who leads and what is committed
// by raft. A replica must never answer from a copy that may be stale, nor count a server as in service that it has not heard
// from since it became the leader.
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

// Peer is one replica as all replicas are configured with it.
type Peer struct {
	Name     string // the same after a restart
	RaftAddr string // IP and port where the other replicas reach it
	HTTPAddr string // IP and port where clients reach it
}

// Options configure one replica.
type Options struct {
	Name      string // of this replica, among Peers
	Peers     []Peer // all replicas, this one included
	Bind      string // where it listens for the other replicas; "" for its RaftAddr
	DataDir   string // for the log and snapshots, on a disk that outlives the process
	Bootstrap bool   // first start of a new cluster: DataDir may be empty. A replica that lost its disk must not vote under its old name
	Join      bool   // first start of a replica that Replace adds to an existing cluster: DataDir may be empty
	Log       *logrus.Entry

	snapshotThreshold uint64                            // log entries between two snapshots; 0 for the default
	wrapLog           func(raft.LogStore) raft.LogStore // for tests; nil for the log as it is
}

const (
	maxPeers = 7
	// applyTimeout bounds the wait for a majority; a client retries with the same command ID.
	applyTimeout = 2 * time.Second
	// logName is the file in DataDir that holds the log.
	logName = "raft.db"
	// retainedSnapshots stay in DataDir.
	retainedSnapshots        = 2
	defaultSnapshotThreshold = 4096 // log entries
	// trailingLogs stay behind a snapshot for a replica that is a little late; one that is later gets the snapshot.
	trailingLogs = 1024
)

// The timing of raft: a lost leader is replaced within two seconds, and on one machine or between zones a heartbeat takes far
// less than these.
const (
	raftHeartbeatTimeout = 600 * time.Millisecond
	raftElectionTimeout  = 600 * time.Millisecond
	raftLeaderLease      = 400 * time.Millisecond
	raftCommitTimeout    = 20 * time.Millisecond
	raftSnapshotInterval = 10 * time.Second
	testSnapshotInterval = 200 * time.Millisecond // with a threshold of one's own
)

// ErrCorruptLog is returned by a replica whose log is not what was written: it closes, and the others go on.
var ErrCorruptLog = errors.New("keeper: its log is not what was written; it ends, and the others go on")

// errNoLog is a data directory without a log where one is expected.
var errNoLog = errors.New("the folder has no log: a new set of keepers begins with --new on each, and a keeper whose disk was lost comes back under a new name")

// Server is one replica. It may be used by many goroutines.
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
	heartbeats map[string]heartbeat // by server
	wasLeader  bool
	lastTick   time.Time
	commandSeq int // numbers the commands that this replica sends of its own
}

// Start opens a replica. It fails if the options are wrong, an address is taken, or DataDir is empty where it must not be.
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

// validate returns the replica's own peer.
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

// open opens the log, the snapshots and the transport, and starts raft. What it opened before an error is closed by Close.
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
		// One call in flight to each: the library's pipeline may wait for ever, the shutdown included, for a stalled stream.
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

// bootstrap writes the first configuration of a new cluster. A data directory without a log is an error without Bootstrap or
// Join.
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

// IsLeader reports whether this replica takes itself for the leader, which it may be no longer.
func (s *Server) IsLeader() bool { return s.raft.State() == raft.Leader }

// Close stops the replica and waits for its goroutines; its log stays.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		var errs []error
		if s.raft != nil {
			errs = append(errs, s.raft.Shutdown().Error())
		}
		if s.transport != nil {
			errs = append(errs, s.transport.Close())
			s.transport.stopHeartbeats() // before the log is closed
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
	Addr string // where the leader's clients connect; "" if it is unknown
}

// Error names the leader, for clients.
func (e *NotLeaderError) Error() string {
	if e.Addr == "" {
		return "no keeper leads just now: most of them are not in contact"
	}
	return "the keeper at " + e.Addr + " leads"
}

// notLeader returns the error that leads a client to the leader.
func (s *Server) notLeader() error {
	_, id := s.raft.LeaderWithID()
	for _, p := range s.options.Peers {
		if p.Name == string(id) && p.Name != s.options.Name {
			return &NotLeaderError{p.HTTPAddr}
		}
	}
	return &NotLeaderError{}
}

// Replace removes a replica from the cluster and adds another, in that order; either may be empty. A replica whose disk or
// machine is lost never votes again under its name. Only the leader can; the added replica is to run with Join.
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

// replacement is Replace as a client requests it.
func (s *Server) replacement(x *permitclient.Replacement) error {
	return s.Replace(x.Removed, Peer{Name: x.Added, RaftAddr: x.AddedRaftAddr})
}
