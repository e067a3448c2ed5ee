package permitclient

// This file formats the status of the service for an operator.

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"sorrelvalve/decision/permit"
)

const (
	maxShownHistory = 20 // commands
	maxShownNames   = 8  // servers of a list
)

// WriteStatus writes the status as tables: the leader, halts, permits, drains of pool members, the servers and members that are
// out of service, and the latest commands.
func WriteStatus(to io.Writer, status Status) error {
	var b strings.Builder
	s := status.State
	fmt.Fprintf(&b, "leader: %s; %d servers, %d pool members; share of recent RPCs rejected: %.3g\n", status.Leader, len(s.Servers), len(s.Members), status.RejectedShare)
	if s.HaltReason != "" {
		fmt.Fprintf(&b, "halted by %s: %s\n", cmp.Or(s.HaltedBy, "somebody"), s.HaltReason)
	}
	if s.AutoHaltReason != "" {
		fmt.Fprintf(&b, "halted automatically until the cause ends: %s\n", s.AutoHaltReason)
	}
	var tables strings.Builder
	tables.WriteString("permit\tsubject\theld by\treason\tbegun\trecalled by\n")
	for _, p := range s.Granted() {
		fmt.Fprintf(&tables, "%d\t%s\t%s\t%s\t%v\t%s\n", p.ID, p.Subject, p.Holder, p.Reason, p.Begun, p.RecalledBy)
	}
	for i := range status.Drains {
		writeDrain(&tables, &status.Drains[i])
	}
	tables.WriteString("\nout of service\tshare\n")
	for _, o := range status.Observations {
		fmt.Fprintf(&tables, "%s\t%.2f\n", o.Name, o.OutOfService)
	}
	tables.WriteString("\nindex\tcommand\tsubject\tby\treason\tOK\n")
	for _, e := range s.History[max(0, len(s.History)-maxShownHistory):] {
		fmt.Fprintf(&tables, "%d\t%s\t%s\t%s\t%s\t%v\n", e.Index, e.Kind, e.Subject, e.Actor, e.Reason, e.OK)
	}
	if _, err := io.WriteString(to, b.String()); err != nil {
		return err
	}
	w := tabwriter.NewWriter(to, 2, 0, 2, ' ', 0)
	if _, err := io.WriteString(w, tables.String()); err != nil {
		return err
	}
	return w.Flush()
}

// writeDrain writes the row of one pool member that drains.
func writeDrain(b *strings.Builder, d *permit.DrainStatus) {
	state := "in progress"
	if d.Done {
		state = "done"
	}
	fmt.Fprintf(b, "drain\t%s\t%s\tin flight: %d\tpending: %s\tblocked: %s\tunreachable: %s\n",
		d.Subject, state, d.InFlight, joinNames(d.Pending), joinNames(d.Blocked), joinNames(d.Unreachable))
}

// joinNames lists the first maxShownNames names and counts the others.
func joinNames(names []string) string {
	switch {
	case len(names) == 0:
		return "nobody"
	case len(names) > maxShownNames:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxShownNames], " "), len(names)-maxShownNames)
	}
	return strings.Join(names, " ")
}
