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

// With a limit of one of three servers out of service, a server drains by permit and ends, and another one may not drain until the first is back
// and warm. A lost server uses up the limit. While the permit server is halted or unreachable, no drain begins.
func TestDrainsByPermit(t *testing.T) {
	names := serverNames(3)
	freeAddr := func() string {
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
	permitServer, err := permitserver.Start(permitserver.Options{Name: "k0", Peers: []permitserver.Peer{{Name: "k0", RaftAddr: freeAddr()}}, DataDir: t.TempDir(), Bootstrap: true, Log: logrus.NewEntry(log)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(permitServer.Close)
	ln, err := net.Listen("tcp", loopbackAddr())
	if err != nil {
		t.Fatal(err)
	}
	serveClients(t, permitServer, ln)
	bed := startBed(t, testbed.Options{Names: names, Seed: 6, Cores: 2, PermitServers: []string{ln.Addr().String()}})
	client := permitclient.New([]string{ln.Addr().String()})
	t.Cleanup(client.Close)
	execute := func(c permit.Command) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		c.ID = fmt.Sprint(time.Now().UnixNano())
		if result, err := client.Do(ctx, c); err != nil || !result.OK {
			t.Fatalf("command %+v: result %+v, error %v", c, result, err)
		}
	}
	execute(permit.Command{Kind: permit.Configure, Servers: []permit.Server{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}}, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}}})
	drain := func(name string) error {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return fleet.RequestDrain(ctx, bed.Socket(name), fleet.DrainCommand{Operator: "me", Reason: "test"})
	}
	// drainEventually retries until the drain begins: servers that have not yet reported to the permit server since it became the leader count as
	// out of service.
	drainEventually := func(name string) {
		t.Helper()
		var err error
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if err = drain(name); err == nil {
				return
			}
		}
		t.Fatalf("drain of %s did not begin: %v", name, err)
	}
	awaitExit := func(name string) {
		t.Helper()
		for end := time.Now().Add(waitTimeout); bed.Processes.Running(name); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s is still running", name)
			}
		}
	}
	execute(permit.Command{Kind: permit.Halt, Actor: "me", Reason: "test"})
	if err := drain("n0"); err == nil || !strings.Contains(err.Error(), "halted") {
		t.Errorf("drain during a halt: got error %v", err)
	}
	execute(permit.Command{Kind: permit.Resume, Actor: "me"})
	drainEventually("n0")
	awaitExit("n0")
	if err := drain("n1"); err == nil || !strings.Contains(err.Error(), "n0") {
		t.Errorf("drain of n1 while n0 is out of service: got error %v", err)
	}
	if err := bed.Processes.Start("n0"); err != nil {
		t.Fatal(err)
	}
	drainEventually("n1") // once n0 is back and warm, and has reported that
	awaitExit("n1")
	state, _, err := permitServer.State()
	if err != nil {
		t.Fatal(err)
	}
	if granted := state.Granted(); len(granted) != 1 || granted[0].Subject != "n1" || !granted[0].Begun {
		t.Errorf("granted permits: got %+v, want one begun by n1", granted)
	}
	if err := bed.Processes.Start("n1"); err != nil {
		t.Fatal(err)
	}
	await(t, bed, names, testbed.ExpectView("whole", 3))
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) { // n1 returns its permit by itself
		if state, _, err := permitServer.State(); err == nil && len(state.Granted()) == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("n1 is back, but its permit has not been returned")
		}
	}
	permitServer.Close()
	if err := drain("n2"); err == nil {
		t.Error("a drain began without a permit server")
	}
	if !bed.Processes.Running("n2") {
		t.Error("n2 is not running")
	}
}

// loopbackAddr returns an address for a listener with an IP address of its own, because clients at 127.0.0.1 may take any port there.
func loopbackAddr() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 2+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))
}

// serveClients serves a permit server's clients until the end of the test, when it closes the server.
func serveClients(t *testing.T, permitServer *permitserver.Server, ln net.Listener) {
	served := make(chan error, 1)
	go func() { served <- permitServer.Serve(ln) }()
	t.Cleanup(func() {
		permitServer.Close()
		if err := <-served; err != nil {
			t.Errorf("permit server: %v", err)
		}
	})
}

// permitCluster consists of three permit servers in this process, and a client.
type permitCluster struct {
	*testing.T
	*permitclient.Client
	addrs         []string
	permitServers []*permitserver.Server
	peers         []permitserver.Peer
	dirs          []string
}

// stopAll stops all permit servers.
func (cluster *permitCluster) stopAll() {
	for _, permitServer := range cluster.permitServers {
		permitServer.Close()
	}
	cluster.permitServers = nil
}

