package fleetvalve_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelvalve/valve/fleetvalve"
)

// Example has two programs on one machine join the same fleet.
func Example() {
	var addrs []string
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		addrs = append(addrs, ln.Addr().String())
		if err := ln.Close(); err != nil {
			panic(err)
		}
	}
	var members []*fleetvalve.Fleet
	for i, name := range []string{"shop-1", "shop-2"} {
		f, err := fleetvalve.Join(fleetvalve.Options{Name: name, Zone: "akl-1", Listen: addrs[i], Seeds: addrs, ExpectedServers: 2})
		if err != nil {
			panic(err)
		}
		defer f.Close()
		members = append(members, f)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && members[0].View().State != fleetvalve.Complete; {
		time.Sleep(20 * time.Millisecond)
	}
	v := members[0].View()
	fmt.Println(v.State, v.MinServers, v.MaxServers, v.Zones[0].Reachable)
	// Output: whole 2 2 2
}

// TestJoinInvalidOptions checks that a failed Join returns an error and leaves no goroutine behind.
func TestJoinInvalidOptions(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	if _, err := fleetvalve.Join(fleetvalve.Options{Name: "", Listen: "127.0.0.1:0"}); err == nil {
		t.Error("Join without a name: no error")
	}
	if _, err := fleetvalve.Join(fleetvalve.Options{Name: "a", Listen: "nowhere"}); err == nil {
		t.Error("Join with an invalid address: no error")
	}
}
