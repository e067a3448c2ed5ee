// Package httpvalve passes the requests of a net/http program through a Valve: it makes RPCs of them by the same routes as
// the daemon's uwsgi front, answers those that are rejected or aborted, and caches complete responses of RPCs with an
// idempotency token for their duplicates.
//
// A handler runs in the goroutine that the server gave it. The valve answers for it only if it is queued, runs past its
// deadline or panics. Time-outs of the server or of outer handlers may fire first: the run counts until the handler returns,
// and exactly one response goes out.
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

// Options configure a Middleware. Where a default is named, the zero value stands for it.
type Options struct {
	Routes       []route.Rule  // how a request becomes an RPC; see Identify
	PassUnrouted bool          // a request that matches no route passes without admission; else it is answered with 404
	CacheBytes   int           // longest response that is cached for duplicates, header and body; default 64 KiB
	MaxBodyBytes int64         // longest body of a request with an idempotency token, which is read before admission; default 64 KiB
	BodyTimeout  time.Duration // in which that body must come; default 5 s

	// Identify makes an RPC of a request in place of Routes; false for one that passes without admission.
	Identify func(*http.Request) (valve.RPC, bool)
}

// The defaults of Options.
const (
	defaultCacheBytes   = 64 << 10
	defaultMaxBodyBytes = 64 << 10
	defaultBodyTimeout  = 5 * time.Second
)

// Middleware passes requests through a Valve. Its methods may be called by many goroutines at once.
type Middleware struct {
	valve   *valve.Valve
	options Options
	routes  *route.Table // nil with Options.Identify
}

// New returns a middleware. The error names the route at fault.
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
		return nil, errors.New("httpvalve: Routes or Identify expected")
	}
	if err := m.checkRoutes(); err != nil {
		return nil, err
	}
	m.routes = route.New(o.Routes)
	return m, nil
}

// checkRoutes returns the first fault of the routes.
func (m *Middleware) checkRoutes() error {
	rules := m.options.Routes
	for _, f := range route.Check(rules, route.Catalog{}) {
		return fmt.Errorf("httpvalve: Routes[%d] (%s): %s: %s", f.Rule, rules[f.Rule].Name, f.Key, f.Text)
	}
	for i, r := range rules {
		method, ok := m.valve.Method(r.Method)
		if !ok {
			return fmt.Errorf("httpvalve: Routes[%d] (%s): method: the valve has no %q", i, r.Name, r.Method)
		}
		hasToken := r.Token.Variable+r.Token.Segment+r.Token.Query != ""
		if method.Idempotency == valve.IdempotencyKeyed && !hasToken {
			return fmt.Errorf("httpvalve: Routes[%d] (%s): token: %s is tokened", i, r.Name, r.Method)
		}
	}
	return nil
}

// Handler returns a handler that passes requests for next through the valve.
func (m *Middleware) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { m.Serve(w, q, next.ServeHTTP) })
}

// Serve passes one request through the valve and calls next if it is admitted, with a writer on which the valve may answer
// before it. It returns once next has. A handler that calls itself through the same valve holds a run already and passes: to
// wait for another run could take for ever.
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
		p := recover()
		if ctx.Err() != nil { // the client has left meanwhile
			run.Cancel()
		}
		if p == nil {
			g.finish(run)
			return
		}
		run.Complete(valve.Failed, valve.Result{})
		if p != http.ErrAbortHandler { //nolint:errorlint // a panic's value, which net/http compares in the same way
			g.answer(&valve.AbortedError{Reason: "the handler panicked"})
		}
		panic(p)
	}()
	next(g, q.WithContext(context.WithValue(ctx, contextKey{m.valve}, run)))
}

// contextKey is the key of the run in the context of a handler that runs under a valve.
type contextKey struct{ v *valve.Valve }

// RunOf returns the run of the handler that a context belongs to; nil if it does not run under v.
func RunOf(ctx context.Context, v *valve.Valve) *valve.Run {
	r, _ := ctx.Value(contextKey{v}).(*valve.Run)
	return r
}
