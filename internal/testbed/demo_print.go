package testbed

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/standin"
)

const demoStatusTimeout = 500 * time.Millisecond

// contactCells are how a demonstration prints the contact with a peer that is alive.
var contactCells = map[string]string{"both ways": "yes", "one way": "in", "through others": "via"}

// printSecond prints whom each process finds alive, and what became of each method's RPCs since the last call.
func (d *demo) printSecond(ctx context.Context, second int) error {
	var sockets []string
	for _, name := range d.bed.Names {
		if d.bed.Processes.Running(name) {
			sockets = append(sockets, d.bed.Socket(name))
		}
	}
	statuses, _ := fleet.FetchStatuses(ctx, sockets, demoStatusTimeout) // those that don't answer are printed as such
	w := tabwriter.NewWriter(d.out, 2, 0, 2, ' ', 0)
	text := fmt.Sprintf("\nsecond %d\tphase\thears\t%s\n", second, strings.Join(d.bed.Names, "\t"))
	for _, name := range d.bed.Names {
		i := slices.IndexFunc(statuses, func(s fleet.Status) bool { return s.Name == name })
		if i < 0 {
			text += fmt.Sprintf("%s\t-\tdoes not answer\n", name)
			continue
		}
		text += d.statusLine(&statuses[i])
	}
	if err := flushTable(w, text); err != nil {
		return err
	}
	text = ""
	counts := d.counts.take()
	for _, method := range sortedMethods(counts) {
		n := counts[method]
		text += fmt.Sprintf("%s\tok %d\tpushed back %d\taborted %d\tno answer %d\n", method,
			n[standin.OK], n[standin.Rejected], n[standin.Aborted]+n[standin.Invalid], n[standin.Lost])
	}
	return flushTable(w, text)
}

// flushTable writes a table with its columns aligned.
func flushTable(w *tabwriter.Writer, text string) error {
	if _, err := fmt.Fprint(w, text); err != nil {
		return err
	}
	return w.Flush()
}

// statusLine is the line of one process: its phase, its view of the fleet and of each peer.
func (d *demo) statusLine(s *fleet.Status) string {
	cells := make([]string, len(d.bed.Names))
	for i, peer := range d.bed.Names {
		cells[i] = peerCell(s, peer)
	}
	view := fmt.Sprintf("%s %d/%d", s.Connectivity, s.Reachable, s.Members)
	if s.InGracePeriod {
		view = "listens"
	}
	return fmt.Sprintf("%s\t%s %.0f%%\t%s\t%s\n", s.Name, s.Phase, 100*s.WarmupProgress, view, strings.Join(cells, "\t"))
}

// peerCell is what a process finds of a peer.
func peerCell(s *fleet.Status, peer string) string {
	if peer == s.Name {
		return "self"
	}
	cell := "?"
	for _, p := range s.Peers {
		switch {
		case p.Name != peer:
		case p.Departed != "":
			cell = p.Departed
		case p.FlapDamped:
			cell = "flaps"
		case p.Reachable:
			cell = contactCells[p.Contact]
		default:
			cell = "no"
		}
	}
	return cell
}
