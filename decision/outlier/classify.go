package outlier

// This file derives a member's condition from the reports of all observers, independently of which members are ejected.

import (
	"cmp"
	"math"
	"slices"

	"sorrelvalve/decision/evidence"
)

// The weight of an observer's opinion is the length of its current run of equal outcomes, up to a limit. The limit for
// failures is the number of consecutive failures that suffices for an ejection. The limit for successes is lower, so that
// a member that starts to fail is detected once most observers have seen a single failure.
const (
	maxFailureWeight = 5.0
	maxSuccessWeight = 2.0
)

// Limits on the age and weight of evidence. Ages are in ms.
const (
	freshAge         = 3000.0  // a peer's report has its full weight up to this age
	staleAge         = 12000.0 // and no weight from this age on; the weight falls linearly in between
	maxRunAge        = 12000.0 // a run is ignored if its last outcome is older
	runHalfLife      = 2000.0  // ms, half-life of a run's weight
	sufficientWeight = 12.0    // a member is classified by its latest runs up to this total weight
	currentRunAge    = 1000.0  // and by all runs up to this age, whatever their weight
	maxObserverShare = 1.0 / 3 // maximum fraction of the total weight from one observer
	maxZoneShare     = 0.5     // maximum fraction of the total weight from one zone
	maxAttempts      = 10.0    // attempts per observer that count towards the recent failure fraction
	maxAccusers      = 4       // maximum length of Member.Accusers

	maxLatencySamples        = 8.0  // maximum number of samples counted per observer
	minLatencySamples        = 6.0  // minimum over all observers to classify a member as slow
	minLatencySamplesEjected = 1.5  // minimum to keep an ejected member classified as slow
	minSampleWeight          = 0.05 // an observer with fewer weighted samples is ignored
)

// Conditions for classifying a member as failing.
const (
	minFailureWeight   = 3.0    // minimum total weight of failure runs over all observers
	minObservers       = 2      // minimum number of observers that saw failures
	failingFraction    = 0.52   // minimum fraction of the evidence; over 0.5, the maximum for a single zone
	minFailureFraction = 0.4    // minimum fraction of recent attempts, because failures are reported sooner than successes
	failureFreshness   = 3000.0 // ms since the latest failure seen by any observer; after that it may have recovered
	localZoneFraction  = 0.75   // minimum fraction of the own zone's evidence if others see few failures; less may be chance
	maxHealthyFraction = 0.5    // maximum fraction of the evidence against a healthy member
)

// An observer that sees failures at most members is considered unreliable, since the fault is probably its own.
const (
	unreliableFraction = 0.5 // failing fraction of the members it last observed above which an observer is unreliable
	unreliableWindow   = 5   // number of last observed members considered
	unreliableMinimum  = 3   // minimum number of observed members
	unreliableTrust    = 0.1 // factor on the weight of its reports
)

// opinion is what one observer reports about one member.
type opinion struct {
	observer, zone string
	bad, good      float64 // weight of the current run: bad for failures, good for successes
	age            float64 // ms since the last outcome of the run
	trust          float64 // weight of the observer, from credibility
	run            int     // as in evidence.Summary
}

// accuses reports whether the opinion counts as evidence of failure. The opinion of an unreliable observer counts only if
// all observers are unreliable.
func (o *opinion) accuses(allUnreliable bool) bool {
	return o.bad > 0 && (allUnreliable || o.trust > unreliableTrust)
}

// assessment aggregates the reports of all observers about one member.
type assessment struct {
	own  opinion // this server's own opinion
	busy float64 // remaining ms of the member's Retry-After

	latencySum       float64 // weighted sum of log latency ratios
	latencySamples   float64 // weighted number of samples
	latencyObservers int

	attempts float64 // recent attempts, weighted
	failures float64 // weighted

	accusers       int
	accusingZones  int     // counted up to 2
	accusingWeight float64 // total weight of the accusers' runs
	lastFailure    float64 // age of the latest failure in ms

	bad, good          float64 // total weights, limited per observer and zone
	zoneBad, zoneGood  float64 // the part of the own zone
	zoneAccusers       int
	zoneAccusingWeight float64
}

