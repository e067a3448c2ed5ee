package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// A flood of one line is cut, and the next one that is written counts what was dropped.
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
		t.Errorf("%d lines: %s", n, s)
	}
}
