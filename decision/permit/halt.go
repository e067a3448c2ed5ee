package permit

// This file owns halts, above all automatic ones. An automatic halt must never end one that was made by hand.

import "strings"

// autoHaltHysteresis is the part of MaxRejectedShare below which a halt for rejections ends: apart from where it begins,
// so that it does not flap.
const autoHaltHysteresis = 0.5

// The causes of automatic halts. They are part of the replicated state.
const (
	causeRejections = "the fleet pushes back more than it may"
	causeLosses     = "losses use the fleet's allowance up"
)

// autoHaltActor stands in the history for the permit servers themselves.
const autoHaltActor = "keepers"

// haltReason returns why nothing new may begin for a subject; "" if it may. Lost servers halt servers only: members of
// pools have limits of their own.
func (s *State) haltReason(subject string) string {
	if s.HaltReason != "" {
		return s.HaltReason
	}
	if s.AutoHaltReason == causeLosses && isMember(subject) {
		return ""
	}
	return s.AutoHaltReason
}

// AutoHaltCause returns the cause of the automatic halt that would stand with these observations; "" for none. It changes
// nothing.
func (s *State) AutoHaltCause(observations []Observation, rejectedShare float64) string {
	if s.rejectsTooMuch(rejectedShare) {
		return causeRejections
	}
	if s.lostTooMuch(observations) {
		return causeLosses
	}
	return ""
}

// rejectsTooMuch reports whether the fleet rejects more than it may. A share that is not a number is too much.
func (s *State) rejectsTooMuch(rejectedShare float64) bool {
	maxShare := s.Limits.MaxRejectedShare
	if maxShare <= 0 {
		return false
	}
	if strings.HasPrefix(s.AutoHaltReason, causeRejections) {
		maxShare *= autoHaltHysteresis
	}
	return !(rejectedShare <= maxShare)
}

// lostTooMuch reports whether what is out without a permit uses up the fleet's limit. A share that is not a number is a loss
// of unknown size, and too much.
func (s *State) lostTooMuch(observations []Observation) bool {
	limit := s.Limits.Fleet
	if !limit.isSet() {
		return false
	}
	out := map[string]float64{}
	for _, o := range observations {
		out[o.Name] = o.OutOfService
	}
	count, capacity, total := 0.0, 0.0, 0.0
	for i := range s.Servers {
		x := &s.Servers[i]
		total += x.capacity()
		if s.Permits[x.Name] != nil {
			continue
		}
		if lost := out[x.Name]; !(lost <= 0) {
			count += lost
			capacity += lost * x.capacity()
		}
	}
	if limit.MaxCount > 0 && !(count < limit.MaxCount-sumTolerance) {
		return true
	}
	return limit.MaxShare > 0 && !(capacity < limit.MaxShare*total-sumTolerance)
}

// updateAutoHalt begins or ends an automatic halt by what a command carries, and records it.
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
	s.record(HistoryEntry{Index: s.Index, Kind: kind, Actor: autoHaltActor, Reason: cause, OK: true})
}
