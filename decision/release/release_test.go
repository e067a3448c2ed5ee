package release

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fleet returns n servers, spread evenly over the zones.
func fleet(n, zones int) (servers []Server) {
	for i := range n {
		servers = append(servers, Server{fmt.Sprint("n", i), fmt.Sprint("z", i%zones)})
	}
	return servers
}

// Every server is in exactly one wave, no wave is larger than the rules allow, and a wave is spread evenly over zones of the
// same size.
func TestWaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := DefaultRules()
		rules.CanaryServers = rapid.IntRange(1, 8).Draw(t, "canary")
		rules.MaxGrowth = rapid.Float64Range(1, 4).Draw(t, "growth")
		rules.MaxWaveShare = rapid.Float64Range(0.01, 1).Draw(t, "most")
		servers := fleet(rapid.IntRange(1, 400).Draw(t, "servers"), rapid.IntRange(1, 5).Draw(t, "zones"))
		waves := Waves(rules, servers, rapid.Uint64().Draw(t, "number"))
		seen, assigned := map[string]bool{}, 0
		for i, wave := range waves {
			if i == 0 && len(wave) > rules.CanaryServers || i > 0 && len(wave) > 1 && (float64(len(wave)) > rules.MaxGrowth*float64(assigned)+1 || float64(len(wave)) > rules.MaxWaveShare*float64(len(servers))) {
				t.Fatalf("wave %d has %d servers after %d in earlier waves, too many for rules %+v", i, len(wave), assigned, rules)
			}
			for _, name := range wave {
				if seen[name] {
					t.Fatalf("server %s is in two waves", name)
				}
				seen[name] = true
			}
			assigned += len(wave)
		}
		if len(seen) != len(servers) {
			t.Fatalf("servers in waves: got %d, want %d", len(seen), len(servers))
		}
	})
	zones := map[string]int{}
	for _, name := range Waves(DefaultRules(), fleet(300, 3), 1)[3] {
		var i int
		if _, err := fmt.Sscanf(name, "n%d", &i); err != nil {
			t.Fatal(err)
		}
		zones[fmt.Sprint("z", i%3)]++
	}
	if low, high := slices.Min([]int{zones["z0"], zones["z1"], zones["z2"]}), slices.Max([]int{zones["z0"], zones["z1"], zones["z2"]}); high-low > 2 {
		t.Errorf("servers by zone in wave 3 of equal zones: got %v, want a difference of at most 2", zones)
	}
}

// The sequential test, evaluated after each of many steps, must keep its rate of false alarms if there is no difference
// between the versions, and must detect most versions that are worse.
func TestSequentialTestErrorRates(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	rules := DefaultRules()
	rules.FalseAlarmRate = 0.05
	falseAlarms, detected := 0, 0
	const runs = 400
	for i := range 2 * runs {
		worse := i >= runs // in the second half, the canary fails 12% of its RPCs instead of 3%
		canary, control := []sample{{zone: "z0"}, {zone: "z1"}}, []sample{{zone: "z0"}, {zone: "z0"}, {zone: "z1"}, {zone: "z1"}, {zone: "z0"}, {zone: "z1"}}
		alarm := false
		for step := 0; step < 60 && !alarm; step++ {
			for _, side := range [][]sample{canary, control} {
				for k := range side {
					p := 0.03
					if worse && len(side) == 2 {
						p = 0.12
					}
					for range 10 {
						side[k].counts.Total++
						if random.Float64() < p {
							side[k].counts.Failed++
						}
					}
				}
			}
			_, alarm = compare(rules, 1, canary, control)
		}
		if alarm && worse {
			detected++
		} else if alarm {
			falseAlarms++
		}
	}
	t.Logf("false alarms: %d of %d; regressions detected: %d of %d", falseAlarms, runs, detected, runs)
	if falseAlarms > runs/20 || detected < runs*9/10 {
		t.Errorf("false alarms: got %d of %d, want at most 5%%; regressions detected: got %d of %d, want at least 90%%", falseAlarms, runs, detected, runs)
	}
}

