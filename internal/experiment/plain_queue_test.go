package experiment

import (
	"testing"
	"time"

	"sorrelvalve/internal/gate"
)

// The plain queue rejects what does not fit, and runs a token once, whose result all get that ask for it.
func TestPlainQueue(t *testing.T) {
	started, finish := make(chan string, 8), make(chan struct{})
	q := newPlainQueue(func(request gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		started <- request.Method
		<-finish
		done(gate.Succeeded, 1, nil, request.Body)
	}, 1, 1)
	defer q.close()
	results := make(chan string, 8)
	submit := func(method, token string) bool {
		return q.submit(gate.RunRequest{Method: method, Body: []byte(method)}, token, func(_ gate.Outcome, _ float64, _, result []byte) {
			results <- string(result)
		})
	}
	receive := func(from chan string) string {
		select {
		case s := <-from:
			return s
		case <-time.After(10 * time.Second):
			t.Fatal("nothing came")
			return ""
		}
	}
	if !submit("a", "t") {
		t.Fatal("the first RPC was rejected")
	}
	receive(started)
	if !submit("b", "") {
		t.Error("the second RPC was rejected, and the queue was empty")
	}
	if submit("c", "") || submit("c", "u") {
		t.Error("an RPC was queued, and the queue was full")
	}
	if !submit("a2", "t") {
		t.Error("an RPC of a token that runs was rejected")
	}
	close(finish)
	if first, second := receive(results), receive(results); first != "a" || second != "a" {
		t.Errorf("one token answered %q and %q", first, second)
	}
	if got := receive(results); got != "b" {
		t.Errorf("%q, want b", got)
	}
	if !submit("a3", "t") || receive(results) != "a" {
		t.Error("a token that has run was not answered with its result")
	}
	receive(started)
	if !submit("u2", "u") || receive(started) != "u2" || receive(results) != "u2" {
		t.Error("a token that was rejected does not run later")
	}
}
