package experiment

import (
	"encoding/json"
	"fmt"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"

	"sorrelvalve/internal/standin/script"
)

// scheduleSchema is what a schedule in CUE may hold. It is closed: an unknown key is an error.
const scheduleSchema = `
close({acts: [...#Act]})
#Act: close({
	at:   =~"^[0-9.]+(ms|s|m)$"
	act:  "split" | "cut" | "loss" | "delay" | "mess" | "slow" | "heal" | "stop" | "cont" | "term" | "kill" | "start" | "relay" | "rate" | "jump" | "speed" | "fail"
	args: [...string] | *[]
})
`

// scheduleRecord is a schedule in CUE, decoded.
type scheduleRecord struct {
	Acts []scheduledAct `json:"acts"`
}

// scheduledAct is one fault.
type scheduledAct struct {
	At   string   `json:"at"`
	Act  string   `json:"act"`
	Args []string `json:"args"`
}

// readSchedule reads a schedule of faults for servers of some names: typed records in CUE if the path ends so, plain lines
// otherwise. Errors name file, line and key.
func readSchedule(path string, text []byte, names []string) (script.Script, error) {
	if strings.HasSuffix(path, ".cue") {
		return readCUESchedule(path, text, names)
	}
	schedule, err := script.Parse(string(text), names)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return schedule, nil
}

func readCUESchedule(path string, text []byte, names []string) (script.Script, error) {
	ctx := cuecontext.New()
	file := ctx.CompileBytes(text, cue.Filename(path))
	value := ctx.CompileString(scheduleSchema, cue.Filename("schedule")).Unify(file)
	if err := value.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return nil, locateError(path, err)
	}
	record, err := decodeSchedule(value)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var schedule script.Script
	for i, act := range record.Acts {
		steps, err := script.Parse(act.At+" "+act.Act+" "+strings.Join(act.Args, " "), names)
		if err != nil {
			line := value.LookupPath(cue.ParsePath(fmt.Sprintf("acts[%d].act", i))).Pos().Line()
			return nil, fmt.Errorf("%s:%d: acts[%d]: %s", path, line, i, strings.TrimPrefix(err.Error(), "line 1: "))
		}
		schedule = append(schedule, steps...)
	}
	return schedule.Sorted(), nil
}

func decodeSchedule(value cue.Value) (record scheduleRecord, err error) {
	encoded, err := value.MarshalJSON()
	if err != nil {
		return record, err
	}
	err = json.Unmarshal(encoded, &record)
	return record, err
}

// locateError describes an error of validation by its line in the file and its key. An error that sums up alternatives
// has no position; each of them does.
func locateError(path string, err error) error {
	all := cueerrors.Errors(err)
	located, line := all[0], 0
	for _, e := range all {
		for _, position := range append(e.InputPositions(), e.Position()) {
			if line == 0 && position.Filename() == path {
				located = e
				line = position.Line()
			}
		}
	}
	format, args := located.Msg()
	return fmt.Errorf("%s:%d: %s: %s", path, line, strings.Join(located.Path(), "."), fmt.Sprintf(format, args...))
}
