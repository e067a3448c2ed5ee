package mprpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

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

// rpc returns the frame of a call with the fields given as key, value, ... behind the usual ones.
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

func (r *rig) write(s string) {
	r.Helper()
	if _, err := io.WriteString(r.conn, s); err != nil {
		r.Fatal(err)
	}
}

// next reads one complete message and returns it in short form; "" is the end of the connection.
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

// show returns a message as "id error result", or the name of a notification.
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

// completeRun takes the next run and completes it with a result made of its body.
func (r *rig) completeRun(body string) running {
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
