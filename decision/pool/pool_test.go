package pool

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

var testConfig = Config{MaxConnections: 8, MaxQueued: 16, QueueTimeout: 100, ConsecutiveFailures: 3, LatencyFactor: 4, MinHealthyShare: 0.5, BaseEjection: 1000, SlowStart: 5000}

func addrs(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("m", i))
	}
	return all
}

// newWarmPool returns a pool of n members, each with enough samples for its mean latency to count.
func newWarmPool(r Config, n int) *Pool {
	p := New(r, addrs(n), 1, 0)
	for _, m := range p.members {
		for range minSamples {
			p.assign(0, m)
			p.Complete(0, m.id, Succeeded, 20)
		}
	}
	return p
}

// acquireFrom acquires until the member is the one at addr, and completes the others.
func acquireFrom(t *testing.T, p *Pool, now float64, addr string) int {
	t.Helper()
	for range 1000 {
		id, got := p.Acquire(now, 0, nil, 0)
		if got != Granted {
			t.Fatalf("no place for %s", addr)
		}
		if p.Addr(id) == addr {
			return id
		}
		p.Complete(now, id, Canceled, 0)
	}
	t.Fatalf("%s is never chosen", addr)
	return 0
}

func ejectedCount(p *Pool, now float64) (n int) {
	p.Update(now)
	for _, s := range p.MemberStates(now) {
		if s.Ejection != NotEjected {
			n++
		}
	}
	return n
}

func TestEjection(t *testing.T) {
	cases := []struct {
		name  string
		rules func(*Config)
		do    func(t *testing.T, p *Pool) (now float64)
		want  EjectionReason // of m0
	}{
		{"failures in a row", nil, func(t *testing.T, p *Pool) float64 {
			for range 3 {
				p.Complete(10, acquireFrom(t, p, 10, "m0"), Failed, 1)
			}
			return 10
		}, FailuresInARow},
		{"failures with an answer between", nil, func(t *testing.T, p *Pool) float64 {
			for _, how := range []Outcome{Failed, Failed, Succeeded, Failed, Failed} {
				p.Complete(10, acquireFrom(t, p, 10, "m0"), how, 20)
			}
			return 10
		}, NotEjected},
		{"callers that withdraw say nothing", nil, func(t *testing.T, p *Pool) float64 {
			for range 9 {
				p.Complete(10, acquireFrom(t, p, 10, "m0"), Canceled, 1)
			}
			return 10
		}, NotEjected},
		{"ten times slower than the rest", nil, func(t *testing.T, p *Pool) float64 {
			for range 8 {
				if ejectedCount(p, 10) == 0 {
					p.Complete(10, acquireFrom(t, p, 10, "m0"), Succeeded, 200)
				}
			}
			return 10
		}, HighLatency},
		{"all slow alike", nil, func(t *testing.T, p *Pool) float64 {
			for i := range 40 {
				p.Complete(10, acquireFrom(t, p, 10, fmt.Sprint("m", i%4)), Succeeded, 20+float64(i)*5)
			}
			return 10
		}, NotEjected},
		{"work in hand and no answer", nil, func(t *testing.T, p *Pool) float64 {
			acquireFrom(t, p, 10, "m0")
			acquireFrom(t, p, 10, "m0")
			return 250
		}, Unresponsive},
		{"the same while another is out: under the load of both it proves nothing", nil, func(t *testing.T, p *Pool) float64 {
			for range 3 {
				p.Complete(10, acquireFrom(t, p, 10, "m1"), Failed, 1)
			}
			acquireFrom(t, p, 10, "m0")
			acquireFrom(t, p, 10, "m0")
			return 250
		}, NotEjected},
		{"one long work is no silence", nil, func(t *testing.T, p *Pool) float64 {
			acquireFrom(t, p, 10, "m0")
			return 250
		}, NotEjected},
		{"checks that fail", func(r *Config) { r.HealthCheckInterval = 100 }, func(_ *testing.T, p *Pool) float64 {
			for now := 0.0; now < 1000; now += 50 {
				for _, id := range p.DueHealthChecks(now) {
					p.RecordHealthCheck(now, id, p.Addr(id) != "m0")
				}
			}
			return 1000
		}, HealthCheckFailed},
		{"not below the share that stays", func(r *Config) { r.MinHealthyShare = 1 }, func(t *testing.T, p *Pool) float64 {
			for range 9 {
				p.Complete(10, acquireFrom(t, p, 10, "m0"), Failed, 1)
			}
			return 10
		}, NotEjected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := testConfig
			if c.rules != nil {
				c.rules(&r)
			}
			p := newWarmPool(r, 4)
			now := c.do(t, p)
			p.Update(now)
			if got := p.MemberStates(now)[0]; got.Ejection != c.want {
				t.Errorf("m0 is %v, want %v", got.Ejection, c.want)
			}
		})
	}
}

