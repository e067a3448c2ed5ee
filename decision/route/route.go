// Package route identifies the RPC in a web request: its method, customer, caller and idempotency token. It applies an
// operator's rules. Of the rules that match, the most specific one is used, regardless of its position in the file.
//
// The package is pure: no I/O, no clock. A Table is immutable after New, so any number of goroutines may use it. The
// package must never decide whether an RPC is admitted.
//
// The first difference decides which of two rules takes precedence: an exact host precedes a wildcard host, a longer
// wildcard precedes a shorter one, and any wildcard precedes a rule for all hosts; then, for each path segment from the
// left, a literal precedes a parameter and a parameter precedes the tail (*); then a rule for one verb precedes a rule
// for any verb; then more conditions precede fewer. Check reports rules that tie in all of that and can match the same
// RPC as a fault.
package route

import (
	"errors"
	"fmt"
	"strings"
)

// Rule is one route, as an operator writes it.
type Rule struct {
	Name   string
	Host   string      // exact, in lower case, or *.example.net for all its subdomains; "" for any
	Path   string      // such as /accounts/{id}/usage; * as the last segment matches one or more segments
	Verb   string      // HTTP method, "" for any
	When   []Condition // all must hold
	Method string      // RPC method

	Customer Source
	Caller   Source
	Token    Source // idempotency token
	Subject  Source
	Retry    Source // "1" for a retry, "0" or "" otherwise
	CostHint Source // expected cost in ms
	Arrival  Source // arrival at this machine, Unix ms
}

// Condition requires a variable of the message to have a value.
type Condition struct{ Variable, Value string }

// Source tells where a value is taken from. At most one of Fixed, Variable, Segment and Query is set; the zero Source
// yields no value.
type Source struct {
	Fixed    string            // the value itself
	Variable string            // name of a message variable
	Segment  string            // name of a path parameter
	Query    string            // key in the query string
	Names    map[string]string // maps the text that was read to the value; if set, any other text is an error
}

func (s *Source) isEmpty() bool {
	return s.Fixed == "" && s.Variable == "" && s.Segment == "" && s.Query == ""
}

// Variables gives access to the variables of a message by their CGI names.
type Variables interface {
	Get(name string) (value string, ok bool)
}

// Message is a web request whose RPC is to be identified. Host is in lower case and without a port. Path begins with a
// slash, and only its last segment may be empty.
type Message struct {
	Host, Path, Verb, Query string
	Variables               Variables
}

// Resolved is the RPC that was identified in a message.
type Resolved struct {
	Rule       int // index of the rule that matched
	Method     string
	Customer   string
	Caller     uint64 // hash; 0 for none
	Token      string
	Subject    uint64 // hash; 0 for none
	Retry      bool
	CostHintMs float64 // expected cost in ms; 0 for none
	ArrivedMs  float64 // arrival, Unix ms; 0 for none
}

// The errors of Resolve, beside *ValueError.
var (
	// ErrNoRoute means that no rule matches host, path and conditions.
	ErrNoRoute = errors.New("no route fits")
	// ErrVerbNotAllowed means that rules match except for the verb; Table.Verbs lists the verbs that they accept.
	ErrVerbNotAllowed = errors.New("no route for that path takes the verb")
)

// ValueError reports a value in a message that is not valid for its rule.
type ValueError struct {
	Rule string // name of the rule
	Key  string // key of the rule, such as customer or token
	Want string // description of a valid value
	Got  string
}

// Error describes a valid value and the value in the message, cut to 40 bytes.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s (route %s): %s expected, %.40q there", e.Key, e.Rule, e.Want, e.Got)
}

// splitPath returns the segments of a path that begins with a slash.
func splitPath(path string) []string { return strings.Split(strings.TrimPrefix(path, "/"), "/") }

// paramName returns the name of the parameter if a segment has the form {name}.
func paramName(segment string) (name string, isParam bool) {
	if len(segment) > 2 && segment[0] == '{' && segment[len(segment)-1] == '}' {
		return segment[1 : len(segment)-1], true
	}
	return "", false
}

// isWildcardHost reports whether a rule's host has the form *.example.net.
func isWildcardHost(host string) bool { return strings.HasPrefix(host, "*.") }

// wildcardSuffix returns the part of a wildcard host after the star, which begins with a dot.
func wildcardSuffix(host string) string { return host[1:] }
