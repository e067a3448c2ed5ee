package permitserver

// This file implements the replication of commands through the log, and reads of the replicated state.

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/hashicorp/raft"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
)

// Do replicates a command through the log and returns its result once a majority has stored it. It returns a NotLeaderError
// on a replica that is not the leader, and an error if no majority stores the command in time. In either case the caller may
// send the same command again.
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

// Release replicates a command on versions and releases through the log, as Do does. A release is planned for the servers
// that are in the roster when the leader receives the command.
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

// roster returns the servers of the current roster, in the form that a release plan takes.
func (s *Server) roster() (servers []release.Server) {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	for _, server := range s.machine.permits.Servers {
		servers = append(servers, release.Server{Name: server.Name, Zone: server.Zone})
	}
	return servers
}

// apply replicates an entry through the log and returns the state machine's response.
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

// State returns a copy of the permit state and the observations of this replica. The read is linearizable: the replica
// verifies with a majority that it is the leader, and waits until all earlier entries are applied.
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

// version returns a copy of a stored version, or nil if the version is not stored.
func (s *Server) version(track release.Track, number uint64) *release.Version {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	v := s.machine.releases[track].Version(number)
	if v == nil {
		return nil
	}
	versionCopy := *v
	return &versionCopy
}

// releaseState returns a copy of a track's state, without the bodies of settings versions and without the results that are
// retained for retried commands.
func (s *Server) releaseState(track release.Track) (*release.State, error) {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	stateCopy := *s.machine.releases[track]
	stateCopy.Versions = slices.Clone(stateCopy.Versions)
	if track == release.Settings { // the body of a program version is only the program's name
		for i := range stateCopy.Versions {
			stateCopy.Versions[i].Body = nil
		}
	}
	stateCopy.Results = nil
	stateCopy.ResultOrder = nil
	b, err := json.Marshal(stateCopy)
	if err != nil {
		return nil, err
	}
	state := release.New()
	return state, json.Unmarshal(b, state)
}
