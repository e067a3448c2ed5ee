package health

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fixture is a Detector on a virtual clock; the peers in responding answer at each tick.
type fixture struct {
	*testing.T
	detector   *Detector
	now, wall  float64
	responding []string
}

func newFixture(t *testing.T, peers ...string) *fixture {
	b := &fixture{T: t, detector: New(DefaultConfig, "self", "a", 0, 1e12), wall: 1e12, responding: peers}
	for _, p := range peers {
		b.detector.AddMember(0, p, map[bool]string{true: "a", false: "b"}[p < "m"], 1, 7)
		b.detector.MarkAlive(0, p)
	}
	return b
}

// advance lets time pass by ticks of 100 ms.
func (b *fixture) advance(ms float64) {
	for end := b.now + ms; b.now < end; {
		b.now, b.wall = b.now+100, b.wall+100
		b.detector.Tick(b.now, b.wall)
		for _, p := range b.responding {
			b.detector.RecordAck(b.now, p)
		}
	}
}

func (b *fixture) expect(state ClusterState, minServers, maxServers int) {
	b.Helper()
	if v := b.detector.View(b.now); v.State != state || v.MinServers != minServers || v.MaxServers != maxServers {
		b.Errorf("at %g ms: %s, %d to %d servers; want %s, %d to %d", b.now, v.State, v.MinServers, v.MaxServers, state, minServers, maxServers)
	}
}

func TestStates(t *testing.T) {
	b := newFixture(t, "b", "x", "y")
	b.advance(DefaultConfig.GracePeriod - 100)
	b.expect(Isolated, 1, 4) // grace period first, though all are alive
	b.advance(DefaultConfig.StabilizationPeriod + 200)
	b.expect(Complete, 4, 4)
	b.detector.MarkSuspect(b.now, "y")
	b.expect(Partitioned, 3, 4) // down at once
	if z := b.detector.View(b.now).Zones; !slices.Equal(z, []Zone{{"a", 2, 2}, {"b", 2, 1}}) {
		t.Errorf("zones %v", z)
	}
	b.detector.MarkAlive(b.now, "y")
	b.expect(Partitioned, 4, 4) // up after StabilizationPeriod
	b.advance(DefaultConfig.StabilizationPeriod + 100)
	b.expect(Complete, 4, 4)
	b.responding = nil // cut off: isolated before the prober has suspected anybody
	b.advance(DefaultConfig.SilenceTimeout + 100)
	b.expect(Isolated, 1, 4)
	for _, p := range []string{"b", "x", "y"} {
		b.detector.MarkSuspect(b.now, p)
	}
	if p := b.detector.Peers(b.now)[0]; p.SuspicionCount != 0 {
		t.Error("an isolated server counts suspicions against its peers")
	}
	b.detector.MarkAlive(b.now, "x") // the prober takes it for alive, and no message comes: an isolated server rejoins everybody
	if got := b.detector.RejoinCandidates(); !slices.Equal(got, []string{"b", "x", "y"}) {
		t.Errorf("isolated, and rejoins %v", got)
	}
	b.detector.MarkDeparted(b.now, "y", 1, Left)
	b.expect(Isolated, 1, 3)
	b.detector.AddMember(b.now, "y", "b", 1, 7) // an old record does not bring it back
	b.expect(Isolated, 1, 3)
	b.detector.AddMember(b.now, "y", "b", 2, 9) // its next incarnation does
	b.expect(Isolated, 1, 4)
}

