package retry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRetry(t *testing.T) {
	retryable := FailedAttempt{Progress: NotSent, Attempts: 1, TimeLeft: 1000, ExpectedLatency: 100}
	cases := []struct {
		name   string
		change func(*FailedAttempt)
		config Config
		want   bool
	}{
		{"nothing sent", func(*FailedAttempt) {}, Config{0.1, 1, 3}, true},
		{"sent in part", func(f *FailedAttempt) { f.Progress = Sent }, Config{0.1, 1, 3}, true},
		{"may have run", func(f *FailedAttempt) { f.Progress = MayHaveRun }, Config{0.1, 1, 3}, false},
		{"may have run, idempotent", func(f *FailedAttempt) { f.Progress, f.Idempotent = MayHaveRun, true }, Config{0.1, 1, 3}, true},
		{"no time left", func(f *FailedAttempt) { f.TimeLeft = 100 }, Config{0.1, 1, 3}, false},
		{"all attempts made", func(f *FailedAttempt) { f.Attempts = 3 }, Config{0.1, 1, 3}, false},
		{"retries disabled", func(*FailedAttempt) {}, Config{0.1, 1, 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, f := New(c.config, 1, 0), retryable
			c.change(&f)
			if _, got := p.Retry(0, f); got != c.want {
				t.Errorf("retry: got %v", got)
			}
		})
	}
}

// TestBudget checks under random operations that retries stay within the ratio of first attempts plus the minimum rate
// and the initial budget, and that an RPC that may have run is retried only if it is idempotent.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{rapid.Float64Range(0, 0.5).Draw(t, "share"), rapid.Float64Range(0, 5).Draw(t, "floor"), 5}
		p := New(config, 1, 0)
		now, firstAttempts, retries := 0.0, 0.0, 0.0
		initialBudget := p.RetriesLeft(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Float64Range(0, 50).Draw(t, "gap")
			if rapid.Bool().Draw(t, "first") {
				p.RecordFirstAttempt(now)
				firstAttempts++
				continue
			}
			f := FailedAttempt{Progress: Progress(rapid.IntRange(0, 2).Draw(t, "reached")), Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Attempts: rapid.IntRange(1, 5).Draw(t, "tries"), TimeLeft: 1000, ExpectedLatency: 10}
			if backoff, retry := p.Retry(now, f); retry {
				if retries++; f.Progress == MayHaveRun && !f.Idempotent {
					t.Fatal("retried an RPC that may have run and is not idempotent")
				}
				if backoff < 0 || backoff > f.TimeLeft/10 {
					t.Fatalf("backoff out of range: %g ms", backoff)
				}
			}
			if limit := initialBudget + config.RetryRatio*firstAttempts + config.MinPerSecond*now/1000 + 1e-6; retries > limit {
				t.Fatalf("%g retries for %g first attempts in %g ms, want at most %g", retries, firstAttempts, now, limit)
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
		{"another attempt is possible", FailedAttempt{Idempotent: true, TimeLeft: 3000, ExpectedLatency: 100}, 1000},
		{"long expected latency", FailedAttempt{Idempotent: true, TimeLeft: 3000, ExpectedLatency: 500}, 2000},
		{"last attempt", FailedAttempt{Idempotent: true, Attempts: 2, TimeLeft: 3000, ExpectedLatency: 100}, 3000},
		{"not idempotent", FailedAttempt{TimeLeft: 3000, ExpectedLatency: 100}, 3000},
	} {
		if got := p.AttemptTimeout(c.f); got != c.want {
			t.Errorf("%s: attempt timeout: got %g ms, want %g", c.name, got, c.want)
		}
	}
}
