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

// With six servers and three permit servers, a good version is rolled out to all servers in waves although the leader is lost. A version whose
// pool fails is rolled back from the canary, and a version that the canary rejects goes no further. A killed server restarts with its version. A
// server that was stopped during a rollback follows when it continues. A rollback after completion restores the previous version everywhere.
func TestReleaseByProcesses(t *testing.T) {
	cluster := startPermitCluster(t)
	cores := standin.NewCores(8, 8)
	t.Cleanup(cores.Close)
	startApp := func(fault standin.Fault) *standin.App {
		app, err := standin.NewApp(cores, standin.WorkFromBody, nil)
		if err != nil {
			t.Fatal(err)
		}
		app.SetFault(fault)
		t.Cleanup(app.Stop)
		return app
	}
	file := func(version string, apps ...*standin.App) operator.File {
		var addrs []string
		for _, app := range apps {
			addrs = append(addrs, app.Addr())
		}
		pool := operator.Pool{Members: addrs, MaxConnections: 16, ConnectTimeoutMs: 250, MaxAnswerBytes: 4096, MinShare: 0.5, EjectionMs: 1000, RecoveryMs: 1000, Retry: operator.Retry{MaxAttempts: 1}}
		return operator.File{Version: version, Pools: map[string]operator.Pool{"apps": pool}, Methods: map[string]operator.Method{"view": {Pool: "apps", Path: "/view", Verb: "GET"}}}
	}
	oldApp, newApp, failingApp := startApp(standin.NoFault), startApp(standin.NoFault), startApp(standin.ServerError)
	names := serverNames(6)
	versionDir := t.TempDir()
	first := file("bed", oldApp)
	bed := startBed(t, testbed.Options{Names: names, Seed: 9, Zone: func(i int) string { return []string{"z0", "z1"}[i%2] }, Cores: 2, PermitServers: cluster.addrs, SettingsJSON: detectionSettings, Operator: first, VersionDir: versionDir})
	startLoad(t, bed, 20, viewRequests)
	var servers []permit.Server
	for i, name := range names {
		servers = append(servers, permit.Server{Name: name, Zone: fmt.Sprint("z", i%2)})
	}
	if result := cluster.command(permit.Command{Kind: permit.Configure, Servers: servers, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 6}}}); !result.OK {
		t.Fatalf("configure command: got %+v", result)
	}
	execute := func(c release.Command) release.Result {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		c.ID = fmt.Sprint(time.Now().UnixNano())
		result, err := cluster.Release(ctx, c)
		if err != nil {
			t.Fatalf("command %+v: %v", c, err)
		}
		return result
	}
	begin := func(f operator.File) release.Result {
		t.Helper()
		body, err := operator.Marshal(&f)
		if err != nil {
			t.Fatal(err)
		}
		put := execute(release.Command{Kind: release.PutVersion, Body: body, Actor: "me", Reason: "test"})
		plan := execute(release.Command{Kind: release.PlanRelease, Version: put.Version, Rules: &quickRelease, Actor: "me", Reason: "test"})
		if !put.OK || !plan.OK {
			t.Fatalf("release not started: put result %+v, plan result %+v", put, plan)
		}
		if result := execute(release.Command{Kind: release.StartRelease, Release: plan.Release.Number, Actor: "me"}); !result.OK {
			t.Fatalf("start command: got %+v", result)
		}
		return plan
	}
	awaitPhase := func(want release.Phase) {
		t.Helper()
		cluster.waitFor(string(want), func(status permitclient.Status) bool {
			return status.SettingsReleases.Release != nil && status.SettingsReleases.Release.Phase == want
		})
	}
	awaitVersion := func(name string, version uint64) {
		t.Helper()
		var last fleet.Status
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if s, err := bed.Status(name); err == nil {
				if last = s; s.Drain != nil && s.Drain.Version != nil && s.Drain.Version.Version == version {
					return
				}
			}
		}
		t.Fatalf("%s does not run version %d; drain status %+v", name, version, last.Drain)
	}

	// The leader is lost during the rollout of a good version.
	plan := begin(file("two", newApp))
	if result := execute(release.Command{Kind: release.PlanRelease, Version: plan.Version, Rules: &quickRelease}); result.OK || !strings.Contains(result.Reason, fmt.Sprint("release ", plan.Release.Number)) {
		t.Errorf("plan of a second release during the first: got %+v", result)
	}
	awaitPhase(release.Running)
	for _, permitServer := range cluster.permitServers {
		if permitServer.IsLeader() {
			permitServer.Close()
			break
		}
	}
	awaitPhase(release.Completed)
	for _, name := range names {
		awaitVersion(name, plan.Version)
	}
	before := oldApp.Received()
	time.Sleep(time.Second)
	if now := oldApp.Received(); now != before || newApp.Received() == 0 {
		t.Errorf("after the rollout, %d RPCs went to the pool of the old version, %d to that of the new version", now-before, newApp.Received())
	}

	// A killed server restarts with the released version by itself, although the platform's file is not that version.
	playLines(t, bed, "0s kill n3\n0s start n3")
	await(t, bed, names, testbed.ExpectView("whole", 6))
	awaitVersion("n3", plan.Version)

	// A version whose pool fails all RPCs is rolled back from the canary, and reaches no other server.
	failing := begin(file("three", failingApp))
	awaitPhase(release.RolledBack)
	cluster.waitFor("rollback completed", func(status permitclient.Status) bool { return len(status.SettingsReleases.Release.Pending) == 0 })
	for _, name := range names {
		awaitVersion(name, plan.Version)
	}
	reached := 0
	for _, name := range names {
		if strings.Contains(logOf(t, bed, name), fmt.Sprintf("release=%d ", failing.Version)) {
			reached++
		}
	}
	if reached == 0 || reached > quickRelease.CanaryServers {
		t.Errorf("the failing version reached %d servers, want only the canary", reached)
	}

	// A version that fails the servers' own checks is rejected by the canary, and rolled back.
	invalid := file("four", newApp)
	invalid.Queue.SettledMs = 77 // can be changed only by a restart
	begin(invalid)
	awaitPhase(release.RolledBack)
	cluster.waitFor("reason of the rejection", func(status permitclient.Status) bool {
		return strings.Contains(status.SettingsReleases.Release.Reason, "only a new start")
	})

	// A server that is stopped during a rollback follows when it continues.
	five := begin(file("five", oldApp))
	awaitPhase(release.Completed)
	playLines(t, bed, "0s stop n5")
	if result := execute(release.Command{Kind: release.RollBack, Release: five.Release.Number, Actor: "me", Reason: "test"}); !result.OK {
		t.Fatalf("rollback command: got %+v", result)
	}
	awaitPhase(release.RolledBack)
	playLines(t, bed, "0s cont n5")
	for _, name := range names {
		awaitVersion(name, plan.Version)
	}
}

