package permit

// This file owns what each server is to do, and how far the drain of a pool member has progressed over the fleet.

import (
	"fmt"
	"maps"
	"slices"
)

// Directives are what one server is to do.
type Directives struct {
	HaltReason      string            `json:"halted,omitempty"` // why nothing new may begin; "" if it may
	PermitID        uint64            `json:"permit,omitempty"` // held for the server; 0 for none
	RecalledBy      string            `json:"recall,omitempty"` // who wants the server back in service; "" for nobody
	DrainRequest    *DrainRequest     `json:"want,omitempty"`   // the server is to acquire a permit and drain; nil for none
	DrainingMembers map[string]uint64 `json:"aside,omitempty"`  // members to send no new RPCs to, with their permit IDs
}

// DirectivesFor returns the directives of a server.
func (s *State) DirectivesFor(name string) Directives {
	d := Directives{HaltReason: s.haltReason(name)}
	if p := s.Permits[name]; p != nil {
		d.PermitID = p.ID
		d.RecalledBy = p.RecalledBy
	}
	if request, pending := s.DrainRequests[name]; pending {
		d.DrainRequest = &request
	}
	for subject, p := range s.Permits {
		if isMember(subject) && p.Begun {
			if d.DrainingMembers == nil {
				d.DrainingMembers = map[string]uint64{}
			}
			d.DrainingMembers[subject] = p.ID
		}
	}
	return d
}

// MemberDrain is one server's report on a member that it is to send no new RPCs to.
type MemberDrain struct {
	PermitID      uint64 `json:"permit"`
	InFlight      int    `json:"in_hand"`          // RPCs at the member
	BlockedReason string `json:"cannot,omitempty"` // why the server still uses the member; "" if it does not
}

// DrainStatus is how far the drain of a member has progressed.
type DrainStatus struct {
	Subject  string `json:"subject"`
	PermitID uint64 `json:"permit"`
	// Done is set once every reachable server has stopped using the member and has no RPC in flight there. Unreachable
	// servers are listed; whoever requested the drain decides about them.
	Done        bool     `json:"done"`
	InFlight    int      `json:"in_hand"`           // RPCs at the member, over all reachable servers
	Pending     []string `json:"waits,omitempty"`   // reachable servers that have not reported on this permit yet
	Blocked     []string `json:"cannot,omitempty"`  // servers that still use the member, with their reasons
	Unreachable []string `json:"unheard,omitempty"` // servers of the roster that were not heard from
}

// DrainProgress returns the progress of all members whose drain has begun, sorted by subject. reports are those of the
// reachable servers, by server and subject.
func (s *State) DrainProgress(reports map[string]map[string]MemberDrain) (all []DrainStatus) {
	for _, subject := range slices.Sorted(maps.Keys(s.Permits)) {
		if p := s.Permits[subject]; isMember(subject) && p.Begun {
			all = append(all, s.drainStatus(p, reports))
		}
	}
	return all
}

func (s *State) drainStatus(p *Permit, reports map[string]map[string]MemberDrain) DrainStatus {
	d := DrainStatus{Subject: p.Subject, PermitID: p.ID}
	reachable := 0
	for i := range s.Servers {
		name := s.Servers[i].Name
		report, heard := reports[name]
		if !heard {
			d.Unreachable = append(d.Unreachable, name)
			continue
		}
		reachable++
		switch drain, reported := report[p.Subject]; {
		case !reported || drain.PermitID != p.ID:
			d.Pending = append(d.Pending, name)
		case drain.BlockedReason != "":
			d.Blocked = append(d.Blocked, fmt.Sprintf("%s: %s", name, drain.BlockedReason))
		default:
			d.InFlight += drain.InFlight
		}
	}
	d.Done = reachable > 0 && len(d.Pending)+len(d.Blocked) == 0 && d.InFlight == 0
	return d
}
