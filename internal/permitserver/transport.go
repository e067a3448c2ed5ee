package permitserver

// This file implements the shutdown of the transport. The library handles heartbeats on the goroutines of the connections and
// does not wait for these at shutdown. A heartbeat during shutdown would write its term to a closed log, and raft panics if
// that write fails.

import (
	"sync"

	"github.com/hashicorp/raft"
)

// gatedTransport is a raft.Transport that rejects heartbeats after stopHeartbeats.
type gatedTransport struct {
	*raft.NetworkTransport
	mu      sync.RWMutex // read-locked while a heartbeat is handled
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

// stopHeartbeats waits for the heartbeats in progress and rejects all later ones.
func (t *gatedTransport) stopHeartbeats() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}
