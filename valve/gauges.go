package valve

import (
	"runtime/metrics"
	"sync"
	"syscall"
	"time"
)

const (
	// gaugeWindow is the interval over which the CPU utilization is averaged. The decisions are tuned to half a second.
	gaugeWindow = 500 * time.Millisecond
	// minGaugeWindow is the shortest interval over which the CPU utilization is averaged, just after the start.
	minGaugeWindow = gaugeWindow / 10
	// maxSamples is the number of CPU samples retained: enough for one every 40 ms within gaugeWindow, with a reserve.
	maxSamples = 32
)

// The runtime metrics whose sum is Gauges.Runnable.
const (
	runningMetric  = "/sched/goroutines/running:goroutines"
	runnableMetric = "/sched/goroutines/runnable:goroutines"
)

// processGauges measures this process. It may be used by several goroutines at once.
type processGauges struct {
	cores float64

	mu         sync.Mutex
	goroutines []metrics.Sample // nil if the runtime does not provide these metrics
	samples    [maxSamples]cpuSample
	sampled    int // number of samples taken so far; the last maxSamples are retained
}

// cpuSample is the CPU time that the process had used at one point in time.
type cpuSample struct {
	at   time.Time
	used time.Duration
}

func newProcessGauges(cores int) *processGauges {
	g := &processGauges{
		cores:      float64(cores),
		goroutines: []metrics.Sample{{Name: runningMetric}, {Name: runnableMetric}},
	}
	metrics.Read(g.goroutines)
	for _, s := range g.goroutines {
		if s.Value.Kind() != metrics.KindUint64 {
			g.goroutines = nil
			break
		}
	}
	return g
}

// read returns the gauges. It returns false if the system or the runtime does not provide them, and until two samples are
// at least minGaugeWindow apart.
func (g *processGauges) read() (Gauges, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil || g.goroutines == nil {
		return Gauges{}, false
	}
	now := cpuSample{at: time.Now(), used: time.Duration(usage.Utime.Nano() + usage.Stime.Nano())}
	g.samples[g.sampled%maxSamples] = now
	g.sampled++
	first, ok := g.oldest(now.at)
	if !ok {
		return Gauges{}, false
	}
	elapsed := now.at.Sub(first.at)
	if elapsed < minGaugeWindow {
		return Gauges{}, false
	}
	utilization := float64(now.used-first.used) / float64(elapsed) / g.cores
	metrics.Read(g.goroutines)
	running := g.goroutines[0].Value.Uint64()
	runnable := g.goroutines[1].Value.Uint64()
	others := float64(running+runnable) - 1 // excluding the goroutine that reads the metrics
	return Gauges{CPUUtilization: min(1, utilization), Runnable: max(0, others)}, true
}

// oldest returns the oldest sample within gaugeWindow, excluding the latest one, or false if there is none.
func (g *processGauges) oldest(now time.Time) (cpuSample, bool) {
	for i := max(0, g.sampled-maxSamples); i < g.sampled-1; i++ {
		if s := g.samples[i%maxSamples]; now.Sub(s.at) <= gaugeWindow {
			return s, true
		}
	}
	return cpuSample{}, false
}
