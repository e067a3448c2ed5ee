package experiment

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

const (
	failoverAttempts      = 3
	rejectedAvoidance     = 200 * time.Millisecond
	unreachableAvoidance  = 500 * time.Millisecond
	killedInFlightHorizon = 1500 * time.Millisecond // more than a deadline: by then what was in flight at a kill has ended
)

// failoverCaller goes from server to server in turn, and on to the next where one did not take its RPC. It may be used
// by any number of goroutines.
type failoverCaller struct {
	routers []*standin.Router
	next    atomic.Uint64
	lost    atomic.Int64 // RPCs that a server had read, and whose connection ended without an answer
	killed  atomic.Int64 // such whose server was killed meanwhile

	killedAt   []atomic.Int64 // by server: when it was last killed, in Unix ns
	avoidUntil []atomic.Int64 // by server, in Unix ns
}

func newFailoverCaller(b *testbed.Bed) *failoverCaller {
	c := &failoverCaller{
		killedAt:   make([]atomic.Int64, len(b.Names)),
		avoidUntil: make([]atomic.Int64, len(b.Names)),
	}
	for _, name := range b.Names {
		c.routers = append(c.routers, standin.NewRouter(b.ListenAddr(name)))
	}
	return c
}

// Call sends to up to three servers.
func (c *failoverCaller) Call(ctx context.Context, call standin.Call) (reply standin.Reply) {
	began := time.Now()
	call.ArrivedAt = began
	for attempt := range failoverAttempts {
		server := c.pick()
		call.Retry = attempt > 0
		reply = c.routers[server].Call(ctx, call)
		reply.Latency = time.Since(began)
		if reply.Outcome == standin.Rejected {
			c.avoid(server, rejectedAvoidance)
			continue
		}
		if reply.Outcome == standin.Lost && strings.Contains(reply.Reason, "refused") {
			c.avoid(server, unreachableAvoidance)
			continue
		}
		if reply.Outcome == standin.Lost && ctx.Err() == nil {
			c.countLost(server)
		}
		return reply
	}
	return reply
}

// pick is the next server in turn that is not avoided, or the next one if all are.
func (c *failoverCaller) pick() int {
	server := int(c.next.Add(1)) % len(c.routers)
	for range c.routers {
		if time.Now().UnixNano() >= c.avoidUntil[server].Load() {
			break
		}
		server = (server + 1) % len(c.routers)
	}
	return server
}

func (c *failoverCaller) avoid(server int, period time.Duration) {
	c.avoidUntil[server].Store(time.Now().Add(period).UnixNano())
}

// noteKill has RPCs that are lost with a server from now on count as killed with it.
func (c *failoverCaller) noteKill(server int) {
	c.killedAt[server].Store(time.Now().UnixNano())
}

func (c *failoverCaller) countLost(server int) {
	if time.Since(time.Unix(0, c.killedAt[server].Load())) < killedInFlightHorizon {
		c.killed.Add(1) // kill -9 ends what it had in flight with it
	} else {
		c.lost.Add(1)
	}
}

// Close ends its connections.
func (c *failoverCaller) Close() {
	for _, router := range c.routers {
		router.Close()
	}
}
