package release

// This file has the release: its phases, the assignment of versions to servers, and the steps from wave to wave, forward
// and back.

import (
	"fmt"
	"maps"
	"slices"
)

// Phase is the phase of a release. The values are part of the replicated state.
type Phase string

// The phases of a release.
const (
	// Planned: the release has not started and has assigned nothing yet.
	Planned Phase = "planned"
	// Baseline: all servers are measured before the first wave.
	Baseline Phase = "before"
	// Running: the release advances from wave to wave.
	Running Phase = "running"
	// Paused: servers keep their assigned versions, and no more are assigned.
	Paused Phase = "held"
	// RollingBack: the waves return to their previous versions, the last wave first.
	RollingBack Phase = "backing"
	// RollbackPaused: the rollback is paused.
	RollbackPaused Phase = "back held"
	// Completed: all waves run the version.
	Completed Phase = "done"
	// RolledBack: all waves are assigned their previous versions again.
	RolledBack Phase = "returned"
	// Abandoned: an operator ended the release; servers keep their assigned versions.
	Abandoned Phase = "ended"
)

// Active reports whether a release in this phase is under way.
func (p Phase) Active() bool {
	return p != Planned && p != Completed && p != RolledBack && p != Abandoned && p != ""
}

// Release is the rollout of one version over the fleet.
type Release struct {
	Number           uint64                  `json:"number"`
	Version          uint64                  `json:"version"`
	Rules            Rules                   `json:"rules"`
	Waves            [][]string              `json:"waves"` // names of servers by wave
	Zones            map[string]string       `json:"zones"` // by server, for all servers of the release
	Phase            Phase                   `json:"phase"`
	Wave             int                     `json:"wave"`   // index of the latest wave that has begun; -1 for none
	PhaseMS          float64                 `json:"for"`    // time since the wave or phase began
	WarmMS           float64                 `json:"warm"`   // how long all servers of the wave have been reachable, warm and on the version
	Reason           string                  `json:"why"`    // of the phase
	Actor            string                  `json:"who"`    // who caused the phase; "" for the state machine itself
	Previous         map[string]uint64       `json:"former"` // version by server before the release
	Baseline         Counts                  `json:"base"`   // of all servers, before the first wave
	LastReports      map[string]LastReport   `json:"last"`   // by server
	WaveCounts       map[string]Counts       `json:"sums"`   // by server, since the wave has run the version
	Restarts         map[string]RestartCount `json:"starts"` // by server of the wave, with the version
	MinMemoryMB      map[string]float64      `json:"least"`  // by server: smallest resident size since the wave has run the version
	UncertainMS      float64                 `json:"wary"`   // how long too many servers have been unreachable, or an automatic halt has lasted
	HighMemoryStreak int                     `json:"heavy"`  // consecutive observations with excess memory
	Evidence         Evidence                `json:"evidence"`
	Pending          []string                `json:"missing"` // servers that are unreachable or do not run their assigned version yet
}

// LastReport is the last report of a server, to which the next report is compared to find what was added.
type LastReport struct {
	Incarnation uint64 `json:"start"`
	Version     uint64 `json:"version"`
	Counts      Counts `json:"counts"`
}

// RestartCount counts the starts of a server with the version.
type RestartCount struct {
	Incarnation uint64 `json:"start"` // of the latest start
	Starts      int    `json:"count"`
}

// newRelease returns a planned release.
func newRelease(number uint64, c *Command) *Release {
	r := &Release{
		Number:      number,
		Version:     c.Version,
		Rules:       *c.Rules,
		Waves:       Waves(*c.Rules, c.Servers, number),
		Zones:       map[string]string{},
		Phase:       Planned,
		Wave:        -1,
		Reason:      c.Reason,
		Actor:       c.Actor,
		Previous:    map[string]uint64{},
		LastReports: map[string]LastReport{},
		WaveCounts:  map[string]Counts{},
		Restarts:    map[string]RestartCount{},
		MinMemoryMB: map[string]float64{},
	}
	for _, s := range c.Servers {
		r.Zones[s.Name] = s.Zone
	}
	return r
}

// summary returns a copy without the fields that only the state machine needs.
func (r *Release) summary() *Release {
	copied := *r
	copied.Pending = slices.Clone(copied.Pending)
	copied.LastReports = nil
	copied.WaveCounts = nil
	copied.Restarts = nil
	copied.Previous = nil
	copied.Zones = nil
	copied.MinMemoryMB = nil
	return &copied
}

// servers returns the names of all servers of the release, sorted.
func (r *Release) servers() []string { return slices.Sorted(maps.Keys(r.Zones)) }

