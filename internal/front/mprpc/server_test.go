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
				r.Errorf("ran %+v", run)
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
		{"many in one segment, answered in any order", func(r *rig) {
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
					r.Fatalf("read %q", got)
				}
			}
		}},
		{"a body and a result of the largest size", func(r *rig) {
			r.write(rpc(1, "view", strings.Repeat("x", maxBody)))
			run := <-r.runs
			run.done(gate.Succeeded, 1, []byte(strings.Repeat("y", 4096)))
			r.expect("1 ok " + strings.Repeat("y", 4096))
		}},
		{"a run that failed", func(r *rig) {
			r.write(rpc(1, "view", ""))
			run := <-r.runs
			run.done(gate.Failed, 1, nil)
			r.expect("1 Aborted")
		}},
		{"hundreds withdrawn at once: each hears of it, and all is free again", func(r *rig) {
			s := cancel(77) + "\x93\x02\xa4sing\x90"
			for id := uint64(1); id <= maxInFlight; id++ {
				s += rpc(id, "view", "a")
			}
			for id := uint64(1); id <= maxInFlight+front.MaxUndelayedFaults/2; id++ { // some cross their answers
				s += cancel(id)
			}
			r.write(s)
			for range maxInFlight {
				if got := r.next(); !strings.HasSuffix(got, " Cancelled") {
					r.Fatalf("read %q", got)
				}
			}
			go func() {
				for {
					select {
					case run := <-r.runs:
						run.done(gate.Succeeded, 1, []byte("r-"+run.body))
					case <-r.over:
						return
					}
				}
			}()
			r.write(rpc(400, "view", "b"))
			r.expect("400 ok r-b") // in spite of runs that have yet to end
			for r.gate.InFlight() > 0 {
				runtime.Gosched()
			}
		}},
		{"a repeat is joined", func(r *rig) {
			r.write(rpc(1, "buy", "a", "unique", "u") + rpc(2, "buy", "a", "unique", "u", "second", "1"))
			r.completeRun("a")
			for range 2 {
				if got := r.next(); !strings.HasSuffix(got, " ok r-a") {
					r.Fatalf("read %q", got)
				}
			}
		}},
		{"past the drain's grace it is pushed back", func(r *rig) {
			r.gate.Drain(time.Millisecond)
			r.write(rpc(1, "view", "") + health)
			for range 2 {
				if got := r.next(); got != "1 Overloaded" && got != "99 health false" {
					r.Errorf("read %q", got)
				}
			}
		}},
		{"senseless RPCs, and the connection goes on", func(r *rig) {
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
		{"the txn of an open RPC, and a token with another body: the first goes on", func(r *rig) {
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
			r.write(rpc(6, "view", "e", "txn", "00000000000000ff")) // over, so it may come again
			r.completeRun("e")
			r.expect("6 ok r-e")
		}},
		{"hundreds at once: those past the bound are pushed back", func(r *rig) {
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
					r.Fatalf("read %q", got)
				}
			}
		}},
		{"a peer that never makes sense is slowed down, and still answered", func(r *rig) {
			began := time.Now()
			for id := uint64(1); id <= front.MaxUndelayedFaults+5; id++ {
				r.write(rpc(id, "sell", ""))
				r.expect(fmt.Sprint(id, " Invalid"))
			}
			if gone := time.Since(began); gone < 4*front.FaultDelay {
				r.Errorf("%d answers in %v", front.MaxUndelayedFaults+5, gone)
			}
		}},
		{"a half-closed connection gets its answers", func(r *rig) {
			r.write(rpc(1, "view", "a"))
			r.noError(r.conn.(*net.TCPConn).CloseWrite())
			r.completeRun("a")
			r.expect("1 ok r-a", "")
		}},
		{"a reset connection takes nothing with it", func(r *rig) {
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
		{"a caller found gone by an answer: what it still waits for is not run", func(r *rig) {
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
			// four of them run beside the others
			for r.gate.InFlight() < 120 {
				runtime.Gosched()
			}
			open := func() (n int) {
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
			r.noError(gone.Close()) // looks half-closed until something is written
			ran := 0
			for end := time.Now().Add(soon); r.gate.InFlight() > 60 && time.Now().Before(end); {
				select {
				case run := <-r.runs:
					left := open()
					run.done(gate.Succeeded, 1, nil)
					ran++
					for open() >= left && left > 0 {
						runtime.Gosched() // its answer has not been tried yet
					}
				default:
					runtime.Gosched()
				}
			}
			if ran > 30 || r.gate.InFlight() != 60 {
				r.Errorf("%d ran, %d in hand", ran, r.gate.InFlight())
			}
		}},
		{"a panic on an RPC", func(r *rig) {
			r.write(rpc(1, "view", "panic"))
			r.expect("1 Internal")
			r.write(rpc(2, "view", "a"))
			r.completeRun("a")
			r.expect("2 ok r-a")
		}},
		{"a caller that reads nothing holds up no other", func(r *rig) {
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
		{"an idle connection is told, and closed", func(r *rig) {
			r.write(health)
			r.expect("99 health true")
			for _, c := range r.table.Conns() {
				c := c.(*conn)
				for recorded := false; !recorded; runtime.Gosched() { // a response is read before its server has recorded it
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
		{"what crosses a close from here is not run, as it is sent again", func(r *rig) {
			r.write(health)
			r.expect("99 health true")
			c := r.table.Conns()[0].(*conn)
			c.Mu.Lock()
			c.CloseRequested = true
			c.Mu.Unlock()
			r.write(rpc(1, "view", "a"))
			r.expect("")
			if n := r.gate.InFlight(); n != 0 {
				r.Errorf("%d in hand", n)
			}
		}},
		{"at the end what is in hand is answered, then all is closed", func(r *rig) {
			r.write(rpc(1, "view", "a"))
			run := <-r.runs
			ctx, end := context.WithTimeout(context.Background(), soon)
			defer end()
			over := make(chan struct{})
			go func() { r.table.Shutdown(ctx); close(over) }()
			r.expect("closing")
			r.write(rpc(2, "view", "b")) // it crosses the notice
			run.done(gate.Succeeded, 1, []byte("r"))
			r.expect("1 ok r")
			r.completeRun("b")
			r.expect("2 ok r-b")
			r.noError(r.conn.Close())
			<-over
			if _, err := net.Dial("tcp", r.addr); err == nil {
				r.Error("still listening")
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

// A broken frame ends the connection once what came complete before it has been answered.
func TestBrokenFrames(t *testing.T) {
	cases := []struct {
		name, in string
		answered bool // an id can be read
	}{
		{"not MessagePack", "\xc1", false},
		{"not a message", "\x07", false},
		{"an unknown type", "\x94\x05\x01\xa1m\x90", false},
		{"an answer", "\x94\x01\x01\xc0\xc0", false},
		{"a call with too few parts", "\x93\x00\x01\xa1m", false},
		{"a method that is no text", "\x94\x00\x02\x07\x90", true},
		{"too deep", strings.Repeat("\x91", 100), false},
		{"too deep behind an id", "\x94\x00\x02\xa4view" + strings.Repeat("\x91", 100), true},
		{"too long", rpc(2, "view", strings.Repeat("x", maxFrame)), true},
		{"the claim of 60 MB, of which nothing has come", "\x94\x00\x02\xa4view\x92\x80\xc6\x03\x93\x87\x00", true},
		{"the claim of four billion items", "\x94\x00\x02\xa4view\xdd\xff\xff\xff\xff", true},
		{"a length beyond all bounds", "\x94\x00\x02\xdb\xff\xff\xff\xff" + strings.Repeat("x", maxFrame), true},
		{"an id that is open", rpc(1, "view", ""), false},
		{"a length that is wrong under an id that is open", "\x94\x00\x01\xc1", false},
		{"the end within a message", "", false},
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
	o := &startup.Config{}
	if names := RemoveUnsupported(o); names != nil {
		t.Errorf("absent %q of nothing", names)
	}
	o.Dependency.ConcurrencyShare, o.Node.Preemption, o.Fleet.Feedback, o.Fleet.PropagatesDeadline = 2, control.PreemptAbort, control.FeedbackLevel, true
	if names := RemoveUnsupported(o); len(names) != 4 || o.Dependency.ConcurrencyShare != 0 || o.Node.Preemption != control.PreemptNone ||
		o.Fleet.Feedback != control.FeedbackNone || o.Fleet.PropagatesDeadline {
		t.Errorf("absent %q, told %+v", names, o)
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
			t.Fatalf("message of %d bytes in %d", size, len(b))
		}
		parseCancel(m.params)
		if rpc, err := parseRPC(m.method, m.params); err == nil &&
			(len(rpc.ID) != 16 || len(rpc.Body) > maxBody || !(rpc.ArrivedMs > 0) || !(rpc.CostHintMs >= 0 && rpc.QueuedKB > 0)) {
			t.Errorf("took %+v", rpc)
		}
	})
}