// A returning member gets a tenth of its connections at first and all of them after the slow start; ejected again soon,
// it stays out for twice as long.
func TestSlowStart(t *testing.T) {
	p := newWarmPool(testConfig, 4)
	fail := func(now float64) {
		for range 3 {
			p.Complete(now, acquireFrom(t, p, now, "m0"), Failed, 1)
		}
	}
	fail(0)
	if ejectedCount(p, 999) != 1 || ejectedCount(p, 1000) != 0 {
		t.Fatal("not back after its ejection")
	}
	places := func(now float64) int {
		n := 0
		for p.hasCapacity(now, p.members[0], 0) {
			p.assign(now, p.members[0])
			n++
		}
		for range n {
			p.Complete(now, p.members[0].id, Canceled, 0)
		}
		return n
	}
	for _, c := range []struct {
		at, draw float64
		want     int
	}{ // 0.8, 1.6 and 4 places are its part: what is not whole goes by its draw
		{1000, 0.1, 0}, {1000, 0.3, 1}, {1000, 0.99, 1}, {2000, 0.1, 1}, {2000, 0.5, 2}, {3500, 0, 4}, {3500, 0.99, 4},
		{6000, 0, 8}, {6000, 0.99, 8}, {60000, 0.99, 8},
	} {
		p.members[0].roundingDraw = c.draw
		if got := places(c.at); got != c.want {
			t.Errorf("%d places %g ms after its return with a draw of %g, want %d", got, c.at-1000, c.draw, c.want)
		}
	}
	fail(2000)
	if ejectedCount(p, 3999) != 1 || ejectedCount(p, 4000) != 0 {
		t.Error("the second ejection is not twice as long")
	}
	fail(60000)
	if ejectedCount(p, 60999) != 1 || ejectedCount(p, 61000) != 0 {
		t.Error("after a calm time it is not a first one again")
	}
	if e := p.Events(); len(e) != 6 || e[0].Reason != FailuresInARow || e[1].Reason != NotEjected {
		t.Errorf("events %+v", e)
	}
}

// All members fail: with no minimum share all are ejected, and the time until the first return is known.
func TestAllBad(t *testing.T) {
	r := testConfig
	r.MinHealthyShare = 0
	p := newWarmPool(r, 3)
	for i := range 3 {
		for range 3 {
			p.Complete(0, acquireFrom(t, p, 0, fmt.Sprint("m", i)), Failed, 1)
		}
	}
	if _, got := p.Acquire(1, 1, nil, 0); got != Queued || p.UntilNextReturn(1) != 999 {
		t.Errorf("place %v, soonest %g", got, p.UntilNextReturn(1))
	}
	if ids := p.ExpireQueued(101); len(ids) != 1 || ids[0] != 1 {
		t.Errorf("expired %v", ids)
	}
	if got := p.Update(1000); len(got) != 0 || ejectedCount(p, 1000) != 0 {
		t.Errorf("granted %v", got)
	}
}

