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
	maxAttempts        = 3
	minAvoidMs         = 200.0  // at the least, whoever pushed back
	refusedAvoidMs     = 1000.0 // whoever refused a connection
	serversPerRouter   = 4      // servers that a router sticks to
	backoffMs          = 5.0    // before the next try
	repeatShare        = 0.1    // of purchases are sent again once they were told ok
	repeatDelayMs      = 50.0
	answerClockSlackMs = 10.0 // past the due time, after which an answer is missing: more than clocks drift by over it
	maxUnreadRPCs      = 64   // RPCs that lie in a stopped server's sockets
)

// What an answer is, in an event: the code, whether the caller is asked not to go on, and for how many ms to stay away.
const (
	codeOK           = uint32(iota) //
	codeRejected                    // never ran
	codeFailed                      // may have run
	codeNotConnected                // no connection: never ran
	codeDisconnected                // the connection ended: may have run
	codeBits         = 3
	codeNoRetry      = 1 << codeBits
	retryAfterShift  = codeBits + 1
)

type rpc struct {
	id, token        uint64
	startedAt        float64
	workMs           float64
	body             [8]byte
	router           int32
	server           int32
	attempts         int32
	refs             int32 // of servers that have read it, and of its deadline
	method           uint8
	answeredAttempts uint8 // tries that were, by bit
	open             bool
	repeat           bool
}

type router struct {
	servers [serversPerRouter]int32
	next    int
	avoided []avoided
}

type avoided struct {
	server int32
	until  float64
}

type tokenRuns struct {
	runs        int
	incarnation uint32
	lastRunAt   float64
}

type callers struct {
	settings       *startup.Config
	routers        []router
	rpcs           []rpc
	freeRPCs       []int32
	lastID         uint64
	tokens         map[uint64]tokenRuns
	unread         map[int32][]event // what lies in stopped servers' sockets
	finishedRPCs   int               // RPCs that came to an end
	drainedServers int               // servers that ended by a drain
}

func (sim *Simulation) startCallers() {
	if sim.options.RatePerServer <= 0 {
		return
	}
	sim.tokens, sim.unread = map[uint64]tokenRuns{}, map[int32][]event{}
	n := len(sim.servers)
	sim.routers = make([]router, max(2, n/2))
	for i := range sim.routers {
		for k := range sim.routers[i].servers {
			sim.routers[i].servers[k] = int32((i*2 + k*(n/serversPerRouter+1)) % n)
		}
	}
	sim.scheduleArrival()
}

func (sim *Simulation) scheduleArrival() {
	sim.queue.put(event{at: sim.now + sim.rand.ExpFloat64()*1000/(sim.options.RatePerServer*float64(len(sim.servers))), kind: eventRPCArrival, server: -1})
}

func (sim *Simulation) dispatchCallerEvent(e *event) {
	switch e.kind {
	case eventRPCArrival:
		if e.detail == 0 {
			sim.scheduleArrival()
		}
		sim.rpcArrival(e)
	case eventRPCRead:
		sim.rpcReachesServer(e)
	case eventResponse:
		sim.onResponse(e.subject, e.detail, e.incarnation)
	case eventRPCDeadline:
		sim.onRPCDeadline(e.subject, e.detail)
	}
}

// allocateRPC is room for an RPC.
func (sim *Simulation) allocateRPC() int32 {
	if n := len(sim.freeRPCs); n > 0 {
		at := sim.freeRPCs[n-1]
		sim.freeRPCs = sim.freeRPCs[:n-1]
		return at
	}
	sim.rpcs = append(sim.rpcs, rpc{})
	return int32(len(sim.rpcs) - 1)
}

func (sim *Simulation) releaseRPC(at int32) {
	if r := &sim.rpcs[at]; !r.open && r.refs == 0 {
		r.id = 0
		sim.freeRPCs = append(sim.freeRPCs, at)
	}
}

// rpcArrival is a new RPC, or the repeat of a purchase: e.a is then its token's number.
func (sim *Simulation) rpcArrival(e *event) {
	at := sim.allocateRPC()
	r := &sim.rpcs[at]
	sim.lastID++
	*r = rpc{id: sim.lastID, startedAt: sim.now, open: true, refs: 1, router: int32(sim.rand.IntN(len(sim.routers)))}
	x := sim.rand.Float64()
	for r.method = 0; r.method < 2 && x >= methodShare[r.method]; r.method++ {
		x -= methodShare[r.method]
	}
	r.workMs = sim.options.MeanWorkMs * (0.1 + 0.9*(sim.rand.ExpFloat64()+sim.rand.ExpFloat64())/2)
	r.token = r.id
	if e.detail != 0 { // of the same body, by the same router, to the same server
		r.method, r.token, r.repeat, r.router, r.server = 2, uint64(e.subject), true, e.detail-1, int32(e.incarnation)
	}
	for i := range 8 {
		r.body[i] = byte(r.token >> (8 * i))
	}
	sim.result.Offered++
	sim.result.OfferedWeight += methodWeight[r.method]
	sim.queue.put(event{at: sim.now + deadlineMs, kind: eventRPCDeadline, server: -1, subject: at, detail: int32(r.id)})
	if r.repeat {
		sim.sendRPC(at, r.server)
		return
	}
	sim.routeRPC(at)
}

