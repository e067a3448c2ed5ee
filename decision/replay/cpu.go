package replay

// This file owns the simulated machine: processor sharing over a number of cores.

import (
	"container/heap"
	"math"
)

// utilizationTimeConstant in ms is that of the utilization gauge, which stands for half a second.
const utilizationTimeConstant = 250.0

// cpuModel shares its cores evenly among all runs. A run gets at most one core.
type cpuModel struct {
	cores       float64
	now         float64
	servedMS    float64 // work that a run since the beginning would have had
	runs        runHeap
	utilization float64 // recent share of the cores that were busy
}

// activeRun ends once servedMS reaches until.
type activeRun struct {
	until float64
	rpc   uint32
}

// runHeap implements heap.Interface, the run that ends first at the top.
type runHeap []activeRun

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, k int) bool { return h[i].until < h[k].until }
func (h runHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push appends a run.
func (h *runHeap) Push(x any) { *h = append(*h, x.(activeRun)) }

// Pop removes the last run.
func (h *runHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// start begins a run that takes so much work.
func (m *cpuModel) start(rpc uint32, work float64) {
	heap.Push(&m.runs, activeRun{until: m.servedMS + work, rpc: rpc})
}

// finishFirst removes the run that ends first.
func (m *cpuModel) finishFirst() (rpc uint32) { return heap.Pop(&m.runs).(activeRun).rpc }

// rate returns the work per ms that each run gets.
func (m *cpuModel) rate() float64 {
	return math.Min(1, m.cores/math.Max(1, float64(len(m.runs))))
}

// advance moves the clock on; no run may end before.
func (m *cpuModel) advance(now float64) {
	if now <= m.now {
		return
	}
	busy := math.Min(1, float64(len(m.runs))/m.cores)
	m.utilization += (1 - math.Exp(-(now-m.now)/utilizationTimeConstant)) * (busy - m.utilization)
	m.servedMS += (now - m.now) * m.rate()
	m.now = now
}

// nextCompletion returns when the first run ends; +Inf without runs.
func (m *cpuModel) nextCompletion() float64 {
	if len(m.runs) == 0 {
		return math.Inf(1)
	}
	return m.now + math.Max(0, m.runs[0].until-m.servedMS)/m.rate()
}
