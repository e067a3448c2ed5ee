package permit

// This file implements the directives for each server and the progress of a pool member's drain over the fleet.

import (
	"fmt"
	"maps"
	"slices"
)

// Directives are the instructions of the permit servers to one server.
type Directives struct {
	HaltReason      string            `json:"halted,omitempty"` // why no new disruption may begin; "" if not halted
	PermitID        uint64            `json:"permit,omitempty"` // of the server's permit; 0 for none
	RecalledBy      string            `json:"recall,omitempty"` // the operator who wants the server back in service; "" for none
	DrainRequest    *DrainRequest     `json:"want,omitempty"`   // an operator's request that the server drains; nil for none
	DrainingMembers map[string]uint64 `json:"aside,omitempty"`  // pool members that must receive no new RPCs, with their permit IDs
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

// MemberDrain is one server's report on the drain of a pool member.
type MemberDrain struct {
	PermitID      uint64 `json:"permit"`
	InFlight      int    `json:"in_hand"`          // RPCs of this server in flight at the member
	BlockedReason string `json:"cannot,omitempty"` // why the server still uses the member; "" if it does not
}

// DrainStatus is the progress of the drain of a pool member over the fleet.
type DrainStatus struct {
	Subject  string `json:"subject"`
	PermitID uint64 `json:"permit"`
	// Done is set once every reachable server has stopped using the member and has no RPC in flight there. Unreachable
	// servers are listed and do not prevent Done; the operator of the drain decides whether they matter.
	Done        bool     `json:"done"`
	InFlight    int      `json:"in_hand"`           // RPCs in flight at the member, summed over the reachable servers that stopped using it
	Pending     []string `json:"waits,omitempty"`   // reachable servers that have not reported on this permit yet
	Blocked     []string `json:"cannot,omitempty"`  // servers that still use the member, with their reasons
	Unreachable []string `json:"unheard,omitempty"` // servers of the roster without a report
}

// DrainProgress returns the progress of all pool members whose drain has begun, sorted by subject. reports holds the reports
// of the reachable servers, keyed by server and then by subject.
func (s *State) DrainProgress(reports map[string]map[string]MemberDrain) (statuses []DrainStatus) {
	for _, subject := range slices.Sorted(maps.Keys(s.Permits)) {
		if p := s.Permits[subject]; isMember(subject) && p.Begun {
			statuses = append(statuses, s.drainStatus(p, reports))
		}
	}
	return statuses
}

func (s *State) drainStatus(p *Permit, reports map[string]map[string]MemberDrain) DrainStatus {
	d := DrainStatus{Subject: p.Subject, PermitID: p.ID}
	reachableCount := 0
	for i := range s.Servers {
		name := s.Servers[i].Name
		report, reachable := reports[name]
		if !reachable {
			d.Unreachable = append(d.Unreachable, name)
			continue
		}
		reachableCount++
		switch drain, reported := report[p.Subject]; {
		case !reported || drain.PermitID != p.ID:
			d.Pending = append(d.Pending, name)
		case drain.BlockedReason != "":
			d.Blocked = append(d.Blocked, fmt.Sprintf("%s: %s", name, drain.BlockedReason))
		default:
			d.InFlight += drain.InFlight
		}
	}
	d.Done = reachableCount > 0 && len(d.Pending)+len(d.Blocked) == 0 && d.InFlight == 0
	return d
}
