package quota

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// testFleet is a set of allocations, each with its own drifting clock, and the messages in transit between them.
type testFleet struct {
	limit        Limit
	trueTime     float64 // ms
	allocations  []*Allocation
	clockRates   []float64 // by allocation, relative to trueTime
	clockOffsets []float64
	incarnations uint64
	inTransit    []delivery
	admitted     []float64 // trueTime of each admission
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

func (f *testFleet) peersOf(i int) (peers []string) {
	for k := range f.allocations {
		if k != i {
			peers = append(peers, serverName(k))
		}
	}
	return peers
}

func (f *testFleet) send(from int, messages []Message, delay float64) {
	for _, m := range messages {
		var to int
		if _, err := fmt.Sscanf(m.To, "n%d", &to); err != nil {
			panic(err) // all names come from serverName
		}
		f.inTransit = append(f.inTransit, delivery{from, to, m, f.trueTime + delay})
	}
}

// checkCapacity checks that each server's capacity is consistent and at least its floor, and that the sum is within the limit.
func (f *testFleet) checkCapacity(t interface{ Fatalf(string, ...any) }) {
	sum := 0.0
	for i, s := range f.allocations {
		st := s.State(f.now(i), "", 0)
		if math.Abs(st.Owned-st.Granted+st.Leased-st.Capacity) > 1e-6 && st.Capacity > 0 {
			t.Fatalf("%s: owned %g - granted %g + leased %g differs from capacity %g", serverName(i), st.Owned, st.Granted, st.Leased, st.Capacity)
		}
		if st.Capacity < f.limit.Floor-1e-9 {
			t.Fatalf("%s: capacity %g is below the floor %g", serverName(i), st.Capacity, f.limit.Floor)
		}
		sum += st.Capacity
	}
	if sum > f.limit.Capacity*(1+1e-9) {
		t.Fatalf("at %g ms: sum of capacities is %g, limit is %g", f.trueTime, sum, f.limit.Capacity)
	}
}

// With lost, late and duplicate messages, with servers that crash, stall or restart, and with clocks off by the configured
// drift, the sum of capacities stays within the limit, no server is below its floor, and admissions in any window stay within
// rate and burst.
func TestCapacityHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runSchedule(t, drawSource{
			int:  func(low, high int) int { return rapid.IntRange(low, high).Draw(t, "int") },
			pick: func(of ...float64) float64 { return rapid.SampledFrom(of).Draw(t, "choice") },
		})
	})
}

// Same as TestCapacityHolds, but with fixed seeds, which are checked to cover leases, renewals and late grants.
func TestCapacityHoldsBySeed(t *testing.T) {
	var leased, late, renewed uint64
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		newLeases, lateGrants, renewals := runSchedule(t, drawSource{
			int:  func(low, high int) int { return low + rng.Intn(high-low+1) },
			pick: func(of ...float64) float64 { return of[rng.Intn(len(of))] },
		})
		leased, late, renewed = leased+newLeases, late+lateGrants, renewed+renewals
	}
	if leased < 100 || late < 100 || renewed < 20 {
		t.Errorf("coverage too low: %d leases, %d late grants, %d renewals", leased, late, renewed)
	}
}

// drawSource supplies the random choices of a schedule.
type drawSource struct {
	int  func(low, high int) int
	pick func(of ...float64) float64
}

