package engine

import (
	"bufio"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/retry"
)

// testTimeout is the time limit for events that should be immediate. It is long so that no test fails on a busy machine.
const testTimeout = 10 * time.Second

// fakeEngine is an engine that the test controls line by line.
type fakeEngine struct {
	*testing.T
	ln          net.Listener
	link        *Link
	conn        net.Conn
	in          *bufio.Scanner
	completions chan string
	coldStarts  chan bool
}

func start(t *testing.T, silenceTimeout time.Duration) *fakeEngine {
	return startWithHelloTimeout(t, silenceTimeout, 2*testTimeout)
}

func startWithHelloTimeout(t *testing.T, silenceTimeout, helloTimeout time.Duration) *fakeEngine {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &fakeEngine{T: t, ln: ln, completions: make(chan string, 20), coldStarts: make(chan bool, 20)}
	s.link = New(ln.Addr().String(), log.WithField("node", "n0"), func(cold bool, _ time.Duration) { s.coldStarts <- cold })
	s.link.silenceTimeout, s.link.helloTimeout = silenceTimeout, helloTimeout
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { s.link.Serve(ctx); close(stopped) }()
	t.Cleanup(func() {
		cancel()
		_ = ln.Close() // the test may have closed it already
		<-stopped
	})
	return s
}

// noError fails the test if err is not nil.
func (s *fakeEngine) noError(err error) {
	s.Helper()
	if err != nil {
		s.Error(err)
	}
}

// accept accepts the next connection. Its ATTACH must have last as the number of the last notice.
func (s *fakeEngine) accept(last int) {
	s.Helper()
	conn, err := s.ln.Accept()
	if err != nil {
		s.Fatal(err)
	}
	s.conn, s.in = conn, bufio.NewScanner(conn)
	s.noError(s.conn.SetDeadline(time.Now().Add(testTimeout)))
	s.Cleanup(func() { _ = conn.Close() }) // the test may have closed it already
	s.expectLine(fmt.Sprintf(`{"t":"ATTACH","no":%d}`, last))
}

func (s *fakeEngine) expectLine(want string) {
	s.Helper()
	if !s.in.Scan() || s.in.Text() != want {
		s.Fatalf("line from the link: got %.99q, error %v; want %.99q", s.in.Text(), s.in.Err(), want)
	}
}

func (s *fakeEngine) write(lines ...string) {
	s.Helper()
	if _, err := io.WriteString(s.conn, strings.Join(lines, "\n")+"\n"); err != nil {
		s.Fatal(err)
	}
}

// hello answers an ATTACH with a HELLO and the missed notices, and then answers the STAT that follows.
func (s *fakeEngine) hello(mark string, missed ...string) {
	s.Helper()
	s.write(`{"t":"HELLO","status":"booting","time_ms":12.5}`)
	s.write(append(missed, `{"t":"NOTE","no":0,"status":"x"}`)...)
	s.expectLine(`{"t":"STAT","mark":"` + mark + `"}`)
	s.write(`{"t":"STATS","mark":"` + mark + `","v":[0.5,2,0.1,7]}`)
}

func (s *fakeEngine) run(id, body string) {
	s.link.Run(id, "m", []byte(body), func(c Completion) {
		text := fmt.Sprintf("%s ok %g %s", id, c.ServiceMs, c.Result)
		var runErr *retry.Error
		if errors.As(c.Err, &runErr) {
			text = fmt.Sprintf("%s error %d", id, runErr.Progress)
		}
		s.completions <- text
	})
}

func (s *fakeEngine) runLine(id, body string) string {
	return `{"t":"RUN","rid":"` + id + `","route":"m","b64":"` + base64.StdEncoding.EncodeToString([]byte(body)) + `"}`
}

