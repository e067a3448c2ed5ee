package recovery

import "testing"

func TestTell(t *testing.T) {
	for _, c := range []struct {
		name string
		e    Entry
		door float64
		body uint64
		want Says
	}{
		{"past its window, within that of today", Entry{Done, 7, 1000, 900}, 1090, 7, Answer},
		{"past both windows", Entry{Done, 7, 1000, 900}, 1150, 7, Unknown},
		{"begun without an end", Entry{Begun, 7, 1000, 0}, 500, 7, MayRun},
		{"done", Entry{Done, 7, 1000, 0}, 500, 7, Answer},
		{"failed", Entry{Failed, 7, 1000, 0}, 500, 7, MayRun},
		{"not kept", Entry{Unkept, 7, 1000, 0}, 500, 7, HasRun},
		{"never ran", Entry{Forgotten, 7, 1000, 0}, 500, 7, Unknown},
		{"another body", Entry{Done, 7, 1000, 0}, 500, 8, OtherBody},
		{"another body of what may have run", Entry{Begun, 7, 1000, 0}, 500, 8, OtherBody},
		{"past the window, within the tolerance", Entry{Done, 7, 1000, 0}, 1040, 7, Answer},
		{"past both", Entry{Done, 7, 1000, 0}, 1050, 7, Unknown},
		{"a state of a later build", Entry{99, 7, 1000, 0}, 500, 7, MayRun},
	} {
		if got := Tell(c.e, c.door, c.body, 200, 50); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestMay(t *testing.T) {
	sound := Disk{Most: 1000, Used: 500, Reserve: 100, Frees: 5000}
	for _, c := range []struct {
		name   string
		change func(*Disk)
		need   float64
		after  float64 // 0: it may
	}{
		{"room", func(*Disk) {}, 400, 0},
		{"none with what ends may write", func(*Disk) {}, 401, 4000},
		{"none, and nothing frees up", func(d *Disk) { d.Frees = 0 }, 401, brokenAway},
		{"soon", func(d *Disk) { d.Frees = 1001 }, 401, leastAway},
		{"recovery", func(d *Disk) { d.Health = Recovers }, 1, recoverAway},
		{"broken", func(d *Disk) { d.Health = Broken }, 1, brokenAway},
		{"suspect", func(d *Disk) { d.Suspect = 3000 }, 1, 2000},
		{"no longer suspect", func(d *Disk) { d.Suspect = 1000 }, 1, 0},
	} {
		d := sound
		c.change(&d)
		r := d.May(1000, c.need)
		if (r == nil) != (c.after == 0) || r != nil && r.After != c.after {
			t.Errorf("%s: %+v, want after %g", c.name, r, c.after)
		}
	}
}

func TestDroppable(t *testing.T) {
	for _, c := range []struct {
		s    Segment
		now  float64
		want bool
	}{{Segment{Last: 1000}, 1000, false}, {Segment{Last: 1000}, 1050, false}, {Segment{Last: 1000}, 1051, true}, {Segment{Last: 1000, Open: 1}, 9000, false}} {
		if got := c.s.Droppable(c.now, 50); got != c.want {
			t.Errorf("%+v at %g: %v", c.s, c.now, got)
		}
	}
	if Suspect(1000, 500, 50) != 1550 || Trust(false) || !Trust(true) {
		t.Error("what is suspect")
	}
}
