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

// StoreCmd are the commands over the folder of a store.
type StoreCmd struct {
	Inspect inspectCmd `cmd:"" help:"Tell what stands in a store's folder."`
	Verify  verifyCmd  `cmd:"" help:"Read every record of it; the exit code tells whether all is sound."`
	Compact compactCmd `cmd:"" help:"Remove segments of which all windows are over, while no server uses the folder."`
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

// Run prints the segments that are damaged, and returns an error if there are any.
func (c verifyCmd) Run() error {
	damaged, err := inspectStore(c.Dir, false)
	if err == nil && damaged > 0 {
		err = fmt.Errorf("%d segments are not sound to their end; a torn tail of the last one is what a crash leaves", damaged)
	}
	return err
}

// inspectStore prints the segments of a store's folder, or only the damaged ones, and returns how many those are.
func inspectStore(path string, listAll bool) (damaged int, err error) {
	dir, err := store.OpenDir(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = dir.Close() }() // it was only read
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
	fmt.Printf("%d segments, %d not sound to their end\n", len(segments), damaged)
	return damaged, nil
}

type compactCmd struct {
	Dir       string        `arg:"" type:"existingdir"`
	Tolerance time.Duration `default:"2s" help:"By which the clock may have stepped."`
}

// Run removes the oldest segments whose windows are over, up to the first one that has to stay: later records supersede
// earlier ones, so none behind it may go.
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
	fmt.Printf("%d segments removed, %d stay\n", removed, retained)
	if retained > 0 && segments[removed].Err != nil {
		return fmt.Errorf("%s: %w", segments[removed].Name, segments[removed].Err)
	}
	return nil
}

// table is text in columns, which tabs separate. The zero value is empty.
type table struct{ text []byte }

func (t *table) printf(format string, args ...any) { t.text = fmt.Appendf(t.text, format, args...) }

// writeTo aligns the columns and writes the text.
func (t *table) writeTo(out io.Writer) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	if _, err := w.Write(t.text); err != nil {
		return err
	}
	return w.Flush()
}
