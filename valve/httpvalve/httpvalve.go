// Package httpvalve passes the RPCs of a net/http program through a Valve: it makes them of HTTP messages by the same
// routes as the daemon's uwsgi front, answers what is pushed back or aborted, and keeps whole answers of tokened RPCs
// for their repeats. The handler runs in the goroutine that the server gave it; only one that is held, runs past its due
// time or panics is answered here. Its own time-outs and those of the server may fire first: the run counts until the
// handler returns, and exactly one answer goes out.
package httpvalve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sorrelvalve/decision/route"
	"sorrelvalve/valve"
)

// Options are those of one middleware. The zero value of a field has the default named beside it.
type Options struct {
	Routes       []route.Rule  // how a message becomes an RPC; see Identify
	PassUnrouted bool          // what fits no route passes without admission; else it is answered 404
	CacheBytes   int           // the longest answer that is kept for repeats, head and body; 64 KiB
	MaxBodyBytes int64         // the longest body of a tokened RPC, which is read before it is admitted; 64 KiB
	BodyTimeout  time.Duration // in which that must come; 5 s

	// Identify makes an RPC of a message instead of Routes; false for one that passes without admission.
	Identify func(*http.Request) (valve.RPC, bool)
}

// Middleware is a Valve before handlers.
type Middleware struct {
	v      *valve.Valve
	o      Options
	routes *route.Table
}

// New returns a middleware. The error names routes that Check finds fault with.
func New(v *valve.Valve, o Options) (*Middleware, error) {
	if o.CacheBytes == 0 {
		o.CacheBytes = 64 << 10
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = 64 << 10
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = 5 * time.Second
	}
	m := &Middleware{v: v, o: o}
	if o.Identify != nil {
		return m, nil
	}
	if len(o.Routes) == 0 {
		return nil, errors.New("httpvalve: Routes or Identify expected")
	}
	for _, f := range route.Check(o.Routes, route.Catalog{}) {
		return nil, fmt.Errorf("httpvalve: Routes[%d] (%s): %s: %s", f.Rule, o.Routes[f.Rule].Name, f.Key, f.Text)
	}
	for i, r := range o.Routes {
		method, has := v.Method(r.Method)
		if !has {
			return nil, fmt.Errorf("httpvalve: Routes[%d] (%s): method: the valve has no %q", i, r.Name, r.Method)
		}
		if method.Idempotency == valve.IdempotencyKeyed && r.Token.Variable+r.Token.Segment+r.Token.Query == "" {
			return nil, fmt.Errorf("httpvalve: Routes[%d] (%s): token: %s is tokened", i, r.Name, r.Method)
		}
	}
	m.routes = route.New(o.Routes)
	return m, nil
}

// Handler passes what comes for next through the valve.
func (m *Middleware) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { m.Serve(w, q, next.ServeHTTP) })
}

// Serve passes one message through the valve and runs next if it is taken, with a writer that the valve may answer on
// before it. It returns once next has.
func (m *Middleware) Serve(w http.ResponseWriter, q *http.Request, next func(http.ResponseWriter, *http.Request)) {
	if inside(q.Context(), m.v) { // a handler that calls itself holds a run already: to wait for another could last for ever
		next(w, q)
		return
	}
	rpc, status, err := m.identify(q)
	if status == passes {
		next(w, q)
		return
	}
	if err != nil {
		refuse(w, status, err.Error())
		return
	}
	method, _ := m.v.Method(rpc.Method)
	tokened := method.Idempotency == valve.IdempotencyKeyed
	if tokened {
		if rpc.Body, status, err = m.body(w, q); err != nil {
			refuse(w, status, err.Error())
			return
		}
	}
	run, err := m.v.Admit(q.Context(), rpc)
	if err != nil {
		m.failed(w, err)
		return
	}
	if kept, is := run.Cached(); is {
		replay(w, kept)
		return
	}
	g := &guard{m: m, w: w}
	if tokened {
		g.most = m.o.CacheBytes
	}
	run.NotifyFinal(g)
	ctx := q.Context()
	defer func() {
		p := recover()
		if ctx.Err() != nil { // its client has left meanwhile
			run.Cancel()
		}
		switch {
		case p != nil:
			run.Complete(valve.Failed, valve.Result{})
			if p != http.ErrAbortHandler { // which asks for no answer
				g.giveUp(&valve.AbortedError{Reason: "the handler panicked"})
			}
			panic(p)
		default:
			g.finish(run)
		}
	}()
	next(g, q.WithContext(context.WithValue(q.Context(), key{m.v}, run)))
}

// key marks the context of a handler that runs under a valve.
type key struct{ v *valve.Valve }

func inside(ctx context.Context, v *valve.Valve) bool { return ctx.Value(key{v}) != nil }

// RunOf is the run of the handler that a context belongs to, nil if it runs under no valve.
func RunOf(ctx context.Context, v *valve.Valve) *valve.Run {
	r, _ := ctx.Value(key{v}).(*valve.Run)
	return r
}

