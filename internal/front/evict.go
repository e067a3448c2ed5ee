package front

import "time"

const (
	// MaxEvictions is how many unused connections one call of Evict closes. Unused connections can arrive by the
	// hundred, and scanning the whole table for each new one took a fifth of the server's time.
	MaxEvictions = 16
	// maxClosingIdle is the number of closing connections at which no further idle connection is evicted. A closing
	// connection takes evictedLinger if its peer does not close it, so 80 new connections a second are admitted however
	// many are idle.
	maxClosingIdle = 4
	// evictionPause is the time between two evictions, in which the evicted connection can close.
	evictionPause = 10 * time.Millisecond
	// idleCheckInterval is the interval between checks for idle connections: a tenth of the shortest idle timeout in
	// use.
	idleCheckInterval = 100 * time.Millisecond
)

// acquire waits for a permit for one more connection, and evicts other connections until it has one.
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

// withholdPermits permanently lowers the connection limit to the number of open connections less reservedDescriptors,
// and evicts connections until the limit is met. It is called when the process runs out of file descriptors before it
// reaches the limit. Otherwise accept would take every descriptor that becomes free and leave none for the membership
// reporter and the engine's link, which the server depends on.
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

// Evict closes the connections that are least useful. It closes up to MaxEvictions unused connections, as many unused
// connections would otherwise keep working peers out. If there are none, it closes the connection that has been idle
// the longest, unless maxClosingIdle connections are closing already or one is waiting for its first message.
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

// closeIdleConns closes connections that have been idle for the idle timeout. It returns when all accept loops have
// ended.
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
