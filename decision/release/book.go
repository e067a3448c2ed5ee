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
	Who    string `json:"who"`
	Why    string `json:"why"`
}

// Phase is where a release stands.
type Phase string

const (
	Planned  Phase = "planned"
	Before   Phase = "before" // how all are before the first wave is counted
	Running  Phase = "running"
	Held     Phase = "held"    // what was assigned stays; nothing more is
	Backing  Phase = "backing" // waves go back, the last first
	BackHeld Phase = "back held"
	Done     Phase = "done"
	Returned Phase = "returned"
	Ended    Phase = "ended" // by hand: all stays as it is
)

// Active tells whether a release goes on.
func (p Phase) Active() bool {
	return p != Planned && p != Done && p != Returned && p != Ended && p != ""
}

// Release is one version on its way to all.
type Release struct {
	Number   uint64             `json:"number"`
	Version  uint64             `json:"version"`
	Rules    Rules              `json:"rules"`
	Waves    [][]string         `json:"waves"`
	Zones    map[string]string  `json:"zones"`
	Phase    Phase              `json:"phase"`
	Wave     int                `json:"wave"`   // the latest that has begun, -1 for none
	For      float64            `json:"for"`    // ms of the wave or phase at hand
	Warm     float64            `json:"warm"`   // ms since all that are heard of the wave run the version, warm
	Why      string             `json:"why"`    // of the phase
	Who      string             `json:"who"`    // by hand; "" by itself
	Former   map[string]uint64  `json:"former"` // what each had before
	Base     Counts             `json:"base"`   // of all, before the first wave
	Last     map[string]Was     `json:"last"`   // what was told last
	Sums     map[string]Counts  `json:"sums"`   // of this wave's minutes, by server
	Starts   map[string]Life    `json:"starts"` // of each since its wave began
	Least    map[string]float64 `json:"least"`  // MB resident in this wave's minutes
	Wary     float64            `json:"wary"`   // ms for which too much was not known, or the fleet had halted by itself
	Heavy    int                `json:"heavy"`  // looks in a row with too much memory
	Evidence Evidence           `json:"evidence"`
	Missing  []string           `json:"missing"` // of the waves so far: not heard, or not yet what they are to be
}

// Was is what a server told last, so that what came since is known.
type Was struct {
	Start   uint64 `json:"start"`
	Version uint64 `json:"version"`
	Counts  Counts `json:"counts"`
}

// Life counts the starts of a server in its wave.
type Life struct {
	Start uint64 `json:"start"`
	Count int    `json:"count"`
}

// Seen is what a leader heard of one server.
type Seen struct {
	Name    string  `json:"name"`
	Start   uint64  `json:"start"`
	Version uint64  `json:"version"`           // that it runs; 0: its own file's
	Refused uint64  `json:"refused,omitempty"` // that it would not take
	Why     string  `json:"why,omitempty"`     // it would not
	Warm    bool    `json:"warm"`
	MB      float64 `json:"mb,omitempty"` // resident
	Counts  Counts  `json:"counts"`       // since it runs the version, warm

	Program uint64 `json:"program,omitempty"` // version of the program that it runs; 0: what it is started with by itself
}

// Of is what the server's program is to its release, as the version is to that of settings.
func (s *Seen) Of() Seen {
	x := *s
	x.Version, x.Refused, x.Why, x.Program = s.Program, 0, "", 0
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
	Put    Kind = "put"  // a version
	Plan   Kind = "plan" // a release of it
	Start  Kind = "start"
	Hold   Kind = "hold"
	Resume Kind = "resume"
	Back   Kind = "back"
	End    Kind = "end"
	Look   Kind = "look" // by a leader: what is seen, and the time since the last look
)

// Command is one entry of the keepers' log.
type Command struct {
	ID      string   `json:"id"`
	Track   Track    `json:"track,omitempty"`
	Kind    Kind     `json:"kind"`
	Body    []byte   `json:"body,omitempty"`    // Put
	Version uint64   `json:"version,omitempty"` // Plan
	Rules   *Rules   `json:"rules,omitempty"`   // Plan
	Release uint64   `json:"release,omitempty"` // Start, Hold, Resume, Back, End
	Who     string   `json:"who,omitempty"`
	Why     string   `json:"why,omitempty"`
	Passed  float64  `json:"passed,omitempty"`  // Look: ms
	Seen    []Seen   `json:"seen,omitempty"`    // Look: of those that are heard
	Halted  string   `json:"halted,omitempty"`  // Look: why nothing new begins in the fleet, by hand
	Wary    string   `json:"wary,omitempty"`    // Look: the same, by itself: it may pass
	Servers []Server `json:"servers,omitempty"` // Plan: the roster, which its keeper adds
	Other   string   `json:"other,omitempty"`   // Plan: a release of the other track that goes on, which its keeper's log adds
}

// Answer is what a command comes to.
type Answer struct {
	OK      bool     `json:"ok"`
	Version uint64   `json:"version,omitempty"`
	Release *Release `json:"release,omitempty"`
	Why     string   `json:"why,omitempty"`
}

// Step is one that an operator may want to look up.
type Step struct {
	Release uint64 `json:"release"`
	Phase   Phase  `json:"phase"`
	Wave    int    `json:"wave"`
	Who     string `json:"who,omitempty"`
	Why     string `json:"why,omitempty"`
}

const (
	mostVersions = 32
	mostBody     = 256 << 10
	mostSteps    = 512
	mostAnswers  = 256
	textBytes    = 256
	// mostPassed ms of a look count: after a longer gap nobody knows what was in it.
	mostPassed = 5e3
	// heavyLooks in a row with too much memory: one may be a collector that is late.
	heavyLooks = 3
	// doubtful evidence, times likelier with a difference, is no proof and no reason to go on: the wave waits for more.
	doubtful = 20.0
	// wariness ms of too many unheard servers, or of a halt by itself, and the release is held. After a change of leaders all are
	// unheard for a second or two, and nothing goes on in that time either.
	wariness = 8e3
)

// Book is all that keepers agree on of versions and releases.
type Book struct {
	Next     uint64            `json:"next"` // version
	Versions []Version         `json:"versions"`
	Number   uint64            `json:"number"` // of the latest release
	Release  *Release          `json:"release,omitempty"`
	Assigned map[string]uint64 `json:"assigned"` // version by server; 0 or none: its own file's
	Settled  uint64            `json:"settled"`  // the version of the last release that came to its end: for who is new
	Steps    []Step            `json:"steps"`
	Answers  map[string]Answer `json:"answers"`
	Order    []string          `json:"order"`
}

// New is a book without versions.
func New() *Book { return &Book{Assigned: map[string]uint64{}, Answers: map[string]Answer{}} }

// Apply carries out one command. The same again gets the same answer and does nothing.
func (b *Book) Apply(c Command) Answer {
	if c.ID == "" || len(c.ID) > textBytes || len(c.Who) > textBytes || len(c.Why) > textBytes {
		return Answer{Why: fmt.Sprintf("an id, and texts of at most %d bytes, expected", textBytes)}
	}
	if a, done := b.Answers[c.ID]; done {
		return a
	}
	a := b.apply(&c)
	if c.Kind != Look {
		b.Answers[c.ID] = a
		if b.Order = append(b.Order, c.ID); len(b.Order) > mostAnswers {
			delete(b.Answers, b.Order[0])
			b.Order = slices.Delete(b.Order, 0, 1)
		}
	}
	return a
}

func (b *Book) apply(c *Command) Answer {
	switch c.Kind {
	case Put:
		return b.put(c)
	case Plan:
		return b.plan(c)
	case Look:
		b.look(c)
		return Answer{OK: true}
	case Start, Hold, Resume, Back, End:
	default:
		return Answer{Why: fmt.Sprintf("%.40q is no command", string(c.Kind))}
	}
	r := b.Release
	if r == nil || c.Release != 0 && c.Release != r.Number {
		return Answer{Why: fmt.Sprintf("release %d is not the one at hand", c.Release)}
	}
	to, why := Phase(""), cmp.Or(c.Why, "no reason told")
	switch p := r.Phase; {
	case c.Kind == Start && p == Planned:
		to = Before
	case c.Kind == Hold && (p == Running || p == Before):
		to = Held
	case c.Kind == Hold && p == Backing:
		to = BackHeld
	case c.Kind == Resume && p == Held && r.Wave < 0:
		to = Before
	case c.Kind == Resume && p == Held:
		to = Running
	case c.Kind == Resume && p == BackHeld:
		to = Backing
	case c.Kind == Back && (p == Running || p == Held || p == Before || p == Done && c.Release == r.Number):
		to = Backing
	case c.Kind == Back && (p == Backing || p == BackHeld):
		return Answer{OK: true, Release: r.shown(), Why: "it goes back already"}
	case c.Kind == End && (p.Active() || p == Planned):
		to = Ended
	default:
		return Answer{Why: fmt.Sprintf("release %d is %s: no %s", r.Number, p, c.Kind), Release: r.shown()}
	}
	b.turn(to, cmp.Or(c.Who, "somebody"), why)
	return Answer{OK: true, Release: r.shown()}
}

// shown is a copy without what only the machine needs.
func (r *Release) shown() *Release {
	x := *r
	x.Missing = slices.Clone(x.Missing)
	x.Last, x.Sums, x.Starts, x.Former, x.Zones, x.Least = nil, nil, nil, nil, nil, nil
	return &x
}

func (b *Book) put(c *Command) Answer {
	if len(c.Body) == 0 || len(c.Body) > mostBody {
		return Answer{Why: fmt.Sprintf("a version of up to %d bytes expected, %d there", mostBody, len(c.Body))}
	}
	sum := sha256.Sum256(c.Body)
	hash := hex.EncodeToString(sum[:])
	for i := range b.Versions {
		if b.Versions[i].Hash == hash {
			return Answer{OK: true, Version: b.Versions[i].Number, Why: "it is known already"}
		}
	}
	if len(b.Versions) >= mostVersions { // the oldest that nobody has and no release may need goes
		needed := map[uint64]bool{b.Settled: true}
		for _, v := range b.Assigned {
			needed[v] = true
		}
		if b.Release != nil {
			needed[b.Release.Version] = true
			for _, v := range b.Release.Former {
				needed[v] = true
			}
		}
		i := slices.IndexFunc(b.Versions, func(v Version) bool { return !needed[v.Number] })
		if i < 0 {
			return Answer{Why: fmt.Sprintf("%d versions are kept, and all are in use", mostVersions)}
		}
		b.Versions = slices.Delete(b.Versions, i, i+1)
	}
	b.Next++
	b.Versions = append(b.Versions, Version{b.Next, hash, c.Body, c.Who, c.Why})
	return Answer{OK: true, Version: b.Next}
}

// Version returns one that is kept.
func (b *Book) Version(number uint64) *Version {
	for i := range b.Versions {
		if b.Versions[i].Number == number {
			return &b.Versions[i]
		}
	}
	return nil
}

func (b *Book) plan(c *Command) Answer {
	if r := b.Release; r != nil && r.Phase.Active() {
		return Answer{Why: fmt.Sprintf("release %d of version %d is %s: it comes to its end first", r.Number, r.Version, r.Phase), Release: r.shown()}
	}
	if c.Other != "" {
		return Answer{Why: c.Other + ": it comes to its end first"}
	}
	if b.Version(c.Version) == nil {
		return Answer{Why: fmt.Sprintf("version %d is not kept", c.Version)}
	}
	if c.Rules == nil {
		return Answer{Why: "rules expected"}
	}
	if wrong := c.Rules.Check(); wrong != "" {
		return Answer{Why: wrong}
	}
	if len(c.Servers) == 0 {
		return Answer{Why: "the roster is empty"}
	}
	roster := map[string]bool{}
	for _, x := range c.Servers {
		roster[x.Name] = true
	}
	maps.DeleteFunc(b.Assigned, func(name string, _ uint64) bool { return !roster[name] })
	b.Number++
	r := &Release{Number: b.Number, Version: c.Version, Rules: *c.Rules, Waves: Waves(*c.Rules, c.Servers, b.Number), Phase: Planned, Wave: -1,
		Zones: map[string]string{}, Former: map[string]uint64{}, Last: map[string]Was{}, Sums: map[string]Counts{}, Starts: map[string]Life{}, Least: map[string]float64{}, Who: c.Who, Why: c.Why}
	for _, s := range c.Servers {
		r.Zones[s.Name] = s.Zone
	}
	b.Release = r
	return Answer{OK: true, Version: c.Version, Release: r.shown()}
}

// Goes names the release that goes on; "" if none does.
func (b *Book) Goes() string {
	if r := b.Release; r != nil && r.Phase.Active() {
		return fmt.Sprintf("release %d of version %d is %s", r.Number, r.Version, r.Phase)
	}
	return ""
}

// Target is the version that a server is to run: what its wave has come to, not the newest there is.
func (b *Book) Target(name string) uint64 {
	if v, is := b.Assigned[name]; is {
		return v
	}
	return b.Settled
}

