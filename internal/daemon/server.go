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

// This file assembles the parts of one server and ends them. It must never determine the order of the steps of an RPC.

const (
	// minSockets is the minimum number of descriptors left for the fronts after those reserved by the operator's file. At
	// the platform's minimum of 48 sockets, this is about a dozen connections.
	minSockets = 40
	// gaugeTimeout is how long a tick waits for the engine's gauges: many times the usual response time, and a quarter of
	// the interval between two ticks.
	gaugeTimeout = 10 * time.Millisecond
)

// Options configure a server.
type Options struct {
	Config     Config
	Listener   net.Listener    // for RPCs; a *net.TCPListener, which the caller must close if New fails
	Log        *logrus.Entry   // for the log of all parts
	Extension  Extension       // nil for none
	TokenStore gate.TokenStore // opened by the caller; nil to cache tokens as the operator's file configures
}

// Server is a running server.
type Server struct {
	Gate *gate.Gate

	ctx           context.Context // ends with the server
	closers       []func()        // called by Close in reverse order
	wg            sync.WaitGroup  // of the parts that run until ctx ends
	log           *logrus.Entry
	settings      startup.Config // of the controller, with those of the operator's file applied
	sockets       int            // file descriptors left for the fronts
	table         *front.ConnTable
	link          *engine.Link
	reporter      *members.Reporter // nil without a membership service
	operatorParts *operatorParts    // nil without an operator's file
	tokenStore    *tokenStore       // nil without a durable store
	extensionPart ExtensionPart     // nil for none
	lifecycle     lifecycle

	drainRequests  chan int        // exit codes of drains requested by the extension part
	cancelRequests chan chan error // requests of the extension part to cancel such a drain
}

// New assembles a server and starts it.
func New(o Options) (s *Server, err error) {
	s = &Server{
		log: o.Log, settings: *o.Config.Settings, sockets: o.Config.Sockets,
		drainRequests: make(chan int, 1), cancelRequests: make(chan chan error),
	}
	if err := s.applyOperatorFile(&o); err != nil {
		return nil, err
	}
	s.lifecycle.slowStartMs = s.settings.Node.WarmUpTime
	ctx, cancel := context.WithCancel(context.Background())
	s.ctx = ctx
	s.closers = append(s.closers, func() {
		cancel()
		s.wg.Wait()
	})
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	s.makeGate(&o)
	s.makeEngineLink(&o)
	s.table = front.NewConnTable(s.sockets, s.Gate.IdleTimeout, o.Log)
	run := s.link.Runner()
	if o.Config.Operator != nil {
		if s.operatorParts, err = newOperatorParts(o.Config, s.table, s.Gate, run, o.Log); err != nil {
			return nil, err
		}
		s.runPart(s.operatorParts.pools.Serve)
		run = s.operatorParts.run
	}
	if o.Extension != nil {
		if err := s.extend(&o); err != nil {
			return nil, err
		}
	}
	s.startParts(&o, run)
	return s, nil
}

// applyOperatorFile applies the operator's file to the settings and checks that this process can support it.
func (s *Server) applyOperatorFile(o *Options) error {
	if o.Config.Operator == nil {
		return nil
	}
	f := &o.Config.Operator.File
	f.Apply(&s.settings)
	s.sockets -= f.Descriptors()
	if s.sockets < minSockets {
		return fmt.Errorf("operator: the file's parts need up to %d descriptors, which leaves too few of limits.sockets, %d", f.Descriptors(), o.Config.Sockets)
	}
	if f.Fleet != nil && o.Extension == nil {
		return errors.New("operator: fleet: not supported by this command; use valvefleet serve with the same configuration")
	}
	return nil
}

// makeGate creates the gate with its token store and trace recorder.
func (s *Server) makeGate(o *Options) {
	log := o.Log
	s.Gate = gate.New(&s.settings, o.Config.MemoryMB, func(event, detail string) {
		if detail == "" {
			log.Info(event)
		} else {
			log.WithField("detail", detail).Error(event)
		}
	})
	if o.TokenStore != nil {
		s.Gate.UseTokenStore(o.TokenStore)
	}
	if o.Config.Operator != nil && o.Config.Operator.File.Trace != nil {
		t := o.Config.Operator.File.Trace
		limits := trace.FileLimits{MaxFileBytes: int64(t.MaxFileMB * bytesPerMB), MaxFiles: t.MaxFiles}
		recorder := trace.NewRecorder(t.Path, limits, BuildVersion(), func(err error) {
			log.WithError(err).Error("trace.record_failed")
		})
		s.closers = append(s.closers, recorder.Close)
		s.Gate.UseTracer(recorder)
	}
}

