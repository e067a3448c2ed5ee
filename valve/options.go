package valve

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

// Idempotency determines whether an RPC of a method may run more than once.
type Idempotency int

// The idempotency classes of methods.
const (
	Idempotent       Idempotency = iota // may run more than once
	IdempotencyKeyed                    // carries an idempotency token that identifies duplicates
	NonIdempotent                       // must never run twice, and carries no idempotency token
)

// Method describes one of the methods that the program serves.
type Method struct {
	Name             string
	Idempotency      Idempotency
	LatencyObjective time.Duration // time from arrival within which the RPC should be answered; 1 s if 0
	Deadline         time.Duration // time from arrival after which the client gives up; twice the latency objective if 0
	DedupWindow      time.Duration // time from the first attempt's arrival in which duplicates are recognised; required for IdempotencyKeyed
	Criticality      float64       // weight of an answer within the latency objective; 1 if 0
	LateFraction     float64       // fraction of Criticality of an answer between latency objective and deadline; from 0 to 1
}

// Customer is a tenant on whose behalf RPCs are sent. RPCs beyond its quota have less weight and are rejected first.
type Customer struct {
	Name  string
	Quota float64 // RPCs per second, summed over all servers of the fleet
}

// Gauges are measurements of the load of the machine or process.
type Gauges struct {
	CPUUtilization float64 // fraction of the CPU time of all cores used in the last half second, from 0 to 1
	Runnable       float64 // number of tasks that currently run or wait for a core
}

// Options configure a Valve. The zero value of a field selects its default, if one is given.
type Options struct {
	Methods   []Method   // at least one
	Customers []Customer // empty if RPCs name no customer

	Cores      int   // number of cores that the RPCs run on; default GOMAXPROCS
	Memory     int64 // bytes that running and queued RPCs may occupy; default 1 GiB
	CacheBytes int64 // bytes that idempotency tokens and their cached results may occupy; default 16 MiB
	Callers    int   // estimated number of processes that call this one; default 4
	Servers    int   // number of servers in the fleet, including this one; default 1

	WarmingUp  bool          // the process has just started and is not at full speed: an increasing share of the callers is admitted
	WarmUpTime time.Duration // time until the process is at full speed; default 20 s

	MaxRetryAfter     time.Duration // longest retry-after that callers honour; 0 if callers ignore retry-after
	OverQuotaFraction float64       // fraction of its criticality that an RPC beyond its customer's quota retains; default 1
	DrainGrace        time.Duration // time after Drain during which RPCs are still admitted; default 2 s
	MaxRunsPerCore    float64       // upper limit of concurrent runs per core, even if the runs mostly wait; default 8
	DisplaceableFor   time.Duration // time in the queue after which an RPC is no longer rejected in favour of another one; 0 for no limit

	Seed   uint64                     // seed of all random numbers: the same seed and events give the same verdicts
	Clock  func() time.Time           // nil for time.Now; called by several goroutines; a program that sets Clock must call Tick itself
	Gauges func() (Gauges, bool)      // nil to measure this process; false means that the gauges can't be read at present
	Log    func(event, detail string) // called for each log line, with a constant event name; must neither block nor call the Valve; nil to discard the log

	Observer func(Event)   // called for each event under a lock: must neither block nor call the Valve; nil for none
	Trace    *TraceOptions // nil to record no trace
	Store    *StoreOptions // nil to keep idempotency tokens in memory only
}

// The defaults of Options and Method.
const (
	defaultLatencyObjective  = time.Second
	deadlinePerObjective     = 2
	defaultCriticality       = 1.0
	defaultMemory            = 1 << 30
	defaultCacheBytes        = 16 << 20
	defaultCallers           = 4
	defaultServers           = 1
	defaultWarmUpTime        = 20 * time.Second
	defaultOverQuotaFraction = 1.0
	defaultDrainGrace        = 2 * time.Second
	defaultMaxRunsPerCore    = 8.0
)

// Settings of the controller that Options does not expose. Times are in ms.
const (
	initialSpeed    = 0.2    // fraction of full speed at which a process starts
	runMemoryFactor = 1      // a running RPC occupies as much memory as a queued one
	minTick         = 1      // shortest interval between the times of two events
	feedbackTTL     = 1000.0 // how long a caller acts on feedback
	idleTimeout     = 30e3   // of connections
	answerSlack     = 80     // two ticks, within which RPCs that are due are answered
)

// withDefault returns v, or defaultValue if v is zero.
func withDefault[T int | int64 | float64 | time.Duration](v, defaultValue T) T {
	if v == 0 {
		return defaultValue
	}
	return v
}

// gateMemoryMB returns the memory setting of the gate, in MB. The gate uses a quarter of it for idempotency tokens, which
// must be CacheBytes.
func (o *Options) gateMemoryMB() int {
	cache := int64(defaultCacheBytes)
	if o.CacheBytes > 0 {
		cache = o.CacheBytes
	}
	return int(max(1, cache*4>>20))
}

