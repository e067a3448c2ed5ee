package retry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRetry(t *testing.T) {
	sound := FailedAttempt{Progress: NotSent, Attempts: 1, TimeLeft: 1000, ExpectedLatency: 100}
	cases := []struct {
		name   string
		change func(*FailedAttempt)
		rules  Config
		want   bool
	}{
		{"nothing sent", func(*FailedAttempt) {}, Config{0.1, 1, 3}, true},
		{"sent, nothing came of it", func(f *FailedAttempt) { f.Progress = Sent }, Config{0.1, 1, 3}, true},
		{"may have run", func(f *FailedAttempt) { f.Progress = MayHaveRun }, Config{0.1, 1, 3}, false},
		{"may have run, idempotent", func(f *FailedAttempt) { f.Progress, f.Idempotent = MayHaveRun, true }, Config{0.1, 1, 3}, true},
		{"no time left", func(f *FailedAttempt) { f.TimeLeft = 100 }, Config{0.1, 1, 3}, false},
		{"all tries made", func(f *FailedAttempt) { f.Attempts = 3 }, Config{0.1, 1, 3}, false},
		{"no further tries wanted", func(*FailedAttempt) {}, Config{0.1, 1, 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, f := New(c.rules, 1, 0), sound
			c.change(&f)
			if _, got := p.Retry(0, f); got != c.want {
				t.Errorf("again %v", got)
			}
		})
	}
}

// Under random operations retries stay within the ratio of first attempts plus the minimum rate and the initial budget,
// and nothing that may have run is sent twice unless it is idempotent.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Config{rapid.Float64Range(0, 0.5).Draw(t, "share"), rapid.Float64Range(0, 5).Draw(t, "floor"), 5}
		p := New(r, 1, 0)
		now, first, further := 0.0, 0.0, 0.0
		saved := p.RetriesLeft(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Float64Range(0, 50).Draw(t, "gap")
			if rapid.Bool().Draw(t, "first") {
				p.RecordFirstAttempt(now)
				first++
				continue
			}
			f := FailedAttempt{Progress: Progress(rapid.IntRange(0, 2).Draw(t, "reached")), Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Attempts: rapid.IntRange(1, 5).Draw(t, "tries"), TimeLeft: 1000, ExpectedLatency: 10}
			if after, again := p.Retry(now, f); again {
				if further++; f.Progress == MayHaveRun && !f.Idempotent {
					t.Fatal("what may have run goes twice")
				}
				if after < 0 || after > f.TimeLeft/10 {
					t.Fatalf("after %g ms", after)
				}
			}
			if most := saved + r.RetryRatio*first + r.MinPerSecond*now/1000 + 1e-6; further > most {
				t.Fatalf("%g further tries of %g first in %g ms, at most %g", further, first, now, most)
			}
		}
	})
}

func TestAttemptTimeout(t *testing.T) {
	p := New(Config{0.1, 1, 3}, 1, 0)
	for _, c := range []struct {
		name string
		f    FailedAttempt
		want float64
	}{
		{"can be made again", FailedAttempt{Idempotent: true, TimeLeft: 3000, ExpectedLatency: 100}, 1000},
		{"a long work", FailedAttempt{Idempotent: true, TimeLeft: 3000, ExpectedLatency: 500}, 2000},
		{"the last try", FailedAttempt{Idempotent: true, Attempts: 2, TimeLeft: 3000, ExpectedLatency: 100}, 3000},
		{"can't", FailedAttempt{TimeLeft: 3000, ExpectedLatency: 100}, 3000},
	} {
		if got := p.AttemptTimeout(c.f); got != c.want {
			t.Errorf("%s: %g ms, want %g", c.name, got, c.want)
		}
	}
}
