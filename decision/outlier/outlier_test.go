package outlier

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"sorrelvalve/decision/evidence"
)

var testConfig = Config{MinInUseFraction: 0.5, LatencyFactor: 4, ConsecutiveFailures: 5, BaseEjectionTime: 2000, RecoveryRamp: 5000}

func memberNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	return names
}

// summaries returns the summaries of n members: those in runs have the given run, all others a run of successes.
func summaries(n int, runs map[int]int) (list []evidence.Summary) {
	for i, m := range memberNames(n) {
		run, ok := runs[i]
		if !ok {
			run = 5
		}
		if run != 0 {
			s := evidence.Summary{Member: m, Run: run, Age: 100, Attempts: 5}
			if run < 0 {
				s.FailureFraction = 0.6
			}
			list = append(list, s)
		}
	}
	return list
}

func report(name, zone string, observed []evidence.Summary) Report {
	return Report{Origin: name, Zone: zone, Age: 500, Summaries: observed}
}

func ejected(d *Detector) (names []string) {
	for _, m := range d.Members() {
		if m.Ejected {
			names = append(names, m.Name)
		}
	}
	return names
}

// Checks which members are ejected for given observations and reports.
func TestEjections(t *testing.T) {
	failingRuns := func(n, run int) map[int]int {
		runs := map[int]int{}
		for i := range n {
			runs[i] = run
		}
		return runs
	}
	bad := func(members ...int) []evidence.Summary {
		runs := map[int]int{}
		for _, i := range members {
			runs[i] = -3
		}
		return summaries(10, runs)
	}
	healthy := summaries(10, nil)
	slow := func(member, factor int) []evidence.Summary {
		list := summaries(10, nil)
		for i := range list {
			list[i].LatencySamples = 4
		}
		list[member].LogLatencyRatio = math.Log(float64(factor))
		return list
	}
	for _, c := range []struct {
		name     string
		members  int
		own      []evidence.Summary
		peers    []Report
		complete bool
		want     []string
	}{
		{"all members healthy", 10, healthy, []Report{report("b", "z1", healthy), report("c", "z0", healthy)}, true, nil},
		{"one failure of one member seen by each of several observers", 10, summaries(10, map[int]int{3: -1}), []Report{report("b", "z1", summaries(10, map[int]int{3: -1})), report("c", "z0", summaries(10, map[int]int{3: -1})), report("d", "z1", summaries(10, map[int]int{3: -1}))}, true, []string{"m03"}},
		{"failures of one member seen by several observers, partitioned", 10, summaries(10, map[int]int{3: -1}), []Report{report("b", "z1", bad(3)), report("c", "z0", bad(3))}, false, nil},
		{"consecutive failures seen by this server, partitioned", 10, summaries(10, map[int]int{3: -5}), nil, false, []string{"m03"}},
		{"one unreliable peer reports failures of all members", 10, healthy, []Report{report("b", "z1", summaries(10, failingRuns(10, -9))), report("c", "z0", healthy), report("d", "z1", healthy)}, true, nil},
		{"this server is the unreliable observer", 10, summaries(10, failingRuns(10, -9)), []Report{report("b", "z1", healthy), report("c", "z0", healthy)}, true, nil},
		{"only this server sees failures, as with a broken network path", 10, summaries(10, map[int]int{2: -6}), []Report{report("b", "z1", healthy), report("c", "z0", healthy)}, true, []string{"m02"}},
		{"only one peer sees failures", 10, healthy, []Report{report("b", "z1", summaries(10, map[int]int{2: -9})), report("c", "z0", healthy)}, true, nil},
		{"only the own zone sees failures", 10, summaries(10, map[int]int{2: -2}), []Report{report("b", "z0", bad(2)), report("c", "z1", healthy), report("d", "z1", healthy)}, true, []string{"m02"}},
		{"only another zone sees failures", 10, healthy, []Report{report("b", "z1", bad(2)), report("c", "z1", bad(2)), report("d", "z0", healthy)}, true, nil},
		{"two observers disagree", 10, healthy, []Report{report("b", "z0", bad(1))}, true, nil},
		{"stale reports are ignored", 10, healthy, []Report{{Origin: "b", Zone: "z1", Age: staleAge, Summaries: bad(4)}, {Origin: "c", Zone: "z0", Age: staleAge + 1, Summaries: bad(4)}}, true, nil},
		{"six of ten fail: the five worst are ejected", 10, bad(0, 1, 2, 3, 4, 5), []Report{report("b", "z1", summaries(10, map[int]int{0: -5, 1: -5, 2: -5, 3: -5, 4: -5, 5: -1})), report("c", "z0", bad(0, 1, 2, 3, 4, 5))}, true, []string{"m00", "m01", "m02", "m03", "m04"}},
		{"all fail: all stay in use", 10, summaries(10, failingRuns(10, -9)), []Report{report("b", "z1", summaries(10, failingRuns(10, -9))), report("c", "z0", summaries(10, failingRuns(10, -9)))}, true, nil},
		{"two of three fail: one is ejected", 3, summaries(3, failingRuns(2, -5)), []Report{report("b", "z1", summaries(3, failingRuns(2, -5))), report("c", "z0", summaries(3, failingRuns(2, -5)))}, true, []string{"m00"}},
		{"one member slow", 10, slow(7, 9), []Report{report("b", "z1", slow(7, 9)), report("c", "z0", slow(7, 9))}, true, []string{"m07"}},
		{"one member slow for one observer only", 10, slow(7, 9), []Report{report("b", "z1", slow(7, 1)), report("c", "z0", slow(7, 1))}, true, nil},
		{"failed before, succeeds now", 10, healthy, []Report{report("b", "z1", healthy), {Origin: "c", Zone: "z0", Age: 8000, Summaries: bad(3)}, {Origin: "d", Zone: "z0", Age: 9000, Summaries: bad(3)}}, true, nil},
		{"one member without observations", 10, summaries(10, map[int]int{3: 0}), nil, true, nil},
		{"run length out of range", 10, healthy, []Report{report("b", "z1", summaries(10, map[int]int{1: -1 << 40})), report("c", "z0", healthy)}, true, nil},
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

// Servers with the same evidence eject the same members, regardless of the servers' names.
func TestSameEvidenceSameEjections(t *testing.T) {
	observations := map[string][]evidence.Summary{}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		observations[name] = summaries(10, map[int]int{1: -1 - i, 4: -2, 6: 3 - i, 8: -5})
	}
	var want []string
	for i, self := range []string{"a", "b", "c", "d", "e"} {
		var peers []Report
		for name, observed := range observations {
			if name != self {
				peer := report(name, "z0", observed)
				peer.Age = 0
				peers = append(peers, peer)
			}
		}
		d := New(testConfig, self, "z0", memberNames(10), -60e3)
		d.Evaluate(0, observations[self], peers, []string{"a", "b", "c", "d", "e"}, true)
		if got := ejected(d); i > 0 && !slices.Equal(got, want) || len(got) == 0 {
			t.Errorf("ejected by %s: %v, by the servers before it: %v", self, got, want)
		} else {
			want = got
		}
	}
}

// An ejected member receives health checks from a few servers only and returns once these succeed. Its ramp starts when a
// peer announced it.
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
			t.Fatalf("server %s: failing member not ejected: %+v", self, d.Members()[1])
		}
		if d.TryHealthCheck(1500, "m01") {
			checkers++
			if d.TryHealthCheck(1600, "m01") {
				t.Error("a second health check was allowed within a second")
			}
			checker = d
		}
	}
	if checkers != healthCheckers {
		t.Fatalf("%d of 8 servers send health checks to the ejected member, want healthCheckers", checkers)
	}
	noOutcome := summaries(4, map[int]int{1: 0})
	checker.Evaluate(1000, summaries(4, map[int]int{1: 5}), []Report{report("x", "", noOutcome)}, names, true)
	if !checker.Members()[1].Ejected {
		t.Error("member restored before the end of its ejection time")
	}
	checker.Evaluate(3000, summaries(4, map[int]int{1: 2}), []Report{report("x", "", summaries(4, map[int]int{1: -4}))}, names, true)
	if !checker.Members()[1].Ejected {
		t.Error("member restored while another observer reports failures")
	}
	other := report("x", "", noOutcome)
	other.Recoveries = []Recovery{{"m01", 700}}
	checker.Evaluate(4000, summaries(4, map[int]int{1: 3}), []Report{other}, names, true)
	m := checker.Members()[1]
	if m.Ejected || m.Since != 4000-1200 {
		t.Errorf("member after an announced return: got %+v, want in use since 1.2 s ago", *m)
	}
	if p := checker.TrafficFraction(4000, m); p < 0.23 || p > 0.25 {
		t.Errorf("traffic fraction 1.2 s after the start of the ramp: got %g, want about 0.24", p)
	}
	n := 0
	for caller := range uint64(10000) {
		if AcceptsCaller("m01", caller, 0.24) {
			n++
		}
	}
	if n < 2200 || n > 2600 {
		t.Errorf("%d of 10,000 callers accepted, want about 2,400", n)
	}
}

