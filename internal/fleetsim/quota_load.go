package fleetsim

import "math"

// This file offers the load on the quotas and records what is admitted.

// admission is an RPC that a quota admitted.
type admission struct {
	at     float64
	server int32
}

// quotaState is the simulation's record of the quotas.
type quotaState struct {
	admissions    [][]admission // by customer: those of the last second
	peakUse       float64       // largest number of admissions within a second, over capacity and burst
	quotaMessages int
	QuotaSeries   []QuotaSecond // by second of the run
}

// QuotaSecond counts the first customer's RPCs in one second.
type QuotaSecond struct {
	Offered          int
	Admitted         int
	AdmittedByServer []int32
	Messages         int // packets with quota messages, of all customers
}

// Each customer's sticky servers start at another one, and move on by a stride of their number.
const (
	stickyMoveStride     = 7
	stickyCustomerStride = 13
)

// startQuotaLoad schedules the first RPC on the quotas.
func (sim *Simulation) startQuotaLoad() {
	o := sim.options.Quota
	if o == nil {
		return
	}
	sim.admissions = make([][]admission, max(1, o.Customers))
	sim.QuotaSeries = make([]QuotaSecond, int(sim.options.DurationMs/1000)+1)
	for i := range sim.QuotaSeries {
		sim.QuotaSeries[i].AdmittedByServer = make([]int32, len(sim.servers))
	}
	sim.scheduleQuotaArrival()
}

// rates returns the RPCs per second of all, and the part of them that is spread over all servers.
func (o *QuotaOptions) rates(servers int) (total, uniform float64) {
	uniform = o.UniformRate * float64(servers)
	return o.RatePerCustomer*float64(max(1, o.Customers)) + uniform, uniform
}

// scheduleQuotaArrival schedules the next RPC of a Poisson process.
func (sim *Simulation) scheduleQuotaArrival() {
	total, _ := sim.options.Quota.rates(len(sim.servers))
	wait := sim.rand.ExpFloat64() * 1000 / total
	sim.queue.put(event{at: sim.now + wait, kind: eventQuotaArrival, server: noServer})
}

// quotaSecond returns the record of the current second.
func (sim *Simulation) quotaSecond() *QuotaSecond {
	return &sim.QuotaSeries[min(int(sim.now/1000), len(sim.QuotaSeries)-1)]
}

// quotaArrival sends the next RPC to a server to which its callers stick now.
func (sim *Simulation) quotaArrival() {
	sim.scheduleQuotaArrival()
	o := sim.options.Quota
	if o.QuietUntilMs > 0 && sim.now >= o.QuietFromMs && sim.now < o.QuietUntilMs {
		return
	}
	n := len(sim.servers)
	total, uniform := o.rates(n)
	var customer, to int32
	if sim.rand.Float64()*total < uniform {
		to = sim.randomServer()
	} else {
		customer = int32(sim.rand.IntN(max(1, o.Customers)))
		to = sim.randomServer()
		if o.StickyServers > 0 {
			to = sim.stickyServer(customer)
		}
	}
	if customer == 0 {
		sim.quotaSecond().Offered++
	}
	s := &sim.servers[to]
	if !s.up {
		return
	}
	// A stopped server reads it once it resumes.
	sim.queue.put(event{at: sim.now, kind: eventQuotaRequest, server: to, subject: customer, incarnation: s.incarnation})
}

// stickyServer draws one of the servers to which a customer's callers stick now.
func (sim *Simulation) stickyServer(customer int32) int32 {
	o := sim.options.Quota
	n := len(sim.servers)
	moves := 0
	if o.MoveIntervalMs > 0 {
		moves = int(sim.now / o.MoveIntervalMs)
	}
	first := moves*o.StickyServers*stickyMoveStride + int(customer)*stickyCustomerStride
	return int32((first + sim.rand.IntN(o.StickyServers)*(n/o.StickyServers)) % n)
}

// requestQuota has a server that read an RPC admit it or not.
func (sim *Simulation) requestQuota(s *server, customer int32) {
	now := sim.localClock(s)
	admitted := false
	if sim.options.Quota.Scheme == GossipEstimates {
		admitted = sim.admitByEstimate(s, now)
	} else {
		admitted, _, _ = s.ledger.TryAcquire(now, customerName(customer), 1, 0)
	}
	if !admitted {
		return
	}
	sim.observe(observedQuotaAdmits, s.index, customer)
	if customer == 0 {
		second := sim.quotaSecond()
		second.Admitted++
		second.AdmittedByServer[s.index]++
	}
	recent := sim.admissions[customer]
	expired := 0
	for expired < len(recent) && recent[expired].at <= sim.now-1000 {
		expired++
	}
	recent = append(recent[expired:], admission{sim.now, s.index})
	sim.admissions[customer] = recent
	limit := &sim.options.Quota.Rules
	sim.peakUse = math.Max(sim.peakUse, float64(len(recent))/(limit.Capacity+limit.Burst))
}

// PeakQuotaUse is the largest number of RPCs admitted within a second, over a quota's capacity and burst.
func (sim *Simulation) PeakQuotaUse() float64 { return sim.peakUse }
