package fleetsim

import (
	"encoding/binary"
	"fmt"
	"math"

	"sorrelvalve/decision/health"
)

// Result is the outcome of a run.
type Result struct {
	Digest         uint64 // hash over all that was observed: equal for equal seeds
	Events         uint64 // events processed
	Findings       []Finding
	CasesByChecker map[string]int                      // how many cases each checker examined
	SettledMs      float64                             // time after the last script step until all views stayed complete; negative for never
	Network        struct{ Delivered, Dropped uint64 } // packets
	Offered        int                                 // RPCs that callers began, and how they ended
	OK             int
	Rejected       int
	Failed         int                   // aborted, or without an answer
	Attempts       int                   // attempts of all RPCs
	ServedWeight   float64               // priority weight of the RPCs served
	OfferedWeight  float64               // priority weight of all RPCs
	FinalStates    []health.ClusterState // view of each server that runs at the end
}

// Finding is one violation that a checker found.
type Finding struct {
	AtMs    float64 // virtual time
	Checker string
	Message string
}

// String is the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: at %.1f s: %s", f.Checker, f.AtMs/1000, f.Message)
}

// maxFindings bounds the findings kept of a run: the first ones point at the cause.
const maxFindings = 20

// AddFinding records a violation; findings beyond the first 20 are dropped.
func (sim *Simulation) AddFinding(checker, format string, a ...any) {
	if len(sim.findings) < maxFindings {
		sim.findings = append(sim.findings, Finding{sim.now, checker, fmt.Sprintf(format, a...)})
	}
}

// observation is what the digest is told of. The numbers are part of each run's digest and must not change.
type observation byte

const (
	observedAlive       observation = 1
	observedLost        observation = 2
	observedStall       observation = 10
	observedFinalState  observation = 20
	observedStep        observation = 30
	observedRPCResult   observation = 40 // plus the rpcResult
	observedQuotaAdmits observation = 60
)

// observe adds to the digest what happened, to whom, and the time.
func (sim *Simulation) observe(what observation, a, b int32) {
	record := make([]byte, 0, 17)
	record = append(record, byte(what))
	record = binary.LittleEndian.AppendUint64(record, math.Float64bits(sim.now))
	record = binary.LittleEndian.AppendUint32(record, uint32(a))
	record = binary.LittleEndian.AppendUint32(record, uint32(b))
	_, _ = sim.digest.Write(record) // a hash's Write never fails
}

// report assembles the result at the end of a run.
func (sim *Simulation) report() *Result {
	r := &sim.result
	for _, c := range sim.checkers {
		c.Finish(sim)
		if r.CasesByChecker == nil {
			r.CasesByChecker = map[string]int{}
		}
		cases := c.Cases()
		r.CasesByChecker[c.Name()] = cases
		if cases == 0 && c.MustHaveCases(sim) {
			sim.AddFinding(c.Name(), "saw no case")
		}
	}
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up || s.stopped {
			continue
		}
		state := s.health.State(sim.localClock(s))
		r.FinalStates = append(r.FinalStates, state)
		sim.observe(observedFinalState, s.index, int32(state))
	}
	r.Findings = sim.findings
	r.Digest = sim.digest.Sum64()
	r.Network.Delivered = sim.network.delivered
	r.Network.Dropped = sim.network.dropped
	return r
}
