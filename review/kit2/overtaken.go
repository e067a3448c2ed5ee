package main

import (
	"errors"
	"fmt"
	"time"

	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

const (
	quotaBound = 100 // RPCs a second of the customer, over the fleet
	quotaBurst = 4
	quotaSlack = quotaBound / 10 // what 0.1 s brings: the RPCs are counted by when they were sent, not by when they were decided on

	heldFor  = 750 * time.Millisecond // the link's datagrams at a time, and newer ones pass first
	openFor  = 60 * time.Millisecond
	otherWay = 60 * time.Millisecond // that those of the other direction are late by
	lateFor  = 85 * time.Second
	wave     = 8 * time.Second // of the traffic of n1, which rises and then falls at once
	wavePut  = 45              // RPCs a second at its top
)

// overtaken: two servers share a customer's quota. One has most of the traffic and borrows what the other does not need, whose traffic goes up
// and down. The link between them is slow for a while, and datagrams overtake each other. No more than the quota may be admitted.
func overtaken(s *stage) error {
	names := []string{"n0", "n1"}
	network, err := testbed.NewNetwork(1, names...)
	if err != nil {
		return err
	}
	s.onClose(network.Close)
	seeds := ""
	for _, name := range names {
		seeds += fmt.Sprintf("%q, ", network.Endpoint(name).AdvertiseAddr())
	}
	var loads []*load
	admitted := &admitLog{}
	for _, name := range names {
		v, err := s.newServer(name)
		if err != nil {
			return err
		}
		v.gossip = network.Endpoint(name).ListenAddr()
		v.advertise = network.Endpoint(name).AdvertiseAddr()
		v.noteCall = func(sent time.Time, reply standin.Reply) {
			if reply.Outcome == standin.OK {
				admitted.add(sent)
			}
		}
		if err := v.compile("version: \"1\"\n" + v.fleetPart(seeds, "") + fmt.Sprintf("limits: over_share: 0\nbudgets: {servers: %d, customers: "+
			"\"kaipara-wireless\": {bound: %d, burst: %d, floor: 0.5, longest_ms: 4000}}\n", len(names), quotaBound, quotaBurst)); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
		loads = append(loads, v.startLoad("account-view", 0))
	}
	loads[0].rate.Store(2 * quotaBound)
	time.Sleep(10 * time.Second)
	s.note("before the disruption: at most %.0f beyond %d a second, burst %d", admitted.mostBeyond(quotaBound), quotaBound, quotaBurst)
	began := time.Now()
	beyond := 0.0
	for looked := began; time.Since(began) < lateFor && beyond <= quotaBurst+quotaSlack; time.Sleep(10 * time.Millisecond) {
		now := time.Since(began)
		loads[1].rate.Store(1 + int64(wavePut*(now%wave)/wave))
		if s.trouble {
			delay := time.Duration(0)
			if held := now % (heldFor + openFor); held < heldFor {
				delay = (heldFor - held) * 102 / 100 // older ones after newer ones
			}
			network.UpdateRules("late", names[:1], names[1:], func(r *testbed.Rule) { r.Delay = delay })
			network.UpdateRules("late", names[1:], names[:1], func(r *testbed.Rule) { r.Delay = otherWay })
		}
		if time.Since(looked) > time.Second {
			looked = time.Now()
			beyond = admitted.mostBeyond(quotaBound)
		}
	}
	for i, l := range loads {
		l.stop()
		s.note("%s: %d RPCs sent, %d ok", names[i], l.sent.Load(), l.ok.Load())
	}
	beyond = admitted.mostBeyond(quotaBound)
	s.note("admitted after %.0f s: at most %.0f beyond %d a second, burst %d", time.Since(began).Seconds(), beyond, quotaBound, quotaBurst)
	switch {
	case loads[0].ok.Load() == 0 || loads[1].ok.Load() == 0:
		return errors.New("nothing was served")
	case beyond > quotaBurst+quotaSlack:
		return errBroken
	}
	return nil
}
