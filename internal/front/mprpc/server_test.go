package mprpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/msgpack"
	"sorrelvalve/internal/startup"
)

func TestConnection(t *testing.T) {
	cancel := func(id uint64) string {
		b := msgpack.AppendString(msgpack.AppendUint(msgpack.AppendArray(nil, 3), typeNotification), "cancel")
		return string(msgpack.AppendUint(msgpack.AppendArray(b, 1), id))
	}
	health := "\x94\x00\x63\xa6health\x91\x80"
	cases := []struct {
		name string
		do   func(r *rig)
	}{
		{"one RPC", func(r *rig) {
			r.write(rpc(1, "view", "\x00\xff"))
			if run := r.completeRun("\x00\xff"); len(run.id) != 16 || run.method != "view" {
				r.Errorf("run: got %+v", run)
			}
			r.expect("1 ok r-\x00\xff")
		}},
		{"one byte at a time", func(r *rig) {
			for _, c := range []byte(rpc(1, "view", "a")) {
				r.write(string([]byte{c}))
			}
			r.completeRun("a")
			r.expect("1 ok r-a")
		}},
		{"many RPCs in one segment, answered in any order", func(r *rig) {
			s := ""
			for id := uint64(1); id <= 32; id++ {
				s += rpc(id, "view", "b")
			}
			r.write(s + health)
			r.expect("99 health true")
			for range 32 {
				r.completeRun("b")
			}
			for range 32 {
				if got := r.next(); !strings.HasSuffix(got, " ok r-b") {
					r.Fatalf("message: got %q", got)
				}
			}
		}},
		{"a body and a result of the maximum size", func(r *rig) {
			r.write(rpc(1, "view", strings.Repeat("x", maxBody)))
			run := <-r.runs
			run.done(gate.Succeeded, 1, []byte(strings.Repeat("y", 4096)))
			r.expect("1 ok " + strings.Repeat("y", 4096))
		}},
		{"a failed run", func(r *rig) {
			r.write(rpc(1, "view", ""))
			run := <-r.runs
			run.done(gate.Failed, 1, nil)
			r.expect("1 Aborted")
		}},
		{"many RPCs cancelled at once are all answered and released", func(r *rig) {
			s := cancel(77) + "\x93\x02\xa4sing\x90"
			for id := uint64(1); id <= maxInFlight; id++ {
				s += rpc(id, "view", "a")
			}
			for id := uint64(1); id <= maxInFlight+front.MaxUndelayedFaults/2; id++ { // some cancels cross responses
				s += cancel(id)
			}
			r.write(s)
			for range maxInFlight {
				if got := r.next(); !strings.HasSuffix(got, " Cancelled") {
					r.Fatalf("message: got %q", got)
				}
			}
			go func() {
				for {
					select {
					case run := <-r.runs:
						run.done(gate.Succeeded, 1, []byte("r-"+run.body))
					case <-r.testDone:
						return
					}
				}
			}()
			r.write(rpc(400, "view", "b"))
			r.expect("400 ok r-b") // although runs of cancelled RPCs have not ended
			for r.gate.InFlight() > 0 {
				runtime.Gosched()
			}
		}},
		{"a duplicate is joined", func(r *rig) {
			r.write(rpc(1, "buy", "a", "unique", "u") + rpc(2, "buy", "a", "unique", "u", "second", "1"))
			r.completeRun("a")
			for range 2 {
				if got := r.next(); !strings.HasSuffix(got, " ok r-a") {
					r.Fatalf("message: got %q", got)
				}
			}
		}},
		{"an RPC after the drain grace is rejected", func(r *rig) {
			r.gate.Drain(time.Millisecond)
			r.write(rpc(1, "view", "") + health)
			for range 2 {
				if got := r.next(); got != "1 Overloaded" && got != "99 health false" {
					r.Errorf("message: got %q", got)
				}
			}
		}},
		{"the connection is kept after invalid RPCs", func(r *rig) {
			for i, s := range []string{
				rpc(1, "sell", ""), rpc(2, "view", "", "door", "soon"), rpc(3, "view", "", "cpu", "NaN"),
				rpc(4, "view", "", "lb", "-4"), rpc(5, "view", "", "item", "xyz"), rpc(6, "buy", ""),
				rpc(7, "view", "", "txn", ""), rpc(8, "view", strings.Repeat("x", maxBody+1)),
				"\x94\x00\x09\xa4view\x91\x80", "\x94\x00\x0a\xa4view\x92\x81\xa1a\x07\xc4\x00", "\x94\x00\x0b\xa4view\x92\x80\x07",
				rpc(12, "view", "", "ram", "0"), rpc(13, "view", "", "ram", "2000"), rpc(14, "view", "", "standing", "1"),
				rpc(15, "view", "", "door", "9999999999999"), rpc(16, "view", "", "txn", "0123456789abcde"),
				rpc(17, "view", "", "txn", "0123456789abcdeg"), rpc(18, "buy", "", "unique", strings.Repeat("u", maxToken+1)),
				"\x94\x00\x13\xa6health\x91\x07",
			} {
				r.write(s)
				r.expect(fmt.Sprintf("%d Invalid", i+1))
			}
			r.write(rpc(20, "view", "a"))
			r.completeRun("a")
			r.expect("20 ok r-a")
		}},
		{"numbers of any size", func(r *rig) {
			r.write(rpc(1<<63, "view", "a", "lb", "18446744073709551615", "item", "ffffffffffffffff"))
			r.completeRun("a")
			r.expect("9223372036854775808 ok r-a")
		}},
		{"a duplicate txn or a token with another body is invalid and does not affect the first RPC", func(r *rig) {
			r.write(rpc(1, "view", "a", "txn", "00000000000000ff"))
			first := <-r.runs
			r.write(rpc(2, "view", "b", "txn", "00000000000000ff") + rpc(3, "buy", "c", "unique", "v"))
			r.expect("2 Invalid")
			second := <-r.runs
			r.write(rpc(4, "buy", "d", "unique", "v"))
			r.expect("4 Invalid")
			second.done(gate.Succeeded, 1, []byte("r-c"))
			r.expect("3 ok r-c")
			r.write(rpc(5, "buy", "d", "unique", "v"))
			r.expect("5 Invalid")
			first.done(gate.Succeeded, 1, []byte("r-a"))
			r.expect("1 ok r-a")
			r.write(rpc(6, "view", "e", "txn", "00000000000000ff")) // the first RPC has ended, so its txn may be reused
			r.completeRun("e")
			r.expect("6 ok r-e")
		}},
		{"RPCs beyond the in-flight limit are rejected", func(r *rig) {
			s := ""
			for id := uint64(1); id <= 300; id++ {
				s += rpc(id, "view", "b")
			}
			r.write(s)
			for id := maxInFlight + 1; id <= 300; id++ {
				r.expect(fmt.Sprint(id, " Overloaded"))
			}
			for range maxInFlight {
				r.completeRun("b")
			}
			for range maxInFlight {
				if got := r.next(); !strings.HasSuffix(got, " ok r-b") {
					r.Fatalf("message: got %q", got)
				}
			}
		}},
		{"a peer that sends only invalid RPCs is slowed down and answered", func(r *rig) {
			began := time.Now()
			for id := uint64(1); id <= front.MaxUndelayedFaults+5; id++ {
				r.write(rpc(id, "sell", ""))
				r.expect(fmt.Sprint(id, " Invalid"))
			}
			if elapsed := time.Since(began); elapsed < 4*front.FaultDelay {
				r.Errorf("%d responses took only %v", front.MaxUndelayedFaults+5, elapsed)
			}
		}},
		{"a half-closed connection gets its responses", func(r *rig) {
			r.write(rpc(1, "view", "a"))
			r.noError(r.conn.(*net.TCPConn).CloseWrite())
			r.completeRun("a")
			r.expect("1 ok r-a", "")
		}},
		{"a reset connection does not affect others", func(r *rig) {
			r.write(rpc(1, "view", "a"))
			run := <-r.runs
			r.noError(r.conn.(*net.TCPConn).SetLinger(0))
			r.noError(r.conn.Close())
			r.conn = r.dial()
			r.write(rpc(1, "view", "b"))
			r.completeRun("b")
			r.expect("1 ok r-b")
			run.done(gate.Succeeded, 1, nil)
		}},
		{"queued RPCs of a caller that a failed response shows to be gone do not run", func(r *rig) {
			many := func(body string) (s string) {
				for id := uint64(1); id <= 60; id++ {
					s += rpc(id, "view", body)
				}
				return s
			}
			r.write(many("a"))
			for range 60 {
				<-r.runs
			}
			gone := r.dial()
			if _, err := io.WriteString(gone, many("b")); err != nil {
				r.Fatal(err)
			}
			// four of these run alongside the first 60
			for r.gate.InFlight() < 120 {
				runtime.Gosched()
			}
			inFlight := func() (n int) {
				for _, c := range r.table.Conns() {
					c := c.(*conn)
					c.Mu.Lock()
					if c.RemoteAddr().String() == gone.LocalAddr().String() {
						n = len(c.tickets)
					}
					c.Mu.Unlock()
				}
				return n
			}
			r.noError(gone.Close()) // the server sees a half-closed connection until it writes
			ran := 0
			for end := time.Now().Add(testTimeout); r.gate.InFlight() > 60 && time.Now().Before(end); {
				select {
				case run := <-r.runs:
					left := inFlight()
					run.done(gate.Succeeded, 1, nil)
					ran++
					for inFlight() >= left && left > 0 {
						runtime.Gosched() // its response has not been written yet
					}
				default:
					runtime.Gosched()
				}
			}
			if ran > 30 || r.gate.InFlight() != 60 {
				r.Errorf("%d RPCs of the lost caller ran, %d RPCs in flight", ran, r.gate.InFlight())
			}
		}},
		{"a panic while handling an RPC", func(r *rig) {
			r.write(rpc(1, "view", "panic"))
			r.expect("1 Internal")
			r.write(rpc(2, "view", "a"))
			r.completeRun("a")
			r.expect("2 ok r-a")
		}},
		{"a caller that reads nothing does not block another one", func(r *rig) {
			big := []byte(strings.Repeat("z", 4<<20))
			r.write(rpc(1, "view", "slow"))
			run := <-r.runs
			run.done(gate.Succeeded, 1, big) // more than the socket's buffers hold
			slow := r.conn
			r.conn = r.dial()
			r.write(rpc(1, "view", "a"))
			r.completeRun("a")
			r.expect("1 ok r-a")
			r.conn = slow
			r.expect("1 ok " + string(big))
		}},
		{"an idle connection is sent a closing notice and closed", func(r *rig) {
			r.write(health)
			r.expect("99 health true")
			for _, c := range r.table.Conns() {
				c := c.(*conn)
				for recorded := false; !recorded; runtime.Gosched() { // the client may read the response earlier
					c.Mu.Lock()
					recorded = c.InFlight == 0
					if recorded {
						c.LastActivity = c.LastActivity.Add(-time.Hour)
					}
					c.Mu.Unlock()
				}
			}
			r.expect("closing", "")
		}},
		{"an RPC that crosses a close does not run, as it is resent", func(r *rig) {
			r.write(health)
			r.expect("99 health true")
			c := r.table.Conns()[0].(*conn)
			c.Mu.Lock()
			c.CloseRequested = true
			c.Mu.Unlock()
			r.write(rpc(1, "view", "a"))
			r.expect("")
			if n := r.gate.InFlight(); n != 0 {
				r.Errorf("RPCs in flight: got %d, want 0", n)
			}
		}},
		{"a shutdown answers the RPCs in flight and then closes connections", func(r *rig) {
			r.write(rpc(1, "view", "a"))
			run := <-r.runs
			ctx, end := context.WithTimeout(context.Background(), testTimeout)
			defer end()
			done := make(chan struct{})
			go func() { r.table.Shutdown(ctx); close(done) }()
			r.expect("closing")
			r.write(rpc(2, "view", "b")) // crosses the closing notice
			run.done(gate.Succeeded, 1, []byte("r"))
			r.expect("1 ok r")
			r.completeRun("b")
			r.expect("2 ok r-b")
			r.noError(r.conn.Close())
			<-done
			if _, err := net.Dial("tcp", r.addr); err == nil {
				r.Error("server is still listening after the shutdown")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.do(start(t, 1024))
		})
	}
}

// An invalid frame must close the connection after the complete messages before it have been answered.
func TestBrokenFrames(t *testing.T) {
	cases := []struct {
		name, in string
		answered bool // whether the message id can be parsed
	}{
		{"not MessagePack", "\xc1", false},
		{"not a message", "\x07", false},
		{"an unknown message type", "\x94\x05\x01\xa1m\x90", false},
		{"a response", "\x94\x01\x01\xc0\xc0", false},
		{"a call with too few parts", "\x93\x00\x01\xa1m", false},
		{"a method that is not a string", "\x94\x00\x02\x07\x90", true},
		{"nested too deep", strings.Repeat("\x91", 100), false},
		{"nested too deep after an id", "\x94\x00\x02\xa4view" + strings.Repeat("\x91", 100), true},
		{"too long", rpc(2, "view", strings.Repeat("x", maxFrame)), true},
		{"an announced body of 60 MB without data", "\x94\x00\x02\xa4view\x92\x80\xc6\x03\x93\x87\x00", true},
		{"an announced array of four billion items", "\x94\x00\x02\xa4view\xdd\xff\xff\xff\xff", true},
		{"a method with an excessive length", "\x94\x00\x02\xdb\xff\xff\xff\xff" + strings.Repeat("x", maxFrame), true},
		{"an id that is in flight", rpc(1, "view", ""), false},
		{"an invalid message with an id that is in flight", "\x94\x00\x01\xc1", false},
		{"the connection ends within a message", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 1024)
			r.write(rpc(1, "view", "a") + c.in)
			if c.in == "" {
				r.write("\x94")
				r.noError(r.conn.(*net.TCPConn).CloseWrite())
			}
			if c.answered {
				r.expect("2 Invalid")
			}
			r.completeRun("a")
			r.expect("1 ok r-a", "")
		})
	}
}

