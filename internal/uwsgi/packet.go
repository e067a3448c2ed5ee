// Package uwsgi reads and writes the packets of the uwsgi protocol: a header of four bytes, the block of variables, and
// the HTTP/1.x response. It follows the protocol's specification
// (https://uwsgi-docs.readthedocs.io/en/latest/Protocol.html). Parsers work in place without copying, check each length
// against the available bytes, and allocate nothing once their slices have grown.
//
// The package must never use a socket, trust a length whose bytes it has not received, or interpret a variable.
package uwsgi

import (
	"encoding/binary"
	"errors"
)

// HeaderSize is the size of a packet's header in bytes. The block of variables follows it.
const HeaderSize = 4

// MaxBlockSize is the size in bytes of the longest block that a header can announce.
const MaxBlockSize = 1<<16 - 1

// Header is the header of a packet. Both modifiers are 0 for a WSGI-like request with variables and a body.
type Header struct {
	Modifier1, Modifier2 byte
	BlockSize            int // bytes
}

// ParseHeader parses the header. b must hold HeaderSize bytes.
func ParseHeader(b []byte) Header {
	return Header{Modifier1: b[0], Modifier2: b[3], BlockSize: int(binary.LittleEndian.Uint16(b[1:]))}
}

// AppendHeader appends the header of a packet with a block of size bytes. size must not exceed MaxBlockSize.
func AppendHeader(b []byte, modifier1 byte, size int, modifier2 byte) []byte {
	b = append(b, modifier1)
	b = binary.LittleEndian.AppendUint16(b, uint16(size))
	return append(b, modifier2)
}

// ErrTruncated means that the input ends before the end of the element to parse.
var ErrTruncated = errors.New("uwsgi: input is truncated")
