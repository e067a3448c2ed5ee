package fleetsim

// This file owns the simulation of releases: servers that carry RPCs, each a little better or worse than the others, zones whose
// services fail for all in them, servers that are cut off, leaders that change; and versions that are bad in a stated way. The
// state machine is decision/release's own. It must never tell that machine what a version is like.

import (
	"fmt"
	"math"
	"math/rand/v2"

	"sorrelvalve/decision/release"
)

// VersionDefect is what is wrong with a version.
type VersionDefect int

// The kinds of bad versions.
const (
	NoDefect         VersionDefect = iota
	DefectErrors                   // a part of all RPCs
	DefectUnderLoad                // only where a server carries more than usual
	DefectOneZone                  // in one zone only
	DefectStarvation               // the most critical method is pushed back
	DefectMemoryLeak               // memory
	DefectCrashLoop                // starts again and again
	DefectRejected                 // by each server's checks
	defectCount
)

// DefectCount is how many kinds there are, the good one among them.
const DefectCount = int(defectCount)

func (b VersionDefect) String() string {
	return [...]string{"good", "fails", "under load", "in one zone", "starves the most critical", "leaks", "crashes", "refused"}[b]
}

// RolloutRun is one simulated release. Times are ms.
type RolloutRun struct {
	Servers, Zones int
	RatePerServer  float64 // RPCs a second at each
	Seed           uint64
	Defect         VersionDefect
	Faults         bool
	Rules          release.Rules
	CanaryAnalysis bool // else fixed waves without judgement: no look tells what was carried
	SingleWave     bool // all servers in one wave
}

// RolloutOutcome is what came of one.
type RolloutOutcome struct {
	Phase          release.Phase
	Reason         string
	ServersReached int     // servers that ever ran the version
	CanaryServers  int     // of the first wave
	FirstTwoWaves  int     // of the first two
	DurationMs     float64 // ms from the first assignment to the end, or to the halt
	ServedShare    float64 // RPCs that were ok, over those that would be without the version
	ExposureMs     float64 // ms for which it was bad before it reached more than the first two waves
	Errors         []string
	Diverged       int // heard servers that do not run what they are assigned, at the end
	Restored       bool
}

type rolloutServer struct {
	name, zone       string
	errorRate        float64 // share of bad ends of its own
	version          uint64
	startID          uint64
	rejectedVersion  uint64
	counts           release.Counts
	memoryMB         float64
	unreachableUntil float64 // not heard until
	warmAt           float64 // from then on
}

// fellBad are shares of bad ends that bad versions bring.
const (
	defectErrorRate = 0.08
	meanErrorRate   = 0.002 // usual one of a server, in the mean
	rolloutStepMs   = 2000.0
)

