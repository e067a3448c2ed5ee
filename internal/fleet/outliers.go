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
	// faultReportIntervalMs is the time between two records on a pool with a failing or ejected member. Success is reported with every
	// announcementsPerReport-th own record, since it only has to outweigh an accuser.
	faultReportIntervalMs  = 1000.0
	announcementsPerReport = 2.0
	// maxDetectedPools is how many pools have common detection: each takes a record, of the 16 that an origin may have.
	maxDetectedPools = 12
	// outlierSeed is the second half of the random seed, beside the incarnation.
	outlierSeed = 5
)

// OutlierDetectors detect, together with the other servers of the fleet, the failing members of this server's pools: one detector a pool.
// They gossip what this server saw and tell the pools what the fleet decided; which member is ejected, who checks its health and how it
// returns is decided by decision/outlier. They never make an RPC wait for the network. Their methods may be called by many goroutines.
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
	fleetwide    atomic.Bool // the view is complete; else this server decides by itself
	checksNeeded atomic.Bool // this server checks the health of an ejected member

	// The rest is under the lock of OutlierDetectors.
	evidence     evidence.Recorder
	detector     *outlier.Detector
	evaluatedAt  float64 // ms
	publishedAt  float64 // ms
	faultPending bool    // a fault is to be reported
	reports      []outlier.Report
	drained      []string // members that an operator drains
}

// evaluateNow has the pool evaluated with the next tick.
func (p *poolDetector) evaluateNow() { p.evaluatedAt = math.Inf(-1) }

// DetectOutliers has a server detect outliers together with its fleet.
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
		if _, stays := members[name]; !stays {
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

// RecordOutcome implements pools.OutlierDetection: an attempt ended, or has taken far longer than usual. latency is in ms.
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

// RecordRetryAfter implements pools.OutlierDetection: a member asked for no traffic for some ms.
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

// SetDrained replaces the members that an operator drains, by pool; they count as ejected.
func (d *OutlierDetectors) SetDrained(drained map[string][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.pools {
		p.drained = drained[name]
		p.detector.SetDrained(d.nowMs(), p.drained)
		p.evaluateNow()
	}
}

// Decisions implements pools.OutlierDetection: the members that are ejected or return. It is false if this server has to decide by itself.
func (d *OutlierDetectors) Decisions(poolName string) (decisions []pool.FleetDecision, fleetwide bool) {
	d.mu.Lock()
	p := d.pools[poolName]
	d.mu.Unlock()
	if p == nil || !p.fleetwide.Load() {
		return nil, false
	}
	return *p.decisions.Load(), true
}

// Admits implements pools.OutlierDetection: whether a caller is in the share of callers that may use a returning member.
func (d *OutlierDetectors) Admits(member string, caller uint64, share float64) bool {
	return outlier.AcceptsCaller(member, caller, share)
}

// TrialMember implements pools.OutlierDetection: an ejected member that an RPC may be sent to as its health check; "" for none.
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

// tick evaluates the pools that are due. peers are the reachable servers; complete tells that these are all.
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

// evaluation is what one evaluation of a pool found.
type evaluation struct {
	pool      string
	now       float64 // ms
	summaries []evidence.Summary
	decisions int  // members that are ejected or return
	fault     bool // it is to be reported soon
}

// collectReports reads what the reachable peers gossip about a pool.
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

// publishDecisions tells the pool which members are ejected or return, and returns how many.
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

// logEvents logs ejections and returns since the last evaluation.
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

// report gossips what this server saw of a pool if that is due: faults soon, success rarely, nothing if there is nothing.
func (d *OutlierDetectors) report(p *poolDetector, e *evaluation, announceWait time.Duration) {
	wait := announcementsPerReport * float64(announceWait) / 1e6
	if e.fault {
		wait = faultReportIntervalMs
	}
	if e.now-p.publishedAt < wait || len(e.summaries)+e.decisions == 0 {
		p.faultPending = e.fault // until it is due
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
	CallerShare         float64  `json:"Share"`   // of the callers that may use it, from 0 to 1
	StateDurationMs     float64  `json:"ForMs"`   // ejected, or back; negative for as long as this server runs
	EjectionRemainingMs float64  `json:"UntilMs"` // before it may return
	EvidenceWeight      float64  `json:"Weight"`
	FaultShare          float64  `json:"Against"` // of the evidence
	ReportedBy          []string `json:"By"`      // servers that saw it fail
	HealthChecks        bool     `json:"Probes"`  // this server checks its health
}

// status returns the state of all pools by name.
func (d *OutlierDetectors) status() []OutlierStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.nowMs()
	var all []OutlierStatus
	for name, p := range d.pools {
		status := OutlierStatus{Pool: name}
		for _, m := range p.detector.Members() {
			status.Members = append(status.Members, p.memberStatus(now, m))
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b OutlierStatus) int { return strings.Compare(a.Pool, b.Pool) })
	return all
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
