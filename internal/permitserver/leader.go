package permitserver

// This file owns what a replica does of its own: it follows who leads, and as the leader begins and ends automatic halts and
// advances releases.

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
	// autoHaltInterval is how often the leader checks whether an automatic halt is to begin or end while nobody requests
	// anything.
	autoHaltInterval = time.Second
	// observeInterval is how often the leader sends its observations to an active release.
	observeInterval = 1500 * time.Millisecond
)

// watchLeadership notes the beginnings and ends of leadership, and stalls of this process.
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
			go s.Close() // which waits for this goroutine
			return
		case <-tick.C:
		}
		s.updateLeadership()
	}
}

func (s *Server) updateLeadership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	leads := s.IsLeader()
	if leads && !s.wasLeader {
		clear(s.heartbeats) // servers count as out until they are heard by this leader
		s.options.Log.Info("permitserver.leadership_acquired")
	} else if !leads && s.wasLeader {
		s.options.Log.Warn("permitserver.leadership_lost")
	}
	s.wasLeader = leads
	s.detectStall()
}

// leaderLoop is what the leader does of its own, apart from watchLeadership since it may wait for the other replicas.
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

// observeReleases sends observations to the release of each track and returns when it did; the zero time where a track could
// not be reached. What passed in too long a gap since the last time is unknown, and does not count.
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

// updateAutoHalt has an automatic halt begin or end. Nothing goes into the log while nothing changes.
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
		return // the next check tries again
	}
	if cause == "" {
		s.options.Log.WithField("reason", previous).Warn("permitserver.auto_halt_ended")
	} else {
		s.options.Log.WithField("reason", cause).Warn("permitserver.auto_halt_started")
	}
}

// newCommandID returns the ID of a command of this replica's own.
func (s *Server) newCommandID(kind string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commandSeq++
	return fmt.Sprintf("%s-%s-%d-%d", kind, s.options.Name, time.Now().UnixNano(), s.commandSeq)
}

// observeRelease sends what this leader observes to the active release of a track. elapsed is the time since its last
// observation, 0 if there was none: what passed while another replica led, or while this process did not run, is unknown.
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

// releaseReports returns the reports of the reachable servers on a track, sorted by name.
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
