package fleetsim

import (
	"testing"

	"sorrelvalve/decision/release"
)

// Releases of each kind at 300 servers in three zones, with faults: a bad one never reaches more than the canary and one wave, a good one
// is not taken back, and what was taken back is as it was.
func TestReleases(t *testing.T) {
	rules := release.DefaultRules()
	rules.CanaryServers, rules.BakeMS, rules.MinRPCs = 3, 30e3, 300
	seen := map[Bad]int{}
	for seed := uint64(1); seed <= 80; seed++ {
		x := ReleaseRun{Servers: 300, Zones: 3, Rate: 4, Seed: seed, Bad: Bad(seed) % bads, Faults: seed%2 == 0, Rules: rules, Judged: true}
		e := x.Run()
		seen[x.Bad]++
		if len(e.Wrong) > 0 || e.Mixed > 0 {
			t.Errorf("seed %d, %s: %+v", seed, x.Bad, e)
		}
		if x.Bad == Good && e.Phase != release.Completed {
			t.Errorf("seed %d: a good version is %s: %s", seed, e.Phase, e.Why)
		}
		if x.Bad != Good && e.Shown >= 20e3 && (e.Reached > e.Second || !e.Restored) {
			t.Errorf("seed %d, %s: reached %d, the first two waves are %d; %s: %s", seed, x.Bad, e.Reached, e.Second, e.Phase, e.Why)
		}
	}
	if len(seen) != int(bads) {
		t.Errorf("kinds seen: %v", seen)
	}
}
