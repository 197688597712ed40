package yuccadriver_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadriver"
	"github.com/yuccaturn/yuccaturn/yuccajsonpost"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

func TestResultOfConnect(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want yuccaworker.Result
	}{
		"accepted":            {nil, yuccaworker.ResultOK},
		"refused":             {&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, yuccaworker.ResultUnreachable},
		"timed out":           {&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, yuccaworker.ResultUnknown},
		"too many open files": {&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, yuccaworker.ResultInvalid},
	} {
		if got := yuccadriver.ResultOfConnect(c.err); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// Nobody accepts the connections, as in a process that stands still.
func TestStandingProcessAcceptsConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := yuccajsonpost.NewClient(yuccajsonpost.Options{MaxConnections: 1})
	for range 20 {
		if err := client.Connect(t.Context(), listener.Addr().String(), time.Now(), time.Second); err != nil {
			t.Fatal(err)
		}
	}
}
