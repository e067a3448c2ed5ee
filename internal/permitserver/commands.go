package permitserver

// This file owns commands on their way through the log, and reads of the replicated state.

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/hashicorp/raft"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
)

// Do carries a command through the log and returns its result once a majority has stored it. It fails with NotLeaderError on
// a replica that is not the leader, and if a majority can't be reached in time: then the same command may be sent again.
func (s *Server) Do(c permit.Command) (permit.Result, error) {
	c.Observations = nil
	if c.Kind == permit.Acquire || c.Kind == permit.Begin || c.Kind == permit.Observe {
		if !s.IsLeader() {
			return permit.Result{}, s.notLeader()
		}
		c.Observations = s.observations()
		_, c.RejectedShare = s.drainReports()
	}
	response, err := s.apply(&entry{Command: c})
	if err != nil {
		return permit.Result{}, err
	}
	result, ok := response.(permit.Result)
	if !ok {
		return permit.Result{}, ErrCorruptLog
	}
	return result, nil
}

// Release carries a command on versions and releases through the log, as Do does. A plan is for the roster as it stands.
func (s *Server) Release(c release.Command) (release.Result, error) {
	c.Servers = nil
	if c.Kind == release.PlanRelease {
		if !s.IsLeader() {
			return release.Result{}, s.notLeader()
		}
		c.Servers = s.roster()
	}
	response, err := s.apply(&entry{Release: &c})
	if err != nil {
		return release.Result{}, err
	}
	result, ok := response.(release.Result)
	if !ok {
		return release.Result{}, ErrCorruptLog
	}
	return result, nil
}

// roster returns the servers of the roster for a release.
func (s *Server) roster() (servers []release.Server) {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	for _, x := range s.machine.permits.Servers {
		servers = append(servers, release.Server{Name: x.Name, Zone: x.Zone})
	}
	return servers
}

// apply carries an entry through the log and returns the state machine's response.
func (s *Server) apply(e *entry) (any, error) {
	b, err := seal(e)
	if err != nil {
		return nil, err
	}
	f := s.raft.Apply(b, applyTimeout)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) || errors.Is(err, raft.ErrLeadershipTransferInProgress) {
			return nil, s.notLeader()
		}
		return nil, fmt.Errorf("keeper: %w", err)
	}
	if err, failed := f.Response().(error); failed {
		return nil, err
	}
	return f.Response(), nil
}

// State returns a copy of the permits' state as of a moment after the call, and what this replica observes: it verifies with
// a majority that it is the leader.
func (s *Server) State() (*permit.State, []permit.Observation, error) {
	if err := s.raft.VerifyLeader().Error(); err != nil {
		return nil, nil, s.notLeader()
	}
	if err := s.raft.Barrier(applyTimeout).Error(); err != nil {
		return nil, nil, s.notLeader()
	}
	s.machine.mu.Lock()
	b, err := json.Marshal(s.machine.permits)
	s.machine.mu.Unlock()
	state := permit.New()
	if err == nil {
		err = json.Unmarshal(b, state)
	}
	return state, s.observations(), err
}

// version returns a copy of a stored version; nil if it is not stored.
func (s *Server) version(track release.Track, number uint64) *release.Version {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	v := s.machine.releases[track].Version(number)
	if v == nil {
		return nil
	}
	x := *v
	return &x
}

// releaseState returns a copy of a track's state, without the bodies of settings and the results retained for retries.
func (s *Server) releaseState(track release.Track) (*release.State, error) {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	x := *s.machine.releases[track]
	x.Versions = slices.Clone(x.Versions)
	if track == release.Settings { // the body of a program's version is its name
		for i := range x.Versions {
			x.Versions[i].Body = nil
		}
	}
	x.Results = nil
	x.ResultOrder = nil
	b, err := json.Marshal(x)
	if err != nil {
		return nil, err
	}
	state := release.New()
	return state, json.Unmarshal(b, state)
}
