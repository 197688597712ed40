package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxHold        = time.Second
	stopTime       = 20 * time.Millisecond
	failTime       = 300 * time.Millisecond
	maxListedEnds  = 500
	maxWait        = 2 * time.Second
	beatTimeout    = time.Second
	beatRetry      = 100 * time.Millisecond
	defaultRunTime = 200 * time.Millisecond
)

// worker runs tasks as the protocol says. What a task does is in its payload: "ms=900" runs for 900 ms.
type worker struct {
	id, address, control, service, zone, label string
	cpuMilli, memoryMB                         int
	beatInterval, suspendTime, downTime        time.Duration
	lateAfterLoss                              time.Duration
	lateStarts                                 bool
	record                                     *recorder
	startedAt                                  time.Time

	mu       sync.Mutex
	token    int64
	deadline int64
	running  map[string]*taskRun
	highest  map[string]uint64
	ends     []runEnd
	lastEnd  int64
	ended    chan struct{}
	draining bool
	sequence int64
	// tried are the runs of which a start has come, failing are the tasks whose first run fails. late are the starts
	// that have had no answer and are not carried out yet.
	tried, failing map[string]bool
	late           []startRequest
	isDown         bool
	// suspended is how long the machine was suspended in total, which its steady clock doesn't count.
	suspended time.Duration
}

// taskRun is a run in progress, which ends at a time of the worker's clock.
type taskRun struct {
	task   string
	run    uint64
	endsAt int64
	// stopsAt is when the stop of the run ends, zero if it is not being stopped.
	stopsAt int64
	// failsAt is when the run fails by its own fault, zero if it doesn't.
	failsAt int64
}

type runEnd struct {
	number int64
	task   string
	run    uint64
	how    string
}

type startRequest struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

type callReply struct {
	ClockMs int64  `json:"clockMs"`
	Reason  string `json:"reason,omitempty"`
}

type holdReply struct {
	ClockMs   int64   `json:"clockMs"`
	Born      int64   `json:"born"`
	Running   [][]any `json:"running"`
	EndedRuns [][]any `json:"endedRuns"`
}

type capacity struct {
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	GPU   int `json:"gpu"`
}

type heartbeat struct {
	Service         string   `json:"service"`
	Address         string   `json:"address"`
	Zone            string   `json:"zone"`
	Version         string   `json:"version"`
	Slots           int      `json:"slots"`
	State           string   `json:"state"`
	ColdRemainingMs int      `json:"coldRemainingMs"`
	Capacity        capacity `json:"capacity"`
	Labels          []string `json:"labels"`
	ClockMs         int64    `json:"clockMs"`
	Seq             int64    `json:"seq"`
	Born            int64    `json:"born"`
}

func runWorker(ctx context.Context, arguments []string) (int, error) {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	w := &worker{startedAt: time.Now(), running: make(map[string]*taskRun), highest: make(map[string]uint64), tried: make(map[string]bool), failing: make(map[string]bool), ended: make(chan struct{})}
	flags.StringVar(&w.id, "id", "", "ID of the worker")
	flags.StringVar(&w.address, "address", "", "address to listen at")
	flags.StringVar(&w.control, "control", "", "control address of the side")
	flags.StringVar(&w.service, "service", "", "service")
	flags.StringVar(&w.zone, "zone", "", "zone")
	flags.StringVar(&w.label, "label", "a", "label of its kind")
	flags.IntVar(&w.cpuMilli, "cpu", 16000, "thousandths of a core")
	flags.IntVar(&w.memoryMB, "memory", 32768, "megabytes")
	flags.DurationVar(&w.suspendTime, "suspend", 3*time.Second, "how long a SIGUSR1 suspends the machine")
	flags.BoolVar(&w.lateStarts, "late-starts", false, "leave the first start of each of the first two runs unanswered, carry it out after a SIGUSR2, and fail the first run after 300 ms")
	flags.DurationVar(&w.downTime, "down", 600*time.Millisecond, "how long a SIGUSR2 takes the power from the machine")
	flags.DurationVar(&w.lateAfterLoss, "late-after", 100*time.Millisecond, "when late starts are carried out after the power is back")
	flags.DurationVar(&w.beatInterval, "beat", 1500*time.Millisecond, "interval of heartbeats")
	path := flags.String("record", "record.txt", "file for the record")
	if err := flags.Parse(arguments); err != nil {
		return 0, err
	}
	record, err := newRecorder(*path, w.id)
	if err != nil {
		return 0, err
	}
	w.record = record
	return 0, w.serve(ctx)
}

