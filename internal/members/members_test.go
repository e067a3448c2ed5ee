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

const testTimeout = 10 * time.Second // upper bound for operations that normally complete at once

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func always() bool { return true }

// noError fails the test if err is not nil.
func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

func TestReadResponse(t *testing.T) {
	cases := []struct {
		name, in  string
		code      int
		keepAlive bool
		wantErr   bool
	}{
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", 204, true, false},
		{"no reason phrase", "HTTP/1.1 204\r\n\r\n", 204, true, false},
		{"with a body", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", 200, true, false},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 0\n\n", 200, true, false},
		{"connection to be closed", "HTTP/1.1 204 No Content\r\nConnection: Close\r\n\r\n", 204, false, false},
		{"HTTP/1.0", "HTTP/1.0 204 No Content\r\n\r\n", 204, false, false},
		{"a body of unknown length", "HTTP/1.1 500 Oh\r\n\r\nx", 500, false, false},
		{"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, false, false},
		{"interim response first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", 204, true, false},
		{"truncated head", "HTTP/1.1 204 No Content\r\nA: b", 0, false, true},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", 0, false, true},
		{"another protocol", "SSH-2.0\r\n\r\n", 0, false, true},
		{"no status code", "HTTP/1.1 OK\r\n\r\n", 0, false, true},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", 0, false, true},
		{"body too long", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", 0, false, true},
		{"line too long", "HTTP/1.1 204 " + strings.Repeat("x", 5000), 0, false, true},
		{"head too long", "HTTP/1.1 204 X\r\n" + strings.Repeat("a: b\r\n", 5000), 0, false, true},
		{"header field without a colon", "HTTP/1.1 204 X\r\nab\r\n\r\n", 0, false, true},
		{"empty", "", 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, keepAlive, err := readResponse(bufio.NewReaderSize(strings.NewReader(c.in), 1<<10))
			if (err != nil) != c.wantErr || code != c.code || keepAlive != c.keepAlive {
				t.Errorf("response: got status %d, keep-alive %v, error %v", code, keepAlive, err)
			}
		})
	}
}

// TestReports checks the reports and their connections against a fake service that gives a sequence of responses, good and bad.
func TestReports(t *testing.T) {
	const good = "HTTP/1.1 204 No Content\r\n\r\n"
	cases := []struct {
		name    string
		answers []string // "" closes the connection without a response
		want    string   // phase and connection number of each report
	}{
		{"connection reused", []string{good, good, good}, "UP0 OUT0 UP0"},
		{"closed after each response", []string{"HTTP/1.1 204 X\r\nConnection: close\r\n\r\n", good}, "UP0 OUT1"},
		{"reused connection closed without a response", []string{good, "", good}, "UP0 OUT0 UP1"},
		{"new connection closed without a response", []string{"", good}, "UP0 OUT1"},
		{"error status", []string{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", good}, "UP0 OUT0"},
		{"malformed response", []string{"what\r\n", good}, "UP0 OUT1"},
		{"truncated response", []string{"HTTP/1.1 200 OK\r\nConte", "", good}, "UP0 OUT1 UP2"},
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
			var reports atomic.Int32 // reports received; the phase changes with each of them
			up := func() bool { return reports.Load()%2 == 0 }
			r := New(ln.Addr().String(), "n3", log.WithField("node", "n3"), up, always, nil)
			ctx, end := context.WithCancel(context.Background())
			reporting, serving, received := make(chan struct{}), make(chan struct{}), make(chan string)
			go func() { r.Serve(ctx); close(reporting) }()
			go func() { fakeService(ln, c.answers, &reports, received); close(serving) }()
			for _, want := range strings.Fields(c.want) {
				select {
				case got := <-received:
					if got != want {
						t.Errorf("received report %s, want %s", got, want)
					}
				case <-time.After(testTimeout):
					t.Fatalf("no report received, want %s", want)
				}
			}
			end()
			noError(t, ln.Close())
			<-reporting
			<-serving
		})
	}
}

// fakeService answers reports on ln, one connection after the other, and sends their phases and connection numbers to received.
func fakeService(ln net.Listener, answers []string, reports *atomic.Int32, received chan<- string) {
	for n := 0; len(answers) > 0; n++ {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(conn)
		for len(answers) > 0 {
			if conn.SetDeadline(time.Now().Add(testTimeout)) != nil {
				break
			}
			request, err := http.ReadRequest(in)
			if err != nil {
				break
			}
			body, _ := io.ReadAll(request.Body)
			if request.Method != "PUT" || request.URL.Path != "/members/n3" {
				body = []byte(request.Method + request.URL.Path)
			}
			reports.Add(1)
			received <- fmt.Sprint(strings.Trim(strings.TrimPrefix(string(body), `{"phase":"`), `"}`), n)
			answer := answers[0]
			answers = answers[1:]
			_, _ = io.WriteString(conn, answer) // a failed write shows in the next report
			if !strings.HasSuffix(answer, "\r\n\r\n") {
				break
			}
		}
		_ = conn.Close() // fails if the reporter has closed it
	}
}

// TestUnanswered checks that a report without a response delays neither the report of a change nor the next periodic report,
// and that a new address takes effect at once.
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
		noError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
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
	if elapsed := time.Since(began); elapsed > reportInterval {
		t.Errorf("time for three reports without a response: got %v, want at most the report interval", elapsed)
	}
	defer closeAll(accept(next)) // the periodic report, although no report has had a response
	if elapsed := time.Since(began); elapsed < reportInterval {
		t.Errorf("periodic report too early: got it after %v", elapsed)
	}
}

