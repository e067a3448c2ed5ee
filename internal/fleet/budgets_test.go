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
	all := []quota.KeyedMessage{
		{Key: "quota/a", Message: quota.Message{Kind: quota.Request, RequestID: 7, Incarnation: 1 << 63, Amount: 12.5, PriorityWeight: 3, CurrentCapacity: 0.25, Renews: 6}},
		{Key: "calls/p", Message: quota.Message{Kind: quota.Grant, RequestID: 8, Incarnation: 1, Amount: 1e6, Duration: 4000}},
		{Key: "retries/p", Message: quota.Message{Kind: quota.Deny, RequestID: 9, Incarnation: 2, Reason: quota.Contended}},
	}
	var raw []byte
	for i := range all {
		raw = appendLease(raw, &all[i])
	}
	if got, ok := parseLeases(raw); !ok || !reflect.DeepEqual(got, all) {
		t.Errorf("%+v %v", got, ok)
	}
	if got, ok := parseLeases(appendLease(raw, &quota.KeyedMessage{Key: "x"})); ok || len(got) != len(all) {
		t.Errorf("one that makes no sense beside others: %d taken, %v", len(got), ok)
	}
	for _, m := range []quota.KeyedMessage{{Key: "", Message: quota.Message{Kind: quota.Request}}, {Key: "x"}, {Key: "x", Message: quota.Message{Kind: quota.Request, Amount: -1}}} {
		if got, ok := parseLeases(appendLease(nil, &m)); ok || len(got) != 0 {
			t.Errorf("%+v was taken", got)
		}
	}
}

