package engine

// This file interprets the lines of the engine. It must never report a run as not started that may have been started.

import (
	"encoding/base64"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// maxStartAgeMs limits the reported time since the start of the engine, to thirty years.
const maxStartAgeMs = 1e12

// handleLine handles one line from the engine. An invalid line is logged and skipped.
func (l *Link) handleLine(line []byte) {
	var n notice
	if err := json.Unmarshal(line, &n); err != nil {
		l.log.WithError(err).Warn("engine.unreadable_line")
		return
	}
	l.mu.Lock()
	if n.Number > 0 {
		if n.Number <= l.lastNotice { // handled on an earlier connection
			l.mu.Unlock()
			return
		}
		l.lastNotice = n.Number
	}
	afterUnlock := l.handleNotice(&n)
	l.mu.Unlock()
	if afterUnlock != nil {
		afterUnlock()
	}
}

// handleNotice handles a notice that has not been handled before. The caller must hold mu, and must call the returned function,
// which logs and calls callbacks, after unlocking mu; it may be nil.
func (l *Link) handleNotice(n *notice) (afterUnlock func()) {
	switch n.Type {
	case noticeHello:
		return l.handleHello(n)
	case noticeStats:
		l.gauges = n.Gauges
		l.gaugesAt = time.Now()
		l.statAnswered(n.Mark)
		return nil
	case noticeNo:
		return l.handleNo(n)
	case noticeDone:
		return l.handleDone(n)
	case noticeRemark:
		return nil
	}
	return func() { l.log.WithField("line", n.Type).Warn("engine.unknown_line") }
}

// handleHello handles the first line of a connection, which is followed by the notices that were missed. It sends a STAT,
// whose answer comes after these notices.
func (l *Link) handleHello(n *notice) func() {
	l.helloReceived = true
	l.sendStat()
	return func() {
		l.log.WithFields(logrus.Fields{"status": n.Status, "engine_age_ms": n.TimeMs}).Info("engine.attached")
		age := math.Min(math.Max(n.TimeMs, 0), maxStartAgeMs)
		l.onStart(n.Status == statusBooting, time.Duration(age*float64(time.Millisecond)))
	}
}

// handleNo handles the refusal of a command: a STAT, if the engine has no gauges, or a RUN.
func (l *Link) handleNo(n *notice) func() {
	if n.RunID == "" {
		l.statAnswered(n.Mark)
		return func() { l.log.WithField("command", n.Status).Warn("engine.command_rejected") }
	}
	c := Completion{Err: errUnknown}
	if r := l.runs[n.RunID]; r != nil && r.resent {
		c.Err = errInterrupted
	}
	callbacks := l.complete(n.RunID, c)
	return func() {
		l.log.WithFields(logrus.Fields{"command": n.Status, "rpc.id": n.RunID}).Warn("engine.run_rejected")
		callbacks()
	}
}

// handleDone handles the end of a run.
func (l *Link) handleDone(n *notice) func() {
	c := Completion{ServiceMs: n.TimeMs}
	switch n.Status {
	case statusSuccess:
		return l.handleSuccess(n, c)
	case statusInterrupted:
		c.Err = errInterrupted
	case statusNothing:
		c.Err = errNotStarted
		if r := l.runs[n.RunID]; r != nil && r.resent { // the notice of the end of the first run may have been lost
			c.Err = errInterrupted
		}
	default:
		c.Err = errFailed
	}
	return l.complete(n.RunID, c)
}

func (l *Link) handleSuccess(n *notice, c Completion) func() {
	result, err := base64.StdEncoding.DecodeString(n.Body)
	c.Result = result
	if err == nil {
		return l.complete(n.RunID, c)
	}
	c.Err = errResult
	callbacks := l.complete(n.RunID, c)
	return func() {
		l.log.WithField("rpc.id", n.RunID).WithError(err).Warn("engine.unreadable_result")
		callbacks()
	}
}

// statAnswered handles the answer to a STAT. After the first answer on a connection it sends all runs on that connection. The
// caller must hold mu.
func (l *Link) statAnswered(mark string) {
	l.releaseStat(mark)
	if l.synced {
		return
	}
	l.synced = true
	ids := make([]string, 0, len(l.runs))
	for id := range l.runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := l.runs[id]
		r.resent = r.sent
		r.sent = true
		l.send(r.command)
	}
}

// complete removes a run and returns a function that calls its callbacks. The caller must hold mu, and must call the function
// after unlocking mu.
func (l *Link) complete(id string, c Completion) func() {
	r := l.runs[id]
	delete(l.runs, id)
	return func() {
		if r == nil {
			return
		}
		for _, done := range r.callbacks {
			done(c)
		}
	}
}
