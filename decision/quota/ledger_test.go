package quota

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
)

func customerLimits(limit Limit) func(string) (Limit, bool) {
	return func(key string) (Limit, bool) { return limit, key[0] == 'c' }
}

// With three times as many keys as the table holds, the table stays bounded and consistent, and leases are granted before and
// after evictions. A disabled ledger admits nothing.
func TestLedgerManyKeys(t *testing.T) {
	limit := Limit{Kind: Rate, Capacity: 100, Burst: 10, Servers: 2, Floor: 5, MaxLeaseDuration: 1000, ClockDrift: 1e-3}
	ledger := NewLedger(7, 1, 0, customerLimits(limit))
	now := 20e3
	if got := ledger.Receive(now, "p", KeyedMessage{"c-lent", Message{Kind: Request, To: "b", RequestID: 1, Incarnation: 3, Amount: 40}}); got[0].Kind != Grant {
		t.Fatalf("first request: got %+v, want a grant", got)
	}
	for i := range 3 * maxAllocations {
		if i == maxAllocations/2 {
			now += 2 * idleTimeout
			if got := ledger.Receive(now, "p", KeyedMessage{"c-lent", Message{Kind: Request, To: "b", RequestID: 2, Incarnation: 3, Amount: 40}}); got[0].Kind != Grant {
				t.Fatalf("second request: got %+v, want a grant", got)
			}
		}
		ledger.TryAcquire(now, fmt.Sprint("c", i), 1, 0)
		if i%100 == 0 {
			now += 50
		}
	}
	if ledger.Size() > maxAllocations {
		t.Errorf("table size: got %d allocations, want at most maxAllocations", ledger.Size())
	}
	for _, e := range ledger.entries {
		if ledger.byKey[e.key] != e {
			t.Fatalf("byKey and entries differ for key %s", e.key)
		}
	}
	if _, limited, _ := ledger.TryAcquire(now, "other", 1, 0); limited {
		t.Error("limit reported for a key without a limit")
	}
	ledger.Disable()
	if ok, limited, _ := ledger.TryAcquire(now, "c1", 1, 0); ok || !limited || ledger.Capacity(now, "c1") != 0 {
		t.Error("disabled ledger still admits items or reports capacity")
	}
}

// Only an allocation with a full bucket is evicted: its successor starts with a full bucket and must not gain tokens by that.
func TestLedgerEvictsFullBucketsOnly(t *testing.T) {
	limit := Limit{Kind: Rate, Capacity: 1, Burst: 10, Servers: 1, MaxLeaseDuration: 1000}
	ledger := NewLedger(7, 1, 0, customerLimits(limit))
	now := 100e3
	for i := range maxAllocations {
		for range 10 {
			if ok, _, _ := ledger.TryAcquire(now, fmt.Sprint("c", i), 1, 0); !ok {
				t.Fatal("item within the burst of 10 rejected")
			}
		}
	}
	now += 2 * idleTimeout // four of ten tokens are refilled
	if ok, limited, _ := ledger.TryAcquire(now, "c-new", 1, 0); ok || !limited || ledger.Overflows != 1 {
		t.Error("allocation with a bucket that was not full was evicted")
	}
	now += 8e3
	if ok, _, _ := ledger.TryAcquire(now, "c-new", 1, 0); !ok {
		t.Error("no allocation was evicted although all buckets are full")
	}
}

