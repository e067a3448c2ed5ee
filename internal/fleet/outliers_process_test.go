package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

const judgedSettings = `{"classes":[{"name":"view","aim":400000000,"give_up":1000000000}],"replicas_of_me":4,
"family_info":{"callers":3,"cores":4,"ram_kb":4000000,"run_factor":4},"rules":{"drain_grace":200000000,"cold":200000000,"tip_multiple":8}}`

// Four processes before four application servers, little traffic each: one that fails is out at all of them soon, a server
// that is killed and back holds it out, too, and halves that do not hear each other judge for themselves; after it is well
// again, and the cut healed, all are in use everywhere.
func TestJudgedByProcesses(t *testing.T) {
	cores := standin.NewCores(8, 8)
	t.Cleanup(cores.Close)
	var apps []*standin.App
	var addrs []string
	for range 4 {
		a, err := standin.NewApp(cores, standin.WorkFromBody, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Stop)
		apps, addrs = append(apps, a), append(addrs, a.Addr())
	}
	n := serverNames(4)
	pool := operator.Pool{Members: addrs, MaxConnections: 16, ConnectTimeoutMs: 250, MaxAnswerBytes: 4096, MaxFailures: 5, OutlierFactor: 4, MinShare: 0.5, EjectionMs: 1000, RecoveryMs: 1000,
		Retry: operator.Retry{Share: 0.2, Floor: 2, MaxAttempts: 2}}
	b := started(t, testbed.Options{Names: n, Seed: 4, Zone: func(i int) string { return []string{"z0", "z1"}[i%2] }, Cores: 2, SettingsJSON: judgedSettings,
		Operator: operator.File{Pools: map[string]operator.Pool{"apps": pool}, Methods: map[string]operator.Method{"view": {Pool: "apps", Path: "/view", Verb: "GET"}}}})
	ctx, end := context.WithCancel(context.Background())
	var load sync.WaitGroup
	defer load.Wait()
	defer end()
	for i, name := range n {
		load.Add(1)
		go func() {
			defer load.Done()
			router := standin.NewRouter(b.ListenAddr(name))
			defer router.Close()
			standin.LoadPlan{Rate: 8, Duration: 4 * time.Minute, Callers: 3, Seed: int64(i), Deadline: 1200 * time.Millisecond, Kinds: []standin.RequestKind{{Method: "view", Share: 1, MeanWorkMs: 2}}}.Run(ctx, map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker())
		}()
	}
	holds := func(out ...int) func(*testbed.Observation) bool {
		return func(p *testbed.Observation) bool {
			if len(p.Outliers) != 1 || len(p.Outliers[0].Members) != len(addrs) {
				return false
			}
			for _, m := range p.Outliers[0].Members {
				wanted := false
				for _, k := range out {
					wanted = wanted || addrs[k] == m.Name
				}
				if m.Ejected != wanted {
					return false
				}
			}
			return true
		}
	}
	await(t, b, n, holds())
	apps[1].SetFault(standin.ServerError)
	await(t, b, n, holds(1))
	do(t, b, "0s kill n2\n0s start n2")
	await(t, b, n, testbed.ExpectView("whole", 4)) // before n3 stops: who starts while one is stopped hears that one only after it goes on
	await(t, b, n, holds(1))
	do(t, b, "0s stop n3")
	await(t, b, n[:3], testbed.ExpectView("part", 3))
	do(t, b, "0s cont n3")
	await(t, b, n, testbed.ExpectView("whole", 4))
	await(t, b, n, holds(1))
	do(t, b, "0s split n0,n1|n2,n3")
	await(t, b, n, testbed.ExpectView("part", 2))
	apps[2].SetFault(standin.HangAfterRead)
	time.Sleep(2 * time.Second)
	do(t, b, "0s heal")
	await(t, b, n, testbed.ExpectView("whole", 4))
	await(t, b, n, holds(1, 2))
	apps[1].SetFault(standin.NoFault)
	apps[2].SetFault(standin.NoFault)
	await(t, b, n, holds())
}

