package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/outlier"
	"sorrelvalve/decision/pool"
)

const (
	evaluationIntervalMs = 250.0 // between two evaluations of a pool
	// faultReportIntervalMs is the time between two records about a pool with a failing or ejected member. Other pools are reported less often,
	// once per announcementsPerReport announcements, because successes only serve to outweigh reports of failures by other servers.
	faultReportIntervalMs  = 1000.0
	announcementsPerReport = 2.0
	// maxDetectedPools is the maximum number of pools with common detection. Each takes one of the 16 records that an origin may have.
	maxDetectedPools = 12
	// outlierSeed is the second half of the random seed; the incarnation is the first.
	outlierSeed = 5
)

// OutlierDetectors detects the failing members of this server's pools together with the other servers of the fleet, with one detector per
// pool. It gossips this server's observations and passes the fleet's decisions to the pools. Package decision/outlier decides which members
// are ejected, which server checks their health, and how they return. An RPC never waits for the network because of it. It is safe for
// concurrent use.
type OutlierDetectors struct {
	fleet     *Fleet
	startedAt time.Time
	log       *logrus.Entry

	mu     sync.Mutex
	pools  map[string]*poolDetector
	random *rand.Rand
}

// poolDetector is the detector of one pool.
type poolDetector struct {
	decisions    atomic.Pointer[[]pool.FleetDecision]
	fleetwide    atomic.Bool // the view of the fleet is complete; otherwise this server decides by itself
	checksNeeded atomic.Bool // this server checks the health of an ejected member

	// The lock of OutlierDetectors guards the fields below.
	evidence     evidence.Recorder
	detector     *outlier.Detector
	evaluatedAt  float64 // ms
	publishedAt  float64 // ms
	faultPending bool    // a fault has yet to be reported
	reports      []outlier.Report
	drained      []string // members drained by an operator
}

// evaluateNow makes the next tick evaluate the pool.
func (p *poolDetector) evaluateNow() { p.evaluatedAt = math.Inf(-1) }

