package fleet

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand"
	"net"
	"net/http"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/health"
)

// waitTimeout limits the wait for a condition. It is longer than the time between two state exchanges: if a server on an overloaded machine
// finds that it has stalled and drops packets, the records in them arrive with the next state exchange.
const waitTimeout = 60 * time.Second

// quiet returns a logger that discards its output.
func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("node", "test")
}

// waitFor polls until a condition holds, which description describes.
func waitFor(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met: %s; waited %s", description, waitTimeout)
		}
	}
}

// freeAddr returns an unused address with an IP address of its own, because clients at 127.0.0.1 may take any port there.
func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+rand.Intn(200), rand.Intn(256), 1+rand.Intn(250)))
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	return addr
}

// maxStartAttempts is the maximum number of addresses that start tries.
const maxStartAttempts = 5

// start starts a server at *listen. Between the moment when freeAddr closes its socket and the moment when memberlist binds the port,
// another process may take the port. In that case only, start retries with a new address, which it stores in *listen for servers
// that use it as a seed.
func start(t *testing.T, listen *string, o Options) (*Fleet, error) {
	t.Helper()
	for attempt := 1; ; attempt++ {
		o.Listen = *listen
		f, err := Start(o)
		if err == nil || attempt == maxStartAttempts || !inUse(*listen) {
			return f, err
		}
		t.Logf("%s was in use when the server bound it: %v", *listen, err)
		*listen = freeAddr(t)
	}
}

// inUse reports whether another socket uses addr's port for streams or packets. It binds the address once more, because memberlist
// formats its bind error with %v and so hides the cause of a failed Start.
func inUse(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err == nil {
		err = ln.Close()
	}
	var conn net.PacketConn
	if err == nil {
		conn, err = net.ListenPacket("udp", addr)
	}
	if err == nil {
		err = conn.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}

// startServer starts a server like start, and closes it at the end of the test.
func startServer(t *testing.T, listen *string, o Options) *Fleet {
	t.Helper()
	if o.Log == nil {
		o.Log = quiet()
	}
	f, err := start(t, listen, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// publish gossips a record of a server.
func publish(t *testing.T, f *Fleet, key, body string) {
	t.Helper()
	if err := f.Publish(key, []byte(body)); err != nil {
		t.Fatal(err)
	}
}

// connectivityIs returns a condition: the server has a connectivity state, with a number of reachable servers.
func connectivityIs(f *Fleet, state health.ClusterState, reachable int) func() bool {
	return func() bool {
		view := f.View()
		return view.State == state && view.Reachable == reachable
	}
}

// longestProbe is the maximum duration of a probe of memberlist: its interval times the largest local health multiplier (Lifeguard).
const longestProbe = 8 * healthCheckInterval

// verifyNoLeaks fails a test that leaks goroutines. It first waits for the end of memberlist's probes, and of nothing else:
// Shutdown of memberlist does not wait for a probe in progress, and on a busy machine a probe takes longer than goleak waits.
func verifyNoLeaks(t *testing.T, options ...goleak.Option) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	for end := time.Now().Add(longestProbe); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if n := runtime.Stack(stacks, true); !bytes.Contains(stacks[:n], []byte("memberlist.(*Memberlist).probeNode")) {
			break
		}
	}
	goleak.VerifyNone(t, options...)
}

// Four servers on loopback find each other, exchange their phases and other records, and remove a server that leaves from the roster.
func TestFourServersOnLoopback(t *testing.T) {
	defer verifyNoLeaks(t, goleak.IgnoreCurrent())
	addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t), freeAddr(t)}
	phase := WarmingUp
	var fleet []*Fleet
	for i := range addrs {
		o := Options{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%2), Seeds: addrs, EncryptionKey: []byte("0123456789abcdef"), Version: "v1", Log: quiet()}
		if i == 1 {
			o.Phase = func() (Phase, float64) { return phase, 0.25 }
		}
		f, err := start(t, &addrs[i], o)
		if err != nil {
			t.Fatal(err)
		}
		fleet = append(fleet, f)
		defer f.Close()
	}
	for _, f := range fleet {
		waitFor(t, f.options.Name+" reaches all", connectivityIs(f, health.Complete, 4))
	}
	waitFor(t, "n3 knows the phase of n1", func() bool {
		s := fleet[3].Status()
		return s.Peers[1].Phase == "cold" && s.Peers[1].WarmupProgress == 0.25 && s.Peers[1].Zone == "z1"
	})
	if err := fleet[0].Publish("x", []byte("word")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "n2 receives the record of n0", func() (found bool) {
		fleet[2].Each("x", func(r *gossip.Record, _ float64) { found = r.Origin == "n0" && string(r.Body) == "word" })
		return found
	})
	fleet[1].Close()
	waitFor(t, "the server that left is not a member", func() bool { view := fleet[0].View(); return view.State == health.Complete && view.Members == 3 })
}

