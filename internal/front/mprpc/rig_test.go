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

// testTimeout is the upper bound for operations that normally complete at once. It is long so that tests pass on a busy
// machine.
const testTimeout = 10 * time.Second

// rig is a server whose runs are completed by the test, with one connection to the server.
type rig struct {
	*testing.T
	server   *Server
	table    *front.ConnTable
	gate     *gate.Gate
	addr     string
	conn     net.Conn
	buf      []byte
	runs     chan pendingRun
	testDone chan struct{} // closed at the end of the test
}

type pendingRun struct {
	id, method, body string
	done             func(gate.Outcome, float64, []byte)
}

func start(t *testing.T, sockets int, messageTimeout ...time.Duration) *rig {
	config, err := startup.Parse("classes.count=2\nclasses.0.name=view\nclasses.0.aim=9000000000\n" +
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
	r := &rig{T: t, addr: ln.Addr().String(), runs: make(chan pendingRun, 1000), testDone: make(chan struct{})}
	r.gate = gate.New(config, 64, func(string, string) {})
	r.gate.Start(false, 0)
	entry := log.WithField("node", "n0")
	r.table = front.NewConnTable(sockets, r.gate.IdleTimeout, entry)
	r.server = New(r.table, r.gate, func(request gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		if string(request.Body) == "panic" {
			panic("panic of the runner")
		}
		r.runs <- pendingRun{request.ID, request.Method, string(request.Body), func(outcome gate.Outcome, elapsedMs float64, result []byte) {
			var head []byte
			if request.Method == "page" {
				head, result, _ = bytes.Cut(result, []byte("|"))
			}
			done(outcome, elapsedMs, head, result)
		}}
	}, entry)
	if len(messageTimeout) > 0 {
		r.server.messageTimeout = messageTimeout[0]
	}
	r.table.AddListener(ln.(*net.TCPListener), r.server.Open)
	t.Cleanup(func() {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		_ = r.conn.Close() // the test may have closed it
		r.table.Shutdown(ctx)
		close(r.testDone)
	})
	r.conn = r.dial()
	return r
}

// noError fails the test if err is not nil.
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
	r.noError(conn.SetDeadline(time.Now().Add(testTimeout)))
	r.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}

var lastRPCID atomic.Uint64

// rpc returns the frame of a call with default fields, followed by the fields given as key, value, ...
func rpc(id uint64, method, body string, more ...string) string {
	f := append([]string{"txn", fmt.Sprintf("%016x", lastRPCID.Add(1)), "door", fmt.Sprint(time.Now().UnixMilli()), "lb", "4", "ram", "24.5",
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

// next reads one complete message and returns it as formatMessage does, or "" at the end of the connection.
func (r *rig) next() string {
	r.Helper()
	for {
		p := msgpack.Parse(r.buf)
		if p.Skip(); p.Err() == nil {
			s := formatMessage(r.buf[:p.Offset()])
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

// formatMessage returns a message as "id error result", or the name of a notification.
func formatMessage(b []byte) string {
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
			r.Fatalf("message: got %q, want %q", got, w)
		}
	}
}

// completeRun takes the next run, checks its body and completes it with a result derived from the body.
func (r *rig) completeRun(body string) pendingRun {
	r.Helper()
	select {
	case run := <-r.runs:
		if run.body != body {
			r.Fatalf("body of the run: got %q, want %q", run.body, body)
		}
		run.done(gate.Succeeded, 1, []byte("r-"+run.body))
		return run
	case <-time.After(testTimeout):
		r.Fatal("no run was requested")
	}
	return pendingRun{}
}
