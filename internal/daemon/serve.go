// Package daemon puts the parts of a server together and minds their life from the first log line to the exit. It is what
// the commands that serve have in common, and has a place for what one of them adds; the lab's servers are put together
// by the same code. It must never hold anything that a part could own, nor know what a part does inside.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

const (
	// heapShare of the memory is the collector's limit; the rest is for stacks, the program itself and the
	// kernel's buffers that count as ours.
	heapFraction = 0.6
	// gaugeWait is how long a tick waits for its gauges: many times what the engine takes, a quarter of the
	// time between two ticks.
	gaugeTimeout = 10 * time.Millisecond
	// spare is left of the time to the stop when the process ends. The decisions answer the last RPCs two to one of
	// their ticks of 40 ms before the stop, so it lies under one.
	stopMargin = 20 * time.Millisecond
	// windup is left of it at the least when nothing more is let in, if the grace is longer.
	minCompletionTime = 240 * time.Millisecond
)

// Command is the sub-command that serves.
type Command struct {
	Operator string `type:"path" placeholder:"RECORD" help:"The operator's record, as valvectl compile wrote it; it is taken anew on SIGHUP with the configuration."`
	Trace    string `type:"path" placeholder:"FILE" hidden:"" help:"Record a trace there, whatever the record says."`
	StandIn  bool   `help:"Start a stand-in engine, and callers that ask for more than it can do, within this process, to see the main job run."`
}

// Config is all that a process is configured with: the platform's configuration and the operator's record, nil if there is none.
type Config struct {
	*startup.Process
	Operator *operator.Record
}

// Run serves until a signal to stop comes. extra, which may be nil, adds what the command at hand has beside the rest.
func (s Command) Run(extra Extension) error {
	stop, reread := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reread, syscall.SIGHUP) // before all else: unheeded, it would end the process
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	load := func() (t Config, err error) {
		if t.Process, err = startup.Load(os.Getenv); err == nil && s.Operator != "" {
			t.Operator, err = operator.Load(s.Operator, t.Settings)
		}
		return t, err
	}
	if s.StandIn {
		own, end, err := startDemo()
		if err != nil {
			return err
		}
		defer end()
		load = func() (t Config, err error) {
			if t, err = own(); err == nil && s.Operator != "" {
				t.Operator, err = operator.Load(s.Operator, t.Settings)
			}
			return t, err
		}
	}
	if s.Trace != "" {
		from := load
		load = func() (Config, error) {
			t, err := from()
			if err == nil && t.Operator == nil {
				t.Operator = &operator.Record{Hash: strings.Repeat("0", 64), File: operator.File{Version: "none"}}
			}
			if err == nil {
				t.Operator.File.Trace = &operator.Trace{Path: s.Trace, MaxFileMB: 64, MaxFiles: 4}
			}
			return t, err
		}
	}
	t, err := load()
	if err != nil {
		return err
	}
	return serve(t, NewLog(os.Stderr).WithField("node", t.Name), stop, reread, load, extra)
}

