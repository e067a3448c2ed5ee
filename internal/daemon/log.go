package daemon

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// This file owns the form of the log and its limit in a flood. It must never hold up a caller that logs.

// The limit on lines of one event: the first few of a flood show what it is, and then two a second that it goes on.
const (
	logBurst = 20 // lines
	logRate  = 2  // lines per second
)

// logTimeFormat is RFC 3339 with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { logrus.ErrorKey = "err" }

// rateLimitedFormatter drops lines of an event that come too fast, and counts them on the next one that is written.
type rateLimitedFormatter struct {
	logrus.Formatter
	mu       sync.Mutex
	limiters map[string]*eventLimiter // by message; messages are constant event names, so there are few
}

// eventLimiter limits the lines of one event.
type eventLimiter struct {
	*rate.Limiter
	dropped int // since the last line that was written
}

// Format returns the bytes of one line, or none if the line is dropped.
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

// NewLog returns a logger that writes lines as the daemon does, floods of one event limited.
func NewLog(out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&rateLimitedFormatter{
		Formatter: &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logTimeFormat},
		limiters:  map[string]*eventLimiter{},
	})
	return l
}
