package count

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// For any sequence of additions, the true value of each key lies within the error of its counter, and the sketch does not
// exceed its capacity.
func TestSpaceSaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		sketch, truth := NewSpaceSaving(capacity), map[string]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "adds") {
			if rapid.IntRange(0, 20).Draw(t, "scale") == 0 {
				sketch.Scale(0.5)
				for k := range truth {
					truth[k] *= 0.5
				}
			}
			k, n := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key")), float64(rapid.IntRange(0, 9).Draw(t, "n"))
			sketch.Add(k, n)
			truth[k] += n
		}
		listed := map[string]bool{}
		items := sketch.Largest(100)
		for _, c := range items {
			listed[c.Key] = true
			if v := truth[c.Key]; v > c.Value+1e-9 || v < c.Value-c.MaxError-1e-9 {
				t.Fatalf("key %s: true value %g, counter %g with a maximum error of %g", c.Key, v, c.Value, c.MaxError)
			}
		}
		for k, v := range truth {
			if !listed[k] && v > sketch.MaxUnlisted()+1e-9 {
				t.Fatalf("key %s: true value %g without a counter, want at most %g", k, v, sketch.MaxUnlisted())
			}
		}
		if len(items) > capacity || len(sketch.index) != len(items) {
			t.Fatalf("%d counters, %d index entries, capacity %d", len(items), len(sketch.index), capacity)
		}
	})
}

// With a hundred thousand customers, the few that cause most of the load have the largest counters.
func TestManyCustomers(t *testing.T) {
	local := NewLocal(DefaultConfig)
	zipf := rand.NewZipf(rand.New(rand.NewSource(1)), 1.3, 1, 100000)
	truth := map[string]int{}
	for i := range 200000 {
		k := fmt.Sprint("c", zipf.Uint64())
		truth[k]++
		local.Add(float64(i)/100, k, 1)
	}
	items := local.Largest(2000, 10)
	if len(items) != 10 || items[0].Key != "c0" || items[1].Key != "c1" || items[2].Key != "c2" {
		t.Errorf("largest counters: got %v, want ten with c0, c1 and c2 first", items)
	}
}

// The same reports in any order, with duplicates, give the same sums. The interval contains the true sum and widens as reports
// become stale.
func TestSums(t *testing.T) {
	origins := []string{"a", "b", "c"}
	type sample struct {
		origin               string
		generation, sequence uint64
		value                float64
	}
	samples := []sample{{"a", 1, 1, 10}, {"a", 1, 2, 20}, {"b", 1, 5, 7}, {"b", 2, 1, 3}, {"b", 1, 6, 9}}
	for seed := range int64(30) {
		aggregate := NewAggregate(DefaultConfig)
		rng := rand.New(rand.NewSource(seed))
		for range 3 {
			for _, i := range rng.Perm(len(samples)) {
				r := samples[i]
				aggregate.Merge(1000, r.origin, r.generation, r.sequence, []Counter{{Key: "k", Value: r.value}}, 0)
			}
		}
		if got := aggregate.Sum(1000, "k", origins[:2]); got != (Interval{23, 23}) {
			t.Fatalf("sum over a and b: got %+v, want exactly 23", got)
		}
		if got := aggregate.Sum(1000, "k", origins); got != (Interval{23, 23 + DefaultConfig.MaxPerServer}) { // c never reported
			t.Fatalf("sum with an origin that never reported: got %+v, want 23 to 23 plus MaxPerServer", got)
		}
		last := Interval{23, 23}
		for now := 2000.0; now < 20e3; now += 500 {
			got := aggregate.Sum(now, "k", origins[:2])
			if got.Min > last.Min || got.Max < last.Max {
				t.Fatalf("at %g ms: interval %+v is narrower than %+v before", now, got, last)
			}
			last = got
		}
		if last != (Interval{0, 2 * DefaultConfig.MaxPerServer}) {
			t.Fatalf("sum of stale reports: got %+v, want 0 to twice MaxPerServer", last)
		}
	}
}

func TestRateDecays(t *testing.T) {
	local := NewLocal(DefaultConfig)
	for ms := range 30000 {
		if ms%10 == 0 {
			local.Add(float64(ms), "k", 1)
		}
	}
	if v := local.Largest(30000, 1)[0].Value; math.Abs(v-100) > 2 {
		t.Errorf("rate after 30 s of 100 per second: got %g, want about 100", v)
	}
	if v := local.Largest(60000, 1)[0].Value; v > 1 {
		t.Errorf("rate 30 s after the last count: got %g, want at most 1", v)
	}
	local.Add(1e8, "k", 1) // a day later, so that the weights are rescaled
	if v := local.Largest(1e8, 1)[0].Value; math.Abs(v-0.2) > 1e-9 {
		t.Errorf("rate after one count: got %g, want 0.2", v)
	}
}

func BenchmarkAdd(b *testing.B) {
	local := NewLocal(DefaultConfig)
	keys := make([]string, 50) // below the capacity of 64, the usual case
	for i := range keys {
		keys[i] = fmt.Sprint("customer-", i)
	}
	b.ReportAllocs()
	now := 0.0
	for i := 0; b.Loop(); i++ {
		now += 0.01
		local.Add(now, keys[i%len(keys)], 1)
	}
}
