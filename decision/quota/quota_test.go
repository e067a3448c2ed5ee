package quota

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// testFleet is some allocations, each with its own drifting clock, and messages in transit between them.
type testFleet struct {
	limit        Limit
	trueTime     float64 // true ms
	allocations  []*Allocation
	clockRates   []float64 // of each clock
	clockOffsets []float64
	incarnations uint64
	inTransit    []delivery
	admitted     []float64 // true times of admissions
	rng          *rand.Rand
}

type delivery struct {
	from, to  int
	message   Message
	deliverAt float64
}

func newTestFleet(limit Limit, n int, seed int64) *testFleet {
	f := &testFleet{limit: limit, rng: rand.New(rand.NewSource(seed))}
	for i := range n {
		f.clockRates = append(f.clockRates, 1+limit.ClockDrift*0.999*(2*f.rng.Float64()-1))
		f.clockOffsets = append(f.clockOffsets, 1e6*f.rng.Float64())
		f.allocations = append(f.allocations, nil)
		f.restart(i)
	}
	return f
}

func (f *testFleet) now(i int) float64 { return f.clockOffsets[i] + f.trueTime*f.clockRates[i] }

func (f *testFleet) restart(i int) {
	f.incarnations++
	f.allocations[i] = New(f.limit, f.incarnations, int64(f.incarnations), f.now(i))
}

func serverName(i int) string { return fmt.Sprint("n", i) }

func (f *testFleet) peersOf(i int) (all []string) {
	for k := range f.allocations {
		if k != i {
			all = append(all, serverName(k))
		}
	}
	return all
}

func (f *testFleet) send(from int, all []Message, delay float64) {
	for _, m := range all {
		var to int
		if _, err := fmt.Sscanf(m.To, "n%d", &to); err != nil {
			panic(err) // serverName wrote it
		}
		f.inTransit = append(f.inTransit, delivery{from, to, m, f.trueTime + delay})
	}
}

// checkCapacity checks what all may use at this moment, the time of a lease's end included on both sides.
func (f *testFleet) checkCapacity(t interface{ Fatalf(string, ...any) }) {
	sum := 0.0
	for i, s := range f.allocations {
		st := s.State(f.now(i), "", 0)
		if math.Abs(st.Owned-st.Granted+st.Leased-st.Capacity) > 1e-6 && st.Capacity > 0 {
			t.Fatalf("%s: owned %g - granted %g + leased %g is not its capacity %g", serverName(i), st.Owned, st.Granted, st.Leased, st.Capacity)
		}
		if st.Capacity < f.limit.Floor-1e-9 {
			t.Fatalf("%s: a capacity of %g, under its floor %g", serverName(i), st.Capacity, f.limit.Floor)
		}
		sum += st.Capacity
	}
	if sum > f.limit.Capacity*(1+1e-9) {
		t.Fatalf("at %g ms the capacities sum to %g of %g", f.trueTime, sum, f.limit.Capacity)
	}
}

// Whatever messages are lost, late or doubled, whoever crashes, stalls or restarts, with clocks off by the stated drift:
// capacities sum to the limit at most, nobody is under its floor, and admissions in any window stay within rate and burst.
func TestCapacityHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runSchedule(t, drawSource{
			int:  func(low, high int) int { return rapid.IntRange(low, high).Draw(t, "n") },
			pick: func(of ...float64) float64 { return rapid.SampledFrom(of).Draw(t, "x") },
		})
	})
}

// The same from fixed seeds, which cover enough each time: leases, their renewals, and answers that come too late.
func TestCapacityHoldsBySeed(t *testing.T) {
	var leased, late, renewed uint64
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		b, l, r := runSchedule(t, drawSource{
			int:  func(low, high int) int { return low + rng.Intn(high-low+1) },
			pick: func(of ...float64) float64 { return of[rng.Intn(len(of))] },
		})
		leased, late, renewed = leased+b, late+l, renewed+r
	}
	if leased < 100 || late < 100 || renewed < 20 {
		t.Errorf("%d leases, %d answers that came late, %d renewals: the runs cover too little", leased, late, renewed)
	}
}

// drawSource is where a schedule's randomness comes from.
type drawSource struct {
	int  func(low, high int) int
	pick func(of ...float64) float64
}

