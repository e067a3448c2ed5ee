package uwsgi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/startup"
	wire "sorrelvalve/internal/uwsgi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// soon bounds what must come at once; it is long only so that a busy machine fails no test.
const soon = 10 * time.Second

// rig is a gate behind both fronts, whose runs end when the test says so, with one connection to the uwsgi one.
type rig struct {
	*testing.T
	server *Server
	table  *front.ConnTable
	gate   *gate.Gate
	web    string
	rpc    string
	conn   net.Conn
	in     *bufio.Reader
	runs   chan running
	over   chan struct{} // closed at the end of the test
}

type running struct {
	gate.RunRequest
	done func(gate.Outcome, float64, []byte, []byte)
}

func (r running) end(result string) { r.done(gate.Succeeded, 1, nil, []byte(result)) }

func file() *operator.File {
	return &operator.File{
		Version: "t",
		UWSGI: &operator.UWSGI{Listen: "127.0.0.1:1", KeepAlive: "asked", MaxHeaderBytes: 8192, MaxVariables: 32, MaxPathBytes: 256, MaxBodyBytes: 40000,
			BodyMemoryKB: 80, ReadTimeoutMs: 2000, BodyTimeoutMs: 2000, QueuedKB: 16},
		Routes: map[string]operator.Route{
			"view":  {Path: "/view", Verb: "GET", Method: "view", Type: "text/plain"},
			"save":  {Path: "/view/{id}", Verb: "POST", Method: "view", Type: "text/plain", Hint: &operator.Source{Variable: "WORK"}},
			"topup": {Path: "/topup-buy", Verb: "POST", Method: "buy", Type: "text/plain", Token: &operator.Source{Variable: "HTTP_IDEMPOTENCY_KEY"}},
		},
	}
}

func start(t *testing.T, sockets int, change ...func(*operator.File)) *rig {
	return startOn(t, 64, sockets, change...)
}

func startOn(t *testing.T, cores, sockets int, change ...func(*operator.File)) *rig {
	o, err := startup.Parse("classes.count=2\nclasses.0.name=view\nclasses.0.aim=9000000000\n" +
		"classes.1.name=buy\nclasses.1.aim=9000000000\nclasses.1.idempotency=idempotency_key\n" +
		"classes.1.window=8000000000\nfamily_info.cores=" + fmt.Sprint(cores) + "\nfamily_info.ram_kb=1000000\nrules.tip_multiple=8\nlimits.max_retry_after=1500000000\n")
	if err != nil {
		t.Fatal(err)
	}
	f := file()
	for _, c := range change {
		c(f)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("node", "n0")
	r := &rig{T: t, runs: make(chan running, 1000), over: make(chan struct{})}
	r.gate = gate.New(o, 64, func(string, string) {})
	r.gate.Start(false, 0)
	r.table = front.NewConnTable(sockets, r.gate.IdleTimeout, log)
	run := func(w gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		if string(w.Body) == "panic" {
			panic("the runner")
		}
		r.runs <- running{w, done}
	}
	r.server = New(r.table, r.gate, run, f, 7, log)
	listen := func(open func(net.Conn) front.Conn) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.table.AddListener(ln.(*net.TCPListener), open)
		return ln.Addr().String()
	}
	r.web = listen(r.server.Open)
	r.rpc = listen(mprpc.New(r.table, r.gate, run, log).Open)
	t.Cleanup(func() {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		_ = r.conn.Close() // the test may have closed it
		r.table.Shutdown(ctx)
		close(r.over)
	})
	r.dial()
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
	conn, err := net.Dial("tcp", r.web)
	if err != nil {
		r.Fatal(err)
	}
	r.noError(conn.SetDeadline(time.Now().Add(soon)))
	r.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	r.conn, r.in = conn, bufio.NewReader(conn)
	return conn
}

// packet is a message with these variables.
func packet(body string, pairs ...string) string {
	var b []byte
	for i := 0; i < len(pairs); i += 2 {
		b = wire.AppendVariable(b, pairs[i], pairs[i+1])
	}
	return string(wire.AppendHeader(nil, 0, len(b), 0)) + string(b) + body
}

func post(path, body string, more ...string) string {
	return packet(body, append([]string{"REQUEST_METHOD", "POST", "PATH_INFO", path, "CONTENT_LENGTH", fmt.Sprint(len(body))}, more...)...)
}