// Run plays it to its end.
func (x RolloutRun) Run() (end RolloutOutcome) {
	chance := rand.New(rand.NewPCG(x.Seed, 11))
	book := release.New()
	var roster []release.Server
	servers := make([]*rolloutServer, x.Servers)
	for i := range servers {
		z := fmt.Sprint("z", i%x.Zones)
		s := &rolloutServer{name: fmt.Sprint("n", i), zone: z, errorRate: meanErrorRate * (0.5 + chance.ExpFloat64()), startID: 1, memoryMB: 40 + 8*chance.Float64()}
		servers[i], roster = s, append(roster, release.Server{Name: s.name, Zone: z})
	}
	n := 0
	do := func(c release.Command) release.Result {
		n++
		c.ID = fmt.Sprint(n)
		return book.Apply(c)
	}
	rules := x.Rules
	if x.SingleWave {
		rules.CanaryServers, rules.MaxWaveShare, rules.MaxGrowth = 64, 1, 16
	}
	put := do(release.Command{Kind: release.PutVersion, Body: []byte("new")})
	plan := do(release.Command{Kind: release.PlanRelease, Version: put.Version, Rules: &rules, Servers: roster})
	if !plan.OK || !do(release.Command{Kind: release.StartRelease, Release: plan.Release.Number}).OK {
		end.Errors = append(end.Errors, plan.Reason)
		return end
	}
	waves := plan.Release.Waves
	end.CanaryServers = len(waves[0])
	end.FirstTwoWaves = end.CanaryServers
	if len(waves) > 1 {
		end.FirstTwoWaves += len(waves[1])
	}
	// Faults: one zone's service for a while, some servers cut off, a leader lost now and then.
	trouble := struct {
		zone     string
		from, to float64
	}{}
	if x.Faults && chance.IntN(3) == 0 {
		trouble.zone = fmt.Sprint("z", chance.IntN(x.Zones))
		trouble.from = 60e3 * chance.Float64() * 10
		trouble.to = trouble.from + 20e3 + 60e3*chance.Float64()
	}
	ok, usual := 0.0, 0.0
	reached := map[string]bool{}
	first, load := math.Inf(1), 1.0
	poisson := func(mean float64) float64 { // by its normal form, exact enough for what is summed
		return math.Max(0, math.Round(mean+math.Sqrt(mean)*chance.NormFloat64()))
	}
	resumes := 0
	limit := 3600e3
	for now := 0.0; now < limit; now += rolloutStepMs {
		if int(now/rolloutStepMs)%15 == 0 {
			load = 0.6 + 0.8*chance.Float64()
		}
		for _, s := range servers {
			heard := now >= s.unreachableUntil
			if heard && x.Faults && chance.Float64() < 0.00002 {
				s.unreachableUntil = now + 5e3 + 60e3*chance.Float64()
			}
			if target := book.Target(s.name); heard && target != s.version { // told with its word, taken at once
				if x.Defect == DefectRejected && target == put.Version {
					s.rejectedVersion = target
				} else {
					s.version, s.counts = target, release.Counts{}
					if target == put.Version {
						reached[s.name] = true
						first = math.Min(first, now)
					}
				}
			}
			bad := s.errorRate
			if now >= trouble.from && now < trouble.to && s.zone == trouble.zone {
				bad += 0.3
			}
			top, without := bad, bad
			if s.version == put.Version {
				switch x.Defect {
				case DefectErrors:
					bad += defectErrorRate
					top = bad
				case DefectUnderLoad:
					if load > 1.1 {
						bad += 2 * defectErrorRate
						top = bad
					}
				case DefectOneZone:
					if s.zone == "z1" {
						bad += 2 * defectErrorRate
						top = bad
					}
				case DefectStarvation:
					top += 0.5
				case DefectMemoryLeak:
					s.memoryMB += 0.6 * rolloutStepMs / 1000
				case DefectCrashLoop:
					if now >= s.warmAt { // up for three seconds, then again
						s.startID++
						s.counts, s.warmAt = release.Counts{}, now+3e3
					}
				}
			}
			n := poisson(x.RatePerServer * load * rolloutStepMs / 1000)
			tops := math.Round(0.15 * n)
			down := x.Defect == DefectCrashLoop && s.version == put.Version
			if down {
				bad, top = 1, 1
			}
			b := math.Min(n-tops, poisson((n-tops)*bad))
			tb := math.Min(tops, poisson(tops*top))
			s.counts.Total += n
			s.counts.Failed += b
			s.counts.Critical += tops
			s.counts.CriticalFailed += tb
			ok, usual = ok+n-b-tb, usual+n*(1-without)
		}
		if len(reached) > 0 && len(reached) <= end.FirstTwoWaves && (x.Defect != DefectUnderLoad || load > 1.1) {
			end.ExposureMs += rolloutStepMs
		}
		look := release.Command{Kind: release.Observe, ElapsedMS: rolloutStepMs}
		if x.Faults && chance.Float64() < 0.01 {
			look.ElapsedMS = 0 // another leads
		}
		for _, s := range servers {
			if now < s.unreachableUntil {
				continue
			}
			o := release.Report{Name: s.name, Incarnation: s.startID, Version: s.version, RejectedVersion: s.rejectedVersion, RejectReason: "it is wrong", Warm: now >= s.warmAt, ResidentMB: s.memoryMB, Counts: s.counts}
			if !x.CanaryAnalysis { // what it carries is told without its ends
				o.Counts, o.ResidentMB = release.Counts{Total: s.counts.Total}, 0
				o.Incarnation, o.Warm = 1, true
			}
			look.Reports = append(look.Reports, o)
		}
		do(look)
		r := book.Release
		switch r.Phase {
		case release.Paused:
			if resumes++; x.Defect == NoDefect && resumes < 20 || resumes < 20 && x.Faults { // an operator looks, finds nothing, and goes on
				now += 30e3
				do(release.Command{Kind: release.Resume, Release: r.Number, Actor: "me"})
				continue
			}
			limit = math.Min(limit, now+120e3)
		case release.RolledBack, release.Completed, release.Abandoned:
			limit = math.Min(limit, now+120e3) // and what comes after: those that were not heard
		}
		if (r.Phase == release.RolledBack || r.Phase == release.Completed || r.Phase == release.RollingBack) && end.DurationMs == 0 && !math.IsInf(first, 1) {
			end.DurationMs = now - first
		}
	}
	r := book.Release
	end.Phase, end.Reason, end.ServersReached, end.ServedShare = r.Phase, r.Reason, len(reached), ok/usual
	end.Restored = r.Phase == release.RolledBack
	for _, s := range servers {
		if s.version != book.Target(s.name) && !(s.rejectedVersion != 0 && book.Target(s.name) == s.rejectedVersion) {
			end.Diverged++
		}
		if s.version != 0 {
			end.Restored = false
		}
	}
	return end
}
