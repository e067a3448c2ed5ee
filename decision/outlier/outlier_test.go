package outlier

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"sorrelvalve/decision/evidence"
)

var testConfig = Config{MinInUseFraction: 0.5, LatencyFactor: 4, ConsecutiveFailures: 5, BaseEjectionTime: 2000, RecoveryRamp: 5000}

func memberNames(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("m%02d", i))
	}
	return all
}

// summaries has the given runs of some members; the rest are successes.
func summaries(n int, runs map[int]int) (all []evidence.Summary) {
	for i, m := range memberNames(n) {
		run, given := runs[i]
		if !given {
			run = 5
		}
		if run != 0 {
			v := evidence.Summary{Member: m, Run: run, Age: 100, Attempts: 5}
			if run < 0 {
				v.FailureFraction = 0.6
			}
			all = append(all, v)
		}
	}
	return all
}

func report(name, zone string, v []evidence.Summary) Report {
	return Report{Origin: name, Zone: zone, Age: 500, Summaries: v}
}

func ejected(d *Detector) (names []string) {
	for _, m := range d.Members() {
		if m.Ejected {
			names = append(names, m.Name)
		}
	}
	return names
}

// What is ejected by what is observed and reported.
func TestEjections(t *testing.T) {
	failingRuns := func(k, to int) map[int]int {
		runs := map[int]int{}
		for i := range k {
			runs[i] = to
		}
		return runs
	}
	bad := func(m ...int) []evidence.Summary {
		runs := map[int]int{}
		for _, i := range m {
			runs[i] = -3
		}
		return summaries(10, runs)
	}
	healthy := summaries(10, nil)
	slow := func(m, factor int) []evidence.Summary {
		v := summaries(10, nil)
		for i := range v {
			v[i].LatencySamples = 4
		}
		v[m].LogLatencyRatio = math.Log(float64(factor))
		return v
	}
	for _, c := range []struct {
		name     string
		members  int
		own      []evidence.Summary
		peers    []Report
		complete bool
		want     []string
	}{
		{"sound", 10, healthy, []Report{report("b", "z1", healthy), report("c", "z0", healthy)}, true, nil},
		{"one is bad, seen by several a little", 10, summaries(10, map[int]int{3: -1}), []Report{report("b", "z1", summaries(10, map[int]int{3: -1})), report("c", "z0", summaries(10, map[int]int{3: -1})), report("d", "z1", summaries(10, map[int]int{3: -1}))}, true, []string{"m03"}},
		{"the same, partitioned", 10, summaries(10, map[int]int{3: -1}), []Report{report("b", "z1", bad(3)), report("c", "z0", bad(3))}, false, nil},
		{"partitioned, and met by itself", 10, summaries(10, map[int]int{3: -5}), nil, false, []string{"m03"}},
		{"one confused observer accuses all", 10, healthy, []Report{report("b", "z1", summaries(10, failingRuns(10, -9))), report("c", "z0", healthy), report("d", "z1", healthy)}, true, nil},
		{"and this server is it", 10, summaries(10, failingRuns(10, -9)), []Report{report("b", "z1", healthy), report("c", "z0", healthy)}, true, nil},
		{"this server alone meets it so: the path there", 10, summaries(10, map[int]int{2: -6}), []Report{report("b", "z1", healthy), report("c", "z0", healthy)}, true, []string{"m02"}},
		{"another alone does", 10, healthy, []Report{report("b", "z1", summaries(10, map[int]int{2: -9})), report("c", "z0", healthy)}, true, nil},
		{"the own zone does", 10, summaries(10, map[int]int{2: -2}), []Report{report("b", "z0", bad(2)), report("c", "z1", healthy), report("d", "z1", healthy)}, true, []string{"m02"}},
		{"another zone does", 10, healthy, []Report{report("b", "z1", bad(2)), report("c", "z1", bad(2)), report("d", "z0", healthy)}, true, nil},
		{"two with opposite views", 10, healthy, []Report{report("b", "z0", bad(1))}, true, nil},
		{"a stale report counts for nothing", 10, healthy, []Report{{Origin: "b", Zone: "z1", Age: staleAge, Summaries: bad(4)}, {Origin: "c", Zone: "z0", Age: staleAge + 1, Summaries: bad(4)}}, true, nil},
		{"six of ten are bad: five may go, the worst", 10, bad(0, 1, 2, 3, 4, 5), []Report{report("b", "z1", summaries(10, map[int]int{0: -5, 1: -5, 2: -5, 3: -5, 4: -5, 5: -1})), report("c", "z0", bad(0, 1, 2, 3, 4, 5))}, true, []string{"m00", "m01", "m02", "m03", "m04"}},
		{"all are bad: all are used", 10, summaries(10, failingRuns(10, -9)), []Report{report("b", "z1", summaries(10, failingRuns(10, -9))), report("c", "z0", summaries(10, failingRuns(10, -9)))}, true, nil},
		{"three of which two are bad: one goes", 3, summaries(3, failingRuns(2, -5)), []Report{report("b", "z1", summaries(3, failingRuns(2, -5))), report("c", "z0", summaries(3, failingRuns(2, -5)))}, true, []string{"m00"}},
		{"one is slow", 10, slow(7, 9), []Report{report("b", "z1", slow(7, 9)), report("c", "z0", slow(7, 9))}, true, []string{"m07"}},
		{"slow for one only", 10, slow(7, 9), []Report{report("b", "z1", slow(7, 1)), report("c", "z0", slow(7, 1))}, true, nil},
		{"good of late and bad before", 10, healthy, []Report{report("b", "z1", healthy), {Origin: "c", Zone: "z0", Age: 8000, Summaries: bad(3)}, {Origin: "d", Zone: "z0", Age: 9000, Summaries: bad(3)}}, true, nil},
		{"not met by anybody", 10, summaries(10, map[int]int{3: 0}), nil, true, nil},
		{"nonsense: runs beyond all bounds", 10, healthy, []Report{report("b", "z1", summaries(10, map[int]int{1: -1 << 40})), report("c", "z0", healthy)}, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(testConfig, "a", "z0", memberNames(c.members), -60e3)
			d.Evaluate(0, c.own, c.peers, []string{"b", "c", "d"}, c.complete)
			if got := ejected(d); !slices.Equal(got, c.want) {
				for _, m := range d.Members() {
					t.Logf("%+v", *m)
				}
				t.Errorf("ejected: %v, want %v", got, c.want)
			}
		})
	}
}

