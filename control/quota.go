package control

import "math"

// quotaMeter measures how much of a customer's traffic lies within this server's part of its quota.
type quotaMeter struct {
	rate   float64 // RPCs per ms within the quota; 0 for no quota
	count  float64 // recent first attempts, decaying exponentially
	lastAt float64 // clock value in ms at the latest RPC
}

// fractionWithin counts an RPC and returns the fraction of such RPCs that lies within the quota. startedAt is the clock
// value at the start of the server.
func (m *quotaMeter) fractionWithin(now, startedAt float64, retry bool) float64 {
	const (
		memory  = 4000.0 // ms, long enough to count some tens of RPCs, short enough to see a burst
		headway = 1000   // ms: the first second is too short to measure a rate
	)
	if m.rate == 0 {
		return 1
	}
	age := now - startedAt + headway
	m.count *= math.Exp((m.lastAt - now) / memory)
	m.lastAt = now
	if !retry {
		m.count++
	}
	return math.Min(1, m.rate*memory*(1-math.Exp(-age/memory))/m.count)
}
