package gate

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestWheel compares the wheel with a map while the clock steps in either direction: no entry expires before its time, no
// removed entry expires, and every other entry expires within one slot and one advance of its time.
func TestWheel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 2e12).Draw(t, "begin")
		w := newWheel(now)
		expected := map[*expiry]float64{} // time of expiry, but not before the latest time when the entry was added
		latest := now                     // latest time of an advance
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				for range rapid.IntRange(1, 5).Draw(t, "adds") {
					span := rapid.SampledFrom([]float64{100, 20e3, 6e6, 2e9}).Draw(t, "span")
					e := &expiry{atMs: now + rapid.Float64Range(-span/10, span).Draw(t, "life")}
					w.add(e)
					expected[e] = math.Max(e.atMs, latest)
				}
			case 2:
				for e := range expected {
					w.remove(e)
					w.remove(e) // the second call does nothing
					delete(expected, e)
					break
				}
			case 3:
				step := rapid.SampledFrom([]float64{40, 1e3, 70e3, 5e6, 1e10, -1e3, -1e7}).Draw(t, "by")
				now = math.Max(0, now+rapid.Float64Range(0, 1).Draw(t, "part")*step)
				w.advance(now, func(e *expiry) {
					if e.atMs >= now {
						t.Fatalf("entry expired %g ms before its time", e.atMs-now)
					}
					if _, ok := expected[e]; !ok {
						t.Fatal("entry expired twice, or after it was removed")
					}
					delete(expected, e)
				})
				latest = math.Max(latest, now)
				for _, at := range expected {
					if at < now-2*slotMs && now == latest {
						t.Fatalf("entry has not expired %g ms past its time", now-at)
					}
				}
			}
			if w.size != len(expected) {
				t.Fatalf("size of the wheel: got %d, want %d", w.size, len(expected))
			}
		}
	})
}

// TestWheelBurst checks that entries that are due at the same time expire in batches of bounded size until all have expired.
func TestWheelBurst(t *testing.T) {
	w := newWheel(0)
	const entries = 50 * minMoves
	for i := range entries {
		w.add(&expiry{atMs: 20e3 + float64(i%100)})
	}
	expired, advances := 0, 0
	for now := 30e3; expired < entries; now += 40 {
		before := expired
		w.advance(now, func(*expiry) { expired++ })
		if expired-before > max(minMoves, entries/moveDivisor) {
			t.Fatalf("one advance expired %d entries", expired-before)
		}
		if advances++; advances > 200 {
			t.Fatalf("expired entries: got %d of %d after %d advances", expired, entries, advances)
		}
	}
}

// byTime is a binary heap, with which the benchmark compares the wheel.
type byTime []*expiry

func (h byTime) Len() int           { return len(h) }
func (h byTime) Less(i, k int) bool { return h[i].atMs < h[k].atMs }
func (h byTime) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *byTime) Push(x any)        { *h = append(*h, x.(*expiry)) }
func (h *byTime) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// BenchmarkExpiry measures one tick of 40 ms at a steady rate, at which as many entries are added as expire. The gate used
// the map before it used the wheel.
func BenchmarkExpiry(b *testing.B) {
	const window = 18e3 // ms; a window of 13.6 s plus a deadline of 4.5 s
	for _, size := range []int{1000, 8000, 100000} {
		perTick := float64(size) * 40 / window // entries added and expired in a tick
		b.Run(fmt.Sprintf("map/%d", size), func(b *testing.B) {
			m := map[string]*expiry{}
			for i := range size {
				m[fmt.Sprint("topup-buy\x00", i)] = &expiry{atMs: float64(i) / float64(size) * window}
			}
			for now, i, owed := 0.0, size, 0.0; b.Loop(); now += 40 {
				for key, e := range m {
					if now > e.atMs {
						delete(m, key)
					}
				}
				for owed += perTick; owed >= 1; owed-- {
					m[fmt.Sprint("topup-buy\x00", i)] = &expiry{atMs: now + window}
					i++
				}
			}
		})
		b.Run(fmt.Sprintf("heap/%d", size), func(b *testing.B) {
			h := &byTime{}
			for i := range size {
				heap.Push(h, &expiry{atMs: float64(i) / float64(size) * window})
			}
			for now, owed := 0.0, 0.0; b.Loop(); now += 40 {
				for h.Len() > 0 && (*h)[0].atMs < now {
					heap.Pop(h)
				}
				for owed += perTick; owed >= 1; owed-- {
					heap.Push(h, &expiry{atMs: now + window})
				}
			}
		})
		b.Run(fmt.Sprintf("wheel/%d", size), func(b *testing.B) {
			w := newWheel(0)
			for i := range size {
				w.add(&expiry{atMs: float64(i) / float64(size) * window})
			}
			for now, owed := 0.0, 0.0; b.Loop(); now += 40 {
				w.advance(now, func(*expiry) {})
				for owed += perTick; owed >= 1; owed-- {
					w.add(&expiry{atMs: now + window})
				}
			}
		})
	}
}
