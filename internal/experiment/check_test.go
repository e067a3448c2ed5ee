package experiment

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
)

// A check passes as its bound says, and is printed as README and the measurements quote it.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		check  Check
		passed bool
		line   string
	}{
		{atLeast("ok", 0.97, 0.97), true, "bar ok: 0.97 (wanted at least 0.97)"},
		{atLeast("ok", 0.96, 0.97), false, "bar ok: 0.96 (wanted at least 0.97)  FALLS SHORT"},
		{atMost("lost", 0, 0), true, "bar lost: 0 (wanted at most 0)"},
		{atMost("lost", 1, 0), false, "bar lost: 1 (wanted at most 0)  FALLS SHORT"},
		{above("served", 0.5, 0.5), false, "bar served: 0.5 (wanted above 0.5)  FALLS SHORT"},
		{above("served", 0.123456, 0.1), true, "bar served: 0.1235 (wanted above 0.1)"},
		{atMost("ratio", math.NaN(), 1), false, "bar ratio: NaN (wanted at most 1)  FALLS SHORT"},
	} {
		if c.check.Passed() != c.passed {
			t.Errorf("%s: passed %v", c.line, c.check.Passed())
		}
		if got := c.check.String(); got != c.line {
			t.Errorf("%q, want %q", got, c.line)
		}
		if r := (Report{Checks: []Check{c.check}}); r.Passed() != c.passed {
			t.Errorf("%s: the report passed %v", c.line, r.Passed())
		}
	}
}

// A report prints its header, rows and checks in this order.
func TestReportWrite(t *testing.T) {
	r := Report{Name: "x", Header: []string{"what", "value"}}
	r.AddRow("a", 1.0/3)
	r.AddRow("longer", 7)
	r.AddChecks(atMost("b", 1, 2))
	var out strings.Builder
	if err := r.Write(Options{Out: &out}); err != nil {
		t.Fatal(err)
	}
	if want := "what    value\na       0.3333\nlonger  7\nbar b: 1 (wanted at most 2)\n"; out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}

// Steps run in order up to the first that fails; releases run once, the last first.
func TestRunSteps(t *testing.T) {
	failure := errors.New("no such server")
	var did []string
	note := func(what string, err error) func() error {
		return func() error {
			did = append(did, what)
			return err
		}
	}
	err := runSteps([]step{{"first", note("first", nil)}, {"second", note("second", failure)}, {"third", note("third", nil)}})
	if !errors.Is(err, failure) || !strings.HasPrefix(err.Error(), "second: ") {
		t.Errorf("%v, want the second step's failure", err)
	}
	if want := []string{"first", "second"}; !slices.Equal(did, want) {
		t.Errorf("%v, want %v", did, want)
	}
	did = nil
	var c cleanup
	c.add(func() { did = append(did, "a") })
	c.add(func() { did = append(did, "b") })
	c.run()
	c.run()
	if want := []string{"b", "a"}; !slices.Equal(did, want) {
		t.Errorf("released %v, want %v", did, want)
	}
}
