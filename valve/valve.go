// Package valve embeds sorrelvalve's overload control in a Go program: for every RPC it decides whether to take it,
// when to run it and how to turn it away, by the same decisions as the daemon, and keeps the same four rules. No RPC is
// lost: each that Admit takes gets one final answer by its due time. No effect happens twice: a tokened RPC runs once
// within its window. A drain ends in time. And nothing grows without bound.
//
// A program makes a Valve for each machine or process it runs on, calls Admit for every RPC before it does the work,
// and ends each Run that it was given. Package httpvalve does that for net/http, ginvalve for gin.
//
// All of a Valve may be used by many goroutines at once.
package valve

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/store"
	"sorrelvalve/internal/trace"
)

// Idempotency says whether an RPC of a method may run again.
type Idempotency int

const (
	Idempotent       Idempotency = iota // may run again
	IdempotencyKeyed                    // bears a token by which a repeat is known
	NonIdempotent                       // must never run twice, and bears no token
)

// Method is one that the program serves.
type Method struct {
	Name             string
	Idempotency      Idempotency
	LatencyObjective time.Duration // its answer is wanted within this; 1 s if 0
	Deadline         time.Duration // its client gives up after this; twice the latency target if 0
	DedupWindow      time.Duration // Tokened: a repeat may come this long after the first try's arrival
	Criticality      float64       // what an answer in time counts for; 1 if 0
	LateFraction     float64       // the part of that which an answer between latency target and deadline keeps
}

// Customer is one on whose behalf RPCs come. RPCs beyond its quota count for less, and are the first to go.
type Customer struct {
	Name  string
	Quota float64 // RPCs a second, over all servers of the fleet
}

// Gauges are the machine's. CoreUse is the share of the cores that was busy over the last half second, OnCores the
// work that has or wants a core now.
type Gauges struct{ CPUUtilization, Runnable float64 }

// Options are what a Valve is made from. The zero value of a field has the default named beside it.
type Options struct {
	Methods   []Method   // at least one
	Customers []Customer // none: RPCs name no customer

	Cores      int   // that the RPCs run on; GOMAXPROCS
	Memory     int64 // bytes that they may take, running and held; 1 GiB
	CacheBytes int64 // bytes that kept results of tokened RPCs may take; 16 MiB
	Callers    int   // processes that call this one, as far as known; 4
	Servers    int   // in the fleet, this one included; 1

	WarmingUp  bool          // just started and not yet at full speed: callers are taken in a rising share
	WarmUpTime time.Duration // after which a cold one is at full speed; 20 s

	MaxRetryAfter     time.Duration // longest advice to stay away that callers heed; 0 for none
	OverQuotaFraction float64       // what an RPC beyond its customer's quota keeps of its criticality; 1
	DrainGrace        time.Duration // after Drain, in which RPCs are still taken; 2 s
	MaxRunsPerCore    float64       // at most, however they wait; 8
	DisplaceableFor   time.Duration // after which a held RPC is not pushed back for another; 0 for no such time

	Seed   uint64                    // of all chance; the same seed and events give the same verdicts
	Clock  func() time.Time          // nil: time.Now, and the Valve ticks by itself; else the program calls Tick
	Gauges func() (Gauges, bool)     // nil: those of this process; false: not to be had just now
	Log    func(text, detail string) // nil: nothing is said

	Observer func(Event)   // hears of each event, under a lock: it must not block, nor call the Valve; may be nil
	Trace    *TraceOptions // nil: nothing is recorded
	Store    *StoreOptions // nil: tokens are kept in memory only
}

// StoreOptions keeps tokens and their answers over restarts, in a folder on a disk that lasts and that no other process uses.
type StoreOptions struct {
	Dir            string
	Server         string                       // the name of this server; one that was copied from another is an error
	MaxBytes       int64                        // on disk; 256 MiB if 0
	MaxResultBytes int                          // longest answer that is kept; 16 KiB if 0
	ClockTolerance time.Duration                // by which the clock may step while the program is down; 2 s if 0
	Log            func(text string, err error) // nil: nothing is said
}

