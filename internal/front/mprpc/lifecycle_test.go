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

// The connection of a peer that sends nothing or never completes a message must be closed after the message timeout.
// Messages that were complete before must be answered.
func TestMessageTimeout(t *testing.T) {
	cases := []struct {
		name, first, then string
	}{
		{"nothing", "", ""},
		{"half a message", "", "\x94\x00"},
		{"half a message after a complete one", rpc(1, "view", "a"), "\x94\x00\x02\xc4\x09x"},
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

// At the connection limit, a large number of unused connections must be evicted promptly and before all others. They
// must not keep working peers out.
func TestUnusedCrowd(t *testing.T) {
	cases := []struct{ name, each string }{
		{"silent", ""},
		{"health checks on connections that stay open", "\x94\x00\x63\xa6health\x91\x80"},
		{"invalid calls", "\x94\x00\x09\xa4view\x91\x80"},
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
			if elapsed := time.Since(began); elapsed > 100/7*2*front.TransitTime+testTimeout/10 {
				t.Errorf("new connection was served only after %v", elapsed)
			}
			r.conn, r.buf = sound, nil
			r.write(rpc(2, "view", "c"))
			r.completeRun("c")
			r.expect("2 ok r-c")
		})
	}
}

// One call of Evict must close many unused connections. As long as there are any, it must not close one that has
// carried RPCs.
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
	for _, c := range r.table.Conns() { // busy until the server has recorded the response, which the client may read earlier
		for busy := true; busy; runtime.Gosched() {
			class, _ := c.EvictionPriority(time.Now().Add(2 * front.TransitTime))
			busy = class == front.Busy
		}
	}
	for range 2 {
		left := len(r.table.Conns()) - front.MaxEvictions
		for r.table.Evict(); len(r.table.Conns()) > max(1, left); {
			runtime.Gosched() // until they are closed
		}
	}
	r.conn, r.buf = sound, nil
	r.write(rpc(2, "view", "b"))
	r.completeRun("b")
	r.expect("2 ok r-b")
}

// At the connection limit, the connection that has been idle the longest must be evicted.
func TestConnectionLimit(t *testing.T) {
	r := start(t, 0) // the minimum: 8 connections
	r.write(rpc(1, "view", "a"))
	run := <-r.runs
	busy := r.conn
	for range 9 {
		r.conn = r.dial()
		r.write("\x94\x00\x63\xa6health\x91\x80")
	}
	r.expect("99 health true") // the tenth connection is served as well
	r.conn = busy
	run.done(gate.Succeeded, 1, []byte("r"))
	r.expect("1 ok r")
}

// A shutdown must also serve connections that the kernel has accepted, even if they still wait for a permit.
func TestShutdownAtLimit(t *testing.T) {
	r := start(t, 0)
	var conns []net.Conn
	for range 20 {
		r.conn = r.dial()
		r.write(rpc(1, "view", "a"))
		conns = append(conns, r.conn)
	}
	ctx, end := context.WithTimeout(context.Background(), testTimeout)
	defer end()
	go r.table.Shutdown(ctx)
	go func() {
		time.Sleep(4 * front.AcceptGrace) // the first accept deadline must pass while eight connections hold all permits
		for range conns {
			run := <-r.runs
			run.done(gate.Succeeded, 1, nil)
		}
	}()
	for _, r.conn = range conns {
		for got := ""; got != "1 ok "; {
			if got = r.next(); got != "closing" && got != "1 ok " {
				t.Fatalf("message during the shutdown: got %q", got)
			}
		}
		r.noError(r.conn.Close())
	}
}

// Calls that arrive after the server has decided to close a connection must not run and must not reset the connection.
// The caller must read the responses sent before and then EOF.
func TestCrossingClose(t *testing.T) {
	r := start(t, 1024)
	r.write(rpc(1, "view", "a"))
	r.completeRun("a")
	r.expect("1 ok r-a")
	c := r.table.Conns()[0].(*conn)
	c.Mu.Lock()
	c.CloseRequested = true // the close is decided, but the reader is not woken yet
	c.Mu.Unlock()
	crossing := ""
	for id := range uint64(40) { // more than fits into one read
		crossing += rpc(2+id, "view", strings.Repeat("b", maxBody))
	}
	r.write(crossing)
	if got := r.next(); got != "" {
		t.Errorf("message after the close was decided: got %q", got)
	}
	r.noError(r.conn.Close())
	for len(r.table.Conns()) > 0 {
		runtime.Gosched()
	}
	select {
	case run := <-r.runs:
		t.Errorf("RPC %s ran after the close was decided", run.id)
	default:
	}
}

// A connection on which a part of an RPC has been received must not be evicted or closed as drained.
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
	c.LastActivity = c.LastActivity.Add(-front.LingerTimeout) // the rest of the message is slow to arrive
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
		t.Error("PartialMessage is still set after the complete message")
	}
	c.Mu.Unlock()
}
