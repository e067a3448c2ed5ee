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
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	reportInterval = 800 * time.Millisecond // three reports within the 3 s after which an entry lapses
	// timeout is for one report, dial and answer together. One that is written late still counts within the 3 s, so
	// a service to which each dial takes seconds hears one after the other.
	reportTimeout = 3 * reportInterval
	maxScheduled  = 3                     // reports on their way at the usual pace: none has had an answer then
	maxInFlight   = maxScheduled + 1      // with one for a change
	minBackoff    = 50 * time.Millisecond // after a failed report, doubling
	maxBackoff    = reportInterval
	maxHeadBytes  = 8 << 10 // of an answer
	maxBodyBytes  = 64 << 10
)

// Reporter reports for one server.
type Reporter struct {
	addr, name string
	log        *logrus.Entry
	serving    func() bool     // what to report
	ready      func() bool     // whether there is anything to report yet
	changed    <-chan struct{} // has a value after that has changed
	newAddr    chan string

	// A report says what holds as it is written, not as it was begun: between the two its dial may take seconds, and
	// another report may have been written. The lock makes the order of writing that of what held.
	writeMu sync.Mutex

	interval time.Duration
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
}

// New returns a reporter to the service at addr. up and known may be called from several goroutines.
func New(addr, name string, log *logrus.Entry, up, known func() bool, changed <-chan struct{}) *Reporter {
	return &Reporter{addr: addr, name: name, log: log, serving: up, ready: known, changed: changed, newAddr: make(chan string), interval: reportInterval, dial: new(net.Dialer).DialContext}
}

// Move has all reports from now on sent to another address of the service.
func (r *Reporter) SetAddr(ctx context.Context, addr string) {
	select {
	case r.newAddr <- addr:
	case <-ctx.Done():
	}
}

// exchange is one report on its way, and its connection.
type exchange struct {
	addr     string
	conn     net.Conn // nil for a new one
	reader   *bufio.Reader
	cancel   context.CancelFunc
	sent     bool // whole: the service may have counted it
	serving  bool // what it said
	reusable bool // answered in full: the connection can carry another
	err      error
}

// Serve reports until ctx ends. Each report is an exchange of its own beside this loop, so that one without an
// answer holds up neither the next nor a change. The service may take reports that are on their way in another order than
// they were written in: where one ends that said what holds no longer, what holds is reported once more.
func (r *Reporter) Serve(ctx context.Context) {
	var kept *exchange // its connection is free
	defer func() { kept.close() }()
	ended := make(chan *exchange)
	var out []*exchange // the oldest first
	var wg sync.WaitGroup
	defer wg.Wait()
	wait := minBackoff
	timer := time.NewTimer(0)
	defer timer.Stop()
	owed := false // a change has yet to be reported
	for {
		change := owed
		select {
		case <-ctx.Done():
			return
		case addr := <-r.newAddr:
			if addr == r.addr {
				continue
			}
			r.addr, change = addr, true
			kept.close()
			kept = nil
		case <-r.changed:
			change = true
		case <-timer.C:
		case x := <-ended:
			out = slices.DeleteFunc(out, func(o *exchange) bool { return o == x })
			if x.reusable && kept == nil && x.addr == r.addr {
				kept = x
			} else {
				x.close()
			}
			if x.err == nil {
				wait = minBackoff
			} else {
				r.log.WithError(x.err).Warn("members: report failed")
				if !x.sent && x.addr == r.addr { // one that was sent may have counted: the next comes at its time
					timer.Reset(wait/2 + time.Duration(rand.Int63n(int64(wait)))) // half to one and a half of it
					wait = min(maxBackoff, 2*wait)
				}
			}
			if stale := x.sent && x.serving != r.serving(); !stale && !owed {
				continue
			}
			change = true
		}
		if !r.ready() {
			timer.Reset(minBackoff)
			continue
		}
		timer.Reset(r.interval)
		if len(out) >= maxScheduled && !change { // each ends within its time, and the timer comes again
			continue
		}
		if owed = len(out) == maxInFlight; owed { // the oldest makes way, and what is owed goes out once it has ended
			out[0].cancel()
			continue
		}
		x := &exchange{addr: r.addr}
		if kept != nil {
			x, kept = kept, nil
		}
		its, end := context.WithTimeout(ctx, reportTimeout)
		x.cancel = end
		out = append(out, x)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer end()
			r.report(its, x)
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
func (r *Reporter) report(ctx context.Context, x *exchange) {
	kept := x.conn != nil
	code := r.send(ctx, x)
	if x.err != nil && kept && ctx.Err() == nil {
		x.close()
		code = r.send(ctx, x)
	}
	if x.err == nil && (code < 200 || code > 299) {
		x.err = fmt.Errorf("status %d", code)
	}
}

// put sends one report and returns the status of its answer. All of it ends with ctx.
func (r *Reporter) send(ctx context.Context, x *exchange) (code int) {
	x.sent, x.reusable = false, false
	if x.conn == nil {
		if x.conn, x.err = r.dial(ctx, "tcp", x.addr); x.err != nil {
			x.conn = nil
			return 0
		}
		x.reader = bufio.NewReaderSize(x.conn, 1<<10)
	}
	conn := x.conn
	conn.SetDeadline(time.Time{})
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	if x.err = r.writeRequest(ctx, x); x.err == nil {
		x.sent = true
		code, x.reusable, x.err = readResponse(x.reader)
	}
	return code
}

// write writes what holds now. It does not wait: a connection that is new or was answered in full takes so little at once.
func (r *Reporter) writeRequest(ctx context.Context, x *exchange) error {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	x.serving = r.serving()
	phase := "OUT"
	if x.serving {
		phase = "UP"
	}
	body := `{"phase":"` + phase + `"}`
	_, err := fmt.Fprintf(x.conn, "PUT /members/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", r.name, x.addr, len(body), body)
	return err
}

var errMalformed = errors.New("not an HTTP/1.1 answer")

// readAnswer reads one answer with its body and tells whether the connection can be used again.
func readResponse(in *bufio.Reader) (code int, keep bool, err error) {
	left := maxHeadBytes
	for code < 200 { // 100 and the like come before the answer itself
		s, err := readLine(in, &left)
		if err != nil {
			return 0, false, err
		}
		version, rest, _ := strings.Cut(s, " ")
		status, _, _ := strings.Cut(rest, " ")
		code, err = strconv.Atoi(status)
		if err != nil || len(status) != 3 || code < 100 || !strings.HasPrefix(version, "HTTP/1.") {
			return 0, false, errMalformed
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
				return 0, false, errMalformed
			}
			switch v = strings.ToLower(strings.TrimSpace(v)); strings.ToLower(name) {
			case "content-length":
				if length, err = strconv.Atoi(v); err != nil || length < 0 || length > maxBodyBytes {
					return 0, false, errMalformed
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
		return "", errMalformed
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(b), "\r\n"), nil
}