func (w *worker) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("listening for the side: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handleStart)
	mux.HandleFunc("POST /-/run-stop", w.handleStop)
	mux.HandleFunc("POST /-/hold", w.handleHold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	w.record.note("worker up born=%d zone=%s", w.startedAt.UnixMilli(), w.zone)
	b := &beater{worker: w, client: &http.Client{Timeout: beatTimeout}}
	go b.run(ctx)
	l := &runWatch{worker: w}
	go l.run(ctx)
	m := &machine{worker: w, signals: make(chan os.Signal, 1)}
	signal.Notify(m.signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go m.run(ctx)
	c := &serverCloser{server: server}
	go c.run(ctx)
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}

// serverCloser closes a server when the context ends.
type serverCloser struct{ server *http.Server }

func (c *serverCloser) run(ctx context.Context) {
	<-ctx.Done()
	_ = c.server.Close()
}

// machine suspends the worker's machine for suspendTime at a SIGUSR1: nothing is done meanwhile, and the steady clock
// doesn't count the time. The process of the side on this machine has to be stopped for as long. At a SIGUSR2 the machine
// loses power for downTime; the worker starts again under its ID, and knows nothing of before.
type machine struct {
	worker  *worker
	signals chan os.Signal
}

func (m *machine) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-m.signals:
			if s == syscall.SIGUSR1 {
				m.suspend()
			} else {
				m.losePower()
			}
		}
	}
}

func (m *machine) losePower() {
	w := m.worker
	w.mu.Lock()
	w.isDown = true
	for _, r := range w.running {
		w.end(r, "crashed")
	}
	w.record.note("lost power")
	w.mu.Unlock()
	time.Sleep(w.downTime)
	w.mu.Lock()
	w.startedAt, w.suspended, w.isDown = time.Now(), 0, false
	w.token, w.deadline, w.ends, w.lastEnd, w.sequence = 0, 0, nil, 0, 0
	clear(w.highest)
	w.record.note("worker up born=%d zone=%s", w.startedAt.UnixMilli(), w.zone)
	w.mu.Unlock()
	time.Sleep(w.lateAfterLoss)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, late := range w.late {
		status, reason := w.start(late)
		w.record.note("late start %s run=%d carried out: %d %s", late.Task, late.RunID, status, reason)
	}
	w.late = nil
}

func (m *machine) suspend() {
	w := m.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.note("suspended runs=%d", len(w.running))
	began := time.Now()
	time.Sleep(w.suspendTime)
	w.suspended += time.Since(began)
	w.record.note("resumed runs=%d", len(w.running))
}

// runWatch ends the runs that are done or stopped, and all of them when the lease of the worker expires.
type runWatch struct{ worker *worker }

func (l *runWatch) run(ctx context.Context) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.worker.endRuns()
		}
	}
}

func (w *worker) endRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock()
	for _, r := range w.running {
		switch {
		case now > w.deadline:
			w.end(r, "lapsed")
		case r.failsAt > 0 && now >= r.failsAt:
			w.end(r, "failed")
		case r.stopsAt > 0 && now >= r.stopsAt:
			w.end(r, "stopped")
		case now >= r.endsAt:
			w.end(r, "done")
		}
	}
}

// clock returns the steady clock of the worker in milliseconds. The caller must hold w.mu.
func (w *worker) clock() int64 { return (time.Since(w.startedAt) - w.suspended).Milliseconds() + 1 }

