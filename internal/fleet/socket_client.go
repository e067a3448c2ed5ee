package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"sorrelvalve/internal/permitclient"
)

// maxResponseBytes is the maximum size of a response of the status socket.
const maxResponseBytes = 16 << 20

// SocketError is an error response from a server's status socket.
type SocketError struct {
	StatusCode int // HTTP status code
	Message    string
}

// Error returns the server's message.
func (e *SocketError) Error() string { return e.Message }

// socketRequest sends a request to the server whose status socket is at path, and returns the body of the response.
func socketRequest(ctx context.Context, path, method, target string) ([]byte, error) {
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		},
	}}
	request, err := http.NewRequestWithContext(ctx, method, "http://fleet"+target, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = &SocketError{StatusCode: response.StatusCode, Message: string(bytes.TrimSpace(body))}
	}
	return body, err
}

// FetchStatus returns the status of the server whose status socket is at path.
func FetchStatus(ctx context.Context, path string) (status Status, err error) {
	body, err := socketRequest(ctx, path, http.MethodGet, "/v1/status")
	if err == nil {
		err = json.Unmarshal(body, &status)
	}
	return status, err
}

// FetchStatuses returns the statuses of several servers, which it requests concurrently. For each server that does not answer within timeout it
// returns an error that names the socket.
func FetchStatuses(ctx context.Context, paths []string, timeout time.Duration) (statuses []Status, failed []error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make([]Status, len(paths))
	errs := make([]error, len(paths))
	var requests sync.WaitGroup
	for i, path := range paths {
		requests.Go(func() { results[i], errs[i] = FetchStatus(ctx, path) })
	}
	requests.Wait()
	for i, err := range errs {
		if err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", paths[i], err))
		} else {
			statuses = append(statuses, results[i])
		}
	}
	return statuses, failed
}

// RequestDrain sends a command about drains to the server whose status socket is at path.
func RequestDrain(ctx context.Context, path string, command DrainCommand) error {
	_, err := socketRequest(ctx, path, http.MethodPost, "/v1/drain?"+command.query())
	return err
}

// FetchPermits returns the permit servers' state, which it requests through the server whose status socket is at path.
func FetchPermits(ctx context.Context, path string) (status permitclient.Status, err error) {
	body, err := socketRequest(ctx, path, http.MethodGet, "/v1/permits")
	if err == nil {
		err = json.Unmarshal(body, &status)
	}
	return status, err
}

// RequestRemoval sends the declaration that a server will not come back to another server, whose status socket is at path.
func RequestRemoval(ctx context.Context, path string, removal Removal) error {
	_, err := socketRequest(ctx, path, http.MethodPost, "/v1/gone?"+removal.query())
	return err
}
