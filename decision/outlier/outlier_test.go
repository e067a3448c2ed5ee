package outlier

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"sorrelvalve/decision/evidence"
)

var rules = Config{MinInUseFraction: 0.5, LatencyFactor: 4, ConsecutiveFailures: 5, BaseEjectionTime: 2000, RecoveryRamp: 5000}

func members(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("m%02d", i))
	}
	return all
}

// view has runs of some members, the rest are good.
func view(n int, runs map[int]int) (all []evidence.Summary) {
	for i, m := range members(n) {
		run, is := runs[i]
		if !is {
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

func said(name, zone string, v []evidence.Summary) Report {
	return Report{Origin: name, Zone: zone, Age: 500, Summaries: v}
}

func out(j *Detector) (names []string) {
	for _, m := range j.Members() {
		if m.Ejected {
			names = append(names, m.Name)
		}
	}
	return names
}

// What is out by what is heard.
func TestVerdicts(t *testing.T) {
	all := func(k, to int) map[int]int {
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
		return view(10, runs)
	}
	sound := view(10, nil)
	slow := func(m, factor int) []evidence.Summary {
		v := view(10, nil)
		for i := range v {
			v[i].LatencySamples = 4
		}
		v[m].LogLatencyRatio = math.Log(float64(factor))
		return v
	}
	for _, c := range []struct {
		name    string
		members int
		own     []evidence.Summary
		peers   []Report
		whole   bool
		want    []string
	}{
		{"sound", 10, sound, []Report{said("b", "z1", sound), said("c", "z0", sound)}, true, nil},
		{"one is bad, seen by several a little", 10, view(10, map[int]int{3: -1}), []Report{said("b", "z1", view(10, map[int]int{3: -1})), said("c", "z0", view(10, map[int]int{3: -1})), said("d", "z1", view(10, map[int]int{3: -1}))}, true, []string{"m03"}},
		{"the same, cut off", 10, view(10, map[int]int{3: -1}), []Report{said("b", "z1", bad(3)), said("c", "z0", bad(3))}, false, nil},
		{"cut off, and met by itself", 10, view(10, map[int]int{3: -5}), nil, false, []string{"m03"}},
		{"one confused observer accuses all", 10, sound, []Report{said("b", "z1", view(10, all(10, -9))), said("c", "z0", sound), said("d", "z1", sound)}, true, nil},
		{"and this server is it", 10, view(10, all(10, -9)), []Report{said("b", "z1", sound), said("c", "z0", sound)}, true, nil},
		{"this server alone meets it so: the way there", 10, view(10, map[int]int{2: -6}), []Report{said("b", "z1", sound), said("c", "z0", sound)}, true, []string{"m02"}},
		{"another alone does", 10, sound, []Report{said("b", "z1", view(10, map[int]int{2: -9})), said("c", "z0", sound)}, true, nil},
		{"the own zone does", 10, view(10, map[int]int{2: -2}), []Report{said("b", "z0", bad(2)), said("c", "z1", sound), said("d", "z1", sound)}, true, []string{"m02"}},
		{"another zone does", 10, sound, []Report{said("b", "z1", bad(2)), said("c", "z1", bad(2)), said("d", "z0", sound)}, true, nil},
		{"two with opposite views", 10, sound, []Report{said("b", "z0", bad(1))}, true, nil},
		{"an old word counts for nothing", 10, sound, []Report{{Origin: "b", Zone: "z1", Age: stale, Summaries: bad(4)}, {Origin: "c", Zone: "z0", Age: stale + 1, Summaries: bad(4)}}, true, nil},
		{"six of ten are bad: five may go, the worst", 10, bad(0, 1, 2, 3, 4, 5), []Report{said("b", "z1", view(10, map[int]int{0: -5, 1: -5, 2: -5, 3: -5, 4: -5, 5: -1})), said("c", "z0", bad(0, 1, 2, 3, 4, 5))}, true, []string{"m00", "m01", "m02", "m03", "m04"}},
		{"all are bad: all are used", 10, view(10, all(10, -9)), []Report{said("b", "z1", view(10, all(10, -9))), said("c", "z0", view(10, all(10, -9)))}, true, nil},
		{"three of which two are bad: one goes", 3, view(3, all(2, -5)), []Report{said("b", "z1", view(3, all(2, -5))), said("c", "z0", view(3, all(2, -5)))}, true, []string{"m00"}},
		{"one is slow", 10, slow(7, 9), []Report{said("b", "z1", slow(7, 9)), said("c", "z0", slow(7, 9))}, true, []string{"m07"}},
		{"slow for one only", 10, slow(7, 9), []Report{said("b", "z1", slow(7, 1)), said("c", "z0", slow(7, 1))}, true, nil},
		{"good of late and bad before", 10, sound, []Report{said("b", "z1", sound), {Origin: "c", Zone: "z0", Age: 8000, Summaries: bad(3)}, {Origin: "d", Zone: "z0", Age: 9000, Summaries: bad(3)}}, true, nil},
		{"not met by anybody", 10, view(10, map[int]int{3: 0}), nil, true, nil},
		{"nonsense: runs beyond all bounds", 10, sound, []Report{said("b", "z1", view(10, map[int]int{1: -1 << 40})), said("c", "z0", sound)}, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := New(rules, "a", "z0", members(c.members), -60e3)
			j.Evaluate(0, c.own, c.peers, []string{"b", "c", "d"}, c.whole)
			if got := out(j); !slices.Equal(got, c.want) {
				for _, m := range j.Members() {
					t.Logf("%+v", *m)
				}
				t.Errorf("out: %v, want %v", got, c.want)
			}
		})
	}
}

// Who heard the same takes the same out, whatever its name.
func TestSameEvidenceSameVerdict(t *testing.T) {
	views := map[string][]evidence.Summary{}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		views[name] = view(10, map[int]int{1: -1 - i, 4: -2, 6: 3 - i, 8: -5})
	}
	var want []string
	for i, self := range []string{"a", "b", "c", "d", "e"} {
		var peers []Report
		for name, v := range views {
			if name != self {
				x := said(name, "z0", v)
				x.Age = 0
				peers = append(peers, x)
			}
		}
		j := New(rules, self, "z0", members(10), -60e3)
		j.Evaluate(0, views[self], peers, []string{"a", "b", "c", "d", "e"}, true)
		if got := out(j); i > 0 && !slices.Equal(got, want) || len(got) == 0 {
			t.Errorf("%s takes %v out, another %v", self, got, want)
		} else {
			want = got
		}
	}
}

// A member that is out is asked after by few, comes back once these get answers, and its ramp is the others'.
func TestWayBack(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	ask := 0
	var mine *Detector
	for _, self := range names {
		j := New(rules, self, "", members(4), -60e3)
		var peers []Report
		for _, name := range names {
			if name != self {
				peers = append(peers, said(name, "", view(4, map[int]int{1: -3})))
			}
		}
		j.Evaluate(0, view(4, map[int]int{1: -3}), peers, names, true)
		if !j.Members()[1].Ejected {
			t.Fatalf("%s: %+v", self, j.Members()[1])
		}
		if j.TryHealthCheck(1500, "m01") {
			ask++
			if j.TryHealthCheck(1600, "m01") {
				t.Error("twice within a second")
			}
			mine = j
		}
	}
	if ask != probers {
		t.Fatalf("%d of 8 ask after it", ask)
	}
	quiet := view(4, map[int]int{1: 0})
	mine.Evaluate(1000, view(4, map[int]int{1: 5}), []Report{said("x", "", quiet)}, names, true)
	if !mine.Members()[1].Ejected {
		t.Error("before its time")
	}
	mine.Evaluate(3000, view(4, map[int]int{1: 2}), []Report{said("x", "", view(4, map[int]int{1: -4}))}, names, true)
	if !mine.Members()[1].Ejected {
		t.Error("another still gets nothing from it")
	}
	other := said("x", "", quiet)
	other.Recoveries = []Recovery{{"m01", 700}}
	mine.Evaluate(4000, view(4, map[int]int{1: 3}), []Report{other}, names, true)
	m := mine.Members()[1]
	if m.Ejected || m.Since != 4000-1200 {
		t.Errorf("%+v", *m)
	}
	if p := mine.TrafficFraction(4000, m); p < 0.23 || p > 0.25 {
		t.Errorf("its part: %g", p)
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

// Who may have it back first tells the others, and all begin at one time, whatever their own holds; one that is met as bad
// meanwhile stays out.
func TestReturnIsOneOverTheFleet(t *testing.T) {
	first, later := New(rules, "a", "", members(4), -60e3), New(rules, "b", "", members(4), -60e3)
	bad, good := view(4, map[int]int{1: -3}), view(4, map[int]int{1: 3})
	peers := func(v []evidence.Summary) []Report { return []Report{said("x", "", v), said("y", "", v)} }
	first.Evaluate(0, bad, peers(bad), []string{"b", "x", "y"}, true)
	later.Evaluate(1500, bad, peers(bad), []string{"a", "x", "y"}, true)
	first.Evaluate(2100, good, peers(view(4, map[int]int{1: 0})), []string{"b", "x", "y"}, true)
	out, back := first.Announcement(2100)
	if len(out) != 1 || len(back) != 1 || back[0].Elapsed != -lead {
		t.Fatalf("%v %v", out, back)
	}
	word := Report{Origin: "a", Age: 300, Summaries: good, Ejected: out, Recoveries: back}
	for _, c := range []struct {
		at   float64
		own  []evidence.Summary
		out  bool
		what string
	}{
		{2400, view(4, map[int]int{1: 0}), true, "it is told, and not yet begun"},
		{2400 + 1700, view(4, map[int]int{1: -3}), true, "met as bad at the time itself"},
		{2400 + 1950, good, false, "well again: begun when it was told to"},
	} {
		word.Age = 300 + c.at - 2400
		later.Evaluate(c.at, c.own, append(peers(view(4, map[int]int{1: 0})), word), []string{"a", "x", "y"}, true)
		if m := later.Members()[1]; m.Ejected != c.out {
			t.Errorf("%s: %+v", c.what, *m)
		}
	}
	first.Evaluate(2100+lead, good, peers(view(4, map[int]int{1: 0})), []string{"b", "x", "y"}, true)
	if a, b := first.Members()[1].Since, later.Members()[1].Since; a != b {
		t.Errorf("ramps from %g and from %g", a, b)
	}
}

// Drained members are out whatever is heard of them, count first for what a pool may spare, and come back by a ramp.
func TestDrainedMembers(t *testing.T) {
	j := New(rules, "a", "", members(4), -60e3)
	sound := view(4, nil)
	peers := []Report{said("b", "", sound), said("c", "", sound)}
	j.SetDrained(0, []string{"m00"})
	j.Evaluate(1000, sound, peers, []string{"b", "c"}, true)
	if got := out(j); !slices.Equal(got, []string{"m00"}) || j.Members()[0].Condition != Drained || j.TryHealthCheck(60e3, "m00") {
		t.Errorf("%v %+v", got, j.Members()[0])
	}
	bad := view(4, map[int]int{1: -5, 2: -5})
	for now := 1250.0; now < 3000; now += 250 {
		j.Evaluate(now, bad, []Report{said("b", "", bad), said("c", "", bad)}, []string{"b", "c"}, true)
	}
	if got := out(j); len(got) != 2 {
		t.Errorf("%v out, two of four may be", got)
	}
	j.Evaluate(3250, bad, nil, nil, false)
	j.Evaluate(3500, sound, peers, []string{"b", "c"}, true) // after a cut, what was done by hearsay is judged anew, and this is none
	if got := out(j); !slices.Contains(got, "m00") {
		t.Errorf("%v", got)
	}
	j.SetDrained(4000, nil)
	if m := j.Members()[0]; m.Ejected || j.TrafficFraction(4500, m) > 0.2 {
		t.Errorf("%+v", m)
	}
	j.SetDrained(5000, members(4))
	if got := out(j); len(got) > 2 {
		t.Errorf("all drained, and %v out", got)
	}
}

// What is no longer heard keeps nobody out; a server that has just started takes over what most others hold, for a while.
func TestNobodyKeepsItOut(t *testing.T) {
	j := New(rules, "a", "", members(4), 0)
	held := func(name string) Report {
		x := said(name, "", view(4, map[int]int{1: 0}))
		x.Ejected = []string{"m01"}
		return x
	}
	j.Evaluate(1000, nil, []Report{held("b"), held("c")}, []string{"b", "c"}, true)
	if m := j.Members()[1]; !m.Ejected || m.Condition != Inherited {
		t.Fatalf("%+v", *m)
	}
	for now := 1500.0; now < 9000; now += 500 { // the others say so for ever, without any evidence
		j.Evaluate(now, nil, []Report{held("b"), held("c")}, []string{"b", "c"}, true)
	}
	if m := j.Members()[1]; m.Ejected {
		t.Errorf("%+v", *m)
	}
}

func BenchmarkLook(b *testing.B) {
	v := view(10, map[int]int{3: -4})
	var peers []Report
	var names []string
	for i := range 300 {
		name := fmt.Sprint("n", i)
		peers, names = append(peers, said(name, fmt.Sprint("z", i%3), v)), append(names, name)
	}
	j := New(rules, "a", "z0", members(10), -60e3)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		j.Evaluate(float64(i), v, peers, names, true)
	}
}
