package permitserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/testbed"
)

// localCluster is a cluster of three replicas in this process, connected through relays.
type localCluster struct {
	*testing.T
	network   *testbed.Network
	peers     []Peer
	servers   []*Server
	dirs      []string
	diskDelay time.Duration // of each log write of the first replica
}

func newLocalCluster(t *testing.T, diskDelay time.Duration) *localCluster {
	t.Helper()
	names := []string{"k0", "k1", "k2"}
	n, err := testbed.NewNetwork(1, names...)
	if err != nil {
		t.Fatal(err)
	}
	cluster := &localCluster{T: t, network: n, diskDelay: diskDelay}
	for _, name := range names {
		cluster.peers, cluster.dirs = append(cluster.peers, Peer{Name: name, RaftAddr: n.Endpoint(name).AdvertiseAddr()}), append(cluster.dirs, t.TempDir())
	}
	for i := range names {
		cluster.servers = append(cluster.servers, nil)
		if err := cluster.start(i, true, false); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for _, replica := range cluster.servers {
			if replica != nil {
				replica.Close()
			}
		}
		n.Close()
	})
	return cluster
}

func (c *localCluster) start(i int, fresh, join bool) (err error) {
	o := Options{Name: c.peers[i].Name, Peers: c.peers[:3], Bind: c.network.Endpoint(c.peers[i].Name).ListenAddr(), DataDir: c.dirs[i], Bootstrap: fresh, Join: join, Log: discardLog(), snapshotThreshold: 40}
	if i == 0 && c.diskDelay > 0 {
		o.wrapLog = func(l raft.LogStore) raft.LogStore { return delayedLog{LogStore: l, delay: c.diskDelay} }
	}
	if c.servers[i], err = Start(o); err != nil {
		c.servers[i] = nil
	}
	return err
}

// delayedLog is a log on a slow disk: it delays each write.
type delayedLog struct {
	raft.LogStore
	delay time.Duration
}

func (l delayedLog) StoreLog(e *raft.Log) error { return l.StoreLogs([]*raft.Log{e}) }

func (l delayedLog) StoreLogs(e []*raft.Log) error {
	time.Sleep(l.delay)
	return l.LogStore.StoreLogs(e)
}

// leader waits until one of the given replicas is the leader and can commit, and returns its index.
func (c *localCluster) leader(among ...int) int {
	c.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, i := range among {
			if replica := c.servers[i]; replica != nil && replica.IsLeader() {
				if _, _, err := replica.State(); err == nil {
					return i
				}
			}
		}
	}
	c.Fatal("none of the replicas became the leader in time")
	return 0
}

// sendHeartbeats sends one heartbeat from each of n servers to a replica.
func sendHeartbeats(replica *Server, n int) {
	for i := range n {
		replica.Heartbeat(permitclient.Heartbeat{Name: fmt.Sprint("n", i), Incarnation: 1})
	}
}

// setRoster configures a roster of n servers with a limit of one permit.
func (c *localCluster) setRoster(n int) {
	c.Helper()
	var servers []permit.Server
	for i := range n {
		servers = append(servers, permit.Server{Name: fmt.Sprint("n", i)})
	}
	if result, err := c.servers[c.leader(0, 1, 2)].Do(permit.Command{ID: "set", Kind: permit.Configure, Servers: servers, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}}}); err != nil || !result.OK {
		c.Fatalf("configure the roster: result %+v, error %v", result, err)
	}
}

// A leader that is partitioned in one or both directions must not grant a permit that the new leader also grants. The old leader
// gets a request while it still considers itself the leader, and only one of the two requests may be granted.
func TestPartitionedLeader(t *testing.T) {
	for _, direction := range []string{"both", "out", "in"} {
		t.Run(direction, func(t *testing.T) {
			t.Parallel()
			cluster := newLocalCluster(t, 0)
			cluster.setRoster(3)
			oldLeader := cluster.leader(0, 1, 2)
			sendHeartbeats(cluster.servers[oldLeader], 3)
			var rest []int
			name := cluster.peers[oldLeader].Name
			for i := range cluster.servers {
				if i != oldLeader {
					rest = append(rest, i)
				}
			}
			for _, i := range rest {
				if direction != "in" {
					cluster.network.UpdateRules("cut", []string{name}, []string{cluster.peers[i].Name}, func(r *testbed.Rule) { r.Cut = true })
				}
				if direction != "out" {
					cluster.network.UpdateRules("cut", []string{cluster.peers[i].Name}, []string{name}, func(r *testbed.Rule) { r.Cut = true })
				}
			}
			oldResult := make(chan permit.Result, 1)
			go func() { // sent at once, while the old leader still considers itself the leader
				result, err := cluster.servers[oldLeader].Do(permit.Command{ID: "old", Kind: permit.Acquire, Subject: "n0", Actor: "x", Incarnation: 1})
				if err != nil {
					result = permit.Result{}
				}
				oldResult <- result
			}()
			newLeader := cluster.leader(rest...)
			sendHeartbeats(cluster.servers[newLeader], 3)
			result, err := cluster.servers[newLeader].Do(permit.Command{ID: "new", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1})
			for i := 0; err != nil && i < 50; i++ {
				newLeader = cluster.leader(rest...)
				sendHeartbeats(cluster.servers[newLeader], 3)
				result, err = cluster.servers[newLeader].Do(permit.Command{ID: "new", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1})
			}
			if old := <-oldResult; result.OK == old.OK && result.OK {
				t.Errorf("both leaders granted the only permit: %+v and %+v", result, old)
			}
			cluster.network.Heal()
			state, _, err := cluster.servers[cluster.leader(0, 1, 2)].State()
			if err != nil || len(state.Granted()) != 1 {
				t.Errorf("permits after the partition: state %+v, error %v, want one permit", state, err)
			}
		})
	}
}

