package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/permitserver"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

// One of three may be out: a server that drains by a permit ends, another may not until the first is back and warm; a loss uses
// up the allowance; without keepers, and while halted, nothing begins.
func TestDrainsByPermit(t *testing.T) {
	n := serverNames(3)
	free := func() string {
		ln, err := net.Listen("tcp", place())
		if err != nil {
			t.Fatal(err)
		}
		addr := ln.Addr().String()
		if err := ln.Close(); err != nil {
			t.Fatal(err)
		}
		return addr
	}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	k, err := permitserver.Start(permitserver.Options{Name: "k0", Peers: []permitserver.Peer{{Name: "k0", RaftAddr: free()}}, DataDir: t.TempDir(), Bootstrap: true, Log: logrus.NewEntry(log)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	ln, err := net.Listen("tcp", place())
	if err != nil {
		t.Fatal(err)
	}
	serveClients(t, k, ln)
	b := started(t, testbed.Options{Names: n, Seed: 6, Cores: 2, PermitServers: []string{ln.Addr().String()}})
	client := permitclient.New([]string{ln.Addr().String()})
	t.Cleanup(client.Close)
	do := func(c permit.Command) {
		t.Helper()
		ctx, end := context.WithTimeout(context.Background(), within)
		defer end()
		c.ID = fmt.Sprint(time.Now().UnixNano())
		if a, err := client.Do(ctx, c); err != nil || !a.OK {
			t.Fatalf("%+v: %+v %v", c, a, err)
		}
	}
	do(permit.Command{Kind: permit.Configure, Servers: []permit.Server{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}}, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}}})
	drain := func(name string) error {
		ctx, end := context.WithTimeout(context.Background(), within)
		defer end()
		return fleet.RequestDrain(ctx, b.Socket(name), "who=me&why=test")
	}
	// until waits for a drain to begin: servers that the keeper has not heard since it leads count as out.
	until := func(name string) {
		t.Helper()
		var err error
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if err = drain(name); err == nil {
				return
			}
		}
		t.Fatalf("%s: %v", name, err)
	}
	gone := func(name string) {
		t.Helper()
		for end := time.Now().Add(within); b.Processes.Running(name); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s goes on", name)
			}
		}
	}
	do(permit.Command{Kind: permit.Halt, Actor: "me", Reason: "test"})
	if err := drain("n0"); err == nil || !strings.Contains(err.Error(), "halted") {
		t.Errorf("while halted: %v", err)
	}
	do(permit.Command{Kind: permit.Resume, Actor: "me"})
	until("n0")
	gone("n0")
	if err := drain("n1"); err == nil || !strings.Contains(err.Error(), "n0") {
		t.Errorf("with n0 out: %v", err)
	}
	if err := b.Processes.Start("n0"); err != nil {
		t.Fatal(err)
	}
	until("n1") // once n0 is back, warm, and has said so
	gone("n1")
	st, _, err := k.State()
	if err != nil {
		t.Fatal(err)
	}
	if held := st.Granted(); len(held) != 1 || held[0].Subject != "n1" || !held[0].Begun {
		t.Errorf("%+v", held)
	}
	if err := b.Processes.Start("n1"); err != nil {
		t.Fatal(err)
	}
	await(t, b, n, testbed.ExpectView("whole", 3))
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) { // it returns its permit by itself
		if st, _, err := k.State(); err == nil && len(st.Granted()) == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("n1 is back, and its permit is held")
		}
	}
	k.Close()
	if err := drain("n2"); err == nil {
		t.Error("begun without a keeper")
	}
	if !b.Processes.Running("n2") {
		t.Error("n2 has ended")
	}
}

// place is for a listener on an IP address of its own: what calls from 127.0.0.1 takes ports there at any time.
func place() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 2+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))
}

// serveClients serves a permit server's clients until the test ends, which closes it.
func serveClients(t *testing.T, server *permitserver.Server, ln net.Listener) {
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; err != nil {
			t.Errorf("permit server: %v", err)
		}
	})
}

// keepers are three in this process, and a client of theirs.
type keepers struct {
	*testing.T
	*permitclient.Client
	addrs []string
	all   []*permitserver.Server
	peers []permitserver.Peer
	dirs  []string
}

// lose ends all of them, and find starts them again on their folders.
func (k *keepers) lose() {
	for _, x := range k.all {
		x.Close()
	}
	k.all = nil
}

func (k *keepers) find() {
	k.Helper()
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	for i, p := range k.peers {
		x, err := permitserver.Start(permitserver.Options{Name: p.Name, Peers: k.peers, DataDir: k.dirs[i], Log: logrus.NewEntry(log)})
		if err != nil {
			k.Fatal(err)
		}
		k.Cleanup(x.Close)
		ln, err := net.Listen("tcp", p.HTTPAddr)
		if err != nil {
			k.Fatal(err)
		}
		serveClients(k.T, x, ln)
		k.all = append(k.all, x)
	}
}

