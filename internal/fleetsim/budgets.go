package fleetsim

// This file owns the budgets that simulated servers share, and RPCs that are taken from them: the servers' own parts
// (decision/quota) with messages between them, and beside it the three other ways that were weighed. It must never take an RPC
// that the way at hand has not let through.

import (
	"fmt"
	"math"

	"sorrelvalve/decision/quota"
)

// Way is how a bound is divided.
type Way int

const (
	Lent      Way = iota // each owns a part and lends it: what the servers run
	Fixed                // each has its part
	Estimated            // each says what it uses, and takes what the others leave of the bound
	Granted              // the first server owns all but the floors, and lends it
)

func (w Way) String() string {
	return [...]string{"owned and lent", "fixed parts", "counts by gossip", "leased by one"}[w]
}

// Budgets are bounds that a world's servers share, the same for each of some customers, and who sends.
type Budgets struct {
	Way    Way
	Rules  quota.Rules
	Keys   int     // customers with a bound each; 0 for one
	Hot    int     // servers to which a customer's callers stick; 0 for all
	Rate   float64 // RPCs a second of each customer
	MoveMs float64 // after which they stick to others; 0 for never
	Each   float64 // RPCs a second at each server beside that, of the first customer
	QuietA float64 // ms from which on nobody sends
	QuietB float64 // and again does
}

// sharing is a server's part.
type sharing struct {
	book  *quota.Book
	peers []string
	at    float64 // local, when peers were noted
	sent  int     // messages
	// of the way Estimated
	said   []float64 // what each of the others last said it uses
	tokens float64
	filled float64
	uses   float64
}

// taken is one that was let through.
type taken struct {
	at     float64
	server int32
}

type budgets struct {
	log      [][]taken // by customer: those of the last second
	worst    float64   // most in a second over what is allowed
	messages int
	Series   []Second
}

// Second is what happened to the first customer's RPCs in one second.
type Second struct {
	Offered, Taken int
	At             []int32 // taken, by server
	Messages       int
}

const (
	shareMs = 100.0 // between two ticks of the budgets
	peersMs = 500.0 // between two looks at who is heard
)

func budgetName(k int32) string { return fmt.Sprint("c", k) }

func (w *World) beginLoad() {
	b := w.o.Budgets
	if b == nil {
		return
	}
	w.log = make([][]taken, max(1, b.Keys))
	w.Series = make([]Second, int(w.o.Length/1000)+1)
	for i := range w.Series {
		w.Series[i].At = make([]int32, len(w.servers))
	}
	w.nextLoad()
}

// rules of a server's part.
func (w *World) ruleOf(s *server) quota.Rules {
	b := w.o.Budgets
	r := b.Rules
	if b.Way == Granted {
		if r.Own = r.Floor; s.i == 0 {
			r.Own = r.Bound - float64(r.Servers-1)*r.Floor
		}
	}
	return r
}

func (w *World) beginSharing(s *server) {
	b := w.o.Budgets
	if b == nil {
		return
	}
	r := w.ruleOf(s)
	now := w.local(s)
	began := now
	if w.o.plant == forgetsLoans {
		began -= 10 * r.Longest
	}
	s.book = quota.NewBook(uint64(s.life)<<32|uint64(s.i+1), int64(w.o.Seed*1000)+int64(s.i)<<8+int64(s.life), began, func(string) (quota.Rules, bool) { return r, true })
	s.peers, s.at = s.peers[:0], math.Inf(-1)
	if b.Way == Estimated {
		s.said = make([]float64, len(w.servers))
		s.tokens, s.filled, s.uses = 0, now, 0
	}
	w.after(s, shareMs*s.chance.Float64(), evShare, 0, 0)
}

func (w *World) voidSharing(s *server) {
	if s.book != nil {
		s.book.Void(w.local(s))
	}
}

// shareTick is one of the budgets', as internal/fleet does it.
func (w *World) shareTick(s *server) {
	w.after(s, shareMs, evShare, 0, 0)
	now := w.local(s)
	switch w.o.Budgets.Way {
	case Fixed:
	case Estimated:
		w.estimate(s, now)
	case Granted, Lent:
		if now-s.at >= peersMs {
			s.at = now
			s.peers = s.hear.Heard(now, s.peers[:0])
			if w.o.Budgets.Way == Granted {
				s.peers = append(s.peers[:0], w.servers[0].name)
			}
		}
		w.says(s, s.book.Tick(now, s.peers))
	}
}

