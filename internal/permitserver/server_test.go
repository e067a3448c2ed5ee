package permitserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/permitclient"
)

// TestMain runs a replica if it was started as one: the processes of these tests are their own executable.
func TestMain(m *testing.M) {
	if len(os.Args) > 3 && os.Args[1] == "keep" {
		o := Options{Name: os.Args[2], DataDir: os.Args[3], Bootstrap: os.Args[4] == "new", Log: logrus.NewEntry(logrus.New()), snapshotThreshold: 40}
		listen := ""
		for _, s := range os.Args[5:] {
			f := strings.Split(s, ",")
			o.Peers = append(o.Peers, Peer{f[0], f[1], f[2]})
			if f[0] == o.Name {
				listen = f[2]
			}
		}
		k, err := Start(o)
		if err == nil {
			var ln net.Listener
			if ln, err = net.Listen("tcp", listen); err == nil {
				err = k.Serve(ln)
			}
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func discardLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l.WithField("keeper", "test")
}

// freeAddress returns an address that nobody listens on, of an IP address of its own: clients on 127.0.0.1 take ports there at any
// time.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+rand.Intn(200), rand.Intn(256), 1+rand.Intn(250)))
	if err != nil {
		t.Fatal(err)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	return ln.Addr().String()
}

// processCluster is three replicas as processes.
type processCluster struct {
	*testing.T
	replicas []Peer
	dir      string
	procs    map[string]*exec.Cmd
	*permitclient.Client
}

func startProcesses(t *testing.T) *processCluster {
	t.Helper()
	s := &processCluster{T: t, dir: t.TempDir(), procs: map[string]*exec.Cmd{}}
	var addrs []string
	for i := range 3 {
		p := Peer{fmt.Sprint("k", i), freeAddress(t), freeAddress(t)}
		s.replicas, addrs = append(s.replicas, p), append(addrs, p.HTTPAddr)
	}
	s.Client = permitclient.New(addrs)
	t.Cleanup(func() {
		s.Close()
		for name := range s.procs {
			s.kill(name)
		}
	})
	for _, p := range s.replicas {
		s.run(p.Name, "new")
	}
	return s
}

func (s *processCluster) run(name, how string) {
	args := []string{"keep", name, filepath.Join(s.dir, name), how}
	for _, p := range s.replicas {
		args = append(args, p.Name+","+p.RaftAddr+","+p.HTTPAddr)
	}
	c := exec.Command(os.Args[0], args...)
	if err := c.Start(); err != nil {
		s.Fatal(err)
	}
	s.procs[name] = c
}

func (s *processCluster) kill(name string) {
	if c := s.procs[name]; c != nil {
		_ = c.Process.Signal(syscall.SIGCONT) // it may have ended
		_ = c.Process.Kill()                  // likewise
		_ = c.Wait()                          // it returns that it was killed
		delete(s.procs, name)
	}
}

func (s *processCluster) signal(name string, x syscall.Signal) {
	if c := s.procs[name]; c != nil {
		if err := c.Process.Signal(x); err != nil {
			s.Errorf("signal %v to %s: %v", x, name, err)
		}
	}
}

const waitLimit = 30 * time.Second

func (s *processCluster) do(c permit.Command) permit.Result {
	s.Helper()
	ctx, end := context.WithTimeout(context.Background(), waitLimit)
	defer end()
	a, err := s.Do(ctx, c)
	if err != nil {
		s.Fatalf("%+v: %v", c, err)
	}
	return a
}

func (s *processCluster) state() permitclient.Status {
	s.Helper()
	ctx, end := context.WithTimeout(context.Background(), waitLimit)
	defer end()
	st, err := s.State(ctx)
	if err != nil {
		s.Fatal(err)
	}
	return st
}

func (s *processCluster) roster(n, limit int) {
	var all []permit.Server
	for i := range n {
		all = append(all, permit.Server{Name: fmt.Sprint("n", i)})
	}
	if a := s.do(permit.Command{ID: "set", Kind: permit.Configure, Servers: all, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: float64(limit)}}}); !a.OK {
		s.Fatalf("%+v", a)
	}
}

// sendHeartbeats has servers report again and again that they are in service, until end is called.
func (s *processCluster) sendHeartbeats(n int) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				one, done := context.WithTimeout(ctx, 2*time.Second)
				_, _ = s.Heartbeat(one, permitclient.Heartbeat{Name: fmt.Sprint("n", i), Incarnation: 1}) // without a leader, the next one counts
				done()
				select {
				case <-ctx.Done():
				case <-time.After(300 * time.Millisecond):
				}
			}
		}()
	}
	return func() { cancel(); wg.Wait() }
}

