package permitserver

// This file implements the leader's table of server heartbeats, and the observations that follow from it. The leader must
// never rely on a heartbeat that it received before its own process stalled.

import (
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
	"sorrelvalve/internal/permitclient"
)

const (
	// heartbeatTimeout is how long a server counts as reachable after a heartbeat: three of its heartbeat intervals of one
	// second.
	heartbeatTimeout = 3 * time.Second
	// stallThreshold is the gap between two ticks beyond which this process counts as stalled. Earlier heartbeats are
	// then discarded, since the process may have missed changes while it did not run.
	stallThreshold = time.Second
	// maxHeartbeats bounds the heartbeat table to twice the size of the largest roster.
	maxHeartbeats = 8192
)

// heartbeat is the latest heartbeat of a server.
type heartbeat struct {
	receivedAt time.Time
	permitclient.Heartbeat
}

// live reports whether the heartbeat is recent enough for the server to count as reachable.
func (h *heartbeat) live(now time.Time) bool { return now.Sub(h.receivedAt) <= heartbeatTimeout }

// detectStall discards all heartbeats if this process did not run for longer than stallThreshold. The caller holds s.mu.
func (s *Server) detectStall() {
	now := time.Now()
	if gap := now.Sub(s.lastTick); gap > stallThreshold {
		clear(s.heartbeats)
		s.options.Log.WithField("duration_ms", gap.Milliseconds()).Warn("permitserver.process_stalled")
	}
	s.lastTick = now
}

// Heartbeat records a server's heartbeat and returns the server's directives. The directives come from this replica's copy of
// the state and may be stale, so actions that need consensus go through the log again.
func (s *Server) Heartbeat(h permitclient.Heartbeat) permitclient.Directives {
	d := s.directivesFor(h.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	last, known := s.heartbeats[h.Name]
	if known && h.Incarnation < last.Incarnation { // delayed, from an earlier incarnation
		return d
	}
	if known || len(s.heartbeats) < maxHeartbeats {
		s.heartbeats[h.Name] = heartbeat{receivedAt: time.Now(), Heartbeat: h}
	}
	return d
}

// directivesFor returns the directives of a server from this replica's copy of the state.
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

// drainReports returns the reports of the reachable servers on draining pool members, keyed by server and subject, and the
// share of RPCs that these servers reject, over all of them.
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

// observations returns the subjects of the roster that are at least partly out of service, each with the share of it that is
// out. It uses the heartbeats that this replica received: a server without a recent heartbeat counts as fully out of service.
func (s *Server) observations() (observed []permit.Observation) {
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
			observed = append(observed, permit.Observation{Name: server.Name, OutOfService: 1})
		case h.OutOfService > 0:
			observed = append(observed, permit.Observation{Name: server.Name, OutOfService: h.OutOfService, Incarnation: h.Incarnation})
		}
	}
	for _, m := range members {
		if subject := m.Pool + "/" + m.Name; s.memberOut(subject, now) {
			observed = append(observed, permit.Observation{Name: subject, OutOfService: 1})
		}
	}
	return observed
}

// memberOut reports whether a pool member counts as out of service. This is so if at least half of the reachable servers that
// know the member report it as out, or if no reachable server knows it. The caller holds s.mu.
func (s *Server) memberOut(subject string, now time.Time) bool {
	known, out := 0, 0
	for _, h := range s.heartbeats {
		isOut, ok := h.MembersOut[subject]
		if !ok || !h.live(now) {
			continue
		}
		known++
		if isOut {
			out++
		}
	}
	return known == 0 || 2*out >= known
}
