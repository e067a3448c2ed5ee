package standin

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"sync"
	"time"
)

// RequestKind is one kind of RPC in a load.
type RequestKind struct {
	Method     string
	Share      float64 // of the RPCs
	MeanWorkMs float64 // each RPC's hint is roughly its own work
	WithToken  bool    // bears an idempotency token
	BodySuffix string  // stands in the body behind the work
}

// LoadPlan is an open-loop load: calls arrive as a Poisson process, whatever becomes of earlier ones.
type LoadPlan struct {
	Rate           float64 // calls per second
	Duration       time.Duration
	Kinds          []RequestKind
	Customers      []string
	Callers        int // numbers of calling routers, from 1 on
	Seed           int64
	DuplicateShare float64       // of calls with a token that are made a second time at once, by the other protocol
	Deadline       time.Duration // after which a caller withdraws
}

// Sample is the record of one call of a load.
type Sample struct {
	Offset   time.Duration // since the load began
	Protocol string
	Method   string
	Reply
}

const (
	loadSubjects  = 5000
	minHintShare  = 0.8 // a hint is the work times minHintShare to minHintShare + hintRange
	hintRange     = 0.4
	workPrecision = 3 // decimals of the work in a body
)

// load is a running LoadPlan.
type load struct {
	LoadPlan
	callers map[string]Caller
	names   []string // of the callers' protocols
	checker *InvariantChecker
	rng     *rand.Rand

	wg      sync.WaitGroup
	mu      sync.Mutex
	samples []Sample
}

// Run puts the load on callers by their protocol, half on each of two, waits for all calls and returns a sample of each. The
// checker is told of each call. The load ends early when ctx is done.
func (p LoadPlan) Run(ctx context.Context, callers map[string]Caller, checker *InvariantChecker) []Sample {
	l := &load{LoadPlan: p, callers: callers, checker: checker, rng: rand.New(rand.NewSource(p.Seed))}
	for name := range callers {
		l.names = append(l.names, name)
	}
	if len(l.names) == 2 {
		slices.Sort(l.names)
	}
	began := time.Now()
	at := 0.0
	for n := uint64(1); ; n++ {
		at += l.rng.ExpFloat64() / p.Rate
		due := time.Duration(at * float64(time.Second))
		if due >= p.Duration || ctx.Err() != nil {
			break
		}
		call, kind := l.nextCall(n)
		protocols := l.pickProtocols(kind)
		time.Sleep(time.Until(began.Add(due)))
		for i, protocol := range protocols {
			call.Retry = i > 0
			l.start(ctx, n<<1|uint64(i), call, protocol, due)
		}
	}
	l.wg.Wait()
	return l.samples
}

// nextCall draws the nth call.
func (l *load) nextCall(n uint64) (c Call, kind RequestKind) {
	c.Caller = l.rng.Intn(max(1, l.Callers)) + 1
	c.Subject = uint64(l.rng.Intn(loadSubjects)) + 1
	if len(l.Customers) > 0 {
		c.Customer = l.Customers[l.rng.Intn(len(l.Customers))]
	}
	kind = l.pickKind()
	work := RandomWork(l.rng, kind.MeanWorkMs)
	c.Method = kind.Method
	c.HintMs = work * (minHintShare + hintRange*l.rng.Float64())
	c.Body = strconv.AppendFloat(nil, work, 'f', workPrecision, 64) // as WorkFromBody reads it
	if kind.BodySuffix != "" {
		c.Body = append(append(c.Body, ' '), kind.BodySuffix...)
	}
	if kind.WithToken {
		c.Token = fmt.Sprintf("t%d-%d", l.Seed, n)
		c.Subject = 0
		c.Body = append(append(c.Body, ' '), c.Token...)
	}
	return c, kind
}

// pickKind draws a kind by its share.
func (l *load) pickKind() RequestKind {
	x := l.rng.Float64()
	for _, kind := range l.Kinds {
		x -= kind.Share
		if x < 0 {
			return kind
		}
	}
	return l.Kinds[len(l.Kinds)-1]
}

// pickProtocols draws by which protocol a call is made, and whether a duplicate is made by the other.
func (l *load) pickProtocols(kind RequestKind) []string {
	first := l.rng.Intn(len(l.names))
	protocols := []string{l.names[first]}
	if kind.WithToken && l.rng.Float64() < l.DuplicateShare {
		protocols = append(protocols, l.names[(first+1)%len(l.names)])
	}
	return protocols
}

// start makes a call in the background and records its sample.
func (l *load) start(ctx context.Context, id uint64, c Call, protocol string, due time.Duration) {
	l.checker.RecordRequest(id)
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, l.Deadline)
		defer cancel()
		r := l.callers[protocol].Call(ctx, c)
		if r.Outcome != Lost {
			l.checker.RecordResponse(id)
		}
		if r.Outcome == OK && !bytes.Equal(r.Body, c.Body) {
			l.checker.RecordViolation("%s by %s: the result is not that of its body", c.Method, protocol)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.samples = append(l.samples, Sample{due, protocol, c.Method, r})
	})
}

// WorkFromBody is a Worker that reads the work from the body, as LoadPlan writes it, and echoes the body.
func WorkFromBody(_ string, body []byte) (float64, []byte) {
	text, _, _ := bytes.Cut(body, []byte{' '})
	work, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return 1, body
	}
	return work, body
}
