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

func (sim QuotaScheme) String() string {
	return [...]string{"owned and lent", "fixed parts", "counts by gossip", "leased by one"}[sim]
}

// QuotaOptions are bounds that a world's servers share, the same for each of some customers, and who sends.
type QuotaOptions struct {
	Scheme          QuotaScheme
	Rules           quota.Limit
	Customers       int     // customers with a bound each; 0 for one
	StickyServers   int     // servers to which a customer's callers stick; 0 for all
	RatePerCustomer float64 // RPCs a second of each customer
	MoveIntervalMs  float64 // after which they stick to others; 0 for never
	UniformRate     float64 // RPCs a second at each server beside that, of the first customer
	QuietFromMs     float64 // ms from which on nobody sends
	QuietUntilMs    float64 // and again does
}

// quotaParticipant is a server's part.
type quotaParticipant struct {
	ledger         *quota.Ledger
	quotaPeers     []string
	peersUpdatedAt float64 // local, when peers were noted
	messagesSent   int     // messages
	// of the way Estimated
	reportedUse []float64 // what each of the others last said it uses
	tokens      float64
	refilledAt  float64
	recentUse   float64
}

// admission is one that was let through.
type admission struct {
	at     float64
	server int32
}

type quotaState struct {
	admissions    [][]admission // by customer: those of the last second
	peakUse       float64       // most in a second over what is allowed
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
	quotaTickMs   = 100.0 // between two ticks of the budgets
	peerRefreshMs = 500.0 // between two looks at who is heard
)

func customerName(k int32) string { return fmt.Sprint("c", k) }

func (sim *Simulation) startQuotaLoad() {
	b := sim.options.Quota
	if b == nil {
		return
	}
	sim.admissions = make([][]admission, max(1, b.Customers))
	sim.QuotaSeries = make([]QuotaSecond, int(sim.options.DurationMs/1000)+1)
	for i := range sim.QuotaSeries {
		sim.QuotaSeries[i].AdmittedByServer = make([]int32, len(sim.servers))
	}
	sim.scheduleQuotaArrival()
}

// rules of a server's part.
func (sim *Simulation) quotaRules(s *server) quota.Limit {
	b := sim.options.Quota
	r := b.Rules
	if b.Scheme == CentralLeases {
		if r.OwnedCapacity = r.Floor; s.index == 0 {
			r.OwnedCapacity = r.Capacity - float64(r.Servers-1)*r.Floor
		}
	}
	return r
}

func (sim *Simulation) startQuota(s *server) {
	b := sim.options.Quota
	if b == nil {
		return
	}
	r := sim.quotaRules(s)
	now := sim.localClock(s)
	began := now
	if sim.options.injected == skipLeaseQuarantine {
		began -= 10 * r.MaxLeaseDuration
	}
	s.ledger = quota.NewLedger(uint64(s.incarnation)<<32|uint64(s.index+1), int64(sim.options.Seed*1000)+int64(s.index)<<8+int64(s.incarnation), began, func(string) (quota.Limit, bool) { return r, true })
	s.quotaPeers, s.peersUpdatedAt = s.quotaPeers[:0], math.Inf(-1)
	if b.Scheme == GossipEstimates {
		s.reportedUse = make([]float64, len(sim.servers))
		s.tokens, s.refilledAt, s.recentUse = 0, now, 0
	}
	sim.scheduleAfter(s, quotaTickMs*s.rand.Float64(), eventQuotaTick, 0, 0)
}

func (sim *Simulation) suspendQuota(s *server) {
	if s.ledger != nil {
		s.ledger.Invalidate(sim.localClock(s))
	}
}

// quotaTick is one of the budgets', as internal/fleet does it.
func (sim *Simulation) quotaTick(s *server) {
	sim.scheduleAfter(s, quotaTickMs, eventQuotaTick, 0, 0)
	now := sim.localClock(s)
	switch sim.options.Quota.Scheme {
	case StaticSplit:
	case GossipEstimates:
		sim.reportUse(s, now)
	case CentralLeases, PeerLeases:
		if now-s.peersUpdatedAt >= peerRefreshMs {
			s.peersUpdatedAt = now
			s.quotaPeers = s.health.AppendReachable(now, s.quotaPeers[:0])
			if sim.options.Quota.Scheme == CentralLeases {
				s.quotaPeers = append(s.quotaPeers[:0], sim.servers[0].name)
			}
		}
		sim.sendQuota(s, s.ledger.Tick(now, s.quotaPeers))
	}
}

// sendQuota sends messages, those to one server in one packet.
func (sim *Simulation) sendQuota(s *server, all []quota.KeyedMessage) {
	for len(all) > 0 {
		to := all[0].To
		var mine, rest []quota.KeyedMessage
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
		s.messagesSent++
		sim.quotaMessages++
		sim.quotaSecond().Messages++
		sim.sendPacket(s, packet{to: i, kind: leaseMessages, leases: mine})
	}
}

