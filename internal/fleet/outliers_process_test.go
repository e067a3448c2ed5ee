package fleet_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

const detectionSettings = `{"classes":[{"name":"view","aim":400000000,"give_up":1000000000}],"replicas_of_me":4,
"family_info":{"callers":3,"cores":4,"ram_kb":4000000,"run_factor":4},"rules":{"drain_grace":200000000,"cold":200000000,"tip_multiple":8}}`

// Four servers send little traffic each to four application servers. A failing application server is soon ejected at all servers, also at one
// that was killed and restarted. During a partition each half ejects members by itself. After the members have recovered and the partition has
// healed, all members are in use at all servers.
func TestOutliersOfProcesses(t *testing.T) {
	cores := standin.NewCores(8, 8)
	t.Cleanup(cores.Close)
	var apps []*standin.App
	var addrs []string
	for range 4 {
		app, err := standin.NewApp(cores, standin.WorkFromBody, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(app.Stop)
		apps, addrs = append(apps, app), append(addrs, app.Addr())
	}
	names := serverNames(4)
	pool := operator.Pool{Members: addrs, MaxConnections: 16, ConnectTimeoutMs: 250, MaxAnswerBytes: 4096, MaxFailures: 5, OutlierFactor: 4, MinShare: 0.5, EjectionMs: 1000, RecoveryMs: 1000,
		Retry: operator.Retry{Share: 0.2, Floor: 2, MaxAttempts: 2}}
	bed := startBed(t, testbed.Options{Names: names, Seed: 4, Zone: func(i int) string { return []string{"z0", "z1"}[i%2] }, Cores: 2, SettingsJSON: detectionSettings,
		Operator: operator.File{Pools: map[string]operator.Pool{"apps": pool}, Methods: map[string]operator.Method{"view": {Pool: "apps", Path: "/view", Verb: "GET"}}}})
	startLoad(t, bed, 8, viewRequests)
	ejected := func(expected ...int) func(*testbed.Observation) bool {
		return func(p *testbed.Observation) bool {
			if len(p.Outliers) != 1 || len(p.Outliers[0].Members) != len(addrs) {
				return false
			}
			for _, m := range p.Outliers[0].Members {
				wantEjected := false
				for _, k := range expected {
					wantEjected = wantEjected || addrs[k] == m.Name
				}
				if m.Ejected != wantEjected {
					return false
				}
			}
			return true
		}
	}
	await(t, bed, names, ejected())
	apps[1].SetFault(standin.ServerError)
	await(t, bed, names, ejected(1))
	applyScript(t, bed, "0s kill n2\n0s start n2")
	await(t, bed, names, testbed.ExpectView("whole", 4)) // before n3 is stopped: a server that starts meanwhile would not reach n3 until n3 continues
	await(t, bed, names, ejected(1))
	applyScript(t, bed, "0s stop n3")
	await(t, bed, names[:3], testbed.ExpectView("part", 3))
	applyScript(t, bed, "0s cont n3")
	await(t, bed, names, testbed.ExpectView("whole", 4))
	await(t, bed, names, ejected(1))
	applyScript(t, bed, "0s split n0,n1|n2,n3")
	await(t, bed, names, testbed.ExpectView("part", 2))
	apps[2].SetFault(standin.HangAfterRead)
	time.Sleep(2 * time.Second)
	applyScript(t, bed, "0s heal")
	await(t, bed, names, testbed.ExpectView("whole", 4))
	await(t, bed, names, ejected(1, 2))
	apps[1].SetFault(standin.NoFault)
	apps[2].SetFault(standin.NoFault)
	await(t, bed, names, ejected())
}

// A member that fails for one server only is ejected only there, and one that fails for one zone only in that zone. A server for which all
// members fail ejects none. A member that flaps is in use in the end. In a pool of three of which two fail, never more members than allowed are
// ejected.
func TestOutliersHardCases(t *testing.T) {
	cores := standin.NewCores(12, 8)
	t.Cleanup(cores.Close)
	startApps := func(count int) (apps []*standin.App, addrs []string) {
		for range count {
			app, err := standin.NewApp(cores, standin.WorkFromBody, nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(app.Stop)
			apps, addrs = append(apps, app), append(addrs, app.Addr())
		}
		return apps, addrs
	}
	apps, addrs := startApps(5)
	few, fewAddrs := startApps(3)
	names := serverNames(6)
	pool := operator.Pool{Members: addrs, MaxConnections: 16, ConnectTimeoutMs: 250, MaxAnswerBytes: 4096, MaxFailures: 5, OutlierFactor: 4, MinShare: 0.5, EjectionMs: 1000, RecoveryMs: 1000,
		Retry: operator.Retry{Share: 0.2, Floor: 2, MaxAttempts: 2}}
	smallPool := pool
	smallPool.Members = fewAddrs
	settings := strings.Replace(detectionSettings, `"classes":[`, `"classes":[{"name":"save","aim":400000000,"give_up":1000000000},`, 1)
	bed := startBed(t, testbed.Options{Names: names, Seed: 11, Zone: func(i int) string { return fmt.Sprint("z", i%2) }, Cores: 2, SettingsJSON: settings,
		Operator: operator.File{Pools: map[string]operator.Pool{"apps": pool, "few": smallPool},
			Methods: map[string]operator.Method{"view": {Pool: "apps", Path: "/view", Verb: "GET"}, "save": {Pool: "few", Path: "/save", Verb: "GET"}}}})
	startLoad(t, bed, 25, func(i int, name string) []standin.RequestKind {
		mark := fmt.Sprintf("%s z%d", name, i%2)
		return []standin.RequestKind{{Method: "view", Share: 0.7, MeanWorkMs: 2, BodySuffix: mark}, {Method: "save", Share: 0.3, MeanWorkMs: 2, BodySuffix: mark}}
	})
	ejectedAt := func(p *testbed.Observation, pool string) (names []string) {
		for _, status := range p.Outliers {
			if status.Pool == pool {
				for _, m := range status.Members {
					if m.Ejected {
						names = append(names, m.Name)
					}
				}
			}
		}
		return names
	}
	ejected := func(pool string, expected ...string) func(*testbed.Observation) bool {
		return func(p *testbed.Observation) bool {
			got := ejectedAt(p, pool)
			slices.Sort(got)
			slices.Sort(expected)
			return len(p.Outliers) == 2 && slices.Equal(got, expected)
		}
	}
	marked := func(mark string) func([]byte) bool {
		return func(body []byte) bool { return bytes.Contains(body, []byte(mark)) }
	}
	// checkMaxEjected checks for a while that at most maxEjected members are ejected at each server.
	checkMaxEjected := func(description, pool string, maxEjected int) {
		t.Helper()
		for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			for _, name := range names {
				if s, err := bed.Status(name); err == nil {
					if got := ejectedAt(&testbed.Observation{Status: s}, pool); len(got) > maxEjected {
						t.Fatalf("%s: members %v are ejected at %s, at most %d allowed", description, got, name, maxEjected)
					}
				}
			}
		}
	}
	await(t, bed, names, ejected("apps"))

	apps[0].SetFaultFor(standin.ServerError, marked("n4 "))
	await(t, bed, names[4:5], ejected("apps", addrs[0]))
	await(t, bed, append(slices.Clone(names[:4]), "n5"), ejected("apps"))
	apps[0].SetFault(standin.NoFault)
	await(t, bed, names, ejected("apps"))

	apps[1].SetFaultFor(standin.ServerError, marked("z1"))
	await(t, bed, []string{"n1", "n3", "n5"}, ejected("apps", addrs[1]))
	await(t, bed, []string{"n0", "n2", "n4"}, ejected("apps"))
	apps[1].SetFault(standin.NoFault)
	await(t, bed, names, ejected("apps"))

	for _, app := range apps {
		app.SetFaultFor(standin.ServerError, marked("n2 "))
	}
	checkMaxEjected("all members fail for one server", "apps", 0)
	for _, app := range apps {
		app.SetFault(standin.NoFault)
	}
	await(t, bed, names, ejected("apps"))

	for range 2 {
		apps[3].SetFault(standin.HangAfterRead)
		time.Sleep(3 * time.Second)
		apps[3].SetFault(standin.NoFault)
		time.Sleep(3 * time.Second)
	}
	await(t, bed, names, ejected("apps"))

	few[0].SetFault(standin.ServerError)
	few[2].SetFault(standin.ServerError)
	checkMaxEjected("two of three members fail", "few", 1)
	few[0].SetFault(standin.NoFault)
	few[2].SetFault(standin.NoFault)
	await(t, bed, names, ejected("few"))
}
