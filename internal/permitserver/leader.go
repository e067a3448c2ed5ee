package permitserver

// This file implements the background loops of a replica: it watches for changes of leadership, and as the leader it starts and
// ends automatic halts and advances releases.

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
)

const (
	tickInterval = 200 * time.Millisecond
	// autoHaltInterval is how often the leader checks whether an automatic halt must start or end, since no request may come
	// that would check this.
	autoHaltInterval = time.Second
	// observeInterval is how often the leader sends its observations to an active release.
	observeInterval = 1500 * time.Millisecond
)

// watchLeadership detects changes of leadership and stalls of this process. It closes the replica if its log is corrupt.
func (s *Server) watchLeadership(corrupt <-chan struct{}) {
	defer s.running.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-corrupt:
			s.options.Log.WithError(ErrCorruptLog).Error("permitserver.log_corrupt")
			go s.Close() // in a goroutine of its own, since Close waits for this one
			return
		case <-tick.C:
		}
		s.updateLeadership()
	}
}

// updateLeadership logs a change of leadership. A new leader discards its heartbeats.
func (s *Server) updateLeadership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	leads := s.IsLeader()
	if leads && !s.wasLeader {
		clear(s.heartbeats) // a server counts as out of service until this leader receives its heartbeat
		s.options.Log.Info("permitserver.leadership_acquired")
	} else if !leads && s.wasLeader {
		s.options.Log.Warn("permitserver.leadership_lost")
	}
	s.wasLeader = leads
	s.detectStall()
}

// leaderLoop runs the periodic tasks of the leader. It is separate from watchLeadership because it may wait for other
// replicas.
func (s *Server) leaderLoop() {
	defer s.running.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	haltChecked, observed := time.Now(), time.Time{}
	for {
		select {
		case <-s.closed:
			return
		case <-tick.C:
		}
		leads := s.IsLeader()
		if now := time.Now(); leads && now.Sub(haltChecked) >= autoHaltInterval {
			haltChecked = now
			s.updateAutoHalt()
		}
		switch now := time.Now(); {
		case !leads:
			observed = time.Time{}
		case now.Sub(observed) >= observeInterval:
			observed = s.observeReleases(now, observed)
		}
	}
}

// observeReleases applies observations to the release of each track and returns the time of the observations, or the zero time
// if an observation could not be applied. If the gap since the last observations is too long, the time in between is unknown
// and does not count as elapsed.
func (s *Server) observeReleases(now, last time.Time) (observed time.Time) {
	elapsed := time.Duration(0)
	if !last.IsZero() && now.Sub(last) < 2*observeInterval+applyTimeout {
		elapsed = now.Sub(last)
	}
	observed = now
	for _, track := range []release.Track{release.Settings, release.Program} {
		if s.observeRelease(track, elapsed) != nil {
			observed = time.Time{}
		}
	}
	return observed
}

// updateAutoHalt starts or ends an automatic halt. It writes to the log only if the cause changes.
func (s *Server) updateAutoHalt() {
	observations := s.observations()
	_, rejectedShare := s.drainReports()
	s.machine.mu.Lock()
	cause := s.machine.permits.AutoHaltCause(observations, rejectedShare)
	previous := s.machine.permits.AutoHaltReason
	s.machine.mu.Unlock()
	if cause == previous {
		return
	}
	if _, err := s.Do(permit.Command{ID: s.newCommandID("note"), Kind: permit.Observe}); err != nil {
		return // retried by the next check
	}
	if cause == "" {
		s.options.Log.WithField("reason", previous).Warn("permitserver.auto_halt_ended")
	} else {
		s.options.Log.WithField("reason", cause).Warn("permitserver.auto_halt_started")
	}
}

// newCommandID returns an ID for a command that this replica issues itself.
func (s *Server) newCommandID(kind string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commandSeq++
	return fmt.Sprintf("%s-%s-%d-%d", kind, s.options.Name, time.Now().UnixNano(), s.commandSeq)
}

// observeRelease applies this leader's observations to the active release of a track, if there is one. elapsed is the time
// since this leader's last observation, or 0 if there was none: nothing is known about the time while another replica was the
// leader or while this process did not run.
func (s *Server) observeRelease(track release.Track, elapsed time.Duration) error {
	s.machine.mu.Lock()
	active := s.machine.releases[track].ActiveSummary() != ""
	haltReason, autoHaltReason := s.machine.permits.HaltReason, s.machine.permits.AutoHaltReason
	s.machine.mu.Unlock()
	if !active {
		return nil
	}
	_, err := s.apply(&entry{Release: &release.Command{
		ID:             s.newCommandID("look"),
		Kind:           release.Observe,
		Track:          track,
		ElapsedMS:      float64(elapsed) / float64(time.Millisecond),
		HaltReason:     haltReason,
		AutoHaltReason: autoHaltReason,
		Reports:        s.releaseReports(track),
	}})
	return err
}

// releaseReports returns the reports of the reachable servers on a track, sorted by server name.
func (s *Server) releaseReports(track release.Track) (reports []release.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	now := time.Now()
	for name, h := range s.heartbeats {
		if h.Release == nil || !h.live(now) {
			continue
		}
		report := *h.Release
		if track == release.Program {
			report = h.Release.ForProgram()
		}
		report.Name = name
		report.Incarnation = h.Incarnation
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b release.Report) int { return cmp.Compare(a.Name, b.Name) })
	return reports
}
