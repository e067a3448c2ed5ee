package control

// state is what an RPC in flight is doing.
type state uint8

const (
	free         state = iota // the slot holds no RPC
	queued                    // read, but not running yet
	running                   // on a core or waiting for disk I/O
	awaitingCall              // its dependency call has not been made yet
	calling                   // its dependency call is in flight
	joined                    // waits for the result of the RPC that it duplicates
)

// rpc is an RPC in flight. It stays in the table until its run has ended, even if it has been answered. Durations are
// in ms; the fields whose names end in At or Since, objective and deadline are clock values in ms.
type rpc struct {
	id             uint32
	state          state
	method         int // index into the methods
	caller         uint16
	retry          bool // marked as a retry
	answered       bool
	tokenCached    bool
	lane           lane
	arrivedAt      float64 // when the RPC reached the machine
	readAt         float64 // when the RPC was read by the server
	startedAt      float64 // when the run started
	objective      float64 // when the response is wanted
	deadline       float64 // when the caller gives up
	cost           float64 // cost hint, or the prior run time of the method if there is none
	queuedKB       float64 // memory while queued
	memoryKB       float64 // current memory
	dependencyTime float64 // time spent at dependency calls so far
	awaitingSince  float64 // when the RPC reached its dependency call
	callAttempts   int     // number of attempts of the current dependency call
	weight         float64 // criticality, reduced if the RPC is over quota or a retry
	rank           float64 // fraction of the latest arrivals that have less weight
	relativeWeight float64 // ratio of the weight to the mean of the latest arrivals
}

// rpcTable holds the RPCs in flight in reusable slots. The index of a slot stays valid while its RPC is in flight.
type rpcTable struct {
	slots []rpc
	free  []int          // indexes of free slots; the last one is used next
	byID  map[uint32]int // slot index by RPC identifier
}

// add puts an RPC into a slot and returns its index.
func (t *rpcTable) add(r rpc) int {
	if len(t.free) == 0 {
		t.slots = append(t.slots, rpc{})
		t.free = append(t.free, len(t.slots)-1)
	}
	last := len(t.free) - 1
	i := t.free[last]
	t.free = t.free[:last]
	t.slots[i] = r
	t.byID[r.id] = i
	return i
}

// remove frees a slot.
func (t *rpcTable) remove(i int) {
	delete(t.byID, t.slots[i].id)
	t.slots[i].state = free
	t.free = append(t.free, i)
}
