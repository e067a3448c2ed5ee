// Package mprpc is the front for routers, which speak MessagePack-RPC. Each connection has one goroutine that always goes
// on reading, and beside it one for each RPC in flight, which waits for the verdicts of the gate, has the work run and
// writes the response. A fault of a connection ends there.
//
// The package must never decide what is admitted or run, and never let a caller that reads slowly hold up another.
package mprpc

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/control"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/startup"
)

// defaultMessageTimeout is well above the stalls of machines, and well under the 3 s after which a connection that sends
// nothing should be gone.
const defaultMessageTimeout = 2 * time.Second

// Server is the front on one table of connections. It is safe for concurrent use.
type Server struct {
	gate  *gate.Gate
	run   gate.Runner
	table *front.ConnTable
	log   *logrus.Entry

	messageTimeout time.Duration // for a first message, and for the rest of one that has begun
}

// New returns the front. run has the work of an RPC run; the connections are made by Open.
func New(table *front.ConnTable, g *gate.Gate, run gate.Runner, log *logrus.Entry) *Server {
	return &Server{gate: g, run: run, table: table, log: log, messageTimeout: defaultMessageTimeout}
}

// Open makes a front.Conn of a connection that has just been accepted.
func (s *Server) Open(nc net.Conn) front.Conn { return newConn(s, nc) }

// RemoveUnsupported disables in config what the protocols of the routers and of the engine can't carry, so that no
// decision relies on it, and returns the names of what it disabled.
func RemoveUnsupported(config *startup.Config) (names []string) {
	if config.Dependency.ConcurrencyShare > 0 {
		config.Dependency = control.Dependency{}
		names = append(names, "calls below")
	}
	if config.Node.Preemption != control.PreemptNone {
		config.Node.Preemption = control.PreemptNone
		names = append(names, "stopping of runs")
	}
	if config.Fleet.Feedback != control.FeedbackNone {
		config.Fleet.Feedback = control.FeedbackNone
		names = append(names, "a value for callers")
	}
	if config.Fleet.PropagatesDeadline {
		config.Fleet.PropagatesDeadline = false
		names = append(names, "the time that a caller waits")
	}
	return names
}
