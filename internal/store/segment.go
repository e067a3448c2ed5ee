package store

import (
	"fmt"

	"sorrelvalve/decision/recovery"
)

// segment is one file of the log.
type segment struct {
	recovery.Segment
	file     File
	name     string
	openRuns map[Fingerprint]struct{} // tokens whose start this process recorded in the segment and whose run has not ended
}

func newSegment(f File, name string, bytes float64) *segment {
	return &segment{
		Segment:  recovery.Segment{Bytes: bytes},
		file:     f,
		name:     name,
		openRuns: map[Fingerprint]struct{}{},
	}
}

// segmentSuffix is the suffix of the file names of segments. No other file in the folder has it.
const segmentSuffix = ".seg"

// segmentName returns the file name of the segment with number n.
func segmentName(n uint32) string { return fmt.Sprintf("%08x"+segmentSuffix, n) }

// segmentNumber returns the number of the segment with the given file name, or false if it is not a segment's name.
func segmentNumber(name string) (n uint32, ok bool) {
	if _, err := fmt.Sscanf(name, "%08x"+segmentSuffix, &n); err != nil {
		return 0, false
	}
	return n, n != 0 && name == segmentName(n)
}

// createSegment creates a segment and makes it the current one. It is called by the writer, or before the writer has started.
func (s *Store) createSegment() error {
	n := s.current + 1
	name := segmentName(n)
	f, err := s.folder.Create(name)
	if err != nil {
		return err
	}
	header := appendSegmentHeader(nil, s.owner, uint64(n))
	if err := s.initSegment(f, header); err != nil {
		_ = f.Close()             // the file is not used
		_ = s.folder.Remove(name) // if this fails, recovery skips a segment without a header
		s.mu.Lock()
		s.current = n // so that the name is not used again
		s.mu.Unlock()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = n
	seg := newSegment(f, name, float64(len(header)))
	s.segments[n] = seg
	s.usedBytes += seg.Bytes
	s.dropSegments()
	return nil
}

// initSegment makes the header and the name of a new segment durable.
func (s *Store) initSegment(f File, header []byte) error {
	if _, err := f.Write(header); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return s.folder.Sync()
}

// dropSegments removes segments whose windows have all ended, the oldest first. The caller holds the lock.
func (s *Store) dropSegments() {
	for n := s.oldest(); n < s.current; n = s.oldest() {
		seg := s.segments[n]
		if !seg.Droppable(s.now(), s.limits.ClockTolerance) {
			return
		}
		if err := s.folder.Remove(seg.name); err != nil {
			s.log("store.segment_remove_failed", err)
			return
		}
		_ = seg.file.Close() // the file has been removed
		delete(s.segments, n)
		s.index.dropBefore(n + 1)
		s.usedBytes -= seg.Bytes
		s.counts.SegmentsDropped++
	}
}

// oldest returns the number of the oldest segment.
func (s *Store) oldest() uint32 {
	oldest := s.current
	for n := range s.segments {
		oldest = min(oldest, n)
	}
	return oldest
}

// freesAt returns the time at which the oldest segment can be dropped, in Unix ms, or 0 if a run in it has not ended.
func (s *Store) freesAt() float64 {
	if seg := s.segments[s.oldest()]; seg != nil && seg.OpenRuns == 0 {
		return seg.LastExpiryMs + s.limits.ClockTolerance
	}
	return 0
}
