package store

import (
	"math/rand"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// TestIndex compares the index with a map over random puts and dropped segments.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, reference := newIndex(), map[uint64][2]uint32{}
		first := uint32(1)
		for i := range rapid.IntRange(1, 4000).Draw(t, "steps") {
			seg := first + uint32(i/200)
			fingerprint := uint64(rapid.IntRange(0, 3000).Draw(t, "print")) * 0x9e3779b97f4a7c15
			x.put(fingerprint, seg, uint32(i))
			reference[fingerprint] = [2]uint32{seg, uint32(i)}
			if i%1000 == 999 {
				first += 2
				x.dropBefore(first)
			}
		}
		for fingerprint, want := range reference {
			segment, offset, ok := x.get(fingerprint)
			if ok != (want[0] >= first) || ok && (segment != want[0] || offset != want[1]) {
				t.Fatalf("location of %x: got segment %d, offset %d, found %v; want %v, found from segment %d on", fingerprint, segment, offset, ok, want, first)
			}
		}
	})
}

// BenchmarkIndex compares the index with a map from fingerprint to location in memory per entry and time per lookup.
func BenchmarkIndex(b *testing.B) {
	const n = 1000000
	fingerprints := make([]uint64, n)
	for i := range fingerprints {
		fingerprints[i] = rand.Uint64()
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
		for i, p := range fingerprints {
			x.put(p, 1, uint32(i))
		}
		heapGrowth := heap() - before
		for i := 0; b.Loop(); i++ {
			x.get(fingerprints[i%n])
		}
		b.ReportMetric(heapGrowth/n, "B/entry")
	})
	b.Run("map", func(b *testing.B) {
		before := heap()
		x := map[uint64][2]uint32{}
		for i, p := range fingerprints {
			x[p] = [2]uint32{1, uint32(i)}
		}
		heapGrowth := heap() - before
		sum := uint32(0)
		for i := 0; b.Loop(); i++ {
			sum += x[fingerprints[i%n]][0]
		}
		b.ReportMetric(heapGrowth/n, "B/entry")
	})
}
