// Package daemon puts the parts of a server together and manages their life cycle from the first log line to the exit. It
// is what the commands that serve have in common, and has a place for what one of them adds; the servers of experiments
// are put together by the same code. It must never hold anything that a part could own, nor know what a part does inside.
package daemon

import (
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/operator"
)

const (
	// heapFraction of the memory is the collector's limit; the rest is for stacks, the program itself and the kernel's
	// buffers that count as ours.
	heapFraction = 0.6
	bytesPerMB   = 1 << 20
	// hashDigits of the hash of an operator's record are logged.
	hashDigits = 12
	// maxLoggedKeys are as many keys as fit a line of the log.
	maxLoggedKeys = 8
)

// process runs one server from its configuration to its exit.
type process struct {
	config    Config // at the start
	log       *logrus.Entry
	stop      <-chan os.Signal // has it drain and end
	reload    <-chan os.Signal // has it load the configuration anew, during a drain as well
	load      loader
	extension Extension // nil if the command adds nothing

	server *Server
	latest atomic.Pointer[Config] // the configuration in force
}

// serve runs the server until a signal to stop comes, and drains it.
func (p *process) serve() error {
	runtime.GOMAXPROCS(int(math.Ceil(p.config.Cores)))
	debug.SetMemoryLimit(int64(heapFraction * float64(p.config.MemoryMB) * bytesPerMB))
	if absent := mprpc.RemoveUnsupported(p.config.Settings); len(absent) > 0 {
		p.log.WithField("absent", strings.Join(absent, ", ")).Warn("server.settings_unsupported")
	}
	ln, err := listen(p.config.Listen, p.stop, func() {
		p.log.WithField("listen", p.config.Listen).Warn("server.address_in_use")
	})
	if errors.Is(err, errStopSignal) {
		p.log.Info("server.stopped_before_start")
		return nil
	}
	if err != nil {
		return err
	}
	p.server, err = New(Options{Config: p.config, Listener: ln, Log: p.log, Extension: p.extension})
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	defer p.server.Close()
	p.latest.Store(&p.config)
	p.server.runPart(p.reloadOnSignal)
	p.log.WithField("listen", p.config.Listen).WithFields(recordFields(p.config.Operator)).Info("server.started")
	return p.runUntilStopped()
}

// runUntilStopped waits for the token store and then for the end of the server.
func (p *process) runUntilStopped() error {
	if tokens := p.server.tokenStore; tokens != nil {
		select {
		case <-p.stop:
			p.server.drain(p.latest.Load().Process, nil)
			return nil
		case <-tokens.ready:
			if tokens.err != nil {
				p.server.table.Shutdown(p.server.ctx)
				return fmt.Errorf("store: %w", tokens.err)
			}
		}
	}
	for {
		select {
		case <-p.stop:
			p.server.drain(p.latest.Load().Process, nil)
			return nil
		case code := <-p.server.leaveRequests:
			if !p.server.drain(p.latest.Load().Process, p.stop) {
				continue // it was cancelled
			}
			if code != 0 {
				return ExitCode(code)
			}
			return nil
		}
	}
}

// recordFields are the fields of the log that name an operator's record; none if it is nil.
func recordFields(r *operator.Record) logrus.Fields {
	if r == nil {
		return nil
	}
	return logrus.Fields{"version": r.File.Version, "hash": r.Hash[:hashDigits]}
}
