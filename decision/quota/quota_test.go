package quota

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// fleet is some shares on a true clock, each with its own, and messages on their way between them.
type fleet struct {
	r      Limit
	at     float64 // true ms
	all    []*Allocation
	rate   []float64 // of each clock
	base   []float64
	lives  uint64
	way    []sent
	taken  []float64 // true times at which one was taken
	held   [][]float64
	chance *rand.Rand
}

type sent struct {
	from, to int
	m        Message
	due      float64
}

func newFleet(r Limit, n int, seed int64) *fleet {
	f := &fleet{r: r, chance: rand.New(rand.NewSource(seed))}
	for i := range n {
		f.rate = append(f.rate, 1+r.ClockDrift*0.999*(2*f.chance.Float64()-1))
		f.base = append(f.base, 1e6*f.chance.Float64())
		f.all = append(f.all, nil)
		f.held = append(f.held, nil)
		f.start(i)
	}
	return f
}

func (f *fleet) now(i int) float64 { return f.base[i] + f.at*f.rate[i] }

func (f *fleet) start(i int) {
	f.lives++
	f.all[i] = New(f.r, f.lives, int64(f.lives), f.now(i))
}

func name(i int) string { return fmt.Sprint("n", i) }

func (f *fleet) others(i int) (all []string) {
	for k := range f.all {
		if k != i {
			all = append(all, name(k))
		}
	}
	return all
}

func (f *fleet) send(from int, all []Message, delay float64) {
	for _, m := range all {
		var to int
		fmt.Sscanf(m.To, "n%d", &to)
		f.way = append(f.way, sent{from, to, m, f.at + delay})
	}
}

// sums tells what all may use at this moment, the time of a loan's end included on both sides.
func (f *fleet) check(t interface{ Fatalf(string, ...any) }) {
	sum := 0.0
	for i, s := range f.all {
		st := s.State(f.now(i), "", 0)
		if math.Abs(st.Owned-st.Granted+st.Leased-st.Capacity) > 1e-6 && st.Capacity > 0 {
			t.Fatalf("%s: own %g - lent %g + borrowed %g is not its part %g", name(i), st.Owned, st.Granted, st.Leased, st.Capacity)
		}
		if st.Capacity < f.r.Floor-1e-9 {
			t.Fatalf("%s: a part of %g, under its floor %g", name(i), st.Capacity, f.r.Floor)
		}
		sum += st.Capacity
	}
	if sum > f.r.Capacity*(1+1e-9) {
		t.Fatalf("at %g ms the parts sum to %g of %g", f.at, sum, f.r.Capacity)
	}
}

// Whatever messages are lost, late or doubled, whoever crashes, stalls or starts anew, with clocks off by the stated drift: parts
// sum to the bound at most, nobody is under its floor, and what is taken in any window stays within bound and burst.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run(t, draws{
			int:  func(low, high int) int { return rapid.IntRange(low, high).Draw(t, "n") },
			pick: func(of ...float64) float64 { return rapid.SampledFrom(of).Draw(t, "x") },
		})
	})
}

// The same from seeds, which show enough each time: loans, their renewals, and answers that come too late.
func TestBoundHoldsBySeed(t *testing.T) {
	var borrowed, late, renewed uint64
	for seed := range int64(300) {
		chance := rand.New(rand.NewSource(seed))
		b, l, r := run(t, draws{
			int:  func(low, high int) int { return low + chance.Intn(high-low+1) },
			pick: func(of ...float64) float64 { return of[chance.Intn(len(of))] },
		})
		borrowed, late, renewed = borrowed+b, late+l, renewed+r
	}
	if borrowed < 100 || late < 100 || renewed < 20 {
		t.Errorf("%d loans, %d answers that came late, %d renewals: the runs show too little", borrowed, late, renewed)
	}
}

// draws are where a run's chance comes from.
type draws struct {
	int  func(low, high int) int
	pick func(of ...float64) float64
}

