package daemon

// This file owns the durable store of the daemon: opening it beside the start, and the commands over its folder. It must
// never let an RPC in before recovery is over.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/store"
)

// opened is a store that is being opened.
type tokenStore struct {
	ready chan struct{}
	store *store.Store
	err   error
}

// openStore reads what stands in the folder, beside the start of the rest.
func openTokenStore(o *operator.Store, told *startup.Config, name string, log *logrus.Entry) *tokenStore {
	x := &tokenStore{ready: make(chan struct{})}
	go func() {
		defer close(x.ready)
		fs, err := store.OpenDir(o.Dir)
		if err != nil {
			x.err = err
			return
		}
		x.store, x.err = store.Open(fs, storeBounds(o, told.Methods), name, func() float64 { return float64(time.Now().UnixNano()) / 1e6 },
			func(text string, err error) { log.WithError(err).Error(text) })
		if x.err != nil {
			fs.Close()
			return
		}
		st := x.store.Status()
		log.WithFields(logrus.Fields{"entries": st.Recovered, "ms": st.RecoveryTime.Milliseconds(), "segments": st.Segments}).Info("store: recovered")
	}()
	return x
}

func storeBounds(o *operator.Store, methods []control.Method) store.Limits {
	b := store.Limits{MaxBytes: o.MaxMB * (1 << 20), SegmentBytes: o.SegmentMB * (1 << 20), MaxResultBytes: o.MaxAnswerBytes, ClockTolerance: o.ToleranceMs}
	for _, m := range methods {
		if m.Idempotency == control.IdempotencyKeyed {
			b.MaxWindow = max(b.MaxWindow, m.DedupWindow+m.Deadline)
		}
	}
	return b
}

// tellEvery is how often a store's state is told: often enough to see it fill up within a window or two of minutes.
const reportPeriod = time.Minute

// tells logs how the store stands until ctx ends.
func (x *tokenStore) reportPeriodically(ctx context.Context, log *logrus.Entry) {
	t := time.NewTicker(reportPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			x.reportState(log)
		}
	}
}

// tell logs how the store stands, once it has been read.
func (x *tokenStore) reportState(log *logrus.Entry) {
	select {
	case <-x.ready:
	default:
		return
	}
	if x.store == nil {
		return
	}
	st := x.store.Status()
	log.WithFields(logrus.Fields{"health": st.Health, "used": int64(st.UsedBytes), "reserved": int64(st.ReservedBytes), "segments": st.Segments,
		"records": st.Records, "syncs": st.Syncs, "dropped": st.SegmentsDropped, "failures": st.Failures, "index_kb": int64(st.IndexKB)}).Info("store: state")
}

// close ends the store once nothing more can ask for it.
func (x *tokenStore) close() {
	<-x.ready
	if x.store != nil {
		x.store.Close()
	}
}

// StoreCmd are the commands over the folder of a store.
type StoreCmd struct {
	Inspect inspectCmd `cmd:"" help:"Tell what stands in a store's folder."`
	Verify  verifyCmd  `cmd:"" help:"Read every record of it; the exit code tells whether all is sound."`
	Compact compactCmd `cmd:"" help:"Remove segments of which all windows are over, while no server uses the folder."`
}

type inspectCmd struct {
	Dir string `arg:"" type:"existingdir"`
}

func (c inspectCmd) Run() error { _, err := inspectStore(c.Dir, true); return err }

type verifyCmd struct {
	Dir string `arg:"" type:"existingdir"`
}

func (c verifyCmd) Run() error {
	bad, err := inspectStore(c.Dir, false)
	if err == nil && bad > 0 {
		err = fmt.Errorf("%d segments are not sound to their end; a torn tail of the last one is what a crash leaves", bad)
	}
	return err
}

func inspectStore(dir string, list bool) (bad int, err error) {
	fs, err := store.OpenDir(dir)
	if err != nil {
		return 0, err
	}
	defer fs.Close()
	all, err := store.InspectSegments(fs)
	if err != nil {
		return 0, err
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	if list {
		fmt.Fprintln(w, "segment\tbytes\trecords\tbegun\tdone\tfailed\tnot kept\tnever ran\tlast window over\t")
	}
	for _, s := range all {
		why := ""
		if s.Err != nil {
			bad++
			why = "ends early: " + s.Err.Error()
		}
		if list || s.Err != nil {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", s.Name, s.Bytes, s.Records, s.States[recovery.Started], s.States[recovery.Succeeded],
				s.States[recovery.Failed], s.States[recovery.SucceededUncached], s.States[recovery.NeverRan], time.UnixMilli(int64(s.LastExpiryMs)).UTC().Format(time.RFC3339), why)
		}
	}
	w.Flush()
	fmt.Printf("%d segments, %d not sound to their end\n", len(all), bad)
	return bad, nil
}

type compactCmd struct {
	Dir       string        `arg:"" type:"existingdir"`
	Tolerance time.Duration `default:"2s" help:"By which the clock may have stepped."`
}

func (c compactCmd) Run() error {
	fs, err := store.OpenDir(c.Dir)
	if err != nil {
		return err
	}
	defer fs.Close()
	all, err := store.InspectSegments(fs)
	if err != nil {
		return err
	}
	now := float64(time.Now().UnixMilli())
	removed, kept := 0, 0
	for _, s := range all { // the oldest first, and none behind one that stays: later records go before earlier ones
		seg := recovery.Segment{LastExpiryMs: s.LastExpiryMs}
		if s.Err != nil || !seg.Droppable(now, float64(c.Tolerance.Milliseconds())) {
			kept = len(all) - removed
			break
		}
		if err := fs.Remove(s.Name); err != nil {
			return err
		}
		removed++
	}
	fmt.Printf("%d segments removed, %d stay\n", removed, kept)
	if kept > 0 && all[removed].Err != nil {
		return errors.New(all[removed].Name + ": " + all[removed].Err.Error())
	}
	return nil
}
