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

// releaseCommand holds the commands that manage releases. They are sent to the permit servers, which decide on them. A
// settings version that fails the checks of this build is not sent.
type releaseCommand struct {
	Plan   planCommand          `cmd:"" help:"Upload a version to the permit servers and print the waves of its release, without starting it."`
	Start  startCommand         `cmd:"" help:"Start the planned release."`
	Status releaseStatusCommand `cmd:"" help:"Print the phase of the release, its reason, and the servers that do not run their assigned version yet."`
	Hold   pauseCommand         `cmd:"" help:"Pause the release or its rollback: no further server is assigned a version; existing assignments stay."`
	Resume continueCommand      `cmd:"" help:"Continue a paused release."`
	Back   rollBackCommand      `cmd:"" help:"Roll back in waves to the version that each server had before."`
	End    abandonCommand       `cmd:"" help:"Abandon the release: each server keeps the version it is assigned now."`
}

// permitServersFlag is the flag with the addresses of the permit servers.
type permitServersFlag struct {
	PermitServers []string `name:"keepers" required:"" placeholder:"ADDRESS" help:"Client addresses of permit servers. Any of them redirects to the leader."`
}

// send sends a command to the permit servers and waits for the result. A denied command is an error.
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
	Record         string        `arg:"" optional:"" type:"existingfile" help:"Settings version: a record compiled by valvectl, without the settings specific to one server (fleet, uwsgi.listen)."`
	Program        string        `help:"Program version instead of a record: the name by which the supervisor starts it."`
	Why            string        `required:"" help:"Reason, recorded together with the operator's name."`
	Canary         int           `default:"1" help:"Number of servers in the first wave."`
	Growth         float64       `default:"2" help:"Maximum size of a wave, relative to all earlier waves together."`
	MaxWaveShare   float64       `name:"most" default:"0.34" help:"Maximum share of the fleet in one wave."`
	Bake           time.Duration `default:"1m" help:"How long all servers of a wave run the version, warm, before the next wave begins."`
	MinRPCs        float64       `name:"least" default:"400" help:"RPCs that the servers with the version must have served before the next wave begins."`
	MaxWave        time.Duration `name:"longest" default:"10m" help:"Maximum duration of a wave; then the release is paused."`
	FalseAlarmRate float64       `name:"alarm" default:"0.005" help:"Probability that a version that is no worse is rolled back, over the whole release."`
	Margin         float64       `default:"0.01" help:"By how much the share of bad outcomes may exceed that of the control group."`
	MaxUnreachable int           `name:"unheard" default:"1" help:"Number of servers that may be unreachable before the release is paused."`
}

// plannedVersion is a version to be released.
type plannedVersion struct {
	track release.Track
	name  string
	body  []byte
}

var errVersionExpected = errors.New("specify either a record or --program")

// Run uploads a version to the permit servers, plans its release and prints the waves.
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
	out.printf("release %d of version %d (%s), %d waves, paused if it takes longer than %s\n", r.Number, r.Version, version.name, len(r.Waves), maxDuration)
	for i, wave := range r.Waves {
		out.printf("wave %d, %d servers: %s\n", i+1, len(wave), strings.Join(wave, " "))
	}
	return out.err
}

// version reads the version that the arguments name. It parses a record as a server does and rejects one that has a fleet
// section.
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
		return plannedVersion{}, fmt.Errorf("%s: fleet: must not be set in a version for all servers, as it is specific to each server", c.Record)
	}
	return plannedVersion{track: release.Settings, name: record.File.Version, body: body}, nil
}

// rules returns the rules of the release that the flags set.
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

// transition holds the flags of the commands that change the phase of a release.
type transition struct {
	permitServersFlag
	Of  string `enum:"settings,program" default:"settings" help:"What the release changes: settings or program."`
	Why string `required:"" help:"Reason, recorded together with the operator's name."`
}

// trackOf returns the track for a value of --of.
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

// Run continues a paused release.
func (c continueCommand) Run() error { return c.run(release.Resume) }

// Run rolls the release back.
func (c rollBackCommand) Run() error { return c.run(release.RollBack) }

// Run abandons the release; servers keep the versions they are assigned.
func (c abandonCommand) Run() error { return c.run(release.Abandon) }
