package yuccaserver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaserver"
)

// The process handles a request some time after the kernel has received it, as after a standstill.
func TestRequestThatHasWaitedInTheSocketIsNotTakenForNew(t *testing.T) {
	const wait, rounding = 300 * time.Millisecond, 20 * time.Millisecond
	ages := make(chan time.Duration, 1)
	server := yuccaserver.New("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(wait)
		_, _ = io.ReadAll(r.Body)
		ages <- time.Since(yuccaserver.ReceivedAt(r.Context()))
	}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	run := &serverRun{server: server, done: make(chan error, 1)}
	go run.run(ctx)
	address, err := server.Address(ctx)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
	if age := <-ages; age < wait-rounding {
		t.Errorf("the request is %v old, want %v at least", age, wait)
	}
}

func TestRequestOfAnotherServerIsNew(t *testing.T) {
	if age := time.Since(yuccaserver.ReceivedAt(t.Context())); age > time.Minute {
		t.Errorf("the request is %v old", age)
	}
}
