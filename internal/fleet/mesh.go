package fleet

// This file owns fleets within one process, over memberlist's mock network: for tests and experiments with more servers
// than a machine has room for processes. It must never be used by a server that takes RPCs.

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// MemoryNetwork is a network in memory. All its places are made before the first server starts.
type MemoryNetwork struct {
	network memberlist.MockNetwork
	closed  chan struct{}
}

// NewMemoryNetwork returns one without places.
func NewMemoryNetwork() *MemoryNetwork { return &MemoryNetwork{closed: make(chan struct{})} }

// AddServer adds a name, and returns the options that a server of that name starts with.
func (m *MemoryNetwork) AddServer(name string) Options {
	mock := m.network.NewTransport(name)
	ip, port, _ := mock.FinalAdvertiseAddr("", 0)
	return Options{Name: name, Listen: net.JoinHostPort(ip.String(), strconv.Itoa(port)), openTransport: func() (baseTransport, error) { return &memoryTransport{mock, m.closed}, nil }}
}

// Close ends the network, after all servers.
func (m *MemoryNetwork) Close() { close(m.closed) }

// memoryTransport is the library's mock, which blocks whoever writes to a peer that has ended, but for that.
type memoryTransport struct {
	*memberlist.MockTransport
	networkClosed chan struct{}
}

func (d *memoryTransport) Shutdown() error {
	go func() {
		for {
			select {
			case <-d.PacketCh():
			case c := <-d.StreamCh():
				c.Close()
			case <-d.networkClosed:
				return
			}
		}
	}()
	return nil
}

// Crash ends a server without a word to the others, as a crash would.
func (f *Fleet) Crash() {
	f.silenced.Store(true)
	f.mu.Lock()
	if f.exclusion == nil {
		f.exclusion = net.ErrClosed
	}
	f.mu.Unlock()
	f.Close()
}
