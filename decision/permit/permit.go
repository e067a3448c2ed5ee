// Package permit implements a disruption budget for a fleet and for the pools below it: drain permits are granted
// per server or pool member, bounded by limits per fleet, zone, group and pool, and a halt stops all new disruption.
// It is a replicated state machine: the permit servers apply the same commands in the order of their raft log, and the
// same commands give the same state and answers on every replica. Capacity that is already out of service for any reason
// (draining, unreachable, crashed, warming up) counts against the budget first, and an unknown state counts as out.
// The package is pure: no I/O, no clock and no randomness. A permit is never released by a timeout, and a subject is
// never granted two permits at once.
package permit

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Limit is how much may be out at a time: the smaller of the two that are set.
type Limit struct {
	MaxCount float64 `json:"number,omitempty"` // 0: not set
	MaxShare float64 `json:"share,omitempty"`  // of the capacity of those that the limit is over; 0: not set
}

// Limits are what an operator sets. A scope without a limit has none of its own.
type Limits struct {
	Fleet Limit            `json:"fleet"`
	Zone  Limit            `json:"zone"`  // of each
	Group Limit            `json:"group"` // of each
	Pools map[string]Limit `json:"pools,omitempty"`
	// Pushed is the share of its RPCs that the fleet may push back before nothing new begins; 0: not looked at.
	MaxRejectedShare float64 `json:"pushed,omitempty"`
}

// Server is one on the roster that an operator keeps: who is to be there, not who is heard.
type Server struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone,omitempty"`
	Group    string  `json:"group,omitempty"`
	Capacity float64 `json:"capacity,omitempty"` // 0: 1
}

func (s *Server) capacity() float64 {
	if s.Capacity <= 0 {
		return 1
	}
	return s.Capacity
}

// Seen is how much of a server is out as a leader sees it: 1 if it drains, is not heard or has crashed, the part of its ramp
// that it does not yet take while it is cold.
type Observation struct {
	Name         string  `json:"name"`
	OutOfService float64 `json:"out"`
	Incarnation  uint64  `json:"start,omitempty"` // of its name; larger after each restart
}

// Kind is what a command does.
type Kind string

const (
	Acquire      Kind = "ask"    // for a permit
	Begin        Kind = "check"  // whether it is still good, just before it is begun; notes the beginning
	Return       Kind = "return" // by its holder: unused, or back and warm
	Free         Kind = "free"   // by an operator's word
	Halt         Kind = "halt"
	Resume       Kind = "resume"
	Configure    Kind = "set"  // roster and limits
	Recall       Kind = "back" // an operator wants a holder back
	Observe      Kind = "note" // what a leader sees, where nothing is asked
	RequestDrain Kind = "want" // an operator has a server ask, which may be elsewhere
	ReportStop   Kind = "stop" // a server was told to stop by others: unplanned, and only recorded
)

// Command is one entry of the keepers' log. ID is its sender's own: the same again gets the same answer and does nothing.
type Command struct {
	ID            string        `json:"id"`
	Kind          Kind          `json:"kind"`
	Subject       string        `json:"subject,omitempty"` // a server's name, or pool/member
	PermitID      uint64        `json:"permit,omitempty"`
	Actor         string        `json:"who,omitempty"`
	Reason        string        `json:"why,omitempty"`
	Incarnation   uint64        `json:"start,omitempty"`  // Ask, Check, Return: the holder's
	Observations  []Observation `json:"seen,omitempty"`   // Ask, Check, Note: of all on the roster that are not wholly in use
	RejectedShare float64       `json:"pushed,omitempty"` // Ask, Check, Note: share of its RPCs that the fleet pushes back
	Servers       []Server      `json:"servers,omitempty"`
	Members       []Member      `json:"members,omitempty"`
	Limits        *Limits       `json:"limits,omitempty"`
}

// Member is one of a pool.
type Member struct {
	Pool string `json:"pool"`
	Name string `json:"name"`
}

func (m *Member) subject() string { return m.Pool + "/" + m.Name }

// Answer is what a command comes to.
type Result struct {
	OK           bool     `json:"ok"`
	PermitID     uint64   `json:"permit,omitempty"`
	Reason       string   `json:"why,omitempty"`
	OutOfService []string `json:"out,omitempty"` // who uses the allowance up, where that is why
	Halted       bool     `json:"halted,omitempty"`
}

// Permit is one that is held.
type Permit struct {
	ID          uint64 `json:"id"`
	Subject     string `json:"subject"`
	Holder      string `json:"who"`
	Reason      string `json:"why"`
	Incarnation uint64 `json:"start"` // of the holder as it asked
	Begun       bool   `json:"begun"`
	RecalledBy  string `json:"recall,omitempty"` // who wants it back
}

