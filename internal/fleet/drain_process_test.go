package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
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

// One of three may be out of service: a server that drains by a permit ends, another may not until the first is back and warm; a lost server
// uses up the limit; without permit servers, and while halted, no drain begins.
func TestDrainsByPermit(t *testing.T) {
	names := serverNames(3)
	free := func() string {
		ln, err := net.Listen("tcp", loopbackAddr())
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
	replica, err := permitserver.Start(permitserver.Options{Name: "k0", Peers: []permitserver.Peer{{Name: "k0", RaftAddr: free()}}, DataDir: t.TempDir(), Bootstrap: true, Log: logrus.NewEntry(log)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replica.Close)
	ln, err := net.Listen("tcp", loopbackAddr())
	if err != nil {
		t.Fatal(err)
	}
	serveClients(t, replica, ln)
	bed := startBed(t, testbed.Options{Names: names, Seed: 6, Cores: 2, PermitServers: []string{ln.Addr().String()}})
	client := permitclient.New([]string{ln.Addr().String()})
	t.Cleanup(client.Close)
	do := func(c permit.Command) {
		t.Helper()
		ctx, end := context.WithTimeout(context.Background(), waitTimeout)
		defer end()
		c.ID = fmt.Sprint(time.Now().UnixNano())
		if a, err := client.Do(ctx, c); err != nil || !a.OK {
			t.Fatalf("%+v: %+v %v", c, a, err)
		}
	}
	do(permit.Command{Kind: permit.Configure, Servers: []permit.Server{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}}, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}}})
	drain := func(name string) error {
		ctx, end := context.WithTimeout(context.Background(), waitTimeout)
		defer end()
		return fleet.RequestDrain(ctx, bed.Socket(name), fleet.DrainCommand{Operator: "me", Reason: "test"})
	}
	// until waits for a drain to begin: servers that have not reported to the permit server since it leads count as out of service.
	until := func(name string) {
		t.Helper()
		var err error
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if err = drain(name); err == nil {
				return
			}
		}
		t.Fatalf("%s: %v", name, err)
	}
	gone := func(name string) {
		t.Helper()
		for end := time.Now().Add(waitTimeout); bed.Processes.Running(name); time.Sleep(20 * time.Millisecond) {
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
	if err := bed.Processes.Start("n0"); err != nil {
		t.Fatal(err)
	}
	until("n1") // once n0 is back, warm, and has reported it
	gone("n1")
	st, _, err := replica.State()
	if err != nil {
		t.Fatal(err)
	}
	if held := st.Granted(); len(held) != 1 || held[0].Subject != "n1" || !held[0].Begun {
		t.Errorf("%+v", held)
	}
	if err := bed.Processes.Start("n1"); err != nil {
		t.Fatal(err)
	}
	await(t, bed, names, testbed.ExpectView("whole", 3))
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) { // it returns its permit by itself
		if st, _, err := replica.State(); err == nil && len(st.Granted()) == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("n1 is back, and its permit is held")
		}
	}
	replica.Close()
	if err := drain("n2"); err == nil {
		t.Error("begun without a keeper")
	}
	if !bed.Processes.Running("n2") {
		t.Error("n2 has ended")
	}
}

