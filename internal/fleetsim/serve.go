package fleetsim

// This file owns a server's gate and engine on the virtual clock. The gate is the one that the daemon runs; the engine is a
// machine whose cores are shared evenly by all that runs. It must never answer an RPC in the gate's place.

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/startup"
)

// serving is what a server has for RPCs.
type serving struct {
	gate    *gate.Gate
	tickets []inHand // in the order of their arrival
	jobs    []job
	passed  float64 // world's ms up to which the jobs have been worked on
	version int32   // of the next end
	use     float64 // of the cores, of late
	speed   float64
	fails   float64 // part of the runs
	overdue int
	done    []inHand
}

type inHand struct {
	t    *gate.Ticket
	rpc  int32
	try  int32
	owed float64 // world's ms by which it must be answered
}

type job struct {
	inHand
	left float64 // ms of one core
}

// methods of a world: a read, a write and a purchase.
var methodNames = [3]string{"account-view", "settings-save", "topup-buy"}

var (
	methodShare = [3]float64{0.5, 0.35, 0.15}
	methodWorth = [3]float64{1, 1, 3}
)

const (
	targetMs   = 400.0
	deadlineMs = 1200.0
	windowMs   = 8000.0
	slackMs    = 80.0
	graceMs    = 500.0
	stopMs     = 3000.0
	useTime    = 250.0
)

// settings are the platform's, for a world's servers.
func (o *Options) settings() *startup.Config {
	s := fmt.Sprintf("classes.count=3\nfamily_info.cores=%d\nfamily_info.ram_kb=4000000\nfamily_info.run_factor=4\nfamily_info.key_kb=1\n"+
		"family_info.callers=3\nfamily_info.meters=core_use,on_cores\nrules.tip_multiple=8\nrules.drain_grace=%g\nrules.answer_slack=%g\n"+
		"limits.max_retry_after=1000000000\nclient_habits.marks_retry=true\ntick=4000000\nrules.cold=%g\nreplicas_of_me=%d\n",
		max(1, o.Cores), graceMs*1e6, slackMs*1e6, max(1, o.SlowStartMs)*1e6, o.Servers)
	for i, name := range methodNames {
		kind := "read_like"
		if i == 2 {
			kind = "idempotency_key"
		}
		s += fmt.Sprintf("classes.%d.name=%s\nclasses.%d.aim=%g\nclasses.%d.give_up=%g\nclasses.%d.worth=%g\nclasses.%d.late_worth=0.2\nclasses.%d.idempotency=%s\nclasses.%d.window=%g\n",
			i, name, i, targetMs*1e6, i, deadlineMs*1e6, i, methodWorth[i], i, i, kind, i, windowMs*1e6)
	}
	p, err := startup.Parse(s)
	if err != nil {
		panic(err) // a fault of this file, found by its first test
	}
	return p
}

func (w *Simulation) beginServing(s *server) {
	if w.o.RatePerServer <= 0 {
		return
	}
	if s.speed == 0 {
		s.speed = 1
	}
	s.jobs, s.tickets, s.passed, s.use = s.jobs[:0], s.tickets[:0], w.now, 0
	p := w.told
	if p == nil {
		p = w.o.settings()
		w.told = p
	}
	own := *p
	own.Node.Seed = s.chance.Uint64()
	s.gate = gate.New(&own, 64, func(text, detail string) {
		if text == "gate: an RPC was overdue" {
			s.overdue++
		}
	})
	s.gate.UseClock(func() time.Time { return time.UnixMilli(0).Add(time.Duration(w.wallOf(s) * 1e6)) })
	s.gate.Start(w.o.SlowStartMs > 0 && w.now > 0, 0) // those of the beginning are warm
	w.after(s, 40*s.chance.Float64(), evGateTick, 0, 0)
}

func (w *Simulation) endServing(s *server) {
	s.jobs, s.tickets, s.version = s.jobs[:0], s.tickets[:0], s.version+1
	s.gate = nil
}

func (w *Simulation) wakeServing(s *server) {
	if s.gate != nil {
		w.look(s)
		w.readHeld(s)
	}
}

// drains is SIGTERM: the gate drains, the fleet hears it, and at the stop the process ends.
func (w *Simulation) drains(s *server) {
	if !s.up || s.draining {
		return
	}
	s.draining, s.stopAt = true, w.now+stopMs
	if s.gate != nil {
		s.gate.Drain(time.Duration(stopMs * 1e6))
		w.look(s)
	}
	w.queue.put(event{at: s.stopAt, kind: evStop, who: -1, a: s.i, life: s.life})
}

