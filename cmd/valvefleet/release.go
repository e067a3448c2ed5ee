package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"sorrelvalve/decision/release"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
)

// releaseCommand has the commands over releases. They go to the permit servers, which decide; a settings version that this build's own
// checks reject is not sent.
type releaseCommand struct {
	Plan   planCommand          `cmd:"" help:"Give the keepers a version, and show which server would get it in which wave. Nothing starts."`
	Start  startCommand         `cmd:"" help:"Start the planned release."`
	Status releaseStatusCommand `cmd:"" help:"Tell where the release stands, why, and who is not yet what it is to be."`
	Hold   pauseCommand         `cmd:"" help:"Nothing more is assigned; what was stays. Holds the way back, too."`
	Resume continueCommand      `cmd:"" help:"Go on after a hold."`
	Back   rollBackCommand      `cmd:"" help:"Take the version back, in waves, to what each server had."`
	End    abandonCommand       `cmd:"" help:"End the release as it stands: some have the version, others do not."`
}

// permitServersFlag names the permit servers.
type permitServersFlag struct {
	PermitServers []string `name:"keepers" required:"" placeholder:"ADDRESS" help:"Where keepers take clients; any of them leads on to the leader."`
}

// send sends a command and waits for its result. A denial is an error.
func (f permitServersFlag) send(command release.Command) (release.Result, error) {
	var random [12]byte
	rand.Read(random[:])
	command.ID = fmt.Sprintf("op-%x", random)
	command.Actor = currentUser()
	client := permitclient.New(f.PermitServers)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	result, err := client.Release(ctx, command)
	if err == nil && !result.OK {
		err = fmt.Errorf("%s: %s", command.Kind, result.Reason)
	}
	return result, err
}

type planCommand struct {
	permitServersFlag
	Record         string        `arg:"" optional:"" type:"existingfile" help:"The version: a record as valvectl compiled it, without what is a server's own (fleet, uwsgi.listen)."`
	Program        string        `help:"In place of a record: the name by which what supervises starts a version of the program."`
	Why            string        `required:"" help:"It is recorded with who asked."`
	Canary         int           `default:"1" help:"Servers of the first wave."`
	Growth         float64       `default:"2" help:"Servers of a wave over all before it, at the most."`
	MaxWaveShare   float64       `name:"most" default:"0.34" help:"Share of the fleet in one wave, at the most."`
	Bake           time.Duration `default:"1m" help:"For which a wave runs the version, warm, before the next."`
	MinRPCs        float64       `name:"least" default:"400" help:"RPCs that a wave must have carried before the next."`
	MaxWave        time.Duration `name:"longest" default:"10m" help:"Of a wave; then the release is held."`
	FalseAlarmRate float64       `name:"alarm" default:"0.005" help:"Chance that a version that is no worse is taken back."`
	Margin         float64       `default:"0.01" help:"By which a share of RPCs may be worse."`
	MaxUnreachable int           `name:"unheard" default:"1" help:"Servers that may be unheard before the release is held."`
}

// plannedVersion is a version that is to be released.
type plannedVersion struct {
	track release.Track
	name  string
	body  []byte
}

var errVersionExpected = errors.New("either a record or --program expected")

// Run gives the permit servers a version and prints the waves of its release.
func (c planCommand) Run() error {
	version, err := c.version()
	if err != nil {
		return err
	}
	put, err := c.send(release.Command{Track: version.track, Kind: release.PutVersion, Body: version.body, Reason: c.Why})
	if err != nil {
		return err
	}
	planned, err := c.send(release.Command{Track: version.track, Kind: release.PlanRelease, Version: put.Version, Rules: c.rules(), Reason: c.Why})
	if err != nil {
		return err
	}
	r := planned.Release
	maxDuration := time.Duration(len(r.Waves)+1) * c.MaxWave
	out := &printer{to: os.Stdout}
	out.printf("release %d of version %d (%s), %d waves, at the longest %s before it is held\n", r.Number, r.Version, version.name, len(r.Waves), maxDuration)
	for i, wave := range r.Waves {
		out.printf("wave %d, %d servers: %s\n", i+1, len(wave), strings.Join(wave, " "))
	}
	return out.err
}

// version reads the version from the arguments. A record is checked as a server would.
func (c planCommand) version() (plannedVersion, error) {
	if (c.Record == "") == (c.Program == "") {
		return plannedVersion{}, errVersionExpected
	}
	if c.Program != "" {
		return plannedVersion{track: release.Program, name: c.Program, body: []byte(c.Program)}, nil
	}
	body, err := os.ReadFile(c.Record)
	if err != nil {
		return plannedVersion{}, err
	}
	record, err := operator.Parse(body)
	if err != nil {
		return plannedVersion{}, fmt.Errorf("%s: %w", c.Record, err)
	}
	if record.File.Fleet != nil {
		return plannedVersion{}, fmt.Errorf("%s: fleet: a version for all servers has none: it is each server's own", c.Record)
	}
	return plannedVersion{track: release.Settings, name: record.File.Version, body: body}, nil
}

func (c planCommand) rules() *release.Rules {
	return &release.Rules{
		CanaryServers:  c.Canary,
		MaxGrowth:      c.Growth,
		MaxWaveShare:   c.MaxWaveShare,
		BakeMS:         milliseconds(c.Bake),
		MinRPCs:        c.MinRPCs,
		MaxWaveMS:      milliseconds(c.MaxWave),
		FalseAlarmRate: c.FalseAlarmRate,
		Margin:         c.Margin,
		MaxUnreachable: c.MaxUnreachable,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }

// transition is common to all commands that change a release.
type transition struct {
	permitServersFlag
	Of  string `enum:"settings,program" default:"settings" help:"Of which the release is."`
	Why string `required:"" help:"It is recorded with who asked."`
}

// trackOf returns the track of a value of --of.
func trackOf(of string) release.Track {
	if of == "program" {
		return release.Program
	}
	return release.Settings
}

func (t transition) run(kind release.Kind) error {
	_, err := t.send(release.Command{Track: trackOf(t.Of), Kind: kind, Reason: t.Why})
	return err
}

type (
	startCommand    struct{ transition }
	pauseCommand    struct{ transition }
	continueCommand struct{ transition }
	rollBackCommand struct{ transition }
	abandonCommand  struct{ transition }
)

// Run starts the planned release.
func (c startCommand) Run() error { return c.run(release.StartRelease) }

// Run pauses the release.
func (c pauseCommand) Run() error { return c.run(release.Pause) }

// Run goes on with a paused release.
func (c continueCommand) Run() error { return c.run(release.Resume) }

// Run rolls the release back.
func (c rollBackCommand) Run() error { return c.run(release.RollBack) }

// Run ends the release as it stands.
func (c abandonCommand) Run() error { return c.run(release.Abandon) }