// A restarted server supersedes its previous incarnation, whose records are still gossiped.
func TestRestart(t *testing.T) {
	t.Parallel()
	addrs := []string{freeAddr(t), freeAddr(t)}
	a := startServer(t, &addrs[0], Options{Name: "a", Seeds: addrs})
	b, err := start(t, &addrs[1], Options{Name: "b", Seeds: addrs, Log: quiet()})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a reaches b", connectivityIs(a, health.Complete, 2))
	publish(t, b, "x", "old")
	waitFor(t, "a has b's record", func() bool { _, _, ok := a.Get("b", "x"); return ok })
	b.Crash()
	b = startServer(t, &addrs[1], Options{Name: "b", Seeds: addrs})
	waitFor(t, "b raises its generation", func() bool { return b.Status().Generation == 2 })
	waitFor(t, "a knows the new generation of b", func() bool { s := a.Status(); return s.Peers[0].Generation == 2 && s.Connectivity == "whole" })
	if _, _, ok := a.Get("b", "x"); ok {
		t.Error("a still has a record of b's previous incarnation")
	}
}

// A second server with the same name excludes itself from the fleet; the first one is not affected.
func TestDuplicateName(t *testing.T) {
	t.Parallel()
	addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	a := startServer(t, &addrs[0], Options{Name: "a"})
	b := startServer(t, &addrs[1], Options{Name: "b", Seeds: addrs[:1]})
	waitFor(t, "a reaches b", connectivityIs(a, health.Complete, 2))
	waitFor(t, "b reaches a", connectivityIs(b, health.Complete, 2))
	duplicate := startServer(t, &addrs[2], Options{Name: "b", Seeds: addrs[:1]})
	waitFor(t, "the second b excludes itself", func() bool { return strings.Contains(duplicate.Status().ExclusionReason, "the name b is") })
	waitFor(t, "the conflict is in the status", func() bool { return len(a.Status().DuplicateNames)+len(b.Status().DuplicateNames) > 0 })
	if s := b.Status(); s.ExclusionReason != "" || s.Connectivity != "whole" {
		t.Errorf("status of the first b: got %+v", s)
	}
	if _, err := Start(Options{Name: "c", Listen: addrs[0], Log: quiet()}); err == nil || !strings.Contains(err.Error(), addrs[0]) {
		t.Errorf("start at an address in use: got error %v", err)
	}
}

