// Package store keeps what happened to tokened RPCs over restarts: that a run has begun, before it does, and how it
// ended, with its answer, before the caller hears. It is a log of segments that are dropped whole once all windows in
// them are over, and an index in memory of places in it. Many records share one write and one sync. Package
// decision/recovery chooses what entries mean and what may begin; this one only does what that takes. It must never call
// a record durable that has not been synced, nor trust a file again after a sync of it failed.
package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sorrelvalve/decision/recovery"
)

// Limits are those of a store. Times are ms.
type Limits struct {
	MaxBytes       float64 // on disk, over all segments
	SegmentBytes   float64 // bytes after which the next one begins
	MaxResultBytes int     // longest head and result that are kept
	MaxWindow      float64 // the longest of all tokened methods, with their deadlines
	ClockTolerance float64 // by which the wall clock may have stepped while the process was down
}

// Store is one, open.
type Store struct {
	dir    FS
	limits Limits
	owner  uint64
	now    func() float64 // Unix ms
	log    func(text string, err error)

	mu            sync.Mutex
	queued        *sync.Cond
	index         *index
	segments      map[uint32]*segment
	current       uint32 // of the one that is written
	health        recovery.Health
	usedBytes     float64
	reservedBytes float64
	suspectUntil  float64
	queue         []pendingRecord
	closed        bool
	written       chan struct{}
	counts        Counts
}

// Counts are what a store has done.
type Counts struct {
	Records, Syncs, SegmentsDropped, Failures uint64
	Bytes                                     uint64
	Recovered                                 int
	RecoveryTime                              time.Duration // of recovery
}

type segment struct {
	recovery.Segment
	file     File
	name     string
	openRuns map[Fingerprint]struct{} // tokens begun in it without an end, from this process
}

// op is one record on its way to the disk.
type pendingRecord struct {
	record   record
	done     func(error)
	reserved float64
}

var (
	// ErrNotDurable is that a record could not be made durable.
	ErrNotDurable = errors.New("store: not kept")
	// ErrVersion is that a store was written by another version.
	ErrVersion = errors.New("store: written by another version of the format")
	// ErrOwner is that it is another server's.
	ErrOwner  = errors.New("store: it is that of another server")
	errClosed = errors.New("store: closed")
)

// Open reads what stands in a folder and begins a new segment. owner names the server: a store copied from another one
// is an error, as is one of another version; neither is changed. log hears of what was damaged or failed.
func Open(fs FS, b Limits, owner string, now func() float64, log func(string, error)) (*Store, error) {
	s := &Store{
		dir: fs, limits: b, owner: xxhash.Sum64String(owner), now: now, log: log, index: newIndex(), segments: map[uint32]*segment{},
		written: make(chan struct{}),
	}
	s.queued = sync.NewCond(&s.mu)
	began := time.Now()
	if err := s.recoverSegments(); err != nil {
		return nil, err
	}
	s.counts.RecoveryTime = time.Since(began)
	if err := s.createSegment(); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	go s.writeLoop()
	return s, nil
}

func segmentName(n uint32) string { return fmt.Sprintf("%08x.seg", n) }

// recover reads all segments, the oldest first.
func (s *Store) recoverSegments() error {
	names, err := s.dir.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	var last string
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") {
			last = name
		}
	}
	for _, name := range names {
		var n uint32
		if _, err := fmt.Sscanf(name, "%08x.seg", &n); err != nil || name != segmentName(n) || n == 0 {
			continue
		}
		f, err := s.dir.Open(name)
		if err != nil {
			return err
		}
		if err := s.recoverSegment(n, name, f, name == last); err != nil {
			f.Close()
			return fmt.Errorf("%s: %w", name, err)
		}
		s.current = max(s.current, n)
	}
	return nil
}

// chunk is what is read of a segment at once during recovery.
const recoveryChunk = 1 << 20

