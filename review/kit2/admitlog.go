package main

import (
	"slices"
	"sync"
	"time"
)

// admitLog has the times at which the RPCs were sent that were answered ok.
type admitLog struct {
	mu   sync.Mutex
	sent []time.Time
}

func (g *admitLog) add(sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent = append(g.sent, sent)
}

// mostBeyond returns by how many they went beyond a rate a second at the most, over any time: what a bound's burst has to cover.
func (g *admitLog) mostBeyond(rate float64) (most float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slices.SortFunc(g.sent, time.Time.Compare)
	level := 0.0
	for i, t := range g.sent {
		if i > 0 {
			level = max(0, level-t.Sub(g.sent[i-1]).Seconds()*rate)
		}
		level++
		most = max(most, level)
	}
	return most
}