func runSchedule(t interface{ Fatalf(string, ...any) }, d drawSource) (leased, late, renewed uint64) {
	n := d.int(2, 6)
	limit := Limit{Kind: Rate, Capacity: 100, Burst: 20, Servers: n, Floor: 100 / float64(n) * d.pick(0, 0.2, 0.5),
		MaxLeaseDuration: 1000, ClockDrift: d.pick(0, 1e-3, 0.05)}
	f := newTestFleet(limit, n, int64(d.int(0, 1<<20)))
	stopped := make([]bool, n)
	if d.int(0, 1) == 1 {
		f.trueTime += 3 * limit.MaxLeaseDuration
	}
	hot, lossRate := 0, 0.0
	for range d.int(50, 300) {
		switch d.int(0, 39) {
		case 0:
			f.restart(d.int(0, n-1))
		case 1, 2:
			i := d.int(0, n-1)
			stopped[i] = !stopped[i]
		case 3:
			lossRate = d.pick(0, 0.3, 1)
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
		deliveries := f.inTransit // reordered below; some are lost, duplicated or delayed
		f.inTransit = nil
		f.rng.Shuffle(len(deliveries), func(i, k int) { deliveries[i], deliveries[k] = deliveries[k], deliveries[i] })
		for _, next := range deliveries {
			switch {
			case next.deliverAt > f.trueTime || stopped[next.to]:
				f.inTransit = append(f.inTransit, next)
			case f.rng.Float64() >= lossRate:
				f.send(next.to, f.allocations[next.to].Receive(f.now(next.to), serverName(next.from), next.message), 1)
				if f.rng.Float64() < 0.2 {
					next.deliverAt += d.pick(0, 30, 1500)
					f.inTransit = append(f.inTransit, next)
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

// checkWindows checks the number of admissions in every window of up to 3 s against rate and burst.
func (f *testFleet) checkWindows(t interface{ Fatalf(string, ...any) }) {
	sort.Float64s(f.admitted)
	for i := range f.admitted {
		for k := i; k < len(f.admitted) && f.admitted[k]-f.admitted[i] <= 3000; k++ {
			if n, w := float64(k-i+1), f.admitted[k]-f.admitted[i]; n > f.limit.Capacity*w/1000+f.limit.Burst+1e-6 {
				t.Fatalf("%g items admitted within %g ms, limit is %g per second with a burst of %g", n, w, f.limit.Capacity, f.limit.Burst)
			}
		}
	}
}

// run simulates a connected fleet for some ms. load returns the arrivals per second at a server; messages take 5 ms. The
// admissions of each server are added to served.
func (f *testFleet) run(ms int, load func(i int) float64, served []float64) {
	for range ms {
		f.trueTime++
		for i, s := range f.allocations {
			for arrivals := load(i) / 1000; arrivals > 0; arrivals-- {
				if arrivals < 1 && f.rng.Float64() >= arrivals {
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
		for _, next := range f.inTransit {
			if next.deliverAt <= f.trueTime {
				due = append(due, next)
			} else {
				later = append(later, next)
			}
		}
		f.inTransit = later
		for _, next := range due {
			f.send(next.to, f.allocations[next.to].Receive(f.now(next.to), serverName(next.from), next.message), 5)
		}
	}
}

// A customer whose callers use only one server gets nearly the whole limit, also after they move to another server. Without
// load, all leases are relinquished and no requests are sent.
func TestSkewedDemand(t *testing.T) {
	limit := Limit{Kind: Rate, Capacity: 400, Burst: 40, Servers: 8, Floor: 5, MaxLeaseDuration: DefaultLeaseDuration, ClockDrift: DefaultClockDrift}
	f := newTestFleet(limit, 8, 1)
	f.trueTime += 2 * limit.MaxLeaseDuration // leases of a former incarnation have expired
	for turn, hot := range []int{3, 6} {
		served := make([]float64, 8)
		f.run(2000, func(i int) float64 { return map[bool]float64{true: 500}[i == hot] }, served)
		clear(served)
		f.run(4000, func(i int) float64 { return map[bool]float64{true: 500}[i == hot] }, served)
		available := limit.Capacity - 7*limit.Floor // the others keep their floors
		if share := served[hot] / 4 / available; share < 0.95 {
			t.Errorf("turn %d: the hot server admits %.2f of the available rate, want at least 0.95", turn, share)
		}
	}
	f.run(4000, func(int) float64 { return 0 }, make([]float64, 8))
	for i, s := range f.allocations {
		if st := s.State(f.now(i), "", 0); st.Granted != 0 || st.Leased != 0 {
			t.Errorf("%s without load: leases remain: %+v", serverName(i), st)
		}
		before := s.Counts.Requested
		f.run(500, func(int) float64 { return 0 }, make([]float64, 8))
		if s.Counts.Requested != before {
			t.Errorf("%s sends requests without load", serverName(i))
		}
	}
	f.checkWindows(t)
}

// A partitioned server keeps the owned capacity that it did not grant, and uses no lease after a stop that is longer than the
// lease. A restarted server has only its floor.
func TestPartitionedAndStopped(t *testing.T) {
	limit := Limit{Kind: Rate, Capacity: 100, Burst: 10, Servers: 2, Floor: 10, MaxLeaseDuration: 1000, ClockDrift: 1e-3}
	f := newTestFleet(limit, 2, 2)
	f.trueTime += 3000
	f.run(3000, func(i int) float64 { return map[bool]float64{true: 200}[i == 0] }, make([]float64, 2))
	before := f.allocations[0].State(f.now(0), "", 0)
	if before.Capacity < 70 {
		t.Fatalf("holder before the partition: got %+v, want a capacity of at least 70", before)
	}
	f.inTransit = nil // partitioned
	f.trueTime += 1500
	if st := f.allocations[0].State(f.now(0), "", 0); st.Capacity != 50 || st.Leased != 0 {
		t.Errorf("holder after the lease expired: got %+v, want its own capacity of 50 only", st)
	}
	f.trueTime += 1500
	if st := f.allocations[1].State(f.now(1), "", 0); st.Capacity != 50 {
		t.Errorf("grantor after the lease expired: got %+v, want a capacity of 50", st)
	}
	f.restart(1) // the new incarnation does not know which leases it granted
	if st := f.allocations[1].State(f.now(1), "", 0); st.Capacity != limit.Floor {
		t.Errorf("grantor after a restart: got %+v, want a capacity equal to the floor", st)
	}
}

// A lease on a concurrency limit is not used for items that may stay in flight past its end, and duplicate requests and grants
// have no effect.
func TestConcurrency(t *testing.T) {
	limit := Limit{Kind: Concurrency, Capacity: 20, Servers: 2, Floor: 2, MaxLeaseDuration: 1000, ClockDrift: 0}
	a, b := New(limit, 1, 1, 0), New(limit, 2, 2, 0)
	now := 2000.0
	for range 10 {
		if !a.TryAcquire(now, 1, 1, 500) {
			t.Fatal("item within the owned capacity rejected")
		}
	}
	if a.TryAcquire(now, 1, 1, 500) {
		t.Error("item beyond the owned capacity admitted")
	}
	for range 20 {
		a.TryAcquire(now, 1, 1, 500)
	}
	requests := a.Tick(now, []string{"b"})
	if len(requests) != 1 || requests[0].Kind != Request {
		t.Fatalf("messages of the tick: got %+v, want one request", requests)
	}
	grant := b.Receive(now, "a", requests[0])
	again := b.Receive(now, "a", requests[0])
	if grant[0] != again[0] || len(b.granted) != 1 {
		t.Errorf("duplicate request: first answer %+v, second answer %+v, want equal answers and one lease", grant, again)
	}
	a.Receive(now+10, "b", grant[0])
	a.Receive(now+20, "b", grant[0])
	if st := a.State(now+20, "", 0); st.Leased != grant[0].Amount {
		t.Errorf("state after a duplicate grant: got %+v, want one lease", st)
	}
	if !a.TryAcquire(now+20, 1, 1, 500) {
		t.Error("item rejected although the lease lasts long enough")
	}
	if a.TryAcquire(now+600, 1, 1, 500) {
		t.Error("admitted an item that may stay in flight past the end of the lease")
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
