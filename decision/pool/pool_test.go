package pool

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

var testConfig = Config{MaxConnections: 8, MaxQueued: 16, QueueTimeout: 100, ConsecutiveFailures: 3, LatencyFactor: 4, MinHealthyShare: 0.5, BaseEjection: 1000, SlowStart: 5000}

func addrs(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("m", i))
	}
	return names
}

// newWarmPool returns a pool of n members, each with enough samples for its mean latency to count.
func newWarmPool(config Config, n int) *Pool {
	p := New(config, addrs(n), 1, 0)
	for _, m := range p.members {
		for range minSamples {
			p.assign(0, m)
			p.Complete(0, m.id, Succeeded, 20)
		}
	}
	return p
}

// acquireFrom acquires members until it gets the one at addr, and completes the requests at the others.
func acquireFrom(t *testing.T, p *Pool, now float64, addr string) int {
	t.Helper()
	for range 1000 {
		id, placement := p.Acquire(now, 0, nil, 0)
		if placement != Granted {
			t.Fatalf("no member granted while acquiring %s", addr)
		}
		if p.Addr(id) == addr {
			return id
		}
		p.Complete(now, id, Canceled, 0)
	}
	t.Fatalf("member %s was never chosen", addr)
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
		name      string
		configure func(*Config)
		run       func(t *testing.T, p *Pool) (now float64)
		want      EjectionReason // of m0
	}{
		{"failures in a row", nil, func(t *testing.T, p *Pool) float64 {
			for range 3 {
				p.Complete(10, acquireFrom(t, p, 10, "m0"), Failed, 1)
			}
			return 10
		}, FailuresInARow},
		{"failures with a success in between", nil, func(t *testing.T, p *Pool) float64 {
			for _, outcome := range []Outcome{Failed, Failed, Succeeded, Failed, Failed} {
				p.Complete(10, acquireFrom(t, p, 10, "m0"), outcome, 20)
			}
			return 10
		}, NotEjected},
		{"canceled requests do not count", nil, func(t *testing.T, p *Pool) float64 {
			for range 9 {
				p.Complete(10, acquireFrom(t, p, 10, "m0"), Canceled, 1)
			}
			return 10
		}, NotEjected},
		{"ten times slower than the other members", nil, func(t *testing.T, p *Pool) float64 {
			for range 8 {
				if ejectedCount(p, 10) == 0 {
					p.Complete(10, acquireFrom(t, p, 10, "m0"), Succeeded, 200)
				}
			}
			return 10
		}, HighLatency},
		{"all members equally slow", nil, func(t *testing.T, p *Pool) float64 {
			for i := range 40 {
				p.Complete(10, acquireFrom(t, p, 10, fmt.Sprint("m", i%4)), Succeeded, 20+float64(i)*5)
			}
			return 10
		}, NotEjected},
		{"requests in flight and no response", nil, func(t *testing.T, p *Pool) float64 {
			acquireFrom(t, p, 10, "m0")
			acquireFrom(t, p, 10, "m0")
			return 250
		}, Unresponsive},
		{"no response while another member is ejected: may be due to its load", nil, func(t *testing.T, p *Pool) float64 {
			for range 3 {
				p.Complete(10, acquireFrom(t, p, 10, "m1"), Failed, 1)
			}
			acquireFrom(t, p, 10, "m0")
			acquireFrom(t, p, 10, "m0")
			return 250
		}, NotEjected},
		{"a single long request", nil, func(t *testing.T, p *Pool) float64 {
			acquireFrom(t, p, 10, "m0")
			return 250
		}, NotEjected},
		{"failed health checks", func(config *Config) { config.HealthCheckInterval = 100 }, func(_ *testing.T, p *Pool) float64 {
			for now := 0.0; now < 1000; now += 50 {
				for _, id := range p.DueHealthChecks(now) {
					p.RecordHealthCheck(now, id, p.Addr(id) != "m0")
				}
			}
			return 1000
		}, HealthCheckFailed},
		{"ejection would leave less than the minimum share", func(config *Config) { config.MinHealthyShare = 1 }, func(t *testing.T, p *Pool) float64 {
			for range 9 {
				p.Complete(10, acquireFrom(t, p, 10, "m0"), Failed, 1)
			}
			return 10
		}, NotEjected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := testConfig
			if c.configure != nil {
				c.configure(&config)
			}
			p := newWarmPool(config, 4)
			now := c.run(t, p)
			p.Update(now)
			if got := p.MemberStates(now)[0]; got.Ejection != c.want {
				t.Errorf("ejection of m0: got %v, want %v", got.Ejection, c.want)
			}
		})
	}
}