// open reads what stands there.
func (t *StoreOptions) open(methods []control.Method) (*store.Store, error) {
	b := store.Limits{MaxBytes: float64(positive(t.MaxBytes, 256<<20)), MaxResultBytes: positive(t.MaxResultBytes, 16<<10), ClockTolerance: millis(positive(t.ClockTolerance, 2*time.Second))}
	b.SegmentBytes = b.MaxBytes / 32
	for _, m := range methods {
		if m.Idempotency == control.IdempotencyKeyed {
			b.MaxWindow = max(b.MaxWindow, m.DedupWindow+m.Deadline)
		}
	}
	log := t.Log
	if log == nil {
		log = func(string, error) {}
	}
	fs, err := store.OpenDir(t.Dir)
	if err != nil {
		return nil, err
	}
	s, err := store.Open(fs, b, t.Server, func() float64 { return float64(time.Now().UnixNano()) / 1e6 }, log)
	if err != nil {
		fs.Close()
	}
	return s, err
}

// Valve is one instance.
type Valve struct {
	g       *gate.Gate
	methods map[string]Method
	clock   func() time.Time
	gauges  func() (Gauges, bool)
	rec     *trace.Recorder
	kept    *store.Store
	stop    chan struct{}
	ended   sync.WaitGroup
	closing sync.Once
}

// RPC is what Admit is told.
type RPC struct {
	Method    string
	Customer  string
	Caller    uint64        // a hash of who calls: the ramp of a cold start goes by it
	Subject   uint64        // a hash of what it is about; 0 for none
	Token     string        // the same in all tries of a tokened RPC
	Body      []byte        // Tokened: by which two tries are known to be the same; it is not kept
	ArrivedAt time.Time     // when it reached the machine; now if zero
	CostHint  time.Duration // expected on one core; 0 if it is not known
	Memory    int64         // bytes that it takes while it is held; 16 KiB if 0
	Retry     bool          // marked as a further try
}

// Result is a whole one, kept for the repeats of a tokened RPC. Head is what the program puts before the body, in a
// form of its own.
type Result struct{ Head, Body []byte }

// Outcome is what became of a run.
type Outcome int

const (
	Failed     Outcome = iota // it may have had its effect
	Succeeded                 //
	NotStarted                // nothing ran
	NoCapacity                // nothing ran: there was no room for it, which may pass
)

// What Admit's errors are, for errors.Is.
var (
	ErrRejected   = errors.New("valve: pushed back") // it never ran; a *PushedBack tells when to return
	ErrAborted    = errors.New("valve: aborted")     // an *Aborted tells why
	ErrInvalidRPC = errors.New("valve: no sense")    // the method, customer or token is wrong
	ErrClosed     = errors.New("valve: closed")
)

// RejectedError is the error for an RPC that never ran.
type RejectedError struct {
	RetryAfter time.Duration // the caller should stay away so long; 0 for no advice
	NoRetry    bool          // it should not go elsewhere: others are full, too
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("valve: pushed back, return after %v", e.RetryAfter)
}

// Is makes errors.Is(err, ErrPushedBack) true.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// AbortedError is the error for an RPC that gets no result.
type AbortedError struct {
	Reason  string
	Overdue bool // its answer was due
}

func (e *AbortedError) Error() string { return "valve: aborted: " + e.Reason }

// Is makes errors.Is(err, ErrAborted) true.
func (e *AbortedError) Is(target error) bool { return target == ErrAborted }

