package uwsgi

// This file parses the variables that describe a message itself, before the routes identify its RPC.

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"sorrelvalve/decision/route"
	"sorrelvalve/internal/operator"
	wire "sorrelvalve/internal/uwsgi"
)

// The values of operator.UWSGI.KeepAlive that keep connections open.
const (
	keepAliveAlways    = "always"
	keepAliveOnRequest = "asked" // if the message has VALVE_KEEP=1
)

// request is a message as its block of variables describes it.
type request struct {
	route.Message
	bodyLength int
	keepAlive  bool
}

// requestError states why a message is invalid and how it is answered.
type requestError struct {
	status    int
	reason    string
	allow     []string // verbs for the Allow field of statusMethodNotAllowed
	keepAlive bool     // whether the connection can be kept
}

func (e *requestError) Error() string { return e.reason }

func badRequest(reason string) *requestError {
	return &requestError{status: statusBadRequest, reason: reason}
}

// checkHeader validates the header of a packet other than a ping.
func checkHeader(h wire.Header, limits *operator.UWSGI) *requestError {
	switch {
	case h.Modifier1 != 0:
		return badRequest("modifier1: 0 expected")
	case h.BlockSize > limits.MaxHeaderBytes:
		return &requestError{status: statusHeaderFieldsTooLarge, reason: "the block is longer than this server takes"}
	}
	return nil
}

// parseVariables parses a block into variables.
func parseVariables(variables *wire.Variables, block string, limits *operator.UWSGI) *requestError {
	err := variables.Parse(block, limits.MaxVariables)
	switch {
	case errors.Is(err, wire.ErrTooManyVariables):
		return &requestError{status: statusHeaderFieldsTooLarge, reason: err.Error()}
	case err != nil:
		return badRequest(err.Error())
	}
	return nil
}

// parseRequest parses the variables that describe the message. The routes evaluate those that describe the RPC.
func (c *config) parseRequest(r *request) *requestError {
	r.Verb = r.variable("REQUEST_METHOD")
	if r.Verb == "" {
		return badRequest("REQUEST_METHOD: a verb expected, none there")
	}
	if err := c.parseTarget(r); err != nil {
		return err
	}
	r.Host = r.variable("HTTP_HOST")
	if r.Host == "" {
		r.Host = r.variable("SERVER_NAME")
	}
	r.Host = strings.ToLower(trimPort(r.Host))
	if !slices.Contains(route.Verbs, r.Verb) {
		return &requestError{status: statusMethodNotAllowed, reason: "the verb is not taken", allow: route.Verbs}
	}
	if err := c.parseBodyLength(r); err != nil {
		return err
	}
	switch c.limits.KeepAlive {
	case keepAliveAlways:
		r.keepAlive = true
	case keepAliveOnRequest:
		r.keepAlive = r.variable("VALVE_KEEP") == "1"
	}
	return nil
}

// variable returns the value of a variable, or "" if it is absent.
func (r *request) variable(name string) string {
	value, _ := r.Variables.Get(name)
	return value
}

// parseTarget parses the path and query from PATH_INFO and QUERY_STRING, or from REQUEST_URI in their absence.
func (c *config) parseTarget(r *request) *requestError {
	target := r.variable("REQUEST_URI")
	r.Path = r.variable("PATH_INFO")
	r.Query = r.variable("QUERY_STRING")
	if r.Path == "" {
		var query string
		r.Path, query, _ = strings.Cut(target, "?")
		if r.Query == "" {
			r.Query = query
		}
	}
	if len(target) > c.limits.MaxPathBytes || len(r.Path)+len(r.Query) > c.limits.MaxPathBytes {
		return &requestError{
			status: statusURITooLong,
			reason: "the path is longer than " + strconv.Itoa(c.limits.MaxPathBytes) + " bytes",
		}
	}
	if !isCleanPath(r.Path) {
		return badRequest("the path: one from / without empty, . and .. segments expected")
	}
	return nil
}

// parseBodyLength parses CONTENT_LENGTH, which is required for verbs with a body.
func (c *config) parseBodyLength(r *request) *requestError {
	hasBody := r.Verb == "POST" || r.Verb == "PUT" || r.Verb == "PATCH"
	switch length := r.variable("CONTENT_LENGTH"); {
	case length != "":
		n, err := strconv.ParseUint(length, 10, 31)
		if err != nil {
			return badRequest("CONTENT_LENGTH: a number of bytes expected")
		}
		r.bodyLength = int(n)
	case hasBody || r.variable("HTTP_TRANSFER_ENCODING") != "":
		return &requestError{
			status: statusLengthRequired,
			reason: "CONTENT_LENGTH: the length of the body expected, none there",
		}
	}
	if r.bodyLength > c.limits.MaxBodyBytes {
		return &requestError{
			status: statusContentTooLarge,
			reason: "the body is longer than " + strconv.Itoa(c.limits.MaxBodyBytes) + " bytes",
		}
	}
	return nil
}

// resolve identifies the RPC of a request with the routes.
func (c *config) resolve(r *request) (route.Resolved, *requestError) {
	resolved, err := c.routes.Resolve(&r.Message)
	if err == nil {
		return resolved, nil
	}
	e := badRequest(err.Error())
	e.keepAlive = r.keepAlive && r.bodyLength == 0
	switch {
	case errors.Is(err, route.ErrNoRoute):
		e.status = statusNotFound
	case errors.Is(err, route.ErrVerbNotAllowed):
		e.status = statusMethodNotAllowed
		e.allow = c.routes.Verbs(&r.Message)
	}
	return resolved, e
}

// isCleanPath reports whether all readers interpret a path in the same way: it has no empty, . or .. segments and no
// NUL.
func isCleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.IndexByte(p, 0) >= 0 {
		return false
	}
	for rest, more := p[1:], true; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		if segment == "" && more || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// trimPort removes the port from a host. An IPv6 address without a port ends in a bracket.
func trimPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:i]
}
