package main

// This file owns the life of the serving process: it starts the parts, hands each the others it needs, and
// drains them. It must never know what a part does inside.

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/back/engine"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/members"
	"sorrelvalve/internal/opening"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/store"
	"sorrelvalve/internal/trace"
)

const (
	// heapShare of the memory is the collector's limit; the rest is for stacks, the program itself and the
	// kernel's buffers that count as ours.
	heapShare = 0.6
	// gaugeWait is how long a tick waits for its gauges: many times what the engine takes, a quarter of the
	// time between two ticks.
	gaugeWait = 10 * time.Millisecond
	// spare is left of the time to the stop when the process ends. The decisions answer the last RPCs two to one of
	// their ticks of 40 ms before the stop, so it lies under one.
	spare = 20 * time.Millisecond
	// windup is left of it at the least when nothing more is let in, if the grace is longer.
	windup = 240 * time.Millisecond
)

type serveCmd struct {
	Operator string `type:"path" placeholder:"RECORD" help:"The operator's record, as valvectl compile wrote it; it is taken anew on SIGHUP with the configuration."`
	Trace    string `type:"path" placeholder:"FILE" hidden:"" help:"Record a trace there, whatever the record says."`
	StandIn  bool   `help:"Start a stand-in engine, and callers that ask for more than it can do, within this process, to see the main job run."`
}

// told is all that a process is told: the platform's configuration and the operator's record, nil if there is none.
type told struct {
	*opening.Process
	op *operator.Record
}

func (s serveCmd) Run() error {
	stop, reread := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reread, syscall.SIGHUP) // before all else: unheeded, it would end the process
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	load := func() (t told, err error) {
		if t.Process, err = opening.Load(os.Getenv); err == nil && s.Operator != "" {
			t.op, err = operator.Load(s.Operator, t.Opening)
		}
		return t, err
	}
	if s.StandIn {
		own, end, err := standIn()
		if err != nil {
			return err
		}
		defer end()
		load = own
	}
	if s.Trace != "" {
		from := load
		load = func() (told, error) {
			t, err := from()
			if err == nil && t.op == nil {
				t.op = &operator.Record{Hash: strings.Repeat("0", 64), File: operator.File{Version: "none"}}
			}
			if err == nil {
				t.op.File.Trace = &operator.Trace{Path: s.Trace, FileMB: 64, Files: 4}
			}
			return t, err
		}
	}
	t, err := load()
	if err != nil {
		return err
	}
	return serve(t, newLog(os.Stderr).WithField("node", t.Name), stop, reread, load)
}

