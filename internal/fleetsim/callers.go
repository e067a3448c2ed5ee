package fleetsim

// This file owns the callers: routers that stick to a few servers, heed what these say, try again elsewhere what was pushed
// back or never got there, and give up at the deadline. A router must never repeat a purchase that may have run.

import (
	"math"
	"sort"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/startup"
)

const (
	mostTries  = 3
	avoidMs    = 200.0  // at the least, whoever pushed back
	downMs     = 1000.0 // whoever refused a connection
	routerSet  = 4      // servers that a router sticks to
	backoffMs  = 5.0    // before the next try
	repeatPart = 0.1    // of purchases are sent again once they were told ok
	repeatMs   = 50.0
	owedSlack  = 10.0 // past the due time, after which an answer is missing: more than clocks drift by over it
	mostReads  = 64   // RPCs that lie in a stopped server's sockets
)

// What an answer is, in an event: the code, whether the caller is asked not to go on, and for how many ms to stay away.
const (
	codeOK     = uint32(iota) //
	codePushed                // never ran
	codeFailed                // may have run
	codeDown                  // no connection: never ran
	codeBroken                // the connection ended: may have run
	codeBits   = 3
	codeLast   = 1 << codeBits
	awayShift  = codeBits + 1
)

type rpc struct {
	id, token uint64
	first     float64
	work      float64
	body      [8]byte
	router    int32
	server    int32
	tries     int32
	refs      int32 // of servers that have read it, and of its deadline
	method    uint8
	answered  uint8 // tries that were, by bit
	open      bool
	repeat    bool
}

type router struct {
	set    [routerSet]int32
	next   int
	avoids []avoided
}

type avoided struct {
	server int32
	until  float64
}

type tokenRuns struct {
	runs int
	life uint32
	at   float64
}

type callers struct {
	told    *startup.Config
	routers []router
	rpcs    []rpc
	spare   []int32
	lastID  uint64
	tokens  map[uint64]tokenRuns
	reads   map[int32][]event // what lies in stopped servers' sockets
	ends    int               // RPCs that came to an end
	drained int               // servers that ended by a drain
}

func (w *Simulation) beginCallers() {
	if w.o.RatePerServer <= 0 {
		return
	}
	w.tokens, w.reads = map[uint64]tokenRuns{}, map[int32][]event{}
	n := len(w.servers)
	w.routers = make([]router, max(2, n/2))
	for i := range w.routers {
		for k := range w.routers[i].set {
			w.routers[i].set[k] = int32((i*2 + k*(n/routerSet+1)) % n)
		}
	}
	w.nextArrival()
}

func (w *Simulation) nextArrival() {
	w.queue.put(event{at: w.now + w.chance.ExpFloat64()*1000/(w.o.RatePerServer*float64(len(w.servers))), kind: evArrive, who: -1})
}

func (w *Simulation) callersEvent(e *event) {
	switch e.kind {
	case evArrive:
		if e.b == 0 {
			w.nextArrival()
		}
		w.arrive(e)
	case evRead:
		w.reaches(e)
	case evAnswer:
		w.answer(e.a, e.b, e.life)
	case evGiveUp:
		w.givesUp(e.a, e.b)
	}
}

// place is room for an RPC.
func (w *Simulation) place() int32 {
	if n := len(w.spare); n > 0 {
		at := w.spare[n-1]
		w.spare = w.spare[:n-1]
		return at
	}
	w.rpcs = append(w.rpcs, rpc{})
	return int32(len(w.rpcs) - 1)
}

func (w *Simulation) release(at int32) {
	if r := &w.rpcs[at]; !r.open && r.refs == 0 {
		r.id = 0
		w.spare = append(w.spare, at)
	}
}

// arrive is a new RPC, or the repeat of a purchase: e.a is then its token's number.
func (w *Simulation) arrive(e *event) {
	at := w.place()
	r := &w.rpcs[at]
	w.lastID++
	*r = rpc{id: w.lastID, first: w.now, open: true, refs: 1, router: int32(w.chance.IntN(len(w.routers)))}
	x := w.chance.Float64()
	for r.method = 0; r.method < 2 && x >= methodShare[r.method]; r.method++ {
		x -= methodShare[r.method]
	}
	r.work = w.o.MeanWorkMs * (0.1 + 0.9*(w.chance.ExpFloat64()+w.chance.ExpFloat64())/2)
	r.token = r.id
	if e.b != 0 { // of the same body, by the same router, to the same server
		r.method, r.token, r.repeat, r.router, r.server = 2, uint64(e.a), true, e.b-1, int32(e.life)
	}
	for i := range 8 {
		r.body[i] = byte(r.token >> (8 * i))
	}
	w.result.Offered++
	w.result.OfferedWeight += methodWorth[r.method]
	w.queue.put(event{at: w.now + deadlineMs, kind: evGiveUp, who: -1, a: at, b: int32(r.id)})
	if r.repeat {
		w.sendRPC(at, r.server)
		return
	}
	w.route(at)
}