// acquire requests until a permit is granted: servers without a heartbeat yet count as out.
func (s *processCluster) acquire(name, id string) permit.Result {
	s.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a := s.do(permit.Command{ID: id + time.Now().String(), Kind: permit.Acquire, Subject: name, Actor: id, Incarnation: 1}); a.OK {
			return a
		}
	}
	s.Fatalf("%s got no permit", name)
	return permit.Result{}
}

// A server without a heartbeat is out; a permit outlives the leader, and the death of all replicas; a retried command has the same
// result.
func TestPermitsOutliveKeepers(t *testing.T) {
	s := startProcesses(t)
	s.roster(4, 1)
	if a := s.do(permit.Command{ID: "early", Kind: permit.Acquire, Subject: "n0", Actor: "x", Incarnation: 1}); a.OK {
		t.Errorf("nobody is heard, and n0 may go: %+v", a)
	}
	end := s.sendHeartbeats(4)
	defer end()
	a := s.acquire("n0", "x")
	s.kill(s.state().Leader)
	if b := s.do(permit.Command{ID: "second", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1}); b.OK {
		t.Errorf("two of one: %+v", b)
	}
	if b := s.do(permit.Command{ID: "second", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1}); b.OK {
		t.Errorf("the same again: %+v", b)
	}
	for _, p := range s.replicas {
		s.kill(p.Name)
	}
	for _, p := range s.replicas {
		s.run(p.Name, "old")
	}
	if permits := s.state().State.Granted(); len(permits) != 1 || permits[0].ID != a.PermitID || permits[0].Subject != "n0" {
		t.Errorf("%+v", permits)
	}
	if b := s.do(permit.Command{ID: "unused", Kind: permit.Return, Subject: "n0", PermitID: a.PermitID, Incarnation: 1}); !b.OK {
		t.Errorf("%+v", b)
	}
	s.acquire("n2", "z")
}

// A leader without a majority grants nothing; once the others are back there is one order of commands for all.
func TestMinorityGrantsNothing(t *testing.T) {
	s := startProcesses(t)
	s.roster(3, 1)
	end := s.sendHeartbeats(3)
	defer end()
	leader := s.state().Leader
	a := s.acquire("n0", "x")
	if b := s.do(permit.Command{ID: "back", Kind: permit.Return, Subject: "n0", PermitID: a.PermitID, Incarnation: 1}); !b.OK {
		t.Fatalf("%+v", b)
	}
	for _, p := range s.replicas {
		if p.Name != leader {
			s.signal(p.Name, syscall.SIGSTOP)
		}
	}
	ctx, done := context.WithTimeout(context.Background(), 4*time.Second)
	defer done()
	if b, err := s.Do(ctx, permit.Command{ID: "minority", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1}); err == nil && b.OK {
		t.Errorf("granted without the others: %+v", b)
	}
	for _, p := range s.replicas {
		s.signal(p.Name, syscall.SIGCONT)
	}
	// That command may be in the log that was elected, or not; sent again, it tells, and is applied once.
	if b := s.do(permit.Command{ID: "minority", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1}); b.OK {
		if b := s.do(permit.Command{ID: "back too", Kind: permit.Return, Subject: "n1", PermitID: b.PermitID, Incarnation: 1}); !b.OK {
			t.Errorf("%+v", b)
		}
	}
	s.acquire("n2", "z")
	if permits := s.state().State.Granted(); len(permits) != 1 {
		t.Errorf("%+v", permits)
	}
}

