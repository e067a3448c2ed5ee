package permitserver

// This file owns the connections between replicas: where this one listens, and from which address it connects.

import (
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer implements raft.StreamLayer. A replica that listens on another address than the others reach it at connects from
// the address that it listens on, so that relays between them can tell whose connection it is.
type streamLayer struct {
	net.Listener
	advertised net.Addr     // where the other replicas reach this one
	dialFrom   *net.TCPAddr // nil: the system's choice
}

// listen opens a stream layer that listens on bind, or where it is empty on the advertised address.
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

// Addr returns where the other replicas reach this one.
func (l *streamLayer) Addr() net.Addr { return l.advertised }

// Dial connects to another replica.
func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if l.dialFrom != nil {
		d.LocalAddr = l.dialFrom
	}
	return d.Dial("tcp", string(to))
}