// read takes in one segment.
func (s *Store) recoverSegment(n uint32, name string, f File, last bool) error {
	length, err := f.Size()
	if err != nil {
		return err
	}
	seg := &segment{file: f, name: name, openRuns: map[Fingerprint]struct{}{}}
	seg.Bytes = float64(length)
	head := make([]byte, segmentHeaderSize)
	got, err := f.ReadAt(head, 0)
	if err != nil && err != io.EOF {
		return err
	}
	if got < segmentHeaderSize { // it was begun, and nothing in it was answered for
		s.segments[n] = seg
		s.usedBytes += seg.Bytes
		return nil
	}
	if string(head[:7]) != segmentMagic {
		return errors.New("no segment of a store")
	}
	if head[7] != Version {
		return fmt.Errorf("%w: %d, this build reads %d", ErrVersion, head[7], Version)
	}
	if want := appendSegmentHeader(nil, s.owner, uint64(n)); string(head[8:16]) != string(want[8:16]) {
		return ErrOwner
	}
	s.segments[n] = seg
	s.usedBytes += seg.Bytes
	buf, at := make([]byte, 0, recoveryChunk), int64(segmentHeaderSize) // buf holds the bytes from at on
	written := 0.0
	for {
		r, size, err := parseRecord(buf, false)
		if err == errTruncated && at+int64(len(buf)) < length {
			old := len(buf)
			buf = append(buf, make([]byte, min(recoveryChunk, length-at-int64(len(buf))))...)
			k, err := f.ReadAt(buf[old:], at+int64(old))
			buf = buf[:old+k]
			if err != nil && err != io.EOF || k == 0 {
				s.noteDamage(name, written, fmt.Errorf("read: %w", err))
				return nil
			}
			continue
		}
		if err != nil {
			if len(buf) == 0 && at == length {
				return nil
			}
			if recovery.Damaged(!last || validRecordFollows(f, at+1, length)) {
				s.noteDamage(name, written, err)
			}
			return nil
		}
		written = max(written, r.writtenMs)
		s.counts.Recovered++
		seg.LastExpiryMs = max(seg.LastExpiryMs, r.untilMs, r.writtenMs+s.limits.MaxWindow) // the windows of today may be longer
		s.index.put(r.fingerprint[0], n, uint32(at))
		at += int64(size)
		buf = buf[size:]
		if cap(buf) < recoveryChunk/2 { // the backing array is nearly used up
			buf = append(make([]byte, 0, recoveryChunk), buf...)
		}
	}
}

// soundBehind tells whether a sound record follows somewhere behind a bad one.
func validRecordFollows(f File, from, length int64) bool {
	b := make([]byte, length-from)
	k, _ := f.ReadAt(b, from)
	b = b[:k]
	for i := 0; i+recordHeaderSize+recordFixedSize <= len(b); i++ {
		if b[i] == recordMagic&0xff {
			if _, _, err := parseRecord(b[i:], false); err == nil {
				return true
			}
		}
	}
	return false
}

// damaged books that entries may be missing. What was written of them ended at the latest when the next segment was
// begun; the clock of this moment bounds that.
func (s *Store) noteDamage(name string, written float64, err error) {
	s.log("store: a segment is damaged", fmt.Errorf("%s: %w", name, err))
	s.counts.Failures++
	s.suspectUntil = max(s.suspectUntil, recovery.SuspectUntil(s.now(), s.limits.MaxWindow, s.limits.ClockTolerance))
}

