package fleet

// This file owns what several servers' views look like side by side, and where they differ. It must never call a view
// wrong: two that differ are both told.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// FetchStatuses asks several servers at once; the errors of those that did not answer in time name their sockets.
func FetchStatuses(ctx context.Context, sockets []string, wait time.Duration) (views []Status, failed []error) {
	ctx, end := context.WithTimeout(ctx, wait)
	defer end()
	all, errs := make([]Status, len(sockets)), make([]error, len(sockets))
	var asked sync.WaitGroup
	for i, path := range sockets {
		asked.Go(func() { all[i], errs[i] = FetchStatus(ctx, path) })
	}
	asked.Wait()
	for i, err := range errs {
		if err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", sockets[i], err))
		} else {
			views = append(views, all[i])
		}
	}
	return views, failed
}

// WriteJSON writes views, one a line.
func WriteJSON(w io.Writer, views []Status) error {
	e := json.NewEncoder(w)
	for i := range views {
		if err := e.Encode(&views[i]); err != nil {
			return err
		}
	}
	return nil
}

// WriteViews writes a table of who hears whom, what is known of each name, and where the views differ.
func WriteViews(out io.Writer, views []Status) {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "server\tzone\tstart\tphase\thears\theard of roster\tby zone\tfor\tstalls\tnotes")
	for _, v := range views {
		zones := make([]string, len(v.Zones))
		for i, z := range v.Zones {
			zones[i] = fmt.Sprintf("%s %d/%d", or(z.Name, "-"), z.Reachable, z.Members)
		}
		notes := slices.Clone(v.DuplicateNames)
		if v.InGracePeriod {
			notes = append(notes, "listens, says nothing of others yet")
		}
		if v.ExclusionReason != "" {
			notes = append(notes, v.ExclusionReason)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d of %d\t%s\t%s\t%d\t%s\n", v.Name, or(v.Zone, "-"), v.Generation, phaseText(v.Phase, v.WarmupProgress), v.Connectivity,
			v.Reachable, v.Members, strings.Join(zones, " "), secondsText(v.StateDurationMs), v.StallCount, strings.Join(notes, "; "))
	}
	w.Flush()
	if len(views) == 1 {
		fmt.Fprintln(w, "\npeer\tzone\tstart\tphase\theard\tcontact\tlast word\tlosses\tversion\tsettings")
		for _, p := range views[0].Peers {
			heard := map[bool]string{true: "yes", false: "no"}[p.Reachable]
			switch {
			case p.Departed != "":
				heard = p.Departed
			case p.FlapDamped:
				heard = "flaps"
			case p.DuplicateName:
				heard += ", two of the name"
			}
			how := p.Contact
			if p.RelayedBy != "" {
				how = "through " + p.RelayedBy
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", p.Name, or(p.Zone, "-"), p.Generation, phaseText(p.Phase, p.WarmupProgress), heard, how,
				secondsText(p.LastContactAgeMs), p.SuspicionCount, or(p.Version, "-"), or(p.SettingsHash, "-"))
		}
		w.Flush()
	}
	if len(views) == 1 {
		if views[0].Budgets != nil {
			writeBudgets(out, &views[0])
		}
		writeJudged(out, &views[0])
	}
	for _, d := range Differences(views) {
		fmt.Fprintln(out, "differ: "+d)
	}
}

