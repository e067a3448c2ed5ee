package fleetsim

// This file owns the checker of the safe ends: there are never more servers than a view says at most, nor fewer than it says at
// least, the time that the detector takes allowed for.

// heardLag is how old the lower end may be. A detector asks the more rarely the less it is answered, down to one peer in 4 s:
// where half a fleet is stopped, it took up to 33 s in 1,000 random schedules of 30 servers until a killed one was called
// dead and all had heard of it.
const heardLag = 45e3

type boundsChecker struct {
	cases  int
	roster map[uint64]int // by server and life: names leave it only by leaving
}

func (*boundsChecker) Name() string                     { return "bounds" }
func (c *boundsChecker) Cases() int                     { return c.cases }
func (*boundsChecker) MustHaveCases(w *Simulation) bool { return w.o.DurationMs > 2*checkMs }
func (*boundsChecker) Finish(*Simulation)               {}

func (c *boundsChecker) Check(w *Simulation) {
	runs := map[int32][2]int{} // by fleet: now, and now or of late
	for i := range w.servers {
		s := &w.servers[i]
		n := runs[s.low]
		if s.up {
			n[0]++
		}
		if s.up || w.now-s.downAt < heardLag {
			n[1]++
		}
		runs[s.low] = n
	}
	for i := range w.servers {
		s := &w.servers[i]
		if !s.up || s.stopped {
			continue
		}
		up, late := runs[s.low][0], runs[s.low][1]
		v := s.hear.Ends(w.local(s))
		c.cases++
		if w.o.HealthRules.Expect > 0 && !v.Blind && v.AtMost < up { // without a number to expect, a fleet started anew while cut can't know
			w.AddFinding("bounds", "%s says at most %d, and %d run", s.name, v.AtMost, up)
		}
		if c.roster == nil {
			c.roster = map[uint64]int{}
		}
		life := uint64(s.life)<<32 | uint64(i)
		if was := c.roster[life]; v.Roster < was-w.drained {
			w.AddFinding("bounds", "%s has %d on its roster, and had %d; %d left", s.name, v.Roster, was, w.drained)
		} else if v.Roster > was {
			c.roster[life] = v.Roster
		}
		if v.AtLeast > late {
			w.AddFinding("bounds", "%s says at least %d, and %d run or ran of late", s.name, v.AtLeast, late)
		}
	}
}
