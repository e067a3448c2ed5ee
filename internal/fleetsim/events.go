package fleetsim

// This file owns the events in the order of their times. Of two at one time the one that was put first comes first, so that a
// run is the same each time. It must never allocate once it has grown.

// eventKind is what an event is.
type eventKind uint8

const (
	eventPacket             eventKind = iota // a: the packet's place
	eventHealthTick                          // the fleet's part ticks
	eventGateTick                            // the decisions tick
	eventHealthCheck                         // the detector asks its next peer
	eventHealthCheckTimeout                  // a: the peer, b: the probe's number; no answer has come yet
	eventHealthCheckEnd                      // a, b as above
	eventSuspicionTimeout                    // a: the peer, b: the incarnation
	eventHeartbeat                           // the own record is said anew
	eventGossipRound                         //
	eventPushPull                            // the detector's exchange of states with somebody
	eventJoin                                // a: whom
	eventJobDone                             // a: the engine's version
	eventRPCArrival                          // an RPC reaches a router
	eventRPCRead                             // a: the RPC reaches the server; b: the try
	eventResponse                            // a: the RPC's answer reaches the router; b: the try
	eventRPCDeadline                         // a: the RPC
	eventAnswerDue                           // a: the RPC, b: the try; by now its answer must have been given
	eventQuotaTick                           // the budgets tick
	eventQuotaRequest                        // a: the budget
	eventQuotaArrival                        // the next RPC of the budgets' load
	eventBackendCall                         // an RPC for the pool below
	eventAttemptDone                         // a: the try; b: the member
	eventAttemptLate                         // a: a try without an answer long after the usual; b: which of those at that place
	eventBackendTick                         // a server looks at the pool below
	eventCountEjections                      // who is out is counted
	eventDrainDeadline                       // a: the server whose time to stop has come
	eventScriptStep                          // a: the step of the script
	eventCheck                               // the checkers look
)

// event is one thing that is to happen.
type event struct {
	at              float64 // ms
	seq             uint64
	subject, detail int32
	server          int32  // server; -1 for none
	incarnation     uint32 // of the server's process that set it; it is void in the next
	kind            eventKind
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue is a heap with four children a node: half the depth of a binary one, and its children lie in two cache lines.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) len() int { return len(q.heap) }

// put adds an event; its place among those of one time is the order of the calls.
func (q *queue) put(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&q.heap[up]) {
			break
		}
		q.heap[i] = q.heap[up]
		i = up
	}
	q.heap[i] = e
}

// take removes the first event.
func (q *queue) take() event {
	first := q.heap[0]
	last := q.heap[len(q.heap)-1]
	q.heap = q.heap[:len(q.heap)-1]
	n := len(q.heap)
	if n == 0 {
		return first
	}
	i := 0
	for {
		c := 4*i + 1
		if c >= n {
			break
		}
		least := c
		for k := c + 1; k < min(c+4, n); k++ {
			if q.heap[k].before(&q.heap[least]) {
				least = k
			}
		}
		if !q.heap[least].before(&last) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = last
	return first
}
