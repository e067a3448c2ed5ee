package route

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	maxCostHint   = 3.6e6 // ms; an expected cost of more than an hour is invalid
	maxArrival    = 1e14  // Unix ms, in the year 5138
	maxTokenBytes = 64    // same limit as in the routers' protocol, so that both can carry any token
)

// Resolve identifies the RPC in a message by the most specific rule that matches. The error is ErrNoRoute,
// ErrVerbNotAllowed or a *ValueError. If there is an error, the RPC must not run.
func (t *Table) Resolve(m *Message) (resolved Resolved, err error) {
	rule := t.Match(m)
	if rule < 0 {
		if len(t.Verbs(m)) > 0 {
			return resolved, ErrVerbNotAllowed
		}
		return resolved, ErrNoRoute
	}
	return t.resolveValues(rule, m)
}

// resolveValues reads the values of a message that a rule names.
func (t *Table) resolveValues(rule int, m *Message) (resolved Resolved, err error) {
	r := &t.rules[rule]
	v := valueReader{table: t, rule: rule}
	resolved = Resolved{Rule: rule, Method: r.Method}
	resolved.Customer = v.text("customer", &r.Customer, m)
	if caller := v.text("caller", &r.Caller, m); caller != "" {
		resolved.Caller = xxhash.Sum64String(caller)
	}
	resolved.Token = v.text("token", &r.Token, m)
	if len(resolved.Token) > maxTokenBytes {
		v.fail("token", fmt.Sprintf("up to %d bytes", maxTokenBytes), resolved.Token)
	}
	if subject := v.text("subject", &r.Subject, m); subject != "" {
		resolved.Subject = max(1, xxhash.Sum64String(subject))
	}
	resolved.Retry = v.flag("retry", &r.Retry, m)
	resolved.CostHintMs = v.number("hint", &r.CostHint, m, maxCostHint)
	resolved.ArrivedMs = v.number("door", &r.Arrival, m, maxArrival)
	return resolved, v.err
}

// valueReader reads the values of one rule and keeps the first error, after which all reads return empty values. The
// message is passed to each read rather than stored, so that it need not be allocated on the heap.
type valueReader struct {
	table *Table
	rule  int
	err   error
}

// fail sets the error. It must not be called if there is one already.
func (v *valueReader) fail(key, want, got string) {
	v.err = &ValueError{Rule: v.table.rules[v.rule].Name, Key: key, Want: want, Got: got}
}

// text reads a value and translates it by the source's names, if any.
func (v *valueReader) text(key string, s *Source, m *Message) string {
	if v.err != nil {
		return ""
	}
	value := v.table.sourceValue(v.rule, s, m)
	if s.Names == nil || value == "" {
		return value
	}
	name, known := s.Names[value]
	if !known {
		v.fail(key, "one of the names of the route", value)
	}
	return name
}

// flag reads a value that must be 0, 1 or empty.
func (v *valueReader) flag(key string, s *Source, m *Message) bool {
	value := v.text(key, s, m)
	switch value {
	case "", "0":
		return false
	case "1":
		return true
	}
	if v.err == nil {
		v.fail(key, "0 or 1", value)
	}
	return false
}

// number reads a value that must be empty or a number from 0 to highest.
func (v *valueReader) number(key string, s *Source, m *Message, highest float64) float64 {
	value := v.text(key, s, m)
	if value == "" || v.err != nil {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	inRange := number >= 0 && number <= highest // false for NaN
	if err != nil || !inRange {
		v.fail(key, fmt.Sprintf("a number from 0 to %g", highest), value)
		return 0
	}
	return number
}

// sourceValue reads the value of a source from a message. It returns "" if the message has no such value.
func (t *Table) sourceValue(rule int, s *Source, m *Message) string {
	switch {
	case s.Fixed != "":
		return s.Fixed
	case s.Variable != "":
		value, _ := m.Variables.Get(s.Variable)
		return value
	case s.Segment != "":
		for _, p := range t.params[rule] {
			if p.name == s.Segment {
				return pathSegment(m.Path, p.segment)
			}
		}
	case s.Query != "":
		return queryValue(m.Query, s.Query)
	}
	return ""
}

// pathSegment returns the segment of a path at an index that counts from 0.
func pathSegment(path string, index int) string {
	rest := strings.TrimPrefix(path, "/")
	for ; index > 0; index-- {
		_, rest, _ = strings.Cut(rest, "/")
	}
	segment, _, _ := strings.Cut(rest, "/")
	return segment
}

// queryValue returns the first value of a key in a query string. Escapes are not decoded: tokens and ids need none, and
// a value with escapes differs from the same value without them.
func queryValue(query, key string) string {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		if name, value, _ := strings.Cut(pair, "="); name == key {
			return value
		}
	}
	return ""
}
