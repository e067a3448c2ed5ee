package mprpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"sorrelvalve/control"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/msgpack"
	"sorrelvalve/internal/startup"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// soon bounds what must come at once; it is long only so that a busy machine fails no test.
const soon = 10 * time.Second

// rig is a server whose runs end when the test says so, with one connection to it.
type rig struct {
	*testing.T
	server *Server
	table  *front.ConnTable
	gate   *gate.Gate
	addr   string
	conn   net.Conn
	buf    []byte
	runs   chan running
	over   chan struct{} // closed at the end of the test
}

type running struct {
	id, method, body string
	done             func(gate.Outcome, float64, []byte)
}

func start(t *testing.T, sockets int, patience ...time.Duration) *rig {
	o, err := startup.Parse("classes.count=2\nclasses.0.name=view\nclasses.0.aim=9000000000\n" +
		"classes.1.name=buy\nclasses.1.aim=9000000000\nclasses.1.idempotency=idempotency_key\n" +
		"classes.1.window=8000000000\nfamily_info.cores=64\nfamily_info.ram_kb=1000000\nrules.tip_multiple=8\n")
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &rig{T: t, addr: ln.Addr().String(), runs: make(chan running, 1000), over: make(chan struct{})}
	r.gate = gate.New(o, 64, func(string, string) {})
	r.gate.Start(false, 0)
	entry := log.WithField("node", "n0")
	r.table = front.NewConnTable(sockets, r.gate.IdleTimeout, entry)
	r.server = New(r.table, r.gate, func(w gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		if string(w.Body) == "panic" {
			panic("the runner")
		}
		r.runs <- running{w.ID, w.Method, string(w.Body), func(how gate.Outcome, spent float64, result []byte) {
			var head []byte
			if w.Method == "page" {
				head, result, _ = bytes.Cut(result, []byte("|"))
			}
			done(how, spent, head, result)
		}}
	}, entry)
	if len(patience) > 0 {
		r.server.messageTimeout = patience[0]
	}
	r.table.AddListener(ln.(*net.TCPListener), r.server.Open)
	t.Cleanup(func() {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		_ = r.conn.Close() // the test may have closed it
		r.table.Shutdown(ctx)
		close(r.over)
	})
	r.conn = r.dial()
	return r
}

// noError fails the test on an error of what must work.
func (r *rig) noError(err error) {
	r.Helper()
	if err != nil {
		r.Error(err)
	}
}

func (r *rig) dial() net.Conn {
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.Fatal(err)
	}
	r.noError(conn.SetDeadline(time.Now().Add(soon)))
	r.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}

var rpcIDs atomic.Uint64

// rpc is a frame with the fields given as key, value, ... behind the usual ones.
func rpc(id uint64, method, body string, more ...string) string {
	f := append([]string{"txn", fmt.Sprintf("%016x", rpcIDs.Add(1)), "door", fmt.Sprint(time.Now().UnixMilli()), "lb", "4", "ram", "24.5",
		"cpu", "12.50", "standing", "0.6250", "item", "7f3a9c21e0b4d655"}, more...)
	b := msgpack.AppendString(msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), typeCall), id), method)
	b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(f)/2)
	for _, s := range f {
		b = msgpack.AppendString(b, s)
	}
	return string(msgpack.AppendBinHeader(b, len(body))) + body
}

func (r *rig) says(s string) {
	r.Helper()
	if _, err := io.WriteString(r.conn, s); err != nil {
		r.Fatal(err)
	}
}

// next reads one message whole and shows it in short; "" is the end of the connection.
func (r *rig) next() string {
	r.Helper()
	for {
		p := msgpack.Parse(r.buf)
		if p.Skip(); p.Err() == nil {
			s := show(r.buf[:p.Offset()])
			r.buf = r.buf[p.Offset():]
			return s
		}
		b := make([]byte, 4096)
		n, err := r.conn.Read(b)
		if r.buf = append(r.buf, b[:n]...); n == 0 && errors.Is(err, io.EOF) {
			return ""
		} else if n == 0 {
			r.Fatal(err)
		}
	}
}

