package fleetsim

// This file owns the budgets that simulated servers share, and RPCs that are taken from them: the servers' own parts
// (decision/quota) with messages between them, and beside it the three other ways that were weighed. It must never take an RPC
// that the way at hand has not let through.

import (
	"fmt"
	"math"

	"sorrelvalve/decision/quota"
)

// QuotaScheme is how a bound is divided.
type QuotaScheme int

const (
	PeerLeases      QuotaScheme = iota // each owns a part and lends it: what the servers run
	StaticSplit                        // each has its part
	GossipEstimates                    // each says what it uses, and takes what the others leave of the bound
	CentralLeases                      // the first server owns all but the floors, and lends it
)

func (w QuotaScheme) String() string {
	return [...]string{"owned and lent", "fixed parts", "counts by gossip", "leased by one"}[w]
}

// QuotaOptions are bounds that a world's servers share, the same for each of some customers, and who sends.
type QuotaOptions struct {
	Scheme          QuotaScheme
	Rules           quota.Rules
	Customers       int     // customers with a bound each; 0 for one
	StickyServers   int     // servers to which a customer's callers stick; 0 for all
	RatePerCustomer float64 // RPCs a second of each customer
	MoveIntervalMs  float64 // after which they stick to others; 0 for never
	UniformRate     float64 // RPCs a second at each server beside that, of the first customer
	QuietFromMs     float64 // ms from which on nobody sends
	QuietUntilMs    float64 // and again does
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

type quotaState struct {
	admissions    [][]taken // by customer: those of the last second
	peakUse       float64   // most in a second over what is allowed
	quotaMessages int
	QuotaSeries   []QuotaSecond
}

// QuotaSecond is what happened to the first customer's RPCs in one second.
type QuotaSecond struct {
	Offered, Admitted int
	AdmittedByServer  []int32 // taken, by server
	Messages          int
}

const (
	shareMs = 100.0 // between two ticks of the budgets
	peersMs = 500.0 // between two looks at who is heard
)

func budgetName(k int32) string { return fmt.Sprint("c", k) }

func (w *Simulation) beginLoad() {
	b := w.o.Quota
	if b == nil {
		return
	}
	w.admissions = make([][]taken, max(1, b.Customers))
	w.QuotaSeries = make([]QuotaSecond, int(w.o.DurationMs/1000)+1)
	for i := range w.QuotaSeries {
		w.QuotaSeries[i].AdmittedByServer = make([]int32, len(w.servers))
	}
	w.nextLoad()
}

// rules of a server's part.
func (w *Simulation) ruleOf(s *server) quota.Rules {
	b := w.o.Quota
	r := b.Rules
	if b.Scheme == CentralLeases {
		if r.Own = r.Floor; s.i == 0 {
			r.Own = r.Bound - float64(r.Servers-1)*r.Floor
		}
	}
	return r
}

func (w *Simulation) beginSharing(s *server) {
	b := w.o.Quota
	if b == nil {
		return
	}
	r := w.ruleOf(s)
	now := w.local(s)
	began := now
	if w.o.injected == skipLeaseQuarantine {
		began -= 10 * r.Longest
	}
	s.book = quota.NewBook(uint64(s.life)<<32|uint64(s.i+1), int64(w.o.Seed*1000)+int64(s.i)<<8+int64(s.life), began, func(string) (quota.Rules, bool) { return r, true })
	s.peers, s.at = s.peers[:0], math.Inf(-1)
	if b.Scheme == GossipEstimates {
		s.said = make([]float64, len(w.servers))
		s.tokens, s.filled, s.uses = 0, now, 0
	}
	w.after(s, shareMs*s.chance.Float64(), evShare, 0, 0)
}

func (w *Simulation) voidSharing(s *server) {
	if s.book != nil {
		s.book.Void(w.local(s))
	}
}

// shareTick is one of the budgets', as internal/fleet does it.
func (w *Simulation) shareTick(s *server) {
	w.after(s, shareMs, evShare, 0, 0)
	now := w.local(s)
	switch w.o.Quota.Scheme {
	case StaticSplit:
	case GossipEstimates:
		w.estimate(s, now)
	case CentralLeases, PeerLeases:
		if now-s.at >= peersMs {
			s.at = now
			s.peers = s.hear.Heard(now, s.peers[:0])
			if w.o.Quota.Scheme == CentralLeases {
				s.peers = append(s.peers[:0], w.servers[0].name)
			}
		}
		w.says(s, s.book.Tick(now, s.peers))
	}
}

// says sends messages, those to one server in one packet.
func (w *Simulation) says(s *server, all []quota.Keyed) {
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
		w.quotaMessages++
		w.second().Messages++
		w.send(s, packet{to: i, kind: loans, said: mine})
	}
}

