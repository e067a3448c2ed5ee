package uwsgi

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	wire "sorrelvalve/internal/uwsgi"
)

func TestConnections(t *testing.T) {
	keep := []string{"VALVE_KEEP", "1"}
	cases := []struct {
		name   string
		change func(*operator.File)
		do     func(r *rig)
	}{
		{"one RPC, then the connection is closed", nil, func(r *rig) {
			r.write(get("/view"))
			run := r.run()
			if run.Method != "view" || len(run.ID) != 16 || !strings.Contains(run.Variables, "/view") {
				r.Errorf("run: got %+v", run)
			}
			run.succeed("a")
			if head := r.expect("200 a", ""); head != "" {
				r.Errorf("head of the response: got %q", head)
			}
		}},
		{"one byte at a time", nil, func(r *rig) {
			for _, c := range []byte(post("/view/1", "body")) {
				r.write(string(c))
			}
			if run := r.run(); string(run.Body) != "body" {
				r.Errorf("body of the run: got %q", run.Body)
			} else {
				run.succeed("a")
			}
			r.expect("200 a", "")
		}},
		{"several RPCs sent at once on a kept connection", nil, func(r *rig) {
			s := ""
			for i := range 5 {
				s += post("/view/1", fmt.Sprint("b", i), keep...)
			}
			r.write(s)
			for i := range 5 {
				run := r.run()
				run.succeed(string(run.Body))
				if head := r.expect(fmt.Sprint("200 b", i)); strings.Contains(head, "close") {
					r.Errorf("head of the response: got %q", head)
				}
			}
		}},
		{"a complete message sent ahead while an RPC is in flight", nil, func(r *rig) {
			r.write(post("/view/1", "a", keep...))
			run := r.run()
			r.write(post("/view/1", strings.Repeat("b", 3000), keep...))
			run.succeed("a")
			r.expect("200 a")
			r.run().succeed("b")
			r.expect("200 b")
		}},
		{"more data sent ahead than fits into the buffer", nil, func(r *rig) {
			r.write(post("/view/1", "a", keep...))
			run := r.run()
			conn := r.conn
			go func() { _, _ = io.WriteString(conn, post("/view/1", strings.Repeat("b", 30000), keep...)) }() // the response is read below
			run.succeed("a")
			r.expect("200 a")
			run = r.run()
			run.succeed(fmt.Sprint(len(run.Body)))
			r.expect("200 30000")
		}},
		{"a block of the maximum size, and one byte more", nil, func(r *rig) {
			overhead := len(get("/view", "PAD", "")) - wire.HeaderSize
			r.write(get("/view", "PAD", strings.Repeat("x", 8192-overhead)))
			r.run().succeed("a")
			r.expect("200 a", "")
			r.dial()
			r.write(get("/view", "PAD", strings.Repeat("x", 8193-overhead)))
			r.expect("431", "")
		}},
		{"a body of the maximum size, and one byte more", nil, func(r *rig) {
			r.write(post("/view/1", strings.Repeat("x", 40000)))
			if run := r.run(); len(run.Body) != 40000 {
				r.Errorf("body of the run: got %d bytes", len(run.Body))
			} else {
				run.succeed("a")
			}
			r.expect("200 a", "")
			r.dial()
			r.write(packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "40001"))
			r.expect("413", "")
		}},
		{"a body that exceeds the memory limit of all bodies is rejected", nil, func(r *rig) {
			for n := range 2 {
				r.dial()
				r.write(packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "40000"))
				r.waitUntil("memory for the body is reserved", func() bool { return r.server.bodyBytes.Load() == int64(40000*(n+1)) })
			}
			r.dial()
			r.write(post("/view/1", strings.Repeat("x", 40000)))
			if head := r.expect("503"); !strings.Contains(head, "Retry-After: 1\r\n") || !strings.Contains(head, "Valve-Away-Ms: 250\r\n") {
				r.Errorf("head of the response: got %q", head)
			}
		}},
		{"a failed run", nil, func(r *rig) {
			r.write(get("/view"))
			r.run().done(gate.Failed, 1, nil, nil)
			r.expect("500", "")
		}},
		{"no capacity for the run", nil, func(r *rig) {
			r.write(get("/view"))
			r.run().done(gate.NoCapacity, 1, nil, nil)
			if head := r.expect("503"); !strings.Contains(head, "Retry-After: 1\r\n") || !strings.Contains(head, "Valve-Away-Ms: 500\r\n") {
				r.Errorf("head of the response: got %q", head)
			}
		}},
		{"a panic while handling an RPC", nil, func(r *rig) {
			r.write(post("/view/1", "panic", keep...))
			r.expect("500", "")
		}},
		{"the response of a pool is passed on without hop-by-hop fields", nil, func(r *rig) {
			r.write(get("/view"))
			r.run().done(gate.Succeeded, 1, []byte("HTTP/1.1 404 Gone Fishing\r\nX-A: b\r\nConnection: keep-alive\r\nContent-Length: 99\r\nTransfer-Encoding: identity\r\n\r\n"), []byte("none"))
			head := r.expect("404 none")
			if want := "HTTP/1.1 404 Gone Fishing\r\nX-A: b\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"; head != want {
				r.Errorf("head of the response: got %q", head)
			}
		}},
		{"HEAD, and a status without a body", func(f *operator.File) { f.Routes["any"] = operator.Route{Path: "/any", Method: "view"} }, func(r *rig) {
			r.write(packet("", "REQUEST_METHOD", "HEAD", "PATH_INFO", "/any", "VALVE_KEEP", "1"))
			r.run().done(gate.Succeeded, 1, []byte("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"), nil)
			if line, _ := r.in.ReadString('\n'); line != "HTTP/1.1 200 OK\r\n" {
				r.Errorf("status line of the response to HEAD: got %q", line)
			}
			if line, _ := r.in.ReadString('\n'); line != "Content-Length: 99\r\n" {
				r.Errorf("Content-Length of the response to HEAD: got %q", line)
			}
			_, err := r.in.ReadString('\n')
			r.noError(err)
			r.write(packet("", "REQUEST_METHOD", "DELETE", "PATH_INFO", "/any"))
			r.run().done(gate.Succeeded, 1, []byte("HTTP/1.1 204 No Content\r\n\r\n"), []byte("none"))
			if head := r.expect("204", ""); strings.Contains(head, "Content-Length") {
				r.Errorf("head of the response with status 204: got %q, want no Content-Length", head)
			}
		}},
		{"a client that leaves within a block", nil, func(r *rig) {
			r.write(get("/view")[:20])
			r.noError(r.conn.Close())
			r.waitIdle()
		}},
		{"a client that leaves within a body", nil, func(r *rig) {
			r.write(packet("abc", "REQUEST_METHOD", "POST", "PATH_INFO", "/topup-buy", "CONTENT_LENGTH", "10", "HTTP_IDEMPOTENCY_KEY", "k"))
			r.noError(r.conn.Close())
			r.waitUntil("memory for the body is released", func() bool { return r.server.bodyBytes.Load() == 0 })
			r.dial()
			r.write(post("/topup-buy", "abcdefghij", "HTTP_IDEMPOTENCY_KEY", "k"))
			r.run().succeed("a")
			r.expect("200 a", "")
		}},
		{"a body shorter than its length", func(f *operator.File) { f.UWSGI.BodyTimeoutMs = 30 }, func(r *rig) {
			r.write(packet("abc", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "10"))
			r.expect("400", "")
			r.waitIdle()
		}},
		{"a body longer than its length", nil, func(r *rig) {
			r.write(packet("0123456789 and more", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "10"))
			run := r.run()
			run.succeed(string(run.Body))
			r.expect("200 0123456789", "")
		}},
		{"a body longer than its length on a kept connection", nil, func(r *rig) {
			r.write(packet("0123456789and more", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "10", "VALVE_KEEP", "1"))
			r.run().succeed("a")
			r.expect("200 a", "400", "")
		}},
		{"a client that leaves during the run leaves nothing in flight", nil, func(r *rig) {
			r.write(get("/view"))
			run := r.run()
			r.noError(r.conn.Close())
			r.waitNoConns()
			run.succeed("a")
			r.waitIdle()
		}},
		{"a client that resets the connection during the run", nil, func(r *rig) {
			r.write(get("/view"))
			run := r.run()
			r.noError(r.conn.(*net.TCPConn).SetLinger(0))
			r.noError(r.conn.Close())
			r.waitNoConns()
			run.succeed("a")
			r.waitIdle()
		}},
		{"a half-closed connection counts as left", nil, func(r *rig) {
			r.write(get("/view"))
			run := r.run()
			r.noError(r.conn.(*net.TCPConn).CloseWrite())
			r.expect("")
			run.succeed("a")
			r.waitIdle()
		}},
		{"a half-closed connection gets its response if so configured", func(f *operator.File) { f.UWSGI.HalfClose = true }, func(r *rig) {
			r.write(get("/view"))
			r.noError(r.conn.(*net.TCPConn).CloseWrite())
			r.run().succeed("a")
			r.expect("200 a", "")
		}},
		{"a client that leaves within a response", nil, func(r *rig) {
			r.write(get("/view"))
			run := r.run()
			go run.succeed(strings.Repeat("x", 8<<20)) // more than the socket's buffers hold
			_, err := r.in.ReadByte()
			r.noError(err)
			r.noError(r.conn.Close())
			r.waitIdle()
		}},
		{"a peer that sends and never reads does not block another one", nil, func(r *rig) {
			for range 3 {
				r.write(get("/view", keep...))
			}
			r.run().succeed(strings.Repeat("x", 8<<20))
			r.dial()
			r.write(get("/view"))
			r.run().succeed("a")
			r.expect("200 a", "")
		}},
		{"a ping", nil, func(r *rig) {
			r.write("\x64\x00\x00\x00")
			b := make([]byte, 5)
			if n, err := io.ReadFull(r.in, b); string(b[:n]) != "\x64\x00\x00\x01" || err != io.ErrUnexpectedEOF {
				r.Errorf("ping response: got %q, error %v", b[:n], err)
			}
			r.dial()
			r.gate.Drain(time.Second)
			r.write("\x64\x00\x00\x00")
			if n, err := r.in.Read(b); n != 0 || err != io.EOF {
				r.Errorf("ping response during a drain: got %q, error %v", b[:n], err)
			}
		}},
		{"after a reload, RPCs that were read before keep the old config", nil, func(r *rig) {
			r.write(get("/view", keep...))
			run := r.run()
			f := file()
			f.Routes = map[string]operator.Route{"other": {Path: "/other", Method: "view", Type: "text/html"}}
			r.server.Set(f)
			run.succeed("a")
			if head := r.expect("200 a"); !strings.Contains(head, "text/plain") {
				r.Errorf("head of the response: got %q", head)
			}
			r.write(get("/view", keep...))
			r.expect("404")
			r.write(get("/other"))
			r.run().succeed("b")
			if head := r.expect("200 b"); !strings.Contains(head, "text/html") {
				r.Errorf("head of the response: got %q", head)
			}
		}},
		{"an RPC after the drain grace is rejected and the connection closed", nil, func(r *rig) {
			r.gate.Drain(time.Millisecond)
			r.write(get("/view"))
			r.expect("503", "")
		}},
		{"an idle kept connection is closed", nil, func(r *rig) {
			r.write(get("/view", keep...))
			r.run().succeed("a")
			r.expect("200 a")
			for _, c := range r.table.Conns() {
				c := c.(*conn)
				r.waitUntil("the connection is recorded as idle", func() bool { // after the response is written
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

// Invalid messages must be answered with the status for their error and must not run.
func TestInvalidMessages(t *testing.T) {
	var many []string
	for i := range 40 {
		many = append(many, fmt.Sprint("X", i), "")
	}
	cases := []struct{ name, in, want, head string }{
		{"a missing verb", packet("", "PATH_INFO", "/view"), "400", "REQUEST_METHOD"},
		{"a missing path", packet("", "REQUEST_METHOD", "GET"), "400", "path"},
		{"a path with .. segments", get("/view/../topup-buy"), "400", "path"},
		{"a path with an empty segment", get("//view"), "400", "path"},
		{"no matching route", get("/none"), "404", ""},
		{"a verb without a route", packet("", "REQUEST_METHOD", "DELETE", "PATH_INFO", "/view"), "405", "Allow: GET\r\n"},
		{"an unknown verb", packet("", "REQUEST_METHOD", "BREW", "PATH_INFO", "/view"), "405", "Allow: DELETE, GET"},
		{"a missing length", packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1"), "411", ""},
		{"a body in a transfer coding", get("/view", "HTTP_TRANSFER_ENCODING", "chunked"), "411", ""},
		{"an invalid length", packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "-1"), "400", "CONTENT_LENGTH"},
		{"two different lengths", packet("", "REQUEST_METHOD", "POST", "PATH_INFO", "/view/1", "CONTENT_LENGTH", "1", "CONTENT_LENGTH", "2"), "400", "twice"},
		{"a path too long", get("/" + strings.Repeat("x", 300)), "414", ""},
		{"too many variables", get("/view", many...), "431", ""},
		{"a block with an invalid variable length", "\x00\x05\x00\x00\x09\x00abc", "400", ""},
		{"an unsupported modifier", "\x05\x00\x00\x00", "400", "modifier1"},
		{"another protocol", "GET /view HTTP/1.1\r\n\r\n", "400", "modifier1"},
		{"an invalid hint", post("/view/1", "", "WORK", "lots"), "400", "hint (route save)"},
		{"a missing token", post("/topup-buy", ""), "400", "token"},
		{"a line end in a value", post("/view/1", "", "WORK", "1\r\nX-Evil: 1"), "400", "hint"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 1024)
			r.write(c.in)
			head := r.expect(c.want)
			if !strings.Contains(head, c.head) || strings.Contains(head, "\nX-Evil") {
				t.Errorf("head of the response: got %q, want it to contain %q", head, c.head)
			}
			if n := r.gate.InFlight(); n != 0 {
				t.Errorf("RPCs in flight: got %d, want 0", n)
			}
		})
	}
}

// The connection of a peer that sends nothing or never completes a message must be closed after the read timeout.
func TestMessageTimeout(t *testing.T) {
	for name, s := range map[string]string{"nothing": "", "half a header": "\x00", "half a block": get("/view")[:30]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 1024, func(f *operator.File) { f.UWSGI.ReadTimeoutMs = 20 })
			r.write(s)
			r.expect("")
		})
	}
}

func FuzzParseRequest(f *testing.F) {
	config := &config{limits: *file().UWSGI}
	f.Add(get("/view")[4:])
	f.Add(post("/a//b", "")[4:])
	f.Fuzz(func(t *testing.T, block string) {
		var vars wire.Variables
		if vars.Parse(block, 32) != nil {
			return
		}
		m := request{}
		m.Variables = &vars
		if err := config.parseRequest(&m); err != nil {
			if reasonPhrases[err.status] == "" {
				t.Errorf("status %d has no reason phrase", err.status)
			}
			if head := string(requestErrorHead(err, false)); strings.Count(head, "\r\n\r\n") != 1 || !strings.HasSuffix(head, "\r\n\r\n") {
				t.Errorf("head of the response: got %q", head)
			}
			return
		}
		if m.bodyLength < 0 || m.bodyLength > config.limits.MaxBodyBytes || !isCleanPath(m.Path) {
			t.Errorf("invalid request was accepted: %+v", m)
		}
	})
}