// show is a message as "id error result", or the name of a notice.
func show(b []byte) string {
	p := msgpack.Parse(b)
	if p.Array() == 3 {
		p.Uint()
		return string(p.Bytes())
	}
	p.Uint()
	id := p.Uint()
	if q := p; true {
		if q.Nil(); q.Err() == nil {
			q.Array()
			v := q
			if result := v.Bytes(); v.Err() == nil {
				return fmt.Sprintf("%d ok %s", id, result)
			}
			return fmt.Sprintf("%d health %v", id, q.Bool())
		}
	}
	p.Array()
	return fmt.Sprintf("%d %s", id, p.Bytes())
}

func (r *rig) expect(want ...string) {
	r.Helper()
	for _, w := range want {
		if got := r.next(); got != w {
			r.Fatalf("read %q, want %q", got, w)
		}
	}
}

// end takes the next run and ends it with a result made of its body.
func (r *rig) end(body string) running {
	r.Helper()
	select {
	case run := <-r.runs:
		if run.body != body {
			r.Fatalf("run of %q, want %q", run.body, body)
		}
		run.done(gate.Succeeded, 1, []byte("r-"+run.body))
		return run
	case <-time.After(soon):
		r.Fatal("no run")
	}
	return running{}
}

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
			r.says(rpc(1, "view", "\x00\xff"))
			if run := r.end("\x00\xff"); len(run.id) != 16 || run.method != "view" {
				r.Errorf("ran %+v", run)
			}
			r.expect("1 ok r-\x00\xff")
		}},
		{"one byte at a time", func(r *rig) {
			for _, c := range []byte(rpc(1, "view", "a")) {
				r.says(string([]byte{c}))
			}
			r.end("a")
			r.expect("1 ok r-a")
		}},
		{"many in one segment, answered in any order", func(r *rig) {
			s := ""
			for id := uint64(1); id <= 32; id++ {
				s += rpc(id, "view", "b")
			}
			r.says(s + health)
			r.expect("99 health true")
			for range 32 {
				r.end("b")
			}
			for range 32 {
				if got := r.next(); !strings.HasSuffix(got, " ok r-b") {
					r.Fatalf("read %q", got)
				}
			}
		}},
		{"a body and a result of the largest size", func(r *rig) {
			r.says(rpc(1, "view", strings.Repeat("x", maxBody)))
			run := <-r.runs
			run.done(gate.Succeeded, 1, []byte(strings.Repeat("y", 4096)))
			r.expect("1 ok " + strings.Repeat("y", 4096))
		}},
		{"a run that failed", func(r *rig) {
			r.says(rpc(1, "view", ""))
			run := <-r.runs
			run.done(gate.Failed, 1, nil)
			r.expect("1 Aborted")
		}},
		{"hundreds withdrawn at once: each hears of it, and all is free again", func(r *rig) {
			s := cancel(77) + "\x93\x02\xa4sing\x90"
			for id := uint64(1); id <= maxInFlight; id++ {
				s += rpc(id, "view", "a")
			}
			for id := uint64(1); id <= maxInFlight+maxFaultsUndelayed/2; id++ { // some cross their answers
				s += cancel(id)
			}
			r.says(s)
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
			r.says(rpc(400, "view", "b"))
			r.expect("400 ok r-b") // in spite of runs that have yet to end
			for r.gate.InFlight() > 0 {
				runtime.Gosched()
			}
		}},
		{"a repeat is joined", func(r *rig) {
			r.says(rpc(1, "buy", "a", "unique", "u") + rpc(2, "buy", "a", "unique", "u", "second", "1"))
			r.end("a")
			for range 2 {
				if got := r.next(); !strings.HasSuffix(got, " ok r-a") {
					r.Fatalf("read %q", got)
				}
			}
		}},
		{"past the drain's grace it is pushed back", func(r *rig) {
			r.gate.Drain(time.Millisecond)
			r.says(rpc(1, "view", "") + health)
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
				r.says(s)
				r.expect(fmt.Sprintf("%d Invalid", i+1))
			}
			r.says(rpc(20, "view", "a"))
			r.end("a")
			r.expect("20 ok r-a")
		}},
		{"numbers of any size", func(r *rig) {
			r.says(rpc(1<<63, "view", "a", "lb", "18446744073709551615", "item", "ffffffffffffffff"))
			r.end("a")
			r.expect("9223372036854775808 ok r-a")
		}},
		{"the txn of an open RPC, and a token with another body: the first goes on", func(r *rig) {
			r.says(rpc(1, "view", "a", "txn", "00000000000000ff"))
			first := <-r.runs
			r.says(rpc(2, "view", "b", "txn", "00000000000000ff") + rpc(3, "buy", "c", "unique", "v"))
			r.expect("2 Invalid")
			second := <-r.runs
			r.says(rpc(4, "buy", "d", "unique", "v"))
			r.expect("4 Invalid")
			second.done(gate.Succeeded, 1, []byte("r-c"))
			r.expect("3 ok r-c")
			r.says(rpc(5, "buy", "d", "unique", "v"))
			r.expect("5 Invalid")
			first.done(gate.Succeeded, 1, []byte("r-a"))
			r.expect("1 ok r-a")
			r.says(rpc(6, "view", "e", "txn", "00000000000000ff")) // over, so it may come again
			r.end("e")
			r.expect("6 ok r-e")
		}},
		{"hundreds at once: those past the bound are pushed back", func(r *rig) {
			s := ""
			for id := uint64(1); id <= 300; id++ {
				s += rpc(id, "view", "b")
			}
			r.says(s)
			for id := maxInFlight + 1; id <= 300; id++ {
				r.expect(fmt.Sprint(id, " Overloaded"))
			}
			for range maxInFlight {
				r.end("b")
			}
			for range maxInFlight {
				if got := r.next(); !strings.HasSuffix(got, " ok r-b") {
					r.Fatalf("read %q", got)
				}
			}
		}},
		{"a peer that never makes sense is slowed down, and still answered", func(r *rig) {
			began := time.Now()
			for id := uint64(1); id <= maxFaultsUndelayed+5; id++ {
				r.says(rpc(id, "sell", ""))
				r.expect(fmt.Sprint(id, " Invalid"))
			}
			if gone := time.Since(began); gone < 4*faultDelay {
				r.Errorf("%d answers in %v", maxFaultsUndelayed+5, gone)
			}
		}},
		{"a half-closed connection gets its answers", func(r *rig) {
			r.says(rpc(1, "view", "a"))
			r.noError(r.conn.(*net.TCPConn).CloseWrite())
			r.end("a")
			r.expect("1 ok r-a", "")
		}},
		{"a reset connection takes nothing with it", func(r *rig) {
			r.says(rpc(1, "view", "a"))
			run := <-r.runs
			r.noError(r.conn.(*net.TCPConn).SetLinger(0))
			r.noError(r.conn.Close())
			r.conn = r.dial()
			r.says(rpc(1, "view", "b"))
			r.end("b")
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
			r.says(many("a"))
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
			r.says(rpc(1, "view", "panic"))
			r.expect("1 Internal")
			r.says(rpc(2, "view", "a"))
			r.end("a")
			r.expect("2 ok r-a")
		}},
		{"a caller that reads nothing holds up no other", func(r *rig) {
			big := []byte(strings.Repeat("z", 4<<20))
			r.says(rpc(1, "view", "slow"))
			run := <-r.runs
			run.done(gate.Succeeded, 1, big) // more than the socket's buffers hold
			slow := r.conn
			r.conn = r.dial()
			r.says(rpc(1, "view", "a"))
			r.end("a")
			r.expect("1 ok r-a")
			r.conn = slow
			r.expect("1 ok " + string(big))
		}},
		{"an idle connection is told, and closed", func(r *rig) {
			r.says(health)
			r.expect("99 health true")
			for _, c := range r.table.Conns() {
				c := c.(*conn)
				c.Mu.Lock()
				c.LastActivity = c.LastActivity.Add(-time.Hour)
				c.Mu.Unlock()
			}
			r.expect("closing", "")
		}},
		{"what crosses a close from here is not run, as it is sent again", func(r *rig) {
			r.says(health)
			r.expect("99 health true")
			c := r.table.Conns()[0].(*conn)
			c.Mu.Lock()
			c.CloseRequested = true
			c.Mu.Unlock()
			r.says(rpc(1, "view", "a"))
			r.expect("")
			if n := r.gate.InFlight(); n != 0 {
				r.Errorf("%d in hand", n)
			}
		}},
		{"at the end what is in hand is answered, then all is closed", func(r *rig) {
			r.says(rpc(1, "view", "a"))
			run := <-r.runs
			ctx, end := context.WithTimeout(context.Background(), soon)
			defer end()
			over := make(chan struct{})
			go func() { r.table.Shutdown(ctx); close(over) }()
			r.expect("closing")
			r.says(rpc(2, "view", "b")) // it crosses the notice
			run.done(gate.Succeeded, 1, []byte("r"))
			r.expect("1 ok r")
			r.end("b")
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
			r.says(rpc(1, "view", "a") + c.in)
			if c.in == "" {
				r.says("\x94")
				r.noError(r.conn.(*net.TCPConn).CloseWrite())
			}
			if c.answered {
				r.expect("2 Invalid")
			}
			r.end("a")
			r.expect("1 ok r-a", "")
		})
	}
}

