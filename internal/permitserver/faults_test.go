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

// localCluster is three replicas in this process with relays between them.
type localCluster struct {
	*testing.T
	network   *testbed.Network
	peers     []Peer
	servers   []*Server
	dirs      []string
	diskDelay time.Duration // of the first replica
}

func newLocalCluster(t *testing.T, slow time.Duration) *localCluster {
	t.Helper()
	names := []string{"k0", "k1", "k2"}
	n, err := testbed.NewNetwork(1, names...)
	if err != nil {
		t.Fatal(err)
	}
	x := &localCluster{T: t, network: n, diskDelay: slow}
	for _, name := range names {
		x.peers, x.dirs = append(x.peers, Peer{Name: name, RaftAddr: n.Endpoint(name).AdvertiseAddr()}), append(x.dirs, t.TempDir())
	}
	for i := range names {
		x.servers = append(x.servers, nil)
		if err := x.start(i, true, false); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for _, k := range x.servers {
			if k != nil {
				k.Close()
			}
		}
		n.Close()
	})
	return x
}

func (x *localCluster) start(i int, fresh, join bool) (err error) {
	o := Options{Name: x.peers[i].Name, Peers: x.peers[:3], Bind: x.network.Endpoint(x.peers[i].Name).ListenAddr(), DataDir: x.dirs[i], Bootstrap: fresh, Join: join, Log: discardLog(), snapshotThreshold: 40}
	if i == 0 && x.diskDelay > 0 {
		o.wrapLog = func(l raft.LogStore) raft.LogStore { return delayedLog{LogStore: l, delay: x.diskDelay} }
	}
	if x.servers[i], err = Start(o); err != nil {
		x.servers[i] = nil
	}
	return err
}

// delayedLog is a log on a slow disk: each write takes longer by delay.
type delayedLog struct {
	raft.LogStore
	delay time.Duration
}

func (l delayedLog) StoreLog(e *raft.Log) error { return l.StoreLogs([]*raft.Log{e}) }

func (l delayedLog) StoreLogs(e []*raft.Log) error {
	time.Sleep(l.delay)
	return l.LogStore.StoreLogs(e)
}

// leader waits until one of some replicas leads and can commit.
func (x *localCluster) leader(among ...int) int {
	x.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, i := range among {
			if k := x.servers[i]; k != nil && k.IsLeader() {
				if _, _, err := k.State(); err == nil {
					return i
				}
			}
		}
	}
	x.Fatal("nobody leads")
	return 0
}

// sendHeartbeats has all servers report to a replica.
func sendHeartbeats(k *Server, n int) {
	for i := range n {
		k.Heartbeat(permitclient.Heartbeat{Name: fmt.Sprint("n", i), Incarnation: 1})
	}
}

func (x *localCluster) roster(n int) {
	x.Helper()
	var all []permit.Server
	for i := range n {
		all = append(all, permit.Server{Name: fmt.Sprint("n", i)})
	}
	if a, err := x.servers[x.leader(0, 1, 2)].Do(permit.Command{ID: "set", Kind: permit.Configure, Servers: all, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}}}); err != nil || !a.OK {
		x.Fatalf("%+v %v", a, err)
	}
}

// A partitioned leader, both ways or one way only, grants nothing from then on; the others grant the place once.
func TestLeaderCutOff(t *testing.T) {
	for _, way := range []string{"both", "out", "in"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			x := newLocalCluster(t, 0)
			x.roster(3)
			was := x.leader(0, 1, 2)
			sendHeartbeats(x.servers[was], 3)
			var rest []int
			name := x.peers[was].Name
			for i := range x.servers {
				if i != was {
					rest = append(rest, i)
				}
			}
			for _, i := range rest {
				if way != "in" {
					x.network.UpdateRules("cut", []string{name}, []string{x.peers[i].Name}, func(r *testbed.Rule) { r.Cut = true })
				}
				if way != "out" {
					x.network.UpdateRules("cut", []string{x.peers[i].Name}, []string{name}, func(r *testbed.Rule) { r.Cut = true })
				}
			}
			old := make(chan permit.Result, 1)
			go func() { // requested at once, while it takes itself for the leader
				a, err := x.servers[was].Do(permit.Command{ID: "old", Kind: permit.Acquire, Subject: "n0", Actor: "x", Incarnation: 1})
				if err != nil {
					a = permit.Result{}
				}
				old <- a
			}()
			now := x.leader(rest...)
			sendHeartbeats(x.servers[now], 3)
			a, err := x.servers[now].Do(permit.Command{ID: "new", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1})
			for i := 0; err != nil && i < 50; i++ {
				now = x.leader(rest...)
				sendHeartbeats(x.servers[now], 3)
				a, err = x.servers[now].Do(permit.Command{ID: "new", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1})
			}
			if b := <-old; a.OK == b.OK && a.OK {
				t.Errorf("two grants of one place: %+v and %+v", a, b)
			}
			x.network.Heal()
			st, _, err := x.servers[x.leader(0, 1, 2)].State()
			if err != nil || len(st.Granted()) != 1 {
				t.Errorf("%+v %v", st, err)
			}
		})
	}
}