func FuzzLeaseMessages(f *testing.F) {
	f.Add(appendLease(nil, &quota.KeyedMessage{Key: "quota/a", Message: quota.Message{Kind: quota.Request, RequestID: 7, Incarnation: 3, Amount: 12.5}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		all, _ := parseLeases(raw)
		b := quota.NewLedger(1, 1, 0, func(string) (quota.Limit, bool) {
			return quota.Limit{Kind: quota.Rate, Capacity: 100, Burst: 10, Servers: 2, Floor: 5, MaxLeaseDuration: 1000}, true
		})
		for i, m := range all {
			b.Receive(2000+float64(i), "p", m)
			if part := b.Capacity(2000+float64(i), m.Key); part < 5-1e-9 || part > 50+1e-9 {
				t.Fatalf("a part of %g after %+v", part, m)
			}
		}
	})
}

// customerQuota is a quota of one customer, shared by some servers.
func customerQuota(bound float64, servers int) *operator.Budgets {
	return &operator.Budgets{Servers: servers, ClockDrift: quota.DefaultClockDrift, Customers: map[string]operator.Budget{
		"acme": {Bound: bound, Burst: 4 * float64(servers), Floor: 2, MaxLeaseMs: 1000},
	}}
}

// takeFor takes from one server for a while at a rate beyond the bound, and returns how many a second were admitted.
func takeFor(b *Budgets, rate int, length time.Duration) float64 {
	n, began := 0, time.Now()
	for sent := 0; time.Since(began) < length; {
		if due := int(time.Since(began).Seconds() * float64(rate)); sent < due {
			sent++
			if stands, _ := b.CheckQuota("view", "acme", 1); stands == control.WithinQuota {
				n++
			}
			continue
		}
		time.Sleep(time.Millisecond)
	}
	return float64(n) / length.Seconds()
}

// Three servers: one of them has nearly all of the quota while the others need none, the status shows that, and the quota may change while
// leases are out. Customers without a budget are not limited.
func TestQuotaMoves(t *testing.T) {
	defer verifyNoLeaks(t, goleak.IgnoreCurrent())
	addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	var fleet []*Fleet
	var parts []*Budgets
	for i := range addrs {
		f, err := start(t, &addrs[i], Options{Name: fmt.Sprint("n", i), Seeds: addrs, Log: quiet()})
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		fleet = append(fleet, f)
		parts = append(parts, f.ShareBudgets(customerQuota(300, 3)))
	}
	for _, f := range fleet {
		waitFor(t, "whole", connectivityIs(f, health.Complete, 3))
	}
	if stands, _ := parts[0].CheckQuota("view", "other", 1); stands != control.QuotaUnknown {
		t.Error("a customer without a budget")
	}
	takeFor(parts[0], 400, 2500*time.Millisecond) // what a former incarnation may have granted has ended, and leases are granted
	if got := takeFor(parts[0], 400, time.Second); got < 0.9*296 || got > 300+12 {
		t.Errorf("%g a second of 300", got)
	}
	s := fleet[0].Status()
	if len(s.Budgets.Quotas) != 1 || s.Budgets.Quotas[0].Leased < 150 || len(s.Budgets.Quotas[0].Leases) < 2 {
		t.Errorf("status: %+v", s.Budgets)
	}
	waitFor(t, "counts", func() bool {
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
	for _, b := range parts {
		b.Set(customerQuota(60, 3))
	}
	takeFor(parts[0], 400, 1500*time.Millisecond) // the leases of the larger quota have ended
	if got := takeFor(parts[0], 400, time.Second); got > 60+12 {
		t.Errorf("%g a second of the new 60", got)
	}
	// Cut off from all it has at least its own share, and requests nothing.
	for _, f := range fleet[1:] {
		f.Crash()
	}
	time.Sleep(1200 * time.Millisecond) // the length of a lease
	if got := takeFor(parts[0], 400, time.Second); got < 2 || got > 20+12 {
		t.Errorf("%g a second alone, of an own part of 20", got)
	}
	// Another process has the name: nothing is admitted any more.
	fleet[0].mu.Lock()
	fleet[0].exclude(fmt.Errorf("taken"))
	fleet[0].mu.Unlock()
	waitFor(t, "mute", func() bool { stands, _ := parts[0].CheckQuota("view", "acme", 1); return stands == control.OverQuota })
}

// A step of the wall clock against the monotonic one drops the leases.
func TestClockStepVoids(t *testing.T) {
	listen := freeAddr(t)
	f := startServer(t, &listen, Options{Name: "n0"})
	b := f.ShareBudgets(customerQuota(300, 3))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Receive(b.nowMs(), "p", quota.KeyedMessage{Key: "quota/acme", Message: quota.Message{Kind: quota.Offer}})
	b.clockOffset -= time.Minute // as if the machine had slept for one
	b.nowMs()
	if b.clockSteps != 1 {
		t.Errorf("%d steps", b.clockSteps)
	}
	if b.nowMs(); b.clockSteps != 1 {
		t.Errorf("%d steps by one", b.clockSteps)
	}
}

// An abandoned call counts as in flight until the pool can't go on with it.
func TestCallsLinger(t *testing.T) {
	listen := freeAddr(t)
	f := startServer(t, &listen, Options{Name: "n0"})
	b := f.ShareBudgets(&operator.Budgets{Servers: 1, Calls: map[string]operator.Budget{"p": {Bound: 2, Floor: 2, MaxLeaseMs: 1000, LingerMs: 150}}})
	first := b.AllowCall("p", 1, 100)
	second := b.AllowCall("p", 1, 100)
	third := b.AllowCall("p", 1, 100)
	if !first || !second || third {
		t.Fatal("two of two expected")
	}
	b.CompleteCall("p", false, false)
	if !b.AllowCall("p", 1, 100) {
		t.Error("one has ended")
	}
	b.CompleteCall("p", true, true)
	if b.AllowCall("p", 1, 100) {
		t.Error("one was given up, and may be gone on with")
	}
	waitFor(t, "linger", func() bool { return b.AllowCall("p", 1, 100) })
}

func BenchmarkCheckQuota(b *testing.B) {
	f, err := Start(Options{Name: "n0", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", Log: quiet()})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	x := f.ShareBudgets(customerQuota(1e9, 1))
	b.ReportAllocs()
	for b.Loop() {
		x.CheckQuota("view", "acme", 1)
	}
}
