// Package store keeps the state of idempotency tokens on disk, so that duplicates are recognised after a restart. It records
// that a run starts before the run does, and how the run ended, with its result, before the caller is answered.
//
// A store is a log of segments with an in-memory index of the location of each token's last record. A segment is dropped
// once all deduplication windows in it have ended. Queued records share one write and one sync (group commit). Package
// decision/recovery decides what records mean and which runs may start. The store never reports a record as durable before
// it has been synced, and never writes to a file again after a failed write or sync.
package store

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sorrelvalve/decision/recovery"
)

// Limits are the bounds of a store. Times are in ms.
type Limits struct {
	MaxBytes       float64 // total size of all segments on disk
	SegmentBytes   float64 // size from which a segment is full and the next one is created
	MaxResultBytes int     // largest combined size of head and result that is recorded
	MaxWindow      float64 // longest deduplication window of all methods, each including the method's deadline
	ClockTolerance float64 // amount by which the wall clock may have stepped while the process was down
}

// Log receives damage, failures and other events. The event is a constant name of the form store.event_name; err may be nil.
type Log func(event string, err error)

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	folder FS
	limits Limits
	owner  uint64         // hash of the server's name
	now    func() float64 // Unix ms
	log    Log

	mu            sync.Mutex
	queued        *sync.Cond // signalled when a record is added to queue, or closed is set
	queue         []pendingRecord
	closed        bool
	writerDone    chan struct{} // closed once writeLoop has returned
	index         *index
	segments      map[uint32]*segment // by number
	current       uint32              // number of the segment that records are appended to
	health        recovery.Health
	usedBytes     float64
	reservedBytes float64 // reserved for the records of runs that may start or have started
	suspectUntil  float64 // Unix ms; see recovery.Disk
	counts        Counts
}

// Counts are the operations of a store since it was opened.
type Counts struct {
	Records         uint64 // written
	Syncs           uint64
	SegmentsDropped uint64
	Failures        uint64 // failed writes and damaged segments
	Bytes           uint64 // written
	Recovered       int    // records read when the store was opened
	RecoveryTime    time.Duration
}

var (
	// ErrNotDurable is returned for a record that could not be made durable.
	ErrNotDurable = errors.New("store: record is not durable")
	// ErrVersion is returned by Open if the store has another version of the format.
	ErrVersion = errors.New("store: unsupported version of the format")
	// ErrOwner is returned by Open if the store belongs to another server.
	ErrOwner = errors.New("store: folder belongs to another server")

	errClosed = errors.New("store: closed")
)

// Open reads the segments in a folder and creates a new one. The owner is the name of the server. If the store was copied from
// another server or has another version of the format, Open returns ErrOwner or ErrVersion and does not change the store. now
// returns Unix ms. If Open fails, the caller closes the folder; otherwise Close does.
func Open(folder FS, limits Limits, owner string, now func() float64, log Log) (*Store, error) {
	s := &Store{
		folder:     folder,
		limits:     limits,
		owner:      xxhash.Sum64String(owner),
		now:        now,
		log:        log,
		writerDone: make(chan struct{}),
		index:      newIndex(),
		segments:   map[uint32]*segment{},
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

// Reserve returns nil if a token may start a run now. It has then reserved space for the records of one run, which one call of
// RecordStart uses. Otherwise it returns why the run may not start.
func (s *Store) Reserve() *recovery.Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropSegments()
	disk := recovery.Disk{
		Health:         s.health,
		UsedBytes:      s.usedBytes,
		CapacityBytes:  s.limits.MaxBytes,
		ReservedBytes:  s.reservedBytes,
		FreesAtMs:      s.freesAt(),
		SuspectUntilMs: s.suspectUntil,
	}
	bytes := startBytes + s.endBytes()
	if rejection := disk.Admit(s.now(), bytes); rejection != nil {
		return rejection
	}
	s.reservedBytes += bytes
	return nil
}

// startBytes is the space that is reserved for the record of a run's start.
var startBytes = float64(maxRecordSize(0))

// endBytes returns the space that is reserved for the record of a run's end.
func (s *Store) endBytes() float64 { return float64(maxRecordSize(s.limits.MaxResultBytes)) }

// RecordStart records that a run of a token is about to start. Reserve must have succeeded before. RecordStart does not block:
// done is called from another goroutine, with nil once the record is durable. If done receives an error, the run must not
// start.
func (s *Store) RecordStart(token Fingerprint, bodyHash uint64, untilMs float64, done func(error)) {
	s.enqueue(pendingRecord{
		record:   record{fingerprint: token, state: recovery.Started, bodyHash: bodyHash, untilMs: untilMs},
		reserved: startBytes,
		done: func(err error) {
			if err != nil {
				s.unreserve(s.endBytes())
			}
			done(err)
		},
	})
}

// RecordEnd records how a run ended. done is called as in RecordStart. A head and result of more than MaxResultBytes are not
// recorded. Each successful RecordStart must be followed by one RecordEnd.
func (s *Store) RecordEnd(token Fingerprint, state recovery.State, bodyHash uint64, untilMs float64, head, result []byte, done func(error)) {
	r := record{fingerprint: token, state: state, bodyHash: bodyHash, untilMs: untilMs}
	if state == recovery.Succeeded {
		if len(head)+len(result) > s.limits.MaxResultBytes {
			r.state = recovery.SucceededUncached
		} else {
			r.head = head
			r.result = result
		}
	}
	s.enqueue(pendingRecord{record: r, reserved: s.endBytes(), done: done})
}

// unreserve releases reserved space.
func (s *Store) unreserve(bytes float64) {
	s.mu.Lock()
	s.reservedBytes = max(0, s.reservedBytes-bytes)
	s.mu.Unlock()
}

// Status is the state of a store.
type Status struct {
	Counts
	Health         recovery.Health
	UsedBytes      float64 // size on disk
	ReservedBytes  float64 // reserved for the records of runs that may start or have started
	Segments       int
	Entries        int     // entries of the index, including those whose windows have ended
	IndexKB        float64 // memory that the index takes
	SuspectUntilMs float64 // time until which entries may be missing because the store was damaged, in Unix ms
}

// Status returns the state of the store.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Counts:         s.counts,
		Health:         s.health,
		UsedBytes:      s.usedBytes,
		ReservedBytes:  s.reservedBytes,
		Segments:       len(s.segments),
		Entries:        s.index.used,
		IndexKB:        float64(slotBytes*len(s.index.slots)) / 1024,
		SuspectUntilMs: s.suspectUntil,
	}
}

// Close writes the queued records, stops the writer and closes the folder. Later calls do nothing.
func (s *Store) Close() error {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.queued.Signal()
	s.mu.Unlock()
	if closed {
		return nil
	}
	<-s.writerDone
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range s.segments {
		_ = seg.file.Close() // records that were reported as durable have been synced
	}
	return s.folder.Close()
}
