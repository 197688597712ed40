package yuccaserver_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaserver"
)

// service runs a server for a test.
type serverRun struct {
	server *yuccaserver.Server
	done   chan error
}

func (s *serverRun) run(ctx context.Context) { s.done <- s.server.Serve(ctx) }

// A server that refuses closes new connections, and the requests in progress
// are answered whole.
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
		t.Errorf("a request to a server that refuses is answered %s", response.Status)
	}
	close(release)
	if got := <-responses; got != "whole" {
		t.Errorf("the request in progress got %q, want the whole answer", got)
	}
	cancel()
	<-run.done
}

// A server that leaves ends the connections that its callers keep open: each
// after its next answer, and those without one once it refuses.
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
			t.Errorf("the answer is %q", text)
		}
		return response.Close, err
	}
	for _, c := range []*http.Client{active, idle} {
		if closes, err := get(c); closes || err != nil {
			t.Errorf("before it leaves, the server ends a connection: %v %v", closes, err)
		}
	}
	notReady.Store(true)
	if closes, err := get(active); !closes || err != nil {
		t.Errorf("while it can't serve, the server keeps a connection: %v %v", closes, err)
	}
	notReady.Store(false)
	server.CloseAfterResponse()
	if closes, err := get(active); !closes || err != nil {
		t.Errorf("after an answer the connection stays: %v %v", closes, err)
	}
	server.RefuseConnections()
	if _, err := get(idle); err == nil {
		t.Error("a request on an idle connection is answered by a server that refuses")
	}
	cancel()
	<-run.done
}

// A server that waits listens only after that.
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
		t.Errorf("listens at %s before it may", address)
	}
	close(ready)
	if _, err := server.Address(ctx); err != nil {
		t.Error(err)
	}
	cancel()
	<-run.done
}
