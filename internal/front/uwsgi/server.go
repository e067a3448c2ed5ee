// Package uwsgi implements the front for web tiers that speak uwsgi. It identifies the RPC in each message with the
// operator's routes, submits it to the gate that all fronts share, and writes the verdict as an HTTP/1.x response. Each
// connection has one goroutine that reads and detects when the peer leaves. While an RPC is in flight, a second
// goroutine waits for its verdicts.
//
// The package must never decide which RPCs are admitted or run, or pass on an RPC whose method it can't identify.
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

// Server is the front for web tiers. Its connections are held in a front.ConnTable. It is safe for concurrent use.
type Server struct {
	gate  *gate.Gate
	run   gate.Runner
	table *front.ConnTable
	log   *logrus.Entry

	config    atomic.Pointer[config]
	bodyBytes atomic.Int64 // total size of the bodies being read or in flight
	idSeed    uint64
	lastID    atomic.Uint64
}

// config is the part of the operator's file that this front uses. It is immutable. An RPC keeps the config with which
// its message was read.
type config struct {
	routes       *route.Table
	contentTypes []string // of engine results, indexed by rule
	limits       operator.UWSGI
}

// New returns a front that submits RPCs to the gate and has admitted ones run by run. The operator's file must have
// been checked and have a UWSGI part. Open creates the connections. RPC ids are hashes of the seed and a counter.
func New(table *front.ConnTable, g *gate.Gate, run gate.Runner, f *operator.File, seed uint64, log *logrus.Entry) *Server {
	s := &Server{gate: g, run: run, table: table, log: log, idSeed: seed}
	s.Set(f)
	return s
}

// Set replaces the operator's file with another one that has been checked. RPCs that have been read already continue
// with the old one.
func (s *Server) Set(f *operator.File) {
	c := &config{limits: *f.UWSGI}
	rules := f.Rules()
	for _, r := range rules {
		c.contentTypes = append(c.contentTypes, f.Routes[r.Name].Type)
	}
	c.routes = route.New(rules)
	s.config.Store(c)
}

// Open returns the front.Conn for a newly accepted connection.
func (s *Server) Open(nc net.Conn) front.Conn { return newConn(s, nc) }

// newID returns a unique RPC id of 16 hex digits.
func (s *Server) newID() string {
	const oddMultiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio; odd, so that no two counts give the same id
	x := s.lastID.Add(1) * oddMultiplier
	x ^= x >> 32
	id := strconv.FormatUint(x^s.idSeed, 16)
	return "0000000000000000"[len(id):] + id
}

// reserveBody reserves n bytes of the memory for bodies. All connections together may hold limit bytes. If that would
// be exceeded, it reserves nothing and returns false.
func (s *Server) reserveBody(n, limit int64) bool {
	if s.bodyBytes.Add(n) > limit {
		s.bodyBytes.Add(-n)
		return false
	}
	return true
}

func (s *Server) releaseBody(n int64) { s.bodyBytes.Add(-n) }
