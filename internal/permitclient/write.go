package permitclient

// This file owns how the keepers' state is shown to an operator. It must never show what it was not told.

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// shown are the latest steps that are listed.
const maxShownHistory = 20

// Write lists who leads, why nothing begins, the permits, what is out, how far members are drained, and the latest steps.
func WriteStatus(to io.Writer, st Status) error {
	s := st.State
	fmt.Fprintf(to, "%s leads; %d servers, %d members of pools; %.3g of the RPCs of late pushed back\n", st.Leader, len(s.Servers), len(s.Members), st.RejectedShare)
	if s.HaltReason != "" {
		fmt.Fprintf(to, "halted by %s: %s\n", cmp.Or(s.HaltedBy, "somebody"), s.HaltReason)
	}
	if s.AutoHaltReason != "" {
		fmt.Fprintf(to, "halted by itself, until that ends: %s\n", s.AutoHaltReason)
	}
	w := tabwriter.NewWriter(to, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "permit\tfor\theld by\twhy\tbegun\twanted back by")
	for _, p := range s.Granted() {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%v\t%s\n", p.ID, p.Subject, p.Holder, p.Reason, p.Begun, p.RecalledBy)
	}
	for _, d := range st.Drains {
		state := "not yet"
		if d.Done {
			state = "done"
		}
		fmt.Fprintf(w, "drained\t%s\t%s\tin hand %d\twaits for %s\tcan't: %s\tnot heard: %s\n", d.Subject, state, d.InFlight, joinNames(d.Pending), joinNames(d.Blocked), joinNames(d.Unreachable))
	}
	fmt.Fprintln(w, "\nout, whyever\tpart")
	for _, x := range st.Observations {
		fmt.Fprintf(w, "%s\t%.2f\n", x.Name, x.OutOfService)
	}
	fmt.Fprintln(w, "\nstep\twhat\tfor\tby\twhy\tdone")
	for _, e := range s.History[max(0, len(s.History)-maxShownHistory):] {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%v\n", e.Index, e.Kind, e.Subject, e.Actor, e.Reason, e.OK)
	}
	return w.Flush()
}

func joinNames(all []string) string {
	const most = 8
	if len(all) == 0 {
		return "nobody"
	}
	if len(all) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(all[:most], " "), len(all)-most)
	}
	return strings.Join(all, " ")
}
