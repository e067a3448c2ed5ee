package daemon

// This file owns what the guard of new versions judges by: what the last minutes carried, and the limits of a file that can starve a
// method. It must never make an RPC wait, nor count what came before the minutes that it names.

import (
	"sync"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/configure"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

const (
	// carriedEvery and carriedKept are the minutes that count: three, in steps that a version may be judged in the midst of.
	samplePeriod = 10 * time.Second
	maxSamples   = 18
)

// carried samples what a gate counts since its start.
type loadSampler struct {
	counters func() []gate.MethodStats
	config   *startup.Config

	mu        sync.Mutex
	sampledAt []time.Time
	samples   [][]gate.MethodStats // the oldest first
}

func newLoadSampler(g *gate.Gate, told *startup.Config) *loadSampler {
	c := &loadSampler{counters: g.MethodStats, config: told}
	c.sample(time.Now())
	return c
}

// sample is called again and again; two within carriedEvery are one.
func (c *loadSampler) sample(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.sampledAt); n > 0 && now.Sub(c.sampledAt[n-1]) < samplePeriod {
		return
	}
	c.sampledAt, c.samples = append(c.sampledAt, now), append(c.samples, c.counters())
	if over := len(c.sampledAt) - maxSamples; over > 0 {
		c.sampledAt, c.samples = append(c.sampledAt[:0], c.sampledAt[over:]...), append(c.samples[:0], c.samples[over:]...)
	}
}

// figures are rates over the minutes that are known.
func (c *loadSampler) rates(now time.Time) *configure.Throughput {
	c.mu.Lock()
	defer c.mu.Unlock()
	from, is := c.samples[0], c.counters()
	s := now.Sub(c.sampledAt[0]).Seconds()
	f := &configure.Throughput{Methods: map[string]configure.MethodLoad{}, Customers: map[string]map[string]float64{}}
	if s < 1 { // too short to tell a rate
		return f
	}
	top := 0.0
	for i := range c.config.Methods {
		top = max(top, c.config.Methods[i].Criticality)
	}
	for i := range c.config.Methods {
		m := &c.config.Methods[i]
		n := float64(is[i].OK - from[i].OK)
		x := configure.MethodLoad{Protected: m.Idempotency == control.IdempotencyKeyed || m.Criticality >= top, Rate: n / s}
		if n > 0 {
			x.MeanRunMS = (is[i].RunMs - from[i].RunMs) / n
		}
		f.Methods[m.Name] = x
		for k := range c.config.Customers {
			if d := is[i].Customers[k] - from[i].Customers[k]; d > 0 {
				name := c.config.Customers[k].Name
				if f.Customers[name] == nil {
					f.Customers[name] = map[string]float64{}
				}
				f.Customers[name][m.Name] = float64(d) / s
			}
		}
	}
	return f
}

// limitsOf are the parts of a file that can starve a method.
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
