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

// soon bounds what must come at once; it is long only so that a busy machine fails no test.
const soon = 10 * time.Second

// fakeEngine is an engine that the test drives line by line.
type fakeEngine struct {
	*testing.T
	ln          net.Listener
	link        *Link
	conn        net.Conn
	in          *bufio.Scanner
	completions chan string
	coldStarts  chan bool
}

func start(t *testing.T, quiet time.Duration) *fakeEngine {
	return startWithHelloTimeout(t, quiet, 2*soon)
}

func startWithHelloTimeout(t *testing.T, quiet, renew time.Duration) *fakeEngine {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &fakeEngine{T: t, ln: ln, completions: make(chan string, 20), coldStarts: make(chan bool, 20)}
	s.link = New(ln.Addr().String(), log.WithField("node", "n0"), func(cold bool, _ time.Duration) { s.coldStarts <- cold })
	s.link.silenceTimeout, s.link.helloTimeout = quiet, renew
	ctx, end := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { s.link.Serve(ctx); close(over) }()
	t.Cleanup(func() {
		end()
		_ = ln.Close() // the test may have closed it
		<-over
	})
	return s
}

// noError fails the test on an error of what must work.
func (s *fakeEngine) noError(err error) {
	s.Helper()
	if err != nil {
		s.Error(err)
	}
}

// accept accepts the next connection, which must attach after so many notices.
func (s *fakeEngine) accept(last int) {
	s.Helper()
	conn, err := s.ln.Accept()
	if err != nil {
		s.Fatal(err)
	}
	s.conn, s.in = conn, bufio.NewScanner(conn)
	s.noError(s.conn.SetDeadline(time.Now().Add(soon)))
	s.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	s.expectLine(fmt.Sprintf(`{"t":"ATTACH","no":%d}`, last))
}

func (s *fakeEngine) expectLine(want string) {
	s.Helper()
	if !s.in.Scan() || s.in.Text() != want {
		s.Fatalf("read %.99q, error %v; want %.99q", s.in.Text(), s.in.Err(), want)
	}
}

func (s *fakeEngine) write(lines ...string) {
	s.Helper()
	if _, err := io.WriteString(s.conn, strings.Join(lines, "\n")+"\n"); err != nil {
		s.Fatal(err)
	}
}

// hello answers an ATTACH: the STAT that follows is answered behind the notices that were missed.
func (s *fakeEngine) hello(mark string, missed ...string) {
	s.Helper()
	s.write(`{"t":"HELLO","status":"booting","time_ms":12.5}`)
	s.write(append(missed, `{"t":"NOTE","no":0,"status":"x"}`)...)
	s.expectLine(`{"t":"STAT","mark":"` + mark + `"}`)
	s.write(`{"t":"STATS","mark":"` + mark + `","v":[0.5,2,0.1,7]}`)
}

func (s *fakeEngine) run(id, body string) {
	s.link.Run(id, "m", []byte(body), func(e Completion) {
		end := fmt.Sprintf("%s ok %g %s", id, e.ServiceMs, e.Result)
		var failed *retry.Error
		if errors.As(e.Err, &failed) {
			end = fmt.Sprintf("%s error %d", id, failed.Progress)
		}
		s.completions <- end
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
			s.Fatalf("end %q, want %q", got, want)
		}
	case <-time.After(soon):
		s.Fatalf("no end, want %q", want)
	}
}

func done(no int, id, status, body string) string {
	return fmt.Sprintf(`{"t":"DONE","no":%d,"rid":"%s","status":"%s","time_ms":1.5,"b64":"%s"}`, no, id, status,
		base64.StdEncoding.EncodeToString([]byte(body)))
}