// restartAll starts all permit servers again with their data folders.
func (cluster *permitCluster) restartAll() {
	cluster.Helper()
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	for i, peer := range cluster.peers {
		permitServer, err := permitserver.Start(permitserver.Options{Name: peer.Name, Peers: cluster.peers, DataDir: cluster.dirs[i], Log: logrus.NewEntry(log)})
		if err != nil {
			cluster.Fatal(err)
		}
		cluster.Cleanup(permitServer.Close)
		ln, err := net.Listen("tcp", peer.HTTPAddr)
		if err != nil {
			cluster.Fatal(err)
		}
		serveClients(cluster.T, permitServer, ln)
		cluster.permitServers = append(cluster.permitServers, permitServer)
	}
}

func startPermitCluster(t *testing.T) *permitCluster {
	t.Helper()
	cluster := &permitCluster{T: t}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	var peers []permitserver.Peer
	var clientListeners []net.Listener
	for i := range 3 {
		var listeners [2]net.Listener // for Raft and for clients
		for j := range listeners {
			ln, err := net.Listen("tcp", loopbackAddr())
			if err != nil {
				t.Fatal(err)
			}
			listeners[j] = ln
		}
		if err := listeners[0].Close(); err != nil {
			t.Fatal(err)
		}
		clientListeners = append(clientListeners, listeners[1])
		cluster.addrs = append(cluster.addrs, listeners[1].Addr().String())
		peers = append(peers, permitserver.Peer{Name: fmt.Sprint("k", i), RaftAddr: listeners[0].Addr().String(), HTTPAddr: listeners[1].Addr().String()})
	}
	for i, peer := range peers {
		cluster.dirs = append(cluster.dirs, t.TempDir())
		permitServer, err := permitserver.Start(permitserver.Options{Name: peer.Name, Peers: peers, DataDir: cluster.dirs[i], Bootstrap: true, Log: logrus.NewEntry(log)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(permitServer.Close)
		serveClients(t, permitServer, clientListeners[i])
		cluster.permitServers = append(cluster.permitServers, permitServer)
	}
	cluster.peers = peers
	cluster.Client = permitclient.New(cluster.addrs)
	t.Cleanup(cluster.Close)
	return cluster
}

func (cluster *permitCluster) command(c permit.Command) permit.Result {
	cluster.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c.ID = fmt.Sprint(time.Now().UnixNano())
	result, err := cluster.Do(ctx, c)
	if err != nil {
		cluster.Fatalf("command %+v: %v", c, err)
	}
	return result
}

// waitFor waits until the permit servers' status meets a condition, which description describes.
func (cluster *permitCluster) waitFor(description string, holds func(permitclient.Status) bool) {
	cluster.Helper()
	var last permitclient.Status
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		status, err := cluster.State(ctx)
		cancel()
		if err == nil && holds(status) {
			return
		}
		last = status
	}
	cluster.Fatalf("condition not met: %s; last status %+v, state %+v", description, last, last.State)
}

// In a fleet of six servers, a drain in progress is cancelled through the draining server and through another one; a pool's member is drained at
// all servers although one is stopped meanwhile; a stop without a permit is recorded; no drain begins during halts; and a server drains on a
// request made at another server.
func TestCancelMembersAndStops(t *testing.T) {
	cluster := startPermitCluster(t)
	cores := standin.NewCores(8, 8)
	t.Cleanup(cores.Close)
	var apps []*standin.App
	var addrs []string
	for range 3 {
		app, err := standin.NewApp(cores, standin.WorkFromBody, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(app.Stop)
		apps, addrs = append(apps, app), append(addrs, app.Addr())
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
	if result := cluster.command(permit.Command{Kind: permit.Configure, Servers: servers, Members: members, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}, Pools: map[string]permit.Limit{"apps": {MaxCount: 1}}}}); !result.OK {
		t.Fatalf("configure command: got %+v", result)
	}
	operate := func(name string, operation fleet.DrainOperation, subject string) error {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return fleet.RequestDrain(ctx, bed.Socket(name), fleet.DrainCommand{Operation: operation, Subject: subject, Operator: "me", Reason: "test"})
	}
	operateEventually := func(name string, operation fleet.DrainOperation, subject string) {
		t.Helper()
		var err error
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if err = operate(name, operation, subject); err == nil {
				return
			}
		}
		t.Fatalf("at %s, operation %s on \"%s\" failed: %v", name, operation, subject, err)
	}
	noPermits := func(status permitclient.Status) bool { return len(status.State.Granted()) == 0 }
	pids := map[string]int{}
	for _, name := range names {
		pids[name] = bed.Processes.Pid(name)
	}
	checkStillRunning := func(name string) {
		t.Helper()
		cluster.waitFor("permit returned after the cancellation", noPermits)
		time.Sleep(2 * time.Second) // longer than the drain would have taken
		if !bed.Processes.Running(name) || bed.Processes.Pid(name) != pids[name] {
			t.Errorf("%s is not running, or was restarted", name)
		}
	}
	cluster.waitFor("all have reported", func(status permitclient.Status) bool {
		return len(status.Observations) == 0 && status.State.AutoHaltReason == ""
	})
	operateEventually("n0", fleet.OperationDrain, "")
	if err := operate("n0", fleet.OperationCancel, ""); err != nil {
		t.Errorf("cancel during the drain: %v", err)
	}
	checkStillRunning("n0")
	if err := operate("n0", fleet.OperationCancel, ""); err == nil {
		t.Error("cancel succeeded without a drain in progress")
	}
	operateEventually("n1", fleet.OperationDrain, "")
	if err := operate("n4", fleet.OperationCancel, "n1"); err != nil { // n1 receives the directive with its next report
		t.Errorf("cancel through another server: %v", err)
	}
	checkStillRunning("n1")

	// A drained member receives no new RPCs once all servers that report have confirmed the drain. A server that is stopped is listed as
	// unreachable.
	applyScript(t, bed, "0s stop n5")
	cluster.waitFor("n5 is reported missing", func(status permitclient.Status) bool {
		return len(status.Observations) == 1 && status.Observations[0].Name == "n5"
	})
	subject := "apps/" + addrs[1]
	operateEventually("n2", fleet.OperationDrain, subject)
	cluster.waitFor("member drained at all servers but n5", func(status permitclient.Status) bool {
		return len(status.Drains) == 1 && status.Drains[0].Done && slices.Equal(status.Drains[0].Unreachable, []string{"n5"})
	})
	if err := operate("n3", fleet.OperationDrain, "apps/"+addrs[2]); err == nil || !strings.Contains(err.Error(), addrs[1]) {
		t.Errorf("drain of a second member: got error %v", err)
	}
	before := apps[1].Received()
	time.Sleep(2 * time.Second)
	if now := apps[1].Received(); now != before {
		t.Errorf("a drained member received %d RPCs", now-before)
	}
	applyScript(t, bed, "0s cont n5") // it also needs the directive before it drains the member
	cluster.waitFor("member drained at n5 too", func(status permitclient.Status) bool {
		return len(status.Drains) == 1 && status.Drains[0].Done && len(status.Drains[0].Unreachable) == 0
	})
	if err := operate("n4", fleet.OperationCancel, subject); err != nil {
		t.Error(err)
	}
	cluster.waitFor("the member's permit returned", noPermits)
	for end := time.Now().Add(waitTimeout); apps[1].Received() == before; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the member receives no RPCs after its return")
		}
	}

	// A stop without a permit takes effect at once. It is recorded, and uses up the limit.
	if err := bed.Processes.Signal("n3", syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	cluster.waitFor("stop of n3 recorded", func(status permitclient.Status) bool {
		return slices.ContainsFunc(status.State.History, func(e permit.HistoryEntry) bool { return e.Kind == permit.ReportStop && e.Subject == "n3" })
	})
	for end := time.Now().Add(waitTimeout); bed.Processes.Running("n3"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("n3 is still running")
		}
	}
	cluster.waitFor("automatic halt", func(status permitclient.Status) bool { return status.State.AutoHaltReason != "" })
	if err := operate("n4", fleet.OperationDrain, ""); err == nil {
		t.Error("a drain began although a lost server uses up the limit")
	}
	if err := bed.Processes.Start("n3"); err != nil {
		t.Fatal(err)
	}
	cluster.waitFor("automatic halt ended", func(status permitclient.Status) bool { return status.State.AutoHaltReason == "" })

	// A drain that is requested through another server during a manual halt begins after the halt.
	if err := operate("n0", fleet.OperationHalt, ""); err != nil {
		t.Error(err)
	}
	if err := operate("n0", fleet.OperationDrain, "n4"); err != nil {
		t.Error(err)
	}
	time.Sleep(2500 * time.Millisecond)
	if !bed.Processes.Running("n4") {
		t.Error("n4 ended during the halt")
	}
	if err := operate("n2", fleet.OperationResume, ""); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(waitTimeout); bed.Processes.Running("n4"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("n4 is still running after the requested drain")
		}
	}
	if err := bed.Processes.Start("n4"); err != nil {
		t.Fatal(err)
	}
	cluster.waitFor("all permits returned", noPermits)
}
