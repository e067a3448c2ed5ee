// Package outlier implements outlier detection and ejection for the members of a pool.
//
// From this server's own statistics and those that its peers gossip (package evidence), it decides per member whether
// to eject it fleet-wide (it fails wherever it is seen from), only for this server or its zone (only the path to it
// fails), or not at all (all members are equally bad). Servers that received the same statistics eject the same
// members, the worst first, and never more than the configured fraction of the pool. It also assigns which server sends
// health checks to an ejected member, and which fraction of traffic a member gets while it returns from ejection. An
// ejection is never kept on the word of a peer that is no longer heard.
//
// The package is pure: it does no I/O, reads no clock (callers pass times in ms) and starts no goroutine. An instance is
// not safe for concurrent use; its owner must serialise calls.
package outlier

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"sorrelvalve/decision/evidence"
)

// Config are what an operator sets. Times are ms.
type Config struct {
	MinInUseFraction    float64 // of the members that stay in use, whatever is said of them
	LatencyFactor       float64 // times the others' latency, from which a member is slow; 0 for never
	ConsecutiveFailures int     // in a row that this server must have seen to act on its own evidence alone; 0 for never
	BaseEjectionTime    float64 // for which a member is out at first; twice as long each time that it is soon out again
	RecoveryRamp        float64 // over which it comes back
}

const (
	// weightBad and weightGood bound what the last run of like ends of one observer weighs: a bad run up to the failures in
	// a row that eject a member today; a good one less, so that a member that has turned bad is seen as soon as most observers
	// met that once.
	weightBad, weightGood = 5.0, 2.0
	leastWeight           = 3.0 // of bad runs over all observers, under which nobody is judged by hearsay
	leastObservers        = 2   // that met it as bad
	mostObserver          = 1.0 / 3
	mostZone              = 0.5
	mostly                = 0.52   // of the evidence: one zone alone has half of it at the most
	asBad                 = 2.0    // times what is against the others, under which a member is no worse than they are
	shareBad              = 0.4    // of all ends of late: who was met as bad says so first, and the good is heard later
	mostEnds              = 10.0   // of one observer that count for that
	lastBad               = 3000.0 // since when nobody has met it as bad, it may be well again
	zoneMostly            = 0.75   // of the own zone's, if the others' are mostly for it: less may be chance
	suspectShare          = 0.5    // of the members that an observer finds bad: more, and it is the suspect
	suspectLast           = 5      // members that it met last, of which that is told
	suspectSeen           = 3      // members that it must have met for that
	suspectWeight         = 0.1
	fresh, stale          = 3000.0, 12000.0 // ages of a peer's word: whole weight, and none
	softShare             = 0.75            // of the members stay in use whatever their latency suggests
	mostSlow              = 8.0             // answers of one observer that count for a latency
	leastSlow             = 6.0             // of all, under which none is called slow
	stillSlow             = 1.5             // under which one that is out for it is not any more
	enough                = 12.0            // weight of the latest runs by which a member is judged
	freshRun              = 1000.0          // and those that ended within this, whatever their weight
	halfRun               = 2000.0          // in which a run loses half of its weight beside later ones
	oldest                = 12000.0         // none older is looked at
	longestHold           = 2.0             // times the first
	calm                  = 4.0             // times the last hold without another, and the next is a first again
	probers               = 2               // servers that ask after a member that is out
	probeGood             = 3               // answers in a row by one of them, and it may return
	probeEvery            = 1000.0          // at first; twice as long after each that failed, up to probeSlow; probeSoon after a good one
	probeSlow             = 4000.0
	probeSoon             = 300.0
	firstPart             = 0.05 // of the callers, for one that has just returned
	// lead is told before a return begins, so that all begin it together: most of 300 servers hear a word within it.
	lead     = 2000.0
	youngFor = 6000.0
)

// Condition is what a member is judged.
type Condition int

const (
	Unknown Condition = iota // too little is heard
	Healthy
	Failing        // for all
	FailingLocally // from this server or its zone only
	Slow           // for all
	Busy           // it asked to be left alone
	Inherited      // as others have it: this server has just started
	AllFailing     // as all are: that ejects nobody
	Drained        // by an operator's word, whatever it is
)

