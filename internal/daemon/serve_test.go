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

	"go.uber.org/goleak"

	"sorrelvalve/internal/msgpack"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/startup"
)

const soon = 10 * time.Second // bounds what must come at once

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answering is an engine that ends each run at once with its body as the result, but for bodies that say to wait:
// these end when wait is closed.
func serveEngine(ln net.Listener, wait <-chan struct{}) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			no := 0
			var ends sync.Mutex
			in := bufio.NewScanner(conn)
			done := func(rid, b64 string) {
				ends.Lock()
				defer ends.Unlock()
				no++
				fmt.Fprintf(conn, `{"t":"DONE","no":%d,"rid":"%s","status":"success","time_ms":1,"b64":"%s"}`+"\n", no, rid, b64)
			}
			for in.Scan() {
				var c struct{ T, Rid, B64, Mark string }
				if json.Unmarshal(in.Bytes(), &c) != nil {
					return
				}
				switch c.T {
				case "ATTACH":
					io.WriteString(conn, `{"t":"HELLO","status":"steady","time_ms":1}`+"\n")
				case "STAT":
					fmt.Fprintf(conn, `{"t":"STATS","mark":"%s","v":[0,0]}`+"\n", c.Mark)
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

// whole is a server with its stand-ins, and one connection to it.
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
	t.Cleanup(func() { ln.Close() })
	return ln
}

func start(t *testing.T, stopMs int, change ...func(w *testServer)) *testServer {
	w := &testServer{
		T: t, wait: make(chan struct{}), stop: make(chan os.Signal, 2), reread: make(chan os.Signal), loaded: make(chan struct{}, 100), done: make(chan error, 1),
		configPath: filepath.Join(t.TempDir(), "config.json"), engine: loopback(t), phases: make(chan string, 100),
	}
	own := loopback(t)
	addr := own.Addr().String()
	own.Close()
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
	go func() { w.done <- serve(p, NewLog(&w.log).WithField("node", p.Name), w.stop, w.reread, load, nil) }()
	w.awaitReport("first UP") // which tells that it is up and started
	if w.conn, err = net.Dial("tcp", addr); err != nil {
		t.Fatal(err)
	}
	w.conn.SetDeadline(time.Now().Add(soon))
	t.Cleanup(func() { w.conn.Close() })
	return w
}

// service is a membership service, which names itself with each phase that it hears; its address is returned.
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

// reload puts new text into the file in place of old, and has it read.
func (w *testServer) reload(old, new string) {
	w.Helper()
	b, err := os.ReadFile(w.configPath)
	if err == nil {
		err = os.WriteFile(w.configPath, bytes.Replace(b, []byte(old), []byte(new), 1), 0o600)
	}
	if err != nil {
		w.Fatal(err)
	}
	w.reread <- syscall.SIGHUP
	<-w.loaded
}

// reported waits for the first report that differs from those before.
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
	for _, want := range []string{`absent="calls below"`, `msg="drain: over"`} {
		if !strings.Contains(w.log.String(), want) {
			w.Errorf("logged %s", w.log.String())
		}
	}
}

// The whole server: it serves, and after a signal it goes on for the grace, answers what is in hand and ends.
func TestServe(t *testing.T) {
	w := start(t, 5000)
	w.conn.Write(call(1, "view", "a"))
	w.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x01a\x80")
	w.conn.Write(call(2, "view", "wait"))
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.stop <- syscall.SIGTERM // changes nothing
	close(w.wait)
	w.expectAnswer("\x94\x01\x02\xc0\x92\xc4\x04wait\x80")
	w.conn.Write(call(3, "view", "b"))
	w.expectAnswer("\x94\x01\x03\xc0\x92\xc4\x01b\x80\x93\x02\xa7closing\x90")
	w.conn.Close()
	w.awaitEnd()
}

// A run that does not end before the stop is answered all the same.
func TestServeStop(t *testing.T) {
	w := start(t, 800)
	defer close(w.wait)
	w.conn.Write(call(1, "view", "wait"))
	w.conn.Write(call(2, "view", "wait"))
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.expectAnswer("\x93\x02\xa7closing\x90")
	got, err := io.ReadAll(w.conn)
	if err != nil || bytes.Count(got, []byte("Aborted")) != 2 {
		t.Errorf("read %q, error %v", got, err)
	}
	w.awaitEnd()
}

