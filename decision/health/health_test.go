package health

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fixture is a Detector on a virtual clock. The peers in responding answer at each tick.
type fixture struct {
	*testing.T
	detector   *Detector
	now, wall  float64
	responding []string
}

func newFixture(t *testing.T, peers ...string) *fixture {
	f := &fixture{T: t, detector: New(DefaultConfig, "self", "a", 0, 1e12), wall: 1e12, responding: peers}
	for _, p := range peers {
		f.detector.AddMember(0, p, map[bool]string{true: "a", false: "b"}[p < "m"], 1, 7)
		f.detector.MarkAlive(0, p)
	}
	return f
}

// advance moves the clock in ticks of 100 ms.
func (f *fixture) advance(ms float64) {
	for end := f.now + ms; f.now < end; {
		f.now, f.wall = f.now+100, f.wall+100
		f.detector.Tick(f.now, f.wall)
		for _, p := range f.responding {
			f.detector.RecordAck(f.now, p)
		}
	}
}

func (f *fixture) expect(state ClusterState, minServers, maxServers int) {
	f.Helper()
	if v := f.detector.View(f.now); v.State != state || v.MinServers != minServers || v.MaxServers != maxServers {
		f.Errorf("view at %g ms: %s, %d to %d servers; want %s, %d to %d", f.now, v.State, v.MinServers, v.MaxServers, state, minServers, maxServers)
	}
}

func TestStates(t *testing.T) {
	f := newFixture(t, "b", "x", "y")
	f.advance(DefaultConfig.GracePeriod - 100)
	f.expect(Isolated, 1, 4) // in the grace period, although all peers are alive
	f.advance(DefaultConfig.StabilizationPeriod + 200)
	f.expect(Complete, 4, 4)
	f.detector.MarkSuspect(f.now, "y")
	f.expect(Partitioned, 3, 4) // a worse state takes effect at once
	if z := f.detector.View(f.now).Zones; !slices.Equal(z, []Zone{{"a", 2, 2}, {"b", 2, 1}}) {
		t.Errorf("zones: got %v, want 2 of 2 members of a reachable and 1 of 2 of b", z)
	}
	f.detector.MarkAlive(f.now, "y")
	f.expect(Partitioned, 4, 4) // a better state takes effect after StabilizationPeriod
	f.advance(DefaultConfig.StabilizationPeriod + 100)
	f.expect(Complete, 4, 4)
	f.responding = nil // no messages: isolated before the prober suspects any peer
	f.advance(DefaultConfig.SilenceTimeout + 100)
	f.expect(Isolated, 1, 4)
	for _, p := range []string{"b", "x", "y"} {
		f.detector.MarkSuspect(f.now, p)
	}
	if p := f.detector.Peers(f.now)[0]; p.SuspicionCount != 0 {
		t.Error("an isolated server counted a suspicion against a peer")
	}
	f.detector.MarkAlive(f.now, "x") // alive according to the prober, but without messages an isolated server rejoins all peers
	if got := f.detector.RejoinCandidates(); !slices.Equal(got, []string{"b", "x", "y"}) {
		t.Errorf("rejoin candidates of an isolated server: got %v, want b, x and y", got)
	}
	f.detector.MarkDeparted(f.now, "y", 1, Left)
	f.expect(Isolated, 1, 3)
	f.detector.AddMember(f.now, "y", "b", 1, 7) // an old record does not make it present again
	f.expect(Isolated, 1, 3)
	f.detector.AddMember(f.now, "y", "b", 2, 9) // its next incarnation does
	f.expect(Isolated, 1, 4)
}

