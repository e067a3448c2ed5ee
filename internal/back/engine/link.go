package engine

// This file manages the connections of a link, one at a time: dialling, writing, reading, and the backoff between connections.

import (
	"bufio"
	"context"
	"math/rand"
	"net"
	"strconv"
	"time"
)

const (
	// maxLineBytes is the maximum length of a line from the engine: a result of 4 KiB takes 6 KB as base64.
	maxLineBytes = 64 << 10
	// maxQueuedLines is the maximum number of queued lines: all runs, after a lost connection, and the STATs of some ticks.
	maxQueuedLines = maxRuns + 256
	// dialTimeout is generous, as the engine is on the same machine.
	dialTimeout = time.Second
	// writeTimeout applies to one line. An engine that reads nothing for that long is considered lost.
	writeTimeout = 2 * time.Second
	// minBackoff is the pause before the first reconnection. It is short because RPCs wait for the connection, and doubles up
	// to maxBackoff.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// stableAge is the age from which a connection counts as stable: after it the backoff starts from minBackoff again.
	stableAge = 1000 * time.Millisecond
)

// Serve keeps the link connected until ctx ends.
func (l *Link) Serve(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		addrCtx, cancelAddr := context.WithCancel(ctx)
		l.mu.Lock()
		addr := l.addr
		l.cancelAddr = cancelAddr
		l.mu.Unlock()
		began := time.Now()
		err := l.serveConn(addrCtx, addr)
		switch {
		case ctx.Err() != nil:
		case addrCtx.Err() != nil: // the address has changed: connect without a pause, because RPCs wait
			backoff = minBackoff
		default:
			if time.Since(began) > stableAge {
				backoff = minBackoff
			}
			l.log.WithError(err).Warn("engine.link_lost")
			sleepContext(addrCtx, backoff+time.Duration(rand.Int63n(int64(backoff))))
			backoff = min(maxBackoff, 2*backoff)
		}
		cancelAddr()
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// serveConn operates one connection until it fails or ctx ends.
func (l *Link) serveConn(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { closeConn(conn) })()
	written := make(chan struct{})
	defer func() { <-written }() // the writer ends after detach has closed the connection and the queue
	defer l.detach(conn)
	l.attach(conn, written)
	in := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		l.mu.Lock()
		timeout := l.silenceTimeout
		if !l.helloReceived { // the engine may not have started yet
			timeout = l.helloTimeout
		}
		_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, as does the read
		l.mu.Unlock()
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		l.handleLine(line)
	}
}

// attach makes conn the connection of the link, starts its writer, which closes written when it ends, and sends ATTACH.
func (l *Link) attach(conn net.Conn, written chan<- struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.out = make(chan []byte, maxQueuedLines)
	go func(out <-chan []byte) {
		writeQueued(conn, out)
		close(written)
	}(l.out)
	last := l.lastNotice
	l.send(encodeLine(command{Type: commandAttach, Number: &last}))
}

// detach closes the connection of the link and releases all goroutines that wait for an answer on it.
func (l *Link) detach(conn net.Conn) {
	l.mu.Lock()
	close(l.out)
	l.conn = nil
	l.synced = false
	for mark := range l.pendingStats {
		l.releaseStat(mark)
	}
	l.mu.Unlock()
	closeConn(conn)
}

// closeConn closes a connection that is no longer used, so an error does not matter.
func closeConn(conn net.Conn) { _ = conn.Close() }

// send queues a line without blocking, because a stalled engine must delay neither the clock nor an RPC. If the queue is full,
// send closes the connection: all runs are sent again on the next one. The caller must hold mu.
func (l *Link) send(line []byte) {
	if l.conn == nil {
		return
	}
	select {
	case l.out <- line:
	default:
		closeConn(l.conn)
	}
}

// writeQueued writes queued lines until the queue is closed. On an error it closes the connection.
func writeQueued(conn net.Conn, out <-chan []byte) {
	var err error
	for line := range out {
		if err != nil {
			continue // the reader ends the connection and closes the queue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as does the write
		if _, err = conn.Write(line); err != nil {
			closeConn(conn)
		}
	}
}

// sendStat sends a STAT and returns its mark and a channel that is closed when the answer arrives. The caller must hold mu.
func (l *Link) sendStat() (mark string, answered chan struct{}) {
	l.lastMark++
	mark = strconv.FormatUint(l.lastMark, 36)
	answered = make(chan struct{})
	l.pendingStats[mark] = answered
	l.send(encodeLine(command{Type: commandStat, Mark: mark}))
	return mark, answered
}

// releaseStat ends the wait for the answer to a STAT. The caller must hold mu.
func (l *Link) releaseStat(mark string) {
	if answered := l.pendingStats[mark]; answered != nil {
		close(answered)
		delete(l.pendingStats, mark)
	}
}