// Entry is one thing that an operator may want to look up.
type HistoryEntry struct {
	Index    uint64 `json:"index"`
	Kind     Kind   `json:"kind"`
	Subject  string `json:"subject,omitempty"`
	PermitID uint64 `json:"permit,omitempty"`
	Actor    string `json:"who,omitempty"`
	Reason   string `json:"why,omitempty"`
	OK       bool   `json:"ok"`
}

const (
	maxServers = 4096
	maxMembers = 4096
	// mostAnswers are kept for commands that come again: a sender tries again within seconds, and 300 servers that ask at once
	// are far fewer.
	maxResults   = 8192
	maxHistory   = 1024
	maxTextBytes = 256
)

// State is all that keepers agree on. It is written as JSON for snapshots.
type State struct {
	Index          uint64                  `json:"index"` // of the last command
	LastPermitID   uint64                  `json:"next"`  // permit
	Servers        []Server                `json:"servers"`
	Members        []Member                `json:"members"`
	Limits         Limits                  `json:"limits"`
	Permits        map[string]*Permit      `json:"permits"`          // by subject
	HaltReason     string                  `json:"halted,omitempty"` // by hand, and ended by hand
	HaltedBy       string                  `json:"by,omitempty"`
	AutoHaltReason string                  `json:"auto,omitempty"` // by itself, and ended with its cause
	DrainRequests  map[string]DrainRequest `json:"wants,omitempty"`
	Results        map[string]Result       `json:"answers"`
	ResultOrder    []string                `json:"order"` // of the answers, the oldest first
	History        []HistoryEntry          `json:"history"`
}

// Wanted is who wants a server to leave.
type DrainRequest struct {
	Actor  string `json:"who"`
	Reason string `json:"why"`
}

// New is a state that knows nobody: nothing is granted until a roster and limits are set.
func New() *State {
	return &State{Permits: map[string]*Permit{}, Results: map[string]Result{}}
}

// Apply carries out one command.
func (s *State) Apply(c Command) Result {
	s.Index++
	if c.ID == "" || len(c.ID) > maxTextBytes || len(c.Actor) > maxTextBytes || len(c.Reason) > maxTextBytes || len(c.Subject) > maxTextBytes {
		return Result{Reason: fmt.Sprintf("an id, and texts of at most %d bytes, expected", maxTextBytes), Halted: s.HaltReason != ""}
	}
	if a, done := s.Results[c.ID]; done {
		return a
	}
	if c.Kind == Acquire || c.Kind == Begin || c.Kind == Observe {
		s.updateAutoHalt(&c)
	}
	a := s.apply(&c)
	a.Halted = s.haltReason(c.Subject) != ""
	s.Results[c.ID] = a
	s.ResultOrder = append(s.ResultOrder, c.ID)
	if len(s.ResultOrder) > maxResults {
		delete(s.Results, s.ResultOrder[0])
		s.ResultOrder = slices.Delete(s.ResultOrder, 0, 1)
	}
	if c.Kind != Observe && (c.Kind != Acquire || a.OK) {
		s.record(HistoryEntry{s.Index, c.Kind, c.Subject, a.PermitID, c.Actor, c.Reason, a.OK})
	}
	return a
}

func (s *State) record(e HistoryEntry) {
	s.History = append(s.History, e)
	if len(s.History) > maxHistory {
		s.History = slices.Delete(s.History, 0, len(s.History)-maxHistory)
	}
}