// Who says nothing, or never comes to an end, is closed in time; what came whole before is answered.
func TestSilence(t *testing.T) {
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
			r.says(c.first + c.then)
			if c.first != "" {
				r.end("a")
				r.expect("1 ok r-a")
			}
			r.expect("")
		})
	}
}

// At the limit a crowd that was never of use makes room at once and before any other, and keeps no sound one out.
func TestUselessCrowd(t *testing.T) {
	cases := []struct{ name, each string }{
		{"silent", ""},
		{"checks on connections that stay", "\x94\x00\x63\xa6health\x91\x80"},
		{"nonsense", "\x94\x00\x09\xa4view\x91\x80"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 0) // the least there is: 8
			sound := r.conn
			r.says(rpc(1, "view", "a"))
			r.end("a")
			r.expect("1 ok r-a")
			began := time.Now()
			for range 100 {
				r.conn = r.dial()
				r.says(c.each)
			}
			r.conn = r.dial()
			r.says(rpc(1, "view", "b"))
			r.end("b")
			r.expect("1 ok r-b")
			if gone := time.Since(began); gone > 100/7*2*front.TransitTime+soon/10 {
				t.Errorf("kept out for %v", gone)
			}
			r.conn, r.buf = sound, nil
			r.says(rpc(2, "view", "c"))
			r.end("c")
			r.expect("2 ok r-c")
		})
	}
}

