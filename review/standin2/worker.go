package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a task that is at work.
type run struct {
	task     string
	id       int64
	timer    *time.Timer
	startAt  time.Time
	stopping bool
}

type ended struct {
	n    int64
	task string
	id   int64
	how  string
}

// begun is a start that a worker has carried out, for the checks.
type begun struct {
	at     time.Time
	worker string
	zone   string
	task   string
	run    int64
	spec   string
	endAt  time.Time
	how    string
}

// worker is a stand-in of a worker as PROTOCOL.md describes it ("Running tasks").
// The work of a task is the number of milliseconds at the begin of its spec.
type worker struct {
	rec              *recorder
	id, addr, side   string
	zone             string
	bornMs           int64
	bornAt           time.Time
	server           *http.Server
	listener         net.Listener
	heartbeatsPaused bool

	mu       sync.Mutex
	state    string
	seq      int64
	token    int64
	deadline int64
	lapse    *time.Timer
	running  map[string]*run
	highest  map[string]int64 // highest run that was stopped or has ended, by task
	ends     []ended
	lastEnd  int64
	changed  chan struct{}
	begun    []*begun
	acked    map[string]time.Time // first acknowledged heartbeat with this state
	closed   chan struct{}
	cpu      int
	// onStart and onEnd are called for each run, if they are set.
	onStart func(task string, run int64)
	onEnd   func(task string, run int64, how string)
}

func newWorker(rec *recorder, addr, side, zone string) *worker {
	now := time.Now()
	return &worker{
		rec: rec, id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: addr, side: side, zone: zone, bornMs: now.UnixMilli(), bornAt: now, state: "ready", cpu: 16000,
		running: make(map[string]*run), highest: make(map[string]int64), changed: make(chan struct{}), acked: make(map[string]time.Time), closed: make(chan struct{}),
	}
}

func (w *worker) clock() int64 { return time.Since(w.bornAt).Milliseconds() }

func (w *worker) serve() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /-/run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /-/hold", w.handle(w.hold))
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(200) })
	w.listener = l
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	return nil
}

func (w *worker) close() {
	select {
	case <-w.closed:
	default:
		close(w.closed)
	}
	_ = w.server.Close()
}

func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.sendBeat(client)
		select {
		case <-w.closed:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) sendBeat(client *http.Client) {
	w.mu.Lock()
	w.seq++
	state := w.state
	body := map[string]any{
		"service": serviceKey, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clockMs": w.clock(), "seq": w.seq, "born": w.bornMs,
	}
	if state == "draining" {
		body["remainingMs"] = 60000
	}
	w.mu.Unlock()
	text, _ := json.Marshal(body)
	req, _ := http.NewRequest("PUT", "http://"+w.side+"/-/instances/"+w.id, bytes.NewReader(text))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode/100 == 2 {
		w.mu.Lock()
		if _, ok := w.acked[state]; !ok {
			w.acked[state] = time.Now()
			w.rec.log("worker %s: heartbeat %s acknowledged", w.id, state)
		}
		w.mu.Unlock()
	}
}

type call struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

func (w *worker) handle(f func(c call) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			rw.WriteHeader(400)
			return
		}
		if e := r.Header.Get("Expected-Instance"); e != "" && e != w.id {
			rw.WriteHeader(421)
			return
		}
		status, body := f(c)
		body["clockMs"] = w.clock()
		body["born"] = w.bornMs
		text, _ := json.Marshal(body)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_, _ = rw.Write(text)
	}
}

// fenced reports whether the token is too low, and notes it otherwise.
func (w *worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extend takes a deadline over, at most maxHoldMs from now.
func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	deadline = min(deadline, w.clock()+maxHoldMs)
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Duration(deadline-w.clock())*time.Millisecond, w.lapseAll)
}

func (w *worker) lapseAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock() < w.deadline {
		return
	}
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

func (w *worker) end(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	r.timer.Stop()
	w.highest[r.task] = max(w.highest[r.task], r.id)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.task, r.id, how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.rec.log("worker %s: end %s run %d %s", w.id, r.task, r.id, how)
	if w.onEnd != nil {
		w.onEnd(r.task, r.id, how)
	}
	for _, b := range w.begun {
		if b.task == r.task && b.run == r.id {
			b.endAt, b.how = time.Now(), how
		}
	}
}

func workOf(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.SplitN(spec, " ", 2)[0])
	if err != nil {
		ms = 60
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) runStart(c call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c.FencingToken) {
		return 409, map[string]any{"reason": "fence"}
	}
	if r := w.running[c.Task]; r != nil && r.id == c.RunID {
		w.extend(c.DeadlineMs)
		return 200, map[string]any{}
	}
	if c.RunID <= w.highest[c.Task] {
		w.extend(c.DeadlineMs)
		return 409, map[string]any{"reason": "old"}
	}
	if c.DeadlineMs != 0 && c.DeadlineMs <= w.clock() && w.deadline <= w.clock() {
		return 409, map[string]any{"reason": "late"}
	}
	w.extend(c.DeadlineMs)
	r := &run{task: c.Task, id: c.RunID, startAt: time.Now()}
	w.running[c.Task] = r
	w.begun = append(w.begun, &begun{at: r.startAt, worker: w.id, zone: w.zone, task: c.Task, run: c.RunID, spec: c.Spec})
	w.rec.log("worker %s: start %s run %d token %d", w.id, c.Task, c.RunID, c.FencingToken)
	if w.onStart != nil {
		w.onStart(c.Task, c.RunID)
	}
	r.timer = time.AfterFunc(workOf(c.Spec), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, "done")
	})
	return 200, map[string]any{}
}

func (w *worker) runStop(c call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c.FencingToken) {
		return 409, map[string]any{"reason": "fence"}
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.RunID)
	if r := w.running[c.Task]; r != nil && r.id <= c.RunID && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopMs/2*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	return 200, map[string]any{}
}

func (w *worker) hold(c call) (int, map[string]any) {
	w.mu.Lock()
	if w.fenced(c.FencingToken) {
		w.mu.Unlock()
		return 409, map[string]any{"reason": "fence"}
	}
	w.extend(c.DeadlineMs)
	for len(w.ends) > 0 && w.ends[0].n <= c.AckCursor {
		w.ends = w.ends[1:]
	}
	if c.WaitMs > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running, ends := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.id, "", 50, 1000})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ends = append(ends, []any{e.n, e.task, e.id, e.how, ""})
	}
	return 200, map[string]any{"running": running, "endedRuns": ends}
}

// starts returns what the worker has begun so far.
func (w *worker) starts() []begun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []begun
	for _, b := range w.begun {
		l = append(l, *b)
	}
	return l
}
