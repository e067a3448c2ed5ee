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

// This file parses lines of text and nested JSON into values by path, and checks single values. It must not depend on which
// paths exist.

// valueKind is the type of a value in its source.
type valueKind uint8

const (
	kindUntyped valueKind = iota // plain text, which is valid for any type
	kindText                     // a JSON string
	kindNumber                   // a JSON number
	kindBool                     // a JSON true or false
	kindGroup                    // a JSON object, whose members are stored under longer paths
)

// value is one value as text, with its type.
type value struct {
	text string
	kind valueKind
}

// maxQuoted is the maximum length of an invalid value that is quoted in an error, in bytes.
const maxQuoted = 60

// values holds the values of a configuration by path, and the first error found in them. If a value is invalid, the method that
// reads it sets err and returns a usable value, so that the caller reads the whole configuration and checks err once at the
// end.
type values struct {
	byPath map[string]value
	prefix string // prepended to each path
	err    error  // the first error
}

// parseLines parses lines of the form path=value.
func parseLines(s string) (*values, error) {
	v := &values{byPath: map[string]value{}}
	for i, line := range strings.Split(s, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		path, text, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: must be path=value, got %.*q", i+1, maxQuoted, line)
		}
		v.byPath[path] = value{text: text}
	}
	return v, nil
}

// parseJSON parses nested JSON. The items of a list of scalars are joined by commas. Any other list becomes the paths .count,
// .0, .1 and so on below the list's own path.
func parseJSON(b []byte) (*values, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("must be a JSON object: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("must be one JSON object, got more data after byte %d", d.InputOffset())
	}
	v := &values{byPath: map[string]value{}}
	v.flatten("", tree)
	return v, nil
}

// flatten adds a JSON node and all nodes below it.
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

// flattenList adds a JSON list and all nodes below it.
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

// scalars returns the items of a list as text. ok is false if the list contains objects, lists or null.
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

// join returns the path of a key below path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// get returns the value at a path below the prefix.
func (v *values) get(path string) (value, bool) {
	val, ok := v.byPath[v.prefix+path]
	return val, ok
}

// fail sets err unless it is already set.
func (v *values) fail(path, want, got string) {
	if v.err != nil {
		return
	}
	if got == "" {
		got = "nothing"
	} else {
		got = fmt.Sprintf("%.*q", maxQuoted, got)
	}
	v.err = fmt.Errorf("%s%s: must be %s, got %s", v.prefix, path, want, got)
}

// parseNumber parses a value that must be a number of at least 0.
func (v *values) parseNumber(path string, val value) float64 {
	number, err := strconv.ParseFloat(val.text, 64)
	valid := err == nil && !math.IsNaN(number) && !math.IsInf(number, 0) && number >= 0
	if !valid || val.kind != kindUntyped && val.kind != kindNumber {
		v.fail(path, "a number of at least 0", val.text)
		return 0
	}
	return number
}

// number returns the number at a path, which must be at least 0, or the default if there is no value.
func (v *values) number(path string, fallback float64) float64 {
	if val, ok := v.get(path); ok {
		return v.parseNumber(path, val)
	}
	return fallback
}

// numberWithin returns the number at a path, which must be from low to high, or the default if there is no value.
func (v *values) numberWithin(path string, fallback, low, high float64) float64 {
	number := v.number(path, fallback)
	if number < low || number > high {
		v.fail(path, fmt.Sprintf("a number from %g to %g", low, high), strconv.FormatFloat(number, 'g', -1, 64))
		return fallback
	}
	return number
}

// milliseconds returns the time at a path, which is given in nanoseconds, in ms.
func (v *values) milliseconds(path string, fallbackNs float64) float64 {
	return v.number(path, fallbackNs) / nsPerMs
}

// text returns the string at a path, or "" if there is none. Only a JSON value of another type is invalid.
func (v *values) text(path string) string {
	val, ok := v.get(path)
	if ok && val.kind != kindUntyped && val.kind != kindText {
		v.fail(path, "a string", val.text)
	}
	return val.text
}

// requiredText returns the string at a path, which must not be missing or empty.
func (v *values) requiredText(path string) string {
	s := v.text(path)
	if s == "" {
		v.fail(path, "a string", s)
	}
	return s
}

// numberAt returns the number at an index of a list of scalars, or 0 if the list is shorter.
func (v *values) numberAt(path string, index int) float64 {
	val, _ := v.get(path)
	items := strings.Split(val.text, ",")
	if index < len(items) && items[index] != "" {
		return v.parseNumber(path, value{text: items[index]})
	}
	return 0
}

// boolean returns the boolean at a path, or the default if there is no value.
func (v *values) boolean(path string, fallback bool) bool {
	val, ok := v.get(path)
	if !ok {
		return fallback
	}
	if val.kind != kindUntyped && val.kind != kindBool || val.text != "true" && val.text != "false" {
		v.fail(path, "true or false", val.text)
	}
	return val.text == "true"
}

// listLength returns the number of items in a list of objects. A length above the number of values is invalid, so that a wrong
// length can't cause a large allocation.
func (v *values) listLength(list string) int {
	n := v.number(list+".count", 0)
	if n > float64(len(v.byPath)) {
		v.fail(list+".count", fmt.Sprintf("at most %d", len(v.byPath)), strconv.FormatFloat(n, 'g', -1, 64))
		return 0
	}
	return int(n)
}