// next begins a segment. It is called with no write in hand.
func (s *Store) createSegment() error {
	n := s.current + 1
	f, err := s.dir.Create(segmentName(n))
	if err != nil {
		return err
	}
	head := appendSegmentHeader(nil, s.owner, uint64(n))
	if _, err = f.Write(head); err == nil {
		if err = f.Sync(); err == nil {
			err = s.dir.Sync()
		}
	}
	if err != nil {
		f.Close()
		s.dir.Remove(segmentName(n))
		s.current = n // the name is not used again
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = n
	seg := &segment{file: f, name: segmentName(n), openRuns: map[Fingerprint]struct{}{}}
	seg.Bytes = float64(len(head))
	s.segments[n] = seg
	s.usedBytes += seg.Bytes
	s.dropSegments()
	return nil
}

// drop removes the segments that are over. It is called with the lock held.
func (s *Store) dropSegments() {
	for n := s.oldest(); n < s.current; n = s.oldest() {
		seg := s.segments[n]
		if !seg.Droppable(s.now(), s.limits.ClockTolerance) {
			return
		}
		if err := s.dir.Remove(seg.name); err != nil {
			s.log("store: a segment can't be removed", err)
			return
		}
		seg.file.Close()
		delete(s.segments, n)
		s.index.dropBefore(n + 1)
		s.usedBytes -= seg.Bytes
		s.counts.SegmentsDropped++
	}
}

// first is the oldest segment's number.
func (s *Store) oldest() uint32 {
	least := s.current
	for n := range s.segments {
		least = min(least, n)
	}
	return least
}

// frees is when the oldest segment is over.
func (s *Store) freesAt() float64 {
	if seg := s.segments[s.oldest()]; seg != nil && seg.OpenRuns == 0 {
		return seg.LastExpiryMs + s.limits.ClockTolerance
	}
	return 0
}

// Entry is what a store knows of a token.
type Entry struct {
	recovery.Entry
	Head, Result []byte
}

// Lookup reads what is known of a token. It may read the disk. An error tells that something is known and can't be read:
// the token must not run.
func (s *Store) Lookup(p Fingerprint) (Entry, bool, error) {
	s.mu.Lock()
	n, off, has := s.index.get(p[0])
	seg := s.segments[n]
	s.mu.Unlock()
	if !has || seg == nil {
		return Entry{}, false, nil
	}
	r, err := readRecord(seg.file, int64(off))
	switch {
	case err != nil:
		s.mu.Lock()
		gone := s.segments[n] == nil // dropped meanwhile, as its windows are over
		s.mu.Unlock()
		if gone {
			return Entry{}, false, nil
		}
		s.log("store: an entry can't be read", err)
		return Entry{}, true, err
	case r.fingerprint != p: // another token with the same first half: one in 2^64 for each pair
		return Entry{}, false, nil
	}
	return Entry{recovery.Entry{State: r.state, BodyHash: r.bodyHash, UntilMs: r.untilMs, WrittenMs: r.writtenMs}, r.head, r.result}, true, nil
}

// firstRead holds most records whole.
const firstReadBytes = 4 << 10

func readRecord(f File, off int64) (record, error) {
	b := make([]byte, firstReadBytes)
	for {
		k, err := f.ReadAt(b, off)
		if err != nil && err != io.EOF {
			return record{}, err
		}
		r, _, bad := parseRecord(b[:k], true)
		if bad == errTruncated && k == len(b) && len(b) < 2*maxRecord {
			b = make([]byte, 4*len(b))
			continue
		}
		return r, bad
	}
}

// Reserve tells whether a token may begin now, and reserves room for its end if so.
func (s *Store) Reserve() *recovery.Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropSegments()
	d := recovery.Disk{Health: s.health, UsedBytes: s.usedBytes, CapacityBytes: s.limits.MaxBytes, ReservedBytes: s.reservedBytes, FreesAtMs: s.freesAt(), SuspectUntilMs: s.suspectUntil}
	need := float64(maxRecordSize(0) + maxRecordSize(s.limits.MaxResultBytes))
	if r := d.Admit(s.now(), need); r != nil {
		return r
	}
	s.reservedBytes += need
	return nil
}

// RecordStart makes durable that a token's run is about to be asked for, and calls done from another goroutine. May must have
// allowed it. On an error nothing may run.
func (s *Store) RecordStart(p Fingerprint, body uint64, until float64, done func(error)) {
	need := float64(maxRecordSize(0))
	s.enqueue(pendingRecord{record{fingerprint: p, state: recovery.Started, bodyHash: body, untilMs: until}, func(err error) {
		if err != nil {
			s.unreserve(float64(maxRecordSize(s.limits.MaxResultBytes)))
		}
		done(err)
	}, need})
}

// RecordEnd makes durable how a run ended and calls done. An answer that is too long is not kept. Each Begin that succeeded
// must have one End.
func (s *Store) RecordEnd(p Fingerprint, state recovery.State, body uint64, until float64, head, result []byte, done func(error)) {
	r := record{fingerprint: p, state: state, bodyHash: body, untilMs: until}
	if state == recovery.Succeeded {
		if len(head)+len(result) > s.limits.MaxResultBytes {
			r.state = recovery.SucceededUncached
		} else {
			r.head, r.result = head, result
		}
	}
	s.enqueue(pendingRecord{r, done, float64(maxRecordSize(s.limits.MaxResultBytes))})
}