// A server that stalled has observed nothing, and counts nothing against anybody.
func TestOwnStall(t *testing.T) {
	for name, stop := range map[string]func(b *fixture){
		"stopped for 5 s":       func(b *fixture) { b.now, b.wall = b.now+5000, b.wall+5000 },
		"ticks 1.1 s late":      func(b *fixture) { b.now, b.wall = b.now+1100, b.wall+1100 },
		"machine suspended":     func(b *fixture) { b.now, b.wall = b.now+100, b.wall+60e3 },
		"wall clock steps back": func(b *fixture) { b.now, b.wall = b.now+100, b.wall-5000 },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, "b", "x")
			b.advance(5000)
			b.expect(Complete, 3, 3)
			stop(b)
			if !b.detector.Tick(b.now, b.wall) {
				t.Fatal("it did not see its own stall")
			}
			b.expect(Isolated, 1, 3)
			b.detector.MarkSuspect(b.now, "x") // the prober's knowledge from before the stall
			if !b.detector.InGracePeriod(b.now) || b.detector.Peers(b.now)[1].SuspicionCount != 0 {
				t.Error("it goes by what it knew before")
			}
			b.detector.MarkAlive(b.now, "b")
			b.detector.MarkAlive(b.now, "x")
			b.advance(DefaultConfig.GracePeriod + DefaultConfig.StabilizationPeriod + 200)
			b.expect(Complete, 3, 3)
		})
	}
	b := newFixture(t, "b")
	b.advance(5000)
	b.now, b.wall = b.now+900, b.wall+900 // a pause too short to have caused a suspicion
	if b.detector.Tick(b.now, b.wall); b.detector.View(b.now).StallCount != 0 {
		t.Error("a pause of 0.9 s counts as a stall")
	}
}

// A fresh server reports that its upper bound is unknown; one with ExpectedServers does not take a part for all.
func TestMaxUnknown(t *testing.T) {
	b := newFixture(t)
	b.advance(5000)
	if v := b.detector.View(b.now); !v.MaxUnknown || v.State != Isolated {
		t.Errorf("%+v", v)
	}
	b.detector.MarkAlive(b.now, "x")
	b.responding = []string{"x"}
	b.advance(2000)
	b.expect(Complete, 2, 2)
	b.detector.config.ExpectedServers = 4
	b.detector.updateState(b.now)
	b.expect(Partitioned, 2, 4)
}

func TestContact(t *testing.T) {
	b := newFixture(t, "b", "c", "d", "e")
	b.responding = nil
	b.advance(20e3)
	for range 20 {
		b.advance(100)
		b.detector.RecordAck(b.now, "b")
		b.detector.RecordMessage(b.now, "c") // its packets arrive, ours do not
		b.detector.RecordIndirect(b.now, "d", "b")
		b.detector.RecordMessage(b.now, "") // an unknown sender proves contact with nobody
	}
	b.detector.MarkSuspect(b.now, "e")
	for name, want := range map[string]Contact{"b": Bidirectional, "c": InboundOnly, "d": IndirectContact, "e": NoContact, "nobody": NoContact} {
		if got := b.detector.Contact(b.now, name); got != want {
			t.Errorf("%s: contact %s, want %s", name, got, want)
		}
	}
	if p := b.detector.Peers(b.now); p[2].Via != "b" || p[0].LastContactAge != 0 || !p[3].Unconfirmed {
		t.Errorf("%+v", p)
	}
}

func TestFlapping(t *testing.T) {
	b := newFixture(t, "b", "x")
	b.advance(5000)
	flap := func() {
		b.detector.MarkSuspect(b.now, "x")
		b.advance(500)
		b.detector.MarkAlive(b.now, "x")
		b.advance(1500)
	}
	for range 8 {
		flap()
		b.advance(8000)
		b.expect(Complete, 3, 3) // each 10 s: faults of their own
	}
	for range 4 {
		flap()
	}
	if p := b.detector.Peers(b.now)[1]; !p.FlapDamped || p.Reachable {
		t.Errorf("four times in eight seconds, and it still counts: %+v", p)
	}
	b.expect(Partitioned, 2, 3)
	b.advance(maxHoldDown + 1000)
	b.expect(Complete, 3, 3)
}

