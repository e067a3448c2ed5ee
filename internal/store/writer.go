package store

import (
	"fmt"
	"time"

	"sorrelvalve/decision/recovery"
)

// pendingRecord is a record on its way to the disk.
type pendingRecord struct {
	record   record
	reserved float64     // bytes that are reserved for it
	done     func(error) // called once it is durable or has failed
}

// enqueue hands a record to the writer.
func (s *Store) enqueue(p pendingRecord) {
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.queue = append(s.queue, p)
		s.queued.Signal()
	}
	s.mu.Unlock()
	if closed {
		go p.done(errClosed)
	}
}

// recreatePeriod is the time between two attempts to create a segment after a failure.
const recreatePeriod = 200 * time.Millisecond

// writeLoop is the one goroutine that writes. The records that have gathered share one write and one sync.
func (s *Store) writeLoop() {
	defer close(s.writerDone)
	w := writer{store: s}
	for {
		batch, health := s.nextBatch()
		if batch == nil {
			return
		}
		if health == recovery.Broken { // nothing is written before a new segment has been created and synced
			if err := s.createSegment(); err != nil {
				s.failBatch(batch, err)
				time.Sleep(recreatePeriod)
				continue
			}
			s.setHealth(recovery.Healthy)
			s.log("store.write_resumed", nil)
		}
		w.write(batch)
	}
}

// nextBatch waits for records and returns all that are queued; nil once the store is closed and there are none.
func (s *Store) nextBatch() ([]pendingRecord, recovery.Health) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.queued.Wait()
	}
	batch := s.queue
	s.queue = nil
	return batch, s.health
}

func (s *Store) setHealth(h recovery.Health) {
	s.mu.Lock()
	s.health = h
	s.mu.Unlock()
}

// writer holds the buffers of writeLoop.
type writer struct {
	store   *Store
	buf     []byte
	offsets []uint32 // of the records of a batch in their segment
}

// write makes a batch durable in the current segment and calls back.
func (w *writer) write(batch []pendingRecord) {
	s := w.store
	s.mu.Lock()
	seg := s.segments[s.current]
	s.mu.Unlock()
	w.encode(batch, uint32(seg.Bytes))
	_, err := seg.file.Write(w.buf)
	if err == nil {
		err = seg.file.Sync()
	}
	if err != nil {
		s.log("store.write_failed", err)
		s.noteFailedWrite(seg, batch, len(w.buf))
		s.failBatch(batch, err)
		return
	}
	full := s.commit(seg, batch, w.offsets, len(w.buf))
	for i := range batch {
		batch[i].done(nil)
	}
	if !full {
		return
	}
	if err := s.createSegment(); err != nil {
		s.log("store.segment_create_failed", err)
		s.setHealth(recovery.Broken)
	}
}

// encode puts the records of a batch into the buffer, the first of them at an offset of the segment.
func (w *writer) encode(batch []pendingRecord, offset uint32) {
	w.buf = w.buf[:0]
	w.offsets = w.offsets[:0]
	for i := range batch {
		batch[i].record.writtenMs = w.store.now()
		w.offsets = append(w.offsets, offset+uint32(len(w.buf)))
		w.buf = batch[i].record.append(w.buf)
	}
}

// noteFailedWrite marks the disk as broken. Some of what was written may be there all the same: the segment stays for as
// long as it would with all of it.
func (s *Store) noteFailedWrite(seg *segment, batch []pendingRecord, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = recovery.Broken
	s.usedBytes += float64(bytes)
	seg.Bytes += float64(bytes)
	for i := range batch {
		seg.LastExpiryMs = max(seg.LastExpiryMs, batch[i].record.untilMs)
	}
}

// commit puts a batch that is durable into the index, and returns whether its segment is full.
func (s *Store) commit(seg *segment, batch []pendingRecord, offsets []uint32, bytes int) (full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Syncs++
	s.counts.Bytes += uint64(bytes)
	seg.Bytes += float64(bytes)
	s.usedBytes += float64(bytes)
	for i := range batch {
		r := &batch[i].record
		s.counts.Records++
		s.index.put(r.fingerprint[0], s.current, offsets[i])
		seg.LastExpiryMs = max(seg.LastExpiryMs, r.untilMs)
		s.reservedBytes = max(0, s.reservedBytes-batch[i].reserved)
		if r.state == recovery.Started {
			seg.OpenRuns++
			seg.openRuns[r.fingerprint] = struct{}{}
		} else {
			s.closeRun(r.fingerprint)
		}
	}
	return seg.Bytes >= s.limits.SegmentBytes
}

// closeRun notes that the run of a token has ended, in whatever segment it started.
func (s *Store) closeRun(token Fingerprint) {
	for _, seg := range s.segments {
		if _, open := seg.openRuns[token]; open {
			delete(seg.openRuns, token)
			seg.OpenRuns--
		}
	}
}

// failBatch reports records that could not be made durable.
func (s *Store) failBatch(batch []pendingRecord, err error) {
	s.mu.Lock()
	s.counts.Failures++
	for i := range batch {
		s.reservedBytes = max(0, s.reservedBytes-batch[i].reserved)
	}
	s.mu.Unlock()
	for i := range batch {
		batch[i].done(fmt.Errorf("%w: %w", ErrNotDurable, err))
	}
}
