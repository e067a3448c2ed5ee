package permit

// This file owns the life of a permit: acquired, begun, recalled, returned or freed. It must never hold two for one subject.

import (
	"cmp"
	"fmt"
)

// acquire grants a permit if the subject is on the roster, nothing is halted and no limit would be exceeded.
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
	// Losses since the permit was granted use up the limit first.
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
	// A server that has restarted does not know the ID that its former incarnation current.
	if c.PermitID == 0 && c.Incarnation <= current.Incarnation {
		return Result{PermitID: current.ID, Reason: "its holder is not of a later start"}
	}
	if current.Begun && c.Incarnation <= current.Incarnation && current.RecalledBy == "" && !isMember(c.Subject) {
		return Result{PermitID: current.ID, Reason: "its holder has begun, and has not been back since"}
	}
	delete(s.Permits, c.Subject)
	return Result{OK: true, PermitID: current.ID}
}

// free releases a permit on an operator's word.
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

// recall withdraws a drain request, ends a member's drain, or marks a server's permit as recalled for its holder to return.
func (s *State) recall(c *Command, current *Permit) Result {
	_, requested := s.DrainRequests[c.Subject]
	delete(s.DrainRequests, c.Subject)
	if current == nil && requested {
		return Result{OK: true, Reason: "it had no permit yet"}
	}
	if current == nil {
		return Result{Reason: "no permit is held for it"}
	}
	if isMember(c.Subject) { // the operator is its holder
		delete(s.Permits, c.Subject)
		return Result{OK: true, PermitID: current.ID}
	}
	current.RecalledBy = cmp.Or(c.Actor, unnamedActor)
	return Result{OK: true, PermitID: current.ID}
}

// requestDrain notes that an operator wants a server to drain.
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
