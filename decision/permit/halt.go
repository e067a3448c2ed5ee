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
const lifts = 0.5

// halted is why nothing new begins for a subject; "" if it may. Lost servers hold up servers: members of pools have allowances of
// their own.
func (s *State) halted(subject string) string {
	if s.Halted != "" {
		return s.Halted
	}
	if s.Auto == lost && strings.Contains(subject, "/") {
		return ""
	}
	return s.Auto
}

// Halt tells what would stand as the cause of a halt by itself, with what is seen now; "" for none.
func (s *State) Halt(seen []Seen, pushed float64) string {
	if most := s.Limits.Pushed; most > 0 {
		if strings.HasPrefix(s.Auto, pushes) {
			most *= lifts
		}
		if !(pushed <= most) {
			return pushes
		}
	}
	if s.Limits.Fleet == (Limit{}) {
		return ""
	}
	// Losses are what is out and has no permit.
	number, share, all := 0.0, 0.0, 0.0
	out := map[string]float64{}
	for _, x := range seen {
		out[x.Name] = x.Out
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
	if l.Number > 0 && !(number < l.Number-trifle) || l.Share > 0 && !(share < l.Share*all-trifle) {
		return lost
	}
	return ""
}

const (
	pushes = "the fleet pushes back more than it may"
	lost   = "losses use the fleet's allowance up"
)

// watch begins or ends a halt by itself, and records it.
func (s *State) watch(c *Command) {
	cause := s.Halt(c.Seen, c.Pushed)
	if cause == s.Auto {
		return
	}
	kind := Halt
	if cause == "" {
		kind = Resume
	}
	s.Auto = cause
	s.record(Entry{Index: s.Index, Kind: kind, Who: "keepers", Why: cause, OK: true})
}

// Orders are what one server is told.
type Orders struct {
	Halted string            `json:"halted,omitempty"`
	Permit uint64            `json:"permit,omitempty"` // held under the server's name
	Recall string            `json:"recall,omitempty"` // who wants that back
	Want   *Wanted           `json:"want,omitempty"`   // somebody wants it to ask
	Aside  map[string]uint64 `json:"aside,omitempty"`  // members to be left alone, by their permits
}

// Orders tells what a server is to be told.
func (s *State) Orders(name string) Orders {
	o := Orders{Halted: s.halted(name)}
	if p := s.Permits[name]; p != nil {
		o.Permit, o.Recall = p.ID, p.Recall
	}
	if w, is := s.Wants[name]; is {
		o.Want = &w
	}
	for subject, p := range s.Permits {
		if strings.Contains(subject, "/") && p.Begun {
			if o.Aside == nil {
				o.Aside = map[string]uint64{}
			}
			o.Aside[subject] = p.ID
		}
	}
	return o
}

// Left is a server's word on one member that is to be left alone.
type Left struct {
	Permit uint64 `json:"permit"`
	InHand int    `json:"in_hand"`
	Cannot string `json:"cannot,omitempty"` // why it goes on with it
}

// Drained is how far the drain of a member has come. Done is only said where every server that is heard has left it alone and has
// no call in hand there; those that are not heard are named, and who asked decides.
type Drained struct {
	Subject string   `json:"subject"`
	Permit  uint64   `json:"permit"`
	Done    bool     `json:"done"`
	InHand  int      `json:"in_hand"`
	Waits   []string `json:"waits,omitempty"`   // heard, and not yet said
	Cannot  []string `json:"cannot,omitempty"`  // and why
	Unheard []string `json:"unheard,omitempty"` // on the roster
}

// Progress tells it for all members with a permit that has begun. words are those of the servers that are heard.
func (s *State) Progress(words map[string]map[string]Left) (all []Drained) {
	for _, subject := range slices.Sorted(maps.Keys(s.Permits)) {
		p := s.Permits[subject]
		if !strings.Contains(subject, "/") || !p.Begun {
			continue
		}
		d := Drained{Subject: subject, Permit: p.ID}
		heard := 0
		for i := range s.Servers {
			name := s.Servers[i].Name
			word, is := words[name]
			if !is {
				d.Unheard = append(d.Unheard, name)
				continue
			}
			heard++
			switch l, said := word[subject]; {
			case !said || l.Permit != p.ID:
				d.Waits = append(d.Waits, name)
			case l.Cannot != "":
				d.Cannot = append(d.Cannot, fmt.Sprintf("%s: %s", name, l.Cannot))
			default:
				d.InHand += l.InHand
			}
		}
		d.Done = heard > 0 && len(d.Waits)+len(d.Cannot) == 0 && d.InHand == 0
		all = append(all, d)
	}
	return all
}