func get(path string, more ...string) string {
	return packet("", append([]string{"REQUEST_METHOD", "GET", "PATH_INFO", path, "CONTENT_LENGTH", ""}, more...)...)
}

func (r *rig) says(s string) {
	r.Helper()
	if _, err := io.WriteString(r.conn, s); err != nil {
		r.Fatal(err)
	}
}

// next reads one answer: its status and body, and its head.
func (r *rig) next() (string, string) {
	r.Helper()
	var head strings.Builder
	for {
		line, err := r.in.ReadString('\n')
		head.WriteString(line)
		if errors.Is(err, io.EOF) && head.Len() == 0 {
			return "", ""
		} else if err != nil {
			r.Fatalf("read %q, error %v", head.String(), err)
		}
		if line == "\r\n" {
			break
		}
	}
	a, _, err := wire.ParseResponse([]byte(head.String()))
	if err != nil {
		r.Fatal(err)
	}
	body := make([]byte, max(0, a.Length))
	if _, err := io.ReadFull(r.in, body); err != nil {
		r.Fatal(err)
	}
	return strings.TrimSuffix(fmt.Sprintf("%d %s", a.Status, body), " "), head.String()
}

func (r *rig) expect(want ...string) (head string) {
	r.Helper()
	for _, w := range want {
		var got string
		if got, head = r.next(); got != w {
			r.Fatalf("read %q, want %q; head %q", got, w, head)
		}
	}
	return head
}

// run is the next run that the gate asked for.
func (r *rig) run() running {
	r.Helper()
	select {
	case run := <-r.runs:
		return run
	case <-time.After(soon):
		r.Fatal("nothing runs")
	}
	return running{}
}

// quiet waits until nothing is in flight.
func (r *rig) quiet() { r.Helper(); r.inFlight(0) }

// inFlight waits until n RPCs are in flight.
func (r *rig) inFlight(n int) {
	r.Helper()
	r.until("RPCs in hand", func() bool { return r.gate.InFlight() == n })
}

// gone waits until there are no connections.
func (r *rig) gone() {
	r.Helper()
	r.until("no connection", func() bool { return len(r.table.Conns()) == 0 })
}

func (r *rig) until(what string, holds func() bool) {
	r.Helper()
	for end := time.Now().Add(soon); !holds(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			r.Fatalf("never: %s; %d in hand, %d connections", what, r.gate.InFlight(), len(r.table.Conns()))
		}
	}
}

