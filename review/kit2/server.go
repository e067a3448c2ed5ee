package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sorrelvalve/internal/standin"
)

// portalSettings are those of the configuration in README.md, with a customer and without a quota that binds.
const portalSettings = `{"classes":[
{"name":"account-view","aim":1800000000,"give_up":4500000000,"idempotency":"read_like","worth":1.0,"late_worth":0.2},
{"name":"topup-buy","aim":1800000000,"give_up":4500000000,"idempotency":"idempotency_key","worth":3.0,"window":13584000000}],
"customers":[{"name":"kaipara-wireless","quota_rps":1000.0}],"client_habits":{"marks_retry":true},
"family_info":{"callers":3,"cores":6,"ram_kb":2000000.0,"run_factor":16.0,"key_kb":84.55,"heeded":1000000000,
"idle":30000000000,"meters":["core_use","on_cores"]},
"limits":{"retry_after":true,"max_retry_after":1000000000},"over_share_worth":0.1,"replicas_of_me":2,
"rules":{"answer_slack":80000000,"cold":17000000000,"drain_grace":2500000000,"start_capacity":0.21,"tip_multiple":8.0},
"tick":4000000}`

const (
	deadline    = 4500 * time.Millisecond // give_up of portalSettings
	keyedMethod = "topup-buy"
)

// server is one server of the fleet with its engine.
type server struct {
	stage     *stage
	name      string
	listen    string
	gossip    string
	socket    string
	folder    string                                    // that keeps the released version; "" for none
	program   string                                    // of bin/
	advertise string                                    // where peers reach it, if not at gossip
	noteCall  func(sent time.Time, reply standin.Reply) // of each RPC; nil for none
	engine    *standin.Engine
	process   *process
	router    *standin.Router
}

// newServer starts the engine and the membership service of a server, and writes its configuration.
func (s *stage) newServer(name string) (*server, error) {
	v := &server{stage: s, name: name, program: "valvefleet", socket: s.path(name + ".sock")}
	cores := standin.NewCores(6, 8)
	s.onClose(cores.Close)
	engine, err := standin.NewEngine(cores, standin.WorkFromBody, nil)
	if err != nil {
		return nil, err
	}
	s.onClose(engine.Close)
	v.engine = engine
	members := s.members
	if members == "" {
		addr, stop, err := standin.StartMembershipService()
		if err != nil {
			return nil, err
		}
		s.onClose(stop)
		members = addr
	}
	if err := s.freeAddresses(&v.listen, &v.gossip); err != nil {
		return nil, err
	}
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"engine":%q,"members":%q,"seed":"8c1f30d27a5be964","stop_ms":3200,`+
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`, name, v.listen, engine.Addr(), members, portalSettings)
	if err := s.write(name+".json", config); err != nil {
		return nil, err
	}
	v.router = standin.NewRouter(v.listen)
	s.onClose(v.router.Close)
	return v, nil
}

// fleetPart is the fleet section of a server's file.
func (v *server) fleetPart(seeds, keepers string) string {
	text := fmt.Sprintf("fleet: {name: \"portal\", listen: %q, seeds: [%s], socket: %q", v.gossip, seeds, v.socket)
	if keepers != "" {
		text += fmt.Sprintf(", keepers: [%s]", keepers)
	}
	if v.advertise != "" {
		text += fmt.Sprintf(", advertise: %q", v.advertise)
	}
	if v.folder != "" {
		text += fmt.Sprintf(", folder: %q", v.folder)
	}
	return text + "}\n"
}

// compile has valvectl compile the operator's file to the record that the server reads.
func (v *server) compile(cue string) error {
	name := v.name + ".cue"
	if err := v.stage.write(name, "package sorrelvalve\n"+cue); err != nil {
		return err
	}
	v.stage.note("operator's file of %s:\n%s", v.name, cue)
	_, err := v.stage.command("valvectl", "compile", v.stage.path(name), "--settings", v.stage.path(v.name+".json"), "-o", v.stage.path(v.name+".record"))
	return err
}

// start starts the server and waits until it serves.
func (v *server) start() (err error) {
	attached := 0
	if v.process != nil { // the log of its earlier start goes on
		attached = v.process.logged("engine.attached")
	}
	env := []string{"EDGE_CONFIG=" + v.stage.path(v.name+".json")}
	v.process, err = v.stage.start(v.name, env, v.program, "serve", "--operator", v.stage.path(v.name+".record"))
	if err != nil {
		return err
	}
	return v.stage.waitLogged(v.process, "engine.attached", attached+1)
}

// reload sends SIGHUP and waits until the server has taken its new files.
func (v *server) reload() error {
	before := v.process.logged("reload.completed")
	if err := v.stage.signal(v.process, sighup); err != nil {
		return err
	}
	return v.stage.waitLogged(v.process, "reload.completed", before+1)
}

// load sends RPCs to one server at a rate until stop is called.
type load struct {
	rate   atomic.Int64 // a second
	cancel context.CancelFunc
	done   sync.WaitGroup
	ok     atomic.Int64
	failed atomic.Int64
	sent   atomic.Int64
}

var lastRPC atomic.Int64

// startLoad sends RPCs of a method at even distances.
func (v *server) startLoad(method string, rate int64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	l.rate.Store(rate)
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		next := time.Now()
		for ctx.Err() == nil {
			rate := l.rate.Load()
			if rate == 0 {
				time.Sleep(pollInterval)
				next = time.Now()
				continue
			}
			next = next.Add(time.Second / time.Duration(rate))
			time.Sleep(time.Until(next))
			l.done.Add(1)
			go func() {
				defer l.done.Done()
				v.call(l, method)
			}()
		}
	}()
	v.stage.onClose(l.stop)
	return l
}

// stop ends the load and waits for the answers.
func (l *load) stop() {
	l.cancel()
	l.done.Wait()
}

// call makes one RPC and notes its answer.
func (v *server) call(l *load, method string) {
	id := lastRPC.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	l.sent.Add(1)
	v.stage.note("sent #%d %s to %s", id, method, v.name)
	call := standin.Call{Method: method, Customer: "kaipara-wireless", Caller: int(id % 3), Body: fmt.Appendf(nil, "#%d", id)}
	if method == keyedMethod {
		call.Token = fmt.Sprintf("%032x", id)
	} else {
		call.Subject = uint64(id)
	}
	sent := time.Now()
	reply := v.router.Call(ctx, call)
	if v.noteCall != nil {
		v.noteCall(sent, reply)
	}
	v.stage.note("answered #%d: %s %s", id, reply.Outcome, reply.Reason)
	if reply.Outcome == standin.OK {
		l.ok.Add(1)
	} else {
		l.failed.Add(1)
	}
}