// stops is a drained server at its stop: all must have been answered.
func (w *Simulation) stops(s *server, life uint32) {
	if s.life != life || !s.up {
		return
	}
	if n := len(s.tickets); n > 0 && !s.stopped {
		w.AddFinding("rules", "%s stops with %d RPCs unanswered", s.name, n)
	}
	w.drained++
	for i := range w.servers { // it says good-bye to those that it reaches
		if o := &w.servers[i]; o.up && !o.stopped && o != s && w.wire.open(s.i, o.i) {
			w.dies(o, s.i, s.det.inc, left, s.i)
		}
	}
	w.fall(s)
}

func (w *Simulation) gateTick(s *server) {
	if s.gate == nil {
		return
	}
	w.work(s)
	wait := s.gate.Tick([]float64{s.use, float64(len(s.jobs))})
	w.after(s, float64(wait)/1e6, evGateTick, 0, 0)
	w.look(s)
}

// work brings the jobs up to now: each has an even part of the cores.
func (w *Simulation) work(s *server) {
	dt := w.now - s.passed
	s.passed = w.now
	if dt <= 0 {
		return
	}
	n := float64(len(s.jobs))
	cores := float64(w.o.Cores)
	busy := math.Min(1, n/cores)
	s.use += (busy - s.use) * (1 - math.Exp(-dt/useTime))
	if n == 0 {
		return
	}
	each := dt * s.speed * math.Min(1, cores/n)
	for i := range s.jobs {
		s.jobs[i].left -= each
	}
}

// arm sets the next end of a job.
func (w *Simulation) arm(s *server) {
	s.version++
	if len(s.jobs) == 0 {
		return
	}
	least := s.jobs[0].left
	for i := range s.jobs {
		least = math.Min(least, s.jobs[i].left)
	}
	n := float64(len(s.jobs))
	each := s.speed * math.Min(1, float64(w.o.Cores)/n)
	w.queue.put(event{at: w.now + math.Max(0, least)/math.Max(each, 1e-9), kind: evEngine, who: s.i, a: s.version, life: s.life})
}

func (w *Simulation) engineDone(s *server, version int32) {
	if version != s.version || s.gate == nil {
		return
	}
	w.work(s)
	for i := 0; i < len(s.jobs); {
		j := s.jobs[i]
		if j.left > 1e-6 {
			i++
			continue
		}
		s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
		if !s.stopped {
			j.t.Report(w.outcome(s), 0, nil)
		} else {
			s.done = append(s.done, j.inHand)
		}
	}
	w.arm(s)
	if !s.stopped {
		w.look(s)
	}
}

// outcome is how a run ends.
func (w *Simulation) outcome(s *server) gate.Outcome {
	if s.fails > 0 && s.chance.Float64() < s.fails {
		return gate.Failed
	}
	return gate.Succeeded
}

// read has a server take an RPC.
func (w *Simulation) read(s *server, rpc int32, try int32) {
	r := &w.rpcs[rpc]
	in := gate.RPC{
		ID: strconv.FormatInt(int64(r.id)<<8|int64(try), 36), Method: methodNames[r.method], Caller: uint16(r.router%3 + 1),
		Subject: uint64(r.id%5000 + 1), Door: w.wallOf(s), Hint: r.work, HeldKB: 16, Retry: try > 1, Body: r.body[:],
	}
	if r.method == 2 {
		in.Token, in.Subject = strconv.FormatInt(int64(r.token), 36), 0
	}
	t, err := s.gate.Enter(in)
	if err != nil {
		w.AddFinding("rules", "%s: an RPC that makes sense is senseless: %v", s.name, err)
		return
	}
	owed := w.now + (deadlineMs+slackMs)/s.rate
	s.tickets = append(s.tickets, inHand{t, rpc, try, owed})
	w.look(s)
}

// look takes all verdicts that are there.
func (w *Simulation) look(s *server) {
	for _, d := range s.done { // runs that ended while the process was stopped
		d.t.Report(w.outcome(s), 0, nil)
	}
	s.done = s.done[:0]
	for again := true; again; {
		again = false
		keep := s.tickets[:0]
		begun := false
		for _, h := range s.tickets {
			if w.o.injected == missingAnswers && w.rpcs[h.rpc].id%97 == 0 {
				keep = append(keep, h)
				continue
			}
			v, there := h.t.Now()
			if !there {
				keep = append(keep, h)
				continue
			}
			if v.Answer == gate.Run {
				w.work(s)
				s.jobs = append(s.jobs, job{h, w.rpcs[h.rpc].work})
				begun, again = true, true
				w.ran(s, h.rpc)
				keep = append(keep, h)
				continue
			}
			w.verdict(s, &h, &v)
		}
		clear(s.tickets[len(keep):])
		s.tickets = keep
		if begun {
			w.arm(s)
		}
	}
}
