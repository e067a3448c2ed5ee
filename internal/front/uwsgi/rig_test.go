package uwsgi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
	wire "sorrelvalve/internal/uwsgi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is the upper bound for operations that normally complete at once. It is long so that tests pass on a busy
// machine.
const testTimeout = 10 * time.Second

// rig is a gate with both fronts whose runs are completed by the test, with one connection to the uwsgi front.
type rig struct {
	*testing.T
	server   *Server
	table    *front.ConnTable
	gate     *gate.Gate
	webAddr  string
	rpcAddr  string
	conn     net.Conn
	in       *bufio.Reader
	runs     chan pendingRun
	testDone chan struct{} // closed at the end of the test
}

type pendingRun struct {
	gate.RunRequest
	done func(gate.Outcome, float64, []byte, []byte)
}

func (r pendingRun) succeed(result string) { r.done(gate.Succeeded, 1, nil, []byte(result)) }

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
	config, err := startup.Parse("classes.count=2\nclasses.0.name=view\nclasses.0.aim=9000000000\n" +
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
	r := &rig{T: t, runs: make(chan pendingRun, 1000), testDone: make(chan struct{})}
	r.gate = gate.New(config, 64, func(string, string) {})
	r.gate.Start(false, 0)
	r.table = front.NewConnTable(sockets, r.gate.IdleTimeout, log)
	run := func(request gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		if string(request.Body) == "panic" {
			panic("panic of the runner")
		}
		r.runs <- pendingRun{request, done}
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
	r.webAddr = listen(r.server.Open)
	r.rpcAddr = listen(mprpc.New(r.table, r.gate, run, log).Open)
	t.Cleanup(func() {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		_ = r.conn.Close() // the test may have closed it
		r.table.Shutdown(ctx)
		close(r.testDone)
	})
	r.dial()
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
	conn, err := net.Dial("tcp", r.webAddr)
	if err != nil {
		r.Fatal(err)
	}
	r.noError(conn.SetDeadline(time.Now().Add(testTimeout)))
	r.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	r.conn, r.in = conn, bufio.NewReader(conn)
	return conn
}

// packet returns a message with the given variables and body.
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

func (r *rig) write(s string) {
	r.Helper()
	if _, err := io.WriteString(r.conn, s); err != nil {
		r.Fatal(err)
	}
}

// next reads one response. It returns the status and body as one string, and the head; both are "" at EOF.
func (r *rig) next() (string, string) {
	r.Helper()
	var head strings.Builder
	for {
		line, err := r.in.ReadString('\n')
		head.WriteString(line)
		if errors.Is(err, io.EOF) && head.Len() == 0 {
			return "", ""
		} else if err != nil {
			r.Fatalf("head of the response: got %q, error %v", head.String(), err)
		}
		if line == "\r\n" {
			break
		}
	}
	response, _, err := wire.ParseResponse([]byte(head.String()))
	if err != nil {
		r.Fatal(err)
	}
	body := make([]byte, max(0, response.Length))
	if _, err := io.ReadFull(r.in, body); err != nil {
		r.Fatal(err)
	}
	return strings.TrimSuffix(fmt.Sprintf("%d %s", response.Status, body), " "), head.String()
}

func (r *rig) expect(want ...string) (head string) {
	r.Helper()
	for _, w := range want {
		var got string
		if got, head = r.next(); got != w {
			r.Fatalf("response: got %q, want %q; head %q", got, w, head)
		}
	}
	return head
}

// run returns the next run that the gate requests.
func (r *rig) run() pendingRun {
	r.Helper()
	select {
	case run := <-r.runs:
		return run
	case <-time.After(testTimeout):
		r.Fatal("no run was requested")
	}
	return pendingRun{}
}

// waitIdle waits until no RPC is in flight.
func (r *rig) waitIdle() { r.Helper(); r.waitInFlight(0) }

// waitInFlight waits until n RPCs are in flight.
func (r *rig) waitInFlight(n int) {
	r.Helper()
	r.waitUntil("expected number of RPCs in flight", func() bool { return r.gate.InFlight() == n })
}

// waitNoConns waits until all connections are closed.
func (r *rig) waitNoConns() {
	r.Helper()
	r.waitUntil("all connections are closed", func() bool { return len(r.table.Conns()) == 0 })
}

func (r *rig) waitUntil(condition string, holds func() bool) {
	r.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			r.Fatalf("condition not met in time: %s; %d RPCs in flight, %d connections", condition, r.gate.InFlight(), len(r.table.Conns()))
		}
	}
}