// says sends messages, those to one server in one packet.
func (w *World) says(s *server, all []quota.Keyed) {
	for len(all) > 0 {
		to := all[0].To
		var mine, rest []quota.Keyed
		for _, m := range all {
			if m.To == to {
				mine = append(mine, m)
			} else {
				rest = append(rest, m)
			}
		}
		all = rest
		var i int32
		fmt.Sscanf(to, "n%d", &i)
		s.sent++
		w.messages++
		w.second().Messages++
		w.send(s, packet{to: i, kind: loans, said: mine})
	}
}

// hearLoans takes what another says.
func (w *World) hearLoans(s *server, p *packet) {
	if s.book == nil {
		return
	}
	now := w.local(s)
	var out []quota.Keyed
	for _, m := range p.said {
		out = append(out, s.book.Receive(now, w.servers[p.from].name, m)...)
	}
	w.says(s, out)
}

// estimate has a server say what it uses, and note what it hears: a model by its end, without packets.
func (w *World) estimate(s *server, now float64) {
	s.uses *= math.Exp(-shareMs / 1000)
	if int(now/shareMs)%10 != int(s.i)%10 { // said once a second
		return
	}
	for i := range w.servers {
		if o := &w.servers[i]; o != s && o.up && !o.stopped && w.wire.open(s.i, o.i) && w.awake(s) {
			o.said[s.i] = s.uses
		}
	}
}

func (w *World) nextLoad() {
	b := w.o.Budgets
	all := b.Rate*float64(max(1, b.Keys)) + b.Each*float64(len(w.servers))
	w.queue.put(event{at: w.now + w.chance.ExpFloat64()*1000/all, kind: evLoad, who: -1})
}

func (w *World) second() *Second {
	return &w.Series[min(int(w.now/1000), len(w.Series)-1)]
}

// load is the next RPC, at the server to which its callers stick now.
func (w *World) load() {
	w.nextLoad()
	b := w.o.Budgets
	if b.QuietB > 0 && w.now >= b.QuietA && w.now < b.QuietB {
		return
	}
	n := len(w.servers)
	all := b.Rate*float64(max(1, b.Keys)) + b.Each*float64(n)
	key, to := int32(0), int32(0)
	if w.chance.Float64()*all < b.Each*float64(n) {
		to = int32(w.chance.IntN(n))
	} else {
		key = int32(w.chance.IntN(max(1, b.Keys)))
		if to = int32(w.chance.IntN(n)); b.Hot > 0 {
			turn := 0
			if b.MoveMs > 0 {
				turn = int(w.now / b.MoveMs)
			}
			to = int32((turn*b.Hot*7 + int(key)*13 + w.chance.IntN(b.Hot)*(n/b.Hot)) % n)
		}
	}
	if key == 0 {
		w.second().Offered++
	}
	s := &w.servers[to]
	if !s.up {
		return
	}
	w.queue.put(event{at: w.now, kind: evTake, who: to, a: key, life: s.life}) // one that is stopped reads it as it wakes
}

// takes is an RPC that a server has read.
func (w *World) takes(s *server, key int32) {
	now := w.local(s)
	if w.o.Budgets.Way == Estimated {
		if !w.estimated(s, now) {
			return
		}
	} else if ok, _, _ := s.book.Take(now, budgetName(key), 1, 0); !ok {
		return
	}
	w.observe(60, s.i, key)
	if key == 0 {
		x := w.second()
		x.Taken++
		x.At[s.i]++
	}
	log := w.log[key]
	from := 0
	for from < len(log) && log[from].at <= w.now-1000 {
		from++
	}
	log = append(log[from:], taken{w.now, s.i})
	w.log[key] = log
	r := &w.o.Budgets.Rules
	w.worst = math.Max(w.worst, float64(len(log))/(r.Bound+r.Burst))
}

func (w *World) estimated(s *server, now float64) bool {
	r := &w.o.Budgets.Rules
	rate := r.Bound
	for i := range s.said {
		if int32(i) != s.i {
			rate -= s.said[i]
		}
	}
	rate = math.Max(rate, r.Bound/float64(r.Servers))
	s.tokens = math.Min(r.Burst/float64(r.Servers), s.tokens+rate*(now-s.filled)/1000)
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.uses++ // over a mean of a second
	return true
}

// Worst is the most that was taken of one bound in a second, over bound and burst.
func (w *World) Worst() float64 { return w.worst }

// Sent is how many packets about budgets each server has sent, the most of any.
func (w *World) Sent() (most int) {
	for i := range w.servers {
		most = max(most, w.servers[i].sent)
	}
	return most
}
