package fleetsim

import (
	"testing"

	"sorrelvalve/decision/pool"
	"sorrelvalve/internal/standin/script"
)

// tenMembers configures a pool of ten members.
func tenMembers(shared bool, faults ...MemberFault) *BackendOptions {
	return &BackendOptions{
		Members: 10, RatePerServer: 4, MeanWorkMs: 20, SharedDetection: shared, TargetMs: 200, RetryableShare: 0.4, Capacity: 6, Faults: faults,
		PoolRules: pool.Config{
			MaxConnections: 32, ConsecutiveFailures: 5, LatencyFactor: 4, MinHealthyShare: 0.5, BaseEjection: 2000, SlowStart: 5000,
		},
	}
}

// TestSharedDetection checks at how many of 24 servers a faulty member is ejected some seconds into a fault, and that it is
// back in use some time after it.
func TestSharedDetection(t *testing.T) {
	one := func(f func(*MemberFault)) MemberFault {
		x := MemberFault{FromMs: 20e3, UntilMs: 35e3, Members: []int{3}}
		f(&x)
		return x
	}
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	for _, c := range []struct {
		name     string
		fault    MemberFault
		schedule string
		lying    []int
		minOut   int // servers that eject member 3, 6 s into the fault
		maxOut   int
		maxFalse int // ejections of sound members at a time, over all servers
	}{
		{"fails", one(func(x *MemberFault) { x.FailureRate = 1 }), "", nil, 24, 24, 0},
		{"says nothing, and one server lies", one(func(x *MemberFault) { x.NoResponse = true }), "", []int{7}, 24, 24, 0},
		{"says nothing, under loss", one(func(x *MemberFault) { x.NoResponse = true }), "15s loss *>* 0.3\n35s heal", nil, 20, 24, 2},
		{"answers every tenth", one(func(x *MemberFault) { x.FailureRate = 0.9 }), "", nil, 23, 24, 0},
		{"fails one RPC in five", one(func(x *MemberFault) { x.FailureRate = 0.2 }), "", nil, 0, 8, 24},
		{"for one server only", one(func(x *MemberFault) { x.FailureRate = 1; x.Servers = []int{4} }), "", nil, 0, 1, 0},
		{"from one zone only", one(func(x *MemberFault) { x.NoResponse = true; x.Zone = "z1" }), "", nil, 7, 8, 0},
		{"one server meets all as bad", one(func(x *MemberFault) {
			x.FailureRate = 1
			x.Members = all
			x.Servers = []int{4}
		}), "", nil, 0, 0, 0},
		{"all fail: all are used", one(func(x *MemberFault) { x.FailureRate = 1; x.Members = all }), "", nil, 0, 3, 0},
		{"all slow under load", one(func(x *MemberFault) { x.Slowdown = 8; x.Members = all }), "", nil, 0, 6, 0},
		{"restarted while it is out", one(func(x *MemberFault) { x.FailureRate = 1 }), "23s kill n1,n2,n3\n23100ms start n1,n2,n3", nil, 20, 24, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			v := tenMembers(true, c.fault)
			v.LyingServers = c.lying
			w := New(Options{Servers: 24, Zones: 3, Seed: 4, DurationMs: 62e3, Backends: v, Script: parseScript(t, c.schedule, 24)})
			for _, f := range w.Run().Findings {
				t.Errorf("%v", f)
			}
			if out := w.BackendSeries[26].EjectedAt[3]; out < c.minOut || out > c.maxOut {
				t.Errorf("out at %d servers, %d to %d wanted", out, c.minOut, c.maxOut)
			}
			for s, x := range w.BackendSeries[20:35] {
				if x.FalseEjections > c.maxFalse {
					t.Errorf("%d s into it %d sound members are out", s, x.FalseEjections)
					break
				}
			}
			for m, out := range w.BackendSeries[60].EjectedAt {
				if out > 0 {
					t.Errorf("25 s after it %d is out at %d servers", m, out)
				}
			}
		})
	}
}

// Under random faults between the servers the bound on ejections holds, and members are back in use after the last fault.
func TestSharedDetectionAtRandom(t *testing.T) {
	for seed := range int64(4) {
		v := tenMembers(true,
			MemberFault{FromMs: 5e3, UntilMs: 25e3, Members: []int{1, 2}, NoResponse: true},
			MemberFault{FromMs: 15e3, UntilMs: 30e3, Members: []int{5, 6, 7, 8}, FailureRate: 0.8})
		w := New(Options{
			Servers: 12, Zones: 3, Seed: uint64(seed), DurationMs: 70e3, Backends: v,
			Script: script.Random(seed, ServerNames(12), 30e9, 5),
		})
		for _, f := range w.Run().Findings {
			t.Errorf("seed %d: %v", seed, f)
		}
		if w.MaxEjectedShare() == 0 {
			t.Errorf("seed %d: nobody was out", seed)
		}
		for m, out := range w.BackendSeries[68].EjectedAt {
			if out > 0 {
				t.Errorf("seed %d: %d is out at %d servers at the end", seed, m, out)
			}
		}
	}
}
