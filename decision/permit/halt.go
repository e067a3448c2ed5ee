package permit

// This file implements halts, in particular automatic ones. The end of an automatic halt must never end a manual halt.

import "strings"

// autoHaltHysteresis is the fraction of MaxRejectedShare at which an automatic halt for rejections ends. It is below 1 so
// that the halt does not flap.
const autoHaltHysteresis = 0.5

// The causes of automatic halts. The texts are part of the replicated state and must not change.
const (
	causeRejections = "the fleet pushes back more than it may"
	causeLosses     = "losses use the fleet's allowance up"
)

// autoHaltActor is the actor that the history records for automatic halts.
const autoHaltActor = "keepers"

// haltReason returns the reason why no new disruption of a subject may begin, or "" if it may. An automatic halt for lost
// servers does not apply to pool members, which have their own limits.
func (s *State) haltReason(subject string) string {
	if s.HaltReason != "" {
		return s.HaltReason
	}
	if s.AutoHaltReason == causeLosses && isMember(subject) {
		return ""
	}
	return s.AutoHaltReason
}

// AutoHaltCause returns the cause of the automatic halt that would apply with these observations, or "" for none. It does not
// change the state.
func (s *State) AutoHaltCause(observations []Observation, rejectedShare float64) string {
	if s.rejectsTooMuch(rejectedShare) {
		return causeRejections
	}
	if s.lostTooMuch(observations) {
		return causeLosses
	}
	return ""
}

// rejectsTooMuch reports whether the fleet rejects a larger share of its RPCs than allowed. NaN counts as too large.
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

// lostTooMuch reports whether servers that are out of service without a permit use up the fleet's limit. A share of NaN is a
// loss of unknown size and counts as too much.
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
		server := &s.Servers[i]
		total += server.capacity()
		if s.Permits[server.Name] != nil {
			continue
		}
		if lost := out[server.Name]; !(lost <= 0) {
			count += lost
			capacity += lost * server.capacity()
		}
	}
	if limit.MaxCount > 0 && !(count < limit.MaxCount-sumTolerance) {
		return true
	}
	return limit.MaxShare > 0 && !(capacity < limit.MaxShare*total-sumTolerance)
}

// updateAutoHalt begins or ends an automatic halt according to the observations in a command, and records that in the
// history.
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
