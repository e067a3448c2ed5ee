package daemon

// This file owns how the parts of one server are put together, and their end. It must never decide in what order anything
// happens to an RPC.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/back/engine"
	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/members"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/store"
	"sorrelvalve/internal/trace"
)

// Server is one, put together and serving.
type Server struct {
	Gate *gate.Gate

	ctx           context.Context
	closers       []func()       // the last first
	wg            sync.WaitGroup // of what serves until ctx ends
	log           *logrus.Entry
	table         *front.ConnTable
	link          *engine.Link
	reporter      *members.Reporter
	operatorParts *operatorParts // nil without an operator's file
	tokenStore    *tokenStore    // nil without a store
	addition      Addition       // nil if the command adds nothing
	lifecycle     lifecycle

	leaveRequests  chan int        // an added part may have the server leave,
	cancelRequests chan chan error // and stay after all
}

// Extension is what a command adds to the daemon. It is called once the other parts stand, before RPCs are let in.
type Extension func(p Parts) (Addition, error)

// Parts are what an Extension is given.
type Parts struct {
	Config Config
	Log    *logrus.Entry
	Build  string
	Gate   *gate.Gate
	Pools  *pools.Backends                      // those of the operator's file
	Phase  func() (ramp float64, draining bool) // ramp is the share of it that is over, 1 when warm; 0 before an engine answers
	// Leave has the server drain and end, as a signal to stop does, unless Stay takes that back before its grace is over. A signal to
	// stop is obeyed at once, whatever else goes on.
	// code is what the process ends with, 0 for as usual.
	Leave       func(code int)
	CancelDrain func() error
	// Release puts a version of the fleet's settings in force, whole or not at all, or the own file again if it is nil. The version is
	// laid over what only a start can change.
	Release    func(r *operator.Record, origin string) error
	SampleLoad func() // called again and again: what the last minutes carried is sampled
}

// Addition is what an Extension put beside the other parts.
type Addition interface {
	Set(f *operator.File) // a new file has been taken
	Close()               // in bounded time, once all is answered
}

// phase is where the server is in its life.
type lifecycle struct {
	slowStartMs float64 // ms
	startedAt   atomic.Pointer[time.Time]
	draining    atomic.Bool
}

// starts notes how the decisions began.
func (p *lifecycle) start(cold bool, ago time.Duration) {
	at := time.Now().Add(-ago)
	if !cold {
		at = time.Time{}
	}
	p.startedAt.CompareAndSwap(nil, &at)
}

func (p *lifecycle) phase() (ramp float64, draining bool) {
	at := p.startedAt.Load()
	switch {
	case at == nil:
	case at.IsZero() || p.slowStartMs <= 0:
		ramp = 1
	default:
		ramp = min(max(float64(time.Since(*at))/1e6/p.slowStartMs, 0), 1)
	}
	return ramp, p.draining.Load()
}

// New puts a server together, which accepts on ln and has its work done by what it is told. Tokens are kept as the
// operator's file says. ln stays the caller's if there is an error.
func New(t Config, ln net.Listener, log *logrus.Entry, extra Extension) (x *Server, err error) {
	return assemble(t, ln, log, extra, nil)
}

// NewWithTokenStore is New with idempotency tokens cached in k, which its caller opened, if that is not nil.
func NewWithTokenStore(t Config, ln net.Listener, log *logrus.Entry, k gate.TokenStore) (*Server, error) {
	return assemble(t, ln, log, nil, k)
}

