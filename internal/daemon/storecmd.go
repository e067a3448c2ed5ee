package daemon

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/store"
)

// StoreCmd holds the commands for the folder of a token store.
type StoreCmd struct {
	Inspect inspectCmd `cmd:"" help:"List the segments of a store with their record counts."`
	Verify  verifyCmd  `cmd:"" help:"Read every record of a store; the exit code is not 0 if a segment is damaged."`
	Compact compactCmd `cmd:"" help:"Remove segments whose deduplication windows have all expired. No server may be using the folder."`
}

type inspectCmd struct {
	Dir string `arg:"" type:"existingdir"`
}

// Run prints a line for each segment.
func (c inspectCmd) Run() error {
	_, err := inspectStore(c.Dir, true)
	return err
}

type verifyCmd struct {
	Dir string `arg:"" type:"existingdir"`
}

// Run prints the damaged segments and returns an error if there are any.
func (c verifyCmd) Run() error {
	damaged, err := inspectStore(c.Dir, false)
	if err == nil && damaged > 0 {
		err = fmt.Errorf("%d segments are damaged; a torn tail of the last segment is normal after a crash", damaged)
	}
	return err
}

// inspectStore prints all segments of a store's folder, or only the damaged ones, and returns the number of damaged ones.
func inspectStore(path string, listAll bool) (damaged int, err error) {
	dir, err := store.OpenDir(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = dir.Close() }() // opened only for reading
	segments, err := store.InspectSegments(dir)
	if err != nil {
		return 0, err
	}
	var t table
	if listAll {
		t.printf("segment\tbytes\trecords\tbegun\tdone\tfailed\tnot kept\tnever ran\tlast window over\t\n")
	}
	for _, s := range segments {
		fault := ""
		if s.Err != nil {
			damaged++
			fault = "ends early: " + s.Err.Error()
		}
		if listAll || s.Err != nil {
			t.printf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", s.Name, s.Bytes, s.Records,
				s.States[recovery.Started], s.States[recovery.Succeeded], s.States[recovery.Failed],
				s.States[recovery.SucceededUncached], s.States[recovery.NeverRan],
				time.UnixMilli(int64(s.LastExpiryMs)).UTC().Format(time.RFC3339), fault)
		}
	}
	if err := t.writeTo(os.Stdout); err != nil {
		return damaged, err
	}
	fmt.Printf("%d segments, %d damaged\n", len(segments), damaged)
	return damaged, nil
}

type compactCmd struct {
	Dir       string        `arg:"" type:"existingdir"`
	Tolerance time.Duration `default:"2s" help:"Largest step that the clock may have made."`
}

// Run removes the oldest segments whose windows have expired, up to the first one that must be retained. Later records
// supersede earlier ones, so no segment after that one may be removed.
func (c compactCmd) Run() error {
	dir, err := store.OpenDir(c.Dir)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // each removal has reported its own error
	segments, err := store.InspectSegments(dir)
	if err != nil {
		return err
	}
	now := float64(time.Now().UnixMilli())
	removed, retained := 0, 0
	for _, s := range segments {
		segment := recovery.Segment{LastExpiryMs: s.LastExpiryMs}
		if s.Err != nil || !segment.Droppable(now, float64(c.Tolerance.Milliseconds())) {
			retained = len(segments) - removed
			break
		}
		if err := dir.Remove(s.Name); err != nil {
			return err
		}
		removed++
	}
	fmt.Printf("%d segments removed, %d retained\n", removed, retained)
	if retained > 0 && segments[removed].Err != nil {
		return fmt.Errorf("%s: %w", segments[removed].Name, segments[removed].Err)
	}
	return nil
}

// table collects rows of tab-separated columns. The zero value is an empty table.
type table struct{ text []byte }

func (t *table) printf(format string, args ...any) { t.text = fmt.Appendf(t.text, format, args...) }

// writeTo writes the table with aligned columns.
func (t *table) writeTo(out io.Writer) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	if _, err := w.Write(t.text); err != nil {
		return err
	}
	return w.Flush()
}
