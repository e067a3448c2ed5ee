package fleetsim

import (
	"testing"

	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/standin/script"
)

// quotaFor configures a quota of 50 RPCs per second and server, under a higher load.
func quotaFor(servers int) *QuotaOptions {
	n := float64(servers)
	return &QuotaOptions{
		Rules: quota.Limit{
			Kind: quota.Rate, Capacity: 50 * n, Burst: 12.5 * n, Servers: servers, Floor: 2,
			MaxLeaseDuration: 4000, ClockDrift: defaultClockDrift,
		},
		StickyServers: max(1, servers/8), RatePerCustomer: 60 * n, MoveIntervalMs: 10e3, UniformRate: 1,
	}
}

// Under known faults the capacity, the floors and the ledgers hold, as the checker sees them, and after the last fault a
// customer whose callers stick to few servers gets nearly the whole quota again.
func TestQuotaUnderKnownFaults(t *testing.T) {
	for name, text := range map[string]string{
		"calm":                                "",
		"halves, for longer than a loan":      "15s split n0,n1,n2,n3|n4,n5,n6,n7\n30s heal",
		"lender killed and back at once":      "15s kill n1,n2,n3\n15100ms start n1,n2,n3",
		"borrower killed":                     "15s kill n0,n7\n15100ms start n0,n7",
		"all at once":                         "15s kill *\n15200ms start *",
		"stopped for longer than a loan":      "15s stop n0,n7\n20s cont n0,n7\n25s stop n1,n2,n3\n27s cont n1,n2,n3",
		"loss, late answers, doubles":         "12s loss *>* 0.3\n12s delay *>* 200ms 2s\n12s mess *>* 0.3\n30s heal",
		"answers later than a loan lasts":     "12s delay *>* 3s 3s\n30s heal",
		"one way":                             "12s cut n0>*\n22s cut *>n7\n30s heal",
		"clocks apart by the drift, and step": "0s rate n0 1.001\n0s rate n1 0.999\n15s jump n0 60s\n18s jump n1 -60s",
		"leave and join":                      "15s term n3,n4\n21s start n3,n4",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := quotaFor(8)
			w := New(Options{Servers: 8, Zones: 2, Seed: 3, DurationMs: 60e3, Quota: b, Script: parseScript(t, text, 8)})
			r := w.Run()
			for _, f := range r.Findings {
				t.Errorf("%v", f)
			}
			taken := 0
			for _, x := range w.QuotaSeries[52:60] {
				taken += x.Admitted
			}
			if most := 8 * b.Rules.Capacity; float64(taken) < 0.9*most {
				t.Errorf("in the last eight seconds %d of %g", taken, most)
			}
		})
	}
}

// Under random faults the quota holds. A fault injected into the servers breaks it, is found, and shrinks to a few steps.
func TestQuotaAtRandom(t *testing.T) {
	type fault struct {
		injected injectedFault
		drift    float64 // clocks that are worse than the limit states
	}
	options := func(seed int64, f fault, s script.Script) Options {
		return Options{
			Servers: 12, Zones: 3, Seed: uint64(seed), DurationMs: 50e3, Quota: quotaFor(12), Script: s,
			injected: f.injected, MaxClockDrift: f.drift,
		}
	}
	fails := func(o Options) bool {
		for _, f := range New(o).Run().Findings {
			if f.Checker == "budgets" {
				return true
			}
		}
		return false
	}
	draw := func(seed int64) script.Script { return script.Random(seed, ServerNames(12), 30e9, 8) }
	for seed := range int64(6) {
		if fails(options(seed, fault{}, draw(seed))) {
			t.Errorf("seed %d: a bound was broken", seed)
		}
	}
	for _, p := range []fault{{skipLeaseQuarantine, 0}, {noInjectedFault, 0.1}} {
		found := int64(-1)
		for seed := int64(0); seed < 40 && found < 0; seed++ {
			if fails(options(seed, p, draw(seed))) {
				found = seed
			}
		}
		if found < 0 {
			t.Errorf("the fault %v was not found in 40 schedules", p)
			continue
		}
		less := script.Shrink(draw(found), func(s script.Script) bool { return fails(options(found, p, s.WithRecovery(30e9))) })
		if len(less) > 5 {
			t.Errorf("the fault %v: %d acts are left\n%s", p, len(less), less)
		}
	}
}
