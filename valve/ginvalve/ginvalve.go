// Package ginvalve passes the RPCs of a gin program through a Valve. It is httpvalve with gin's own writer and context:
// the handlers behind it run in gin's goroutine, and exactly one answer goes out.
package ginvalve

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"sorrelvalve/valve"
	"sorrelvalve/valve/httpvalve"
)

// New returns a gin middleware. Put it behind gin.Recovery, so that what a handler panics with is logged there.
func New(v *valve.Valve, o httpvalve.Options) (gin.HandlerFunc, error) {
	m, err := httpvalve.New(v, o)
	if err != nil {
		return nil, err
	}
	return func(c *gin.Context) {
		own := c.Writer
		p := &pass{c: c, writer: writer{ResponseWriter: own, status: http.StatusOK, size: -1}}
		defer func() { c.Writer = own }()
		m.Serve(own, c.Request, p.next)
		if !p.ran { // written now, or gin would add a body of its own to a 404
			c.Abort()
			own.WriteHeaderNow()
		}
	}, nil
}

// pass is one message on its way through.
type pass struct {
	writer
	c   *gin.Context
	ran bool
}

// next runs the handlers behind the valve.
func (p *pass) next(w http.ResponseWriter, q *http.Request) {
	p.ran = true
	p.c.Request = q
	if w != http.ResponseWriter(p.ResponseWriter) {
		p.w = w
		p.c.Writer = &p.writer
	}
	p.c.Next()
	p.c.Writer.WriteHeaderNow()
}

// writer is gin's view of the guarded writer: gin puts off the head until the first byte.
type writer struct {
	gin.ResponseWriter
	w      http.ResponseWriter
	status int
	size   int
}

func (w *writer) Unwrap() http.ResponseWriter { return w.w }
func (w *writer) Header() http.Header         { return w.w.Header() }
func (w *writer) Status() int                 { return w.status }
func (w *writer) Size() int                   { return w.size }
func (w *writer) Written() bool               { return w.size >= 0 }

// WriteHeader notes the status; the head goes out with the first byte, or at the end.
func (w *writer) WriteHeader(status int) {
	if status >= 100 && status < 200 && status != http.StatusSwitchingProtocols {
		w.w.WriteHeader(status)
		return
	}
	if status > 0 && !w.Written() {
		w.status = status
	}
}

// WriteHeaderNow begins the answer.
func (w *writer) WriteHeaderNow() {
	if !w.Written() {
		w.size = 0
		w.w.WriteHeader(w.status)
	}
}

func (w *writer) Write(b []byte) (int, error) {
	w.WriteHeaderNow()
	n, err := w.w.Write(b)
	w.size += n
	return n, err
}

func (w *writer) WriteString(s string) (int, error) { return w.Write([]byte(s)) }

// Flush sends what there is.
func (w *writer) Flush() {
	w.WriteHeaderNow()
	w.w.(http.Flusher).Flush()
}
