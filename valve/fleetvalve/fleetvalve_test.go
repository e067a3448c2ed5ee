package fleetvalve_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelvalve/valve/fleetvalve"
)

// Two programs on one machine find each other.
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
	var parts []*fleetvalve.Fleet
	for i, name := range []string{"shop-1", "shop-2"} {
		f, err := fleetvalve.Join(fleetvalve.Options{Name: name, Zone: "akl-1", Listen: addrs[i], Seeds: addrs, ExpectedServers: 2})
		if err != nil {
			panic(err)
		}
		defer f.Close()
		parts = append(parts, f)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && parts[0].View().State != fleetvalve.Complete; {
		time.Sleep(20 * time.Millisecond)
	}
	v := parts[0].View()
	fmt.Println(v.State, v.MinServers, v.MaxServers, v.Zones[0].Reachable)
	// Output: whole 2 2 2
}

func TestNothingStays(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	if _, err := fleetvalve.Join(fleetvalve.Options{Name: "", Listen: "127.0.0.1:0"}); err == nil {
		t.Error("no name, and no error")
	}
	if _, err := fleetvalve.Join(fleetvalve.Options{Name: "a", Listen: "nowhere"}); err == nil {
		t.Error("no address, and no error")
	}
}
