package fleetsim

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// listQueue is the reference for updateQueue: a list that is scanned for each packet.
type listQueue []struct {
	update
	sent int
}

func (n *listQueue) add(u update) {
	*n = slices.DeleteFunc(*n, func(x struct {
		update
		sent int
	}) bool {
		return x.subject == u.subject && (x.state == heartbeat) == (u.state == heartbeat)
	})
	*n = append(*n, struct {
		update
		sent int
	}{u, 0})
}

func (n *listQueue) take(most, limit int) (out []update) {
	for sent := range limit {
		for i := range *n {
			if x := &(*n)[i]; x.sent == sent && len(out) < most && (x.state != heartbeat || sent < (limit+1)/2) {
				out = append(out, x.update)
				x.sent = -1 - sent // not met again in this packet
			}
		}
	}
	keep := (*n)[:0]
	for _, x := range *n {
		if x.sent < 0 {
			x.sent = -x.sent
		}
		if x.sent < limit && (x.state != heartbeat || x.sent < (limit+1)/2) {
			keep = append(keep, x)
		}
	}
	*n = keep
	return out
}

// Both queues give the same updates for the same calls.
func TestUpdateQueue(t *testing.T) {
	sorted := func(u []update) []update {
		slices.SortFunc(u, func(a, b update) int {
			return (int(a.subject)*16 + int(a.state)) - (int(b.subject)*16 + int(b.state))
		})
		return u
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var fast updateQueue
		var plain listQueue
		fast.reset(10, 30)
		limit, most := 1+rng.IntN(12), 100
		for step := range 500 {
			if rng.IntN(2) == 0 {
				u := update{subject: 10 + rng.Int32N(30), version: uint32(step), state: []memberState{alive, suspect, dead, heartbeat}[rng.IntN(4)]}
				fast.add(u)
				plain.add(u)
			} else if a, b := sorted(fast.take(nil, most, limit)), sorted(plain.take(most, limit)); !slices.Equal(a, b) {
				t.Fatalf("seed %d, step %d: %v, and by the plain list %v", seed, step, a, b)
			}
			if fast.pending != len(plain) || fast.stored > 2*fast.pending+64+60 {
				t.Fatalf("seed %d, step %d: %d live, %d held; %d in the plain list", seed, step, fast.pending, fast.stored, len(plain))
			}
		}
	}
}

func BenchmarkUpdateQueue(b *testing.B) {
	const servers = 1000
	fill := func(put func(update)) {
		for i := range int32(servers) {
			put(update{subject: i, state: alive})
		}
	}
	b.Run("buckets", func(b *testing.B) {
		var n updateQueue
		n.reset(0, servers)
		fill(n.add)
		into := make([]update, 0, updatesPerPacket)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			n.add(update{subject: int32(i) % servers, state: alive})
			n.take(into, updatesPerPacket, 12)
		}
	})
	b.Run("plain", func(b *testing.B) {
		var n listQueue
		fill(n.add)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			n.add(update{subject: int32(i) % servers, state: alive})
			n.take(updatesPerPacket, 12)
		}
	})
}
