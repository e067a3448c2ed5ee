// Package mprpc speaks MessagePack-RPC with the routers: one goroutine a connection that always goes on reading, and
// one beside it for each RPC in hand, which waits for the verdicts of the gate, has the work run and writes the
// answer. A fault on a connection ends there. This package must never decide what is taken or run, and never let a
// caller that reads slowly hold up another.
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

// Server is the front on one table of connections.
type Server struct {
	gate  *gate.Gate
	run   gate.Runner
	table *front.ConnTable
	log   *logrus.Entry

	messageTimeout time.Duration // a first message, and the rest of one that has begun, must come within this
}

// silence is well above the stalls of machines, and well under the 3 s after which a connection that says
// nothing should be gone.
const defaultMessageTimeout = 2 * time.Second

// New returns the front. Its connections are to be made by Open.
func New(table *front.ConnTable, g *gate.Gate, run gate.Runner, log *logrus.Entry) *Server {
	return &Server{gate: g, run: run, table: table, log: log, messageTimeout: defaultMessageTimeout}
}

// Open takes a connection that has just been accepted.
func (s *Server) Open(nc net.Conn) front.Conn { return newConn(s, nc) }

// Absent takes out of o what the protocol of the routers and of the engine can't carry, so that no decision is
// built on it, and names it.
func RemoveUnsupported(config *startup.Config) (names []string) {
	if config.Dependency.ConcurrencyShare > 0 {
		config.Dependency, names = control.Dependency{}, append(names, "calls below")
	}
	if config.Node.Preemption != control.PreemptNone {
		config.Node.Preemption, names = control.PreemptNone, append(names, "stopping of runs")
	}
	if config.Fleet.Feedback != control.FeedbackNone {
		config.Fleet.Feedback, names = control.FeedbackNone, append(names, "a value for callers")
	}
	if config.Fleet.PropagatesDeadline {
		config.Fleet.PropagatesDeadline, names = false, append(names, "the time that a caller waits")
	}
	return names
}
