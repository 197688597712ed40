package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The stand-in of a worker follows PROTOCOL.md, "Running tasks" and "Service discovery". The
// text of a job is JSON that says how long each of its tasks takes, and which run of it fails after
// how long: {"ms": 2500, "failedRun": 1, "failedAfterMs": 300}.
type worker struct {
	id, service, address, zone, control string
	labels                              []string
	cpu, mem                            int
	born                                int64
	start                               time.Time
	record                              *record

	mu       sync.Mutex
	token    int64
	deadline int64
	runs     map[string]*run
	ends     []end
	lastEnd  int64
	closed   map[string]uint64 // the highest run of a task that has ended or was stopped
	changed  chan struct{}
	seq      int64
}

type run struct {
	number uint64
	until  int64
	how    string
}

type end struct {
	n    int64
	task string
	run  uint64
	how  string
}

type call struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

const maxHoldMs = 1000

func runWorker(args []string) error {
	w := &worker{start: time.Now(), born: time.Now().UnixMilli(), runs: map[string]*run{}, closed: map[string]uint64{}, changed: make(chan struct{})}
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	flags.StringVar(&w.id, "id", "", "id")
	flags.StringVar(&w.service, "service", "", "service")
	flags.StringVar(&w.address, "listen", "", "address")
	flags.StringVar(&w.zone, "zone", "", "zone")
	flags.StringVar(&w.control, "control", "", "address of the side")
	flags.IntVar(&w.cpu, "cpu", 16000, "thousandths of a core")
	flags.IntVar(&w.mem, "mem", 32768, "megabytes")
	labels := flags.String("labels", "a,r1-1", "labels")
	path := flags.String("record", "", "file for the record")
	if err := flags.Parse(args); err != nil {
		return err
	}
	w.labels = strings.Split(*labels, ",")
	file, err := openRecord(*path)
	if err != nil {
		return err
	}
	w.record = file
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.record.write("worker %s starts, born %d", w.id, w.born)
	go w.tick()
	go w.beat()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handleStart)
	mux.HandleFunc("POST /-/run-stop", w.handleStop)
	mux.HandleFunc("POST /-/hold", w.handleHold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	late, _ := strconv.ParseFloat(os.Getenv("LATE"), 64)
	lost, _ := strconv.ParseFloat(os.Getenv("LOST"), 64)
	return http.Serve(listener, unreliable(mux, late, lost))
}

// unreliable leaves a share of the calls unanswered: late ones are carried out 2 to 12 s later, of lost
// ones only the answer is missing.
func unreliable(next http.Handler, late, lost float64) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		x := rand.Float64()
		switch {
		case x < late:
			later := r.Clone(context.Background())
			later.Body = io.NopCloser(bytes.NewReader(body))
			time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() { next.ServeHTTP(httptest.NewRecorder(), later) })
			<-r.Context().Done()
		case x < late+lost:
			next.ServeHTTP(httptest.NewRecorder(), r)
			<-r.Context().Done()
		default:
			next.ServeHTTP(rw, r)
		}
	})
}

func (w *worker) clock() int64 { return time.Since(w.start).Milliseconds() }

func (w *worker) signal() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// finish ends a run. The caller holds the mutex.
func (w *worker) finish(task string, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.lastEnd++
	w.ends = append(w.ends, end{n: w.lastEnd, task: task, run: r.number, how: how})
	w.closed[task] = max(w.closed[task], r.number)
	w.record.write("worker %s run %s/%d ends %s", w.id, task, r.number, how)
	w.signal()
}

func (w *worker) tick() {
	for range time.Tick(2 * time.Millisecond) {
		w.mu.Lock()
		now := w.clock()
		for task, r := range w.runs {
			switch {
			case now >= w.deadline:
				w.finish(task, "lapsed")
			case now >= r.until:
				w.finish(task, r.how)
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) beat() {
	for {
		w.mu.Lock()
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": map[string]int{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": w.labels,
			"clockMs": w.clock(), "seq": w.seq, "born": w.born,
		})
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/-/instances/"+w.id, bytes.NewReader(body))
		wait := 1500 * time.Millisecond
		if err == nil {
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			if err != nil || response.StatusCode/100 != 2 {
				wait = 300 * time.Millisecond
			}
			if err == nil {
				_ = response.Body.Close()
			}
		}
		cancel()
		time.Sleep(wait)
	}
}

// decode reads a call and checks the incarnation and the token. The caller holds the mutex after
// success.
func (w *worker) decode(rw http.ResponseWriter, r *http.Request) (*call, bool) {
	c := new(call)
	if err := json.NewDecoder(r.Body).Decode(c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	w.mu.Lock()
	if c.FencingToken < w.token {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mu.Unlock()
		return nil, false
	}
	w.token = c.FencingToken
	return c, true
}

// answer writes a response with the worker's clock. The caller holds the mutex.
func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clock(), w.born
	text, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(text)
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHoldMs))
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if have := w.runs[c.Task]; have != nil && have.number == c.RunID {
		w.extend(c.DeadlineMs)
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	}
	if c.DeadlineMs <= w.clock() {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(c.DeadlineMs)
	if c.RunID <= w.closed[c.Task] || w.runs[c.Task] != nil {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	var spec struct {
		Ms, FailedRun, FailedAfterMs int64
	}
	_ = json.Unmarshal([]byte(c.Spec), &spec)
	started := &run{number: c.RunID, until: w.clock() + spec.Ms, how: "done"}
	if int64(c.RunID) == spec.FailedRun {
		started.until, started.how = w.clock()+spec.FailedAfterMs, "failed"
	}
	w.runs[c.Task] = started
	w.record.write("worker %s run %s/%d starts", w.id, c.Task, c.RunID)
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if have := w.runs[c.Task]; have != nil && have.number <= c.RunID {
		w.finish(c.Task, "stopped")
	}
	w.closed[c.Task] = max(w.closed[c.Task], c.RunID)
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	for len(w.ends) > 0 && w.ends[0].n <= c.AckCursor {
		w.ends = w.ends[1:]
	}
	w.extend(c.DeadlineMs)
	if len(w.ends) == 0 && c.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, "", 50, 1600})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "endedRuns": ended})
}

// record is a file to which several processes append lines.
type record struct{ file *os.File }

func openRecord(path string) (*record, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return &record{file: file}, err
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}