// writeJudged writes how the members of pools stand.
func writeJudged(out io.Writer, v *Status) {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	for i, p := range v.Outliers {
		if i == 0 {
			fmt.Fprintln(w, "\npool\tmember\tverdict\tuse\tfor\tagainst\tof weight\tseen by\tends when")
		}
		for _, m := range p.Members {
			use, ends := "in use", ""
			switch {
			case m.Ejected:
				use, ends = "out", fmt.Sprintf("probed well, after %s", secondsText(m.EjectionRemainingMs))
			case m.CallerShare < 1:
				use, ends = fmt.Sprintf("%.0f%% of callers", 100*m.CallerShare), "its ramp is over"
			}
			since := "-"
			if m.StateDurationMs >= 0 {
				since = secondsText(m.StateDurationMs)
			}
			if m.HealthChecks {
				ends += "; this server asks"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.2f\t%.1f\t%s\t%s\n", p.Pool, m.Name, m.Reason, use, since, m.FaultShare, m.EvidenceWeight, or(strings.Join(m.ReportedBy, " "), "-"), ends)
		}
	}
	w.Flush()
}

// writeBudgets writes a server's parts, with the loans of each.
func writeBudgets(out io.Writer, v *Status) {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nbudget\town\tfloor\tpart now\tlent\tborrowed\tused\tturned away\tlast ask without a loan")
	for _, p := range v.Budgets.Quotas {
		refused := "-"
		if p.LastDenial.By != "" {
			refused = fmt.Sprintf("%s ago, %s: %s", secondsText(p.LastDenial.Age), p.LastDenial.By, p.LastDenial.Reason)
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s\n", p.Key, p.Owned, p.Floor, p.Capacity, p.Granted, p.Leased, p.Usage, p.UnmetDemand, refused)
		for _, l := range p.Leases {
			switch {
			case l.To == "":
				fmt.Fprintf(w, "  %.4g perhaps lent before the last start, for %s\n", l.Amount, secondsText(l.Remaining))
			case l.To == v.Name:
				fmt.Fprintf(w, "  %.4g from %s for %s\n", l.Amount, l.From, secondsText(l.Remaining))
			default:
				fmt.Fprintf(w, "  %.4g to %s for %s\n", l.Amount, l.To, secondsText(l.Remaining))
			}
		}
	}
	for i, x := range v.Budgets.FleetCounts {
		if i == 0 {
			fmt.Fprintln(w, "\nover the fleet\tat least\tat most")
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\n", x.Key, x.Min, x.Max)
	}
	w.Flush()
}

func or(s, none string) string {
	if s == "" {
		return none
	}
	return s
}

func phaseText(phase string, ramp float64) string {
	if phase == WarmingUp.String() {
		return fmt.Sprintf("cold %.0f%%", 100*ramp)
	}
	return or(phase, "-")
}

func secondsText(ms float64) string { return fmt.Sprintf("%.1f s", ms/1000) }

// Differences names where two views differ: who is there, of which start, and in which settings. Servers that listen
// first have no view yet.
func Differences(views []Status) (all []string) {
	type said struct{ heard, not []string }
	of := map[string]*said{}
	starts := map[string]map[uint64][]string{}
	for _, v := range views {
		if v.InGracePeriod {
			continue
		}
		for _, p := range v.Peers {
			s := of[p.Name]
			if s == nil {
				s = &said{}
				of[p.Name], starts[p.Name] = s, map[uint64][]string{}
			}
			if p.Reachable {
				s.heard = append(s.heard, v.Name)
				starts[p.Name][p.Generation] = append(starts[p.Name][p.Generation], v.Name)
			} else if p.Departed == "" {
				s.not = append(s.not, v.Name)
			}
		}
	}
	names := make([]string, 0, len(of))
	for name := range of {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if s := of[name]; len(s.heard) > 0 && len(s.not) > 0 {
			all = append(all, fmt.Sprintf("%s is heard by %s and not by %s", name, strings.Join(s.heard, " "), strings.Join(s.not, " ")))
		}
		if len(starts[name]) > 1 {
			all = append(all, fmt.Sprintf("%s is known by %d different starts", name, len(starts[name])))
		}
	}
	settings := map[string][]string{}
	for _, v := range views {
		settings[v.SettingsHash] = append(settings[v.SettingsHash], v.Name)
	}
	if len(settings) > 1 {
		var parts []string
		for hash, who := range settings {
			parts = append(parts, or(hash, "none")+" at "+strings.Join(who, " "))
		}
		slices.Sort(parts)
		all = append(all, "settings: "+strings.Join(parts, ", "))
	}
	return all
}