func TestRemoveUnsupported(t *testing.T) {
	config := &startup.Config{}
	if names := RemoveUnsupported(config); names != nil {
		t.Errorf("unsupported features of an empty config: got %q", names)
	}
	config.Dependency.ConcurrencyShare, config.Node.Preemption, config.Fleet.Feedback, config.Fleet.PropagatesDeadline = 2, control.PreemptAbort, control.FeedbackLevel, true
	if names := RemoveUnsupported(config); len(names) != 4 || config.Dependency.ConcurrencyShare != 0 || config.Node.Preemption != control.PreemptNone ||
		config.Fleet.Feedback != control.FeedbackNone || config.Fleet.PropagatesDeadline {
		t.Errorf("unsupported features: got %q, config %+v", names, config)
	}
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte(rpc(1, "view", "a")))
	f.Add([]byte("\x93\x02\xa6cancel\x91\x07"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, size, err := parseMessage(b)
		if err != nil {
			return
		}
		if size < 1 || size > len(b) {
			t.Fatalf("message size: got %d bytes of an input of %d", size, len(b))
		}
		parseCancel(m.params)
		if rpc, err := parseRPC(m.method, m.params); err == nil &&
			(len(rpc.ID) != 16 || len(rpc.Body) > maxBody || !(rpc.ArrivedMs > 0) || !(rpc.CostHintMs >= 0 && rpc.QueuedKB > 0)) {
			t.Errorf("invalid RPC was accepted: %+v", rpc)
		}
	})
}