func TestConnections(t *testing.T) {
	keep := []string{"VALVE_KEEP", "1"}
	cases := []struct {
		name   string
		change func(*operator.File)
		do     func(r *rig)
	}{
		{"one RPC, then the end", nil, func(r *rig) {
			r.says(get("/view"))
			run := r.run()
			if run.Method != "view" || len(run.ID) != 16 || !strings.Contains(run.Variables, "/view") {
				r.Errorf("ran %+v", run)
			}
			run.end("a")
			if head := r.expect("200 a", ""); head != "" {
				r.Errorf("head %q", head)
			}
		}},
		{"one byte at a time", nil, func(r *rig) {
			for _, c := range []byte(post("/view/1", "body")) {
				r.says(string(c))
			}
			if run := r.run(); string(run.Body) != "body" {
				r.Errorf("body %q", run.Body)
			} else {
				run.end("a")
			}
			r.expect("200 a", "")
		}},
		{"several on a connection that is kept, sent at once", nil, func(r *rig) {
			s := ""
			for i := range 5 {
				s += post("/view/1", fmt.Sprint("b", i), keep...)
			}
			r.says(s)
			for i := range 5 {
				run := r.run()
				run.end(string(run.Body))
				if head := r.expect(fmt.Sprint("200 b", i)); strings.Contains(head, "close") {
					r.Errorf("head %q", head)
				}
			}
		}},
		{"a whole message ahead while one runs", nil, func(r *rig) {
			r.says(post("/view/1", "a", keep...))
			run := r.run()
			r.says(post("/view/1", strings.Repeat("b", 3000), keep...))
			run.end("a")
			r.expect("200 a")
			r.run().end("b")
			r.expect("200 b")
		}},
		{"more ahead than the buffer holds", nil, func(r *rig) {
			r.says(post("/view/1", "a", keep...))
			run := r.run()
			conn := r.conn
			go func() { _, _ = io.WriteString(conn, post("/view/1", strings.Repeat("b", 30000), keep...)) }() // its answer is read below
			run.end("a")
			r.expect("200 a")
			run = r.run()
			run.end(fmt.Sprint(len(run.Body)))
			r.expect("200 30000")
		}},
		{"a block of exactly the longest size, and one byte more", nil, func(r *rig) {
			least := len(get("/view", "PAD", "")) - wire.HeaderSize
			r.says(get("/view", "PAD", strings.Repeat("x", 8192-least)))
			r.run().end("a")
			r.expect("200 a", "")
			r.dial()
			r.says(get("/view", "PAD", strings.Repeat("x", 8193-least)))
			r.expect("431", "")
		}},
		{"a body of the longest size, and one byte more", nil, func(r *rig) {
			r.says(post("/view/1", strings.Repeat("x", 40000)))
			if run := r.run(); len(run.Body) != 40000 {
				r.Errorf("%d bytes", len(run.Body))
			} else {
				run.end("a")
			}
			r.expect("200 a", "")
			r.dial()
			r.says(packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "40001"))
			r.expect("413", "")
		}},
		{"bodies that take more than they may together are pushed back", nil, func(r *rig) {
			for n := range 2 {
				r.dial()
				r.says(packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "40000"))
				r.until("the body is expected", func() bool { return r.server.bodyBytes.Load() == int64(40000*(n+1)) })
			}
			r.dial()
			r.says(post("/view/1", strings.Repeat("x", 40000)))
			if head := r.expect("503"); !strings.Contains(head, "Retry-After: 1\r\n") || !strings.Contains(head, "Valve-Away-Ms: 250\r\n") {
				r.Errorf("head %q", head)
			}
		}},
		{"a failed run", nil, func(r *rig) {
			r.says(get("/view"))
			r.run().done(gate.Failed, 1, nil, nil)
			r.expect("500", "")
		}},
		{"no room below", nil, func(r *rig) {
			r.says(get("/view"))
			r.run().done(gate.NoCapacity, 1, nil, nil)
			if head := r.expect("503"); !strings.Contains(head, "Retry-After: 1\r\n") || !strings.Contains(head, "Valve-Away-Ms: 500\r\n") {
				r.Errorf("head %q", head)
			}
		}},
		{"a panic on an RPC", nil, func(r *rig) {
			r.says(post("/view/1", "panic", keep...))
			r.expect("500", "")
		}},
		{"a pool's answer passes, but for what speaks of the connection", nil, func(r *rig) {
			r.says(get("/view"))
			r.run().done(gate.Succeeded, 1, []byte("HTTP/1.1 404 Gone Fishing\r\nX-A: b\r\nConnection: keep-alive\r\nContent-Length: 99\r\nTransfer-Encoding: identity\r\n\r\n"), []byte("none"))
			head := r.expect("404 none")
			if want := "HTTP/1.1 404 Gone Fishing\r\nX-A: b\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"; head != want {
				r.Errorf("head %q", head)
			}
		}},
		{"HEAD, and what has no body", func(f *operator.File) { f.Routes["any"] = operator.Route{Path: "/any", Method: "view"} }, func(r *rig) {
			r.says(packet("", "REQUEST_METHOD", "HEAD", "PATH_INFO", "/any", "VALVE_KEEP", "1"))
			r.run().done(gate.Succeeded, 1, []byte("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"), nil)
			if line, _ := r.in.ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
				r.Errorf("read %q", line)
			}
			if line, _ := r.in.ReadString('\n'); line != "Content-Length: 99\r\n" {
				r.Errorf("read %q", line)
			}
			_, err := r.in.ReadString('\n')
			r.noError(err)
			r.says(packet("", "REQUEST_METHOD", "DELETE", "PATH_INFO", "/any"))
			r.run().done(gate.Succeeded, 1, []byte("HTTP/1.1 204 No Content\r\n\r\n"), []byte("none"))
			if head := r.expect("204", ""); strings.Contains(head, "Content-Length") {
				r.Errorf("head %q", head)
			}
		}},
		{"a client that leaves in mid block", nil, func(r *rig) {
			r.says(get("/view")[:20])
			r.noError(r.conn.Close())
			r.quiet()
		}},
		{"a client that leaves in mid body", nil, func(r *rig) {
			r.says(packet("abc", "REQUEST_METHOD", "POST", "PATH_INFO", "/topup-buy", "CONTENT_LENGTH", "10", "HTTP_IDEMPOTENCY_KEY", "k"))
			r.noError(r.conn.Close())
			r.until("the body is no longer expected", func() bool { return r.server.bodyBytes.Load() == 0 })
			r.dial()
			r.says(post("/topup-buy", "abcdefghij", "HTTP_IDEMPOTENCY_KEY", "k"))
			r.run().end("a")
			r.expect("200 a", "")
		}},
		{"a body shorter than its length", func(f *operator.File) { f.UWSGI.BodyTimeoutMs = 30 }, func(r *rig) {
			r.says(packet("abc", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "10"))
			r.expect("400", "")
			r.quiet()
		}},
		{"a body longer than its length", nil, func(r *rig) {
			r.says(packet("0123456789 and more", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "10"))
			run := r.run()
			run.end(string(run.Body))
			r.expect("200 0123456789", "")
		}},
		{"a body longer than its length on a connection that is kept", nil, func(r *rig) {
			r.says(packet("0123456789and more", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "10", "VALVE_KEEP", "1"))
			r.run().end("a")
			r.expect("200 a", "400", "")
		}},
		{"a client that leaves while it runs: the run ends, and nothing is left", nil, func(r *rig) {
			r.says(get("/view"))
			run := r.run()
			r.noError(r.conn.Close())
			r.gone()
			run.end("a")
			r.quiet()
		}},
		{"a client that resets while it runs", nil, func(r *rig) {
			r.says(get("/view"))
			run := r.run()
			r.noError(r.conn.(*net.TCPConn).SetLinger(0))
			r.noError(r.conn.Close())
			r.gone()
			run.end("a")
			r.quiet()
		}},
		{"a half-closed connection has left", nil, func(r *rig) {
			r.says(get("/view"))
			run := r.run()
			r.noError(r.conn.(*net.TCPConn).CloseWrite())
			r.expect("")
			run.end("a")
			r.quiet()
		}},
		{"a half-closed connection gets its answer where the file says so", func(f *operator.File) { f.UWSGI.HalfClose = true }, func(r *rig) {
			r.says(get("/view"))
			r.noError(r.conn.(*net.TCPConn).CloseWrite())
			r.run().end("a")
			r.expect("200 a", "")
		}},
		{"a client that leaves in mid answer", nil, func(r *rig) {
			r.says(get("/view"))
			run := r.run()
			go run.end(strings.Repeat("x", 8<<20)) // more than the socket's buffers hold
			_, err := r.in.ReadByte()
			r.noError(err)
			r.noError(r.conn.Close())
			r.quiet()
		}},
		{"a peer that sends and never reads holds up no other", nil, func(r *rig) {
			for range 3 {
				r.says(get("/view", keep...))
			}
			r.run().end(strings.Repeat("x", 8<<20))
			r.dial()
			r.says(get("/view"))
			r.run().end("a")
			r.expect("200 a", "")
		}},
		{"a ping", nil, func(r *rig) {
			r.says("\x64\x00\x00\x00")
			b := make([]byte, 5)
			if n, err := io.ReadFull(r.in, b); string(b[:n]) != "\x64\x00\x00\x01" || err != io.ErrUnexpectedEOF {
				r.Errorf("read %q, error %v", b[:n], err)
			}
			r.dial()
			r.gate.Drain(time.Second)
			r.says("\x64\x00\x00\x00")
			if n, err := r.in.Read(b); n != 0 || err != io.EOF {
				r.Errorf("read %q, error %v", b[:n], err)
			}
		}},
		{"a new file: what has been read goes on under the old one", nil, func(r *rig) {
			r.says(get("/view", keep...))
			run := r.run()
			f := file()
			f.Routes = map[string]operator.Route{"other": {Path: "/other", Method: "view", Type: "text/html"}}
			r.server.Set(f)
			run.end("a")
			if head := r.expect("200 a"); !strings.Contains(head, "text/plain") {
				r.Errorf("head %q", head)
			}
			r.says(get("/view", keep...))
			r.expect("404")
			r.says(get("/other"))
			r.run().end("b")
			if head := r.expect("200 b"); !strings.Contains(head, "text/html") {
				r.Errorf("head %q", head)
			}
		}},
		{"past the drain's grace it is pushed back, and the connection ends", nil, func(r *rig) {
			r.gate.Drain(time.Millisecond)
			r.says(get("/view"))
			r.expect("503", "")
		}},
		{"an idle connection that was kept ends", nil, func(r *rig) {
			r.says(get("/view", keep...))
			r.run().end("a")
			r.expect("200 a")
			for _, c := range r.table.Conns() {
				c := c.(*conn)
				r.until("it is booked as idle", func() bool { // which follows the answer
					c.Mu.Lock()
					defer c.Mu.Unlock()
					return c.InFlight == 0
				})
				c.Mu.Lock()
				c.LastActivity = c.LastActivity.Add(-time.Hour)
				c.Mu.Unlock()
			}
			r.expect("")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var change []func(*operator.File)
			if c.change != nil {
				change = append(change, c.change)
			}
			c.do(start(t, 1024, change...))
		})
	}
}

