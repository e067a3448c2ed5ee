package store

import (
	"math/rand"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// TestIndex compares the index with a map, over puts and segments that are dropped.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, plain := newIndex(), map[uint64][2]uint32{}
		first := uint32(1)
		for i := range rapid.IntRange(1, 4000).Draw(t, "steps") {
			seg := first + uint32(i/200)
			fingerprint := uint64(rapid.IntRange(0, 3000).Draw(t, "print")) * 0x9e3779b97f4a7c15
			x.put(fingerprint, seg, uint32(i))
			plain[fingerprint] = [2]uint32{seg, uint32(i)}
			if i%1000 == 999 {
				first += 2
				x.dropBefore(first)
			}
		}
		for fingerprint, want := range plain {
			seg, off, has := x.get(fingerprint)
			if has != (want[0] >= first) || has && (seg != want[0] || off != want[1]) {
				t.Fatalf("%x: segment %d at %d, %v; want %v from %d on", fingerprint, seg, off, has, want, first)
			}
		}
	})
}

// BenchmarkIndex measures the index beside a map from fingerprint to place: memory for each entry, and a lookup.
func BenchmarkIndex(b *testing.B) {
	const n = 1000000
	prints := make([]uint64, n)
	for i := range prints {
		prints[i] = rand.Uint64()
	}
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	b.Run("table", func(b *testing.B) {
		before := heap()
		x := newIndex()
		for i, p := range prints {
			x.put(p, 1, uint32(i))
		}
		took := heap() - before
		for i := 0; b.Loop(); i++ {
			x.get(prints[i%n])
		}
		b.ReportMetric(took/n, "B/entry")
	})
	b.Run("map", func(b *testing.B) {
		before := heap()
		x := map[uint64][2]uint32{}
		for i, p := range prints {
			x[p] = [2]uint32{1, uint32(i)}
		}
		took := heap() - before
		sum := uint32(0)
		for i := 0; b.Loop(); i++ {
			sum += x[prints[i%n]][0]
		}
		b.ReportMetric(took/n, "B/entry")
	})
}
