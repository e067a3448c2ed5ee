package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// A flood of one event is rate-limited, and the next line of that event reports how many lines were dropped.
func TestLogFlood(t *testing.T) {
	var out bytes.Buffer
	log := NewLog(&out)
	at := time.Now()
	for i := range 1000 {
		log.WithTime(at).WithField("i", i).Warn("flood")
	}
	log.WithTime(at).Info("another")
	log.WithTime(at.Add(time.Minute)).Warn("flood")
	s := out.String()
	if n := strings.Count(s, "\n"); n != logBurst+2 || !strings.Contains(s, "msg=another") ||
		!strings.Contains(s, fmt.Sprint("dropped=", 1000-logBurst)) {
		t.Errorf("log after the flood: got %d lines: %s", n, s)
	}
}
