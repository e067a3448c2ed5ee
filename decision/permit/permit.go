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
	Number float64 `json:"number,omitempty"` // 0: not set
	Share  float64 `json:"share,omitempty"`  // of the capacity of those that the limit is over; 0: not set
}

// Limits are what an operator sets. A scope without a limit has none of its own.
type Limits struct {
	Fleet Limit            `json:"fleet"`
	Zone  Limit            `json:"zone"`  // of each
	Group Limit            `json:"group"` // of each
	Pools map[string]Limit `json:"pools,omitempty"`
	// Pushed is the share of its RPCs that the fleet may push back before nothing new begins; 0: not looked at.
	Pushed float64 `json:"pushed,omitempty"`
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
type Seen struct {
	Name  string  `json:"name"`
	Out   float64 `json:"out"`
	Start uint64  `json:"start,omitempty"` // of its name; larger after each restart
}

// Kind is what a command does.
type Kind string

const (
	Ask    Kind = "ask"    // for a permit
	Check  Kind = "check"  // whether it is still good, just before it is begun; notes the beginning
	Return Kind = "return" // by its holder: unused, or back and warm
	Free   Kind = "free"   // by an operator's word
	Halt   Kind = "halt"
	Resume Kind = "resume"
	Set    Kind = "set"  // roster and limits
	Back   Kind = "back" // an operator wants a holder back
	Note   Kind = "note" // what a leader sees, where nothing is asked
	Want   Kind = "want" // an operator has a server ask, which may be elsewhere
	Stop   Kind = "stop" // a server was told to stop by others: unplanned, and only recorded
)

// Command is one entry of the keepers' log. ID is its sender's own: the same again gets the same answer and does nothing.
type Command struct {
	ID      string   `json:"id"`
	Kind    Kind     `json:"kind"`
	Subject string   `json:"subject,omitempty"` // a server's name, or pool/member
	Permit  uint64   `json:"permit,omitempty"`
	Who     string   `json:"who,omitempty"`
	Why     string   `json:"why,omitempty"`
	Start   uint64   `json:"start,omitempty"`  // Ask, Check, Return: the holder's
	Seen    []Seen   `json:"seen,omitempty"`   // Ask, Check, Note: of all on the roster that are not wholly in use
	Pushed  float64  `json:"pushed,omitempty"` // Ask, Check, Note: share of its RPCs that the fleet pushes back
	Servers []Server `json:"servers,omitempty"`
	Members []Member `json:"members,omitempty"`
	Limits  *Limits  `json:"limits,omitempty"`
}

// Member is one of a pool.
type Member struct {
	Pool string `json:"pool"`
	Name string `json:"name"`
}

func (m *Member) subject() string { return m.Pool + "/" + m.Name }

// Answer is what a command comes to.
type Answer struct {
	OK     bool     `json:"ok"`
	Permit uint64   `json:"permit,omitempty"`
	Why    string   `json:"why,omitempty"`
	Out    []string `json:"out,omitempty"` // who uses the allowance up, where that is why
	Halted bool     `json:"halted,omitempty"`
}

// Permit is one that is held.
type Permit struct {
	ID      uint64 `json:"id"`
	Subject string `json:"subject"`
	Who     string `json:"who"`
	Why     string `json:"why"`
	Start   uint64 `json:"start"` // of the holder as it asked
	Begun   bool   `json:"begun"`
	Recall  string `json:"recall,omitempty"` // who wants it back
}

// Entry is one thing that an operator may want to look up.
type Entry struct {
	Index   uint64 `json:"index"`
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject,omitempty"`
	Permit  uint64 `json:"permit,omitempty"`
	Who     string `json:"who,omitempty"`
	Why     string `json:"why,omitempty"`
	OK      bool   `json:"ok"`
}

const (
	mostServers = 4096
	mostMembers = 4096
	// mostAnswers are kept for commands that come again: a sender tries again within seconds, and 300 servers that ask at once
	// are far fewer.
	mostAnswers = 8192
	mostEntries = 1024
	textBytes   = 256
)

// State is all that keepers agree on. It is written as JSON for snapshots.
type State struct {
	Index   uint64             `json:"index"` // of the last command
	Next    uint64             `json:"next"`  // permit
	Servers []Server           `json:"servers"`
	Members []Member           `json:"members"`
	Limits  Limits             `json:"limits"`
	Permits map[string]*Permit `json:"permits"`          // by subject
	Halted  string             `json:"halted,omitempty"` // by hand, and ended by hand
	By      string             `json:"by,omitempty"`
	Auto    string             `json:"auto,omitempty"` // by itself, and ended with its cause
	Wants   map[string]Wanted  `json:"wants,omitempty"`
	Answers map[string]Answer  `json:"answers"`
	Order   []string           `json:"order"` // of the answers, the oldest first
	History []Entry            `json:"history"`
}

// Wanted is who wants a server to leave.
type Wanted struct {
	Who string `json:"who"`
	Why string `json:"why"`
}

// New is a state that knows nobody: nothing is granted until a roster and limits are set.
func New() *State {
	return &State{Permits: map[string]*Permit{}, Answers: map[string]Answer{}}
}

// Apply carries out one command.
func (s *State) Apply(c Command) Answer {
	s.Index++
	if c.ID == "" || len(c.ID) > textBytes || len(c.Who) > textBytes || len(c.Why) > textBytes || len(c.Subject) > textBytes {
		return Answer{Why: fmt.Sprintf("an id, and texts of at most %d bytes, expected", textBytes), Halted: s.Halted != ""}
	}
	if a, done := s.Answers[c.ID]; done {
		return a
	}
	if c.Kind == Ask || c.Kind == Check || c.Kind == Note {
		s.watch(&c)
	}
	a := s.apply(&c)
	a.Halted = s.halted(c.Subject) != ""
	s.Answers[c.ID] = a
	s.Order = append(s.Order, c.ID)
	if len(s.Order) > mostAnswers {
		delete(s.Answers, s.Order[0])
		s.Order = slices.Delete(s.Order, 0, 1)
	}
	if c.Kind != Note && (c.Kind != Ask || a.OK) {
		s.record(Entry{s.Index, c.Kind, c.Subject, a.Permit, c.Who, c.Why, a.OK})
	}
	return a
}

func (s *State) record(e Entry) {
	s.History = append(s.History, e)
	if len(s.History) > mostEntries {
		s.History = slices.Delete(s.History, 0, len(s.History)-mostEntries)
	}
}

func (s *State) apply(c *Command) Answer {
	held := s.Permits[c.Subject]
	switch c.Kind {
	case Ask:
		return s.ask(c, held)
	case Check:
		switch {
		case held == nil || held.ID != c.Permit:
			return Answer{Why: "the permit is not held any more"}
		case held.Start != c.Start:
			return Answer{Permit: held.ID, Why: "it was given to a former start of its holder"}
		case held.Begun:
			return Answer{OK: true, Permit: held.ID}
		case s.halted(c.Subject) != "":
			return Answer{Permit: held.ID, Why: "halted: " + s.halted(c.Subject)}
		case held.Recall != "":
			return Answer{Permit: held.ID, Why: held.Recall + " wants it back"}
		}
		if over, out := s.over(c.Subject, c.Seen); over != "" { // losses since it was given use up the allowance first
			return Answer{Permit: held.ID, Why: over, Out: out}
		}
		held.Begun = true
		delete(s.Wants, c.Subject)
		return Answer{OK: true, Permit: held.ID}
	case Return:
		if held == nil || c.Permit != 0 && held.ID != c.Permit {
			return Answer{OK: true, Why: "it was not held"}
		}
		if c.Permit == 0 && c.Start <= held.Start { // whoever is back does not know what its former start held
			return Answer{Permit: held.ID, Why: "its holder is not of a later start"}
		}
		if held.Begun && c.Start <= held.Start && held.Recall == "" && !strings.Contains(c.Subject, "/") {
			return Answer{Permit: held.ID, Why: "its holder has begun, and has not been back since"}
		}
		delete(s.Permits, c.Subject)
		return Answer{OK: true, Permit: held.ID}
	case Free:
		if held == nil {
			return Answer{Why: "no permit is held for it"}
		}
		if c.Who == "" || c.Why == "" {
			return Answer{Permit: held.ID, Why: "who and why expected"}
		}
		delete(s.Permits, c.Subject)
		return Answer{OK: true, Permit: held.ID}
	case Back:
		_, wanted := s.Wants[c.Subject]
		delete(s.Wants, c.Subject)
		if held == nil && wanted {
			return Answer{OK: true, Why: "it had no permit yet"}
		}
		if held == nil {
			return Answer{Why: "no permit is held for it"}
		}
		if strings.Contains(c.Subject, "/") { // nobody but the operator holds a member's
			delete(s.Permits, c.Subject)
			return Answer{OK: true, Permit: held.ID}
		}
		held.Recall = cmp.Or(c.Who, "somebody")
		return Answer{OK: true, Permit: held.ID}
	case Halt:
		s.Halted, s.By = cmp.Or(c.Why, "no reason told"), c.Who
		return Answer{OK: true}
	case Resume:
		s.Halted, s.By = "", ""
		return Answer{OK: true}
	case Set:
		return s.set(c)
	case Want:
		if w, is := s.Wants[c.Subject]; is && w.Who != c.Who {
			return Answer{Why: w.Who + " has asked for it before"}
		}
		if !slices.ContainsFunc(s.Servers, func(x Server) bool { return x.Name == c.Subject }) {
			return Answer{Why: "it is no server of the roster"}
		}
		if s.Wants == nil {
			s.Wants = map[string]Wanted{}
		}
		s.Wants[c.Subject] = Wanted{cmp.Or(c.Who, "somebody"), c.Why}
		return Answer{OK: true}
	case Note, Stop:
		return Answer{OK: true}
	}
	return Answer{Why: fmt.Sprintf("%.40q is no command", string(c.Kind))}
}

func (s *State) set(c *Command) Answer {
	if len(c.Servers) > mostServers || len(c.Members) > mostMembers {
		return Answer{Why: fmt.Sprintf("at most %d servers and %d members expected", mostServers, mostMembers)}
	}
	known := map[string]bool{}
	for i := range c.Servers {
		x := &c.Servers[i]
		if x.Name == "" || strings.Contains(x.Name, "/") || known[x.Name] || !(x.Capacity >= 0) || math.IsInf(x.Capacity, 0) {
			return Answer{Why: fmt.Sprintf("servers[%d]: a name of its own without a slash, and a capacity, expected", i)}
		}
		known[x.Name] = true
	}
	for i := range c.Members {
		x := &c.Members[i]
		if x.Pool == "" || x.Name == "" || strings.Contains(x.Pool, "/") || known[x.subject()] {
			return Answer{Why: fmt.Sprintf("members[%d]: a pool and a name of its own expected", i)}
		}
		known[x.subject()] = true
	}
	if c.Limits == nil {
		return Answer{Why: "limits expected"}
	}
	if !(c.Limits.Pushed >= 0 && c.Limits.Pushed <= 1) {
		return Answer{Why: "limits.pushed: a share from 0 to 1 expected"}
	}
	for _, l := range append(slices.Collect(maps.Values(c.Limits.Pools)), c.Limits.Fleet, c.Limits.Zone, c.Limits.Group) {
		if !(l.Number >= 0 && l.Share >= 0 && l.Share <= 1) {
			return Answer{Why: "limits: a number from 0 and a share from 0 to 1 expected"}
		}
	}
	s.Servers, s.Members, s.Limits = slices.Clone(c.Servers), slices.Clone(c.Members), *c.Limits
	maps.DeleteFunc(s.Wants, func(name string, _ Wanted) bool { return !s.known(name) })
	// Permits of those that are no longer on the roster stay: they are out until somebody says otherwise.
	return Answer{OK: true}
}

func (s *State) ask(c *Command, held *Permit) Answer {
	if s.halted(c.Subject) != "" {
		return Answer{Why: "halted: " + s.halted(c.Subject)}
	}
	if held != nil {
		if held.Who == c.Who && held.Start == c.Start && held.Recall == "" {
			return Answer{OK: true, Permit: held.ID, Why: "it is held already"}
		}
		return Answer{Permit: held.ID, Why: fmt.Sprintf("%s has asked for it before", held.Who)}
	}
	if !s.known(c.Subject) {
		return Answer{Why: "it is not on the roster"}
	}
	if over, out := s.over(c.Subject, c.Seen); over != "" {
		return Answer{Why: over, Out: out}
	}
	s.Next++
	s.Permits[c.Subject] = &Permit{ID: s.Next, Subject: c.Subject, Who: c.Who, Why: c.Why, Start: c.Start}
	return Answer{OK: true, Permit: s.Next}
}

func (s *State) known(subject string) bool {
	return slices.ContainsFunc(s.Servers, func(x Server) bool { return x.Name == subject }) ||
		slices.ContainsFunc(s.Members, func(x Member) bool { return x.subject() == subject })
}

// Outs is how much of each subject is out, whyever: 1 with a permit, else as it is seen. Those off the roster that hold one count.
func (s *State) outs(seen []Seen) map[string]float64 {
	out := map[string]float64{}
	for _, x := range seen {
		if v := x.Out; v > 0 || math.IsNaN(v) {
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
func (s *State) over(subject string, seen []Seen) (why string, who []string) {
	out := s.outs(seen)
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
		return passes("the pool "+pool, l, sum, sum, all), who
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
			if !strings.Contains(name, "/") && !s.known(name) && scope.name == "the fleet" {
				number, share = number+1, share+1
				who = append(who, name)
			}
		}
		if why := passes(scope.name, scope.l, number, share, all); why != "" {
			slices.Sort(who)
			return why, who
		}
	}
	return "", nil
}

// trifle is let pass where parts are summed up, since such sums are not exact.
const trifle = 1e-9

// passes tells whether so much out is beyond a limit.
func passes(name string, l Limit, number, share, all float64) string {
	if l.Number > 0 && number > l.Number+trifle {
		return fmt.Sprintf("%s: %.3g would be out, %g may", name, number, l.Number)
	}
	if l.Share > 0 && share > l.Share*all+trifle {
		return fmt.Sprintf("%s: %.3g of a capacity of %g would be out, %.3g may", name, share, all, l.Share*all)
	}
	if l == (Limit{}) {
		return name + " has no limit"
	}
	return ""
}

// Held are the permits, by subject.
func (s *State) Held() (all []Permit) {
	for _, name := range slices.Sorted(maps.Keys(s.Permits)) {
		all = append(all, *s.Permits[name])
	}
	return all
}