// routeRPC picks the next server for an RPC.
func (sim *Simulation) routeRPC(at int32) {
	r := &sim.rpcs[at]
	if sim.options.SingleAttempt {
		sim.sendRPC(at, int32(sim.rand.IntN(len(sim.servers))))
		return
	}
	o := &sim.routers[r.router]
	keep := o.avoided[:0]
	for _, a := range o.avoided {
		if a.until > sim.now {
			keep = append(keep, a)
		}
	}
	o.avoided = keep
	shuns := func(s int32) bool {
		for _, a := range o.avoided {
			if a.server == s {
				return true
			}
		}
		return false
	}
	for range serversPerRouter {
		o.next = (o.next + 1) % serversPerRouter
		if s := o.servers[o.next]; !shuns(s) {
			sim.sendRPC(at, s)
			return
		}
	}
	for range 8 {
		if s := int32(sim.rand.IntN(len(sim.servers))); !shuns(s) {
			sim.sendRPC(at, s)
			return
		}
	}
	sim.sendRPC(at, int32(sim.rand.IntN(len(sim.servers))))
}

func (sim *Simulation) sendRPC(at, to int32) {
	r := &sim.rpcs[at]
	r.attempts++
	r.server = to
	sim.result.Attempts++
	sim.queue.put(event{at: sim.now + networkDelayMs, kind: eventRPCRead, server: -1, subject: at, detail: r.attempts, incarnation: uint32(r.id)})
}

// rpcReachesServer is an RPC at its server's door.
func (sim *Simulation) rpcReachesServer(e *event) {
	r := &sim.rpcs[e.subject]
	if uint32(r.id) != e.incarnation || !r.open {
		return
	}
	s := &sim.servers[r.server]
	switch {
	case !s.up || s.gate == nil:
		sim.respond(e.subject, e.detail, codeNotConnected)
	case s.stopped:
		if all := sim.unread[s.index]; len(all) < maxUnreadRPCs {
			sim.unread[s.index] = append(all, *e)
		} // else its connection does not come about, and its caller waits
	default:
		r.refs++
		sim.queue.put(event{at: sim.now + deadlineMs + answerSlackMs + 2*answerClockSlackMs, kind: eventAnswerDue, server: s.index, subject: e.subject, detail: e.detail, incarnation: s.incarnation})
		sim.readRPC(s, e.subject, e.detail)
	}
}

// respond puts an answer on its way to its caller.
func (sim *Simulation) respond(at, try int32, code uint32) {
	sim.queue.put(event{at: sim.now + networkDelayMs, kind: eventResponse, server: -1, subject: at, detail: try, incarnation: code})
}

// onVerdict is a server's final one; the server is done with the RPC.
func (sim *Simulation) onVerdict(s *server, h *inFlightRPC, v *gate.Verdict) {
	r := &sim.rpcs[h.rpc]
	r.refs--
	code := codeFailed
	switch v.Kind {
	case gate.OK:
		code = codeOK
	case gate.Rejected:
		code = codeRejected | uint32(math.Min(v.RetryAfterMs, 1<<20))<<retryAfterShift
		if v.NoRetry {
			code |= codeNoRetry
		}
	case gate.CallerGone:
		sim.releaseRPC(h.rpc)
		return
	}
	sim.respond(h.rpc, h.attempt, code)
	if sim.options.injected == duplicateAnswers && r.id%97 == 0 {
		sim.respond(h.rpc, h.attempt, code)
	}
}

// recordRun notes a run: a purchase must not run twice in one server's life within its window, nor anything past the grace.
func (sim *Simulation) recordRun(s *server, at int32) {
	r := &sim.rpcs[at]
	if s.draining && r.startedAt > s.stopAt-drainMs+drainGraceMs+answerSlackMs {
		sim.AddFinding("rules", "%s runs an RPC that came %.0f ms after the notice", s.name, r.startedAt-(s.stopAt-drainMs))
	}
	if r.method != 2 {
		return
	}
	t := sim.tokens[r.token]
	if sim.options.injected == duplicateRuns && r.id%31 == 0 {
		t.runs++
	}
	if t.runs > 0 && sim.now-t.lastRunAt < idempotencyWindowMs {
		sim.AddFinding("rules", "token %d ran again at %s, %.0f ms after its first run", r.token, s.name, sim.now-t.lastRunAt)
	}
	sim.tokens[r.token] = tokenRuns{t.runs + 1, s.incarnation, sim.now}
}