// What makes no sense is told so, by the one table of statuses, and runs nothing.
func TestSenseless(t *testing.T) {
	var many []string
	for i := range 40 {
		many = append(many, fmt.Sprint("X", i), "")
	}
	cases := []struct{ name, in, want, head string }{
		{"no verb", packet("", "PATH_INFO", "/view"), "400", "REQUEST_METHOD"},
		{"no path", packet("", "REQUEST_METHOD", "GET"), "400", "path"},
		{"a path that climbs", get("/view/../topup-buy"), "400", "path"},
		{"an empty segment", get("//view"), "400", "path"},
		{"no route", get("/none"), "404", ""},
		{"another verb", packet("", "REQUEST_METHOD", "DELETE", "PATH_INFO", "/view"), "405", "Allow: GET\r\n"},
		{"a verb that is none", packet("", "REQUEST_METHOD", "BREW", "PATH_INFO", "/view"), "405", "Allow: DELETE, GET"},
		{"no length", packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1"), "411", ""},
		{"a body in a transfer coding", get("/view", "HTTP_TRANSFER_ENCODING", "chunked"), "411", ""},
		{"a length that is none", packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "-1"), "400", "CONTENT_LENGTH"},
		{"two lengths", packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "1", "CONTENT_LENGTH", "2"), "400", "twice"},
		{"a path too long", get("/" + strings.Repeat("x", 300)), "414", ""},
		{"too many variables", get("/view", many...), "431", ""},
		{"a size that lies", "\x00\x05\x00\x00\x09\x00abc", "400", ""},
		{"another modifier", "\x05\x00\x00\x00", "400", "modifier1"},
		{"another protocol", "GET /view HTTP/1.1\r\n\r\n", "400", "modifier1"},
		{"a hint that is none", post("/view/1", "", "WORK", "lots"), "400", "hint (route save)"},
		{"no token", post("/topup-buy", ""), "400", "token"},
		{"a line end in a value", post("/view/1", "", "WORK", "1\r\nX-Evil: 1"), "400", "hint"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 1024)
			r.says(c.in)
			head := r.expect(c.want)
			if !strings.Contains(head, c.head) || strings.Contains(head, "\nX-Evil") {
				t.Errorf("head %q, want %q in it", head, c.head)
			}
			if n := r.gate.InFlight(); n != 0 {
				t.Errorf("%d in hand", n)
			}
		})
	}
}

