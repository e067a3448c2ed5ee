package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sorrelvalve/internal/msgpack"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/startup"
)

const testTimeout = 10 * time.Second // limit for events that normally happen at once

// serveEngine serves a stub engine that completes each run at once with its body as the result. A run with the body "wait"
// completes when unblock is closed. It returns when ln is closed.
func serveEngine(ln net.Listener, unblock <-chan struct{}) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }() // the server may have closed it
			no := 0                             // number of the last DONE message
			var mu sync.Mutex                   // write errors are ignored: the scan ends with the connection
			in := bufio.NewScanner(conn)
			done := func(rid, b64 string) {
				mu.Lock()
				defer mu.Unlock()
				no++
				_, _ = fmt.Fprintf(conn, `{"t":"DONE","no":%d,"rid":"%s","status":"success","time_ms":1,"b64":"%s"}`+"\n", no, rid, b64)
			}
			for in.Scan() {
				var c struct{ T, Rid, B64, Mark string }
				if json.Unmarshal(in.Bytes(), &c) != nil {
					return
				}
				switch c.T {
				case "ATTACH":
					_, _ = io.WriteString(conn, `{"t":"HELLO","status":"steady","time_ms":1}`+"\n")
				case "STAT":
					_, _ = fmt.Fprintf(conn, `{"t":"STATS","mark":"%s","v":[0,0]}`+"\n", c.Mark)
				case "RUN":
					if c.B64 == "d2FpdA==" { // "wait" in base64
						go func() {
							<-unblock
							done(c.Rid, c.B64)
						}()
						continue
					}
					done(c.Rid, c.B64)
				}
			}
		}()
	}
}

// encodeCall encodes an RPC as a router sends it.
func encodeCall(id uint64, method, body string) []byte {
	fields := []string{"txn", fmt.Sprintf("%016x", id), "ram", "1", "door", fmt.Sprint(time.Now().UnixMilli())}
	b := msgpack.AppendString(msgpack.AppendUint(append(msgpack.AppendArray(nil, 4), 0), id), method)
	b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(fields)/2)
	for _, s := range fields {
		b = msgpack.AppendString(b, s)
	}
	return append(msgpack.AppendBinHeader(b, len(body)), body...)
}

// testServer is a running server with its stubs and one client connection to it.
type testServer struct {
	*testing.T
	unblock      chan struct{} // close it to complete blocked runs
	configPath   string
	recordPath   string // of the operator's record; "" for none
	uwsgiAddress string // of the front for uwsgi
	engine       net.Listener
	reloadSignal chan os.Signal
	loaded       chan struct{}
	phases       chan string // reported to the membership service, in order
	lastPhase    string
	conn         net.Conn
	stop         chan os.Signal
	done         chan error
	log          buffer
}

// buffer is a log buffer for concurrent reads and writes.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// listenLoopback listens on a free loopback address until the test ends.
func listenLoopback(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // it may be closed already
	return ln
}

// freeLoopbackAddress returns a loopback address that was free when it was checked.
func freeLoopbackAddress(t *testing.T) string {
	t.Helper()
	ln := listenLoopback(t)
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	return ln.Addr().String()
}

// startServer starts a server and waits until it is up. change may alter the configuration before the start.
func startServer(t *testing.T, stopMs int, change ...func(ts *testServer)) *testServer {
	ts := &testServer{
		T: t, unblock: make(chan struct{}), stop: make(chan os.Signal, 2), reloadSignal: make(chan os.Signal), loaded: make(chan struct{}, 100), done: make(chan error, 1),
		configPath: filepath.Join(t.TempDir(), "config.json"), engine: listenLoopback(t), phases: make(chan string, 100),
	}
	addr := freeLoopbackAddress(t)
	go serveEngine(ts.engine, ts.unblock)
	text := fmt.Sprintf(`{"name":"n0","listen":"%s","engine":"%s","members":"%s","seed":"1","stop_ms":%d,"settings":{
		"classes":[{"name":"view","aim":1000000000,"give_up":5000000000}],"rules":{"drain_grace":300000000,"tip_multiple":8},
		"family_info":{"cores":2,"ram_kb":100000,"below":"shared","call_share":2}}}`,
		addr, ts.engine.Addr(), ts.membershipService("first "), stopMs)
	if err := os.WriteFile(ts.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	load := func() (Config, error) {
		defer func() { ts.loaded <- struct{}{} }()
		p, err := startup.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": ts.configPath}[key] })
		config := Config{Process: p}
		if err == nil && ts.recordPath != "" {
			config.Operator, err = operator.Load(ts.recordPath, p.Settings)
		}
		return config, err
	}
	for _, c := range change {
		c(ts)
	}
	p, err := load()
	<-ts.loaded
	if err != nil {
		t.Fatal(err)
	}
	server := &process{config: p, log: NewLog(&ts.log).WithField("node", p.Name), stop: ts.stop, reload: ts.reloadSignal, load: load}
	go func() { ts.done <- server.serve() }()
	ts.awaitReport("first UP") // reported once the server is up
	if ts.conn, err = net.Dial("tcp", addr); err != nil {
		t.Fatal(err)
	}
	if err := ts.conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ts.conn.Close() }) // it may be closed already
	return ts
}