func TestQueue(t *testing.T) {
	r := testConfig
	r.MaxConnections, r.MaxQueued = 1, 2
	p := New(r, addrs(1), 1, 0)
	id, _ := p.Acquire(0, 1, nil, 0)
	for n, want := range []Placement{Queued, Queued, NoCapacity} {
		if _, got := p.Acquire(0, uint64(n+2), nil, 0); got != want {
			t.Errorf("place %v for %d, want %v", got, n, want)
		}
	}
	if !p.CancelQueued(2) || p.CancelQueued(2) {
		t.Error("cancelled twice, or never")
	}
	if got := p.Complete(1, id, Succeeded, 1); len(got) != 1 || got[0].ID != 3 {
		t.Errorf("granted %v", got)
	}
}

// A new set of members: those that stay keep their state, removed ones go with their last request, new ones start slowly.
func TestSet(t *testing.T) {
	p := newWarmPool(testConfig, 3)
	old := acquireFrom(t, p, 0, "m0")
	p.Set(0, testConfig, []string{"m1", "m9"})
	if p.Addr(old) != "m0" {
		t.Error("a member in use is forgotten")
	}
	for range 50 {
		id, got := p.Acquire(0, 0, nil, 0)
		if got != Granted || p.Addr(id) == "m0" {
			t.Fatalf("place %v at %s", got, p.Addr(id))
		}
		p.Complete(0, id, Succeeded, 20)
	}
	p.Complete(0, old, Succeeded, 20)
	if p.Addr(old) != "" || len(p.MemberStates(0)) != 2 || p.MemberStates(0)[1].LoadShare != initialLoadShare || p.MemberStates(0)[0].LoadShare != 1 {
		t.Errorf("members %+v", p.MemberStates(0))
	}
}

func TestAvoid(t *testing.T) {
	p := newWarmPool(testConfig, 2)
	for range 100 {
		id, got := p.Acquire(0, 0, []int{0}, 0)
		if got != Granted || id != 1 {
			t.Fatalf("place %v at %d", got, id)
		}
		p.Complete(0, id, Succeeded, 20)
	}
	if id, got := p.Acquire(0, 0, []int{0, 1}, 0); got != Granted {
		t.Errorf("none at all where all have failed it: %d", id)
	}
}

// Under random operations no member exceeds its connection limit, some member stays in use if there is a minimum share,
// and each queued request is granted once or expires once.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := testConfig
		r.MaxConnections, r.MaxQueued = rapid.IntRange(1, 3).Draw(t, "connections"), rapid.IntRange(0, 4).Draw(t, "waiting")
		r.MinHealthyShare = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "share")
		r.HealthCheckInterval = rapid.SampledFrom([]float64{0, 200}).Draw(t, "check")
		n := rapid.IntRange(1, 5).Draw(t, "members")
		p := New(r, addrs(n), rapid.Uint64().Draw(t, "seed"), 0)
		var flying []int
		waits := map[uint64]bool{}
		now, next := 0.0, uint64(0)
		granted := func(all []Grant) {
			for _, g := range all {
				if !waits[g.ID] {
					t.Fatalf("%d is granted and does not wait", g.ID)
				}
				delete(waits, g.ID)
				flying = append(flying, g.Member)
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Float64Range(0, 400).Draw(t, "gap")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				next++
				id, got := p.Acquire(now, next, nil, 0)
				switch got {
				case Granted:
					flying = append(flying, id)
				case Queued:
					waits[next] = true
				}
			case 3, 4:
				if len(flying) > 0 {
					k := rapid.IntRange(0, len(flying)-1).Draw(t, "which")
					id := flying[k]
					flying = append(flying[:k], flying[k+1:]...)
					granted(p.Complete(now, id, Outcome(rapid.IntRange(0, 2).Draw(t, "how")), rapid.Float64Range(1, 500).Draw(t, "latency")))
				}
			case 5:
				for _, id := range p.ExpireQueued(now) {
					if !waits[id] {
						t.Fatalf("%d expired and does not wait", id)
					}
					delete(waits, id)
				}
				for _, id := range p.DueHealthChecks(now) {
					p.RecordHealthCheck(now, id, rapid.Bool().Draw(t, "good"))
				}
				granted(p.Update(now))
			case 6:
				all := addrs(rapid.IntRange(1, 6).Draw(t, "new members"))
				p.Set(now, r, all)
			}
			total, in := 0, 0
			for _, m := range p.members {
				if total += m.inFlight; m.inFlight > r.MaxConnections || m.inFlight < 0 {
					t.Fatalf("%d in flight at %s", m.inFlight, m.addr)
				}
				if m.ejection == NotEjected && !m.removed {
					in++
				}
			}
			if total != len(flying) || p.Queued() != len(waits) || len(waits) > r.MaxQueued {
				t.Fatalf("%d in flight of %d, %d waiting of %d", total, len(flying), p.Queued(), len(waits))
			}
			if in == 0 && r.MinHealthyShare > 0 {
				t.Fatal("nobody is left in use")
			}
		}
	})
}

