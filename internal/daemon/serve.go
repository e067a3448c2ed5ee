// Package daemon assembles the parts of a server and manages their life cycle from the first log line to the exit. The
// commands that serve RPCs share it, and one of them adds a part through an Extension; the servers of experiments are
// assembled by the same code. It must never hold state that belongs to a part, nor depend on a part's internals.
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
	// heapFraction is the share of the memory limit that the garbage collector may use. The rest is for stacks, the program
	// itself and kernel buffers that are accounted to the process.
	heapFraction = 0.6
	bytesPerMB   = 1 << 20
	// hashDigits is the number of logged digits of the hash of an operator's record.
	hashDigits = 12
	// maxLoggedKeys is the maximum number of keys on a log line.
	maxLoggedKeys = 8
)

// process runs one server from its configuration to its exit.
type process struct {
	config    Config // at the start
	log       *logrus.Entry
	stop      <-chan os.Signal // signals to drain and exit
	reload    <-chan os.Signal // signals to reload the configuration, also during a drain
	load      loader
	extension Extension // nil if the command adds nothing

	server *Server
	latest atomic.Pointer[Config] // the current configuration
}

// serve runs the server until a signal to stop arrives or a drain is requested, and drains it.
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

// runUntilStopped waits until the token store is open, and then until the server has drained.
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
		case code := <-p.server.drainRequests:
			if !p.server.drain(p.latest.Load().Process, p.stop) {
				continue // the drain was cancelled
			}
			if code != 0 {
				return ExitCode(code)
			}
			return nil
		}
	}
}

// recordFields returns the log fields that identify an operator's record; there are none if r is nil.
func recordFields(r *operator.Record) logrus.Fields {
	if r == nil {
		return nil
	}
	return logrus.Fields{"version": r.File.Version, "hash": r.Hash[:hashDigits]}
}