// Members that are bad for one server, for one zone, that flap, a server that meets all as bad, and a pool of three of which two are
// bad: who is out where, and never more than may be.
func TestJudgedHardCases(t *testing.T) {
	cores := standin.NewCores(12, 8)
	t.Cleanup(cores.Close)
	laid := func(k int) (apps []*standin.App, addrs []string) {
		for range k {
			a, err := standin.NewApp(cores, standin.WorkFromBody, nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(a.Stop)
			apps, addrs = append(apps, a), append(addrs, a.Addr())
		}
		return apps, addrs
	}
	apps, addrs := laid(5)
	few, fewAddrs := laid(3)
	n := serverNames(6)
	pool := operator.Pool{Members: addrs, MaxConnections: 16, ConnectTimeoutMs: 250, MaxAnswerBytes: 4096, MaxFailures: 5, OutlierFactor: 4, MinShare: 0.5, EjectionMs: 1000, RecoveryMs: 1000,
		Retry: operator.Retry{Share: 0.2, Floor: 2, MaxAttempts: 2}}
	other := pool
	other.Members = fewAddrs
	set := strings.Replace(judgedSettings, `"classes":[`, `"classes":[{"name":"save","aim":400000000,"give_up":1000000000},`, 1)
	b := started(t, testbed.Options{Names: n, Seed: 11, Zone: func(i int) string { return fmt.Sprint("z", i%2) }, Cores: 2, SettingsJSON: set,
		Operator: operator.File{Pools: map[string]operator.Pool{"apps": pool, "few": other},
			Methods: map[string]operator.Method{"view": {Pool: "apps", Path: "/view", Verb: "GET"}, "save": {Pool: "few", Path: "/save", Verb: "GET"}}}})
	ctx, end := context.WithCancel(context.Background())
	var load sync.WaitGroup
	defer load.Wait()
	defer end()
	for i, name := range n {
		load.Go(func() {
			router := standin.NewRouter(b.ListenAddr(name))
			defer router.Close()
			mark := fmt.Sprintf("%s z%d", name, i%2)
			standin.LoadPlan{Rate: 25, Duration: 4 * time.Minute, Callers: 3, Seed: int64(i), Deadline: 1200 * time.Millisecond, Kinds: []standin.RequestKind{{Method: "view", Share: 0.7, MeanWorkMs: 2, BodySuffix: mark}, {Method: "save", Share: 0.3, MeanWorkMs: 2, BodySuffix: mark}}}.
				Run(ctx, map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker())
		})
	}
	outAt := func(p *testbed.Observation, pool string) (out []string) {
		for _, j := range p.Outliers {
			if j.Pool == pool {
				for _, m := range j.Members {
					if m.Ejected {
						out = append(out, m.Name)
					}
				}
			}
		}
		return out
	}
	holds := func(pool string, out ...string) func(*testbed.Observation) bool {
		return func(p *testbed.Observation) bool {
			got := outAt(p, pool)
			slices.Sort(got)
			slices.Sort(out)
			return len(p.Outliers) == 2 && slices.Equal(got, out)
		}
	}
	marked := func(mark string) func([]byte) bool {
		return func(body []byte) bool { return bytes.Contains(body, []byte(mark)) }
	}
	// stays watches for a while that nobody is out but who may be.
	stays := func(what, pool string, most int) {
		t.Helper()
		for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			for _, name := range n {
				if s, err := b.Status(name); err == nil {
					if got := outAt(&testbed.Observation{Status: s}, pool); len(got) > most {
						t.Fatalf("%s: %v out at %s, %d may be", what, got, name, most)
					}
				}
			}
		}
	}
	await(t, b, n, holds("apps"))

	apps[0].SetFaultFor(standin.ServerError, marked("n4 "))
	await(t, b, n[4:5], holds("apps", addrs[0]))
	await(t, b, append(slices.Clone(n[:4]), "n5"), holds("apps"))
	apps[0].SetFault(standin.NoFault)
	await(t, b, n, holds("apps"))

	apps[1].SetFaultFor(standin.ServerError, marked("z1"))
	await(t, b, []string{"n1", "n3", "n5"}, holds("apps", addrs[1]))
	await(t, b, []string{"n0", "n2", "n4"}, holds("apps"))
	apps[1].SetFault(standin.NoFault)
	await(t, b, n, holds("apps"))

	for _, a := range apps {
		a.SetFaultFor(standin.ServerError, marked("n2 "))
	}
	stays("one server meets all as bad", "apps", 0)
	for _, a := range apps {
		a.SetFault(standin.NoFault)
	}
	await(t, b, n, holds("apps"))

	for range 2 {
		apps[3].SetFault(standin.HangAfterRead)
		time.Sleep(3 * time.Second)
		apps[3].SetFault(standin.NoFault)
		time.Sleep(3 * time.Second)
	}
	await(t, b, n, holds("apps"))

	few[0].SetFault(standin.ServerError)
	few[2].SetFault(standin.ServerError)
	stays("two of three are bad", "few", 1)
	few[0].SetFault(standin.NoFault)
	few[2].SetFault(standin.NoFault)
	await(t, b, n, holds("few"))
}
