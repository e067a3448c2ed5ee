package control

// note logs a state that has begun or ended since the last look.
func (c *Controller) note(state int, is bool, begun, ended string) {
	if c.noted[state] == is {
		return
	}
	if c.noted[state] = is; !is {
		begun = ended
	}
	c.do(Action{Kind: LogEvent, Message: begun})
}
