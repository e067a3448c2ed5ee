package fleetsim

import "sorrelvalve/internal/startup"

// This file models the callers: routers that stick to a few servers, avoid those that reject, retry elsewhere what never ran,
// and give up at the deadline. A router never repeats a purchase that may have run. What becomes of their RPCs is in
// responses.go.

const (
	maxAttempts        = 3
	minAvoidMs         = 200.0  // a router avoids a server that rejected at least this long
	refusedAvoidMs     = 1000.0 // and one that refused a connection this long
	serversPerRouter   = 4
	randomDraws        = 8    // draws of another server once all of a router's are avoided
	repeatShare        = 0.1  // of purchases are sent once more after they succeeded
	repeatDelayMs      = 50.0 // and so much later
	answerClockSlackMs = 10.0 // added to due times: more than clocks drift by until then
	maxUnreadRPCs      = 64   // RPCs that wait in a stopped server's sockets
)

// rpc is one RPC over all its attempts. Its place is reused once it is closed and nobody refers to it.
type rpc struct {
	id               uint64 // 0 for a free place
	token            uint64 // equal in an RPC and its repeat
	startedAt        float64
	workMs           float64
	body             [8]byte
	router           int32
	server           int32 // of the last attempt
	attempts         int32
	refs             int32 // one for its deadline, and one for each server that has read it
	method           uint8
	answeredAttempts uint8 // bit set
	open             bool
	repeat           bool // second submission of a purchase that succeeded
}

// router is a caller.
type router struct {
	servers [serversPerRouter]int32
	next    int
	avoided []avoidance
}

// avoidance is a server that a router doesn't call for a while.
type avoidance struct {
	server int32
	until  float64
}

// tokenRuns is how often, and where last, a purchase ran.
type tokenRuns struct {
	runs        int
	incarnation uint32
	lastRunAt   float64
}

// callers is the simulation's state of routers and RPCs.
type callers struct {
	settings       *startup.Config // of every server; parsed once
	routers        []router
	rpcs           []rpc
	freeRPCs       []int32
	lastID         uint64
	tokens         map[uint64]tokenRuns
	unread         map[int32][]event // RPCs in the sockets of stopped servers
	finishedRPCs   int
	drainedServers int
}

// startCallers lays out the routers and schedules the first RPC.
func (sim *Simulation) startCallers() {
	if sim.options.RatePerServer <= 0 {
		return
	}
	sim.tokens = map[uint64]tokenRuns{}
	sim.unread = map[int32][]event{}
	n := len(sim.servers)
	sim.routers = make([]router, max(2, n/2))
	for i := range sim.routers {
		for k := range sim.routers[i].servers {
			sim.routers[i].servers[k] = int32((i*2 + k*(n/serversPerRouter+1)) % n)
		}
	}
	sim.scheduleArrival()
}

// scheduleArrival schedules the next RPC of a Poisson process.
func (sim *Simulation) scheduleArrival() {
	wait := sim.rand.ExpFloat64() * 1000 / (sim.options.RatePerServer * float64(len(sim.servers)))
	sim.queue.put(event{at: sim.now + wait, kind: eventRPCArrival, server: noServer})
}

// dispatchToCaller handles an event of the callers.
func (sim *Simulation) dispatchToCaller(e *event) {
	switch e.kind {
	case eventRPCArrival:
		if e.detail == 0 {
			sim.scheduleArrival()
		}
		sim.rpcArrival(e)
	case eventRPCRead:
		sim.rpcReachesServer(e)
	case eventResponse:
		sim.onResponse(e.subject, e.detail, response(e.incarnation))
	case eventRPCDeadline:
		sim.onRPCDeadline(e.subject, e.detail)
	}
}

// allocateRPC returns the index of a free place.
func (sim *Simulation) allocateRPC() int32 {
	if n := len(sim.freeRPCs); n > 0 {
		at := sim.freeRPCs[n-1]
		sim.freeRPCs = sim.freeRPCs[:n-1]
		return at
	}
	sim.rpcs = append(sim.rpcs, rpc{})
	return int32(len(sim.rpcs) - 1)
}

// releaseRPC frees the place of an RPC that is closed and that nobody refers to.
func (sim *Simulation) releaseRPC(at int32) {
	if r := &sim.rpcs[at]; !r.open && r.refs == 0 {
		r.id = 0
		sim.freeRPCs = append(sim.freeRPCs, at)
	}
}

