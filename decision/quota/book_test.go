package quota

import (
	"fmt"
	"runtime"
	"testing"
)

func customers(r Limit) func(string) (Limit, bool) {
	return func(key string) (Limit, bool) { return r, key[0] == 'c' }
}

// A part that leaves the table and comes back has gained nothing by it, and its asks have numbers that no other had.
func TestBookForgetsNoLoan(t *testing.T) {
	r := Limit{Kind: Rate, Capacity: 100, Burst: 10, Servers: 2, Floor: 5, MaxLeaseDuration: 1000, ClockDrift: 1e-3}
	b := NewLedger(7, 1, 0, customers(r))
	now := 20e3
	if got := b.Receive(now, "p", KeyedMessage{"c-lent", Message{Kind: Request, To: "b", RequestID: 1, Incarnation: 3, Amount: 40}}); got[0].Kind != Grant {
		t.Fatalf("%+v", got)
	}
	for i := range 3 * mostParts {
		if i == mostParts/2 {
			now += 2 * idleFor
			if got := b.Receive(now, "p", KeyedMessage{"c-lent", Message{Kind: Request, To: "b", RequestID: 2, Incarnation: 3, Amount: 40}}); got[0].Kind != Grant {
				t.Fatalf("%+v", got)
			}
		}
		b.TryAcquire(now, fmt.Sprint("c", i), 1, 0)
		if i%100 == 0 {
			now += 50
		}
	}
	if b.Size() > mostParts {
		t.Errorf("%d parts", b.Size())
	}
	for _, e := range b.order {
		if b.parts[e.key] != e {
			t.Fatalf("%s is in one of the two tables only", e.key)
		}
	}
	if _, is, _ := b.TryAcquire(now, "other", 1, 0); is {
		t.Error("a bound that nobody set")
	}
	b.Disable()
	if ok, is, _ := b.TryAcquire(now, "c1", 1, 0); ok || !is || b.Capacity(now, "c1") != 0 {
		t.Error("another bears the name, and the part is still used")
	}
}

// Only a part whose bucket is full leaves the table, so that it comes back no fuller.
func TestBookDropsFullBucketsOnly(t *testing.T) {
	r := Limit{Kind: Rate, Capacity: 1, Burst: 10, Servers: 1, MaxLeaseDuration: 1000}
	b := NewLedger(7, 1, 0, customers(r))
	now := 100e3
	for i := range mostParts {
		for range 10 {
			if ok, _, _ := b.TryAcquire(now, fmt.Sprint("c", i), 1, 0); !ok {
				t.Fatal("a burst of 10")
			}
		}
	}
	now += 2 * idleFor // four of ten are back
	if ok, is, _ := b.TryAcquire(now, "c-new", 1, 0); ok || !is || b.Overflows != 1 {
		t.Error("a part left the table with a bucket that was not full")
	}
	now += 8e3
	if ok, _, _ := b.TryAcquire(now, "c-new", 1, 0); !ok {
		t.Error("no part left the table")
	}
}

// New rules while loans are out: the lender's part is never under nothing, and the sum is within the larger bound.
func TestSetWhileLent(t *testing.T) {
	r := Limit{Kind: Rate, Capacity: 100, Burst: 10, Servers: 2, Floor: 5, MaxLeaseDuration: 1000}
	a, b := New(r, 1, 1, 0), New(r, 2, 2, 0)
	now := 3000.0
	for range 400 {
		now += 5
		a.TryAcquire(now, 1, 1, 0)
		for _, m := range a.Tick(now, []string{"b"}) {
			for _, g := range b.Receive(now, "a", m) {
				a.Receive(now, "b", g)
			}
		}
	}
	low := r
	low.Capacity, low.Burst = 20, 4
	b.Update(now, low)
	x, y := a.State(now, "a", 9), b.State(now, "b", 9)
	if x.Leased < 40 || y.Capacity != 0 || x.Capacity+y.Capacity > r.Capacity {
		t.Fatalf("%+v %+v", x, y)
	}
	a.Update(now, low)
	for range 400 { // it asks again for what it no longer has a right to
		now += 5
		a.TryAcquire(now, 1, 1, 0)
		for _, m := range a.Tick(now, []string{"b"}) {
			for _, g := range b.Receive(now, "a", m) {
				a.Receive(now, "b", g)
			}
		}
	}
	if x, y := a.State(now, "a", 9), b.State(now, "b", 9); x.Capacity+y.Capacity > low.Capacity+1e-9 || y.Capacity < low.Floor-1e-9 {
		t.Errorf("a loan later: %+v %+v", x, y)
	}
}

// A hundred thousand customers, of which each sends now and then: the table stays bounded, and a customer costs so much.
func TestManyCustomers(t *testing.T) {
	r := Limit{Kind: Rate, Capacity: 100, Burst: 400, Servers: 300, Floor: 0.01, MaxLeaseDuration: DefaultLeaseDuration, ClockDrift: DefaultClockDrift}
	b := NewLedger(7, 1, 0, customers(r))
	keys := make([]string, 100000)
	for i := range keys {
		keys[i] = fmt.Sprint("c", i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now, turned := 10e3, 0
	for i := range 300000 {
		if ok, _, _ := b.TryAcquire(now, keys[i*7919%len(keys)], 1, 0); !ok {
			turned++
		}
		now += 2 // 500 a second, each customer every 200 s
		if i%50 == 0 {
			b.Tick(now, nil)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(b.Size())
	t.Logf("%d parts in the table, %.0f bytes each; %d turned away, %d found no place", b.Size(), each, turned, b.Overflows)
	if b.Size() > mostParts || turned > 0 || each > 1000 {
		t.Errorf("%d parts, %.0f bytes each, %d turned away", b.Size(), each, turned)
	}
	runtime.KeepAlive(b)
}
