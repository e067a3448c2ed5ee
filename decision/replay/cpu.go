package replay

// This file simulates the machine: processor sharing over a number of cores.

import (
	"container/heap"
	"math"
)

// utilizationTimeConstant in ms is the time constant of the simulated utilization gauge; the gauge covers half a second.
const utilizationTimeConstant = 250.0

// cpuModel shares its cores evenly among all runs, with at most one core per run.
type cpuModel struct {
	cores       float64
	now         float64
	servedMS    float64 // work done so far for a run that started at the beginning
	runs        runHeap
	utilization float64 // share of the cores that were busy recently
}

// activeRun is a run that ends when servedMS reaches until.
type activeRun struct {
	until float64
	rpc   uint32
}

// runHeap implements heap.Interface with the run that ends first at the top.
type runHeap []activeRun

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, k int) bool { return h[i].until < h[k].until }
func (h runHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push appends a run.
func (h *runHeap) Push(x any) { *h = append(*h, x.(activeRun)) }

// Pop removes the last run.
func (h *runHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// start begins a run that takes work ms on one core.
func (m *cpuModel) start(rpc uint32, work float64) {
	heap.Push(&m.runs, activeRun{until: m.servedMS + work, rpc: rpc})
}

// finishFirst removes the run that ends first.
func (m *cpuModel) finishFirst() (rpc uint32) { return heap.Pop(&m.runs).(activeRun).rpc }

// rate returns the work per ms that each run gets.
func (m *cpuModel) rate() float64 {
	return math.Min(1, m.cores/math.Max(1, float64(len(m.runs))))
}

// advance moves the clock forward to now. No run may end before now.
func (m *cpuModel) advance(now float64) {
	if now <= m.now {
		return
	}
	busy := math.Min(1, float64(len(m.runs))/m.cores)
	m.utilization += (1 - math.Exp(-(now-m.now)/utilizationTimeConstant)) * (busy - m.utilization)
	m.servedMS += (now - m.now) * m.rate()
	m.now = now
}

// nextCompletion returns the time at which the first run ends; +Inf if there are no runs.
func (m *cpuModel) nextCompletion() float64 {
	if len(m.runs) == 0 {
		return math.Inf(1)
	}
	return m.now + math.Max(0, m.runs[0].until-m.servedMS)/m.rate()
}
