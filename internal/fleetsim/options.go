package fleetsim

import (
	"fmt"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/standin/script"
)

// Options configure one simulation run. Times are in ms of virtual time.
type Options struct {
	Servers         int
	FleetSize       int // servers that know one another; 0 puts all into one fleet. A fleet is bounded at 4,096
	Zones           int // 0 means one
	Seed            uint64
	DurationMs      float64
	Script          script.Script
	RatePerServer   float64         // RPCs per second and server; 0 for no RPCs and no gates
	Cores           int             // cores of each engine
	MeanWorkMs      float64         // mean core time of an RPC
	SlowStartMs     float64         // how long a server warms up; 0 for none
	Checkers        []Checker       // nil runs AllCheckers
	HealthRules     health.Config   // the zero value means the defaults
	MaxClockDrift   float64         // bound on the difference of clock rates; 0 means 1e-3, negative none
	CheckIntervalMs float64         // time between two calls of the checkers; 0 means 500
	SingleAttempt   bool            // callers never retry, and draw a server for each RPC
	Quota           *QuotaOptions   // quotas that the servers share; nil for none
	Backends        *BackendOptions // a backend pool called by the servers; nil for none
	SettleTimeoutMs float64         // time after the last script step until views must be complete; 0 means 20,000

	injected injectedFault // a fault in the servers' code, for tests of the checkers
}

// injectedFault is a programming error that tests put into the simulated servers, so that a checker has something to find.
type injectedFault int

const (
	noInjectedFault     injectedFault = iota
	staleAfterStall                   // a server that resumes trusts what it knew before its stall
	silenceIsDeparture                // a silent peer is removed from the roster
	neverAliveAgain                   // a peer that was lost once never counts as alive again
	duplicateAnswers                  // some RPCs are answered twice
	missingAnswers                    // some RPCs are never answered
	duplicateRuns                     // some idempotency tokens run twice
	skipLeaseQuarantine               // a restarted server doesn't wait for the leases that its predecessor may have granted
)

const (
	defaultClockDrift = 1e-3 // clocks of real machines differ by less
	defaultSettleMs   = 20e3 // twice what the failure detector takes at most with 30 servers, and a join
	checkIntervalMs   = 500.0
)

// withDefaults replaces zero values by their defaults.
func (o Options) withDefaults() Options {
	if o.HealthRules == (health.Config{}) {
		o.HealthRules = health.DefaultConfig
		o.HealthRules.ExpectedServers = o.Servers
		if o.FleetSize > 0 {
			o.HealthRules.ExpectedServers = 0
		}
	}
	if o.MaxClockDrift == 0 {
		o.MaxClockDrift = defaultClockDrift
	}
	if o.SettleTimeoutMs == 0 {
		o.SettleTimeoutMs = defaultSettleMs
	}
	if o.CheckIntervalMs == 0 {
		o.CheckIntervalMs = checkIntervalMs
	}
	if o.Checkers == nil {
		o.Checkers = AllCheckers()
	}
	return o
}

// ServerNames returns the names of n servers as scripts use them: n0, n1, ...
func ServerNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

// serverIndex returns the index of a server's name; 0 for what is no such name.
func serverIndex(name string) int32 {
	return nameIndex(name, "n%d")
}

// nameIndex reads the number in a name of the given fmt.Sscanf format.
func nameIndex(name, format string) (index int32) {
	if _, err := fmt.Sscanf(name, format, &index); err != nil {
		return 0
	}
	return index
}
