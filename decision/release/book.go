package release

// This file owns the state machine: versions, one release at a time, what is assigned to whom, and each step from what was seen. It
// must never take a step whose cause is not in the command at hand.

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
)

// Version is settings as an operator gave them, whole.
type Version struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"` // SHA-256 of the body, hex
	Body   []byte `json:"body"`
	Actor  string `json:"who"`
	Reason string `json:"why"`
}

// Phase is where a release stands.
type Phase string

const (
	Planned        Phase = "planned"
	Baseline       Phase = "before" // how all are before the first wave is counted
	Running        Phase = "running"
	Paused         Phase = "held"    // what was assigned stays; nothing more is
	RollingBack    Phase = "backing" // waves go back, the last first
	RollbackPaused Phase = "back held"
	Completed      Phase = "done"
	RolledBack     Phase = "returned"
	Abandoned      Phase = "ended" // by hand: all stays as it is
)

// Active tells whether a release goes on.
func (p Phase) Active() bool {
	return p != Planned && p != Completed && p != RolledBack && p != Abandoned && p != ""
}

// Release is one version on its way to all.
type Release struct {
	Number           uint64                  `json:"number"`
	Version          uint64                  `json:"version"`
	Rules            Rules                   `json:"rules"`
	Waves            [][]string              `json:"waves"`
	Zones            map[string]string       `json:"zones"`
	Phase            Phase                   `json:"phase"`
	Wave             int                     `json:"wave"`   // the latest that has begun, -1 for none
	PhaseMS          float64                 `json:"for"`    // ms of the wave or phase at hand
	WarmMS           float64                 `json:"warm"`   // ms since all that are heard of the wave run the version, warm
	Reason           string                  `json:"why"`    // of the phase
	Actor            string                  `json:"who"`    // by hand; "" by itself
	Previous         map[string]uint64       `json:"former"` // what each had before
	Baseline         Counts                  `json:"base"`   // of all, before the first wave
	LastReports      map[string]LastReport   `json:"last"`   // what was told last
	WaveCounts       map[string]Counts       `json:"sums"`   // of this wave's minutes, by server
	Restarts         map[string]RestartCount `json:"starts"` // of each since its wave began
	MinMemoryMB      map[string]float64      `json:"least"`  // MB resident in this wave's minutes
	UncertainMS      float64                 `json:"wary"`   // ms for which too much was not known, or the fleet had halted by itself
	HighMemoryStreak int                     `json:"heavy"`  // looks in a row with too much memory
	Evidence         Evidence                `json:"evidence"`
	Pending          []string                `json:"missing"` // of the waves so far: not heard, or not yet what they are to be
}

// Was is what a server told last, so that what came since is known.
type LastReport struct {
	Incarnation uint64 `json:"start"`
	Version     uint64 `json:"version"`
	Counts      Counts `json:"counts"`
}

// Life counts the starts of a server in its wave.
type RestartCount struct {
	Incarnation uint64 `json:"start"`
	Starts      int    `json:"count"`
}

// Seen is what a leader heard of one server.
type Report struct {
	Name            string  `json:"name"`
	Incarnation     uint64  `json:"start"`
	Version         uint64  `json:"version"`           // that it runs; 0: its own file's
	RejectedVersion uint64  `json:"refused,omitempty"` // that it would not take
	RejectReason    string  `json:"why,omitempty"`     // it would not
	Warm            bool    `json:"warm"`
	ResidentMB      float64 `json:"mb,omitempty"` // resident
	Counts          Counts  `json:"counts"`       // since it runs the version, warm

	ProgramVersion uint64 `json:"program,omitempty"` // version of the program that it runs; 0: what it is started with by itself
}

// Of is what the server's program is to its release, as the version is to that of settings.
func (s *Report) ForProgram() Report {
	x := *s
	x.Version, x.RejectedVersion, x.RejectReason, x.ProgramVersion = s.ProgramVersion, 0, "", 0
	return x
}

// Track is what a version is of. Each has a book of its own; one release goes on at a time over both.
type Track string

// The tracks. A program's version is the name by which what supervises a server starts it.
const (
	Settings Track = ""
	Program  Track = "program"
)

// Kind is what a command does.
type Kind string

