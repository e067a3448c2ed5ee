package pool

import (
	"slices"
)

type queuedRequest struct {
	id       uint64
	deadline float64
	avoid    []int
	caller   uint64
}

// Look ejects and takes back members as the time asks for, and grants room to those that wait.
func (p *Pool) Update(now float64) (grants []Grant) {
	p.updateEjections(now)
	for n := 0; n < len(p.queue); {
		w := p.queue[n]
		m := p.choose(now, w.avoid, w.caller)
		if m == nil {
			if len(w.avoid) > 0 { // another, that avoids nobody, may still find one
				n++
				continue
			}
			break
		}
		p.assign(now, m)
		p.queue = slices.Delete(p.queue, n, n+1)
		grants = append(grants, Grant{w.id, m.id})
	}
	return grants
}

// Expire ends the waits that have taken too long and returns whose they were.
func (p *Pool) ExpireQueued(now float64) (ids []uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(w queuedRequest) bool {
		if now >= w.deadline {
			ids = append(ids, w.id)
		}
		return now >= w.deadline
	})
	return ids
}

// Cancel ends a wait. It tells whether there was one.
func (p *Pool) CancelQueued(id uint64) bool {
	n := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(w queuedRequest) bool { return w.id == id })
	return len(p.queue) < n
}

// Waiting is the length of the line.
func (p *Pool) Queued() int { return len(p.queue) }
