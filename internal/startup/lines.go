package startup

// This file owns the values as they were read, by path, whether they came as lines of text or as nested JSON, and
// the checks of single values. It must never know which paths there are.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// kind is the type that a value had where it was read; the wire of the simulator has plain text only.
type kind uint8

const (
	plain  kind = iota // as its reader takes it
	text               // a JSON string
	number             // a JSON number
	truth              // a JSON true or false
	group              // a JSON object or list of objects: its values stand under longer paths
)

type value struct {
	text string
	kind kind
}

// lines are values by path, and the first thing found wrong with them.
type lines struct {
	value  map[string]value
	prefix string // put before each path
	bad    error
}

// parseLines takes path=value pairs, one a line.
func parseLines(s string) (*lines, error) {
	l := &lines{value: map[string]value{}}
	for i, line := range strings.Split(s, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		path, v, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: path=value expected, %.60q there", i+1, line)
		}
		l.value[path] = value{text: v}
	}
	return l, nil
}

// parseJSON takes nested JSON. Lists of plain values are joined by commas, other lists become .count, .0, .1.
func parseJSON(b []byte) (*lines, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("a JSON object expected: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("one JSON object expected, more there after byte %d", d.InputOffset())
	}
	l := &lines{value: map[string]value{}}
	l.flatten("", tree)
	return l, nil
}

func (l *lines) flatten(path string, node any) {
	switch n := node.(type) {
	case map[string]any:
		l.value[path] = value{"an object", group}
		for k, v := range n {
			l.flatten(join(path, k), v)
		}
	case []any:
		if items, ok := plainItems(n); ok {
			l.value[path] = value{text: strings.Join(items, ",")}
			if len(n) > 0 {
				return
			}
		}
		l.value[join(path, "count")] = value{strconv.Itoa(len(n)), number}
		for i, v := range n {
			l.flatten(join(path, strconv.Itoa(i)), v)
		}
	case string:
		l.value[path] = value{n, text}
	case json.Number:
		l.value[path] = value{n.String(), number}
	case bool:
		l.value[path] = value{strconv.FormatBool(n), truth}
	}
}

// plainItems are the items of a list that holds neither objects nor lists.
func plainItems(list []any) (items []string, ok bool) {
	for _, v := range list {
		switch v.(type) {
		case map[string]any, []any, nil:
			return nil, false
		}
		items = append(items, fmt.Sprint(v))
	}
	return items, true
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (l *lines) get(path string) (value, bool) {
	v, ok := l.value[l.prefix+path]
	return v, ok
}

func (l *lines) fail(path, want, got string) {
	if l.bad != nil {
		return
	}
	if got == "" {
		got = "nothing"
	} else {
		got = fmt.Sprintf("%.60q", got)
	}
	l.bad = fmt.Errorf("%s%s: %s expected, %s there", l.prefix, path, want, got)
}

func (l *lines) parse(path string, v value) float64 {
	x, err := strconv.ParseFloat(v.text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 || v.kind != plain && v.kind != number {
		l.fail(path, "a number from 0 up", v.text)
		return 0
	}
	return x
}

func (l *lines) num(path string, missing float64) float64 {
	if v, ok := l.get(path); ok {
		return l.parse(path, v)
	}
	return missing
}

// within is a number that must lie in a range.
func (l *lines) within(path string, missing, low, high float64) float64 {
	x := l.num(path, missing)
	if x < low || x > high {
		l.fail(path, fmt.Sprintf("a number from %g to %g", low, high), strconv.FormatFloat(x, 'g', -1, 64))
		return missing
	}
	return x
}

func (l *lines) ms(path string, missingNs float64) float64 { return l.num(path, missingNs) / nsPerMs }

// str is a text; only a JSON value of another type is wrong.
func (l *lines) str(path string) string {
	v, ok := l.get(path)
	if ok && v.kind != plain && v.kind != text {
		l.fail(path, "a text", v.text)
	}
	return v.text
}

// must is a text that may not be missing.
func (l *lines) must(path string) string {
	s := l.str(path)
	if s == "" {
		l.fail(path, "a text", s)
	}
	return s
}

func (l *lines) item(path string, i int) float64 {
	v, _ := l.get(path)
	if items := strings.Split(v.text, ","); i < len(items) && items[i] != "" {
		return l.parse(path, value{text: items[i]})
	}
	return 0
}

func (l *lines) yes(path string, missing bool) bool {
	v, ok := l.get(path)
	if !ok {
		return missing
	}
	if v.kind != plain && v.kind != truth || v.text != "true" && v.text != "false" {
		l.fail(path, "true or false", v.text)
	}
	return v.text == "true"
}

// count reads a list's length; more items than there are values is a false length.
func (l *lines) count(list string) int {
	n := l.num(list+".count", 0)
	if n > float64(len(l.value)) {
		l.fail(list+".count", fmt.Sprintf("at most %d", len(l.value)), strconv.FormatFloat(n, 'g', -1, 64))
		return 0
	}
	return int(n)
}