// credibility returns the weight of an observer's report, from 0 to 1. It falls with the age of the report, and is low if
// most of the members that the observer last saw were failing.
func credibility(o *Report) float64 {
	trust := 1 - math.Min(math.Max((o.Age-freshAge)/(staleAge-freshAge), 0), 1)
	var latest [unreliableWindow]*evidence.Summary
	observed := 0
	for i := range o.Summaries {
		s := &o.Summaries[i]
		if s.Run == 0 || s.Age > maxRunAge {
			continue
		}
		for k := range latest { // sorted by age
			if latest[k] == nil || s.Age < latest[k].Age {
				copy(latest[k+1:], latest[k:])
				latest[k] = s
				observed++
				break
			}
		}
	}
	observed = min(observed, unreliableWindow)
	bad := 0
	for _, s := range latest[:observed] {
		if s.Run < 0 {
			bad++
		}
	}
	if observed >= unreliableMinimum && float64(bad) > unreliableFraction*float64(observed) {
		trust *= unreliableTrust
	}
	return trust
}

// classify sets a member's condition. observers[0] is this server; zones is the number of reporting zones, counted up to 2.
func (d *Detector) classify(m *Member, observers []Report, trust []float64, zones int) {
	var a assessment
	opinions := latestOpinions(d.collect(&a, m.Name, observers, trust))
	m.Accusers = a.addAccusations(opinions, m.Accusers[:0])
	boundWeights(opinions)
	a.sumWeights(opinions, d.zone)
	m.EvidenceWeight = a.bad + a.good
	m.FailureFraction = 0
	if m.EvidenceWeight > 0 {
		m.FailureFraction = a.bad / m.EvidenceWeight
	}
	m.observed = len(opinions) > 0
	m.Condition = d.condition(m, &a, zones, len(observers), trust[0])
}

// collect returns each observer's opinion of a member, and adds latencies and recent attempts to the assessment.
func (d *Detector) collect(a *assessment, name string, observers []Report, trust []float64) []opinion {
	opinions := d.opinions[:0]
	for i := range observers {
		o := &observers[i]
		k := slices.IndexFunc(o.Summaries, func(s evidence.Summary) bool { return s.Member == name })
		if k < 0 || trust[i] == 0 {
			continue
		}
		s := &o.Summaries[k]
		a.busy = math.Max(a.busy, s.BusyRemaining-o.Age)
		if samples := math.Min(s.LatencySamples, maxLatencySamples) * trust[i] * math.Exp2(-o.Age/evidence.HalfLife); samples > minSampleWeight {
			a.latencySum += samples * s.LogLatencyRatio
			a.latencySamples += samples
			a.latencyObservers++
		}
		attempts := math.Min(s.Attempts, maxAttempts) * trust[i] * math.Exp2(-o.Age/runHalfLife)
		a.attempts += attempts
		a.failures += attempts * s.FailureFraction
		op := opinion{observer: o.Origin, zone: o.Zone, run: s.Run, age: s.Age + o.Age, trust: trust[i]}
		if op.age > maxRunAge || s.Run == 0 {
			continue
		}
		if s.Run < 0 {
			op.bad = math.Min(float64(-s.Run), maxFailureWeight)
		} else {
			op.good = math.Min(float64(s.Run), maxSuccessWeight)
		}
		if i == 0 {
			a.own = op
		}
		opinions = append(opinions, op)
	}
	d.opinions = opinions
	return opinions
}

// latestOpinions sorts the opinions by age and returns those that describe the member's current condition: the latest ones
// up to sufficientWeight, and all that are newer than currentRunAge.
func latestOpinions(opinions []opinion) []opinion {
	slices.SortStableFunc(opinions, func(a, b opinion) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.observer, b.observer))
	})
	weight := 0.0
	n := 0
	for n < len(opinions) && (weight < sufficientWeight || opinions[n].age < currentRunAge) {
		weight += opinions[n].bad + opinions[n].good
		n++
	}
	return opinions[:n]
}

// addAccusations sums the accusing opinions and appends up to maxAccusers of their observers to names. It then multiplies
// the weights of each opinion by its trust and by its decay with age.
func (a *assessment) addAccusations(opinions []opinion, names []string) []string {
	a.lastFailure = math.Inf(1)
	allUnreliable := !slices.ContainsFunc(opinions, func(op opinion) bool { return op.trust > unreliableTrust })
	firstZone := ""
	for i := range opinions {
		op := &opinions[i]
		if op.accuses(allUnreliable) {
			a.accusers++
			a.accusingWeight += op.bad
			a.lastFailure = math.Min(a.lastFailure, op.age)
			if a.accusingZones == 0 || a.accusingZones == 1 && op.zone != firstZone {
				firstZone = op.zone
				a.accusingZones++
			}
			if len(names) < maxAccusers {
				names = append(names, op.observer)
			}
		}
		factor := op.trust * math.Exp2(-op.age/runHalfLife)
		op.bad *= factor
		op.good *= factor
	}
	return names
}

