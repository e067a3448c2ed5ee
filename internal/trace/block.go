package trace

// This file defines the file format: a magic number that includes the version, then blocks of compressed messages. The first
// block holds the header.

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"

	"github.com/klauspost/compress/s2"
)

// A block's header consists of four little-endian numbers of 4 bytes: a magic number, the compressed and the decompressed size
// of the block, and the CRC-32C of the compressed bytes. The compressed bytes follow the header.
const (
	blockHeaderBytes  = 16
	maxBlockBytes     = 256 << 10         // maximum decompressed size, which bounds what a reader allocates
	maxCompressed     = 2 * maxBlockBytes // incompressible data grows slightly
	blockMagic        = uint32(0x5356424b)
	versionOffset     = 7 // of the version in fileMagic
	readerBufferBytes = 64 << 10
)

var (
	fileMagic  = []byte("SVTRACE\x01")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// appendBlock appends a block that contains raw to b. buffer holds the compressed bytes and is reused between calls.
func appendBlock(b, raw []byte, buffer *[]byte) []byte {
	compressed := s2.Encode((*buffer)[:cap(*buffer)], raw)
	*buffer = compressed
	b = binary.LittleEndian.AppendUint32(b, blockMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(compressed)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(raw)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(compressed, castagnoli))
	return append(b, compressed...)
}

// readBlock reads one block and decompresses it into a buffer that is reused between calls. The error is io.EOF at the end of
// the file, ErrTorn or ErrDamaged.
func (r *Reader) readBlock() error {
	head := make([]byte, blockHeaderBytes)
	if _, err := io.ReadFull(r.in, head); errors.Is(err, io.EOF) {
		return io.EOF
	} else if err != nil {
		return ErrTorn
	}
	compressed := binary.LittleEndian.Uint32(head[4:])
	raw := binary.LittleEndian.Uint32(head[8:])
	if binary.LittleEndian.Uint32(head) != blockMagic || raw > maxBlockBytes || compressed > maxCompressed {
		return ErrDamaged
	}
	if cap(r.compressed) < int(compressed) {
		r.compressed = make([]byte, compressed)
	}
	r.compressed = r.compressed[:compressed]
	if _, err := io.ReadFull(r.in, r.compressed); err != nil {
		return ErrTorn
	}
	if crc32.Checksum(r.compressed, castagnoli) != binary.LittleEndian.Uint32(head[12:]) {
		return ErrDamaged
	}
	if n, err := s2.DecodedLen(r.compressed); err != nil || n != int(raw) {
		return ErrDamaged
	}
	b, err := s2.Decode(r.raw[:cap(r.raw)], r.compressed)
	if err != nil {
		return ErrDamaged
	}
	r.raw = b
	r.unread = b
	return nil
}
