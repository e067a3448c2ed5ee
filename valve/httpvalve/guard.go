package httpvalve

import (
	"bufio"
	"errors"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"

	"sorrelvalve/valve"
)

// guard is the writer that a handler gets: whichever writes first, handler or valve, gives the one response. It never lets a
// second one out, nor lets the handler touch a header map that the response is being made of.
type guard struct {
	w         http.ResponseWriter
	maxCached int // bytes of a body that is cached for duplicates; 0 for none

	mu          sync.Mutex
	header      http.Header // the handler's own until it is written; nil for none
	started     bool        // the handler has started the response
	answered    bool        // the valve has given the response
	hijacked    bool        // the handler has hijacked the connection
	status      int         // of the handler's response
	sentHeader  http.Header // as the response started, to be cached
	body        []byte      // so far, to be cached
	uncacheable bool        // it is too long, or was sent in a way that can't be repeated
}

// Header returns the handler's own header, until it writes.
func (g *guard) Header() http.Header {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.header == nil {
		g.header = http.Header{}
		maps.Copy(g.header, g.w.Header()) // as the server and outer handlers have set it
	}
	return g.header
}

// WriteHeader starts the response, unless the valve has given it. Interim responses pass.
func (g *guard) WriteHeader(status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writeHeader(status)
}

func (g *guard) writeHeader(status int) {
	if g.answered || g.hijacked {
		return
	}
	interim := status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
	if !g.started {
		g.copyHeader()
		if !interim {
			g.started = true
			g.status = status
			if g.maxCached > 0 {
				g.sentHeader = g.w.Header().Clone()
			}
		}
	}
	g.w.WriteHeader(status) // a second one is the handler's fault, and the server says so
}

// copyHeader makes the server's header that of the handler.
func (g *guard) copyHeader() {
	h := g.w.Header()
	for key := range h {
		if _, stays := g.header[key]; !stays && g.header != nil {
			delete(h, key)
		}
	}
	maps.Copy(h, g.header)
}

// Write writes a part of the body, unless the valve has given the response.
func (g *guard) Write(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.answered:
		return 0, http.ErrHandlerTimeout
	case g.hijacked:
		return 0, http.ErrHijacked
	}
	if !g.started {
		g.writeHeader(http.StatusOK)
	}
	g.cache(b)
	return g.w.Write(b)
}

// cache retains a part of the body for duplicates.
func (g *guard) cache(b []byte) {
	if g.maxCached == 0 || g.uncacheable {
		return
	}
	if len(g.body)+len(b) > g.maxCached {
		g.uncacheable = true
		g.body = nil
		return
	}
	g.body = append(g.body, b...)
}

// Flush sends what has been written. It starts the response.
func (g *guard) Flush() { _ = g.FlushError() } // http.Flusher has no error

// FlushError is Flush for http.ResponseController.
func (g *guard) FlushError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answered {
		return http.ErrHandlerTimeout
	}
	if !g.started {
		g.writeHeader(http.StatusOK)
	}
	return http.NewResponseController(g.w).Flush()
}

// Hijack hands the connection to the handler, which then owes the response: the valve gives none from here on.
func (g *guard) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answered {
		return nil, nil, http.ErrHandlerTimeout
	}
	c, rw, err := http.NewResponseController(g.w).Hijack()
	if err == nil {
		g.hijacked = true
		g.uncacheable = true
	}
	return c, rw, err
}

// Unwrap returns the server's writer, to which Push and the deadlines of an http.ResponseController go.
func (g *guard) Unwrap() http.ResponseWriter { return g.w }

// HandleFinal answers for the handler, as the valve gave the RPC an end.
func (g *guard) HandleFinal(err error) { go g.answer(err) }

// answer gives the response in the handler's place unless the handler has started one, which is then its own to end.
func (g *guard) answer(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started || g.hijacked || g.answered {
		return
	}
	g.answered = true
	clear(g.w.Header())
	var rejected *valve.RejectedError
	if errors.As(err, &rejected) { // it runs, or may have: that is never said to have been rejected
		err = &valve.AbortedError{Reason: "it may have run"}
	}
	writeError(g.w, err)
	_ = http.NewResponseController(g.w).Flush() // the handler may go on for long; without a flusher the response waits for it
}

// finish completes the run of a handler that has returned, and the response as far as it is missing.
func (g *guard) finish(run *valve.Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.answered && !g.hijacked && !g.started {
		g.writeHeader(http.StatusOK) // as for any handler that writes nothing
	}
	if g.started && g.header != nil {
		g.writeTrailers()
	}
	switch {
	case g.status >= http.StatusInternalServerError:
		run.Complete(valve.Failed, valve.Result{})
	case g.maxCached == 0:
		run.Complete(valve.Succeeded, valve.Result{})
	case g.answered || g.uncacheable || g.hijacked:
		run.CompleteUncached()
	default:
		run.Complete(valve.Succeeded, valve.Result{Head: encodeHead(g.status, g.sentHeader), Body: g.body})
	}
}

// writeTrailers passes on the trailers that the handler has set after the body. A cached response could not repeat them.
func (g *guard) writeTrailers() {
	h := g.w.Header()
	for _, names := range g.header["Trailer"] {
		for _, name := range strings.Split(names, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if values := g.header[name]; values != nil {
				h[name] = values
			}
		}
	}
	for key, values := range g.header {
		if strings.HasPrefix(key, http.TrailerPrefix) {
			h[key] = values
			g.uncacheable = true
		}
	}
	if g.header["Trailer"] != nil {
		g.uncacheable = true
	}
}
