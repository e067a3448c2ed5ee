package recovery

import "testing"

func TestResolve(t *testing.T) {
	for _, c := range []struct {
		name     string
		entry    Entry
		arrived  float64
		bodyHash uint64
		want     Resolution
	}{
		{"past its own window, within the window configured now", Entry{Succeeded, 7, 1000, 900}, 1090, 7, ReplayResult},
		{"past both windows", Entry{Succeeded, 7, 1000, 900}, 1150, 7, Unknown},
		{"started without a recorded end", Entry{Started, 7, 1000, 0}, 500, 7, MayHaveRun},
		{"succeeded", Entry{Succeeded, 7, 1000, 0}, 500, 7, ReplayResult},
		{"failed", Entry{Failed, 7, 1000, 0}, 500, 7, MayHaveRun},
		{"result not recorded", Entry{SucceededUncached, 7, 1000, 0}, 500, 7, HasRun},
		{"never ran", Entry{NeverRan, 7, 1000, 0}, 500, 7, Unknown},
		{"another body", Entry{Succeeded, 7, 1000, 0}, 500, 8, BodyMismatch},
		{"another body, and may have run", Entry{Started, 7, 1000, 0}, 500, 8, BodyMismatch},
		{"past the window, within the clock tolerance", Entry{Succeeded, 7, 1000, 0}, 1040, 7, ReplayResult},
		{"past the window and the clock tolerance", Entry{Succeeded, 7, 1000, 0}, 1050, 7, Unknown},
		{"state of a later version", Entry{99, 7, 1000, 0}, 500, 7, MayHaveRun},
	} {
		if got := Resolve(c.entry, c.arrived, c.bodyHash, 200, 50); got != c.want {
			t.Errorf("%s: resolution %v, want %v", c.name, got, c.want)
		}
	}
}

func TestAdmit(t *testing.T) {
	healthy := Disk{CapacityBytes: 1000, UsedBytes: 500, ReservedBytes: 100, FreesAtMs: 5000}
	for _, c := range []struct {
		name   string
		change func(*Disk)
		need   float64
		after  float64 // wanted Retry-After; 0: admitted
	}{
		{"enough space", func(*Disk) {}, 400, 0},
		{"no space beside the reserved bytes", func(*Disk) {}, 401, 4000},
		{"no space, unknown when any is freed", func(d *Disk) { d.FreesAtMs = 0 }, 401, brokenRetryAfter},
		{"space is freed in 1 ms", func(d *Disk) { d.FreesAtMs = 1001 }, 401, minRetryAfter},
		{"recovering", func(d *Disk) { d.Health = Recovering }, 1, recoveringRetryAfter},
		{"broken", func(d *Disk) { d.Health = Broken }, 1, brokenRetryAfter},
		{"entries may be missing", func(d *Disk) { d.SuspectUntilMs = 3000 }, 1, 2000},
		{"entries can no longer be missing", func(d *Disk) { d.SuspectUntilMs = 1000 }, 1, 0},
	} {
		d := healthy
		c.change(&d)
		rejection := d.Admit(1000, c.need)
		if (rejection == nil) != (c.after == 0) || rejection != nil && rejection.RetryAfterMs != c.after {
			t.Errorf("%s: rejection %+v, want Retry-After %g ms", c.name, rejection, c.after)
		}
	}
}

func TestDroppable(t *testing.T) {
	for _, c := range []struct {
		segment Segment
		now     float64
		want    bool
	}{{Segment{LastExpiryMs: 1000}, 1000, false}, {Segment{LastExpiryMs: 1000}, 1050, false}, {Segment{LastExpiryMs: 1000}, 1051, true}, {Segment{LastExpiryMs: 1000, OpenRuns: 1}, 9000, false}} {
		if got := c.segment.Droppable(c.now, 50); got != c.want {
			t.Errorf("segment %+v at %g: droppable %v", c.segment, c.now, got)
		}
	}
	if SuspectUntil(1000, 500, 50) != 1550 || Damaged(false) || !Damaged(true) {
		t.Error("wrong result of SuspectUntil or Damaged")
	}
}
