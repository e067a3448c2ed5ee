package store

import (
	"fmt"
	"time"

	"sorrelvalve/decision/recovery"
)

// pendingRecord is a record that has yet to be written to the disk.
type pendingRecord struct {
	record   record
	reserved float64     // bytes reserved for the record
	done     func(error) // called once the record is durable or its write has failed
}

// enqueue queues a record for the writer.
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

// recreatePeriod is the delay between attempts to create a segment after a failure.
const recreatePeriod = 200 * time.Millisecond

// writeLoop writes the queued records until the store is closed. It runs in the only goroutine that writes. All records that
// are queued share one write and one sync.
func (s *Store) writeLoop() {
	defer close(s.writerDone)
	w := writer{store: s}
	for {
		batch, health := s.nextBatch()
		if batch == nil {
			return
		}
		if health == recovery.Broken { // a new segment must be created and synced before the next write
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

// nextBatch waits for records and returns all queued ones, or nil once the store is closed and the queue is empty.
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
	offsets []uint32 // offsets of a batch's records in their segment
}

// write makes a batch durable in the current segment and calls done for each of its records.
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

// encode encodes the records of a batch into the buffer. The first record will be at the given offset of the segment.
func (w *writer) encode(batch []pendingRecord, offset uint32) {
	w.buf = w.buf[:0]
	w.offsets = w.offsets[:0]
	for i := range batch {
		batch[i].record.writtenMs = w.store.now()
		w.offsets = append(w.offsets, offset+uint32(len(w.buf)))
		w.buf = batch[i].record.append(w.buf)
	}
}

// noteFailedWrite marks the disk as broken. Part of the batch may have reached the disk, so the segment is retained for as
// long as if all of it had.
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

// commit puts a durable batch into the index and reports whether its segment is full.
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

// closeRun marks the run of a token as ended in the segment that holds the record of its start. The caller holds the lock.
func (s *Store) closeRun(token Fingerprint) {
	for _, seg := range s.segments {
		if _, open := seg.openRuns[token]; open {
			delete(seg.openRuns, token)
			seg.OpenRuns--
		}
	}
}

// failBatch releases the space reserved for a batch and reports to each record that it could not be made durable.
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