// newHarness returns a state with one stored version, and a harness with six servers that drives it.
func newHarness(t *testing.T) (*State, *harness) {
	t.Helper()
	h := &harness{T: t, state: New(), reports: map[string]*Report{}}
	for i := range 6 {
		name := fmt.Sprint("n", i)
		h.reports[name] = &Report{Name: name, Incarnation: 1, Warm: true, ResidentMB: 30}
	}
	h.apply(Command{Kind: PutVersion, Body: []byte("one"), Actor: "me"}, true)
	return h.state, h
}

// harness drives a state with the reports of six servers.
type harness struct {
	*testing.T
	state    *State
	commands int
	reports  map[string]*Report
}

// apply applies a command, with an ID of its own, and checks whether it is accepted.
func (h *harness) apply(c Command, ok bool) Result {
	h.Helper()
	h.commands++
	c.ID = fmt.Sprint("c", h.commands)
	result := h.state.Apply(c)
	if result.OK != ok {
		h.Fatalf("command %+v: unexpected result %+v", c, result)
	}
	return result
}

// testRules are rules for short releases.
var testRules = Rules{CanaryServers: 1, MaxGrowth: 2, MaxWaveShare: 0.5, BakeMS: 4000, MinRPCs: 20, MaxWaveMS: 60e3, FalseAlarmRate: 0.01, Margin: 0.01, MaxUnreachable: 1}

// plan plans a release and returns its number.
func (h *harness) plan(version uint64) uint64 {
	h.Helper()
	rules := testRules
	return h.apply(Command{Kind: PlanRelease, Version: version, Rules: &rules, Servers: fleet(6, 2)}, true).Release.Number
}

// observe simulates a number of seconds: the servers serve RPCs, run their target version, and are observed once a second.
// failedShare, if not nil, returns a server's share of failed RPCs; the unreachable servers report nothing.
func (h *harness) observe(seconds int, failedShare func(*Report) float64, unreachable ...string) {
	for range seconds {
		c := Command{Kind: Observe, ElapsedMS: 1000}
		for _, name := range []string{"n0", "n1", "n2", "n3", "n4", "n5"} {
			report := h.reports[name]
			if slices.Contains(unreachable, name) {
				continue
			}
			if target := h.state.Target(name); target != report.Version && (target == 0 || report.RejectedVersion != target) {
				report.Version, report.Counts = target, Counts{}
			}
			report.Counts.Total += 20
			if failedShare != nil {
				report.Counts.Failed += 20 * failedShare(report)
			}
			c.Reports = append(c.Reports, *report)
		}
		h.apply(c, true)
	}
}

