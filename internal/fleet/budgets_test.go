package fleet

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelvalve/control"
	"sorrelvalve/decision/health"
	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/operator"
)

func TestLeaseMessages(t *testing.T) {
	messages := []quota.KeyedMessage{
		{Key: "quota/a", Message: quota.Message{Kind: quota.Request, RequestID: 7, Incarnation: 1 << 63, Amount: 12.5, PriorityWeight: 3, CurrentCapacity: 0.25, Renews: 6}},
		{Key: "calls/p", Message: quota.Message{Kind: quota.Grant, RequestID: 8, Incarnation: 1, Amount: 1e6, Duration: 4000}},
		{Key: "retries/p", Message: quota.Message{Kind: quota.Deny, RequestID: 9, Incarnation: 2, Reason: quota.Contended}},
	}
	var raw []byte
	for i := range messages {
		raw = appendLease(raw, &messages[i])
	}
	if got, ok := parseLeases(raw); !ok || !reflect.DeepEqual(got, messages) {
		t.Errorf("parsed messages: got %+v, ok %v", got, ok)
	}
	if got, ok := parseLeases(appendLease(raw, &quota.KeyedMessage{Key: "x"})); ok || len(got) != len(messages) {
		t.Errorf("valid messages followed by an invalid one: parsed %d, ok %v", len(got), ok)
	}
	for _, m := range []quota.KeyedMessage{{Key: "", Message: quota.Message{Kind: quota.Request}}, {Key: "x"}, {Key: "x", Message: quota.Message{Kind: quota.Request, Amount: -1}}} {
		if got, ok := parseLeases(appendLease(nil, &m)); ok || len(got) != 0 {
			t.Errorf("invalid message was accepted: %+v", got)
		}
	}
}

