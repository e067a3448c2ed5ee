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

// This file owns the durable token store of the daemon, which is opened beside the start of the rest. It must never let
// an RPC in before recovery is over.

// statusPeriod is how often a store's status is logged: often enough to see it fill up within a window of minutes.
const statusPeriod = time.Minute

// tokenStore is a durable token store that is being opened, or was.
type tokenStore struct {
	ready chan struct{} // closed once store and err are set
	store *store.Store  // nil if it could not be opened
	err   error
}

// openTokenStore starts to read what stands in the store's folder.
func openTokenStore(o *operator.Store, config *startup.Config, server string, log *logrus.Entry) *tokenStore {
	t := &tokenStore{ready: make(chan struct{})}
	go func() {
		defer close(t.ready)
		t.open(o, config, server, log)
	}()
	return t
}

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
		_ = dir.Close() // nothing was written, and why it could not be opened is reported
		return
	}
	status := t.store.Status()
	log.WithFields(logrus.Fields{
		"entries":     status.Recovered,
		"segments":    status.Segments,
		"duration_ms": status.RecoveryTime.Milliseconds(),
	}).Info("store.recovered")
}

// storeLimits are the limits of the store that an operator's file sets, with the longest window of the methods.
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

// logPeriodically logs the store's status until ctx ends.
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

// logStatus logs the store's status, once it is open.
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

// close closes the store once nothing more can ask for it.
func (t *tokenStore) close(log *logrus.Entry) {
	<-t.ready
	if t.store == nil {
		return
	}
	if err := t.store.Close(); err != nil {
		log.WithError(err).Error("store.close_failed")
	}
}
