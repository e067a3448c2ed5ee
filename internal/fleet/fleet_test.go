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

// waitTimeout bounds what must happen: longer than the time between two state exchanges, by which a record arrives whose packets were dropped
// when a starved machine had a server find that it had stalled.
const waitTimeout = 60 * time.Second

func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l.WithField("node", "test")
}

// waitFor polls until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, waitTimeout)
		}
	}
}

// freeAddr returns an address that nobody listens on, at an IP address of its own: clients at 127.0.0.1 take ports there at any time.
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

// maxStartAttempts bounds how often start takes a fresh address.
const maxStartAttempts = 5

// start starts a server at *listen. freeAddr closes its socket before memberlist binds the port for streams and packets, so
// another process may take it in between: then, and only then, start starts again at a fresh address, which it writes to
// *listen for those that seed by it.
func start(t *testing.T, listen *string, o Options) (*Fleet, error) {
	t.Helper()
	for try := 1; ; try++ {
		o.Listen = *listen
		f, err := Start(o)
		if err == nil || try == maxStartAttempts || !taken(*listen) {
			return f, err
		}
		t.Logf("%s was taken before the bind: %v", *listen, err)
		*listen = freeAddr(t)
	}
}

// taken tells whether another socket holds addr's port for streams or packets. memberlist formats its bind error with %v,
// so the cause of a failed Start is found by binding the address once more.
func taken(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err == nil {
		err = ln.Close()
	}
	var pc net.PacketConn
	if err == nil {
		pc, err = net.ListenPacket("udp", addr)
	}
	if err == nil {
		err = pc.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}

// startServer starts a server at *listen as start does, and closes it when the test ends.
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

func connectivityIs(f *Fleet, state health.ClusterState, heard int) func() bool {
	return func() bool {
		v := f.View()
		return v.State == state && v.Reachable == heard
	}
}

// longestProbe bounds a probe of memberlist: its interval times the largest multiplier by local health (Lifeguard).
const longestProbe = 8 * healthCheckInterval

// verifyNoLeaks fails a test that leaves goroutines behind. Memberlist's Shutdown does not wait for a probe in flight, and
// on a busy machine one takes longer than goleak waits by itself; so the end of such a probe, and of nothing else, is
// waited for first.
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

func TestFourOnLoopback(t *testing.T) {
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
		waitFor(t, f.options.Name+" hears all", connectivityIs(f, health.Complete, 4))
	}
	waitFor(t, "the phase of n1 is known", func() bool {
		s := fleet[3].Status()
		return s.Peers[1].Phase == "cold" && s.Peers[1].WarmupProgress == 0.25 && s.Peers[1].Zone == "z1"
	})
	if err := fleet[0].Publish("x", []byte("word")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a record travels", func() (has bool) {
		fleet[2].Each("x", func(r *gossip.Record, _ float64) { has = r.Origin == "n0" && string(r.Body) == "word" })
		return has
	})
	fleet[1].Close()
	waitFor(t, "who leaves is off the roster", func() bool { v := fleet[0].View(); return v.State == health.Complete && v.Members == 3 })
}

// A restarted server supersedes its former incarnation, whose records are still gossiped.
func TestRestart(t *testing.T) {
	t.Parallel()
	addrs := []string{freeAddr(t), freeAddr(t)}
	a := startServer(t, &addrs[0], Options{Name: "a", Seeds: addrs})
	b, err := start(t, &addrs[1], Options{Name: "b", Seeds: addrs, Log: quiet()})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a hears b", connectivityIs(a, health.Complete, 2))
	publish(t, b, "x", "old")
	waitFor(t, "a has b's record", func() bool { _, _, has := a.Get("b", "x"); return has })
	b.Crash()
	b = startServer(t, &addrs[1], Options{Name: "b", Seeds: addrs})
	waitFor(t, "b raises its start", func() bool { return b.Status().Generation == 2 })
	waitFor(t, "a knows it by that", func() bool { s := a.Status(); return s.Peers[0].Generation == 2 && s.Connectivity == "whole" })
	if _, _, has := a.Get("b", "x"); has {
		t.Error("what its former life said is still held")
	}
}