func FuzzLeaseMessages(f *testing.F) {
	f.Add(appendLease(nil, &quota.KeyedMessage{Key: "quota/a", Message: quota.Message{Kind: quota.Request, RequestID: 7, Incarnation: 3, Amount: 12.5}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		messages, _ := parseLeases(raw)
		ledger := quota.NewLedger(1, 1, 0, func(string) (quota.Limit, bool) {
			return quota.Limit{Kind: quota.Rate, Capacity: 100, Burst: 10, Servers: 2, Floor: 5, MaxLeaseDuration: 1000}, true
		})
		for i, m := range messages {
			ledger.Receive(2000+float64(i), "p", m)
			if capacity := ledger.Capacity(2000+float64(i), m.Key); capacity < 5-1e-9 || capacity > 50+1e-9 {
				t.Fatalf("capacity: got %g after message %+v, want 5 to 50", capacity, m)
			}
		}
	})
}

// customerQuota returns the budgets of a fleet in which the servers share the quota of one customer.
func customerQuota(bound float64, servers int) *operator.Budgets {
	return &operator.Budgets{Servers: servers, ClockDrift: quota.DefaultClockDrift, Customers: map[string]operator.Budget{
		"acme": {Bound: bound, Burst: 4 * float64(servers), Floor: 2, MaxLeaseMs: 1000},
	}}
}

// admittedRate sends RPCs to one server for a while at a rate above the quota, and returns how many per second were admitted.
func admittedRate(b *Budgets, rate int, length time.Duration) float64 {
	admitted, began := 0, time.Now()
	for sent := 0; time.Since(began) < length; {
		if due := int(time.Since(began).Seconds() * float64(rate)); sent < due {
			sent++
			if status, _ := b.CheckQuota("view", "acme", 1); status == control.WithinQuota {
				admitted++
			}
			continue
		}
		time.Sleep(time.Millisecond)
	}
	return float64(admitted) / length.Seconds()
}

// One of three servers gets nearly all of a quota that the others do not need, and the status shows that. The quota may change while leases are
// held. Customers without a budget are not limited.
func TestQuotaMoves(t *testing.T) {
	defer verifyNoLeaks(t, goleak.IgnoreCurrent())
	addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	var fleet []*Fleet
	var budgets []*Budgets
	for i := range addrs {
		f, err := start(t, &addrs[i], Options{Name: fmt.Sprint("n", i), Seeds: addrs, Log: quiet()})
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		fleet = append(fleet, f)
		budgets = append(budgets, f.ShareBudgets(customerQuota(300, 3)))
	}
	for _, f := range fleet {
		waitFor(t, "complete connectivity", connectivityIs(f, health.Complete, 3))
	}
	if status, _ := budgets[0].CheckQuota("view", "other", 1); status != control.QuotaUnknown {
		t.Error("a customer without a budget is limited")
	}
	admittedRate(budgets[0], 400, 2500*time.Millisecond) // until the leases of a previous incarnation have expired and leases are granted
	if got := admittedRate(budgets[0], 400, time.Second); got < 0.9*296 || got > 300+12 {
		t.Errorf("admitted %g RPCs per second, quota 300", got)
	}
	s := fleet[0].Status()
	if len(s.Budgets.Quotas) != 1 || s.Budgets.Quotas[0].Leased < 150 || len(s.Budgets.Quotas[0].Leases) < 2 {
		t.Errorf("status of the budgets: got %+v", s.Budgets)
	}
	waitFor(t, "fleet counts in the status", func() bool {
		s := fleet[2].Status()
		return len(s.Budgets.FleetCounts) > 0 && s.Budgets.FleetCounts[0].Key == "acme|view" && s.Budgets.FleetCounts[0].Min > 50
	})
	var text strings.Builder
	if err := WriteViews(&text, []Status{s}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "quota/acme") || !strings.Contains(text.String(), " from n") {
		t.Error(text.String())
	}
	for _, b := range budgets {
		b.Set(customerQuota(60, 3))
	}
	admittedRate(budgets[0], 400, 1500*time.Millisecond) // until the leases of the larger quota have expired
	if got := admittedRate(budgets[0], 400, time.Second); got > 60+12 {
		t.Errorf("admitted %g RPCs per second, new quota 60", got)
	}
	// A server that reaches no other keeps at least its own share of the quota, and requests no leases.
	for _, f := range fleet[1:] {
		f.Crash()
	}
	time.Sleep(1200 * time.Millisecond) // longer than a lease
	if got := admittedRate(budgets[0], 400, time.Second); got < 2 || got > 20+12 {
		t.Errorf("an isolated server admitted %g RPCs per second, own share 20", got)
	}
	// Once another process uses the server's name, the server admits nothing.
	fleet[0].mu.Lock()
	fleet[0].exclude(fmt.Errorf("taken"))
	fleet[0].mu.Unlock()
	waitFor(t, "excluded server admits nothing", func() bool { status, _ := budgets[0].CheckQuota("view", "acme", 1); return status == control.OverQuota })
}

// A step of the wall clock against the monotonic one drops the leases.
func TestClockStepDropsLeases(t *testing.T) {
	listen := freeAddr(t)
	f := startServer(t, &listen, Options{Name: "n0"})
	b := f.ShareBudgets(customerQuota(300, 3))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Receive(b.nowMs(), "p", quota.KeyedMessage{Key: "quota/acme", Message: quota.Message{Kind: quota.Offer}})
	b.clockOffset -= time.Minute // as if the machine had been suspended for a minute
	b.nowMs()
	if b.clockSteps != 1 {
		t.Errorf("clock steps after one step: got %d, want 1", b.clockSteps)
	}
	if b.nowMs(); b.clockSteps != 1 {
		t.Errorf("clock steps after a second reading without a step: got %d, want 1", b.clockSteps)
	}
}

// An abandoned call counts as in flight for as long as the pool may keep working on it.
func TestAbandonedCallsLinger(t *testing.T) {
	listen := freeAddr(t)
	f := startServer(t, &listen, Options{Name: "n0"})
	b := f.ShareBudgets(&operator.Budgets{Servers: 1, Calls: map[string]operator.Budget{"p": {Bound: 2, Floor: 2, MaxLeaseMs: 1000, LingerMs: 150}}})
	first := b.AllowCall("p", 1, 100)
	second := b.AllowCall("p", 1, 100)
	third := b.AllowCall("p", 1, 100)
	if !first || !second || third {
		t.Fatal("exactly the first two of three calls should be allowed with a limit of two")
	}
	b.CompleteCall("p", false, false)
	if !b.AllowCall("p", 1, 100) {
		t.Error("no call is allowed after one of two has completed")
	}
	b.CompleteCall("p", true, true)
	if b.AllowCall("p", 1, 100) {
		t.Error("a call is allowed while the pool may still work on an abandoned one")
	}
	waitFor(t, "abandoned call expires", func() bool { return b.AllowCall("p", 1, 100) })
}

func BenchmarkCheckQuota(b *testing.B) {
	f, err := Start(Options{Name: "n0", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", Log: quiet()})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	budgets := f.ShareBudgets(customerQuota(1e9, 1))
	b.ReportAllocs()
	for b.Loop() {
		budgets.CheckQuota("view", "acme", 1)
	}
}
