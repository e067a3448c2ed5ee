package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"sorrelvalve/decision/release"
)

// This file simulates rollouts of a new version: servers that each fail a little more or less than others, a zone whose
// backends fail, servers out of reach, changes of the leader, and versions with a known defect. The state machine is
// decision/release's own, which is never told of the defect.

// VersionDefect is what is wrong with the new version.
type VersionDefect int

// The defects.
const (
	NoDefect         VersionDefect = iota
	DefectErrors                   // a share of all RPCs fails
	DefectUnderLoad                // RPCs fail while the load is higher than usual
	DefectOneZone                  // RPCs fail in one zone
	DefectStarvation               // RPCs of the most critical method are rejected
	DefectMemoryLeak               // memory grows
	DefectCrashLoop                // the process restarts again and again
	DefectRejected                 // each server's own checks reject the version
	defectCount
)

// DefectCount is the number of defects, NoDefect included.
const DefectCount = int(defectCount)

// String is the defect as reports print it.
func (d VersionDefect) String() string {
	return [...]string{"good", "fails", "under load", "in one zone", "starves the most critical", "leaks", "crashes", "refused"}[d]
}

// RolloutRun is one simulated rollout. Times are in ms.
type RolloutRun struct {
	Servers, Zones int
	RatePerServer  float64 // RPCs per second
	Seed           uint64
	Defect         VersionDefect
	Faults         bool // faults beside the version's defect
	Rules          release.Rules
	CanaryAnalysis bool // false: servers report no failures, so that the waves follow their schedule
	SingleWave     bool // all servers in one wave
}

// RolloutOutcome is the result of a RolloutRun.
type RolloutOutcome struct {
	Phase          release.Phase
	Reason         string
	ServersReached int     // servers that ever ran the version
	CanaryServers  int     // servers of the first wave
	FirstTwoWaves  int     // servers of the first two waves
	DurationMs     float64 // from the first server's switch to the end or the rollback
	ServedShare    float64 // RPCs that succeeded, over those expected to succeed without the version
	ExposureMs     float64 // time for which the defect showed within the first two waves
	Errors         []string
	Diverged       int  // reachable servers that at the end don't run their assigned version
	Restored       bool // rolled back, and every server runs the old version again
}

// rolloutServer is one server of a rollout.
type rolloutServer struct {
	name, zone       string
	errorRate        float64 // of its own, whatever the version
	version          uint64
	startID          uint64
	rejectedVersion  uint64
	counts           release.Counts
	memoryMB         float64
	unreachableUntil float64
	warmAt           float64
}

// Figures of the simulated service. Times are in ms, rates are shares of the RPCs.
const (
	rolloutStream       = 11 // of the seed's random numbers
	rolloutStepMs       = 2000.0
	rolloutLimitMs      = 3600e3
	rolloutAftermathMs  = 120e3 // played after the end, for servers that were out of reach
	stepsPerLoad        = 15    // steps between two changes of the load
	minLoad             = 0.6
	loadRange           = 0.8
	highLoad            = 1.1 // from which on DefectUnderLoad shows
	meanErrorRate       = 0.002
	defectErrorRate     = 0.08
	starvationErrorRate = 0.5
	zoneFaultErrorRate  = 0.3
	criticalShare       = 0.15 // of the RPCs
	leakMBPerSecond     = 0.6
	crashIntervalMs     = 3e3
	unreachableRate     = 0.00002 // chance of a server in a step
	leaderChangeRate    = 0.01    // chance in a step
	operatorDelayMs     = 30e3    // until an operator resumes a paused rollout
	maxResumes          = 20
	defectZone          = "z1"
)

// zoneFault is a fault of one zone's backends for a while.
type zoneFault struct {
	zone     string
	from, to float64
}

// rollout is the state of a run.
type rollout struct {
	RolloutRun
	rand       *rand.Rand
	controller *release.State
	commands   int
	servers    []*rolloutServer
	newVersion uint64
	fault      zoneFault
	load       float64 // over the usual one
	reached    map[string]bool
	firstAt    float64 // when the first server switched
	served     float64
	expected   float64 // RPCs that would succeed without the version
	resumes    int
	limitMs    float64
	outcome    RolloutOutcome
}

// Run plays the rollout to its end.
func (x RolloutRun) Run() RolloutOutcome {
	r := &rollout{
		RolloutRun: x, rand: rand.New(rand.NewPCG(x.Seed, rolloutStream)), controller: release.New(),
		load: 1, reached: map[string]bool{}, firstAt: math.Inf(1), limitMs: rolloutLimitMs,
	}
	roster := r.addServers()
	if !r.start(roster) {
		return r.outcome
	}
	r.drawZoneFault()
	for now := 0.0; now < r.limitMs; now += rolloutStepMs {
		r.step(now)
		now += r.follow(now)
	}
	r.finish()
	return r.outcome
}