func (w Condition) String() string {
	return [...]string{"not known", "sound", "bad", "bad from here", "slow", "busy", "taken over from others", "bad, as all are", "drained"}[min(max(w, 0), Drained)]
}

// Report is what a peer says.
type Report struct {
	Origin, Zone string
	Age          float64 // ms since it was heard
	Summaries    []evidence.Summary
	Ejected      []string // members that it holds out
	Recoveries   []Recovery
}

// Recovery is a member that returns.
type Recovery struct {
	Member  string
	Elapsed float64 // ms; below 0: it begins to in so many
}

// Soonest is the least that a Back may tell.
const MinElapsed = -lead

// Member is how one stands.
type Member struct {
	Name            string
	Condition       Condition
	Ejected         bool
	Since           float64 // own ms of its being out or back
	EjectedUntil    float64 // out: not before then
	EvidenceWeight  float64 // of the evidence
	FailureFraction float64 // share of it that is against
	Accusers        []string
	HealthChecker   bool // this server asks after it
	hold            float64
	probed          float64
	pause           float64 // between probes
	soft            bool
	saw             bool    // something was heard of it since it was out
	comes           float64 // out: when it is to be back, 0 if that is not said
	aside           bool    // drained
}

// Detector is one server's view of one pool.
type Detector struct {
	r          Config
	self, zone string
	began      float64
	members    []*Member // by name
	events     []Member
	whole      bool      // at the last look
	opinions   []opinion // kept for the next look
	medians    []float64
}

// New returns one that has judged nobody.
func New(r Config, self, zone string, members []string, now float64) *Detector {
	j := &Detector{self: self, zone: zone, began: now}
	j.Update(r, members)
	return j
}

// Update takes other rules and members. Those that stay keep their verdict; one that comes is in use.
func (j *Detector) Update(r Config, members []string) {
	j.r = r
	j.members = slices.DeleteFunc(j.members, func(m *Member) bool { return !slices.Contains(members, m.Name) })
	for _, name := range members {
		if !slices.ContainsFunc(j.members, func(m *Member) bool { return m.Name == name }) {
			j.members = append(j.members, &Member{Name: name, Since: math.Inf(-1)})
		}
	}
	slices.SortFunc(j.members, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
}

// SetDrained has members out that an operator drains, and no others for that. They use up what the pool may spare before any is taken
// out; one that is no longer drained returns by its ramp, over the whole fleet, as others do. Where all would be, none is.
func (j *Detector) SetDrained(now float64, members []string) {
	if !slices.ContainsFunc(j.members, func(m *Member) bool { return !slices.Contains(members, m.Name) }) {
		members = nil
	}
	for _, m := range j.members {
		drained := slices.Contains(members, m.Name)
		if drained == m.aside {
			continue
		}
		if m.aside = drained; drained {
			m.Ejected, m.Since, m.EjectedUntil, m.Condition, m.HealthChecker, m.comes, m.soft = true, now, math.Inf(1), Drained, false, 0, false
			j.events = append(j.events, *m)
		} else {
			j.restore(m, now)
		}
	}
}

// opinion is one observer's of one member.
type opinion struct {
	who, zone string
	bad, good float64 // weights
	age       float64 // of its last end
	trust     float64
	run       int
}

// Together is for how many ms all must have been heard before a server acts on what others say: right after a heal those that accuse
// have spoken, and those that have good to say have not yet.
const CompletePeriod = 3000.0

// Evaluate judges all members: by its own views, and by the peers' if this server hears the whole fleet. heard are the names
// that are heard, the own one not included.
func (j *Detector) Evaluate(now float64, own []evidence.Summary, peers []Report, heard []string, whole bool) {
	if !whole {
		peers = nil // cut off, a server acts on what it saw itself
	} else if !j.whole {
		for _, m := range j.members { // and what it did so is judged anew by what all saw
			if m.Ejected && !m.aside {
				m.Ejected, m.Since, m.HealthChecker, m.comes = false, math.Inf(-1), false, 0
				j.events = append(j.events, *m)
			}
		}
	}
	j.whole = whole
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Report) int { return cmp.Compare(a.Origin, b.Origin) })
	observers := append([]Report{{Origin: j.self, Zone: j.zone, Summaries: own}}, peers...)
	trust := make([]float64, len(observers))
	zones := map[string]bool{}
	for i := range observers {
		trust[i] = credible(&observers[i])
		zones[observers[i].Zone] = true
	}
	for _, m := range j.members {
		if m.aside {
			m.Condition, m.EvidenceWeight, m.FailureFraction = Drained, 0, 0
			continue
		}
		j.judge(now, m, observers, trust, min(len(zones), 2), whole)
	}
	j.takeOut(now, observers, heard, whole)
}

