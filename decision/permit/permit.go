// Package permit implements a disruption budget for a fleet and for the pools below it: drain permits are granted
// per server or pool member, bounded by limits per fleet, zone, group and pool, and a halt stops all new disruption.
// It is a replicated state machine: the permit servers apply the same commands in the order of their raft log, and the
// same commands give the same state and answers on every replica. Capacity that is already out of service for any reason
// (draining, unreachable, crashed, warming up) counts against the budget first, and an unknown state counts as out.
// The package is pure: no I/O, no clock and no randomness. A permit is never released by a timeout, and a subject is
// never granted two permits at once. A State is not safe for concurrent use; its owner serializes access.
package permit

import "strings"

// Limit bounds how much of a scope may be out of service at a time. If both bounds are set, both apply.
type Limit struct {
	MaxCount float64 `json:"number,omitempty"` // servers or members; 0 if not set
	MaxShare float64 `json:"share,omitempty"`  // of the scope's capacity, from 0 to 1; 0 if not set
}

// isSet reports whether either bound is set.
func (l Limit) isSet() bool { return l != Limit{} }

// Limits are the limits that an operator configures. A zone or group without a limit is bounded only by the fleet's limit.
// Without a limit for the fleet or for a pool, no permits are granted for it.
type Limits struct {
	Fleet Limit            `json:"fleet"`
	Zone  Limit            `json:"zone"`            // applies to each zone
	Group Limit            `json:"group"`           // applies to each group
	Pools map[string]Limit `json:"pools,omitempty"` // by pool name
	// MaxRejectedShare is the share of its RPCs, from 0 to 1, that the fleet may reject before an automatic halt begins.
	// With 0, rejections cause no halt.
	MaxRejectedShare float64 `json:"pushed,omitempty"`
}

// Server is a server on the roster that an operator maintains. It is expected to exist, whether or not it is reachable.
type Server struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone,omitempty"`
	Group    string  `json:"group,omitempty"`
	Capacity float64 `json:"capacity,omitempty"` // in a unit that the operator chooses; 0 counts as 1
}

// capacity returns the server's capacity with the default applied.
func (s *Server) capacity() float64 {
	if s.Capacity <= 0 {
		return 1
	}
	return s.Capacity
}

// Member is one member of a pool.
type Member struct {
	Pool string `json:"pool"`
	Name string `json:"name"`
}

// subject returns the name under which a permit for the member is held.
func (m *Member) subject() string { return memberSubject(m.Pool, m.Name) }

// subjectSeparator separates pool and member in a subject; server names must not contain it.
const subjectSeparator = "/"

func memberSubject(pool, member string) string { return pool + subjectSeparator + member }

// isMember reports whether a subject names a pool member rather than a server.
func isMember(subject string) bool { return strings.Contains(subject, subjectSeparator) }

// Observation is the share of a subject that is out of service, as observed by the leader.
type Observation struct {
	Name string `json:"name"`
	// OutOfService is 1 if the subject drains, is unreachable or has crashed. While it warms up, it is the share of its
	// traffic that it does not take yet.
	OutOfService float64 `json:"out"`
	Incarnation  uint64  `json:"start,omitempty"` // of the server; increases with each restart
}

// Permit allows a subject to go out of service.
type Permit struct {
	ID          uint64 `json:"id"`
	Subject     string `json:"subject"`
	Holder      string `json:"who"`              // actor that acquired it
	Reason      string `json:"why"`              // as given by the holder
	Incarnation uint64 `json:"start"`            // of the server when it acquired the permit
	Begun       bool   `json:"begun"`            // the drain has started
	RecalledBy  string `json:"recall,omitempty"` // the operator who wants the subject back in service; "" for none
}

// DrainRequest is an operator's pending request that a server drains. The server acquires the permit itself.
type DrainRequest struct {
	Actor  string `json:"who"`
	Reason string `json:"why"`
}

// HistoryEntry is one entry of the history that operators can query.
type HistoryEntry struct {
	Index    uint64 `json:"index"` // of the command
	Kind     Kind   `json:"kind"`
	Subject  string `json:"subject,omitempty"`
	PermitID uint64 `json:"permit,omitempty"`
	Actor    string `json:"who,omitempty"`
	Reason   string `json:"why,omitempty"`
	OK       bool   `json:"ok"`
}
