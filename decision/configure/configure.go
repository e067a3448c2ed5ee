// Package configure implements transactional configuration: a candidate is built from the running settings and a set
// of changes, validated by checks, diffed against the running settings, committed atomically and rolled back by its
// commit number. It treats settings as a tree of tables and leaves and knows nothing of their meaning; validation is
// supplied by the caller. The package is pure: no I/O and no clock. A Core is not safe for concurrent use; its owner
// serializes access. A commit never mutates the running tree: it replaces it.
package configure

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Tree is a table of settings: its values are leaves (bool, float64, string), lists of leaves ([]any) and tables
// (map[string]any). A Tree that was handed out or taken in is not changed any more.
type Tree = map[string]any

// Path leads to a table or leaf, by the keys from the root.
type Path []string

func (p Path) String() string { return "/" + strings.Join(p, "/") }

// under tells whether a path is another or lies below it.
func (p Path) under(top Path) bool {
	return len(p) >= len(top) && slices.Equal(p[:len(top)], top)
}

// Kind is what an operation does.
type Kind int

const (
	Delete  Kind = iota // a table or leaf goes, and is as if never set
	Replace             // it becomes the value; what the value does not name goes
	Update              // the value is laid over it
)

// Operation is one change.
type Operation struct {
	Kind  Kind
	Path  Path
	Value any
}

// Fault is one thing wrong with a candidate.
type Violation struct {
	Path Path
	Text string
}

// What a commit can fail by. The running settings are as before then.
var (
	ErrConflict       = errors.New("configure: the settings have changed since the candidate was made")
	ErrUnknownVersion = errors.New("configure: no such version is kept")
	ErrNotTable       = errors.New("configure: the path leads through a leaf")
)

// Invalid is a candidate that does not pass the checks.
type InvalidError struct{ Violations []Violation }

func (e *InvalidError) Error() string {
	f := e.Violations[0]
	return fmt.Sprintf("%s: %s (%d wrong in all)", f.Path, f.Text, len(e.Violations))
}

// NeedsStart is a candidate that changes what only a new start can take.
type RestartRequiredError struct{ Paths []Path }

func (e *RestartRequiredError) Error() string {
	return fmt.Sprintf("%s: only a new start can change it (%d such in all)", e.Paths[0], len(e.Paths))
}

// Starves is a candidate that is valid and would keep out what must not be, unless that is meant.
type StarvationError struct{ Reasons []string }

func (e *StarvationError) Error() string { return "starves: " + strings.Join(e.Reasons, "; ") }

// Version is settings that were committed.
type Version struct {
	Number      int
	CommittedMS float64 // Unix ms
	Origin      string  // who or what committed it
	Tree        Tree
}

// Core holds the running settings and those before them.
type Store struct {
	check       func(Tree) []Violation
	guard       func(was, is Tree) []string
	restartOnly []Path
	maxVersions int
	versions    []Version // the last is running
}

// New returns a core that runs first, which must pass check. start are the paths that only a new start can change; guard
// names what a change would starve, and may be nil; most versions are kept.
func New(first Version, check func(Tree) []Violation, guard func(was, is Tree) []string, restartOnly []Path, maxVersions int) (*Store, error) {
	if faults := check(first.Tree); len(faults) > 0 {
		return nil, &InvalidError{faults}
	}
	if guard == nil {
		guard = func(_, _ Tree) []string { return nil }
	}
	first.Tree = clone(first.Tree).(Tree)
	return &Store{check: check, guard: guard, restartOnly: restartOnly, maxVersions: max(1, maxVersions), versions: []Version{first}}, nil
}

// Running is the version that is in force.
func (c *Store) Running() Version { return c.versions[len(c.versions)-1] }

// History is the versions that are kept, the oldest first.
func (c *Store) History() []Version { return slices.Clone(c.versions) }

// Candidate is the running settings with operations carried out: all deletes, then all replaces, then all updates, each
// kind in the order given. It returns the number of the version that it was made of, for Commit.
func (c *Store) Candidate(all []Operation) (candidate Tree, base int, err error) {
	r := c.Running()
	t := clone(r.Tree).(Tree)
	for _, kind := range []Kind{Delete, Replace, Update} {
		for _, o := range all {
			if o.Kind == kind {
				if t, err = apply(t, o); err != nil {
					return nil, r.Number, fmt.Errorf("%s: %w", o.Path, err)
				}
			}
		}
	}
	return t, r.Number, nil
}

