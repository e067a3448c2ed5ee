package main

import (
	"fmt"
	"time"
)

// slowSettings are those of a deployment whose calls take some seconds: two methods with the times of the Southland brief, of
// which topup-buy carries a token, as in the portal's.
const slowSettings = `{"classes":[
{"name":"usage-get","aim":3000000000,"give_up":7400000000,"idempotency":"read_like","worth":1.0,"late_worth":0.0},
{"name":"topup-buy","aim":3700000000,"give_up":9800000000,"idempotency":"idempotency_key","worth":4.0,"window":13584000000}],
"customers":[{"name":"kaipara-wireless","quota_rps":1000.0}],
"family_info":{"callers":3,"cores":8,"ram_kb":4000000.0,"run_factor":8.0,"key_kb":84.55,"heeded":1000000000,
"idle":30000000000,"meters":["core_use","on_cores"]},
"limits":{"retry_after":true,"max_retry_after":1000000000},"over_share_worth":0.05,"replicas_of_me":2,
"rules":{"answer_slack":100000000,"cold":16000000000,"drain_grace":2000000000,"start_capacity":0.2,"tip_multiple":8.0},
"tick":4000000}`

// useSlowSettings gives all servers slowSettings.
func (s *stage) useSlowSettings() {
	s.settings = slowSettings
	s.patience = 9800 * time.Millisecond
}

const (
	leaseBound  = 24
	slowCall    = 2400 * time.Millisecond
	jumpLength  = 7500 * time.Millisecond
	usualRate   = 40 // RPCs a second at n0
	jumpRate    = 7  // RPCs a second that come in addition, at n1 and at n2: the fleet gets 1.35 times the usual
	borrowLimit = 40 * time.Second
)

// lease: three servers share a bound of calls to a pool. One has borrowed most of the others' parts and uses them when traffic jumps
// at the lenders. The calls of all together must never be more than the bound.
func lease(s *stage) error {
	group := &appGroup{work: slowCall}
	var apps []*app
	for _, name := range []string{"m1", "m2"} {
		a, err := s.startApp(group, name)
		if err != nil {
			return err
		}
		apps = append(apps, a)
	}
	s.useSlowSettings()
	var servers []*server
	seeds := ""
	for _, name := range []string{"n0", "n1", "n2"} {
		v, err := s.newServer(name)
		if err != nil {
			return err
		}
		servers = append(servers, v)
		seeds += fmt.Sprintf("%q, ", v.gossip)
	}
	var loads []*load
	for _, v := range servers {
		err := v.compile("version: \"1\"\n" + v.fleetPart(seeds, "") + poolPart("usage-get", "pages", apps...) +
			fmt.Sprintf("budgets: {servers: %d, calls: \"pages\": {bound: %d, floor: 1}}\n", len(servers), leaseBound))
		if err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
		loads = append(loads, v.startLoad("usage-get", 0))
	}
	loads[0].rate.Store(usualRate)
	started := time.Now()
	for group.now() < leaseBound-3 { // n0's own part is 8: it has borrowed the rest
		if time.Since(started) > borrowLimit {
			return fmt.Errorf("nothing was borrowed within %s", borrowLimit)
		}
		time.Sleep(pollInterval)
	}
	s.note("n0 has borrowed: %d calls in hand", group.now())
	time.Sleep(6 * time.Second)
	if s.trouble {
		s.note("traffic jumps")
		loads[1].rate.Store(jumpRate)
		loads[2].rate.Store(jumpRate)
	}
	time.Sleep(jumpLength)
	loads[1].rate.Store(0)
	loads[2].rate.Store(0)
	s.note("the jump is over")
	time.Sleep(6 * time.Second)
	worst := group.takeMost()
	for i, v := range servers {
		loads[i].stop()
		_, _ = s.command("valvefleet", "status", v.socket) // for the record only
		s.note("%s: %d RPCs sent, %d ok", v.name, loads[i].sent.Load(), loads[i].ok.Load())
	}
	s.note("at most %d calls in hand, bound %d", worst, leaseBound)
	if worst > leaseBound {
		return errBroken
	}
	return nil
}
