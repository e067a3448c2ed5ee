package health

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// bed is one instance on a virtual clock, whose peers speak while they are told to.
type bed struct {
	*testing.T
	h         *Detector
	now, wall float64
	speak     []string
}

func newBed(t *testing.T, peers ...string) *bed {
	b := &bed{T: t, h: New(DefaultConfig, "self", "a", 0, 1e12), wall: 1e12, speak: peers}
	for _, p := range peers {
		b.h.AddMember(0, p, map[bool]string{true: "a", false: "b"}[p < "m"], 1, 7)
		b.h.MarkAlive(0, p)
	}
	return b
}

// run lets time pass by ticks of 100 ms.
func (b *bed) run(ms float64) {
	for end := b.now + ms; b.now < end; {
		b.now, b.wall = b.now+100, b.wall+100
		b.h.Tick(b.now, b.wall)
		for _, p := range b.speak {
			b.h.RecordAck(b.now, p)
		}
	}
}

func (b *bed) want(state ClusterState, atLeast, atMost int) {
	b.Helper()
	if v := b.h.View(b.now); v.State != state || v.MinServers != atLeast || v.MaxServers != atMost {
		b.Errorf("at %g ms: %s, %d to %d servers; want %s, %d to %d", b.now, v.State, v.MinServers, v.MaxServers, state, atLeast, atMost)
	}
}

func TestStates(t *testing.T) {
	b := newBed(t, "b", "x", "y")
	b.run(DefaultConfig.GracePeriod - 100)
	b.want(Isolated, 1, 4) // listens first, though all are there
	b.run(DefaultConfig.StabilizationPeriod + 200)
	b.want(Complete, 4, 4)
	b.h.MarkSuspect(b.now, "y")
	b.want(Partitioned, 3, 4) // down at once
	if z := b.h.View(b.now).Zones; !slices.Equal(z, []Zone{{"a", 2, 2}, {"b", 2, 1}}) {
		t.Errorf("zones %v", z)
	}
	b.h.MarkAlive(b.now, "y")
	b.want(Partitioned, 4, 4) // up after Settle
	b.run(DefaultConfig.StabilizationPeriod + 100)
	b.want(Complete, 4, 4)
	b.speak = nil // cut off: alone before the detector has called anybody silent
	b.run(DefaultConfig.SilenceTimeout + 100)
	b.want(Isolated, 1, 4)
	for _, p := range []string{"b", "x", "y"} {
		b.h.MarkSuspect(b.now, p)
	}
	if p := b.h.Peers(b.now)[0]; p.SuspicionCount != 0 {
		t.Error("a server that hears nothing holds losses against its peers")
	}
	b.h.MarkAlive(b.now, "x") // the detector takes it for alive, and not a word comes: who hears nobody joins everybody
	if got := b.h.RejoinCandidates(); !slices.Equal(got, []string{"b", "x", "y"}) {
		t.Errorf("alone, and joins %v", got)
	}
	b.h.MarkDeparted(b.now, "y", 1, Left)
	b.want(Isolated, 1, 3)
	b.h.AddMember(b.now, "y", "b", 1, 7) // an old record does not bring it back
	b.want(Isolated, 1, 3)
	b.h.AddMember(b.now, "y", "b", 2, 9) // its next life does
	b.want(Isolated, 1, 4)
}

// Whoever stalled has heard nothing, and holds nothing against anybody.
func TestOwnStall(t *testing.T) {
	for name, stop := range map[string]func(b *bed){
		"stopped for 5 s":       func(b *bed) { b.now, b.wall = b.now+5000, b.wall+5000 },
		"ticks 1.1 s late":      func(b *bed) { b.now, b.wall = b.now+1100, b.wall+1100 },
		"machine suspended":     func(b *bed) { b.now, b.wall = b.now+100, b.wall+60e3 },
		"wall clock steps back": func(b *bed) { b.now, b.wall = b.now+100, b.wall-5000 },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "b", "x")
			b.run(5000)
			b.want(Complete, 3, 3)
			stop(b)
			if !b.h.Tick(b.now, b.wall) {
				t.Fatal("it did not see its own stall")
			}
			b.want(Isolated, 1, 3)
			b.h.MarkSuspect(b.now, "x") // the detector's old knowledge
			if !b.h.InGracePeriod(b.now) || b.h.Peers(b.now)[1].SuspicionCount != 0 {
				t.Error("it judges by what it knew before")
			}
			b.h.MarkAlive(b.now, "b")
			b.h.MarkAlive(b.now, "x")
			b.run(DefaultConfig.GracePeriod + DefaultConfig.StabilizationPeriod + 200)
			b.want(Complete, 3, 3)
		})
	}
	b := newBed(t, "b")
	b.run(5000)
	b.now, b.wall = b.now+900, b.wall+900 // a pause that no judgement can have come from
	if b.h.Tick(b.now, b.wall); b.h.View(b.now).StallCount != 0 {
		t.Error("a pause of 0.9 s counts as a stall")
	}
}