// A replica whose log is torn does not start, and says so; the others go on; a new one under another name takes its place.
func TestTornLogAndReplacement(t *testing.T) {
	t.Parallel()
	x := newLocalCluster(t, 0)
	x.roster(3)
	for i := range 30 {
		k := x.servers[x.leader(0, 1, 2)]
		sendHeartbeats(k, 3)
		a, err := k.Do(permit.Command{ID: fmt.Sprint("a", i), Kind: permit.Acquire, Subject: "n0", Actor: "x", Incarnation: 1})
		if err == nil && a.OK {
			if _, err := k.Do(permit.Command{ID: fmt.Sprint("r", i), Kind: permit.Return, Subject: "n0", PermitID: a.PermitID, Incarnation: 1}); err != nil {
				t.Logf("permit %d is not returned: %v", a.PermitID, err)
			}
		}
	}
	lost := (x.leader(0, 1, 2) + 1) % 3
	x.servers[lost].Close()
	x.servers[lost] = nil
	path := filepath.Join(x.dirs[lost], "raft.db")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	torn, tried := 0, 0
	for name, bad := range map[string]func() []byte{
		"cut short":           func() []byte { return good[:4096*4] }, // half of a file may be pages that nothing uses
		"cut within a page":   func() []byte { return good[:4096*3+100] },
		"nothing but a start": func() []byte { return good[:100] },
		"pages overwritten": func() []byte {
			b := append([]byte(nil), good...)
			for i := 4096 * 2; i < len(b); i++ {
				b[i] ^= 0x5a
			}
			return b
		},
		"both heads overwritten": func() []byte {
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
		if err := x.start(lost, false, false); err == nil {
			t.Errorf("%s: it started", name)
			x.servers[lost].Close()
			x.servers[lost] = nil
		} else {
			torn++
		}
	}
	if torn != tried {
		t.Errorf("%d of %d torn logs found", torn, tried)
	}
	// The others go on.
	k := x.servers[x.leader((lost+1)%3, (lost+2)%3)]
	sendHeartbeats(k, 3)
	if a, err := k.Do(permit.Command{ID: "without", Kind: permit.Acquire, Subject: "n1", Actor: "x", Incarnation: 1}); err != nil || !a.OK {
		t.Errorf("%+v %v", a, err)
	}
	// A new replica in its place, with an empty disk.
	dir := t.TempDir()
	peer := Peer{Name: "k3", RaftAddr: x.peers[lost].RaftAddr}
	fresh, err := Start(Options{Name: "k3", Peers: []Peer{peer}, Bind: x.network.Endpoint(x.peers[lost].Name).ListenAddr(), DataDir: dir, Join: true, Log: discardLog(), snapshotThreshold: 40})
	if err != nil {
		t.Fatal(err)
	}
	defer fresh.Close()
	if err := k.Replace(x.peers[lost].Name, peer); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); ; time.Sleep(20 * time.Millisecond) {
		fresh.machine.mu.Lock()
		_, has := fresh.machine.permits.Permits["n1"]
		fresh.machine.mu.Unlock()
		if has {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the new keeper has not taken over what is agreed on")
		}
	}
	// With it, one of the old replicas may stop.
	for i, old := range x.servers {
		if old != nil && !old.IsLeader() {
			old.Close()
			x.servers[i] = nil
			break
		}
	}
	for end := time.Now().Add(waitLimit); ; time.Sleep(50 * time.Millisecond) {
		for _, k := range append([]*Server{fresh}, x.servers...) {
			if k != nil && k.IsLeader() {
				if a, err := k.Do(permit.Command{ID: "unused", Kind: permit.Free, Subject: "n1", Actor: "x", Reason: "test"}); err == nil && a.OK {
					return
				}
			}
		}
		if time.Now().After(end) {
			t.Fatal("the set with the new keeper does not agree on anything")
		}
	}
}

