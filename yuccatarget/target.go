// Package yuccatarget is a stand-in for a target: an HTTP server whose tasks
// sleep, fail, hang or answer late, as its settings or the task's payload say.
//
// It announces itself to its side, renews, and leaves when it stops. Each start
// and its end are appended to a journal, a JSON line each, so that anyone can
// count starts.
//
// # Usage
//
//	target, err := yuccatarget.New(yuccatarget.Options{...})
//	supervisor.Add(target)
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

// Options holds what a target needs. All fields but Journal and Logger are
// required.
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
	// Behaviour is what a task does where its payload says nothing.
	Behaviour Behaviour
	// Node and DataCentre name the target in its journal.
	Node       string
	DataCentre string
	// Journal takes a JSON line for each event, or is nil.
	Journal io.Writer
	Logger  *slog.Logger
}

// Behaviour is what a task does.
type Behaviour struct {
	// Sleep is the time until the answer.
	Sleep time.Duration
	// Status is the status of the answer; zero means 200.
	Status int
	// Hang never answers.
	Hang bool
	// Drop closes the connection without an answer.
	Drop bool
}

// payload is what a task's body may say.
type payload struct {
	Sleep  string          `json:"sleep"`
	Status int             `json:"status"`
	Hang   bool            `json:"hang"`
	Drop   bool            `json:"drop"`
	Result json.RawMessage `json:"result"`
}

// announcement is what the side's listener for targets takes.
type announcement struct {
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// Target is the stand-in. It is a suture service.
type Target struct {
	options   Options
	client    *http.Client
	address   atomic.Value
	starts    atomic.Int64
	running   atomic.Int64
	journalMu sync.Mutex
	leaving   atomic.Bool
}

// New returns a target that does not listen yet.
func New(options Options) *Target {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Target{options: options, client: &http.Client{Timeout: requestTimeout}}
}

// Starts is the number of tasks that were started.
func (t *Target) Starts() int64 { return t.starts.Load() }

// Serve runs the target until the context ends.
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

// announcer renews the announcement until the context ends.
type announcer struct{ target *Target }

func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	registered := false
	for {
		err := a.target.announce(ctx)
		if registered != (err == nil) {
			registered = err == nil
			a.target.options.Logger.Info("announcement changed", "known", registered, "error", err)
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
		return fmt.Errorf("the side answered %s: %s", response.Status, text)
	}
	return nil
}

// Leave asks the side for no further tasks, and after the running ones takes
// the announcement back.
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

// Handler serves tasks.
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
		t.record(yuccahistory.Cut, r.Header)
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

// wait lets the task take its time. It returns false when the caller is gone.
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

// behaviour returns what the payload asks for, or else the settings.
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

// record appends an event to the journal.
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
		t.options.Logger.Error("journal can't be written", "error", err)
	}
}
