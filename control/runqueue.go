package control

import "slices"

// startRuns starts queued RPCs while the run limit and the memory have capacity.
func (c *Controller) startRuns() {
	const runFraction = 0.95 // of the memory; the rest is for arrivals, which cannot be rejected before they are read
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

// occupancy returns the number of long runs and the number of RPCs that are blocked because the dependency has no
// capacity. Blocked RPCs count against the run limit: further RPCs would most likely be blocked as well, and their work
// on the cores would be wasted.
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

// The lanes. RPCs whose expected run time exceeds longRunFactor times the mean are put into the long lane.
const (
	shortLane lane = iota
	longLane
	laneCount
)

// runQueue holds the indexes of the queued RPCs in two lanes. Each lane is ordered by latency objective, earliest
// first.
type runQueue struct {
	lanes  [laneCount][]int
	length int // total length of both lanes
}

// add inserts the RPC at index i of slots into its lane.
func (q *runQueue) add(slots []rpc, i int) {
	indexes := append(q.lanes[slots[i].lane], i)
	q.lanes[slots[i].lane] = indexes
	q.length++
	for k := len(indexes) - 1; k > 0 && slots[indexes[k]].objective < slots[indexes[k-1]].objective; k-- {
		indexes[k], indexes[k-1] = indexes[k-1], indexes[k]
	}
}

// remove removes the RPC at index i from a lane. It does nothing if the RPC has just been read and is not queued yet.
func (q *runQueue) remove(i int, l lane) {
	q.lanes[l] = slices.DeleteFunc(q.lanes[l], func(index int) bool { return index == i })
	q.length = len(q.lanes[shortLane]) + len(q.lanes[longLane])
}

// next returns the index of the RPC to run next. Long runs get at most half of the run limit while RPCs in the short
// lane are waiting. The queue must not be empty.
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
