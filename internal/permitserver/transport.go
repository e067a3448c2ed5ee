package permitserver

// This file owns the transport's end. The library handles heartbeats on the connections' goroutines, which it does not wait for
// at its shutdown; one that comes then would write its term to a log that is closed, which raft answers by a panic.

import (
	"sync"

	"github.com/hashicorp/raft"
)

// gatedTransport is a raft.Transport that takes no heartbeats after stopHeartbeats.
type gatedTransport struct {
	*raft.NetworkTransport
	mu      sync.RWMutex // held for reading while a heartbeat is handled
	stopped bool
}

// SetHeartbeatHandler sets the function that handles heartbeats.
func (t *gatedTransport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(rpc raft.RPC) {
		t.mu.RLock()
		defer t.mu.RUnlock()
		if t.stopped {
			rpc.Respond(nil, raft.ErrTransportShutdown)
			return
		}
		handle(rpc)
	})
}

// stopHeartbeats waits for the heartbeats that are handled; later ones are rejected.
func (t *gatedTransport) stopHeartbeats() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}
