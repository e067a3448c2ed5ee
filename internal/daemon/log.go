package daemon

// This file owns the form of the log and its limit in a flood. It must never hold up who logs.

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Lines of one kind: the first few of a flood tell what it is, and then two a second that it goes on.
const (
	logBurst = 20
	logRate  = 2
)

// limited drops lines of a kind that come too fast, and counts them on the next one that is written.
type rateLimitedFormatter struct {
	logrus.Formatter
	mu       sync.Mutex
	limiters map[string]*eventLimiter
}

type eventLimiter struct {
	*rate.Limiter
	dropped int
}

// Format writes one line or none. The texts of lines are constants, so there are few kinds.
func (f *rateLimitedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.limiters[e.Message]
	if k == nil {
		k = &eventLimiter{Limiter: rate.NewLimiter(logRate, logBurst)}
		f.limiters[e.Message] = k
	}
	if !k.AllowN(e.Time, 1) {
		k.dropped++
		return nil, nil
	}
	if k.dropped > 0 {
		with := e.WithField("dropped", k.dropped)
		with.Time, with.Level, with.Message = e.Time, e.Level, e.Message
		e, k.dropped = with, 0
	}
	return f.Formatter.Format(e)
}

// NewLog writes lines as the daemon does, floods cut.
func NewLog(out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&rateLimitedFormatter{
		Formatter: &logrus.TextFormatter{
			DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		},
		limiters: map[string]*eventLimiter{},
	})
	return l
}