// TestSlowStart checks that a returning member may use a tenth of its connections at first and all of them after the
// slow start, and that its ejection is twice as long if it is ejected again soon.
func TestSlowStart(t *testing.T) {
	p := newWarmPool(testConfig, 4)
	fail := func(now float64) {
		for range 3 {
			p.Complete(now, acquireFrom(t, p, now, "m0"), Failed, 1)
		}
	}
	fail(0)
	if ejectedCount(p, 999) != 1 || ejectedCount(p, 1000) != 0 {
		t.Fatal("member did not return at the end of its ejection")
	}
	capacity := func(now float64) int {
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
	}{ // the share is 0.8, 1.6 or 4 connections; the draw decides how a fraction is rounded
		{1000, 0.1, 0}, {1000, 0.3, 1}, {1000, 0.99, 1}, {2000, 0.1, 1}, {2000, 0.5, 2}, {3500, 0, 4}, {3500, 0.99, 4},
		{6000, 0, 8}, {6000, 0.99, 8}, {60000, 0.99, 8},
	} {
		p.members[0].roundingDraw = c.draw
		if got := capacity(c.at); got != c.want {
			t.Errorf("capacity: got %d, %g ms after the return with a draw of %g, want %d", got, c.at-1000, c.draw, c.want)
		}
	}
	fail(2000)
	if ejectedCount(p, 3999) != 1 || ejectedCount(p, 4000) != 0 {
		t.Error("second ejection is not twice as long as the first")
	}
	fail(60000)
	if ejectedCount(p, 60999) != 1 || ejectedCount(p, 61000) != 0 {
		t.Error("ejection after a healthy period does not have the duration of a first one")
	}
	if e := p.Events(); len(e) != 6 || e[0].Reason != FailuresInARow || e[1].Reason != NotEjected {
		t.Errorf("events: got %+v", e)
	}
}

// TestAllMembersFail checks that all members are ejected if all fail and there is no minimum share, and that UntilNextReturn
// gives the time until the first return.
func TestAllMembersFail(t *testing.T) {
	config := testConfig
	config.MinHealthyShare = 0
	p := newWarmPool(config, 3)
	for i := range 3 {
		for range 3 {
			p.Complete(0, acquireFrom(t, p, 0, fmt.Sprint("m", i)), Failed, 1)
		}
	}
	if _, placement := p.Acquire(1, 1, nil, 0); placement != Queued || p.UntilNextReturn(1) != 999 {
		t.Errorf("request while all members are ejected: got placement %v and next return in %g ms, want Queued and 999 ms", placement, p.UntilNextReturn(1))
	}
	if ids := p.ExpireQueued(101); len(ids) != 1 || ids[0] != 1 {
		t.Errorf("expired requests: got %v, want request 1", ids)
	}
	if got := p.Update(1000); len(got) != 0 || ejectedCount(p, 1000) != 0 {
		t.Errorf("end of the ejections: got grants %v, want none, and no member ejected", got)
	}
}

func TestQueue(t *testing.T) {
	config := testConfig
	config.MaxConnections, config.MaxQueued = 1, 2
	p := New(config, addrs(1), 1, 0)
	id, _ := p.Acquire(0, 1, nil, 0)
	for n, want := range []Placement{Queued, Queued, NoCapacity} {
		if _, placement := p.Acquire(0, uint64(n+2), nil, 0); placement != want {
			t.Errorf("placement: got %v for request %d, want %v", placement, n, want)
		}
	}
	if !p.CancelQueued(2) || p.CancelQueued(2) {
		t.Error("CancelQueued: want true for a queued request and false the second time")
	}
	if got := p.Complete(1, id, Succeeded, 1); len(got) != 1 || got[0].ID != 3 {
		t.Errorf("grants: got %v, want one for request 3", got)
	}
}