// serve runs one server until a signal to stop comes, and drains it. On each value of reread, the drain
// included, it takes from load what can change in a running process.
func serve(t told, log *logrus.Entry, stop, reread <-chan os.Signal, load func() (told, error)) error {
	p := t.Process
	runtime.GOMAXPROCS(int(math.Ceil(p.Cores)))
	debug.SetMemoryLimit(int64(heapShare * float64(p.MemoryMB) * (1 << 20)))
	settings := *p.Opening
	if absent := mprpc.Absent(&settings); len(absent) > 0 {
		log.WithField("absent", strings.Join(absent, ", ")).Warn("server: not carried by this protocol")
	}
	sockets := p.Sockets
	if t.op != nil {
		t.op.File.Apply(&settings)
		if sockets -= t.op.File.Descriptors(); sockets < leastSockets {
			return fmt.Errorf("operator: the file's parts may take %d descriptors of limits.sockets, %d", t.op.File.Descriptors(), p.Sockets)
		}
	}
	ln, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	g := gate.New(&settings, p.MemoryMB, func(text, detail string) {
		if detail == "" {
			log.Info(text)
		} else {
			log.WithField("detail", detail).Error(text)
		}
	})
	if t.op != nil && t.op.File.Trace != nil {
		rec := trace.NewRecorder(t.op.File.Trace.Path, traceBounds(t.op.File.Trace), buildVersion(), func(err error) {
			log.WithError(err).Error("trace: not recorded")
		})
		defer rec.Close()
		g.Trace(rec)
	}
	begun := g.Start
	var kept *opened
	if t.op != nil && t.op.File.Store != nil { // until it has been read, the server listens and pushes back
		kept = openStore(t.op.File.Store, &settings, p.Name, log)
		defer kept.close()
		defer kept.tell(log) // as it stood at the end
		go kept.tells(ctx, log)
		begun = func(cold bool, ago time.Duration) {
			since := time.Now()
			if <-kept.ready; kept.err == nil {
				if !g.Started() {
					g.Keep(store.Keeper{Store: kept.s})
				}
				g.Start(cold, ago+time.Since(since))
			}
		}
	}
	link := engine.New(p.Engine, log, begun)
	table := front.NewTable(sockets, g.Idle, log)
	run := link.Runner()
	var more *extras
	if t.op != nil {
		if more, err = newExtras(ctx, t, table, g, run, log); err != nil {
			ln.Close()
			return err
		}
		run = more.run
	}
	srv := mprpc.New(table, g, run, log)
	up := func() (up, known bool) { return g.Good(), g.Started() }
	report := members.New(p.Members, p.Name, log, up, g.Changed())
	go link.Serve(ctx)
	go report.Serve(ctx)
	go tick(ctx, g, link)
	table.Listen(ln.(*net.TCPListener), srv.Open)
	if more != nil {
		more.listen(table)
	}
	var latest atomic.Pointer[told]
	latest.Store(&t)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-reread:
			}
			next, err := load()
			number := 0
			if err == nil && more != nil {
				number, err = more.set(next)
			}
			if err != nil {
				log.WithError(err).Error("reload: the configuration is wrong, the old one stays")
				continue
			}
			if stays := p.Stays(next.Process); len(stays) > 0 {
				log.WithField("keys", brief(stays)).Warn("reload: keys that only a new start can change")
			}
			latest.Store(&next)
			link.Move(next.Engine)
			report.Move(ctx, next.Members)
			done := log.WithFields(logrus.Fields{"engine": next.Engine, "members": next.Members})
			if next.op != nil {
				done = done.WithFields(logrus.Fields{"version": next.op.File.Version, "hash": next.op.Hash[:12], "number": number})
			}
			done.Info("reload: done")
		}
	}()
	begins := log.WithField("listen", p.Listen)
	if t.op != nil {
		begins = begins.WithFields(logrus.Fields{"version": t.op.File.Version, "hash": t.op.Hash[:12]})
	}
	begins.Info("serve: begins")
	if kept != nil {
		select {
		case <-stop:
		case <-kept.ready:
			if kept.err != nil {
				table.Finish(ctx)
				return fmt.Errorf("store: %w", kept.err)
			}
			<-stop
		}
	} else {
		<-stop
	}
	drain(latest.Load().Process, g, table, log)
	return nil
}

// leastSockets are left for the fronts beside what the operator's file may take: with the platform's least, 48, a
// dozen connections.
const leastSockets = 40

// brief names the first few of many keys.
func brief(keys []string) string {
	const most = 8 // as many as fit a line
	if len(keys) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(keys[:most], ", "), len(keys)-most)
	}
	return strings.Join(keys, ", ")
}

// drain goes on as before for the grace, then lets nothing more in and waits for what is in hand.
func drain(p *opening.Process, g *gate.Gate, table *front.Table, log *logrus.Entry) {
	began := time.Now()
	g.Drain(p.Stop)
	log.WithField("ms", p.Stop.Milliseconds()).Info("drain: begins")
	grace := time.Duration(p.Opening.Rules.DrainGrace * float64(time.Millisecond))
	time.Sleep(max(0, min(grace, p.Stop-windup)))
	ctx, end := context.WithDeadline(context.Background(), began.Add(p.Stop-spare))
	defer end()
	table.Finish(ctx)
	log.WithField("ms", time.Since(began).Milliseconds()).WithField("in_hand", g.InHand()).Info("drain: over")
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
		wait.Reset(g.Tick(link.Gauges(gaugeWait)))
	}
}
