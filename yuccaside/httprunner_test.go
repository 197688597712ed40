package yuccaside_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccaside"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// droppingServer answers the first request of each connection and closes the
// connection after reading the second, like a target that crashes while it
// executes a task.
type droppingServer struct {
	address  string
	requests atomic.Int64
}

func newDroppingServer(t *testing.T) *droppingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &droppingServer{address: "http://" + listener.Addr().String()}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *droppingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		if n == 1 {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

func mayAlwaysStart() bool { return true }

func newStart(method string, body string, headers ...*yuccawire.Header) *yuccawire.Start {
	return &yuccawire.Start{
		Key:     &yuccawire.TaskKey{Job: &yuccawire.JobKey{Team: "parishes", Id: "toll"}, Task: "t", Attempt: 1},
		Request: &yuccawire.Request{Method: method, Path: "/toll", Headers: headers, Body: []byte(body)},
	}
}

// net/http retries a request that it considers idempotent if a keep-alive
// connection is lost. A start must never be sent twice.
func TestStartIsSentOnce(t *testing.T) {
	key := &yuccawire.Header{Name: "Idempotency-Key", Values: []string{"toll-1"}}
	for _, c := range []struct {
		name        string
		start       *yuccawire.Start
		secondState yuccawire.TaskState
	}{
		{"POST", newStart("POST", "{}"), yuccawire.TaskState_TASK_UNKNOWN},
		{"POST with an Idempotency-Key", newStart("POST", "{}", key), yuccawire.TaskState_TASK_UNKNOWN},
		{"GET", newStart("GET", ""), yuccawire.TaskState_TASK_UNKNOWN},
		{"GET with an Idempotency-Key", newStart("GET", "", key), yuccawire.TaskState_TASK_UNKNOWN},
		// Each request uses a new connection, so the second one is not dropped.
		{"PUT without a body", newStart("PUT", "", key), yuccawire.TaskState_TASK_FINISHED},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newDroppingServer(t)
			runner := yuccaside.NewHTTPRunner()
			first := runner.Run(context.Background(), server.address, c.start, mayAlwaysStart)
			second := runner.Run(context.Background(), server.address, c.start, mayAlwaysStart)
			if first.GetState() != yuccawire.TaskState_TASK_FINISHED || second.GetState() != c.secondState {
				t.Errorf("states are %s and %s, expected TASK_FINISHED and %s", first.GetState(), second.GetState(), c.secondState)
			}
			if n := server.requests.Load(); n != 2 {
				t.Errorf("target received %d requests, expected 2", n)
			}
		})
	}
}

// Verifies that droppingServer provokes a retry: without it, TestStartIsSentOnce
// could not fail.
func TestPlainClientRetries(t *testing.T) {
	server := newDroppingServer(t)
	for range 2 {
		response, err := http.Get(server.address)
		if err == nil {
			response.Body.Close()
		}
	}
	if n := server.requests.Load(); n != 3 {
		t.Errorf("target received %d requests, expected 3: http.Get retries", n)
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	var requests atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	result := yuccaside.NewHTTPRunner().Run(context.Background(), "http://"+listener.Addr().String(), newStart("POST", "{}"), mayAlwaysStart)
	if result.GetStatus() != http.StatusTemporaryRedirect || requests.Load() != 1 {
		t.Errorf("status %d after %d requests, expected 307 after 1", result.GetStatus(), requests.Load())
	}
}

// A request with an empty body must not reach the target with chunked encoding.
func TestEmptyBodyIsNotChunked(t *testing.T) {
	var encodings []string
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		encodings = append(encodings, r.TransferEncoding...)
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	for _, method := range []string{"POST", "PUT", "PATCH", "GET", "DELETE"} {
		result := yuccaside.NewHTTPRunner().Run(context.Background(), "http://"+listener.Addr().String(), newStart(method, ""), mayAlwaysStart)
		if result.GetStatus() != http.StatusOK {
			t.Errorf("%s: %+v", method, result)
		}
	}
	if len(encodings) > 0 {
		t.Errorf("target received the transfer encodings %v, expected none", encodings)
	}
}
