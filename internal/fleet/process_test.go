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

// TestMain serves as a whole server if it was started as one: the processes of the bed are this test's own program.
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

func serverNames(count int) (all []string) {
	for i := range count {
		all = append(all, fmt.Sprint("n", i))
	}
	return all
}

// bedSlots bounds the beds at a time: each is several processes under the race detector, and with more of them than cores the tests would
// measure only that.
var bedSlots = make(chan struct{}, max(2, runtime.NumCPU()/2))

// newBed makes a bed of which no server runs yet.
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
			for _, a := range bed.Network.Log() {
				t.Log(a.At, a.Text)
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

func startBed(t *testing.T, o testbed.Options) *testbed.Bed {
	bed := newBed(t, o)
	if err := bed.StartAll(); err != nil {
		t.Fatal(err)
	}
	await(t, bed, o.Names, testbed.ExpectView("whole", len(o.Names)))
	return bed
}

// viewRequests is the load of most beds: RPCs of one method that take 2 ms.
func viewRequests(int, string) []standin.RequestKind {
	return []standin.RequestKind{{Method: "view", Share: 1, MeanWorkMs: 2}}
}

// startLoad has three callers of each server send it so many RPCs a second, until the test ends.
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

// waitTimeout is long, for a machine that does other things beside; durations are measured by the experiments.
const waitTimeout = 40 * time.Second

func await(t *testing.T, bed *testbed.Bed, viewers []string, wanted func(*testbed.Observation) bool) {
	t.Helper()
	if err := bed.Await(waitTimeout, viewers, wanted); err != nil {
		t.Fatal(err)
	}
}

func do(t *testing.T, bed *testbed.Bed, lines string) {
	t.Helper()
	s, err := script.Parse(lines, bed.Names)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range s {
		if err := bed.Apply(x); err != nil {
			t.Fatal(err)
		}
	}
}

func TestPartitions(t *testing.T) {
	names := serverNames(6)
	bed := startBed(t, testbed.Options{Names: names, Seed: 1, Zone: func(i int) string { return fmt.Sprint("z", i%2) }})
	do(t, bed, "0s split n0,n1,n2|n3,n4,n5")
	await(t, bed, names, testbed.ExpectView("part", 3))
	for _, name := range names {
		if s, err := bed.Status(name); err != nil || s.Members != 6 || s.MaxServers != 6 || s.MinServers != 3 {
			t.Errorf("%s: %+v %v", name, s, err)
		}
	}
	do(t, bed, "0s heal")
	await(t, bed, names, testbed.ExpectView("whole", 6))
	do(t, bed, "0s cut n4>*\n0s cut *>n4")
	await(t, bed, names[4:5], testbed.ExpectView("alone", 1))
	await(t, bed, append(names[:4:4], "n5"), testbed.ExpectView("part", 5))
	do(t, bed, "0s heal\n0s relay n0,n3")
	await(t, bed, names, testbed.ExpectView("whole", 6))
}

// A bridge: a peer that is reached through another is a member, and told apart from one that is not reached.
func TestPartialConnectivity(t *testing.T) {
	names := serverNames(3)
	bed := startBed(t, testbed.Options{Names: names, Seed: 2, Seeds: names[1:2]})
	do(t, bed, "0s split n0|n2")
	await(t, bed, names[:1], func(p *testbed.Observation) bool {
		return p.Connectivity == "whole" && p.Peers[1].Contact == "through others"
	})
	do(t, bed, "0s heal\n0s cut n0>n2")
	await(t, bed, names[:1], func(p *testbed.Observation) bool { return p.Connectivity == "whole" && p.Peers[1].Contact == "one way" })
	do(t, bed, "0s heal\n0s cut n0>*") // it receives, and nobody receives from it
	await(t, bed, names[1:], testbed.ExpectView("part", 2))
	do(t, bed, "0s heal")
	await(t, bed, names, testbed.ExpectView("whole", 3))
}

// Loss, delay, duplicated, reordered and damaged packets have no lasting effect.
func TestBadNetwork(t *testing.T) {
	names := serverNames(5)
	bed := startBed(t, testbed.Options{Names: names, Seed: 3})
	do(t, bed, "0s loss *>* 0.3")
	time.Sleep(3 * time.Second) // the fault's own length
	do(t, bed, "0s heal\n0s delay *>* 200ms 200ms\n0s mess *>* 0.1\n0s slow *>* 100000")
	time.Sleep(3 * time.Second)
	do(t, bed, "0s heal")
	await(t, bed, names, testbed.ExpectView("whole", 5))
	if c := bed.Network.Counts(); c.Dropped == 0 || c.Duplicated == 0 || c.Corrupted == 0 {
		t.Errorf("the relay did nothing: %+v", c)
	}
}

// A third of the servers is stopped for longer than any detection takes: the rest have them as unreachable members; on waking, they find that
// they stalled themselves, and suspect nobody.
func TestStopped(t *testing.T) {
	names := serverNames(6)
	bed := startBed(t, testbed.Options{Names: names, Seed: 4})
	w := bed.Watch(20 * time.Millisecond)
	defer w.Close()
	do(t, bed, "0s stop n1,n4")
	await(t, bed, []string{"n0", "n2", "n3", "n5"}, func(p *testbed.Observation) bool {
		return p.Connectivity == "part" && len(p.AliveNames) == 3 && p.Members == 6
	})
	woke := w.Elapsed()
	do(t, bed, "0s cont n1,n4")
	await(t, bed, names, testbed.ExpectView("whole", 6))
	w.Close()
	seen, last := 0, map[string]bool{}
	for _, p := range w.Observations() {
		if p.At < woke || p.Name != "n1" && p.Name != "n4" {
			continue
		}
		if p.StallCount == 0 && p.Connectivity != "whole" {
			t.Errorf("%s hears %s %v by what it knew before", p.Name, p.Connectivity, p.AliveNames)
		}
		if p.StallCount > 0 {
			seen++
			for _, x := range p.Peers {
				if x.SuspicionCount > 0 && !last[p.Name] {
					last[p.Name] = true
					t.Errorf("%s holds a loss against %s", p.Name, x.Name)
				}
			}
		}
	}
	if seen == 0 {
		t.Error("nobody was seen after waking")
	}
	for _, name := range []string{"n0", "n2", "n3", "n5"} {
		for _, x := range must(bed.Status(name)).Peers {
			if sound := x.Name != "n1" && x.Name != "n4"; sound && x.SuspicionCount > 0 {
				t.Errorf("%s lost %s, which ran all the time", name, x.Name)
			}
		}
	}
}

func must(s fleet.Status, err error) fleet.Status {
	if err != nil {
		s.ExclusionReason = err.Error()
	}
	return s
}

func TestKilledServers(t *testing.T) {
	names := serverNames(4)
	bed := startBed(t, testbed.Options{Names: names, Seed: 5})
	do(t, bed, "0s kill n2\n0s start n2")
	await(t, bed, names, func(p *testbed.Observation) bool {
		for _, x := range p.Peers {
			if x.Name == "n2" && x.Generation != 2 {
				return false
			}
		}
		return p.Connectivity == "whole" && len(p.AliveNames) == 3 && (p.Name != "n2" || p.Generation == 2)
	})
	do(t, bed, "0s kill n0,n1,n2,n3\n0s start n0,n1,n2,n3") // all at once
	await(t, bed, names, testbed.ExpectView("whole", 4))
	if out, err := bed.Processes.WaitExit("n0", 0); err == nil {
		t.Errorf("n0 ended: %s", out)
	}
	do(t, bed, "0s term n3")
	if how, err := bed.Processes.WaitExit("n3", waitTimeout); err != nil || how != "exit 0" {
		t.Errorf("a server that is asked to stop: %s %v", how, err)
	}
	await(t, bed, names[:3], func(p *testbed.Observation) bool { return p.Connectivity == "whole" && p.Members == 3 })
}

// Seeds that are down when all others start, and start later; before that, servers are alone and serve.
func TestSeedsLate(t *testing.T) {
	names := serverNames(4)
	bed := newBed(t, testbed.Options{Names: names, Seed: 6, Seeds: names[:1]})
	do(t, bed, "0s start n1,n2,n3")
	await(t, bed, names[1:], func(p *testbed.Observation) bool { return p.Connectivity == "alone" && !p.InGracePeriod })
	do(t, bed, "0s start n0")
	await(t, bed, names, testbed.ExpectView("whole", 4))
}

// Two processes with one name: the second gives way, reports why, and serves on.
func TestDuplicateNameOfProcesses(t *testing.T) {
	names := serverNames(3)
	bed := startBed(t, testbed.Options{Names: names, Seed: 7})
	e := bed.Network.Endpoint("n1")
	ln, err := net.Listen("tcp", net.JoinHostPort(e.ListenIP, "0"))
	if err != nil {
		t.Fatal(err)
	}
	own := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	f := operator.Fleet{Listen: own, Seeds: []string{bed.Network.Endpoint("n0").AdvertiseAddr(), bed.Network.Endpoint("n2").AdvertiseAddr()}, Socket: bed.Socket("twin")}
	if err := bed.StartDuplicate("twin", "n1", f); err != nil {
		t.Fatal(err)
	}
	await(t, bed, []string{"twin"}, func(p *testbed.Observation) bool { return strings.Contains(p.ExclusionReason, "the name n1 is") })
	await(t, bed, names, testbed.ExpectView("whole", 3))
	if err := bed.Processes.Signal("twin", syscall.Signal(0)); err != nil {
		t.Errorf("the second process is gone: %v", err)
	}
}
