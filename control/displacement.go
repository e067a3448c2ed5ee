package control

import "math"

// costDoubt is the part of its expected run time by which a single RPC's run time is trusted to be no shorter: cost
// hints are rough, and a run that has a core to itself costs little if it ends late.
const costDoubt = 0.5

// patience is the part of the time left before its latency objective that an RPC may wait in the queue. Heavier RPCs may
// wait longer, so under overload the queue stays so long that the lightest are rejected at once and the rest get in.
func patience(rank, relativeWeight float64) float64 {
	const (
		minPatience = 0.05 // the lightest of all are admitted while runs are free, and hardly otherwise
		maxPatience = 0.8  // leaves a fifth for what the estimate does not know
	)
	return math.Max(minPatience+(maxPatience-minPatience)*rank, maxPatience*math.Min(1, relativeWeight*relativeWeight))
}

// expectedWait is the expected time in the queue of an RPC that would be the last one before objective, if all queued
// RPCs of less than minWeight were displaced.
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

// exemptFromDisplacement tells whether an RPC has been queued for so long that it stays. Without a bound on that time it
// may be displaced as long as it is queued, which serves more where bursts of heavy RPCs are long.
func (c *Controller) exemptFromDisplacement(r *rpc) bool {
	return c.displaceableFor > 0 && c.now-r.readAt > c.displaceableFor
}

// canMeetObjective tells whether an RPC just read can meet its latency objective, with the patience that its weight
// gives it, if all queued RPCs of less than minWeight were displaced.
func (c *Controller) canMeetObjective(r *rpc, minWeight float64) bool {
	model := &c.runTimes[r.method]
	left := r.objective - c.now - c.expectedRunTime(r) - model.dependencyTime
	wait := c.expectedWait(r.objective, minWeight)
	if wait == 0 {
		return left+(1-costDoubt)*math.Max(0, 1-2*c.retries.rejectFraction)*c.expectedRunTime(r) > 0
	}
	return wait-c.expectedRunTime(r)/float64(c.runLimit.maxRuns()) < left*patience(r.rank, r.relativeWeight)
}

// displaceFor tells whether an RPC just read can meet its latency objective, and rejects lighter queued RPCs if it must:
// the lightest first.
func (c *Controller) displaceFor(r *rpc) bool {
	const lighter = 0.8 // of the weight: nearly equal ones stay
	maxWeight := lighter * r.weight
	for c.canMeetObjective(r, maxWeight) {
		if c.canMeetObjective(r, 0) {
			return true
		}
		c.shed(c.lightestQueued(r.objective, maxWeight))
	}
	return false
}

// lightestQueued is the index of the lightest RPC that is queued before objective, weighs less than maxWeight and may be
// displaced; -1 for none.
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

// hasMemory tells whether memory allows to queue an RPC just read, with its token, and still to run what is queued.
func (c *Controller) hasMemory() bool {
	const queueFraction = 0.8 // of the memory; the rest is for the growth of runs
	fits := c.usedKB+c.tokens.usedKB(c.now)+c.tokens.entryKB < queueFraction*c.node.MemoryKB
	c.memoryShort = c.memoryShort || !fits
	return fits
}
