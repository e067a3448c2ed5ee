package control

import "slices"

// startRuns starts queued RPCs for which the run limit and the memory have capacity.
func (c *Controller) startRuns() {
	const runFraction = 0.95 // of the memory; the rest is for arrivals that nobody can reject before they are read
	for c.queue.length > 0 {
		maxRuns := c.runLimit.maxRuns()
		longRuns, blocked := c.occupancy()
		if c.runningCount+blocked >= maxRuns {
			return
		}
		i := c.queue.next(c.rpcs.slots, longRuns, maxRuns)
		r := &c.rpcs.slots[i]
		growthKB := r.queuedKB * (c.node.RunMemoryFactor - 1)
		if c.usedKB+growthKB+c.tokens.usedKB(c.now) > runFraction*c.node.MemoryKB {
			c.memoryShort = true
			return
		}
		c.queue.remove(i, r.lane)
		c.usedKB += growthKB
		r.memoryKB += growthKB
		r.startedAt = c.now
		r.state = running
		c.runningCount++
		c.emit(Action{Kind: Run, RPC: r.id})
	}
}

// occupancy counts long runs, and the RPCs that are blocked for lack of capacity at the dependency. These count against
// the run limit: what is started beside them would only come to be blocked there too, its work on the cores lost.
func (c *Controller) occupancy() (longRuns, blocked int) {
	for i := range c.rpcs.slots {
		r := &c.rpcs.slots[i]
		if r.state == running && r.lane == longLane {
			longRuns++
		} else if r.state == awaitingCall && !r.answered {
			blocked++
		}
	}
	return longRuns, blocked
}

// lane is one of the two lanes of the queue.
type lane int

// The lanes: runs expected to be of usual length, and those above longRunFactor times the mean.
const (
	shortLane lane = iota
	longLane
	laneCount
)

// runQueue holds the indexes of the queued RPCs in two lanes, each ordered by latency objective, the earliest first.
type runQueue struct {
	lanes  [laneCount][]int
	length int // of both lanes
}

// add inserts the RPC at index i of slots into its lane.
func (q *runQueue) add(slots []rpc, i int) {
	members := append(q.lanes[slots[i].lane], i)
	q.lanes[slots[i].lane] = members
	q.length++
	for k := len(members) - 1; k > 0 && slots[members[k]].objective < slots[members[k-1]].objective; k-- {
		members[k], members[k-1] = members[k-1], members[k]
	}
}

// remove takes the RPC at index i out of a lane. An RPC that was just read may be in none.
func (q *runQueue) remove(i int, l lane) {
	q.lanes[l] = slices.DeleteFunc(q.lanes[l], func(member int) bool { return member == i })
	q.length = len(q.lanes[shortLane]) + len(q.lanes[longLane])
}

// next is the index of the RPC to run next. Long runs get at most half of the run limit while short ones wait. The queue
// must not be empty.
func (q *runQueue) next(slots []rpc, longRuns, maxRuns int) int {
	short, long := q.lanes[shortLane], q.lanes[longLane]
	switch {
	case len(short) == 0:
		return long[0]
	case len(long) > 0 && 2*longRuns < maxRuns && slots[long[0]].objective < slots[short[0]].objective:
		return long[0]
	}
	return short[0]
}