// onResponse reaches a router.
func (sim *Simulation) onResponse(at, try int32, code uint32) {
	r := &sim.rpcs[at]
	if r.id == 0 {
		return
	}
	if bit := uint8(1) << (try & 7); r.answeredAttempts&bit != 0 {
		sim.AddFinding("rules", "RPC %d was answered twice", r.id)
	} else {
		r.answeredAttempts |= bit
	}
	if !r.open || try != r.attempts {
		sim.releaseRPC(at)
		return
	}
	o := &sim.routers[r.router]
	what, away := code&(1<<codeBits-1), float64(code>>retryAfterShift)
	again := false
	switch what {
	case codeOK:
		sim.finishRPC(at, 0)
		return
	case codeRejected:
		o.avoided = append(o.avoided, avoided{r.server, sim.now + math.Max(minAvoidMs, away)})
		again = code&codeNoRetry == 0
	case codeNotConnected:
		o.avoided = append(o.avoided, avoided{r.server, sim.now + refusedAvoidMs})
		again = true
	case codeDisconnected:
		again = r.method != 2
	}
	if again && r.attempts < maxAttempts && !r.repeat && !sim.options.SingleAttempt && sim.now-r.startedAt < deadlineMs/2 {
		sim.routeRPC(at)
		return
	}
	if what == codeRejected {
		sim.finishRPC(at, 1)
	} else {
		sim.finishRPC(at, 2)
	}
}

// finishRPC ends an RPC: 0 ok, 1 pushed back, 2 failed.
func (sim *Simulation) finishRPC(at int32, how int) {
	r := &sim.rpcs[at]
	r.open = false
	sim.finishedRPCs++
	sim.observe(40+byte(how), int32(r.id), r.attempts)
	switch how {
	case 0:
		sim.result.OK++
		took := sim.now - r.startedAt
		switch {
		case took <= targetMs:
			sim.result.ServedWeight += methodWeight[r.method]
		case took <= deadlineMs:
			sim.result.ServedWeight += 0.2 * methodWeight[r.method]
		}
		if r.method == 2 && !r.repeat && !sim.options.SingleAttempt && sim.rand.Float64() < repeatShare && r.id < 1<<31 {
			sim.queue.put(event{at: sim.now + repeatDelayMs, kind: eventRPCArrival, server: -1, subject: int32(r.id), detail: r.router + 1, incarnation: uint32(r.server)})
		}
	case 1:
		sim.result.Rejected++
	default:
		sim.result.Failed++
	}
	sim.releaseRPC(at)
}

// onRPCDeadline is a caller at its deadline.
func (sim *Simulation) onRPCDeadline(at, id int32) {
	r := &sim.rpcs[at]
	if int32(r.id) != id {
		return
	}
	r.refs--
	if !r.open {
		sim.releaseRPC(at)
		return
	}
	s := &sim.servers[r.server]
	if s.up && !s.stopped {
		for _, h := range s.inFlight {
			if h.rpc == at && h.attempt == r.attempts {
				h.ticket.Cancel()
				break
			}
		}
		sim.finishRPC(at, 2)
		sim.pollVerdicts(s)
		return
	}
	sim.finishRPC(at, 2)
}

// checkAnswered looks whether a try that a server read has had its verdict, if that process has run all the time.
func (sim *Simulation) checkAnswered(s *server, at, try int32) {
	for _, h := range s.inFlight {
		if h.rpc == at && h.attempt == try && sim.now > h.dueAt+answerClockSlackMs && sim.now-s.resumedAt > deadlineMs+answerSlackMs {
			sim.AddFinding("rules", "%s: an RPC is without an answer %.0f ms past its due time", s.name, sim.now-h.dueAt+answerSlackMs)
		}
	}
}

// breakConnections is what routers hear of a server whose process has ended.
func (sim *Simulation) breakConnections(s *server) {
	for _, h := range s.inFlight {
		sim.rpcs[h.rpc].refs--
		sim.respond(h.rpc, h.attempt, codeDisconnected)
	}
	for _, e := range sim.unread[s.index] {
		if uint32(sim.rpcs[e.subject].id) == e.incarnation {
			sim.respond(e.subject, e.detail, codeDisconnected)
		}
	}
	delete(sim.unread, s.index)
}

// readQueued has a server that woke read what lies in its sockets.
func (sim *Simulation) readQueued(s *server) {
	all := sim.unread[s.index]
	delete(sim.unread, s.index)
	for i := range all {
		sim.rpcReachesServer(&all[i])
	}
}

// expireTokens drops those whose window is over.
func (sim *Simulation) expireTokens() {
	var old []uint64
	for t, x := range sim.tokens {
		if sim.now-x.lastRunAt > idempotencyWindowMs+deadlineMs {
			old = append(old, t)
		}
	}
	sort.Slice(old, func(i, k int) bool { return old[i] < old[k] })
	for _, t := range old {
		delete(sim.tokens, t)
	}
}