// route picks the next server for an RPC.
func (w *Simulation) route(at int32) {
	r := &w.rpcs[at]
	if w.o.SingleAttempt {
		w.sendRPC(at, int32(w.chance.IntN(len(w.servers))))
		return
	}
	o := &w.routers[r.router]
	keep := o.avoids[:0]
	for _, a := range o.avoids {
		if a.until > w.now {
			keep = append(keep, a)
		}
	}
	o.avoids = keep
	shuns := func(s int32) bool {
		for _, a := range o.avoids {
			if a.server == s {
				return true
			}
		}
		return false
	}
	for range routerSet {
		o.next = (o.next + 1) % routerSet
		if s := o.set[o.next]; !shuns(s) {
			w.sendRPC(at, s)
			return
		}
	}
	for range 8 {
		if s := int32(w.chance.IntN(len(w.servers))); !shuns(s) {
			w.sendRPC(at, s)
			return
		}
	}
	w.sendRPC(at, int32(w.chance.IntN(len(w.servers))))
}

func (w *Simulation) sendRPC(at, to int32) {
	r := &w.rpcs[at]
	r.tries++
	r.server = to
	w.result.Attempts++
	w.queue.put(event{at: w.now + wayMs, kind: evRead, who: -1, a: at, b: r.tries, life: uint32(r.id)})
}

// reaches is an RPC at its server's door.
func (w *Simulation) reaches(e *event) {
	r := &w.rpcs[e.a]
	if uint32(r.id) != e.life || !r.open {
		return
	}
	s := &w.servers[r.server]
	switch {
	case !s.up || s.gate == nil:
		w.tellCaller(e.a, e.b, codeDown)
	case s.stopped:
		if all := w.reads[s.i]; len(all) < mostReads {
			w.reads[s.i] = append(all, *e)
		} // else its connection does not come about, and its caller waits
	default:
		r.refs++
		w.queue.put(event{at: w.now + deadlineMs + slackMs + 2*owedSlack, kind: evOwed, who: s.i, a: e.a, b: e.b, life: s.life})
		w.read(s, e.a, e.b)
	}
}

// tellCaller puts an answer on its way to its caller.
func (w *Simulation) tellCaller(at, try int32, code uint32) {
	w.queue.put(event{at: w.now + wayMs, kind: evAnswer, who: -1, a: at, b: try, life: code})
}

// verdict is a server's final one; the server is done with the RPC.
func (w *Simulation) verdict(s *server, h *inHand, v *gate.Verdict) {
	r := &w.rpcs[h.rpc]
	r.refs--
	code := codeFailed
	switch v.Answer {
	case gate.OK:
		code = codeOK
	case gate.PushedBack:
		code = codePushed | uint32(math.Min(v.Away, 1<<20))<<awayShift
		if v.Last {
			code |= codeLast
		}
	case gate.Gone:
		w.release(h.rpc)
		return
	}
	w.tellCaller(h.rpc, h.try, code)
	if w.o.injected == duplicateAnswers && r.id%97 == 0 {
		w.tellCaller(h.rpc, h.try, code)
	}
}

// ran notes a run: a purchase must not run twice in one server's life within its window, nor anything past the grace.
func (w *Simulation) ran(s *server, at int32) {
	r := &w.rpcs[at]
	if s.draining && r.first > s.stopAt-stopMs+graceMs+slackMs {
		w.AddFinding("rules", "%s runs an RPC that came %.0f ms after the notice", s.name, r.first-(s.stopAt-stopMs))
	}
	if r.method != 2 {
		return
	}
	t := w.tokens[r.token]
	if w.o.injected == duplicateRuns && r.id%31 == 0 {
		t.runs++
	}
	if t.runs > 0 && w.now-t.at < windowMs {
		w.AddFinding("rules", "token %d ran again at %s, %.0f ms after its first run", r.token, s.name, w.now-t.at)
	}
	w.tokens[r.token] = tokenRuns{t.runs + 1, s.life, w.now}
}

