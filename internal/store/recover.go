package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"sorrelvalve/decision/recovery"
)

// recoverSegments reads all segments into the index, the oldest first.
func (s *Store) recoverSegments() error {
	names, err := s.folder.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	var last string
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			last = name
		}
	}
	for _, name := range names {
		n, ok := segmentNumber(name)
		if !ok {
			continue
		}
		f, err := s.folder.Open(name)
		if err != nil {
			return err
		}
		if err := s.recoverSegment(n, name, f, name == last); err != nil {
			_ = f.Close() // only read
			return fmt.Errorf("%s: %w", name, err)
		}
		s.current = max(s.current, n)
	}
	return nil
}

// recoverSegment puts the records of one segment into the index. Damage within the segment is logged and noted; an error is
// returned only if the store can't be used.
func (s *Store) recoverSegment(n uint32, name string, f File, last bool) error {
	length, err := f.Size()
	if err != nil {
		return err
	}
	complete, err := s.checkHeader(f)
	if err != nil {
		return err
	}
	seg := newSegment(f, name, float64(length))
	s.segments[n] = seg
	s.usedBytes += seg.Bytes
	if !complete {
		return nil
	}
	reader := &segmentReader{file: f, length: length, offset: segmentHeaderSize, buf: make([]byte, 0, recoveryChunk)}
	for {
		r, offset, err := reader.next()
		switch {
		case errors.Is(err, errEnd):
			return nil
		case errors.Is(err, errTruncated), errors.Is(err, errDamaged):
			if recovery.Damaged(!last || validRecordFollows(f, offset+1, length)) {
				s.noteDamage(name, err)
			}
			return nil
		case err != nil:
			s.noteDamage(name, err)
			return nil
		}
		s.counts.Recovered++
		seg.LastExpiryMs = max(seg.LastExpiryMs, r.untilMs, r.writtenMs+s.limits.MaxWindow) // windows may have been made longer by new settings
		s.index.put(r.fingerprint[0], n, uint32(offset))
	}
}

// checkHeader reports whether a segment has a complete header, and returns an error if it has another format or belongs to
// another server. A segment without a complete header was still being created, so it has no record that a run depends on.
func (s *Store) checkHeader(f File) (complete bool, err error) {
	header := make([]byte, segmentHeaderSize)
	n, err := f.ReadAt(header, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return false, err
	}
	if n < segmentHeaderSize {
		return false, nil
	}
	if string(header[:len(segmentMagic)]) != segmentMagic {
		return false, errNotSegment
	}
	if version := header[versionOffset]; version != Version {
		return false, fmt.Errorf("%w: %d, this build reads %d", ErrVersion, version, Version)
	}
	if littleEndian64(header[ownerOffset:]) != s.owner {
		return false, ErrOwner
	}
	return true, nil
}

// errEnd is returned by segmentReader.next at the end of a segment without damage.
var errEnd = errors.New("end of the segment")

// recoveryChunk is the number of bytes that recovery reads at a time.
const recoveryChunk = 1 << 20

// segmentReader reads the records of a segment in order, without their heads and results.
type segmentReader struct {
	file   File
	length int64
	offset int64  // offset of the next record
	buf    []byte // bytes from offset on that have been read
}

// next returns the next record and its offset. The error is errEnd, errTruncated, errDamaged or a read error.
func (d *segmentReader) next() (record, int64, error) {
	for {
		offset := d.offset
		r, size, err := parseRecord(d.buf, false)
		if err == nil {
			d.skip(size)
			return r, offset, nil
		}
		if !errors.Is(err, errTruncated) || d.unread() == 0 {
			if len(d.buf) == 0 && offset == d.length {
				err = errEnd
			}
			return record{}, offset, err
		}
		if err := d.fill(); err != nil {
			return record{}, offset, fmt.Errorf("read: %w", err)
		}
	}
}

// unread returns the number of bytes of the segment that have not been read yet.
func (d *segmentReader) unread() int64 { return d.length - d.offset - int64(len(d.buf)) }

// fill reads the next chunk of the segment into the buffer.
func (d *segmentReader) fill() error {
	old := len(d.buf)
	from := d.offset + int64(old)
	d.buf = append(d.buf, make([]byte, min(recoveryChunk, d.unread()))...)
	n, err := d.file.ReadAt(d.buf[old:], from)
	d.buf = d.buf[:old+n]
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if n == 0 {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// skip removes the given number of bytes from the beginning of the buffer.
func (d *segmentReader) skip(bytes int) {
	d.offset += int64(bytes)
	d.buf = d.buf[bytes:]
	if cap(d.buf) < recoveryChunk/2 { // the backing array is nearly exhausted
		d.buf = append(make([]byte, 0, recoveryChunk), d.buf...)
	}
}

// validRecordFollows reports whether a valid record begins anywhere in f from an offset on.
func validRecordFollows(f File, from, length int64) bool {
	b := make([]byte, length-from)
	n, _ := f.ReadAt(b, from) // if the read fails, the bytes read before are searched
	b = b[:n]
	for i := 0; i+recordHeaderSize+recordFixedSize <= len(b); i++ {
		if b[i] != recordMagic&0xff {
			continue
		}
		if _, _, err := parseRecord(b[i:], false); err == nil {
			return true
		}
	}
	return false
}

// noteDamage records that entries may be missing from the index. All of them were written before now, which bounds the end
// of their windows.
func (s *Store) noteDamage(name string, err error) {
	s.log("store.segment_damaged", fmt.Errorf("%s: %w", name, err))
	s.counts.Failures++
	s.suspectUntil = max(s.suspectUntil, recovery.SuspectUntil(s.now(), s.limits.MaxWindow, s.limits.ClockTolerance))
}