// The first server that may restore a member announces its return, and all servers start it at the same time, regardless of
// their own ejection times. A member that fails in the meantime stays ejected.
func TestFleetRecoversTogether(t *testing.T) {
	first, later := New(testConfig, "a", "", memberNames(4), -60e3), New(testConfig, "b", "", memberNames(4), -60e3)
	bad, good := summaries(4, map[int]int{1: -3}), summaries(4, map[int]int{1: 3})
	peers := func(observed []evidence.Summary) []Report {
		return []Report{report("x", "", observed), report("y", "", observed)}
	}
	first.Evaluate(0, bad, peers(bad), []string{"b", "x", "y"}, true)
	later.Evaluate(1500, bad, peers(bad), []string{"a", "x", "y"}, true)
	first.Evaluate(2100, good, peers(summaries(4, map[int]int{1: 0})), []string{"b", "x", "y"}, true)
	ejectedNames, recoveries := first.Announcement(2100)
	if len(ejectedNames) != 1 || len(recoveries) != 1 || recoveries[0].Elapsed != -returnNotice {
		t.Fatalf("announcement: ejected %v, recoveries %v, want one of each, with the return in returnNotice ms", ejectedNames, recoveries)
	}
	announcement := Report{Origin: "a", Age: 300, Summaries: good, Ejected: ejectedNames, Recoveries: recoveries}
	for _, c := range []struct {
		at      float64
		own     []evidence.Summary
		ejected bool
		name    string
	}{
		{2400, summaries(4, map[int]int{1: 0}), true, "announced, not started yet"},
		{2400 + 1700, summaries(4, map[int]int{1: -3}), true, "member fails at the time of the return"},
		{2400 + 1950, good, false, "healthy again: return starts at the announced time"},
	} {
		announcement.Age = 300 + c.at - 2400
		later.Evaluate(c.at, c.own, append(peers(summaries(4, map[int]int{1: 0})), announcement), []string{"a", "x", "y"}, true)
		if m := later.Members()[1]; m.Ejected != c.ejected {
			t.Errorf("%s: unexpected state of the member: %+v", c.name, *m)
		}
	}
	first.Evaluate(2100+returnNotice, good, peers(summaries(4, map[int]int{1: 0})), []string{"b", "x", "y"}, true)
	if a, b := first.Members()[1].Since, later.Members()[1].Since; a != b {
		t.Errorf("ramps start at %g and at %g ms, want the same time", a, b)
	}
}