// makeEngineLink creates the link to the engine, whose first response starts the decisions, and opens the token store that
// the operator's file configures. Until the store has been read, the server listens and rejects RPCs.
func (s *Server) makeEngineLink(o *Options) {
	startDecisions := s.Gate.Start
	if o.Config.Operator != nil && o.Config.Operator.File.Store != nil {
		tokens := openTokenStore(o.Config.Operator.File.Store, &s.settings, o.Config.Name, o.Log)
		s.tokenStore = tokens
		s.closers = append(s.closers, func() { tokens.close(o.Log) }, func() { tokens.logStatus(o.Log) }) // final status
		s.runPart(func(ctx context.Context) { tokens.logPeriodically(ctx, o.Log) })
		startDecisions = func(warmingUp bool, ago time.Duration) {
			waitStarted := time.Now()
			<-tokens.ready
			if tokens.err != nil {
				return
			}
			if !s.Gate.Started() {
				s.Gate.UseTokenStore(store.TokenStore{Store: tokens.store})
			}
			s.Gate.Start(warmingUp, ago+time.Since(waitStarted))
		}
	}
	s.link = engine.New(o.Config.Engine, o.Log, func(warmingUp bool, ago time.Duration) {
		s.lifecycle.start(warmingUp, ago)
		startDecisions(warmingUp, ago)
	})
}

// startParts starts the parts that run until the server ends, and then accepts connections. run runs the admitted RPCs.
func (s *Server) startParts(o *Options, run gate.Runner) {
	g := s.Gate
	rpcServer := mprpc.New(s.table, g, run, o.Log)
	s.runPart(s.link.Serve)
	if o.Config.Members != "" {
		s.reporter = members.New(o.Config.Members, o.Config.Name, o.Log, g.Healthy, g.Started, g.HealthChanged())
		s.runPart(s.reporter.Serve)
	}
	s.runPart(func(ctx context.Context) { tick(ctx, g, s.link) })
	s.table.AddListener(o.Listener.(*net.TCPListener), rpcServer.Open)
	if s.operatorParts != nil {
		s.operatorParts.listen(s.table)
	}
}

// runPart runs a part in its own goroutine, which Close waits for.
func (s *Server) runPart(part func(context.Context)) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		part(s.ctx)
	}()
}

// tick advances the controller's clock until ctx ends, with new gauges if the engine returns them within gaugeTimeout.
func tick(ctx context.Context, g *gate.Gate, link *engine.Link) {
	nextTick := time.NewTimer(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-nextTick.C:
		}
		nextTick.Reset(g.Tick(link.Gauges(gaugeTimeout)))
	}
}

// Close ends all parts. It does not wait for RPCs in flight; Shutdown does.
func (s *Server) Close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
	s.closers = nil
}

// Shutdown stops admission and waits for the RPCs in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) { s.table.Shutdown(ctx) }

// Pools returns the backend pools of the operator's file; nil without one.
func (s *Server) Pools() *pools.Backends {
	if s.operatorParts == nil {
		return nil
	}
	return s.operatorParts.pools
}

// WebAddress returns the address of the front for uwsgi; "" without one.
func (s *Server) WebAddress() string {
	if s.operatorParts == nil || s.operatorParts.listener == nil {
		return ""
	}
	return s.operatorParts.listener.Addr().String()
}

// reload atomically applies a new operator's file and returns the number of the running version.
func (s *Server) reload(next Config) (int, error) {
	if s.operatorParts == nil {
		return 0, nil
	}
	number, err := s.operatorParts.reload(next)
	if err == nil && s.extensionPart != nil {
		s.extensionPart.Set(&next.Operator.File)
	}
	return number, err
}

// release implements Parts.Release.
func (s *Server) release(r *operator.Record, origin string) error {
	if s.operatorParts == nil {
		return errors.New("no operator's file: nothing of it can be released")
	}
	f, err := s.operatorParts.release(r, origin)
	if err == nil && s.extensionPart != nil {
		s.extensionPart.Set(f)
	}
	return err
}

// sampleLoad implements Parts.SampleLoad.
func (s *Server) sampleLoad() {
	if s.operatorParts != nil {
		s.operatorParts.load.sample(time.Now())
	}
}
