package permitserver

// This file owns the streams between keepers: where this one listens, and from where it calls. It must never read what goes over
// them.

import (
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// link is a raft.StreamLayer. Where a keeper listens elsewhere than the others reach it, it calls from where it listens, so that what is
// between them knows whose stream it is.
type streamLayer struct {
	net.Listener
	advertised net.Addr
	dialFrom   *net.TCPAddr // nil: as the system has it
}

func listen(bind, reach string) (*streamLayer, error) {
	l := &streamLayer{}
	addr, err := net.ResolveTCPAddr("tcp", reach)
	if err != nil {
		return nil, err
	}
	l.advertised = addr
	if bind == "" {
		bind = reach
	} else if at, err := net.ResolveTCPAddr("tcp", bind); err != nil {
		return nil, err
	} else {
		l.dialFrom = &net.TCPAddr{IP: at.IP}
	}
	l.Listener, err = net.Listen("tcp", bind)
	return l, err
}

// Addr is where the others reach this keeper.
func (l *streamLayer) Addr() net.Addr { return l.advertised }

// Dial calls another.
func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if l.dialFrom != nil {
		d.LocalAddr = l.dialFrom
	}
	return d.Dial("tcp", string(to))
}
