package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
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

// standIn is an engine that ends each run at once with its body as the result, but for bodies that say to wait:
// these end when wait is closed.
func standIn(ln net.Listener, wait <-chan struct{}) {
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
	f := []string{"txn", fmt.Sprint("t", id), "door", fmt.Sprint(time.Now().UnixMilli())}
	b := msgpack.AppendString(msgpack.AppendUint(append(msgpack.AppendArray(nil, 4), 0), id), method)
	b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(f)/2)
	for _, s := range f {
		b = msgpack.AppendString(b, s)
	}
	return append(msgpack.AppendBinHead(b, len(body)), body...)
}

// The whole server: it serves, and on a signal it answers what is in hand and ends in time with all of it.
func TestServe(t *testing.T) {
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return ln
	}
	engineAt, membersAt, own := listen(), listen(), listen()
	addr := own.Addr().String()
	own.Close()
	wait := make(chan struct{})
	go standIn(engineAt, wait)

	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"%s","engine":"%s","members":"%s","seed":"1","stop_ms":2000,"settings":{
		"classes":[{"name":"view","aim":1000000000}],"rules":{"drain_grace":300000000,"tip_multiple":8},
		"family_info":{"cores":2,"ram_kb":100000,"below":"shared","call_share":2}}}`, addr, engineAt.Addr(), membersAt.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p, err := opening.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": file}[key] })
	if err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	stop := make(chan os.Signal, 2)
	over := make(chan error, 1)
	go func() { over <- serve(p, newLog(&lines).WithField("node", p.Name), stop) }()

	// The first report tells that it is up and started.
	reports, err := membersAt.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer reports.Close()
	in := bufio.NewReader(reports)
	reads := func(want string) {
		t.Helper()
		reports.SetDeadline(time.Now().Add(soon))
		got, err := in.ReadString('}')
		if err != nil || !strings.HasSuffix(got, want) {
			t.Fatalf("report %q, error %v", got, err)
		}
		io.WriteString(reports, "HTTP/1.1 204 No Content\r\n\r\n")
	}
	reads(`{"phase":"UP"}`)

	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(soon))
	answer := func(want string) {
		t.Helper()
		got := make([]byte, len(want))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
			t.Fatalf("answer %q, error %v; want %q", got, err, want)
		}
	}
	conn.Write(call(1, "view", "a"))
	answer("\x94\x01\x01\xc0\x92\xc4\x01a\x80")
	conn.Write(call(2, "view", "wait"))
	stop <- syscall.SIGTERM
	reads(`{"phase":"OUT"}`)
	stop <- syscall.SIGTERM // changes nothing
	conn.Write(call(3, "view", "b"))
	close(wait)
	for left := map[string]bool{"\x02\xc0\x92\xc4\x04wait": true, "\x03\xc0\x92\xc4\x01b": true}; len(left) > 0; {
		head := make([]byte, 7)
		if _, err := io.ReadFull(conn, head); err != nil {
			t.Fatal(err)
		}
		rest := make([]byte, int(head[6])+1)
		if _, err := io.ReadFull(conn, rest); err != nil {
			t.Fatal(err)
		}
		delete(left, string(head[2:])+string(rest[:len(rest)-1]))
	}
	answer("\x93\x02\xa7closing\x90")
	conn.Close()
	select {
	case err := <-over:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(soon):
		t.Fatal("not over")
	}
	if !strings.Contains(lines.String(), `absent="calls below"`) || !strings.Contains(lines.String(), `msg="drain: over"`) {
		t.Errorf("logged %s", lines.String())
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