func (s *Store) unreserve(bytes float64) {
	s.mu.Lock()
	s.reservedBytes = max(0, s.reservedBytes-bytes)
	s.mu.Unlock()
}

func (s *Store) enqueue(o pendingRecord) {
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.queue = append(s.queue, o)
		s.queued.Signal()
	}
	s.mu.Unlock()
	if closed {
		go o.done(errClosed)
	}
}

// retryBroken is the ms between two attempts at a new segment after a failure.
const retryPeriod = 200.0

// write is the one goroutine that writes: what has gathered goes in one write and one sync.
func (s *Store) writeLoop() {
	defer close(s.written)
	var buf []byte
	var offs []uint32
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closed {
			s.queued.Wait()
		}
		batch := s.queue
		s.queue = nil
		broken, closed := s.health == recovery.Broken, s.closed
		seg := s.segments[s.current]
		s.mu.Unlock()
		if len(batch) == 0 && closed {
			return
		}
		if broken { // nothing is written before a new segment has been begun and synced
			if err := s.createSegment(); err != nil {
				s.failBatch(batch, err)
				time.Sleep(time.Duration(retryPeriod) * time.Millisecond)
				continue
			}
			s.mu.Lock()
			s.health = recovery.Healthy
			seg = s.segments[s.current]
			s.mu.Unlock()
			s.log("store: written again", nil)
		}
		buf, offs = buf[:0], offs[:0]
		at := uint32(seg.Bytes)
		for i := range batch {
			batch[i].record.writtenMs = s.now()
			offs = append(offs, at+uint32(len(buf)))
			buf = batch[i].record.append(buf)
		}
		_, err := seg.file.Write(buf)
		if err == nil {
			err = seg.file.Sync()
		}
		if err != nil {
			s.log("store: can't be written", err)
			s.mu.Lock()
			s.health = recovery.Broken
			s.usedBytes += float64(len(buf)) // some of it may stand there
			seg.Bytes += float64(len(buf))
			// What was not proven may be there all the same: the segment stays as long as it would with it.
			for i := range batch {
				seg.LastExpiryMs = max(seg.LastExpiryMs, batch[i].record.untilMs)
			}
			s.mu.Unlock()
			s.failBatch(batch, err)
			continue
		}
		s.mu.Lock()
		s.counts.Syncs++
		s.counts.Bytes += uint64(len(buf))
		seg.Bytes += float64(len(buf))
		s.usedBytes += float64(len(buf))
		for i := range batch {
			r := &batch[i].record
			s.counts.Records++
			s.index.put(r.fingerprint[0], s.current, offs[i])
			seg.LastExpiryMs = max(seg.LastExpiryMs, r.untilMs)
			s.reservedBytes = max(0, s.reservedBytes-batch[i].reserved)
			if r.state == recovery.Started {
				seg.OpenRuns++
				seg.openRuns[r.fingerprint] = struct{}{}
			} else {
				for _, o := range s.segments {
					if _, is := o.openRuns[r.fingerprint]; is {
						delete(o.openRuns, r.fingerprint)
						o.OpenRuns--
					}
				}
			}
		}
		full := seg.Bytes >= s.limits.SegmentBytes
		s.mu.Unlock()
		for i := range batch {
			batch[i].done(nil)
		}
		if full {
			if err := s.createSegment(); err != nil {
				s.log("store: no further segment", err)
				s.mu.Lock()
				s.health = recovery.Broken
				s.mu.Unlock()
			}
		}
	}
}

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

// Status is how a store stands.
type Status struct {
	Counts
	Health         recovery.Health
	UsedBytes      float64
	ReservedBytes  float64
	Segments       int
	Entries        int // of the index, with those that are over
	IndexKB        float64
	SuspectUntilMs float64
}

// Status returns how it stands.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{s.counts, s.health, s.usedBytes, s.reservedBytes, len(s.segments), s.index.used, float64(16*len(s.index.slots)) / 1024, s.suspectUntil}
}

// Close writes what is on its way and ends.
func (s *Store) Close() error {
	s.mu.Lock()
	was := s.closed
	s.closed = true
	s.queued.Signal()
	s.mu.Unlock()
	if was {
		return nil
	}
	<-s.written
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range s.segments {
		seg.file.Close()
	}
	return s.dir.Close()
}
