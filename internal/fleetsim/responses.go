package fleetsim

import (
	"math"
	"sort"

	"sorrelvalve/internal/gate"
)

// This file follows RPCs from a server's verdict to the router, and checks on the way what the service promises: one answer
// for each attempt, in time, and no second run of a purchase.

// responseCode is the kind of a response.
type responseCode uint32

const (
	codeOK           responseCode = iota
	codeRejected                  // never ran
	codeFailed                    // may have run
	codeNotConnected              // connection refused: never ran
	codeDisconnected              // connection lost: may have run
)

// response is a response as it fits into an event: a code, whether the caller must not retry, and the Retry-After in ms.
type response uint32

const (
	codeBits          = 3
	noRetry           = response(1) << codeBits
	retryAfterShift   = codeBits + 1
	maxRetryAfterMs   = 1 << 20
	attemptBits       = 7 // attempts are counted modulo 8 in a bit set
	responseCodeMask  = response(1)<<codeBits - 1
	injectedFaultEach = 97 // every so many RPCs meet an injected fault
	duplicateRunEach  = 31
)

func rejection(retryAfterMs float64, final bool) response {
	r := response(codeRejected) | response(math.Min(retryAfterMs, maxRetryAfterMs))<<retryAfterShift
	if final {
		r |= noRetry
	}
	return r
}

func (r response) code() responseCode    { return responseCode(r & responseCodeMask) }
func (r response) mayRetry() bool        { return r&noRetry == 0 }
func (r response) retryAfterMs() float64 { return float64(r >> retryAfterShift) }

// rpcResult is how an RPC ended. The numbers are part of the digest.
type rpcResult byte

const (
	rpcOK rpcResult = iota
	rpcRejected
	rpcFailed
)

// respond puts a response on its way to the router.
func (sim *Simulation) respond(at, attempt int32, r response) {
	sim.queue.put(event{
		at: sim.now + networkDelayMs, kind: eventResponse, server: noServer,
		subject: at, detail: attempt, incarnation: uint32(r),
	})
}

// onVerdict answers an attempt by the gate's final verdict; the server is done with it.
func (sim *Simulation) onVerdict(attempt *inFlightRPC, v *gate.Verdict) {
	r := &sim.rpcs[attempt.rpc]
	r.refs--
	answer := response(codeFailed)
	switch v.Kind {
	case gate.OK:
		answer = response(codeOK)
	case gate.Rejected:
		answer = rejection(v.RetryAfterMs, v.NoRetry)
	case gate.CallerGone:
		sim.releaseRPC(attempt.rpc)
		return
	}
	sim.respond(attempt.rpc, attempt.attempt, answer)
	if sim.options.injected == duplicateAnswers && r.id%injectedFaultEach == 0 {
		sim.respond(attempt.rpc, attempt.attempt, answer)
	}
}

// recordRun checks a run: nothing runs past a drain's grace period, and no purchase twice within its window.
func (sim *Simulation) recordRun(s *server, at int32) {
	r := &sim.rpcs[at]
	drainStart := s.stopAt - drainMs
	if s.draining && r.startedAt > drainStart+drainGraceMs+answerSlackMs {
		sim.AddFinding("rules", "%s runs an RPC that came %.0f ms after the notice", s.name, r.startedAt-drainStart)
	}
	if r.method != purchase {
		return
	}
	t := sim.tokens[r.token]
	if sim.options.injected == duplicateRuns && r.id%duplicateRunEach == 0 {
		t.runs++
	}
	if t.runs > 0 && sim.now-t.lastRunAt < idempotencyWindowMs {
		sim.AddFinding("rules", "token %d ran again at %s, %.0f ms after its first run", r.token, s.name, sim.now-t.lastRunAt)
	}
	sim.tokens[r.token] = tokenRuns{t.runs + 1, s.incarnation, sim.now}
}

// expireTokens drops the tokens whose window is over.
func (sim *Simulation) expireTokens() {
	var expired []uint64
	for token, t := range sim.tokens {
		if sim.now-t.lastRunAt > idempotencyWindowMs+deadlineMs {
			expired = append(expired, token)
		}
	}
	sort.Slice(expired, func(i, k int) bool { return expired[i] < expired[k] })
	for _, token := range expired {
		delete(sim.tokens, token)
	}
}

