package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/back/engine"
	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/members"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/store"
	"sorrelvalve/internal/trace"
)

// This file owns how the parts of one server are put together, and their end. It must never decide in what order anything
// happens to an RPC.

const (
	// minSockets are left for the fronts beside what the operator's file may take: with the platform's minimum, 48, a
	// dozen connections.
	minSockets = 40
	// gaugeTimeout is how long a tick waits for its gauges: many times what the engine takes, a quarter of the time
	// between two ticks.
	gaugeTimeout = 10 * time.Millisecond
)

// Options are what a server is made from.
type Options struct {
	Config     Config
	Listener   net.Listener    // for RPCs; a *net.TCPListener, which stays the caller's if New fails
	Log        *logrus.Entry   // for the log of all parts
	Extension  Extension       // nil if the command adds nothing
	TokenStore gate.TokenStore // which its caller opened; nil to cache tokens as the operator's file says
}

// Server is a running server: its parts, put together.
type Server struct {
	Gate *gate.Gate

	ctx           context.Context // ends with the server
	closers       []func()        // called on Close, the last first
	wg            sync.WaitGroup  // of the parts that run until ctx ends
	log           *logrus.Entry
	settings      startup.Config // of the controller, with what the operator's file sets
	sockets       int            // file descriptors left for the fronts
	table         *front.ConnTable
	link          *engine.Link
	reporter      *members.Reporter // nil without a membership service
	operatorParts *operatorParts    // nil without an operator's file
	tokenStore    *tokenStore       // nil without a durable store
	addition      ExtensionPart     // nil if the command adds nothing
	lifecycle     lifecycle

	leaveRequests  chan int        // exit codes with which an added part has the server leave
	cancelRequests chan chan error // requests of an added part to cancel that
}

// New puts a server together and starts it.
func New(o Options) (x *Server, err error) {
	x = &Server{
		log: o.Log, settings: *o.Config.Settings, sockets: o.Config.Sockets,
		leaveRequests: make(chan int, 1), cancelRequests: make(chan chan error),
	}
	if err := x.applyOperatorFile(&o); err != nil {
		return nil, err
	}
	x.lifecycle.slowStartMs = x.settings.Node.WarmUpTime
	ctx, cancel := context.WithCancel(context.Background())
	x.ctx = ctx
	x.closers = append(x.closers, func() {
		cancel()
		x.wg.Wait()
	})
	defer func() {
		if err != nil {
			x.Close()
		}
	}()
	x.makeGate(&o)
	x.makeEngineLink(&o)
	x.table = front.NewConnTable(x.sockets, x.Gate.IdleTimeout, o.Log)
	run := x.link.Runner()
	if o.Config.Operator != nil {
		if x.operatorParts, err = newOperatorParts(o.Config, x.table, x.Gate, run, o.Log); err != nil {
			return nil, err
		}
		x.runPart(x.operatorParts.pools.Serve)
		run = x.operatorParts.run
	}
	if o.Extension != nil {
		if err := x.extend(&o); err != nil {
			return nil, err
		}
	}
	x.startParts(&o, run)
	return x, nil
}

// applyOperatorFile lays the operator's file over the settings and checks that this process can do what it asks.
func (x *Server) applyOperatorFile(o *Options) error {
	if o.Config.Operator == nil {
		return nil
	}
	f := &o.Config.Operator.File
	f.Apply(&x.settings)
	x.sockets -= f.Descriptors()
	if x.sockets < minSockets {
		return fmt.Errorf("operator: the file's parts may take %d descriptors of limits.sockets, %d", f.Descriptors(), o.Config.Sockets)
	}
	if f.Fleet != nil && o.Extension == nil {
		return errors.New("operator: fleet: this command serves without one; valvefleet serve takes the same configuration")
	}
	return nil
}

