package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"sorrelvalve/decision/release"
	"sorrelvalve/internal/permitclient"
)

// Limits on the output.
const (
	maxPrintedPending     = 16 // servers
	maxPrintedTransitions = 20 // the latest ones
	printedHashLength     = 12 // hex digits
	columnPadding         = 2
)

type releaseStatusCommand struct {
	permitServersFlag
	Of   string `enum:"settings,program" default:"settings" help:"What the release changes: settings or program."`
	JSON bool   `help:"Print the state of the permit servers as JSON."`
}

// Run prints the phase of the release, the versions and the latest transitions.
func (c releaseStatusCommand) Run() error {
	client := permitclient.New(c.PermitServers)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	status, err := client.State(ctx)
	if err != nil {
		return err
	}
	releases := status.SettingsReleases
	if trackOf(c.Of) == release.Program {
		releases = status.ProgramReleases
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(releases)
	}
	return writeReleases(os.Stdout, releases)
}

func writeReleases(to io.Writer, releases *release.State) error {
	out := &printer{to: to}
	if r := releases.Release; r != nil {
		writeRelease(out, r)
	}
	if out.err != nil {
		return out.err
	}
	table := tabwriter.NewWriter(to, columnPadding, 0, columnPadding, ' ', 0)
	rows := &printer{to: table}
	rows.printf("version\thash\tby\twhy\n")
	for _, v := range releases.Versions {
		rows.printf("%d\t%s\t%s\t%s\n", v.Number, v.Hash[:min(printedHashLength, len(v.Hash))], v.Actor, v.Reason)
	}
	rows.printf("\nrelease\tphase\twave\tby\twhy\n")
	latest := max(0, len(releases.Transitions)-maxPrintedTransitions)
	for _, t := range releases.Transitions[latest:] {
		rows.printf("%d\t%s\t%d\t%s\t%s\n", t.Release, t.Phase, t.Wave+1, t.Actor, t.Reason)
	}
	if rows.err != nil {
		return rows.err
	}
	return table.Flush()
}

// writeRelease prints a release and the evidence against its version.
func writeRelease(out *printer, r *release.Release) {
	out.printf("release %d of version %d: %s, wave %d of %d, for %.0f s: %s\n",
		r.Number, r.Version, r.Phase, r.Wave+1, len(r.Waves), r.PhaseMS/1000, r.Reason)
	if e := r.Evidence; e.LikelihoodRatio > 0 {
		out.printf("evidence against the version: %s %s, exceeds the allowed share by %.3g, likelihood ratio %.3g (rolled back from %.3g)\n",
			e.Signal, e.Zone, e.Excess, e.LikelihoodRatio, e.Threshold)
	}
	if len(r.Pending) > 0 {
		pending := r.Pending[:min(maxPrintedPending, len(r.Pending))]
		out.printf("servers unreachable or not yet on their assigned version: %s\n", strings.Join(pending, " "))
	}
}

// printer writes formatted text and keeps the first error.
type printer struct {
	to  io.Writer
	err error
}

func (p *printer) printf(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.to, format, values...)
	}
}
