// Package members reports to the membership service whether this server takes work. It speaks HTTP/1.1 over
// a connection that it keeps, with a parser of its own for the little that it reads. It must never hold up
// anything else: a service that is slow, wrong or gone costs nothing but log lines, and a report that it leaves
// without an answer delays neither the next one nor a change.
package members

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	every   = 800 * time.Millisecond // three reports within the 3 s after which an entry lapses
	timeout = time.Second            // for one report: a service that answers later is of no use
	most    = 4                      // reports on their way: two at the usual pace, and two changes between
	minWait = 50 * time.Millisecond  // after a failed report, doubling
	maxWait = every
	maxHead = 8 << 10 // of an answer
	maxBody = 64 << 10
)

// Reporter reports for one server.
type Reporter struct {
	addr, name string
	log        *logrus.Entry
	up         func() (up, known bool) // what to report, if there is anything to report yet
	changed    <-chan struct{}         // has a value after that has changed
	moved      chan string
}

// New returns a reporter to the service at addr.
func New(addr, name string, log *logrus.Entry, up func() (up, known bool), changed <-chan struct{}) *Reporter {
	return &Reporter{addr: addr, name: name, log: log, up: up, changed: changed, moved: make(chan string)}
}

// Move has all reports from now on sent to another address of the service.
func (r *Reporter) Move(ctx context.Context, addr string) {
	select {
	case r.moved <- addr:
	case <-ctx.Done():
	}
}

// exchange is one report on its way, and its connection.
type exchange struct {
	addr string
	conn net.Conn // nil for a new one
	in   *bufio.Reader
	sent bool // whole: the service may have counted it
	keep bool // answered in full: the connection can carry another
	err  error
}

// Serve reports until ctx ends. Each report is an exchange of its own beside this loop, so that one without an
// answer holds up neither the next nor a change.
func (r *Reporter) Serve(ctx context.Context) {
	var kept *exchange // its connection is free
	defer func() { kept.close() }()
	ended, out := make(chan *exchange), 0
	wait := minWait
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-r.moved:
			if addr == r.addr {
				continue
			}
			r.addr = addr
			kept.close()
			kept = nil
		case <-r.changed:
		case <-timer.C:
		case x := <-ended:
			out--
			switch {
			case x.keep && kept == nil && x.addr == r.addr:
				kept = x
			default:
				x.close()
			}
			if x.err == nil {
				wait = minWait
				continue
			}
			r.log.WithError(x.err).Warn("members: report failed")
			if !x.sent && x.addr == r.addr { // one that was sent may have counted: the next comes at its time
				timer.Reset(wait/2 + time.Duration(rand.Int63n(int64(wait)))) // half to one and a half of it
				wait = min(maxWait, 2*wait)
			}
			continue
		}
		up, known := r.up()
		if !known {
			timer.Reset(minWait)
			continue
		}
		timer.Reset(every)
		if out == most { // each ends within its time, and the timer comes again
			continue
		}
		x := &exchange{addr: r.addr}
		if kept != nil {
			x, kept = kept, nil
		}
		out++
		go func() {
			x.report(ctx, r.name, up)
			select {
			case ended <- x:
			case <-ctx.Done():
				x.close()
			}
		}()
	}
}

func (x *exchange) close() {
	if x != nil && x.conn != nil {
		x.conn.Close()
		x.conn = nil
	}
}

// report sends one report. A connection that was kept may have been closed meanwhile, so that is tried once more.
func (x *exchange) report(ctx context.Context, name string, up bool) {
	kept := x.conn != nil
	code := x.put(ctx, name, up)
	if x.err != nil && kept && ctx.Err() == nil && !errors.Is(x.err, os.ErrDeadlineExceeded) {
		x.close()
		code = x.put(ctx, name, up)
	}
	if x.err == nil && (code < 200 || code > 299) {
		x.err = fmt.Errorf("status %d", code)
	}
}

// put sends one report and returns the status of its answer.
func (x *exchange) put(ctx context.Context, name string, up bool) (code int) {
	x.sent, x.keep = false, false
	if x.conn == nil {
		d := net.Dialer{Timeout: timeout}
		if x.conn, x.err = d.DialContext(ctx, "tcp", x.addr); x.err != nil {
			x.conn = nil
			return 0
		}
		x.in = bufio.NewReaderSize(x.conn, 1<<10)
	}
	conn := x.conn
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	phase := "OUT"
	if up {
		phase = "UP"
	}
	body := `{"phase":"` + phase + `"}`
	x.conn.SetDeadline(time.Now().Add(timeout))
	_, x.err = fmt.Fprintf(x.conn, "PUT /members/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", name, x.addr, len(body), body)
	if x.err == nil {
		x.sent = true
		code, x.keep, x.err = readAnswer(x.in)
	}
	return code
}

var errAnswer = errors.New("not an HTTP/1.1 answer")

// readAnswer reads one answer with its body and tells whether the connection can be used again.
func readAnswer(in *bufio.Reader) (code int, keep bool, err error) {
	left := maxHead
	for code < 200 { // 100 and the like come before the answer itself
		s, err := readLine(in, &left)
		if err != nil {
			return 0, false, err
		}
		version, rest, _ := strings.Cut(s, " ")
		status, _, _ := strings.Cut(rest, " ")
		code, err = strconv.Atoi(status)
		if err != nil || len(status) != 3 || code < 100 || !strings.HasPrefix(version, "HTTP/1.") {
			return 0, false, errAnswer
		}
		keep = version != "HTTP/1.0"
		length, chunked := -1, false
		for {
			if s, err = readLine(in, &left); err != nil {
				return 0, false, err
			}
			if s == "" {
				break
			}
			name, v, ok := strings.Cut(s, ":")
			if !ok {
				return 0, false, errAnswer
			}
			switch v = strings.ToLower(strings.TrimSpace(v)); strings.ToLower(name) {
			case "content-length":
				if length, err = strconv.Atoi(v); err != nil || length < 0 || length > maxBody {
					return 0, false, errAnswer
				}
			case "transfer-encoding":
				chunked = true
			case "connection":
				keep = keep && !strings.Contains(v, "close")
			}
		}
		switch {
		case code < 200 || code == 204 || code == 304:
		case chunked || length < 0:
			keep = false // finding its end costs more than a new connection
		default:
			if _, err = io.CopyN(io.Discard, in, int64(length)); err != nil {
				return 0, false, err
			}
		}
	}
	return code, keep, nil
}

func readLine(in *bufio.Reader, left *int) (string, error) {
	b, err := in.ReadSlice('\n')
	if *left -= len(b); err == nil && *left < 0 || errors.Is(err, bufio.ErrBufferFull) {
		return "", errAnswer
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(b), "\r\n"), nil
}
