// Package yuccatarget implements a simulated target: an HTTP server whose tasks
// sleep, fail, hang or drop the connection, as configured or as the task's payload
// requests.
//
// The target announces itself to its side and renews the announcement. It can
// append the start and the end of each task to a journal of JSON lines, from which
// repeated starts can be detected.
//
// # Usage
//
//	target := yuccatarget.New(yuccatarget.Options{...})
//	supervisor.Add(target)
//	target.Leave(ctx) // before the process exits
//	// a task's payload: {"sleep": "50ms", "status": 200, "result": {"ok": true}}
package yuccatarget

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccaheader"
	"github.com/yuccaturn/yuccaturn/yuccahistory"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
)

const (
	renewInterval     = time.Second
	requestTimeout    = time.Second
	maxBodyBytes      = 8 << 20
	leavePollInterval = 10 * time.Millisecond
)

// Options configures a Target. Journal and Logger are optional, and the zero
// Behaviour answers at once with status 200. All other fields are required.
type Options struct {
	// Service is the name of the service that the target runs.
	Service string
	// Listen is the loopback address of the target's HTTP server.
	Listen string
	// Side is the base URL of the side's listener for targets.
	Side string
	// Slots and Connections are announced to the side.
	Slots       int
	Connections int
	// Behaviour is the default behaviour of tasks, which their payload can override.
	Behaviour Behaviour
	// Node and DataCentre identify the target in the journal.
	Node       string
	DataCentre string
	// Journal receives a JSON line for each event, see [yuccahistory.Event].
	Journal io.Writer
	Logger  *slog.Logger
}

// Behaviour describes how the target executes a task.
type Behaviour struct {
	// Sleep is the run time of the task.
	Sleep time.Duration
	// Status is the HTTP status of the response; zero means 200.
	Status int
	// Hang makes the task block until the request is cancelled.
	Hang bool
	// Drop closes the connection at the end of the task without a response.
	Drop bool
}

// payload is the request body of a task. Its fields override the default
// [Behaviour]; Result is the body of the response.
type payload struct {
	Sleep  string          `json:"sleep"`
	Status int             `json:"status"`
	Hang   bool            `json:"hang"`
	Drop   bool            `json:"drop"`
	Result json.RawMessage `json:"result"`
}

// announcement is the request body of an announcement to the side.
type announcement struct {
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// Target is a simulated target. It is a suture service.
type Target struct {
	options   Options
	client    *http.Client
	address   atomic.Value
	starts    atomic.Int64
	running   atomic.Int64
	journalMu sync.Mutex
	leaving   atomic.Bool
}

// New returns a target. It starts to listen with [Target.Serve].
func New(options Options) *Target {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Target{options: options, client: &http.Client{Timeout: requestTimeout}}
}

// Starts returns the number of tasks started so far.
func (t *Target) Starts() int64 { return t.starts.Load() }

// Serve serves tasks and renews the announcement until the context ends. It
// terminates the supervisor tree if the target can't listen on its address.
func (t *Target) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", t.options.Listen)
	if err != nil {
		return errors.Join(suture.ErrTerminateSupervisorTree, merry.Prependf(err, "listening on %s", t.options.Listen))
	}
	t.address.Store("http://" + listener.Addr().String())
	server := &http.Server{Handler: t.Handler(), ReadHeaderTimeout: requestTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	a := &announcer{target: t}
	go a.run(ctx)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

// announcer announces the target to the side every renewInterval.
type announcer struct{ target *Target }

func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	registered := false
	for {
		err := a.target.announce(ctx)
		if registered != (err == nil) {
			registered = err == nil
			a.target.options.Logger.Info("registration with the side changed", "known", registered, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Target) announce(ctx context.Context) error {
	body, err := json.Marshal(announcement{
		Address: t.address.Load().(string), Slots: t.options.Slots,
		Connections: t.options.Connections, Leaving: t.leaving.Load(),
	})
	if err != nil {
		return err
	}
	return t.callSide(ctx, http.MethodPut, body)
}

// callSide sends a request about this target to the side. It returns an error if the
// response status is 400 or above.
func (t *Target) callSide(ctx context.Context, method string, body []byte) error {
	url := t.options.Side + "/v1/targets/" + t.options.Service
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := t.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("side returned %s: %s", response.Status, text)
	}
	return nil
}

// Leave announces to the side that the target accepts no further tasks, waits for
// running tasks and then withdraws the announcement. If the context ends first, the
// announcement is left to expire.
func (t *Target) Leave(ctx context.Context) {
	t.leaving.Store(true)
	t.record(yuccahistory.TargetLeaving, nil)
	_ = t.announce(ctx)
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for t.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	_ = t.callSide(ctx, http.MethodDelete, nil)
}

// Handler returns the handler that executes tasks.
func (t *Target) Handler() http.Handler { return http.HandlerFunc(t.handleTask) }

func (t *Target) handleTask(w http.ResponseWriter, r *http.Request) {
	ctx, span := yuccatrace.Start(yuccatrace.Extract(r.Context(), r.Header), "target.task")
	defer span.End()
	t.starts.Add(1)
	t.running.Add(1)
	defer t.running.Add(-1)
	t.record(yuccahistory.Started, r.Header)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, result := t.behaviourFor(body)
	if !b.wait(ctx) {
		t.record(yuccahistory.Interrupted, r.Header)
		return
	}
	t.record(yuccahistory.Finished, r.Header)
	if b.Drop {
		panic(http.ErrAbortHandler)
	}
	if result == nil {
		result = body
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(b.Status)
	_, _ = w.Write(result)
}

// wait blocks for the run time of the task. It returns false if the request is
// cancelled before.
func (b Behaviour) wait(ctx context.Context) bool {
	if b.Hang {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(b.Sleep)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// behaviourFor returns the behaviour and the result for a task with the given body.
// A body that is not a valid payload is ignored.
func (t *Target) behaviourFor(body []byte) (Behaviour, []byte) {
	b := t.options.Behaviour
	if b.Status == 0 {
		b.Status = http.StatusOK
	}
	var p payload
	if json.Unmarshal(body, &p) != nil {
		return b, nil
	}
	if sleep, err := time.ParseDuration(p.Sleep); err == nil {
		b.Sleep = sleep
	}
	if p.Status >= http.StatusOK && p.Status < 1000 {
		b.Status = p.Status
	}
	b.Hang = b.Hang || p.Hang
	b.Drop = b.Drop || p.Drop
	return b, p.Result
}

// record appends an event to the journal, if there is one. The header is that of the
// task's request, nil for an event that concerns no task.
func (t *Target) record(kind yuccahistory.Kind, header http.Header) {
	if t.options.Journal == nil {
		return
	}
	attempt, _ := strconv.ParseUint(header.Get(yuccaheader.Attempt), 10, 32)
	line, err := json.Marshal(yuccahistory.Event{
		At: time.Now().UTC(), Kind: kind, Node: t.options.Node, DataCentre: t.options.DataCentre,
		Job: header.Get(yuccaheader.Job), Task: header.Get(yuccaheader.Task), Attempt: uint32(attempt),
	})
	if err != nil {
		return
	}
	t.journalMu.Lock()
	defer t.journalMu.Unlock()
	if _, err := t.options.Journal.Write(append(line, '\n')); err != nil {
		t.options.Logger.Error("journal write failed", "error", err)
	}
}
