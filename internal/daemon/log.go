package daemon

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// This file defines the format of the log and limits the rate of repeated events. It must never block the caller that logs.

// The limits on lines of one event: the first lines of a flood show its cause, and two per second show that it continues.
const (
	logBurst = 20 // lines
	logRate  = 2  // lines per second
)

// logTimeFormat is RFC 3339 with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { logrus.ErrorKey = "err" }

// rateLimitedFormatter drops lines of an event beyond its rate limit, and adds their number to the next line it writes.
type rateLimitedFormatter struct {
	logrus.Formatter
	mu       sync.Mutex
	limiters map[string]*eventLimiter // by message; messages are constant event names, so there are few
}

// eventLimiter limits the lines of one event.
type eventLimiter struct {
	*rate.Limiter
	dropped int // number of lines since the last one written
}

// Format returns the bytes of one line, or nil if the line is dropped.
func (f *rateLimitedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limiter := f.limiters[e.Message]
	if limiter == nil {
		limiter = &eventLimiter{Limiter: rate.NewLimiter(logRate, logBurst)}
		f.limiters[e.Message] = limiter
	}
	if !limiter.AllowN(e.Time, 1) {
		limiter.dropped++
		return nil, nil
	}
	if limiter.dropped > 0 {
		withCount := e.WithField("dropped", limiter.dropped)
		withCount.Time = e.Time
		withCount.Level = e.Level
		withCount.Message = e.Message
		e = withCount
		limiter.dropped = 0
	}
	return f.Formatter.Format(e)
}

// NewLog returns a logger that writes in the format of the daemon and limits the rate of each event.
func NewLog(out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&rateLimitedFormatter{
		Formatter: &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logTimeFormat},
		limiters:  map[string]*eventLimiter{},
	})
	return l
}