// The status socket serves the status and the removal of an unreachable server, and stays available beside slow clients.
func TestSocketAndRemoval(t *testing.T) {
	t.Parallel()
	addrs := []string{freeAddr(t), freeAddr(t)}
	a := startServer(t, &addrs[0], Options{Name: "a"})
	b := startServer(t, &addrs[1], Options{Name: "b", Seeds: addrs})
	path := filepath.Join(t.TempDir(), "a.sock")
	s, err := a.ServeSocket(path)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := b.ServeSocket(path); err == nil {
		t.Error("a second server serves the same socket")
	}
	waitFor(t, "a reaches b", connectivityIs(a, health.Complete, 2))
	ctx := context.Background()
	if err := RequestRemoval(ctx, path, Removal{Name: "b", Operator: "me"}); err == nil || !strings.Contains(err.Error(), "is heard") {
		t.Errorf("removal of a reachable server: got error %v", err)
	}
	b.Crash()
	waitFor(t, "b is an unreachable member", func() bool {
		status, err := FetchStatus(ctx, path)
		return err == nil && status.Connectivity == "alone" && status.Reachable == 1 && status.Members == 2 && !status.Peers[0].Reachable
	})
	if err := RequestRemoval(ctx, path, Removal{Name: "b", Operator: "me", Reason: "scrapped"}); err != nil {
		t.Fatal(err)
	}
	if status, _ := FetchStatus(ctx, path); status.Members != 1 || status.Peers[0].Departed != "declared gone" {
		t.Errorf("status after the removal: got %+v", status)
	}
	// Clients that do not read their responses, more than are served at a time: those over the limit are rejected at once, and the others do not
	// keep the socket busy for long.
	for range 3 * maxSocketRequests {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
		if _, err := io.WriteString(conn, "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	if err := fetchStatusBeside(ctx, path); err != nil {
		t.Errorf("status request beside slow clients: %v", err)
	}
}

// fetchStatusBeside fetches the status while other clients have just connected. The request may be rejected as one too many while
// their responses are being written. It must succeed well before slow clients are disconnected; any other error is returned at once.
func fetchStatusBeside(ctx context.Context, path string) error {
	for end := time.Now().Add(socketTimeout / 2); ; time.Sleep(10 * time.Millisecond) {
		_, err := FetchStatus(ctx, path)
		var rejected *SocketError
		busy := errors.As(err, &rejected) && rejected.StatusCode == http.StatusServiceUnavailable
		if !busy || time.Now().After(end) {
			return err
		}
	}
}

// Malformed, corrupted and replayed packets, and a flood of packets, are dropped and change nothing.
func TestHostilePackets(t *testing.T) {
	t.Parallel()
	addrs := []string{freeAddr(t), freeAddr(t)}
	a := startServer(t, &addrs[0], Options{Name: "a"})
	b := startServer(t, &addrs[1], Options{Name: "b", Seeds: addrs})
	waitFor(t, "a reaches b", connectivityIs(a, health.Complete, 2))
	publish(t, b, "x", "first")
	var old []byte
	waitFor(t, "a has the first record", func() bool {
		r, _, ok := a.Get("b", "x")
		old = r.Append(nil)
		return ok
	})
	publish(t, b, "x", "second")
	waitFor(t, "a has the second record", func() bool { r, _, _ := a.Get("b", "x"); return string(r.Body) == "second" })
	conn, err := net.Dial("udp", addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // only written to; a failed close has no effect
	send := func(packet []byte) {
		t.Helper()
		if _, err := conn.Write(packet); err != nil {
			t.Fatal(err)
		}
	}
	userMessage := func(raw []byte) []byte { // a user message of memberlist with the transport's checksum
		message := append([]byte{8, 1, 'b'}, raw...)
		return binary.LittleEndian.AppendUint32(message, crc32.Checksum(message, castagnoli))
	}
	send(userMessage(old))
	send(userMessage(old[:len(old)-3]))
	waitFor(t, "a counts the replayed and the corrupted record", func() bool { n := a.Status().Records; return n.Stale > 0 && n.Corrupt > 0 })
	for i := range 20000 {
		send([]byte(strings.Repeat(string(rune(i)), 1+i%200)))
	}
	waitFor(t, "a drops the flood", func() bool { n := a.Status().Traffic; return n.Dropped > 1000 && n.Damaged > 0 })
	if r, _, _ := a.Get("b", "x"); string(r.Body) != "second" {
		t.Errorf("record after the flood: got %q, want the second one", r.Body)
	}
	if view := a.View(); view.Reachable != 2 || view.Members != 2 {
		t.Errorf("view after the flood: got %+v", view)
	}
}

// Sixty servers in one process find each other over memberlist's mock network.
func TestManyServers(t *testing.T) {
	t.Parallel()
	servers := 60
	network := NewMemoryNetwork()
	options := make([]Options, servers)
	for i := range options {
		options[i] = network.AddServer(fmt.Sprintf("n%03d", i))
	}
	var fleet []*Fleet
	for i, o := range options {
		o.Log, o.Zone, o.Seeds = quiet(), fmt.Sprint("z", i%3), []string{options[0].Listen}
		f, err := Start(o)
		if err != nil {
			t.Fatal(err)
		}
		fleet = append(fleet, f)
	}
	defer func() {
		var crashes sync.WaitGroup
		for _, f := range fleet {
			crashes.Go(f.Crash)
		}
		crashes.Wait()
		network.Close()
	}()
	for _, f := range fleet {
		waitFor(t, f.options.Name+" reaches all", connectivityIs(f, health.Complete, servers))
	}
	if zones := fleet[servers-1].View().Zones; len(zones) != 3 || zones[0].Reachable != servers/3 {
		t.Errorf("zones: got %v", zones)
	}
}
