// Package ginvalve passes the requests of a gin program through a Valve: it is httpvalve with gin's own writer and context.
// The handlers behind it run in gin's goroutine, and exactly one response goes out.
package ginvalve

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"sorrelvalve/valve"
	"sorrelvalve/valve/httpvalve"
)

// New returns a gin middleware, under the terms of httpvalve.New. Use it behind gin.Recovery, so that a panic of a handler
// is logged there.
func New(v *valve.Valve, o httpvalve.Options) (gin.HandlerFunc, error) {
	m, err := httpvalve.New(v, o)
	if err != nil {
		return nil, err
	}
	return func(c *gin.Context) {
		own := c.Writer
		r := &request{context: c, writer: writer{ResponseWriter: own, status: http.StatusOK, size: noBody}}
		defer func() { c.Writer = own }()
		m.Serve(own, c.Request, r.next)
		if !r.admitted { // written now, or gin would add a body of its own to a 404
			c.Abort()
			own.WriteHeaderNow()
		}
	}, nil
}

// request is one request on its way through the valve.
type request struct {
	writer
	context  *gin.Context
	admitted bool
}

// next runs the handlers behind the valve.
func (r *request) next(w http.ResponseWriter, q *http.Request) {
	r.admitted = true
	r.context.Request = q
	if w != http.ResponseWriter(r.ResponseWriter) {
		r.guarded = w
		r.context.Writer = &r.writer
	}
	r.context.Next()
	r.context.Writer.WriteHeaderNow()
}

// noBody is the size of a response that has not begun, as gin has it.
const noBody = -1

// writer is httpvalve's guarded writer as a gin.ResponseWriter: gin puts off the header until the first byte.
type writer struct {
	gin.ResponseWriter
	guarded http.ResponseWriter
	status  int
	size    int
}

// Unwrap returns the guarded writer, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.guarded }

// Header returns the header of the response.
func (w *writer) Header() http.Header { return w.guarded.Header() }

// Status returns the status that was set last.
func (w *writer) Status() int { return w.status }

// Size returns the bytes of the body so far, or -1 before the header is written.
func (w *writer) Size() int { return w.size }

// Written tells whether the header is written.
func (w *writer) Written() bool { return w.size >= 0 }

// WriteHeader sets the status; the header is written with the first byte or at the end. Interim responses are written now.
func (w *writer) WriteHeader(status int) {
	if status >= 100 && status < 200 && status != http.StatusSwitchingProtocols {
		w.guarded.WriteHeader(status)
		return
	}
	if status > 0 && !w.Written() {
		w.status = status
	}
}

// WriteHeaderNow writes the header.
func (w *writer) WriteHeaderNow() {
	if !w.Written() {
		w.size = 0
		w.guarded.WriteHeader(w.status)
	}
}

// Write writes a part of the body.
func (w *writer) Write(b []byte) (int, error) {
	w.WriteHeaderNow()
	n, err := w.guarded.Write(b)
	w.size += n
	return n, err
}

// WriteString is Write for a string.
func (w *writer) WriteString(s string) (int, error) { return w.Write([]byte(s)) }

// Flush sends what has been written.
func (w *writer) Flush() {
	w.WriteHeaderNow()
	w.guarded.(http.Flusher).Flush()
}
