package release

// This file applies the leader's observations: it accumulates the counts, and decides whether a wave advances, waits, pauses
// or rolls back.

import (
	"fmt"
	"slices"
)

const (
	// maxElapsedMS bounds the time that one observation adds: nothing is known about the servers during a longer gap.
	maxElapsedMS = 5e3
	// highMemoryObservations is the number of consecutive observations with excess memory that cause a rollback: a single one
	// may be due to a late garbage collection.
	highMemoryObservations = 3
	// doubtfulRatio is the likelihood ratio from which evidence makes the wave wait for more, although it does not yet prove a
	// difference.
	doubtfulRatio = 20.0
	// maxUncertainMS is how long too many servers may be unreachable, or an automatic halt may last, before the release
	// pauses. After a change of leaders all servers are unreachable for one or two seconds, during which nothing advances.
	maxUncertainMS = 8e3
	// maxStarts bounds the starts of a server on the version within its wave: the one that applied the version, and one more.
	maxStarts = 2
)

// observe applies an observation of the leader to the active release, if there is one.
func (s *State) observe(c *Command) {
	r := s.Release
	if r == nil || !r.Phase.Active() {
		return
	}
	elapsed := min(max(c.ElapsedMS, 0), maxElapsedMS)
	r.PhaseMS += elapsed
	reports := map[string]*Report{}
	for i := range c.Reports {
		if report := &c.Reports[i]; report.Name != "" {
			reports[report.Name] = report
		}
	}
	r.accumulate(reports)
	unreachable := s.updatePending(reports)
	switch r.Phase {
	case RollingBack:
		s.rollBackWaves(reports)
	case Baseline:
		uncertainty := r.updateUncertainty(c, unreachable, elapsed)
		s.advanceBaseline(c, uncertainty)
	case Running:
		uncertainty := r.updateUncertainty(c, unreachable, elapsed)
		s.advanceWave(c, reports, uncertainty, elapsed)
	}
}

// accumulate adds the counts since the last reports to those of the wave. It includes only RPCs that a server handled while
// warm, with the same version and in the same incarnation as in its last report.
func (r *Release) accumulate(reports map[string]*Report) {
	versionChanged := false
	for name := range r.Zones {
		report := reports[name]
		if report == nil {
			continue
		}
		last, known := r.LastReports[name]
		r.LastReports[name] = LastReport{Incarnation: report.Incarnation, Version: report.Version, Counts: report.Counts}
		if known && last.Incarnation == report.Incarnation && last.Version == report.Version && report.Warm {
			r.addCounts(name, report.Counts.minus(last.Counts))
		} else if known && last.Version != report.Version {
			versionChanged = true
		}
		r.trackMemory(name, report)
		r.trackRestarts(name, report)
	}
	// Both sides are compared over the same minutes: those since the last server changed its version.
	if versionChanged && r.Phase == Running {
		clear(r.WaveCounts)
		clear(r.MinMemoryMB)
	}
}

func (r *Release) addCounts(name string, counts Counts) {
	if r.Phase == Baseline {
		r.Baseline.add(counts)
	}
	sum := r.WaveCounts[name]
	sum.add(counts)
	r.WaveCounts[name] = sum
}

func (r *Release) trackMemory(name string, report *Report) {
	if !report.Warm || report.ResidentMB <= 0 {
		return
	}
	smallest, known := r.MinMemoryMB[name]
	if !known || report.ResidentMB < smallest {
		r.MinMemoryMB[name] = report.ResidentMB
	}
}

func (r *Release) trackRestarts(name string, report *Report) {
	if report.Version != r.Version || !slices.Contains(r.currentWave(), name) {
		return
	}
	if count := r.Restarts[name]; count.Incarnation != report.Incarnation {
		r.Restarts[name] = RestartCount{Incarnation: report.Incarnation, Starts: count.Starts + 1}
	}
}

// updatePending lists the servers that do not report their target version, and returns how many of them are unreachable.
func (s *State) updatePending(reports map[string]*Report) (unreachable int) {
	r := s.Release
	r.Pending = r.Pending[:0]
	for _, name := range r.servers() {
		report := reports[name]
		if report == nil {
			unreachable++
		}
		if report == nil || report.Version != s.Target(name) {
			r.Pending = append(r.Pending, name)
		}
	}
	return unreachable
}

// updateUncertainty returns why too little is known to advance, "" if enough is known, and measures how long that has lasted.
func (r *Release) updateUncertainty(c *Command, unreachable int, elapsed float64) string {
	uncertainty := c.AutoHaltReason
	if unreachable > r.Rules.MaxUnreachable {
		uncertainty = fmt.Sprintf("%d servers are not heard", unreachable)
	}
	r.UncertainMS += elapsed
	if uncertainty == "" {
		r.UncertainMS = 0
	}
	return uncertainty
}

// advanceBaseline begins the first wave once the baseline has been measured, and pauses the release if it cannot be.
func (s *State) advanceBaseline(c *Command, uncertainty string) {
	r := s.Release
	switch {
	case c.HaltReason != "":
		s.pause("halted: %s", c.HaltReason)
	case r.UncertainMS >= maxUncertainMS:
		s.pause("%s", uncertainty)
	case uncertainty == "" && r.PhaseMS >= r.Rules.BakeMS && r.Baseline.Total >= r.Rules.MinRPCs:
		s.nextWave()
	case r.PhaseMS >= r.Rules.MaxWaveMS:
		s.pauseForTraffic(r.Baseline.Total)
	}
}

func (s *State) pauseForTraffic(total float64) {
	s.pause("too little is carried to judge by: %.0f RPCs in %.0f s", total, s.Release.PhaseMS/1000)
}

