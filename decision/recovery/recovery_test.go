package recovery

import "testing"

func TestResolve(t *testing.T) {
	for _, c := range []struct {
		name string
		e    Entry
		door float64
		body uint64
		want Resolution
	}{
		{"past its window, within that of today", Entry{Succeeded, 7, 1000, 900}, 1090, 7, ReplayResult},
		{"past both windows", Entry{Succeeded, 7, 1000, 900}, 1150, 7, Unknown},
		{"started without an end", Entry{Started, 7, 1000, 0}, 500, 7, MayHaveRun},
		{"done", Entry{Succeeded, 7, 1000, 0}, 500, 7, ReplayResult},
		{"failed", Entry{Failed, 7, 1000, 0}, 500, 7, MayHaveRun},
		{"result not recorded", Entry{SucceededUncached, 7, 1000, 0}, 500, 7, HasRun},
		{"never ran", Entry{NeverRan, 7, 1000, 0}, 500, 7, Unknown},
		{"another body", Entry{Succeeded, 7, 1000, 0}, 500, 8, BodyMismatch},
		{"another body of what may have run", Entry{Started, 7, 1000, 0}, 500, 8, BodyMismatch},
		{"past the window, within the tolerance", Entry{Succeeded, 7, 1000, 0}, 1040, 7, ReplayResult},
		{"past both", Entry{Succeeded, 7, 1000, 0}, 1050, 7, Unknown},
		{"a state of a later build", Entry{99, 7, 1000, 0}, 500, 7, MayHaveRun},
	} {
		if got := Resolve(c.e, c.door, c.body, 200, 50); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestAdmit(t *testing.T) {
	sound := Disk{CapacityBytes: 1000, UsedBytes: 500, ReservedBytes: 100, FreesAtMs: 5000}
	for _, c := range []struct {
		name   string
		change func(*Disk)
		need   float64
		after  float64 // 0: it may
	}{
		{"space", func(*Disk) {}, 400, 0},
		{"none with what ends may write", func(*Disk) {}, 401, 4000},
		{"none, and nothing frees up", func(d *Disk) { d.FreesAtMs = 0 }, 401, brokenRetryAfter},
		{"soon", func(d *Disk) { d.FreesAtMs = 1001 }, 401, minRetryAfter},
		{"recovery", func(d *Disk) { d.Health = Recovering }, 1, recoveringRetryAfter},
		{"broken", func(d *Disk) { d.Health = Broken }, 1, brokenRetryAfter},
		{"suspect", func(d *Disk) { d.SuspectUntilMs = 3000 }, 1, 2000},
		{"no longer suspect", func(d *Disk) { d.SuspectUntilMs = 1000 }, 1, 0},
	} {
		d := sound
		c.change(&d)
		r := d.Admit(1000, c.need)
		if (r == nil) != (c.after == 0) || r != nil && r.RetryAfterMs != c.after {
			t.Errorf("%s: %+v, want after %g", c.name, r, c.after)
		}
	}
}

func TestDroppable(t *testing.T) {
	for _, c := range []struct {
		s    Segment
		now  float64
		want bool
	}{{Segment{LastExpiryMs: 1000}, 1000, false}, {Segment{LastExpiryMs: 1000}, 1050, false}, {Segment{LastExpiryMs: 1000}, 1051, true}, {Segment{LastExpiryMs: 1000, OpenRuns: 1}, 9000, false}} {
		if got := c.s.Droppable(c.now, 50); got != c.want {
			t.Errorf("%+v at %g: %v", c.s, c.now, got)
		}
	}
	if SuspectUntil(1000, 500, 50) != 1550 || Damaged(false) || !Damaged(true) {
		t.Error("SuspectUntil or Damaged")
	}
}
