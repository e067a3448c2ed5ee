package bed

// This file owns scripts of faults: lines of a time, an act and names, written by hand or drawn from a seed, carried out in
// order of time. It must never do an act whose names it does not know.

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Step is one line of a script, as in
//
//	5s  split  n0,n1|n2,n3      cut all ways between the sets
//	5s  cut    n0>n1            one way; n0,n1>* cuts them from all
//	8s  loss   *>* 0.1          packets are lost by that chance; parts of streams come later
//	8s  delay  *>* 300ms 100ms  and evenly up to so much more
//	8s  mess   *>* 0.05         by that chance each: doubled, overtaken, one byte spoilt
//	9s  heal                    end all of these
//	2s  stop   n1,n2            SIGSTOP; cont: SIGCONT; term: SIGTERM; kill: SIGKILL; start: again under the name
//	3s  relay  n1               its relay restarts
type Step struct {
	At   time.Duration
	Act  string
	Args []string
}

// Script is steps in the order of their times.
type Script []Step

// String writes it as ParseScript reads it.
func (s Script) String() string {
	var b strings.Builder
	for _, x := range s {
		fmt.Fprintf(&b, "%s %s %s\n", x.At, x.Act, strings.Join(x.Args, " "))
	}
	return b.String()
}

// arguments is how many each act has.
var arguments = map[string]int{"split": 1, "cut": 1, "loss": 2, "delay": 3, "mess": 2, "heal": 0, "stop": 1, "cont": 1, "term": 1, "kill": 1, "start": 1, "relay": 1}

// ParseScript reads a script for some names; errors name the line. Blank lines and those after # are passed over.
func ParseScript(text string, names []string) (s Script, err error) {
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
				if arrow := x.Act == "cut" || x.Act == "loss" || x.Act == "delay" || x.Act == "mess"; arrow != strings.Contains(a, ">") {
					return bad("%s: %q has the form of another act", x.Act, a)
				}
			} else if _, err := time.ParseDuration(a); x.Act == "delay" && err != nil {
				return bad("%v", err)
			} else if v, err := strconv.ParseFloat(a, 64); x.Act != "delay" && (err != nil || v < 0 || v > 1) {
				return bad("a chance from 0 to 1 expected, %q there", a)
			}
		}
		s = append(s, x)
	}
	slices.SortStableFunc(s, func(a, b Step) int { return int(a.At - b.At) })
	return s, nil
}

func list(s string) []string {
	if s == "*" {
		return nil
	}
	return strings.Split(s, ",")
}

// Do carries out one step.
func (b *Bed) Do(x Step) error {
	ways := func(f func(*Rule)) {
		from, to, _ := strings.Cut(x.Args[0], ">")
		b.Net.Change(x.Act+" "+strings.Join(x.Args, " "), list(from), list(to), f)
	}
	number := func(i int) float64 { v, _ := strconv.ParseFloat(x.Args[i], 64); return v }
	each := func(f func(string) error) error {
		names := list(x.Args[0])
		if names == nil {
			names = b.Names
		}
		for _, name := range names {
			if err := f(name); err != nil {
				return err
			}
		}
		return nil
	}
	signal := func(s syscall.Signal) error {
		return each(func(name string) error { return b.Procs.Signal(name, s) })
	}
	switch x.Act {
	case "split":
		var sets [][]string
		for _, set := range strings.Split(x.Args[0], "|") {
			sets = append(sets, list(set))
		}
		b.Net.Split(sets...)
	case "cut":
		ways(func(r *Rule) { r.Cut = true })
	case "loss":
		ways(func(r *Rule) { r.Drop = number(1) })
	case "mess":
		ways(func(r *Rule) { r.Double, r.Reorder, r.Corrupt = number(1), number(1), number(1) })
	case "delay":
		d, _ := time.ParseDuration(x.Args[1])
		more, _ := time.ParseDuration(x.Args[2])
		ways(func(r *Rule) { r.Delay, r.Spread = d, more })
	case "heal":
		b.Net.Heal()
	case "stop":
		return signal(syscall.SIGSTOP)
	case "cont":
		return signal(syscall.SIGCONT)
	case "term":
		return signal(syscall.SIGTERM)
	case "kill":
		return each(b.Procs.Kill)
	case "start":
		return each(b.Procs.Start)
	case "relay":
		return each(b.Net.Restart)
	}
	return nil
}

// Play carries out a script from now on, and returns with its last step or when ctx ends.
func (b *Bed) Play(ctx context.Context, s Script) error {
	began := time.Now()
	for _, x := range s {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(x.At))):
		}
		if err := b.Do(x); err != nil {
			return fmt.Errorf("%s %s: %w", x.At, x.Act, err)
		}
	}
	return nil
}

// RandomScript draws some troubles over a time, each ended within it: at its end all processes run and nothing is cut.
func RandomScript(seed int64, names []string, over time.Duration, troubles int) (s Script) {
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
	each := over / time.Duration(troubles)
	for i := range troubles {
		at := time.Duration(i) * each
		end := at + each/2 + time.Duration(chance.Int63n(int64(each/2)))
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
	return append(s, Step{over, "heal", nil})
}