// addServers creates the servers.
func (r *rollout) addServers() (roster []release.Server) {
	for i := range r.Servers {
		s := &rolloutServer{
			name:      fmt.Sprint("n", i),
			zone:      fmt.Sprint("z", i%r.Zones),
			errorRate: meanErrorRate * (0.5 + r.rand.ExpFloat64()),
			startID:   1,
			memoryMB:  40 + 8*r.rand.Float64(),
		}
		r.servers = append(r.servers, s)
		roster = append(roster, release.Server{Name: s.name, Zone: s.zone})
	}
	return roster
}

// apply gives the state machine a command.
func (r *rollout) apply(c release.Command) release.Result {
	r.commands++
	c.ID = fmt.Sprint(r.commands)
	return r.controller.Apply(c)
}

// start stores the new version, plans the rollout and starts it.
func (r *rollout) start(roster []release.Server) bool {
	rules := r.Rules
	if r.SingleWave {
		rules.CanaryServers = 64
		rules.MaxWaveShare = 1
		rules.MaxGrowth = 16
	}
	put := r.apply(release.Command{Kind: release.PutVersion, Body: []byte("new")})
	plan := r.apply(release.Command{Kind: release.PlanRelease, Version: put.Version, Rules: &rules, Servers: roster})
	if !plan.OK || !r.apply(release.Command{Kind: release.StartRelease, Release: plan.Release.Number}).OK {
		r.outcome.Errors = append(r.outcome.Errors, plan.Reason)
		return false
	}
	r.newVersion = put.Version
	waves := plan.Release.Waves
	r.outcome.CanaryServers = len(waves[0])
	r.outcome.FirstTwoWaves = r.outcome.CanaryServers
	if len(waves) > 1 {
		r.outcome.FirstTwoWaves += len(waves[1])
	}
	return true
}

// drawZoneFault draws whether one zone's backends fail for a while.
func (r *rollout) drawZoneFault() {
	if !r.Faults || r.rand.IntN(3) != 0 {
		return
	}
	r.fault.zone = fmt.Sprint("z", r.rand.IntN(r.Zones))
	r.fault.from = 60e3 * r.rand.Float64() * 10
	r.fault.to = r.fault.from + 20e3 + 60e3*r.rand.Float64()
}

// step plays one step of the servers and reports it to the state machine.
func (r *rollout) step(now float64) {
	if int(now/rolloutStepMs)%stepsPerLoad == 0 {
		r.load = minLoad + loadRange*r.rand.Float64()
	}
	for _, s := range r.servers {
		r.assign(s, now)
		r.serve(s, now)
	}
	shows := r.Defect != DefectUnderLoad || r.load > highLoad
	if n := len(r.reached); n > 0 && n <= r.outcome.FirstTwoWaves && shows {
		r.outcome.ExposureMs += rolloutStepMs
	}
	r.report(now)
}

// assign has a reachable server switch to its assigned version, and draws whether it gets out of reach.
func (r *rollout) assign(s *rolloutServer, now float64) {
	reachable := now >= s.unreachableUntil
	if reachable && r.Faults && r.rand.Float64() < unreachableRate {
		s.unreachableUntil = now + 5e3 + 60e3*r.rand.Float64()
	}
	target := r.controller.Target(s.name)
	if !reachable || target == s.version {
		return
	}
	isNew := target == r.newVersion
	if r.Defect == DefectRejected && isNew {
		s.rejectedVersion = target
		return
	}
	s.version = target
	s.counts = release.Counts{}
	if isNew {
		r.reached[s.name] = true
		r.firstAt = math.Min(r.firstAt, now)
	}
}

// errorRates returns a server's shares of failures now: of ordinary and of critical RPCs, and of all without the version.
func (r *rollout) errorRates(s *rolloutServer, now float64) (ordinary, critical, usual float64) {
	usual = s.errorRate
	if now >= r.fault.from && now < r.fault.to && s.zone == r.fault.zone {
		usual += zoneFaultErrorRate
	}
	ordinary = usual
	critical = usual
	if s.version != r.newVersion {
		return ordinary, critical, usual
	}
	switch r.Defect {
	case DefectErrors:
		ordinary += defectErrorRate
		critical = ordinary
	case DefectUnderLoad:
		if r.load > highLoad {
			ordinary += 2 * defectErrorRate
			critical = ordinary
		}
	case DefectOneZone:
		if s.zone == defectZone {
			ordinary += 2 * defectErrorRate
			critical = ordinary
		}
	case DefectStarvation:
		critical += starvationErrorRate
	case DefectCrashLoop:
		ordinary = 1
		critical = 1
	}
	return ordinary, critical, usual
}

