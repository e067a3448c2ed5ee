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
	Version      byte   // version of the format
	Owner        uint64 // hash of the server's name
	Records      int
	States       [recovery.NeverRan + 1]int // records by state
	LastExpiryMs float64                    // latest end of a deduplication window, in Unix ms
	Err          error                      // error at which reading stopped; nil if the whole segment was read
}

// InspectSegments reads all records of all segments in a folder and writes nothing. It returns an error if the folder can't
// be read; an error within a segment is reported in its SegmentInfo.
func InspectSegments(folder FS) ([]SegmentInfo, error) {
	names, err := folder.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var infos []SegmentInfo
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
		_ = f.Close() // only read
		infos = append(infos, info)
	}
	return infos, nil
}

// read fills in the contents of a segment up to its end or the first error.
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
	for offset := int64(segmentHeaderSize); offset < s.Bytes; {
		r, err := readRecord(f, offset)
		if err != nil {
			return err
		}
		size, err := recordSizeAt(f, offset)
		if err != nil {
			return err
		}
		s.Records++
		s.States[r.state]++
		s.LastExpiryMs = max(s.LastExpiryMs, r.untilMs)
		offset += size
	}
	return nil
}
