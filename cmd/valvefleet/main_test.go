package main

import (
	"strings"
	"testing"
	"time"
)

// The command lines of docs/operate parse, so commands, arguments and flags keep their names.
func TestCommandLines(t *testing.T) {
	for _, line := range []string{
		"status /a.sock /b.sock --json",
		"status /a.sock --watch --every=2s",
		"demo --servers 4",
		"gone /a.sock n17 --why=scrapped",
		"drain /a.sock --why=kernel",
		"drain /a.sock n17 --why=kernel",
		"drain /a.sock pages/10.0.3.4:3031 --why=disk",
		"back /a.sock n17 --why=wrong",
		"halt /a.sock --why=slow",
		"resume /a.sock --why=seen",
		"permits /a.sock --json",
		"version",
		"release plan --keepers 10.0.0.4:7802 --program=build-8 --why=build",
		"release start --keepers 10.0.0.4:7802 --why=planned --of=program",
		"release status --keepers 10.0.0.4:7802 --of=settings --json",
		"release hold --keepers 10.0.0.4:7802 --why=look",
		"release resume --keepers 10.0.0.4:7802 --why=look",
		"release back --keepers 10.0.0.4:7802 --why=look",
		"release end --keepers 10.0.0.4:7802 --why=look",
	} {
		parser, err := newParser(&commands{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parser.Parse(strings.Fields(line)); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
}

// The flags of release plan set the rules of the release. Durations are converted to milliseconds.
func TestPlanFlags(t *testing.T) {
	var c commands
	parser, err := newParser(&c)
	if err != nil {
		t.Fatal(err)
	}
	line := "release plan --keepers=a:1,b:2 --program=build-8 --why=x --canary=2 --growth=3 --most=0.5 --bake=2m --least=7 --longest=1h --alarm=0.1 --margin=0.2 --unheard=4"
	if _, err := parser.Parse(strings.Fields(line)); err != nil {
		t.Fatal(err)
	}
	plan := c.Release.Plan
	if len(plan.PermitServers) != 2 || plan.MaxWave != time.Hour {
		t.Errorf("parsed plan command: got %+v", plan)
	}
	r := plan.rules()
	if r.CanaryServers != 2 || r.MaxGrowth != 3 || r.MaxWaveShare != 0.5 || r.BakeMS != 120e3 || r.MinRPCs != 7 || r.MaxWaveMS != 3600e3 ||
		r.FalseAlarmRate != 0.1 || r.Margin != 0.2 || r.MaxUnreachable != 4 {
		t.Errorf("release rules from flags: got %+v", r)
	}
}
