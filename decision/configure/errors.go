package configure

import (
	"errors"
	"fmt"
	"strings"
)

// The errors without details.
var (
	// ErrConflict is a candidate that was built from a version that is not running any more.
	ErrConflict = errors.New("configure: the settings have changed since the candidate was made")
	// ErrUnknownVersion is a version that is not retained.
	ErrUnknownVersion = errors.New("configure: no such version is kept")
	// ErrNotTable is a path that leads through a leaf.
	ErrNotTable = errors.New("configure: the path leads through a leaf")
)

// Violation is one thing wrong with a candidate.
type Violation struct {
	Path Path
	Text string
}

// InvalidError is a candidate that does not pass the checks.
type InvalidError struct{ Violations []Violation }

// Error names the first violation.
func (e *InvalidError) Error() string {
	first := e.Violations[0]
	return fmt.Sprintf("%s: %s (%d wrong in all)", first.Path, first.Text, len(e.Violations))
}

// RestartRequiredError is a candidate that changes what only a restart can change.
type RestartRequiredError struct{ Paths []Path }

// Error names the first path.
func (e *RestartRequiredError) Error() string {
	return fmt.Sprintf("%s: only a new start can change it (%d such in all)", e.Paths[0], len(e.Paths))
}

// StarvationError is a valid candidate that would starve what the guard protects; it must be forced.
type StarvationError struct{ Reasons []string }

// Error names all reasons.
func (e *StarvationError) Error() string { return "starves: " + strings.Join(e.Reasons, "; ") }
