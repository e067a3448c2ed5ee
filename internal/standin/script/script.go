// Package script holds fault schedules: timed steps written by hand, given as typed records, or drawn from a seed, and shrunk
// to the fewest that still fail. internal/testbed plays them on real processes, internal/fleetsim on a virtual clock. The
// package itself carries out no step, and accepts none that names an unknown process.
package script

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one line of a script: a time, an action and its arguments. The actions are
//
//	5s  split  n0,n1|n2,n3      cut all ways between the sets
//	5s  cut    n0>n1            cut one direction; n0,n1>* cuts them from all
//	8s  loss   *>* 0.1          packets are lost with that probability; parts of streams are delayed
//	8s  delay  *>* 300ms 100ms  delay, and evenly distributed jitter on top
//	8s  mess   *>* 0.05         with that probability each: duplicated, reordered, one byte corrupted
//	8s  slow   *>* 4000         streams carry so many bytes per second
//	9s  heal                    end all faults of the network
//	2s  stop   n1,n2            SIGSTOP; cont: SIGCONT; term: SIGTERM; kill: SIGKILL; start: start it anew
//	3s  relay  n1               restart its relay
//	0s  rate   n1 1.1           rate of its clock; only in simulation
//	7s  jump   n1 -5s           step of its wall clock; only in simulation
//	3s  speed  n1 0.5           speed of its engine; fail n1 0.2: share of its runs that fails; only in simulation
type Step struct {
	At     time.Duration
	Action string
	Args   []string
}

// Script is a list of steps in the order of their times.
type Script []Step

// String formats the script as Parse reads it.
func (s Script) String() string {
	var b strings.Builder
	for _, x := range s {
		fmt.Fprintf(&b, "%s %s %s\n", x.At, x.Action, strings.Join(x.Args, " "))
	}
	return b.String()
}

// arguments is how many arguments each action has.
var arguments = map[string]int{
	"split": 1, "cut": 1, "loss": 2, "delay": 3, "mess": 2, "slow": 2, "heal": 0,
	"stop": 1, "cont": 1, "term": 1, "kill": 1, "start": 1, "relay": 1,
	"rate": 2, "jump": 2, "speed": 2, "fail": 2,
}

// directed are the actions whose first argument is a direction, as in n0>n1.
var directed = map[string]bool{"cut": true, "loss": true, "delay": true, "mess": true, "slow": true}

// Parse reads a script for processes of some names; errors name the line. Blank lines and comments after # are skipped.
func Parse(text string, names []string) (Script, error) {
	var s Script
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		step, err := parseStep(line, names)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		s = append(s, step)
	}
	return s.Sorted(), nil
}