func (s *State) apply(c *Command) Result {
	held := s.Permits[c.Subject]
	switch c.Kind {
	case Acquire:
		return s.acquire(c, held)
	case Begin:
		switch {
		case held == nil || held.ID != c.PermitID:
			return Result{Reason: "the permit is not held any more"}
		case held.Incarnation != c.Incarnation:
			return Result{PermitID: held.ID, Reason: "it was given to a former start of its holder"}
		case held.Begun:
			return Result{OK: true, PermitID: held.ID}
		case s.haltReason(c.Subject) != "":
			return Result{PermitID: held.ID, Reason: "halted: " + s.haltReason(c.Subject)}
		case held.RecalledBy != "":
			return Result{PermitID: held.ID, Reason: held.RecalledBy + " wants it back"}
		}
		if over, out := s.exceededLimit(c.Subject, c.Observations); over != "" { // losses since it was given use up the allowance first
			return Result{PermitID: held.ID, Reason: over, OutOfService: out}
		}
		held.Begun = true
		delete(s.DrainRequests, c.Subject)
		return Result{OK: true, PermitID: held.ID}
	case Return:
		if held == nil || c.PermitID != 0 && held.ID != c.PermitID {
			return Result{OK: true, Reason: "it was not held"}
		}
		if c.PermitID == 0 && c.Incarnation <= held.Incarnation { // whoever is back does not know what its former start held
			return Result{PermitID: held.ID, Reason: "its holder is not of a later start"}
		}
		if held.Begun && c.Incarnation <= held.Incarnation && held.RecalledBy == "" && !strings.Contains(c.Subject, "/") {
			return Result{PermitID: held.ID, Reason: "its holder has begun, and has not been back since"}
		}
		delete(s.Permits, c.Subject)
		return Result{OK: true, PermitID: held.ID}
	case Free:
		if held == nil {
			return Result{Reason: "no permit is held for it"}
		}
		if c.Actor == "" || c.Reason == "" {
			return Result{PermitID: held.ID, Reason: "who and why expected"}
		}
		delete(s.Permits, c.Subject)
		return Result{OK: true, PermitID: held.ID}
	case Recall:
		_, wanted := s.DrainRequests[c.Subject]
		delete(s.DrainRequests, c.Subject)
		if held == nil && wanted {
			return Result{OK: true, Reason: "it had no permit yet"}
		}
		if held == nil {
			return Result{Reason: "no permit is held for it"}
		}
		if strings.Contains(c.Subject, "/") { // nobody but the operator holds a member's
			delete(s.Permits, c.Subject)
			return Result{OK: true, PermitID: held.ID}
		}
		held.RecalledBy = cmp.Or(c.Actor, "somebody")
		return Result{OK: true, PermitID: held.ID}
	case Halt:
		s.HaltReason, s.HaltedBy = cmp.Or(c.Reason, "no reason told"), c.Actor
		return Result{OK: true}
	case Resume:
		s.HaltReason, s.HaltedBy = "", ""
		return Result{OK: true}
	case Configure:
		return s.configure(c)
	case RequestDrain:
		if w, is := s.DrainRequests[c.Subject]; is && w.Actor != c.Actor {
			return Result{Reason: w.Actor + " has asked for it before"}
		}
		if !slices.ContainsFunc(s.Servers, func(x Server) bool { return x.Name == c.Subject }) {
			return Result{Reason: "it is no server of the roster"}
		}
		if s.DrainRequests == nil {
			s.DrainRequests = map[string]DrainRequest{}
		}
		s.DrainRequests[c.Subject] = DrainRequest{cmp.Or(c.Actor, "somebody"), c.Reason}
		return Result{OK: true}
	case Observe, ReportStop:
		return Result{OK: true}
	}
	return Result{Reason: fmt.Sprintf("%.40q is no command", string(c.Kind))}
}

func (s *State) configure(c *Command) Result {
	if len(c.Servers) > maxServers || len(c.Members) > maxMembers {
		return Result{Reason: fmt.Sprintf("at most %d servers and %d members expected", maxServers, maxMembers)}
	}
	known := map[string]bool{}
	for i := range c.Servers {
		x := &c.Servers[i]
		if x.Name == "" || strings.Contains(x.Name, "/") || known[x.Name] || !(x.Capacity >= 0) || math.IsInf(x.Capacity, 0) {
			return Result{Reason: fmt.Sprintf("servers[%d]: a name of its own without a slash, and a capacity, expected", i)}
		}
		known[x.Name] = true
	}
	for i := range c.Members {
		x := &c.Members[i]
		if x.Pool == "" || x.Name == "" || strings.Contains(x.Pool, "/") || known[x.subject()] {
			return Result{Reason: fmt.Sprintf("members[%d]: a pool and a name of its own expected", i)}
		}
		known[x.subject()] = true
	}
	if c.Limits == nil {
		return Result{Reason: "limits expected"}
	}
	if !(c.Limits.MaxRejectedShare >= 0 && c.Limits.MaxRejectedShare <= 1) {
		return Result{Reason: "limits.pushed: a share from 0 to 1 expected"}
	}
	for _, l := range append(slices.Collect(maps.Values(c.Limits.Pools)), c.Limits.Fleet, c.Limits.Zone, c.Limits.Group) {
		if !(l.MaxCount >= 0 && l.MaxShare >= 0 && l.MaxShare <= 1) {
			return Result{Reason: "limits: a number from 0 and a share from 0 to 1 expected"}
		}
	}
	s.Servers, s.Members, s.Limits = slices.Clone(c.Servers), slices.Clone(c.Members), *c.Limits
	maps.DeleteFunc(s.DrainRequests, func(name string, _ DrainRequest) bool { return !s.onRoster(name) })
	// Permits of those that are no longer on the roster stay: they are out until somebody says otherwise.
	return Result{OK: true}
}

