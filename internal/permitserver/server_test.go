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

// TestMain runs a replica if the first argument is "keep": the tests start their own executable for the replica processes.
func TestMain(m *testing.M) {
	if len(os.Args) > 3 && os.Args[1] == "keep" {
		o := Options{Name: os.Args[2], DataDir: os.Args[3], Bootstrap: os.Args[4] == "new", Log: logrus.NewEntry(logrus.New()), snapshotThreshold: 40}
		listen := ""
		for _, text := range os.Args[5:] {
			fields := strings.Split(text, ",")
			o.Peers = append(o.Peers, Peer{fields[0], fields[1], fields[2]})
			if fields[0] == o.Name {
				listen = fields[2]
			}
		}
		replica, err := Start(o)
		if err == nil {
			var ln net.Listener
			if ln, err = net.Listen("tcp", listen); err == nil {
				err = replica.Serve(ln)
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

// freeAddress returns an unused address. It has a loopback IP address of its own, because clients on 127.0.0.1 may take any free
// port there.
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

// processCluster is a cluster of three replicas, each a process of its own, and a client of it.
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

// run starts the process of a replica. mode is "new" for its first start.
func (s *processCluster) run(name, mode string) {
	args := []string{"keep", name, filepath.Join(s.dir, name), mode}
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
		_ = c.Process.Signal(syscall.SIGCONT) // fails if the process has ended
		_ = c.Process.Kill()                  // likewise
		_ = c.Wait()                          // the error is that it was killed
		delete(s.procs, name)
	}
}

func (s *processCluster) signal(name string, sig syscall.Signal) {
	if c := s.procs[name]; c != nil {
		if err := c.Process.Signal(sig); err != nil {
			s.Errorf("signal %v to %s: %v", sig, name, err)
		}
	}
}

const waitLimit = 30 * time.Second

func (s *processCluster) do(c permit.Command) permit.Result {
	s.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	result, err := s.Do(ctx, c)
	if err != nil {
		s.Fatalf("command %+v: %v", c, err)
	}
	return result
}

func (s *processCluster) state() permitclient.Status {
	s.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	status, err := s.State(ctx)
	if err != nil {
		s.Fatal(err)
	}
	return status
}

// setRoster configures a roster of n servers and the limit of permits.
func (s *processCluster) setRoster(n, limit int) {
	var servers []permit.Server
	for i := range n {
		servers = append(servers, permit.Server{Name: fmt.Sprint("n", i)})
	}
	if result := s.do(permit.Command{ID: "set", Kind: permit.Configure, Servers: servers, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: float64(limit)}}}); !result.OK {
		s.Fatalf("configure the roster: result %+v", result)
	}
}

// sendHeartbeats sends periodic heartbeats from n servers that are in service, until the returned function is called.
func (s *processCluster) sendHeartbeats(n int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				attempt, done := context.WithTimeout(ctx, 2*time.Second)
				_, _ = s.Heartbeat(attempt, permitclient.Heartbeat{Name: fmt.Sprint("n", i), Incarnation: 1}) // fails while there is no leader; the next heartbeat follows soon
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

// acquire repeats the request until a permit is granted: servers count as out of service until their first heartbeat.
func (s *processCluster) acquire(name, id string) permit.Result {
	s.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if result := s.do(permit.Command{ID: id + time.Now().String(), Kind: permit.Acquire, Subject: name, Actor: id, Incarnation: 1}); result.OK {
			return result
		}
	}
	s.Fatalf("acquire for %s: no permit was granted in time", name)
	return permit.Result{}
}

// A permit must survive the loss of the leader and of all replicas, and a retried command must have the same result. No permit
// is granted before the first heartbeats, because a server without a heartbeat counts as out of service.
func TestPermitsSurviveRestarts(t *testing.T) {
	s := startProcesses(t)
	s.setRoster(4, 1)
	if result := s.do(permit.Command{ID: "early", Kind: permit.Acquire, Subject: "n0", Actor: "x", Incarnation: 1}); result.OK {
		t.Errorf("acquire before any heartbeat was granted: %+v", result)
	}
	stopHeartbeats := s.sendHeartbeats(4)
	defer stopHeartbeats()
	result := s.acquire("n0", "x")
	s.kill(s.state().Leader)
	if b := s.do(permit.Command{ID: "second", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1}); b.OK {
		t.Errorf("second permit granted over the limit: %+v", b)
	}
	if b := s.do(permit.Command{ID: "second", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1}); b.OK {
		t.Errorf("retry of the denied command was granted: %+v", b)
	}
	for _, p := range s.replicas {
		s.kill(p.Name)
	}
	for _, p := range s.replicas {
		s.run(p.Name, "old")
	}
	if permits := s.state().State.Granted(); len(permits) != 1 || permits[0].ID != result.PermitID || permits[0].Subject != "n0" {
		t.Errorf("permits after the restart of all replicas: %+v, want the first one", permits)
	}
	if b := s.do(permit.Command{ID: "unused", Kind: permit.Return, Subject: "n0", PermitID: result.PermitID, Incarnation: 1}); !b.OK {
		t.Errorf("return of the permit: %+v", b)
	}
	s.acquire("n2", "z")
}

// A leader without a majority must not grant a permit. When the other replicas continue, all replicas agree on one order of
// commands, and only one permit is granted.
func TestMinorityGrantsNothing(t *testing.T) {
	s := startProcesses(t)
	s.setRoster(3, 1)
	stopHeartbeats := s.sendHeartbeats(3)
	defer stopHeartbeats()
	leader := s.state().Leader
	result := s.acquire("n0", "x")
	if b := s.do(permit.Command{ID: "back", Kind: permit.Return, Subject: "n0", PermitID: result.PermitID, Incarnation: 1}); !b.OK {
		t.Fatalf("return of the permit: %+v", b)
	}
	for _, p := range s.replicas {
		if p.Name != leader {
			s.signal(p.Name, syscall.SIGSTOP)
		}
	}
	ctx, done := context.WithTimeout(context.Background(), 4*time.Second)
	defer done()
	if b, err := s.Do(ctx, permit.Command{ID: "minority", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1}); err == nil && b.OK {
		t.Errorf("granted without a majority: %+v", b)
	}
	for _, p := range s.replicas {
		s.signal(p.Name, syscall.SIGCONT)
	}
	// The command may or may not be in the log of the new leader. The retry returns its result, and it is applied only once.
	if b := s.do(permit.Command{ID: "minority", Kind: permit.Acquire, Subject: "n1", Actor: "y", Incarnation: 1}); b.OK {
		if b := s.do(permit.Command{ID: "back too", Kind: permit.Return, Subject: "n1", PermitID: b.PermitID, Incarnation: 1}); !b.OK {
			t.Errorf("return of the permit: %+v", b)
		}
	}
	s.acquire("n2", "z")
	if permits := s.state().State.Granted(); len(permits) != 1 {
		t.Errorf("permits: got %+v, want one", permits)
	}
}

// A replica that lost its disk must not start again under its name, since it could vote twice in a term. A replica that kept its
// disk has its state after a restart.
func TestLostDisk(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	peers := []Peer{{"k0", freeAddress(t), freeAddress(t)}}
	dir := t.TempDir()
	if _, err := Start(Options{Name: "k0", Peers: peers, DataDir: dir, Log: discardLog()}); !errors.Is(err, errNoLog) {
		t.Errorf("start without a log: got error %v, want errNoLog", err)
	}
	replica, err := Start(Options{Name: "k0", Peers: peers, DataDir: dir, Bootstrap: true, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); !replica.IsLeader() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if result, err := replica.Do(permit.Command{ID: "1", Kind: permit.Halt, Actor: "me", Reason: "test"}); err != nil || !result.OK {
		t.Errorf("halt: result %+v, error %v", result, err)
	}
	replica.Close()
	if replica, err = Start(Options{Name: "k0", Peers: peers, DataDir: dir, Log: discardLog()}); err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if state, _, err := replica.State(); err == nil {
			if state.HaltReason != "test" {
				t.Errorf("state after the restart: got %+v, want the halt", state)
			}
			break
		}
	}
	for name, bad := range map[string]Options{"started with an even number of peers": {Name: "k0", Peers: append(peers, Peer{Name: "k1"})}, "started with a name that is not among the peers": {Name: "x", Peers: peers}} {
		if _, err := Start(bad); err == nil {
			t.Error(name)
		}
	}
}

// exchange is one command of a history, or its result.
type exchange struct {
	command permit.Command
	result  permit.Result
}

// The history of several clients is linearizable while replicas are killed, suspended and restarted: no permit is granted over the
// limit, and none is granted twice for one subject.
func TestLinearizable(t *testing.T) {
	const limit, servers = 2, 4
	s := startProcesses(t)
	s.setRoster(servers, limit)
	stopHeartbeats := s.sendHeartbeats(servers)
	defer stopHeartbeats()
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
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	granted := 0
	for client := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			random := rand.New(rand.NewSource(int64(client)))
			permits := map[string]uint64{}
			for i := 0; time.Since(start) < 8*time.Second; i++ {
				c := permit.Command{ID: fmt.Sprint(client, "-", i), Actor: fmt.Sprint("c", client), Incarnation: 1, Subject: fmt.Sprint("n", random.Intn(servers)), Kind: permit.Acquire}
				if p := permits[c.Subject]; p != 0 {
					c.Kind, c.PermitID = permit.Return, p
				}
				call := time.Since(start)
				ctx, done := context.WithTimeout(context.Background(), waitLimit)
				result, err := s.Do(ctx, c)
				done()
				if err != nil {
					t.Errorf("command %+v: %v", c, err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: exchange{command: c}, Output: exchange{result: result}, Call: int64(call), Return: int64(time.Since(start))})
				if c.Kind == permit.Acquire && result.OK {
					granted++
					permits[c.Subject] = result.PermitID
				} else if c.Kind == permit.Return && result.OK {
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
	// The model's state is the holder of each permit, as sorted text. A denial is always allowed and changes nothing, because the
	// model does not contain which servers are reachable.
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			permits := map[string]string{}
			for _, field := range strings.Fields(state.(string)) {
				name, id, _ := strings.Cut(field, "=")
				permits[name] = id
			}
			c, result := in.(exchange).command, out.(exchange).result
			id := fmt.Sprint(result.PermitID, ":", c.Actor)
			switch {
			case !result.OK:
				return true, state
			case c.Kind == permit.Acquire:
				if holder, held := permits[c.Subject]; held && holder != id || !held && len(permits) >= limit {
					return false, state
				}
				permits[c.Subject] = id
			case c.Kind == permit.Return:
				if permits[c.Subject] != fmt.Sprint(c.PermitID, ":", c.Actor) {
					return result.Reason != "", state // the result reports that the permit was not held
				}
				delete(permits, c.Subject)
			}
			var holders []string
			for name, id := range permits {
				holders = append(holders, name+"="+id)
			}
			sort.Strings(holders)
			return true, strings.Join(holders, " ")
		},
	}
	t.Logf("%d calls, %d grants", len(history), granted)
	if granted < 20 {
		t.Errorf("grants: got %d, want at least 20 for a meaningful history", granted)
	}
	if check := porcupine.CheckOperationsTimeout(model, history, 30*time.Second); check != porcupine.Ok {
		t.Errorf("linearizability check: got %v, want Ok", check)
	}
}