// Who says nothing, or never comes to an end, is closed in time.
func TestSilence(t *testing.T) {
	for name, s := range map[string]string{"nothing": "", "half a head": "\x00", "half a block": get("/view")[:30]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 1024, func(f *operator.File) { f.UWSGI.ReadTimeoutMs = 20 })
			r.says(s)
			r.expect("")
		})
	}
}

// topup by either protocol with one token.
func (r *rig) topup(protocol, token, body string) <-chan standin.Reply {
	var caller standin.Caller = standin.NewRouter(r.rpc)
	method := "buy"
	if protocol == "uwsgi" {
		caller, method = standin.NewWebTier(r.web, false), "topup-buy"
	}
	got := make(chan standin.Reply, 1)
	r.Cleanup(caller.Close)
	go func() {
		ctx, end := context.WithTimeout(context.Background(), soon)
		defer end()
		got <- caller.Call(ctx, standin.Call{Method: method, Token: token, Body: []byte(body), Caller: 1})
	}()
	return got
}

// A token is of its method, whatever protocol its tries come by: it runs once, and both are told the same.
func TestTokenByBoth(t *testing.T) {
	other := map[string]string{"uwsgi": "msgpack", "msgpack": "uwsgi"}
	for first, second := range other {
		cases := []struct {
			name string
			do   func(r *rig)
		}{
			{"at the same moment", func(r *rig) {
				a, b := r.topup(first, "k", "x"), r.topup(second, "k", "x")
				r.run().end("done")
				for _, got := range []standin.Reply{<-a, <-b} {
					if got.Outcome != standin.OK || string(got.Body) != "done" {
						r.Errorf("got %+v", got)
					}
				}
			}},
			{"the second while the first runs", func(r *rig) {
				a := r.topup(first, "k", "x")
				run := r.run()
				b := r.topup(second, "k", "x")
				r.inFlight(2)
				run.end("done")
				if x, y := <-a, <-b; string(x.Body) != "done" || string(y.Body) != "done" {
					r.Errorf("got %+v and %+v", x, y)
				}
			}},
			{"the second while the first is held", func(r *rig) {
				r.topup(first, "busy", "y")
				busy := r.run() // on the one core
				a := r.topup(first, "k", "x")
				r.inFlight(2)
				b := r.topup(second, "k", "x")
				r.inFlight(3)
				if len(r.runs) > 0 {
					r.Fatal("none is held")
				}
				busy.end("y")
				r.run().end("done")
				if x, y := <-a, <-b; string(x.Body) != "done" || string(y.Body) != "done" {
					r.Errorf("got %+v and %+v", x, y)
				}
			}},
			{"the second after the first has ended", func(r *rig) {
				a := r.topup(first, "k", "x")
				r.run().end("done")
				<-a
				if got := <-r.topup(second, "k", "x"); string(got.Body) != "done" {
					r.Errorf("got %+v", got)
				}
			}},
			{"the second after the first has failed", func(r *rig) {
				a := r.topup(first, "k", "x")
				r.run().done(gate.Failed, 1, nil, nil)
				for _, got := range []standin.Reply{<-a, <-r.topup(second, "k", "x")} {
					if got.Outcome != standin.Aborted {
						r.Errorf("got %+v", got)
					}
				}
			}},
			{"the second with another body", func(r *rig) {
				a := r.topup(first, "k", "x")
				run := r.run()
				if got := <-r.topup(second, "k", "z"); got.Outcome != standin.Invalid {
					r.Errorf("got %+v", got)
				}
				run.end("done")
				if got := <-a; got.Outcome != standin.OK {
					r.Errorf("got %+v", got)
				}
			}},
		}
		for _, c := range cases {
			t.Run(first+" first: "+c.name, func(t *testing.T) {
				t.Parallel()
				cores := 64
				if strings.Contains(c.name, "held") {
					cores = 1
				}
				r := startOn(t, cores, 1024)
				c.do(r)
				select {
				case <-r.runs:
					t.Error("it ran twice")
				default:
				}
			})
		}
	}
}

