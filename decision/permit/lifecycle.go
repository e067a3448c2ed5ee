package permit

// This file implements the life cycle of a permit: acquired, begun, recalled, returned or freed. A subject must never have two
// permits at the same time.

import (
	"cmp"
	"fmt"
)

// acquire grants a permit if the subject is on the roster, no halt applies to it and no limit would be exceeded.
func (s *State) acquire(c *Command, current *Permit) Result {
	if halt := s.haltReason(c.Subject); halt != "" {
		return Result{Reason: "halted: " + halt}
	}
	if current != nil {
		if current.Holder == c.Actor && current.Incarnation == c.Incarnation && current.RecalledBy == "" {
			return Result{OK: true, PermitID: current.ID, Reason: "it is held already"}
		}
		return Result{PermitID: current.ID, Reason: fmt.Sprintf("%s has asked for it before", current.Holder)}
	}
	if !s.onRoster(c.Subject) {
		return Result{Reason: "it is not on the roster"}
	}
	if reason, out := s.exceededLimit(c.Subject, c.Observations); reason != "" {
		return Result{Reason: reason, OutOfService: out}
	}
	s.LastPermitID++
	s.Permits[c.Subject] = &Permit{ID: s.LastPermitID, Subject: c.Subject, Holder: c.Actor, Reason: c.Reason, Incarnation: c.Incarnation}
	return Result{OK: true, PermitID: s.LastPermitID}
}

// begin marks a permit as begun if it is still valid.
func (s *State) begin(c *Command, current *Permit) Result {
	switch {
	case current == nil || current.ID != c.PermitID:
		return Result{Reason: "the permit is not held any more"}
	case current.Incarnation != c.Incarnation:
		return Result{PermitID: current.ID, Reason: "it was given to a former start of its holder"}
	case current.Begun:
		return Result{OK: true, PermitID: current.ID}
	case s.haltReason(c.Subject) != "":
		return Result{PermitID: current.ID, Reason: "halted: " + s.haltReason(c.Subject)}
	case current.RecalledBy != "":
		return Result{PermitID: current.ID, Reason: current.RecalledBy + " wants it back"}
	}
	// Capacity that was lost since the permit was granted counts against the limit before this drain does.
	if reason, out := s.exceededLimit(c.Subject, c.Observations); reason != "" {
		return Result{PermitID: current.ID, Reason: reason, OutOfService: out}
	}
	current.Begun = true
	delete(s.DrainRequests, c.Subject)
	return Result{OK: true, PermitID: current.ID}
}

// returnPermit takes a permit back from its holder.
func (s *State) returnPermit(c *Command, current *Permit) Result {
	if current == nil || c.PermitID != 0 && current.ID != c.PermitID {
		return Result{OK: true, Reason: "it was not held"}
	}
	// A server that has restarted does not know the ID of the permit that its former incarnation held.
	if c.PermitID == 0 && c.Incarnation <= current.Incarnation {
		return Result{PermitID: current.ID, Reason: "its holder is not of a later start"}
	}
	if current.Begun && c.Incarnation <= current.Incarnation && current.RecalledBy == "" && !isMember(c.Subject) {
		return Result{PermitID: current.ID, Reason: "its holder has begun, and has not been back since"}
	}
	delete(s.Permits, c.Subject)
	return Result{OK: true, PermitID: current.ID}
}

// free releases a permit at the request of an operator, who must give a name and a reason.
func (s *State) free(c *Command, current *Permit) Result {
	if current == nil {
		return Result{Reason: "no permit is held for it"}
	}
	if c.Actor == "" || c.Reason == "" {
		return Result{PermitID: current.ID, Reason: "who and why expected"}
	}
	delete(s.Permits, c.Subject)
	return Result{OK: true, PermitID: current.ID}
}

// recall withdraws a drain request, and ends a member's drain or marks a server's permit as recalled so that its holder returns
// it.
func (s *State) recall(c *Command, current *Permit) Result {
	_, requested := s.DrainRequests[c.Subject]
	delete(s.DrainRequests, c.Subject)
	if current == nil && requested {
		return Result{OK: true, Reason: "it had no permit yet"}
	}
	if current == nil {
		return Result{Reason: "no permit is held for it"}
	}
	if isMember(c.Subject) { // the holder is the operator, who needs no recall
		delete(s.Permits, c.Subject)
		return Result{OK: true, PermitID: current.ID}
	}
	current.RecalledBy = cmp.Or(c.Actor, unnamedActor)
	return Result{OK: true, PermitID: current.ID}
}

// requestDrain records an operator's request that a server drains. It is denied if another operator's request is pending.
func (s *State) requestDrain(c *Command) Result {
	if request, pending := s.DrainRequests[c.Subject]; pending && request.Actor != c.Actor {
		return Result{Reason: request.Actor + " has asked for it before"}
	}
	if s.server(c.Subject) == nil {
		return Result{Reason: "it is no server of the roster"}
	}
	if s.DrainRequests == nil {
		s.DrainRequests = map[string]DrainRequest{}
	}
	s.DrainRequests[c.Subject] = DrainRequest{Actor: cmp.Or(c.Actor, unnamedActor), Reason: c.Reason}
	return Result{OK: true}
}
