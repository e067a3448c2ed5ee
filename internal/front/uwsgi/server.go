// Package uwsgi is the front for web tiers that speak uwsgi. It identifies the RPC in each of their messages by the
// operator's routes, passes it through the same gate as all others, and writes the verdict as an HTTP/1.x response. Each
// connection has one goroutine that reads and watches for a peer that leaves; beside it one waits for the verdicts while
// an RPC is in flight.
//
// The package must never decide what is admitted or run, nor pass on an RPC whose method it can't identify.
package uwsgi

import (
	"net"
	"strconv"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/route"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// Server is the front on one table of connections. It is safe for concurrent use.
type Server struct {
	gate  *gate.Gate
	run   gate.Runner
	table *front.ConnTable
	log   *logrus.Entry

	config    atomic.Pointer[config]
	bodyBytes atomic.Int64 // of bodies that are being read or in flight
	idSeed    uint64
	lastID    atomic.Uint64
}

// config is what the operator's file sets here; it is immutable. An RPC keeps the one that it was read under.
type config struct {
	routes       *route.Table
	contentTypes []string // of engine results, by rule
	limits       operator.UWSGI
}

// New returns the front for an operator's file that has been checked and has a UWSGI part. run has the work of an RPC
// run; the connections are made by Open. The ids of its RPCs are hashes of the seed and a count.
func New(table *front.ConnTable, g *gate.Gate, run gate.Runner, f *operator.File, seed uint64, log *logrus.Entry) *Server {
	s := &Server{gate: g, run: run, table: table, log: log, idSeed: seed}
	s.Set(f)
	return s
}

// Set replaces the operator's file by another one that has been checked. RPCs that have been read go on under the old
// one.
func (s *Server) Set(f *operator.File) {
	c := &config{limits: *f.UWSGI}
	rules := f.Rules()
	for _, r := range rules {
		c.contentTypes = append(c.contentTypes, f.Routes[r.Name].Type)
	}
	c.routes = route.New(rules)
	s.config.Store(c)
}

// Open makes a front.Conn of a connection that has just been accepted.
func (s *Server) Open(nc net.Conn) front.Conn { return newConn(s, nc) }

// newID returns an id of 16 hex digits that no other attempt has.
func (s *Server) newID() string {
	const oddMultiplier = 0x9e3779b97f4a7c15 // 2^64 over the golden ratio; odd, so that no two counts meet
	x := s.lastID.Add(1) * oddMultiplier
	x ^= x >> 32
	id := strconv.FormatUint(x^s.idSeed, 16)
	return "0000000000000000"[len(id):] + id
}

// reserveBody takes n bytes of the memory for bodies, of which all connections may hold limit together. It reports
// false, and takes nothing, if they would exceed that.
func (s *Server) reserveBody(n, limit int64) bool {
	if s.bodyBytes.Add(n) > limit {
		s.bodyBytes.Add(-n)
		return false
	}
	return true
}

func (s *Server) releaseBody(n int64) { s.bodyBytes.Add(-n) }