// serve plays a server's RPCs of one step.
func (r *rollout) serve(s *rolloutServer, now float64) {
	if s.version == r.newVersion {
		r.applyProcessDefect(s, now)
	}
	ordinaryRate, criticalRate, usualRate := r.errorRates(s, now)
	total := r.poisson(r.RatePerServer * r.load * rolloutStepMs / 1000)
	critical := math.Round(criticalShare * total)
	ordinary := total - critical
	ordinaryFailed := math.Min(ordinary, r.poisson(ordinary*ordinaryRate))
	criticalFailed := math.Min(critical, r.poisson(critical*criticalRate))
	s.counts.Total += total
	s.counts.Failed += ordinaryFailed
	s.counts.Critical += critical
	s.counts.CriticalFailed += criticalFailed
	r.served = r.served + total - ordinaryFailed - criticalFailed
	r.expected += total * (1 - usualRate)
}

// applyProcessDefect plays those defects that concern the process and not its RPCs.
func (r *rollout) applyProcessDefect(s *rolloutServer, now float64) {
	switch {
	case r.Defect == DefectMemoryLeak:
		s.memoryMB += leakMBPerSecond * rolloutStepMs / 1000
	case r.Defect == DefectCrashLoop && now >= s.warmAt:
		s.startID++
		s.counts = release.Counts{}
		s.warmAt = now + crashIntervalMs
	}
}

// poisson draws a Poisson number by its normal approximation, exact enough for what is summed.
func (r *rollout) poisson(mean float64) float64 {
	return math.Max(0, math.Round(mean+math.Sqrt(mean)*r.rand.NormFloat64()))
}

// report tells the state machine what the reachable servers report.
func (r *rollout) report(now float64) {
	observe := release.Command{Kind: release.Observe, ElapsedMS: rolloutStepMs}
	if r.Faults && r.rand.Float64() < leaderChangeRate {
		observe.ElapsedMS = 0 // a new leader begins to measure time
	}
	for _, s := range r.servers {
		if now < s.unreachableUntil {
			continue
		}
		report := release.Report{
			Name: s.name, Incarnation: s.startID, Version: s.version,
			RejectedVersion: s.rejectedVersion, RejectReason: "it is wrong",
			Warm: now >= s.warmAt, ResidentMB: s.memoryMB, Counts: s.counts,
		}
		if !r.CanaryAnalysis {
			report.Counts = release.Counts{Total: s.counts.Total}
			report.ResidentMB = 0
			report.Incarnation = 1
			report.Warm = true
		}
		observe.Reports = append(observe.Reports, report)
	}
	r.apply(observe)
}

// follow reacts to the rollout's phase after a step, and returns how many ms an operator took. An operator who finds nothing
// resumes a paused rollout, as long as the pause may have another cause than the version.
func (r *rollout) follow(now float64) (operatorMs float64) {
	current := r.controller.Release
	switch current.Phase {
	case release.Paused:
		r.resumes++
		if r.resumes < maxResumes && (r.Defect == NoDefect || r.Faults) {
			r.apply(release.Command{Kind: release.Resume, Release: current.Number, Actor: "me"})
			return operatorDelayMs
		}
		r.limitMs = math.Min(r.limitMs, now+rolloutAftermathMs)
	case release.RolledBack, release.Completed, release.Abandoned:
		r.limitMs = math.Min(r.limitMs, now+rolloutAftermathMs)
	}
	ended := current.Phase == release.RolledBack || current.Phase == release.Completed || current.Phase == release.RollingBack
	if ended && r.outcome.DurationMs == 0 && !math.IsInf(r.firstAt, 1) {
		r.outcome.DurationMs = now - r.firstAt
	}
	return 0
}

// finish fills the outcome.
func (r *rollout) finish() {
	current := r.controller.Release
	r.outcome.Phase = current.Phase
	r.outcome.Reason = current.Reason
	r.outcome.ServersReached = len(r.reached)
	r.outcome.ServedShare = r.served / r.expected
	r.outcome.Restored = current.Phase == release.RolledBack
	for _, s := range r.servers {
		target := r.controller.Target(s.name)
		rejected := s.rejectedVersion != 0 && target == s.rejectedVersion
		if s.version != target && !rejected {
			r.outcome.Diverged++
		}
		if s.version != 0 {
			r.outcome.Restored = false
		}
	}
}
