package fleet

// This file owns fleets within one process, over memberlist's mock network: for tests and experiments with more servers
// than a machine has room for processes. It must never be used by a server that takes RPCs.

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// Mesh is a network in memory. All its places are made before the first server starts.
type Mesh struct {
	net  memberlist.MockNetwork
	over chan struct{}
}

// NewMesh returns one without places.
func NewMesh() *Mesh { return &Mesh{over: make(chan struct{})} }

// Place adds a name, and returns the options that a server of that name starts with.
func (m *Mesh) Place(name string) Options {
	mock := m.net.NewTransport(name)
	ip, port, _ := mock.FinalAdvertiseAddr("", 0)
	return Options{Name: name, Listen: net.JoinHostPort(ip.String(), strconv.Itoa(port)), lower: func() (lower, error) { return &meshed{mock, m.over}, nil }}
}

// Close ends the network, after all servers.
func (m *Mesh) Close() { close(m.over) }

// meshed is the library's mock, which blocks whoever writes to a peer that has ended, but for that.
type meshed struct {
	*memberlist.MockTransport
	over chan struct{}
}

func (d *meshed) Shutdown() error {
	go func() {
		for {
			select {
			case <-d.PacketCh():
			case c := <-d.StreamCh():
				c.Close()
			case <-d.over:
				return
			}
		}
	}()
	return nil
}

// Drop ends a server without a word to the others, as a crash would.
func (f *Fleet) Drop() {
	f.muted.Store(true)
	f.mu.Lock()
	if f.refused == nil {
		f.refused = net.ErrClosed
	}
	f.mu.Unlock()
	f.Close()
}
