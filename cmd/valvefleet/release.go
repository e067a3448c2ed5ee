package main

// This file owns the operators' commands over releases: they go to the keepers, which decide. It must never send a version that this
// build's own checks would not take.

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"sorrelvalve/decision/release"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
)

type releaseCmd struct {
	Plan   planCmd    `cmd:"" help:"Give the keepers a version, and show which server would get it in which wave. Nothing starts."`
	Start  startCmd   `cmd:"" help:"Start the planned release."`
	Status releaseSt  `cmd:"" help:"Tell where the release stands, why, and who is not yet what it is to be."`
	Hold   holdCmd    `cmd:"" help:"Nothing more is assigned; what was stays. Holds the way back, too."`
	Resume goOnCmd    `cmd:"" help:"Go on after a hold."`
	Back   takeBack   `cmd:"" help:"Take the version back, in waves, to what each server had."`
	End    endRelease `cmd:"" help:"End the release as it stands: some have the version, others do not."`
}

type keepersFlag struct {
	Keepers []string `required:"" placeholder:"ADDRESS" help:"Where keepers take clients; any of them leads on to the leader."`
}

func (k keepersFlag) do(c release.Command) (release.Result, error) {
	var draw [12]byte
	rand.Read(draw[:])
	c.ID = fmt.Sprintf("op-%x", draw)
	c.Actor = "unknown"
	if u, err := user.Current(); err == nil {
		c.Actor = u.Username
	}
	client := permitclient.New(k.Keepers)
	defer client.Close()
	ctx, end := context.WithTimeout(context.Background(), drainWait)
	defer end()
	a, err := client.Release(ctx, c)
	if err == nil && !a.OK {
		err = fmt.Errorf("%s: %s", c.Kind, a.Reason)
	}
	return a, err
}

type planCmd struct {
	keepersFlag
	Record  string        `arg:"" optional:"" type:"existingfile" help:"The version: a record as valvectl compiled it, without what is a server's own (fleet, uwsgi.listen)."`
	Program string        `help:"In place of a record: the name by which what supervises starts a version of the program."`
	Why     string        `required:"" help:"It is recorded with who asked."`
	Canary  int           `default:"1" help:"Servers of the first wave."`
	Growth  float64       `default:"2" help:"Servers of a wave over all before it, at the most."`
	Most    float64       `default:"0.34" help:"Share of the fleet in one wave, at the most."`
	Bake    time.Duration `default:"1m" help:"For which a wave runs the version, warm, before the next."`
	Least   float64       `default:"400" help:"RPCs that a wave must have carried before the next."`
	Longest time.Duration `default:"10m" help:"Of a wave; then the release is held."`
	Alarm   float64       `default:"0.005" help:"Chance that a version that is no worse is taken back."`
	Margin  float64       `default:"0.01" help:"By which a share of RPCs may be worse."`
	Unheard int           `default:"1" help:"Servers that may be unheard before the release is held."`
}

func (c planCmd) Run() error {
	if (c.Record == "") == (c.Program == "") {
		return fmt.Errorf("either a record or --program expected")
	}
	track, body, name := release.Program, []byte(c.Program), c.Program
	if c.Record != "" {
		var err error
		if body, err = os.ReadFile(c.Record); err != nil {
			return err
		}
		r, err := operator.Parse(body)
		if err != nil {
			return fmt.Errorf("%s: %w", c.Record, err)
		}
		if r.File.Fleet != nil {
			return fmt.Errorf("%s: fleet: a version for all servers has none: it is each server's own", c.Record)
		}
		track, name = release.Settings, r.File.Version
	}
	put, err := c.do(release.Command{Track: track, Kind: release.PutVersion, Body: body, Reason: c.Why})
	if err != nil {
		return err
	}
	rules := release.Rules{CanaryServers: c.Canary, MaxGrowth: c.Growth, MaxWaveShare: c.Most, BakeMS: float64(c.Bake) / 1e6, MinRPCs: c.Least, MaxWaveMS: float64(c.Longest) / 1e6,
		FalseAlarmRate: c.Alarm, Margin: c.Margin, MaxUnreachable: c.Unheard}
	plan, err := c.do(release.Command{Track: track, Kind: release.PlanRelease, Version: put.Version, Rules: &rules, Reason: c.Why})
	if err != nil {
		return err
	}
	x := plan.Release
	fmt.Printf("release %d of version %d (%s), %d waves, at the longest %s before it is held\n", x.Number, x.Version, name, len(x.Waves),
		time.Duration(len(x.Waves)+1)*c.Longest)
	for i, wave := range x.Waves {
		fmt.Printf("wave %d, %d servers: %s\n", i+1, len(wave), strings.Join(wave, " "))
	}
	return nil
}

// step is what all commands that change a release are told.
type step struct {
	keepersFlag
	Of  string `enum:"settings,program" default:"settings" help:"Of which the release is."`
	Why string `required:"" help:"It is recorded with who asked."`
}

func trackOf(of string) release.Track {
	if of == "program" {
		return release.Program
	}
	return release.Settings
}

func (s step) run(kind release.Kind) error {
	_, err := s.do(release.Command{Track: trackOf(s.Of), Kind: kind, Reason: s.Why})
	return err
}

type (
	startCmd   struct{ step }
	holdCmd    struct{ step }
	goOnCmd    struct{ step }
	takeBack   struct{ step }
	endRelease struct{ step }
)

func (c startCmd) Run() error   { return c.run(release.StartRelease) }
func (c holdCmd) Run() error    { return c.run(release.Pause) }
func (c goOnCmd) Run() error    { return c.run(release.Resume) }
func (c takeBack) Run() error   { return c.run(release.RollBack) }
func (c endRelease) Run() error { return c.run(release.Abandon) }

type releaseSt struct {
	keepersFlag
	Of   string `enum:"settings,program" default:"settings" help:"Of which the release is."`
	JSON bool   `help:"As the keepers tell it."`
}

func (c releaseSt) Run() error {
	client := permitclient.New(c.Keepers)
	defer client.Close()
	ctx, end := context.WithTimeout(context.Background(), drainWait)
	defer end()
	st, err := client.State(ctx)
	if err != nil {
		return err
	}
	b := st.SettingsReleases
	if trackOf(c.Of) == release.Program {
		b = st.ProgramReleases
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(b)
	}
	if r := b.Release; r != nil {
		fmt.Printf("release %d of version %d: %s, wave %d of %d, for %.0f s: %s\n", r.Number, r.Version, r.Phase, r.Wave+1, len(r.Waves), r.PhaseMS/1000, r.Reason)
		if e := r.Evidence; e.LikelihoodRatio > 0 {
			fmt.Printf("against it: %s %s, by %.3g more than it may be, %.3g times likelier (taken back from %.3g)\n", e.Signal, e.Zone, e.Excess, e.LikelihoodRatio, e.Threshold)
		}
		if len(r.Pending) > 0 {
			fmt.Printf("not heard, or not yet what they are to be: %s\n", strings.Join(r.Pending[:min(16, len(r.Pending))], " "))
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "version\thash\tby\twhy")
	for _, v := range b.Versions {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", v.Number, v.Hash[:min(12, len(v.Hash))], v.Actor, v.Reason)
	}
	fmt.Fprintln(w, "\nrelease\tphase\twave\tby\twhy")
	for _, s := range b.Transitions[max(0, len(b.Transitions)-20):] {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\n", s.Release, s.Phase, s.Wave+1, s.Actor, s.Reason)
	}
	return w.Flush()
}