// send writes to the server's connection.
func (ts *testServer) send(b []byte) {
	ts.Helper()
	if _, err := ts.conn.Write(b); err != nil {
		ts.Fatal(err)
	}
}

// disconnect closes the connection to the server.
func (ts *testServer) disconnect() {
	ts.Helper()
	if err := ts.conn.Close(); err != nil {
		ts.Error(err)
	}
}

// membershipService starts a stub membership service and returns its address. The stub sends each reported phase, prefixed
// with name, to ts.phases.
func (ts *testServer) membershipService(name string) string {
	service := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, q *http.Request) {
		var report struct{ Phase string }
		if json.NewDecoder(q.Body).Decode(&report) == nil && q.URL.Path == "/members/n0" {
			ts.phases <- name + report.Phase
		}
		out.WriteHeader(http.StatusNoContent)
	}))
	ts.Cleanup(service.Close)
	return service.Listener.Addr().String()
}

// reload replaces old by text in the configuration file and waits until the server has loaded it.
func (ts *testServer) reload(old, text string) {
	ts.Helper()
	b, err := os.ReadFile(ts.configPath)
	if err == nil {
		err = os.WriteFile(ts.configPath, bytes.Replace(b, []byte(old), []byte(text), 1), 0o600)
	}
	if err != nil {
		ts.Fatal(err)
	}
	ts.reloadSignal <- syscall.SIGHUP
	<-ts.loaded
}

// awaitReport waits for the first report that differs from the previous one, and fails if it is not want.
func (ts *testServer) awaitReport(want string) {
	ts.Helper()
	for got := ""; got != want; ts.lastPhase = got {
		select {
		case got = <-ts.phases:
			if got != want && got != ts.lastPhase {
				ts.Fatalf("membership report: got %q, want %q", got, want)
			}
		case <-time.After(testTimeout):
			ts.Fatalf("membership report: timed out, want %q", want)
		}
	}
}

// expectAnswer reads from the connection and compares with want.
func (ts *testServer) expectAnswer(want string) {
	ts.Helper()
	got := make([]byte, len(want))
	if n, err := io.ReadFull(ts.conn, got); err != nil || string(got) != want {
		ts.Fatalf("answer: got %q, error %v; want %q", got[:n], err, want)
	}
}

// awaitExit waits until the server has exited without an error, and checks its log.
func (ts *testServer) awaitExit() {
	ts.Helper()
	select {
	case err := <-ts.done:
		if err != nil {
			ts.Error(err)
		}
	case <-time.After(testTimeout):
		ts.Fatal("server did not exit")
	}
	for _, want := range []string{`absent="calls below"`, `msg=drain.completed`} {
		if !strings.Contains(ts.log.String(), want) {
			ts.Errorf("entry missing in the log: %s", ts.log.String())
		}
	}
}

// withOperatorRecord returns a change for startServer that adds an operator's record with a front for uwsgi. If members are
// given, the record also has a pool of them for a method.
func withOperatorRecord(members ...string) func(ts *testServer) {
	return func(ts *testServer) {
		ts.uwsgiAddress = freeLoopbackAddress(ts.T)
		ts.recordPath = filepath.Join(ts.TempDir(), "operator.record")
		ts.writeRecord(members...)
	}
}

// writeRecord writes the operator's record, with a pool if members are given.
func (ts *testServer) writeRecord(members ...string) {
	ts.Helper()
	f := &operator.File{
		Version: fmt.Sprint("members ", len(members)),
		UWSGI: &operator.UWSGI{Listen: ts.uwsgiAddress, KeepAlive: "asked", MaxHeaderBytes: 4096, MaxVariables: 64, MaxPathBytes: 1024, MaxBodyBytes: 1024, BodyMemoryKB: 64,
			ReadTimeoutMs: 1000, BodyTimeoutMs: 1000, QueuedKB: 16},
		Routes: map[string]operator.Route{"view": {Path: "/view", Verb: "POST", Method: "view", Type: "text/plain"}},
	}
	if len(members) > 0 {
		f.Pools = map[string]operator.Pool{"p": {Members: members, MaxConnections: 4, ConnectTimeoutMs: 100, MaxAnswerBytes: 4096, EjectionMs: 1000,
			Retry: operator.Retry{MaxAttempts: 1}}}
		f.Methods = map[string]operator.Method{"view": {Pool: "p", Path: "/view", Verb: "POST"}}
	}
	b, err := operator.Marshal(f)
	if err == nil {
		err = os.WriteFile(ts.recordPath, b, 0o600)
	}
	if err != nil {
		ts.Fatal(err)
	}
}

// callUWSGI sends one RPC over uwsgi and returns the reply.
func (ts *testServer) callUWSGI(body string) standin.Reply {
	ts.Helper()
	web := standin.NewWebTier(ts.uwsgiAddress, false)
	defer web.Close()
	ctx, end := context.WithTimeout(context.Background(), testTimeout)
	defer end()
	return web.Call(ctx, standin.Call{Method: "view", Body: []byte(body)})
}

// awaitLog waits until the log contains all strings of want.
func (ts *testServer) awaitLog(want ...string) {
	ts.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		missing := 0
		for _, s := range want {
			if !strings.Contains(ts.log.String(), s) {
				missing++
			}
		}
		if missing == 0 {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("expected entries missing in the log: %s", ts.log.String())
		}
	}
}
