package fleetsim

import (
	"time"

	"sorrelvalve/internal/standin/script"
)

// This file carries out the steps of a fault script: on the network, on processes, and on engines and clocks.

const noServer = -1 // an event of no server

// applyStep carries out one step of the script.
func (sim *Simulation) applyStep(step *script.Step) {
	sim.observe(observedStep, int32(len(step.Action)), 0)
	switch step.Action {
	case "split", "cut", "loss", "mess", "delay", "heal":
		sim.applyNetworkStep(step)
	case "stop", "cont", "term", "kill", "start":
		sim.applyProcessStep(step)
	case "rate", "jump", "speed", "fail":
		sim.applyMachineStep(step)
	case "slow": // concerns streams, of which only the end is modelled
	case "relay": // a moment's cut on the test bed; nothing here
	}
}

// applyNetworkStep adds rules to the network, or removes them all.
func (sim *Simulation) applyNetworkStep(step *script.Step) {
	switch step.Action {
	case "split":
		sim.splitNetwork(script.ParseSets(step.Args[0]))
	case "cut":
		sim.addRule(step, networkRule{cut: true})
	case "loss":
		sim.addRule(step, networkRule{dropRate: step.NumberArg(1)})
	case "mess":
		sim.addRule(step, networkRule{disturbRate: step.NumberArg(1)})
	case "delay":
		sim.addRule(step, networkRule{delayMs: milliseconds(step.DurationArg(1)), jitterMs: milliseconds(step.DurationArg(2))})
	case "heal":
		sim.network.rules = sim.network.rules[:0]
	}
}

// addRule adds a network rule for the direction that a step names.
func (sim *Simulation) addRule(step *script.Step, rule networkRule) {
	from, to := script.ParseDirection(step.Args[0])
	if from != nil {
		rule.from = sim.serverSet(from)
	}
	if to != nil {
		rule.to = sim.serverSet(to)
	}
	sim.network.rules = append(sim.network.rules, rule)
}

// splitNetwork cuts both directions between each two of the sets.
func (sim *Simulation) splitNetwork(sets [][]string) {
	for i := range sets {
		for k := range sets {
			if i != k {
				rule := networkRule{cut: true, from: sim.serverSet(sets[i]), to: sim.serverSet(sets[k])}
				sim.network.rules = append(sim.network.rules, rule)
			}
		}
	}
}

// applyProcessStep does to processes what the signals do.
func (sim *Simulation) applyProcessStep(step *script.Step) {
	for _, s := range sim.stepServers(step) {
		switch step.Action {
		case "stop":
			s.stopped = s.up
		case "cont":
			sim.resumeProcess(s)
		case "term":
			sim.startDrain(s)
		case "kill":
			sim.endProcess(s)
		case "start":
			if !s.up {
				sim.startProcess(s)
			}
		}
	}
}

// applyMachineStep changes clocks and engines.
func (sim *Simulation) applyMachineStep(step *script.Step) {
	for _, s := range sim.stepServers(step) {
		switch step.Action {
		case "rate":
			s.clockBase = sim.localClock(s)
			s.clockSetAt = sim.now
			s.clockRate = step.NumberArg(1)
		case "jump":
			s.wallOffset += milliseconds(step.DurationArg(1))
		case "speed":
			if s.gate != nil {
				sim.advanceJobs(s)
				s.speed = step.NumberArg(1)
				sim.scheduleJobDone(s)
			}
		case "fail":
			s.failureRate = step.NumberArg(1)
		}
	}
}

// stepServers returns the servers that a step names first.
func (sim *Simulation) stepServers(step *script.Step) (servers []*server) {
	for _, i := range sim.serverIndexes(script.ParseNames(step.Args[0])) {
		servers = append(servers, &sim.servers[i])
	}
	return servers
}

// serverIndexes returns the indexes of some names; of all servers for nil.
func (sim *Simulation) serverIndexes(names []string) (indexes []int32) {
	if names == nil {
		for i := range sim.servers {
			indexes = append(indexes, int32(i))
		}
	}
	for _, name := range names {
		indexes = append(indexes, serverIndex(name))
	}
	return indexes
}

// serverSet returns the set of some names; of all servers for nil.
func (sim *Simulation) serverSet(names []string) serverSet {
	return newServerSet(len(sim.servers), sim.serverIndexes(names))
}

// milliseconds converts a duration to virtual time.
func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }
