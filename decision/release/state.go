package release

// This file has the replicated state of one track (its versions and its release) and dispatches commands. A state change
// must depend only on the state and on the command that is applied.

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
)

const (
	maxVersions    = 32 // stored
	maxBodyBytes   = 256 << 10
	maxTransitions = 512 // in the history
	maxResults     = 256 // retained for retries
	maxTextBytes   = 256 // in an ID, actor or reason
)

// Version is one stored version with its complete body.
type Version struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"` // SHA-256 of the body, hex
	Body   []byte `json:"body"`
	Actor  string `json:"who"`
	Reason string `json:"why"`
}

// Transition is one entry of the history that operators can query.
type Transition struct {
	Release uint64 `json:"release"`
	Phase   Phase  `json:"phase"`
	Wave    int    `json:"wave"`
	Actor   string `json:"who,omitempty"`
	Reason  string `json:"why,omitempty"`
}

// State is the replicated state of one track. Snapshots store it as JSON. It is not safe for concurrent use.
type State struct {
	LastVersion    uint64            `json:"next"` // versions are numbered from 1 up
	Versions       []Version         `json:"versions"`
	LastRelease    uint64            `json:"number"` // releases are numbered from 1 up
	Release        *Release          `json:"release,omitempty"`
	Assigned       map[string]uint64 `json:"assigned"` // version by server; 0: that of the server's own file
	DefaultVersion uint64            `json:"settled"`  // for servers without an assignment: the version of the last completed release
	Transitions    []Transition      `json:"steps"`    // oldest first
	Results        map[string]Result `json:"answers"`  // of the latest commands, by command ID
	ResultOrder    []string          `json:"order"`    // the IDs in Results, oldest first
}

// New returns a state without versions.
func New() *State { return &State{Assigned: map[string]uint64{}, Results: map[string]Result{}} }

// Version returns the stored version with a number; nil if there is none.
func (s *State) Version(number uint64) *Version {
	for i := range s.Versions {
		if s.Versions[i].Number == number {
			return &s.Versions[i]
		}
	}
	return nil
}

// ActiveSummary describes the active release; "" if there is none.
func (s *State) ActiveSummary() string {
	if r := s.Release; r != nil && r.Phase.Active() {
		return fmt.Sprintf("release %d of version %d is %s", r.Number, r.Version, r.Phase)
	}
	return ""
}

// Target returns the version that a server has to run. Before its wave begins, that is not the version being released.
func (s *State) Target(name string) uint64 {
	if v, assigned := s.Assigned[name]; assigned {
		return v
	}
	return s.DefaultVersion
}

// Apply executes one command and returns its result. A retried command returns the result that was retained for its ID;
// results of observations are not retained.
func (s *State) Apply(c Command) Result {
	if c.ID == "" || len(c.ID) > maxTextBytes || len(c.Actor) > maxTextBytes || len(c.Reason) > maxTextBytes {
		return Result{Reason: fmt.Sprintf("an id, and texts of at most %d bytes, expected", maxTextBytes)}
	}
	if r, done := s.Results[c.ID]; done {
		return r
	}
	r := s.apply(&c)
	if c.Kind != Observe {
		s.retain(c.ID, r)
	}
	return r
}

// retain keeps a result for retries of its command.
func (s *State) retain(id string, r Result) {
	s.Results[id] = r
	s.ResultOrder = append(s.ResultOrder, id)
	if len(s.ResultOrder) > maxResults {
		delete(s.Results, s.ResultOrder[0])
		s.ResultOrder = slices.Delete(s.ResultOrder, 0, 1)
	}
}

// apply dispatches a new, well-formed command.
func (s *State) apply(c *Command) Result {
	switch c.Kind {
	case PutVersion:
		return s.putVersion(c)
	case PlanRelease:
		return s.plan(c)
	case Observe:
		s.observe(c)
		return Result{OK: true}
	case StartRelease, Pause, Resume, RollBack, Abandon:
		return s.applyOperatorCommand(c)
	}
	return Result{Reason: fmt.Sprintf("%.40q is no command", string(c.Kind))}
}

