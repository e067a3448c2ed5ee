// Package valve embeds sorrelvalve's overload control in a Go program. For every RPC it decides whether to admit it, when to
// run it and how to reject it. It makes the same decisions as the daemon and gives the same four guarantees:
//   - No RPC is lost: each RPC that Admit accepts gets one final answer by its deadline.
//   - No effect happens twice: an RPC with an idempotency token runs once within its deduplication window.
//   - A drain ends in time.
//   - Nothing grows without bound.
//
// A program creates a Valve for each machine or process that it runs on, calls Admit for every RPC before it does the work,
// and completes each Run that Admit returns. Package httpvalve does so for net/http, and package ginvalve for gin.
//
// All methods of a Valve and of a Run are safe for use by several goroutines at once.
package valve

import (
	"fmt"
	"sync"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/store"
	"sorrelvalve/internal/trace"
)

// Valve is the admission control of one machine or process.
type Valve struct {
	gate     *gate.Gate
	methods  map[string]Method
	clock    func() time.Time
	gauges   func() (Gauges, bool)
	recorder *trace.Recorder // nil if no trace is recorded
	store    *store.Store    // nil if tokens are kept in memory only

	closed    chan struct{}  // closed by Close to end tickLoop
	ticker    sync.WaitGroup // waits for tickLoop
	closeOnce sync.Once
}

// New returns a Valve that admits RPCs immediately. The caller must close it. The error names the invalid option.
func New(o Options) (*Valve, error) {
	config, err := o.startupConfig()
	if err != nil {
		return nil, err
	}
	log := gate.Log(func(string, string) {})
	if o.Log != nil {
		log = o.Log
	}
	v := &Valve{
		gate:    gate.New(config, o.gateMemoryMB(), log),
		methods: map[string]Method{},
		clock:   time.Now,
		gauges:  o.Gauges,
		closed:  make(chan struct{}),
	}
	for _, m := range o.Methods {
		v.methods[m.Name] = m
	}
	if o.Clock != nil {
		v.clock = o.Clock
		v.gate.UseClock(o.Clock)
	}
	if v.gauges == nil {
		v.gauges = newProcessGauges(config.Node.Cores).read
	}
	if o.Store != nil {
		if v.store, err = o.Store.open(config.Methods); err != nil {
			return nil, fmt.Errorf("valve: Store: %w", err)
		}
		v.gate.UseTokenStore(store.TokenStore{Store: v.store})
	}
	if o.Trace != nil {
		v.recorder = o.Trace.recorder()
	}
	if o.Observer != nil || v.recorder != nil {
		v.gate.UseTracer(&eventTracer{observe: o.Observer, recorder: v.recorder})
	}
	v.gate.Start(o.WarmingUp, 0)
	if o.Clock == nil {
		v.ticker.Go(v.tickLoop)
	}
	return v, nil
}

// tickLoop calls Tick until the Valve is closed.
func (v *Valve) tickLoop() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-v.closed:
			return
		case <-t.C:
		}
		t.Reset(v.Tick())
	}
}

// Tick advances the clock of the controller and returns the time until Tick should be called again. A Valve without
// Options.Clock calls Tick itself.
func (v *Valve) Tick() time.Duration {
	g, ok := v.gauges()
	if !ok {
		return v.gate.Tick(nil)
	}
	return v.gate.Tick([]float64{g.CPUUtilization, g.Runnable}) // in the order of Gauges in startupConfig
}

// Drain announces that the program will stop after the given period. RPCs that arrive after the grace period
// (Options.DrainGrace) are rejected, and every RPC is answered before the stop. Drain does not block.
func (v *Valve) Drain(period time.Duration) { v.gate.Drain(period) }

// Healthy returns the result to be reported to health checks.
func (v *Valve) Healthy() bool { return v.gate.Healthy() }

// InFlight returns the number of RPCs that have no final answer or whose run has not ended.
func (v *Valve) InFlight() int { return v.gate.InFlight() }

// Method returns the options of the named method, or false if there is no such method.
func (v *Valve) Method(name string) (Method, bool) {
	m, ok := v.methods[name]
	return m, ok
}

// CapRetryAfter limits a retry-after that the program itself sets to the longest one that callers honour.
func (v *Valve) CapRetryAfter(d time.Duration) time.Duration {
	return duration(v.gate.CapRetryAfter(milliseconds(d)))
}

// Close stops the Valve and all its goroutines. Queued RPCs are rejected, the callers of running RPCs get an abort, and no
// further RPC is admitted. To let RPCs complete, call Drain and wait before Close. Further calls have no effect.
func (v *Valve) Close() {
	v.closeOnce.Do(func() {
		close(v.closed)
		v.ticker.Wait()
		v.gate.Close()
		if v.recorder != nil {
			v.recorder.Close()
		}
		if v.store != nil {
			_ = v.store.Close() // the records are synced, so an error concerns only files that are not used again
		}
	})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
