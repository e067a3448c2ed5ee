package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

// TestMain runs a server instead of the tests if the program was started with the argument "serve": the test beds start this test program as
// their servers.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "serve" {
		if os.Getenv("BED_PROGRAM") == "crashes" {
			os.Exit(3)
		}
		if err := (daemon.Command{Operator: os.Args[3]}).Run(func(p daemon.Parts) (daemon.ExtensionPart, error) {
			if name := os.Getenv("BED_PROGRAM"); name != "" {
				p.Build = name
			}
			return fleet.StartWithDaemon(p)
		}); err != nil {
			var code daemon.ExitCode
			if errors.As(err, &code) {
				os.Exit(int(code))
			}
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func serve() testbed.Command { return testbed.Command{Path: os.Args[0], Args: []string{"serve"}} }

func serverNames(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

// bedSlots limits the number of concurrent test beds. Each bed consists of several processes under the race detector; with more processes than
// cores, overload would dominate the results of the tests.
var bedSlots = make(chan struct{}, max(2, runtime.NumCPU()/2))

// newBed returns a test bed without running servers. If the test fails, it logs the bed's network faults and server logs at the end.
func newBed(t *testing.T, o testbed.Options) *testbed.Bed {
	t.Helper()
	t.Parallel()
	bedSlots <- struct{}{}
	t.Cleanup(func() { <-bedSlots })
	o.ServeCommand = serve
	bed, err := testbed.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, entry := range bed.Network.Log() {
				t.Log(entry.At, entry.Text)
			}
			for _, name := range bed.Names {
				log, _ := os.ReadFile(bed.Processes.LogPath(name))
				t.Logf("%s: %s", name, log[max(0, len(log)-1500):])
			}
		}
		bed.Close()
	})
	return bed
}

// startBed returns a test bed whose servers are all running and reach each other.
func startBed(t *testing.T, o testbed.Options) *testbed.Bed {
	bed := newBed(t, o)
	if err := bed.StartAll(); err != nil {
		t.Fatal(err)
	}
	await(t, bed, o.Names, testbed.ExpectView("whole", len(o.Names)))
	return bed
}

// viewRequests returns the load of most test beds: RPCs of one method that take 2 ms.
func viewRequests(int, string) []standin.RequestKind {
	return []standin.RequestKind{{Method: "view", Share: 1, MeanWorkMs: 2}}
}

// startLoad makes three callers of each server send it rate RPCs per second in total, until the end of the test.
func startLoad(t *testing.T, bed *testbed.Bed, rate float64, kindsOf func(i int, name string) []standin.RequestKind) {
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i, name := range bed.Names {
		load.Go(func() {
			router := standin.NewRouter(bed.ListenAddr(name))
			defer router.Close()
			plan := standin.LoadPlan{
				Rate:     rate,
				Duration: 4 * time.Minute,
				Callers:  3,
				Seed:     int64(i),
				Deadline: 1200 * time.Millisecond,
				Kinds:    kindsOf(i, name),
			}
			plan.Run(ctx, map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker())
		})
	}
	t.Cleanup(func() {
		cancel()
		load.Wait()
	})
}

// waitTimeout limits the wait for a condition. It is long because the machine may be busy with other work. These tests
// measure no durations; the experiments do.
const waitTimeout = 40 * time.Second

// await waits until the observations at all viewers meet a condition.
func await(t *testing.T, bed *testbed.Bed, viewers []string, holds func(*testbed.Observation) bool) {
	t.Helper()
	if err := bed.Await(waitTimeout, viewers, holds); err != nil {
		t.Fatal(err)
	}
}

// applyScript applies the lines of a fault script.
func applyScript(t *testing.T, bed *testbed.Bed, lines string) {
	t.Helper()
	actions, err := script.Parse(lines, bed.Names)
	if err != nil {
		t.Fatal(err)
	}
	for _, action := range actions {
		if err := bed.Apply(action); err != nil {
			t.Fatal(err)
		}
	}
}