// startupConfig returns the configuration of the gate. The error names the option at fault.
func (o *Options) startupConfig() (*startup.Config, error) {
	if len(o.Methods) == 0 {
		return nil, errors.New("valve: Methods: must have at least one method")
	}
	if err := o.checkNumbers(); err != nil {
		return nil, err
	}
	methods, err := o.controlMethods()
	if err != nil {
		return nil, err
	}
	customers, err := o.controlCustomers()
	if err != nil {
		return nil, err
	}
	return &startup.Config{
		Config: control.Config{
			Node: control.Node{
				Seed:            o.Seed,
				InitialSpeed:    initialSpeed,
				WarmUpTime:      milliseconds(withDefault(o.WarmUpTime, defaultWarmUpTime)),
				Cores:           withDefault(o.Cores, runtime.GOMAXPROCS(0)),
				MemoryKB:        float64(withDefault(o.Memory, defaultMemory)) / 1024,
				RunMemoryFactor: runMemoryFactor,
				Tick:            minTick,
			},
			Fleet: control.Fleet{
				Peers:             withDefault(o.Servers, defaultServers),
				Callers:           withDefault(o.Callers, defaultCallers),
				MarksRetries:      true,
				FeedbackTTL:       feedbackTTL,
				IdleTimeout:       idleTimeout,
				MaxRetryAfter:     milliseconds(o.MaxRetryAfter),
				OverQuotaFraction: withDefault(o.OverQuotaFraction, defaultOverQuotaFraction),
			},
			Limits: control.Limits{
				DrainGrace:      milliseconds(withDefault(o.DrainGrace, defaultDrainGrace)),
				MaxRunsPerCore:  withDefault(o.MaxRunsPerCore, defaultMaxRunsPerCore),
				DisplaceableFor: milliseconds(o.DisplaceableFor),
			},
			Methods:   methods,
			Customers: customers,
		},
		Gauges:      []string{"core_use", "on_cores"},
		AnswerSlack: answerSlack,
	}, nil
}

// checkNumbers returns an error for a number that is negative or not finite.
func (o *Options) checkNumbers() error {
	for _, option := range []struct {
		name  string
		value float64
	}{
		{"Cores", float64(o.Cores)},
		{"Memory", float64(o.Memory)},
		{"CacheBytes", float64(o.CacheBytes)},
		{"Callers", float64(o.Callers)},
		{"Servers", float64(o.Servers)},
		{"WarmUpTime", float64(o.WarmUpTime)},
		{"MaxRetryAfter", float64(o.MaxRetryAfter)},
		{"DrainGrace", float64(o.DrainGrace)},
		{"MaxRunsPerCore", o.MaxRunsPerCore},
		{"DisplaceableFor", float64(o.DisplaceableFor)},
		{"OverQuotaFraction", o.OverQuotaFraction},
	} {
		if !finiteNonNegative(option.value) {
			return fmt.Errorf("valve: %s: must be a finite number >= 0, got %g", option.name, option.value)
		}
	}
	return nil
}

// finiteNonNegative reports whether v is a finite number >= 0. It returns false for NaN.
func finiteNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// controlMethods returns the methods in the form of the controller.
func (o *Options) controlMethods() ([]control.Method, error) {
	var methods []control.Method
	names := map[string]bool{}
	for i, m := range o.Methods {
		if field, requirement := m.check(names); field != "" {
			return nil, fmt.Errorf("valve: Methods[%d] (%s): %s: must be %s", i, m.Name, field, requirement)
		}
		names[m.Name] = true
		objective := withDefault(m.LatencyObjective, defaultLatencyObjective)
		methods = append(methods, control.Method{
			Name:             m.Name,
			Idempotency:      control.Idempotency(m.Idempotency),
			LatencyObjective: milliseconds(objective),
			Deadline:         milliseconds(withDefault(m.Deadline, deadlinePerObjective*objective)),
			DedupWindow:      milliseconds(m.DedupWindow),
			Criticality:      withDefault(m.Criticality, defaultCriticality),
			LateFraction:     m.LateFraction,
		})
	}
	return methods, nil
}

// check returns the first invalid field of a method and the requirement that it violates, or "" for a valid method. names
// has the names of the preceding methods.
func (m *Method) check(names map[string]bool) (field, requirement string) {
	switch {
	case m.Name == "" || names[m.Name]:
		return "Name", "unique and not empty"
	case m.LatencyObjective < 0 || m.Deadline < 0 || m.DedupWindow < 0:
		return "LatencyObjective, Deadline, DedupWindow", "times >= 0"
	case !finiteNonNegative(m.Criticality):
		return "Criticality", "a finite number >= 0"
	case !(m.LateFraction >= 0 && m.LateFraction <= 1):
		return "LateFraction", "a number from 0 to 1"
	case m.Idempotency < Idempotent || m.Idempotency > NonIdempotent:
		return "Idempotency", "Idempotent, IdempotencyKeyed or NonIdempotent"
	case m.Idempotency == IdempotencyKeyed && m.DedupWindow == 0:
		return "DedupWindow", "a time > 0 for an IdempotencyKeyed method"
	}
	return "", ""
}

// controlCustomers returns the customers in the form of the controller.
func (o *Options) controlCustomers() ([]control.Customer, error) {
	var customers []control.Customer
	for i, c := range o.Customers {
		if c.Name == "" || !finiteNonNegative(c.Quota) {
			return nil, fmt.Errorf("valve: Customers[%d]: must have a name and a finite quota >= 0", i)
		}
		customers = append(customers, control.Customer{Name: c.Name, Quota: c.Quota})
	}
	return customers, nil
}
