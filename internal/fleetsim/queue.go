package fleetsim

// This file owns the events in the order of their times. Of two at one time the one that was put first comes first, so that a
// run is the same each time. It must never allocate once it has grown.

// kind is what an event is.
type kind uint8

const (
	evPacket    kind = iota // a: the packet's place
	evTick                  // the fleet's part ticks
	evGateTick              // the decisions tick
	evProbe                 // the detector asks its next peer
	evProbeLate             // a: the peer, b: the probe's number; no answer has come yet
	evProbeOver             // a, b as above
	evSuspect               // a: the peer, b: the incarnation
	evPulse                 // the own record is said anew
	evGossip                //
	evExchange              // the detector's exchange of states with somebody
	evJoin                  // a: whom
	evEngine                // a: the engine's version
	evArrive                // an RPC reaches a router
	evRead                  // a: the RPC reaches the server; b: the try
	evAnswer                // a: the RPC's answer reaches the router; b: the try
	evGiveUp                // a: the RPC
	evOwed                  // a: the RPC, b: the try; by now its answer must have been given
	evShare                 // the budgets tick
	evTake                  // a: the budget
	evLoad                  // the next RPC of the budgets' load
	evCall                  // an RPC for the pool below
	evCallOver              // a: the try; b: the member
	evQuiet                 // a: a try without an answer long after the usual; b: which of those at that place
	evLook                  // a server looks at the pool below
	evCount                 // who is out is counted
	evStop                  // a: the server whose time to stop has come
	evAct                   // a: the step of the script
	evCheck                 // the checkers look
)

// event is one thing that is to happen.
type event struct {
	at   float64 // ms
	seq  uint64
	a, b int32
	who  int32  // server; -1 for none
	life uint32 // of the server's process that set it; it is void in the next
	kind kind
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