// The phase and the assigned versions that a release reaches, depending on observations and operator commands.
func TestReleaseOutcome(t *testing.T) {
	failOnVersion1 := func(report *Report) float64 {
		if report.Version == 1 {
			return 0.5
		}
		return 0
	}
	for _, test := range []struct {
		name     string
		run      func(h *harness, release uint64)
		want     Phase
		assigned []uint64 // versions of the six servers at the end; nil: their previous versions
	}{
		{"good version", func(h *harness, _ uint64) { h.observe(60, nil) }, Completed, []uint64{1, 1, 1, 1, 1, 1}},
		{"bad version", func(h *harness, _ uint64) { h.observe(60, failOnVersion1) }, RolledBack, nil},
		{"all servers degrade at once: the version is not blamed", func(h *harness, _ uint64) {
			h.observe(6, nil)
			h.observe(60, func(*Report) float64 { return 0.4 })
		}, Paused, nil},
		{"version rejected by the servers", func(h *harness, _ uint64) {
			for _, report := range h.reports {
				report.RejectedVersion = 1
			}
			h.observe(60, nil)
		}, RolledBack, nil},
		{"canary restarts repeatedly", func(h *harness, _ uint64) {
			for range 40 {
				h.observe(1, nil)
				for _, report := range h.reports {
					if report.Version == 1 {
						report.Incarnation++
					}
				}
			}
		}, RolledBack, nil},
		{"memory grows on the version", func(h *harness, _ uint64) {
			for range 40 {
				h.observe(1, nil)
				for _, report := range h.reports {
					if report.Version == 1 {
						report.ResidentMB += 8
					}
				}
			}
		}, RolledBack, nil},
		{"a third of the servers is unreachable", func(h *harness, _ uint64) { h.observe(60, nil, "n0", "n1") }, Paused, nil},
		{"manual halt of the fleet", func(h *harness, _ uint64) {
			h.observe(2, nil)
			h.apply(Command{Kind: Observe, ElapsedMS: 1000, HaltReason: "losses"}, true)
			h.observe(20, nil)
		}, Paused, nil},
		{"too little traffic", func(h *harness, _ uint64) {
			for range 70 {
				h.apply(Command{Kind: Observe, ElapsedMS: 1000, Reports: []Report{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}, {Name: "n3"}, {Name: "n4"}, {Name: "n5"}}}, true)
			}
		}, Paused, nil},
		{"operator rolls back halfway", func(h *harness, release uint64) {
			h.observe(12, nil)
			h.apply(Command{Kind: RollBack, Release: release, Actor: "me"}, true)
			h.observe(10, nil)
		}, RolledBack, nil},
		{"rollback is paused and resumed", func(h *harness, release uint64) {
			h.observe(12, nil)
			h.apply(Command{Kind: RollBack, Release: release, Actor: "me"}, true)
			h.apply(Command{Kind: Pause, Release: release, Actor: "me"}, true)
			h.observe(10, nil)
			if h.state.Release.Phase != RollbackPaused {
				h.Errorf("phase after the rollback was paused: got %s, want RollbackPaused", h.state.Release.Phase)
			}
			h.apply(Command{Kind: Resume, Release: release, Actor: "me"}, true)
			h.observe(10, nil)
		}, RolledBack, nil},
		{"rollback with half of the servers unreachable until later", func(h *harness, release uint64) {
			h.observe(12, nil)
			h.apply(Command{Kind: RollBack, Release: release, Actor: "me"}, true)
			h.observe(10, nil, "n0", "n1", "n2")
			if h.state.Release.Phase != RolledBack {
				h.Errorf("phase while half of the servers are unreachable: got %s, want RolledBack", h.state.Release.Phase)
			}
			h.observe(1, nil)
		}, RolledBack, nil},
		{"rollback of a completed release", func(h *harness, release uint64) {
			h.observe(60, nil)
			h.apply(Command{Kind: RollBack, Release: release, Actor: "me"}, true)
			h.observe(10, nil)
		}, RolledBack, nil},
		{"operator abandons the release halfway", func(h *harness, release uint64) {
			h.observe(7, nil)
			h.apply(Command{Kind: Abandon, Release: release, Actor: "me"}, true)
			h.observe(30, nil)
			h.plan(1) // another release may be planned now
		}, Planned, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			state, h := newHarness(t)
			release := h.plan(1)
			h.apply(Command{Kind: StartRelease, Release: release, Actor: "me"}, true)
			h.apply(Command{Kind: PlanRelease, Version: 1, Rules: &testRules, Servers: fleet(6, 2)}, false) // only one release at a time
			test.run(h, release)
			if state.Release.Phase != test.want {
				t.Fatalf("%s: unexpected phase %s (%s)", test.name, state.Release.Phase, state.Release.Reason)
			}
			if test.want == RolledBack || test.assigned != nil {
				for i := range 6 {
					want := uint64(0)
					if test.assigned != nil {
						want = test.assigned[i]
					}
					name := fmt.Sprint("n", i)
					if got := state.Target(name); got != want || h.reports[name].Version != want {
						t.Errorf("%s: server %s: got assigned version %d and running version %d, want %d", test.name, name, got, h.reports[name].Version, want)
					}
				}
			}
			snapshot, err := json.Marshal(state)
			restored := New()
			if err == nil {
				err = json.Unmarshal(snapshot, restored)
			}
			second, secondErr := json.Marshal(restored)
			if err != nil || secondErr != nil || !reflect.DeepEqual(snapshot, second) {
				t.Errorf("snapshot does not restore the same state (error %v)", errors.Join(err, secondErr))
			}
		})
	}
}

