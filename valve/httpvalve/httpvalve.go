// Package httpvalve provides net/http middleware that passes requests through a Valve. It converts requests to RPCs with the
// same kind of routes as the daemon's uwsgi front, answers requests that are rejected or aborted, and caches complete
// responses to RPCs with an idempotency token for duplicates of these RPCs.
//
// A handler runs in the goroutine in which the server called it. The valve answers in place of the handler only if the
// request is still queued, the handler runs past the deadline, or the handler panics. Timeouts of the server or of outer
// handlers may fire first: the run then counts as in flight until the handler returns, and exactly one response is sent.
package httpvalve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"sorrelvalve/decision/route"
	"sorrelvalve/valve"
)

// Options configure a Middleware. The zero value of a field selects its default, if one is given.
type Options struct {
	Routes       []route.Rule  // convert requests to RPCs; required unless Identify is set
	PassUnrouted bool          // pass requests that match no route without admission, instead of answering them with status 404
	CacheBytes   int           // bytes of the longest response body that is cached for duplicates; default 64 KiB
	MaxBodyBytes int64         // bytes of the longest body of a request with an idempotency token, read before admission; default 64 KiB
	BodyTimeout  time.Duration // time within which that body must arrive; default 5 s

	// Identify converts a request to an RPC, in place of Routes. It returns false to pass the request without admission.
	// It is called by several goroutines at once.
	Identify func(*http.Request) (valve.RPC, bool)
}

// The defaults of Options.
const (
	defaultCacheBytes   = 64 << 10
	defaultMaxBodyBytes = 64 << 10
	defaultBodyTimeout  = 5 * time.Second
)

// Middleware passes requests through a Valve. Its methods are safe for use by several goroutines at once.
type Middleware struct {
	valve   *valve.Valve
	options Options
	routes  *route.Table // nil with Options.Identify
}

// New returns a middleware that passes requests through v. The error names the invalid route.
func New(v *valve.Valve, o Options) (*Middleware, error) {
	if o.CacheBytes == 0 {
		o.CacheBytes = defaultCacheBytes
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = defaultBodyTimeout
	}
	m := &Middleware{valve: v, options: o}
	if o.Identify != nil {
		return m, nil
	}
	if len(o.Routes) == 0 {
		return nil, errors.New("httpvalve: Routes or Identify must be set")
	}
	if err := m.checkRoutes(); err != nil {
		return nil, err
	}
	m.routes = route.New(o.Routes)
	return m, nil
}

// checkRoutes returns an error for the first invalid route.
func (m *Middleware) checkRoutes() error {
	rules := m.options.Routes
	for _, f := range route.Check(rules, route.Catalog{}) {
		return fmt.Errorf("httpvalve: Routes[%d] (%s): %s: %s", f.Rule, rules[f.Rule].Name, f.Key, f.Text)
	}
	for i, r := range rules {
		method, ok := m.valve.Method(r.Method)
		if !ok {
			return fmt.Errorf("httpvalve: Routes[%d] (%s): method: the valve has no method %q", i, r.Name, r.Method)
		}
		hasToken := r.Token.Variable+r.Token.Segment+r.Token.Query != ""
		if method.Idempotency == valve.IdempotencyKeyed && !hasToken {
			return fmt.Errorf("httpvalve: Routes[%d] (%s): token: %s requires an idempotency token", i, r.Name, r.Method)
		}
	}
	return nil
}

// Handler returns a handler that passes requests through the valve to next.
func (m *Middleware) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { m.Serve(w, q, next.ServeHTTP) })
}

// Serve passes one request through the valve and calls next if the request is admitted, with a writer on which the valve may
// answer before next does. Serve returns after next. A request that a handler makes through the same valve, with its own
// context, is not subject to admission: the handler already holds a run, and waiting for a second one could deadlock.
func (m *Middleware) Serve(w http.ResponseWriter, q *http.Request, next func(http.ResponseWriter, *http.Request)) {
	if RunOf(q.Context(), m.valve) != nil {
		next(w, q)
		return
	}
	rpc, status, err := m.identify(q)
	if status == statusPass {
		next(w, q)
		return
	}
	if err != nil {
		writeInvalid(w, status, err.Error())
		return
	}
	method, _ := m.valve.Method(rpc.Method)
	keyed := method.Idempotency == valve.IdempotencyKeyed
	if keyed {
		if rpc.Body, status, err = m.readBody(w, q); err != nil {
			writeInvalid(w, status, err.Error())
			return
		}
	}
	run, err := m.valve.Admit(q.Context(), rpc)
	if err != nil {
		writeError(w, err)
		return
	}
	if cached, ok := run.Cached(); ok {
		writeCached(w, cached)
		return
	}
	g := &guard{w: w}
	if keyed {
		g.maxCached = m.options.CacheBytes
	}
	m.run(run, g, q, next)
}

// run calls the handler of an admitted request and completes its run.
func (m *Middleware) run(run *valve.Run, g *guard, q *http.Request, next func(http.ResponseWriter, *http.Request)) {
	run.NotifyFinal(g)
	ctx := q.Context()
	defer func() {
		panicValue := recover()
		if ctx.Err() != nil { // the client has disconnected
			run.Cancel()
		}
		if panicValue == nil {
			g.finish(run)
			return
		}
		run.Complete(valve.Failed, valve.Result{})
		if panicValue != http.ErrAbortHandler { //nolint:errorlint // the value of a panic, which net/http compares in the same way
			g.answer(&valve.AbortedError{Reason: "the handler panicked"})
		}
		panic(panicValue)
	}()
	next(g, q.WithContext(context.WithValue(ctx, contextKey{m.valve}, run)))
}

// contextKey is the context key of the run of a handler under the given valve.
type contextKey struct{ valve *valve.Valve }

// RunOf returns the run of the handler to which ctx belongs, or nil if ctx does not belong to a handler admitted by v.
func RunOf(ctx context.Context, v *valve.Valve) *valve.Run {
	r, _ := ctx.Value(contextKey{v}).(*valve.Run)
	return r
}