func runSchedule(t interface{ Fatalf(string, ...any) }, d drawSource) (leased, late, renewed uint64) {
	n := d.int(2, 6)
	r := Limit{Kind: Rate, Capacity: 100, Burst: 20, Servers: n, Floor: 100 / float64(n) * d.pick(0, 0.2, 0.5),
		MaxLeaseDuration: 1000, ClockDrift: d.pick(0, 1e-3, 0.05)}
	f := newTestFleet(r, n, int64(d.int(0, 1<<20)))
	stopped := make([]bool, n)
	if d.int(0, 1) == 1 {
		f.trueTime += 3 * r.MaxLeaseDuration
	}
	hot, bad := 0, 0.0
	for range d.int(50, 300) {
		switch d.int(0, 39) {
		case 0:
			f.restart(d.int(0, n-1)) // and back at once
		case 1, 2:
			i := d.int(0, n-1)
			stopped[i] = !stopped[i]
		case 3:
			bad = d.pick(0, 0.3, 1)
		case 4:
			hot = d.int(0, n-1)
		case 5:
			f.trueTime += d.pick(200, 900, 2500)
		}
		for i, s := range f.allocations {
			if stopped[i] {
				continue
			}
			load := 0
			if i == hot {
				load = 10
			} else if f.rng.Float64() < 0.1 {
				load = 1
			}
			for range load {
				if s.TryAcquire(f.now(i), 1, 1, 0) {
					f.admitted = append(f.admitted, f.trueTime)
				}
			}
			f.send(i, s.Tick(f.now(i), f.peersOf(i)), d.pick(1, 1, 1, 40, 700, 2000))
		}
		way := f.inTransit // messages arrive in any order; some not, some twice, some much later
		f.inTransit = nil
		f.rng.Shuffle(len(way), func(i, k int) { way[i], way[k] = way[k], way[i] })
		for _, x := range way {
			switch {
			case x.deliverAt > f.trueTime || stopped[x.to]:
				f.inTransit = append(f.inTransit, x)
			case f.rng.Float64() >= bad:
				f.send(x.to, f.allocations[x.to].Receive(f.now(x.to), serverName(x.from), x.message), 1)
				if f.rng.Float64() < 0.2 {
					x.deliverAt += d.pick(0, 30, 1500)
					f.inTransit = append(f.inTransit, x)
				}
			}
		}
		f.trueTime += d.pick(1, 10, 30, 60)
		f.checkCapacity(t)
	}
	f.checkWindows(t)
	for _, s := range f.allocations {
		leased, late, renewed = leased+s.Counts.Leased, late+s.Counts.LateGrants, renewed+s.Counts.Renewed
	}
	return leased, late, renewed
}

// checkWindows checks any window of admissions, starting at each admission.
func (f *testFleet) checkWindows(t interface{ Fatalf(string, ...any) }) {
	sort.Float64s(f.admitted)
	for i := range f.admitted {
		for k := i; k < len(f.admitted) && f.admitted[k]-f.admitted[i] <= 3000; k++ {
			if n, w := float64(k-i+1), f.admitted[k]-f.admitted[i]; n > f.limit.Capacity*w/1000+f.limit.Burst+1e-6 {
				t.Fatalf("%g taken within %g ms, of %g a second and %g", n, w, f.limit.Capacity, f.limit.Burst)
			}
		}
	}
}

// run lets a connected fleet work: each ms, each server gets the arrivals of load; messages take 5 ms.
func (f *testFleet) run(ms int, load func(i int) float64, served []float64) {
	for range ms {
		f.trueTime++
		for i, s := range f.allocations {
			for x := load(i) / 1000; x > 0; x-- {
				if x < 1 && f.rng.Float64() >= x {
					break
				}
				if s.TryAcquire(f.now(i), 1, 1, 0) {
					served[i]++
					f.admitted = append(f.admitted, f.trueTime)
				}
			}
			if int(f.trueTime)%50 == i%50 {
				f.send(i, s.Tick(f.now(i), f.peersOf(i)), 5)
			}
		}
		later := f.inTransit[:0]
		due := []delivery{}
		for _, x := range f.inTransit {
			if x.deliverAt <= f.trueTime {
				due = append(due, x)
			} else {
				later = append(later, x)
			}
		}
		f.inTransit = later
		for _, x := range due {
			f.send(x.to, f.allocations[x.to].Receive(f.now(x.to), serverName(x.from), x.message), 5)
		}
	}
}

