// Package store keeps the state of idempotency tokens on disk, so that duplicates are recognised after a restart: that a run
// has started, before it does, and how it ended, with its result, before the caller is answered.
//
// A store is a log of segments with an index in memory of where the last record of each token stands. A segment is dropped
// once all windows in it are over. Records that are waiting share one write and one sync (group commit). What records mean,
// and what may start, is for package decision/recovery. The store never reports a record as durable that has not been
// synced, nor trusts a file again after a sync of it failed.
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
	MaxBytes       float64 // on disk, over all segments
	SegmentBytes   float64 // from which on the next segment is begun
	MaxResultBytes int     // longest head and result that are recorded
	MaxWindow      float64 // longest deduplication window of all methods, each with its deadline
	ClockTolerance float64 // by which the wall clock may have stepped while the process was down
}

// Log takes what was damaged or has failed. The event is a constant name of the form store.event_name; err may be nil.
type Log func(event string, err error)

// Store is an open store. Its methods may be called by many goroutines at once.
type Store struct {
	folder FS
	limits Limits
	owner  uint64         // hash of the server's name
	now    func() float64 // Unix ms
	log    Log

	mu            sync.Mutex
	queued        *sync.Cond // signalled when there is something in queue, or closed is set
	queue         []pendingRecord
	closed        bool
	writerDone    chan struct{} // closed once the writer has ended
	index         *index
	segments      map[uint32]*segment // by number
	current       uint32              // number of the segment that is written
	health        recovery.Health
	usedBytes     float64
	reservedBytes float64 // for the records of runs that may start or have started
	suspectUntil  float64 // Unix ms; see recovery.Disk
	counts        Counts
}

// Counts are what a store has done since it was opened.
type Counts struct {
	Records         uint64 // written
	Syncs           uint64
	SegmentsDropped uint64
	Failures        uint64 // of writes, and segments found damaged
	Bytes           uint64 // written
	Recovered       int    // records read when it was opened
	RecoveryTime    time.Duration
}

var (
	// ErrNotDurable is the error of a record that could not be made durable.
	ErrNotDurable = errors.New("store: not kept")
	// ErrVersion is the error of Open for a store that another version of the format has written.
	ErrVersion = errors.New("store: written by another version of the format")
	// ErrOwner is the error of Open for a store of another server.
	ErrOwner = errors.New("store: it is that of another server")

	errClosed = errors.New("store: closed")
)

// Open reads the segments in a folder and begins a new one. The owner names the server: a store that was copied from another
// server is an error, as is one of another version; neither is changed. now returns Unix ms. The caller closes the folder
// if Open fails; else Close does.
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

// Reserve returns nil if a token may start a run now, and has then reserved space for its records, to be used by one
// RecordStart. Else it returns why the token may not.
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

// startBytes is the space that is reserved for the record of a start.
var startBytes = float64(maxRecordSize(0))

// endBytes is the space that is reserved for the record of an end.
func (s *Store) endBytes() float64 { return float64(maxRecordSize(s.limits.MaxResultBytes)) }

// RecordStart records that a run of a token is about to start. It does not block: done is called from another goroutine,
// with nil once the record is durable. On an error nothing may run. Reserve must have allowed it.
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

// RecordEnd records how a run ended, under the terms of RecordStart. A result that is too long is left out. Each
// RecordStart that succeeded must have one RecordEnd.
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

func (s *Store) unreserve(bytes float64) {
	s.mu.Lock()
	s.reservedBytes = max(0, s.reservedBytes-bytes)
	s.mu.Unlock()
}

// Status is the state of a store.
type Status struct {
	Counts
	Health         recovery.Health
	UsedBytes      float64 // on disk
	ReservedBytes  float64 // for the records of runs that may start or have started
	Segments       int
	Entries        int     // of the index, with those that are over
	IndexKB        float64 // memory of the index
	SuspectUntilMs float64 // until when entries may be missing as the store was damaged, in Unix ms
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

// Close writes the records that are queued, ends the writer and closes the folder. Later calls do nothing.
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
		_ = seg.file.Close() // what was reported as durable has been synced
	}
	return s.folder.Close()
}
