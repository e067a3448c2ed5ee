package fleetsim

import (
	"testing"

	"sorrelvalve/decision/release"
)

// Rollouts with each defect at 300 servers in three zones, with and without faults: a defective version never reaches more than
// the first two waves, a good one is not rolled back, and a rollback restores the old version everywhere.
func TestRollouts(t *testing.T) {
	rules := release.DefaultRules()
	rules.CanaryServers, rules.BakeMS, rules.MinRPCs = 3, 30e3, 300
	seen := map[VersionDefect]int{}
	for seed := uint64(1); seed <= 80; seed++ {
		x := RolloutRun{
			Servers: 300, Zones: 3, RatePerServer: 4, Seed: seed, Defect: VersionDefect(seed) % defectCount,
			Faults: seed%2 == 0, Rules: rules, CanaryAnalysis: true,
		}
		e := x.Run()
		seen[x.Defect]++
		if len(e.Errors) > 0 || e.Diverged > 0 {
			t.Errorf("seed %d, %s: %+v", seed, x.Defect, e)
		}
		if x.Defect == NoDefect && e.Phase != release.Completed {
			t.Errorf("seed %d: a good version is %s: %s", seed, e.Phase, e.Reason)
		}
		if x.Defect != NoDefect && e.ExposureMs >= 20e3 && (e.ServersReached > e.FirstTwoWaves || !e.Restored) {
			t.Errorf("seed %d, %s: reached %d, the first two waves are %d; %s: %s",
				seed, x.Defect, e.ServersReached, e.FirstTwoWaves, e.Phase, e.Reason)
		}
	}
	if len(seen) != int(defectCount) {
		t.Errorf("kinds seen: %v", seen)
	}
}
