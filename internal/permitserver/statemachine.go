package permitserver

// This file implements the replicated state machine. Raft applies log entries to it, and takes and restores its snapshots.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
)

// stateMachine implements raft.FSM.
type stateMachine struct {
	mu        sync.Mutex
	permits   *permit.State
	releases  map[release.Track]*release.State
	index     uint64 // raft log index of the last applied entry
	corrupt   bool   // an entry could not be decoded: this copy may differ from those of the other replicas
	onCorrupt func() // called once, with the lock held
}

func newStateMachine() *stateMachine {
	return &stateMachine{permits: permit.New(), releases: newReleases()}
}

func newReleases() map[release.Track]*release.State {
	return map[release.Track]*release.State{release.Settings: release.New(), release.Program: release.New()}
}

// Apply applies a log entry and returns a permit.Result, a release.Result or ErrCorruptLog.
func (m *stateMachine) Apply(l *raft.Log) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, err := unseal(l.Data)
	if err != nil || m.corrupt {
		if !m.corrupt {
			m.corrupt = true
			m.onCorrupt()
		}
		return ErrCorruptLog
	}
	m.index = l.Index
	if e.Release != nil {
		return m.applyRelease(e.Release)
	}
	return m.permits.Apply(e.Command)
}

// applyRelease applies a command on one track. A release can be neither planned nor started while a release of the other track
// is active.
func (m *stateMachine) applyRelease(c *release.Command) release.Result {
	state, ok := m.releases[c.Track]
	if !ok {
		return release.Result{Reason: fmt.Sprintf("%.20q is no track", string(c.Track))}
	}
	c.OtherRelease = ""
	if c.Kind == release.PlanRelease || c.Kind == release.StartRelease {
		for track, other := range m.releases {
			if active := other.ActiveSummary(); track != c.Track && active != "" {
				c.OtherRelease = active
			}
		}
	}
	if c.Kind == release.StartRelease && c.OtherRelease != "" {
		return release.Result{Reason: c.OtherRelease + ": it comes to its end first"}
	}
	return state.Apply(*c)
}

// isCorrupt reports whether an entry could not be decoded.
func (m *stateMachine) isCorrupt() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.corrupt
}

// snapshotState is the content of a snapshot.
type snapshotState struct {
	Permits  *permit.State                    `json:"permits"`
	Releases map[release.Track]*release.State `json:"releases"`
	Index    uint64                           `json:"index"`
}

// Snapshot returns a copy of the current state. Raft applies further entries while it writes the snapshot.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.corrupt {
		return nil, ErrCorruptLog
	}
	b, err := json.Marshal(snapshotState{Permits: m.permits, Releases: m.releases, Index: m.index})
	return snapshot(b), err
}

// Restore replaces the state with that of a snapshot.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }() // opened for reading
	restored := snapshotState{Permits: permit.New(), Releases: newReleases()}
	if err := json.NewDecoder(r).Decode(&restored); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.permits = restored.Permits
	m.releases = restored.Releases
	m.index = restored.Index
	return nil
}

// snapshot implements raft.FSMSnapshot. It is the JSON of a snapshotState.
type snapshot []byte

// Persist writes the snapshot to sink, or cancels sink if that fails.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release is called by raft when it no longer needs the snapshot. There is nothing to release.
func (snapshot) Release() {}