// A replica whose disk was lost does not come back under its name, and the log of a replica outlives it.
func TestLostDisk(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	peers := []Peer{{"k0", freeAddress(t), freeAddress(t)}}
	dir := t.TempDir()
	if _, err := Start(Options{Name: "k0", Peers: peers, DataDir: dir, Log: discardLog()}); !errors.Is(err, errNoLog) {
		t.Errorf("error %v", err)
	}
	k, err := Start(Options{Name: "k0", Peers: peers, DataDir: dir, Bootstrap: true, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); !k.IsLeader() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if a, err := k.Do(permit.Command{ID: "1", Kind: permit.Halt, Actor: "me", Reason: "test"}); err != nil || !a.OK {
		t.Errorf("%+v %v", a, err)
	}
	k.Close()
	if k, err = Start(Options{Name: "k0", Peers: peers, DataDir: dir, Log: discardLog()}); err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if st, _, err := k.State(); err == nil {
			if st.HaltReason != "test" {
				t.Errorf("%+v", st)
			}
			break
		}
	}
	for name, bad := range map[string]Options{"even": {Name: "k0", Peers: append(peers, Peer{Name: "k1"})}, "stranger": {Name: "x", Peers: peers}} {
		if _, err := Start(bad); err == nil {
			t.Error(name)
		}
	}
}

// exchange is one request of a history, and its result.
type exchange struct {
	command permit.Command
	result  permit.Result
}

// Histories of several clients, with replicas killed, stopped and started meanwhile, are linearizable: a permit is granted only
// while there is a place, and one subject's only once.
func TestLinearizable(t *testing.T) {
	const limit, servers = 2, 4
	s := startProcesses(t)
	s.roster(servers, limit)
	end := s.sendHeartbeats(servers)
	defer end()
	s.acquire("n0", "first")
	s.do(permit.Command{ID: "free0", Kind: permit.Free, Subject: "n0", Actor: "x", Reason: "test"})
	stop := make(chan struct{})
	var faults, clients sync.WaitGroup
	faults.Add(1)
	go func() {
		defer faults.Done()
		random := rand.New(rand.NewSource(1))
		for {
			name := s.replicas[random.Intn(3)].Name
			if random.Intn(2) == 0 {
				s.kill(name)
				s.run(name, "old")
			} else {
				s.signal(name, syscall.SIGSTOP)
				time.Sleep(700 * time.Millisecond)
				s.signal(name, syscall.SIGCONT)
			}
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	granted := 0
	for client := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			random := rand.New(rand.NewSource(int64(client)))
			permits := map[string]uint64{}
			for i := 0; time.Since(began) < 8*time.Second; i++ {
				c := permit.Command{ID: fmt.Sprint(client, "-", i), Actor: fmt.Sprint("c", client), Incarnation: 1, Subject: fmt.Sprint("n", random.Intn(servers)), Kind: permit.Acquire}
				if p := permits[c.Subject]; p != 0 {
					c.Kind, c.PermitID = permit.Return, p
				}
				call := time.Since(began)
				ctx, done := context.WithTimeout(context.Background(), waitLimit)
				a, err := s.Do(ctx, c)
				done()
				if err != nil {
					t.Errorf("%+v: %v", c, err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: exchange{command: c}, Output: exchange{result: a}, Call: int64(call), Return: int64(time.Since(began))})
				if c.Kind == permit.Acquire && a.OK {
					granted++
					permits[c.Subject] = a.PermitID
				} else if c.Kind == permit.Return && a.OK {
					delete(permits, c.Subject)
				}
				mu.Unlock()
				time.Sleep(time.Duration(random.Intn(30)) * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	close(stop)
	faults.Wait()
	// The state is who holds which permit, as sorted text. A denial changes nothing, and is always allowed: reachability is not in it.
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			permits := map[string]string{}
			for _, x := range strings.Fields(state.(string)) {
				name, id, _ := strings.Cut(x, "=")
				permits[name] = id
			}
			c, a := in.(exchange).command, out.(exchange).result
			id := fmt.Sprint(a.PermitID, ":", c.Actor)
			switch {
			case !a.OK:
				return true, state
			case c.Kind == permit.Acquire:
				if was, is := permits[c.Subject]; is && was != id || !is && len(permits) >= limit {
					return false, state
				}
				permits[c.Subject] = id
			case c.Kind == permit.Return:
				if permits[c.Subject] != fmt.Sprint(c.PermitID, ":", c.Actor) {
					return a.Reason != "", state // it reports that it was not held
				}
				delete(permits, c.Subject)
			}
			var all []string
			for name, id := range permits {
				all = append(all, name+"="+id)
			}
			sort.Strings(all)
			return true, strings.Join(all, " ")
		},
	}
	t.Logf("%d calls, %d grants", len(history), granted)
	if granted < 20 {
		t.Errorf("%d grants show too little", granted)
	}
	if got := porcupine.CheckOperationsTimeout(model, history, 30*time.Second); got != porcupine.Ok {
		t.Errorf("the history is %v", got)
	}
}
