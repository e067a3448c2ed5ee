package fleetsim

// This file holds the event queue. Events of the same time come in the order in which they were put, so that a run is
// reproducible; once the heap has grown, nothing is allocated.

// eventKind tells what an event is; its fields subject and detail depend on it.
type eventKind uint8

const (
	eventPacket             eventKind = iota // subject: index of the packet
	eventHealthTick                          // decision/health ticks
	eventGateTick                            // the gate ticks
	eventHealthCheck                         // the detector checks its next peer
	eventHealthCheckTimeout                  // subject: peer, detail: number of the check, which has no answer yet
	eventHealthCheckEnd                      // subject: peer, detail: number of the check
	eventSuspicionTimeout                    // subject: peer
	eventHeartbeat                           // the server publishes its own record anew
	eventGossipRound                         // queued updates go to some peers
	eventPushPull                            // full exchange of states with a peer
	eventJoin                                // subject: peer, detail: attempt
	eventJobDone                             // subject: version of the job schedule
	eventRPCArrival                          // an RPC reaches a router
	eventRPCRead                             // subject: RPC that reaches its server, detail: attempt
	eventResponse                            // subject: RPC whose response reaches the router, detail: attempt
	eventRPCDeadline                         // subject: RPC
	eventAnswerDue                           // subject: RPC, detail: attempt, which must have been answered by now
	eventQuotaTick                           // decision/quota ticks
	eventQuotaRequest                        // subject: customer
	eventQuotaArrival                        // the next RPC of the quota load
	eventBackendCall                         // the next RPC for the backend pool
	eventAttemptDone                         // subject: attempt, detail: member
	eventAttemptLate                         // subject: attempt much later than usual, detail: its number
	eventBackendTick                         // a server's pool and outlier detection tick
	eventCountEjections                      // ejected members are counted
	eventDrainDeadline                       // subject: server whose drain ends
	eventScriptStep                          // subject: step of the script
	eventCheck                               // the checkers run
)

// event is something that happens at a time. Without pointers it costs the garbage collector nothing.
type event struct {
	at          float64 // virtual time in ms
	sequence    uint64  // order among events of the same time
	subject     int32
	detail      int32
	server      int32  // or noServer
	incarnation uint32 // of the process that scheduled it: void in a later one
	kind        eventKind
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// heapArity is the number of children of a node: four halve the depth of a binary heap, and lie in two cache lines.
const heapArity = 4

// queue is a d-ary heap of events.
type queue struct {
	heap         []event
	lastSequence uint64
}

func (q *queue) len() int { return len(q.heap) }

// put adds an event; events of the same time are taken in the order of the calls.
func (q *queue) put(e event) {
	q.lastSequence++
	e.sequence = q.lastSequence
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// take removes the first event. The queue must not be empty.
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
		child := heapArity*i + 1
		if child >= n {
			break
		}
		smallest := child
		for k := child + 1; k < min(child+heapArity, n); k++ {
			if q.heap[k].before(&q.heap[smallest]) {
				smallest = k
			}
		}
		if !q.heap[smallest].before(&last) {
			break
		}
		q.heap[i] = q.heap[smallest]
		i = smallest
	}
	q.heap[i] = last
	return first
}