const (
	PutVersion   Kind = "put"  // a version
	PlanRelease  Kind = "plan" // a release of it
	StartRelease Kind = "start"
	Pause        Kind = "hold"
	Resume       Kind = "resume"
	RollBack     Kind = "back"
	Abandon      Kind = "end"
	Observe      Kind = "look" // by a leader: what is seen, and the time since the last look
)

// Command is one entry of the keepers' log.
type Command struct {
	ID             string   `json:"id"`
	Track          Track    `json:"track,omitempty"`
	Kind           Kind     `json:"kind"`
	Body           []byte   `json:"body,omitempty"`    // Put
	Version        uint64   `json:"version,omitempty"` // Plan
	Rules          *Rules   `json:"rules,omitempty"`   // Plan
	Release        uint64   `json:"release,omitempty"` // Start, Hold, Resume, Back, End
	Actor          string   `json:"who,omitempty"`
	Reason         string   `json:"why,omitempty"`
	ElapsedMS      float64  `json:"passed,omitempty"`  // Look: ms
	Reports        []Report `json:"seen,omitempty"`    // Look: of those that are heard
	HaltReason     string   `json:"halted,omitempty"`  // Look: why nothing new begins in the fleet, by hand
	AutoHaltReason string   `json:"wary,omitempty"`    // Look: the same, by itself: it may pass
	Servers        []Server `json:"servers,omitempty"` // Plan: the roster, which its keeper adds
	OtherRelease   string   `json:"other,omitempty"`   // Plan: a release of the other track that goes on, which its keeper's log adds
}

// Answer is what a command comes to.
type Result struct {
	OK      bool     `json:"ok"`
	Version uint64   `json:"version,omitempty"`
	Release *Release `json:"release,omitempty"`
	Reason  string   `json:"why,omitempty"`
}

// Step is one that an operator may want to look up.
type Transition struct {
	Release uint64 `json:"release"`
	Phase   Phase  `json:"phase"`
	Wave    int    `json:"wave"`
	Actor   string `json:"who,omitempty"`
	Reason  string `json:"why,omitempty"`
}

const (
	maxVersions    = 32
	maxBodyBytes   = 256 << 10
	maxTransitions = 512
	maxResults     = 256
	maxTextBytes   = 256
	// mostPassed ms of a look count: after a longer gap nobody knows what was in it.
	maxElapsedMS = 5e3
	// heavyLooks in a row with too much memory: one may be a collector that is late.
	highMemoryObservations = 3
	// doubtful evidence, times likelier with a difference, is no proof and no reason to go on: the wave waits for more.
	doubtfulRatio = 20.0
	// wariness ms of too many unheard servers, or of a halt by itself, and the release is held. After a change of leaders all are
	// unheard for a second or two, and nothing goes on in that time either.
	maxUncertainMS = 8e3
)

// Book is all that keepers agree on of versions and releases.
type State struct {
	LastVersion    uint64            `json:"next"` // version
	Versions       []Version         `json:"versions"`
	LastRelease    uint64            `json:"number"` // of the latest release
	Release        *Release          `json:"release,omitempty"`
	Assigned       map[string]uint64 `json:"assigned"` // version by server; 0 or none: its own file's
	DefaultVersion uint64            `json:"settled"`  // the version of the last release that came to its end: for who is new
	Transitions    []Transition      `json:"steps"`
	Results        map[string]Result `json:"answers"`
	ResultOrder    []string          `json:"order"`
}

// New is a book without versions.
func New() *State { return &State{Assigned: map[string]uint64{}, Results: map[string]Result{}} }

// Apply carries out one command. The same again gets the same answer and does nothing.
func (b *State) Apply(c Command) Result {
	if c.ID == "" || len(c.ID) > maxTextBytes || len(c.Actor) > maxTextBytes || len(c.Reason) > maxTextBytes {
		return Result{Reason: fmt.Sprintf("an id, and texts of at most %d bytes, expected", maxTextBytes)}
	}
	if a, done := b.Results[c.ID]; done {
		return a
	}
	a := b.apply(&c)
	if c.Kind != Observe {
		b.Results[c.ID] = a
		if b.ResultOrder = append(b.ResultOrder, c.ID); len(b.ResultOrder) > maxResults {
			delete(b.Results, b.ResultOrder[0])
			b.ResultOrder = slices.Delete(b.ResultOrder, 0, 1)
		}
	}
	return a
}