// Servers with the same evidence eject the same members, whatever their names.
func TestSameEvidenceSameEjections(t *testing.T) {
	views := map[string][]evidence.Summary{}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		views[name] = summaries(10, map[int]int{1: -1 - i, 4: -2, 6: 3 - i, 8: -5})
	}
	var want []string
	for i, self := range []string{"a", "b", "c", "d", "e"} {
		var peers []Report
		for name, v := range views {
			if name != self {
				x := report(name, "z0", v)
				x.Age = 0
				peers = append(peers, x)
			}
		}
		d := New(testConfig, self, "z0", memberNames(10), -60e3)
		d.Evaluate(0, views[self], peers, []string{"a", "b", "c", "d", "e"}, true)
		if got := ejected(d); i > 0 && !slices.Equal(got, want) || len(got) == 0 {
			t.Errorf("%s ejects %v, another %v", self, got, want)
		} else {
			want = got
		}
	}
}

// An ejected member gets health checks from few, returns once these succeed, and its ramp is the others'.
func TestRecovery(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	checkers := 0
	var checker *Detector
	for _, self := range names {
		d := New(testConfig, self, "", memberNames(4), -60e3)
		var peers []Report
		for _, name := range names {
			if name != self {
				peers = append(peers, report(name, "", summaries(4, map[int]int{1: -3})))
			}
		}
		d.Evaluate(0, summaries(4, map[int]int{1: -3}), peers, names, true)
		if !d.Members()[1].Ejected {
			t.Fatalf("%s: %+v", self, d.Members()[1])
		}
		if d.TryHealthCheck(1500, "m01") {
			checkers++
			if d.TryHealthCheck(1600, "m01") {
				t.Error("twice within a second")
			}
			checker = d
		}
	}
	if checkers != healthCheckers {
		t.Fatalf("%d of 8 send it health checks", checkers)
	}
	noOutcome := summaries(4, map[int]int{1: 0})
	checker.Evaluate(1000, summaries(4, map[int]int{1: 5}), []Report{report("x", "", noOutcome)}, names, true)
	if !checker.Members()[1].Ejected {
		t.Error("before its time")
	}
	checker.Evaluate(3000, summaries(4, map[int]int{1: 2}), []Report{report("x", "", summaries(4, map[int]int{1: -4}))}, names, true)
	if !checker.Members()[1].Ejected {
		t.Error("another still gets no answer from it")
	}
	other := report("x", "", noOutcome)
	other.Recoveries = []Recovery{{"m01", 700}}
	checker.Evaluate(4000, summaries(4, map[int]int{1: 3}), []Report{other}, names, true)
	m := checker.Members()[1]
	if m.Ejected || m.Since != 4000-1200 {
		t.Errorf("%+v", *m)
	}
	if p := checker.TrafficFraction(4000, m); p < 0.23 || p > 0.25 {
		t.Errorf("its traffic fraction: %g", p)
	}
	n := 0
	for caller := range uint64(10000) {
		if AcceptsCaller("m01", caller, 0.24) {
			n++
		}
	}
	if n < 2200 || n > 2600 {
		t.Errorf("%d of 10,000 callers, 2,400 wanted", n)
	}
}

