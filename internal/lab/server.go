package lab

// This file owns the servers that experiments load: one of this build, put together as the daemon does it, and the
// plain queue that it is compared with. It must never decide anything that the gate decides.

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/control"
	"sorrelvalve/internal/back/engine"
	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/front/uwsgi"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/opening"
	"sorrelvalve/internal/operator"
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
func Settings(methods []Method, cores int) (*opening.Opening, error) {
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
	return opening.Parse(s)
}

// Server is one of this build, on loopback.
type Server struct {
	RPC, Web string // addresses
	Gate     *gate.Gate
	Pools    *pools.Backs
	end      func()
}

// NewServer puts a server together before an engine, with what an operator's file sets; its listen address is ignored.
func NewServer(o *opening.Opening, engineAddr string, f *operator.File) (*Server, error) {
	return NewKeptServer(o, engineAddr, f, nil, "127.0.0.1:0", "127.0.0.1:0")
}

// NewKeptServer is NewServer at given addresses, with tokens kept by k if that is not nil.
func NewKeptServer(o *opening.Opening, engineAddr string, f *operator.File, k gate.Keeper, rpc, web string) (*Server, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("node", "lab")
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{Gate: gate.New(o, 256, func(string, string) {}), Pools: pools.New(1, log)}
	if k != nil {
		s.Gate.Keep(k)
	}
	link := engine.New(engineAddr, log, s.Gate.Start)
	table := front.NewTable(4096, s.Gate.Idle, log)
	s.Pools.Set(f)
	run := s.Pools.Runner(link.Runner(), func(name string) bool {
		i := slices.IndexFunc(o.Methods, func(m control.Method) bool { return m.Name == name })
		return i >= 0 && o.Methods[i].Repeat == control.Idempotent
	})
	listen := func(addr string, open func(net.Conn) front.Conn) (string, error) {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return "", err
		}
		table.Listen(ln.(*net.TCPListener), open)
		return ln.Addr().String(), nil
	}
	var err error
	if s.RPC, err = listen(rpc, mprpc.New(table, s.Gate, run, log).Open); err == nil {
		s.Web, err = listen(web, uwsgi.New(table, s.Gate, run, f, 1, log).Open)
	}
	go link.Serve(ctx)
	go s.Pools.Serve(ctx)
	go func() {
		for wait := time.NewTimer(0); ; {
			select {
			case <-ctx.Done():
				return
			case <-wait.C:
			}
			wait.Reset(s.Gate.Tick(link.Gauges(10 * time.Millisecond)))
		}
	}()
	s.end = func() {
		fin, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		table.Finish(fin)
		cancel()
	}
	for began := time.Now(); !s.Gate.Started() && time.Since(began) < 5*time.Second; time.Sleep(time.Millisecond) {
	}
	return s, err
}

// Close ends it.
func (s *Server) Close() { s.end() }

// File is an operator's file with the defaults of its schema, as far as a lab needs them, and a POST route to
// /METHOD for each method.
func File(methods []Method) *operator.File {
	f := &operator.File{Version: "lab", Routes: map[string]operator.Route{}, UWSGI: &operator.UWSGI{
		Listen: "127.0.0.1:1", Keep: "asked", BlockBytes: 16384, Variables: 128, PathBytes: 4096, BodyBytes: 65536, BodiesKB: 65536,
		SilenceMs: 2000, BodyMs: 5000, HeldKB: 24.5,
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
	return operator.Pool{Members: members, Connections: 32, Waiting: 64, WaitMs: 100, ConnectMs: 250, AnswerBytes: 262144,
		Failures: 5, Outlier: 4, MinShare: 0.5, EjectMs: 2000, ReturnMs: 5000, Retry: operator.Retry{Share: 0.1, Floor: 1, Most: 3}}
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
	w    gate.Work
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
func (q *Queue) Run(w gate.Work, token string, done func(gate.Outcome, float64, []byte, []byte)) bool {
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