func keep(t *testing.T) *keepers {
	t.Helper()
	k := &keepers{T: t}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	var peers []permitserver.Peer
	var lns []net.Listener
	for i := range 3 {
		var both [2]net.Listener
		for j := range both {
			ln, err := net.Listen("tcp", place())
			if err != nil {
				t.Fatal(err)
			}
			both[j] = ln
		}
		if err := both[0].Close(); err != nil {
			t.Fatal(err)
		}
		lns = append(lns, both[1])
		k.addrs = append(k.addrs, both[1].Addr().String())
		peers = append(peers, permitserver.Peer{Name: fmt.Sprint("k", i), RaftAddr: both[0].Addr().String(), HTTPAddr: both[1].Addr().String()})
	}
	for i, p := range peers {
		k.dirs = append(k.dirs, t.TempDir())
		x, err := permitserver.Start(permitserver.Options{Name: p.Name, Peers: peers, DataDir: k.dirs[i], Bootstrap: true, Log: logrus.NewEntry(log)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		serveClients(t, x, lns[i])
		k.all = append(k.all, x)
	}
	k.peers = peers
	k.Client = permitclient.New(k.addrs)
	t.Cleanup(k.Close)
	return k
}

func (k *keepers) do(c permit.Command) permit.Result {
	k.Helper()
	ctx, end := context.WithTimeout(context.Background(), within)
	defer end()
	c.ID = fmt.Sprint(time.Now().UnixNano())
	a, err := k.Do(ctx, c)
	if err != nil {
		k.Fatalf("%+v: %v", c, err)
	}
	return a
}

// until waits for what the keepers tell.
func (k *keepers) until(what string, wanted func(permitclient.Status) bool) {
	k.Helper()
	var last permitclient.Status
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, done := context.WithTimeout(context.Background(), 5*time.Second)
		st, err := k.State(ctx)
		done()
		if err == nil && wanted(st) {
			return
		}
		last = st
	}
	k.Fatalf("not %s: %+v %+v", what, last, last.State)
}

// Six servers: a drain that is taken back while it lasts, by its own socket and through another server; a member of a pool that
// all leave alone, with one server stopped meanwhile; a stop without a permit, recorded; halts; a server asked for elsewhere.
func TestBackMembersAndStops(t *testing.T) {
	k := keep(t)
	cores := standin.NewCores(8, 8)
	t.Cleanup(cores.Close)
	var apps []*standin.App
	var addrs []string
	for range 3 {
		a, err := standin.NewApp(cores, standin.WorkFromBody, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Stop)
		apps, addrs = append(apps, a), append(addrs, a.Addr())
	}
	n := serverNames(6)
	pool := operator.Pool{Members: addrs, MaxConnections: 16, ConnectTimeoutMs: 250, MaxAnswerBytes: 4096, MaxFailures: 5, OutlierFactor: 4, MinShare: 0.5, EjectionMs: 1000, RecoveryMs: 1000,
		Retry: operator.Retry{Share: 0.2, Floor: 2, MaxAttempts: 2}}
	b := started(t, testbed.Options{Names: n, Seed: 7, Cores: 2, PermitServers: k.addrs, SettingsJSON: strings.Replace(judgedSettings, `"drain_grace":200000000`, `"drain_grace":1700000000`, 1),
		Operator: operator.File{Pools: map[string]operator.Pool{"apps": pool}, Methods: map[string]operator.Method{"view": {Pool: "apps", Path: "/view", Verb: "GET"}}}})
	ctx, end := context.WithCancel(context.Background())
	var load sync.WaitGroup
	defer load.Wait()
	defer end()
	for i, name := range n {
		load.Go(func() {
			router := standin.NewRouter(b.ListenAddr(name))
			defer router.Close()
			standin.LoadPlan{Rate: 10, Duration: 4 * time.Minute, Callers: 3, Seed: int64(i), Deadline: 1200 * time.Millisecond, Kinds: []standin.RequestKind{{Method: "view", Share: 1, MeanWorkMs: 2}}}.Run(ctx, map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker())
		})
	}
	var servers []permit.Server
	for _, name := range n {
		servers = append(servers, permit.Server{Name: name})
	}
	members := []permit.Member{{Pool: "apps", Name: addrs[0]}, {Pool: "apps", Name: addrs[1]}, {Pool: "apps", Name: addrs[2]}}
	if a := k.do(permit.Command{Kind: permit.Configure, Servers: servers, Members: members, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}, Pools: map[string]permit.Limit{"apps": {MaxCount: 1}}}}); !a.OK {
		t.Fatalf("%+v", a)
	}
	op := func(name, query string) error {
		ctx, end := context.WithTimeout(context.Background(), within)
		defer end()
		return fleet.RequestDrain(ctx, b.Socket(name), query+"&who=me&why=test")
	}
	until := func(name, query string) {
		t.Helper()
		var err error
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if err = op(name, query); err == nil {
				return
			}
		}
		t.Fatalf("%s %s: %v", name, query, err)
	}
	free := func(st permitclient.Status) bool { return len(st.State.Granted()) == 0 }
	pids := map[string]int{}
	for _, name := range n {
		pids[name] = b.Processes.Pid(name)
	}
	stays := func(name string) {
		t.Helper()
		k.until("free again", free)
		time.Sleep(2 * time.Second) // longer than the drain would have lasted
		if !b.Processes.Running(name) || b.Processes.Pid(name) != pids[name] {
			t.Errorf("%s has ended, or is another", name)
		}
	}
	k.until("heard", func(st permitclient.Status) bool { return len(st.Observations) == 0 && st.State.AutoHaltReason == "" })
	until("n0", "what=drain")
	if err := op("n0", "what=back"); err != nil {
		t.Errorf("back while it drains: %v", err)
	}
	stays("n0")
	if err := op("n0", "what=back"); err == nil {
		t.Error("nothing was there to take back")
	}
	until("n1", "what=drain")
	if err := op("n4", "what=back&subject=n1"); err != nil { // told with n1's next word
		t.Errorf("back by another: %v", err)
	}
	stays("n1")

	// A member: nothing new goes there once all that are heard have said so; one that is stopped is named.
	do(t, b, "0s stop n5")
	k.until("n5 missed", func(st permitclient.Status) bool { return len(st.Observations) == 1 && st.Observations[0].Name == "n5" })
	subject := "apps/" + addrs[1]
	until("n2", "what=drain&subject="+subject)
	k.until("drained", func(st permitclient.Status) bool {
		return len(st.Drains) == 1 && st.Drains[0].Done && slices.Equal(st.Drains[0].Unreachable, []string{"n5"})
	})
	if err := op("n3", "what=drain&subject=apps/"+addrs[2]); err == nil || !strings.Contains(err.Error(), addrs[1]) {
		t.Errorf("a second member: %v", err)
	}
	was := apps[1].Received()
	time.Sleep(2 * time.Second)
	if now := apps[1].Received(); now != was {
		t.Errorf("%d tries to a drained member", now-was)
	}
	do(t, b, "0s cont n5") // it has to hear before it is one of those that leave it alone
	k.until("drained by n5 too", func(st permitclient.Status) bool {
		return len(st.Drains) == 1 && st.Drains[0].Done && len(st.Drains[0].Unreachable) == 0
	})
	if err := op("n4", "what=back&subject="+subject); err != nil {
		t.Error(err)
	}
	k.until("no permit", free)
	for end := time.Now().Add(within); apps[1].Received() == was; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the member gets nothing after its return")
		}
	}

	// A stop that nobody agreed on is obeyed at once, recorded, and uses the allowance up.
	if err := b.Processes.Signal("n3", syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	k.until("recorded", func(st permitclient.Status) bool {
		return slices.ContainsFunc(st.State.History, func(e permit.HistoryEntry) bool { return e.Kind == permit.ReportStop && e.Subject == "n3" })
	})
	for end := time.Now().Add(within); b.Processes.Running("n3"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("n3 goes on")
		}
	}
	k.until("halted by itself", func(st permitclient.Status) bool { return st.State.AutoHaltReason != "" })
	if err := op("n4", "what=drain"); err == nil {
		t.Error("begun though a loss has used the allowance up")
	}
	if err := b.Processes.Start("n3"); err != nil {
		t.Fatal(err)
	}
	k.until("the halt ends with its cause", func(st permitclient.Status) bool { return st.State.AutoHaltReason == "" })

	// By hand, and a server that is asked for by another's socket: it begins after the halt.
	if err := op("n0", "what=halt"); err != nil {
		t.Error(err)
	}
	if err := op("n0", "what=drain&subject=n4"); err != nil {
		t.Error(err)
	}
	time.Sleep(2500 * time.Millisecond)
	if !b.Processes.Running("n4") {
		t.Error("n4 has ended while halted")
	}
	if err := op("n2", "what=resume"); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(within); b.Processes.Running("n4"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("n4 does not leave, though it is wanted")
		}
	}
	if err := b.Processes.Start("n4"); err != nil {
		t.Fatal(err)
	}
	k.until("all back", free)
}