// playLines applies the lines of a fault script.
func playLines(t *testing.T, bed *testbed.Bed, lines string) {
	t.Helper()
	applyScript(t, bed, lines)
}

func logOf(t *testing.T, bed *testbed.Bed, name string) string {
	t.Helper()
	text, err := os.ReadFile(bed.Processes.LogPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A program version is rolled out to all servers by permit, one server out of service at a time; a stub of the supervisor starts it. A version
// that crashes at its start stops at the canary, whose permit stays in use, and reaches no other server.
func TestProgramByProcesses(t *testing.T) {
	cluster := startPermitCluster(t)
	names := serverNames(4)
	versionDir := t.TempDir()
	program := func(name string) string {
		text, _ := os.ReadFile(filepath.Join(versionDir, name, "program"))
		return strings.TrimSpace(string(text))
	}
	bed := startBed(t, testbed.Options{Names: names, Seed: 10, Cores: 2, PermitServers: cluster.addrs, VersionDir: versionDir, ExtraEnv: func(name string) []string { return []string{"BED_PROGRAM=" + program(name)} }})
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	for i, name := range names {
		background.Go(func() { // the supervisor
			for ctx.Err() == nil {
				if !bed.Processes.Alive(name) {
					if err := bed.Processes.Start(name); err != nil {
						t.Logf("start %s: %v", name, err) // retried, as by a supervisor
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		background.Go(func() {
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
	if result := cluster.command(permit.Command{Kind: permit.Configure, Servers: servers, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 1}}}); !result.OK {
		t.Fatalf("configure command: got %+v", result)
	}
	rules := quickRelease
	rules.BakeMS, rules.MaxWaveMS, rules.MaxWaveShare = 1000, 20e3, 1
	commands := 0
	begin := func(name string) uint64 {
		t.Helper()
		var result release.Result
		for _, c := range []release.Command{{Kind: release.PutVersion, Body: []byte(name)}, {Kind: release.PlanRelease, Rules: &rules}, {Kind: release.StartRelease}} {
			commands++
			c.ID, c.Track, c.Actor, c.Reason = fmt.Sprint("program", commands), release.Program, "me", "test"
			switch c.Kind {
			case release.PlanRelease:
				c.Version = result.Version
			case release.StartRelease:
				c.Release = result.Release.Number
			}
			ctx, cancel := context.WithTimeout(ctx, waitTimeout)
			var err error
			result, err = cluster.Release(ctx, c)
			cancel()
			if err != nil || !result.OK {
				t.Fatalf("command %s: result %+v, error %v", c.Kind, result, err)
			}
		}
		return result.Release.Version
	}
	maxOutOfService := 0
	awaitPhase := func(want release.Phase) {
		t.Helper()
		cluster.waitFor(string(want), func(status permitclient.Status) bool {
			outOfService := 0
			for _, p := range status.State.Granted() {
				if p.Begun {
					outOfService++
				}
			}
			maxOutOfService = max(maxOutOfService, outOfService)
			if r := status.ProgramReleases.Release; r != nil && r.Phase == release.Paused { // resumed as by an operator: a restarting server is unreachable for a while
				ctx, cancel := context.WithTimeout(ctx, waitTimeout)
				defer cancel()
				commands++
				resume := release.Command{ID: fmt.Sprint("on", commands), Track: release.Program, Kind: release.Resume, Release: r.Number, Actor: "me"}
				if _, err := cluster.Release(ctx, resume); err != nil {
					t.Logf("resume release %d: %v", r.Number, err) // retried at the next poll
				}
			}
			return status.ProgramReleases.Release != nil && status.ProgramReleases.Release.Phase == want
		})
	}
	programVersion := begin("build-2")
	awaitPhase(release.Completed)
	for _, name := range names {
		if s, err := bed.Status(name); err != nil || s.Version != "build-2" || s.Drain.Version.Program != programVersion {
			t.Errorf("%s does not run the released program: error %v, drain status %+v", name, err, s.Drain)
		}
	}
	cluster.waitFor("all permits returned", func(status permitclient.Status) bool { return len(status.State.Granted()) == 0 })
	begin("crashes")
	awaitPhase(release.RolledBack)
	crashing, unchanged := 0, 0
	for _, name := range names {
		if program(name) == "crashes" {
			crashing++
		} else if s, err := bed.Status(name); err == nil && s.Version == "build-2" {
			unchanged++
		}
	}
	if crashing != 1 || unchanged != 3 {
		t.Errorf("%d servers have the crashing program, want 1; %d have the previous one, want 3", crashing, unchanged)
	}
	cluster.waitFor("the canary's permit stays in use", func(status permitclient.Status) bool { return len(status.State.Granted()) == 1 })
	if maxOutOfService > 1 {
		t.Errorf("servers out of service at a time: got %d, want at most 1", maxOutOfService)
	}
}

// A release continues after the permit servers were lost during a wave. It pauses, and denies another release, when servers are lost during a
// wave, and pauses at an operator's halt before the next wave. Malformed versions are rejected or rolled back.
func TestReleaseFaults(t *testing.T) {
	cluster := startPermitCluster(t)
	names := serverNames(6)
	bed := startBed(t, testbed.Options{Names: names, Seed: 12, Cores: 2, PermitServers: cluster.addrs, VersionDir: t.TempDir()})
	startLoad(t, bed, 20, viewRequests)
	var servers []permit.Server
	for _, name := range names {
		servers = append(servers, permit.Server{Name: name})
	}
	if result := cluster.command(permit.Command{Kind: permit.Configure, Servers: servers, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 6}}}); !result.OK {
		t.Fatalf("configure command: got %+v", result)
	}
	commands := 0
	execute := func(c release.Command) release.Result {
		t.Helper()
		commands++
		c.ID, c.Actor, c.Reason = fmt.Sprint("faults", commands), "me", "test"
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		result, err := cluster.Release(ctx, c)
		if err != nil {
			t.Fatalf("command %s: %v", c.Kind, err)
		}
		return result
	}
	rules := quickRelease
	rules.MaxUnreachable = 1
	begin := func(body []byte) (number, version uint64) {
		t.Helper()
		put := execute(release.Command{Kind: release.PutVersion, Body: body})
		plan := execute(release.Command{Kind: release.PlanRelease, Version: put.Version, Rules: &rules})
		if !put.OK || !plan.OK || !execute(release.Command{Kind: release.StartRelease, Release: plan.Release.Number}).OK {
			t.Fatalf("release not started: put result %+v, plan result %+v", put, plan)
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
	awaitWave := func(minWave int) {
		t.Helper()
		cluster.waitFor(fmt.Sprint("in wave ", minWave), func(status permitclient.Status) bool {
			r := status.SettingsReleases.Release
			return r.Phase == release.Running && r.Wave >= minWave
		})
	}
	awaitPhase := func(want release.Phase) {
		t.Helper()
		cluster.waitFor(string(want), func(status permitclient.Status) bool {
			r := status.SettingsReleases.Release
			if r.Phase == release.Paused && want == release.Completed {
				execute(release.Command{Kind: release.Resume, Release: r.Number})
			}
			return r.Phase == want
		})
	}
	awaitVersion := func(version uint64, servers ...string) {
		t.Helper()
		for _, name := range servers {
			var last fleet.Status
			ok := false
			for end := time.Now().Add(waitTimeout); !ok && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if s, err := bed.Status(name); err == nil {
					last = s
					ok = s.Drain.Version.Version == version
				}
			}
			if !ok {
				t.Fatalf("%s does not run version %d; drain status %+v", name, version, last.Drain)
			}
		}
	}

	// All permit servers are lost during a wave. The servers keep their versions, and the release then continues from where it was.
	_, versionOne := begin(body("one"))
	awaitWave(0)
	before := map[string]uint64{}
	cluster.stopAll()
	time.Sleep(1500 * time.Millisecond) // until the last responses have arrived
	for _, name := range names {
		if s, err := bed.Status(name); err == nil {
			before[name] = s.Drain.Version.Version
		}
	}
	time.Sleep(2 * time.Second)
	for _, name := range names {
		if s, err := bed.Status(name); err != nil || s.Drain.Version.Version != before[name] || s.Drain.PermitServersReachable {
			t.Errorf("%s without permit servers: error %v, drain status %+v, version before %d", name, err, s.Drain, before[name])
		}
	}
	cluster.restartAll()
	awaitPhase(release.Completed)
	awaitVersion(versionOne, names...)

	// Two of six servers stop reporting during a wave. The release pauses, and another one is denied with a reason that names the first one's
	// number. The rollback does not wait for the two servers, and they follow when they continue.
	releaseTwo, _ := begin(body("two"))
	awaitWave(1)
	playLines(t, bed, "0s stop n4\n0s stop n5")
	awaitPhase(release.Paused)
	if result := execute(release.Command{Kind: release.PlanRelease, Version: versionOne, Rules: &rules}); result.OK || !strings.Contains(result.Reason, fmt.Sprint("release ", releaseTwo)) {
		t.Errorf("plan of another release meanwhile: got %+v", result)
	}
	if result := execute(release.Command{Kind: release.RollBack, Release: releaseTwo}); !result.OK {
		t.Errorf("rollback command: got %+v", result)
	}
	awaitPhase(release.RolledBack)
	awaitVersion(versionOne, names[:4]...)
	playLines(t, bed, "0s cont n4\n0s cont n5")
	awaitVersion(versionOne, names...)

	// During an operator's halt the next wave does not start.
	cluster.waitFor("all have reported", func(status permitclient.Status) bool {
		return len(status.Observations) == 0 && status.State.AutoHaltReason == ""
	})
	releaseThree, _ := begin(body("three"))
	awaitWave(0)
	cluster.command(permit.Command{Kind: permit.Halt, Actor: "me", Reason: "look"})
	awaitPhase(release.Paused)
	cluster.command(permit.Command{Kind: permit.Resume, Actor: "me"})
	if result := execute(release.Command{Kind: release.RollBack, Release: releaseThree}); !result.OK {
		t.Errorf("rollback command: got %+v", result)
	}
	awaitPhase(release.RolledBack)

	// An empty body is rejected, the same body again yields the same version, and a malformed body is rolled back.
	if result := execute(release.Command{Kind: release.PutVersion}); result.OK {
		t.Errorf("put of an empty body: got %+v", result)
	}
	if result := execute(release.Command{Kind: release.PutVersion, Body: body("one")}); result.Version != versionOne {
		t.Errorf("put of an existing body: got %+v, want the existing version", result)
	}
	begin([]byte("{ this is no record"))
	awaitPhase(release.RolledBack)
	awaitVersion(versionOne, names...)
}