func (b *State) apply(c *Command) Result {
	switch c.Kind {
	case PutVersion:
		return b.put(c)
	case PlanRelease:
		return b.plan(c)
	case Observe:
		b.observe(c)
		return Result{OK: true}
	case StartRelease, Pause, Resume, RollBack, Abandon:
	default:
		return Result{Reason: fmt.Sprintf("%.40q is no command", string(c.Kind))}
	}
	r := b.Release
	if r == nil || c.Release != 0 && c.Release != r.Number {
		return Result{Reason: fmt.Sprintf("release %d is not the one at hand", c.Release)}
	}
	to, why := Phase(""), cmp.Or(c.Reason, "no reason told")
	switch p := r.Phase; {
	case c.Kind == StartRelease && p == Planned:
		to = Baseline
	case c.Kind == Pause && (p == Running || p == Baseline):
		to = Paused
	case c.Kind == Pause && p == RollingBack:
		to = RollbackPaused
	case c.Kind == Resume && p == Paused && r.Wave < 0:
		to = Baseline
	case c.Kind == Resume && p == Paused:
		to = Running
	case c.Kind == Resume && p == RollbackPaused:
		to = RollingBack
	case c.Kind == RollBack && (p == Running || p == Paused || p == Baseline || p == Completed && c.Release == r.Number):
		to = RollingBack
	case c.Kind == RollBack && (p == RollingBack || p == RollbackPaused):
		return Result{OK: true, Release: r.summary(), Reason: "it goes back already"}
	case c.Kind == Abandon && (p.Active() || p == Planned):
		to = Abandoned
	default:
		return Result{Reason: fmt.Sprintf("release %d is %s: no %s", r.Number, p, c.Kind), Release: r.summary()}
	}
	b.enterPhase(to, cmp.Or(c.Actor, "somebody"), why)
	return Result{OK: true, Release: r.summary()}
}

// shown is a copy without what only the machine needs.
func (r *Release) summary() *Release {
	x := *r
	x.Pending = slices.Clone(x.Pending)
	x.LastReports, x.WaveCounts, x.Restarts, x.Previous, x.Zones, x.MinMemoryMB = nil, nil, nil, nil, nil, nil
	return &x
}

func (b *State) put(c *Command) Result {
	if len(c.Body) == 0 || len(c.Body) > maxBodyBytes {
		return Result{Reason: fmt.Sprintf("a version of up to %d bytes expected, %d there", maxBodyBytes, len(c.Body))}
	}
	sum := sha256.Sum256(c.Body)
	hash := hex.EncodeToString(sum[:])
	for i := range b.Versions {
		if b.Versions[i].Hash == hash {
			return Result{OK: true, Version: b.Versions[i].Number, Reason: "it is known already"}
		}
	}
	if len(b.Versions) >= maxVersions { // the oldest that nobody has and no release may need goes
		needed := map[uint64]bool{b.DefaultVersion: true}
		for _, v := range b.Assigned {
			needed[v] = true
		}
		if b.Release != nil {
			needed[b.Release.Version] = true
			for _, v := range b.Release.Previous {
				needed[v] = true
			}
		}
		i := slices.IndexFunc(b.Versions, func(v Version) bool { return !needed[v.Number] })
		if i < 0 {
			return Result{Reason: fmt.Sprintf("%d versions are kept, and all are in use", maxVersions)}
		}
		b.Versions = slices.Delete(b.Versions, i, i+1)
	}
	b.LastVersion++
	b.Versions = append(b.Versions, Version{b.LastVersion, hash, c.Body, c.Actor, c.Reason})
	return Result{OK: true, Version: b.LastVersion}
}

// Version returns one that is kept.
func (b *State) Version(number uint64) *Version {
	for i := range b.Versions {
		if b.Versions[i].Number == number {
			return &b.Versions[i]
		}
	}
	return nil
}

