// Package ginvalve provides gin middleware that passes requests through a Valve. It is httpvalve adapted to gin's writer and
// context. The handlers after the middleware run in the goroutine of the request, and exactly one response is sent.
package ginvalve

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"sorrelvalve/valve"
	"sorrelvalve/valve/httpvalve"
)

// New returns a gin middleware. Arguments and errors are those of httpvalve.New. Install it after gin.Recovery, so that
// gin.Recovery logs panics of handlers. The middleware is safe for use by several goroutines at once.
func New(v *valve.Valve, o httpvalve.Options) (gin.HandlerFunc, error) {
	m, err := httpvalve.New(v, o)
	if err != nil {
		return nil, err
	}
	return func(c *gin.Context) {
		original := c.Writer
		r := &request{context: c, writer: writer{ResponseWriter: original, status: http.StatusOK, size: sizeNotWritten}}
		defer func() { c.Writer = original }()
		m.Serve(original, c.Request, r.next)
		if !r.admitted { // the response is written here, because gin would add a body to a 404
			c.Abort()
			original.WriteHeaderNow()
		}
	}, nil
}

// request is a request that passes through the valve.
type request struct {
	writer
	context  *gin.Context
	admitted bool
}

// next runs the handlers after the middleware.
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

// sizeNotWritten is the size that gin reports for a response whose header is not written.
const sizeNotWritten = -1

// writer adapts the writer of httpvalve to gin.ResponseWriter. As in gin, the header is written with the first byte of the
// body.
type writer struct {
	gin.ResponseWriter
	guarded http.ResponseWriter // the writer of httpvalve
	status  int
	size    int
}

// Unwrap returns httpvalve's writer, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.guarded }

// Header returns the header of the response.
func (w *writer) Header() http.Header { return w.guarded.Header() }

// Status returns the status that was set last, or 200 if none was set.
func (w *writer) Status() int { return w.status }

// Size returns the number of body bytes written, or -1 if the header is not written.
func (w *writer) Size() int { return w.size }

// Written reports whether the header is written.
func (w *writer) Written() bool { return w.size >= 0 }

// WriteHeader sets the status. The header is written with the first byte of the body or after the handlers. Interim (1xx)
// responses are written immediately.
func (w *writer) WriteHeader(status int) {
	if status >= 100 && status < 200 && status != http.StatusSwitchingProtocols {
		w.guarded.WriteHeader(status)
		return
	}
	if status > 0 && !w.Written() {
		w.status = status
	}
}

// WriteHeaderNow writes the header, unless it is already written.
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

// WriteString writes a part of the body.
func (w *writer) WriteString(s string) (int, error) { return w.Write([]byte(s)) }

// Flush writes the header if necessary, and sends buffered data to the client.
func (w *writer) Flush() {
	w.WriteHeaderNow()
	w.guarded.(http.Flusher).Flush()
}
