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

func fleet(n, zones int) (all []Server) {
	for i := range n {
		all = append(all, Server{fmt.Sprint("n", i), fmt.Sprint("z", i%zones)})
	}
	return all
}

// Every server is in one wave, no wave is larger than the rules allow, and each is spread over the zones by their sizes.
func TestWaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := DefaultRules()
		r.CanaryServers = rapid.IntRange(1, 8).Draw(t, "canary")
		r.MaxGrowth = rapid.Float64Range(1, 4).Draw(t, "growth")
		r.MaxWaveShare = rapid.Float64Range(0.01, 1).Draw(t, "most")
		servers := fleet(rapid.IntRange(1, 400).Draw(t, "servers"), rapid.IntRange(1, 5).Draw(t, "zones"))
		waves := Waves(r, servers, rapid.Uint64().Draw(t, "number"))
		seen, done := map[string]bool{}, 0
		for i, w := range waves {
			if i == 0 && len(w) > r.CanaryServers || i > 0 && len(w) > 1 && (float64(len(w)) > r.MaxGrowth*float64(done)+1 || float64(len(w)) > r.MaxWaveShare*float64(len(servers))) {
				t.Fatalf("wave %d has %d, %d before, rules %+v", i, len(w), done, r)
			}
			for _, name := range w {
				if seen[name] {
					t.Fatalf("%s twice", name)
				}
				seen[name] = true
			}
			done += len(w)
		}
		if len(seen) != len(servers) {
			t.Fatalf("%d of %d in waves", len(seen), len(servers))
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
		t.Errorf("a wave over the zones: %v", zones)
	}
}