func (b *State) plan(c *Command) Result {
	if r := b.Release; r != nil && r.Phase.Active() {
		return Result{Reason: fmt.Sprintf("release %d of version %d is %s: it comes to its end first", r.Number, r.Version, r.Phase), Release: r.summary()}
	}
	if c.OtherRelease != "" {
		return Result{Reason: c.OtherRelease + ": it comes to its end first"}
	}
	if b.Version(c.Version) == nil {
		return Result{Reason: fmt.Sprintf("version %d is not kept", c.Version)}
	}
	if c.Rules == nil {
		return Result{Reason: "rules expected"}
	}
	if wrong := c.Rules.Validate(); wrong != "" {
		return Result{Reason: wrong}
	}
	if len(c.Servers) == 0 {
		return Result{Reason: "the roster is empty"}
	}
	roster := map[string]bool{}
	for _, x := range c.Servers {
		roster[x.Name] = true
	}
	maps.DeleteFunc(b.Assigned, func(name string, _ uint64) bool { return !roster[name] })
	b.LastRelease++
	r := &Release{Number: b.LastRelease, Version: c.Version, Rules: *c.Rules, Waves: Waves(*c.Rules, c.Servers, b.LastRelease), Phase: Planned, Wave: -1,
		Zones: map[string]string{}, Previous: map[string]uint64{}, LastReports: map[string]LastReport{}, WaveCounts: map[string]Counts{}, Restarts: map[string]RestartCount{}, MinMemoryMB: map[string]float64{}, Actor: c.Actor, Reason: c.Reason}
	for _, s := range c.Servers {
		r.Zones[s.Name] = s.Zone
	}
	b.Release = r
	return Result{OK: true, Version: c.Version, Release: r.summary()}
}

// Goes names the release that goes on; "" if none does.
func (b *State) ActiveSummary() string {
	if r := b.Release; r != nil && r.Phase.Active() {
		return fmt.Sprintf("release %d of version %d is %s", r.Number, r.Version, r.Phase)
	}
	return ""
}

// Target is the version that a server is to run: what its wave has come to, not the newest there is.
func (b *State) Target(name string) uint64 {
	if v, is := b.Assigned[name]; is {
		return v
	}
	return b.DefaultVersion
}

// turn brings a release into another phase, and records why.
func (b *State) enterPhase(to Phase, who, why string) {
	r := b.Release
	if to == RollingBack && r.Phase == Completed { // the last wave first, as from any other
		r.Wave = len(r.Waves) - 1
	}
	r.Phase, r.Actor, r.Reason, r.PhaseMS, r.WarmMS, r.HighMemoryStreak, r.UncertainMS = to, who, why, 0, 0, 0, 0
	clear(r.WaveCounts)
	clear(r.MinMemoryMB)
	if to == Baseline { // what each has is what it goes back to
		for name := range r.Zones {
			r.Previous[name] = b.Target(name)
		}
		r.Baseline = Counts{}
	}
	b.recordTransition()
}

func (b *State) recordTransition() {
	r := b.Release
	b.Transitions = append(b.Transitions, Transition{r.Number, r.Phase, r.Wave, r.Actor, r.Reason})
	if len(b.Transitions) > maxTransitions {
		b.Transitions = slices.Delete(b.Transitions, 0, len(b.Transitions)-maxTransitions)
	}
}

// look takes what is seen, and the steps that follow from it.
func (b *State) observe(c *Command) {
	r := b.Release
	if r == nil || !r.Phase.Active() {
		return
	}
	passed := min(max(c.ElapsedMS, 0), maxElapsedMS)
	r.PhaseMS += passed
	seen := map[string]*Report{}
	for i := range c.Reports {
		if s := &c.Reports[i]; s.Name != "" {
			seen[s.Name] = s
		}
	}
	var wave []string
	if r.Wave >= 0 {
		wave = r.Waves[r.Wave]
	}
	b.accumulate(seen, wave)
	r.Pending = r.Pending[:0]
	unheard := 0
	for _, name := range slices.Sorted(maps.Keys(r.Zones)) {
		s := seen[name]
		if s == nil {
			unheard++
		}
		if s == nil || s.Version != b.Target(name) {
			r.Pending = append(r.Pending, name)
		}
	}
	switch r.Phase {
	case RollingBack:
		b.rollBackWaves(seen)
	case Baseline, Running:
		b.advance(c, seen, wave, unheard, passed)
	}
}

