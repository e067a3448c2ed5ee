package experiment

import (
	"fmt"
	"math"
	"runtime"
	"time"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/fleetsim"
)

const (
	growthRate     = 20.0  // RPCs a second at each server
	boundedServers = 1000  // the size whose time has a bound
	largestServers = 10000 // measured for its memory, under little load
	maxFleetSize   = 1000  // servers of one fleet
)

// growthPoint is what one size of fleet costs the simulator.
type growthPoint struct {
	servers     int
	rate        float64 // RPCs a second at each server
	realSeconds float64 // for a simulated second, on one core
}

// measureGrowth measures how the simulator's time and memory grow with the fleet.
func measureGrowth(o Options, r *Report) error {
	sizes, lengthMs := []int{10, 100, 300, 1000, 3000, largestServers}, 20e3
	if o.Quick {
		sizes, lengthMs = []int{10, 100, 1000}, 5e3
	}
	line := Line{Name: "s of real time for one of the fleet's"}
	var first, last growthPoint // at the same rate
	for i, servers := range sizes {
		point, err := measureSize(o, r, servers, lengthMs)
		if err != nil {
			return err
		}
		line.add(float64(servers), point.realSeconds)
		if servers == boundedServers {
			r.AddChecks(atMost("s of real time for a second of 1,000 servers", point.realSeconds, 1))
		}
		if i == 0 {
			first = point
		}
		if point.rate == growthRate {
			last = point
		}
	}
	exponent := math.Log(last.realSeconds/first.realSeconds) / math.Log(float64(last.servers)/float64(first.servers))
	r.AddRow("exponent of the growth from the first to the last at 20 RPC/s", len(sizes), exponent, "")
	r.Charts = append(r.Charts, Chart{Name: "growth", XLabel: "servers", YLabel: "s a second", Lines: []Line{line}})
	return nil
}

// measureSize simulates one size of fleet.
func measureSize(o Options, r *Report, servers int, lengthMs float64) (growthPoint, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	options := fleetsim.Options{
		Servers:       servers,
		FleetSize:     min(servers, maxFleetSize),
		Zones:         3,
		Seed:          uint64(o.Seed),
		DurationMs:    lengthMs,
		RatePerServer: growthRate,
		Cores:         2,
		MeanWorkMs:    20,
		HealthRules:   health.DefaultConfig,
		Checkers:      []fleetsim.Checker{},
	}
	if servers == largestServers { // for the memory; what an RPC costs is seen with fewer servers
		options.DurationMs = 60e3
		options.RatePerServer = 1
	}
	began := time.Now()
	simulation := fleetsim.New(options)
	result := simulation.Run()
	simulatedSeconds := options.DurationMs / 1000
	point := growthPoint{servers, options.RatePerServer, time.Since(began).Seconds() / simulatedSeconds}
	runtime.GC()
	runtime.ReadMemStats(&after)
	kb := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / 1024 / float64(servers)
	runtime.KeepAlive(simulation)
	r.AddRow(fmt.Sprintf("%d servers at %g RPC/s, %g s, one core: s a second; KB a server", servers, options.RatePerServer, simulatedSeconds), 1, point.realSeconds,
		fmt.Sprintf("%.0f KB, %.2g events/s", kb, float64(result.Events)/(point.realSeconds*simulatedSeconds)))
	if result.OK < result.Offered/2 {
		return point, fmt.Errorf("%d servers: %d ok of %d", servers, result.OK, result.Offered)
	}
	return point, nil
}
