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
	carriedEvery = 10 * time.Second
	carriedKept  = 18
)

// carried samples what a gate counts since its start.
type carried struct {
	of   func() []gate.MethodStats
	told *startup.Config

	mu  sync.Mutex
	at  []time.Time
	all [][]gate.MethodStats // the oldest first
}

func newCarried(g *gate.Gate, told *startup.Config) *carried {
	c := &carried{of: g.MethodStats, told: told}
	c.sample(time.Now())
	return c
}

// sample is called again and again; two within carriedEvery are one.
func (c *carried) sample(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.at); n > 0 && now.Sub(c.at[n-1]) < carriedEvery {
		return
	}
	c.at, c.all = append(c.at, now), append(c.all, c.of())
	if over := len(c.at) - carriedKept; over > 0 {
		c.at, c.all = append(c.at[:0], c.at[over:]...), append(c.all[:0], c.all[over:]...)
	}
}

// figures are rates over the minutes that are known.
func (c *carried) figures(now time.Time) *configure.Throughput {
	c.mu.Lock()
	defer c.mu.Unlock()
	from, is := c.all[0], c.of()
	s := now.Sub(c.at[0]).Seconds()
	f := &configure.Throughput{Methods: map[string]configure.MethodLoad{}, Customers: map[string]map[string]float64{}}
	if s < 1 { // too short to tell a rate
		return f
	}
	top := 0.0
	for i := range c.told.Methods {
		top = max(top, c.told.Methods[i].Criticality)
	}
	for i := range c.told.Methods {
		m := &c.told.Methods[i]
		n := float64(is[i].OK - from[i].OK)
		x := configure.MethodLoad{Protected: m.Idempotency == control.IdempotencyKeyed || m.Criticality >= top, Rate: n / s}
		if n > 0 {
			x.MeanRunMS = (is[i].RunMs - from[i].RunMs) / n
		}
		f.Methods[m.Name] = x
		for k := range c.told.Customers {
			if d := is[i].Customers[k] - from[i].Customers[k]; d > 0 {
				name := c.told.Customers[k].Name
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
func limitsOf(f *operator.File, cores float64) *configure.Limits {
	l := &configure.Limits{Quotas: f.Limits.Quotas, Pools: map[string]configure.Pool{}, MaxRuns: f.Limits.RunsPerCore * cores}
	for name, m := range f.Methods {
		if m.Pool != "" {
			p := f.Pools[m.Pool]
			l.Pools[name] = configure.Pool{Name: m.Pool, Connections: float64(p.MaxConnections * len(p.Members))}
		}
	}
	return l
}