// During a partition each half reaches only its own servers. All servers reach each other again after the partition has healed.
func TestPartitions(t *testing.T) {
	names := serverNames(6)
	bed := startBed(t, testbed.Options{Names: names, Seed: 1, Zone: func(i int) string { return fmt.Sprint("z", i%2) }})
	applyScript(t, bed, "0s split n0,n1,n2|n3,n4,n5")
	await(t, bed, names, testbed.ExpectView("part", 3))
	for _, name := range names {
		if s, err := bed.Status(name); err != nil || s.Members != 6 || s.MaxServers != 6 || s.MinServers != 3 {
			t.Errorf("status of %s during the partition: got %+v, error %v", name, s, err)
		}
	}
	applyScript(t, bed, "0s heal")
	await(t, bed, names, testbed.ExpectView("whole", 6))
	applyScript(t, bed, "0s cut n4>*\n0s cut *>n4")
	await(t, bed, names[4:5], testbed.ExpectView("alone", 1))
	await(t, bed, append(names[:4:4], "n5"), testbed.ExpectView("part", 5))
	applyScript(t, bed, "0s heal\n0s relay n0,n3")
	await(t, bed, names, testbed.ExpectView("whole", 6))
}

// A peer that is reached only through another server, or only in one direction, counts as reachable, and the status shows the kind of contact.
func TestPartialConnectivity(t *testing.T) {
	names := serverNames(3)
	bed := startBed(t, testbed.Options{Names: names, Seed: 2, Seeds: names[1:2]})
	applyScript(t, bed, "0s split n0|n2")
	await(t, bed, names[:1], func(p *testbed.Observation) bool {
		return p.Connectivity == "whole" && p.Peers[1].Contact == "through others"
	})
	applyScript(t, bed, "0s heal\n0s cut n0>n2")
	await(t, bed, names[:1], func(p *testbed.Observation) bool { return p.Connectivity == "whole" && p.Peers[1].Contact == "one way" })
	applyScript(t, bed, "0s heal\n0s cut n0>*") // n0 receives packets, but no other server receives packets from n0
	await(t, bed, names[1:], testbed.ExpectView("part", 2))
	applyScript(t, bed, "0s heal")
	await(t, bed, names, testbed.ExpectView("whole", 3))
}

// Lost, delayed, duplicated, reordered and corrupted packets have no lasting effect.
func TestBadNetwork(t *testing.T) {
	names := serverNames(5)
	bed := startBed(t, testbed.Options{Names: names, Seed: 3})
	applyScript(t, bed, "0s loss *>* 0.3")
	time.Sleep(3 * time.Second) // duration of the fault
	applyScript(t, bed, "0s heal\n0s delay *>* 200ms 200ms\n0s mess *>* 0.1\n0s slow *>* 100000")
	time.Sleep(3 * time.Second)
	applyScript(t, bed, "0s heal")
	await(t, bed, names, testbed.ExpectView("whole", 5))
	if c := bed.Network.Counts(); c.Dropped == 0 || c.Duplicated == 0 || c.Corrupted == 0 {
		t.Errorf("the network relay applied no faults: %+v", c)
	}
}

// A third of the servers is stopped for longer than any detection takes. The other servers treat them as unreachable members. When the stopped
// servers continue, they find that they themselves have stalled, and suspect no other server.
func TestStoppedServers(t *testing.T) {
	names := serverNames(6)
	bed := startBed(t, testbed.Options{Names: names, Seed: 4})
	watch := bed.Watch(20 * time.Millisecond)
	defer watch.Close()
	applyScript(t, bed, "0s stop n1,n4")
	await(t, bed, []string{"n0", "n2", "n3", "n5"}, func(p *testbed.Observation) bool {
		return p.Connectivity == "part" && len(p.AliveNames) == 3 && p.Members == 6
	})
	continuedAt := watch.Elapsed()
	applyScript(t, bed, "0s cont n1,n4")
	await(t, bed, names, testbed.ExpectView("whole", 6))
	watch.Close()
	observed, reported := 0, map[string]bool{}
	for _, p := range watch.Observations() {
		if p.At < continuedAt || p.Name != "n1" && p.Name != "n4" {
			continue
		}
		if p.StallCount == 0 && p.Connectivity != "whole" {
			t.Errorf("%s reports connectivity %s with peers %v from before its stall", p.Name, p.Connectivity, p.AliveNames)
		}
		if p.StallCount > 0 {
			observed++
			for _, peer := range p.Peers {
				if peer.SuspicionCount > 0 && !reported[p.Name] {
					reported[p.Name] = true
					t.Errorf("%s suspected %s after its own stall", p.Name, peer.Name)
				}
			}
		}
	}
	if observed == 0 {
		t.Error("no stopped server was observed after it continued")
	}
	for _, name := range []string{"n0", "n2", "n3", "n5"} {
		for _, peer := range statusOrError(bed.Status(name)).Peers {
			if running := peer.Name != "n1" && peer.Name != "n4"; running && peer.SuspicionCount > 0 {
				t.Errorf("%s suspected %s, which ran all the time", name, peer.Name)
			}
		}
	}
}

