// Package gate is the admission facade: it puts the pure decisions of package control behind blocking calls. A protocol
// front submits each RPC that it has read, waits for its verdicts, reports how its run ended and ticks the clock. The gate
// owns what control has not: the RPCs' identifiers, the lock, the clock and timer, the idempotency tokens with their cached
// results, and the guarantee that each RPC gets exactly one final verdict, whatever races for it.
//
// All methods of Gate and Ticket may be called by many goroutines at once, those of the set-up (UseClock, UseTokenStore,
// UseTracer, UseQuota) before the first RPC. No call but Ticket.Wait and SubmitAndWait blocks. The package touches no
// socket and decides nothing itself: what is admitted, run or rejected is for package control, whose events and actions
// stay in here.
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
	hashSeed  maphash.Seed   // of the hashes of bodies

	mu         sync.Mutex
	controller *control.Controller // nil until Start
	origin     time.Time           // zero of the controller's clock
	nextTimer  float64             // when the controller wants its timer, in ms of its clock
	timerLabel uint64              // of that timer
	pending    []control.Event     // raised by the actions of the event that is being handled

	lastID  uint32
	tickets map[uint32]*Ticket  // until the final verdict and the end of the run
	openIDs map[string]struct{} // of these, as their protocol has them

	tokens      map[string]*token
	expiries    *wheel  // of the tokens, by when they are evicted; nil until the first RPC
	cacheFreeKB float64 // left of the bound on tokens and their results

	draining      bool
	drainStarted  time.Time
	drainPeriod   time.Duration // from then to the stop
	closed        bool
	healthy       bool
	healthChanged chan struct{}
	idleTimeout   time.Duration

	counts         Counts
	methodStats    []MethodStats // by method
	criticalMethod int           // the one of the largest criticality
}

// tokenCacheShare is the share of the memory for RPCs that tokens and their results may take.
const tokenCacheShare = 1.0 / 4

// New returns a gate with a start-up configuration, which must not change. Its tokens and their results stay under a
// quarter of memoryMB. It admits nothing before Start.
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

// UseClock replaces time.Now by another clock. It must be called before anything else.
func (g *Gate) UseClock(now func() time.Time) { g.now = now }

// UseTokenStore has tokens recorded in a durable store. It must be called before Start.
func (g *Gate) UseTokenStore(s TokenStore) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store = s
}

// UseQuota has the RPCs of customers checked against a quota that servers share.
func (g *Gate) UseQuota(q QuotaChecker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota = q
}

// UseTracer has all events and decisions reported to t. It must be called before Start.
func (g *Gate) UseTracer(t Tracer) { g.tracer = t }

// ErrClosed is the error of Submit once the gate is closed.
var ErrClosed = errors.New("the gate is closed")

// Close gives every RPC in flight its final verdict and admits nothing more. What never ran is rejected, what may have
// run is aborted.
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

// Start begins the decisions for a backend that started some time ago, at full speed or warming up. The controller is
// taken through that time at once, so that a slow start stands where it would. Later calls do nothing.
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

// Started tells whether Start has been called.
func (g *Gate) Started() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller != nil
}

// InFlight returns the number of RPCs without a final verdict or with a run that has not ended.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tickets)
}

// MaxAnswerTime returns the longest deadline of all methods with the slack for delivering an answer: a caller that has not
// got one by then no longer waits.
func (g *Gate) MaxAnswerTime() time.Duration {
	longest := 0.0
	for i := range g.startup.Methods {
		longest = math.Max(longest, g.startup.Methods[i].Deadline)
	}
	return duration(longest + g.startup.AnswerSlack)
}

// CapRetryAfter limits a retry-after of the protocol's own, in ms, to the longest that callers honour.
func (g *Gate) CapRetryAfter(ms float64) float64 { return math.Min(ms, g.startup.Fleet.MaxRetryAfter) }
