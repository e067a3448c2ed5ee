package control

// health is what checks are told. It says no while all that arrives waits unread until it is too old, as
// only staying away lets such a server catch up, and while this server alone pushes back much. It stays for
// a third of the time at least on the list, lest a fleet flooded as a whole be gone from it.
type health struct {
	good  bool
	since float64
}

func (h *health) step(now, unread float64, alone bool) bool {
	const (
		flooded = 1.0    // waits unread, in tightest latency targets: all that is read is too old
		least   = 1000.0 // about what the hold takes to drain; longer, callers find it idle and then all come back
		longest = 4000.0 // enough to read what has piled up; a fleet flooded as a whole must not be gone
		between = 3000.0 // alone: three quarters of the time on the list, as only a part is too much
	)
	turn := alone && now > h.since+between || unread > flooded && now > h.since+2*least
	if !h.good {
		turn = now > h.since+least && unread < flooded || now > h.since+longest
	}
	if turn {
		h.good, h.since = !h.good, now
	}
	return turn
}
