package permit

// This file owns the roster and limits that an operator configures. It must never release the permit of a subject that has
// left the roster.

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// server returns the roster's entry of a name; nil if there is none.
func (s *State) server(name string) *Server {
	for i := range s.Servers {
		if s.Servers[i].Name == name {
			return &s.Servers[i]
		}
	}
	return nil
}

// onRoster reports whether a subject is a server or a member of the roster.
func (s *State) onRoster(subject string) bool {
	return s.server(subject) != nil ||
		slices.ContainsFunc(s.Members, func(m Member) bool { return m.subject() == subject })
}

// configure replaces the roster and the limits, completely or not at all.
func (s *State) configure(c *Command) Result {
	if wrong := checkRoster(c.Servers, c.Members); wrong != "" {
		return Result{Reason: wrong}
	}
	if wrong := checkLimits(c.Limits); wrong != "" {
		return Result{Reason: wrong}
	}
	s.Servers = slices.Clone(c.Servers)
	s.Members = slices.Clone(c.Members)
	s.Limits = *c.Limits
	maps.DeleteFunc(s.DrainRequests, func(name string, _ DrainRequest) bool { return !s.onRoster(name) })
	// Permits of subjects that have left the roster stay: they count as out of service until they are returned or freed.
	return Result{OK: true}
}

// checkRoster describes what is wrong with a roster; "" if nothing is.
func checkRoster(servers []Server, members []Member) string {
	if len(servers) > maxServers || len(members) > maxMembers {
		return fmt.Sprintf("at most %d servers and %d members expected", maxServers, maxMembers)
	}
	known := map[string]bool{}
	for i := range servers {
		x := &servers[i]
		validName := x.Name != "" && !strings.Contains(x.Name, subjectSeparator) && !known[x.Name]
		validCapacity := x.Capacity >= 0 && !math.IsInf(x.Capacity, 0)
		if !validName || !validCapacity {
			return fmt.Sprintf("servers[%d]: a name of its own without a slash, and a capacity, expected", i)
		}
		known[x.Name] = true
	}
	for i := range members {
		x := &members[i]
		if x.Pool == "" || x.Name == "" || strings.Contains(x.Pool, subjectSeparator) || known[x.subject()] {
			return fmt.Sprintf("members[%d]: a pool and a name of its own expected", i)
		}
		known[x.subject()] = true
	}
	return ""
}

// checkLimits describes what is wrong with limits; "" if nothing is.
func checkLimits(limits *Limits) string {
	if limits == nil {
		return "limits expected"
	}
	if !isShare(limits.MaxRejectedShare) {
		return "limits.pushed: a share from 0 to 1 expected"
	}
	all := append(slices.Collect(maps.Values(limits.Pools)), limits.Fleet, limits.Zone, limits.Group)
	for _, l := range all {
		validCount := l.MaxCount >= 0
		if !validCount || !isShare(l.MaxShare) {
			return "limits: a number from 0 and a share from 0 to 1 expected"
		}
	}
	return ""
}

// isShare reports whether v lies between 0 and 1; NaN does not.
func isShare(v float64) bool { return v >= 0 && v <= 1 }