// After a stall, a server discards its observations and counts no suspicion against its peers.
func TestOwnStall(t *testing.T) {
	for name, stop := range map[string]func(f *fixture){
		"stopped for 5 s":       func(f *fixture) { f.now, f.wall = f.now+5000, f.wall+5000 },
		"ticks 1.1 s late":      func(f *fixture) { f.now, f.wall = f.now+1100, f.wall+1100 },
		"machine suspended":     func(f *fixture) { f.now, f.wall = f.now+100, f.wall+60e3 },
		"wall clock steps back": func(f *fixture) { f.now, f.wall = f.now+100, f.wall-5000 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "b", "x")
			f.advance(5000)
			f.expect(Complete, 3, 3)
			stop(f)
			if !f.detector.Tick(f.now, f.wall) {
				t.Fatal("Tick did not report the stall")
			}
			f.expect(Isolated, 1, 3)
			f.detector.MarkSuspect(f.now, "x") // the prober acts on observations from before the stall
			if !f.detector.InGracePeriod(f.now) || f.detector.Peers(f.now)[1].SuspicionCount != 0 {
				t.Error("after a stall: no grace period, or a suspicion was counted")
			}
			f.detector.MarkAlive(f.now, "b")
			f.detector.MarkAlive(f.now, "x")
			f.advance(DefaultConfig.GracePeriod + DefaultConfig.StabilizationPeriod + 200)
			f.expect(Complete, 3, 3)
		})
	}
	f := newFixture(t, "b")
	f.advance(5000)
	f.now, f.wall = f.now+900, f.wall+900 // a pause too short to have caused a suspicion
	if f.detector.Tick(f.now, f.wall); f.detector.View(f.now).StallCount != 0 {
		t.Error("a pause of 0.9 s was counted as a stall")
	}
}

// A server that never had contact reports that its upper bound is unknown. A server with ExpectedServers does not report a
// smaller cluster as complete.
func TestMaxUnknown(t *testing.T) {
	f := newFixture(t)
	f.advance(5000)
	if v := f.detector.View(f.now); !v.MaxUnknown || v.State != Isolated {
		t.Errorf("view without any contact: got %+v, want isolated with an unknown maximum", v)
	}
	f.detector.MarkAlive(f.now, "x")
	f.responding = []string{"x"}
	f.advance(2000)
	f.expect(Complete, 2, 2)
	f.detector.config.ExpectedServers = 4
	f.detector.updateState(f.now)
	f.expect(Partitioned, 2, 4)
}

func TestContact(t *testing.T) {
	f := newFixture(t, "b", "c", "d", "e")
	f.responding = nil
	f.advance(20e3)
	for range 20 {
		f.advance(100)
		f.detector.RecordAck(f.now, "b")
		f.detector.RecordMessage(f.now, "c") // its messages arrive, but it does not answer
		f.detector.RecordIndirect(f.now, "d", "b")
		f.detector.RecordMessage(f.now, "") // a message from an unknown sender proves no contact
	}
	f.detector.MarkSuspect(f.now, "e")
	for name, want := range map[string]Contact{"b": Bidirectional, "c": InboundOnly, "d": IndirectContact, "e": NoContact, "nobody": NoContact} {
		if got := f.detector.Contact(f.now, name); got != want {
			t.Errorf("%s: contact %s, want %s", name, got, want)
		}
	}
	if p := f.detector.Peers(f.now); p[2].Via != "b" || p[0].LastContactAge != 0 || !p[3].Unconfirmed {
		t.Errorf("peers: got %+v, want d relayed by b, a last contact with b 0 ms ago, and e unconfirmed", p)
	}
}

func TestFlapping(t *testing.T) {
	f := newFixture(t, "b", "x")
	f.advance(5000)
	flap := func() {
		f.detector.MarkSuspect(f.now, "x")
		f.advance(500)
		f.detector.MarkAlive(f.now, "x")
		f.advance(1500)
	}
	for range 8 {
		flap()
		f.advance(8000)
		f.expect(Complete, 3, 3) // every 10 s, as from independent faults
	}
	for range 4 {
		flap()
	}
	if p := f.detector.Peers(f.now)[1]; !p.FlapDamped || p.Reachable {
		t.Errorf("peer suspected four times in eight seconds is not damped: %+v", p)
	}
	f.expect(Partitioned, 2, 3)
	f.advance(maxHoldDown + 1000)
	f.expect(Complete, 3, 3)
}