// Drained members are out of use regardless of the reports, count against the fraction that may be ejected, and return
// with a ramp.
func TestDrainedMembers(t *testing.T) {
	d := New(testConfig, "a", "", memberNames(4), -60e3)
	healthy := summaries(4, nil)
	peers := []Report{report("b", "", healthy), report("c", "", healthy)}
	d.SetDrained(0, []string{"m00"})
	d.Evaluate(1000, healthy, peers, []string{"b", "c"}, true)
	if got := ejected(d); !slices.Equal(got, []string{"m00"}) || d.Members()[0].Condition != Drained || d.TryHealthCheck(60e3, "m00") {
		t.Errorf("ejected with m00 drained: %v, m00: %+v", got, d.Members()[0])
	}
	bad := summaries(4, map[int]int{1: -5, 2: -5})
	for now := 1250.0; now < 3000; now += 250 {
		d.Evaluate(now, bad, []Report{report("b", "", bad), report("c", "", bad)}, []string{"b", "c"}, true)
	}
	if got := ejected(d); len(got) != 2 {
		t.Errorf("ejected: %v, want two of four", got)
	}
	d.Evaluate(3250, bad, nil, nil, false)
	d.Evaluate(3500, healthy, peers, []string{"b", "c"}, true) // after a partition, ejections are decided again but drains remain
	if got := ejected(d); !slices.Contains(got, "m00") {
		t.Errorf("ejected after a partition: %v, want m00 among them", got)
	}
	d.SetDrained(4000, nil)
	if m := d.Members()[0]; m.Ejected || d.TrafficFraction(4500, m) > 0.2 {
		t.Errorf("member no longer drained: got %+v, want in use with a traffic fraction of at most 0.2", m)
	}
	d.SetDrained(5000, memberNames(4))
	if got := ejected(d); len(got) > 2 {
		t.Errorf("ejected with all members drained: %v, want at most two", got)
	}
}

// A server that has just started adopts the ejections of most of its peers for a limited time, and members without evidence
// do not stay ejected.
func TestInheritedEjectionEnds(t *testing.T) {
	d := New(testConfig, "a", "", memberNames(4), 0)
	ejecting := func(name string) Report {
		peer := report(name, "", summaries(4, map[int]int{1: 0}))
		peer.Ejected = []string{"m01"}
		return peer
	}
	d.Evaluate(1000, nil, []Report{ejecting("b"), ejecting("c")}, []string{"b", "c"}, true)
	if m := d.Members()[1]; !m.Ejected || m.Condition != Inherited {
		t.Fatalf("member ejected by the peers: got %+v, want an inherited ejection", *m)
	}
	for now := 1500.0; now < 9000; now += 500 { // the peers keep reporting the ejection without evidence
		d.Evaluate(now, nil, []Report{ejecting("b"), ejecting("c")}, []string{"b", "c"}, true)
	}
	if m := d.Members()[1]; m.Ejected {
		t.Errorf("member still ejected without evidence: %+v", *m)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	observed := summaries(10, map[int]int{3: -4})
	var peers []Report
	var names []string
	for i := range 300 {
		name := fmt.Sprint("n", i)
		peers, names = append(peers, report(name, fmt.Sprint("z", i%3), observed)), append(names, name)
	}
	d := New(testConfig, "a", "z0", memberNames(10), -60e3)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.Evaluate(float64(i), observed, peers, names, true)
	}
}