// passes is the status of a message that needs no admission.
const passes = -1

// identify makes an RPC of a message.
func (m *Middleware) identify(q *http.Request) (rpc valve.RPC, status int, err error) {
	if m.o.Identify != nil {
		rpc, ok := m.o.Identify(q)
		if !ok {
			return rpc, passes, nil
		}
		return rpc, 0, nil
	}
	host := q.Host
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	f, err := m.routes.Resolve(&route.Message{Host: strings.ToLower(host), Path: q.URL.Path, Verb: q.Method, Query: q.URL.RawQuery, Variables: variables{q}})
	switch {
	case errors.Is(err, route.ErrNoRoute) && m.o.PassUnrouted:
		return rpc, passes, nil
	case errors.Is(err, route.ErrNoRoute):
		return rpc, http.StatusNotFound, err
	case errors.Is(err, route.ErrVerbNotAllowed):
		return rpc, http.StatusMethodNotAllowed, err
	case err != nil:
		return rpc, http.StatusBadRequest, err
	}
	rpc = valve.RPC{
		Method: f.Method, Customer: f.Customer, Caller: f.Caller, Subject: f.Subject, Token: f.Token, Retry: f.Retry,
		CostHint: time.Duration(f.Hint * float64(time.Millisecond)),
	}
	if f.Door > 0 {
		rpc.ArrivedAt = time.UnixMicro(int64(f.Door * 1000))
	}
	return rpc, 0, nil
}

// variables reads an HTTP message as a block of variables would tell it.
type variables struct{ q *http.Request }

func (v variables) Get(name string) (string, bool) {
	switch name {
	case "REQUEST_METHOD":
		return v.q.Method, true
	case "PATH_INFO":
		return v.q.URL.Path, true
	case "QUERY_STRING":
		return v.q.URL.RawQuery, true
	case "REMOTE_ADDR":
		host, _, err := net.SplitHostPort(v.q.RemoteAddr)
		return host, err == nil
	case "HTTP_HOST":
		return v.q.Host, true
	}
	header, is := strings.CutPrefix(name, "HTTP_")
	if !is {
		header = name // one of the operator's own, which a proxy sets as a header line
	}
	values := v.q.Header[http.CanonicalHeaderKey(strings.ReplaceAll(header, "_", "-"))]
	if len(values) == 0 {
		return "", false
	}
	return values[0], true
}

// body reads the body of a tokened RPC, by which two tries are known to be the same, and puts it back for the handler.
func (m *Middleware) body(w http.ResponseWriter, q *http.Request) (b []byte, status int, err error) {
	if q.Body == nil || q.Body == http.NoBody {
		return nil, 0, nil
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(m.o.BodyTimeout)) // where the server knows one
	b, err = io.ReadAll(http.MaxBytesReader(w, q.Body, m.o.MaxBodyBytes))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is longer than %d bytes", m.o.MaxBodyBytes)
	case err != nil: // the server would wait for the rest of it before it answers
		w.Header().Set("Connection", "close")
		return nil, http.StatusBadRequest, errors.New("the body did not come whole")
	}
	control.SetReadDeadline(time.Time{})
	q.Body = io.NopCloser(bytes.NewReader(b))
	return b, 0, nil
}

// Hash is a hash for RPC's Caller and Subject in Identify. It differs from process to process.
func Hash(s string) uint64 { return maphash.String(seed, s) }

var seed = maphash.MakeSeed()

// failed answers an RPC that is not run.
func (m *Middleware) failed(w http.ResponseWriter, err error) {
	var pushed *valve.RejectedError
	var aborted *valve.AbortedError
	h := w.Header()
	switch {
	case errors.As(err, &pushed):
		if pushed.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatInt(max(1, int64((pushed.RetryAfter+time.Second-1)/time.Second)), 10))
			h.Set("Valve-Away-Ms", strconv.FormatInt(int64((pushed.RetryAfter+time.Millisecond-1)/time.Millisecond), 10))
		}
		if pushed.NoRetry {
			h.Set("Valve-Last", "1")
		}
		empty(w, http.StatusServiceUnavailable)
	case errors.As(err, &aborted):
		h.Set("Valve-Why", aborted.Reason)
		if aborted.Overdue {
			empty(w, http.StatusGatewayTimeout)
		} else {
			empty(w, http.StatusInternalServerError)
		}
	case errors.Is(err, valve.ErrInvalidRPC):
		refuse(w, http.StatusBadRequest, err.Error())
	case errors.Is(err, valve.ErrClosed):
		empty(w, http.StatusServiceUnavailable)
	default: // its client has left
		panic(http.ErrAbortHandler)
	}
}

func empty(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// refuse answers a message that makes no sense.
func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set("Valve-Why", strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, why))
	empty(w, status)
}
