package httpvalve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
)

// handlerCase is a test case of TestHandlers: a handler, and the requests and checks of its client.
type handlerCase struct {
	name    string
	handler func(t testing.TB, w http.ResponseWriter, q *http.Request) // nil for a handler that calls itself
	do      func(r *testServer)
}

var handlerCases = []handlerCase{
	{"writes", func(t testing.TB, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", "b")
		w.WriteHeader(201)
		writeString(t, w, "x")
	}, func(r *testServer) {
		if h := r.expect("201 x", "GET", "/view/1", ""); h.Get("A") != "b" {
			r.Errorf("header: got %v", h)
		}
	}},
	{"writes nothing", func(_ testing.TB, _ http.ResponseWriter, _ *http.Request) {}, func(r *testServer) { r.expect("200", "GET", "/view/1", "") }},
	{"error status", func(_ testing.TB, w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", 500) }, func(r *testServer) { r.expect("500 no", "GET", "/view/1", "") }},
	{"writes the header twice", func(t testing.TB, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(404)
		w.WriteHeader(200)
		writeString(t, w, "x")
	}, func(r *testServer) {
		r.expect("404 x", "GET", "/view/1", "")
	}},
	{"panics before the first byte", func(_ testing.TB, _ http.ResponseWriter, _ *http.Request) { panic("x") }, func(r *testServer) {
		if h := r.expect("500", "GET", "/view/1", ""); h.Get("Valve-Why") != "the handler panicked" {
			r.Errorf("header: got %v", h)
		}
	}},
	{"panics after the first byte", func(t testing.TB, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		writeString(t, w, "half")
		w.(http.Flusher).Flush()
		panic("x")
	}, func(r *testServer) { r.expect("200 cut", "GET", "/view/1", "") }},
	{"panics with http.ErrAbortHandler", func(_ testing.TB, _ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }, func(r *testServer) { r.expect("error", "GET", "/view/1", "") }},
	{"streams", func(t testing.TB, w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			writeString(t, w, fmt.Sprint(i))
			w.(http.Flusher).Flush()
		}
	}, func(r *testServer) { r.expect("200 012", "GET", "/view/1", "") }},
	{"trailers", func(t testing.TB, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "Sum")
		writeString(t, w, "x")
		w.Header().Set("Sum", "7")
		w.Header().Set(http.TrailerPrefix+"Late", "8")
	}, func(r *testServer) {
		h := r.expect("200 x", "GET", "/view/1", "")
		if fmt.Sprint(h["Trailer:Sum"], h["Trailer:Late"]) != "[7] [8]" {
			r.Errorf("header: got %v", h)
		}
	}},
	{"early hints", func(t testing.TB, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "a")
		w.WriteHeader(103)
		writeString(t, w, "x")
	}, func(r *testServer) {
		hints := 0
		trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == 103 && h.Get("Link") == "a" {
				hints++
			}
			return nil
		}}
		q, _ := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), "GET", r.server.URL+"/view/1", nil)
		response, err := http.DefaultClient.Do(q)
		if err != nil {
			r.Fatal(err)
		}
		defer mustClose(r, response.Body)
		if b, _ := io.ReadAll(response.Body); string(b) != "x" || hints != 1 {
			r.Errorf("body: got %q; early hints: got %d, want 1", b, hints)
		}
	}},
	{"HEAD", func(t testing.TB, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "5")
		writeString(t, w, "12345")
	}, func(r *testServer) {
		if h := r.expect("200", "HEAD", "/view/1", ""); h.Get("Content-Length") != "5" {
			r.Errorf("header: got %v", h)
		}
	}},
	{"hijacks the connection", func(t testing.TB, w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer mustClose(t, c)
		if _, err := w.Write(nil); !errors.Is(err, http.ErrHijacked) {
			return
		}
		writeString(t, c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nown")
	}, func(r *testServer) { r.expect("200 own", "GET", "/view/1", "") }},
	{"calls itself", nil, func(r *testServer) { r.expect("200 inner", "GET", "/view/outer", "") }},
	{"invalid requests", nil, func(r *testServer) {
		r.expect("404", "GET", "/none", "")
		r.expect("405", "GET", "/buy", "")
		r.expect("400", "POST", "/buy", "")
		r.expect("413", "POST", "/buy", strings.Repeat("x", 101), "Idempotency-Key", "k")
		r.expect("400", "POST", "/buy", "", "Idempotency-Key", "k", "Work-Ms", "NaN")
		if r.runs.Load() != 0 {
			r.Error("an invalid request ran")
		}
	}},
}

// TestHandlers checks that each request gets exactly one response, and that no RPC stays in flight, whatever a handler does.
func TestHandlers(t *testing.T) {
	for _, c := range handlerCases {
		t.Run(c.name, func(t *testing.T) {
			var r *testServer
			handler := func(w http.ResponseWriter, q *http.Request) { c.handler(t, w, q) }
			if c.handler == nil {
				handler = func(w http.ResponseWriter, q *http.Request) { // calls itself through the whole middleware chain, with a single core
					if strings.HasSuffix(q.URL.Path, "outer") {
						q = q.Clone(q.Context())
						q.URL.Path = "/view/inner"
						r.server.Config.Handler.ServeHTTP(w, q)
						return
					}
					writeString(t, w, "inner")
				}
			}
			r = startServer(t, handler)
			c.do(r)
			r.waitIdle()
		})
	}
}