// A new address before there is any engine is not held up by the backoff for the old one.
func TestSetAddrBeforeConnect(t *testing.T) {
	s := start(t, soon)
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

// An engine that sends nothing any more has lost the connection, though that never ended.
func TestQuiet(t *testing.T) {
	s := start(t, 50*time.Millisecond)
	s.accept(0)
	s.run("z", "x") // an engine that has yet to start may take its time
	time.Sleep(2 * s.link.silenceTimeout)
	s.hello("1")
	s.expectLine(s.runLine("z", "x"))
	s.write(`{"t":"NO","status":"RUN","rid":"z"}`)
	s.run("a", "x")
	s.expectLine(s.runLine("a", "x"))
	s.accept(0) // on which it does not even say hello
	s.accept(0)
	s.hello("2")
	s.expectLine(s.runLine("a", "x"))
}

// A connection whose ATTACH was lost, as with a break, is made anew; so is each while the engine has yet to start.
func TestAttachLost(t *testing.T) {
	s := startWithHelloTimeout(t, soon, 200*time.Millisecond)
	s.run("a", "x")
	for range 2 {
		s.accept(0) // and nothing comes back
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
		{"runs and their ends", func(s *fakeEngine) {
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
		{"an engine that starts long after", func(s *fakeEngine) {
			s.run("a", "x")
			s.accept(0)
			s.run("b", "x")
			s.hello("1")
			s.expectLine(s.runLine("a", "x"))
			s.expectLine(s.runLine("b", "x"))
		}},
		{"a move: nothing waits for the old link to end, and what runs is found at the new address", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.expectLine(s.runLine("a", "x"))
			s.write(done(1, "z", "success", "")) // and the link stays open
			var err error
			if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				s.Fatal(err)
			}
			defer func() { s.noError(s.ln.Close()) }()
			s.link.mu.Lock()
			for s.link.lastNotice == 0 { // until that notice has been read
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
		{"a break: missed notices come first, then what still runs is sent again", func(s *fakeEngine) {
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
		{"not known after a break: it may have run before", func(s *fakeEngine) {
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
		{"nothing was started anew after a break: it may have run before, and its end be lost", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.expectLine(s.runLine("a", "x"))
			s.noError(s.conn.Close())
			s.accept(0)
			s.hello("2", done(4200, "z", "success", "")) // more have passed than are kept
			s.expectLine(s.runLine("a", "x"))
			s.write(done(4201, "a", "nothing", ""))
			s.expectCompletion("a error 2")
		}},
		{"the same try sent to us twice runs once", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("a", "x")
			s.run("a", "x")
			s.expectLine(s.runLine("a", "x"))
			s.write(done(1, "a", "interrupted", ""))
			s.expectCompletion("a error 2")
			s.expectCompletion("a error 2")
		}},
		{"commands not carried out, and lines that make no sense", func(s *fakeEngine) {
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
		{"a line without end", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			conn := s.conn
			go func() { _, _ = conn.Write(make([]byte, 2*maxLineBytes)) }() // the link ends within it
			s.accept(0)
		}},
		{"nothing started, and too many runs", func(s *fakeEngine) {
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
		{"an engine that reads nothing holds up neither runs nor the clock", func(s *fakeEngine) {
			s.accept(0)
			s.hello("1")
			s.run("first", "x") // once it is read the link is in step
			s.expectLine(s.runLine("first", "x"))
			body := strings.Repeat("x", 2<<10)
			for i := range maxRuns - 1 { // some 20 MB, more than the sockets' buffers hold
				s.run(fmt.Sprint(i), body)
			}
			s.link.Gauges(time.Millisecond) // returns
			for i := range maxRuns - 1 {
				s.expectLine(s.runLine(fmt.Sprint(i), body))
			}
		}},
		{"gauges, and none in time", func(s *fakeEngine) {
			s.accept(0)
			if v := s.link.Gauges(soon); v != nil {
				s.Errorf("gauges %v before any were told", v)
			}
			s.hello("1")
			s.run("a", "x") // told apart from the STAT by its place: sent once the link is in step
			s.expectLine(s.runLine("a", "x"))
			if v := s.link.Gauges(time.Millisecond); len(v) != 4 || v[1] != 2 {
				s.Errorf("gauges %v", v)
			}
			s.expectLine(`{"t":"STAT","mark":"2"}`)
			s.write(`{"t":"STATS","mark":"2","v":[0.5,3]}`)
			got := make(chan []float64)
			go func() { got <- s.link.Gauges(soon) }()
			s.expectLine(`{"t":"STAT","mark":"3"}`)
			s.write(`{"t":"STATS","mark":"3","v":[1,4]}`)
			if v := <-got; len(v) != 2 || v[1] != 4 {
				s.Errorf("gauges %v", v)
			}
			s.link.mu.Lock()
			s.link.gaugesAt = time.Now().Add(-2 * maxGaugeAge)
			s.link.mu.Unlock()
			if v := s.link.Gauges(time.Millisecond); v != nil {
				s.Errorf("gauges %v, which are old", v)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, 2*soon)
			c.do(s)
			if len(s.coldStarts) > 0 && !<-s.coldStarts {
				t.Error("booting was not told as cold")
			}
		})
	}
}

func FuzzTake(f *testing.F) {
	f.Add(done(1, "a", "success", "x"))
	f.Add(`{"t":"NO","status":"RUN","rid":"a"}`)
	f.Add(`{"t":"STATS","v":[1e400]}`)
	f.Fuzz(func(t *testing.T, s string) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := New("", log.WithField("node", "n0"), func(bool, time.Duration) {})
		ends := 0
		l.Run("a", "m", nil, func(Completion) { ends++ })
		for range 2 {
			l.handleLine([]byte(s))
		}
		if ends > 1 {
			t.Errorf("%d ends of one run", ends)
		}
	})
}