// One member of five serves at a tenth of the speed: the share of the traffic that it still gets, by balancing policy.
func BenchmarkChoose(b *testing.B) {
	for _, c := range []struct {
		name string
		turn bool
	}{{"power of two", false}, {"round robin", true}} {
		b.Run(c.name, func(b *testing.B) {
			r := testConfig
			r.LatencyFactor, r.ConsecutiveFailures, r.RoundRobin, r.MaxConnections = 0, 0, c.turn, 64
			p := New(r, addrs(5), 1, 0)
			type run struct {
				member int
				end    float64
			}
			var flying []run
			random, now, slow, n := rand.New(rand.NewSource(1)), 0.0, 0.0, 0.0
			for b.Loop() {
				now++
				for k := 0; k < len(flying); k++ {
					if f := flying[k]; f.end <= now {
						p.Complete(now, f.member, Succeeded, 20)
						flying = append(flying[:k], flying[k+1:]...)
						k--
					}
				}
				if id, got := p.Acquire(now, 0, nil, 0); got == Granted {
					took := 10 * random.ExpFloat64()
					if n++; id == 0 {
						took *= 10
						slow++
					}
					flying = append(flying, run{id, now + took})
				}
			}
			b.ReportMetric(slow/n, "slow/op")
		})
	}
}

// Under the fleet's decisions the pool ejects nobody by itself; an ejected member gets trials only; a returning one gets
// the requests of its callers.
func TestFleetDecisions(t *testing.T) {
	p := New(Config{MaxConnections: 4, MaxQueued: 4, QueueTimeout: 100, ConsecutiveFailures: 2, LatencyFactor: 2, MinHealthyShare: 0.5, BaseEjection: 1000, SlowStart: 1000}, []string{"a", "b"}, 1, 0)
	odd := func(_ string, caller uint64, share float64) bool { return share >= 1 || caller%2 == 1 }
	p.UseFleetDecisions(0, nil, odd)
	for range 20 {
		id, _ := p.Acquire(1, 0, nil, 0)
		p.Complete(2, id, Failed, 1)
	}
	if s := p.MemberStates(3); s[0].Ejection != NotEjected || s[1].Ejection != NotEjected {
		t.Errorf("%+v", s)
	}
	p.UseFleetDecisions(10, []FleetDecision{{Addr: "a", Ejected: true}}, odd)
	for range 8 {
		if id, got := p.Acquire(11, 1, nil, 1); got == Granted && p.Addr(id) == "a" {
			t.Error("it is out")
		}
	}
	if id, got := p.AcquireEjected(12, "a"); !got || p.Addr(id) != "a" {
		t.Error("no probe")
	}
	if _, got := p.AcquireEjected(12, "b"); got {
		t.Error("a probe of one that is in use")
	}
	p = New(Config{MaxConnections: 100, MaxQueued: 4, QueueTimeout: 100, MinHealthyShare: 0.5, SlowStart: 1000}, []string{"a", "b"}, 1, 0)
	p.UseFleetDecisions(10, []FleetDecision{{Addr: "a", CallerShare: 0.3}}, odd)
	for caller := range uint64(40) {
		if id, _ := p.Acquire(11, 0, nil, caller); p.Addr(id) == "a" && caller%2 == 0 {
			t.Error("a caller that it does not take")
		}
	}
	if id, got := p.Acquire(11, 0, []int{1}, 2); got != Granted || p.Addr(id) != "b" { // b has failed it, and a does not take it
		t.Errorf("%d %v", id, got)
	}
	if e := p.Events(); len(e) != 0 {
		t.Errorf("%+v", e)
	}
}

