package fleet

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

// The differences between views are named; a server in its grace period has no view yet.
func TestDifferences(t *testing.T) {
	view := func(name, settings string, listening bool, peers ...PeerStatus) Status {
		return Status{Name: name, SettingsHash: settings, Connectivity: "part", InGracePeriod: listening, Peers: peers}
	}
	heard := func(name string, start uint64) PeerStatus {
		return PeerStatus{Name: name, Generation: start, Reachable: true}
	}
	a := view("a", "s1", false, heard("b", 2), heard("c", 1))
	b := view("b", "s1", false, heard("a", 1), PeerStatus{Name: "c", Generation: 1})
	c := view("c", "s2", true, PeerStatus{Name: "a"}, heard("b", 1))
	d := view("d", "s1", false, heard("b", 1), PeerStatus{Name: "c", Departed: "left"})
	want := []string{"b is known by 2 different starts", "c is heard by a and not by b", "settings: s1 at a b d, s2 at c"}
	if got := Differences([]Status{a, b, c, d}); !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
	if got := Differences([]Status{a}); len(got) != 0 {
		t.Errorf("one view differs from itself: %q", got)
	}
	var out bytes.Buffer
	if err := WriteViews(&out, []Status{a}); err != nil {
		t.Fatal(err)
	}
	for _, s := range []string{"server", "part", "peer", "c  "} {
		if !strings.Contains(out.String(), s) {
			t.Errorf("%q is not told:\n%s", s, out.String())
		}
	}
}