// DetectOutliers makes the server detect outliers together with its fleet.
func (f *Fleet) DetectOutliers() *OutlierDetectors {
	d := &OutlierDetectors{
		fleet:     f,
		startedAt: time.Now(),
		log:       f.options.Log,
		pools:     map[string]*poolDetector{},
		random:    rand.New(rand.NewPCG(f.identity.Incarnation, outlierSeed)),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outliers = d
	return d
}

func (d *OutlierDetectors) nowMs() float64 { return float64(time.Since(d.startedAt)) / 1e6 }

// SetMembers implements pools.OutlierDetection: it replaces the pools and their members.
func (d *OutlierDetectors) SetMembers(members map[string][]string, configOf func(string) pool.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.nowMs()
	for name := range d.pools {
		if _, ok := members[name]; !ok {
			delete(d.pools, name)
		}
	}
	for name, addrs := range members {
		config := outlierConfig(configOf(name))
		if p := d.pools[name]; p != nil {
			p.detector.Update(config, addrs)
			p.detector.SetDrained(now, p.drained)
			p.evidence.Retain(addrs)
			continue
		}
		if len(d.pools) >= maxDetectedPools {
			d.log.WithField("pool", name).Warn("outlier.too_many_pools")
			continue
		}
		p := &poolDetector{detector: outlier.New(config, d.fleet.options.Name, d.fleet.options.Zone, addrs, now)}
		p.decisions.Store(&[]pool.FleetDecision{})
		d.pools[name] = p
	}
}

func outlierConfig(c pool.Config) outlier.Config {
	return outlier.Config{
		MinInUseFraction:    c.MinHealthyShare,
		LatencyFactor:       c.LatencyFactor,
		ConsecutiveFailures: c.ConsecutiveFailures,
		BaseEjectionTime:    c.BaseEjection,
		RecoveryRamp:        c.SlowStart,
	}
}

// RecordOutcome implements pools.OutlierDetection: it records the outcome of an attempt that has ended, or has taken far longer than usual.
// latency is in ms.
func (d *OutlierDetectors) RecordOutcome(poolName, member string, outcome pool.Outcome, latency float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[poolName]
	if p == nil {
		return
	}
	switch outcome {
	case pool.Succeeded:
		p.evidence.RecordSuccess(d.nowMs(), member, latency)
	case pool.Failed:
		p.evidence.RecordFailure(d.nowMs(), member)
		p.evaluateNow()
		p.faultPending = true
	}
}

// RecordRetryAfter implements pools.OutlierDetection: it records that a member asked to receive no traffic for retryAfter ms.
func (d *OutlierDetectors) RecordRetryAfter(poolName, member string, retryAfter float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[poolName]
	if p == nil {
		return
	}
	p.evidence.RecordBusy(d.nowMs(), member, retryAfter)
	p.evaluateNow()
	p.faultPending = true
}

// SetDrained replaces the members drained by an operator, by pool. Drained members count as ejected.
func (d *OutlierDetectors) SetDrained(drained map[string][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.pools {
		p.drained = drained[name]
		p.detector.SetDrained(d.nowMs(), p.drained)
		p.evaluateNow()
	}
}

// Decisions implements pools.OutlierDetection: it returns the fleet's decisions about members that are ejected or returning. fleetwide is false
// if this server has to decide by itself.
func (d *OutlierDetectors) Decisions(poolName string) (decisions []pool.FleetDecision, fleetwide bool) {
	d.mu.Lock()
	p := d.pools[poolName]
	d.mu.Unlock()
	if p == nil || !p.fleetwide.Load() {
		return nil, false
	}
	return *p.decisions.Load(), true
}

// Admits implements pools.OutlierDetection: it reports whether a caller is in the share of callers that may use a returning member.
func (d *OutlierDetectors) Admits(member string, caller uint64, share float64) bool {
	return outlier.AcceptsCaller(member, caller, share)
}

// TrialMember implements pools.OutlierDetection: it returns an ejected member to which an RPC may be sent as a health check, or "" if there is
// none.
func (d *OutlierDetectors) TrialMember(poolName string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[poolName]
	if p == nil || !p.checksNeeded.Load() {
		return ""
	}
	for _, m := range p.detector.Members() {
		if m.Ejected && m.HealthChecker && p.detector.TryHealthCheck(d.nowMs(), m.Name) {
			return m.Name
		}
	}
	return ""
}

// tick evaluates the pools that are due. peers are the reachable servers; complete means that no server is missing.
func (d *OutlierDetectors) tick(peers []string, complete bool, announceWait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.nowMs()
	for name, p := range d.pools {
		if now-p.evaluatedAt < evaluationIntervalMs {
			continue
		}
		p.evaluatedAt = now
		e := evaluation{pool: name, now: now, summaries: p.evidence.Summaries(now)}
		d.collectReports(name, p, peers)
		p.detector.Evaluate(now, e.summaries, p.reports, peers, complete)
		e.fault = p.faultPending || outlier.Urgent(e.summaries) || p.detector.ShouldRefute(e.summaries, d.random.Float64(), len(peers)+1)
		p.faultPending = false
		e.decisions = p.publishDecisions(now, complete)
		e.fault = e.fault || e.decisions > 0
		d.logEvents(name, p)
		d.report(p, &e, announceWait)
	}
}

// evaluation is the result of one evaluation of a pool.
type evaluation struct {
	pool      string
	now       float64 // ms
	summaries []evidence.Summary
	decisions int  // number of members that are ejected or returning
	fault     bool // the evaluation has to be reported soon
}

// collectReports reads the records of the reachable peers about a pool.
func (d *OutlierDetectors) collectReports(name string, p *poolDetector, peers []string) {
	p.reports = p.reports[:0]
	d.fleet.Each(keyObservations+name, func(record *gossip.Record, age float64) {
		if record.Origin == d.fleet.options.Name {
			return
		}
		if report, ok := parseObservations(record.Body); ok {
			report.Origin = record.Origin
			report.Age = age
			p.reports = append(p.reports, report)
		}
	})
	p.reports = slices.DeleteFunc(p.reports, func(r outlier.Report) bool { return !slices.Contains(peers, r.Origin) })
}

// publishDecisions publishes the decisions about members that are ejected or returning to the pool, and returns their number.
func (p *poolDetector) publishDecisions(now float64, complete bool) int {
	decisions := []pool.FleetDecision{}
	checksNeeded := false
	for _, m := range p.detector.Members() {
		share := p.detector.TrafficFraction(now, m)
		if m.Ejected || share < 1 {
			decisions = append(decisions, pool.FleetDecision{Addr: m.Name, Ejected: m.Ejected, CallerShare: share})
		}
		checksNeeded = checksNeeded || m.Ejected && m.HealthChecker
	}
	p.decisions.Store(&decisions)
	p.fleetwide.Store(complete)
	p.checksNeeded.Store(checksNeeded)
	return len(decisions)
}

// logEvents logs the ejections and returns since the last evaluation.
func (d *OutlierDetectors) logEvents(name string, p *poolDetector) {
	for _, e := range p.detector.Events() {
		line := d.log.WithFields(logrus.Fields{"pool": name, "member": e.Name, "reported_by": strings.Join(e.Accusers, " ")})
		if e.Ejected {
			line.WithField("reason", e.Condition.String()).Warn("outlier.ejected")
		} else {
			line.Info("outlier.returned")
		}
	}
}

// report gossips this server's observations of a pool if that is due: faults soon, successes rarely. Without observations it sends nothing.
func (d *OutlierDetectors) report(p *poolDetector, e *evaluation, announceWait time.Duration) {
	wait := announcementsPerReport * float64(announceWait) / 1e6
	if e.fault {
		wait = faultReportIntervalMs
	}
	if e.now-p.publishedAt < wait || len(e.summaries)+e.decisions == 0 {
		p.faultPending = e.fault // kept until a report is due
		return
	}
	p.publishedAt = e.now
	ejected, recoveries := p.detector.Announcement(e.now)
	body := appendObservations(e.summaries, d.fleet.options.Zone, ejected, recoveries)
	if err := d.fleet.Publish(keyObservations+e.pool, body); err != nil {
		d.log.WithError(err).WithField("pool", e.pool).Warn("fleet.publish_failed")
	}
}

// OutlierStatus is the outlier state of one pool.
type OutlierStatus struct {
	Pool    string
	Members []MemberStatus
}

// MemberStatus is the outlier state of one member of a pool.
type MemberStatus struct {
	Name                string
	Reason              string   `json:"Why"`
	Ejected             bool     `json:"Out"`
	CallerShare         float64  `json:"Share"`   // share of callers that may use the member, from 0 to 1
	StateDurationMs     float64  `json:"ForMs"`   // time since the ejection or return; negative if the state has not changed since this server started
	EjectionRemainingMs float64  `json:"UntilMs"` // time until the member may return
	EvidenceWeight      float64  `json:"Weight"`
	FaultShare          float64  `json:"Against"` // failing share of the evidence
	ReportedBy          []string `json:"By"`      // servers that reported failures of the member
	HealthChecks        bool     `json:"Probes"`  // this server checks the member's health
}

// status returns the state of all pools, sorted by name.
func (d *OutlierDetectors) status() []OutlierStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.nowMs()
	var statuses []OutlierStatus
	for name, p := range d.pools {
		status := OutlierStatus{Pool: name}
		for _, m := range p.detector.Members() {
			status.Members = append(status.Members, p.memberStatus(now, m))
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b OutlierStatus) int { return strings.Compare(a.Pool, b.Pool) })
	return statuses
}

func (p *poolDetector) memberStatus(now float64, m *outlier.Member) MemberStatus {
	status := MemberStatus{
		Name:            sanitize(m.Name),
		Reason:          m.Condition.String(),
		Ejected:         m.Ejected,
		CallerShare:     p.detector.TrafficFraction(now, m),
		StateDurationMs: now - m.Since,
		EvidenceWeight:  m.EvidenceWeight,
		FaultShare:      m.FailureFraction,
		ReportedBy:      slices.Clone(m.Accusers),
		HealthChecks:    m.HealthChecker,
	}
	if math.IsInf(m.Since, -1) {
		status.StateDurationMs = -1
	}
	if m.Ejected {
		status.CallerShare = 0
		status.EjectionRemainingMs = math.Max(0, m.EjectedUntil-now)
	}
	return status
}
