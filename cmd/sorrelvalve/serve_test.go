package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sorrelvalve/internal/msgpack"
	"sorrelvalve/internal/opening"
)

const soon = 10 * time.Second // bounds what must come at once

// answering is an engine that ends each run at once with its body as the result, but for bodies that say to wait:
// these end when wait is closed.
func answering(ln net.Listener, wait <-chan struct{}) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			no := 0
			in := bufio.NewScanner(conn)
			done := func(rid, b64 string) {
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
					if c.B64 == "d2FpdA==" { // "wait"
						<-wait
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
	return append(msgpack.AppendBinHead(b, len(body)), body...)
}

// whole is a server with its stand-ins, and one connection to it.
type whole struct {
	*testing.T
	wait   chan struct{} // closed: runs that wait go on
	file   string
	engine net.Listener
	reread chan os.Signal
	loaded chan struct{}
	phases chan string // as they were reported
	last   string
	conn   net.Conn
	stop   chan os.Signal
	over   chan error
	lines  bytes.Buffer
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func start(t *testing.T, stopMs int) *whole {
	w := &whole{
		T: t, wait: make(chan struct{}), stop: make(chan os.Signal, 2), reread: make(chan os.Signal), loaded: make(chan struct{}, 100), over: make(chan error, 1),
		file: filepath.Join(t.TempDir(), "config.json"), engine: listen(t), phases: make(chan string, 100),
	}
	own := listen(t)
	addr := own.Addr().String()
	own.Close()
	go answering(w.engine, w.wait)
	text := fmt.Sprintf(`{"name":"n0","listen":"%s","engine":"%s","members":"%s","seed":"1","stop_ms":%d,"settings":{
		"classes":[{"name":"view","aim":1000000000,"give_up":5000000000}],"rules":{"drain_grace":300000000,"tip_multiple":8},
		"family_info":{"cores":2,"ram_kb":100000,"below":"shared","call_share":2}}}`,
		addr, w.engine.Addr(), w.service("first "), stopMs)
	if err := os.WriteFile(w.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	load := func() (told, error) {
		defer func() { w.loaded <- struct{}{} }()
		p, err := opening.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": w.file}[key] })
		return told{Process: p}, err
	}
	p, err := load()
	<-w.loaded
	if err != nil {
		t.Fatal(err)
	}
	go func() { w.over <- serve(p, newLog(&w.lines).WithField("node", p.Name), w.stop, w.reread, load) }()
	w.reported("first UP") // which tells that it is up and started
	if w.conn, err = net.Dial("tcp", addr); err != nil {
		t.Fatal(err)
	}
	w.conn.SetDeadline(time.Now().Add(soon))
	t.Cleanup(func() { w.conn.Close() })
	return w
}

// service is a membership service, which names itself with each phase that it hears; its address is returned.
func (w *whole) service(name string) string {
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
func (w *whole) reload(old, new string) {
	w.Helper()
	b, err := os.ReadFile(w.file)
	if err == nil {
		err = os.WriteFile(w.file, bytes.Replace(b, []byte(old), []byte(new), 1), 0o600)
	}
	if err != nil {
		w.Fatal(err)
	}
	w.reread <- syscall.SIGHUP
	<-w.loaded
}

// reported waits for the first report that differs from those before.
func (w *whole) reported(want string) {
	w.Helper()
	for got := ""; got != want; w.last = got {
		select {
		case got = <-w.phases:
			if got != want && got != w.last {
				w.Fatalf("report %q, want %q", got, want)
			}
		case <-time.After(soon):
			w.Fatalf("no report, want %q", want)
		}
	}
}

func (w *whole) answered(want string) {
	w.Helper()
	got := make([]byte, len(want))
	if n, err := io.ReadFull(w.conn, got); err != nil || string(got) != want {
		w.Fatalf("answer %q, error %v; want %q", got[:n], err, want)
	}
}

func (w *whole) ended() {
	w.Helper()
	select {
	case err := <-w.over:
		if err != nil {
			w.Error(err)
		}
	case <-time.After(soon):
		w.Fatal("not over")
	}
	for _, want := range []string{`absent="calls below"`, `msg="drain: over"`} {
		if !strings.Contains(w.lines.String(), want) {
			w.Errorf("logged %s", w.lines.String())
		}
	}
}

// The whole server: it serves, and after a signal it goes on for the grace, answers what is in hand and ends.
func TestServe(t *testing.T) {
	w := start(t, 5000)
	w.conn.Write(call(1, "view", "a"))
	w.answered("\x94\x01\x01\xc0\x92\xc4\x01a\x80")
	w.conn.Write(call(2, "view", "wait"))
	w.stop <- syscall.SIGTERM
	w.reported("first OUT")
	w.stop <- syscall.SIGTERM // changes nothing
	close(w.wait)
	w.answered("\x94\x01\x02\xc0\x92\xc4\x04wait\x80")
	w.conn.Write(call(3, "view", "b"))
	w.answered("\x94\x01\x03\xc0\x92\xc4\x01b\x80\x93\x02\xa7closing\x90")
	w.conn.Close()
	w.ended()
}

// A run that does not end before the stop is answered all the same.
func TestServeStop(t *testing.T) {
	w := start(t, 800)
	defer close(w.wait)
	w.conn.Write(call(1, "view", "wait"))
	w.conn.Write(call(2, "view", "wait"))
	w.stop <- syscall.SIGTERM
	w.reported("first OUT")
	w.answered("\x93\x02\xa7closing\x90")
	got, err := io.ReadAll(w.conn)
	if err != nil || bytes.Count(got, []byte("Aborted")) != 2 {
		t.Errorf("read %q, error %v", got, err)
	}
	w.ended()
}

// New addresses are used at once and what is in hand goes on; a wrong file changes nothing, and what can't change
// is named; all of it in a drain as well.
func TestReload(t *testing.T) {
	w := start(t, 5000)
	defer close(w.wait)
	w.conn.Write(call(1, "view", "wait"))
	w.reload(`"seed":"1"`, `"seed":"x"`)
	w.reload(`"seed":"x"`, `"seed":"2"`)
	b, _ := os.ReadFile(w.file)
	_, old, _ := strings.Cut(string(b), `"members":"`)
	w.reload(old[:strings.Index(old, `"`)], w.service("second "))
	w.reported("second UP")
	w.stop <- syscall.SIGTERM
	w.reported("second OUT")
	next, on := listen(t), make(chan struct{})
	close(on)
	go answering(next, on) // which ends the run that the first one holds
	w.reload(w.engine.Addr().String(), next.Addr().String())
	for got := []byte(nil); !bytes.Contains(got, []byte("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")); {
		b := make([]byte, 100)
		n, err := w.conn.Read(b)
		if got = append(got, b[:n]...); err != nil {
			t.Fatalf("read %q, error %v", got, err)
		}
	}
	w.conn.Close()
	w.ended()
	for _, want := range []string{"seed: up to 16 hex digits", "keys=seed", `msg="reload: done"`} {
		if !strings.Contains(w.lines.String(), want) {
			t.Errorf("no %q in the log: %s", want, w.lines.String())
		}
	}
}

// A flood of one line is cut, and the next one that is written counts what was dropped.
func TestLogFlood(t *testing.T) {
	var out bytes.Buffer
	log := newLog(&out)
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