func assemble(t Config, ln net.Listener, log *logrus.Entry, extra Extension, keeper gate.TokenStore) (x *Server, err error) {
	p, settings, sockets := t.Process, *t.Settings, t.Sockets
	if t.Operator != nil {
		t.Operator.File.Apply(&settings)
		if sockets -= t.Operator.File.Descriptors(); sockets < minSockets {
			return nil, fmt.Errorf("operator: the file's parts may take %d descriptors of limits.sockets, %d", t.Operator.File.Descriptors(), p.Sockets)
		}
		if t.Operator.File.Fleet != nil && extra == nil {
			return nil, fmt.Errorf("operator: fleet: this command serves without one; valvefleet serve takes the same configuration")
		}
	}
	x = &Server{log: log, leaveRequests: make(chan int, 1), cancelRequests: make(chan chan error)}
	x.lifecycle.slowStartMs = settings.Node.WarmUpTime
	ctx, end := context.WithCancel(context.Background())
	x.ctx = ctx
	defer func() {
		if err != nil {
			x.Close()
		}
	}()
	x.closers = append(x.closers, func() { end(); x.wg.Wait() })
	g := gate.New(&settings, p.MemoryMB, func(text, detail string) {
		if detail == "" {
			log.Info(text)
		} else {
			log.WithField("detail", detail).Error(text)
		}
	})
	x.Gate = g
	if keeper != nil {
		g.UseTokenStore(keeper)
	}
	if t.Operator != nil && t.Operator.File.Trace != nil {
		rec := trace.NewRecorder(t.Operator.File.Trace.Path, TraceBounds(t.Operator.File.Trace), BuildVersion(), func(err error) {
			log.WithError(err).Error("trace: not recorded")
		})
		x.closers = append(x.closers, func() { rec.Close() })
		g.UseTracer(rec)
	}
	begun := g.Start
	if t.Operator != nil && t.Operator.File.Store != nil { // until it has been read, the server listens and pushes back
		kept := openTokenStore(t.Operator.File.Store, &settings, p.Name, log)
		x.tokenStore = kept
		x.closers = append(x.closers, kept.close, func() { kept.reportState(log) }) // as it stood at the end
		go kept.reportPeriodically(ctx, log)
		begun = func(cold bool, ago time.Duration) {
			since := time.Now()
			if <-kept.ready; kept.err == nil {
				if !g.Started() {
					g.UseTokenStore(store.TokenStore{Store: kept.store})
				}
				g.Start(cold, ago+time.Since(since))
			}
		}
	}
	link := engine.New(p.Engine, log, func(cold bool, ago time.Duration) {
		x.lifecycle.start(cold, ago)
		begun(cold, ago)
	})
	x.link = link
	x.table = front.NewConnTable(sockets, g.IdleTimeout, log)
	run := link.Runner()
	if t.Operator != nil {
		if x.operatorParts, err = newOperatorParts(ctx, t, x.table, g, run, log); err != nil {
			return nil, err
		}
		run = x.operatorParts.run
	}
	if extra != nil {
		parts := Parts{Config: t, Log: log, Build: BuildVersion(), Gate: g, Pools: x.Pools(), Phase: x.lifecycle.phase, Leave: x.requestLeave, CancelDrain: x.cancelDrain, Release: x.release, SampleLoad: x.sampleLoad}
		if x.addition, err = extra(parts); err != nil {
			return nil, err
		}
		if x.addition != nil {
			if x.operatorParts != nil && x.operatorParts.effectiveFile != nil { // a version that was kept went in force before the part was there
				x.addition.Set(x.operatorParts.effectiveFile)
			}
			x.closers = append(x.closers, x.addition.Close)
		}
	}
	srv := mprpc.New(x.table, g, run, log)
	x.runPart(link.Serve)
	if p.Members != "" {
		x.reporter = members.New(p.Members, p.Name, log, g.Healthy, g.Started, g.HealthChanged())
		x.runPart(x.reporter.Serve)
	}
	x.runPart(func(ctx context.Context) { tick(ctx, g, link) })
	x.table.AddListener(ln.(*net.TCPListener), srv.Open)
	if x.operatorParts != nil {
		x.operatorParts.listen(x.table)
	}
	return x, nil
}

// serves has a part serve beside the others, to be waited for at the end.
func (x *Server) runPart(part func(context.Context)) {
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		part(x.ctx)
	}()
}

// Close ends all parts. What is in hand is not waited for: Shutdown does that.
func (x *Server) Close() {
	for i := len(x.closers) - 1; i >= 0; i-- {
		x.closers[i]()
	}
	x.closers = nil
}

// Shutdown lets nothing more in and waits for what is in hand until ctx ends.
func (x *Server) Shutdown(ctx context.Context) { x.table.Shutdown(ctx) }

// Pools are those of the operator's file; nil without one.
func (x *Server) Pools() *pools.Backends {
	if x.operatorParts == nil {
		return nil
	}
	return x.operatorParts.pools
}

// Web is where the front for uwsgi listens; "" without one.
func (x *Server) WebAddress() string {
	if x.operatorParts == nil || x.operatorParts.listener == nil {
		return ""
	}
	return x.operatorParts.listener.Addr().String()
}

// set takes a new operator's file, whole or not at all, and returns the number of the version that runs.
func (x *Server) reload(next Config) (int, error) {
	if x.operatorParts == nil {
		return 0, nil
	}
	number, err := x.operatorParts.reload(next)
	if err == nil && x.addition != nil {
		x.addition.Set(&next.Operator.File)
	}
	return number, err
}

// release is Parts.Release.
func (x *Server) release(r *operator.Record, origin string) error {
	if x.operatorParts == nil {
		return errors.New("no operator's file: nothing of it can be released")
	}
	f, err := x.operatorParts.release(r, origin)
	if err == nil && x.addition != nil {
		x.addition.Set(f)
	}
	return err
}

// sample is Parts.SampleLoad.
func (x *Server) sampleLoad() {
	if x.operatorParts != nil {
		x.operatorParts.load.sample(time.Now())
	}
}

// leastSockets are left for the fronts beside what the operator's file may take: with the platform's least, 48, a
// dozen connections.
const minSockets = 40

// tick moves the clock of the decisions, with fresh gauges if the engine gives them in time.
func tick(ctx context.Context, g *gate.Gate, link *engine.Link) {
	wait := time.NewTimer(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
		}
		wait.Reset(g.Tick(link.Gauges(gaugeTimeout)))
	}
}
