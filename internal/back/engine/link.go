package engine

// This file owns the connections of a link, one at a time: dial, writer, reader and the backoff between two.

import (
	"bufio"
	"context"
	"math/rand"
	"net"
	"strconv"
	"time"
)

const (
	// maxLineBytes bounds a line of the engine: a result of 4 KiB takes 6 KB as base64.
	maxLineBytes = 64 << 10
	// maxQueuedLines bounds the lines that are not written yet: all runs, after a break, and some ticks' STATs.
	maxQueuedLines = maxRuns + 256
	// dialTimeout is long: the engine is on the same machine.
	dialTimeout = time.Second
	// writeTimeout is for one line; an engine that reads nothing for so long is gone.
	writeTimeout = 2 * time.Second
	// minBackoff is waited before the first new connection: RPCs wait for it. It doubles up to maxBackoff.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// stableAge makes a connection a good one, after which the backoff begins with minBackoff again.
	stableAge = 1000 * time.Millisecond
)

// Serve keeps the link until ctx ends.
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
		case addrCtx.Err() != nil: // another address: RPCs wait for it, so there is no pause before it
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

// serveConn runs one connection until it breaks or ctx ends.
func (l *Link) serveConn(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { closeConn(conn) })()
	written := make(chan struct{})
	defer func() { <-written }() // once detach has closed the connection and the queue
	defer l.detach(conn)
	l.attach(conn, written)
	in := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		l.mu.Lock()
		timeout := l.silenceTimeout
		if !l.helloReceived { // the engine may have yet to start
			timeout = l.helloTimeout
		}
		_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only once closed, and so does the read
		l.mu.Unlock()
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		l.handleLine(line)
	}
}

// attach makes conn the link's connection, starts its writer, which closes written at its end, and sends ATTACH.
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

// detach ends the link's connection and all waits for an answer on it.
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

// closeConn closes a connection that is given up; an error changes nothing.
func closeConn(conn net.Conn) { _ = conn.Close() }

// send queues one line, as an engine that stalls must hold up neither the clock nor an RPC. A connection whose queue is
// full is ended: the next one sends all runs again. mu is held.
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

// writeQueued writes what is queued until the queue is closed. An error ends the connection.
func writeQueued(conn net.Conn, out <-chan []byte) {
	var err error
	for line := range out {
		if err != nil {
			continue // the reader ends the connection and closes the queue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only once closed, and so does the write
		if _, err = conn.Write(line); err != nil {
			closeConn(conn)
		}
	}
}

// sendStat sends a STAT and returns its mark and a channel that its answer closes. mu is held.
func (l *Link) sendStat() (mark string, answered chan struct{}) {
	l.lastMark++
	mark = strconv.FormatUint(l.lastMark, 36)
	answered = make(chan struct{})
	l.pendingStats[mark] = answered
	l.send(encodeLine(command{Type: commandStat, Mark: mark}))
	return mark, answered
}

// releaseStat ends the wait for the answer to a STAT. mu is held.
func (l *Link) releaseStat(mark string) {
	if answered := l.pendingStats[mark]; answered != nil {
		close(answered)
		delete(l.pendingStats, mark)
	}
}