// count adds what came since the last look to the sums of this wave's minutes. Only what a server carried warm, on one version and
// in one life, counts.
func (b *State) accumulate(seen map[string]*Report, wave []string) {
	r := b.Release
	moved := false
	for name := range r.Zones {
		s := seen[name]
		if s == nil {
			continue
		}
		was, had := r.LastReports[name]
		r.LastReports[name] = LastReport{s.Incarnation, s.Version, s.Counts}
		if had && was.Incarnation == s.Incarnation && was.Version == s.Version && s.Warm {
			d := s.Counts.minus(was.Counts)
			if r.Phase == Baseline {
				r.Baseline.add(d)
			}
			x := r.WaveCounts[name]
			x.add(d)
			r.WaveCounts[name] = x
		} else if had && was.Version != s.Version {
			moved = true
		}
		if s.Warm && s.ResidentMB > 0 {
			if least, is := r.MinMemoryMB[name]; !is || s.ResidentMB < least {
				r.MinMemoryMB[name] = s.ResidentMB
			}
		}
		if slices.Contains(wave, name) && s.Version == r.Version {
			if l := r.Restarts[name]; l.Incarnation != s.Incarnation {
				r.Restarts[name] = RestartCount{s.Incarnation, l.Starts + 1}
			}
		}
	}
	if moved && r.Phase == Running { // both sides are counted over the same minutes: from when the last one has taken it
		clear(r.WaveCounts)
		clear(r.MinMemoryMB)
	}
}

// goes is a look at a release on its way forward.
func (b *State) advance(c *Command, seen map[string]*Report, wave []string, unheard int, passed float64) {
	r := b.Release
	hold := func(format string, a ...any) { b.enterPhase(Paused, "", fmt.Sprintf(format, a...)) }
	back := func(format string, a ...any) { b.enterPhase(RollingBack, "", fmt.Sprintf(format, a...)) }
	wary := c.AutoHaltReason
	if unheard > r.Rules.MaxUnreachable {
		wary = fmt.Sprintf("%d servers are not heard", unheard)
	}
	if r.UncertainMS += passed; wary == "" {
		r.UncertainMS = 0
	}
	if r.Phase == Baseline {
		switch {
		case c.HaltReason != "":
			hold("halted: %s", c.HaltReason)
		case r.UncertainMS >= maxUncertainMS:
			hold("%s", wary)
		case wary == "" && r.PhaseMS >= r.Rules.BakeMS && r.Baseline.Total >= r.Rules.MinRPCs:
			b.nextWave()
		case r.PhaseMS >= r.Rules.MaxWaveMS:
			hold("too little is carried to judge by: %.0f RPCs in %.0f s", r.Baseline.Total, r.PhaseMS/1000)
		}
		return
	}
	// Bad for sure, whatever else is.
	crashed, silent := "", 0
	for _, name := range wave {
		s := seen[name]
		if s == nil {
			silent++
			continue
		}
		if s.RejectedVersion == r.Version {
			back("%s will not take it: %s", name, s.RejectReason)
			return
		}
		if r.Restarts[name].Starts > maxStarts {
			crashed = name
		}
	}
	if crashed != "" {
		back("%s has started %d times on it", crashed, r.Restarts[crashed].Starts)
		return
	}
	fresh, old, mine, theirs, all := b.split(seen, wave)
	if why := excessMemory(mine, theirs); why != "" {
		if r.HighMemoryStreak++; r.HighMemoryStreak >= highMemoryObservations {
			back("%s", why)
			return
		}
	} else {
		r.HighMemoryStreak = 0
	}
	if len(old) > 0 {
		e, worse := compare(r.Rules, len(r.Waves), fresh, old)
		if r.Evidence = e; worse {
			back("worse by %.3g: %s %s", e.Excess, e.Signal, e.Zone)
			return
		}
	}
	if why, both := controlDegraded(r.Baseline, old); both {
		hold("%s", why)
		return
	}
	// Not known, or not allowed: no further, and no blame.
	switch {
	case c.HaltReason != "":
		hold("halted: %s", c.HaltReason)
		return
	case silent == len(wave) && r.PhaseMS >= r.Rules.MaxWaveMS/2:
		back("nobody of the wave is heard any more")
		return
	case r.UncertainMS >= maxUncertainMS:
		hold("%s", wary)
		return
	}
	if all {
		r.WarmMS += passed
	} else {
		r.WarmMS = 0
	}
	var carried Counts
	for i := range fresh {
		carried.add(fresh[i].counts)
	}
	doubt := wary != "" || r.HighMemoryStreak > 0 || len(old) > 0 && r.Evidence.LikelihoodRatio >= doubtfulRatio
	switch {
	case r.WarmMS >= r.Rules.BakeMS && carried.Total >= r.Rules.MinRPCs && !doubt:
		b.nextWave()
	case r.PhaseMS >= r.Rules.MaxWaveMS && doubt:
		hold("in doubt after %.0f s: %s %s, worse by %.3g", r.PhaseMS/1000, r.Evidence.Signal, r.Evidence.Zone, r.Evidence.Excess)
	case r.PhaseMS >= r.Rules.MaxWaveMS && !all:
		hold("after %.0f s not all of the wave run it: %v", r.PhaseMS/1000, r.Pending)
	case r.PhaseMS >= r.Rules.MaxWaveMS:
		hold("too little is carried to judge by: %.0f RPCs in %.0f s", carried.Total, r.PhaseMS/1000)
	}
}