// New addresses are used at once and what is in hand goes on; a wrong file changes nothing, and what can't change
// is named; all of it in a drain as well.
func TestReload(t *testing.T) {
	w := start(t, 5000)
	defer close(w.wait)
	w.conn.Write(call(1, "view", "wait"))
	w.reload(`"seed":"1"`, `"seed":"x"`)
	w.reload(`"seed":"x"`, `"seed":"2"`)
	b, _ := os.ReadFile(w.configPath)
	_, old, _ := strings.Cut(string(b), `"members":"`)
	w.reload(old[:strings.Index(old, `"`)], w.membershipService("second "))
	w.awaitReport("second UP")
	w.stop <- syscall.SIGTERM
	w.awaitReport("second OUT")
	next, on := loopback(t), make(chan struct{})
	close(on)
	go serveEngine(next, on) // which ends the run that the first one holds
	w.reload(w.engine.Addr().String(), next.Addr().String())
	for got := []byte(nil); !bytes.Contains(got, []byte("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")); {
		b := make([]byte, 100)
		n, err := w.conn.Read(b)
		if got = append(got, b[:n]...); err != nil {
			t.Fatalf("read %q, error %v", got, err)
		}
	}
	w.conn.Close()
	w.awaitEnd()
	for _, want := range []string{"seed: up to 16 hex digits", "keys=seed", `msg="reload: done"`} {
		if !strings.Contains(w.log.String(), want) {
			t.Errorf("no %q in the log: %s", want, w.log.String())
		}
	}
}

