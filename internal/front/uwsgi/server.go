// Package uwsgi is the front for web tiers that speak uwsgi: it makes RPCs of their messages by the operator's routes,
// passes them through the same gate as all others, and writes the verdicts as HTTP/1.x answers. One goroutine a
// connection reads and watches for a peer that leaves; one beside it waits for the verdicts while an RPC is in hand.
// The package must never decide what is taken or run, nor hand on an RPC that it can't tell the method of.
package uwsgi

import (
	"net"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/route"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// Server is the front on one table of connections.
type Server struct {
	gate  *gate.Gate
	run   gate.Runner
	table *front.ConnTable
	log   *logrus.Entry

	config    atomic.Pointer[config]
	bodyBytes atomic.Int64 // bytes of bodies that are being read or in hand
	idSeed    uint64
	lastID    atomic.Uint64
}

// view is what an operator's file sets here. An RPC keeps the one it was read under.
type config struct {
	routes       *route.Table
	contentTypes []string // of engine results, by the place of the rule
	limits       operator.UWSGI
}

// New returns the front for a file that has been checked and has a UWSGI part. Its connections are to be made by Open.
// The ids of its RPCs are hashes of the seed and a count.
func New(table *front.ConnTable, g *gate.Gate, run gate.Runner, f *operator.File, seed uint64, log *logrus.Entry) *Server {
	s := &Server{gate: g, run: run, table: table, log: log, idSeed: seed}
	s.Set(f)
	return s
}

// Set takes a new file, which has been checked. What has been read goes on under the old one.
func (s *Server) Set(f *operator.File) {
	v := &config{limits: *f.UWSGI}
	rules := f.Rules()
	for _, r := range rules {
		v.contentTypes = append(v.contentTypes, f.Routes[r.Name].Type)
	}
	v.routes = route.New(rules)
	s.config.Store(v)
}

// Open takes a connection that has just been accepted.
func (s *Server) Open(nc net.Conn) front.Conn { return newConn(s, nc) }

// newID is an id that no other try has.
func (s *Server) newID() string {
	x := s.lastID.Add(1) * 0x9e3779b97f4a7c15 // odd, so that no two counts meet
	x ^= x >> 32
	id := strconv.FormatUint(x^s.idSeed, 16)
	return "0000000000000000"[len(id):] + id
}

// message is what a block of variables says.
type request struct {
	route.Message
	bodyLength int // of the body
	keepAlive  bool
}

// wrong is a message that makes no sense here, and how it is answered.
type requestError struct {
	status int
	reason string
	allow  []string // 405
}

func (w *requestError) Error() string { return w.reason }

// understand reads the variables that say what a message is. What they say of the RPC is for the routes.
func (v *config) parseRequest(m *request) *requestError {
	get := func(name string) string { s, _ := m.Variables.Get(name); return s }
	m.Verb = get("REQUEST_METHOD")
	if m.Verb == "" {
		return &requestError{status: 400, reason: "REQUEST_METHOD: a verb expected, none there"}
	}
	target := get("REQUEST_URI")
	m.Path, m.Query = get("PATH_INFO"), get("QUERY_STRING")
	if m.Path == "" {
		var query string
		m.Path, query, _ = strings.Cut(target, "?")
		if m.Query == "" {
			m.Query = query
		}
	}
	if len(target) > v.limits.MaxPathBytes || len(m.Path)+len(m.Query) > v.limits.MaxPathBytes {
		return &requestError{status: 414, reason: "the path is longer than " + strconv.Itoa(v.limits.MaxPathBytes) + " bytes"}
	}
	if !isCleanPath(m.Path) {
		return &requestError{status: 400, reason: "the path: one from / without empty, . and .. segments expected"}
	}
	if m.Host = get("HTTP_HOST"); m.Host == "" {
		m.Host = get("SERVER_NAME")
	}
	m.Host = strings.ToLower(trimPort(m.Host))
	if !isKnownVerb(m.Verb) {
		return &requestError{status: 405, reason: "the verb is not taken", allow: route.Verbs}
	}
	switch s := get("CONTENT_LENGTH"); {
	case s != "":
		n, err := strconv.ParseUint(s, 10, 31)
		if err != nil {
			return &requestError{status: 400, reason: "CONTENT_LENGTH: a number of bytes expected"}
		}
		m.bodyLength = int(n)
	case get("HTTP_TRANSFER_ENCODING") != "" || m.Verb == "POST" || m.Verb == "PUT" || m.Verb == "PATCH":
		return &requestError{status: 411, reason: "CONTENT_LENGTH: the length of the body expected, none there"}
	}
	if m.bodyLength > v.limits.MaxBodyBytes {
		return &requestError{status: 413, reason: "the body is longer than " + strconv.Itoa(v.limits.MaxBodyBytes) + " bytes"}
	}
	switch v.limits.KeepAlive {
	case "always":
		m.keepAlive = true
	case "asked":
		m.keepAlive = get("VALVE_KEEP") == "1"
	}
	return nil
}

func isKnownVerb(verb string) bool {
	for _, v := range route.Verbs {
		if v == verb {
			return true
		}
	}
	return false
}

// cleanPath tells whether a path says one thing to every reader.
func isCleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.IndexByte(p, 0) >= 0 {
		return false
	}
	for rest, more := p[1:], true; more; {
		var s string
		s, rest, more = strings.Cut(rest, "/")
		if s == "" && more || s == "." || s == ".." {
			return false
		}
	}
	return true
}

func trimPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