// turn brings a release into another phase, and records why.
func (b *Book) turn(to Phase, who, why string) {
	r := b.Release
	if to == Backing && r.Phase == Done { // the last wave first, as from any other
		r.Wave = len(r.Waves) - 1
	}
	r.Phase, r.Who, r.Why, r.For, r.Warm, r.Heavy, r.Wary = to, who, why, 0, 0, 0, 0
	clear(r.Sums)
	clear(r.Least)
	if to == Before { // what each has is what it goes back to
		for name := range r.Zones {
			r.Former[name] = b.Target(name)
		}
		r.Base = Counts{}
	}
	b.step()
}

func (b *Book) step() {
	r := b.Release
	b.Steps = append(b.Steps, Step{r.Number, r.Phase, r.Wave, r.Who, r.Why})
	if len(b.Steps) > mostSteps {
		b.Steps = slices.Delete(b.Steps, 0, len(b.Steps)-mostSteps)
	}
}

// look takes what is seen, and the steps that follow from it.
func (b *Book) look(c *Command) {
	r := b.Release
	if r == nil || !r.Phase.Active() {
		return
	}
	passed := min(max(c.Passed, 0), mostPassed)
	r.For += passed
	seen := map[string]*Seen{}
	for i := range c.Seen {
		if s := &c.Seen[i]; s.Name != "" {
			seen[s.Name] = s
		}
	}
	var wave []string
	if r.Wave >= 0 {
		wave = r.Waves[r.Wave]
	}
	b.count(seen, wave)
	r.Missing = r.Missing[:0]
	unheard := 0
	for _, name := range slices.Sorted(maps.Keys(r.Zones)) {
		s := seen[name]
		if s == nil {
			unheard++
		}
		if s == nil || s.Version != b.Target(name) {
			r.Missing = append(r.Missing, name)
		}
	}
	switch r.Phase {
	case Backing:
		b.backs(seen)
	case Before, Running:
		b.goes(c, seen, wave, unheard, passed)
	}
}

// count adds what came since the last look to the sums of this wave's minutes. Only what a server carried warm, on one version and
// in one life, counts.
func (b *Book) count(seen map[string]*Seen, wave []string) {
	r := b.Release
	moved := false
	for name := range r.Zones {
		s := seen[name]
		if s == nil {
			continue
		}
		was, had := r.Last[name]
		r.Last[name] = Was{s.Start, s.Version, s.Counts}
		if had && was.Start == s.Start && was.Version == s.Version && s.Warm {
			d := s.Counts.minus(was.Counts)
			if r.Phase == Before {
				r.Base.add(d)
			}
			x := r.Sums[name]
			x.add(d)
			r.Sums[name] = x
		} else if had && was.Version != s.Version {
			moved = true
		}
		if s.Warm && s.MB > 0 {
			if least, is := r.Least[name]; !is || s.MB < least {
				r.Least[name] = s.MB
			}
		}
		if slices.Contains(wave, name) && s.Version == r.Version {
			if l := r.Starts[name]; l.Start != s.Start {
				r.Starts[name] = Life{s.Start, l.Count + 1}
			}
		}
	}
	if moved && r.Phase == Running { // both sides are counted over the same minutes: from when the last one has taken it
		clear(r.Sums)
		clear(r.Least)
	}
}