// answer reaches a router.
func (w *Simulation) answer(at, try int32, code uint32) {
	r := &w.rpcs[at]
	if r.id == 0 {
		return
	}
	if bit := uint8(1) << (try & 7); r.answered&bit != 0 {
		w.AddFinding("rules", "RPC %d was answered twice", r.id)
	} else {
		r.answered |= bit
	}
	if !r.open || try != r.tries {
		w.release(at)
		return
	}
	o := &w.routers[r.router]
	what, away := code&(1<<codeBits-1), float64(code>>awayShift)
	again := false
	switch what {
	case codeOK:
		w.finish(at, 0)
		return
	case codePushed:
		o.avoids = append(o.avoids, avoided{r.server, w.now + math.Max(avoidMs, away)})
		again = code&codeLast == 0
	case codeDown:
		o.avoids = append(o.avoids, avoided{r.server, w.now + downMs})
		again = true
	case codeBroken:
		again = r.method != 2
	}
	if again && r.tries < mostTries && !r.repeat && !w.o.SingleAttempt && w.now-r.first < deadlineMs/2 {
		w.route(at)
		return
	}
	if what == codePushed {
		w.finish(at, 1)
	} else {
		w.finish(at, 2)
	}
}

// finish ends an RPC: 0 ok, 1 pushed back, 2 failed.
func (w *Simulation) finish(at int32, how int) {
	r := &w.rpcs[at]
	r.open = false
	w.ends++
	w.observe(40+byte(how), int32(r.id), r.tries)
	switch how {
	case 0:
		w.result.OK++
		took := w.now - r.first
		switch {
		case took <= targetMs:
			w.result.ServedWeight += methodWorth[r.method]
		case took <= deadlineMs:
			w.result.ServedWeight += 0.2 * methodWorth[r.method]
		}
		if r.method == 2 && !r.repeat && !w.o.SingleAttempt && w.chance.Float64() < repeatPart && r.id < 1<<31 {
			w.queue.put(event{at: w.now + repeatMs, kind: evArrive, who: -1, a: int32(r.id), b: r.router + 1, life: uint32(r.server)})
		}
	case 1:
		w.result.Rejected++
	default:
		w.result.Failed++
	}
	w.release(at)
}

// givesUp is a caller at its deadline.
func (w *Simulation) givesUp(at, id int32) {
	r := &w.rpcs[at]
	if int32(r.id) != id {
		return
	}
	r.refs--
	if !r.open {
		w.release(at)
		return
	}
	s := &w.servers[r.server]
	if s.up && !s.stopped {
		for _, h := range s.tickets {
			if h.rpc == at && h.try == r.tries {
				h.t.Leave()
				break
			}
		}
		w.finish(at, 2)
		w.look(s)
		return
	}
	w.finish(at, 2)
}

// owed looks whether a try that a server read has had its verdict, if that process has run all the time.
func (w *Simulation) owed(s *server, at, try int32) {
	for _, h := range s.tickets {
		if h.rpc == at && h.try == try && w.now > h.owed+owedSlack && w.now-s.roused > deadlineMs+slackMs {
			w.AddFinding("rules", "%s: an RPC is without an answer %.0f ms past its due time", s.name, w.now-h.owed+slackMs)
		}
	}
}

// broken is what routers hear of a server whose process has ended.
func (w *Simulation) broken(s *server) {
	for _, h := range s.tickets {
		w.rpcs[h.rpc].refs--
		w.tellCaller(h.rpc, h.try, codeBroken)
	}
	for _, e := range w.reads[s.i] {
		if uint32(w.rpcs[e.a].id) == e.life {
			w.tellCaller(e.a, e.b, codeBroken)
		}
	}
	delete(w.reads, s.i)
}

// readHeld has a server that woke read what lies in its sockets.
func (w *Simulation) readHeld(s *server) {
	all := w.reads[s.i]
	delete(w.reads, s.i)
	for i := range all {
		w.reaches(&all[i])
	}
}

// forgetTokens drops those whose window is over.
func (w *Simulation) forgetTokens() {
	var old []uint64
	for t, x := range w.tokens {
		if w.now-x.at > windowMs+deadlineMs {
			old = append(old, t)
		}
	}
	sort.Slice(old, func(i, k int) bool { return old[i] < old[k] })
	for _, t := range old {
		delete(w.tokens, t)
	}
}
