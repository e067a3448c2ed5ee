package permitserver

// This file implements the connections between replicas: the listener, and the local address of outgoing connections.

import (
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer implements raft.StreamLayer. If the listen address differs from the advertised address, outgoing connections use
// the IP address of the listener, so that a relay between replicas can identify the replica that connects.
type streamLayer struct {
	net.Listener
	advertised net.Addr     // address of this replica for the others
	dialFrom   *net.TCPAddr // local address of outgoing connections; nil for the system's choice
}

// listen opens a stream layer that listens on bind, or on the advertised address if bind is empty.
func listen(bind, advertised string) (*streamLayer, error) {
	l := &streamLayer{}
	addr, err := net.ResolveTCPAddr("tcp", advertised)
	if err != nil {
		return nil, err
	}
	l.advertised = addr
	if bind == "" {
		bind = advertised
	} else {
		own, err := net.ResolveTCPAddr("tcp", bind)
		if err != nil {
			return nil, err
		}
		l.dialFrom = &net.TCPAddr{IP: own.IP}
	}
	l.Listener, err = net.Listen("tcp", bind)
	return l, err
}

// Addr returns the address of this replica for the others.
func (l *streamLayer) Addr() net.Addr { return l.advertised }

// Dial connects to another replica.
func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if l.dialFrom != nil {
		d.LocalAddr = l.dialFrom
	}
	return d.Dial("tcp", string(to))
}
