package permitclient

// This file owns how the service's status is shown to an operator.

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"sorrelvalve/decision/permit"
)

const (
	maxShownHistory = 20 // the latest steps
	maxShownNames   = 8  // of a list of servers
)

// WriteStatus writes the leader, halts, permits, drains of members, what is out of service, and the latest steps as tables.
func WriteStatus(to io.Writer, status Status) error {
	var b strings.Builder
	s := status.State
	fmt.Fprintf(&b, "%s leads; %d servers, %d members of pools; %.3g of the RPCs of late pushed back\n", status.Leader, len(s.Servers), len(s.Members), status.RejectedShare)
	if s.HaltReason != "" {
		fmt.Fprintf(&b, "halted by %s: %s\n", cmp.Or(s.HaltedBy, "somebody"), s.HaltReason)
	}
	if s.AutoHaltReason != "" {
		fmt.Fprintf(&b, "halted by itself, until that ends: %s\n", s.AutoHaltReason)
	}
	var tables strings.Builder
	tables.WriteString("permit\tfor\theld by\twhy\tbegun\twanted back by\n")
	for _, p := range s.Granted() {
		fmt.Fprintf(&tables, "%d\t%s\t%s\t%s\t%v\t%s\n", p.ID, p.Subject, p.Holder, p.Reason, p.Begun, p.RecalledBy)
	}
	for i := range status.Drains {
		writeDrain(&tables, &status.Drains[i])
	}
	tables.WriteString("\nout, whyever\tpart\n")
	for _, x := range status.Observations {
		fmt.Fprintf(&tables, "%s\t%.2f\n", x.Name, x.OutOfService)
	}
	tables.WriteString("\nstep\twhat\tfor\tby\twhy\tdone\n")
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

func writeDrain(b *strings.Builder, d *permit.DrainStatus) {
	state := "not yet"
	if d.Done {
		state = "done"
	}
	fmt.Fprintf(b, "drained\t%s\t%s\tin hand %d\twaits for %s\tcan't: %s\tnot heard: %s\n",
		d.Subject, state, d.InFlight, joinNames(d.Pending), joinNames(d.Blocked), joinNames(d.Unreachable))
}

// joinNames lists the first names and counts the others.
func joinNames(names []string) string {
	switch {
	case len(names) == 0:
		return "nobody"
	case len(names) > maxShownNames:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxShownNames], " "), len(names)-maxShownNames)
	}
	return strings.Join(names, " ")
}