// credible is how much an observer's word weighs: by its age, and little if most of the members that it met last were bad.
func credible(o *Report) float64 {
	t := 1 - math.Min(math.Max((o.Age-fresh)/(stale-fresh), 0), 1)
	var last [suspectLast]*evidence.Summary
	met := 0
	for i := range o.Summaries {
		v := &o.Summaries[i]
		if v.Run == 0 || v.Age > oldest {
			continue
		}
		for k := range last { // by their ages
			if last[k] == nil || v.Age < last[k].Age {
				copy(last[k+1:], last[k:])
				last[k] = v
				met++
				break
			}
		}
	}
	bad := 0
	met = min(met, suspectLast)
	for _, v := range last[:met] {
		if v.Run < 0 {
			bad++
		}
	}
	if met >= suspectSeen && float64(bad) > suspectShare*float64(met) {
		t *= suspectWeight
	}
	return t
}

// judge finds what is to be said of one member, whoever is out.
func (j *Detector) judge(now float64, m *Member, observers []Report, trust []float64, zones int, whole bool) {
	all := j.opinions[:0]
	m.Accusers = m.Accusers[:0]
	var self opinion
	busy, slow, slowN, slowBy := 0.0, 0.0, 0.0, 0
	ends, badEnds := 0.0, 0.0
	for i := range observers {
		o := &observers[i]
		k := slices.IndexFunc(o.Summaries, func(v evidence.Summary) bool { return v.Member == m.Name })
		if k < 0 || trust[i] == 0 {
			continue
		}
		v := &o.Summaries[k]
		busy = math.Max(busy, v.BusyRemaining-o.Age)
		if n := math.Min(v.LatencySamples, mostSlow) * trust[i] * math.Exp2(-o.Age/evidence.HalfLife); n > 0.05 {
			slow, slowN = slow+n*v.LogLatencyRatio, slowN+n
			slowBy++
		}
		n := math.Min(v.Attempts, mostEnds) * trust[i] * math.Exp2(-o.Age/halfRun)
		ends, badEnds = ends+n, badEnds+n*v.FailureFraction
		x := opinion{who: o.Origin, zone: o.Zone, run: v.Run, age: v.Age + o.Age, trust: trust[i]}
		if x.age > oldest || v.Run == 0 {
			continue
		}
		if v.Run < 0 {
			x.bad = math.Min(float64(-v.Run), weightBad)
		} else {
			x.good = math.Min(float64(v.Run), weightGood)
		}
		if i == 0 {
			self = x
		}
		all = append(all, x)
	}
	j.opinions = all
	// The latest runs over all observers tell how it is now: what lies before enough of them is of another time.
	slices.SortStableFunc(all, func(a, b opinion) int { return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.who, b.who)) })
	sum, n := 0.0, 0
	for n < len(all) && (sum < enough || all[n].age < freshRun) {
		sum += all[n].bad + all[n].good
		n++
	}
	all = all[:n]
	raw, against, first, from := 0.0, 0, "", 0                                                  // from so many zones, two at the most
	latest := math.Inf(1)                                                                       // the age of the last bad end
	doubt := !slices.ContainsFunc(all, func(x opinion) bool { return x.trust > suspectWeight }) // nobody is beyond it
	for i := range all {
		x := &all[i]
		if x.bad > 0 && (doubt || x.trust > suspectWeight) {
			raw += x.bad
			latest = math.Min(latest, x.age)
			if against++; from == 0 || from == 1 && x.zone != first {
				first = x.zone
				from++
			}
			if len(m.Accusers) < 4 {
				m.Accusers = append(m.Accusers, x.who)
			}
		}
		by := x.trust * math.Exp2(-x.age/halfRun)
		x.bad, x.good = x.bad*by, x.good*by
	}
	bound(all)
	bad, good := 0.0, 0.0
	zoneBad, zoneGood, zoneAgainst, zoneRaw := 0.0, 0.0, 0, 0.0
	for _, x := range all {
		bad, good = bad+x.bad, good+x.good
		if x.zone == j.zone {
			zoneBad, zoneGood = zoneBad+x.bad, zoneGood+x.good
			if x.bad > 0 {
				zoneAgainst++
				zoneRaw += math.Min(float64(-x.run), weightBad)
			}
		}
	}
	m.EvidenceWeight, m.FailureFraction = bad+good, 0
	if m.EvidenceWeight > 0 {
		m.FailureFraction = bad / m.EvidenceWeight
	}
	m.saw = n > 0
	elsewhere := 0.0 // share against outside the own zone
	if rest := bad + good - zoneBad - zoneGood; rest > 0 {
		elsewhere = (bad - zoneBad) / rest
	}
	needSlow := leastSlow
	if m.Ejected && m.soft { // only those that ask after it get answers
		needSlow = stillSlow
	}
	ownRun := j.r.ConsecutiveFailures > 0 && -self.run >= j.r.ConsecutiveFailures
	switch {
	case whole && latest < lastBad && raw >= leastWeight && against >= leastObservers && from >= zones && m.FailureFraction > mostly && badEnds > shareBad*ends:
		m.Condition = Failing
	case whole && latest < lastBad && zones > 1 && zoneAgainst >= leastObservers && zoneRaw >= leastWeight && zoneBad > zoneMostly*(zoneBad+zoneGood) && elsewhere < 1-zoneMostly:
		m.Condition = FailingLocally
	case ownRun && self.age < halfRun && (trust[0] > suspectWeight || !whole): // this server itself meets it so, and is not the suspect
		m.Condition = FailingLocally
	case j.r.LatencyFactor > 0 && slowN >= needSlow && (m.Ejected && m.soft || slowBy >= leastObservers || len(observers) == 1) && slow/slowN > math.Log(j.r.LatencyFactor):
		m.Condition = Slow
	case busy > 0:
		m.Condition = Busy
	case m.saw && m.FailureFraction <= 0.5:
		m.Condition = Healthy
	default:
		m.Condition = Unknown
	}
}