// The first server that may restore a member announces that, and all begin at one time, whatever their own ejection times;
// one that fails meanwhile stays ejected.
func TestFleetRecoversTogether(t *testing.T) {
	first, later := New(testConfig, "a", "", memberNames(4), -60e3), New(testConfig, "b", "", memberNames(4), -60e3)
	bad, good := summaries(4, map[int]int{1: -3}), summaries(4, map[int]int{1: 3})
	peers := func(v []evidence.Summary) []Report { return []Report{report("x", "", v), report("y", "", v)} }
	first.Evaluate(0, bad, peers(bad), []string{"b", "x", "y"}, true)
	later.Evaluate(1500, bad, peers(bad), []string{"a", "x", "y"}, true)
	first.Evaluate(2100, good, peers(summaries(4, map[int]int{1: 0})), []string{"b", "x", "y"}, true)
	ejectedNames, recoveries := first.Announcement(2100)
	if len(ejectedNames) != 1 || len(recoveries) != 1 || recoveries[0].Elapsed != -returnNotice {
		t.Fatalf("%v %v", ejectedNames, recoveries)
	}
	announcement := Report{Origin: "a", Age: 300, Summaries: good, Ejected: ejectedNames, Recoveries: recoveries}
	for _, c := range []struct {
		at           float64
		own          []evidence.Summary
		ejectedNames bool
		what         string
	}{
		{2400, summaries(4, map[int]int{1: 0}), true, "it is announced, and not yet begun"},
		{2400 + 1700, summaries(4, map[int]int{1: -3}), true, "it fails at the time itself"},
		{2400 + 1950, good, false, "healthy again: begun when it was announced"},
	} {
		announcement.Age = 300 + c.at - 2400
		later.Evaluate(c.at, c.own, append(peers(summaries(4, map[int]int{1: 0})), announcement), []string{"a", "x", "y"}, true)
		if m := later.Members()[1]; m.Ejected != c.ejectedNames {
			t.Errorf("%s: %+v", c.what, *m)
		}
	}
	first.Evaluate(2100+returnNotice, good, peers(summaries(4, map[int]int{1: 0})), []string{"b", "x", "y"}, true)
	if a, b := first.Members()[1].Since, later.Members()[1].Since; a != b {
		t.Errorf("ramps from %g and from %g", a, b)
	}
}

// Drained members are ejected whatever is reported of them, count first for what a pool may spare, and return by a ramp.
func TestDrainedMembers(t *testing.T) {
	d := New(testConfig, "a", "", memberNames(4), -60e3)
	healthy := summaries(4, nil)
	peers := []Report{report("b", "", healthy), report("c", "", healthy)}
	d.SetDrained(0, []string{"m00"})
	d.Evaluate(1000, healthy, peers, []string{"b", "c"}, true)
	if got := ejected(d); !slices.Equal(got, []string{"m00"}) || d.Members()[0].Condition != Drained || d.TryHealthCheck(60e3, "m00") {
		t.Errorf("%v %+v", got, d.Members()[0])
	}
	bad := summaries(4, map[int]int{1: -5, 2: -5})
	for now := 1250.0; now < 3000; now += 250 {
		d.Evaluate(now, bad, []Report{report("b", "", bad), report("c", "", bad)}, []string{"b", "c"}, true)
	}
	if got := ejected(d); len(got) != 2 {
		t.Errorf("%v ejected, two of four may be", got)
	}
	d.Evaluate(3250, bad, nil, nil, false)
	d.Evaluate(3500, healthy, peers, []string{"b", "c"}, true) // after a partition, ejections are decided anew, and a drain is none
	if got := ejected(d); !slices.Contains(got, "m00") {
		t.Errorf("%v", got)
	}
	d.SetDrained(4000, nil)
	if m := d.Members()[0]; m.Ejected || d.TrafficFraction(4500, m) > 0.2 {
		t.Errorf("%+v", m)
	}
	d.SetDrained(5000, memberNames(4))
	if got := ejected(d); len(got) > 2 {
		t.Errorf("all drained, and %v ejected", got)
	}
}

// Stale evidence keeps nobody ejected; a server that has just started inherits the ejections of most others, for a while.
func TestInheritedEjectionEnds(t *testing.T) {
	d := New(testConfig, "a", "", memberNames(4), 0)
	holding := func(name string) Report {
		x := report(name, "", summaries(4, map[int]int{1: 0}))
		x.Ejected = []string{"m01"}
		return x
	}
	d.Evaluate(1000, nil, []Report{holding("b"), holding("c")}, []string{"b", "c"}, true)
	if m := d.Members()[1]; !m.Ejected || m.Condition != Inherited {
		t.Fatalf("%+v", *m)
	}
	for now := 1500.0; now < 9000; now += 500 { // the others report so for ever, without any evidence
		d.Evaluate(now, nil, []Report{holding("b"), holding("c")}, []string{"b", "c"}, true)
	}
	if m := d.Members()[1]; m.Ejected {
		t.Errorf("%+v", *m)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	v := summaries(10, map[int]int{3: -4})
	var peers []Report
	var names []string
	for i := range 300 {
		name := fmt.Sprint("n", i)
		peers, names = append(peers, report(name, fmt.Sprint("z", i%3), v)), append(names, name)
	}
	d := New(testConfig, "a", "z0", memberNames(10), -60e3)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.Evaluate(float64(i), v, peers, names, true)
	}
}
