package fleet

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

// Differences describes where views differ, and leaves out servers in their grace period, which have no view yet.
func TestDifferences(t *testing.T) {
	view := func(name, settings string, inGracePeriod bool, peers ...PeerStatus) Status {
		return Status{Name: name, SettingsHash: settings, Connectivity: "part", InGracePeriod: inGracePeriod, Peers: peers}
	}
	reachable := func(name string, generation uint64) PeerStatus {
		return PeerStatus{Name: name, Generation: generation, Reachable: true}
	}
	a := view("a", "s1", false, reachable("b", 2), reachable("c", 1))
	b := view("b", "s1", false, reachable("a", 1), PeerStatus{Name: "c", Generation: 1})
	c := view("c", "s2", true, PeerStatus{Name: "a"}, reachable("b", 1))
	d := view("d", "s1", false, reachable("b", 1), PeerStatus{Name: "c", Departed: "left"})
	want := []string{"b is known by 2 different starts", "c is heard by a and not by b", "settings: s1 at a b d, s2 at c"}
	if got := Differences([]Status{a, b, c, d}); !slices.Equal(got, want) {
		t.Errorf("differences: got %q, want %q", got, want)
	}
	if got := Differences([]Status{a}); len(got) != 0 {
		t.Errorf("differences of a single view: got %q", got)
	}
	var out bytes.Buffer
	if err := WriteViews(&out, []Status{a}); err != nil {
		t.Fatal(err)
	}
	for _, s := range []string{"server", "part", "peer", "c  "} {
		if !strings.Contains(out.String(), s) {
			t.Errorf("%q is missing from the tables:\n%s", s, out.String())
		}
	}
}