// advanceWave rolls back if the version is worse, pauses if too little is known, and begins the next wave once the current
// one has run long enough.
func (s *State) advanceWave(c *Command, reports map[string]*Report, uncertainty string, elapsed float64) {
	r := s.Release
	if failure := r.failure(reports); failure != "" {
		s.rollBack("%s", failure)
		return
	}
	sides := s.split(reports)
	if regression := r.regression(&sides); regression != "" {
		s.rollBack("%s", regression)
		return
	}
	if degraded := controlDegraded(r.Baseline, sides.control); degraded != "" {
		s.pause("%s", degraded)
		return
	}
	// A halt or too little information stops the release without blaming the version.
	switch {
	case c.HaltReason != "":
		s.pause("halted: %s", c.HaltReason)
		return
	case r.waveUnreachable(reports) && r.PhaseMS >= r.Rules.MaxWaveMS/2:
		s.rollBack("nobody of the wave is heard any more")
		return
	case r.UncertainMS >= maxUncertainMS:
		s.pause("%s", uncertainty)
		return
	}
	s.concludeWave(reports, &sides, uncertainty, elapsed)
}

// concludeWave begins the next wave, waits, or pauses if the wave takes too long.
func (s *State) concludeWave(reports map[string]*Report, sides *comparison, uncertainty string, elapsed float64) {
	r := s.Release
	warm := r.waveWarm(reports)
	if warm {
		r.WarmMS += elapsed
	} else {
		r.WarmMS = 0
	}
	var served Counts
	for i := range sides.canary {
		served.add(sides.canary[i].counts)
	}
	evidenceDoubtful := len(sides.control) > 0 && r.Evidence.LikelihoodRatio >= doubtfulRatio
	doubt := uncertainty != "" || r.HighMemoryStreak > 0 || evidenceDoubtful
	switch {
	case r.WarmMS >= r.Rules.BakeMS && served.Total >= r.Rules.MinRPCs && !doubt:
		s.nextWave()
	case r.PhaseMS < r.Rules.MaxWaveMS:
		return
	case doubt:
		s.pause("in doubt after %.0f s: %s %s, worse by %.3g", r.PhaseMS/1000, r.Evidence.Signal, r.Evidence.Zone, r.Evidence.Excess)
	case !warm:
		s.pause("after %.0f s not all of the wave run it: %v", r.PhaseMS/1000, r.Pending)
	default:
		s.pauseForTraffic(served.Total)
	}
}

// failure describes how a server of the wave failed on the version: the server rejected the version, or restarts repeatedly;
// "" if none failed.
func (r *Release) failure(reports map[string]*Report) string {
	crashed := ""
	for _, name := range r.currentWave() {
		report := reports[name]
		if report == nil {
			continue
		}
		if report.RejectedVersion == r.Version {
			return fmt.Sprintf("%s will not take it: %s", name, report.RejectReason)
		}
		if r.Restarts[name].Starts > maxStarts {
			crashed = name
		}
	}
	if crashed == "" {
		return ""
	}
	return fmt.Sprintf("%s has started %d times on it", crashed, r.Restarts[crashed].Starts)
}

// regression describes in what the version is worse than the control group, memory or a signal; "" if it is not worse. It
// updates the evidence and the streak of excess memory.
func (r *Release) regression(sides *comparison) string {
	if excess := excessMemory(sides.canaryMemory, sides.controlMemory); excess != "" {
		r.HighMemoryStreak++
		if r.HighMemoryStreak >= highMemoryObservations {
			return excess
		}
	} else {
		r.HighMemoryStreak = 0
	}
	if len(sides.control) == 0 {
		return ""
	}
	evidence, worse := compare(r.Rules, len(r.Waves), sides.canary, sides.control)
	r.Evidence = evidence
	if !worse {
		return ""
	}
	return fmt.Sprintf("worse by %.3g: %s %s", evidence.Excess, evidence.Signal, evidence.Zone)
}

// waveUnreachable reports whether no server of the wave is reachable.
func (r *Release) waveUnreachable(reports map[string]*Report) bool {
	for _, name := range r.currentWave() {
		if reports[name] != nil {
			return false
		}
	}
	return true
}

// waveWarm reports whether all servers of the wave are reachable and run the version, warm.
func (r *Release) waveWarm(reports map[string]*Report) bool {
	for _, name := range r.currentWave() {
		report := reports[name]
		if report == nil || report.Version != r.Version || !report.Warm {
			return false
		}
	}
	return true
}

// comparison has the reachable, warm servers on both sides of a release.
type comparison struct {
	canary, control             []sample // the servers with the version, and those without it
	canaryMemory, controlMemory []memoryUse
}

// split returns the two sides of the release. Servers of earlier waves are on the canary side.
func (s *State) split(reports map[string]*Report) (sides comparison) {
	r := s.Release
	for _, name := range r.servers() {
		report := reports[name]
		if report == nil || !report.Warm {
			continue
		}
		traffic := sample{zone: r.Zones[name], counts: r.WaveCounts[name]}
		memory := memoryUse{name: name, residentMB: report.ResidentMB}
		if smallest, known := r.MinMemoryMB[name]; known {
			memory.grownMB = report.ResidentMB - smallest
		}
		target := s.Target(name)
		switch {
		case report.Version == r.Version && target == r.Version:
			sides.canary = append(sides.canary, traffic)
			sides.canaryMemory = append(sides.canaryMemory, memory)
		case report.Version == r.Previous[name] && target == r.Previous[name]:
			sides.control = append(sides.control, traffic)
			sides.controlMemory = append(sides.controlMemory, memory)
		}
	}
	return sides
}
