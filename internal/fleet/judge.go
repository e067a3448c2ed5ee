package fleet

// This file owns how servers of a fleet judge the members of their pools together: what this one saw, what the others say, in
// records under a key for each pool, and the verdicts that pools are told. Who is out, who asks after it and how it comes
// back is said by decision/outlier. It must never make an RPC wait.

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/outlier"
	"sorrelvalve/decision/pool"
)

const (
	keyObservations      = "seen/" // and the pool's name
	evaluationIntervalMs = 250.0   // ms between two looks at a pool
	// faultReportIntervalMs is between two words on a pool with a member that is bad or out; what is good is said with every second own
	// record, since it only has to weigh against an accuser.
	faultReportIntervalMs  = 1000.0
	reportsPerAnnouncement = 2.0
	maxDetectedPools       = 12  // pools: a record each, of the 16 that an origin may have
	maxViewBytes           = 900 // of a record, which has 1 KB
)

// OutlierDetectors are one server's, a judge for each pool. Its methods may be called by many goroutines.
type OutlierDetectors struct {
	fleet     *Fleet
	startedAt time.Time
	log       *logrus.Entry

	mu     sync.Mutex
	pools  map[string]*poolDetector
	random *rand.Rand
}

// poolDetector is one pool.
type poolDetector struct {
	evidence     evidence.Recorder
	detector     *outlier.Detector
	evaluatedAt  float64
	publishedAt  float64
	faultPending bool // something bad is to be said
	verdicts     atomic.Pointer[[]pool.FleetDecision]
	fleetwide    atomic.Bool // this server hears all; else it judges for itself
	checksNeeded atomic.Bool // a member is, that this server may ask after
	reports      []outlier.Report
	drained      []string // members that an operator drains
}

// DetectOutliers has a server judge members together with its fleet.
func (f *Fleet) DetectOutliers() *OutlierDetectors {
	j := &OutlierDetectors{fleet: f, startedAt: time.Now(), log: f.options.Log, pools: map[string]*poolDetector{}, random: rand.New(rand.NewPCG(f.identity.Incarnation, 5))}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outliers = j
	return j
}

func (j *OutlierDetectors) nowMs() float64 { return float64(time.Since(j.startedAt)) / 1e6 }

// Members is pools.Judges: whom there is to judge.
func (j *OutlierDetectors) SetMembers(all map[string][]string, rules func(string) pool.Config) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.nowMs()
	for name := range j.pools {
		if _, stays := all[name]; !stays {
			delete(j.pools, name)
		}
	}
	for name, members := range all {
		r := rules(name)
		set := outlier.Config{MinInUseFraction: r.MinHealthyShare, LatencyFactor: r.LatencyFactor, ConsecutiveFailures: r.ConsecutiveFailures, BaseEjectionTime: r.BaseEjection, RecoveryRamp: r.SlowStart}
		p := j.pools[name]
		if p == nil {
			if len(j.pools) >= maxDetectedPools {
				j.log.WithField("pool", name).Warn("judge: too many pools, this one's members are judged by each server for itself")
				continue
			}
			p = &poolDetector{detector: outlier.New(set, j.fleet.options.Name, j.fleet.options.Zone, members, now)}
			p.verdicts.Store(&[]pool.FleetDecision{})
			j.pools[name] = p
			continue
		}
		p.detector.Update(set, members)
		p.detector.SetDrained(now, p.drained)
		p.evidence.Retain(members)
	}
}

// Saw is pools.Judges: the end of a try.
func (j *OutlierDetectors) RecordOutcome(name, member string, how pool.Outcome, latency float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.pools[name]
	if p == nil {
		return
	}
	switch how {
	case pool.Succeeded:
		p.evidence.RecordSuccess(j.nowMs(), member, latency)
	case pool.Failed:
		p.evidence.RecordFailure(j.nowMs(), member)
		p.evaluatedAt = math.Inf(-1) // looked at with the next tick
		p.faultPending = true
	}
}

// Busy is pools.Judges: a member's word that it is to be left alone.
func (j *OutlierDetectors) RecordRetryAfter(name, member string, away float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p := j.pools[name]; p != nil {
		p.evidence.RecordBusy(j.nowMs(), member, away)
		p.evaluatedAt = math.Inf(-1)
		p.faultPending = true
	}
}

// SetDrained has members out that an operator drains, by pool, and no others for that.
func (j *OutlierDetectors) SetDrained(drained map[string][]string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, p := range j.pools {
		p.drained = drained[name]
		p.detector.SetDrained(j.nowMs(), p.drained)
		p.evaluatedAt = math.Inf(-1)
	}
}