// applyOperatorCommand executes an operator's command on the release.
func (s *State) applyOperatorCommand(c *Command) Result {
	r := s.Release
	if r == nil || c.Release != 0 && c.Release != r.Number {
		return Result{Reason: fmt.Sprintf("release %d is not the one at hand", c.Release)}
	}
	if c.Kind == RollBack && (r.Phase == RollingBack || r.Phase == RollbackPaused) {
		return Result{OK: true, Release: r.summary(), Reason: "it goes back already"}
	}
	phase := r.nextPhase(c.Kind)
	if c.Kind == RollBack && r.Phase == Completed && c.Release == 0 { // a completed release is rolled back only by its number
		phase = ""
	}
	if phase == "" {
		return Result{Reason: fmt.Sprintf("release %d is %s: no %s", r.Number, r.Phase, c.Kind), Release: r.summary()}
	}
	s.enterPhase(phase, cmp.Or(c.Actor, "somebody"), cmp.Or(c.Reason, "no reason told"))
	return Result{OK: true, Release: r.summary()}
}

// putVersion stores a version unless a version with the same body is already stored.
func (s *State) putVersion(c *Command) Result {
	if len(c.Body) == 0 || len(c.Body) > maxBodyBytes {
		return Result{Reason: fmt.Sprintf("a version of up to %d bytes expected, %d there", maxBodyBytes, len(c.Body))}
	}
	sum := sha256.Sum256(c.Body)
	hash := hex.EncodeToString(sum[:])
	for i := range s.Versions {
		if s.Versions[i].Hash == hash {
			return Result{OK: true, Version: s.Versions[i].Number, Reason: "it is known already"}
		}
	}
	if len(s.Versions) >= maxVersions && !s.evictVersion() {
		return Result{Reason: fmt.Sprintf("%d versions are kept, and all are in use", maxVersions)}
	}
	s.LastVersion++
	s.Versions = append(s.Versions, Version{Number: s.LastVersion, Hash: hash, Body: c.Body, Actor: c.Actor, Reason: c.Reason})
	return Result{OK: true, Version: s.LastVersion}
}

// evictVersion removes the oldest version that no server is assigned and no rollback may need. It reports whether it found one.
func (s *State) evictVersion() bool {
	needed := map[uint64]bool{s.DefaultVersion: true}
	for _, v := range s.Assigned {
		needed[v] = true
	}
	if s.Release != nil {
		needed[s.Release.Version] = true
		for _, v := range s.Release.Previous {
			needed[v] = true
		}
	}
	i := slices.IndexFunc(s.Versions, func(v Version) bool { return !needed[v.Number] })
	if i < 0 {
		return false
	}
	s.Versions = slices.Delete(s.Versions, i, i+1)
	return true
}

// plan replaces the release by a planned one. It is denied while a release of either track is active.
func (s *State) plan(c *Command) Result {
	if r := s.Release; r != nil && r.Phase.Active() {
		return Result{Reason: s.ActiveSummary() + ": it comes to its end first", Release: r.summary()}
	}
	if c.OtherRelease != "" {
		return Result{Reason: c.OtherRelease + ": it comes to its end first"}
	}
	if s.Version(c.Version) == nil {
		return Result{Reason: fmt.Sprintf("version %d is not kept", c.Version)}
	}
	if c.Rules == nil {
		return Result{Reason: "rules expected"}
	}
	if problem := c.Rules.Validate(); problem != "" {
		return Result{Reason: problem}
	}
	if len(c.Servers) == 0 {
		return Result{Reason: "the roster is empty"}
	}
	roster := map[string]bool{}
	for _, server := range c.Servers {
		roster[server.Name] = true
	}
	maps.DeleteFunc(s.Assigned, func(name string, _ uint64) bool { return !roster[name] })
	s.LastRelease++
	s.Release = newRelease(s.LastRelease, c)
	return Result{OK: true, Version: c.Version, Release: s.Release.summary()}
}