// loopbackAddr is for a listener at an IP address of its own: clients at 127.0.0.1 take ports there at any time.
func loopbackAddr() string {
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

// permitCluster is three permit servers in this process, and a client of theirs.
type permitCluster struct {
	*testing.T
	*permitclient.Client
	addrs   []string
	servers []*permitserver.Server
	peers   []permitserver.Peer
	dirs    []string
}

// stopAll ends all of them, and restartAll starts them again on their folders.
func (cluster *permitCluster) stopAll() {
	for _, x := range cluster.servers {
		x.Close()
	}
	cluster.servers = nil
}

func (cluster *permitCluster) restartAll() {
	cluster.Helper()
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	for i, p := range cluster.peers {
		x, err := permitserver.Start(permitserver.Options{Name: p.Name, Peers: cluster.peers, DataDir: cluster.dirs[i], Log: logrus.NewEntry(log)})
		if err != nil {
			cluster.Fatal(err)
		}
		cluster.Cleanup(x.Close)
		ln, err := net.Listen("tcp", p.HTTPAddr)
		if err != nil {
			cluster.Fatal(err)
		}
		serveClients(cluster.T, x, ln)
		cluster.servers = append(cluster.servers, x)
	}
}

func startPermitCluster(t *testing.T) *permitCluster {
	t.Helper()
	cluster := &permitCluster{T: t}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	var peers []permitserver.Peer
	var lns []net.Listener
	for i := range 3 {
		var both [2]net.Listener
		for j := range both {
			ln, err := net.Listen("tcp", loopbackAddr())
			if err != nil {
				t.Fatal(err)
			}
			both[j] = ln
		}
		if err := both[0].Close(); err != nil {
			t.Fatal(err)
		}
		lns = append(lns, both[1])
		cluster.addrs = append(cluster.addrs, both[1].Addr().String())
		peers = append(peers, permitserver.Peer{Name: fmt.Sprint("k", i), RaftAddr: both[0].Addr().String(), HTTPAddr: both[1].Addr().String()})
	}
	for i, p := range peers {
		cluster.dirs = append(cluster.dirs, t.TempDir())
		x, err := permitserver.Start(permitserver.Options{Name: p.Name, Peers: peers, DataDir: cluster.dirs[i], Bootstrap: true, Log: logrus.NewEntry(log)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		serveClients(t, x, lns[i])
		cluster.servers = append(cluster.servers, x)
	}
	cluster.peers = peers
	cluster.Client = permitclient.New(cluster.addrs)
	t.Cleanup(cluster.Close)
	return cluster
}

func (cluster *permitCluster) command(c permit.Command) permit.Result {
	cluster.Helper()
	ctx, end := context.WithTimeout(context.Background(), waitTimeout)
	defer end()
	c.ID = fmt.Sprint(time.Now().UnixNano())
	a, err := cluster.Do(ctx, c)
	if err != nil {
		cluster.Fatalf("%+v: %v", c, err)
	}
	return a
}

// waitFor waits for a state of the permit servers.
func (cluster *permitCluster) waitFor(what string, wanted func(permitclient.Status) bool) {
	cluster.Helper()
	var last permitclient.Status
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, done := context.WithTimeout(context.Background(), 5*time.Second)
		st, err := cluster.State(ctx)
		done()
		if err == nil && wanted(st) {
			return
		}
		last = st
	}
	cluster.Fatalf("not %s: %+v %+v", what, last, last.State)
}

// Six servers: a drain cancelled while it lasts, by its own socket and through another server; a member of a pool drained by all, with one
// server stopped meanwhile; a stop without a permit, recorded; halts; a drain requested at another server.
func TestCancelMembersAndStops(t *testing.T) {
	cluster := startPermitCluster(t)
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
	names := serverNames(6)
	pool := operator.Pool{Members: addrs, MaxConnections: 16, ConnectTimeoutMs: 250, MaxAnswerBytes: 4096, MaxFailures: 5, OutlierFactor: 4, MinShare: 0.5, EjectionMs: 1000, RecoveryMs: 1000,
		Retry: operator.Retry{Share: 0.2, Floor: 2, MaxAttempts: 2}}
	bed := startBed(t, testbed.Options{Names: names, Seed: 7, Cores: 2, PermitServers: cluster.addrs, SettingsJSON: strings.Replace(detectionSettings, `"drain_grace":200000000`, `"drain_grace":1700000000`, 1),
		Operator: operator.File{Pools: map[string]operator.Pool{"apps": pool}, Methods: map[string]operator.Method{"view": {Pool: "apps", Path: "/view", Verb: "GET"}}}})
	startLoad(t, bed, 10, viewRequests)
	var servers []permit.Server
	for _, name := range names {
		servers = append(servers, permit.Server{Name: name})
	}
	members := []permit.Member{{Pool: "apps", Name: addrs[0]}, {Pool: "apps", Name: addrs[1]}, {Pool: "apps", Name: addrs[2]}}
	if a := cluster.command(permit.Command{Kind: permit.Configure, Servers: servers, Members: members, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}, Pools: map[string]permit.Limit{"apps": {MaxCount: 1}}}}); !a.OK {
		t.Fatalf("%+v", a)
	}
	operate := func(name string, operation fleet.DrainOperation, subject string) error {
		ctx, end := context.WithTimeout(context.Background(), waitTimeout)
		defer end()
		return fleet.RequestDrain(ctx, bed.Socket(name), fleet.DrainCommand{Operation: operation, Subject: subject, Operator: "me", Reason: "test"})
	}
	until := func(name string, operation fleet.DrainOperation, subject string) {
		t.Helper()
		var err error
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if err = operate(name, operation, subject); err == nil {
				return
			}
		}
		t.Fatalf("%s %s %s: %v", name, operation, subject, err)
	}
	free := func(st permitclient.Status) bool { return len(st.State.Granted()) == 0 }
	pids := map[string]int{}
	for _, name := range names {
		pids[name] = bed.Processes.Pid(name)
	}
	stays := func(name string) {
		t.Helper()
		cluster.waitFor("free again", free)
		time.Sleep(2 * time.Second) // longer than the drain would have lasted
		if !bed.Processes.Running(name) || bed.Processes.Pid(name) != pids[name] {
			t.Errorf("%s has ended, or is another", name)
		}
	}
	cluster.waitFor("heard", func(st permitclient.Status) bool { return len(st.Observations) == 0 && st.State.AutoHaltReason == "" })
	until("n0", fleet.OperationDrain, "")
	if err := operate("n0", fleet.OperationCancel, ""); err != nil {
		t.Errorf("back while it drains: %v", err)
	}
	stays("n0")
	if err := operate("n0", fleet.OperationCancel, ""); err == nil {
		t.Error("nothing was there to take back")
	}
	until("n1", fleet.OperationDrain, "")
	if err := operate("n4", fleet.OperationCancel, "n1"); err != nil { // directed with n1's next report
		t.Errorf("back by another: %v", err)
	}
	stays("n1")

	// A member: it gets no new RPCs once all that report have confirmed it; a server that is stopped is named.
	do(t, bed, "0s stop n5")
	cluster.waitFor("n5 missed", func(st permitclient.Status) bool { return len(st.Observations) == 1 && st.Observations[0].Name == "n5" })
	subject := "apps/" + addrs[1]
	until("n2", fleet.OperationDrain, subject)
	cluster.waitFor("drained", func(st permitclient.Status) bool {
		return len(st.Drains) == 1 && st.Drains[0].Done && slices.Equal(st.Drains[0].Unreachable, []string{"n5"})
	})
	if err := operate("n3", fleet.OperationDrain, "apps/"+addrs[2]); err == nil || !strings.Contains(err.Error(), addrs[1]) {
		t.Errorf("a second member: %v", err)
	}
	was := apps[1].Received()
	time.Sleep(2 * time.Second)
	if now := apps[1].Received(); now != was {
		t.Errorf("%d tries to a drained member", now-was)
	}
	do(t, bed, "0s cont n5") // it has to be directed before it drains the member, too
	cluster.waitFor("drained by n5 too", func(st permitclient.Status) bool {
		return len(st.Drains) == 1 && st.Drains[0].Done && len(st.Drains[0].Unreachable) == 0
	})
	if err := operate("n4", fleet.OperationCancel, subject); err != nil {
		t.Error(err)
	}
	cluster.waitFor("no permit", free)
	for end := time.Now().Add(waitTimeout); apps[1].Received() == was; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the member gets nothing after its return")
		}
	}

	// A stop without a permit is obeyed at once, recorded, and uses up the limit.
	if err := bed.Processes.Signal("n3", syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	cluster.waitFor("recorded", func(st permitclient.Status) bool {
		return slices.ContainsFunc(st.State.History, func(e permit.HistoryEntry) bool { return e.Kind == permit.ReportStop && e.Subject == "n3" })
	})
	for end := time.Now().Add(waitTimeout); bed.Processes.Running("n3"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("n3 goes on")
		}
	}
	cluster.waitFor("halted by itself", func(st permitclient.Status) bool { return st.State.AutoHaltReason != "" })
	if err := operate("n4", fleet.OperationDrain, ""); err == nil {
		t.Error("begun though a loss has used the allowance up")
	}
	if err := bed.Processes.Start("n3"); err != nil {
		t.Fatal(err)
	}
	cluster.waitFor("the halt ends with its cause", func(st permitclient.Status) bool { return st.State.AutoHaltReason == "" })

	// A manual halt, and a drain requested at another server's socket: it begins after the halt.
	if err := operate("n0", fleet.OperationHalt, ""); err != nil {
		t.Error(err)
	}
	if err := operate("n0", fleet.OperationDrain, "n4"); err != nil {
		t.Error(err)
	}
	time.Sleep(2500 * time.Millisecond)
	if !bed.Processes.Running("n4") {
		t.Error("n4 has ended while halted")
	}
	if err := operate("n2", fleet.OperationResume, ""); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(waitTimeout); bed.Processes.Running("n4"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("n4 does not leave, though it is wanted")
		}
	}
	if err := bed.Processes.Start("n4"); err != nil {
		t.Fatal(err)
	}
	cluster.waitFor("all back", free)
}
