package control

import "math"

// runLimit bounds how many RPCs run at once, those at a dependency call not counted: just enough to keep the cores busy.
type runLimit struct {
	cores            float64
	maxPerCore       float64 // runnable RPCs per core that a warm node survives
	warmingUp        bool    // as in Node
	initialSpeed     float64 // as in Node
	warmUpTime       float64 // as in Node
	startedAt        float64 // clock value in ms
	now              float64 // clock value in ms at the latest timer
	runnableFraction float64 // fraction of the runs that want a core; the others wait for disk
	unreadWait       float64 // mean wait of arrivals before they are read, in tightest latency objectives
}

func newRunLimit(node *Node, maxPerCore float64) runLimit {
	return runLimit{
		cores:            float64(node.Cores),
		maxPerCore:       maxPerCore,
		warmingUp:        node.WarmingUp,
		initialSpeed:     node.InitialSpeed,
		warmUpTime:       node.WarmUpTime,
		runnableFraction: 1,
	}
}

// observeUnreadWait takes in how long an arrival waited unread, in tightest latency objectives.
func (l *runLimit) observeUnreadWait(wait float64) {
	const weight = 0.1 // about ten arrivals of memory
	l.unreadWait += weight * (wait - l.unreadWait)
}

// step takes in the gauges at a timer while so many RPCs run.
func (l *runLimit) step(now float64, g *Gauges, running int) {
	const weight = 0.02 // two seconds of memory at the usual period
	l.now = now
	if !g.Stale && running > 0 && float64(running) >= l.cores/2 {
		l.runnableFraction += weight * (math.Min(1, g.Runnable/float64(running)) - l.runnableFraction)
	}
}

// maxRuns is the limit. It stays well under the number of runs that a node does not survive, the more so while the node
// is warming up.
func (l *runLimit) maxRuns() int {
	const (
		safePart      = 0.7  // of what a node survives: all may come back from disk at once, and some from calls
		oversubscribe = 1.3  // runs on the cores per core where others wait for disk: these come back in bunches
		allRunnable   = 0.95 // runnable fraction from which on no run is taken to wait for disk
	)
	speed := 1.0
	if l.warmingUp {
		speed = math.Min(1, l.initialSpeed+(1-l.initialSpeed)*(l.now-l.startedAt)/l.warmUpTime)
	}
	perCore := 1.0
	if l.runnableFraction < allRunnable {
		perCore = oversubscribe / l.runnableFraction
	}
	perCore = math.Min(perCore, safePart*(1+(l.maxPerCore-1)*speed))
	return int(math.Max(1, math.Round(perCore*l.cores)))
}
