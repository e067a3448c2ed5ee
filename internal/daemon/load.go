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

// This file owns what the guard of new versions judges by: the load of the last minutes, and the limits of a file that
// can starve a method. It must never make an RPC wait, nor count what came before the minutes that it names.

// The load is that of the last three minutes, in steps fine enough that a version may be checked within one.
const (
	samplePeriod = 10 * time.Second
	maxSamples   = 18
)

// minRateSpan is the shortest time over which a rate is measured.
const minRateSpan = time.Second

// loadSample is what a gate had counted since its start at one moment, by method.
type loadSample struct {
	at      time.Time
	methods []gate.MethodStats
}

// loadSampler samples what a gate counts. It is safe for concurrent use.
type loadSampler struct {
	counters func() []gate.MethodStats
	config   *startup.Config

	mu      sync.Mutex
	samples []loadSample // the oldest first, at least one
}

// newLoadSampler makes a sampler with a first sample.
func newLoadSampler(g *gate.Gate, config *startup.Config) *loadSampler {
	s := &loadSampler{counters: g.MethodStats, config: config}
	s.sample(time.Now())
	return s
}

// sample is called repeatedly; calls within samplePeriod of a sample take none.
func (s *loadSampler) sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) < samplePeriod {
		return
	}
	s.samples = append(s.samples, loadSample{now, s.counters()})
	if over := len(s.samples) - maxSamples; over > 0 {
		s.samples = append(s.samples[:0], s.samples[over:]...)
	}
}

// rates are the rates per second since the oldest sample; none if that is too recent.
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

// addCustomerRates adds the rates of the customers of one method between two counts.
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

// guardedLimits are the limits of a file that can starve a method.
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
