package httpvalve

import (
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"sorrelvalve/decision/route"
	"sorrelvalve/valve"
)

// statusPass is returned in place of an HTTP status for a request that passes without admission.
const statusPass = -1

// identify converts a request to an RPC. If err is not nil, status is the HTTP status of the response. Otherwise status is
// statusPass if the request passes without admission, and 0 if not.
func (m *Middleware) identify(q *http.Request) (rpc valve.RPC, status int, err error) {
	if m.options.Identify != nil {
		rpc, ok := m.options.Identify(q)
		if !ok {
			return rpc, statusPass, nil
		}
		return rpc, 0, nil
	}
	resolved, err := m.routes.Resolve(&route.Message{
		Host:      strings.ToLower(withoutPort(q.Host)),
		Path:      q.URL.Path,
		Verb:      q.Method,
		Query:     q.URL.RawQuery,
		Variables: variables{q},
	})
	switch {
	case errors.Is(err, route.ErrNoRoute) && m.options.PassUnrouted:
		return rpc, statusPass, nil
	case errors.Is(err, route.ErrNoRoute):
		return rpc, http.StatusNotFound, err
	case errors.Is(err, route.ErrVerbNotAllowed):
		return rpc, http.StatusMethodNotAllowed, err
	case err != nil:
		return rpc, http.StatusBadRequest, err
	}
	return rpcOf(&resolved), 0, nil
}

// withoutPort returns the host of a Host header, without the port.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// rpcOf converts the result of routing a request to an RPC.
func rpcOf(r *route.Resolved) valve.RPC {
	rpc := valve.RPC{
		Method:   r.Method,
		Customer: r.Customer,
		Caller:   r.Caller,
		Subject:  r.Subject,
		Token:    r.Token,
		Retry:    r.Retry,
		CostHint: time.Duration(r.CostHintMs * float64(time.Millisecond)),
	}
	if r.ArrivedMs > 0 {
		rpc.ArrivedAt = time.UnixMicro(int64(r.ArrivedMs * 1000))
	}
	return rpc
}

// variables presents an HTTP request as uwsgi variables.
type variables struct{ q *http.Request }

// Get returns the value of a variable, or false if the request does not have it.
func (v variables) Get(name string) (string, bool) {
	switch name {
	case "REQUEST_METHOD":
		return v.q.Method, true
	case "PATH_INFO":
		return v.q.URL.Path, true
	case "QUERY_STRING":
		return v.q.URL.RawQuery, true
	case "REMOTE_ADDR":
		host, _, err := net.SplitHostPort(v.q.RemoteAddr)
		return host, err == nil
	case "HTTP_HOST":
		return v.q.Host, true
	}
	header, ok := strings.CutPrefix(name, "HTTP_")
	if !ok {
		header = name // a variable that the operator defines, which a proxy sets as a header
	}
	values := v.q.Header[http.CanonicalHeaderKey(strings.ReplaceAll(header, "_", "-"))]
	if len(values) == 0 {
		return "", false
	}
	return values[0], true
}

// readBody reads the body of a request with an idempotency token, which is compared to verify that two attempts are the same
// RPC, and replaces q.Body so that the handler can read it again. If err is not nil, status is the HTTP status of the
// response.
func (m *Middleware) readBody(w http.ResponseWriter, q *http.Request) (body []byte, status int, err error) {
	if q.Body == nil || q.Body == http.NoBody {
		return nil, 0, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(m.options.BodyTimeout)) // not every server supports deadlines
	body, err = io.ReadAll(http.MaxBytesReader(w, q.Body, m.options.MaxBodyBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is longer than %d bytes", m.options.MaxBodyBytes)
	case err != nil: // otherwise the server would wait for the rest of the body before it answers
		w.Header().Set("Connection", "close")
		return nil, http.StatusBadRequest, errors.New("the body did not come whole")
	}
	_ = control.SetReadDeadline(time.Time{}) // not every server supports deadlines
	q.Body = io.NopCloser(bytes.NewReader(body))
	return body, 0, nil
}

// Hash returns a hash of s, for RPC.Caller and RPC.Subject in Options.Identify. The hash of a string differs between
// processes. Hash is safe for use by several goroutines at once.
func Hash(s string) uint64 { return maphash.String(hashSeed, s) }

var hashSeed = maphash.MakeSeed()
