package trace

// This file reads traces block by block in bounded memory. It must never return an entry of a block whose checksum does not
// match.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/control"
)

// Reader reads the files of one trace in order. It is not safe for concurrent use.
type Reader struct {
	Header Header // header of the file being read

	in         *bufio.Reader
	files      []string // files that have not been opened yet
	file       *os.File
	compressed []byte
	raw        []byte // the decompressed block
	unread     []byte // the part of raw that has not been parsed yet
	actions    []control.Action
}

// Open opens a trace that consists of the given files, the oldest first, and reads the header of the first one.
func Open(files ...string) (*Reader, error) {
	r := &Reader{files: files}
	if err := r.openNext(); err != nil {
		return nil, errors.Join(err, r.Close())
	}
	return r, nil
}

// Close closes the file being read, if any.
func (r *Reader) Close() error {
	if r.file == nil {
		return nil
	}
	file := r.file
	r.file = nil
	return file.Close()
}

// openNext opens the next file and reads its header. The error is io.EOF if there are no more files.
func (r *Reader) openNext() error {
	if len(r.files) == 0 {
		return io.EOF
	}
	if err := r.Close(); err != nil {
		return err
	}
	name := r.files[0]
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	r.files = r.files[1:]
	r.file = file
	if err := r.Begin(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// Begin reads the magic number and the header of a file. Open calls it; a caller that reads from another source calls it
// before Next.
func (r *Reader) Begin(in io.Reader) error {
	r.in = bufio.NewReaderSize(in, readerBufferBytes)
	magic := make([]byte, len(fileMagic))
	if _, err := io.ReadFull(r.in, magic); err != nil {
		return ErrNotTrace
	}
	if string(magic[:versionOffset]) != string(fileMagic[:versionOffset]) {
		return ErrNotTrace
	}
	if magic[versionOffset] != Version {
		return fmt.Errorf("%w: %d, this build reads %d", ErrVersion, magic[versionOffset], Version)
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

// Next returns the next entry, or io.EOF at the end of the trace. The entry's actions are valid until the next call. ErrTorn
// and ErrDamaged mean that the trace can't be read further; all entries returned before are complete.
func (r *Reader) Next() (Entry, error) {
	for len(r.unread) == 0 {
		err := r.readBlock()
		if errors.Is(err, io.EOF) && len(r.files) > 0 {
			err = r.openNext() // also reads the block with the header
		}
		if err != nil {
			return Entry{}, err
		}
	}
	f, kind, n := protowire.ConsumeTag(r.unread)
	if n < 0 || kind != protowire.BytesType || f != fieldEntry {
		return Entry{}, ErrDamaged
	}
	message, size := protowire.ConsumeBytes(r.unread[n:])
	if size < 0 {
		return Entry{}, ErrDamaged
	}
	r.unread = r.unread[n+size:]
	e, err := parseEntry(message, r.actions[:0])
	r.actions = e.Actions
	return e, err
}

// Files returns the existing files of the trace at path, the oldest first.
func Files(path string) []string {
	files := []string{path}
	for n := 1; ; n++ {
		name := rotatedName(path, n)
		if _, err := os.Stat(name); errors.Is(err, os.ErrNotExist) {
			return files
		}
		files = append([]string{name}, files...)
	}
}

// rotatedName returns the name of the nth file before the current one.
func rotatedName(path string, n int) string { return fmt.Sprintf("%s.%d", path, n) }
