package yuccacommand

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

// echoLoop answers its requests from an event loop, as entries do.
type echoLoop struct{ requests chan chan<- string }

func (l *echoLoop) Serve(ctx context.Context) error {
	for {
		select {
		case answer := <-l.requests:
			answer <- "done"
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *echoLoop) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer := make(chan string, 1)
	l.requests <- answer
	_, _ = io.WriteString(w, <-answer)
}

// testProcess is a process with a server, and a connection to it.
type testProcess struct {
	signals chan os.Signal
	drained chan struct{}
	done    chan error
	conn    net.Conn
	reader  *bufio.Reader
}

func startProcess(t *testing.T, drainTimeout time.Duration) *testProcess {
	loop := &echoLoop{requests: make(chan chan<- string)}
	server := yuccaserver.New("127.0.0.1:0", loop)
	p := &process{
		settings: &yuccasettings.Settings{Process: yuccasettings.Process{Name: "p", DrainTimeout: drainTimeout}},
		logger:   slog.New(slog.DiscardHandler),
	}
	run := &testProcess{signals: make(chan os.Signal, 1), drained: make(chan struct{}), done: make(chan error, 1)}
	p.drain = func(context.Context) int {
		close(run.drained)
		return 0
	}
	p.add(loop, server)
	go func() { run.done <- p.serve(run.signals) }()
	address, err := server.Address(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if run.conn, err = net.Dial("tcp", address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = run.conn.Close() })
	run.reader = bufio.NewReader(run.conn)
	return run
}

// write sends a part of a request.
func (p *testProcess) write(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(p.conn, text); err != nil {
		t.Fatal(err)
	}
}

// check reads a response.
func (p *testProcess) check(t *testing.T, status int, closes bool) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(p.reader, nil)
	if err == nil && response.StatusCode == http.StatusContinue && status != http.StatusContinue {
		response, err = http.ReadResponse(p.reader, nil)
	}
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if _, err := io.ReadAll(response.Body); err != nil || response.StatusCode != status || response.Close != closes {
		t.Errorf("got %s, connection closed %v, error %v, want %d, closed %v", response.Status, response.Close, err, status, closes)
	}
	return response
}

const (
	earlierRequest = "POST / HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n\r\n"
	requestHeader  = "POST / HTTP/1.1\r\nHost: p\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n"
	requestText    = requestHeader + "all of it"
)

// partsRead are how far a request is read when the process gets its signal.
var partsRead = map[string]struct {
	isKept bool
	bytes  int
}{
	"header":                      {bytes: 20},
	"header on a kept connection": {isKept: true, bytes: 20},
	"body":                        {bytes: len(requestHeader) + 2},
	"body on a kept connection":   {isKept: true, bytes: len(requestHeader) + 2},
}

// sendPart sends a part of a request and returns once the server has its connection, and the handler its header.
func (p *testProcess) sendPart(t *testing.T, bytes int, isKept bool) {
	t.Helper()
	if isKept {
		p.write(t, earlierRequest)
		p.check(t, http.StatusOK, false)
	}
	p.write(t, requestText[:bytes])
	if bytes > len(requestHeader) {
		p.check(t, http.StatusContinue, false)
	}
	// The server accepts connections in turn.
	response, err := http.Post("http://"+p.conn.RemoteAddr().String(), "", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// The event loop ended before the server, which dropped requests whose header it was reading.
func TestRequestThatIsReadDuringADrainGetsNoAnswer(t *testing.T) {
	for name, part := range partsRead {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, time.Minute)
			p.sendPart(t, part.bytes, part.isKept)
			p.signals <- syscall.SIGTERM
			<-p.drained
			p.write(t, requestText[part.bytes:])
			p.check(t, http.StatusOK, true)
			if err := <-p.done; err != nil {
				t.Error(err)
			}
		})
	}
}

// The connection was closed without a word, 5 s after the signal.
func TestRequestThatIsNotReadToItsEndIsNotRefused(t *testing.T) {
	for name, part := range partsRead {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, 100*time.Millisecond)
			p.sendPart(t, part.bytes, part.isKept)
			p.signals <- syscall.SIGTERM
			response := p.check(t, http.StatusServiceUnavailable, true)
			if response.Header.Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After")
			}
			_ = p.conn.Close()
			if err := <-p.done; err != nil {
				t.Error(err)
			}
		})
	}
}
