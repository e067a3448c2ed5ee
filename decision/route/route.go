// Package route identifies the RPC in a message of the web: its method, customer, caller and idempotency token. It goes
// by an operator's rules, of which the most specific one that matches counts, wherever it stands in the file.
//
// The package is pure: no I/O, no clock. A Table is immutable after New, so any number of goroutines may use it. The
// package must never decide whether an RPC is admitted.
//
// Precedence, by the first difference: an exact host, then the longer wildcard, then any host; segment by segment of
// the path from the left a literal, then a parameter, then the tail; one verb before any; more conditions before fewer.
// Rules that tie in all of that and can match the same RPC are a fault that Check reports.
package route

import (
	"errors"
	"fmt"
	"strings"
)

// Rule is one route, as an operator writes it.
type Rule struct {
	Name   string
	Host   string      // "" for any; exact, in lower case; or *.example.net for all below it
	Path   string      // /accounts/{id}/usage; a last segment * stands for one or more segments of any kind
	Verb   string      // HTTP method, "" for any
	When   []Condition // all must hold
	Method string      // of the RPC

	Customer Source
	Caller   Source
	Token    Source // idempotency token
	Subject  Source
	Retry    Source // "1" for a retry, "0" or "" otherwise
	CostHint Source // expected cost in ms
	Arrival  Source // arrival at this machine, Unix ms
}

// Condition is a variable that must have a value.
type Condition struct{ Variable, Value string }

// Source is where a value is taken from. One of Fixed, Variable, Segment and Query is set; the zero Source gives
// nothing.
type Source struct {
	Fixed    string            // the value itself
	Variable string            // name of a variable of the message
	Segment  string            // name of a path parameter
	Query    string            // key of the query
	Names    map[string]string // maps what was read to the value; if set, anything else is an error
}

func (s *Source) isEmpty() bool {
	return s.Fixed == "" && s.Variable == "" && s.Segment == "" && s.Query == ""
}

// Variables gives access to the variables of a message, as CGI names them.
type Variables interface {
	Get(name string) (value string, has bool)
}

// Message is what is known of an RPC before it is identified. Host is in lower case and without a port; Path begins
// with a slash and has no empty segment but the last.
type Message struct {
	Host, Path, Verb, Query string
	Variables               Variables
}

// Resolved is the RPC that a message was identified as.
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
	// ErrVerbNotAllowed means that rules match, each for another verb; Table.Verbs lists them.
	ErrVerbNotAllowed = errors.New("no route for that path takes the verb")
)

// ValueError is a value of a message that could not be read as its rule requires.
type ValueError struct {
	Rule string // name of the rule
	Key  string // of the rule: customer, token, …
	Want string
	Got  string
}

// Error returns what was expected and what came, cut to 40 bytes.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s (route %s): %s expected, %.40q there", e.Key, e.Rule, e.Want, e.Got)
}

// splitPath returns the segments of a path, which begins with a slash.
func splitPath(path string) []string { return strings.Split(strings.TrimPrefix(path, "/"), "/") }

// paramName returns the name in a segment of the form {name}.
func paramName(segment string) (name string, isParam bool) {
	if len(segment) > 2 && segment[0] == '{' && segment[len(segment)-1] == '}' {
		return segment[1 : len(segment)-1], true
	}
	return "", false
}

// isWildcardHost reports whether a rule's host has the form *.example.net.
func isWildcardHost(host string) bool { return strings.HasPrefix(host, "*.") }

// wildcardSuffix returns what follows the star of a wildcard host, from its dot on.
func wildcardSuffix(host string) string { return host[1:] }
