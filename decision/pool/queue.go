package pool

import "slices"

// queuedRequest is a request that waits for capacity.
type queuedRequest struct {
	id       uint64
	deadline float64
	avoid    []int
	caller   uint64
}

// Update ends the ejections that are over, ejects members that are slow or unresponsive, and grants free capacity to
// queued requests. It must be called regularly; Complete calls it as well.
func (p *Pool) Update(now float64) (grants []Grant) {
	p.updateEjections(now)
	for i := 0; i < len(p.queue); {
		request := p.queue[i]
		m := p.choose(now, request.avoid, request.caller)
		if m == nil {
			if len(request.avoid) > 0 { // a later request with no members to avoid may still get one
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

// ExpireQueued removes the requests that have reached their timeout from the queue and returns their ids.
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

// CancelQueued removes a request from the queue and reports whether it was queued.
func (p *Pool) CancelQueued(id uint64) bool {
	before := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(request queuedRequest) bool { return request.id == id })
	return len(p.queue) < before
}

// Queued returns the number of queued requests.
func (p *Pool) Queued() int { return len(p.queue) }
