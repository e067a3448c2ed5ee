package permitserver

// This file owns what the leader knows of the fleet: the heartbeats of its servers, and what follows from them. It must never
// count on a heartbeat that it received before a stall of its own process.

import (
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
	"sorrelvalve/internal/permitclient"
)

const (
	// heartbeatTimeout is for how long a server counts as reachable: three of its heartbeats, which come each second.
	heartbeatTimeout = 3 * time.Second
	// stallThreshold is a gap between two ticks after which no earlier heartbeat counts: this process did not run, and can't
	// know what it missed.
	stallThreshold = time.Second
	// maxHeartbeats bounds the table: twice the largest roster.
	maxHeartbeats = 8192
)

// heartbeat is the latest heartbeat of a server.
type heartbeat struct {
	receivedAt time.Time
	permitclient.Heartbeat
}

// live reports whether the server counts as reachable.
func (h *heartbeat) live(now time.Time) bool { return now.Sub(h.receivedAt) <= heartbeatTimeout }

// detectStall forgets all heartbeats if this process did not run meanwhile. The caller holds the lock.
func (s *Server) detectStall() {
	now := time.Now()
	if gap := now.Sub(s.lastTick); gap > stallThreshold {
		clear(s.heartbeats)
		s.options.Log.WithField("duration_ms", gap.Milliseconds()).Warn("permitserver.process_stalled")
	}
	s.lastTick = now
}

// Heartbeat takes in a server's heartbeat and returns its directives as far as this replica knows. What a server does by them
// goes through the log once more where it matters.
func (s *Server) Heartbeat(h permitclient.Heartbeat) permitclient.Directives {
	d := s.directivesFor(h.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	last, known := s.heartbeats[h.Name]
	if known && h.Incarnation < last.Incarnation { // of a former incarnation, late
		return d
	}
	if known || len(s.heartbeats) < maxHeartbeats {
		s.heartbeats[h.Name] = heartbeat{receivedAt: time.Now(), Heartbeat: h}
	}
	return d
}

func (s *Server) directivesFor(name string) permitclient.Directives {
	m := s.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	settings, program := m.releases[release.Settings], m.releases[release.Program]
	d := permitclient.Directives{Directives: m.permits.DirectivesFor(name), Index: m.index, SettingsVersion: settings.Target(name)}
	if v := settings.Version(d.SettingsVersion); v != nil {
		d.SettingsHash = v.Hash
	}
	if v := program.Version(program.Target(name)); v != nil {
		d.ProgramVersion = v.Number
		d.ProgramName = string(v.Body)
	}
	return d
}

// drainReports returns what the reachable servers report on members that drain, by server and subject, and the share of their
// RPCs that they reject together.
func (s *Server) drainReports() (reports map[string]map[string]permit.MemberDrain, rejectedShare float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	now := time.Now()
	reports = map[string]map[string]permit.MemberDrain{}
	decided, rejected := 0.0, 0.0
	for name, h := range s.heartbeats {
		if h.live(now) {
			reports[name] = h.MemberDrains
			decided += h.DecidedRPS
			rejected += h.RejectedRPS
		}
	}
	if decided > 0 {
		rejectedShare = rejected / decided
	}
	return reports, rejectedShare
}

// observations returns how much of each subject of the roster is out of service, as this replica sees it.
func (s *Server) observations() (all []permit.Observation) {
	s.machine.mu.Lock()
	servers, members := s.machine.permits.Servers, s.machine.permits.Members
	s.machine.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	now := time.Now()
	for _, server := range servers {
		h, known := s.heartbeats[server.Name]
		switch {
		case !known || !h.live(now):
			all = append(all, permit.Observation{Name: server.Name, OutOfService: 1})
		case h.OutOfService > 0:
			all = append(all, permit.Observation{Name: server.Name, OutOfService: h.OutOfService, Incarnation: h.Incarnation})
		}
	}
	for _, m := range members {
		if subject := m.Pool + "/" + m.Name; s.memberOut(subject, now) {
			all = append(all, permit.Observation{Name: subject, OutOfService: 1})
		}
	}
	return all
}

// memberOut reports whether a pool member counts as out: at least half of the reachable servers that know it report so, or none
// knows it. The caller holds the lock.
func (s *Server) memberOut(subject string, now time.Time) bool {
	known, out := 0, 0
	for _, h := range s.heartbeats {
		isOut, knows := h.MembersOut[subject]
		if !knows || !h.live(now) {
			continue
		}
		known++
		if isOut {
			out++
		}
	}
	return known == 0 || 2*out >= known
}
