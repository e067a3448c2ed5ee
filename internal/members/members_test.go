package members

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
)

const soon = 10 * time.Second // bounds what must come at once

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func always() bool { return true }

// noError fails the test on an error of what must work.
func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

func TestReadResponse(t *testing.T) {
	cases := []struct {
		name, in string
		code     int
		keep     bool
		bad      bool
	}{
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", 204, true, false},
		{"no words", "HTTP/1.1 204\r\n\r\n", 204, true, false},
		{"a body", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", 200, true, false},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 0\n\n", 200, true, false},
		{"to be closed", "HTTP/1.1 204 No Content\r\nConnection: Close\r\n\r\n", 204, false, false},
		{"an old version", "HTTP/1.0 204 No Content\r\n\r\n", 204, false, false},
		{"a body of unknown length", "HTTP/1.1 500 Oh\r\n\r\nx", 500, false, false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, false, false},
		{"one that goes before", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", 204, true, false},
		{"cut off in the head", "HTTP/1.1 204 No Content\r\nA: b", 0, false, true},
		{"cut off in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", 0, false, true},
		{"another protocol", "SSH-2.0\r\n\r\n", 0, false, true},
		{"no number", "HTTP/1.1 OK\r\n\r\n", 0, false, true},
		{"a false length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", 0, false, true},
		{"an endless body", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", 0, false, true},
		{"an endless line", "HTTP/1.1 204 " + strings.Repeat("x", 5000), 0, false, true},
		{"an endless head", "HTTP/1.1 204 X\r\n" + strings.Repeat("a: b\r\n", 5000), 0, false, true},
		{"no colon", "HTTP/1.1 204 X\r\nab\r\n\r\n", 0, false, true},
		{"nothing", "", 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, keep, err := readResponse(bufio.NewReaderSize(strings.NewReader(c.in), 1<<10))
			if (err != nil) != c.bad || code != c.code || keep != c.keep {
				t.Errorf("got %d, %v, error %v", code, keep, err)
			}
		})
	}
}

// TestReports has a fake service answer one report after the other, on as many connections as it takes.
func TestReports(t *testing.T) {
	const good = "HTTP/1.1 204 No Content\r\n\r\n"
	cases := []struct {
		name    string
		answers []string // "" closes the connection without one
		want    string   // what each report says, and on which connection it comes
	}{
		{"kept connection", []string{good, good, good}, "UP0 OUT0 UP0"},
		{"closed after each", []string{"HTTP/1.1 204 X\r\nConnection: close\r\n\r\n", good}, "UP0 OUT1"},
		{"a kept one closed without an answer", []string{good, "", good}, "UP0 OUT0 UP1"},
		{"a new one closed without an answer", []string{"", good}, "UP0 OUT1"},
		{"another status", []string{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", good}, "UP0 OUT0"},
		{"nonsense", []string{"what\r\n", good}, "UP0 OUT1"},
		{"in pieces", []string{"HTTP/1.1 200 OK\r\nConte", "", good}, "UP0 OUT1 UP2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			var reports atomic.Int32 // what holds changes with each that has been heard
			up := func() bool { return reports.Load()%2 == 0 }
			r := New(ln.Addr().String(), "n3", log.WithField("node", "n3"), up, always, nil)
			ctx, end := context.WithCancel(context.Background())
			reporting, serving, heard := make(chan struct{}), make(chan struct{}), make(chan string)
			go func() { r.Serve(ctx); close(reporting) }()
			go func() { fakeService(ln, c.answers, &reports, heard); close(serving) }()
			for _, want := range strings.Fields(c.want) {
				select {
				case got := <-heard:
					if got != want {
						t.Errorf("heard %s, want %s", got, want)
					}
				case <-time.After(soon):
					t.Fatalf("no report, want %s", want)
				}
			}
			end()
			noError(t, ln.Close())
			<-reporting
			<-serving
		})
	}
}

// fakeService answers reports on ln, one connection after the other, and passes on what they said.
func fakeService(ln net.Listener, answers []string, reports *atomic.Int32, heard chan<- string) {
	for n := 0; len(answers) > 0; n++ {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(conn)
		for len(answers) > 0 {
			if conn.SetDeadline(time.Now().Add(soon)) != nil {
				break
			}
			q, err := http.ReadRequest(in)
			if err != nil {
				break
			}
			body, _ := io.ReadAll(q.Body)
			if q.Method != "PUT" || q.URL.Path != "/members/n3" {
				body = []byte(q.Method + q.URL.Path)
			}
			reports.Add(1)
			heard <- fmt.Sprint(strings.Trim(strings.TrimPrefix(string(body), `{"phase":"`), `"}`), n)
			answer := answers[0]
			answers = answers[1:]
			_, _ = io.WriteString(conn, answer) // the next report tells whether it came
			if !strings.HasSuffix(answer, "\r\n\r\n") {
				break
			}
		}
		_ = conn.Close() // the reporter may have closed it
	}
}

// A report without an answer delays neither a change nor the next report, and a new address takes effect at once.
func TestUnanswered(t *testing.T) {
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	accept := func(ln net.Listener) net.Conn {
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		noError(t, conn.SetDeadline(time.Now().Add(soon)))
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	ln, next := listen(), listen()
	closeAll := func(all ...io.Closer) {
		for _, c := range all {
			noError(t, c.Close())
		}
	}
	defer closeAll(ln, next)
	log := logrus.New()
	log.SetOutput(io.Discard)
	changed := make(chan struct{})
	r := New(ln.Addr().String(), "n3", log.WithField("node", "n3"), always, always, changed)
	ctx, end := context.WithCancel(context.Background())
	reporting := make(chan struct{})
	go func() { r.Serve(ctx); close(reporting) }()
	defer func() { end(); <-reporting }()
	began := time.Now()
	defer closeAll(accept(ln))
	changed <- struct{}{}
	defer closeAll(accept(ln))
	r.SetAddr(ctx, next.Addr().String())
	defer closeAll(accept(next))
	if gone := time.Since(began); gone > reportInterval {
		t.Errorf("three reports without an answer took %v", gone)
	}
	defer closeAll(accept(next)) // at its time, though none has had an answer
	if gone := time.Since(began); gone < reportInterval {
		t.Errorf("repeated after %v", gone)
	}
}

// changeRig is a reporter that reports at changes only, and a service that answers each report when the test says so.
type changeRig struct {
	*testing.T
	reporter *Reporter
	serving  atomic.Bool
	changed  chan struct{}
	ln       net.Listener
}

func startChangeRig(t *testing.T) *changeRig {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := &changeRig{T: t, ln: ln, changed: make(chan struct{})}
	o.serving.Store(true)
	o.reporter = New(ln.Addr().String(), "n3", log.WithField("node", "n3"), o.serving.Load, always, o.changed)
	o.reporter.interval = time.Hour
	return o
}

func (o *changeRig) serve() {
	ctx, end := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { o.reporter.Serve(ctx); close(over) }()
	o.Cleanup(func() {
		end()
		<-over
		noError(o.T, o.ln.Close())
	})
}

// next returns the next report, on a connection of its own, and a function that answers it.
func (o *changeRig) next() (phase string, answer func()) {
	o.Helper()
	noError(o.T, o.ln.(*net.TCPListener).SetDeadline(time.Now().Add(soon)))
	conn, err := o.ln.Accept()
	if err != nil {
		o.Fatalf("no report: %v", err)
	}
	o.Cleanup(func() { noError(o.T, conn.Close()) })
	noError(o.T, conn.SetDeadline(time.Now().Add(soon)))
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		o.Fatal(err)
	}
	body, _ := io.ReadAll(q.Body)
	return string(body), func() {
		// The reporter may have given up; the reports that follow are what is checked.
		_, _ = io.WriteString(conn, "HTTP/1.1 204 X\r\nConnection: close\r\n\r\n")
	}
}

func (o *changeRig) expect(phase string) (answer func()) {
	o.Helper()
	got, answer := o.next()
	if want := `{"phase":"` + phase + `"}`; got != want {
		o.Fatalf("heard %s, want %s", got, want)
	}
	return answer
}

// A drain that begins while a report is being dialled is what that report says.
func TestDrainDuringDial(t *testing.T) {
	o := startChangeRig(t)
	dialling, dialled := make(chan struct{}), make(chan struct{})
	dial := o.reporter.dial
	o.reporter.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialling <- struct{}{}
		<-dialled
		return dial(ctx, network, addr)
	}
	o.serve()
	<-dialling
	o.serving.Store(false)
	close(dialled)
	o.expect("OUT")()
}

// A service that handles a report after the one that followed it gets another one that says what holds.
func TestOvertaken(t *testing.T) {
	o := startChangeRig(t)
	o.serve()
	late := o.expect("UP")
	o.serving.Store(false)
	o.changed <- struct{}{}
	o.expect("OUT")() // taken before the UP
	late()
	o.expect("OUT")()
}

// Each change is reported, however many reports have no answer yet.
func TestChangesUnanswered(t *testing.T) {
	o := startChangeRig(t)
	o.serve()
	o.expect("UP")
	for i := range 2 * maxInFlight {
		up := i%2 == 1
		o.serving.Store(up)
		o.changed <- struct{}{}
		o.expect(map[bool]string{true: "UP", false: "OUT"}[up])
	}
}

func FuzzReadResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Fuzz(func(t *testing.T, s string) {
		if code, _, err := readResponse(bufio.NewReaderSize(strings.NewReader(s), 1<<10)); err == nil && (code < 200 || code > 999) {
			t.Errorf("status %d", code)
		}
	})
}
