package permit

// This file implements the replicated state and the dispatch of commands. A permit must only ever be released by a command
// that names its subject.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

const (
	maxServers = 4096 // on the roster
	maxMembers = 4096 // on the roster
	// maxResults is the number of results retained for retried commands. Senders retry within seconds, so that even 300
	// servers that send commands at the same time need far fewer.
	maxResults   = 8192
	maxHistory   = 1024 // entries
	maxTextBytes = 256  // of an ID, subject, actor or reason
)

// Defaults for texts that a command does not give. They are part of the replicated state and must not change.
const (
	unnamedActor = "somebody"
	noReason     = "no reason told"
)

// State is the replicated state. Snapshots store it as JSON.
type State struct {
	Index        uint64             `json:"index"` // of the last applied command
	LastPermitID uint64             `json:"next"`  // IDs are assigned from 1 up
	Servers      []Server           `json:"servers"`
	Members      []Member           `json:"members"`
	Limits       Limits             `json:"limits"`
	Permits      map[string]*Permit `json:"permits"`          // by subject
	HaltReason   string             `json:"halted,omitempty"` // of the manual halt; "" if there is none
	HaltedBy     string             `json:"by,omitempty"`     // actor of the manual halt
	// AutoHaltReason is the cause of the automatic halt, which ends when its cause does; "" if there is none.
	AutoHaltReason string                  `json:"auto,omitempty"`
	DrainRequests  map[string]DrainRequest `json:"wants,omitempty"` // by server
	Results        map[string]Result       `json:"answers"`         // of the latest commands, by command ID
	ResultOrder    []string                `json:"order"`           // the keys of Results, oldest first
	History        []HistoryEntry          `json:"history"`         // oldest first
}

// New returns a state with an empty roster. No permits are granted until a roster and limits are configured.
func New() *State {
	return &State{Permits: map[string]*Permit{}, Results: map[string]Result{}}
}

// Apply applies one command and returns its result. If a command with the same ID was applied before and its result is still
// retained, Apply returns that result and changes nothing but the index.
func (s *State) Apply(c Command) Result {
	s.Index++
	if c.ID == "" || len(c.ID) > maxTextBytes || len(c.Actor) > maxTextBytes || len(c.Reason) > maxTextBytes || len(c.Subject) > maxTextBytes {
		return Result{Reason: fmt.Sprintf("an id, and texts of at most %d bytes, expected", maxTextBytes), Halted: s.HaltReason != ""}
	}
	if r, applied := s.Results[c.ID]; applied {
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

// retain stores a result for retries of its command and drops the oldest one beyond maxResults.
func (s *State) retain(id string, r Result) {
	s.Results[id] = r
	s.ResultOrder = append(s.ResultOrder, id)
	if len(s.ResultOrder) > maxResults {
		delete(s.Results, s.ResultOrder[0])
		s.ResultOrder = slices.Delete(s.ResultOrder, 0, 1)
	}
}

// record appends an entry to the history and drops the oldest ones beyond maxHistory.
func (s *State) record(e HistoryEntry) {
	s.History = append(s.History, e)
	if len(s.History) > maxHistory {
		s.History = slices.Delete(s.History, 0, len(s.History)-maxHistory)
	}
}

// apply dispatches a new, well-formed command.
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

// Granted returns all permits, sorted by subject.
func (s *State) Granted() (permits []Permit) {
	for _, name := range slices.Sorted(maps.Keys(s.Permits)) {
		permits = append(permits, *s.Permits[name])
	}
	return permits
}