func TestDuplicateName(t *testing.T) {
	t.Parallel()
	addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	a := startServer(t, &addrs[0], Options{Name: "a"})
	b := startServer(t, &addrs[1], Options{Name: "b", Seeds: addrs[:1]})
	waitFor(t, "whole", connectivityIs(a, health.Complete, 2))
	waitFor(t, "whole", connectivityIs(b, health.Complete, 2))
	twin := startServer(t, &addrs[2], Options{Name: "b", Seeds: addrs[:1]})
	waitFor(t, "the second b gives way", func() bool { return strings.Contains(twin.Status().ExclusionReason, "the name b is") })
	waitFor(t, "both are named", func() bool { return len(a.Status().DuplicateNames)+len(b.Status().DuplicateNames) > 0 })
	if s := b.Status(); s.ExclusionReason != "" || s.Connectivity != "whole" {
		t.Errorf("the first b: %+v", s)
	}
	if _, err := Start(Options{Name: "c", Listen: addrs[0], Log: quiet()}); err == nil || !strings.Contains(err.Error(), addrs[0]) {
		t.Errorf("an address that is taken: %v", err)
	}
}

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
		t.Error("a second server takes the socket")
	}
	waitFor(t, "whole", connectivityIs(a, health.Complete, 2))
	ctx := context.Background()
	if err := RequestRemoval(ctx, path, Removal{Name: "b", Operator: "me"}); err == nil || !strings.Contains(err.Error(), "is heard") {
		t.Errorf("who is heard is declared gone: %v", err)
	}
	b.Crash()
	waitFor(t, "b silent, on the roster", func() bool {
		st, err := FetchStatus(ctx, path)
		return err == nil && st.Connectivity == "alone" && st.Reachable == 1 && st.Members == 2 && !st.Peers[0].Reachable
	})
	if err := RequestRemoval(ctx, path, Removal{Name: "b", Operator: "me", Reason: "scrapped"}); err != nil {
		t.Fatal(err)
	}
	if st, _ := FetchStatus(ctx, path); st.Members != 1 || st.Peers[0].Departed != "declared gone" {
		t.Errorf("%+v", st)
	}
	// More readers than are served at a time, none of which reads on: the rest are rejected at once, and all end.
	for range 3 * maxSocketRequests {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() }) // the server may have closed it
		if _, err := io.WriteString(c, "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	if err := fetchStatusBeside(ctx, path); err != nil {
		t.Errorf("slow readers keep others out: %v", err)
	}
}

// fetchStatusBeside reads the status beside readers that have just come. While their answers are written it may be rejected
// as one of too many; it must be answered well before slow readers are cut off, and any other error counts at once.
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

// Garbage, damaged and replayed packets, and a flood, change nothing and are dropped.
func TestHostilePackets(t *testing.T) {
	t.Parallel()
	addrs := []string{freeAddr(t), freeAddr(t)}
	a := startServer(t, &addrs[0], Options{Name: "a"})
	b := startServer(t, &addrs[1], Options{Name: "b", Seeds: addrs})
	waitFor(t, "whole", connectivityIs(a, health.Complete, 2))
	publish(t, b, "x", "first")
	var old []byte
	waitFor(t, "the record", func() bool {
		r, _, has := a.Get("b", "x")
		old = r.Append(nil)
		return has
	})
	publish(t, b, "x", "second")
	waitFor(t, "the next record", func() bool { r, _, _ := a.Get("b", "x"); return string(r.Body) == "second" })
	c, err := net.Dial("udp", addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // nothing is read from it
	send := func(packet []byte) {
		t.Helper()
		if _, err := c.Write(packet); err != nil {
			t.Fatal(err)
		}
	}
	user := func(raw []byte) []byte { // memberlist's user message with the transport's checksum
		b := append([]byte{8, 1, 'b'}, raw...)
		return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	}
	send(user(old))
	send(user(old[:len(old)-3]))
	waitFor(t, "replayed and damaged ones are counted", func() bool { n := a.Status().Records; return n.Stale > 0 && n.Corrupt > 0 })
	for i := range 20000 {
		send([]byte(strings.Repeat(string(rune(i)), 1+i%200)))
	}
	waitFor(t, "the flood is dropped", func() bool { n := a.Status().Traffic; return n.Dropped > 1000 && n.Damaged > 0 })
	if r, _, _ := a.Get("b", "x"); string(r.Body) != "second" {
		t.Errorf("the record is %q", r.Body)
	}
	if v := a.View(); v.Reachable != 2 || v.Members != 2 {
		t.Errorf("%+v", v)
	}
}

// Many servers in one process, over memberlist's mock network.
func TestMany(t *testing.T) {
	t.Parallel()
	n := 60
	mesh := NewMemoryNetwork()
	places := make([]Options, n)
	for i := range places {
		places[i] = mesh.AddServer(fmt.Sprintf("n%03d", i))
	}
	var fleet []*Fleet
	for i, o := range places {
		o.Log, o.Zone, o.Seeds = quiet(), fmt.Sprint("z", i%3), []string{places[0].Listen}
		f, err := Start(o)
		if err != nil {
			t.Fatal(err)
		}
		fleet = append(fleet, f)
	}
	defer func() {
		var ends sync.WaitGroup
		for _, f := range fleet {
			ends.Go(f.Crash)
		}
		ends.Wait()
		mesh.Close()
	}()
	for _, f := range fleet {
		waitFor(t, f.options.Name+" hears all", connectivityIs(f, health.Complete, n))
	}
	if z := fleet[n-1].View().Zones; len(z) != 3 || z[0].Reachable != n/3 {
		t.Errorf("zones %v", z)
	}
}
