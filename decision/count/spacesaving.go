package count

// This file implements the sketch of the keys with the largest counts: Space-Saving (A. Metwally, D. Agrawal, A. El Abbadi,
// "Efficient Computation of Frequent and Top-k Elements in Data Streams", ICDT 2005) over a heap. There may be more keys
// than places; a key that comes when there is none takes the place of the smallest, whose count it may have had itself:
// that is its error. The sketch must never hold more keys than it was made for.

import (
	"cmp"
	"slices"
)

// SpaceSaving is one sketch. Any key's true value lies between Value-MaxError and Value of its counter; a key without a
// counter has at most MaxUnlisted.
type SpaceSaving struct {
	heap     []Counter      // the smallest first
	index    map[string]int // of each key in heap
	capacity int
}

// NewSpaceSaving returns a sketch with places for capacity keys, at least one.
func NewSpaceSaving(capacity int) *SpaceSaving {
	capacity = max(1, capacity)
	return &SpaceSaving{
		capacity: capacity,
		index:    make(map[string]int, capacity),
		heap:     make([]Counter, 0, capacity),
	}
}

// Add counts n, which must not be negative, under a key.
func (s *SpaceSaving) Add(key string, n float64) {
	if i, has := s.index[key]; has {
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

// Scale multiplies all counts, as when they decay.
func (s *SpaceSaving) Scale(factor float64) {
	for i := range s.heap {
		s.heap[i].Value *= factor
		s.heap[i].MaxError *= factor
	}
}

// MaxUnlisted is the most that a key without a counter may have.
func (s *SpaceSaving) MaxUnlisted() float64 {
	if len(s.heap) < s.capacity {
		return 0
	}
	return s.heap[0].Value
}

// Largest returns the largest counters, at most maxCounters, the largest first.
func (s *SpaceSaving) Largest(maxCounters int) []Counter {
	all := make([]Counter, len(s.heap))
	copy(all, s.heap)
	slices.SortFunc(all, func(a, b Counter) int { return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Key, b.Key)) })
	return all[:min(maxCounters, len(all))]
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
