package control

import "math"

// minRunTimeFraction is the fraction of its expected run time that an RPC is assumed to take at least. Cost hints are
// inaccurate, and running an RPC on a free core costs little even if it ends late.
const minRunTimeFraction = 0.5

// maxWaitFraction returns the fraction of the time left before its latency objective that an RPC may wait in the queue.
// RPCs of greater weight may wait longer, so under overload the queue is long enough that the RPCs of least weight are
// rejected at once and the others are admitted.
func maxWaitFraction(rank, relativeWeight float64) float64 {
	const (
		minFraction = 0.05 // RPCs of the least weight are admitted while the run limit has capacity, and rarely otherwise
		maxFraction = 0.8  // leaves a fifth for errors of the estimate
	)
	return math.Max(minFraction+(maxFraction-minFraction)*rank, maxFraction*math.Min(1, relativeWeight*relativeWeight))
}

// expectedWait returns the expected queueing time in ms of an RPC with the given latency objective if all queued RPCs
// of a weight below minWeight were displaced.
func (c *Controller) expectedWait(objective, minWeight float64) float64 {
	ahead := 0.0
	for i := range c.rpcs.slots {
		r := &c.rpcs.slots[i]
		switch r.state {
		case running:
			expected := c.expectedRunTime(r)
			ahead += math.Max(expected-(c.now-r.startedAt), expected/4)
		case queued:
			if r.objective <= objective && (r.weight >= minWeight || c.exemptFromDisplacement(r)) {
				ahead += c.expectedRunTime(r)
			}
		}
	}
	runs := float64(c.runLimit.maxRuns())
	if float64(c.runningCount) < runs && c.queue.length == 0 {
		return 0
	}
	return ahead / runs
}

// exemptFromDisplacement reports whether an RPC has been queued for too long to be displaced. Without a limit on that
// time it may be displaced as long as it is queued, which serves more if bursts of RPCs of great weight are long.
func (c *Controller) exemptFromDisplacement(r *rpc) bool {
	return c.displaceableFor > 0 && c.now-r.readAt > c.displaceableFor
}

// canMeetObjective reports whether an RPC that has just been read can meet its latency objective, within the wait that
// its weight permits, if all queued RPCs of a weight below minWeight were displaced.
func (c *Controller) canMeetObjective(r *rpc, minWeight float64) bool {
	model := &c.runTimes[r.method]
	left := r.objective - c.now - c.expectedRunTime(r) - model.dependencyTime
	wait := c.expectedWait(r.objective, minWeight)
	if wait == 0 {
		return left+(1-minRunTimeFraction)*math.Max(0, 1-2*c.retries.rejectFraction)*c.expectedRunTime(r) > 0
	}
	return wait-c.expectedRunTime(r)/float64(c.runLimit.maxRuns()) < left*maxWaitFraction(r.rank, r.relativeWeight)
}

// displaceFor reports whether an RPC that has just been read can meet its latency objective. If necessary it rejects
// queued RPCs of less weight to make room, those of least weight first.
func (c *Controller) displaceFor(r *rpc) bool {
	const maxWeightRatio = 0.8 // RPCs of nearly equal weight are not displaced
	maxWeight := maxWeightRatio * r.weight
	for c.canMeetObjective(r, maxWeight) {
		if c.canMeetObjective(r, 0) {
			return true
		}
		c.shed(c.lightestQueued(r.objective, maxWeight))
	}
	return false
}

// lightestQueued returns the index of the RPC of least weight among those that are queued with a latency objective up
// to objective, have a weight below maxWeight and may be displaced. It returns -1 if there is none.
func (c *Controller) lightestQueued(objective, maxWeight float64) int {
	lightest := -1
	for i := range c.rpcs.slots {
		r := &c.rpcs.slots[i]
		candidate := r.state == queued && r.objective <= objective && r.weight < maxWeight && !c.exemptFromDisplacement(r)
		if candidate && (lightest < 0 || r.weight < c.rpcs.slots[lightest].weight) {
			lightest = i
		}
	}
	return lightest
}

// hasMemory reports whether there is enough memory to queue an RPC that has just been read, with its token, and still
// to run the queued RPCs.
func (c *Controller) hasMemory() bool {
	const queueFraction = 0.8 // of the memory; the rest is for RPCs that grow when they run
	fits := c.usedKB+c.tokens.usedKB(c.now)+c.tokens.entryKB < queueFraction*c.node.MemoryKB
	c.memoryShort = c.memoryShort || !fits
	return fits
}
