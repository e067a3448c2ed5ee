// Package members reports to the membership service whether this server takes work. It speaks HTTP/1.1 over
// one connection that it keeps, with a parser of its own for the little that it reads. It must never hold up
// anything else: a service that is slow, wrong or gone costs nothing but log lines.
package members

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	every   = 800 * time.Millisecond // three reports within the 3 s after which an entry lapses
	timeout = time.Second            // for one report: after it there is time for another
	minWait = 50 * time.Millisecond  // after a failed report, doubling
	maxWait = every
	maxHead = 8 << 10 // of an answer
	maxBody = 64 << 10
)

// Reporter reports for one server.
type Reporter struct {
	Addr, Name string
	Log        *logrus.Entry
	Up         func() (up, known bool) // what to report, if there is anything to report yet
	Changed    <-chan struct{}         // has a value after that has changed

	conn net.Conn
	in   *bufio.Reader
}

// Serve reports until ctx ends.
func (r *Reporter) Serve(ctx context.Context) {
	defer r.close()
	wait := minWait
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Changed:
		case <-timer.C:
		}
		up, known := r.Up()
		if !known {
			timer.Reset(minWait)
			continue
		}
		if err := r.report(ctx, up); err != nil {
			r.Log.WithError(err).Warn("members: report failed")
			timer.Reset(wait/2 + time.Duration(rand.Int63n(int64(wait)))) // half to one and a half of it
			wait = min(maxWait, 2*wait)
			continue
		}
		wait = minWait
		timer.Reset(every)
	}
}

// report sends one report. A connection that was kept may have been closed meanwhile, so that is tried once more.
func (r *Reporter) report(ctx context.Context, up bool) error {
	kept := r.conn != nil
	code, err := r.put(ctx, up)
	if err != nil && kept && ctx.Err() == nil {
		code, err = r.put(ctx, up)
	}
	if err == nil && (code < 200 || code > 299) {
		err = fmt.Errorf("status %d", code)
	}
	return err
}

func (r *Reporter) close() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}

// put sends one report and returns the status of its answer. After an error there is no connection.
func (r *Reporter) put(ctx context.Context, up bool) (code int, err error) {
	keep := false
	defer func() {
		if !keep {
			r.close()
		}
	}()
	if r.conn == nil {
		d := net.Dialer{Timeout: timeout}
		conn, err := d.DialContext(ctx, "tcp", r.Addr)
		if err != nil {
			return 0, err
		}
		r.conn, r.in = conn, bufio.NewReaderSize(conn, 1<<10)
	}
	phase := "OUT"
	if up {
		phase = "UP"
	}
	body := `{"phase":"` + phase + `"}`
	r.conn.SetDeadline(time.Now().Add(timeout))
	_, err = fmt.Fprintf(r.conn, "PUT /members/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", r.Name, r.Addr, len(body), body)
	if err == nil {
		code, keep, err = readAnswer(r.in)
	}
	return code, err
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
