// Package gate is the admission facade: it wraps the pure decisions of package control in blocking calls. A protocol front
// submits each RPC that it has read, waits for its verdicts, reports how its run ended and ticks the clock. The gate owns
// everything that package control lacks: the RPCs' identifiers, the lock, the clock and timer, the idempotency tokens with
// their cached results, and the guarantee that each RPC gets exactly one final verdict even if several events race to end
// it.
//
// All methods of Gate and Ticket are safe for concurrent use, except UseClock and UseTracer. UseClock and UseQuota must be
// called before the first RPC, and UseTracer and UseTokenStore before Start; RPCs that are submitted before Start are
// not run. Only Ticket.Wait and SubmitAndWait block. The package uses no sockets and makes no decisions: package control
// decides what is admitted, run or rejected, and its events and actions are not exposed.
package gate

import (
	"errors"
	"hash/maphash"
	"math"
	"sync"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

// Gate is the admission facade of one server.
type Gate struct {
	log     Log
	now     func() time.Time
	startup *startup.Config
	tracer  Tracer       // nil for none
	store   TokenStore   // nil if tokens are kept in memory only
	quota   QuotaChecker // nil if servers share no quotas

	methods   map[string]int // index by name
	customers map[string]int // index by name
	hashSeed  maphash.Seed   // seed for the hashes of bodies

	mu         sync.Mutex
	controller *control.Controller // nil until Start
	origin     time.Time           // zero of the controller's clock
	nextTimer  float64             // time of the controller's next timer, in ms of its clock
	timerLabel uint64              // label of that timer
	pending    []control.Event     // the event that is being handled and the events that its actions have raised

	lastID  uint32
	tickets map[uint32]*Ticket  // RPCs without a final verdict or with a run in progress
	openIDs map[string]struct{} // protocol IDs of these RPCs

	tokens      map[string]*token
	expiries    *wheel  // times at which tokens are evicted; nil until the first RPC
	cacheFreeKB float64 // memory left for tokens and their results

	draining      bool
	drainStarted  time.Time
	drainPeriod   time.Duration // time from drainStarted to the stop
	closed        bool
	healthy       bool
	healthChanged chan struct{}
	idleTimeout   time.Duration

	counts         Counts
	methodStats    []MethodStats // by index of the method
	criticalMethod int           // index of the method with the highest criticality
}

// tokenCacheShare is the fraction of the memory for RPCs that tokens and their results may use.
const tokenCacheShare = 1.0 / 4

// New returns a gate with a start-up configuration, which must not be changed afterwards. Tokens and their results use at
// most a quarter of memoryMB. The gate admits no RPCs before Start.
func New(config *startup.Config, memoryMB int, log Log) *Gate {
	g := &Gate{
		log:           log,
		now:           time.Now,
		startup:       config,
		methods:       map[string]int{},
		customers:     map[string]int{},
		hashSeed:      maphash.MakeSeed(),
		tickets:       map[uint32]*Ticket{},
		openIDs:       map[string]struct{}{},
		tokens:        map[string]*token{},
		cacheFreeKB:   float64(memoryMB) * 1024 * tokenCacheShare,
		idleTimeout:   duration(config.Fleet.IdleTimeout),
		healthChanged: make(chan struct{}, 1),
	}
	for i, m := range config.Methods {
		g.methods[m.Name] = i
		g.methodStats = append(g.methodStats, MethodStats{Customers: make([]uint64, len(config.Customers)+1)})
		if m.Criticality > config.Methods[g.criticalMethod].Criticality {
			g.criticalMethod = i
		}
	}
	for i, c := range config.Customers {
		g.customers[c.Name] = i
	}
	return g
}

// UseClock replaces time.Now with another clock. It must be called before any other method.
func (g *Gate) UseClock(now func() time.Time) { g.now = now }

// UseTokenStore sets a durable store in which tokens are recorded. It must be called before Start.
func (g *Gate) UseTokenStore(s TokenStore) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store = s
}

// UseQuota sets the checker of customers' quotas that are shared among servers. It must be called before the first RPC.
func (g *Gate) UseQuota(q QuotaChecker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota = q
}

// UseTracer sets a tracer that observes all events and decisions. It must be called before Start.
func (g *Gate) UseTracer(t Tracer) { g.tracer = t }

// ErrClosed is returned by Submit after Close.
var ErrClosed = errors.New("the gate is closed")

// Close gives every RPC in flight its final verdict and admits no more RPCs. An RPC that never ran is rejected, and an RPC
// that may have run is aborted.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, t := range g.tickets {
		joinsRun := t.original != nil && t.original.ran
		if t.running || t.recordingEnd || joinsRun {
			g.endTicket(t, control.OutcomeReset, Verdict{Kind: Aborted, Reason: "the server is closed"})
		} else {
			g.endTicket(t, control.OutcomeReset, Verdict{Kind: Rejected})
		}
	}
}

// Start starts the controller. The backend, which is warming up or at full speed, started the time ago before this call.
// The timers of that time are fired at once, so that a slow start has progressed accordingly. Later calls do nothing.
func (g *Gate) Start(warmingUp bool, ago time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.controller != nil {
		return
	}
	now := g.now()
	g.origin = now.Add(-ago)
	config := g.startup
	controlConfig := config.Config
	controlConfig.Node.WarmingUp = warmingUp
	if g.tracer != nil {
		g.tracer.Begin(config, warmingUp, g.origin)
	}
	g.controller = control.New(controlConfig)
	g.handle(0, control.Event{Kind: control.Started})
	for at := g.nextTimer; warmingUp && at <= math.Min(g.elapsedMs(now), config.Node.WarmUpTime); at = g.nextTimer {
		g.handle(at, control.Event{Kind: control.TimerFired, Label: g.timerLabel})
	}
	g.sendDrainNotice(now)
}

// Started reports whether Start has been called.
func (g *Gate) Started() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller != nil
}

// InFlight returns the number of RPCs that have no final verdict or whose run has not ended.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tickets)
}

// MaxAnswerTime returns the longest deadline of all methods plus the slack for delivering an answer. A caller that has no
// answer by then no longer waits.
func (g *Gate) MaxAnswerTime() time.Duration {
	longest := 0.0
	for i := range g.startup.Methods {
		longest = math.Max(longest, g.startup.Methods[i].Deadline)
	}
	return duration(longest + g.startup.AnswerSlack)
}

// CapRetryAfter limits a retry-after in ms to the longest one that callers honour.
func (g *Gate) CapRetryAfter(ms float64) float64 { return math.Min(ms, g.startup.Fleet.MaxRetryAfter) }