func (s *fakeEngine) expectCompletion(want string) {
	s.Helper()
	select {
	case got := <-s.completions:
		if got != want {
			s.Fatalf("completion: got %q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		s.Fatalf("no completion, want %q", want)
	}
}

func done(no int, id, status, body string) string {
	return fmt.Sprintf(`{"t":"DONE","no":%d,"rid":"%s","status":"%s","time_ms":1.5,"b64":"%s"}`, no, id, status,
		base64.StdEncoding.EncodeToString([]byte(body)))
}

// TestSetAddrBeforeConnect checks that a connection to a new address is not delayed by the backoff for the old address, before
// the engine has started.
func TestSetAddrBeforeConnect(t *testing.T) {
	s := start(t, testTimeout)
	s.noError(s.ln.Close())
	s.run("a", "x")
	var err error
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { s.noError(s.ln.Close()) }()
	for range 3 {
		s.link.SetAddr(s.ln.Addr().String())
	}
	s.accept(0)
	s.hello("1")
	s.expectLine(s.runLine("a", "x"))
}

// TestSilenceTimeout checks that the link makes a new connection if the engine sends nothing, even if the old connection stays
// open.
func TestSilenceTimeout(t *testing.T) {
	s := start(t, 50*time.Millisecond)
	s.accept(0)
	s.run("z", "x") // the silence timeout does not apply before the engine has started
	time.Sleep(2 * s.link.silenceTimeout)
	s.hello("1")
	s.expectLine(s.runLine("z", "x"))
	s.write(`{"t":"NO","status":"RUN","rid":"z"}`)
	s.run("a", "x")
	s.expectLine(s.runLine("a", "x"))
	s.accept(0) // on this connection the engine does not even send HELLO
	s.accept(0)
	s.hello("2")
	s.expectLine(s.runLine("a", "x"))
}

// TestAttachLost checks that the link makes a new connection if an ATTACH was lost with a broken connection, or while the engine
// has not started.
func TestAttachLost(t *testing.T) {
	s := startWithHelloTimeout(t, testTimeout, 200*time.Millisecond)
	s.run("a", "x")
	for range 2 {
		s.accept(0) // the engine does not answer
	}
	s.accept(0)
	s.hello("1")
	s.expectLine(s.runLine("a", "x"))
}

func TestLink(t *testing.T) {
	cases := []struct {
		name string
		do   func(s *fakeEngine)
	}{
		{"runs and their completions", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "\x00\xff")
			s.expectLine(s.runLine("a", "\x00\xff"))
			s.run("b", "")
			s.expectLine(s.runLine("b", ""))
			s.write(done(1, "b", "failure", ""), done(2, "a", "success", "\xfe"))
			s.expectCompletion("b error 2")
			s.expectCompletion("a ok 1.5 \xfe")
		}},
		{"engine starts late", func(s *fakeEngine) {
			s.run("a", "x")
			s.accept(0)
			s.run("b", "x")
			s.hello("1")
			s.expectLine(s.runLine("a", "x"))
			s.expectLine(s.runLine("b", "x"))
		}},
		{"new address: no wait for the end of the old connection, and runs continue at the new address", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.expectLine(s.runLine("a", "x"))
			s.write(done(1, "z", "success", "")) // and the old connection stays open
			var err error
			if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				s.Fatal(err)
			}
			defer func() { s.noError(s.ln.Close()) }()
			s.link.mu.Lock()
			for s.link.lastNotice == 0 { // until the link has read the notice
				s.link.mu.Unlock()
				time.Sleep(time.Millisecond)
				s.link.mu.Lock()
			}
			s.link.mu.Unlock()
			s.link.SetAddr(s.ln.Addr().String())
			s.accept(1)
			s.run("b", "y")
			s.hello("2", done(2, "a", "success", "r"))
			s.expectCompletion("a ok 1.5 r")
			s.expectLine(s.runLine("b", "y"))
		}},
		{"lost connection: missed notices come first, then unfinished runs are sent again", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.run("b", "x")
			s.run("c", "x")
			s.expectLine(s.runLine("a", "x"))
			s.expectLine(s.runLine("b", "x"))
			s.expectLine(s.runLine("c", "x"))
			s.write(done(1, "c", "success", ""))
			s.expectCompletion("c ok 1.5 ")
			s.noError(s.conn.Close())
			s.accept(1)
			s.hello("2", done(1, "b", "failure", ""), done(2, "a", "success", "r"))
			s.expectCompletion("a ok 1.5 r")
			s.expectLine(s.runLine("b", "x"))
			s.write(done(2, "b", "success", ""), done(3, "b", "success", "s"))
			s.expectCompletion("b ok 1.5 s")
		}},
		{"run unknown after a lost connection: the RPC may have run before", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.expectLine(s.runLine("a", "x"))
			s.noError(s.conn.Close())
			s.accept(0)
			s.hello("2")
			s.expectLine(s.runLine("a", "x"))
			s.write(`{"t":"NO","status":"RUN","rid":"a"}`)
			s.expectCompletion("a error 2")
		}},
		{"run not started again after a lost connection: the RPC may have run before, and the notice of its end may be lost", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.expectLine(s.runLine("a", "x"))
			s.noError(s.conn.Close())
			s.accept(0)
			s.hello("2", done(4200, "z", "success", "")) // the engine no longer has the earlier notices
			s.expectLine(s.runLine("a", "x"))
			s.write(done(4201, "a", "nothing", ""))
			s.expectCompletion("a error 2")
		}},
		{"the same attempt submitted twice runs once", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.run("a", "x")
			s.expectLine(s.runLine("a", "x"))
			s.write(done(1, "a", "interrupted", ""))
			s.expectCompletion("a error 2")
			s.expectCompletion("a error 2")
		}},
		{"refused commands and invalid lines", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.expectLine(s.runLine("a", "x"))
			s.write("", "{", `[1]`, `{"t":7}`, `{"t":"SING"}`, `{"t":"NO","status":"STAT"}`,
				`{"t":"DONE","no":1,"rid":"never","status":"success"}`, `{"t":"NO","status":"RUN","rid":"a"}`)
			s.expectCompletion("a error 1")
			s.run("b", "x")
			s.expectLine(s.runLine("b", "x"))
			s.write(`{"t":"DONE","no":2,"rid":"b","status":"success","b64":"?"}`)
			s.expectCompletion("b error 2")
		}},
		{"line longer than the maximum", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			conn := s.conn
			go func() { _, _ = conn.Write(make([]byte, 2*maxLineBytes)) }() // the link closes the connection before the end of the line
			s.accept(0)
		}},
		{"run not started, and too many runs", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.expectLine(s.runLine("a", "x"))
			s.write(done(1, "a", "nothing", ""))
			s.expectCompletion("a error 1")
			for i := range maxRuns {
				s.link.runs[fmt.Sprint(i)] = &run{}
			}
			s.run("b", "x")
			s.expectCompletion("b error 0")
		}},
		{"engine that reads nothing delays neither runs nor the clock", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("first", "x") // once the engine has read it, the link is synced
			s.expectLine(s.runLine("first", "x"))
			body := strings.Repeat("x", 2<<10)
			for i := range maxRuns - 1 { // about 20 MB, more than the socket buffers hold
				s.run(fmt.Sprint(i), body)
			}
			s.link.Gauges(time.Millisecond) // must return
			for i := range maxRuns - 1 {
				s.expectLine(s.runLine(fmt.Sprint(i), body))
			}
		}},
		{"gauges, and a timeout without gauges", func(s *fakeEngine) {
			s.accept(0)
			if v := s.link.Gauges(testTimeout); v != nil {
				s.Errorf("gauges before any were received: got %v", v)
			}
			s.hello("1")
			s.run("a", "x") // the RUN is sent once the link is synced, after the first STAT
			s.expectLine(s.runLine("a", "x"))
			if v := s.link.Gauges(time.Millisecond); len(v) != 4 || v[1] != 2 {
				s.Errorf("gauges: got %v", v)
			}
			s.expectLine(`{"t":"STAT","mark":"2"}`)
			s.write(`{"t":"STATS","mark":"2","v":[0.5,3]}`)
			gauges := make(chan []float64)
			go func() { gauges <- s.link.Gauges(testTimeout) }()
			s.expectLine(`{"t":"STAT","mark":"3"}`)
			s.write(`{"t":"STATS","mark":"3","v":[1,4]}`)
			if v := <-gauges; len(v) != 2 || v[1] != 4 {
				s.Errorf("gauges: got %v", v)
			}
			s.link.mu.Lock()
			s.link.gaugesAt = time.Now().Add(-2 * maxGaugeAge)
			s.link.mu.Unlock()
			if v := s.link.Gauges(time.Millisecond); v != nil {
				s.Errorf("outdated gauges: got %v, want none", v)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, 2*testTimeout)
			c.do(s)
			if len(s.coldStarts) > 0 && !<-s.coldStarts {
				t.Error("status booting was not reported as a cold start")
			}
		})
	}
}

func FuzzHandleLine(f *testing.F) {
	f.Add(done(1, "a", "success", "x"))
	f.Add(`{"t":"NO","status":"RUN","rid":"a"}`)
	f.Add(`{"t":"STATS","v":[1e400]}`)
	f.Fuzz(func(t *testing.T, s string) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := New("", log.WithField("node", "n0"), func(bool, time.Duration) {})
		completions := 0
		l.Run("a", "m", nil, func(Completion) { completions++ })
		for range 2 {
			l.handleLine([]byte(s))
		}
		if completions > 1 {
			t.Errorf("completions of one run: got %d, want at most 1", completions)
		}
	})
}