// One eviction closes many unused connections, and then none that has carried RPCs.
func TestEvictUnused(t *testing.T) {
	r := start(t, 1024)
	r.says(rpc(1, "view", "a"))
	r.end("a")
	r.expect("1 ok r-a")
	sound := r.conn
	for range front.MaxEvictions + 5 {
		r.conn = r.dial()
		r.says("\x94\x00\x63\xa6health\x91\x80")
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
	r.says(rpc(2, "view", "b"))
	r.end("b")
	r.expect("2 ok r-b")
}

// At the limit of connections the one that is idle for longest is evicted.
func TestConnectionLimit(t *testing.T) {
	r := start(t, 0) // the least there is: 8
	r.says(rpc(1, "view", "a"))
	run := <-r.runs
	busy := r.conn
	for range 9 {
		r.conn = r.dial()
		r.says("\x94\x00\x63\xa6health\x91\x80")
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
		r.says(rpc(1, "view", "a"))
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

// What comes once a connection is to be closed from here is not run and resets nothing: its caller reads the responses
// sent before, and then the end.
func TestCrossingClose(t *testing.T) {
	r := start(t, 1024)
	r.says(rpc(1, "view", "a"))
	r.end("a")
	r.expect("1 ok r-a")
	c := r.table.Conns()[0].(*conn)
	c.Mu.Lock()
	c.CloseRequested = true // decided, and its reader has yet to be woken
	c.Mu.Unlock()
	crossing := ""
	for id := range uint64(40) { // more than one read takes
		crossing += rpc(2+id, "view", strings.Repeat("b", maxBody))
	}
	r.says(crossing)
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
	r.says(rpc(1, "view", "a"))
	r.end("a")
	r.expect("1 ok r-a")
	c := r.table.Conns()[0].(*conn)
	half := rpc(2, "view", "b")
	r.says(half[:len(half)/2])
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
	r.says(half[len(half)/2:])
	r.end("b")
	r.expect("2 ok r-b")
	c.Mu.Lock()
	if c.PartialMessage {
		t.Error("still taken for begun")
	}
	c.Mu.Unlock()
}