// end ends a run. The caller must hold w.mu.
func (w *worker) end(r *taskRun, how string) {
	key := runName(r.task, r.run)
	if w.running[key] != r {
		return
	}
	delete(w.running, key)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, runEnd{number: w.lastEnd, task: r.task, run: r.run, how: how})
	w.record.note("end %s run=%d how=%s", r.task, r.run, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

func runName(task string, run uint64) string { return task + " " + strconv.FormatUint(run, 10) }

func (w *worker) decode(r *http.Request) (startRequest, int) {
	var body startRequest
	w.mu.Lock()
	isDown := w.isDown
	w.mu.Unlock()
	if isDown {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		return body, http.StatusMisdirectedRequest
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return body, http.StatusBadRequest
	}
	return body, http.StatusOK
}

// fence reports whether the call has a lower token than one before. The caller must hold w.mu.
func (w *worker) fence(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extend extends the lease of all runs. The caller must hold w.mu.
func (w *worker) extend(deadlineMs int64) {
	w.deadline = max(w.deadline, min(deadlineMs, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) handleStart(out http.ResponseWriter, r *http.Request) {
	body, status := w.decode(r)
	if status != http.StatusOK {
		out.WriteHeader(status)
		return
	}
	w.mu.Lock()
	if key := runName(body.Task, body.RunID); w.lateStarts && body.RunID <= 2 && !w.tried[key] {
		w.tried[key] = true
		w.failing[body.Task] = body.RunID == 1
		w.late = append(w.late, body)
		w.record.note("unanswered start of %s run=%d", body.Task, body.RunID)
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reason := w.start(body)
	clock := w.clock()
	w.mu.Unlock()
	write(out, status, callReply{ClockMs: clock, Reason: reason})
}

// start starts a run. The caller must hold w.mu.
func (w *worker) start(body startRequest) (status int, reason string) {
	switch {
	case w.fence(body.FencingToken):
		return http.StatusConflict, "fence"
	case w.running[runName(body.Task, body.RunID)] != nil:
		w.extend(body.DeadlineMs)
		return http.StatusOK, ""
	case body.RunID <= w.highest[body.Task]:
		w.extend(body.DeadlineMs)
		return http.StatusConflict, "old"
	case body.DeadlineMs <= w.clock():
		return http.StatusConflict, "late"
	}
	w.extend(body.DeadlineMs)
	t := &taskRun{task: body.Task, run: body.RunID, endsAt: w.clock() + runTime(body.Spec).Milliseconds()}
	if w.failing[t.task] {
		t.failsAt = w.clock() + failTime.Milliseconds()
	}
	w.running[runName(t.task, t.run)] = t
	w.record.note("start %s run=%d zone=%s token=%d", t.task, t.run, w.zone, body.FencingToken)
	return http.StatusOK, ""
}

// runTime returns how long a task with the payload runs.
func runTime(spec string) time.Duration {
	if ms, found := strings.CutPrefix(spec, "ms="); found {
		if n, err := strconv.Atoi(ms); err == nil {
			return time.Duration(n) * time.Millisecond
		}
	}
	return defaultRunTime
}

func (w *worker) handleStop(out http.ResponseWriter, r *http.Request) {
	body, status := w.decode(r)
	if status != http.StatusOK {
		out.WriteHeader(status)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fence(body.FencingToken) {
		write(out, http.StatusConflict, callReply{ClockMs: w.clock(), Reason: "fence"})
		return
	}
	w.highest[body.Task] = max(w.highest[body.Task], body.RunID)
	if t := w.running[runName(body.Task, body.RunID)]; t != nil && t.stopsAt == 0 {
		t.stopsAt = w.clock() + stopTime.Milliseconds()
	}
	write(out, http.StatusOK, callReply{ClockMs: w.clock()})
}

func (w *worker) handleHold(out http.ResponseWriter, r *http.Request) {
	body, status := w.decode(r)
	if status != http.StatusOK {
		out.WriteHeader(status)
		return
	}
	w.mu.Lock()
	if w.fence(body.FencingToken) {
		reply := callReply{ClockMs: w.clock(), Reason: "fence"}
		w.mu.Unlock()
		write(out, http.StatusConflict, reply)
		return
	}
	w.extend(body.DeadlineMs)
	for len(w.ends) > 0 && w.ends[0].number <= body.AckCursor {
		w.ends = w.ends[1:]
	}
	hasEnds, ended := len(w.ends) > 0, w.ended
	w.mu.Unlock()
	if wait := min(time.Duration(body.WaitMs)*time.Millisecond, maxWait); wait > 0 && !hasEnds {
		select {
		case <-ended:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
	}
	write(out, http.StatusOK, w.lists())
}

func (w *worker) lists() holdReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := holdReply{ClockMs: w.clock(), Born: w.startedAt.UnixMilli(), Running: [][]any{}, EndedRuns: [][]any{}}
	for _, t := range w.running {
		reply.Running = append(reply.Running, []any{t.task, t.run, "", 100, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		reply.EndedRuns = append(reply.EndedRuns, []any{e.number, e.task, e.run, e.how, ""})
	}
	return reply
}

func write(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

// beater sends the heartbeats of the worker to its side.
type beater struct {
	worker *worker
	client *http.Client
}

func (b *beater) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := beatRetry
		if b.beat(ctx) {
			delay = b.worker.beatInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// beat sends a heartbeat, and reports whether it was acknowledged.
func (b *beater) beat(ctx context.Context) bool {
	w := b.worker
	w.mu.Lock()
	w.sequence++
	body := heartbeat{
		Service: w.service, Address: w.address, Zone: w.zone, Version: "v1", Slots: 8, State: "ready",
		Capacity: capacity{CPU: w.cpuMilli, MemMb: w.memoryMB}, Labels: []string{w.label, "r-" + w.zone},
		ClockMs: w.clock(), Seq: w.sequence, Born: w.startedAt.UnixMilli(),
	}
	if w.draining {
		body.State = "draining"
	}
	isDown := w.isDown
	w.mu.Unlock()
	if isDown {
		return false
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/-/instances/"+w.id, bytes.NewReader(encoded))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode/100 == 2
}
