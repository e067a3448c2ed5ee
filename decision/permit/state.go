package permit

// This file owns the replicated state and the dispatch of commands. It must never release a permit but by a command that
// names it.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

const (
	maxServers = 4096 // on the roster
	maxMembers = 4096 // on the roster
	// maxResults are retained for commands that are retried: a sender retries within seconds, and 300 servers that
	// request at once are far fewer.
	maxResults   = 8192
	maxHistory   = 1024 // steps
	maxTextBytes = 256  // of an ID, subject, actor or reason
)

// unnamedActor stands for an actor that gave no name, noReason for a reason that was not given.
const (
	unnamedActor = "somebody"
	noReason     = "no reason told"
)

// State is the replicated state. Snapshots hold it as JSON.
type State struct {
	Index        uint64             `json:"index"` // of the last command
	LastPermitID uint64             `json:"next"`  // IDs are granted from 1 up
	Servers      []Server           `json:"servers"`
	Members      []Member           `json:"members"`
	Limits       Limits             `json:"limits"`
	Permits      map[string]*Permit `json:"permits"`          // by subject
	HaltReason   string             `json:"halted,omitempty"` // of the manual halt; "" for none
	HaltedBy     string             `json:"by,omitempty"`     // who halted manually
	// AutoHaltReason is the cause of the automatic halt, which ends with its cause; "" for none.
	AutoHaltReason string                  `json:"auto,omitempty"`
	DrainRequests  map[string]DrainRequest `json:"wants,omitempty"` // by server
	Results        map[string]Result       `json:"answers"`         // of the latest commands, by ID
	ResultOrder    []string                `json:"order"`           // the IDs in Results, the oldest first
	History        []HistoryEntry          `json:"history"`         // the oldest first
}

// New returns a state with an empty roster: nothing is granted until a roster and limits are configured.
func New() *State {
	return &State{Permits: map[string]*Permit{}, Results: map[string]Result{}}
}

// Apply carries out one command and returns its result.
func (s *State) Apply(c Command) Result {
	s.Index++
	if c.ID == "" || len(c.ID) > maxTextBytes || len(c.Actor) > maxTextBytes || len(c.Reason) > maxTextBytes || len(c.Subject) > maxTextBytes {
		return Result{Reason: fmt.Sprintf("an id, and texts of at most %d bytes, expected", maxTextBytes), Halted: s.HaltReason != ""}
	}
	if r, done := s.Results[c.ID]; done {
		return r
	}
	if c.carriesObservations() {
		s.updateAutoHalt(&c)
	}
	r := s.apply(&c)
	r.Halted = s.haltReason(c.Subject) != ""
	s.retain(c.ID, r)
	if c.Kind != Observe && (c.Kind != Acquire || r.OK) {
		s.record(HistoryEntry{Index: s.Index, Kind: c.Kind, Subject: c.Subject, PermitID: r.PermitID, Actor: c.Actor, Reason: c.Reason, OK: r.OK})
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

func (s *State) record(e HistoryEntry) {
	s.History = append(s.History, e)
	if len(s.History) > maxHistory {
		s.History = slices.Delete(s.History, 0, len(s.History)-maxHistory)
	}
}

// apply dispatches a command that is new and well formed.
func (s *State) apply(c *Command) Result {
	current := s.Permits[c.Subject]
	switch c.Kind {
	case Acquire:
		return s.acquire(c, current)
	case Begin:
		return s.begin(c, current)
	case Return:
		return s.returnPermit(c, current)
	case Free:
		return s.free(c, current)
	case Recall:
		return s.recall(c, current)
	case Halt:
		s.HaltReason = cmp.Or(c.Reason, noReason)
		s.HaltedBy = c.Actor
		return Result{OK: true}
	case Resume:
		s.HaltReason = ""
		s.HaltedBy = ""
		return Result{OK: true}
	case Configure:
		return s.configure(c)
	case RequestDrain:
		return s.requestDrain(c)
	case Observe, ReportStop:
		return Result{OK: true}
	}
	return Result{Reason: fmt.Sprintf("%.40q is no command", string(c.Kind))}
}

// Granted returns the permits that are held, sorted by subject.
func (s *State) Granted() (all []Permit) {
	for _, name := range slices.Sorted(maps.Keys(s.Permits)) {
		all = append(all, *s.Permits[name])
	}
	return all
}
