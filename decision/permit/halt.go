package permit

// This file owns halts that come by themselves, what each server is told, and how far the drain of a pool's member has come. It
// must never end a halt that was made by hand.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// lifts is the part of the bound under which a halt for pushback ends: apart from where it begins, lest it come and go.
const autoHaltHysteresis = 0.5

// halted is why nothing new begins for a subject; "" if it may. Lost servers hold up servers: members of pools have allowances of
// their own.
func (s *State) haltReason(subject string) string {
	if s.HaltReason != "" {
		return s.HaltReason
	}
	if s.AutoHaltReason == causeLosses && strings.Contains(subject, "/") {
		return ""
	}
	return s.AutoHaltReason
}

// Halt tells what would stand as the cause of a halt by itself, with what is seen now; "" for none.
func (s *State) AutoHaltCause(seen []Observation, pushed float64) string {
	if most := s.Limits.MaxRejectedShare; most > 0 {
		if strings.HasPrefix(s.AutoHaltReason, causeRejections) {
			most *= autoHaltHysteresis
		}
		if !(pushed <= most) {
			return causeRejections
		}
	}
	if s.Limits.Fleet == (Limit{}) {
		return ""
	}
	// Losses are what is out and has no permit.
	number, share, all := 0.0, 0.0, 0.0
	out := map[string]float64{}
	for _, x := range seen {
		out[x.Name] = x.OutOfService
	}
	for i := range s.Servers {
		x := &s.Servers[i]
		all += x.capacity()
		if s.Permits[x.Name] != nil {
			continue
		}
		if v := out[x.Name]; !(v <= 0) {
			number, share = number+v, share+v*x.capacity()
		}
	}
	l := s.Limits.Fleet
	if l.MaxCount > 0 && !(number < l.MaxCount-sumTolerance) || l.MaxShare > 0 && !(share < l.MaxShare*all-sumTolerance) {
		return causeLosses
	}
	return ""
}

const (
	causeRejections = "the fleet pushes back more than it may"
	causeLosses     = "losses use the fleet's allowance up"
)

// watch begins or ends a halt by itself, and records it.
func (s *State) updateAutoHalt(c *Command) {
	cause := s.AutoHaltCause(c.Observations, c.RejectedShare)
	if cause == s.AutoHaltReason {
		return
	}
	kind := Halt
	if cause == "" {
		kind = Resume
	}
	s.AutoHaltReason = cause
	s.record(HistoryEntry{Index: s.Index, Kind: kind, Actor: "keepers", Reason: cause, OK: true})
}

// Orders are what one server is told.
type Directives struct {
	HaltReason      string            `json:"halted,omitempty"`
	PermitID        uint64            `json:"permit,omitempty"` // held under the server's name
	RecalledBy      string            `json:"recall,omitempty"` // who wants that back
	DrainRequest    *DrainRequest     `json:"want,omitempty"`   // somebody wants it to ask
	DrainingMembers map[string]uint64 `json:"aside,omitempty"`  // members to be left alone, by their permits
}

// Orders tells what a server is to be told.
func (s *State) DirectivesFor(name string) Directives {
	o := Directives{HaltReason: s.haltReason(name)}
	if p := s.Permits[name]; p != nil {
		o.PermitID, o.RecalledBy = p.ID, p.RecalledBy
	}
	if w, is := s.DrainRequests[name]; is {
		o.DrainRequest = &w
	}
	for subject, p := range s.Permits {
		if strings.Contains(subject, "/") && p.Begun {
			if o.DrainingMembers == nil {
				o.DrainingMembers = map[string]uint64{}
			}
			o.DrainingMembers[subject] = p.ID
		}
	}
	return o
}

// Left is a server's word on one member that is to be left alone.
type MemberDrain struct {
	PermitID      uint64 `json:"permit"`
	InFlight      int    `json:"in_hand"`
	BlockedReason string `json:"cannot,omitempty"` // why it goes on with it
}

// Drained is how far the drain of a member has come. Done is only said where every server that is heard has left it alone and has
// no call in hand there; those that are not heard are named, and who asked decides.
type DrainStatus struct {
	Subject     string   `json:"subject"`
	PermitID    uint64   `json:"permit"`
	Done        bool     `json:"done"`
	InFlight    int      `json:"in_hand"`
	Pending     []string `json:"waits,omitempty"`   // heard, and not yet said
	Blocked     []string `json:"cannot,omitempty"`  // and why
	Unreachable []string `json:"unheard,omitempty"` // on the roster
}

// Progress tells it for all members with a permit that has begun. words are those of the servers that are heard.
func (s *State) DrainProgress(words map[string]map[string]MemberDrain) (all []DrainStatus) {
	for _, subject := range slices.Sorted(maps.Keys(s.Permits)) {
		p := s.Permits[subject]
		if !strings.Contains(subject, "/") || !p.Begun {
			continue
		}
		d := DrainStatus{Subject: subject, PermitID: p.ID}
		heard := 0
		for i := range s.Servers {
			name := s.Servers[i].Name
			word, is := words[name]
			if !is {
				d.Unreachable = append(d.Unreachable, name)
				continue
			}
			heard++
			switch l, said := word[subject]; {
			case !said || l.PermitID != p.ID:
				d.Pending = append(d.Pending, name)
			case l.BlockedReason != "":
				d.Blocked = append(d.Blocked, fmt.Sprintf("%s: %s", name, l.BlockedReason))
			default:
				d.InFlight += l.InFlight
			}
		}
		d.Done = heard > 0 && len(d.Pending)+len(d.Blocked) == 0 && d.InFlight == 0
		all = append(all, d)
	}
	return all
}
