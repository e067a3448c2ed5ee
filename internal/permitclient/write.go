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
const shown = 20

// Write lists who leads, why nothing begins, the permits, what is out, how far members are drained, and the latest steps.
func Write(to io.Writer, st Status) error {
	s := st.State
	fmt.Fprintf(to, "%s leads; %d servers, %d members of pools; %.3g of the RPCs of late pushed back\n", st.Leader, len(s.Servers), len(s.Members), st.Pushed)
	if s.Halted != "" {
		fmt.Fprintf(to, "halted by %s: %s\n", cmp.Or(s.By, "somebody"), s.Halted)
	}
	if s.Auto != "" {
		fmt.Fprintf(to, "halted by itself, until that ends: %s\n", s.Auto)
	}
	w := tabwriter.NewWriter(to, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "permit\tfor\theld by\twhy\tbegun\twanted back by")
	for _, p := range s.Held() {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%v\t%s\n", p.ID, p.Subject, p.Who, p.Why, p.Begun, p.Recall)
	}
	for _, d := range st.Drained {
		state := "not yet"
		if d.Done {
			state = "done"
		}
		fmt.Fprintf(w, "drained\t%s\t%s\tin hand %d\twaits for %s\tcan't: %s\tnot heard: %s\n", d.Subject, state, d.InHand, names(d.Waits), names(d.Cannot), names(d.Unheard))
	}
	fmt.Fprintln(w, "\nout, whyever\tpart")
	for _, x := range st.Seen {
		fmt.Fprintf(w, "%s\t%.2f\n", x.Name, x.Out)
	}
	fmt.Fprintln(w, "\nstep\twhat\tfor\tby\twhy\tdone")
	for _, e := range s.History[max(0, len(s.History)-shown):] {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%v\n", e.Index, e.Kind, e.Subject, e.Who, e.Why, e.OK)
	}
	return w.Flush()
}

func names(all []string) string {
	const most = 8
	if len(all) == 0 {
		return "nobody"
	}
	if len(all) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(all[:most], " "), len(all)-most)
	}
	return strings.Join(all, " ")
}
