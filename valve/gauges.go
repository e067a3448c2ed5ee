package valve

// This file owns the gauges of a process without an engine: how busy its cores are and how much work wants one. It must
// never tell a figure that it could not read.

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"
)

// cores is how many the process may use at once.
func cores() int { return runtime.GOMAXPROCS(0) }

const (
	// span is what the share of busy cores is taken over: the decisions are tuned to half a second.
	span = 500 * time.Millisecond
	// looks is how many looks are kept for it: one each 40 ms, and some more.
	looks = 32
)

// ownGauges reads this process's own.
type ownGauges struct {
	cores float64

	mu      sync.Mutex
	samples []metrics.Sample
	at      [looks]time.Time
	used    [looks]time.Duration // CPU time so far
	n       int
}

func newOwnGauges(cores int) *ownGauges {
	g := &ownGauges{cores: float64(cores)}
	for _, name := range []string{"/sched/goroutines/running:goroutines", "/sched/goroutines/runnable:goroutines"} {
		g.samples = append(g.samples, metrics.Sample{Name: name})
	}
	metrics.Read(g.samples)
	for _, s := range g.samples {
		if s.Value.Kind() != metrics.KindUint64 {
			g.samples = nil // a runtime that does not tell
			break
		}
	}
	return g
}

// read returns the gauges; false until there is a span to take them over, or where the system does not tell.
func (g *ownGauges) read() (Gauges, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil || g.samples == nil {
		return Gauges{}, false
	}
	now := time.Now()
	used := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	g.at[g.n%looks], g.used[g.n%looks] = now, used
	g.n++
	first := -1
	for i := max(0, g.n-looks); i < g.n-1; i++ { // the oldest look within the span
		if now.Sub(g.at[i%looks]) <= span {
			first = i % looks
			break
		}
	}
	if first < 0 {
		return Gauges{}, false
	}
	gap := now.Sub(g.at[first])
	if gap < span/10 {
		return Gauges{}, false
	}
	use := float64(used-g.used[first]) / float64(gap) / g.cores
	metrics.Read(g.samples)
	on := float64(g.samples[0].Value.Uint64()+g.samples[1].Value.Uint64()) - 1 // but the one that looks
	return Gauges{CPUUtilization: min(1, use), Runnable: max(0, on)}, true
}
