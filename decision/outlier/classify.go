package outlier

// This file classifies a member by what all observers report of it, whoever is ejected.

import (
	"cmp"
	"math"
	"slices"

	"sorrelvalve/decision/evidence"
)

// Each observer's last run of equal outcomes counts with its length, up to a bound: a run of failures up to the failures
// in a row that suffice for an ejection; a run of successes less, so that a member that turned bad is detected as soon as
// most observers met that once.
const (
	maxFailureWeight = 5.0
	maxSuccessWeight = 2.0
)

// Which evidence counts, and how much. Ages are ms.
const (
	freshAge         = 3000.0  // a peer's report up to this age has its whole weight
	staleAge         = 12000.0 // and from this age on none
	maxRunAge        = 12000.0 // of a run's last outcome
	runHalfLife      = 2000.0  // of a run's weight beside later ones
	sufficientWeight = 12.0    // of the latest runs, by which a member is classified
	currentRunAge    = 1000.0  // and runs up to this age, whatever their weight
	maxObserverShare = 1.0 / 3 // of all weight
	maxZoneShare     = 0.5     // of all weight
	maxAttempts      = 10.0    // of one observer that count for the recent failure fraction
	maxAccusers      = 4       // that are named

	maxLatencySamples        = 8.0 // of one observer
	minLatencySamples        = 6.0 // of all, under which no member is called slow
	minLatencySamplesEjected = 1.5 // under which one that is ejected for it is no longer
	minSampleWeight          = 0.05
)

// When a member counts as failing.
const (
	minFailureWeight   = 3.0    // of the runs of failures over all observers
	minObservers       = 2      // that met failures
	failingFraction    = 0.52   // of the evidence: one zone alone has at most half of it
	minFailureFraction = 0.4    // of all recent attempts: failures are reported first, and successes later
	failureFreshness   = 3000.0 // ms since any observer met a failure; after that it may have recovered
	localZoneFraction  = 0.75   // of the own zone's evidence, if the other zones' is mostly good: less may be chance
	maxHealthyFraction = 0.5    // of the evidence against a member that is healthy
)

// An observer that finds most members bad is unreliable itself.
const (
	unreliableFraction = 0.5 // of the members that it met last
	unreliableWindow   = 5   // how many of these count
	unreliableMinimum  = 3   // how many it must have met
	unreliableTrust    = 0.1 // the weight of what it reports
)

// opinion is one observer's of one member.
type opinion struct {
	observer, zone string
	bad, good      float64 // weights of the last run
	age            float64 // of its last outcome
	trust          float64 // in the observer
	run            int
}

// accuses tells whether the opinion accuses a member; an unreliable observer's counts only if all are unreliable.
func (o *opinion) accuses(allUnreliable bool) bool {
	return o.bad > 0 && (allUnreliable || o.trust > unreliableTrust)
}

// assessment sums up what all observers report of one member.
type assessment struct {
	own  opinion // of this server
	busy float64 // ms for which the member asked to be left alone

	latencySum       float64 // of weighted logarithms of the latency ratio
	latencySamples   float64 // weighted
	latencyObservers int

	attempts float64 // recent ones, weighted
	failures float64

	accusers       int
	accusingZones  int     // two at most
	accusingWeight float64 // of the accusers' runs
	lastFailure    float64 // age of the latest

	bad, good          float64 // weights, bounded by observer and zone
	zoneBad, zoneGood  float64 // of the own zone
	zoneAccusers       int
	zoneAccusingWeight float64
}

// credibility is how much an observer's report weighs: by its age, and little if most of the members that it met last were
// bad.
func credibility(o *Report) float64 {
	trust := 1 - math.Min(math.Max((o.Age-freshAge)/(staleAge-freshAge), 0), 1)
	var latest [unreliableWindow]*evidence.Summary
	met := 0
	for i := range o.Summaries {
		s := &o.Summaries[i]
		if s.Run == 0 || s.Age > maxRunAge {
			continue
		}
		for k := range latest { // by age
			if latest[k] == nil || s.Age < latest[k].Age {
				copy(latest[k+1:], latest[k:])
				latest[k] = s
				met++
				break
			}
		}
	}
	met = min(met, unreliableWindow)
	bad := 0
	for _, s := range latest[:met] {
		if s.Run < 0 {
			bad++
		}
	}
	if met >= unreliableMinimum && float64(bad) > unreliableFraction*float64(met) {
		trust *= unreliableTrust
	}
	return trust
}

// classify sets a member's condition. observers[0] is this server; zones is how many zones report, two at most.
func (d *Detector) classify(m *Member, observers []Report, trust []float64, zones int) {
	var a assessment
	opinions := latestOpinions(d.collect(&a, m.Name, observers, trust))
	m.Accusers = a.accuse(opinions, m.Accusers[:0])
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

// collect returns each observer's opinion of a member, and adds up latencies and recent attempts.
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
		x := opinion{observer: o.Origin, zone: o.Zone, run: s.Run, age: s.Age + o.Age, trust: trust[i]}
		if x.age > maxRunAge || s.Run == 0 {
			continue
		}
		if s.Run < 0 {
			x.bad = math.Min(float64(-s.Run), maxFailureWeight)
		} else {
			x.good = math.Min(float64(s.Run), maxSuccessWeight)
		}
		if i == 0 {
			a.own = x
		}
		opinions = append(opinions, x)
	}
	d.opinions = opinions
	return opinions
}