func TestDuplicateNames(t *testing.T) {
	b := newFixture(t, "b")
	for i, incarnation := range []uint64{7, 9, 7} { // each supersedes the other in turn
		b.detector.AddMember(b.now, "b", "a", uint64(i+1), incarnation)
		b.advance(500)
	}
	if !b.detector.Peers(b.now)[0].DuplicateName {
		t.Error("two incarnations that speak in turn are not told from a restart")
	}
	b = newFixture(t, "b")
	b.detector.AddMember(b.now, "b", "a", 2, 9)
	b.detector.AddMember(b.now, "b", "a", 3, 11)
	if b.detector.Peers(b.now)[0].DuplicateName {
		t.Error("two restarts are taken for two processes")
	}
}

func TestIdentity(t *testing.T) {
	id := Identity{Generation: 1, Incarnation: 5}
	if refuted, _ := id.Refute(0, 1, 5); refuted {
		t.Error("it refutes itself")
	}
	if refuted, duplicate := id.Refute(0, 4, 99); !refuted || duplicate || id.Generation != 5 {
		t.Errorf("after a restart: generation %d", id.Generation)
	}
	if refuted, _ := id.Refute(10, 4, 99); refuted {
		t.Error("an older record of the former incarnation raises it again")
	}
	duplicate := false
	for n := range 6 {
		_, duplicate = id.Refute(float64(100*n), id.Generation, 99)
	}
	if !duplicate {
		t.Error("a name that another process keeps using is not detected")
	}
}

// Whatever happens, in whatever order: the bounds hold, the list is bounded, nothing counts as reachable that departed or
// that the prober suspects, and two instances with the same input report the same.
func TestAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig
		config.MaxPeers = 5
		a, b := New(config, "self", "z", 0, 0), New(config, "self", "z", 0, 0)
		now := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "acts") {
			name := rapid.SampledFrom([]string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "self", ""}).Draw(t, "name")
			act := rapid.IntRange(0, 8).Draw(t, "act")
			dt := rapid.SampledFrom([]float64{0, 50, 100, 400, 900, 1200}).Draw(t, "dt")
			generation := rapid.Uint64Range(0, 3).Draw(t, "start")
			now += dt
			for _, d := range []*Detector{a, b} {
				switch act {
				case 0, 1:
					d.Tick(now, now)
				case 2:
					d.AddMember(now, name, "z", generation, generation*3)
				case 3, 4:
					d.MarkAlive(now, name)
				case 5:
					d.MarkSuspect(now, name)
				case 6:
					d.MarkDeparted(now, name, generation, Left)
				case 7:
					d.RecordAck(now, name)
				case 8:
					d.RecordIndirect(now, name, "n0")
				}
			}
			v := a.View(now)
			if v.MinServers < 1 || v.MinServers > v.MaxServers || len(a.sorted) > 5 || len(a.sorted) != len(a.byName) {
				t.Fatalf("%+v with %d names", v, len(a.sorted))
			}
			if fmt.Sprint(v, a.Peers(now)) != fmt.Sprint(b.View(now), b.Peers(now)) {
				t.Fatal("two instances with the same input differ")
			}
			roster, heard := 1, 1
			for _, p := range a.Peers(now) {
				if p.Reachable && (!p.Alive || p.Departure != Present) {
					t.Fatalf("%+v", p)
				}
				if p.Departure == Present {
					roster++
				}
				if p.Reachable {
					heard++
				}
			}
			if v.Members != roster || v.Reachable != heard {
				t.Fatalf("counted %d of %d, kept %+v", heard, roster, v)
			}
			if v.InGracePeriod && v.State != Isolated {
				t.Fatalf("in its grace period, and reports %s", v.State)
			}
		}
	})
}

// Fleet status prints zones as JSON under these names.
func TestZoneJSON(t *testing.T) {
	got, err := json.Marshal(Zone{Name: "a", Members: 3, Reachable: 2})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"Name":"a","Roster":3,"Heard":2}`; string(got) != want {
		t.Errorf("%s, want %s", got, want)
	}
}
