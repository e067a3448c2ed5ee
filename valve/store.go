package valve

import (
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/store"
)

// StoreOptions have tokens and their results stored durably, so that duplicates are recognised after a restart. The folder
// must be on a disk that outlives the process and must not be used by another one.
type StoreOptions struct {
	Dir            string
	Server         string                        // name of this server; a folder that was copied from another one is an error
	MaxBytes       int64                         // on disk; default 256 MiB
	MaxResultBytes int                           // longest result that is stored; default 16 KiB
	ClockTolerance time.Duration                 // by which the clock may step while the program is down; default 2 s
	Log            func(event string, err error) // gets log lines, each a constant event name; nil for none
}

// The defaults of StoreOptions.
const (
	defaultStoreBytes     = 256 << 20
	defaultResultBytes    = 16 << 10
	defaultClockTolerance = 2 * time.Second
)

// segmentsPerStore is the number of segments that a full store has: space is freed by segments.
const segmentsPerStore = 32

// open opens the store.
func (o *StoreOptions) open(methods []control.Method) (*store.Store, error) {
	maxBytes := float64(withDefault(o.MaxBytes, defaultStoreBytes))
	limits := store.Limits{
		MaxBytes:       maxBytes,
		SegmentBytes:   maxBytes / segmentsPerStore,
		MaxResultBytes: withDefault(o.MaxResultBytes, defaultResultBytes),
		ClockTolerance: milliseconds(withDefault(o.ClockTolerance, defaultClockTolerance)),
	}
	for _, m := range methods {
		if m.Idempotency == control.IdempotencyKeyed {
			limits.MaxWindow = max(limits.MaxWindow, m.DedupWindow+m.Deadline)
		}
	}
	log := o.Log
	if log == nil {
		log = func(string, error) {}
	}
	folder, err := store.OpenDir(o.Dir)
	if err != nil {
		return nil, err
	}
	now := func() float64 { return float64(time.Now().UnixNano()) / 1e6 }
	s, err := store.Open(folder, limits, o.Server, now, log)
	if err != nil {
		_ = folder.Close() // it is given up; err tells why
	}
	return s, err
}

// StoreStatus is the state of a Valve's store, for the program's own metrics.
type StoreStatus struct {
	Broken          bool  // it can't be written: RPCs with an idempotency token are rejected
	UsedBytes       int64 // on disk
	ReservedBytes   int64 // for the records of runs under way
	Segments        int
	Records         uint64 // written so far
	Syncs           uint64 // so far
	SegmentsDropped uint64 // so far
	Failures        uint64 // of writes so far, and segments found damaged
}

// StoreStatus returns the state of the store; false if the Valve has none.
func (v *Valve) StoreStatus() (StoreStatus, bool) {
	if v.store == nil {
		return StoreStatus{}, false
	}
	s := v.store.Status()
	return StoreStatus{
		Broken:          s.Health == recovery.Broken,
		UsedBytes:       int64(s.UsedBytes),
		ReservedBytes:   int64(s.ReservedBytes),
		Segments:        s.Segments,
		Records:         s.Records,
		Syncs:           s.Syncs,
		SegmentsDropped: s.SegmentsDropped,
		Failures:        s.Failures,
	}, true
}