// serve runs one server until a signal to stop comes, and drains it. On each value of reread, the drain
// included, it takes from load what can change in a running process.
func serve(t Config, log *logrus.Entry, stop, reread <-chan os.Signal, load func() (Config, error), extra Extension) error {
	p := t.Process
	runtime.GOMAXPROCS(int(math.Ceil(p.Cores)))
	debug.SetMemoryLimit(int64(heapFraction * float64(p.MemoryMB) * (1 << 20)))
	if absent := mprpc.RemoveUnsupported(p.Settings); len(absent) > 0 {
		log.WithField("absent", strings.Join(absent, ", ")).Warn("server: not carried by this protocol")
	}
	ln, err := listen(p.Listen, stop, func() { log.WithField("listen", p.Listen).Warn("serve: waits for the address, which is in use") })
	if err == errStopSignal {
		log.Info("serve: told to stop before it began")
		return nil
	}
	if err != nil {
		return err
	}
	x, err := New(t, ln, log, extra)
	if err != nil {
		ln.Close()
		return err
	}
	defer x.Close()
	var latest atomic.Pointer[Config]
	latest.Store(&t)
	go func() {
		for {
			select {
			case <-x.ctx.Done():
				return
			case <-reread:
			}
			next, err := load()
			number := 0
			if err == nil {
				number, err = x.reload(next)
			}
			if err != nil {
				log.WithError(err).Error("reload: the configuration is wrong, the old one stays")
				continue
			}
			if stays := p.RestartOnlyChanges(next.Process); len(stays) > 0 {
				log.WithField("keys", summarize(stays)).Warn("reload: keys that only a new start can change")
			}
			latest.Store(&next)
			x.link.SetAddr(next.Engine)
			x.reporter.SetAddr(x.ctx, next.Members)
			done := log.WithFields(logrus.Fields{"engine": next.Engine, "members": next.Members})
			if next.Operator != nil {
				done = done.WithFields(logrus.Fields{"version": next.Operator.File.Version, "hash": next.Operator.Hash[:12], "number": number})
			}
			done.Info("reload: done")
		}
	}()
	begins := log.WithField("listen", p.Listen)
	if t.Operator != nil {
		begins = begins.WithFields(logrus.Fields{"version": t.Operator.File.Version, "hash": t.Operator.Hash[:12]})
	}
	begins.Info("serve: begins")
	if kept := x.tokenStore; kept != nil {
		select {
		case <-stop:
			x.drain(latest.Load().Process, nil)
			return nil
		case <-kept.ready:
			if kept.err != nil {
				x.table.Shutdown(x.ctx)
				return fmt.Errorf("store: %w", kept.err)
			}
		}
	}
	for {
		select {
		case <-stop:
			x.drain(latest.Load().Process, nil)
			return nil
		case code := <-x.leaveRequests:
			if x.drain(latest.Load().Process, stop) {
				if code != 0 {
					return ExitCode(code)
				}
				return nil
			}
		}
	}
}

// brief names the first few of many keys.
func summarize(keys []string) string {
	const most = 8 // as many as fit a line
	if len(keys) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(keys[:most], ", "), len(keys)-most)
	}
	return strings.Join(keys, ", ")
}

// drain goes on as before for the grace, then lets nothing more in and waits for what is in hand. If stop is not nil it may be
// taken back for as long as the grace lasts, and then returns false; a signal on stop begins it anew, for good.
func (x *Server) drain(p *startup.Process, stop <-chan os.Signal) (over bool) {
	began := time.Now()
	x.lifecycle.draining.Store(true)
	x.Gate.Drain(p.StopTimeout)
	x.log.WithField("ms", p.StopTimeout.Milliseconds()).Info("drain: begins")
	grace := time.Duration(p.Settings.Limits.DrainGrace * float64(time.Millisecond))
	grace = max(0, min(grace, p.StopTimeout-minCompletionTime))
	if stop == nil {
		time.Sleep(grace)
	} else {
		wait := time.NewTimer(grace)
		defer wait.Stop()
		select {
		case <-stop:
			return x.drain(p, nil)
		case told := <-x.cancelRequests:
			x.Gate.CancelDrain()
			x.lifecycle.draining.Store(false)
			x.log.WithField("ms", time.Since(began).Milliseconds()).Info("drain: taken back")
			told <- nil
			return false
		case <-wait.C:
		}
	}
	ctx, end := context.WithDeadline(context.Background(), began.Add(p.StopTimeout-stopMargin))
	defer end()
	x.table.Shutdown(ctx)
	x.log.WithField("ms", time.Since(began).Milliseconds()).WithField("in_hand", x.Gate.InFlight()).Info("drain: over")
	return true
}

// ExitCode is the code with which a process is to end after its drain: what supervises it goes by that.
type ExitCode int

func (e ExitCode) Error() string { return fmt.Sprintf("ends with code %d", int(e)) }

// leaves is Parts.Leave.
func (x *Server) requestLeave(code int) {
	select {
	case x.leaveRequests <- code:
	default: // it has been told
	}
}

// errNotLeaving is what Stay answers if there is nothing to take back, or no longer.
var errNoDrain = errors.New("no drain that could be taken back goes on: none has begun by permit, or its grace is over")

// stay is Parts.CancelDrain.
func (x *Server) cancelDrain() error {
	told := make(chan error, 1)
	select {
	case x.cancelRequests <- told:
		return <-told
	case <-time.After(cancelDrainTimeout):
		return errNoDrain
	}
}

// stayWait is far over what a drain takes from its being asked for to its select.
const cancelDrainTimeout = 100 * time.Millisecond