func apply(t Tree, o Operation) (Tree, error) {
	if len(o.Path) == 0 {
		switch v := o.Value.(type) {
		case nil:
			return Tree{}, nil
		case Tree:
			if o.Kind == Replace {
				return clone(v).(Tree), nil
			}
			return merge(t, v).(Tree), nil
		}
		return nil, ErrNotTable
	}
	at := t
	for _, key := range o.Path[:len(o.Path)-1] {
		next, has := at[key]
		if !has {
			if o.Kind == Delete {
				return t, nil
			}
			next = Tree{}
			at[key] = next
		}
		table, is := next.(Tree)
		if !is {
			return nil, ErrNotTable
		}
		at = table
	}
	last := o.Path[len(o.Path)-1]
	switch o.Kind {
	case Delete:
		delete(at, last)
	case Replace:
		at[last] = clone(o.Value)
	case Update:
		at[last] = merge(at[last], o.Value)
	}
	return t, nil
}

// over lays a value over another: tables key by key, all else as a whole.
func merge(was, v any) any {
	a, isTable := was.(Tree)
	b, toTable := v.(Tree)
	if !isTable || !toTable {
		return clone(v)
	}
	for key, x := range b {
		a[key] = merge(a[key], x)
	}
	return a
}

func clone(v any) any {
	switch x := v.(type) {
	case Tree:
		t := make(Tree, len(x))
		for key, y := range x {
			t[key] = clone(y)
		}
		return t
	case []any:
		l := make([]any, len(x))
		for i, y := range x {
			l[i] = clone(y)
		}
		return l
	}
	return v
}

// Commit puts a candidate in force if it was made of the running version, passes the checks, changes nothing that needs a
// new start and starves nothing, unless that is meant. A candidate that changes nothing is the running version. The
// owner must have every part take the new version in one step.
func (c *Store) Commit(candidate Tree, base int, at float64, origin string, force bool) (Version, error) {
	r := c.Running()
	if base != r.Number {
		return r, ErrConflict
	}
	changes := Diff(r.Tree, candidate)
	if len(changes) == 0 {
		return r, nil
	}
	if faults := c.check(candidate); len(faults) > 0 {
		return r, &InvalidError{faults}
	}
	var stays []Path
	for _, x := range changes {
		if slices.ContainsFunc(c.restartOnly, func(top Path) bool { return x.Path.under(top) || top.under(x.Path) }) {
			stays = append(stays, x.Path)
		}
	}
	if len(stays) > 0 {
		return r, &RestartRequiredError{stays}
	}
	if reasons := c.guard(r.Tree, candidate); len(reasons) > 0 && !force {
		return r, &StarvationError{reasons}
	}
	v := Version{Number: r.Number + 1, CommittedMS: at, Origin: origin, Tree: clone(candidate).(Tree)}
	c.versions = append(c.versions, v)
	if over := len(c.versions) - c.maxVersions; over > 0 {
		c.versions = slices.Delete(c.versions, 0, over)
	}
	return v, nil
}

// Rollback commits the settings of an earlier version anew, by the same checks as any other change.
func (c *Store) Rollback(number int, at float64, origin string, force bool) (Version, error) {
	for _, v := range c.versions {
		if v.Number == number {
			return c.Commit(v.Tree, c.Running().Number, at, fmt.Sprintf("%s, rollback to %d", origin, number), force)
		}
	}
	return c.Running(), ErrUnknownVersion
}

// Change is one leaf, list of leaves, or empty table that differs. Was or Is is nil where it is not there.
type Change struct {
	Path          Path
	Before, After any
}

// Diff is what differs from one tree to another, in the order of paths.
func Diff(a, b Tree) (all []Change) {
	diff(nil, a, b, &all)
	return all
}

func diff(at Path, a, b any, all *[]Change) {
	x, isTable := a.(Tree)
	y, toTable := b.(Tree)
	if !isTable && !toTable || isTable && len(x) == 0 && b == nil || toTable && len(y) == 0 && a == nil {
		if !reflect.DeepEqual(a, b) {
			*all = append(*all, Change{at, a, b})
		}
		return
	}
	if isTable != toTable && a != nil && b != nil { // a leaf becomes a table, or the other way
		*all = append(*all, Change{at, a, b})
		return
	}
	keys := slices.Collect(maps.Keys(x))
	for key := range y {
		if _, had := x[key]; !had {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		was, had := x[key]
		is, has := y[key]
		if had && has && reflect.DeepEqual(was, is) {
			continue
		}
		diff(append(slices.Clone(at), key), was, is, all)
	}
}
