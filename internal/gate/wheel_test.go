package gate

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestWheel compares the wheel with a map: no entry is handed out before its time, all are within a slot and an advance of
// it, and none that was removed, over steps of the clock to either side.
func TestWheel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 2e12).Draw(t, "begin")
		w := newWheel(now)
		plain := map[*expiry]float64{} // by when it must be over, as the clock stood when it came
		latest := now                  // no look has been at a later time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				for range rapid.IntRange(1, 5).Draw(t, "adds") {
					span := rapid.SampledFrom([]float64{100, 20e3, 6e6, 2e9}).Draw(t, "span")
					e := &expiry{atMs: now + rapid.Float64Range(-span/10, span).Draw(t, "life")}
					w.add(e)
					plain[e] = math.Max(e.atMs, latest)
				}
			case 2:
				for e := range plain {
					w.remove(e)
					w.remove(e) // the second time does nothing
					delete(plain, e)
					break
				}
			case 3:
				step := rapid.SampledFrom([]float64{40, 1e3, 70e3, 5e6, 1e10, -1e3, -1e7}).Draw(t, "by")
				now = math.Max(0, now+rapid.Float64Range(0, 1).Draw(t, "part")*step)
				w.advance(now, func(e *expiry) {
					if e.atMs >= now {
						t.Fatalf("expired %g ms before its time", e.atMs-now)
					}
					if _, in := plain[e]; !in {
						t.Fatal("handed out twice, or after it was removed")
					}
					delete(plain, e)
				})
				latest = math.Max(latest, now)
				for _, at := range plain {
					if at < now-2*slotMs && now == latest {
						t.Fatalf("still there %g ms past its time", now-at)
					}
				}
			}
			if w.size != len(plain) {
				t.Fatalf("size %d of %d", w.size, len(plain))
			}
		}
	})
}

// TestWheelBurst checks that entries which are due all at once are handed out in bounded parts, and all in the end.
func TestWheelBurst(t *testing.T) {
	w := newWheel(0)
	const all = 50 * minMoves
	for i := range all {
		w.add(&expiry{atMs: 20e3 + float64(i%100)})
	}
	got, looks := 0, 0
	for now := 30e3; got < all; now += 40 {
		before := got
		w.advance(now, func(*expiry) { got++ })
		if got-before > max(minMoves, all/moveShare) {
			t.Fatalf("%d in one advance", got-before)
		}
		if looks++; looks > 200 {
			t.Fatalf("%d of %d after %d advances", got, all, looks)
		}
	}
}

// byTime is the binary heap that the wheel is measured against.
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

// BenchmarkExpiry is one tick of 40 ms at a steady rate: as many entries come as expire. The map is what the gate had before.
func BenchmarkExpiry(b *testing.B) {
	const window = 18e3 // ms: a window of 13.6 s and a deadline of 4.5 s
	for _, size := range []int{1000, 8000, 100000} {
		each := float64(size) * 40 / window // that come and go in a tick
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
				for owed += each; owed >= 1; owed-- {
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
				for owed += each; owed >= 1; owed-- {
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
				for owed += each; owed >= 1; owed-- {
					w.add(&expiry{atMs: now + window})
				}
			}
		})
	}
}
