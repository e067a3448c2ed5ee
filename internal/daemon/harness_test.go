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

const soon = 10 * time.Second // bounds what must come at once

// serveEngine is an engine that ends each run at once with its body as the result, but for bodies that say to wait:
// these end when wait is closed.
func serveEngine(ln net.Listener, wait <-chan struct{}) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }() // the server may have closed it
			no := 0
			var ends sync.Mutex // errors of writes are not checked: the scan ends with the connection
			in := bufio.NewScanner(conn)
			done := func(rid, b64 string) {
				ends.Lock()
				defer ends.Unlock()
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
					if c.B64 == "d2FpdA==" { // "wait"; all else goes on
						go func() {
							<-wait
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

func call(id uint64, method, body string) []byte {
	f := []string{"txn", fmt.Sprintf("%016x", id), "ram", "1", "door", fmt.Sprint(time.Now().UnixMilli())}
	b := msgpack.AppendString(msgpack.AppendUint(append(msgpack.AppendArray(nil, 4), 0), id), method)
	b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(f)/2)
	for _, s := range f {
		b = msgpack.AppendString(b, s)
	}
	return append(msgpack.AppendBinHeader(b, len(body)), body...)
}

// testServer is a server with its stubs, and one connection to it.
type testServer struct {
	*testing.T
	wait       chan struct{} // closed: runs that wait go on
	configPath string
	recordPath string // the operator's; "" for none
	webAddress string // where its front listens
	engine     net.Listener
	reread     chan os.Signal
	loaded     chan struct{}
	phases     chan string // as they were reported
	lastPhase  string
	conn       net.Conn
	stop       chan os.Signal
	done       chan error
	log        buffer
}

// buffer is a log that is read while it is written.
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

func loopback(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // it may be closed already
	return ln
}

// freeLoopback is a loopback address that was free a moment ago.
func freeLoopback(t *testing.T) string {
	t.Helper()
	ln := loopback(t)
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	return ln.Addr().String()
}

func start(t *testing.T, stopMs int, change ...func(w *testServer)) *testServer {
	w := &testServer{
		T: t, wait: make(chan struct{}), stop: make(chan os.Signal, 2), reread: make(chan os.Signal), loaded: make(chan struct{}, 100), done: make(chan error, 1),
		configPath: filepath.Join(t.TempDir(), "config.json"), engine: loopback(t), phases: make(chan string, 100),
	}
	addr := freeLoopback(t)
	go serveEngine(w.engine, w.wait)
	text := fmt.Sprintf(`{"name":"n0","listen":"%s","engine":"%s","members":"%s","seed":"1","stop_ms":%d,"settings":{
		"classes":[{"name":"view","aim":1000000000,"give_up":5000000000}],"rules":{"drain_grace":300000000,"tip_multiple":8},
		"family_info":{"cores":2,"ram_kb":100000,"below":"shared","call_share":2}}}`,
		addr, w.engine.Addr(), w.membershipService("first "), stopMs)
	if err := os.WriteFile(w.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	load := func() (Config, error) {
		defer func() { w.loaded <- struct{}{} }()
		p, err := startup.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": w.configPath}[key] })
		t := Config{Process: p}
		if err == nil && w.recordPath != "" {
			t.Operator, err = operator.Load(w.recordPath, p.Settings)
		}
		return t, err
	}
	for _, c := range change {
		c(w)
	}
	p, err := load()
	<-w.loaded
	if err != nil {
		t.Fatal(err)
	}
	server := &process{config: p, log: NewLog(&w.log).WithField("node", p.Name), stop: w.stop, reload: w.reread, load: load}
	go func() { w.done <- server.serve() }()
	w.awaitReport("first UP") // which says that it is up and started
	if w.conn, err = net.Dial("tcp", addr); err != nil {
		t.Fatal(err)
	}
	if err := w.conn.SetDeadline(time.Now().Add(soon)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.conn.Close() }) // it may be closed already
	return w
}

// send writes to the server's connection.
func (w *testServer) send(b []byte) {
	w.Helper()
	if _, err := w.conn.Write(b); err != nil {
		w.Fatal(err)
	}
}

// disconnect closes the connection to the server.
func (w *testServer) disconnect() {
	w.Helper()
	if err := w.conn.Close(); err != nil {
		w.Error(err)
	}
}

// membershipService is a stub that names itself with each phase that is reported to it; its address is returned.
func (w *testServer) membershipService(name string) string {
	s := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, q *http.Request) {
		var report struct{ Phase string }
		if json.NewDecoder(q.Body).Decode(&report) == nil && q.URL.Path == "/members/n0" {
			w.phases <- name + report.Phase
		}
		out.WriteHeader(http.StatusNoContent)
	}))
	w.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// reload puts text into the file in place of old, and has it read.
