package count

// This file implements a sketch of the keys with the largest counts: Space-Saving (A. Metwally, D. Agrawal, A. El Abbadi,
// "Efficient Computation of Frequent and Top-k Elements in Data Streams", ICDT 2005), with the counters in a heap. A new key
// in a full sketch replaces the key with the smallest count and takes over that count as its possible error, because
// occurrences of the new key may have been evicted before. The sketch must never hold more keys than its capacity.

import (
	"cmp"
	"slices"
)

// SpaceSaving is a Space-Saving sketch. The true value of a key lies between Value-MaxError and Value of its counter. A key
// without a counter has at most the value MaxUnlisted.
type SpaceSaving struct {
	heap     []Counter      // min-heap by Value
	index    map[string]int // position in heap by key
	capacity int
}

// NewSpaceSaving returns an empty sketch for up to capacity keys; a capacity below 1 is taken as 1.
func NewSpaceSaving(capacity int) *SpaceSaving {
	capacity = max(1, capacity)
	return &SpaceSaving{
		capacity: capacity,
		index:    make(map[string]int, capacity),
		heap:     make([]Counter, 0, capacity),
	}
}

// Add adds n, which must not be negative, to the count of a key.
func (s *SpaceSaving) Add(key string, n float64) {
	if i, ok := s.index[key]; ok {
		s.heap[i].Value += n
		s.siftDown(i)
		return
	}
	if len(s.heap) < s.capacity {
		s.heap = append(s.heap, Counter{Key: key, Value: n})
		i := len(s.heap) - 1
		s.index[key] = i
		s.siftUp(i)
		return
	}
	smallest := &s.heap[0]
	delete(s.index, smallest.Key)
	*smallest = Counter{Key: key, Value: smallest.Value + n, MaxError: smallest.Value}
	s.index[key] = 0
	s.siftDown(0)
}

// Scale multiplies all counts and errors by a factor.
func (s *SpaceSaving) Scale(factor float64) {
	for i := range s.heap {
		s.heap[i].Value *= factor
		s.heap[i].MaxError *= factor
	}
}

// MaxUnlisted returns the highest possible value of a key without a counter.
func (s *SpaceSaving) MaxUnlisted() float64 {
	if len(s.heap) < s.capacity {
		return 0
	}
	return s.heap[0].Value
}

// Largest returns up to maxCounters counters, the largest first.
func (s *SpaceSaving) Largest(maxCounters int) []Counter {
	counters := make([]Counter, len(s.heap))
	copy(counters, s.heap)
	slices.SortFunc(counters, func(a, b Counter) int { return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Key, b.Key)) })
	return counters[:min(maxCounters, len(counters))]
}

func (s *SpaceSaving) swap(i, k int) {
	s.heap[i], s.heap[k] = s.heap[k], s.heap[i]
	s.index[s.heap[i].Key] = i
	s.index[s.heap[k].Key] = k
}

func (s *SpaceSaving) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.heap[i].Value >= s.heap[parent].Value {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *SpaceSaving) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.heap) {
			return
		}
		if child+1 < len(s.heap) && s.heap[child+1].Value < s.heap[child].Value {
			child++
		}
		if s.heap[i].Value <= s.heap[child].Value {
			return
		}
		s.swap(i, child)
		i = child
	}
}
