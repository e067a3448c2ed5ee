package configure

import (
	"errors"
	"fmt"
	"strings"
)

// Errors without details.
var (
	// ErrConflict reports that a candidate was built from a version that is no longer running.
	ErrConflict = errors.New("configure: the settings have changed since the candidate was made")
	// ErrUnknownVersion reports that a version is not retained.
	ErrUnknownVersion = errors.New("configure: the version is not retained")
	// ErrNotTable reports that a path leads through a leaf.
	ErrNotTable = errors.New("configure: the path leads through a leaf")
)

// Violation is one rule that a candidate violates.
type Violation struct {
	Path Path
	Text string
}

// InvalidError reports a candidate that does not pass the checks. It has at least one violation.
type InvalidError struct{ Violations []Violation }

// Error returns the first violation and the number of all.
func (e *InvalidError) Error() string {
	first := e.Violations[0]
	return fmt.Sprintf("%s: %s (%d wrong in all)", first.Path, first.Text, len(e.Violations))
}

// RestartRequiredError reports a candidate that changes settings which only a restart can change. It has at least one path.
type RestartRequiredError struct{ Paths []Path }

// Error returns the first path and the number of all.
func (e *RestartRequiredError) Error() string {
	return fmt.Sprintf("%s: only a new start can change it (%d such in all)", e.Paths[0], len(e.Paths))
}

// StarvationError reports a valid candidate that would starve what the guard protects. It takes effect only if it is forced.
type StarvationError struct{ Reasons []string }

// Error returns all reasons.
func (e *StarvationError) Error() string { return "starves: " + strings.Join(e.Reasons, "; ") }
