package count

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// Whatever is added, each key's true value lies within its counter's error, and the sketch holds no more than its capacity.
func TestSpaceSaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "room")
		sketch, truth := NewSpaceSaving(capacity), map[string]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "adds") {
			if rapid.IntRange(0, 20).Draw(t, "fades") == 0 {
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
		for _, x := range items {
			listed[x.Key] = true
			if v := truth[x.Key]; v > x.Value+1e-9 || v < x.Value-x.MaxError-1e-9 {
				t.Fatalf("%s has %g, counted %g less at most %g", x.Key, v, x.Value, x.MaxError)
			}
		}
		for k, v := range truth {
			if !listed[k] && v > sketch.MaxUnlisted()+1e-9 {
				t.Fatalf("%s has %g and is not listed, which may have at most %g", k, v, sketch.MaxUnlisted())
			}
		}
		if len(items) > capacity || len(sketch.index) != len(items) {
			t.Fatalf("%d listed, %d in the index, capacity %d", len(items), len(sketch.index), capacity)
		}
	})
}

// A hundred thousand customers, a few of which make most of the load: those are found.
func TestManyCustomers(t *testing.T) {
	local := NewLocal(DefaultConfig)
	z := rand.NewZipf(rand.New(rand.NewSource(1)), 1.3, 1, 100000)
	truth := map[string]int{}
	for i := range 200000 {
		k := fmt.Sprint("c", z.Uint64())
		truth[k]++
		local.Add(float64(i)/100, k, 1)
	}
	items := local.Largest(2000, 10)
	if len(items) != 10 || items[0].Key != "c0" || items[1].Key != "c1" || items[2].Key != "c2" {
		t.Errorf("%v", items)
	}
}

// The same reports in any order, with duplicates, give the same sums; the interval holds the truth and widens for stale reports.
func TestSums(t *testing.T) {
	origins := []string{"a", "b", "c"}
	type sample struct {
		origin               string
		generation, sequence uint64
		value                float64
	}
	all := []sample{{"a", 1, 1, 10}, {"a", 1, 2, 20}, {"b", 1, 5, 7}, {"b", 2, 1, 3}, {"b", 1, 6, 9}}
	for seed := range int64(30) {
		aggregate := NewAggregate(DefaultConfig)
		rng := rand.New(rand.NewSource(seed))
		for range 3 {
			for _, i := range rng.Perm(len(all)) {
				r := all[i]
				aggregate.Merge(1000, r.origin, r.generation, r.sequence, []Counter{{Key: "k", Value: r.value}}, 0)
			}
		}
		if got := aggregate.Sum(1000, "k", origins[:2]); got != (Interval{23, 23}) {
			t.Fatalf("%+v", got)
		}
		if got := aggregate.Sum(1000, "k", origins); got != (Interval{23, 23 + DefaultConfig.MaxPerServer}) { // c never reported
			t.Fatalf("%+v", got)
		}
		last := Interval{23, 23}
		for now := 2000.0; now < 20e3; now += 500 {
			got := aggregate.Sum(now, "k", origins[:2])
			if got.Min > last.Min || got.Max < last.Max {
				t.Fatalf("at %g ms: %+v after %+v", now, got, last)
			}
			last = got
		}
		if last != (Interval{0, 2 * DefaultConfig.MaxPerServer}) {
			t.Fatalf("long stale: %+v", last)
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
		t.Errorf("100 a second are counted as %g", v)
	}
	if v := local.Largest(60000, 1)[0].Value; v > 1 {
		t.Errorf("half a minute later still %g", v)
	}
	local.Add(1e8, "k", 1) // a day later the weights have begun anew
	if v := local.Largest(1e8, 1)[0].Value; math.Abs(v-0.2) > 1e-9 {
		t.Errorf("one count is %g", v)
	}
}

func BenchmarkAdd(b *testing.B) {
	local := NewLocal(DefaultConfig)
	keys := make([]string, 50) // with capacity for 64: the usual case
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