// operated gives the server an operator's record with a front, and a pool for one of its methods where a member is named.
func withOperatorRecord(members ...string) func(w *testServer) {
	return func(w *testServer) {
		own := loopback(w.T)
		w.webAddress = own.Addr().String()
		own.Close()
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

// page is the answer to one RPC by uwsgi.
func (w *testServer) callWeb(body string) standin.Reply {
	w.Helper()
	web := standin.NewWebTier(w.webAddress, false)
	defer web.Close()
	ctx, end := context.WithTimeout(context.Background(), soon)
	defer end()
	return web.Call(ctx, standin.Call{Method: "view", Body: []byte(body)})
}

// With an operator's record both fronts serve; a new record moves the work to a pool; one that is wrong, or that a
// running process can't take, changes nothing of it nor of the configuration; a drain ends both.
func TestOperated(t *testing.T) {
	cores := standin.NewCores(4, 0)
	defer cores.Close()
	app, err := standin.NewApp(cores, func(string, []byte) (float64, []byte) { return 1, []byte("of the pool") }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer app.Stop()
	w := start(t, 5000, withOperatorRecord(app.Addr()))
	defer close(w.wait)
	if got := w.callWeb("a"); string(got.Body) != "of the pool" {
		t.Errorf("page %+v", got)
	}
	w.conn.Write(call(1, "view", "a"))
	w.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x0bof the pool\x81\xa4type\xaatext/plain")
	w.writeRecord()
	w.reread <- syscall.SIGHUP
	<-w.loaded
	w.awaitLog(`hash=`, `version="members 0"`)
	if got := w.callWeb("b"); string(got.Body) != "b" {
		t.Errorf("page %+v", got)
	}
	for _, wrong := range []func(){
		func() { os.WriteFile(w.recordPath, []byte("{"), 0o600) },
		func() { w.writeRecord(app.Addr(), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3") }, // more descriptors than at the start
		func() { // another address
			old := w.webAddress
			w.webAddress = "127.0.0.1:1"
			w.writeRecord()
			w.webAddress = old
		},
	} {
		wrong()
		b, _ := os.ReadFile(w.configPath)
		_, members, _ := strings.Cut(string(b), `"members":"`)
		members = members[:strings.Index(members, `"`)]
		w.reload(members, "127.0.0.1:9") // which must not be taken either
		w.reload("127.0.0.1:9", members)
		if got := w.callWeb("c"); string(got.Body) != "c" {
			t.Errorf("page %+v", got)
		}
	}
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.conn.Close()
	w.awaitEnd()
	for _, want := range []string{"no record", "more need a new start", "/uwsgi/listen: only a new start", "number=2"} {
		if !strings.Contains(w.log.String(), want) {
			t.Errorf("no %q in the log: %s", want, w.log.String())
		}
	}
	if strings.Contains(w.log.String(), `members="127.0.0.1:9"`) {
		t.Error("a configuration was taken whose record was wrong")
	}
}

// until waits for all of these in the log.
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

// A flood of one line is cut, and the next one that is written counts what was dropped.
func TestLogFlood(t *testing.T) {
	var out bytes.Buffer
	log := NewLog(&out)
	at := time.Now()
	for i := range 1000 {
		log.WithTime(at).WithField("i", i).Warn("flood")
	}
	log.WithTime(at).Info("another")
	log.WithTime(at.Add(time.Minute)).Warn("flood")
	s := out.String()
	if n := strings.Count(s, "\n"); n != logBurst+2 || !strings.Contains(s, "msg=another") ||
		!strings.Contains(s, fmt.Sprint("dropped=", 1000-logBurst)) {
		t.Errorf("%d lines: %s", n, s)
	}
}

// A purchase that was told ok before a restart is told the same after it, and does not run again; a folder that is in
// use, or of another server, keeps a server from starting.
func TestStored(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "tokens")
	stored := func(w *testServer) {
		b, err := os.ReadFile(w.configPath)
		if err != nil {
			w.Fatal(err)
		}
		b = bytes.Replace(b, []byte(`"give_up":5000000000}]`), []byte(`"give_up":5000000000},{"name":"buy","idempotency":"idempotency_key","window":60000000000,"aim":1000000000,"give_up":5000000000}]`), 1)
		w.recordPath = filepath.Join(w.TempDir(), "operator.record")
		record, err := operator.Marshal(&operator.File{Version: "t", Store: &operator.Store{Dir: dir, MaxMB: 4, SegmentMB: 1, MaxAnswerBytes: 4096, ToleranceMs: 100}})
		if err == nil {
			err = os.WriteFile(w.configPath, b, 0o600)
		}
		if err == nil {
			err = os.WriteFile(w.recordPath, record, 0o600)
		}
		if err != nil {
			w.Fatal(err)
		}
	}
	buy := func(id uint64) []byte {
		f := []string{"txn", fmt.Sprintf("%016x", id), "ram", "1", "door", fmt.Sprint(time.Now().UnixMilli()), "unique", "k"}
		b := msgpack.AppendString(msgpack.AppendUint(append(msgpack.AppendArray(nil, 4), 0), id), "buy")
		b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(f)/2)
		for _, s := range f {
			b = msgpack.AppendString(b, s)
		}
		return append(msgpack.AppendBinHeader(b, 4), "wait"...)
	}
	w := start(t, 5000, stored)
	close(w.wait)
	w.conn.Write(buy(1))
	w.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.conn.Close()
	w.awaitEnd()
	w = start(t, 5000, stored)
	defer close(w.wait) // a run would not end before
	w.conn.Write(buy(2))
	w.expectAnswer("\x94\x01\x02\xc0\x92\xc4\x04wait\x80")
	if !strings.Contains(w.log.String(), "store: recovered") {
		t.Errorf("logged %s", w.log.String())
	}
	if _, err := inspectStore(dir, true); err == nil { // by name of this process's own lock
		t.Error("a folder in use was opened")
	}
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.conn.Close()
	w.awaitEnd()
	if !strings.Contains(w.log.String(), `msg="store: state"`) {
		t.Errorf("logged %s", w.log.String())
	}
	if bad, err := inspectStore(dir, true); err != nil || bad != 0 {
		t.Errorf("%d bad, error %v", bad, err)
	}
	if err := (verifyCmd{Dir: dir}).Run(); err != nil {
		t.Error(err)
	}
	if err := (compactCmd{Dir: dir}).Run(); err != nil {
		t.Error(err)
	}
}

// A port that another process still holds is waited for, and taken as soon as it is free; a signal to stop ends the wait.
func TestAddressInUse(t *testing.T) {
	held := loopback(t)
	waits := make(chan struct{}, 1)
	type taken struct {
		ln  net.Listener
		err error
	}
	over := make(chan taken, 1)
	stop := make(chan os.Signal, 1)
	begin := func() {
		go func() {
			ln, err := listen(held.Addr().String(), stop, func() { waits <- struct{}{} })
			over <- taken{ln, err}
		}()
		<-waits
	}
	begin()
	stop <- syscall.SIGTERM
	if got := <-over; got.err != errStopSignal {
		t.Errorf("error %v after a signal to stop", got.err)
	}
	begin()
	held.Close()
	select {
	case got := <-over:
		if got.err != nil {
			t.Fatal(got.err)
		}
		got.ln.Close()
	case <-time.After(soon):
		t.Fatal("the address is not taken")
	}
	if _, err := listen("192.0.2.1:1", stop, func() { t.Error("waits for an address that is not here") }); err == nil {
		t.Error("took an address that is not here")
	}
}

// Clients that rest fill all connections while the membership service is down: new ones get in, an RPC in hand keeps its
// connection, and once the service is back the server is listed again.
func TestRestingCrowd(t *testing.T) {
	w := start(t, 5000, func(w *testServer) {
		b, err := os.ReadFile(w.configPath)
		if err == nil {
			err = os.WriteFile(w.configPath, bytes.Replace(b, []byte(`"stop_ms"`), []byte(`"limits":{"sockets":48},"stop_ms"`), 1), 0o600)
		}
		if err != nil {
			w.Fatal(err)
		}
	})
	w.conn.Write(call(1, "view", "wait"))
	down := loopback(t)
	down.Close()
	b, _ := os.ReadFile(w.configPath)
	_, old, _ := strings.Cut(string(b), `"members":"`)
	w.reload(old[:strings.Index(old, `"`)], down.Addr().String())
	for n := range 60 { // over twice as many as may be open
		conn, err := net.Dial("tcp", w.conn.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(soon))
		conn.Write(call(uint64(100+n), "view", "a"))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatalf("connection %d: %v", n, err)
		}
	}
	w.reload(down.Addr().String(), w.membershipService("second "))
	w.awaitReport("second UP")
	close(w.wait)
	w.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")
	w.stop <- syscall.SIGTERM
	w.awaitReport("second OUT")
	w.awaitEnd()
}
