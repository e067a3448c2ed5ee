package permit

// This file owns the life of a permit: acquired, begun, recalled, returned or freed. It must never hold two for one subject.

import (
	"cmp"
	"fmt"
)

// acquire grants a permit if the subject is on the roster, nothing is halted and no limit would be exceeded.
func (s *State) acquire(c *Command, held *Permit) Result {
	if halt := s.haltReason(c.Subject); halt != "" {
		return Result{Reason: "halted: " + halt}
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
	if reason, out := s.exceededLimit(c.Subject, c.Observations); reason != "" {
		return Result{Reason: reason, OutOfService: out}
	}
	s.LastPermitID++
	s.Permits[c.Subject] = &Permit{ID: s.LastPermitID, Subject: c.Subject, Holder: c.Actor, Reason: c.Reason, Incarnation: c.Incarnation}
	return Result{OK: true, PermitID: s.LastPermitID}
}

// begin marks a permit as begun if it is still valid.
func (s *State) begin(c *Command, held *Permit) Result {
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
	// Losses since the permit was granted use up the limit first.
	if reason, out := s.exceededLimit(c.Subject, c.Observations); reason != "" {
		return Result{PermitID: held.ID, Reason: reason, OutOfService: out}
	}
	held.Begun = true
	delete(s.DrainRequests, c.Subject)
	return Result{OK: true, PermitID: held.ID}
}

// returnPermit takes a permit back from its holder.
func (s *State) returnPermit(c *Command, held *Permit) Result {
	if held == nil || c.PermitID != 0 && held.ID != c.PermitID {
		return Result{OK: true, Reason: "it was not held"}
	}
	// A server that has restarted does not know the ID that its former incarnation held.
	if c.PermitID == 0 && c.Incarnation <= held.Incarnation {
		return Result{PermitID: held.ID, Reason: "its holder is not of a later start"}
	}
	if held.Begun && c.Incarnation <= held.Incarnation && held.RecalledBy == "" && !isMember(c.Subject) {
		return Result{PermitID: held.ID, Reason: "its holder has begun, and has not been back since"}
	}
	delete(s.Permits, c.Subject)
	return Result{OK: true, PermitID: held.ID}
}

// free releases a permit on an operator's word.
func (s *State) free(c *Command, held *Permit) Result {
	if held == nil {
		return Result{Reason: "no permit is held for it"}
	}
	if c.Actor == "" || c.Reason == "" {
		return Result{PermitID: held.ID, Reason: "who and why expected"}
	}
	delete(s.Permits, c.Subject)
	return Result{OK: true, PermitID: held.ID}
}

// recall withdraws a drain request, ends a member's drain, or marks a server's permit as recalled for its holder to return.
func (s *State) recall(c *Command, held *Permit) Result {
	_, requested := s.DrainRequests[c.Subject]
	delete(s.DrainRequests, c.Subject)
	if held == nil && requested {
		return Result{OK: true, Reason: "it had no permit yet"}
	}
	if held == nil {
		return Result{Reason: "no permit is held for it"}
	}
	if isMember(c.Subject) { // the operator is its holder
		delete(s.Permits, c.Subject)
		return Result{OK: true, PermitID: held.ID}
	}
	held.RecalledBy = cmp.Or(c.Actor, unnamedActor)
	return Result{OK: true, PermitID: held.ID}
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