// New returns a Valve that takes RPCs at once, and must be closed. The error names the option at fault.
func New(o Options) (*Valve, error) {
	told, err := o.opening()
	if err != nil {
		return nil, err
	}
	log := gate.Log(func(string, string) {})
	if o.Log != nil {
		log = o.Log
	}
	kept := int64(16 << 20)
	if o.CacheBytes > 0 {
		kept = o.CacheBytes
	}
	v := &Valve{
		methods: map[string]Method{}, clock: time.Now, gauges: o.Gauges, stop: make(chan struct{}),
		g: gate.New(told, int(max(1, kept>>18)), log), // the gate keeps a quarter of what it is told
	}
	for _, m := range o.Methods {
		v.methods[m.Name] = m
	}
	if o.Clock != nil {
		v.clock = o.Clock
		v.g.UseClock(o.Clock)
	}
	if v.gauges == nil {
		v.gauges = newOwnGauges(told.Node.Cores).read
	}
	if o.Store != nil {
		if v.kept, err = o.Store.open(told.Methods); err != nil {
			return nil, fmt.Errorf("valve: Store: %w", err)
		}
		v.g.UseTokenStore(store.TokenStore{Store: v.kept})
	}
	if t := o.Trace; t != nil {
		failed := t.OnError
		if failed == nil {
			failed = func(error) {}
		}
		v.rec = trace.NewRecorder(t.Path, trace.FileLimits{MaxFileBytes: positive(t.FileBytes, 64<<20), MaxFiles: positive(t.Files, 4)}, "library", failed)
	}
	if o.Observer != nil || v.rec != nil {
		v.g.UseTracer(&watch{see: o.Observer, rec: v.rec})
	}
	v.g.Start(o.WarmingUp, 0)
	if o.Clock == nil {
		v.ended.Add(1)
		go v.ticks()
	}
	return v, nil
}

func positive[T int | int64 | float64 | time.Duration](v, missing T) T {
	if v == 0 {
		return missing
	}
	return v
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// opening turns options into what the gate is told.
func (o *Options) opening() (*startup.Config, error) {
	if len(o.Methods) == 0 {
		return nil, errors.New("valve: Methods: at least one expected")
	}
	for name, v := range map[string]float64{
		"Cores": float64(o.Cores), "Memory": float64(o.Memory), "CacheBytes": float64(o.CacheBytes), "Callers": float64(o.Callers),
		"Servers": float64(o.Servers), "WarmUpTime": float64(o.WarmUpTime), "MaxRetryAfter": float64(o.MaxRetryAfter), "DrainGrace": float64(o.DrainGrace),
		"MaxRunsPerCore": o.MaxRunsPerCore, "DisplaceableFor": float64(o.DisplaceableFor), "OverQuotaFraction": o.OverQuotaFraction,
	} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return nil, fmt.Errorf("valve: %s: a number from 0 up expected, %g there", name, v)
		}
	}
	t := &startup.Config{
		Config: control.Config{
			Node: control.Node{
				Seed: o.Seed, InitialSpeed: 0.2, WarmUpTime: millis(positive(o.WarmUpTime, 20*time.Second)), Cores: positive(o.Cores, cores()),
				MemoryKB: float64(positive(o.Memory, 1<<30)) / 1024, RunMemoryFactor: 1, TokenKB: 0, Tick: 1,
			},
			Fleet: control.Fleet{
				Peers: positive(o.Servers, 1), Callers: positive(o.Callers, 4), MarksRetries: true, FeedbackTTL: 1000, IdleTimeout: 30e3,
				MaxRetryAfter: millis(o.MaxRetryAfter), OverQuotaFraction: positive(o.OverQuotaFraction, 1),
			},
			Limits: control.Limits{DrainGrace: millis(positive(o.DrainGrace, 2*time.Second)), MaxRunsPerCore: positive(o.MaxRunsPerCore, 8), DisplaceableFor: millis(o.DisplaceableFor)},
		},
		Gauges:      []string{"core_use", "on_cores"},
		AnswerSlack: 80, // ms: two ticks, in which what is due is answered
	}
	seen := map[string]bool{}
	for i, m := range o.Methods {
		bad := func(key, want string) error {
			return fmt.Errorf("valve: Methods[%d] (%s): %s: %s expected", i, m.Name, key, want)
		}
		switch {
		case m.Name == "" || seen[m.Name]:
			return nil, bad("Name", "one of its own")
		case m.LatencyObjective < 0 || m.Deadline < 0 || m.DedupWindow < 0:
			return nil, bad("LatencyObjective, Deadline, DedupWindow", "a time from 0 up")
		case !(m.Criticality >= 0) || math.IsInf(m.Criticality, 0):
			return nil, bad("Criticality", "a number from 0 up")
		case !(m.LateFraction >= 0 && m.LateFraction <= 1):
			return nil, bad("LateFraction", "a number from 0 to 1")
		case m.Idempotency < Idempotent || m.Idempotency > NonIdempotent:
			return nil, bad("Idempotency", "Idempotent, IdempotencyKeyed or NonIdempotent")
		case m.Idempotency == IdempotencyKeyed && m.DedupWindow == 0:
			return nil, bad("DedupWindow", "how long a repeat may come")
		}
		seen[m.Name] = true
		target := positive(m.LatencyObjective, time.Second)
		t.Methods = append(t.Methods, control.Method{
			Name: m.Name, Idempotency: control.Idempotency(m.Idempotency), LatencyObjective: millis(target),
			Deadline: millis(positive(m.Deadline, 2*target)), DedupWindow: millis(m.DedupWindow), Criticality: positive(m.Criticality, 1),
			LateFraction: m.LateFraction,
		})
	}
	for i, c := range o.Customers {
		if c.Name == "" || !(c.Quota >= 0) || math.IsInf(c.Quota, 0) {
			return nil, fmt.Errorf("valve: Customers[%d]: a name and a quota from 0 up expected", i)
		}
		t.Customers = append(t.Customers, control.Customer{Name: c.Name, Quota: c.Quota})
	}
	return t, nil
}