// A replica with a torn log must not start, since it could vote on the basis of lost entries. The other replicas continue, and a
// new replica under another name replaces it.
func TestTornLogAndReplacement(t *testing.T) {
	t.Parallel()
	cluster := newLocalCluster(t, 0)
	cluster.setRoster(3)
	for i := range 30 {
		replica := cluster.servers[cluster.leader(0, 1, 2)]
		sendHeartbeats(replica, 3)
		result, err := replica.Do(permit.Command{ID: fmt.Sprint("a", i), Kind: permit.Acquire, Subject: "n0", Actor: "x", Incarnation: 1})
		if err == nil && result.OK {
			if _, err := replica.Do(permit.Command{ID: fmt.Sprint("r", i), Kind: permit.Return, Subject: "n0", PermitID: result.PermitID, Incarnation: 1}); err != nil {
				t.Logf("permit %d was not returned: %v", result.PermitID, err)
			}
		}
	}
	lost := (cluster.leader(0, 1, 2) + 1) % 3
	cluster.servers[lost].Close()
	cluster.servers[lost] = nil
	path := filepath.Join(cluster.dirs[lost], "raft.db")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	torn, tried := 0, 0
	for name, bad := range map[string]func() []byte{
		"truncated":            func() []byte { return good[:4096*4] }, // cut early, because half of a file may be unused pages
		"truncated in a page":  func() []byte { return good[:4096*3+100] },
		"first 100 bytes only": func() []byte { return good[:100] },
		"pages overwritten": func() []byte {
			b := append([]byte(nil), good...)
			for i := 4096 * 2; i < len(b); i++ {
				b[i] ^= 0x5a
			}
			return b
		},
		"both meta pages overwritten": func() []byte {
			b := append([]byte(nil), good...)
			for i := range 8192 {
				b[i] = 0xff
			}
			return b
		},
	} {
		if err := os.WriteFile(path, bad(), 0o600); err != nil {
			t.Fatal(err)
		}
		tried++
		if err := cluster.start(lost, false, false); err == nil {
			t.Errorf("%s: replica started from a torn log", name)
			cluster.servers[lost].Close()
			cluster.servers[lost] = nil
		} else {
			torn++
		}
	}
	if torn != tried {
		t.Errorf("torn logs detected: got %d, want %d", torn, tried)
	}
	// The other replicas continue.
	replica := cluster.servers[cluster.leader((lost+1)%3, (lost+2)%3)]
	sendHeartbeats(replica, 3)
	if result, err := replica.Do(permit.Command{ID: "without", Kind: permit.Acquire, Subject: "n1", Actor: "x", Incarnation: 1}); err != nil || !result.OK {
		t.Errorf("acquire without the lost replica: result %+v, error %v", result, err)
	}
	// A new replica with an empty disk replaces the lost one.
	dir := t.TempDir()
	peer := Peer{Name: "k3", RaftAddr: cluster.peers[lost].RaftAddr}
	fresh, err := Start(Options{Name: "k3", Peers: []Peer{peer}, Bind: cluster.network.Endpoint(cluster.peers[lost].Name).ListenAddr(), DataDir: dir, Join: true, Log: discardLog(), snapshotThreshold: 40})
	if err != nil {
		t.Fatal(err)
	}
	defer fresh.Close()
	if err := replica.Replace(cluster.peers[lost].Name, peer); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); ; time.Sleep(20 * time.Millisecond) {
		fresh.machine.mu.Lock()
		_, ok := fresh.machine.permits.Permits["n1"]
		fresh.machine.mu.Unlock()
		if ok {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the new replica has not received the committed entries in time")
		}
	}
	// The new replica and one old replica form a majority, so the third may stop.
	for i, old := range cluster.servers {
		if old != nil && !old.IsLeader() {
			old.Close()
			cluster.servers[i] = nil
			break
		}
	}
	for end := time.Now().Add(waitLimit); ; time.Sleep(50 * time.Millisecond) {
		for _, replica := range append([]*Server{fresh}, cluster.servers...) {
			if replica != nil && replica.IsLeader() {
				if result, err := replica.Do(permit.Command{ID: "unused", Kind: permit.Free, Subject: "n1", Actor: "x", Reason: "test"}); err == nil && result.OK {
					return
				}
			}
		}
		if time.Now().After(end) {
			t.Fatal("the cluster with the new replica has not committed a command in time")
		}
	}
}