// rpcArrival begins a new RPC, or repeats a purchase: then the event's subject is the token, its detail the router plus one,
// and its incarnation the server.
func (sim *Simulation) rpcArrival(e *event) {
	at := sim.allocateRPC()
	r := &sim.rpcs[at]
	sim.lastID++
	*r = rpc{id: sim.lastID, startedAt: sim.now, open: true, refs: 1, router: int32(sim.rand.IntN(len(sim.routers)))}
	r.method = sim.randomMethod()
	r.workMs = sim.options.MeanWorkMs * (0.1 + 0.9*(sim.rand.ExpFloat64()+sim.rand.ExpFloat64())/2)
	r.token = r.id
	if e.detail != 0 {
		r.method = purchase
		r.token = uint64(e.subject)
		r.repeat = true
		r.router = e.detail - 1
		r.server = int32(e.incarnation)
	}
	for i := range r.body {
		r.body[i] = byte(r.token >> (8 * i))
	}
	sim.result.Offered++
	sim.result.OfferedWeight += methodWeight[r.method]
	sim.queue.put(event{at: sim.now + deadlineMs, kind: eventRPCDeadline, server: noServer, subject: at, detail: int32(r.id)})
	if r.repeat {
		sim.sendRPC(at, r.server)
		return
	}
	sim.routeRPC(at)
}

// randomMethod draws a method by its share of the load.
func (sim *Simulation) randomMethod() (method uint8) {
	x := sim.rand.Float64()
	for method < purchase && x >= methodShare[method] {
		x -= methodShare[method]
		method++
	}
	return method
}

// routeRPC picks the server for the next attempt of an RPC.
func (sim *Simulation) routeRPC(at int32) {
	if sim.options.SingleAttempt {
		sim.sendRPC(at, sim.randomServer())
		return
	}
	caller := &sim.routers[sim.rpcs[at].router]
	caller.expireAvoided(sim.now)
	for range serversPerRouter {
		caller.next = (caller.next + 1) % serversPerRouter
		if s := caller.servers[caller.next]; !caller.avoids(s) {
			sim.sendRPC(at, s)
			return
		}
	}
	for range randomDraws {
		if s := sim.randomServer(); !caller.avoids(s) {
			sim.sendRPC(at, s)
			return
		}
	}
	sim.sendRPC(at, sim.randomServer())
}

func (sim *Simulation) randomServer() int32 { return int32(sim.rand.IntN(len(sim.servers))) }

// expireAvoided drops the avoidances that are over.
func (r *router) expireAvoided(now float64) {
	current := r.avoided[:0]
	for _, a := range r.avoided {
		if a.until > now {
			current = append(current, a)
		}
	}
	r.avoided = current
}

func (r *router) avoids(server int32) bool {
	for _, a := range r.avoided {
		if a.server == server {
			return true
		}
	}
	return false
}

// sendRPC sends an attempt to a server.
func (sim *Simulation) sendRPC(at, to int32) {
	r := &sim.rpcs[at]
	r.attempts++
	r.server = to
	sim.result.Attempts++
	sim.queue.put(event{
		at: sim.now + networkDelayMs, kind: eventRPCRead, server: noServer,
		subject: at, detail: r.attempts, incarnation: uint32(r.id),
	})
}

// rpcReachesServer has a server read an attempt; the event's incarnation is the RPC's id.
func (sim *Simulation) rpcReachesServer(e *event) {
	r := &sim.rpcs[e.subject]
	if uint32(r.id) != e.incarnation || !r.open {
		return
	}
	s := &sim.servers[r.server]
	switch {
	case !s.up || s.gate == nil:
		sim.respond(e.subject, e.detail, response(codeNotConnected))
	case s.stopped:
		if waiting := sim.unread[s.index]; len(waiting) < maxUnreadRPCs {
			sim.unread[s.index] = append(waiting, *e)
		} // else the connection is not accepted, and the caller waits
	default:
		r.refs++
		sim.queue.put(event{
			at: sim.now + deadlineMs + answerSlackMs + 2*answerClockSlackMs, kind: eventAnswerDue, server: s.index,
			subject: e.subject, detail: e.detail, incarnation: s.incarnation,
		})
		sim.readRPC(s, e.subject, e.detail)
	}
}

// readQueued has a resumed server read what waits in its sockets.
func (sim *Simulation) readQueued(s *server) {
	waiting := sim.unread[s.index]
	delete(sim.unread, s.index)
	for i := range waiting {
		sim.rpcReachesServer(&waiting[i])
	}
}
