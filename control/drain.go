package control

import "math"

// drain is the state of a graceful shutdown. Its times are clock values in ms.
type drain struct {
	active    bool
	noticedAt float64
	stopAt    float64
}

// clampDeadline limits an RPC's deadline so that it is answered one timer before the stop.
func (d *drain) clampDeadline(r *rpc) {
	if d.active {
		r.deadline = math.Min(r.deadline, d.stopAt-tickPeriod)
		r.objective = math.Min(r.objective, r.deadline)
	}
}

// onDrainNotice starts a drain.
func (c *Controller) onDrainNotice(ev *Event) {
	noticedAt := c.now - ev.Age
	c.drain = drain{active: true, noticedAt: noticedAt, stopAt: noticedAt + ev.Remaining}
	for i := range c.rpcs.slots {
		c.drain.clampDeadline(&c.rpcs.slots[i])
	}
	c.emit(Action{Kind: SetHealth}, Action{Kind: LogEvent, Message: "drain.notice_received"})
}

// onDrainCancelled ends a drain. RPCs in flight keep their limited deadlines.
func (c *Controller) onDrainCancelled() {
	c.drain = drain{}
	c.emit(Action{Kind: SetHealth, Healthy: c.health.healthy}, Action{Kind: LogEvent, Message: "drain.notice_cancelled"})
}
