package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/control"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/store"
)

// This file manages the durable token store of the daemon, which is opened concurrently with the start of the other parts.
// No RPC may be admitted before recovery is complete.

// statusPeriod is the interval at which a store's status is logged, short enough to see the store fill up within a
// deduplication window of minutes.
const statusPeriod = time.Minute

// tokenStore is a durable token store that is being opened or has been opened.
type tokenStore struct {
	ready chan struct{} // closed once store and err are set
	store *store.Store  // nil if it could not be opened
	err   error
}

// openTokenStore starts to open the store and returns without waiting for its recovery.
func openTokenStore(o *operator.Store, config *startup.Config, server string, log *logrus.Entry) *tokenStore {
	t := &tokenStore{ready: make(chan struct{})}
	go func() {
		defer close(t.ready)
		t.open(o, config, server, log)
	}()
	return t
}

// open opens the store, recovers its entries and sets t.store or t.err.
func (t *tokenStore) open(o *operator.Store, config *startup.Config, server string, log *logrus.Entry) {
	dir, err := store.OpenDir(o.Dir)
	if err != nil {
		t.err = err
		return
	}
	now := func() float64 { return float64(time.Now().UnixNano()) / 1e6 }
	onError := func(event string, err error) { log.WithError(err).Error(event) }
	t.store, t.err = store.Open(dir, storeLimits(o, config.Methods), server, now, onError)
	if t.err != nil {
		_ = dir.Close() // nothing was written, and t.err reports the failure
		return
	}
	status := t.store.Status()
	log.WithFields(logrus.Fields{
		"entries":     status.Recovered,
		"segments":    status.Segments,
		"duration_ms": status.RecoveryTime.Milliseconds(),
	}).Info("store.recovered")
}

// storeLimits returns the limits that an operator's file sets for the store, with the longest window of the methods.
func storeLimits(o *operator.Store, methods []control.Method) store.Limits {
	l := store.Limits{
		MaxBytes:       o.MaxMB * bytesPerMB,
		SegmentBytes:   o.SegmentMB * bytesPerMB,
		MaxResultBytes: o.MaxAnswerBytes,
		ClockTolerance: o.ToleranceMs,
	}
	for _, m := range methods {
		if m.Idempotency == control.IdempotencyKeyed {
			l.MaxWindow = max(l.MaxWindow, m.DedupWindow+m.Deadline)
		}
	}
	return l
}

// logPeriodically logs the store's status every statusPeriod until ctx ends.
func (t *tokenStore) logPeriodically(ctx context.Context, log *logrus.Entry) {
	ticker := time.NewTicker(statusPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.logStatus(log)
		}
	}
}

// logStatus logs the store's status if the store is open.
func (t *tokenStore) logStatus(log *logrus.Entry) {
	select {
	case <-t.ready:
	default:
		return
	}
	if t.store == nil {
		return
	}
	status := t.store.Status()
	log.WithFields(logrus.Fields{
		"health":           status.Health,
		"used_bytes":       int64(status.UsedBytes),
		"reserved_bytes":   int64(status.ReservedBytes),
		"segments":         status.Segments,
		"records":          status.Records,
		"syncs":            status.Syncs,
		"segments_dropped": status.SegmentsDropped,
		"failures":         status.Failures,
		"index_kb":         int64(status.IndexKB),
	}).Info("store.status")
}

// close waits until the store has been opened and closes it. The store must not be used any more.
func (t *tokenStore) close(log *logrus.Entry) {
	<-t.ready
	if t.store == nil {
		return
	}
	if err := t.store.Close(); err != nil {
		log.WithError(err).Error("store.close_failed")
	}
}
