package script

import (
	"strings"
	"testing"
	"time"
)

func TestScript(t *testing.T) {
	names := []string{"a", "b", "c"}
	for text, fault := range map[string]string{
		"5s split a|b,c":                  "",
		"1s cut a>*\n2s loss *>* 0.1 # x": "",
		"3s delay *>a 300ms 100ms":        "",
		"5s split a|d":                    `line 1: "d" is none of the names`,
		"\n5s cut a,b":                    "line 2: cut",
		"5 heal":                          "a time as 5s expected",
		"5s explode a":                    "no act",
		"5s loss *>* 2":                   "a chance from 0 to 1",
		"5s delay *>* x y":                "invalid duration",
		"5s kill":                         "not its number of words",
	} {
		s, err := Parse(text, names)
		if fault == "" && err != nil || fault != "" && (err == nil || !strings.Contains(err.Error(), fault)) {
			t.Errorf("%q: %v, want %q", text, err, fault)
		}
		if again, err2 := Parse(s.String(), names); err == nil && (err2 != nil || again.String() != s.String()) {
			t.Errorf("%q is written as %q", text, s)
		}
	}
	for seed := range int64(50) {
		s := Random(seed, names, 10*time.Second, 3)
		if again, err := Parse(s.String(), names); err != nil || again.String() != s.String() || s.String() != Random(seed, names, 10*time.Second, 3).String() {
			t.Fatalf("seed %d: %v\n%s", seed, err, s)
		}
	}
}

func TestShrink(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for seed := range int64(20) {
		s := Random(seed, names, time.Minute, 12)
		calls := 0
		fails := func(s Script) bool { // needs a kill and a later heal
			calls++
			killed := false
			for _, x := range s {
				if x.Action == "kill" {
					killed = true
				} else if killed && x.Action == "heal" {
					return true
				}
			}
			return false
		}
		if !fails(s) {
			continue
		}
		if less := Shrink(s, fails); len(less) != 2 || !fails(less) {
			t.Errorf("seed %d: %d acts left of %d:\n%s", seed, len(less), len(s), less)
		}
		if calls > 200 {
			t.Errorf("seed %d: %d tries", seed, calls)
		}
	}
}