// Verdicts is pools.Judges.
func (j *OutlierDetectors) Decisions(name string) (all []pool.FleetDecision, is bool) {
	j.mu.Lock()
	p := j.pools[name]
	j.mu.Unlock()
	if p == nil || !p.fleetwide.Load() {
		return nil, false
	}
	return *p.verdicts.Load(), true
}

// Takes is pools.Judges.
func (j *OutlierDetectors) Admits(member string, caller uint64, share float64) bool {
	return outlier.AcceptsCaller(member, caller, share)
}

// Probe is pools.Judges.
func (j *OutlierDetectors) TrialMember(name string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.pools[name]
	if p == nil || !p.checksNeeded.Load() {
		return ""
	}
	for _, m := range p.detector.Members() {
		if m.Ejected && m.HealthChecker && p.detector.TryHealthCheck(j.nowMs(), m.Name) {
			return m.Name
		}
	}
	return ""
}

// tick looks at pools whose time has come, and says what is to be said. peers are those that are heard.
func (j *OutlierDetectors) tick(peers []string, whole bool, pulse time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.nowMs()
	for name, p := range j.pools {
		if now-p.evaluatedAt < evaluationIntervalMs {
			continue
		}
		p.evaluatedAt = now
		views := p.evidence.Summaries(now)
		p.reports = p.reports[:0]
		j.fleet.Each(keyObservations+name, func(r *gossip.Record, age float64) {
			if r.Origin != j.fleet.options.Name {
				if s, ok := parseObservations(r.Body); ok {
					s.Origin, s.Age = r.Origin, age
					p.reports = append(p.reports, s)
				}
			}
		})
		p.reports = slices.DeleteFunc(p.reports, func(s outlier.Report) bool { return !slices.Contains(peers, s.Origin) })
		p.detector.Evaluate(now, views, p.reports, peers, whole)
		verdicts, out := []pool.FleetDecision{}, false
		bad := p.faultPending || outlier.Urgent(views) || p.detector.ShouldRefute(views, j.random.Float64(), len(peers)+1)
		p.faultPending = false
		for _, m := range p.detector.Members() {
			if m.Ejected || p.detector.TrafficFraction(now, m) < 1 {
				verdicts = append(verdicts, pool.FleetDecision{Addr: m.Name, Ejected: m.Ejected, CallerShare: p.detector.TrafficFraction(now, m)})
				bad = true
			}
			out = out || m.Ejected && m.HealthChecker
		}
		p.verdicts.Store(&verdicts)
		p.fleetwide.Store(whole)
		p.checksNeeded.Store(out)
		for _, e := range p.detector.Events() {
			line := j.log.WithFields(logrus.Fields{"pool": name, "member": e.Name, "by": strings.Join(e.Accusers, " ")})
			if e.Ejected {
				line.WithField("why", e.Condition.String()).Warn("judge: member out")
			} else {
				line.Info("judge: member back")
			}
		}
		wait := reportsPerAnnouncement * float64(pulse) / 1e6
		if bad {
			wait = faultReportIntervalMs
		}
		if now-p.publishedAt >= wait && len(views)+len(verdicts) > 0 {
			p.publishedAt = now
			out, back := p.detector.Announcement(now)
			j.fleet.Publish(keyObservations+name, appendObservations(views, j.fleet.options.Zone, out, back))
		} else if bad {
			p.faultPending = true // said when its time has come
		}
	}
}

// appendObservations writes what is said of a pool, what is bad first, as far as there is room.
func appendObservations(views []evidence.Summary, zone string, out []string, back []outlier.Recovery) []byte {
	views = slices.Clone(views)
	slices.SortStableFunc(views, func(a, b evidence.Summary) int { return min(a.Run, 0) - min(b.Run, 0) })
	var b []byte
	float := func(b []byte, f protowire.Number, v float64) []byte {
		if v == 0 {
			return b
		}
		return protowire.AppendFixed32(protowire.AppendTag(b, f, protowire.Fixed32Type), math.Float32bits(float32(v)))
	}
	b = appendStringField(b, 1, zone)
	for _, name := range out {
		if len(b) < maxViewBytes/2 {
			b = appendStringField(b, 3, name)
		}
	}
	for _, x := range back {
		if len(b) < maxViewBytes/2 {
			b = protowire.AppendBytes(protowire.AppendTag(b, 4, protowire.BytesType), float(appendStringField(nil, 1, x.Member), 2, x.Elapsed))
		}
	}
	for _, v := range views {
		x := appendStringField(nil, 1, v.Member)
		x = protowire.AppendVarint(protowire.AppendTag(x, 2, protowire.VarintType), protowire.EncodeZigZag(int64(v.Run)))
		x = float(float(float(float(float(float(x, 3, v.Age), 4, v.Attempts), 5, v.FailureFraction), 6, v.LogLatencyRatio), 7, v.BusyRemaining), 8, v.LatencySamples)
		if len(b)+len(x)+3 > maxViewBytes {
			break
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, 2, protowire.BytesType), x)
	}
	return b
}