// A fresh server knows that it does not know; one that is told how many to expect does not take a part for the whole.
func TestBlind(t *testing.T) {
	b := newBed(t)
	b.run(5000)
	if v := b.h.View(b.now); !v.MaxUnknown || v.State != Isolated {
		t.Errorf("%+v", v)
	}
	b.h.MarkAlive(b.now, "x")
	b.speak = []string{"x"}
	b.run(2000)
	b.want(Complete, 2, 2)
	b.h.r.ExpectedServers = 4
	b.h.settle(b.now)
	b.want(Partitioned, 2, 4)
}

func TestContact(t *testing.T) {
	b := newBed(t, "b", "c", "d", "e")
	b.speak = nil
	b.run(20e3)
	for range 20 {
		b.run(100)
		b.h.RecordAck(b.now, "b")
		b.h.RecordMessage(b.now, "c") // its packets come, ours do not get there
		b.h.RecordIndirect(b.now, "d", "b")
		b.h.RecordMessage(b.now, "") // an unknown sender says nothing of anybody
	}
	b.h.MarkSuspect(b.now, "e")
	for name, want := range map[string]Contact{"b": Bidirectional, "c": InboundOnly, "d": IndirectContact, "e": NoContact, "nobody": NoContact} {
		if got := b.h.Contact(b.now, name); got != want {
			t.Errorf("%s: contact %s, want %s", name, got, want)
		}
	}
	if p := b.h.Peers(b.now); p[2].Via != "b" || p[0].LastContactAge != 0 || !p[3].Unconfirmed {
		t.Errorf("%+v", p)
	}
}

func TestFlapping(t *testing.T) {
	b := newBed(t, "b", "x")
	b.run(5000)
	flap := func() {
		b.h.MarkSuspect(b.now, "x")
		b.run(500)
		b.h.MarkAlive(b.now, "x")
		b.run(1500)
	}
	for range 8 {
		flap()
		b.run(8000)
		b.want(Complete, 3, 3) // each 10 s: faults of their own
	}
	for range 4 {
		flap()
	}
	if p := b.h.Peers(b.now)[1]; !p.FlapDamped || p.Reachable {
		t.Errorf("four times in eight seconds, and it still counts: %+v", p)
	}
	b.want(Partitioned, 2, 3)
	b.run(longestSettle + 1000)
	b.want(Complete, 3, 3)
}

func TestTwins(t *testing.T) {
	b := newBed(t, "b")
	for i, life := range []uint64{7, 9, 7} { // each goes before the other's start, in turn
		b.h.AddMember(b.now, "b", "a", uint64(i+1), life)
		b.run(500)
	}
	if !b.h.Peers(b.now)[0].DuplicateName {
		t.Error("two lives that speak in turn are not told from a restart")
	}
	b = newBed(t, "b")
	b.h.AddMember(b.now, "b", "a", 2, 9)
	b.h.AddMember(b.now, "b", "a", 3, 11)
	if b.h.Peers(b.now)[0].DuplicateName {
		t.Error("two restarts are taken for two processes")
	}
}

func TestIdentity(t *testing.T) {
	i := Identity{Generation: 1, Incarnation: 5}
	if raised, _ := i.Refute(0, 1, 5); raised {
		t.Error("it gives way to itself")
	}
	if raised, twin := i.Refute(0, 4, 99); !raised || twin || i.Generation != 5 {
		t.Errorf("after a restart: start %d", i.Generation)
	}
	if raised, _ := i.Refute(10, 4, 99); raised {
		t.Error("an older record of the former life raises it again")
	}
	twin := false
	for n := range 6 {
		_, twin = i.Refute(float64(100*n), i.Generation, 99)
	}
	if !twin {
		t.Error("a name that another keeps taking is not seen")
	}
}

// Whatever happens, in whatever order: the safe ends hold, the table is bounded, nothing counts as there that has left or
// that the detector lost, and two instances told the same say the same.
func TestAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := DefaultConfig
		r.MaxPeers = 5
		a, b := New(r, "self", "z", 0, 0), New(r, "self", "z", 0, 0)
		now := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "acts") {
			name := rapid.SampledFrom([]string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "self", ""}).Draw(t, "name")
			act := rapid.IntRange(0, 8).Draw(t, "act")
			dt := rapid.SampledFrom([]float64{0, 50, 100, 400, 900, 1200}).Draw(t, "dt")
			start := rapid.Uint64Range(0, 3).Draw(t, "start")
			now += dt
			for _, h := range []*Detector{a, b} {
				switch act {
				case 0, 1:
					h.Tick(now, now)
				case 2:
					h.AddMember(now, name, "z", start, start*3)
				case 3, 4:
					h.MarkAlive(now, name)
				case 5:
					h.MarkSuspect(now, name)
				case 6:
					h.MarkDeparted(now, name, start, Left)
				case 7:
					h.RecordAck(now, name)
				case 8:
					h.RecordIndirect(now, name, "n0")
				}
			}
			v := a.View(now)
			if v.MinServers < 1 || v.MinServers > v.MaxServers || len(a.order) > 5 || len(a.order) != len(a.peers) {
				t.Fatalf("%+v with %d names", v, len(a.order))
			}
			if fmt.Sprint(v, a.Peers(now)) != fmt.Sprint(b.View(now), b.Peers(now)) {
				t.Fatal("two instances that were told the same differ")
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
				t.Fatalf("it listens, and says %s", v.State)
			}
		}
	})
}
