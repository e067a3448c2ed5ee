package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const sighup = syscall.SIGHUP

const (
	poolBound    = 6
	poolSurvives = 10.0 // calls in hand in the mean of 5 s: five times its two slots
	poolRate     = 16   // RPCs a second: eight in hand
	poolJump     = 40   // RPCs a second, 2.5 times as many
	callLength   = 500 * time.Millisecond
	longestLoan  = 8 * time.Second
)

// poolPart is a pool of apps that runs a method.
func poolPart(method, name string, apps ...*app) string {
	members := ""
	for _, a := range apps {
		members += fmt.Sprintf("%q, ", a.addr)
	}
	return fmt.Sprintf("pools: %q: members: [%s]\nmethods: %q: {pool: %q, path: \"/account\", verb: \"POST\"}\n", name, members, method, name)
}

// newBound: an operator bounds the calls to a pool by a SIGHUP, under load. Once all calls from before have ended, no more than the
// bound may be in hand at a time, also when traffic jumps. The pool survives a little more than the bound, and dies beyond that.
func newBound(s *stage) error {
	group := &appGroup{work: callLength}
	var apps []*app
	for _, name := range []string{"m1", "m2"} {
		a, err := s.startApp(group, name)
		if err != nil {
			return err
		}
		apps = append(apps, a)
	}
	stopWatch := s.watchPool(group, apps)
	defer stopWatch()
	v, err := s.newServer("n0")
	if err != nil {
		return err
	}
	plain := "version: \"1\"\n" + v.fleetPart("", "") + poolPart("account-view", "pages", apps...)
	bounded := fmt.Sprintf("version: \"2\"\n%s%sbudgets: {servers: 1, calls: \"pages\": {bound: %d, floor: %d, longest_ms: %d}}\n",
		v.fleetPart("", ""), poolPart("account-view", "pages", apps...), poolBound, poolBound, longestLoan.Milliseconds())
	first := plain
	if !s.trouble {
		first = bounded
	}
	if err := v.compile(first); err != nil {
		return err
	}
	if err := v.start(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	l := v.startLoad("account-view", poolRate)
	time.Sleep(6 * time.Second)
	s.note("before the reload: %d calls in hand at most", group.takeMost())
	if s.trouble {
		if err := v.compile(bounded); err != nil {
			return err
		}
		if err := v.reload(); err != nil {
			return err
		}
	}
	time.Sleep(longestLoan + 2*time.Second) // all calls from before have ended, and so would have all loans
	group.takeMost()
	time.Sleep(5 * time.Second)
	worst := group.takeMost()
	s.note("calls in hand at the pool: %d at most, bound %d; traffic jumps", worst, poolBound)
	l.rate.Store(poolJump)
	failed := l.failed.Load()
	for range 8 {
		time.Sleep(time.Second)
		most := group.takeMost()
		s.note("calls in hand at the pool: %d at most, bound %d", most, poolBound)
		worst = max(worst, most)
	}
	l.stop()
	s.note("%d RPCs sent, %d ok, %d not ok since the jump; at most %d calls in hand, bound %d",
		l.sent.Load(), l.ok.Load(), l.failed.Load()-failed, worst, poolBound)
	switch {
	case l.ok.Load() == 0:
		return fmt.Errorf("nothing was served")
	case worst > poolBound:
		return errBroken
	}
	return nil
}

// watchPool stops all apps of a pool once they have more in hand than the pool survives, as the mean of 5 s.
func (s *stage) watchPool(group *appGroup, apps []*app) (stop func()) {
	const samples = int(5 * time.Second / pollInterval)
	done := make(chan struct{})
	go func() {
		var inHand []int
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			inHand = append(inHand, group.now())
			sum := 0
			for _, n := range inHand[max(0, len(inHand)-samples):] {
				sum += n
			}
			if len(inHand) >= samples && float64(sum)/float64(samples) > poolSurvives {
				s.note("the pool dies: %.1f calls in hand in the mean of 5 s", float64(sum)/float64(samples))
				for _, a := range apps {
					a.stop()
				}
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}