func run(t interface{ Fatalf(string, ...any) }, d draws) (borrowed, late, renewed uint64) {
	n := d.int(2, 6)
	r := Limit{Kind: Rate, Capacity: 100, Burst: 20, Servers: n, Floor: 100 / float64(n) * d.pick(0, 0.2, 0.5),
		MaxLeaseDuration: 1000, ClockDrift: d.pick(0, 1e-3, 0.05)}
	f := newFleet(r, n, int64(d.int(0, 1<<20)))
	stopped := make([]bool, n)
	if d.int(0, 1) == 1 {
		f.at += 3 * r.MaxLeaseDuration
	}
	hot, bad := 0, 0.0
	for range d.int(50, 300) {
		switch d.int(0, 39) {
		case 0:
			f.start(d.int(0, n-1)) // and back at once
		case 1, 2:
			i := d.int(0, n-1)
			stopped[i] = !stopped[i]
		case 3:
			bad = d.pick(0, 0.3, 1)
		case 4:
			hot = d.int(0, n-1)
		case 5:
			f.at += d.pick(200, 900, 2500)
		}
		for i, s := range f.all {
			if stopped[i] {
				continue
			}
			load := 0
			if i == hot {
				load = 10
			} else if f.chance.Float64() < 0.1 {
				load = 1
			}
			for range load {
				if s.TryAcquire(f.now(i), 1, 1, 0) {
					f.taken = append(f.taken, f.at)
				}
			}
			f.send(i, s.Tick(f.now(i), f.others(i)), d.pick(1, 1, 1, 40, 700, 2000))
		}
		way := f.way // what is due arrives, in any order; some not, some twice, some much later
		f.way = nil
		f.chance.Shuffle(len(way), func(i, k int) { way[i], way[k] = way[k], way[i] })
		for _, x := range way {
			switch {
			case x.due > f.at || stopped[x.to]:
				f.way = append(f.way, x)
			case f.chance.Float64() >= bad:
				f.send(x.to, f.all[x.to].Receive(f.now(x.to), name(x.from), x.m), 1)
				if f.chance.Float64() < 0.2 {
					x.due += d.pick(0, 30, 1500)
					f.way = append(f.way, x)
				}
			}
		}
		f.at += d.pick(1, 10, 30, 60)
		f.check(t)
	}
	f.window(t)
	for _, s := range f.all {
		borrowed, late, renewed = borrowed+s.Counts.Leased, late+s.Counts.LateGrants, renewed+s.Counts.Renewed
	}
	return borrowed, late, renewed
}

// window checks any window of what was taken, starting at each take.
func (f *fleet) window(t interface{ Fatalf(string, ...any) }) {
	sort.Float64s(f.taken)
	for i := range f.taken {
		for k := i; k < len(f.taken) && f.taken[k]-f.taken[i] <= 3000; k++ {
			if n, w := float64(k-i+1), f.taken[k]-f.taken[i]; n > f.r.Capacity*w/1000+f.r.Burst+1e-6 {
				t.Fatalf("%g taken within %g ms, of %g a second and %g", n, w, f.r.Capacity, f.r.Burst)
			}
		}
	}
}

// run lets a fleet work with contact: each ms, each asks for what load says; messages take 5 ms.
func (f *fleet) run(ms int, load func(i int) float64, served []float64) {
	for range ms {
		f.at++
		for i, s := range f.all {
			for x := load(i) / 1000; x > 0; x-- {
				if x < 1 && f.chance.Float64() >= x {
					break
				}
				if s.TryAcquire(f.now(i), 1, 1, 0) {
					served[i]++
					f.taken = append(f.taken, f.at)
				}
			}
			if int(f.at)%50 == i%50 {
				f.send(i, s.Tick(f.now(i), f.others(i)), 5)
			}
		}
		keep := f.way[:0]
		due := []sent{}
		for _, x := range f.way {
			if x.due <= f.at {
				due = append(due, x)
			} else {
				keep = append(keep, x)
			}
		}
		f.way = keep
		for _, x := range due {
			f.send(x.to, f.all[x.to].Receive(f.now(x.to), name(x.from), x.m), 5)
		}
	}
}