// Versions are numbered, a repeated body is the same version, and a version in use is not evicted.
func TestVersions(t *testing.T) {
	state, h := newHarness(t)
	if result := h.apply(Command{Kind: PutVersion, Body: []byte("one")}, true); result.Version != 1 {
		t.Errorf("result of storing the same body again: got %+v, want version 1", result)
	}
	h.apply(Command{Kind: PutVersion}, false)
	h.apply(Command{Kind: PutVersion, Body: make([]byte, maxBodyBytes+1)}, false)
	h.apply(Command{Kind: PlanRelease, Version: 7, Rules: &testRules, Servers: fleet(6, 2)}, false)
	release := h.plan(1)
	h.apply(Command{Kind: StartRelease, Release: release}, true)
	h.observe(60, nil)
	for i := range 2 * maxVersions {
		h.apply(Command{Kind: PutVersion, Body: []byte(fmt.Sprint(i))}, true)
	}
	if state.Version(1) == nil || len(state.Versions) > maxVersions {
		t.Errorf("%d versions stored; version in use still stored: %v", len(state.Versions), state.Version(1) != nil)
	}
	if got := state.Target("a new one"); got != 1 {
		t.Errorf("target of a server that is not in the release: got version %d, want 1", got)
	}
}

// Random commands in random order: only one release is active at a time, no server is assigned a version before its wave
// begins, and a rollback restores the previous versions.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New()
		state.Apply(Command{ID: "put", Kind: PutVersion, Body: []byte("one")})
		state.Apply(Command{ID: "put2", Kind: PutVersion, Body: []byte("two")})
		reports := map[string]*Report{}
		for i := range 5 {
			name := fmt.Sprint("n", i)
			reports[name] = &Report{Name: name, Incarnation: 1, Warm: true}
		}
		for i := range rapid.IntRange(5, 120).Draw(t, "commands") {
			c := Command{ID: fmt.Sprint(i), Kind: rapid.SampledFrom([]Kind{Observe, Observe, Observe, Observe, Observe, Observe, PlanRelease, StartRelease, StartRelease, Pause, Resume, RollBack, Abandon}).Draw(t, "kind"), Rules: &testRules, Version: uint64(rapid.IntRange(1, 2).Draw(t, "version")),
				Servers: fleet(5, 2), ElapsedMS: 3000, Actor: "x"}
			for _, name := range []string{"n0", "n1", "n2", "n3", "n4"} {
				report := reports[name]
				if rapid.IntRange(0, 9).Draw(t, "away") == 0 {
					continue
				}
				report.Version = state.Target(name)
				report.Counts.Total += 30
				c.Reports = append(c.Reports, *report)
			}
			before := ""
			if state.Release != nil {
				before = fmt.Sprint(state.Release.Number, state.Release.Phase)
			}
			result := state.Apply(c)
			release := state.Release
			if release == nil {
				continue
			}
			if c.Kind == PlanRelease && result.OK && before != "" && before != fmt.Sprint(release.Number-1, Planned) && before != fmt.Sprint(release.Number-1, Completed) && before != fmt.Sprint(release.Number-1, RolledBack) && before != fmt.Sprint(release.Number-1, Abandoned) {
				t.Fatalf("release planned while another was active: %s", before)
			}
			for k, wave := range release.Waves {
				for _, name := range wave {
					if release.Phase.Active() && k > release.Wave && state.Target(name) == release.Version && release.Previous[name] != release.Version {
						t.Fatalf("server %s of wave %d is assigned version %d early: release is in wave %d, phase %s", name, k, release.Version, release.Wave, release.Phase)
					}
					if release.Phase == RolledBack && state.Target(name) != release.Previous[name] {
						t.Fatalf("server %s: target after rollback: got version %d, want %d", name, state.Target(name), release.Previous[name])
					}
				}
			}
		}
	})
}