// changeRig is a reporter that reports only changes, and a service that answers each report when the test calls for it.
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
	rig := &changeRig{T: t, ln: ln, changed: make(chan struct{})}
	rig.serving.Store(true)
	rig.reporter = New(ln.Addr().String(), "n3", log.WithField("node", "n3"), rig.serving.Load, always, rig.changed)
	rig.reporter.interval = time.Hour
	return rig
}

// serve runs the reporter until the end of the test.
func (rig *changeRig) serve() {
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { rig.reporter.Serve(ctx); close(done) }()
	rig.Cleanup(func() {
		end()
		<-done
		noError(rig.T, rig.ln.Close())
	})
}

// next accepts a connection and returns the report on it, and a function that answers the report.
func (rig *changeRig) next() (phase string, answer func()) {
	rig.Helper()
	noError(rig.T, rig.ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)))
	conn, err := rig.ln.Accept()
	if err != nil {
		rig.Fatalf("no report received: %v", err)
	}
	rig.Cleanup(func() { noError(rig.T, conn.Close()) })
	noError(rig.T, conn.SetDeadline(time.Now().Add(testTimeout)))
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		rig.Fatal(err)
	}
	body, _ := io.ReadAll(request.Body)
	return string(body), func() {
		// Fails if the reporter has given up on the report. The test checks the following reports instead.
		_, _ = io.WriteString(conn, "HTTP/1.1 204 X\r\nConnection: close\r\n\r\n")
	}
}

// expect checks the phase of the next report and returns a function that answers it.
func (rig *changeRig) expect(phase string) (answer func()) {
	rig.Helper()
	got, answer := rig.next()
	if want := `{"phase":"` + phase + `"}`; got != want {
		rig.Fatalf("received report %s, want %s", got, want)
	}
	return answer
}

// TestDrainDuringDial checks that a report whose dial is in progress when a drain begins reports the drain.
func TestDrainDuringDial(t *testing.T) {
	rig := startChangeRig(t)
	dialling, dialled := make(chan struct{}), make(chan struct{})
	dial := rig.reporter.dial
	rig.reporter.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialling <- struct{}{}
		<-dialled
		return dial(ctx, network, addr)
	}
	rig.serve()
	<-dialling
	rig.serving.Store(false)
	close(dialled)
	rig.expect("OUT")()
}

// TestOvertaken checks that the current state is reported once more if the service processes two reports in reverse order.
func TestOvertaken(t *testing.T) {
	rig := startChangeRig(t)
	rig.serve()
	late := rig.expect("UP")
	rig.serving.Store(false)
	rig.changed <- struct{}{}
	rig.expect("OUT")() // processed before the UP
	late()
	rig.expect("OUT")()
}

// TestChangesUnanswered checks that each change is reported, however many reports have no response yet.
func TestChangesUnanswered(t *testing.T) {
	rig := startChangeRig(t)
	rig.serve()
	rig.expect("UP")
	for i := range 2 * maxInFlight {
		up := i%2 == 1
		rig.serving.Store(up)
		rig.changed <- struct{}{}
		rig.expect(map[bool]string{true: "UP", false: "OUT"}[up])
	}
}

func FuzzReadResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Fuzz(func(t *testing.T, s string) {
		if code, _, err := readResponse(bufio.NewReaderSize(strings.NewReader(s), 1<<10)); err == nil && (code < 200 || code > 999) {
			t.Errorf("status of a valid response: got %d, want 200 to 999", code)
		}
	})
}