// parseStep reads one line.
func parseStep(line string, names []string) (Step, error) {
	words := strings.Fields(line)
	if len(words) < 2 {
		return Step{}, fmt.Errorf("a time and an act expected, %q there", line)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil || at < 0 {
		return Step{}, fmt.Errorf("a time as 5s expected, %q there", words[0])
	}
	step := Step{at, words[1], words[2:]}
	n, known := arguments[step.Action]
	if !known || len(step.Args) != n {
		return Step{}, fmt.Errorf("%q with %d words: no act, or not its number of words", step.Action, len(step.Args))
	}
	for i, argument := range step.Args {
		if i == 0 {
			err = step.checkTarget(argument, names)
		} else {
			err = step.checkValue(argument)
		}
		if err != nil {
			return Step{}, err
		}
	}
	return step, nil
}

// checkTarget checks the first argument, which names processes.
func (x Step) checkTarget(argument string, names []string) error {
	separator := func(r rune) bool { return strings.ContainsRune(",>|", r) }
	for _, name := range strings.FieldsFunc(argument, separator) {
		if name != "*" && !slices.Contains(names, name) {
			return fmt.Errorf("%q is none of the names", name)
		}
	}
	if directed[x.Action] != strings.Contains(argument, ">") {
		return fmt.Errorf("%s: %q has the form of another act", x.Action, argument)
	}
	return nil
}

// checkValue checks a later argument: a duration, or a number in the range of the action.
func (x Step) checkValue(argument string) error {
	if x.Action == "delay" || x.Action == "jump" {
		_, err := time.ParseDuration(argument)
		return err
	}
	v, err := strconv.ParseFloat(argument, 64)
	outside := func(low, high float64) bool { return err != nil || v < low || v > high }
	switch x.Action {
	case "slow":
		if outside(1, math.Inf(1)) {
			return fmt.Errorf("bytes a second expected, %q there", argument)
		}
	case "speed":
		if outside(0.01, 100) {
			return fmt.Errorf("a speed from 0.01 to 100 expected, %q there", argument)
		}
	case "rate":
		if outside(0.5, 2) {
			return fmt.Errorf("a rate from 0.5 to 2 expected, %q there", argument)
		}
	default:
		if outside(0, 1) {
			return fmt.Errorf("a chance from 0 to 1 expected, %q there", argument)
		}
	}
	return nil
}

// Sorted sorts the steps by time, in place; those of one time keep their order.
func (s Script) Sorted() Script {
	slices.SortStableFunc(s, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return s
}

// ParseNames splits an argument as n0,n1; it returns nil for *, which is every process.
func ParseNames(s string) []string {
	if s == "*" {
		return nil
	}
	return strings.Split(s, ",")
}

// ParseDirection splits an argument as n0>n1,n2; nil is every process.
func ParseDirection(s string) (from, to []string) {
	a, b, _ := strings.Cut(s, ">")
	return ParseNames(a), ParseNames(b)
}

// ParseSets splits an argument as n0,n1|n2,n3.
func ParseSets(s string) (sets [][]string) {
	for _, set := range strings.Split(s, "|") {
		sets = append(sets, ParseNames(set))
	}
	return sets
}

// NumberArg returns an argument as a number; Parse has checked that it is one.
func (x Step) NumberArg(i int) float64 {
	v, _ := strconv.ParseFloat(x.Args[i], 64)
	return v
}

// DurationArg returns an argument as a duration; Parse has checked that it is one.
func (x Step) DurationArg(i int) time.Duration {
	d, _ := time.ParseDuration(x.Args[i])
	return d
}

// generator draws a random script.
type generator struct {
	rng    *rand.Rand
	names  []string
	script Script
}

// Random draws some faults over a duration, which may overlap. At its end all processes run and nothing is cut. Equal seeds
// give equal scripts.
func Random(seed int64, names []string, over time.Duration, faults int) Script {
	g := &generator{rng: rand.New(rand.NewSource(seed)), names: names}
	for range faults {
		g.addFault(over)
	}
	return g.script.WithRecovery(over)
}

// split draws some of the names, at most half of them, and returns the others too.
func (g *generator) split() (chosen, rest []string) {
	order := g.rng.Perm(len(g.names))
	n := 1 + g.rng.Intn(max(1, len(g.names)/2))
	for i, k := range order {
		if i < n {
			chosen = append(chosen, g.names[k])
		} else {
			rest = append(rest, g.names[k])
		}
	}
	return chosen, rest
}

func (g *generator) add(at time.Duration, action string, args ...string) {
	g.script = append(g.script, Step{at.Round(time.Millisecond), action, args})
}

// addFault draws one fault and its end.
func (g *generator) addFault(over time.Duration) {
	const restartDelay = 100 * time.Millisecond
	at := time.Duration(g.rng.Int63n(int64(over * 7 / 10)))
	end := at + over/20 + time.Duration(g.rng.Int63n(int64(over-at-over/20)))
	chosen, rest := g.split()
	first := chosen[0]
	all := strings.Join(chosen, ",")
	switch g.rng.Intn(8) {
	case 0:
		g.add(at, "split", all+"|"+strings.Join(rest, ","))
		g.add(end, "heal")
	case 1:
		g.add(at, "cut", first+">*")
		g.add(end, "heal")
	case 2:
		g.add(at, "cut", "*>"+first)
		g.add(end, "heal")
	case 3:
		g.add(at, "stop", all)
		g.add(end, "cont", all)
	case 4:
		if g.rng.Intn(2) == 0 {
			end = at + restartDelay
		}
		g.add(at, "kill", all)
		g.add(end, "start", all)
	case 5:
		g.add(at, "loss", "*>*", "0.3")
		g.add(end, "heal")
	case 6:
		g.add(at, "delay", "*>*", "150ms", "150ms")
		g.add(at, "mess", "*>*", "0.1")
		g.add(end, "heal")
	case 7:
		g.add(at, "relay", all)
	}
}

// WithRecovery appends the end of all faults at a time: nothing is cut, and all processes run.
func (s Script) WithRecovery(at time.Duration) Script {
	everybody := []string{"*"}
	return append(s.Sorted(), Step{at, "heal", nil}, Step{at, "cont", everybody}, Step{at, "start", everybody})
}

// Shrink removes steps from a script that fails until none can be left out: by halves first, then one by one, as delta debugging
// does (Zeller and Hildebrandt: "Simplifying and Isolating Failure-Inducing Input", 2002). fails must be deterministic, and must
// append the recovery if faults without an end would fail by themselves.
func Shrink(s Script, fails func(Script) bool) Script {
	for size := max(1, len(s)/2); ; {
		removed := false
		for from := 0; from < len(s); {
			smaller := slices.Concat(s[:from], s[min(from+size, len(s)):])
			if len(smaller) < len(s) && fails(smaller) {
				s = smaller
				removed = true
			} else {
				from += size
			}
		}
		if size == 1 && !removed {
			return s
		}
		size = max(1, size/2)
	}
}