func (s *State) acquire(c *Command, held *Permit) Result {
	if s.haltReason(c.Subject) != "" {
		return Result{Reason: "halted: " + s.haltReason(c.Subject)}
	}
	if held != nil {
		if held.Holder == c.Actor && held.Incarnation == c.Incarnation && held.RecalledBy == "" {
			return Result{OK: true, PermitID: held.ID, Reason: "it is held already"}
		}
		return Result{PermitID: held.ID, Reason: fmt.Sprintf("%s has asked for it before", held.Holder)}
	}
	if !s.onRoster(c.Subject) {
		return Result{Reason: "it is not on the roster"}
	}
	if over, out := s.exceededLimit(c.Subject, c.Observations); over != "" {
		return Result{Reason: over, OutOfService: out}
	}
	s.LastPermitID++
	s.Permits[c.Subject] = &Permit{ID: s.LastPermitID, Subject: c.Subject, Holder: c.Actor, Reason: c.Reason, Incarnation: c.Incarnation}
	return Result{OK: true, PermitID: s.LastPermitID}
}

func (s *State) onRoster(subject string) bool {
	return slices.ContainsFunc(s.Servers, func(x Server) bool { return x.Name == subject }) ||
		slices.ContainsFunc(s.Members, func(x Member) bool { return x.subject() == subject })
}

// Outs is how much of each subject is out, whyever: 1 with a permit, else as it is seen. Those off the roster that hold one count.
func (s *State) outOfService(seen []Observation) map[string]float64 {
	out := map[string]float64{}
	for _, x := range seen {
		if v := x.OutOfService; v > 0 || math.IsNaN(v) {
			if !(v < 1) {
				v = 1
			}
			out[x.Name] = math.Max(out[x.Name], v)
		}
	}
	for name := range s.Permits {
		out[name] = 1
	}
	return out
}

// over names the limit that would be passed if a subject went out, and who is out in it; "" for none.
func (s *State) exceededLimit(subject string, seen []Observation) (why string, who []string) {
	out := s.outOfService(seen)
	out[subject] = 1
	if pool, _, is := strings.Cut(subject, "/"); is {
		l, has := s.Limits.Pools[pool]
		if !has {
			return fmt.Sprintf("the pool %s has no limit", pool), nil
		}
		all, sum := 0.0, 0.0
		for i := range s.Members {
			if x := &s.Members[i]; x.Pool == pool {
				all++
				if v := out[x.subject()]; v > 0 {
					sum += v
					who = append(who, x.subject())
				}
			}
		}
		return exceeds("the pool "+pool, l, sum, sum, all), who
	}
	var mine *Server
	for i := range s.Servers {
		if s.Servers[i].Name == subject {
			mine = &s.Servers[i]
		}
	}
	if mine == nil {
		return "it is not on the roster", nil
	}
	scopes := []struct {
		name string
		l    Limit
		in   func(*Server) bool
	}{
		{"the fleet", s.Limits.Fleet, func(*Server) bool { return true }},
		{"the zone " + mine.Zone, s.Limits.Zone, func(x *Server) bool { return x.Zone == mine.Zone }},
		{"the group " + mine.Group, s.Limits.Group, func(x *Server) bool { return x.Group == mine.Group }},
	}
	if s.Limits.Fleet == (Limit{}) {
		return "the fleet has no limit", nil
	}
	for _, scope := range scopes {
		if scope.l == (Limit{}) {
			continue
		}
		number, share, all := 0.0, 0.0, 0.0
		who = who[:0]
		for i := range s.Servers {
			x := &s.Servers[i]
			if !scope.in(x) {
				continue
			}
			all += x.capacity()
			if v := out[x.Name]; v > 0 {
				number, share = number+v, share+v*x.capacity()
				who = append(who, x.Name)
			}
		}
		for name := range s.Permits { // off the roster, and out
			if !strings.Contains(name, "/") && !s.onRoster(name) && scope.name == "the fleet" {
				number, share = number+1, share+1
				who = append(who, name)
			}
		}
		if why := exceeds(scope.name, scope.l, number, share, all); why != "" {
			slices.Sort(who)
			return why, who
		}
	}
	return "", nil
}

// trifle is let pass where parts are summed up, since such sums are not exact.
const sumTolerance = 1e-9

// passes tells whether so much out is beyond a limit.
func exceeds(name string, l Limit, number, share, all float64) string {
	if l.MaxCount > 0 && number > l.MaxCount+sumTolerance {
		return fmt.Sprintf("%s: %.3g would be out, %g may", name, number, l.MaxCount)
	}
	if l.MaxShare > 0 && share > l.MaxShare*all+sumTolerance {
		return fmt.Sprintf("%s: %.3g of a capacity of %g would be out, %.3g may", name, share, all, l.MaxShare*all)
	}
	if l == (Limit{}) {
		return name + " has no limit"
	}
	return ""
}

// Held are the permits, by subject.
func (s *State) Granted() (all []Permit) {
	for _, name := range slices.Sorted(maps.Keys(s.Permits)) {
		all = append(all, *s.Permits[name])
	}
	return all
}
