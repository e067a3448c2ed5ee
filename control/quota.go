package control

import "math"

// share measures how much of a customer's traffic lies within this server's part of its quota.
type share struct {
	rate        float64 // RPCs a millisecond within the share
	count, last float64 // first tries of late, older ones weighing less; when the last came
}

// within counts an RPC and returns the part of such RPCs that lies within the share.
func (s *share) within(now, begin float64, again bool) float64 {
	const memory = 4000.0 // long enough to count some tens of RPCs, short enough to see a burst
	if s.rate == 0 {
		return 1
	}
	age := now - begin + 1000 // the first second is too short to tell a rate
	s.count, s.last = s.count*math.Exp((s.last-now)/memory), now
	if !again {
		s.count++
	}
	return math.Min(1, s.rate*memory*(1-math.Exp(-age/memory))/s.count)
}
