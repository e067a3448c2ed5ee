// Package valve embeds sorrelvalve's overload control in a Go program. For every RPC it decides whether to admit it, when to
// run it and how to reject it, by the same decisions as the daemon and with the same four guarantees: no RPC is lost, as
// each that Admit takes gets one final answer by its deadline; no effect happens twice, as an RPC with an idempotency token
// runs once within its deduplication window; a drain ends in time; and nothing grows without bound.
//
// A program makes a Valve for each machine or process that it runs on, calls Admit for every RPC before it does the work,
// and completes each Run that it gets. Package httpvalve does that for net/http, package ginvalve for gin.
//
// All methods of a Valve and of a Run may be called by many goroutines at once.
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

	closed    chan struct{}  // closed by Close; ends tickLoop
	ticker    sync.WaitGroup // of tickLoop
	closeOnce sync.Once
}

// New returns a Valve that admits RPCs at once and must be closed. The error names the option at fault.
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

// tickLoop ticks until Close.
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

// Tick moves the clock of the decisions on and returns the time until it should be called next. A Valve without
// Options.Clock calls it itself.
func (v *Valve) Tick() time.Duration {
	g, ok := v.gauges()
	if !ok {
		return v.gate.Tick(nil)
	}
	return v.gate.Tick([]float64{g.CPUUtilization, g.Runnable}) // in the order of startupConfig's Gauges
}

// Drain announces that the program will stop after the given period: what arrives past the grace period is rejected, and
// every RPC is answered before the stop. It does not block.
func (v *Valve) Drain(period time.Duration) { v.gate.Drain(period) }

// Healthy returns the answer to health checks.
func (v *Valve) Healthy() bool { return v.gate.Healthy() }

// InFlight returns the number of RPCs without a final answer or with a run that has not ended.
func (v *Valve) InFlight() int { return v.gate.InFlight() }

// Method returns the options of a method; false if there is none of that name.
func (v *Valve) Method(name string) (Method, bool) {
	m, ok := v.methods[name]
	return m, ok
}

// CapRetryAfter limits a retry-after of the program's own to the longest that callers heed.
func (v *Valve) CapRetryAfter(d time.Duration) time.Duration {
	return duration(v.gate.CapRetryAfter(milliseconds(d)))
}

// Close ends the Valve and all its goroutines: what is queued is rejected, what runs is aborted as far as its caller is
// concerned, and nothing more is admitted. Call Drain and wait before, so that nothing is cut short. Later calls do nothing.
func (v *Valve) Close() {
	v.closeOnce.Do(func() {
		close(v.closed)
		v.ticker.Wait()
		v.gate.Close()
		if v.recorder != nil {
			v.recorder.Close()
		}
		if v.store != nil {
			_ = v.store.Close() // its records are synced; only files that are not used again can fail to close
		}
	})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
