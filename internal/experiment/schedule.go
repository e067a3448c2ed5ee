package experiment

// This file owns schedules of faults as typed records in CUE, and as plain lines. It must never pass over a key that it does
// not know.

import (
	"encoding/json"
	"fmt"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"

	"sorrelvalve/internal/standin/script"
)

// scheduleForm is what a schedule may hold.
const scheduleForm = `
close({acts: [...#Act]})
#Act: close({
	at:   =~"^[0-9.]+(ms|s|m)$"
	act:  "split" | "cut" | "loss" | "delay" | "mess" | "slow" | "heal" | "stop" | "cont" | "term" | "kill" | "start" | "relay" | "rate" | "jump" | "speed" | "fail"
	args: [...string] | *[]
})
`

// ReadSchedule reads a schedule: a file in CUE if it ends so, lines otherwise. Errors name file, line and key.
func readSchedule(path string, text []byte, names []string) (script.Script, error) {
	if !strings.HasSuffix(path, ".cue") {
		s, err := script.Parse(string(text), names)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		return s, nil
	}
	ctx := cuecontext.New()
	own := ctx.CompileBytes(text, cue.Filename(path))
	whole := ctx.CompileString(scheduleForm, cue.Filename("schedule")).Unify(own)
	if err := whole.Validate(cue.Concrete(true), cue.Final()); err != nil {
		first, line := cueerrors.Errors(err)[0], 0
		for _, x := range cueerrors.Errors(err) { // an error that sums up alternatives stands nowhere; each of them does
			for _, pos := range append(x.InputPositions(), x.Position()) {
				if line == 0 && pos.Filename() == path {
					first, line = x, pos.Line()
				}
			}
		}
		format, args := first.Msg()
		return nil, fmt.Errorf("%s:%d: %s: %s", path, line, strings.Join(first.Path(), "."), fmt.Sprintf(format, args...))
	}
	var file struct {
		Acts []struct {
			At, Act string
			Args    []string
		}
	}
	b, err := whole.MarshalJSON()
	if err == nil {
		err = json.Unmarshal(b, &file)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var all script.Script
	for i, x := range file.Acts {
		s, err := script.Parse(x.At+" "+x.Act+" "+strings.Join(x.Args, " "), names)
		if err != nil {
			line := whole.LookupPath(cue.ParsePath(fmt.Sprintf("acts[%d].act", i))).Pos().Line()
			return nil, fmt.Errorf("%s:%d: acts[%d]: %s", path, line, i, strings.TrimPrefix(err.Error(), "line 1: "))
		}
		all = append(all, s...)
	}
	return all.Sorted(), nil
}
