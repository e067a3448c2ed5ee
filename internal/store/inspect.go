package store

import (
	"errors"
	"io"
	"slices"
	"strings"

	"sorrelvalve/decision/recovery"
)

// SegmentInfo describes the contents of one segment.
type SegmentInfo struct {
	Name         string
	Bytes        int64
	Version      byte   // of the format
	Owner        uint64 // hash of the server's name
	Records      int
	States       [recovery.NeverRan + 1]int // records by state
	LastExpiryMs float64                    // the latest end of a window, in Unix ms
	Err          error                      // what ended the reading early; nil if it came to the end
}

// InspectSegments reads each record of all segments of a folder and writes nothing. The error tells that the folder can't
// be read; one in a segment is in its SegmentInfo.
func InspectSegments(folder FS) ([]SegmentInfo, error) {
	names, err := folder.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var all []SegmentInfo
	for _, name := range names {
		if len(name) != len(segmentName(1)) || !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		f, err := folder.Open(name)
		if err != nil {
			return nil, err
		}
		info := SegmentInfo{Name: name}
		info.Err = info.read(f)
		_ = f.Close() // it was only read
		all = append(all, info)
	}
	return all, nil
}

// read fills in what stands in a segment up to its end or the first error.
func (s *SegmentInfo) read(f File) (err error) {
	if s.Bytes, err = f.Size(); err != nil {
		return err
	}
	header := make([]byte, segmentHeaderSize)
	if _, err := f.ReadAt(header, 0); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if string(header[:len(segmentMagic)]) != segmentMagic {
		return errNotSegment
	}
	s.Version = header[versionOffset]
	s.Owner = littleEndian64(header[ownerOffset:])
	if s.Version != Version {
		return ErrVersion
	}
	for at := int64(segmentHeaderSize); at < s.Bytes; {
		r, err := readRecord(f, at)
		if err != nil {
			return err
		}
		size, err := recordSizeAt(f, at)
		if err != nil {
			return err
		}
		s.Records++
		s.States[r.state]++
		s.LastExpiryMs = max(s.LastExpiryMs, r.untilMs)
		at += size
	}
	return nil
}
