package fleet_test

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

// TestMain serves as a whole server if it was started as one: the processes of the bed are this test's own program.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "serve" {
		if os.Getenv("BED_PROGRAM") == "crashes" {
			os.Exit(3)
		}
		if err := (daemon.Command{Operator: os.Args[3]}).Run(func(p daemon.Parts) (daemon.Addition, error) {
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

func serverNames(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("n", i))
	}
	return all
}

// places are for beds at a time: each is several processes under the race detector, and more of them than cores tell of nothing but
// that.
var places = make(chan struct{}, max(2, runtime.NumCPU()/2))

// lay makes a bed, and starts all of it unless told otherwise.
func lay(t *testing.T, o testbed.Options) *testbed.Bed {
	t.Helper()
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	o.ServeCommand = serve
	b, err := testbed.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, a := range b.Network.Log() {
				t.Log(a.At, a.Text)
			}
			for _, name := range b.Names {
				log, _ := os.ReadFile(b.Processes.LogPath(name))
				t.Logf("%s: %s", name, log[max(0, len(log)-1500):])
			}
		}
		b.Close()
	})
	return b
}

func started(t *testing.T, o testbed.Options) *testbed.Bed {
	b := lay(t, o)
	if err := b.StartAll(); err != nil {
		t.Fatal(err)
	}
	await(t, b, o.Names, testbed.ExpectView("whole", len(o.Names)))
	return b
}

// within is long for a machine that does other things beside; what is measured is measured by valvelab.
const within = 40 * time.Second

func await(t *testing.T, b *testbed.Bed, viewers []string, wanted func(*testbed.Observation) bool) {
	t.Helper()
	if err := b.Await(within, viewers, wanted); err != nil {
		t.Fatal(err)
	}
}

func do(t *testing.T, b *testbed.Bed, lines string) {
	t.Helper()
	s, err := script.Parse(lines, b.Names)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range s {
		if err := b.Apply(x); err != nil {
			t.Fatal(err)
		}
	}
}

func TestHalvesAndOneAlone(t *testing.T) {
	n := serverNames(6)
	b := started(t, testbed.Options{Names: n, Seed: 1, Zone: func(i int) string { return fmt.Sprint("z", i%2) }})
	do(t, b, "0s split n0,n1,n2|n3,n4,n5")
	await(t, b, n, testbed.ExpectView("part", 3))
	for _, name := range n {
		if s, err := b.Status(name); err != nil || s.Members != 6 || s.MaxServers != 6 || s.MinServers != 3 {
			t.Errorf("%s: %+v %v", name, s, err)
		}
	}
	do(t, b, "0s heal")
	await(t, b, n, testbed.ExpectView("whole", 6))
	do(t, b, "0s cut n4>*\n0s cut *>n4")
	await(t, b, n[4:5], testbed.ExpectView("alone", 1))
	await(t, b, append(n[:4:4], "n5"), testbed.ExpectView("part", 5))
	do(t, b, "0s heal\n0s relay n0,n3")
	await(t, b, n, testbed.ExpectView("whole", 6))
}

// A bridge: who is reached through another is there, and told from none.
func TestBridgeAndOneWay(t *testing.T) {
	n := serverNames(3)
	b := started(t, testbed.Options{Names: n, Seed: 2, Seeds: n[1:2]})
	do(t, b, "0s split n0|n2")
	await(t, b, n[:1], func(p *testbed.Observation) bool {
		return p.Connectivity == "whole" && p.Peers[1].Contact == "through others"
	})
	do(t, b, "0s heal\n0s cut n0>n2")
	await(t, b, n[:1], func(p *testbed.Observation) bool { return p.Connectivity == "whole" && p.Peers[1].Contact == "one way" })
	do(t, b, "0s heal\n0s cut n0>*") // it hears, and is heard by nobody
	await(t, b, n[1:], testbed.ExpectView("part", 2))
	do(t, b, "0s heal")
	await(t, b, n, testbed.ExpectView("whole", 3))
}