// makeGate makes the gate, with its token store and its trace.
func (x *Server) makeGate(o *Options) {
	log := o.Log
	x.Gate = gate.New(&x.settings, o.Config.MemoryMB, func(event, detail string) {
		if detail == "" {
			log.Info(event)
		} else {
			log.WithField("detail", detail).Error(event)
		}
	})
	if o.TokenStore != nil {
		x.Gate.UseTokenStore(o.TokenStore)
	}
	if o.Config.Operator != nil && o.Config.Operator.File.Trace != nil {
		t := o.Config.Operator.File.Trace
		limits := trace.FileLimits{MaxFileBytes: int64(t.MaxFileMB * bytesPerMB), MaxFiles: t.MaxFiles}
		recorder := trace.NewRecorder(t.Path, limits, BuildVersion(), func(err error) {
			log.WithError(err).Error("trace.record_failed")
		})
		x.closers = append(x.closers, recorder.Close)
		x.Gate.UseTracer(recorder)
	}
}

// makeEngineLink makes the link to the engine, whose first answer starts the decisions, and opens the token store that
// the operator's file names. Until that has been read, the server listens and rejects.
func (x *Server) makeEngineLink(o *Options) {
	startDecisions := x.Gate.Start
	if o.Config.Operator != nil && o.Config.Operator.File.Store != nil {
		tokens := openTokenStore(o.Config.Operator.File.Store, &x.settings, o.Config.Name, o.Log)
		x.tokenStore = tokens
		x.closers = append(x.closers, func() { tokens.close(o.Log) }, func() { tokens.logStatus(o.Log) }) // as it stood at the end
		x.runPart(func(ctx context.Context) { tokens.logPeriodically(ctx, o.Log) })
		startDecisions = func(warmingUp bool, ago time.Duration) {
			since := time.Now()
			<-tokens.ready
			if tokens.err != nil {
				return
			}
			if !x.Gate.Started() {
				x.Gate.UseTokenStore(store.TokenStore{Store: tokens.store})
			}
			x.Gate.Start(warmingUp, ago+time.Since(since))
		}
	}
	x.link = engine.New(o.Config.Engine, o.Log, func(warmingUp bool, ago time.Duration) {
		x.lifecycle.start(warmingUp, ago)
		startDecisions(warmingUp, ago)
	})
}

// startParts starts what runs until the server's end, and then accepts connections. run does the work of RPCs.
func (x *Server) startParts(o *Options, run gate.Runner) {
	g := x.Gate
	rpcServer := mprpc.New(x.table, g, run, o.Log)
	x.runPart(x.link.Serve)
	if o.Config.Members != "" {
		x.reporter = members.New(o.Config.Members, o.Config.Name, o.Log, g.Healthy, g.Started, g.HealthChanged())
		x.runPart(x.reporter.Serve)
	}
	x.runPart(func(ctx context.Context) { tick(ctx, g, x.link) })
	x.table.AddListener(o.Listener.(*net.TCPListener), rpcServer.Open)
	if x.operatorParts != nil {
		x.operatorParts.listen(x.table)
	}
}

// runPart runs a part beside the others; the end of the server waits for it.
func (x *Server) runPart(part func(context.Context)) {
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		part(x.ctx)
	}()
}

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

// Close ends all parts. It does not wait for RPCs in flight: Shutdown does.
func (x *Server) Close() {
	for i := len(x.closers) - 1; i >= 0; i-- {
		x.closers[i]()
	}
	x.closers = nil
}

// Shutdown admits nothing more and waits for RPCs in flight until ctx ends.
func (x *Server) Shutdown(ctx context.Context) { x.table.Shutdown(ctx) }

// Pools are the backend pools of the operator's file; nil without one.
func (x *Server) Pools() *pools.Backends {
	if x.operatorParts == nil {
		return nil
	}
	return x.operatorParts.pools
}

// WebAddress is where the front for uwsgi listens; "" without one.
func (x *Server) WebAddress() string {
	if x.operatorParts == nil || x.operatorParts.listener == nil {
		return ""
	}
	return x.operatorParts.listener.Addr().String()
}

// reload puts a new operator's file in force, as a whole or not at all, and returns the number of the version that runs.
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

// sampleLoad is Parts.SampleLoad.
func (x *Server) sampleLoad() {
	if x.operatorParts != nil {
		x.operatorParts.load.sample(time.Now())
	}
}
