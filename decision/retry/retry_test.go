package retry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestAgain(t *testing.T) {
	sound := Failed{Reached: NotSent, Tries: 1, Left: 1000, Need: 100}
	cases := []struct {
		name   string
		change func(*Failed)
		rules  Rules
		want   bool
	}{
		{"nothing sent", func(*Failed) {}, Rules{0.1, 1, 3}, true},
		{"sent, nothing came of it", func(f *Failed) { f.Reached = Sent }, Rules{0.1, 1, 3}, true},
		{"may have run", func(f *Failed) { f.Reached = MayHaveRun }, Rules{0.1, 1, 3}, false},
		{"may have run, idempotent", func(f *Failed) { f.Reached, f.Idempotent = MayHaveRun, true }, Rules{0.1, 1, 3}, true},
		{"no time left", func(f *Failed) { f.Left = 100 }, Rules{0.1, 1, 3}, false},
		{"all tries made", func(f *Failed) { f.Tries = 3 }, Rules{0.1, 1, 3}, false},
		{"no further tries wanted", func(*Failed) {}, Rules{0.1, 1, 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, f := New(c.rules, 1, 0), sound
			c.change(&f)
			if _, got := p.Again(0, f); got != c.want {
				t.Errorf("again %v", got)
			}
		})
	}
}

// Whatever comes, further tries stay within the share of first tries plus the floor and what was saved up, and
// nothing that may have run goes twice unless it may.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Rules{rapid.Float64Range(0, 0.5).Draw(t, "share"), rapid.Float64Range(0, 5).Draw(t, "floor"), 5}
		p := New(r, 1, 0)
		now, first, further := 0.0, 0.0, 0.0
		saved := p.Left(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Float64Range(0, 50).Draw(t, "gap")
			if rapid.Bool().Draw(t, "first") {
				p.First(now)
				first++
				continue
			}
			f := Failed{Reached: Reached(rapid.IntRange(0, 2).Draw(t, "reached")), Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Tries: rapid.IntRange(1, 5).Draw(t, "tries"), Left: 1000, Need: 10}
			if after, again := p.Again(now, f); again {
				if further++; f.Reached == MayHaveRun && !f.Idempotent {
					t.Fatal("what may have run goes twice")
				}
				if after < 0 || after > f.Left/10 {
					t.Fatalf("after %g ms", after)
				}
			}
			if most := saved + r.Share*first + r.Floor*now/1000 + 1e-6; further > most {
				t.Fatalf("%g further tries of %g first in %g ms, at most %g", further, first, now, most)
			}
		}
	})
}

func TestAllowance(t *testing.T) {
	p := New(Rules{0.1, 1, 3}, 1, 0)
	for _, c := range []struct {
		name string
		f    Failed
		want float64
	}{
		{"can be made again", Failed{Idempotent: true, Left: 3000, Need: 100}, 1000},
		{"a long work", Failed{Idempotent: true, Left: 3000, Need: 500}, 2000},
		{"the last try", Failed{Idempotent: true, Tries: 2, Left: 3000, Need: 100}, 3000},
		{"can't", Failed{Left: 3000, Need: 100}, 3000},
	} {
		if got := p.Allowance(c.f); got != c.want {
			t.Errorf("%s: %g ms, want %g", c.name, got, c.want)
		}
	}
}