// One byte of one command changed in one replica's log: that replica closes, rather than diverge from the others.
func TestWrongEntry(t *testing.T) {
	t.Parallel()
	x := newLocalCluster(t, 0)
	x.roster(3)
	lead := x.leader(0, 1, 2)
	lost := (lead + 1) % 3
	for end := time.Now().Add(waitLimit); x.servers[lost].raft.LastIndex() < x.servers[lead].raft.AppliedIndex(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) { // two of three agree without it
			t.Fatal("the keeper never gets the command that it is to have wrongly")
		}
	}
	x.servers[lost].Close()
	x.servers[lost] = nil
	db, err := bbolt.Open(filepath.Join(x.dirs[lost], "raft.db"), 0o600, nil)
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
		t.Fatalf("%v, %d entries changed", err, changed)
	}
	if err := x.start(lost, false, false); err != nil {
		t.Fatal(err) // the file is complete, and the wrong entry is found when it is applied
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan error, 1)
	go func() { over <- x.servers[lost].Serve(ln) }()
	select {
	case err := <-over:
		if !errors.Is(err, ErrCorruptLog) {
			t.Errorf("error %v", err)
		}
	case <-time.After(waitLimit):
		t.Fatal("it goes on with an entry that is not what was written")
	}
}

// A disk that takes a third of a second for each write: while its replica leads all is slow, nothing is granted twice, and clients
// get a result or an error in bounded time.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	x := newLocalCluster(t, 300*time.Millisecond)
	x.roster(3)
	granted := 0
	for i := range 12 {
		k := x.servers[x.leader(0, 1, 2)]
		sendHeartbeats(k, 3)
		began := time.Now()
		a, err := k.Do(permit.Command{ID: fmt.Sprint("a", i), Kind: permit.Acquire, Subject: fmt.Sprint("n", i%3), Actor: "x", Incarnation: 1})
		if took := time.Since(began); took > applyTimeout+2*time.Second {
			t.Errorf("an answer after %s", took)
		}
		if err == nil && a.OK {
			granted++
		}
		st, _, err := x.servers[x.leader(0, 1, 2)].State()
		if err == nil && len(st.Granted()) > 1 {
			t.Fatalf("%+v", st.Granted())
		}
		if err == nil {
			for _, p := range st.Granted() {
				if _, err := k.Do(permit.Command{ID: fmt.Sprint("r", i, " ", p.ID), Kind: permit.Return, Subject: p.Subject, PermitID: p.ID, Incarnation: 1}); err != nil {
					t.Logf("permit %d is not returned: %v", p.ID, err)
				}
			}
		}
	}
	if granted == 0 {
		t.Error("nothing was granted")
	}
}

// Three hundred servers request at once: one place, one grant, and all get a result.
func TestAllAskAtOnce(t *testing.T) {
	const servers = 300
	s := startProcesses(t)
	s.roster(servers, 1)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	end := s.sendHeartbeats(servers)
	defer end()
	for until := time.Now().Add(waitLimit); len(s.state().Observations) > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("not all are heard")
		}
	}
	answers := make(chan permit.Result, servers)
	for i := range servers {
		go func() {
			a, err := s.Do(ctx, permit.Command{ID: fmt.Sprint("all", i), Kind: permit.Acquire, Subject: fmt.Sprint("n", i), Actor: "x", Incarnation: 1})
			if err != nil {
				t.Errorf("n%d: %v", i, err)
			}
			answers <- a
		}()
	}
	granted := 0
	for range servers {
		if a := <-answers; a.OK {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d grants of one place", granted)
	}
}
