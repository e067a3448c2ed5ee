package experiment

import (
	"strings"
	"testing"
)

// A schedule in CUE is read as one in lines; errors name file, line and key.
func TestReadSchedule(t *testing.T) {
	names := []string{"n0", "n1"}
	lines, err := readSchedule("f.txt", []byte("9s heal\n5s split n0|n1"), names)
	if err != nil {
		t.Fatal(err)
	}
	cue, err := readSchedule("f.cue", []byte("acts: [\n\t{at: \"9s\", act: \"heal\"},\n\t{at: \"5s\", act: \"split\", args: [\"n0|n1\"]},\n]"), names)
	if err != nil || cue.String() != lines.String() {
		t.Errorf("%v\n%s\n%s", err, cue, lines)
	}
	for text, want := range map[string]string{
		"acts: [\n\t{at: \"9s\", act: \"explode\"},\n]":              "f.cue:2: acts.0.act",
		"acts: [\n\t{at: 9, act: \"heal\"},\n]":                      "f.cue:2: acts.0.at",
		"acts: [\n\t{at: \"9s\", act: \"kill\", args: [\"n7\"]},\n]": "f.cue:2: acts[0]",
		"acts: []\nfaults: 3":                                        "f.cue:2: faults",
		"acts: [{at: \"1s\", act: \"heal\", when: \"now\"}]":         "acts.0.when",
	} {
		if _, err := readSchedule("f.cue", []byte(text), names); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
