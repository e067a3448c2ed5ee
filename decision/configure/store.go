// Package configure implements transactional configuration: a candidate is built from the running settings and a set
// of changes, validated by checks, diffed against the running settings, committed atomically and rolled back by its
// commit number. It treats settings as a tree of tables and leaves and knows nothing of their meaning; validation is
// supplied by the caller. The package is pure: no I/O and no clock. A Store is not safe for concurrent use; its owner
// serializes access. A commit never mutates the running tree: it replaces it.
package configure

import (
	"fmt"
	"slices"
)

// Kind is what an operation does.
type Kind int

// The kinds of operations, in the order in which a candidate carries them out.
const (
	// Delete removes a table or leaf, as if it had never been set.
	Delete Kind = iota
	// Replace sets a value; what the value does not name is removed.
	Replace
	// Update merges a value into what is there.
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
	Origin      string  // who or what committed it
	Tree        Tree
}

// Store holds the running version and those before it.
type Store struct {
	check       func(Tree) []Violation
	guard       func(before, after Tree) []string
	restartOnly []Path
	maxVersions int
	versions    []Version // the last one is running
}

// New returns a store that runs first, which must pass check. guard names what a change would starve and may be nil;
// restartOnly are the paths that only a restart can change; maxVersions are retained.
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

// Running returns the version that is in force.
func (s *Store) Running() Version { return s.versions[len(s.versions)-1] }

// History returns the retained versions, the oldest first.
func (s *Store) History() []Version { return slices.Clone(s.versions) }

// Candidate returns the running settings with operations carried out: all deletes, then all replaces, then all updates, each
// kind in the order given. It returns the number of the version that it was built from, for Commit. An error wraps ErrNotTable.
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

// Commit puts a candidate in force if it was built from the running version, passes the checks, changes nothing that needs a
// restart and, unless forced, starves nothing. A candidate that changes nothing is the running version. The owner must have
// every part take the new version in one step. The error is ErrConflict, an InvalidError, a RestartRequiredError or a
// StarvationError; the running version is returned with it.
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

// needRestart returns the paths among the changes that only a restart can change.
func (s *Store) needRestart(changes []Change) (paths []Path) {
	for i := range changes {
		path := changes[i].Path
		if slices.ContainsFunc(s.restartOnly, func(top Path) bool { return path.under(top) || top.under(path) }) {
			paths = append(paths, path)
		}
	}
	return paths
}

// Rollback commits the settings of an earlier version anew, by the same checks as any other change. It fails with
// ErrUnknownVersion if the version is not retained, else as Commit does.
func (s *Store) Rollback(number int, committedMS float64, origin string, force bool) (Version, error) {
	for _, v := range s.versions {
		if v.Number == number {
			return s.Commit(v.Tree, s.Running().Number, committedMS, fmt.Sprintf("%s, rollback to %d", origin, number), force)
		}
	}
	return s.Running(), ErrUnknownVersion
}
