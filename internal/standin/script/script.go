// Package script holds schedules of faults: acts with their times, written by hand, as typed records, or drawn from a seed,
// and cut down to the fewest that still fail. The fault bed plays them on real processes and the simulator on a virtual
// clock. It must never do an act itself, nor let one pass whose names are not known.
package script

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one line of a script, as in
//
//	5s  split  n0,n1|n2,n3      cut all ways between the sets
//	5s  cut    n0>n1            one way; n0,n1>* cuts them from all
//	8s  loss   *>* 0.1          packets are lost by that chance; parts of streams come later
//	8s  delay  *>* 300ms 100ms  and evenly up to so much more
//	8s  mess   *>* 0.05         by that chance each: doubled, overtaken, one byte spoilt
//	8s  slow   *>* 4000         streams carry so many bytes a second
//	9s  heal                    end all of these
//	2s  stop   n1,n2            SIGSTOP; cont: SIGCONT; term: SIGTERM; kill: SIGKILL; start: again under the name
//	3s  relay  n1               its relay restarts
//	0s  rate   n1 1.1           its clock goes so fast; only in simulation
//	7s  jump   n1 -5s           its wall clock steps; only in simulation
//	3s  speed  n1 0.5           its engine's speed; fail n1 0.2: that part of its runs fails; only in simulation
type Step struct {
	At     time.Duration
	Action string
	Args   []string
}

// Script is steps in the order of their times.
type Script []Step

// String writes it as Parse reads it.
func (s Script) String() string {
	var b strings.Builder
	for _, x := range s {
		fmt.Fprintf(&b, "%s %s %s\n", x.At, x.Action, strings.Join(x.Args, " "))
	}
	return b.String()
}

// arguments is how many each act has.
var arguments = map[string]int{"split": 1, "cut": 1, "loss": 2, "delay": 3, "mess": 2, "slow": 2, "heal": 0, "stop": 1, "cont": 1, "term": 1, "kill": 1, "start": 1, "relay": 1, "rate": 2, "jump": 2, "speed": 2, "fail": 2}

// Parse reads a script for some names; errors name the line. Blank lines and those after # are passed over.
func Parse(text string, names []string) (s Script, err error) {
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		bad := func(format string, a ...any) (Script, error) {
			return nil, fmt.Errorf("line %d: %s", i+1, fmt.Sprintf(format, a...))
		}
		if len(f) < 2 {
			return bad("a time and an act expected, %q there", line)
		}
		at, err := time.ParseDuration(f[0])
		if err != nil || at < 0 {
			return bad("a time as 5s expected, %q there", f[0])
		}
		n, known := arguments[f[1]]
		if !known || len(f) != n+2 {
			return bad("%q with %d words: no act, or not its number of words", f[1], len(f)-2)
		}
		x := Step{at, f[1], f[2:]}
		for k, a := range x.Args {
			if k == 0 {
				for _, name := range strings.FieldsFunc(a, func(r rune) bool { return strings.ContainsRune(",>|", r) }) {
					if name != "*" && !slices.Contains(names, name) {
						return bad("%q is none of the names", name)
					}
				}
				if arrow := x.Action == "cut" || x.Action == "loss" || x.Action == "delay" || x.Action == "mess" || x.Action == "slow"; arrow != strings.Contains(a, ">") {
					return bad("%s: %q has the form of another act", x.Action, a)
				}
				continue
			}
			v, noNumber := strconv.ParseFloat(a, 64)
			_, noTime := time.ParseDuration(a)
			switch {
			case x.Action == "delay" || x.Action == "jump":
				if noTime != nil {
					return bad("%v", noTime)
				}
			case x.Action == "slow":
				if noNumber != nil || v < 1 {
					return bad("bytes a second expected, %q there", a)
				}
			case x.Action == "speed":
				if noNumber != nil || v < 0.01 || v > 100 {
					return bad("a speed from 0.01 to 100 expected, %q there", a)
				}
			case x.Action == "rate":
				if noNumber != nil || v < 0.5 || v > 2 {
					return bad("a rate from 0.5 to 2 expected, %q there", a)
				}
			case noNumber != nil || v < 0 || v > 1:
				return bad("a chance from 0 to 1 expected, %q there", a)
			}
		}
		s = append(s, x)
	}
	return s.Sorted(), nil
}

