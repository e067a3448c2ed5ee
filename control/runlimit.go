package control

import "math"

// runLimit limits the number of RPCs that run concurrently to just enough to keep the cores busy. RPCs at a dependency
// call do not count.
type runLimit struct {
	cores            float64
	maxPerCore       float64 // number of runnable RPCs per core that a warm node survives
	warmingUp        bool    // as in Node
	initialSpeed     float64 // as in Node
	warmUpTime       float64 // as in Node
	startedAt        float64 // clock value in ms
	now              float64 // clock value in ms at the latest timer
	runnableFraction float64 // fraction of the running RPCs that need a core; the others wait for disk I/O
	unreadWait       float64 // mean time that arrivals wait before they are read, over the shortest latency objective
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

// observeUnreadWait records the time that an arrival waited before it was read, as a multiple of the shortest latency
// objective.
func (l *runLimit) observeUnreadWait(wait float64) {
	const weight = 0.1 // averages over about ten arrivals
	l.unreadWait += weight * (wait - l.unreadWait)
}

// step updates the limit from the gauges at a timer. running is the number of running RPCs.
func (l *runLimit) step(now float64, g *Gauges, running int) {
	const weight = 0.02 // averages over about two seconds at tickPeriod
	l.now = now
	if !g.Stale && running > 0 && float64(running) >= l.cores/2 {
		l.runnableFraction += weight * (math.Min(1, g.Runnable/float64(running)) - l.runnableFraction)
	}
}

// maxRuns returns the limit. It is well below the number of runs at which the node fails, and lower while the node is
// warming up.
func (l *runLimit) maxRuns() int {
	const (
		safeFraction  = 0.7  // of the runs that a node survives, as all may return from disk at once, and some from calls
		oversubscribe = 1.3  // runnable RPCs per core if others wait for disk, as these return from disk in bursts
		allRunnable   = 0.95 // runnable fraction from which no run is assumed to wait for disk
	)
	speed := 1.0
	if l.warmingUp {
		speed = math.Min(1, l.initialSpeed+(1-l.initialSpeed)*(l.now-l.startedAt)/l.warmUpTime)
	}
	perCore := 1.0
	if l.runnableFraction < allRunnable {
		perCore = oversubscribe / l.runnableFraction
	}
	perCore = math.Min(perCore, safeFraction*(1+(l.maxPerCore-1)*speed))
	return int(math.Max(1, math.Round(perCore*l.cores)))
}
