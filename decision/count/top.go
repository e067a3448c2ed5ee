package count

// This file owns the sketch of the keys that count most: Space-Saving (Metwally, Agrawal and El Abbadi, 2005) over a heap. There
// may be more keys than room; a key that comes when there is none takes the place of the smallest, whose value it may have
// had itself, which is its error. It must never hold more keys than it was made for.

import (
	"cmp"
	"slices"
)

type counted struct {
	key        string
	value, err float64
}

// SpaceSaving is one sketch. Any key's true value lies between value-err and value; one that is not held has at most Least.
type SpaceSaving struct {
	heap []counted // the smallest first
	at   map[string]int
	most int
}

// NewSpaceSaving returns one with room for so many keys, at least one.
func NewSpaceSaving(most int) *SpaceSaving {
	return &SpaceSaving{most: max(1, most), at: make(map[string]int, max(1, most)), heap: make([]counted, 0, max(1, most))}
}

// Add counts n, which must not be negative, under a key.
func (t *SpaceSaving) Add(key string, n float64) {
	if i, has := t.at[key]; has {
		t.heap[i].value += n
		t.down(i)
		return
	}
	if len(t.heap) < t.most {
		t.heap = append(t.heap, counted{key: key, value: n})
		i := len(t.heap) - 1
		t.at[key] = i
		t.up(i)
		return
	}
	least := &t.heap[0]
	delete(t.at, least.key)
	*least = counted{key: key, value: least.value + n, err: least.value}
	t.at[key] = 0
	t.down(0)
}

// Scale multiplies all, as when they fade.
func (t *SpaceSaving) Scale(by float64) {
	for i := range t.heap {
		t.heap[i].value *= by
		t.heap[i].err *= by
	}
}

// MaxUnlisted is what a key that is not held may have at the most.
func (t *SpaceSaving) MaxUnlisted() float64 {
	if len(t.heap) < t.most {
		return 0
	}
	return t.heap[0].value
}

// Largest are the largest, at most so many, the largest first.
func (t *SpaceSaving) Largest(most int) []Counter {
	all := make([]Counter, len(t.heap))
	for i, c := range t.heap {
		all[i] = Counter{c.key, c.value, c.err}
	}
	slices.SortFunc(all, func(a, b Counter) int { return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Key, b.Key)) })
	return all[:min(most, len(all))]
}

func (t *SpaceSaving) swap(i, k int) {
	t.heap[i], t.heap[k] = t.heap[k], t.heap[i]
	t.at[t.heap[i].key], t.at[t.heap[k].key] = i, k
}

func (t *SpaceSaving) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if t.heap[i].value >= t.heap[p].value {
			return
		}
		t.swap(i, p)
		i = p
	}
}

func (t *SpaceSaving) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(t.heap) {
			return
		}
		if c+1 < len(t.heap) && t.heap[c+1].value < t.heap[c].value {
			c++
		}
		if t.heap[i].value <= t.heap[c].value {
			return
		}
		t.swap(i, c)
		i = c
	}
}