// currentWave returns the servers of the latest wave that has begun; nil before the first wave.
func (r *Release) currentWave() []string {
	if r.Wave < 0 {
		return nil
	}
	return r.Waves[r.Wave]
}

// nextPhase returns the phase that an operator's command leads to; "" if the command does not apply to the current phase.
func (r *Release) nextPhase(kind Kind) Phase {
	p := r.Phase
	switch kind {
	case StartRelease:
		if p == Planned {
			return Baseline
		}
	case Pause:
		switch p {
		case Running, Baseline:
			return Paused
		case RollingBack:
			return RollbackPaused
		}
	case Resume:
		switch {
		case p == Paused && r.Wave < 0:
			return Baseline
		case p == Paused:
			return Running
		case p == RollbackPaused:
			return RollingBack
		}
	case RollBack:
		switch p {
		case Running, Paused, Baseline, Completed:
			return RollingBack
		}
	case Abandon:
		if p.Active() || p == Planned {
			return Abandoned
		}
	}
	return ""
}

// enterPhase moves the release to a phase, resets the measurements of the previous one and records the transition.
func (s *State) enterPhase(phase Phase, actor, reason string) {
	r := s.Release
	if phase == RollingBack && r.Phase == Completed { // all waves have begun; the last one is rolled back first
		r.Wave = len(r.Waves) - 1
	}
	r.Phase = phase
	r.Actor = actor
	r.Reason = reason
	r.PhaseMS = 0
	r.WarmMS = 0
	r.HighMemoryStreak = 0
	r.UncertainMS = 0
	clear(r.WaveCounts)
	clear(r.MinMemoryMB)
	if phase == Baseline { // a rollback returns each server to the version that it has now
		for name := range r.Zones {
			r.Previous[name] = s.Target(name)
		}
		r.Baseline = Counts{}
	}
	s.recordTransition()
}

func (s *State) recordTransition() {
	r := s.Release
	s.Transitions = append(s.Transitions, Transition{Release: r.Number, Phase: r.Phase, Wave: r.Wave, Actor: r.Actor, Reason: r.Reason})
	if len(s.Transitions) > maxTransitions {
		s.Transitions = slices.Delete(s.Transitions, 0, len(s.Transitions)-maxTransitions)
	}
}

// pause pauses the release on behalf of the state machine.
func (s *State) pause(format string, a ...any) { s.enterPhase(Paused, "", fmt.Sprintf(format, a...)) }

// rollBack begins a rollback on behalf of the state machine.
func (s *State) rollBack(format string, a ...any) {
	s.enterPhase(RollingBack, "", fmt.Sprintf(format, a...))
}

// nextWave begins the next wave, or completes the release after the last.
func (s *State) nextWave() {
	r := s.Release
	if r.Wave+1 == len(r.Waves) {
		s.DefaultVersion = r.Version
		s.enterPhase(Completed, "", "all waves run it")
		return
	}
	r.Wave++
	for _, name := range r.Waves[r.Wave] {
		s.Assigned[name] = r.Version
	}
	clear(r.Restarts)
	s.enterPhase(Running, "", fmt.Sprintf("wave %d of %d", r.Wave+1, len(r.Waves)))
}

// rollBackWaves returns one wave at a time to its previous versions, the last wave first. It does not wait for unreachable
// servers, which receive their target when they are reachable again, nor for longer than Rules.MaxWaveMS per wave.
func (s *State) rollBackWaves(reports map[string]*Report) {
	r := s.Release
	if r.Wave < 0 {
		s.enterPhase(RolledBack, r.Actor, r.Reason)
		return
	}
	returned := true
	for _, name := range r.Waves[r.Wave] {
		s.Assigned[name] = r.Previous[name]
		if report := reports[name]; report != nil && report.Version != r.Previous[name] {
			returned = false
		}
	}
	if !returned && r.PhaseMS < r.Rules.MaxWaveMS {
		return
	}
	r.PhaseMS = 0
	r.Wave--
	if r.Wave >= 0 {
		return
	}
	if s.DefaultVersion == r.Version {
		s.DefaultVersion = r.mostCommonPrevious()
	}
	s.enterPhase(RolledBack, r.Actor, r.Reason)
}

// mostCommonPrevious returns the version that most servers had before the release; if several tie, the lowest.
func (r *Release) mostCommonPrevious() (version uint64) {
	servers := map[uint64]int{}
	for _, v := range r.Previous {
		servers[v]++
	}
	for _, v := range slices.Sorted(maps.Keys(servers)) {
		if servers[v] > servers[version] {
			version = v
		}
	}
	return version
}
