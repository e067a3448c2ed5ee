// Package mprpc implements the front for routers, which speak MessagePack-RPC. Each connection has one goroutine that
// reads continuously, and one for each RPC in flight, which waits for the verdicts of the gate, has the RPC run and
// writes the response. A failure of one connection does not affect others.
//
// The package must never decide which RPCs are admitted or run, or let a slowly reading caller hold up another one.
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

// defaultMessageTimeout is well above the stalls of a busy machine, and well below the 3 s after which a connection
// that sends nothing should be closed.
const defaultMessageTimeout = 2 * time.Second

// Server is the front for routers. Its connections are held in a front.ConnTable. It is safe for concurrent use.
type Server struct {
	gate  *gate.Gate
	run   gate.Runner
	table *front.ConnTable
	log   *logrus.Entry

	messageTimeout time.Duration // for the first message, and for the rest of a message that has begun
}

// New returns a front that submits RPCs to the gate and has admitted ones run by run. Open creates its connections.
func New(table *front.ConnTable, g *gate.Gate, run gate.Runner, log *logrus.Entry) *Server {
	return &Server{gate: g, run: run, table: table, log: log, messageTimeout: defaultMessageTimeout}
}

// Open returns the front.Conn for a newly accepted connection.
func (s *Server) Open(nc net.Conn) front.Conn { return newConn(s, nc) }

// RemoveUnsupported disables the features in config that the protocols of the routers and the engine don't support, so
// that no decision relies on them. It returns the names of the features that it disabled.
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