// statusOrError returns a status. It stores a failure to fetch it in ExclusionReason.
func statusOrError(s fleet.Status, err error) fleet.Status {
	if err != nil {
		s.ExclusionReason = err.Error()
	}
	return s
}

// Servers that are killed and restarted come back with a later generation, also if all are killed at once. A server that is asked to stop leaves
// the fleet.
func TestKilledServers(t *testing.T) {
	names := serverNames(4)
	bed := startBed(t, testbed.Options{Names: names, Seed: 5})
	applyScript(t, bed, "0s kill n2\n0s start n2")
	await(t, bed, names, func(p *testbed.Observation) bool {
		for _, peer := range p.Peers {
			if peer.Name == "n2" && peer.Generation != 2 {
				return false
			}
		}
		return p.Connectivity == "whole" && len(p.AliveNames) == 3 && (p.Name != "n2" || p.Generation == 2)
	})
	applyScript(t, bed, "0s kill n0,n1,n2,n3\n0s start n0,n1,n2,n3") // all at once
	await(t, bed, names, testbed.ExpectView("whole", 4))
	if exit, err := bed.Processes.WaitExit("n0", 0); err == nil {
		t.Errorf("n0 ended: %s", exit)
	}
	applyScript(t, bed, "0s term n3")
	if exit, err := bed.Processes.WaitExit("n3", waitTimeout); err != nil || exit != "exit 0" {
		t.Errorf("exit of a server that was asked to stop: got %s, error %v", exit, err)
	}
	await(t, bed, names[:3], func(p *testbed.Observation) bool { return p.Connectivity == "whole" && p.Members == 3 })
}

// Servers whose only seed is down run alone, and join the seed when it starts later.
func TestLateSeed(t *testing.T) {
	names := serverNames(4)
	bed := newBed(t, testbed.Options{Names: names, Seed: 6, Seeds: names[:1]})
	applyScript(t, bed, "0s start n1,n2,n3")
	await(t, bed, names[1:], func(p *testbed.Observation) bool { return p.Connectivity == "alone" && !p.InGracePeriod })
	applyScript(t, bed, "0s start n0")
	await(t, bed, names, testbed.ExpectView("whole", 4))
}

// Of two processes with the same name, the second excludes itself from the fleet, reports the reason, and keeps serving.
func TestDuplicateNameOfProcesses(t *testing.T) {
	names := serverNames(3)
	bed := startBed(t, testbed.Options{Names: names, Seed: 7})
	endpoint := bed.Network.Endpoint("n1")
	ln, err := net.Listen("tcp", net.JoinHostPort(endpoint.ListenIP, "0"))
	if err != nil {
		t.Fatal(err)
	}
	listenAddr := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	section := operator.Fleet{Listen: listenAddr, Seeds: []string{bed.Network.Endpoint("n0").AdvertiseAddr(), bed.Network.Endpoint("n2").AdvertiseAddr()}, Socket: bed.Socket("twin")}
	if err := bed.StartDuplicate("twin", "n1", section); err != nil {
		t.Fatal(err)
	}
	await(t, bed, []string{"twin"}, func(p *testbed.Observation) bool { return strings.Contains(p.ExclusionReason, "the name n1 is") })
	await(t, bed, names, testbed.ExpectView("whole", 3))
	if err := bed.Processes.Signal("twin", syscall.Signal(0)); err != nil {
		t.Errorf("the second process is not running: %v", err)
	}
}