// The false alarms of the sequential test itself: no difference, evaluated after each of many steps.
func TestAlarmsAreRare(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	rules := DefaultRules()
	rules.FalseAlarmRate = 0.05
	alarms, found := 0, 0
	const runs = 400
	for i := range 2 * runs {
		bad := i >= runs // the second half is worse by a twentieth
		fresh, old := []sample{{zone: "z0"}, {zone: "z1"}}, []sample{{zone: "z0"}, {zone: "z0"}, {zone: "z1"}, {zone: "z1"}, {zone: "z0"}, {zone: "z1"}}
		rung := false
		for step := 0; step < 60 && !rung; step++ {
			for _, side := range [][]sample{fresh, old} {
				for k := range side {
					p := 0.03
					if bad && len(side) == 2 {
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
			_, rung = compare(rules, 1, fresh, old)
		}
		if rung && bad {
			found++
		} else if rung {
			alarms++
		}
	}
	t.Logf("%d of %d false alarms, %d of %d found", alarms, runs, found, runs)
	if alarms > runs/20 || found < runs*9/10 {
		t.Errorf("%d false alarms of %d (a twentieth wanted at the most), %d of %d found", alarms, runs, found, runs)
	}
}

// newPlay returns a state with one version, and six servers.
func newPlay(t *testing.T) (*State, *play) {
	t.Helper()
	p := &play{T: t, state: New(), reports: map[string]*Report{}}
	for i := range 6 {
		name := fmt.Sprint("n", i)
		p.reports[name] = &Report{Name: name, Incarnation: 1, Warm: true, ResidentMB: 30}
	}
	p.do(Command{Kind: PutVersion, Body: []byte("one"), Actor: "me"}, true)
	return p.state, p
}

// play drives a state with the reports of six servers.
type play struct {
	*testing.T
	state    *State
	commands int
	reports  map[string]*Report
}

func (p *play) do(c Command, ok bool) Result {
	p.Helper()
	p.commands++
	c.ID = fmt.Sprint("c", p.commands)
	a := p.state.Apply(c)
	if a.OK != ok {
		p.Fatalf("%+v: %+v", c, a)
	}
	return a
}

var quick = Rules{CanaryServers: 1, MaxGrowth: 2, MaxWaveShare: 0.5, BakeMS: 4000, MinRPCs: 20, MaxWaveMS: 60e3, FalseAlarmRate: 0.01, Margin: 0.01, MaxUnreachable: 1}

func (p *play) plan(version uint64) uint64 {
	p.Helper()
	r := quick
	return p.do(Command{Kind: PlanRelease, Version: version, Rules: &r, Servers: fleet(6, 2)}, true).Release.Number
}

// pass has servers serve RPCs and follow their targets, with an observation each second; those away are unreachable.
func (p *play) pass(seconds int, bad func(*Report) float64, away ...string) {
	for range seconds {
		c := Command{Kind: Observe, ElapsedMS: 1000}
		for _, name := range []string{"n0", "n1", "n2", "n3", "n4", "n5"} {
			s := p.reports[name]
			if slices.Contains(away, name) {
				continue
			}
			if to := p.state.Target(name); to != s.Version && (to == 0 || s.RejectedVersion != to) {
				s.Version, s.Counts = to, Counts{}
			}
			s.Counts.Total += 20
			if bad != nil {
				s.Counts.Failed += 20 * bad(s)
			}
			c.Reports = append(c.Reports, *s)
		}
		p.do(c, true)
	}
}

// How releases end, by what is observed.
func TestReleaseEnds(t *testing.T) {
	worse := func(s *Report) float64 {
		if s.Version == 1 {
			return 0.5
		}
		return 0
	}
	for _, c := range []struct {
		name string
		play func(p *play, _ uint64)
		want Phase
		have []uint64 // what the six are assigned at the end, nil for all of the former
	}{
		{"a good one", func(p *play, _ uint64) { p.pass(60, nil) }, Completed, []uint64{1, 1, 1, 1, 1, 1}},
		{"a bad one", func(p *play, _ uint64) { p.pass(60, worse) }, RolledBack, nil},
		{"worse everywhere at once: nobody is blamed", func(p *play, _ uint64) {
			p.pass(6, nil)
			p.pass(60, func(*Report) float64 { return 0.4 })
		}, Paused, nil},
		{"refused", func(p *play, _ uint64) {
			for _, s := range p.reports {
				s.RejectedVersion = 1
			}
			p.pass(60, nil)
		}, RolledBack, nil},
		{"the canary starts again and again", func(p *play, _ uint64) {
			for range 40 {
				p.pass(1, nil)
				for _, s := range p.reports {
					if s.Version == 1 {
						s.Incarnation++
					}
				}
			}
		}, RolledBack, nil},
		{"memory grows", func(p *play, _ uint64) {
			for range 40 {
				p.pass(1, nil)
				for _, s := range p.reports {
					if s.Version == 1 {
						s.ResidentMB += 8
					}
				}
			}
		}, RolledBack, nil},
		{"a third is not heard", func(p *play, _ uint64) { p.pass(60, nil, "n0", "n1") }, Paused, nil},
		{"halted by the fleet", func(p *play, _ uint64) {
			p.pass(2, nil)
			p.do(Command{Kind: Observe, ElapsedMS: 1000, HaltReason: "losses"}, true)
			p.pass(20, nil)
		}, Paused, nil},
		{"too little is carried", func(p *play, _ uint64) {
			for range 70 {
				p.do(Command{Kind: Observe, ElapsedMS: 1000, Reports: []Report{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}, {Name: "n3"}, {Name: "n4"}, {Name: "n5"}}}, true)
			}
		}, Paused, nil},
		{"by hand, back from half", func(p *play, number uint64) {
			p.pass(12, nil)
			p.do(Command{Kind: RollBack, Release: number, Actor: "me"}, true)
			p.pass(10, nil)
		}, RolledBack, nil},
		{"the way back is held, and goes on", func(p *play, number uint64) {
			p.pass(12, nil)
			p.do(Command{Kind: RollBack, Release: number, Actor: "me"}, true)
			p.do(Command{Kind: Pause, Release: number, Actor: "me"}, true)
			p.pass(10, nil)
			if p.state.Release.Phase != RollbackPaused {
				p.Errorf("%s", p.state.Release.Phase)
			}
			p.do(Command{Kind: Resume, Release: number, Actor: "me"}, true)
			p.pass(10, nil)
		}, RolledBack, nil},
		{"back with half cut off: they are told when they return", func(p *play, number uint64) {
			p.pass(12, nil)
			p.do(Command{Kind: RollBack, Release: number, Actor: "me"}, true)
			p.pass(10, nil, "n0", "n1", "n2")
			if p.state.Release.Phase != RolledBack {
				p.Errorf("%s", p.state.Release.Phase)
			}
			p.pass(1, nil)
		}, RolledBack, nil},
		{"back after its end", func(p *play, number uint64) {
			p.pass(60, nil)
			p.do(Command{Kind: RollBack, Release: number, Actor: "me"}, true)
			p.pass(10, nil)
		}, RolledBack, nil},
		{"ended by hand in the middle", func(p *play, number uint64) {
			p.pass(7, nil)
			p.do(Command{Kind: Abandon, Release: number, Actor: "me"}, true)
			p.pass(30, nil)
			p.plan(1) // another may begin now
		}, Planned, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, p := newPlay(t)
			r := p.plan(1)
			p.do(Command{Kind: StartRelease, Release: r, Actor: "me"}, true)
			p.do(Command{Kind: PlanRelease, Version: 1, Rules: &quick, Servers: fleet(6, 2)}, false) // one at a time
			c.play(p, r)
			if b.Release.Phase != c.want {
				t.Fatalf("%s: %s (%s)", c.name, b.Release.Phase, b.Release.Reason)
			}
			if c.want == RolledBack || c.have != nil {
				for i := range 6 {
					want := uint64(0)
					if c.have != nil {
						want = c.have[i]
					}
					name := fmt.Sprint("n", i)
					if got := b.Target(name); got != want || p.reports[name].Version != want {
						t.Errorf("%s: %s is assigned %d and runs %d, %d wanted", c.name, name, got, p.reports[name].Version, want)
					}
				}
			}
			text, err := json.Marshal(b)
			copied := New()
			if err == nil {
				err = json.Unmarshal(text, copied)
			}
			again, againErr := json.Marshal(copied)
			if err != nil || againErr != nil || !reflect.DeepEqual(text, again) {
				t.Errorf("a snapshot is not the state: %v", errors.Join(err, againErr))
			}
		})
	}
}

// Versions are numbered, a repeated body is the same version, and none that is in use is evicted.
func TestVersions(t *testing.T) {
	b, p := newPlay(t)
	if a := p.do(Command{Kind: PutVersion, Body: []byte("one")}, true); a.Version != 1 {
		t.Errorf("%+v", a)
	}
	p.do(Command{Kind: PutVersion}, false)
	p.do(Command{Kind: PutVersion, Body: make([]byte, maxBodyBytes+1)}, false)
	p.do(Command{Kind: PlanRelease, Version: 7, Rules: &quick, Servers: fleet(6, 2)}, false)
	r := p.plan(1)
	p.do(Command{Kind: StartRelease, Release: r}, true)
	p.pass(60, nil)
	for i := range 2 * maxVersions {
		p.do(Command{Kind: PutVersion, Body: []byte(fmt.Sprint(i))}, true)
	}
	if b.Version(1) == nil || len(b.Versions) > maxVersions {
		t.Errorf("%d versions, the one in use kept: %v", len(b.Versions), b.Version(1) != nil)
	}
	if got := b.Target("a new one"); got != 1 {
		t.Errorf("a server that is new is to run %d", got)
	}
}

// Any commands in any order: no server is assigned a version before its wave, and a rollback restores what was before.
func TestAnyRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		b.Apply(Command{ID: "put", Kind: PutVersion, Body: []byte("one")})
		b.Apply(Command{ID: "put2", Kind: PutVersion, Body: []byte("two")})
		at := map[string]*Report{}
		for i := range 5 {
			name := fmt.Sprint("n", i)
			at[name] = &Report{Name: name, Incarnation: 1, Warm: true}
		}
		for i := range rapid.IntRange(5, 120).Draw(t, "commands") {
			c := Command{ID: fmt.Sprint(i), Kind: rapid.SampledFrom([]Kind{Observe, Observe, Observe, Observe, Observe, Observe, PlanRelease, StartRelease, StartRelease, Pause, Resume, RollBack, Abandon}).Draw(t, "kind"), Rules: &quick, Version: uint64(rapid.IntRange(1, 2).Draw(t, "version")),
				Servers: fleet(5, 2), ElapsedMS: 3000, Actor: "x"}
			for _, name := range []string{"n0", "n1", "n2", "n3", "n4"} {
				s := at[name]
				if rapid.IntRange(0, 9).Draw(t, "away") == 0 {
					continue
				}
				s.Version = b.Target(name)
				s.Counts.Total += 30
				c.Reports = append(c.Reports, *s)
			}
			was := ""
			if b.Release != nil {
				was = fmt.Sprint(b.Release.Number, b.Release.Phase)
			}
			a := b.Apply(c)
			r := b.Release
			if r == nil {
				continue
			}
			if c.Kind == PlanRelease && a.OK && was != "" && was != fmt.Sprint(r.Number-1, Planned) && was != fmt.Sprint(r.Number-1, Completed) && was != fmt.Sprint(r.Number-1, RolledBack) && was != fmt.Sprint(r.Number-1, Abandoned) {
				t.Fatalf("two at once: %s", was)
			}
			for k, wave := range r.Waves {
				for _, name := range wave {
					if r.Phase.Active() && k > r.Wave && b.Target(name) == r.Version && r.Previous[name] != r.Version {
						t.Fatalf("%s of wave %d is assigned %d in wave %d, %s", name, k, r.Version, r.Wave, r.Phase)
					}
					if r.Phase == RolledBack && b.Target(name) != r.Previous[name] {
						t.Fatalf("%s is to run %d after the way back, %d before", name, b.Target(name), r.Previous[name])
					}
				}
			}
		}
	})
}
