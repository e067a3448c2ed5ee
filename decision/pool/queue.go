package pool

import "slices"

// queuedRequest is a request that waits for capacity.
type queuedRequest struct {
	id       uint64
	deadline float64
	avoid    []int
	caller   uint64
}

// Update ends and starts ejections as the time requires, and grants capacity to queued requests. Call it regularly;
// Complete calls it as well.
func (p *Pool) Update(now float64) (grants []Grant) {
	p.updateEjections(now)
	for i := 0; i < len(p.queue); {
		request := p.queue[i]
		m := p.choose(now, request.avoid, request.caller)
		if m == nil {
			if len(request.avoid) > 0 { // a later request that avoids nobody may still find a member
				i++
				continue
			}
			break
		}
		p.assign(now, m)
		p.queue = slices.Delete(p.queue, i, i+1)
		grants = append(grants, Grant{ID: request.id, Member: m.id})
	}
	return grants
}

// ExpireQueued ends the waits that have reached their timeout and returns the ids of their requests.
func (p *Pool) ExpireQueued(now float64) (ids []uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(request queuedRequest) bool {
		expired := now >= request.deadline
		if expired {
			ids = append(ids, request.id)
		}
		return expired
	})
	return ids
}

// CancelQueued ends the wait of one request and reports whether it was queued.
func (p *Pool) CancelQueued(id uint64) bool {
	before := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(request queuedRequest) bool { return request.id == id })
	return len(p.queue) < before
}

// Queued returns the number of queued requests.
func (p *Pool) Queued() int { return len(p.queue) }
