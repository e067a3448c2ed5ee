package fleetsim

import (
	"math"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/outlier"
	"sorrelvalve/decision/pool"
)

// This file drives outlier detection as internal/fleet does it: servers share what they measured of the pool's members, and
// each evaluates all reports. Gossip of the reports is modelled by its end.

const (
	evidenceIntervalMs = 1000.0 // between two reports while something is wrong
	reportMaxAgeMs     = 15e3
	alertMinSamples    = 0.5
	alertLatencyRatio  = 2 * math.Ln2 // logarithm of the latency over the usual one: four times
)

// peerReport holds a peer's latest report, which may still be under way, and the one before.
type peerReport struct {
	latest     outlier.Report
	arrivesAt  float64 // virtual time
	previous   outlier.Report
	previousAt float64
}

// current returns the report that has arrived by now, and when.
func (r *peerReport) current(now float64) (outlier.Report, float64) {
	if r.arrivesAt > now {
		return r.previous, r.previousAt
	}
	return r.latest, r.arrivesAt
}

// outlierConfig is the detector's configuration that goes with a pool's.
func outlierConfig(c *pool.Config) outlier.Config {
	return outlier.Config{
		MinInUseFraction:    c.MinHealthyShare,
		LatencyFactor:       c.LatencyFactor,
		ConsecutiveFailures: c.ConsecutiveFailures,
		BaseEjectionTime:    c.BaseEjection,
		RecoveryRamp:        c.SlowStart,
	}
}

// backendTick updates a server's pool, evaluates reports while anything may be wrong, and sends its own when it is due.
func (sim *Simulation) backendTick(s *server) {
	sim.scheduleAfter(s, backendTickMs, eventBackendTick, 0, 0)
	now := sim.localClock(s)
	s.pool.Update(now)
	if s.outliers == nil {
		return
	}
	// Without an alert nothing bad is known, and an evaluation would find nothing.
	if sim.now < s.alertUntil || s.pool.FollowsFleet() != s.health.CompleteFor(now, outlier.CompletePeriod) {
		sim.detectOutliers(s)
	}
	urgent := s.urgent
	for _, m := range s.outliers.Members() {
		urgent = urgent || m.Ejected || s.outliers.TrafficFraction(now, m) < 1
	}
	wait := 2 * s.heartbeatIntervalMs()
	if urgent {
		wait = evidenceIntervalMs
	}
	if now < s.lastReportAt+wait {
		s.urgent = urgent
		return
	}
	s.urgent = false
	s.lastReportAt = now
	sim.shareEvidence(s)
}

// shareEvidence gossips a server's report: it reaches each peer some rounds later, if the direction is open now.
func (sim *Simulation) shareEvidence(s *server) {
	if !sim.awake(s) {
		return
	}
	report := sim.buildReport(s)
	alert := len(report.Ejected)+len(report.Recoveries) > 0
	for _, m := range report.Summaries {
		slow := m.LatencySamples > alertMinSamples && m.LogLatencyRatio > alertLatencyRatio
		alert = alert || m.Run < 0 || slow
	}
	rounds := math.Max(1, math.Ceil(math.Log2(float64(len(sim.servers)))/2))
	for i := range sim.servers {
		peer := &sim.servers[i]
		if peer == s || !peer.up || peer.stopped || !sim.network.isOpen(s.index, peer.index) {
			continue
		}
		if alert {
			peer.alertUntil = sim.now + alertMs
		}
		stored := peer.reports[s.index]
		if stored == nil {
			stored = &peerReport{}
			peer.reports[s.index] = stored
		}
		if stored.arrivesAt <= sim.now {
			stored.previous = stored.latest
			stored.previousAt = stored.arrivesAt
		}
		stored.latest = report
		stored.arrivesAt = sim.now + gossipIntervalMs*rounds*sim.backendRand.Float64()
	}
}

// buildReport returns what a server reports of the members; a lying one reports long runs of failures.
func (sim *Simulation) buildReport(s *server) outlier.Report {
	now := sim.localClock(s)
	ejected, recoveries := s.outliers.Announcement(now)
	report := outlier.Report{
		Origin: s.name, Zone: s.zone, Summaries: s.evidence.Summaries(now), Ejected: ejected, Recoveries: recoveries,
	}
	for _, i := range sim.options.Backends.LyingServers {
		if int32(i) != s.index {
			continue
		}
		for k := range report.Summaries {
			report.Summaries[k].Run = -evidence.MaxRun
			report.Summaries[k].Age = 0
		}
	}
	return report
}

// peerReports returns the reports that a server has of reachable peers.
func (sim *Simulation) peerReports(s *server) (reports []outlier.Report) {
	reachable := map[string]bool{}
	for _, name := range s.alivePeers {
		reachable[name] = true
	}
	for i := range sim.servers {
		stored := s.reports[int32(i)]
		if stored == nil || !reachable[stored.latest.Origin] {
			continue
		}
		report, at := stored.current(sim.now)
		if report.Origin == "" || sim.now-at > reportMaxAgeMs {
			continue
		}
		report.Age = sim.now - at
		reports = append(reports, report)
	}
	return reports
}

// detectOutliers evaluates all reports, and has the pool follow the decisions if the view of the fleet is complete.
func (sim *Simulation) detectOutliers(s *server) {
	now := sim.localClock(s)
	s.alivePeers = s.health.AppendReachable(now, s.alivePeers[:0])
	reports := sim.peerReports(s)
	complete := s.health.CompleteFor(now, outlier.CompletePeriod)
	own := s.evidence.Summaries(now)
	s.outliers.Evaluate(now, own, reports, s.alivePeers, complete)
	if !complete {
		s.pool.UseLocalDetection(now)
		return
	}
	s.urgent = s.urgent || outlier.Urgent(own) || s.outliers.ShouldRefute(own, s.rand.Float64(), len(s.alivePeers)+1)
	var decisions []pool.FleetDecision
	for _, m := range s.outliers.Members() {
		share := s.outliers.TrafficFraction(now, m)
		if m.Ejected || share < 1 {
			decisions = append(decisions, pool.FleetDecision{Addr: m.Name, Ejected: m.Ejected, CallerShare: share})
		}
	}
	s.outliers.Events()
	s.pool.UseFleetDecisions(now, decisions, outlier.AcceptsCaller)
	s.pool.Events()
}

// countEjections counts at the end of a second which members are ejected at which servers.
func (sim *Simulation) countEjections() {
	o := sim.options.Backends
	second := sim.backendSecond()
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up || s.stopped {
			continue
		}
		ejected := 0
		for member, state := range s.pool.MemberStates(sim.localClock(s)) {
			if state.Ejection == pool.NotEjected {
				continue
			}
			ejected++
			second.EjectedAt[member]++
			if !sim.faultOn(s, member).faulty() {
				second.FalseEjections++
			}
		}
		sim.maxEjectedShare = math.Max(sim.maxEjectedShare, float64(ejected)/float64(o.Members))
		if o.SharedDetection && float64(o.Members-ejected) < o.PoolRules.MinHealthyShare*float64(o.Members) {
			sim.AddFinding("services", "%s has %d of %d members out", s.name, ejected, o.Members)
		}
	}
}

// MaxEjectedShare is the largest share of the members that any server ejected at one time.
func (sim *Simulation) MaxEjectedShare() float64 { return sim.maxEjectedShare }
