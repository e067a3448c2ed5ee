package main

// This file owns the life of the serving process: it starts the parts, hands each the others it needs, and
// drains them. It must never know what a part does inside.

import (
	"context"
	"errors"
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

type serveCmd struct{}

func (serveCmd) Run() error {
	stop, reread := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reread, syscall.SIGHUP) // before all else: unheeded, it would end the process
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	load := func() (*opening.Process, error) { return opening.Load(os.Getenv) }
	p, err := load()
	if err != nil {
		return err
	}
	return serve(p, newLog(os.Stderr).WithField("node", p.Name), stop, reread, load)
}

// serve runs one server until a signal to stop comes, and drains it. On each value of reread, the drain
// included, it takes from load what can change in a running process.
func serve(
	p *opening.Process, log *logrus.Entry, stop, reread <-chan os.Signal, load func() (*opening.Process, error),
) error {
	runtime.GOMAXPROCS(int(math.Ceil(p.Cores)))
	debug.SetMemoryLimit(int64(heapShare * float64(p.MemoryMB) * (1 << 20)))
	told := *p.Opening
	if absent := mprpc.Absent(&told); len(absent) > 0 {
		log.WithField("absent", strings.Join(absent, ", ")).Warn("server: not carried by this protocol")
	}
	ln, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	g := gate.New(&told, p.MemoryMB, func(text, detail string) {
		if detail == "" {
			log.Info(text)
		} else {
			log.WithField("detail", detail).Error(text)
		}
	})
	link := engine.New(p.Engine, log, g.Start)
	table := front.NewTable(p.Sockets, g.Idle, log)
	srv := mprpc.New(table, g, runner(link), log)
	up := func() (up, known bool) { return g.Good(), g.Started() }
	report := members.New(p.Members, p.Name, log, up, g.Changed())
	go link.Serve(ctx)
	go report.Serve(ctx)
	go tick(ctx, g, link)
	table.Listen(ln.(*net.TCPListener), srv.Open)
	var latest atomic.Pointer[opening.Process]
	latest.Store(p)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-reread:
			}
			next, err := load()
			if err != nil {
				log.WithError(err).Error("reload: the configuration is wrong, the old one stays")
				continue
			}
			if stays := p.Stays(next); len(stays) > 0 {
				log.WithField("keys", brief(stays)).Warn("reload: keys that only a new start can change")
			}
			latest.Store(next)
			link.Move(next.Engine)
			report.Move(ctx, next.Members)
			log.WithFields(logrus.Fields{"engine": next.Engine, "members": next.Members}).Info("reload: done")
		}
	}()
	log.WithField("listen", p.Listen).Info("serve: begins")
	<-stop
	drain(latest.Load(), g, table, log)
	return nil
}

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

// runner has runs done by the engine. An error that proves that nothing ran is told as such; any other may have
// had its effect.
func runner(link *engine.Link) mprpc.Runner {
	return func(id, method string, body []byte, done func(gate.Outcome, float64, []byte)) {
		link.Run(id, method, body, func(e engine.End) {
			var failed *engine.Error
			switch {
			case e.Err == nil:
				done(gate.Succeeded, e.Spent, e.Result)
			case errors.As(e.Err, &failed) && failed.Reached < engine.MayHaveRun:
				done(gate.NotStarted, e.Spent, nil)
			default:
				done(gate.Failed, e.Spent, nil)
			}
		})
	}
}
