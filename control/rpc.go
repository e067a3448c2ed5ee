package control

// state is what an RPC in flight is doing.
type state uint8

const (
	free         state = iota // the slot holds no RPC
	queued                    // read, not run yet
	running                   // on a core or waiting for disk
	awaitingCall              // waits for us to make its dependency call
	calling                   // its dependency call is in flight
	joined                    // waits for the RPC that it duplicates
)

// rpc is one RPC in flight. It stays until its run is over, even when it has been answered. Times are ms; those named as
// a moment are clock values.
type rpc struct {
	id             uint32
	state          state
	method         int // index into the methods
	caller         uint16
	retry          bool // marked as a retry
	answered       bool
	tokenCached    bool
	lane           lane
	arrivedAt      float64 // when it reached the machine
	readAt         float64 // when it was read here
	startedAt      float64 // start of its run
	objective      float64 // when the response is wanted
	deadline       float64 // when the caller gives up
	cost           float64 // its cost hint, or the prior of its method if there is none
	queuedKB       float64 // its memory while queued
	memoryKB       float64 // its memory now
	dependencyTime float64 // time spent at dependency calls so far
	awaitingSince  float64 // when it came to its dependency call
	callAttempts   int     // calls made since then
	weight         float64 // what it counts for: criticality, reduced by quota and for retries
	rank           float64 // fraction of the latest arrivals that weigh less
	relativeWeight float64 // weight over the mean of the latest arrivals
}

// rpcTable holds the RPCs in flight in slots that are used again. Indexes of slots stay valid while the RPC is in flight.
type rpcTable struct {
	slots []rpc
	free  []int          // indexes of free slots, the next one last
	byID  map[uint32]int // index of the slot of each RPC
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