// goes is a look at a release on its way forward.
func (b *Book) goes(c *Command, seen map[string]*Seen, wave []string, unheard int, passed float64) {
	r := b.Release
	hold := func(format string, a ...any) { b.turn(Held, "", fmt.Sprintf(format, a...)) }
	back := func(format string, a ...any) { b.turn(Backing, "", fmt.Sprintf(format, a...)) }
	wary := c.Wary
	if unheard > r.Rules.Unheard {
		wary = fmt.Sprintf("%d servers are not heard", unheard)
	}
	if r.Wary += passed; wary == "" {
		r.Wary = 0
	}
	if r.Phase == Before {
		switch {
		case c.Halted != "":
			hold("halted: %s", c.Halted)
		case r.Wary >= wariness:
			hold("%s", wary)
		case wary == "" && r.For >= r.Rules.Bake && r.Base.All >= r.Rules.Least:
			b.next()
		case r.For >= r.Rules.Longest:
			hold("too little is carried to judge by: %.0f RPCs in %.0f s", r.Base.All, r.For/1000)
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
		if s.Refused == r.Version {
			back("%s will not take it: %s", name, s.Why)
			return
		}
		if r.Starts[name].Count > mostStarts {
			crashed = name
		}
	}
	if crashed != "" {
		back("%s has started %d times on it", crashed, r.Starts[crashed].Count)
		return
	}
	fresh, old, mine, theirs, all := b.sides(seen, wave)
	if why := heavy(mine, theirs); why != "" {
		if r.Heavy++; r.Heavy >= heavyLooks {
			back("%s", why)
			return
		}
	} else {
		r.Heavy = 0
	}
	if len(old) > 0 {
		e, worse := compare(r.Rules, len(r.Waves), fresh, old)
		if r.Evidence = e; worse {
			back("worse by %.3g: %s %s", e.Worse, e.Signal, e.Zone)
			return
		}
	}
	if why, both := bothWorse(r.Base, old); both {
		hold("%s", why)
		return
	}
	// Not known, or not allowed: no further, and no blame.
	switch {
	case c.Halted != "":
		hold("halted: %s", c.Halted)
		return
	case silent == len(wave) && r.For >= r.Rules.Longest/2:
		back("nobody of the wave is heard any more")
		return
	case r.Wary >= wariness:
		hold("%s", wary)
		return
	}
	if all {
		r.Warm += passed
	} else {
		r.Warm = 0
	}
	var carried Counts
	for i := range fresh {
		carried.add(fresh[i].n)
	}
	doubt := wary != "" || r.Heavy > 0 || len(old) > 0 && r.Evidence.Ratio >= doubtful
	switch {
	case r.Warm >= r.Rules.Bake && carried.All >= r.Rules.Least && !doubt:
		b.next()
	case r.For >= r.Rules.Longest && doubt:
		hold("in doubt after %.0f s: %s %s, worse by %.3g", r.For/1000, r.Evidence.Signal, r.Evidence.Zone, r.Evidence.Worse)
	case r.For >= r.Rules.Longest && !all:
		hold("after %.0f s not all of the wave run it: %v", r.For/1000, r.Missing)
	case r.For >= r.Rules.Longest:
		hold("too little is carried to judge by: %.0f RPCs in %.0f s", carried.All, r.For/1000)
	}
}

// sides are those with the version and those without, as far as they are heard and warm, their memory, and whether all of the wave
// that are heard run it warm. Earlier waves are on the version's side.
func (b *Book) sides(seen map[string]*Seen, wave []string) (fresh, old []sample, mine, theirs []weight, all bool) {
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
		x := sample{r.Zones[name], r.Sums[name]}
		w := weight{name, s.MB, 0}
		if least, is := r.Least[name]; is {
			w.grew = s.MB - least
		}
		switch {
		case s.Version == r.Version && b.Target(name) == r.Version:
			fresh, mine = append(fresh, x), append(mine, w)
		case s.Version == r.Former[name] && b.Target(name) == r.Former[name]:
			old, theirs = append(old, x), append(theirs, w)
		}
	}
	return fresh, old, mine, theirs, all
}

// next begins the next wave, or is the end.
func (b *Book) next() {
	r := b.Release
	if r.Wave+1 == len(r.Waves) {
		b.Settled = r.Version
		b.turn(Done, "", "all waves run it")
		return
	}
	r.Wave++
	for _, name := range r.Waves[r.Wave] {
		b.Assigned[name] = r.Version
	}
	clear(r.Starts)
	b.turn(Running, "", fmt.Sprintf("wave %d of %d", r.Wave+1, len(r.Waves)))
}

// backs takes a wave back at a time, the last first. Those that are not heard are not waited for: they are told when they return.
func (b *Book) backs(seen map[string]*Seen) {
	r := b.Release
	if r.Wave < 0 {
		b.turn(Returned, r.Who, r.Why)
		return
	}
	settled := true
	for _, name := range r.Waves[r.Wave] {
		b.Assigned[name] = r.Former[name]
		if s := seen[name]; s != nil && s.Version != r.Former[name] {
			settled = false
		}
	}
	if settled || r.For >= r.Rules.Longest {
		r.For = 0
		if r.Wave--; r.Wave < 0 {
			if b.Settled == r.Version {
				b.Settled = former(r)
			}
			b.turn(Returned, r.Who, r.Why)
		}
	}
}

// former is the version that most had before.
func former(r *Release) (version uint64) {
	n := map[uint64]int{}
	for _, v := range r.Former {
		n[v]++
	}
	for _, v := range slices.Sorted(maps.Keys(n)) {
		if n[v] > n[version] {
			version = v
		}
	}
	return version
}