// Admit asks for one RPC and blocks while it is held. It returns a Run that must be ended, or one that is a repeat and
// has its answer already (see Run.Kept), or an error: a *PushedBack, an *Aborted, ErrSenseless, or ctx's own if that
// ended first, in which case nothing runs.
func (v *Valve) Admit(ctx context.Context, r RPC) (*Run, error) {
	now := v.clock()
	if r.ArrivedAt.IsZero() {
		r.ArrivedAt = now
	}
	if r.Memory == 0 {
		r.Memory = 16 << 10
	}
	t, err := v.g.Submit(gate.RPC{
		Method: r.Method, Customer: r.Customer, Body: r.Body, Token: r.Token, Subject: r.Subject, Retry: r.Retry,
		Caller:    uint16(r.Caller ^ r.Caller>>16 ^ r.Caller>>32 ^ r.Caller>>48),
		ArrivedMs: float64(r.ArrivedAt.UnixNano()) / 1e6, CostHintMs: millis(r.CostHint), QueuedKB: float64(r.Memory) / 1024,
	})
	if errors.Is(err, gate.ErrClosed) {
		return nil, ErrClosed
	} else if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRPC, err)
	}
	switch d := t.Wait(ctx); d.Kind {
	case gate.Run:
		return &Run{v: v, t: t}, nil
	case gate.OK:
		return &Run{kept: &Result{d.Head, d.Result}}, nil
	case gate.CallerGone:
		return nil, ctx.Err()
	default:
		return nil, errorOf(d)
	}
}

// errorOf is the error that tells of a final verdict.
func errorOf(d gate.Verdict) error {
	switch d.Kind {
	case gate.Rejected:
		return &RejectedError{RetryAfter: time.Duration(d.RetryAfterMs * float64(time.Millisecond)), NoRetry: d.NoRetry}
	case gate.Aborted:
		return &AbortedError{Reason: d.Reason, Overdue: d.Overdue}
	}
	return nil
}

// Run is an RPC that runs, or a repeat that has its answer.
type Run struct {
	v    *Valve
	t    *gate.Ticket
	kept *Result

	final FinalHandler
}