// Sorted puts the steps in the order of their times; of one time, they stay in theirs.
func (s Script) Sorted() Script {
	slices.SortStableFunc(s, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return s
}

// ParseNames is the list in an argument; nil for *, everybody.
func ParseNames(s string) []string {
	if s == "*" {
		return nil
	}
	return strings.Split(s, ",")
}

// ParseDirection are the two lists of an argument as n0>n1,n2.
func ParseDirection(s string) (from, to []string) {
	a, b, _ := strings.Cut(s, ">")
	return ParseNames(a), ParseNames(b)
}

// ParseSets are the lists of an argument as n0,n1|n2,n3.
func ParseSets(s string) (sets [][]string) {
	for _, set := range strings.Split(s, "|") {
		sets = append(sets, ParseNames(set))
	}
	return sets
}

// NumberArg is an argument as a number; Parse has seen that it is one.
func (x Step) NumberArg(i int) float64 { v, _ := strconv.ParseFloat(x.Args[i], 64); return v }

// DurationArg is an argument as a time; Parse has seen that it is one.
func (x Step) DurationArg(i int) time.Duration { d, _ := time.ParseDuration(x.Args[i]); return d }

// Random draws some troubles over a time, which may overlap; at its end all processes run and nothing is cut.
func Random(seed int64, names []string, over time.Duration, troubles int) (s Script) {
	chance := rand.New(rand.NewSource(seed))
	some := func(least int) ([]string, []string) {
		p := chance.Perm(len(names))
		n := least + chance.Intn(max(1, len(names)/2-least+1))
		var a, rest []string
		for i, k := range p {
			if i < n {
				a = append(a, names[k])
			} else {
				rest = append(rest, names[k])
			}
		}
		return a, rest
	}
	for range troubles {
		at := time.Duration(chance.Int63n(int64(over * 7 / 10)))
		end := at + over/20 + time.Duration(chance.Int63n(int64(over-at-over/20)))
		a, rest := some(1)
		join := func(x []string) string { return strings.Join(x, ",") }
		add := func(at time.Duration, act string, args ...string) {
			s = append(s, Step{at.Round(time.Millisecond), act, args})
		}
		switch chance.Intn(8) {
		case 0:
			add(at, "split", join(a)+"|"+join(rest))
			add(end, "heal")
		case 1:
			add(at, "cut", join(a[:1])+">*")
			add(end, "heal")
		case 2:
			add(at, "cut", "*>"+join(a[:1]))
			add(end, "heal")
		case 3:
			add(at, "stop", join(a))
			add(end, "cont", join(a))
		case 4:
			if chance.Intn(2) == 0 { // and back at once
				end = at + 100*time.Millisecond
			}
			add(at, "kill", join(a))
			add(end, "start", join(a))
		case 5:
			add(at, "loss", "*>*", "0.3")
			add(end, "heal")
		case 6:
			add(at, "delay", "*>*", "150ms", "150ms")
			add(at, "mess", "*>*", "0.1")
			add(end, "heal")
		case 7:
			add(at, "relay", join(a))
		}
	}
	return s.WithRecovery(over)
}

// WithRecovery is the script with an end of all troubles at a time: nothing is cut, and all run.
func (s Script) WithRecovery(at time.Duration) Script {
	return append(s.Sorted(), Step{at, "heal", nil}, Step{at, "cont", []string{"*"}}, Step{at, "start", []string{"*"}})
}

// Shrink cuts a script that fails down to acts of which none can be left out, by halves first and then one by one. fails must
// tell the same each time, and close what is left of a script if troubles without an end would fail by themselves.
func Shrink(s Script, fails func(Script) bool) Script {
	for size := max(1, len(s)/2); ; {
		cut := false
		for from := 0; from < len(s); {
			less := slices.Concat(s[:from], s[min(from+size, len(s)):])
			if len(less) < len(s) && fails(less) {
				s, cut = less, true
			} else {
				from += size
			}
		}
		if size == 1 && !cut {
			return s
		}
		size = max(1, size/2)
	}
}