func (w *testServer) reload(old, text string) {
	w.Helper()
	b, err := os.ReadFile(w.configPath)
	if err == nil {
		err = os.WriteFile(w.configPath, bytes.Replace(b, []byte(old), []byte(text), 1), 0o600)
	}
	if err != nil {
		w.Fatal(err)
	}
	w.reread <- syscall.SIGHUP
	<-w.loaded
}

// awaitReport waits for the first report that differs from those before.
func (w *testServer) awaitReport(want string) {
	w.Helper()
	for got := ""; got != want; w.lastPhase = got {
		select {
		case got = <-w.phases:
			if got != want && got != w.lastPhase {
				w.Fatalf("report %q, want %q", got, want)
			}
		case <-time.After(soon):
			w.Fatalf("no report, want %q", want)
		}
	}
}

func (w *testServer) expectAnswer(want string) {
	w.Helper()
	got := make([]byte, len(want))
	if n, err := io.ReadFull(w.conn, got); err != nil || string(got) != want {
		w.Fatalf("answer %q, error %v; want %q", got[:n], err, want)
	}
}

func (w *testServer) awaitEnd() {
	w.Helper()
	select {
	case err := <-w.done:
		if err != nil {
			w.Error(err)
		}
	case <-time.After(soon):
		w.Fatal("not over")
	}
	for _, want := range []string{`absent="calls below"`, `msg=drain.completed`} {
		if !strings.Contains(w.log.String(), want) {
			w.Errorf("logged %s", w.log.String())
		}
	}
}

// withOperatorRecord gives the server an operator's record with a front, and a pool for one of its methods where a member is named.
func withOperatorRecord(members ...string) func(w *testServer) {
	return func(w *testServer) {
		w.webAddress = freeLoopback(w.T)
		w.recordPath = filepath.Join(w.TempDir(), "operator.record")
		w.writeRecord(members...)
	}
}

func (w *testServer) writeRecord(members ...string) {
	w.Helper()
	f := &operator.File{
		Version: fmt.Sprint("members ", len(members)),
		UWSGI: &operator.UWSGI{Listen: w.webAddress, KeepAlive: "asked", MaxHeaderBytes: 4096, MaxVariables: 64, MaxPathBytes: 1024, MaxBodyBytes: 1024, BodyMemoryKB: 64,
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
		err = os.WriteFile(w.recordPath, b, 0o600)
	}
	if err != nil {
		w.Fatal(err)
	}
}

// callWeb is the answer to one RPC by uwsgi.
func (w *testServer) callWeb(body string) standin.Reply {
	w.Helper()
	web := standin.NewWebTier(w.webAddress, false)
	defer web.Close()
	ctx, end := context.WithTimeout(context.Background(), soon)
	defer end()
	return web.Call(ctx, standin.Call{Method: "view", Body: []byte(body)})
}

// awaitLog waits for all of these in the log.
func (w *testServer) awaitLog(want ...string) {
	w.Helper()
	for end := time.Now().Add(soon); ; time.Sleep(time.Millisecond) {
		left := 0
		for _, s := range want {
			if !strings.Contains(w.log.String(), s) {
				left++
			}
		}
		if left == 0 {
			return
		}
		if time.Now().After(end) {
			w.Fatalf("logged %s", w.log.String())
		}
	}
}
