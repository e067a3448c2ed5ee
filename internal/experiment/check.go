package experiment

import "fmt"

// relation is how a measured value has to stand to the limit of its bound.
type relation int

const (
	relationAtLeast relation = iota
	relationAtMost
	relationAbove
)

// Bound is what a measured value must satisfy.
type Bound struct {
	relation relation
	limit    float64
}

// holds reports whether a value satisfies the bound. NaN never does.
func (b Bound) holds(value float64) bool {
	switch b.relation {
	case relationAtLeast:
		return value >= b.limit
	case relationAtMost:
		return value <= b.limit
	default:
		return value > b.limit
	}
}

// String is the bound as a report prints it.
func (b Bound) String() string {
	switch b.relation {
	case relationAtLeast:
		return fmt.Sprintf("at least %g", b.limit)
	case relationAtMost:
		return fmt.Sprintf("at most %g", b.limit)
	default: // the limit was measured, too
		return fmt.Sprintf("above %.4g", b.limit)
	}
}

// Check holds one measured value against its bound. Reports print it as a bar that the value has to clear.
type Check struct {
	Name     string
	Measured float64
	Bound    Bound
}

// Passed is the verdict: it reports whether the measured value satisfies the bound.
func (c Check) Passed() bool { return c.Bound.holds(c.Measured) }

// String is the check as a report prints it.
func (c Check) String() string {
	verdict := ""
	if !c.Passed() {
		verdict = "  FALLS SHORT"
	}
	return fmt.Sprintf("bar %s: %.4g (wanted %s)%s", c.Name, c.Measured, c.Bound, verdict)
}

// atLeast checks that a value does not fall below a limit.
func atLeast(name string, measured, limit float64) Check {
	return Check{name, measured, Bound{relationAtLeast, limit}}
}

// atMost checks that a value does not exceed a limit.
func atMost(name string, measured, limit float64) Check {
	return Check{name, measured, Bound{relationAtMost, limit}}
}

// above checks that a value exceeds one which another alternative of the same experiment reached.
func above(name string, measured, other float64) Check {
	return Check{name, measured, Bound{relationAbove, other}}
}