// bound has no observer, and no zone, weigh more than its part.
func bound(all []opinion) {
	most := math.Max(mostObserver, 1/math.Max(1, float64(len(all))))
	for range 3 {
		sum := 0.0
		for _, x := range all {
			sum += x.bad + x.good
		}
		for i := range all {
			if w := all[i].bad + all[i].good; w > most*sum {
				all[i].bad *= most * sum / w
				all[i].good *= most * sum / w
			}
		}
	}
	zones := map[string]float64{}
	sum := 0.0
	for _, x := range all {
		zones[x.zone] += x.bad + x.good
		sum += x.bad + x.good
	}
	if len(zones) < 2 {
		return
	}
	for i := range all {
		// The others' weight together is what a zone may have at the most.
		if w := zones[all[i].zone]; w > mostZone*sum && sum > w {
			by := (sum - w) / w
			all[i].bad, all[i].good = all[i].bad*by, all[i].good*by
		}
	}
}

// takeOut brings members back and takes the worst out, within what the pool may spare.
func (j *Detector) takeOut(now float64, observers []Report, heard []string, whole bool) {
	n := float64(len(j.members))
	allBad := true
	for _, m := range j.members {
		allBad = allBad && (m.Condition == Failing || m.Condition == FailingLocally || m.aside)
	}
	for _, m := range j.members {
		if m.aside {
			continue
		}
		m.HealthChecker = m.Ejected && j.probes(m.Name, heard)
		if k := slices.IndexFunc(observers[0].Summaries, func(v evidence.Summary) bool { return v.Member == m.Name && v.Run > 0 }); m.Ejected && k >= 0 && observers[0].Summaries[k].Age < probeEvery {
			m.pause = probeSoon
		}
		switch {
		case !m.Ejected:
		case allBad && n > 1:
			j.restore(m, now)
		default:
			j.comeBack(now, m, observers)
		}
	}
	if allBad && n > 0 { // all out at once is answered by using all
		for _, m := range j.members {
			if !m.aside {
				m.Condition = AllFailing
			}
		}
		return
	}
	var worst []*Member
	for _, m := range j.members {
		if m.Condition == Failing && m.FailureFraction < asBad*j.others(m) { // as the others are, under a load that all bear
			m.Condition = AllFailing
		}
		switch {
		case m.Ejected:
		case m.Condition == Failing || m.Condition == FailingLocally || m.Condition == Slow || m.Condition == Busy:
			worst = append(worst, m)
		case whole && now-j.began < youngFor && math.IsInf(m.Since, -1) && m.Condition != Healthy && heldOut(m.Name, observers):
			m.Condition = Inherited
			worst = append(worst, m)
		}
	}
	rank := func(m *Member) int { return [...]int{9, 9, 0, 1, 3, 4, 2, 9, 9}[m.Condition] }
	slices.SortStableFunc(worst, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.FailureFraction, a.FailureFraction), cmp.Compare(b.EvidenceWeight, a.EvidenceWeight), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range worst {
		out := 0
		for _, o := range j.members {
			if o.Ejected {
				out++
			}
		}
		share := j.r.MinInUseFraction
		if m.soft = m.Condition == Slow || m.Condition == Busy; m.soft {
			share = math.Max(share, softShare)
		}
		if n-float64(out)-1 < share*n {
			continue
		}
		if now-m.Since > calm*m.hold {
			m.hold = 0
		}
		m.hold = math.Min(longestHold*j.r.BaseEjectionTime, math.Max(j.r.BaseEjectionTime, 2*m.hold))
		m.Ejected, m.Since, m.EjectedUntil, m.probed, m.pause = true, now, now+m.hold, now, probeEvery
		m.HealthChecker = j.probes(m.Name, heard)
		j.events = append(j.events, *m)
	}
}

