package permit

// This file implements the configuration of the roster and the limits. A new configuration must never release the permit of a
// subject that has left the roster.

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// server returns the server of the given name on the roster, or nil if there is none.
func (s *State) server(name string) *Server {
	for i := range s.Servers {
		if s.Servers[i].Name == name {
			return &s.Servers[i]
		}
	}
	return nil
}

// onRoster reports whether a subject is a server or a pool member on the roster.
func (s *State) onRoster(subject string) bool {
	return s.server(subject) != nil ||
		slices.ContainsFunc(s.Members, func(m Member) bool { return m.subject() == subject })
}

// configure replaces the roster and the limits, completely or not at all.
func (s *State) configure(c *Command) Result {
	if problem := checkRoster(c.Servers, c.Members); problem != "" {
		return Result{Reason: problem}
	}
	if problem := checkLimits(c.Limits); problem != "" {
		return Result{Reason: problem}
	}
	s.Servers = slices.Clone(c.Servers)
	s.Members = slices.Clone(c.Members)
	s.Limits = *c.Limits
	maps.DeleteFunc(s.DrainRequests, func(name string, _ DrainRequest) bool { return !s.onRoster(name) })
	// Subjects that have left the roster keep their permits and count as out of service until these are returned or freed.
	return Result{OK: true}
}

// checkRoster describes the first problem of a roster, or returns "" if it is valid.
func checkRoster(servers []Server, members []Member) string {
	if len(servers) > maxServers || len(members) > maxMembers {
		return fmt.Sprintf("at most %d servers and %d members expected", maxServers, maxMembers)
	}
	known := map[string]bool{}
	for i := range servers {
		server := &servers[i]
		validName := server.Name != "" && !strings.Contains(server.Name, subjectSeparator) && !known[server.Name]
		validCapacity := server.Capacity >= 0 && !math.IsInf(server.Capacity, 0)
		if !validName || !validCapacity {
			return fmt.Sprintf("servers[%d]: a name of its own without a slash, and a capacity, expected", i)
		}
		known[server.Name] = true
	}
	for i := range members {
		member := &members[i]
		if member.Pool == "" || member.Name == "" || strings.Contains(member.Pool, subjectSeparator) || known[member.subject()] {
			return fmt.Sprintf("members[%d]: a pool and a name of its own expected", i)
		}
		known[member.subject()] = true
	}
	return ""
}

// checkLimits describes the first problem of limits, or returns "" if they are valid.
func checkLimits(limits *Limits) string {
	if limits == nil {
		return "limits expected"
	}
	if !isShare(limits.MaxRejectedShare) {
		return "limits.pushed: a share from 0 to 1 expected"
	}
	everyLimit := append(slices.Collect(maps.Values(limits.Pools)), limits.Fleet, limits.Zone, limits.Group)
	for _, limit := range everyLimit {
		validCount := limit.MaxCount >= 0
		if !validCount || !isShare(limit.MaxShare) {
			return "limits: a number from 0 and a share from 0 to 1 expected"
		}
	}
	return ""
}

// isShare reports whether v lies between 0 and 1; NaN does not.
func isShare(v float64) bool { return v >= 0 && v <= 1 }
