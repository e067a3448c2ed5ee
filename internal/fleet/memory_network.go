package fleet

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// MemoryNetwork is an in-memory network on top of memberlist's mock transport, for tests and experiments with more servers than a machine can
// run as processes. All servers must be added before the first one starts. It does not suit servers that serve RPCs.
type MemoryNetwork struct {
	network memberlist.MockNetwork
	closed  chan struct{}
}

// NewMemoryNetwork returns a network without servers.
func NewMemoryNetwork() *MemoryNetwork { return &MemoryNetwork{closed: make(chan struct{})} }

// AddServer adds a server, and returns options to start it with.
func (m *MemoryNetwork) AddServer(name string) Options {
	mock := m.network.NewTransport(name)
	ip, port, _ := mock.FinalAdvertiseAddr("", 0) // the mock returns its own address
	return Options{
		Name:          name,
		Listen:        net.JoinHostPort(ip.String(), strconv.Itoa(port)),
		openTransport: func() (baseTransport, error) { return &memoryTransport{mock, m.closed}, nil },
	}
}

// Close closes the network. All servers must have been closed before.
func (m *MemoryNetwork) Close() { close(m.closed) }

// memoryTransport is memberlist's mock transport, except that writes to a server that has ended do not block.
type memoryTransport struct {
	*memberlist.MockTransport
	networkClosed chan struct{}
}

// Shutdown makes the transport discard everything that it receives until the network is closed.
func (t *memoryTransport) Shutdown() error {
	go drainTransport(t.MockTransport, t.networkClosed)
	return nil
}

// Crash stops a server without announcing its departure to the others, as the end of its process would.
func (f *Fleet) Crash() {
	f.silenced.Store(true)
	f.mu.Lock()
	if f.exclusion == nil {
		f.exclusion = net.ErrClosed
	}
	f.mu.Unlock()
	f.Close()
}