// Loss, delay, doubled, overtaken and spoilt packets wrong nobody for good.
func TestBadNetwork(t *testing.T) {
	n := serverNames(5)
	b := started(t, testbed.Options{Names: n, Seed: 3})
	do(t, b, "0s loss *>* 0.3")
	time.Sleep(3 * time.Second) // the fault's own length
	do(t, b, "0s heal\n0s delay *>* 200ms 200ms\n0s mess *>* 0.1\n0s slow *>* 100000")
	time.Sleep(3 * time.Second)
	do(t, b, "0s heal")
	await(t, b, n, testbed.ExpectView("whole", 5))
	if c := b.Network.Counts(); c.Dropped == 0 || c.Duplicated == 0 || c.Corrupted == 0 {
		t.Errorf("the relay did nothing: %+v", c)
	}
}

// A third is stopped for longer than any judgement takes: the rest see them silent and on the roster; they see on waking
// that it was they who stalled, and hold nothing against anybody.
func TestStopped(t *testing.T) {
	n := serverNames(6)
	b := started(t, testbed.Options{Names: n, Seed: 4})
	w := b.Watch(20 * time.Millisecond)
	defer w.Close()
	do(t, b, "0s stop n1,n4")
	await(t, b, []string{"n0", "n2", "n3", "n5"}, func(p *testbed.Observation) bool {
		return p.Connectivity == "part" && len(p.AliveNames) == 3 && p.Members == 6
	})
	woke := w.Elapsed()
	do(t, b, "0s cont n1,n4")
	await(t, b, n, testbed.ExpectView("whole", 6))
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
		for _, x := range must(b.Status(name)).Peers {
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

func TestKilledAndTwin(t *testing.T) {
	n := serverNames(4)
	b := started(t, testbed.Options{Names: n, Seed: 5})
	do(t, b, "0s kill n2\n0s start n2")
	await(t, b, n, func(p *testbed.Observation) bool {
		for _, x := range p.Peers {
			if x.Name == "n2" && x.Generation != 2 {
				return false
			}
		}
		return p.Connectivity == "whole" && len(p.AliveNames) == 3 && (p.Name != "n2" || p.Generation == 2)
	})
	do(t, b, "0s kill n0,n1,n2,n3\n0s start n0,n1,n2,n3") // all at once
	await(t, b, n, testbed.ExpectView("whole", 4))
	if out, err := b.Processes.WaitExit("n0", 0); err == nil {
		t.Errorf("n0 ended: %s", out)
	}
	do(t, b, "0s term n3")
	if how, err := b.Processes.WaitExit("n3", within); err != nil || how != "exit 0" {
		t.Errorf("a server that is asked to stop: %s %v", how, err)
	}
	await(t, b, n[:3], func(p *testbed.Observation) bool { return p.Connectivity == "whole" && p.Members == 3 })
}

// Seeds that are down when all others start, and come later; before that, servers are alone and serve.
func TestSeedsLate(t *testing.T) {
	n := serverNames(4)
	b := lay(t, testbed.Options{Names: n, Seed: 6, Seeds: n[:1]})
	do(t, b, "0s start n1,n2,n3")
	await(t, b, n[1:], func(p *testbed.Observation) bool { return p.Connectivity == "alone" && !p.InGracePeriod })
	do(t, b, "0s start n0")
	await(t, b, n, testbed.ExpectView("whole", 4))
}

// Two processes with one name: the second gives way, says why, and serves on.
func TestTwinProcess(t *testing.T) {
	n := serverNames(3)
	b := started(t, testbed.Options{Names: n, Seed: 7})
	e := b.Network.Endpoint("n1")
	ln, err := net.Listen("tcp", net.JoinHostPort(e.ListenIP, "0"))
	if err != nil {
		t.Fatal(err)
	}
	own := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	f := operator.Fleet{Listen: own, Seeds: []string{b.Network.Endpoint("n0").AdvertiseAddr(), b.Network.Endpoint("n2").AdvertiseAddr()}, Socket: b.Socket("twin")}
	if err := b.StartDuplicate("twin", "n1", f); err != nil {
		t.Fatal(err)
	}
	await(t, b, []string{"twin"}, func(p *testbed.Observation) bool { return strings.Contains(p.ExclusionReason, "the name n1 is") })
	await(t, b, n, testbed.ExpectView("whole", 3))
	if err := b.Processes.Signal("twin", syscall.Signal(0)); err != nil {
		t.Errorf("the second process is gone: %v", err)
	}
}
