// Package uwsgi reads and writes the packets of the uwsgi protocol: a header of four bytes, the block of variables, and
// the HTTP/1.x response that comes back. Its source is the protocol's specification
// (https://uwsgi-docs.readthedocs.io/en/latest/Protocol.html). Parsers never copy the bytes that they walk over, check
// each length against what is there, and allocate nothing once their slices have grown.
//
// The package must never know a socket, trust a length that it has not seen the bytes of, or know what a variable is for.
package uwsgi

import (
	"encoding/binary"
	"errors"
)

// HeaderSize is the number of bytes before the block of variables.
const HeaderSize = 4

// MaxBlockSize is the size of the longest block that a header can announce.
const MaxBlockSize = 1<<16 - 1

// Header is what a packet begins with. Both modifiers are 0 for a WSGI-like request with variables and a body.
type Header struct {
	Modifier1, Modifier2 byte
	BlockSize            int // bytes
}

// ParseHeader parses the header. b must hold HeaderSize bytes.
func ParseHeader(b []byte) Header {
	return Header{Modifier1: b[0], Modifier2: b[3], BlockSize: int(binary.LittleEndian.Uint16(b[1:]))}
}

// AppendHeader adds the header of a packet with a block of size bytes, which is at most MaxBlockSize.
func AppendHeader(b []byte, modifier1 byte, size int, modifier2 byte) []byte {
	b = append(b, modifier1)
	b = binary.LittleEndian.AppendUint16(b, uint16(size))
	return append(b, modifier2)
}

// ErrTruncated means that more of what is parsed is to come.
var ErrTruncated = errors.New("uwsgi: cut off")
