package startup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// This file owns the values as they were read, by path, whether they came as lines of text or as nested JSON, and the
// checks of single values. It must never know which paths there are.

// valueKind is the type that a value had where it was read.
type valueKind uint8

const (
	kindUntyped valueKind = iota // plain text: as its reader takes it
	kindText                     // a JSON string
	kindNumber                   // a JSON number
	kindBool                     // a JSON true or false
	kindGroup                    // a JSON object or list of objects: its values stand under longer paths
)

// value is one value with its type.
type value struct {
	text string
	kind valueKind
}

// maxQuoted bounds what an error quotes of a wrong value, in bytes.
const maxQuoted = 60

// values are the values of a configuration by path, and the first fault found in them. Readers of single values return
// a default for a faulty one, so that a configuration is read to its end and the fault checked once.
type values struct {
	byPath map[string]value
	prefix string // put before each path
	err    error  // the first fault
}

// parseLines reads path=value pairs, one a line.
func parseLines(s string) (*values, error) {
	v := &values{byPath: map[string]value{}}
	for i, line := range strings.Split(s, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		path, text, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: path=value expected, %.*q there", i+1, maxQuoted, line)
		}
		v.byPath[path] = value{text: text}
	}
	return v, nil
}

// parseJSON reads nested JSON. Lists of scalars are joined by commas, other lists become .count, .0, .1.
func parseJSON(b []byte) (*values, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("a JSON object expected: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("one JSON object expected, more there after byte %d", d.InputOffset())
	}
	v := &values{byPath: map[string]value{}}
	v.flatten("", tree)
	return v, nil
}

// flatten adds a node of JSON and all below it.
func (v *values) flatten(path string, node any) {
	switch n := node.(type) {
	case map[string]any:
		v.byPath[path] = value{"an object", kindGroup}
		for key, child := range n {
			v.flatten(join(path, key), child)
		}
	case []any:
		v.flattenList(path, n)
	case string:
		v.byPath[path] = value{n, kindText}
	case json.Number:
		v.byPath[path] = value{n.String(), kindNumber}
	case bool:
		v.byPath[path] = value{strconv.FormatBool(n), kindBool}
	}
}

func (v *values) flattenList(path string, list []any) {
	if items, ok := scalars(list); ok {
		v.byPath[path] = value{text: strings.Join(items, ",")}
		if len(list) > 0 {
			return
		}
	}
	v.byPath[join(path, "count")] = value{strconv.Itoa(len(list)), kindNumber}
	for i, child := range list {
		v.flatten(join(path, strconv.Itoa(i)), child)
	}
}

// scalars are the items of a list that holds neither objects nor lists.
func scalars(list []any) (items []string, ok bool) {
	for _, item := range list {
		switch item.(type) {
		case map[string]any, []any, nil:
			return nil, false
		}
		items = append(items, fmt.Sprint(item))
	}
	return items, true
}

// join is the path of a key below path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (v *values) get(path string) (value, bool) {
	x, ok := v.byPath[v.prefix+path]
	return x, ok
}

// fail records the first fault.
func (v *values) fail(path, want, got string) {
	if v.err != nil {
		return
	}
	if got == "" {
		got = "nothing"
	} else {
		got = fmt.Sprintf("%.*q", maxQuoted, got)
	}
	v.err = fmt.Errorf("%s%s: %s expected, %s there", v.prefix, path, want, got)
}

func (v *values) parseNumber(path string, x value) float64 {
	number, err := strconv.ParseFloat(x.text, 64)
	valid := err == nil && !math.IsNaN(number) && !math.IsInf(number, 0) && number >= 0
	if !valid || x.kind != kindUntyped && x.kind != kindNumber {
		v.fail(path, "a number from 0 up", x.text)
		return 0
	}
	return number
}

// number is a number from 0 up.
func (v *values) number(path string, missing float64) float64 {
	if x, ok := v.get(path); ok {
		return v.parseNumber(path, x)
	}
	return missing
}

// numberWithin is a number that must lie in a range.
func (v *values) numberWithin(path string, missing, low, high float64) float64 {
	x := v.number(path, missing)
	if x < low || x > high {
		v.fail(path, fmt.Sprintf("a number from %g to %g", low, high), strconv.FormatFloat(x, 'g', -1, 64))
		return missing
	}
	return x
}

// milliseconds is a time that stands in nanoseconds.
func (v *values) milliseconds(path string, missingNs float64) float64 {
	return v.number(path, missingNs) / nsPerMs
}

// text is a text; only a JSON value of another type is wrong.
func (v *values) text(path string) string {
	x, ok := v.get(path)
	if ok && x.kind != kindUntyped && x.kind != kindText {
		v.fail(path, "a text", x.text)
	}
	return x.text
}

// requiredText is a text that may not be missing.
func (v *values) requiredText(path string) string {
	s := v.text(path)
	if s == "" {
		v.fail(path, "a text", s)
	}
	return s
}

// numberAt is the number at an index of a list of scalars, 0 if the list is shorter.
func (v *values) numberAt(path string, index int) float64 {
	x, _ := v.get(path)
	items := strings.Split(x.text, ",")
	if index < len(items) && items[index] != "" {
		return v.parseNumber(path, value{text: items[index]})
	}
	return 0
}

// boolean is true or false.
func (v *values) boolean(path string, missing bool) bool {
	x, ok := v.get(path)
	if !ok {
		return missing
	}
	if x.kind != kindUntyped && x.kind != kindBool || x.text != "true" && x.text != "false" {
		v.fail(path, "true or false", x.text)
	}
	return x.text == "true"
}

// listLength is the number of items of a list of objects; more items than there are values is a false length.
func (v *values) listLength(list string) int {
	n := v.number(list+".count", 0)
	if n > float64(len(v.byPath)) {
		v.fail(list+".count", fmt.Sprintf("at most %d", len(v.byPath)), strconv.FormatFloat(n, 'g', -1, 64))
		return 0
	}
	return int(n)
}
