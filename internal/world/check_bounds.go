package world

// This file owns the checker of the safe ends: there are never more servers than a view says at most, nor fewer than it says at
// least, the time that the detector takes allowed for.

// heardLag is how old the lower end may be: a round until somebody probes, and the longest suspicion of 30 servers, twice
// over for probes that a bad network stretches.
const heardLag = 30e3

type boundsChecker struct {
	cases  int
	roster map[uint64]int // by server and life: names leave it only by leaving
}

func (*boundsChecker) Name() string      { return "bounds" }
func (c *boundsChecker) Saw() int        { return c.cases }
func (*boundsChecker) Due(w *World) bool { return w.o.Length > 2*checkMs }
func (*boundsChecker) End(*World)        {}

func (c *boundsChecker) Look(w *World) {
	up, late := 0, 0
	for i := range w.servers {
		s := &w.servers[i]
		if s.up {
			up++
		}
		if s.up || w.now-s.downAt < heardLag {
			late++
		}
	}
	for i := range w.servers {
		s := &w.servers[i]
		if !s.up || s.stopped {
			continue
		}
		v := s.hear.View(w.local(s))
		c.cases++
		if !v.Blind && v.AtMost < up {
			w.Found("bounds", "%s says at most %d, and %d run", s.name, v.AtMost, up)
		}
		if c.roster == nil {
			c.roster = map[uint64]int{}
		}
		life := uint64(s.life)<<32 | uint64(i)
		if was := c.roster[life]; v.Roster < was-w.drained {
			w.Found("bounds", "%s has %d on its roster, and had %d; %d left", s.name, v.Roster, was, w.drained)
		} else if v.Roster > was {
			c.roster[life] = v.Roster
		}
		if v.AtLeast > late {
			w.Found("bounds", "%s says at least %d, and %d run or ran of late", s.name, v.AtLeast, late)
		}
	}
}