// others is what is against the better ones of the other members: the lower quartile.
func (j *Detector) others(but *Member) float64 {
	all := j.medians[:0]
	for _, m := range j.members {
		if m != but && !m.Ejected {
			all = append(all, m.FailureFraction)
		}
	}
	j.medians = all
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/4]
}

// heldOut tells whether most of those that are heard hold a member out.
func heldOut(name string, observers []Report) bool {
	out, all := 0, 0
	for _, o := range observers[1:] {
		if o.Age <= fresh {
			all++
			if slices.Contains(o.Ejected, name) {
				out++
			}
		}
	}
	return out >= leastObservers && 2*out > all
}

// mayReturn tells whether a member that has been out long enough comes back: somebody got good answers from it, one after
// another, and nobody bad ones as fresh; or nobody knows anything of it any more, since what has aged must not keep it out. bad
// is news that keeps it out whatever else is heard.
func (j *Detector) mayReturn(m *Member, observers []Report) (may, bad bool) {
	good := false
	for i := range observers {
		o := &observers[i]
		for _, v := range o.Summaries {
			if v.Member != m.Name || v.Age+o.Age > probeSlow+fresh || credible(o) <= suspectWeight && i > 0 {
				continue
			}
			good = good || v.Run >= probeGood
			bad = bad || v.Run < 0
		}
	}
	switch {
	case m.Condition == Slow || m.Condition == Busy:
		return false, true
	case good && !bad:
		return true, false
	case m.Condition == Failing || m.Condition == FailingLocally:
		return false, true
	}
	return !bad && (!m.saw || m.soft), bad
}

// comeBack says when a member that is out begins to return, and takes it back once it does. Who may have it back first tells
// the others, and begins only when they have heard; who hears of it begins with them, whatever its own hold, so that the ramp
// is one over the fleet. If it is met as bad meanwhile, it stays out.
func (j *Detector) comeBack(now float64, m *Member, observers []Report) {
	may, bad := j.mayReturn(m, observers)
	if bad {
		m.comes = 0
		return
	}
	begin, told := math.Inf(1), false
	for _, o := range observers[1:] {
		if o.Age > fresh {
			continue
		}
		for _, b := range o.Recoveries {
			if b.Member == m.Name && b.Elapsed+o.Age < j.r.RecoveryRamp {
				begin, told = math.Min(begin, now-b.Elapsed-o.Age), true
			}
		}
	}
	// What has been begun goes on unless there is bad news: the good that it was begun by fades, and those that hear of it may not
	// have heard that.
	if !told && m.comes == 0 && (!may || now < m.EjectedUntil) {
		return
	}
	if m.comes == 0 {
		m.comes = now
		if len(observers) > 1 {
			m.comes += lead
		}
	}
	if told {
		m.comes = math.Max(math.Min(m.comes, begin), m.Since)
	}
	if now >= m.comes {
		j.restore(m, m.comes)
	}
}

