package permit

// This file owns the budget: what is out of service in each scope of a limit, and whether one more subject would exceed it.

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// outOfService returns how much of each subject is out for any reason: 1 with a permit, else as observed. Holders that are
// off the roster count as well.
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

// usage is what is out of service within the scope of a limit.
type usage struct {
	count    float64  // servers or members that are out, in parts of one
	capacity float64  // that is out
	total    float64  // capacity of the scope
	subjects []string // that are out
}

// add counts a subject of the scope of which a share is out.
func (u *usage) add(subject string, capacity, out float64) {
	u.total += capacity
	if out > 0 {
		u.count += out
		u.capacity += out * capacity
		u.subjects = append(u.subjects, subject)
	}
}

// exceededLimit describes the limit that would be exceeded if a subject went out of service, with the subjects that use it up;
// "" for none.
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
		{"the zone " + server.Zone, s.Limits.Zone, func(x *Server) bool { return x.Zone == server.Zone }},
		{"the group " + server.Group, s.Limits.Group, func(x *Server) bool { return x.Group == server.Group }},
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

// exceededPoolLimit is exceededLimit for a member; out includes the member.
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

// usage sums up the servers of a scope.
func (s *State) usage(out map[string]float64, contains func(*Server) bool) usage {
	var u usage
	for i := range s.Servers {
		if x := &s.Servers[i]; contains(x) {
			u.add(x.Name, x.capacity(), out[x.Name])
		}
	}
	return u
}

// addDeparted counts servers that hold a permit and have left the roster: they are out, and no part of the total.
func (u *usage) addDeparted(s *State) {
	for name := range s.Permits {
		if !isMember(name) && !s.onRoster(name) {
			u.count++
			u.capacity++
			u.subjects = append(u.subjects, name)
		}
	}
}

// sumTolerance is the excess that is tolerated where shares are summed up, since such sums are not exact.
const sumTolerance = 1e-9

// exceeds describes how a limit is exceeded; "" if it is not. A limit that is not set is exceeded by anything.
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