// A first attempt whose connection is lost while it runs is answered to its retry by the other protocol.
func TestTokenOfLostFront(t *testing.T) {
	r := start(t, 1024)
	r.says(post("/topup-buy", "x", "HTTP_IDEMPOTENCY_KEY", "k"))
	run := r.run()
	r.noError(r.conn.Close())
	r.gone()
	got := r.topup("msgpack", "k", "x")
	r.inFlight(2)
	run.end("done")
	if got := <-got; got.Outcome != standin.OK || string(got.Body) != "done" {
		t.Errorf("got %+v", got)
	}
}

// At the limit that both fronts share, a crowd on one keeps no sound peer out of the other.
func TestLimitOfBoth(t *testing.T) {
	for _, crowd := range []string{"uwsgi", "msgpack"} {
		t.Run("a crowd by "+crowd, func(t *testing.T) {
			t.Parallel()
			r := start(t, 0) // the least there is: 8
			addr := r.web
			if crowd == "msgpack" {
				addr = r.rpc
			}
			for range 60 {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { r.noError(c.Close()) })
			}
			for _, protocol := range []string{"uwsgi", "msgpack"} {
				got := r.topup(protocol, protocol, "x")
				r.run().end("done")
				if got := <-got; got.Outcome != standin.OK {
					t.Errorf("%s: %+v", protocol, got)
				}
			}
			if n := len(r.table.Conns()); n > 8 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// SIGTERM with connections in every state: what was read is answered, the rest is closed, and it ends in time.
func TestShutdown(t *testing.T) {
	r := start(t, 1024, func(f *operator.File) { f.UWSGI.ReadTimeoutMs = 100 })
	kept := r.conn
	r.says(get("/view", "VALVE_KEEP", "1"))
	r.run().end("a")
	r.expect("200 a")
	r.dial() // says nothing
	r.dial()
	r.says(get("/view")[:10]) // half a message
	r.dial()
	r.says(get("/view", "VALVE_KEEP", "1"))
	run := r.run() // runs
	running, in := r.conn, r.in
	r.dial()
	late := r.conn
	began := time.Now()
	over := make(chan struct{})
	ctx, end := context.WithTimeout(context.Background(), soon)
	defer end()
	go func() { r.table.Shutdown(ctx); close(over) }()
	r.until("it is over", r.table.ShuttingDown)
	r.conn, r.in = late, bufio.NewReader(late)
	r.says(get("/view", "VALVE_KEEP", "1")) // read after it has begun
	second := r.run()
	r.conn, r.in = kept, bufio.NewReader(kept)
	r.expect("") // idle
	run.end("b")
	r.conn, r.in = running, in
	if head := r.expect("200 b", ""); head != "" {
		t.Error("the connection goes on")
	}
	second.end("c")
	r.conn, r.in = late, bufio.NewReader(late)
	r.expect("200 c", "")
	<-over
	if gone := time.Since(began); gone > soon/2 {
		t.Errorf("it took %v", gone)
	}
}

// Each RPC gets exactly one answer while peers of both kinds come, go and leave in mid answer.
func TestChurn(t *testing.T) {
	r := start(t, 1024)
	go func() {
		for {
			select {
			case run := <-r.runs:
				go run.end(string(run.Body))
			case <-r.over:
				return
			}
		}
	}()
	var wg sync.WaitGroup
	rules := standin.NewInvariantChecker()
	for w := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			web := standin.NewWebTier(r.web, w%2 == 0)
			defer web.Close()
			for i := range 50 {
				id := uint64(w*1000 + i)
				ctx, end := context.WithTimeout(context.Background(), soon)
				if i%5 == 4 {
					end() // leaves at once
				} else {
					rules.RecordRequest(id)
				}
				got := web.Call(ctx, standin.Call{Method: "topup-buy", Token: fmt.Sprint(id), Body: []byte("b")})
				if i%5 != 4 && got.Outcome == standin.OK {
					rules.RecordResponse(id)
				}
				end()
			}
		}()
	}
	wg.Wait()
	if v := rules.Report(); v.Unanswered > 0 || v.RPCs != 8*40 {
		t.Errorf("verdict %+v", v)
	}
	r.quiet()
}

func FuzzParseRequest(f *testing.F) {
	v := &config{limits: *file().UWSGI}
	f.Add(get("/view")[4:])
	f.Add(post("/a//b", "")[4:])
	f.Fuzz(func(t *testing.T, block string) {
		var vars wire.Variables
		if vars.Parse(block, 32) != nil {
			return
		}
		m := request{}
		m.Variables = &vars
		if w := v.parseRequest(&m); w != nil {
			if reasonPhrases[w.status] == "" {
				t.Errorf("status %d has no name", w.status)
			}
			if head := string(requestErrorHead(w, false)); strings.Count(head, "\r\n\r\n") != 1 || !strings.HasSuffix(head, "\r\n\r\n") {
				t.Errorf("head %q", head)
			}
			return
		}
		if m.bodyLength < 0 || m.bodyLength > v.limits.MaxBodyBytes || !isCleanPath(m.Path) {
			t.Errorf("took %+v", m)
		}
	})
}
