package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// tablePadding is the number of spaces between two columns.
const tablePadding = 2

// WriteJSON writes statuses as JSON, one per line.
func WriteJSON(w io.Writer, statuses []Status) error {
	encoder := json.NewEncoder(w)
	for i := range statuses {
		if err := encoder.Encode(&statuses[i]); err != nil {
			return err
		}
	}
	return nil
}

// WriteViews writes a table of the servers and the differences between their views. For a single server it also writes tables of its peers,
// budgets and outliers.
func WriteViews(out io.Writer, statuses []Status) error {
	t := newTable(out)
	writeServers(t, statuses)
	t.flush()
	if len(statuses) == 1 {
		status := &statuses[0]
		writePeers(t, status)
		t.flush()
		if status.Budgets != nil {
			writeBudgets(t, status)
			t.flush()
		}
		writeOutliers(t, status)
		t.flush()
	}
	for _, difference := range Differences(statuses) {
		_, err := fmt.Fprintln(out, "differ: "+difference)
		t.err = errors.Join(t.err, err)
	}
	return t.err
}

// table writes rows of tab-separated columns, and records the first error.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(out io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(out, tablePadding, 0, tablePadding, ' ', 0)}
}

// row writes one row. format separates the columns by tabs, without the line end.
func (t *table) row(format string, values ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format+"\n", values...)
	}
}

// flush writes the rows so far, aligned to common columns.
func (t *table) flush() {
	if t.err == nil {
		t.err = t.writer.Flush()
	}
}

func writeServers(t *table, statuses []Status) {
	t.row("server\tzone\tstart\tphase\thears\theard of roster\tby zone\tfor\tstalls\tnotes")
	for _, s := range statuses {
		zones := make([]string, len(s.Zones))
		for i, zone := range s.Zones {
			zones[i] = fmt.Sprintf("%s %d/%d", cmp.Or(zone.Name, "-"), zone.Reachable, zone.Members)
		}
		notes := slices.Clone(s.DuplicateNames)
		if s.InGracePeriod {
			notes = append(notes, "listens, says nothing of others yet")
		}
		if s.ExclusionReason != "" {
			notes = append(notes, s.ExclusionReason)
		}
		t.row("%s\t%s\t%d\t%s\t%s\t%d of %d\t%s\t%s\t%d\t%s",
			s.Name, cmp.Or(s.Zone, "-"), s.Generation, phaseText(s.Phase, s.WarmupProgress), s.Connectivity,
			s.Reachable, s.Members, strings.Join(zones, " "), secondsText(s.StateDurationMs), s.StallCount, strings.Join(notes, "; "))
	}
}

func writePeers(t *table, s *Status) {
	t.row("\npeer\tzone\tstart\tphase\theard\tcontact\tlast word\tlosses\tversion\tsettings")
	for _, p := range s.Peers {
		contact := p.Contact
		if p.RelayedBy != "" {
			contact = "through " + p.RelayedBy
		}
		t.row("%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s",
			p.Name, cmp.Or(p.Zone, "-"), p.Generation, phaseText(p.Phase, p.WarmupProgress), reachableText(&p), contact,
			secondsText(p.LastContactAgeMs), p.SuspicionCount, cmp.Or(p.Version, "-"), cmp.Or(p.SettingsHash, "-"))
	}
}

// reachableText returns whether a peer counts as reachable, and if not, the reason.
func reachableText(p *PeerStatus) string {
	text := "no"
	if p.Reachable {
		text = "yes"
	}
	switch {
	case p.Departed != "":
		return p.Departed
	case p.FlapDamped:
		return "flaps"
	case p.DuplicateName:
		return text + ", two of the name"
	}
	return text
}

// writeOutliers writes the outlier state of the pools' members.
func writeOutliers(t *table, s *Status) {
	for i, pool := range s.Outliers {
		if i == 0 {
			t.row("\npool\tmember\tverdict\tuse\tfor\tagainst\tof weight\tseen by\tends when")
		}
		for _, m := range pool.Members {
			use, ends := useText(&m)
			duration := "-"
			if m.StateDurationMs >= 0 {
				duration = secondsText(m.StateDurationMs)
			}
			t.row("%s\t%s\t%s\t%s\t%s\t%.2f\t%.1f\t%s\t%s",
				pool.Pool, m.Name, m.Reason, use, duration, m.FaultShare, m.EvidenceWeight,
				cmp.Or(strings.Join(m.ReportedBy, " "), "-"), ends)
		}
	}
}

// useText returns to what extent a member is in use, and what ends that state.
func useText(m *MemberStatus) (use, ends string) {
	use = "in use"
	switch {
	case m.Ejected:
		use = "out"
		ends = fmt.Sprintf("probed well, after %s", secondsText(m.EjectionRemainingMs))
	case m.CallerShare < 1:
		use = fmt.Sprintf("%.0f%% of callers", 100*m.CallerShare)
		ends = "its ramp is over"
	}
	if m.HealthChecks {
		ends += "; this server asks"
	}
	return use, ends
}

// writeBudgets writes a server's quotas with their leases, and the fleet's counts.
func writeBudgets(t *table, s *Status) {
	t.row("\nbudget\town\tfloor\tpart now\tlent\tborrowed\tused\tturned away\tlast ask without a loan")
	for _, q := range s.Budgets.Quotas {
		denial := "-"
		if q.LastDenial.By != "" {
			denial = fmt.Sprintf("%s ago, %s: %s", secondsText(q.LastDenial.Age), q.LastDenial.By, q.LastDenial.Reason)
		}
		t.row("%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s",
			q.Key, q.Owned, q.Floor, q.Capacity, q.Granted, q.Leased, q.Usage, q.UnmetDemand, denial)
		for _, lease := range q.Leases {
			switch lease.To {
			case "":
				t.row("  %.4g perhaps lent before the last start, for %s", lease.Amount, secondsText(lease.Remaining))
			case s.Name:
				t.row("  %.4g from %s for %s", lease.Amount, lease.From, secondsText(lease.Remaining))
			default:
				t.row("  %.4g to %s for %s", lease.Amount, lease.To, secondsText(lease.Remaining))
			}
		}
	}
	for i, c := range s.Budgets.FleetCounts {
		if i == 0 {
			t.row("\nover the fleet\tat least\tat most")
		}
		t.row("%s\t%.4g\t%.4g", c.Key, c.Min, c.Max)
	}
}

func phaseText(phase string, warmupProgress float64) string {
	if phase == WarmingUp.String() {
		return fmt.Sprintf("cold %.0f%%", 100*warmupProgress)
	}
	return cmp.Or(phase, "-")
}

func secondsText(ms float64) string { return fmt.Sprintf("%.1f s", ms/1000) }