// A replica must close if an entry of its log was changed, or its state would diverge from that of the others. The test changes
// one byte of a command in the log of one replica.
func TestChangedEntry(t *testing.T) {
	t.Parallel()
	cluster := newLocalCluster(t, 0)
	cluster.setRoster(3)
	leader := cluster.leader(0, 1, 2)
	lost := (leader + 1) % 3
	for end := time.Now().Add(waitLimit); cluster.servers[lost].raft.LastIndex() < cluster.servers[leader].raft.AppliedIndex(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) { // the other two are a majority, so this replica may lag
			t.Fatal("the replica has not received the command in time")
		}
	}
	cluster.servers[lost].Close()
	cluster.servers[lost] = nil
	db, err := bbolt.Open(filepath.Join(cluster.dirs[lost], "raft.db"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	changed := 0
	err = db.Update(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				if i := strings.Index(string(v), `"kind":"set"`); i >= 0 {
					changed++
					v = append([]byte(nil), v...)
					v[i+9] = 'S'
					return b.Put(k, v)
				}
				return nil
			})
		})
	})
	if err == nil {
		err = db.Close()
	}
	if err != nil || changed == 0 {
		t.Fatalf("change the log: error %v, %d entries changed", err, changed)
	}
	if err := cluster.start(lost, false, false); err != nil {
		t.Fatal(err) // the file itself is intact; the changed entry is detected when it is applied
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- cluster.servers[lost].Serve(ln) }()
	select {
	case err := <-served:
		if !errors.Is(err, ErrCorruptLog) {
			t.Errorf("serve: got error %v, want ErrCorruptLog", err)
		}
	case <-time.After(waitLimit):
		t.Fatal("the replica still serves with a changed entry in its log")
	}
}

// A slow disk, with 300 ms for each write, must not cause a second grant of one permit, and each client must get a result or an
// error in bounded time.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	cluster := newLocalCluster(t, 300*time.Millisecond)
	cluster.setRoster(3)
	granted := 0
	for i := range 12 {
		replica := cluster.servers[cluster.leader(0, 1, 2)]
		sendHeartbeats(replica, 3)
		start := time.Now()
		result, err := replica.Do(permit.Command{ID: fmt.Sprint("a", i), Kind: permit.Acquire, Subject: fmt.Sprint("n", i%3), Actor: "x", Incarnation: 1})
		if elapsed := time.Since(start); elapsed > applyTimeout+2*time.Second {
			t.Errorf("a request took %s", elapsed)
		}
		if err == nil && result.OK {
			granted++
		}
		state, _, err := cluster.servers[cluster.leader(0, 1, 2)].State()
		if err == nil && len(state.Granted()) > 1 {
			t.Fatalf("granted permits: got %+v, want at most one", state.Granted())
		}
		if err == nil {
			for _, p := range state.Granted() {
				if _, err := replica.Do(permit.Command{ID: fmt.Sprint("r", i, " ", p.ID), Kind: permit.Return, Subject: p.Subject, PermitID: p.ID, Incarnation: 1}); err != nil {
					t.Logf("permit %d was not returned: %v", p.ID, err)
				}
			}
		}
	}
	if granted == 0 {
		t.Error("no permit was granted")
	}
}

// If 300 servers request the only permit at the same time, exactly one of them gets it and each gets a result.
func TestConcurrentAcquire(t *testing.T) {
	const servers = 300
	s := startProcesses(t)
	s.setRoster(servers, 1)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	stop := s.sendHeartbeats(servers)
	defer stop()
	for until := time.Now().Add(waitLimit); len(s.state().Observations) > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the leader has not received heartbeats from all servers in time")
		}
	}
	results := make(chan permit.Result, servers)
	for i := range servers {
		go func() {
			result, err := s.Do(ctx, permit.Command{ID: fmt.Sprint("all", i), Kind: permit.Acquire, Subject: fmt.Sprint("n", i), Actor: "x", Incarnation: 1})
			if err != nil {
				t.Errorf("acquire for n%d: %v", i, err)
			}
			results <- result
		}()
	}
	granted := 0
	for range servers {
		if result := <-results; result.OK {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("grants: got %d, want 1", granted)
	}
}