// parseObservations reads it. Figures out of their bounds are brought into them: who spreads nonsense weighs no more for it.
func parseObservations(raw []byte) (s outlier.Report, ok bool) {
	number := func(n uint64, most float64) float64 {
		x := float64(math.Float32frombits(uint32(n)))
		if !(x >= 0) {
			return 0
		}
		return math.Min(x, most)
	}
	ok = eachField(raw, func(num protowire.Number, v []byte, n uint64) {
		switch num {
		case 1:
			s.Zone = sanitize(string(v))
		case 2:
			var x evidence.Summary
			eachField(v, func(num protowire.Number, v []byte, n uint64) {
				switch num {
				case 1:
					x.Member = string(v)
				case 2:
					x.Run = int(max(-evidence.MaxRun, min(evidence.MaxRun, protowire.DecodeZigZag(n))))
				case 3:
					x.Age = number(n, 1e9)
				case 4:
					x.Attempts = number(n, 1e9)
				case 5:
					x.FailureFraction = number(n, 1)
				case 6:
					if x.LogLatencyRatio = float64(math.Float32frombits(uint32(n))); !(x.LogLatencyRatio >= -20 && x.LogLatencyRatio <= 20) {
						x.LogLatencyRatio = 0
					}
				case 8:
					x.LatencySamples = number(n, 1e6)
				case 7:
					x.BusyRemaining = number(n, 10e3)
				}
			})
			s.Summaries = append(s.Summaries, x)
		case 3:
			s.Ejected = append(s.Ejected, string(v))
		case 4:
			var x outlier.Recovery
			eachField(v, func(num protowire.Number, v []byte, n uint64) {
				if num == 1 {
					x.Member = string(v)
				} else if num == 2 {
					if x.Elapsed = float64(math.Float32frombits(uint32(n))); !(x.Elapsed >= outlier.MinElapsed && x.Elapsed <= 1e9) {
						x.Elapsed = 1e9 // long back: that starts nothing
					}
				}
			})
			s.Recoveries = append(s.Recoveries, x)
		}
	})
	return s, ok
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
	Ejected             bool     `json:"Out"`     // ejected
	CallerShare         float64  `json:"Share"`   // of the callers that may use it, from 0 to 1
	StateDurationMs     float64  `json:"ForMs"`   // ejected, or back; negative for as long as this server runs
	EjectionRemainingMs float64  `json:"UntilMs"` // ejected: time left before it may return
	EvidenceWeight      float64  `json:"Weight"`  // of the evidence
	FaultShare          float64  `json:"Against"` // share of the evidence that is bad
	ReportedBy          []string `json:"By"`      // servers that saw it fail
	HealthChecks        bool     `json:"Probes"`  // this server sends it health checks
}

func (j *OutlierDetectors) status() (all []OutlierStatus) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.nowMs()
	for name, p := range j.pools {
		s := OutlierStatus{Pool: name}
		for _, m := range p.detector.Members() {
			x := MemberStatus{Name: sanitize(m.Name), Reason: m.Condition.String(), Ejected: m.Ejected, CallerShare: p.detector.TrafficFraction(now, m), StateDurationMs: now - m.Since, EvidenceWeight: m.EvidenceWeight, FaultShare: m.FailureFraction,
				ReportedBy: slices.Clone(m.Accusers), HealthChecks: m.HealthChecker}
			if math.IsInf(m.Since, -1) {
				x.StateDurationMs = -1
			}
			if m.Ejected {
				x.CallerShare, x.EjectionRemainingMs = 0, math.Max(0, m.EjectedUntil-now)
			}
			s.Members = append(s.Members, x)
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b OutlierStatus) int { return strings.Compare(a.Pool, b.Pool) })
	return all
}