// receiveQuota takes what another says.
func (sim *Simulation) receiveQuota(s *server, p *packet) {
	if s.ledger == nil {
		return
	}
	now := sim.localClock(s)
	var out []quota.KeyedMessage
	for _, m := range p.leases {
		out = append(out, s.ledger.Receive(now, sim.servers[p.from].name, m)...)
	}
	sim.sendQuota(s, out)
}

// reportUse has a server say what it uses, and note what it hears: a model by its end, without packets.
func (sim *Simulation) reportUse(s *server, now float64) {
	s.recentUse *= math.Exp(-quotaTickMs / 1000)
	if int(now/quotaTickMs)%10 != int(s.index)%10 { // said once a second
		return
	}
	for i := range sim.servers {
		if o := &sim.servers[i]; o != s && o.up && !o.stopped && sim.network.isOpen(s.index, o.index) && sim.awake(s) {
			o.reportedUse[s.index] = s.recentUse
		}
	}
}

func (sim *Simulation) scheduleQuotaArrival() {
	b := sim.options.Quota
	all := b.RatePerCustomer*float64(max(1, b.Customers)) + b.UniformRate*float64(len(sim.servers))
	sim.queue.put(event{at: sim.now + sim.rand.ExpFloat64()*1000/all, kind: eventQuotaArrival, server: -1})
}

func (sim *Simulation) quotaSecond() *QuotaSecond {
	return &sim.QuotaSeries[min(int(sim.now/1000), len(sim.QuotaSeries)-1)]
}

// quotaArrival is the next RPC, at the server to which its callers stick now.
func (sim *Simulation) quotaArrival() {
	sim.scheduleQuotaArrival()
	b := sim.options.Quota
	if b.QuietUntilMs > 0 && sim.now >= b.QuietFromMs && sim.now < b.QuietUntilMs {
		return
	}
	n := len(sim.servers)
	all := b.RatePerCustomer*float64(max(1, b.Customers)) + b.UniformRate*float64(n)
	key, to := int32(0), int32(0)
	if sim.rand.Float64()*all < b.UniformRate*float64(n) {
		to = int32(sim.rand.IntN(n))
	} else {
		key = int32(sim.rand.IntN(max(1, b.Customers)))
		if to = int32(sim.rand.IntN(n)); b.StickyServers > 0 {
			turn := 0
			if b.MoveIntervalMs > 0 {
				turn = int(sim.now / b.MoveIntervalMs)
			}
			to = int32((turn*b.StickyServers*7 + int(key)*13 + sim.rand.IntN(b.StickyServers)*(n/b.StickyServers)) % n)
		}
	}
	if key == 0 {
		sim.quotaSecond().Offered++
	}
	s := &sim.servers[to]
	if !s.up {
		return
	}
	sim.queue.put(event{at: sim.now, kind: eventQuotaRequest, server: to, subject: key, incarnation: s.incarnation}) // one that is stopped reads it as it wakes
}

// requestQuota is an RPC that a server has read.
func (sim *Simulation) requestQuota(s *server, key int32) {
	now := sim.localClock(s)
	if sim.options.Quota.Scheme == GossipEstimates {
		if !sim.admitByEstimate(s, now) {
			return
		}
	} else if ok, _, _ := s.ledger.TryAcquire(now, customerName(key), 1, 0); !ok {
		return
	}
	sim.observe(60, s.index, key)
	if key == 0 {
		x := sim.quotaSecond()
		x.Admitted++
		x.AdmittedByServer[s.index]++
	}
	log := sim.admissions[key]
	from := 0
	for from < len(log) && log[from].at <= sim.now-1000 {
		from++
	}
	log = append(log[from:], admission{sim.now, s.index})
	sim.admissions[key] = log
	r := &sim.options.Quota.Rules
	sim.peakUse = math.Max(sim.peakUse, float64(len(log))/(r.Capacity+r.Burst))
}

func (sim *Simulation) admitByEstimate(s *server, now float64) bool {
	r := &sim.options.Quota.Rules
	rate := r.Capacity
	for i := range s.reportedUse {
		if int32(i) != s.index {
			rate -= s.reportedUse[i]
		}
	}
	rate = math.Max(rate, r.Capacity/float64(r.Servers))
	s.tokens = math.Min(r.Burst/float64(r.Servers), s.tokens+rate*(now-s.refilledAt)/1000)
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.recentUse++ // over a mean of a second
	return true
}

// PeakQuotaUse is the most that was taken of one bound in a second, over bound and burst.
func (sim *Simulation) PeakQuotaUse() float64 { return sim.peakUse }

// MaxQuotaMessages is how many packets about budgets each server has sent, the most of any.
func (sim *Simulation) MaxQuotaMessages() (most int) {
	for i := range sim.servers {
		most = max(most, sim.servers[i].messagesSent)
	}
	return most
}
