package valve

import (
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/store"
)

// StoreOptions configure the durable storage of idempotency tokens and their results, so that duplicates are recognised
// after a restart. The directory must be on a disk that outlives the process, and no other process may use it.
type StoreOptions struct {
	Dir            string                        // directory of the store
	Server         string                        // name of this server; New fails if the directory belongs to another one
	MaxBytes       int64                         // bytes that the store may occupy on disk; default 256 MiB
	MaxResultBytes int                           // bytes of the longest result that is stored; default 16 KiB
	ClockTolerance time.Duration                 // largest step of the clock while the program is down; default 2 s
	Log            func(event string, err error) // called for each log line, with a constant event name; nil to discard the log
}

// The defaults of StoreOptions.
const (
	defaultStoreBytes     = 256 << 20
	defaultResultBytes    = 16 << 10
	defaultClockTolerance = 2 * time.Second
)

// segmentsPerStore is the number of segments of a full store. Space is freed one segment at a time.
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
	dir, err := store.OpenDir(o.Dir)
	if err != nil {
		return nil, err
	}
	now := func() float64 { return float64(time.Now().UnixNano()) / 1e6 }
	s, err := store.Open(dir, limits, o.Server, now, log)
	if err != nil {
		_ = dir.Close() // err has the reason why the store is not opened
	}
	return s, err
}

// StoreStatus is the state of a Valve's store, for use in the program's metrics.
type StoreStatus struct {
	Broken          bool  // the store can't be written: RPCs with an idempotency token are rejected
	UsedBytes       int64 // bytes used on disk
	ReservedBytes   int64 // bytes reserved for the records of current runs
	Segments        int
	Records         uint64 // records written since New
	Syncs           uint64 // disk syncs since New
	SegmentsDropped uint64 // segments deleted since New
	Failures        uint64 // failed writes since New, and segments found damaged
}

// StoreStatus returns the state of the store, or false if the Valve has no store.
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
