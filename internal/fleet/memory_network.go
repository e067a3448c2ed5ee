package fleet

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// MemoryNetwork is a network in memory over memberlist's mock, for tests and experiments with more servers than a machine has room for
// processes. All its servers are added before the first one starts. It is not for servers that take RPCs.
type MemoryNetwork struct {
	network memberlist.MockNetwork
	closed  chan struct{}
}

// NewMemoryNetwork returns a network without servers.
func NewMemoryNetwork() *MemoryNetwork { return &MemoryNetwork{closed: make(chan struct{})} }

// AddServer adds a server, and returns the options that it starts with.
func (m *MemoryNetwork) AddServer(name string) Options {
	mock := m.network.NewTransport(name)
	ip, port, _ := mock.FinalAdvertiseAddr("", 0) // the mock knows its address
	return Options{
		Name:          name,
		Listen:        net.JoinHostPort(ip.String(), strconv.Itoa(port)),
		openTransport: func() (baseTransport, error) { return &memoryTransport{mock, m.closed}, nil },
	}
}

// Close ends the network. All servers must have ended.
func (m *MemoryNetwork) Close() { close(m.closed) }

// memoryTransport is memberlist's mock, but for that: the mock blocks whoever writes to a server that has ended.
type memoryTransport struct {
	*memberlist.MockTransport
	networkClosed chan struct{}
}

// Shutdown discards what still arrives until the network is closed.
func (t *memoryTransport) Shutdown() error {
	go drainTransport(t.MockTransport, t.networkClosed)
	return nil
}

// Crash ends a server without announcing it to the others, as the end of its process would.
func (f *Fleet) Crash() {
	f.silenced.Store(true)
	f.mu.Lock()
	if f.exclusion == nil {
		f.exclusion = net.ErrClosed
	}
	f.mu.Unlock()
	f.Close()
}
