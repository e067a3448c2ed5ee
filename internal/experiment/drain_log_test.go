package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/daemon"
)

// The events of drains are read from a log that is written as the daemon writes it.
func TestServerHistory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n0.log")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	logger := daemon.NewLog(file)
	began := time.Now().Add(-time.Minute).Truncate(time.Millisecond)
	at := func(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }
	for _, line := range []struct {
		second int
		event  string
	}{
		{0, eventServing},
		{10, eventDrainStarted},
		{12, eventServing},
		{15, eventDrainFinished},
		{16, "something.else"},
		{30, eventDrainStarted},
	} {
		logger.WithTime(at(line.second)).WithFields(logrus.Fields{"who": "lab", "why": "roll"}).Info(line.event)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	var h serverHistory
	if err := h.read("n0", path); err != nil {
		t.Fatal(err)
	}
	if len(h.drains) != 2 || len(h.starts) != 2 {
		t.Fatalf("%d drains and %d starts, want 2 and 2", len(h.drains), len(h.starts))
	}
	if !h.drains[0].from.Equal(at(10)) || !h.drains[0].to.Equal(at(15)) || !h.drains[1].from.Equal(at(30)) {
		t.Errorf("%v", h.drains)
	}
	if h.drains[1].to.Before(at(59)) {
		t.Errorf("a drain that is not over ended at %s", h.drains[1].to)
	}
	if got := h.drainsAfterLoss([]serverEvent{{"n0", at(4)}}); got != 1 { // down from 4 to 12, known from 8.5
		t.Errorf("%d drains after a loss, want 1", got)
	}
	if got := h.drainsAfterLoss([]serverEvent{{"n0", at(8)}}); got != 0 { // not known before 12.5, when it was back
		t.Errorf("%d drains after a loss that was not known, want 0", got)
	}
	if got := h.drainsWithin([]period{{at(29), at(31)}, {at(40), at(41)}}); got != 1 {
		t.Errorf("%d drains within, want 1", got)
	}
	if got := maxOverlapping(h.drains); got != 1 {
		t.Errorf("%d at a time, want 1", got)
	}
	if got := maxOverlapping(append(h.drains, period{at(14), at(16)})); got != 2 {
		t.Errorf("%d at a time, want 2", got)
	}
}
