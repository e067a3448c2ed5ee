package front

import "time"

const (
	// MaxEvictions is how many unused connections one call of Evict closes: a crowd of them comes by hundreds, and going
	// over all connections for each new one took a fifth of the server's time.
	MaxEvictions = 16
	// maxClosingIdle is how many connections may be closing at once for an idle one to be evicted: each takes
	// evictedLinger if its peer does not close, so eighty new ones a second get in however many are idle.
	maxClosingIdle = 4
	// evictionPause is waited for an evicted connection to close before the next eviction.
	evictionPause = 10 * time.Millisecond
	// idleCheckInterval is how often connections are checked for idleness: a tenth of the shortest idle timeout in use.
	idleCheckInterval = 100 * time.Millisecond
)

// acquire waits for a permit for one more connection, and evicts others meanwhile.
func (t *ConnTable) acquire() {
	select {
	case t.permits <- struct{}{}:
		return
	default:
		t.log.WithField("max_connections", cap(t.permits)).Warn("server.connection_limit_reached")
	}
	for {
		t.Evict()
		select {
		case t.permits <- struct{}{}:
			return
		case <-time.After(evictionPause):
		}
	}
}

// withholdPermits lowers the limit for good to the connections open now less reservedDescriptors, and evicts down to
// that. It guards against descriptors that run out before the limit is reached: without it accept would take each one
// that comes free, and the membership reporter and the engine's link, which the server can't do without, would get none.
func (t *ConnTable) withholdPermits() {
	withheld := int(t.withheldPermits.Load())
	unused := cap(t.permits) - len(t.permits)
	n := min(unused+reservedDescriptors, cap(t.permits)-minConnections-withheld)
	for range n {
		if t.shuttingDown.Load() {
			return
		}
		t.acquire()
		t.withheldPermits.Add(1)
	}
	limit := cap(t.permits) - int(t.withheldPermits.Load())
	t.log.WithField("max_connections", limit).Warn("server.connection_limit_lowered")
}

// Evict closes the connections that are missed least. Unused ones go first, up to MaxEvictions: else a crowd of them
// would keep sound peers out. Without any it closes the one that has been idle for longest.
func (t *ConnTable) Evict() {
	var longestIdle Conn
	var idleSince time.Time
	evicted, closing, awaiting := 0, 0, false
	now := time.Now()
	for _, c := range t.Conns() {
		class, last := c.EvictionPriority(now)
		switch {
		case class == Unused && evicted < MaxEvictions:
			c.Evict(last)
			evicted++
		case class == AwaitingFirstMessage:
			awaiting = true
		case class == Closing:
			closing++
		case class == Idle && (longestIdle == nil || last.Before(idleSince)):
			longestIdle, idleSince = c, last
		}
	}
	if evicted == 0 && closing < maxClosingIdle && !awaiting && longestIdle != nil {
		longestIdle.Evict(idleSince)
	}
}

// closeIdleConns closes connections that have carried nothing for the idle timeout, until nothing is accepted any more.
func (t *ConnTable) closeIdleConns() {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.acceptorsDone:
			return
		case <-tick.C:
		}
		idle := t.idleTimeout()
		for _, c := range t.Conns() {
			c.CloseIdle(idle, LingerTimeout)
		}
	}
}
