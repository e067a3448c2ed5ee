// Package configure implements transactional configuration: a candidate is built from the running settings and a set
// of changes, validated by checks, diffed against the running settings, committed atomically and rolled back by its
// version number. It treats settings as a tree of tables and leaves without regard to their meaning; the caller supplies
// the validation. The package is pure: no I/O and no clock. A Store is not safe for concurrent use; its owner
// serializes access. A commit never mutates the running tree: it replaces it.
package configure

import (
	"fmt"
	"slices"
)

// Kind is the type of an operation.
type Kind int

// The kinds of operations, in the order in which Candidate applies them.
const (
	// Delete removes a table or leaf, as if it had never been set.
	Delete Kind = iota
	// Replace sets a value; keys that the new value does not contain are removed.
	Replace
	// Update merges a value into the existing one.
	Update
)

// Operation is one change.
type Operation struct {
	Kind  Kind
	Path  Path
	Value any
}

// Version is one committed version of the settings.
type Version struct {
	Number      int
	CommittedMS float64 // Unix ms
	Origin      string  // the person or component that committed it
	Tree        Tree
}

// Store holds the running version and earlier versions.
type Store struct {
	check       func(Tree) []Violation
	guard       func(before, after Tree) []string
	restartOnly []Path
	maxVersions int
	versions    []Version // in ascending order; the last one is running
}

// New returns a store whose running version is first. It returns an InvalidError if first does not pass check. guard returns
// the reasons why a change would starve something, and may be nil. restartOnly lists the paths that only a restart can
// change. The store retains the last maxVersions versions.
func New(first Version, check func(Tree) []Violation, guard func(before, after Tree) []string, restartOnly []Path, maxVersions int) (*Store, error) {
	if violations := check(first.Tree); len(violations) > 0 {
		return nil, &InvalidError{violations}
	}
	if guard == nil {
		guard = func(_, _ Tree) []string { return nil }
	}
	first.Tree = clone(first.Tree).(Tree)
	return &Store{check: check, guard: guard, restartOnly: restartOnly, maxVersions: max(1, maxVersions), versions: []Version{first}}, nil
}

// Running returns the running version.
func (s *Store) Running() Version { return s.versions[len(s.versions)-1] }

// History returns the retained versions, oldest first.
func (s *Store) History() []Version { return slices.Clone(s.versions) }

// Candidate returns a copy of the running settings with the operations applied: all deletes, then all replaces, then all
// updates, and within each kind in the given order. base is the number of the version that the candidate was built from, for
// Commit. An error wraps ErrNotTable.
func (s *Store) Candidate(operations []Operation) (candidate Tree, base int, err error) {
	running := s.Running()
	t := clone(running.Tree).(Tree)
	for _, kind := range []Kind{Delete, Replace, Update} {
		for i := range operations {
			o := &operations[i]
			if o.Kind != kind {
				continue
			}
			if t, err = o.apply(t); err != nil {
				return nil, running.Number, fmt.Errorf("%s: %w", o.Path, err)
			}
		}
	}
	return t, running.Number, nil
}

// Commit makes a candidate the running version if it was built from the running version, passes the checks, changes nothing
// that requires a restart and, unless force is set, starves nothing. If the candidate does not differ from the running
// version, Commit returns the running version. The caller must apply the new version to all components in one step. The
// error is ErrConflict, an InvalidError, a RestartRequiredError or a StarvationError; the running version is returned with it.
func (s *Store) Commit(candidate Tree, base int, committedMS float64, origin string, force bool) (Version, error) {
	running := s.Running()
	if base != running.Number {
		return running, ErrConflict
	}
	changes := Diff(running.Tree, candidate)
	if len(changes) == 0 {
		return running, nil
	}
	if violations := s.check(candidate); len(violations) > 0 {
		return running, &InvalidError{violations}
	}
	if paths := s.needRestart(changes); len(paths) > 0 {
		return running, &RestartRequiredError{paths}
	}
	if reasons := s.guard(running.Tree, candidate); len(reasons) > 0 && !force {
		return running, &StarvationError{reasons}
	}
	v := Version{Number: running.Number + 1, CommittedMS: committedMS, Origin: origin, Tree: clone(candidate).(Tree)}
	s.versions = append(s.versions, v)
	if excess := len(s.versions) - s.maxVersions; excess > 0 {
		s.versions = slices.Delete(s.versions, 0, excess)
	}
	return v, nil
}

// needRestart returns the paths of the changes that require a restart.
func (s *Store) needRestart(changes []Change) (paths []Path) {
	for i := range changes {
		path := changes[i].Path
		if slices.ContainsFunc(s.restartOnly, func(top Path) bool { return path.under(top) || top.under(path) }) {
			paths = append(paths, path)
		}
	}
	return paths
}

// Rollback commits the settings of an earlier version as a new version, subject to the same checks as any other change. It
// returns ErrUnknownVersion if the version is not retained, and otherwise the errors of Commit.
func (s *Store) Rollback(number int, committedMS float64, origin string, force bool) (Version, error) {
	for _, v := range s.versions {
		if v.Number == number {
			return s.Commit(v.Tree, s.Running().Number, committedMS, fmt.Sprintf("%s, rollback to %d", origin, number), force)
		}
	}
	return s.Running(), ErrUnknownVersion
}
