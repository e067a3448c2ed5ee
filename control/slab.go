package control

// state is where an RPC in hand stands.
type state uint8

const (
	free     state = iota
	queued         // read, not run yet
	running        // on a core or waiting for disk
	standing       // waits for us to make its call
	calling        // its call is out
	joined         // waits for the RPC that it repeats
)

// The two lines of the hold.
const (
	short = iota
	long
)

// rpc is one RPC in hand. It stays until its run is over, even when it has been answered.
type rpc struct {
	id            uint32
	state         state
	method        int
	arrived       float64 // when it reached the machine
	read          float64 // when it was read here
	target        float64 // when the answer is wanted
	due           float64 // when the caller gives up
	work          float64 // hint, or 1 where there is none
	kb            float64 // memory held now
	queuedKB      float64
	began         float64 // start of its run
	below         float64 // time spent at calls so far
	stood         float64 // when it came to stand at its call
	line          int     // of the hold: short or long
	tokenCached   bool    // its token is remembered
	caller        uint16
	again         bool // marked as a further try
	answered      bool
	value         float64 // criticality that it counts for
	rank          float64 // where that stands among late arrivals, 0 to 1
	relativeValue float64 // value over the mean of late arrivals
	tries         int     // calls made at this stand
}

// slab keeps the RPCs in hand in places that are used again.
type slab struct {
	rpc   []rpc
	spare []int
	byID  map[uint32]int
}

// add puts an RPC into a place and returns the place.
func (s *slab) add(r rpc) int {
	if len(s.spare) == 0 {
		s.rpc = append(s.rpc, rpc{})
		s.spare = append(s.spare, len(s.rpc)-1)
	}
	n := len(s.spare) - 1
	i := s.spare[n]
	s.spare, s.rpc[i] = s.spare[:n], r
	s.byID[r.id] = i
	return i
}

// drop frees a place.
func (s *slab) drop(i int) {
	delete(s.byID, s.rpc[i].id)
	s.rpc[i].state = free
	s.spare = append(s.spare, i)
}