// sides are those with the version and those without, as far as they are heard and warm, their memory, and whether all of the wave
// that are heard run it warm. Earlier waves are on the version's side.
func (b *State) split(seen map[string]*Report, wave []string) (fresh, old []sample, mine, theirs []memoryUse, all bool) {
	r := b.Release
	all = true
	for _, name := range wave {
		if s := seen[name]; s != nil && (s.Version != r.Version || !s.Warm) || s == nil {
			all = false
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Zones)) {
		s := seen[name]
		if s == nil || !s.Warm {
			continue
		}
		x := sample{r.Zones[name], r.WaveCounts[name]}
		w := memoryUse{name, s.ResidentMB, 0}
		if least, is := r.MinMemoryMB[name]; is {
			w.grownMB = s.ResidentMB - least
		}
		switch {
		case s.Version == r.Version && b.Target(name) == r.Version:
			fresh, mine = append(fresh, x), append(mine, w)
		case s.Version == r.Previous[name] && b.Target(name) == r.Previous[name]:
			old, theirs = append(old, x), append(theirs, w)
		}
	}
	return fresh, old, mine, theirs, all
}

// next begins the next wave, or is the end.
func (b *State) nextWave() {
	r := b.Release
	if r.Wave+1 == len(r.Waves) {
		b.DefaultVersion = r.Version
		b.enterPhase(Completed, "", "all waves run it")
		return
	}
	r.Wave++
	for _, name := range r.Waves[r.Wave] {
		b.Assigned[name] = r.Version
	}
	clear(r.Restarts)
	b.enterPhase(Running, "", fmt.Sprintf("wave %d of %d", r.Wave+1, len(r.Waves)))
}

// backs takes a wave back at a time, the last first. Those that are not heard are not waited for: they are told when they return.
func (b *State) rollBackWaves(seen map[string]*Report) {
	r := b.Release
	if r.Wave < 0 {
		b.enterPhase(RolledBack, r.Actor, r.Reason)
		return
	}
	settled := true
	for _, name := range r.Waves[r.Wave] {
		b.Assigned[name] = r.Previous[name]
		if s := seen[name]; s != nil && s.Version != r.Previous[name] {
			settled = false
		}
	}
	if settled || r.PhaseMS >= r.Rules.MaxWaveMS {
		r.PhaseMS = 0
		if r.Wave--; r.Wave < 0 {
			if b.DefaultVersion == r.Version {
				b.DefaultVersion = mostCommonPrevious(r)
			}
			b.enterPhase(RolledBack, r.Actor, r.Reason)
		}
	}
}

// former is the version that most had before.
func mostCommonPrevious(r *Release) (version uint64) {
	n := map[uint64]int{}
	for _, v := range r.Previous {
		n[v]++
	}
	for _, v := range slices.Sorted(maps.Keys(n)) {
		if n[v] > n[version] {
			version = v
		}
	}
	return version
}