// sumWeights sums the limited weights, over all zones and over the own zone.
func (a *assessment) sumWeights(opinions []opinion, zone string) {
	for i := range opinions {
		op := &opinions[i]
		a.bad += op.bad
		a.good += op.good
		if op.zone != zone {
			continue
		}
		a.zoneBad += op.bad
		a.zoneGood += op.good
		if op.bad > 0 {
			a.zoneAccusers++
			a.zoneAccusingWeight += math.Min(float64(-op.run), maxFailureWeight)
		}
	}
}

// condition derives the member's condition from the assessment. zones and observers are the numbers of reporting zones and
// observers; ownTrust is the credibility of this server.
func (d *Detector) condition(m *Member, a *assessment, zones, observers int, ownTrust float64) Condition {
	switch {
	case d.complete && a.lastFailure < failureFreshness && a.failsEverywhere(m.FailureFraction, zones):
		return Failing
	case d.complete && a.lastFailure < failureFreshness && zones > 1 && a.failsFromZone():
		return FailingLocally
	case d.failsFromHere(a, ownTrust):
		return FailingLocally
	case d.isSlow(m, a, observers):
		return Slow
	case a.busy > 0:
		return Busy
	case m.observed && m.FailureFraction <= maxHealthyFraction:
		return Healthy
	}
	return Unknown
}

// failsEverywhere reports whether enough observers see the member fail, in at least two zones if two or more zones report.
func (a *assessment) failsEverywhere(failureFraction float64, zones int) bool {
	return a.accusingWeight >= minFailureWeight &&
		a.accusers >= minObservers &&
		a.accusingZones >= zones &&
		failureFraction > failingFraction &&
		a.failures > minFailureFraction*a.attempts
}

// failsFromZone reports whether the member fails as seen from the own zone and works as seen from the other zones.
func (a *assessment) failsFromZone() bool {
	elsewhere := 0.0 // failure fraction in the other zones
	if rest := a.bad + a.good - a.zoneBad - a.zoneGood; rest > 0 {
		elsewhere = (a.bad - a.zoneBad) / rest
	}
	return a.zoneAccusers >= minObservers &&
		a.zoneAccusingWeight >= minFailureWeight &&
		a.zoneBad > localZoneFraction*(a.zoneBad+a.zoneGood) &&
		elsewhere < 1-localZoneFraction
}

// failsFromHere reports whether this server has seen enough consecutive failures by itself, and is reliable.
func (d *Detector) failsFromHere(a *assessment, ownTrust float64) bool {
	return d.config.ConsecutiveFailures > 0 &&
		-a.own.run >= d.config.ConsecutiveFailures &&
		a.own.age < runHalfLife &&
		(ownTrust > unreliableTrust || !d.complete)
}

// isSlow reports whether the member's mean latency ratio over all observers exceeds Config.LatencyFactor.
func (d *Detector) isSlow(m *Member, a *assessment, observers int) bool {
	ejectedAsSlow := m.Ejected && m.performanceOnly
	needed := minLatencySamples
	if ejectedAsSlow { // only the servers that send it health checks still get samples
		needed = minLatencySamplesEjected
	}
	return d.config.LatencyFactor > 0 &&
		a.latencySamples >= needed &&
		(ejectedAsSlow || a.latencyObservers >= minObservers || observers == 1) &&
		a.latencySum/a.latencySamples > math.Log(d.config.LatencyFactor)
}

// boundWeights scales the weights so that no observer and no zone exceeds its maximum share.
func boundWeights(opinions []opinion) {
	maxShare := math.Max(maxObserverShare, 1/math.Max(1, float64(len(opinions))))
	for range 3 { // scaling a weight lowers the sum; three rounds come close enough to the limit
		sum := 0.0
		for i := range opinions {
			sum += opinions[i].bad + opinions[i].good
		}
		for i := range opinions {
			op := &opinions[i]
			if weight := op.bad + op.good; weight > maxShare*sum {
				op.bad *= maxShare * sum / weight
				op.good *= maxShare * sum / weight
			}
		}
	}
	zones := map[string]float64{}
	sum := 0.0
	for i := range opinions {
		op := &opinions[i]
		zones[op.zone] += op.bad + op.good
		sum += op.bad + op.good
	}
	if len(zones) < 2 {
		return
	}
	for i := range opinions {
		op := &opinions[i]
		// A zone may weigh as much as all other zones together.
		if weight := zones[op.zone]; weight > maxZoneShare*sum && sum > weight {
			factor := (sum - weight) / weight
			op.bad *= factor
			op.good *= factor
		}
	}
}
