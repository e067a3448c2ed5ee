package httpvalve

// This file owns the writer that a handler gets: whoever writes first, handler or valve, gives the one answer. It must
// never let a second one out, nor let the handler touch a header map that the answer is being made of.

import (
	"bufio"
	"bytes"
	"errors"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"sorrelvalve/valve"
)

// guard is the handler's writer.
type guard struct {
	m    *Middleware
	w    http.ResponseWriter
	most int // bytes of an answer that is kept for repeats; 0 for none

	mu     sync.Mutex
	header http.Header // the handler's own, until it is written
	begun  bool        // the handler has begun the answer
	given  bool        // the valve has given it
	taken  bool        // the handler has hijacked the connection
	status int
	kept   []byte // body so far
	sent   http.Header
	large  bool // it outgrew the bound, or was streamed in a way that can't be kept
}

// Header is the handler's own map, until it writes.
func (g *guard) Header() http.Header {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.header == nil {
		g.header = http.Header{}
		maps.Copy(g.header, g.w.Header()) // what stood there before, as the server and outer handlers set it
	}
	return g.header
}

// WriteHeader begins the answer, unless the valve has given it. Interim answers pass.
func (g *guard) WriteHeader(status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writeHeader(status)
}

func (g *guard) writeHeader(status int) {
	if g.given || g.taken {
		return
	}
	interim := status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
	if !g.begun {
		h := g.w.Header()
		for key := range h {
			if _, stays := g.header[key]; !stays && g.header != nil {
				delete(h, key)
			}
		}
		for key, v := range g.header {
			h[key] = v
		}
		if !interim {
			g.begun, g.status = true, status
			if g.most > 0 {
				g.sent = h.Clone()
			}
		}
	}
	g.w.WriteHeader(status) // a second one is the handler's fault, and the server says so
}

// Write is part of the body, unless the valve has given the answer.
func (g *guard) Write(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.given:
		return 0, http.ErrHandlerTimeout
	case g.taken:
		return 0, http.ErrHijacked
	}
	if !g.begun {
		g.writeHeader(http.StatusOK)
	}
	if g.most > 0 && !g.large {
		if g.large = len(g.kept)+len(b) > g.most; g.large {
			g.kept = nil
		} else {
			g.kept = append(g.kept, b...)
		}
	}
	return g.w.Write(b)
}

// Flush sends what there is. It begins the answer.
func (g *guard) Flush() { g.FlushError() }

// FlushError is Flush for http.ResponseController.
func (g *guard) FlushError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.given {
		return http.ErrHandlerTimeout
	}
	if !g.begun {
		g.writeHeader(http.StatusOK)
	}
	return http.NewResponseController(g.w).Flush()
}

// Hijack hands the connection to the handler, with the promise of an answer: the valve gives none from here on.
func (g *guard) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.given {
		return nil, nil, http.ErrHandlerTimeout
	}
	c, rw, err := http.NewResponseController(g.w).Hijack()
	if err == nil {
		g.taken, g.large = true, true
	}
	return c, rw, err
}

// Push and the deadlines of a ResponseController go to the server's writer.
func (g *guard) Unwrap() http.ResponseWriter { return g.w }

// HandleFinal hears that the valve gave the RPC an end.
func (g *guard) HandleFinal(err error) { go g.giveUp(err) }

// giveUp answers in the handler's place, if that has not begun. What has begun is the handler's to end.
func (g *guard) giveUp(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.begun || g.taken || g.given {
		return
	}
	g.given = true
	h := g.w.Header()
	clear(h)
	var pushed *valve.RejectedError
	if errors.As(err, &pushed) { // it ran, or may have: that is never said to have been pushed back
		err = &valve.AbortedError{Reason: "it may have run"}
	}
	g.m.failed(g.w, err)
	http.NewResponseController(g.w).Flush() // the handler may go on for long
}

// finish ends the run of a handler that has returned, and what it left unsaid.
func (g *guard) finish(run *valve.Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.given && !g.taken && !g.begun {
		g.writeHeader(http.StatusOK) // a handler that writes nothing has said 200
	}
	if g.begun && g.header != nil { // trailers are set after the body
		h := g.w.Header()
		for _, names := range g.header["Trailer"] {
			for _, name := range strings.Split(names, ",") {
				name = http.CanonicalHeaderKey(strings.TrimSpace(name))
				if v := g.header[name]; v != nil {
					h[name] = v
				}
			}
		}
		for key, v := range g.header {
			if strings.HasPrefix(key, http.TrailerPrefix) {
				h[key] = v
				g.large = true // a repeat could not say them
			}
		}
		g.large = g.large || g.header["Trailer"] != nil
	}
	switch {
	case g.status >= 500:
		run.Complete(valve.Failed, valve.Result{})
	case g.most == 0:
		run.Complete(valve.Succeeded, valve.Result{})
	case g.given || g.large || g.taken:
		run.CompleteUncached()
	default:
		run.Complete(valve.Succeeded, valve.Result{Head: headOf(g.status, g.sent), Body: g.kept})
	}
}

// headOf is status and header as they are kept: an HTTP/1.1 head, so that any front can tell them.
func headOf(status int, h http.Header) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	h.WriteSubset(&b, ofConnection)
	b.WriteString("\r\n")
	return b.Bytes()
}

// ofConnection are the fields that hold for one connection or one answer only.
var ofConnection = map[string]bool{"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Upgrade": true, "Trailer": true,
	"Date": true, "Content-Length": true}

// replay writes a kept answer.
func replay(w http.ResponseWriter, a valve.Result) {
	status, rest, ok := bytes.Cut(a.Head, []byte("\r\n"))
	code := http.StatusOK
	if ok && len(status) >= 12 {
		if n, err := strconv.Atoi(string(status[9:12])); err == nil {
			code = n
		}
	}
	h := w.Header()
	for _, line := range bytes.Split(rest, []byte("\r\n")) {
		if name, v, ok := strings.Cut(string(line), ": "); ok {
			h.Add(name, v)
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(code)
	w.Write(a.Body)
}