// TestSet checks that a new list of members keeps the state of those that are still listed, deletes removed members with
// their last request, and puts added members in slow start.
func TestSet(t *testing.T) {
	p := newWarmPool(testConfig, 3)
	old := acquireFrom(t, p, 0, "m0")
	p.Set(0, testConfig, []string{"m1", "m9"})
	if p.Addr(old) != "m0" {
		t.Error("removed member with a request in flight was deleted")
	}
	for range 50 {
		id, placement := p.Acquire(0, 0, nil, 0)
		if placement != Granted || p.Addr(id) == "m0" {
			t.Fatalf("request after m0 was removed: got placement %v at member %s, want Granted at another member", placement, p.Addr(id))
		}
		p.Complete(0, id, Succeeded, 20)
	}
	p.Complete(0, old, Succeeded, 20)
	if p.Addr(old) != "" || len(p.MemberStates(0)) != 2 || p.MemberStates(0)[1].LoadShare != initialLoadShare || p.MemberStates(0)[0].LoadShare != 1 {
		t.Errorf("members: got %+v, want m1 at full load and m9 in slow start only", p.MemberStates(0))
	}
}

func TestAvoid(t *testing.T) {
	p := newWarmPool(testConfig, 2)
	for range 100 {
		id, placement := p.Acquire(0, 0, []int{0}, 0)
		if placement != Granted || id != 1 {
			t.Fatalf("request that avoids member 0: got placement %v at member %d, want Granted at member 1", placement, id)
		}
		p.Complete(0, id, Succeeded, 20)
	}
	if id, placement := p.Acquire(0, 0, []int{0, 1}, 0); placement != Granted {
		t.Errorf("no member granted although all are to be avoided: member %d", id)
	}
}

// TestInvariants checks under random operations that no member exceeds its connection limit, that some member stays in
// use if there is a minimum share, and that each queued request is granted or expires exactly once.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig
		config.MaxConnections, config.MaxQueued = rapid.IntRange(1, 3).Draw(t, "connections"), rapid.IntRange(0, 4).Draw(t, "waiting")
		config.MinHealthyShare = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "share")
		config.HealthCheckInterval = rapid.SampledFrom([]float64{0, 200}).Draw(t, "check")
		n := rapid.IntRange(1, 5).Draw(t, "members")
		p := New(config, addrs(n), rapid.Uint64().Draw(t, "seed"), 0)
		var inFlightIDs []int
		waiting := map[uint64]bool{}
		now, next := 0.0, uint64(0)
		recordGrants := func(grants []Grant) {
			for _, g := range grants {
				if !waiting[g.ID] {
					t.Fatalf("request %d was granted but is not queued", g.ID)
				}
				delete(waiting, g.ID)
				inFlightIDs = append(inFlightIDs, g.Member)
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Float64Range(0, 400).Draw(t, "gap")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				next++
				id, placement := p.Acquire(now, next, nil, 0)
				switch placement {
				case Granted:
					inFlightIDs = append(inFlightIDs, id)
				case Queued:
					waiting[next] = true
				}
			case 3, 4:
				if len(inFlightIDs) > 0 {
					k := rapid.IntRange(0, len(inFlightIDs)-1).Draw(t, "which")
					id := inFlightIDs[k]
					inFlightIDs = append(inFlightIDs[:k], inFlightIDs[k+1:]...)
					recordGrants(p.Complete(now, id, Outcome(rapid.IntRange(0, 2).Draw(t, "how")), rapid.Float64Range(1, 500).Draw(t, "latency")))
				}
			case 5:
				for _, id := range p.ExpireQueued(now) {
					if !waiting[id] {
						t.Fatalf("request %d expired but is not queued", id)
					}
					delete(waiting, id)
				}
				for _, id := range p.DueHealthChecks(now) {
					p.RecordHealthCheck(now, id, rapid.Bool().Draw(t, "good"))
				}
				recordGrants(p.Update(now))
			case 6:
				members := addrs(rapid.IntRange(1, 6).Draw(t, "new members"))
				p.Set(now, config, members)
			}
			total, inUse := 0, 0
			for _, m := range p.members {
				if total += m.inFlight; m.inFlight > config.MaxConnections || m.inFlight < 0 {
					t.Fatalf("invalid number of requests in flight: %d at member %s", m.inFlight, m.addr)
				}
				if m.ejection == NotEjected && !m.removed {
					inUse++
				}
			}
			if total != len(inFlightIDs) || p.Queued() != len(waiting) || len(waiting) > config.MaxQueued {
				t.Fatalf("requests in flight: got %d, want %d; queued: got %d, want %d", total, len(inFlightIDs), p.Queued(), len(waiting))
			}
			if inUse == 0 && config.MinHealthyShare > 0 {
				t.Fatal("no member is in use")
			}
		}
	})
}

