package fleet_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

var quickRelease = release.Rules{CanaryServers: 1, MaxGrowth: 2, MaxWaveShare: 0.5, BakeMS: 2000, MinRPCs: 15, MaxWaveMS: 60e3, FalseAlarmRate: 0.01, Margin: 0.01, MaxUnreachable: 2}

// Six servers and three permit servers: a good version goes to all in waves, over the loss of the leader; one whose pool fails is rolled back
// from the canary; one that is rejected goes nowhere; a server that is killed comes back on its version, one that was stopped takes what it
// missed; and the rollback after completion leaves all with what they had.
func TestReleaseByProcesses(t *testing.T) {
	cluster := startPermitCluster(t)
	cores := standin.NewCores(8, 8)
	t.Cleanup(cores.Close)
	app := func(f standin.Fault) *standin.App {
		a, err := standin.NewApp(cores, standin.WorkFromBody, nil)
		if err != nil {
			t.Fatal(err)
		}
		a.SetFault(f)
		t.Cleanup(a.Stop)
		return a
	}
	file := func(version string, apps ...*standin.App) operator.File {
		var addrs []string
		for _, a := range apps {
			addrs = append(addrs, a.Addr())
		}
		pool := operator.Pool{Members: addrs, MaxConnections: 16, ConnectTimeoutMs: 250, MaxAnswerBytes: 4096, MinShare: 0.5, EjectionMs: 1000, RecoveryMs: 1000, Retry: operator.Retry{MaxAttempts: 1}}
		return operator.File{Version: version, Pools: map[string]operator.Pool{"apps": pool}, Methods: map[string]operator.Method{"view": {Pool: "apps", Path: "/view", Verb: "GET"}}}
	}
	old, next, bad := app(standin.NoFault), app(standin.NoFault), app(standin.ServerError)
	names := serverNames(6)
	folders := t.TempDir()
	first := file("bed", old)
	bed := startBed(t, testbed.Options{Names: names, Seed: 9, Zone: func(i int) string { return []string{"z0", "z1"}[i%2] }, Cores: 2, PermitServers: cluster.addrs, SettingsJSON: detectionSettings, Operator: first, VersionDir: folders})
	startLoad(t, bed, 20, viewRequests)
	var servers []permit.Server
	for i, name := range names {
		servers = append(servers, permit.Server{Name: name, Zone: fmt.Sprint("z", i%2)})
	}
	if a := cluster.command(permit.Command{Kind: permit.Configure, Servers: servers, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 6}}}); !a.OK {
		t.Fatalf("%+v", a)
	}
	do := func(c release.Command) release.Result {
		t.Helper()
		ctx, end := context.WithTimeout(context.Background(), waitTimeout)
		defer end()
		c.ID = fmt.Sprint(time.Now().UnixNano())
		a, err := cluster.Release(ctx, c)
		if err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
		return a
	}
	begin := func(f operator.File) release.Result {
		t.Helper()
		body, err := operator.Marshal(&f)
		if err != nil {
			t.Fatal(err)
		}
		put := do(release.Command{Kind: release.PutVersion, Body: body, Actor: "me", Reason: "test"})
		plan := do(release.Command{Kind: release.PlanRelease, Version: put.Version, Rules: &quickRelease, Actor: "me", Reason: "test"})
		if !put.OK || !plan.OK {
			t.Fatalf("%+v %+v", put, plan)
		}
		if a := do(release.Command{Kind: release.StartRelease, Release: plan.Release.Number, Actor: "me"}); !a.OK {
			t.Fatalf("%+v", a)
		}
		return plan
	}
	phase := func(want release.Phase) {
		t.Helper()
		cluster.waitFor(string(want), func(st permitclient.Status) bool {
			return st.SettingsReleases.Release != nil && st.SettingsReleases.Release.Phase == want
		})
	}
	runs := func(name string, version uint64) {
		t.Helper()
		var last fleet.Status
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if s, err := bed.Status(name); err == nil {
				if last = s; s.Drain != nil && s.Drain.Version != nil && s.Drain.Version.Version == version {
					return
				}
			}
		}
		t.Fatalf("%s does not run %d: %+v", name, version, last.Drain)
	}

	// A good version, during which the leader is lost.
	plan := begin(file("two", next))
	if a := do(release.Command{Kind: release.PlanRelease, Version: plan.Version, Rules: &quickRelease}); a.OK || !strings.Contains(a.Reason, fmt.Sprint("release ", plan.Release.Number)) {
		t.Errorf("two at once: %+v", a)
	}
	phase(release.Running)
	for _, x := range cluster.servers {
		if x.IsLeader() {
			x.Close()
			break
		}
	}
	phase(release.Completed)
	for _, name := range names {
		runs(name, plan.Version)
	}
	was := old.Received()
	time.Sleep(time.Second)
	if now := old.Received(); now != was || next.Received() == 0 {
		t.Errorf("%d RPCs by the former version, %d by the new", now-was, next.Received())
	}

	// A killed server comes back on that version by itself; the platform's file is not the released one.
	playLines(t, bed, "0s kill n3\n0s start n3")
	await(t, bed, names, testbed.ExpectView("whole", 6))
	runs("n3", plan.Version)

	// A version whose pool fails everything: rolled back from the canary, no other server has it.
	worse := begin(file("three", bad))
	phase(release.RolledBack)
	cluster.waitFor("as before", func(st permitclient.Status) bool { return len(st.SettingsReleases.Release.Pending) == 0 })
	for _, name := range names {
		runs(name, plan.Version)
	}
	reached := 0
	for _, name := range names {
		if strings.Contains(logOf(t, bed, name), fmt.Sprintf("release=%d ", worse.Version)) {
			reached++
		}
	}
	if reached == 0 || reached > quickRelease.CanaryServers {
		t.Errorf("the bad version reached %d servers", reached)
	}

	// A version that the servers' own checks reject: rejected by the canary, and rolled back.
	wrong := file("four", next)
	wrong.Queue.SettledMs = 77 // only a new start can change that
	begin(wrong)
	phase(release.RolledBack)
	cluster.waitFor("the reason", func(st permitclient.Status) bool {
		return strings.Contains(st.SettingsReleases.Release.Reason, "only a new start")
	})

	// A server that is stopped during the rollback takes it when it goes on.
	five := begin(file("five", old))
	phase(release.Completed)
	playLines(t, bed, "0s stop n5")
	if a := do(release.Command{Kind: release.RollBack, Release: five.Release.Number, Actor: "me", Reason: "test"}); !a.OK {
		t.Fatalf("%+v", a)
	}
	phase(release.RolledBack)
	playLines(t, bed, "0s cont n5")
	for _, name := range names {
		runs(name, plan.Version)
	}
}

