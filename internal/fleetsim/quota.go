package fleetsim

import (
	"fmt"
	"math"

	"sorrelvalve/decision/quota"
)

// This file runs the servers' shares of fleet quotas (decision/quota, as internal/fleet drives it) with the messages between
// them, and three other schemes for comparison. The load on them is in quota_load.go.

// QuotaScheme is how a fleet's quota is divided among its servers.
type QuotaScheme int

// The schemes.
const (
	PeerLeases      QuotaScheme = iota // each server owns a part and leases it to peers: what the servers run
	StaticSplit                        // each server has its fixed part
	GossipEstimates                    // each server publishes its use, and takes what the others leave
	CentralLeases                      // the first server owns all but the floors, and leases it out
)

// String is the scheme as reports print it.
func (s QuotaScheme) String() string {
	return [...]string{"owned and lent", "fixed parts", "counts by gossip", "leased by one"}[s]
}

// QuotaOptions configure the quotas that the servers share, one for each customer and all alike, and the load on them.
type QuotaOptions struct {
	Scheme          QuotaScheme
	Rules           quota.Limit
	Customers       int     // 0 means one
	StickyServers   int     // servers to which a customer's callers stick; 0 means all
	RatePerCustomer float64 // RPCs per second
	MoveIntervalMs  float64 // after which callers stick to other servers; 0 means never
	UniformRate     float64 // further RPCs per second and server, of the first customer
	QuietFromMs     float64 // nobody sends from here
	QuietUntilMs    float64 // to here; 0 for no such pause
}

// quotaParticipant is a server's part in the quotas. Times are of its own clock.
type quotaParticipant struct {
	ledger         *quota.Ledger
	quotaPeers     []string
	peersUpdatedAt float64
	messagesSent   int

	// For GossipEstimates.
	reportedUse []float64 // by server: RPCs per second that it last reported
	tokens      float64
	refilledAt  float64
	recentUse   float64 // RPCs per second, over a mean of a second
}

const (
	quotaTickMs       = 100.0
	peerRefreshMs     = 500.0
	reportEveryTicks  = 10 // of estimates: once a second
	quarantineLeases  = 10 // how many lease durations the injected fault skipLeaseQuarantine goes back
	useTimeConstantMs = 1000.0
)

func customerName(customer int32) string { return fmt.Sprint("c", customer) }

// quotaLimit returns a server's limit under the scheme.
func (sim *Simulation) quotaLimit(s *server) quota.Limit {
	o := sim.options.Quota
	limit := o.Rules
	if o.Scheme != CentralLeases {
		return limit
	}
	limit.OwnedCapacity = limit.Floor
	if s.index == 0 {
		limit.OwnedCapacity = limit.Capacity - float64(limit.Servers-1)*limit.Floor
	}
	return limit
}

// startQuota starts the part of a process in the quotas.
func (sim *Simulation) startQuota(s *server) {
	o := sim.options.Quota
	if o == nil {
		return
	}
	limit := sim.quotaLimit(s)
	now := sim.localClock(s)
	startedAt := now
	if sim.options.injected == skipLeaseQuarantine {
		startedAt -= quarantineLeases * limit.MaxLeaseDuration
	}
	id := uint64(s.incarnation)<<32 | uint64(s.index+1)
	seed := int64(sim.options.Seed*1000) + int64(s.index)<<8 + int64(s.incarnation)
	s.ledger = quota.NewLedger(id, seed, startedAt, func(string) (quota.Limit, bool) { return limit, true })
	s.quotaPeers = s.quotaPeers[:0]
	s.peersUpdatedAt = math.Inf(-1)
	if o.Scheme == GossipEstimates {
		s.reportedUse = make([]float64, len(sim.servers))
		s.tokens = 0
		s.refilledAt = now
		s.recentUse = 0
	}
	sim.scheduleAfter(s, quotaTickMs*s.rand.Float64(), eventQuotaTick, 0, 0)
}

// suspendQuota stops a server from acting on what it knew before a stall.
func (sim *Simulation) suspendQuota(s *server) {
	if s.ledger != nil {
		s.ledger.Invalidate(sim.localClock(s))
	}
}

// quotaTick is one tick of the quotas, as internal/fleet does it.
func (sim *Simulation) quotaTick(s *server) {
	sim.scheduleAfter(s, quotaTickMs, eventQuotaTick, 0, 0)
	now := sim.localClock(s)
	switch scheme := sim.options.Quota.Scheme; scheme {
	case StaticSplit:
	case GossipEstimates:
		sim.reportUse(s, now)
	case CentralLeases, PeerLeases:
		if now-s.peersUpdatedAt >= peerRefreshMs {
			s.peersUpdatedAt = now
			s.quotaPeers = s.health.AppendReachable(now, s.quotaPeers[:0])
			if scheme == CentralLeases {
				s.quotaPeers = append(s.quotaPeers[:0], sim.servers[0].name)
			}
		}
		sim.sendQuota(s, s.ledger.Tick(now, s.quotaPeers))
	}
}

// sendQuota sends messages, those to one server in one packet.
func (sim *Simulation) sendQuota(s *server, messages []quota.KeyedMessage) {
	for len(messages) > 0 {
		to := messages[0].To
		var same, rest []quota.KeyedMessage
		for _, m := range messages {
			if m.To == to {
				same = append(same, m)
			} else {
				rest = append(rest, m)
			}
		}
		messages = rest
		s.messagesSent++
		sim.quotaMessages++
		sim.quotaSecond().Messages++
		sim.sendPacket(s, packet{to: serverIndex(to), kind: leaseMessages, leases: same})
	}
}

// receiveQuota handles the messages of a packet and sends the answers.
func (sim *Simulation) receiveQuota(s *server, p *packet) {
	if s.ledger == nil {
		return
	}
	now := sim.localClock(s)
	var answers []quota.KeyedMessage
	for _, m := range p.leases {
		answers = append(answers, s.ledger.Receive(now, sim.servers[p.from].name, m)...)
	}
	sim.sendQuota(s, answers)
}

// reportUse publishes a server's use once a second. Gossip is modelled by its end, without packets.
func (sim *Simulation) reportUse(s *server, now float64) {
	s.recentUse *= math.Exp(-quotaTickMs / useTimeConstantMs)
	if int(now/quotaTickMs)%reportEveryTicks != int(s.index)%reportEveryTicks {
		return
	}
	for i := range sim.servers {
		peer := &sim.servers[i]
		if peer != s && peer.up && !peer.stopped && sim.network.isOpen(s.index, peer.index) && sim.awake(s) {
			peer.reportedUse[s.index] = s.recentUse
		}
	}
}

// admitByEstimate takes a token from a bucket that fills by what the others' reports leave.
func (sim *Simulation) admitByEstimate(s *server, now float64) bool {
	limit := &sim.options.Quota.Rules
	rate := limit.Capacity
	for i, use := range s.reportedUse {
		if int32(i) != s.index {
			rate -= use
		}
	}
	rate = math.Max(rate, limit.Capacity/float64(limit.Servers))
	s.tokens = math.Min(limit.Burst/float64(limit.Servers), s.tokens+rate*(now-s.refilledAt)/1000)
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.recentUse++
	return true
}

// MaxQuotaMessages is the largest number of packets with quota messages that any server sent.
func (sim *Simulation) MaxQuotaMessages() (largest int) {
	for i := range sim.servers {
		largest = max(largest, sim.servers[i].messagesSent)
	}
	return largest
}
