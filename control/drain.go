package control

import "math"

// drain is the time to leave.
type drain struct {
	on          bool
	since, stop float64
}

// bound lets an RPC be answered before the stop, by a look at what falls due to spare.
func (d *drain) bound(r *rpc) {
	if d.on {
		r.due = math.Min(r.due, d.stop-period)
		r.target = math.Min(r.target, r.due)
	}
}
