package fleet_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

const sharedSettings = `{"classes":[{"name":"view","aim":400000000,"give_up":1000000000}],"customers":[{"name":"acme","quota_rps":80}],"over_share_worth":0,
"replicas_of_me":4,"family_info":{"callers":3,"cores":4,"ram_kb":4000000,"run_factor":4},"limits":{"retry_after":true,"max_retry_after":1000000000},
"rules":{"drain_grace":200000000,"cold":200000000,"tip_multiple":8}}`

// Four processes share a customer's quota, and the customer's callers at one process get nearly all of it. In no second do the processes admit
// more than bound and burst, and the other RPCs are rejected with a retry-after time. That holds while messages are lost, duplicated and
// delayed, a lease holder is killed, grantors are killed and restarted at once, a server leaves and joins, a lease holder is stopped for longer
// than a lease lasts, and the quota shrinks while leases are held.
func TestQuotaOfProcesses(t *testing.T) {
	const bound, burst = 80.0, 12.0
	checker := standin.NewInvariantChecker("view")
	names := serverNames(4)
	customerQuota := func(bound float64) *operator.Budgets {
		return &operator.Budgets{Servers: 4, ClockDrift: 1e-3, Customers: map[string]operator.Budget{"acme": {Bound: bound, Burst: burst, Floor: 0.5, MaxLeaseMs: 1000}}}
	}
	bed := startBed(t, testbed.Options{Names: names, Seed: 9, Cores: 4, Invariants: checker, SettingsJSON: sharedSettings, Operator: operator.File{Budgets: customerQuota(bound)}})
	sendFor := func(name string, rate float64, length time.Duration, seed int64) (samples []standin.Sample) {
		router := standin.NewRouter(bed.ListenAddr(name))
		defer router.Close()
		return standin.LoadPlan{Rate: rate, Duration: length, Callers: 3, Seed: seed, Deadline: 1200 * time.Millisecond, Customers: []string{"acme"},
			Kinds: []standin.RequestKind{{Method: "view", Share: 1, MeanWorkMs: 1}}}.Run(context.Background(), map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker())
	}
	sendFor("n0", 120, 3*time.Second, 1) // until the startup is over and leases are granted
	await(t, bed, names[:1], func(p *testbed.Observation) bool {
		if p.Budgets == nil || len(p.Budgets.Quotas) == 0 || p.Budgets.Quotas[0].Leased < 40 {
			sendFor("n0", 120, 500*time.Millisecond, 2)
			return false
		}
		return true
	})
	rejected, withRetryAfter := 0, 0
	for _, s := range sendFor("n0", 160, time.Second, 3) {
		if s.Outcome == standin.Rejected {
			if rejected++; s.RetryAfterMs > 0 {
				withRetryAfter++
			}
		}
	}
	if rejected < 20 || withRetryAfter < rejected/2 {
		t.Errorf("of 160 RPCs, %d were rejected, %d of these with a retry-after time", rejected, withRetryAfter)
	}
	// Messages are lost, duplicated, reordered, and delayed for longer than a lease; a lease holder is killed; a server leaves.
	applyScript(t, bed, "0s loss *>* 0.3\n0s mess *>* 0.3\n0s delay *>* 200ms 1500ms")
	var senders sync.WaitGroup
	for i, name := range []string{"n0", "n3"} {
		senders.Go(func() { sendFor(name, 140, 2500*time.Millisecond, int64(10+i)) })
	}
	time.Sleep(time.Second)
	applyScript(t, bed, "0s kill n0\n0s start n0\n0s term n2")
	senders.Wait()
	applyScript(t, bed, "0s heal")
	for deadline := time.Now().Add(waitTimeout); bed.Processes.Running("n2") && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	applyScript(t, bed, "0s start n2")
	await(t, bed, names, testbed.ExpectView("whole", 4))
	sendFor("n0", 120, 2500*time.Millisecond, 12)
	applyScript(t, bed, "0s kill n1,n2\n0s start n1,n2\n0s stop n0")
	sendFor("n3", 120, 1800*time.Millisecond, 4)
	applyScript(t, bed, "0s cont n0")
	sendFor("n0", 160, time.Second, 5)
	maxPerSecond := 0
	times := checker.RunTimes()
	for from, to := 0, 0; to < len(times); to++ {
		for times[to].Sub(times[from]) >= time.Second {
			from++
		}
		maxPerSecond = max(maxPerSecond, to-from+1)
	}
	if maxPerSecond > bound+burst || maxPerSecond < bound/2 {
		t.Errorf("most RPCs run within a second: got %d, bound %g, burst %g", maxPerSecond, bound, burst)
	}
	await(t, bed, names, testbed.ExpectView("whole", 4))
	for _, name := range names {
		if err := bed.Reload(name, func(f *operator.File) { f.Budgets = customerQuota(20) }); err != nil {
			t.Fatal(err)
		}
	}
	await(t, bed, names, func(p *testbed.Observation) bool { // until the leases of the larger quota have expired
		if p.Budgets == nil {
			return false
		}
		for _, quota := range p.Budgets.Quotas {
			if quota.Owned != 5 || quota.Capacity > 20 {
				return false
			}
		}
		return true
	})
	succeeded := 0
	for _, s := range sendFor("n0", 120, 2*time.Second, 6) {
		if s.Outcome == standin.OK {
			succeeded++
		}
	}
	if succeeded > 2*20+burst {
		t.Errorf("%d RPCs succeeded in two seconds with a quota of 20 per second", succeeded)
	}
}
