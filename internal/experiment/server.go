package experiment

// This file owns the servers that experiments load: one of this build, put together as the daemon does it, and the
// plain queue that it is compared with. It must never decide anything that the gate decides.

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

// Method is one of a lab's settings. Times are ms.
type Method struct {
	Name              string
	Target, Deadline  float64
	Criticality, Late float64
	Tokened, NonIdem  bool
	Window            float64
}

// Settings are the platform's, as a lab needs them.
func Settings(methods []Method, cores int) (*startup.Config, error) {
	s := fmt.Sprintf("classes.count=%d\nfamily_info.cores=%d\nfamily_info.ram_kb=4000000\nfamily_info.run_factor=4\nfamily_info.key_kb=1\n"+
		"family_info.callers=3\nfamily_info.meters=core_use,on_cores\nrules.tip_multiple=8\nrules.drain_grace=500000000\nrules.answer_slack=80000000\n"+
		"limits.max_retry_after=1000000000\nclient_habits.marks_retry=true\ntick=4000000\n", len(methods), cores)
	for i, m := range methods {
		kind := "read_like"
		if m.Tokened {
			kind = "idempotency_key"
		} else if m.NonIdem {
			kind = "non_idempotent"
		}
		s += fmt.Sprintf("classes.%d.name=%s\nclasses.%d.aim=%g\nclasses.%d.give_up=%g\nclasses.%d.worth=%g\nclasses.%d.late_worth=%g\nclasses.%d.idempotency=%s\nclasses.%d.window=%g\n",
			i, m.Name, i, m.Target*1e6, i, m.Deadline*1e6, i, m.Criticality, i, m.Late, i, kind, i, m.Window*1e6)
	}
	return startup.Parse(s)
}

// Server is one of this build, on loopback.
type Server struct {
	RPC, Web string // addresses
	Gate     *gate.Gate
	Pools    *pools.Backends
	whole    *daemon.Server
}

// NewServer puts a server together before an engine, with what an operator's file sets; its listen address is ignored.
func NewServer(o *startup.Config, engineAddr string, f *operator.File) (*Server, error) {
	return NewKeptServer(o, engineAddr, f, nil, "127.0.0.1:0", "127.0.0.1:0")
}

// NewKeptServer is NewServer at given addresses, with tokens kept by k if that is not nil.
func NewKeptServer(o *startup.Config, engineAddr string, f *operator.File, k gate.TokenStore, rpc, web string) (*Server, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if strings.HasSuffix(web, ":0") { // an operator's file names its port
		var err error
		if web, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	own, at := *f, *f.UWSGI
	at.Listen, own.UWSGI = web, &at
	ln, err := net.Listen("tcp", rpc)
	if err != nil {
		return nil, err
	}
	t := daemon.Config{
		Process:  &startup.Process{Name: "lab", Engine: engineAddr, MemoryMB: 256, Sockets: 4096, Settings: o},
		Operator: &operator.Record{File: own},
	}
	whole, err := daemon.NewWithTokenStore(t, ln, logger.WithField("node", "lab"), k)
	if err != nil {
		ln.Close()
		return nil, err
	}
	s := &Server{RPC: ln.Addr().String(), Web: whole.WebAddress(), Gate: whole.Gate, Pools: whole.Pools(), whole: whole}
	for began := time.Now(); !s.Gate.Started() && time.Since(began) < 5*time.Second; time.Sleep(time.Millisecond) {
	}
	return s, nil
}

// Close ends it once what is in hand has been answered, within a second.
func (s *Server) Close() {
	fin, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	s.whole.Shutdown(fin)
	s.whole.Close()
}

// File is an operator's file with the defaults of its schema, as far as a lab needs them, and a POST route to
// /METHOD for each method.
func File(methods []Method) *operator.File {
	f := &operator.File{Version: "lab", Routes: map[string]operator.Route{}, UWSGI: &operator.UWSGI{
		Listen: "127.0.0.1:1", KeepAlive: "asked", MaxHeaderBytes: 16384, MaxVariables: 128, MaxPathBytes: 4096, MaxBodyBytes: 65536, BodyMemoryKB: 65536,
		ReadTimeoutMs: 2000, BodyTimeoutMs: 5000, QueuedKB: 24.5,
	}}
	for _, m := range methods {
		r := operator.Route{Path: "/" + m.Name, Verb: "POST", Method: m.Name, Type: "application/octet-stream",
			Caller: &operator.Source{Variable: "REMOTE_ADDR"}, Hint: &operator.Source{Variable: "WORK_MS"}, Retry: &operator.Source{Variable: "SECOND"},
			Subject: &operator.Source{Variable: "SUBJECT"}}
		if m.Tokened {
			r.Token = &operator.Source{Variable: "HTTP_IDEMPOTENCY_KEY"}
		}
		f.Routes[m.Name] = r
	}
	return f
}

// Pool is a pool with the defaults of the schema.
func Pool(members ...string) operator.Pool {
	return operator.Pool{Members: members, MaxConnections: 32, MaxQueued: 64, QueueTimeoutMs: 100, ConnectTimeoutMs: 250, MaxAnswerBytes: 262144,
		MaxFailures: 5, OutlierFactor: 4, MinShare: 0.5, EjectionMs: 2000, RecoveryMs: 5000, Retry: operator.Retry{Share: 0.1, Floor: 1, MaxAttempts: 3}}
}

// Queue is the plain alternative to the gate: all that comes waits in one line, of a bounded length, for one of some
// runs; what does not fit is turned away. It has no deadlines, no order but that of arrival, and joins tokens.
type Queue struct {
	gate.Runner
	line chan queued
	mu   sync.Mutex
	seen map[string]*entry
}

type queued struct {
	w    gate.RunRequest
	done func(gate.Outcome, float64, []byte, []byte)
}

type entry struct {
	over   bool
	result []byte
	how    gate.Outcome
	join   []func(gate.Outcome, float64, []byte, []byte)
}

// NewQueue returns a queue of a length before a runner of some places.
func NewQueue(run gate.Runner, places, length int) *Queue {
	q := &Queue{line: make(chan queued, length), seen: map[string]*entry{}}
	for range places {
		go func() {
			for w := range q.line {
				over := make(chan struct{})
				run(w.w, func(how gate.Outcome, spent float64, head, result []byte) {
					w.done(how, spent, head, result)
					close(over)
				})
				<-over
			}
		}()
	}
	return q
}

// Close ends it once the line is empty.
func (q *Queue) Close() { close(q.line) }

// Run puts one into the line, or joins it to one of the same token; false if there is no room.
func (q *Queue) Run(w gate.RunRequest, token string, done func(gate.Outcome, float64, []byte, []byte)) bool {
	if token != "" {
		q.mu.Lock()
		if e := q.seen[token]; e != nil {
			if e.over {
				q.mu.Unlock()
				done(e.how, 0, nil, e.result)
				return true
			}
			e.join = append(e.join, done)
			q.mu.Unlock()
			return true
		}
		e := &entry{}
		q.seen[token] = e
		q.mu.Unlock()
		first := done
		done = func(how gate.Outcome, spent float64, head, result []byte) {
			q.mu.Lock()
			e.over, e.how, e.result = true, how, result
			join := e.join
			q.mu.Unlock()
			first(how, spent, head, result)
			for _, d := range join {
				d(how, spent, head, result)
			}
		}
	}
	select {
	case q.line <- queued{w, done}:
		return true
	default:
		q.mu.Lock()
		delete(q.seen, token)
		q.mu.Unlock()
		return false
	}
}
