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

// guard is the http.ResponseWriter passed to a handler. The first of handler and valve to write provides the response. guard
// must never send a second response, nor let the handler modify a header map from which a response is being written.
type guard struct {
	w         http.ResponseWriter
	maxCached int // bytes of the longest body that is cached for duplicates; 0 to cache none

	mu          sync.Mutex
	header      http.Header // the handler's copy of the header; nil until the handler asks for it
	started     bool        // the handler has started the response
	answered    bool        // the valve has written the response
	hijacked    bool        // the handler has hijacked the connection
	status      int         // status of the handler's response
	sentHeader  http.Header // header at the start of the response, to be cached
	body        []byte      // body written so far, to be cached
	uncacheable bool        // the response is too long, or was sent in a way that can't be repeated
}

// Header returns the handler's copy of the header.
func (g *guard) Header() http.Header {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.header == nil {
		g.header = http.Header{}
		maps.Copy(g.header, g.w.Header()) // fields set by the server and by outer handlers
	}
	return g.header
}

// WriteHeader starts the response, unless the valve has written it. Interim (1xx) responses are passed on.
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
	g.w.WriteHeader(status) // a second call is a mistake of the handler, which the server logs
}

// copyHeader replaces the server's header by that of the handler.
func (g *guard) copyHeader() {
	h := g.w.Header()
	for key := range h {
		if _, ok := g.header[key]; !ok && g.header != nil {
			delete(h, key)
		}
	}
	maps.Copy(h, g.header)
}

// Write writes a part of the body. It returns http.ErrHandlerTimeout if the valve has written the response.
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

// cache appends a part of the body to the response that is cached for duplicates.
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

// Flush starts the response if necessary, and sends buffered data to the client.
func (g *guard) Flush() { _ = g.FlushError() } // http.Flusher returns no error

// FlushError is Flush with an error, for http.ResponseController.
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

// Hijack passes the connection to the handler, which must then write the response: the valve no longer writes one.
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

// Unwrap returns the server's writer, for Push and for the deadlines of an http.ResponseController.
func (g *guard) Unwrap() http.ResponseWriter { return g.w }

// HandleFinal answers in place of the handler, because the valve has ended the RPC.
func (g *guard) HandleFinal(err error) { go g.answer(err) }

// answer writes the response in place of the handler, unless the handler has started a response, which the handler then
// has to complete.
func (g *guard) answer(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started || g.hijacked || g.answered {
		return
	}
	g.answered = true
	clear(g.w.Header())
	var rejected *valve.RejectedError
	if errors.As(err, &rejected) { // the handler has started, so the RPC must not be reported as rejected
		err = &valve.AbortedError{Reason: "it may have run"}
	}
	writeError(g.w, err)
	_ = http.NewResponseController(g.w).Flush() // the handler may run on; without a flusher the response waits for its return
}

// finish completes the response and the run of a handler that has returned.
func (g *guard) finish(run *valve.Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.answered && !g.hijacked && !g.started {
		g.writeHeader(http.StatusOK) // the default status of net/http
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

// writeTrailers passes on the trailers that the handler set after the body. A response with trailers is not cached, because
// trailers can't be repeated.
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