// latestOpinions returns those opinions that tell how the member is now: the latest up to a sufficient weight. It sorts
// them by age.
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

// accuse adds up the accusing opinions, appends some of their observers to names, and then weighs each opinion by age and
// trust.
func (a *assessment) accuse(opinions []opinion, names []string) []string {
	a.lastFailure = math.Inf(1)
	allUnreliable := !slices.ContainsFunc(opinions, func(x opinion) bool { return x.trust > unreliableTrust })
	firstZone := ""
	for i := range opinions {
		x := &opinions[i]
		if x.accuses(allUnreliable) {
			a.accusers++
			a.accusingWeight += x.bad
			a.lastFailure = math.Min(a.lastFailure, x.age)
			if a.accusingZones == 0 || a.accusingZones == 1 && x.zone != firstZone {
				firstZone = x.zone
				a.accusingZones++
			}
			if len(names) < maxAccusers {
				names = append(names, x.observer)
			}
		}
		factor := x.trust * math.Exp2(-x.age/runHalfLife)
		x.bad *= factor
		x.good *= factor
	}
	return names
}

// sumWeights adds up the bounded weights, over all and over the own zone.
func (a *assessment) sumWeights(opinions []opinion, zone string) {
	for i := range opinions {
		x := &opinions[i]
		a.bad += x.bad
		a.good += x.good
		if x.zone != zone {
			continue
		}
		a.zoneBad += x.bad
		a.zoneGood += x.good
		if x.bad > 0 {
			a.zoneAccusers++
			a.zoneAccusingWeight += math.Min(float64(-x.run), maxFailureWeight)
		}
	}
}

// condition decides by the assessment. zones and observers are how many report, ownTrust is the trust in this server.
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

func (a *assessment) failsEverywhere(failureFraction float64, zones int) bool {
	return a.accusingWeight >= minFailureWeight &&
		a.accusers >= minObservers &&
		a.accusingZones >= zones &&
		failureFraction > failingFraction &&
		a.failures > minFailureFraction*a.attempts
}

// failsFromZone tells whether the own zone finds the member bad and the others find it good.
func (a *assessment) failsFromZone() bool {
	elsewhere := 0.0 // fraction against it outside the own zone
	if rest := a.bad + a.good - a.zoneBad - a.zoneGood; rest > 0 {
		elsewhere = (a.bad - a.zoneBad) / rest
	}
	return a.zoneAccusers >= minObservers &&
		a.zoneAccusingWeight >= minFailureWeight &&
		a.zoneBad > localZoneFraction*(a.zoneBad+a.zoneGood) &&
		elsewhere < 1-localZoneFraction
}

// failsFromHere tells whether this server alone met enough failures in a row, and is reliable itself.
func (d *Detector) failsFromHere(a *assessment, ownTrust float64) bool {
	return d.config.ConsecutiveFailures > 0 &&
		-a.own.run >= d.config.ConsecutiveFailures &&
		a.own.age < runHalfLife &&
		(ownTrust > unreliableTrust || !d.complete)
}

func (d *Detector) isSlow(m *Member, a *assessment, observers int) bool {
	ejectedAsSlow := m.Ejected && m.performanceOnly
	needed := minLatencySamples
	if ejectedAsSlow { // only those that send it health checks get answers
		needed = minLatencySamplesEjected
	}
	return d.config.LatencyFactor > 0 &&
		a.latencySamples >= needed &&
		(ejectedAsSlow || a.latencyObservers >= minObservers || observers == 1) &&
		a.latencySum/a.latencySamples > math.Log(d.config.LatencyFactor)
}

// boundWeights scales the weights so that no observer and no zone has more than its share.
func boundWeights(opinions []opinion) {
	maxShare := math.Max(maxObserverShare, 1/math.Max(1, float64(len(opinions))))
	for range 3 { // scaling one lowers the sum; three rounds come close enough
		sum := 0.0
		for i := range opinions {
			sum += opinions[i].bad + opinions[i].good
		}
		for i := range opinions {
			x := &opinions[i]
			if weight := x.bad + x.good; weight > maxShare*sum {
				x.bad *= maxShare * sum / weight
				x.good *= maxShare * sum / weight
			}
		}
	}
	zones := map[string]float64{}
	sum := 0.0
	for i := range opinions {
		x := &opinions[i]
		zones[x.zone] += x.bad + x.good
		sum += x.bad + x.good
	}
	if len(zones) < 2 {
		return
	}
	for i := range opinions {
		x := &opinions[i]
		// A zone may have as much as all others together.
		if weight := zones[x.zone]; weight > maxZoneShare*sum && sum > weight {
			factor := (sum - weight) / weight
			x.bad *= factor
			x.good *= factor
		}
	}
}
