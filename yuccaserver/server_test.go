package yuccaserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaserver"
)

// serverRun is a running server.
type serverRun struct {
	server *yuccaserver.Server
	done   chan error
}

func (s *serverRun) run(ctx context.Context) { s.done <- s.server.Serve(ctx) }

// RefuseConnections closes new connections, while requests in progress get their
// complete responses.
func TestRefuseConnections(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := yuccaserver.New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	}))
	ctx, cancel := context.WithCancel(t.Context())
	run := &serverRun{server: server, done: make(chan error, 1)}
	go run.run(ctx)
	address, err := server.Address(ctx)
	if err != nil {
		t.Fatal(err)
	}
	responses := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + address)
		if err != nil {
			responses <- err.Error()
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		responses <- string(text)
	}()
	<-entered
	server.RefuseConnections()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	if response, err := client.Get("http://" + address); err == nil {
		response.Body.Close()
		t.Errorf("a request after RefuseConnections was answered %s", response.Status)
	}
	close(release)
	if got := <-responses; got != "whole" {
		t.Errorf("the request in progress got %q, want the whole response", got)
	}
	cancel()
	<-run.done
}

// Persistent connections are closed after their next response once the server is
// not ready or CloseAfterResponse was called. RefuseConnections closes idle ones.
func TestCloseAfterResponse(t *testing.T) {
	var notReady atomic.Bool
	server := yuccaserver.New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })).
		CloseAfterResponseUnless(func() bool { return !notReady.Load() })
	ctx, cancel := context.WithCancel(t.Context())
	run := &serverRun{server: server, done: make(chan error, 1)}
	go run.run(ctx)
	address, err := server.Address(ctx)
	if err != nil {
		t.Fatal(err)
	}
	active, idle := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	get := func(c *http.Client) (closes bool, err error) {
		response, err := c.Get("http://" + address)
		if err != nil {
			return false, err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if string(text) != "whole" {
			t.Errorf("the response is %q", text)
		}
		return response.Close, err
	}
	for _, c := range []*http.Client{active, idle} {
		if closes, err := get(c); closes || err != nil {
			t.Errorf("connection closed before CloseAfterResponse: %v %v", closes, err)
		}
	}
	notReady.Store(true)
	if closes, err := get(active); !closes || err != nil {
		t.Errorf("connection kept open while not ready: %v %v", closes, err)
	}
	notReady.Store(false)
	server.CloseAfterResponse()
	if closes, err := get(active); !closes || err != nil {
		t.Errorf("connection kept open after CloseAfterResponse: %v %v", closes, err)
	}
	server.RefuseConnections()
	if _, err := get(idle); err == nil {
		t.Error("a request on an idle connection was answered after RefuseConnections")
	}
	cancel()
	<-run.done
}

// A server with ListenAfter does not listen before the function returns.
func TestListenAfter(t *testing.T) {
	ready := make(chan struct{})
	server := yuccaserver.New("127.0.0.1:0", http.NotFoundHandler()).ListenAfter(func(ctx context.Context) {
		select {
		case <-ready:
		case <-ctx.Done():
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	run := &serverRun{server: server, done: make(chan error, 1)}
	go run.run(ctx)
	earlyCtx, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	if address, err := server.Address(earlyCtx); err == nil {
		t.Errorf("listening on %s before the function returned", address)
	}
	close(ready)
	if _, err := server.Address(ctx); err != nil {
		t.Error(err)
	}
	cancel()
	<-run.done
}

// The request waits in the socket while the process is busy, and its client closes the connection.
func TestRequestOfAClientThatHasLeftIsHandled(t *testing.T) {
	read, closed := make(chan error, 1), make(chan struct{})
	server := yuccaserver.New("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/left" {
			<-closed
		}
		_, err := io.ReadAll(r.Body)
		read <- err
	}))
	ctx, cancel := context.WithCancel(t.Context())
	run := &serverRun{server: server, done: make(chan error, 1)}
	go run.run(ctx)
	defer func() { cancel(); <-run.done }()
	address, err := server.Address(ctx)
	if err != nil {
		t.Fatal(err)
	}
	send := func(path string) net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}")
		return c
	}
	waiting := send("/waits")
	defer waiting.Close()
	if err := <-read; err != nil {
		t.Errorf("the client waits: got %v", err)
	}
	_ = send("/left").Close()
	time.Sleep(50 * time.Millisecond)
	close(closed)
	if err := <-read; err == nil {
		t.Error("the client has left: its request was read without an error")
	}
}