// Drained members get no requests, count against the share that may be out, and return in slow start; where all would
// drain, none does.
func TestDraining(t *testing.T) {
	p := newWarmPool(testConfig, 4)
	if cannot := p.SetDraining(0, []string{"m1"}); len(cannot) != 0 {
		t.Fatal(cannot)
	}
	for range 200 {
		id, got := p.Acquire(10, 0, nil, 0)
		if got != Granted || p.Addr(id) == "m1" {
			t.Fatalf("%v at %s", got, p.Addr(id))
		}
		p.Complete(10, id, Succeeded, 20)
	}
	if _, got := p.AcquireEjected(10, "m1"); got {
		t.Error("a probe of a drained member")
	}
	bad := func(addr string) {
		for range testConfig.ConsecutiveFailures {
			p.Complete(20, acquireFrom(t, p, 20, addr), Failed, 1)
		}
	}
	bad("m2") // two of four may be out: the drained one and this
	for range testConfig.ConsecutiveFailures {
		if id, got := p.Acquire(20, 0, nil, 0); got == Granted {
			p.Complete(20, id, Failed, 1)
		}
	}
	if n := ejectedCount(p, 30); n != 2 {
		t.Errorf("%d of 4 out, 2 may be", n)
	}
	p.SetDraining(40, nil)
	if part := p.loadShare(40, p.members[1]); part > 0.2 {
		t.Errorf("back with a part of %g at once", part)
	}
	if cannot := p.SetDraining(50, addrs(4)); len(cannot) != 4 {
		t.Errorf("all drained: %v", cannot)
	}
	if _, got := p.Acquire(60, 0, nil, 0); got != Granted {
		t.Error("nobody is used where all are drained")
	}
}

// What all processes together have in flight at a returning member stays within the sum N of its load shares, plus
// 2 √N + 2 for the random rounding, at every moment and whatever they ask for; and each can use its share.
func TestReturnOfManyProcesses(t *testing.T) {
	const cases = 60 // of each row
	for _, c := range []struct {
		processes, connections int
		skewed                 bool // few want much, many a little
		apart                  float64
	}{
		{1, 8, false, 0}, {3, 8, false, 0}, {20, 4, false, 0}, {30, 4, false, 0}, {30, 1, false, 0},
		{3, 8, true, 0.3}, {20, 4, true, 0.3}, {30, 4, true, 0.3}, {30, 1, true, 1}, {30, 8, false, 1},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			random := rand.New(rand.NewSource(int64(c.processes*100 + c.connections)))
			config := testConfig
			config.MaxConnections = c.connections
			used, most := 0.0, 0.0
			for n := range cases {
				pools := make([]*Pool, c.processes)
				for i := range pools {
					p := New(config, addrs(2), uint64(n*1000+i), 0)
					p.restore(c.apart*config.SlowStart*random.Float64(), p.members[0]) // each saw its end at another time
					pools[i] = p
				}
				for now := c.apart * config.SlowStart; now < 3*config.SlowStart; now += config.SlowStart / 50 {
					all, inFlight := 0.0, 0
					for i, p := range pools {
						m := p.members[0]
						all += float64(c.connections) * p.loadShare(now, m)
						if c.skewed && i%5 > 0 && random.Intn(4) > 0 {
							continue // wants nothing just now
						}
						for p.hasCapacity(now, m, 0) { // first tries, retries and hedges alike
							p.assign(now, m)
						}
						inFlight += m.inFlight
						if random.Intn(2) == 0 && m.inFlight > 0 {
							p.Complete(now, m.id, Succeeded, 20)
						}
					}
					if over := float64(inFlight) - all; over > 2*math.Sqrt(all)+2 {
						t.Errorf("case %d: %d in flight at %.0f ms, where %.1f are its part", n, inFlight, now, all)
					}
					used, most = used+float64(inFlight), most+all
				}
			}
			if !c.skewed && used < 0.85*most {
				t.Errorf("%.2f of the part is used", used/most)
			}
		})
	}
}