// A customer whose callers stick to one server gets nearly all of the limit, also after they have moved; leases are given
// back; at rest no messages are sent.
func TestSkewedDemand(t *testing.T) {
	r := Limit{Kind: Rate, Capacity: 400, Burst: 40, Servers: 8, Floor: 5, MaxLeaseDuration: DefaultLeaseDuration, ClockDrift: DefaultClockDrift}
	f := newTestFleet(r, 8, 1)
	f.trueTime += 2 * r.MaxLeaseDuration // what a former incarnation may have granted has expired
	for turn, hot := range []int{3, 6} {
		served := make([]float64, 8)
		f.run(2000, func(i int) float64 { return map[bool]float64{true: 500}[i == hot] }, served)
		clear(served)
		f.run(4000, func(i int) float64 { return map[bool]float64{true: 500}[i == hot] }, served)
		most := r.Capacity - 7*r.Floor // the others keep their floors
		if share := served[hot] / 4 / most; share < 0.95 {
			t.Errorf("turn %d: the hot server serves %.2f of what it can", turn, share)
		}
	}
	f.run(4000, func(int) float64 { return 0 }, make([]float64, 8))
	for i, s := range f.allocations {
		if st := s.State(f.now(i), "", 0); st.Granted != 0 || st.Leased != 0 {
			t.Errorf("%s at rest: %+v", serverName(i), st)
		}
		before := s.Counts.Requested
		f.run(500, func(int) float64 { return 0 }, make([]float64, 8))
		if s.Counts.Requested != before {
			t.Errorf("%s requests though nothing is needed", serverName(i))
		}
	}
	f.checkWindows(t)
}

// Partitioned, a server has its floor and what it did not grant; the first RPC after a stop for longer than a lease does
// not use that.
func TestPartitionedAndStopped(t *testing.T) {
	r := Limit{Kind: Rate, Capacity: 100, Burst: 10, Servers: 2, Floor: 10, MaxLeaseDuration: 1000, ClockDrift: 1e-3}
	f := newTestFleet(r, 2, 2)
	f.trueTime += 3000
	f.run(3000, func(i int) float64 { return map[bool]float64{true: 200}[i == 0] }, make([]float64, 2))
	before := f.allocations[0].State(f.now(0), "", 0)
	if before.Capacity < 70 {
		t.Fatalf("it leased little: %+v", before)
	}
	f.inTransit = nil // partitioned
	f.trueTime += 1500
	if st := f.allocations[0].State(f.now(0), "", 0); st.Capacity != 50 || st.Leased != 0 {
		t.Errorf("after the lease expired: %+v", st)
	}
	f.trueTime += 1500
	if st := f.allocations[1].State(f.now(1), "", 0); st.Capacity != 50 {
		t.Errorf("the grantor: %+v", st)
	}
	f.restart(1) // killed and restarted: it can't know what it granted
	if st := f.allocations[1].State(f.now(1), "", 0); st.Capacity != r.Floor {
		t.Errorf("after a restart: %+v", st)
	}
}

// Leases on a concurrency limit are not used by what may stay in flight past their end.
func TestConcurrency(t *testing.T) {
	r := Limit{Kind: Concurrency, Capacity: 20, Servers: 2, Floor: 2, MaxLeaseDuration: 1000, ClockDrift: 0}
	a, b := New(r, 1, 1, 0), New(r, 2, 2, 0)
	now := 2000.0
	for range 10 {
		if !a.TryAcquire(now, 1, 1, 500) {
			t.Fatal("its own capacity")
		}
	}
	if a.TryAcquire(now, 1, 1, 500) {
		t.Error("more than its capacity")
	}
	for range 20 {
		a.TryAcquire(now, 1, 1, 500)
	}
	requests := a.Tick(now, []string{"b"})
	if len(requests) != 1 || requests[0].Kind != Request {
		t.Fatalf("%+v", requests)
	}
	grant := b.Receive(now, "a", requests[0])
	again := b.Receive(now, "a", requests[0])
	if grant[0] != again[0] || len(b.granted) != 1 {
		t.Errorf("the same request got a second lease: %+v %+v", grant, again)
	}
	a.Receive(now+10, "b", grant[0])
	a.Receive(now+20, "b", grant[0])
	if st := a.State(now+20, "", 0); st.Leased != grant[0].Amount {
		t.Errorf("a grant that came twice: %+v", st)
	}
	if !a.TryAcquire(now+20, 1, 1, 500) {
		t.Error("the lease lasts long enough")
	}
	if a.TryAcquire(now+600, 1, 1, 500) {
		t.Error("it could stay in flight past the lease's end")
	}
}

func BenchmarkTryAcquire(b *testing.B) {
	s := New(Limit{Kind: Rate, Capacity: 1e9, Burst: 1e9, Servers: 1, MaxLeaseDuration: 1000, ClockDrift: 1e-3}, 1, 1, 0)
	now := 5000.0
	b.ReportAllocs()
	for b.Loop() {
		now += 0.01
		s.TryAcquire(now, 1, 1, 0)
	}
}