// If the limit changes while leases exist, the grantor's capacity is never below 0 and the sum stays within the larger limit.
func TestUpdateWhileLeased(t *testing.T) {
	limit := Limit{Kind: Rate, Capacity: 100, Burst: 10, Servers: 2, Floor: 5, MaxLeaseDuration: 1000}
	a, b := New(limit, 1, 1, 0), New(limit, 2, 2, 0)
	now := 3000.0
	for range 400 {
		now += 5
		a.TryAcquire(now, 1, 1, 0)
		for _, request := range a.Tick(now, []string{"b"}) {
			for _, reply := range b.Receive(now, "a", request) {
				a.Receive(now, "b", reply)
			}
		}
	}
	low := limit
	low.Capacity, low.Burst = 20, 4
	b.Update(now, low)
	holder, grantor := a.State(now, "a", 9), b.State(now, "b", 9)
	if holder.Leased < 40 || grantor.Capacity != 0 || holder.Capacity+grantor.Capacity > limit.Capacity {
		t.Fatalf("after the grantor's update: holder %+v, grantor %+v", holder, grantor)
	}
	a.Update(now, low)
	for range 400 { // the holder keeps requesting more than the new limit allows
		now += 5
		a.TryAcquire(now, 1, 1, 0)
		for _, request := range a.Tick(now, []string{"b"}) {
			for _, reply := range b.Receive(now, "a", request) {
				a.Receive(now, "b", reply)
			}
		}
	}
	if holder, grantor := a.State(now, "a", 9), b.State(now, "b", 9); holder.Capacity+grantor.Capacity > low.Capacity+1e-9 || grantor.Capacity < low.Floor-1e-9 {
		t.Errorf("after both updates and a lease duration: holder %+v, grantor %+v", holder, grantor)
	}
}

// With a hundred thousand customers that each send rarely, the table and the memory per allocation stay bounded.
func TestManyCustomers(t *testing.T) {
	limit := Limit{Kind: Rate, Capacity: 100, Burst: 400, Servers: 300, Floor: 0.01, MaxLeaseDuration: DefaultLeaseDuration, ClockDrift: DefaultClockDrift}
	ledger := NewLedger(7, 1, 0, customerLimits(limit))
	keys := make([]string, 100000)
	for i := range keys {
		keys[i] = fmt.Sprint("c", i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now, rejected := 10e3, 0
	for i := range 300000 {
		if ok, _, _ := ledger.TryAcquire(now, keys[i*7919%len(keys)], 1, 0); !ok {
			rejected++
		}
		now += 2 // 500 RPCs per second, one per customer every 200 s
		if i%50 == 0 {
			ledger.Tick(now, nil)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(ledger.Size())
	t.Logf("%d allocations, %.0f bytes each; %d rejected, %d overflows", ledger.Size(), each, rejected, ledger.Overflows)
	if ledger.Size() > maxAllocations || rejected > 0 || each > 1000 {
		t.Errorf("got %d allocations, %.0f bytes each, %d rejected; want at most maxAllocations, 1000 bytes, 0 rejected", ledger.Size(), each, rejected)
	}
	runtime.KeepAlive(ledger)
}

// Fleet status prints allocations as JSON under these names.
func TestAllocationStatusJSON(t *testing.T) {
	got, err := json.Marshal(AllocationStatus{
		Key:  "k",
		Kind: Concurrency,
		AllocationState: AllocationState{
			Owned: 1, Floor: 2, Granted: 3, Leased: 4, Capacity: 5, Usage: 6, UnmetDemand: 7, InFlight: 8,
			Leases:     []LeaseState{{From: "f", To: "t", Amount: 9, Remaining: 10}},
			LastDenial: Denial{By: "b", Reason: TooManyLeases, Age: 11},
		},
		Counts: Counts{Admitted: 1, Rejected: 2, Requested: 3, Granted: 4, Denied: 5, Leased: 6, Released: 7, LateGrants: 8, Renewed: 9},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Key":"k","Kind":1,"Own":1,"Floor":2,"Lent":3,"Borrowed":4,"Part":5,"Use":6,"Need":7,"InHand":8,` +
		`"Loans":[{"From":"f","To":"t","Amount":9,"For":10}],"Refused":{"By":"b","Why":3,"Ago":11},` +
		`"Counts":{"Taken":1,"Turned":2,"Asked":3,"Granted":4,"Denied":5,"Borrowed":6,"Returned":7,"Late":8,"Renewed":9}}`
	if string(got) != want {
		t.Errorf("JSON: got %s\nwant %s", got, want)
	}
}