// BenchmarkChoose measures, for each balancing policy, the share of the traffic that a member gets which serves at a
// tenth of the speed of the other four.
func BenchmarkChoose(b *testing.B) {
	for _, c := range []struct {
		name       string
		roundRobin bool
	}{{"power of two", false}, {"round robin", true}} {
		b.Run(c.name, func(b *testing.B) {
			config := testConfig
			config.LatencyFactor, config.ConsecutiveFailures, config.RoundRobin, config.MaxConnections = 0, 0, c.roundRobin, 64
			p := New(config, addrs(5), 1, 0)
			type run struct {
				member int
				end    float64
			}
			var running []run
			random, now, slow, n := rand.New(rand.NewSource(1)), 0.0, 0.0, 0.0
			for b.Loop() {
				now++
				for k := 0; k < len(running); k++ {
					if f := running[k]; f.end <= now {
						p.Complete(now, f.member, Succeeded, 20)
						running = append(running[:k], running[k+1:]...)
						k--
					}
				}
				if id, placement := p.Acquire(now, 0, nil, 0); placement == Granted {
					latency := 10 * random.ExpFloat64()
					if n++; id == 0 {
						latency *= 10
						slow++
					}
					running = append(running, run{id, now + latency})
				}
			}
			b.ReportMetric(slow/n, "slow/op")
		})
	}
}

// TestFleetDecisions checks a pool that follows the fleet's decisions: it ejects no member by itself, an ejected member
// gets trials only, and a returning member gets only the requests of the callers that it admits.
func TestFleetDecisions(t *testing.T) {
	p := New(Config{MaxConnections: 4, MaxQueued: 4, QueueTimeout: 100, ConsecutiveFailures: 2, LatencyFactor: 2, MinHealthyShare: 0.5, BaseEjection: 1000, SlowStart: 1000}, []string{"a", "b"}, 1, 0)
	odd := func(_ string, caller uint64, share float64) bool { return share >= 1 || caller%2 == 1 }
	p.UseFleetDecisions(0, nil, odd)
	for range 20 {
		id, _ := p.Acquire(1, 0, nil, 0)
		p.Complete(2, id, Failed, 1)
	}
	if s := p.MemberStates(3); s[0].Ejection != NotEjected || s[1].Ejection != NotEjected {
		t.Errorf("member states after failures: got %+v, want no ejection", s)
	}
	p.UseFleetDecisions(10, []FleetDecision{{Addr: "a", Ejected: true}}, odd)
	for range 8 {
		if id, placement := p.Acquire(11, 1, nil, 1); placement == Granted && p.Addr(id) == "a" {
			t.Error("ejected member got a request")
		}
	}
	if id, granted := p.AcquireEjected(12, "a"); !granted || p.Addr(id) != "a" {
		t.Error("AcquireEjected granted no trial of the ejected member")
	}
	if _, granted := p.AcquireEjected(12, "b"); granted {
		t.Error("AcquireEjected granted a trial of a member that is in use")
	}
	p = New(Config{MaxConnections: 100, MaxQueued: 4, QueueTimeout: 100, MinHealthyShare: 0.5, SlowStart: 1000}, []string{"a", "b"}, 1, 0)
	p.UseFleetDecisions(10, []FleetDecision{{Addr: "a", CallerShare: 0.3}}, odd)
	for caller := range uint64(40) {
		if id, _ := p.Acquire(11, 0, nil, caller); p.Addr(id) == "a" && caller%2 == 0 {
			t.Error("returning member got a request of a caller that it does not admit")
		}
	}
	if id, placement := p.Acquire(11, 0, []int{1}, 2); placement != Granted || p.Addr(id) != "b" { // it has failed at b, and a does not admit its caller
		t.Errorf("request that has failed at b: got member %d and placement %v, want b and Granted", id, placement)
	}
	if e := p.Events(); len(e) != 0 {
		t.Errorf("events: got %+v", e)
	}
}

