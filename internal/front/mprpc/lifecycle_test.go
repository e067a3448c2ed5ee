package mprpc

import (
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
)

// A peer that sends nothing, or never finishes a message, is closed in time; what came complete before is answered.
func TestMessageTimeout(t *testing.T) {
	cases := []struct {
		name, first, then string
	}{
		{"nothing", "", ""},
		{"half a message", "", "\x94\x00"},
		{"half a message behind a whole one", rpc(1, "view", "a"), "\x94\x00\x02\xc4\x09x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 1024, 20*time.Millisecond)
			r.write(c.first + c.then)
			if c.first != "" {
				r.completeRun("a")
				r.expect("1 ok r-a")
			}
			r.expect("")
		})
	}
}

// At the limit a crowd of unused connections is evicted at once and before any other, and keeps no sound peer out.
func TestUnusedCrowd(t *testing.T) {
	cases := []struct{ name, each string }{
		{"silent", ""},
		{"checks on connections that stay", "\x94\x00\x63\xa6health\x91\x80"},
		{"nonsense", "\x94\x00\x09\xa4view\x91\x80"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 0) // the minimum: 8 connections
			sound := r.conn
			r.write(rpc(1, "view", "a"))
			r.completeRun("a")
			r.expect("1 ok r-a")
			began := time.Now()
			for range 100 {
				r.conn = r.dial()
				r.write(c.each)
			}
			r.conn = r.dial()
			r.write(rpc(1, "view", "b"))
			r.completeRun("b")
			r.expect("1 ok r-b")
			if gone := time.Since(began); gone > 100/7*2*front.TransitTime+soon/10 {
				t.Errorf("kept out for %v", gone)
			}
			r.conn, r.buf = sound, nil
			r.write(rpc(2, "view", "c"))
			r.completeRun("c")
			r.expect("2 ok r-c")
		})
	}
}

// One eviction closes many unused connections, and then none that has carried RPCs.
func TestEvictUnused(t *testing.T) {
	r := start(t, 1024)
	r.write(rpc(1, "view", "a"))
	r.completeRun("a")
	r.expect("1 ok r-a")
	sound := r.conn
	for range front.MaxEvictions + 5 {
		r.conn = r.dial()
		r.write("\x94\x00\x63\xa6health\x91\x80")
		r.expect("99 health true")
	}
	for _, c := range r.table.Conns() { // a response is read before its server has recorded it: the connection is busy until then
		for busy := true; busy; runtime.Gosched() {
			class, _ := c.EvictionPriority(time.Now().Add(2 * front.TransitTime))
			busy = class == front.Busy
		}
	}
	for range 2 {
		left := len(r.table.Conns()) - front.MaxEvictions
		for r.table.Evict(); len(r.table.Conns()) > max(1, left); {
			runtime.Gosched() // until they have ended
		}
	}
	r.conn, r.buf = sound, nil
	r.write(rpc(2, "view", "b"))
	r.completeRun("b")
	r.expect("2 ok r-b")
}

// At the limit of connections the one that is idle for longest is evicted.
func TestConnectionLimit(t *testing.T) {
	r := start(t, 0) // the minimum: 8 connections
	r.write(rpc(1, "view", "a"))
	run := <-r.runs
	busy := r.conn
	for range 9 {
		r.conn = r.dial()
		r.write("\x94\x00\x63\xa6health\x91\x80")
	}
	r.expect("99 health true") // the tenth is served, too
	r.conn = busy
	run.done(gate.Succeeded, 1, []byte("r"))
	r.expect("1 ok r")
}

// At a shutdown what the kernel has accepted is served as well, even if it still waits for a permit.
func TestShutdownAtLimit(t *testing.T) {
	r := start(t, 0)
	var conns []net.Conn
	for range 20 {
		r.conn = r.dial()
		r.write(rpc(1, "view", "a"))
		conns = append(conns, r.conn)
	}
	ctx, end := context.WithTimeout(context.Background(), soon)
	defer end()
	go r.table.Shutdown(ctx)
	go func() {
		time.Sleep(4 * front.AcceptGrace) // the first deadline must be past while eight connections take all places
		for range conns {
			run := <-r.runs
			run.done(gate.Succeeded, 1, nil)
		}
	}()
	for _, r.conn = range conns {
		for got := ""; got != "1 ok "; {
			if got = r.next(); got != "closing" && got != "1 ok " {
				t.Fatalf("read %q", got)
			}
		}
		r.noError(r.conn.Close())
	}
}

// What comes once a connection is to be closed from here is not run and resets nothing: its caller reads the responses
// sent before, and then the end.
func TestCrossingClose(t *testing.T) {
	r := start(t, 1024)
	r.write(rpc(1, "view", "a"))
	r.completeRun("a")
	r.expect("1 ok r-a")
	c := r.table.Conns()[0].(*conn)
	c.Mu.Lock()
	c.CloseRequested = true // decided, and its reader has yet to be woken
	c.Mu.Unlock()
	crossing := ""
	for id := range uint64(40) { // more than one read takes
		crossing += rpc(2+id, "view", strings.Repeat("b", maxBody))
	}
	r.write(crossing)
	if got := r.next(); got != "" {
		t.Errorf("read %q", got)
	}
	r.noError(r.conn.Close())
	for len(r.table.Conns()) > 0 {
		runtime.Gosched()
	}
	select {
	case run := <-r.runs:
		t.Errorf("%s was run", run.id)
	default:
	}
}

// A connection on which part of an RPC has come is neither evicted nor closed as drained.
func TestPartialMessage(t *testing.T) {
	r := start(t, 0)
	r.write(rpc(1, "view", "a"))
	r.completeRun("a")
	r.expect("1 ok r-a")
	c := r.table.Conns()[0].(*conn)
	half := rpc(2, "view", "b")
	r.write(half[:len(half)/2])
	for begun := false; !begun; runtime.Gosched() {
		c.Mu.Lock()
		begun = c.PartialMessage
		c.Mu.Unlock()
	}
	c.Mu.Lock()
	c.LastActivity = c.LastActivity.Add(-front.LingerTimeout) // it takes its time
	c.Mu.Unlock()
	c.GoAway()
	r.expect("closing")
	c.CloseIfDrained(0)
	r.table.Evict()
	r.write(half[len(half)/2:])
	r.completeRun("b")
	r.expect("2 ok r-b")
	c.Mu.Lock()
	if c.PartialMessage {
		t.Error("still taken for begun")
	}
	c.Mu.Unlock()
}