// onResponse handles a response at its router, which may retry.
func (sim *Simulation) onResponse(at, attempt int32, answer response) {
	r := &sim.rpcs[at]
	if r.id == 0 {
		return
	}
	bit := uint8(1) << (attempt & attemptBits)
	if r.answeredAttempts&bit != 0 {
		sim.AddFinding("rules", "RPC %d was answered twice", r.id)
	} else {
		r.answeredAttempts |= bit
	}
	if !r.open || attempt != r.attempts {
		sim.releaseRPC(at)
		return
	}
	caller := &sim.routers[r.router]
	retry := false
	switch answer.code() {
	case codeOK:
		sim.finishRPC(at, rpcOK)
		return
	case codeRejected:
		caller.avoided = append(caller.avoided, avoidance{r.server, sim.now + math.Max(minAvoidMs, answer.retryAfterMs())})
		retry = answer.mayRetry()
	case codeNotConnected:
		caller.avoided = append(caller.avoided, avoidance{r.server, sim.now + refusedAvoidMs})
		retry = true
	case codeDisconnected:
		retry = r.method != purchase
	}
	inTime := sim.now-r.startedAt < deadlineMs/2
	switch {
	case retry && inTime && r.attempts < maxAttempts && !r.repeat && !sim.options.SingleAttempt:
		sim.routeRPC(at)
	case answer.code() == codeRejected:
		sim.finishRPC(at, rpcRejected)
	default:
		sim.finishRPC(at, rpcFailed)
	}
}

// finishRPC closes an RPC and counts its result. Some purchases that succeeded are repeated.
func (sim *Simulation) finishRPC(at int32, result rpcResult) {
	r := &sim.rpcs[at]
	r.open = false
	sim.finishedRPCs++
	sim.observe(observedRPCResult+observation(result), int32(r.id), r.attempts)
	switch result {
	case rpcOK:
		sim.result.OK++
		sim.result.ServedWeight += servedWeight(r.method, sim.now-r.startedAt)
		repeatable := r.method == purchase && !r.repeat && !sim.options.SingleAttempt
		if repeatable && sim.rand.Float64() < repeatShare && r.id < 1<<31 {
			sim.queue.put(event{
				at: sim.now + repeatDelayMs, kind: eventRPCArrival, server: noServer,
				subject: int32(r.id), detail: r.router + 1, incarnation: uint32(r.server),
			})
		}
	case rpcRejected:
		sim.result.Rejected++
	default:
		sim.result.Failed++
	}
	sim.releaseRPC(at)
}

// onRPCDeadline has a router give up an RPC that is still open.
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
	if !s.up || s.stopped {
		sim.finishRPC(at, rpcFailed)
		return
	}
	for _, attempt := range s.inFlight {
		if attempt.rpc == at && attempt.attempt == r.attempts {
			attempt.ticket.Cancel()
			break
		}
	}
	sim.finishRPC(at, rpcFailed)
	sim.pollVerdicts(s)
}

// checkAnswered checks that an attempt has had its verdict, if its server's process has run all the time.
func (sim *Simulation) checkAnswered(s *server, at, attempt int32) {
	if sim.now-s.resumedAt <= deadlineMs+answerSlackMs {
		return
	}
	for _, open := range s.inFlight {
		if open.rpc == at && open.attempt == attempt && sim.now > open.dueAt+answerClockSlackMs {
			sim.AddFinding("rules", "%s: an RPC is without an answer %.0f ms past its due time", s.name, sim.now-open.dueAt+answerSlackMs)
		}
	}
}

// breakConnections tells routers that the process of their server has ended.
func (sim *Simulation) breakConnections(s *server) {
	for _, attempt := range s.inFlight {
		sim.rpcs[attempt.rpc].refs--
		sim.respond(attempt.rpc, attempt.attempt, response(codeDisconnected))
	}
	for _, e := range sim.unread[s.index] {
		if uint32(sim.rpcs[e.subject].id) == e.incarnation {
			sim.respond(e.subject, e.detail, response(codeDisconnected))
		}
	}
	delete(sim.unread, s.index)
}