// A customer whose callers stick to one server gets nearly all of what is theirs, also after they have moved; what is lent comes
// back; at rest nothing is said.
func TestSkewedNeed(t *testing.T) {
	r := Limit{Kind: Rate, Capacity: 400, Burst: 40, Servers: 8, Floor: 5, MaxLeaseDuration: DefaultLeaseDuration, ClockDrift: DefaultClockDrift}
	f := newFleet(r, 8, 1)
	f.at += 2 * r.MaxLeaseDuration // what a former life may have lent is back
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
	for i, s := range f.all {
		if st := s.State(f.now(i), "", 0); st.Granted != 0 || st.Leased != 0 {
			t.Errorf("%s at rest: %+v", name(i), st)
		}
		before := s.Counts.Requested
		f.run(500, func(int) float64 { return 0 }, make([]float64, 8))
		if s.Counts.Requested != before {
			t.Errorf("%s asks though nothing is needed", name(i))
		}
	}
	f.window(t)
}

// Cut off: the floor and what is not lent; the first RPC after a stop for longer than a loan does not use it.
func TestCutOffAndStopped(t *testing.T) {
	r := Limit{Kind: Rate, Capacity: 100, Burst: 10, Servers: 2, Floor: 10, MaxLeaseDuration: 1000, ClockDrift: 1e-3}
	f := newFleet(r, 2, 2)
	f.at += 3000
	f.run(3000, func(i int) float64 { return map[bool]float64{true: 200}[i == 0] }, make([]float64, 2))
	borrowed := f.all[0].State(f.now(0), "", 0)
	if borrowed.Capacity < 70 {
		t.Fatalf("it borrowed little: %+v", borrowed)
	}
	f.way = nil // cut
	f.at += 1500
	if st := f.all[0].State(f.now(0), "", 0); st.Capacity != 50 || st.Leased != 0 {
		t.Errorf("after the loan's end: %+v", st)
	}
	f.at += 1500
	if st := f.all[1].State(f.now(1), "", 0); st.Capacity != 50 {
		t.Errorf("the lender: %+v", st)
	}
	f.start(1) // killed and back: it can't know what it lent
	if st := f.all[1].State(f.now(1), "", 0); st.Capacity != r.Floor {
		t.Errorf("after a restart: %+v", st)
	}
}

// A stock's loans are not used by what may be held past their end.
func TestStock(t *testing.T) {
	r := Limit{Kind: Concurrency, Capacity: 20, Servers: 2, Floor: 2, MaxLeaseDuration: 1000, ClockDrift: 0}
	a, b := New(r, 1, 1, 0), New(r, 2, 2, 0)
	now := 2000.0
	for range 10 {
		if !a.TryAcquire(now, 1, 1, 500) {
			t.Fatal("its own part")
		}
	}
	if a.TryAcquire(now, 1, 1, 500) {
		t.Error("more than its part")
	}
	for range 20 {
		a.TryAcquire(now, 1, 1, 500)
	}
	asks := a.Tick(now, []string{"b"})
	if len(asks) != 1 || asks[0].Kind != Request {
		t.Fatalf("%+v", asks)
	}
	grant := b.Receive(now, "a", asks[0])
	again := b.Receive(now, "a", asks[0])
	if grant[0] != again[0] || len(b.lent) != 1 {
		t.Errorf("the same ask got a second part: %+v %+v", grant, again)
	}
	a.Receive(now+10, "b", grant[0])
	a.Receive(now+20, "b", grant[0])
	if st := a.State(now+20, "", 0); st.Leased != grant[0].Amount {
		t.Errorf("a grant that came twice: %+v", st)
	}
	if !a.TryAcquire(now+20, 1, 1, 500) {
		t.Error("the loan lasts long enough")
	}
	if a.TryAcquire(now+600, 1, 1, 500) {
		t.Error("it could be held past the loan's end")
	}
}

func BenchmarkTake(b *testing.B) {
	s := New(Limit{Kind: Rate, Capacity: 1e9, Burst: 1e9, Servers: 1, MaxLeaseDuration: 1000, ClockDrift: 1e-3}, 1, 1, 0)
	now := 5000.0
	b.ReportAllocs()
	for b.Loop() {
		now += 0.01
		s.TryAcquire(now, 1, 1, 0)
	}
}
