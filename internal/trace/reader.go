package trace

// This file owns the reading of traces, block by block, in bounded memory. It must never hand out an entry of a block
// whose checksum does not fit.

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/control"
)

// Reader reads one trace, or several files of one in their order.
type Reader struct {
	Header Header

	in      *bufio.Reader
	files   []string
	file    *os.File
	packed  []byte
	raw     []byte
	unread  []byte // of raw
	actions []control.Action
}

// Open reads the files of one trace, the oldest first.
func Open(files ...string) (*Reader, error) {
	r := &Reader{files: files}
	if err := r.openNext(); err != nil {
		return nil, err
	}
	return r, nil
}

// Close ends the reading.
func (r *Reader) Close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

// next opens the next file.
func (r *Reader) openNext() error {
	if len(r.files) == 0 {
		return io.EOF
	}
	if r.file != nil {
		r.file.Close()
	}
	f, err := os.Open(r.files[0])
	if err != nil {
		return err
	}
	name := r.files[0]
	r.files, r.file = r.files[1:], f
	if err := r.Begin(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Begin reads the beginning of a file and its header.
func (r *Reader) Begin(in io.Reader) error {
	r.in = bufio.NewReaderSize(in, 64<<10)
	magic := make([]byte, len(fileMagic))
	if _, err := io.ReadFull(r.in, magic); err != nil {
		return ErrNoTrace
	}
	if string(magic[:7]) != string(fileMagic[:7]) {
		return ErrNoTrace
	}
	if magic[7] != Version {
		return fmt.Errorf("%w: %d, this build reads %d", ErrVersion, magic[7], Version)
	}
	if err := r.readBlock(); err != nil {
		return err
	}
	found := false
	err := fields(r.unread, func(f protowire.Number, _ uint64, b []byte) error {
		if f != fieldHeader {
			return ErrDamaged
		}
		found = true
		return json.Unmarshal(b, &r.Header)
	})
	r.unread = nil
	if err == nil && !found {
		err = ErrDamaged
	}
	return err
}

// block reads the next block.
func (r *Reader) readBlock() error {
	head := make([]byte, blockHeaderBytes)
	if _, err := io.ReadFull(r.in, head); err == io.EOF {
		return io.EOF
	} else if err != nil {
		return ErrTorn
	}
	packed, raw := binary.LittleEndian.Uint32(head[4:]), binary.LittleEndian.Uint32(head[8:])
	if binary.LittleEndian.Uint32(head) != blockMagic || raw > maxBlockBytes || packed > 2*maxBlockBytes {
		return ErrDamaged
	}
	if cap(r.packed) < int(packed) {
		r.packed = make([]byte, packed)
	}
	r.packed = r.packed[:packed]
	if _, err := io.ReadFull(r.in, r.packed); err != nil {
		return ErrTorn
	}
	if crc32.Checksum(r.packed, castagnoli) != binary.LittleEndian.Uint32(head[12:]) {
		return ErrDamaged
	}
	if n, err := s2.DecodedLen(r.packed); err != nil || n != int(raw) {
		return ErrDamaged
	}
	b, err := s2.Decode(r.raw[:cap(r.raw)], r.packed)
	if err != nil {
		return ErrDamaged
	}
	r.raw, r.unread = b, b
	return nil
}

// Next returns the next entry, which is valid until the one after; io.EOF at the end. ErrTorn and ErrDamaged tell that
// the trace ends early: what was returned before is whole.
func (r *Reader) Next() (Entry, error) {
	for len(r.unread) == 0 {
		err := r.readBlock()
		if err == io.EOF && len(r.files) > 0 {
			if err = r.openNext(); err == nil {
				continue
			}
		}
		if err != nil {
			return Entry{}, err
		}
	}
	f, kind, n := protowire.ConsumeTag(r.unread)
	if n < 0 || kind != protowire.BytesType || f != fieldEntry {
		return Entry{}, ErrDamaged
	}
	m, k := protowire.ConsumeBytes(r.unread[n:])
	if k < 0 {
		return Entry{}, ErrDamaged
	}
	r.unread = r.unread[n+k:]
	e, err := parseEntry(m, r.actions[:0])
	r.actions = e.Actions
	return e, err
}

// Files are those of the trace at path, the oldest first.
func Files(path string) (files []string) {
	for n := 1; ; n++ {
		name := fmt.Sprintf("%s.%d", path, n)
		if _, err := os.Stat(name); errors.Is(err, os.ErrNotExist) {
			break
		}
		files = append([]string{name}, files...)
	}
	return append(files, path)
}