func TestDuplicateNames(t *testing.T) {
	f := newFixture(t, "b")
	for i, incarnation := range []uint64{7, 9, 7} { // the two supersede each other in turn
		f.detector.AddMember(f.now, "b", "a", uint64(i+1), incarnation)
		f.advance(500)
	}
	if !f.detector.Peers(f.now)[0].DuplicateName {
		t.Error("two alternating incarnations were not detected as a duplicate name")
	}
	f = newFixture(t, "b")
	f.detector.AddMember(f.now, "b", "a", 2, 9)
	f.detector.AddMember(f.now, "b", "a", 3, 11)
	if f.detector.Peers(f.now)[0].DuplicateName {
		t.Error("two restarts were reported as a duplicate name")
	}
}

func TestIdentity(t *testing.T) {
	id := Identity{Generation: 1, Incarnation: 5}
	if refuted, _ := id.Refute(0, 1, 5); refuted {
		t.Error("a server refuted its own record")
	}
	if refuted, duplicate := id.Refute(0, 4, 99); !refuted || duplicate || id.Generation != 5 {
		t.Errorf("generation after a restart: got %d, want 5 and no duplicate name", id.Generation)
	}
	if refuted, _ := id.Refute(10, 4, 99); refuted {
		t.Error("an older record of the former incarnation raised the generation again")
	}
	duplicate := false
	for n := range 6 {
		_, duplicate = id.Refute(float64(100*n), id.Generation, 99)
	}
	if !duplicate {
		t.Error("a second process that keeps using the name was not detected")
	}
}

// For events in any order, the bounds on the cluster size are consistent, the membership list is limited, and no departed or
// suspected peer counts as reachable. Two instances with the same input return the same reports.
func TestAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig
		config.MaxPeers = 5
		a, b := New(config, "self", "z", 0, 0), New(config, "self", "z", 0, 0)
		now := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			name := rapid.SampledFrom([]string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "self", ""}).Draw(t, "name")
			event := rapid.IntRange(0, 8).Draw(t, "event")
			dt := rapid.SampledFrom([]float64{0, 50, 100, 400, 900, 1200}).Draw(t, "dt")
			generation := rapid.Uint64Range(0, 3).Draw(t, "generation")
			now += dt
			for _, d := range []*Detector{a, b} {
				switch event {
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
				t.Fatalf("inconsistent bounds or list: view %+v, %d members listed", v, len(a.sorted))
			}
			if fmt.Sprint(v, a.Peers(now)) != fmt.Sprint(b.View(now), b.Peers(now)) {
				t.Fatal("two instances with the same input return different reports")
			}
			members, reachable := 1, 1
			for _, p := range a.Peers(now) {
				if p.Reachable && (!p.Alive || p.Departure != Present) {
					t.Fatalf("departed or suspected peer counts as reachable: %+v", p)
				}
				if p.Departure == Present {
					members++
				}
				if p.Reachable {
					reachable++
				}
			}
			if v.Members != members || v.Reachable != reachable {
				t.Fatalf("peers: %d of %d reachable, view: %+v", reachable, members, v)
			}
			if v.InGracePeriod && v.State != Isolated {
				t.Fatalf("state in the grace period: got %s, want the isolated state", v.State)
			}
		}
	})
}

// Fleet status prints zones as JSON with these names.
func TestZoneJSON(t *testing.T) {
	got, err := json.Marshal(Zone{Name: "a", Members: 3, Reachable: 2})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"Name":"a","Roster":3,"Heard":2}`; string(got) != want {
		t.Errorf("JSON of a zone: %s, want %s", got, want)
	}
}