// hearLoans takes what another says.
func (w *Simulation) hearLoans(s *server, p *packet) {
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
func (w *Simulation) estimate(s *server, now float64) {
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

func (w *Simulation) nextLoad() {
	b := w.o.Quota
	all := b.RatePerCustomer*float64(max(1, b.Customers)) + b.UniformRate*float64(len(w.servers))
	w.queue.put(event{at: w.now + w.chance.ExpFloat64()*1000/all, kind: evLoad, who: -1})
}

func (w *Simulation) second() *QuotaSecond {
	return &w.QuotaSeries[min(int(w.now/1000), len(w.QuotaSeries)-1)]
}

// load is the next RPC, at the server to which its callers stick now.
func (w *Simulation) load() {
	w.nextLoad()
	b := w.o.Quota
	if b.QuietUntilMs > 0 && w.now >= b.QuietFromMs && w.now < b.QuietUntilMs {
		return
	}
	n := len(w.servers)
	all := b.RatePerCustomer*float64(max(1, b.Customers)) + b.UniformRate*float64(n)
	key, to := int32(0), int32(0)
	if w.chance.Float64()*all < b.UniformRate*float64(n) {
		to = int32(w.chance.IntN(n))
	} else {
		key = int32(w.chance.IntN(max(1, b.Customers)))
		if to = int32(w.chance.IntN(n)); b.StickyServers > 0 {
			turn := 0
			if b.MoveIntervalMs > 0 {
				turn = int(w.now / b.MoveIntervalMs)
			}
			to = int32((turn*b.StickyServers*7 + int(key)*13 + w.chance.IntN(b.StickyServers)*(n/b.StickyServers)) % n)
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
func (w *Simulation) takes(s *server, key int32) {
	now := w.local(s)
	if w.o.Quota.Scheme == GossipEstimates {
		if !w.estimated(s, now) {
			return
		}
	} else if ok, _, _ := s.book.Take(now, budgetName(key), 1, 0); !ok {
		return
	}
	w.observe(60, s.i, key)
	if key == 0 {
		x := w.second()
		x.Admitted++
		x.AdmittedByServer[s.i]++
	}
	log := w.admissions[key]
	from := 0
	for from < len(log) && log[from].at <= w.now-1000 {
		from++
	}
	log = append(log[from:], taken{w.now, s.i})
	w.admissions[key] = log
	r := &w.o.Quota.Rules
	w.peakUse = math.Max(w.peakUse, float64(len(log))/(r.Bound+r.Burst))
}

func (w *Simulation) estimated(s *server, now float64) bool {
	r := &w.o.Quota.Rules
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

// PeakQuotaUse is the most that was taken of one bound in a second, over bound and burst.
func (w *Simulation) PeakQuotaUse() float64 { return w.peakUse }

// MaxQuotaMessages is how many packets about budgets each server has sent, the most of any.
func (w *Simulation) MaxQuotaMessages() (most int) {
	for i := range w.servers {
		most = max(most, w.servers[i].sent)
	}
	return most
}
