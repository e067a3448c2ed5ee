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

// Idempotency says whether an RPC of a method may run more than once.
type Idempotency int

// The idempotency classes of methods.
const (
	Idempotent       Idempotency = iota // may run again
	IdempotencyKeyed                    // carries an idempotency token by which a duplicate is recognised
	NonIdempotent                       // must never run twice, and carries no token
)

// Method describes one of the methods that the program serves.
type Method struct {
	Name             string
	Idempotency      Idempotency
	LatencyObjective time.Duration // from the arrival, in which the answer is wanted; 1 s if 0
	Deadline         time.Duration // from the arrival, after which the client gives up; twice the latency objective if 0
	DedupWindow      time.Duration // IdempotencyKeyed: from the first attempt's arrival, in which a duplicate may come
	Criticality      float64       // the weight of an answer in time; 1 if 0
	LateFraction     float64       // the fraction of Criticality left to an answer between latency objective and deadline
}

// Customer is a tenant on whose behalf RPCs come. RPCs beyond its quota have less weight and are the first to be rejected.
type Customer struct {
	Name  string
	Quota float64 // RPCs per second, over all servers of the fleet
}

// Gauges are measurements of the machine.
type Gauges struct {
	CPUUtilization float64 // fraction of the cores busy over the last half second
	Runnable       float64 // tasks that run or wait for a core now
}

// Options configure a Valve. Where a default is named, the zero value stands for it.
type Options struct {
	Methods   []Method   // at least one
	Customers []Customer // none if RPCs name no customer

	Cores      int   // that the RPCs run on; default GOMAXPROCS
	Memory     int64 // bytes that RPCs may take, running and queued; default 1 GiB
	CacheBytes int64 // that idempotency tokens and their cached results may take; default 16 MiB
	Callers    int   // processes that call this one, as far as known; default 4
	Servers    int   // in the fleet, this one included; default 1

	WarmingUp  bool          // just started and not at full speed yet: a rising share of the callers is admitted
	WarmUpTime time.Duration // after which it is at full speed; default 20 s

	MaxRetryAfter     time.Duration // longest retry-after that callers heed; 0 if they heed none
	OverQuotaFraction float64       // fraction of its criticality left to an RPC beyond its customer's quota; default 1
	DrainGrace        time.Duration // after Drain, in which RPCs are still admitted; default 2 s
	MaxRunsPerCore    float64       // at most, however they wait; default 8
	DisplaceableFor   time.Duration // in the queue, after which an RPC is not rejected for another; 0 for no such bound

	Seed   uint64                     // of all random draws: the same seed and events give the same verdicts
	Clock  func() time.Time           // nil for time.Now; with one of its own the program must call Tick
	Gauges func() (Gauges, bool)      // nil for those of this process; false means that they can't be read now
	Log    func(event, detail string) // gets log lines, each a constant event name; nil for none

	Observer func(Event)   // gets each event under a lock: it must neither block nor call the Valve; nil for none
	Trace    *TraceOptions // nil if nothing is recorded
	Store    *StoreOptions // nil if tokens are kept in memory only
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

// What a program that embeds the valve is not asked for. Times are in ms.
const (
	initialSpeed    = 0.2    // fraction of full speed at which a process starts
	runMemoryFactor = 1      // a running RPC takes the memory of a queued one
	minTick         = 1      // shortest gap between two moments at which events come
	feedbackTTL     = 1000.0 // for which a caller acts on feedback
	idleTimeout     = 30e3   // of connections
	answerSlack     = 80     // two ticks, in which what is due is answered
)

// withDefault returns v, or missing if it is zero.
func withDefault[T int | int64 | float64 | time.Duration](v, missing T) T {
	if v == 0 {
		return missing
	}
	return v
}

// gateMemoryMB returns the memory of the gate that makes its quarter for tokens CacheBytes.
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
		return nil, errors.New("valve: Methods: at least one expected")
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
		if !finiteFromZero(option.value) {
			return fmt.Errorf("valve: %s: a number from 0 up expected, %g there", option.name, option.value)
		}
	}
	return nil
}

// finiteFromZero tells whether v is a number from 0 up, which NaN and infinity are not.
func finiteFromZero(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// controlMethods returns the methods as the decisions have them.
func (o *Options) controlMethods() ([]control.Method, error) {
	var methods []control.Method
	names := map[string]bool{}
	for i, m := range o.Methods {
		if field, want := m.check(names); field != "" {
			return nil, fmt.Errorf("valve: Methods[%d] (%s): %s: %s expected", i, m.Name, field, want)
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

// check returns the field at fault of a method, "" for none, and what is expected there. The names are those of the methods
// before it.
func (m *Method) check(names map[string]bool) (field, want string) {
	switch {
	case m.Name == "" || names[m.Name]:
		return "Name", "one of its own"
	case m.LatencyObjective < 0 || m.Deadline < 0 || m.DedupWindow < 0:
		return "LatencyObjective, Deadline, DedupWindow", "a time from 0 up"
	case !finiteFromZero(m.Criticality):
		return "Criticality", "a number from 0 up"
	case !(m.LateFraction >= 0 && m.LateFraction <= 1):
		return "LateFraction", "a number from 0 to 1"
	case m.Idempotency < Idempotent || m.Idempotency > NonIdempotent:
		return "Idempotency", "Idempotent, IdempotencyKeyed or NonIdempotent"
	case m.Idempotency == IdempotencyKeyed && m.DedupWindow == 0:
		return "DedupWindow", "how long a repeat may come"
	}
	return "", ""
}

// controlCustomers returns the customers as the decisions have them.
func (o *Options) controlCustomers() ([]control.Customer, error) {
	var customers []control.Customer
	for i, c := range o.Customers {
		if c.Name == "" || !finiteFromZero(c.Quota) {
			return nil, fmt.Errorf("valve: Customers[%d]: a name and a quota from 0 up expected", i)
		}
		customers = append(customers, control.Customer{Name: c.Name, Quota: c.Quota})
	}
	return customers, nil
}