func playLines(t *testing.T, bed *testbed.Bed, lines string) {
	t.Helper()
	do(t, bed, lines)
}

func logOf(t *testing.T, bed *testbed.Bed, name string) string {
	t.Helper()
	text, err := os.ReadFile(bed.Processes.LogPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A version of the program goes to all by permit, one server out of service at a time, started by a stub of the supervisor; one that crashes
// at its start stops at the canary, whose permit stays in use, and no other server runs it.
func TestProgramByProcesses(t *testing.T) {
	cluster := startPermitCluster(t)
	names := serverNames(4)
	folders := t.TempDir()
	program := func(name string) string {
		text, _ := os.ReadFile(filepath.Join(folders, name, "program"))
		return strings.TrimSpace(string(text))
	}
	bed := startBed(t, testbed.Options{Names: names, Seed: 10, Cores: 2, PermitServers: cluster.addrs, VersionDir: folders, ExtraEnv: func(name string) []string { return []string{"BED_PROGRAM=" + program(name)} }})
	ctx, end := context.WithCancel(context.Background())
	var beside sync.WaitGroup
	defer beside.Wait()
	defer end()
	for i, name := range names {
		beside.Go(func() { // the supervisor
			for ctx.Err() == nil {
				if !bed.Processes.Alive(name) {
					if err := bed.Processes.Start(name); err != nil {
						t.Logf("start %s: %v", name, err) // it tries again, as a supervisor does
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		beside.Go(func() {
			for ctx.Err() == nil {
				router := standin.NewRouter(bed.ListenAddr(name))
				standin.LoadPlan{Rate: 20, Duration: time.Second, Callers: 3, Seed: int64(i), Deadline: 1200 * time.Millisecond, Kinds: []standin.RequestKind{{Method: "view", Share: 1, MeanWorkMs: 2}}}.Run(ctx, map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker())
				router.Close()
			}
		})
	}
	var servers []permit.Server
	for _, name := range names {
		servers = append(servers, permit.Server{Name: name})
	}
	if a := cluster.command(permit.Command{Kind: permit.Configure, Servers: servers, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}}}); !a.OK {
		t.Fatalf("%+v", a)
	}
	rules := quickRelease
	rules.BakeMS, rules.MaxWaveMS, rules.MaxWaveShare = 1000, 20e3, 1
	at := 0
	begin := func(name string) uint64 {
		t.Helper()
		var a release.Result
		for _, c := range []release.Command{{Kind: release.PutVersion, Body: []byte(name)}, {Kind: release.PlanRelease, Rules: &rules}, {Kind: release.StartRelease}} {
			at++
			c.ID, c.Track, c.Actor, c.Reason = fmt.Sprint("program", at), release.Program, "me", "test"
			switch c.Kind {
			case release.PlanRelease:
				c.Version = a.Version
			case release.StartRelease:
				c.Release = a.Release.Number
			}
			ctx, end := context.WithTimeout(ctx, waitTimeout)
			var err error
			a, err = cluster.Release(ctx, c)
			end()
			if err != nil || !a.OK {
				t.Fatalf("%s: %+v %v", c.Kind, a, err)
			}
		}
		return a.Release.Version
	}
	most := 0
	phase := func(want release.Phase) {
		t.Helper()
		cluster.waitFor(string(want), func(st permitclient.Status) bool {
			out := 0
			for _, p := range st.State.Granted() {
				if p.Begun {
					out++
				}
			}
			most = max(most, out)
			if r := st.ProgramReleases.Release; r != nil && r.Phase == release.Paused { // an operator goes on: a server that restarts is away for a while
				ctx, end := context.WithTimeout(ctx, waitTimeout)
				defer end()
				at++
				goOn := release.Command{ID: fmt.Sprint("on", at), Track: release.Program, Kind: release.Resume, Release: r.Number, Actor: "me"}
				if _, err := cluster.Release(ctx, goOn); err != nil {
					t.Logf("resume release %d: %v", r.Number, err) // tried again with the next poll
				}
			}
			return st.ProgramReleases.Release != nil && st.ProgramReleases.Release.Phase == want
		})
	}
	two := begin("build-2")
	phase(release.Completed)
	for _, name := range names {
		if s, err := bed.Status(name); err != nil || s.Version != "build-2" || s.Drain.Version.Program != two {
			t.Errorf("%s: %v %+v", name, err, s.Drain)
		}
	}
	cluster.waitFor("all back", func(st permitclient.Status) bool { return len(st.State.Granted()) == 0 })
	begin("crashes")
	phase(release.RolledBack)
	held, stays := 0, 0
	for _, name := range names {
		if program(name) == "crashes" {
			held++
		} else if s, err := bed.Status(name); err == nil && s.Version == "build-2" {
			stays++
		}
	}
	if held != 1 || stays != 3 {
		t.Errorf("%d servers met what crashes, %d have what they had", held, stays)
	}
	cluster.waitFor("its permit stays", func(st permitclient.Status) bool { return len(st.State.Granted()) == 1 })
	if most > 1 {
		t.Errorf("%d out at a time, one may be", most)
	}
}

// Permit servers lost during a wave, servers lost during a wave with another release requested, an operator's halt before the next wave, and
// malformed versions.
func TestReleaseFaults(t *testing.T) {
	cluster := startPermitCluster(t)
	names := serverNames(6)
	bed := startBed(t, testbed.Options{Names: names, Seed: 12, Cores: 2, PermitServers: cluster.addrs, VersionDir: t.TempDir()})
	startLoad(t, bed, 20, viewRequests)
	var servers []permit.Server
	for _, name := range names {
		servers = append(servers, permit.Server{Name: name})
	}
	if a := cluster.command(permit.Command{Kind: permit.Configure, Servers: servers, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 6}}}); !a.OK {
		t.Fatalf("%+v", a)
	}
	at := 0
	do := func(c release.Command) release.Result {
		t.Helper()
		at++
		c.ID, c.Actor, c.Reason = fmt.Sprint("faults", at), "me", "test"
		ctx, end := context.WithTimeout(context.Background(), waitTimeout)
		defer end()
		a, err := cluster.Release(ctx, c)
		if err != nil {
			t.Fatalf("%s: %v", c.Kind, err)
		}
		return a
	}
	rules := quickRelease
	rules.MaxUnreachable = 1
	begin := func(body []byte) (number, version uint64) {
		t.Helper()
		put := do(release.Command{Kind: release.PutVersion, Body: body})
		plan := do(release.Command{Kind: release.PlanRelease, Version: put.Version, Rules: &rules})
		if !put.OK || !plan.OK || !do(release.Command{Kind: release.StartRelease, Release: plan.Release.Number}).OK {
			t.Fatalf("%+v %+v", put, plan)
		}
		return plan.Release.Number, put.Version
	}
	body := func(name string) []byte {
		raw, err := operator.Marshal(&operator.File{Version: name})
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	wave := func(least int) {
		t.Helper()
		cluster.waitFor(fmt.Sprint("in wave ", least), func(st permitclient.Status) bool {
			r := st.SettingsReleases.Release
			return r.Phase == release.Running && r.Wave >= least
		})
	}
	phase := func(want release.Phase) {
		t.Helper()
		cluster.waitFor(string(want), func(st permitclient.Status) bool {
			r := st.SettingsReleases.Release
			if r.Phase == release.Paused && want == release.Completed {
				do(release.Command{Kind: release.Resume, Release: r.Number})
			}
			return r.Phase == want
		})
	}
	runs := func(version uint64, on ...string) {
		t.Helper()
		for _, name := range on {
			var last fleet.Status
			ok := false
			for end := time.Now().Add(waitTimeout); !ok && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if s, err := bed.Status(name); err == nil {
					last = s
					ok = s.Drain.Version.Version == version
				}
			}
			if !ok {
				t.Fatalf("%s does not run %d: %+v", name, version, last.Drain)
			}
		}
	}

	// All permit servers are lost during a wave: servers keep their versions, and the release goes on where it was.
	_, one := begin(body("one"))
	wave(0)
	before := map[string]uint64{}
	cluster.stopAll()
	time.Sleep(1500 * time.Millisecond) // the last answers have come
	for _, name := range names {
		if s, err := bed.Status(name); err == nil {
			before[name] = s.Drain.Version.Version
		}
	}
	time.Sleep(2 * time.Second)
	for _, name := range names {
		if s, err := bed.Status(name); err != nil || s.Drain.Version.Version != before[name] || s.Drain.PermitServersReachable {
			t.Errorf("%s without keepers: %v %+v, was on %d", name, err, s.Drain, before[name])
		}
	}
	cluster.restartAll()
	phase(release.Completed)
	runs(one, names...)

	// Two of six stop reporting during a wave: the release pauses, another is denied by number, the rollback does not wait for them, and they follow.
	two, _ := begin(body("two"))
	wave(1)
	playLines(t, bed, "0s stop n4\n0s stop n5")
	phase(release.Paused)
	if a := do(release.Command{Kind: release.PlanRelease, Version: one, Rules: &rules}); a.OK || !strings.Contains(a.Reason, fmt.Sprint("release ", two)) {
		t.Errorf("another one meanwhile: %+v", a)
	}
	if a := do(release.Command{Kind: release.RollBack, Release: two}); !a.OK {
		t.Errorf("%+v", a)
	}
	phase(release.RolledBack)
	runs(one, names[:4]...)
	playLines(t, bed, "0s cont n4\n0s cont n5")
	runs(one, names...)

	// An operator's halt: the next wave does not start.
	cluster.waitFor("all heard", func(st permitclient.Status) bool { return len(st.Observations) == 0 && st.State.AutoHaltReason == "" })
	three, _ := begin(body("three"))
	wave(0)
	cluster.command(permit.Command{Kind: permit.Halt, Actor: "me", Reason: "look"})
	phase(release.Paused)
	cluster.command(permit.Command{Kind: permit.Resume, Actor: "me"})
	if a := do(release.Command{Kind: release.RollBack, Release: three}); !a.OK {
		t.Errorf("%+v", a)
	}
	phase(release.RolledBack)

	// No version: an empty body, a malformed one, and the same again.
	if a := do(release.Command{Kind: release.PutVersion}); a.OK {
		t.Errorf("%+v", a)
	}
	if a := do(release.Command{Kind: release.PutVersion, Body: body("one")}); a.Version != one {
		t.Errorf("%+v", a)
	}
	begin([]byte("{ this is no record"))
	phase(release.RolledBack)
	runs(one, names...)
}
