package control

import (
	"math"
	"slices"
)

// pump runs what the run limit and the memory have room for.
func (c *Controller) pump() {
	const share = 0.95 // of the memory; the rest is for reads that nobody can turn away unread
	for c.hold.n > 0 {
		runs := c.limit.runs()
		longRuns, stuck := c.crowd()
		if c.active+stuck >= runs {
			return
		}
		i := c.hold.next(c.in.rpc, longRuns, runs)
		r := &c.in.rpc[i]
		more := r.queuedKB * (c.node.RunMemoryFactor - 1)
		if c.used+more+c.keys.used(c.now) > share*c.node.MemoryKB {
			c.short = true
			return
		}
		c.hold.remove(i, r.line)
		c.used += more
		r.kb += more
		r.began = c.now
		r.state = running
		c.active++
		c.do(Action{Kind: Run, RPC: r.id})
	}
}

// crowd counts long runs, and the RPCs that wait for room below. These take the places of runs: what is
// started beside them would only come to stand there too, its work on the cores lost.
func (c *Controller) crowd() (longRuns, stuck int) {
	for i := range c.in.rpc {
		if r := &c.in.rpc[i]; r.state == running && r.line == long {
			longRuns++
		} else if r.state == standing && !r.answered {
			stuck++
		}
	}
	return longRuns, stuck
}

// hold keeps the RPCs that wait, in two lines by the time their answers are wanted.
type hold struct {
	line [2][]int
	n    int
}

func (h *hold) add(in []rpc, i int) {
	l := &h.line[in[i].line]
	*l = append(*l, i)
	h.n++
	for k := len(*l) - 1; k > 0 && in[(*l)[k]].target < in[(*l)[k-1]].target; k-- {
		(*l)[k], (*l)[k-1] = (*l)[k-1], (*l)[k]
	}
}

func (h *hold) remove(i, line int) {
	l := &h.line[line]
	*l = slices.DeleteFunc(*l, func(j int) bool { return j == i }) // one just read stands in none
	h.n = len(h.line[short]) + len(h.line[long])
}

// next is the RPC to run next. Long work gets at most half of the runs while short work waits.
func (h *hold) next(in []rpc, longRuns, runs int) int {
	light, heavy := h.line[short], h.line[long]
	switch {
	case len(light) == 0:
		return heavy[0]
	case len(heavy) > 0 && 2*longRuns < runs && in[heavy[0]].target < in[light[0]].target:
		return heavy[0]
	}
	return light[0]
}

// runLimit is how many RPCs run at once, calls not counted: just enough to keep the cores busy.
type runLimit struct {
	cold                 bool
	cores, ceiling       float64
	begin, start, warmBy float64
	onCore               float64 // share of the runs that want a core, the others wait for disk
	unread               float64 // wait of arrivals before they were read, over the tightest latency target
	now                  float64
}

// read hears how long an arrival waited unread; about ten arrivals are remembered.
func (l *runLimit) read(waited float64) { l.unread += 0.1 * (waited - l.unread) }

func (l *runLimit) step(now float64, g *Gauges, active int) {
	const weight = 0.02 // two seconds of memory at the usual period
	l.now = now
	if !g.Stale && active > 0 && float64(active) >= l.cores/2 {
		l.onCore += weight * (math.Min(1, g.Runnable/float64(active)) - l.onCore)
	}
}

// runs is the limit. The crowd that kills is told; it is kept to well under that, the less while cold.
func (l *runLimit) runs() int {
	const (
		most = 0.7 // part of the crowd that kills: all may come back from disk at once, and some from calls
		busy = 1.3 // runs on the cores for each core where others wait for disk: these come back in bunches
	)
	speed := 1.0
	if l.cold {
		speed = math.Min(1, l.start+(1-l.start)*(l.now-l.begin)/l.warmBy)
	}
	per := 1.0
	if l.onCore < 0.95 {
		per = busy / l.onCore
	}
	per = math.Min(per, most*(1+(l.ceiling-1)*speed))
	return int(math.Max(1, math.Round(per*l.cores)))
}