// restore takes a member back, as of a time.
func (j *Detector) restore(m *Member, at float64) {
	m.Ejected, m.Since, m.HealthChecker, m.comes = false, at, false, 0
	j.events = append(j.events, *m)
}

// probes tells whether this server is one of the few that ask after a member, by rendezvous over those that are heard.
func (j *Detector) probes(member string, heard []string) bool {
	mine, before := weigh(member, j.self), 0
	for _, name := range heard {
		if name != j.self && weigh(member, name) > mine {
			before++
		}
	}
	return before < probers
}

func weigh(member, server string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(member))
	h.Write([]byte{0})
	h.Write([]byte(server))
	x := h.Sum64() // and mixed, since FNV's high bits tell little of the last bytes
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// TryHealthCheck tells whether an RPC may be sent to a member that is out, to see how it is: one a second, by those that ask after it.
func (j *Detector) TryHealthCheck(now float64, member string) bool {
	for _, m := range j.members {
		if m.Name == member && m.Ejected && m.HealthChecker && now-m.probed >= m.pause {
			m.probed = now
			m.pause = math.Min(probeSlow, 2*m.pause)
			return true
		}
	}
	return false
}

// TrafficFraction is the share of the callers that a member in use gets RPCs from: all, but for one that returns. Which callers these
// are is said by Takes.
func (j *Detector) TrafficFraction(now float64, m *Member) float64 {
	if j.r.RecoveryRamp <= 0 {
		return 1
	}
	return math.Min(1, math.Max(firstPart, (now-m.Since)/j.r.RecoveryRamp))
}

// AcceptsCaller tells whether a member with a part takes RPCs of a caller, by its hash: the same callers everywhere.
func AcceptsCaller(member string, caller uint64, part float64) bool {
	return part >= 1 || float64(weigh(member, string([]byte{byte(caller), byte(caller >> 8), byte(caller >> 16), byte(caller >> 24), byte(caller >> 32), byte(caller >> 40), byte(caller >> 48), byte(caller >> 56)}))>>11)/(1<<53) < part
}

// Members are all, by name. They are the judge's own and must not be changed.
func (j *Detector) Members() []*Member { return j.members }

// Urgent tells whether what this server saw is to be said soon: something is bad, or slow.
func Urgent(own []evidence.Summary) bool {
	return slices.ContainsFunc(own, func(v evidence.Summary) bool {
		return v.Run < 0 && v.Age < fresh || v.LatencySamples > 0.5 && v.LogLatencyRatio > 2*math.Ln2
	})
}

// ShouldRefute tells whether this server's own good runs are news to those that are accusing a member: it is to say them, if it is one
// of the few that do.
func (j *Detector) ShouldRefute(own []evidence.Summary, chance float64, roster int) bool {
	if chance >= objectors/float64(max(1, roster)) {
		return false
	}
	for _, m := range j.members {
		if len(m.Accusers) > 0 && slices.ContainsFunc(own, func(v evidence.Summary) bool { return v.Member == m.Name && v.Run > 0 && v.Age < fresh }) {
			return true
		}
	}
	return false
}

// objectors of a fleet answer an accusation with what good they saw, at each look: enough to weigh against a few accusers, and
// few beside all.
const objectors = 8.0

// Announcement is what this server says to the others beside its views.
func (j *Detector) Announcement(now float64) (out []string, back []Recovery) {
	for _, m := range j.members {
		if m.Ejected {
			out = append(out, m.Name)
			if m.comes != 0 {
				back = append(back, Recovery{m.Name, now - m.comes})
			}
		} else if now-m.Since < j.r.RecoveryRamp {
			back = append(back, Recovery{m.Name, now - m.Since})
		}
	}
	return out, back
}

// Events are the members that went out or came back since the last call, as they were then.
func (j *Detector) Events() []Member {
	e := j.events
	j.events = nil
	return e
}
