package daemon

import (
	"sync"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/configure"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

// This file computes the inputs of configure.Guard, which rejects new versions that would starve a method: the load of the
// last minutes, and the limits of a file. It must never delay an RPC, nor count load older than those minutes.

// The samples span the last three minutes, at a period short enough that a version can be checked between two samples.
const (
	samplePeriod = 10 * time.Second
	maxSamples   = 18
)

// minRateSpan is the minimum duration over which a rate is computed.
const minRateSpan = time.Second

// loadSample holds the counters of a gate at one time, by method. They count since the gate's start.
type loadSample struct {
	at      time.Time
	methods []gate.MethodStats
}

// loadSampler samples the counters of a gate. It is safe for concurrent use.
type loadSampler struct {
	counters func() []gate.MethodStats
	config   *startup.Config

	mu      sync.Mutex
	samples []loadSample // oldest first; at least one
}

// newLoadSampler creates a sampler and takes the first sample.
func newLoadSampler(g *gate.Gate, config *startup.Config) *loadSampler {
	s := &loadSampler{counters: g.MethodStats, config: config}
	s.sample(time.Now())
	return s
}

// sample takes a sample unless the latest one is more recent than samplePeriod. It must be called periodically.
func (s *loadSampler) sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) < samplePeriod {
		return
	}
	s.samples = append(s.samples, loadSample{now, s.counters()})
	if excess := len(s.samples) - maxSamples; excess > 0 {
		s.samples = append(s.samples[:0], s.samples[excess:]...)
	}
}

// rates returns the rates per second since the oldest sample. It is empty if that sample is more recent than minRateSpan.
func (s *loadSampler) rates(now time.Time) *configure.Throughput {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.samples[0]
	current := s.counters()
	t := &configure.Throughput{Methods: map[string]configure.MethodLoad{}, Customers: map[string]map[string]float64{}}
	seconds := now.Sub(oldest.at).Seconds()
	if seconds < minRateSpan.Seconds() {
		return t
	}
	highest := 0.0
	for i := range s.config.Methods {
		highest = max(highest, s.config.Methods[i].Criticality)
	}
	for i := range s.config.Methods {
		method := &s.config.Methods[i]
		count := float64(current[i].OK - oldest.methods[i].OK)
		load := configure.MethodLoad{
			Protected: method.Idempotency == control.IdempotencyKeyed || method.Criticality >= highest,
			Rate:      count / seconds,
		}
		if count > 0 {
			load.MeanRunMS = (current[i].RunMs - oldest.methods[i].RunMs) / count
		}
		t.Methods[method.Name] = load
		s.addCustomerRates(t, method.Name, seconds, &oldest.methods[i], &current[i])
	}
	return t
}

// addCustomerRates adds the customers' rates of one method between two readings of its counters.
func (s *loadSampler) addCustomerRates(t *configure.Throughput, method string, seconds float64, from, to *gate.MethodStats) {
	for i := range s.config.Customers {
		count := to.Customers[i] - from.Customers[i]
		if count <= 0 {
			continue
		}
		name := s.config.Customers[i].Name
		if t.Customers[name] == nil {
			t.Customers[name] = map[string]float64{}
		}
		t.Customers[name][method] = float64(count) / seconds
	}
}

// guardedLimits returns the limits of a file that can starve a method.
func guardedLimits(f *operator.File, cores float64) *configure.Limits {
	l := &configure.Limits{Quotas: f.Limits.Quotas, Pools: map[string]configure.Pool{}, MaxRuns: f.Limits.RunsPerCore * cores}
	for name, m := range f.Methods {
		if m.Pool != "" {
			p := f.Pools[m.Pool]
			l.Pools[name] = configure.Pool{Name: m.Pool, Connections: float64(p.MaxConnections * len(p.Members))}
		}
	}
	return l
}