// Cached is the answer of the try that this one repeats. There is nothing to run then, and End does nothing.
func (r *Run) Cached() (Result, bool) {
	if r.kept == nil {
		return Result{}, false
	}
	return *r.kept, true
}

// Due is when the answer must have been given; the zero time for a repeat.
func (r *Run) Due() time.Time {
	if r.t == nil {
		return time.Time{}
	}
	return time.UnixMicro(int64(r.t.DueMs() * 1000))
}

// FinalHandler hears of an end that a Valve gave.
type FinalHandler interface{ HandleFinal(error) }

// NotifyFinal has f told if the Valve gives the RPC an end before End does: as its answer is due, or the Valve closes. The
// program must answer with that error then, and still call End when the work is over, which counts until then. f must
// not block, nor call the Valve. Notify must be called before End, and once.
func (r *Run) NotifyFinal(f FinalHandler) {
	if r.t != nil {
		r.final = f
		r.t.NotifyFinal((*notified)(r))
	}
}

// notified is a Run as the gate tells it of its end.
type notified Run

func (r *notified) HandleFinal(d gate.Verdict) {
	if err := errorOf(d); err != nil {
		r.final.HandleFinal(err)
	}
}

// Cancel tells that the caller no longer waits; End is still owed.
func (r *Run) Cancel() {
	if r.t != nil {
		r.t.Cancel()
	}
}

// Complete tells what became of the run. It returns false if the Valve had given the RPC an end before: its caller has been
// answered, and must not be again. Of a tokened RPC that succeeded the answer is kept for its repeats, the caller of
// which must not change it after. The first End counts.
func (r *Run) Complete(how Outcome, a Result) bool { return r.end(gate.Outcome(how), a) }

// CompleteUncached is End for one that succeeded with an answer that can't be kept: its repeats hear that it ran.
func (r *Run) CompleteUncached() bool { return r.end(gate.SucceededUncached, Result{}) }

func (r *Run) end(how gate.Outcome, a Result) bool {
	if r.t == nil {
		return false
	}
	return r.t.Complete(how, 0, a.Head, a.Body)
}

// ticks moves the clock of the decisions until Close.
func (v *Valve) ticks() {
	defer v.ended.Done()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-v.stop:
			return
		case <-t.C:
		}
		t.Reset(v.Tick())
	}
}

// Tick moves the clock of the decisions on and returns the time until it should be called next. A Valve without a
// Clock of its own does it by itself.
func (v *Valve) Tick() time.Duration {
	g, known := v.gauges()
	if !known {
		return v.g.Tick(nil)
	}
	return v.g.Tick([]float64{g.CPUUtilization, g.Runnable})
}

// Drain tells that the program will stop after a while: what arrives past the grace is pushed back, and all is answered
// before the stop. It does not block.
func (v *Valve) Drain(stop time.Duration) { v.g.Drain(stop) }

// Healthy is what a health check should be told.
func (v *Valve) Healthy() bool { return v.g.Healthy() }

// InFlight is the number of RPCs that have no final answer, or a run that has not ended.
func (v *Valve) InFlight() int { return v.g.InFlight() }

// Method returns what the Valve was told of a method.
func (v *Valve) Method(name string) (Method, bool) { m, has := v.methods[name]; return m, has }

// CapRetryAfter bounds advice of the program's own to what callers heed.
func (v *Valve) CapRetryAfter(away time.Duration) time.Duration {
	return time.Duration(v.g.CapRetryAfter(millis(away)) * float64(time.Millisecond))
}

// Close ends the Valve: what is held is pushed back, what runs is aborted as far as its caller goes, and nothing more is
// taken. No goroutine of it is left then. Call Drain and wait before, so that nothing is cut short.
func (v *Valve) Close() {
	v.closing.Do(func() {
		close(v.stop)
		v.ended.Wait()
		v.g.Close()
		if v.rec != nil {
			v.rec.Close()
		}
		if v.kept != nil {
			v.kept.Close()
		}
	})
}
