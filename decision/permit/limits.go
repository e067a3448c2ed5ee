package permit

// This file implements the disruption budget: what is out of service in the scope of each limit, and whether one more subject
// would exceed a limit.

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// outOfService returns the share of each subject that is out of service for any reason: 1 with a permit, otherwise as
// observed. It includes subjects with a permit that are not on the roster.
func (s *State) outOfService(observations []Observation) map[string]float64 {
	out := map[string]float64{}
	for _, o := range observations {
		share := o.OutOfService
		if share <= 0 {
			continue
		}
		if share > 1 || math.IsNaN(share) {
			share = 1
		}
		out[o.Name] = math.Max(out[o.Name], share)
	}
	for name := range s.Permits {
		out[name] = 1
	}
	return out
}

// usage sums up what is out of service in the scope of a limit.
type usage struct {
	count    float64  // servers or members that are out, including fractions
	capacity float64  // capacity that is out
	total    float64  // total capacity of the scope
	subjects []string // subjects that are out, wholly or in part
}

// add counts a subject of the scope; out is the share of it that is out of service.
func (u *usage) add(subject string, capacity, out float64) {
	u.total += capacity
	if out > 0 {
		u.count += out
		u.capacity += out * capacity
		u.subjects = append(u.subjects, subject)
	}
}

// exceededLimit describes the limit that would be exceeded if a subject went out of service, and returns the subjects that
// would then be out in its scope. The reason is "" if no limit would be exceeded.
func (s *State) exceededLimit(subject string, observations []Observation) (reason string, subjects []string) {
	out := s.outOfService(observations)
	out[subject] = 1
	if pool, _, member := strings.Cut(subject, subjectSeparator); member {
		return s.exceededPoolLimit(pool, out)
	}
	server := s.server(subject)
	if server == nil {
		return "it is not on the roster", nil
	}
	if !s.Limits.Fleet.isSet() {
		return "the fleet has no limit", nil
	}
	fleet := s.usage(out, func(*Server) bool { return true })
	fleet.addDeparted(s)
	if reason := exceeds("the fleet", s.Limits.Fleet, &fleet); reason != "" {
		slices.Sort(fleet.subjects)
		return reason, fleet.subjects
	}
	scopes := []struct {
		name     string
		limit    Limit
		contains func(*Server) bool
	}{
		{"the zone " + server.Zone, s.Limits.Zone, func(other *Server) bool { return other.Zone == server.Zone }},
		{"the group " + server.Group, s.Limits.Group, func(other *Server) bool { return other.Group == server.Group }},
	}
	for _, scope := range scopes {
		if !scope.limit.isSet() {
			continue
		}
		u := s.usage(out, scope.contains)
		if reason := exceeds(scope.name, scope.limit, &u); reason != "" {
			slices.Sort(u.subjects)
			return reason, u.subjects
		}
	}
	return "", nil
}

// exceededPoolLimit is exceededLimit for a pool member; out already includes the member.
func (s *State) exceededPoolLimit(pool string, out map[string]float64) (reason string, subjects []string) {
	limit, configured := s.Limits.Pools[pool]
	if !configured {
		return fmt.Sprintf("the pool %s has no limit", pool), nil
	}
	var u usage
	for i := range s.Members {
		if m := &s.Members[i]; m.Pool == pool {
			u.add(m.subject(), 1, out[m.subject()])
		}
	}
	return exceeds("the pool "+pool, limit, &u), u.subjects
}

// usage returns the usage over the servers of a scope.
func (s *State) usage(out map[string]float64, contains func(*Server) bool) usage {
	var u usage
	for i := range s.Servers {
		if server := &s.Servers[i]; contains(server) {
			u.add(server.Name, server.capacity(), out[server.Name])
		}
	}
	return u
}

// addDeparted counts servers that hold a permit but have left the roster: they count as out of service and do not add to the
// total.
func (u *usage) addDeparted(s *State) {
	for name := range s.Permits {
		if !isMember(name) && !s.onRoster(name) {
			u.count++
			u.capacity++
			u.subjects = append(u.subjects, name)
		}
	}
}

// sumTolerance is the tolerance of comparisons with sums of shares, which are subject to rounding errors.
const sumTolerance = 1e-9

// exceeds describes how a limit is exceeded, or returns "" if it is not. A limit that is not set counts as exceeded.
func exceeds(scope string, limit Limit, u *usage) string {
	if limit.MaxCount > 0 && u.count > limit.MaxCount+sumTolerance {
		return fmt.Sprintf("%s: %.3g would be out, %g may", scope, u.count, limit.MaxCount)
	}
	if maxCapacity := limit.MaxShare * u.total; limit.MaxShare > 0 && u.capacity > maxCapacity+sumTolerance {
		return fmt.Sprintf("%s: %.3g of a capacity of %g would be out, %.3g may", scope, u.capacity, u.total, maxCapacity)
	}
	if !limit.isSet() {
		return scope + " has no limit"
	}
	return ""
}