// TestDraining checks that drained members get no requests, count against the share of members that may be out of use
// and return in slow start, and that none is drained if all are listed.
func TestDraining(t *testing.T) {
	p := newWarmPool(testConfig, 4)
	if refused := p.SetDraining(0, []string{"m1"}); len(refused) != 0 {
		t.Fatal(refused)
	}
	for range 200 {
		id, placement := p.Acquire(10, 0, nil, 0)
		if placement != Granted || p.Addr(id) == "m1" {
			t.Fatalf("request while m1 is drained: got placement %v at member %s, want Granted at another member", placement, p.Addr(id))
		}
		p.Complete(10, id, Succeeded, 20)
	}
	if _, granted := p.AcquireEjected(10, "m1"); granted {
		t.Error("AcquireEjected granted a trial of a drained member")
	}
	fail := func(addr string) {
		for range testConfig.ConsecutiveFailures {
			p.Complete(20, acquireFrom(t, p, 20, addr), Failed, 1)
		}
	}
	fail("m2") // two of four may be out of use: the drained member and this one
	for range testConfig.ConsecutiveFailures {
		if id, placement := p.Acquire(20, 0, nil, 0); placement == Granted {
			p.Complete(20, id, Failed, 1)
		}
	}
	if n := ejectedCount(p, 30); n != 2 {
		t.Errorf("members out of use: got %d of 4, want 2", n)
	}
	p.SetDraining(40, nil)
	if share := p.loadShare(40, p.members[1]); share > 0.2 {
		t.Errorf("load share right after the end of the drain: got %g, want at most 0.2", share)
	}
	if refused := p.SetDraining(50, addrs(4)); len(refused) != 4 {
		t.Errorf("drain of all members: refused %v, want all 4", refused)
	}
	if _, placement := p.Acquire(60, 0, nil, 0); placement != Granted {
		t.Error("no member granted although the drain of all members was refused")
	}
}

// TestReturnOfManyProcesses checks that the requests that all processes together have in flight at a returning member
// never exceed the sum N of its load shares by more than 2 √N + 2, which allows for the random rounding, whatever the
// demand; and that the processes can use their shares.
func TestReturnOfManyProcesses(t *testing.T) {
	const cases = 60 // of each row
	for _, c := range []struct {
		processes, connections int
		skewed                 bool    // few processes send many requests, many send few
		spread                 float64 // of the ends of the ejection over the processes, as a fraction of the slow start
	}{
		{1, 8, false, 0}, {3, 8, false, 0}, {20, 4, false, 0}, {30, 4, false, 0}, {30, 1, false, 0},
		{3, 8, true, 0.3}, {20, 4, true, 0.3}, {30, 4, true, 0.3}, {30, 1, true, 1}, {30, 8, false, 1},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			random := rand.New(rand.NewSource(int64(c.processes*100 + c.connections)))
			config := testConfig
			config.MaxConnections = c.connections
			used, allowed := 0.0, 0.0
			for n := range cases {
				pools := make([]*Pool, c.processes)
				for i := range pools {
					p := New(config, addrs(2), uint64(n*1000+i), 0)
					p.restore(c.spread*config.SlowStart*random.Float64(), p.members[0]) // processes end the ejection at different times
					pools[i] = p
				}
				for now := c.spread * config.SlowStart; now < 3*config.SlowStart; now += config.SlowStart / 50 {
					limit, inFlight := 0.0, 0
					for i, p := range pools {
						m := p.members[0]
						limit += float64(c.connections) * p.loadShare(now, m)
						if c.skewed && i%5 > 0 && random.Intn(4) > 0 {
							continue // no demand at this moment
						}
						for p.hasCapacity(now, m, 0) { // first attempts, retries and hedged requests alike
							p.assign(now, m)
						}
						inFlight += m.inFlight
						if random.Intn(2) == 0 && m.inFlight > 0 {
							p.Complete(now, m.id, Succeeded, 20)
						}
					}
					if excess := float64(inFlight) - limit; excess > 2*math.Sqrt(limit)+2 {
						t.Errorf("case %d: %d requests in flight at %.0f ms, sum of the load shares %.1f", n, inFlight, now, limit)
					}
					used, allowed = used+float64(inFlight), allowed+limit
				}
			}
			if !c.skewed && used < 0.85*allowed {
				t.Errorf("fraction of the load shares that is used: got %.2f, want at least 0.85", used/allowed)
			}
		})
	}
}
