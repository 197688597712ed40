package yuccasized

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// SimulatedWorkerOptions configures a simulated worker.
type SimulatedWorkerOptions struct {
	ID      string
	Service string
	// CPU and MemoryMB are the worker's capacity in cores and megabytes.
	CPU      float64
	MemoryMB int
	// Side is the address at which the side listens for its worker's reports. Only
	// Serve and Drain use it; it is empty if the owner of the worker delivers the
	// reports itself.
	Side string
	// Sleep is the run time of a task whose payload does not set one.
	Sleep  time.Duration
	Logger *slog.Logger
}

// SimulatedWorker is a worker whose tasks sleep. The payload of a task sets how
// long, and whether it fails then, {"sleep": "60ms", "fail": true}, or crashes the
// worker, {"sleep": "10ms", "crash": true}. A crashed worker answers no calls until it
// restarts as a new incarnation after simulatedDowntime. It is a suture service and
// implements [yuccadriver.WorkerClient].
type SimulatedWorker struct {
	options     SimulatedWorkerOptions
	incarnation yuccaworker.Incarnation
	startedAt   time.Time
	client      *http.Client

	mu             sync.Mutex
	runs           map[yuccaworker.Key]*time.Timer // runs in progress, each completed by its timer
	lastRun        map[string]uint64               // the highest run started or stopped, by task
	completions    []yuccaworker.Completion        // completions that the side has not acknowledged
	lastCompletion int64                           // the number of the last completion
	token          int64                           // the highest fencing token received
	leaseTimer     *time.Timer
	completed      chan struct{} // closed and replaced at each completion
	leaving        bool
	leavesAt       time.Time // when it exits at the earliest, zero if that is not known
	isDown         bool      // crashed and not restarted yet
	sequence       int64
	starts         int
}

// errDown is returned by reports while the worker is down.
var errDown = merry.Sentinel("the worker is down")

// payloadBody is the payload of a job for a simulated worker.
type payloadBody struct {
	Sleep string `json:"sleep"`
	Fail  bool   `json:"fail"`
	Crash bool   `json:"crash"`
}

// NewSimulatedWorker returns an idle worker. Its incarnation consists of its ID and
// the current time.
func NewSimulatedWorker(options SimulatedWorkerOptions) *SimulatedWorker {
	now := time.Now()
	s := &SimulatedWorker{
		options:     options,
		incarnation: yuccaworker.Incarnation{ID: options.ID, StartedAtMS: now.UnixMilli()},
		startedAt:   now,
		client:      &http.Client{Timeout: reportInterval},
		runs:        make(map[yuccaworker.Key]*time.Timer),
		lastRun:     make(map[string]uint64),
		completed:   make(chan struct{}),
	}
	s.leaseTimer = time.AfterFunc(maxLease, s.expireLease)
	s.leaseTimer.Stop()
	return s
}

// Report returns the worker's current report, with the next sequence number. It
// returns false while the worker is down.
func (s *SimulatedWorker) Report() (yuccaworker.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	remaining := time.Duration(0)
	if s.leaving && !s.leavesAt.IsZero() {
		remaining = max(time.Until(s.leavesAt), time.Millisecond)
	}
	return yuccaworker.Report{
		ID: s.incarnation.ID, StartedAtMS: s.incarnation.StartedAtMS, Service: s.options.Service, CPUMilli: int(s.options.CPU * milli),
		MemoryMB: s.options.MemoryMB, Leaving: s.leaving, Remaining: remaining, ClockMS: s.clock(), Sequence: s.sequence,
	}, !s.isDown
}

// Starts returns the number of runs started so far.
func (s *SimulatedWorker) Starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// clock returns the time since the worker started, in milliseconds.
func (s *SimulatedWorker) clock() int64 { return time.Since(s.startedAt).Milliseconds() }

// validateCall checks a call's incarnation and fencing token, and adopts a higher
// token. The caller must hold s.mu.
func (s *SimulatedWorker) validateCall(incarnation yuccaworker.Incarnation, token int64) yuccaworker.Result {
	switch {
	case s.isDown:
		return yuccaworker.ResultUnreachable
	case incarnation != s.incarnation:
		return yuccaworker.ResultOtherIncarnation
	case token < s.token:
		return yuccaworker.ResultFenced
	}
	s.token = token
	return yuccaworker.ResultOK
}

// Start starts a run and returns the worker's clock. A repeated start of a run in
// progress succeeds and changes nothing.
func (s *SimulatedWorker) Start(_ context.Context, c yuccaworker.CallStart) (yuccaworker.Result, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.validateCall(c.Incarnation, c.Token); refusal != yuccaworker.ResultOK {
		return refusal, s.clock()
	}
	if s.runs[c.Key] != nil {
		return yuccaworker.ResultOK, s.clock()
	}
	if c.Key.Run <= s.lastRun[c.Key.Task] {
		return yuccaworker.ResultOldRun, s.clock()
	}
	if c.DeadlineMS <= s.clock() {
		return yuccaworker.ResultExpired, s.clock()
	}
	sleep, end, ok := s.parsePayload(c.Payload, c.Key)
	if !ok {
		return yuccaworker.ResultInvalid, s.clock()
	}
	s.lastRun[c.Key.Task] = c.Key.Run
	s.starts++
	s.runs[c.Key] = time.AfterFunc(sleep, end)
	s.options.Logger.Debug("run started", "task", c.Key.Task, "run", c.Key.Run)
	s.renewLease(c.DeadlineMS)
	return yuccaworker.ResultOK, s.clock()
}

// parsePayload returns the run time that the payload requests, and the function that
// ends the run as requested. It returns false if the payload is invalid.
func (s *SimulatedWorker) parsePayload(payload []byte, key yuccaworker.Key) (time.Duration, func(), bool) {
	var body payloadBody
	if len(payload) > 0 && json.Unmarshal(payload, &body) != nil {
		return 0, nil, false
	}
	sleep, err := s.options.Sleep, error(nil)
	if body.Sleep != "" {
		sleep, err = time.ParseDuration(body.Sleep)
	}
	switch {
	case body.Crash:
		incarnation := s.incarnation
		return sleep, func() { s.crash(incarnation) }, err == nil
	case body.Fail:
		return sleep, func() { s.complete(key, yuccawire.RunEnd_RUN_END_FAILED) }, err == nil
	}
	return sleep, func() { s.complete(key, yuccawire.RunEnd_RUN_END_DONE) }, err == nil
}

// crash ends the incarnation of the worker and all its runs. The worker restarts after
// simulatedDowntime.
func (s *SimulatedWorker) crash(incarnation yuccaworker.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown || s.incarnation != incarnation {
		return
	}
	s.isDown = true
	s.leaseTimer.Stop()
	for _, timer := range s.runs {
		timer.Stop()
	}
	clear(s.runs)
	s.completions = nil
	close(s.completed)
	s.completed = make(chan struct{})
	s.options.Logger.Warn("simulated worker crashed", "worker", s.options.ID)
	time.AfterFunc(simulatedDowntime, s.restart)
}

// hasCrashed reports whether the worker is down.
func (s *SimulatedWorker) hasCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

// restart starts a new incarnation of the worker.
func (s *SimulatedWorker) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt = time.Now()
	s.incarnation.StartedAtMS = s.startedAt.UnixMilli()
	clear(s.lastRun)
	s.lastCompletion, s.token, s.sequence = 0, 0, 0
	s.isDown = false
}

// renewLease extends the lease until the worker's clock reaches the deadline, but
// at most by maxLease. The caller must hold s.mu.
func (s *SimulatedWorker) renewLease(deadline int64) {
	remaining := time.Duration(deadline-s.clock()) * time.Millisecond
	s.leaseTimer.Reset(max(min(remaining, maxLease), 0))
}

// expireLease ends all runs as lost. It is called when the side has not renewed
// the lease in time.
func (s *SimulatedWorker) expireLease() {
	s.mu.Lock()
	keys := s.runningKeys()
	s.mu.Unlock()
	for _, key := range keys {
		s.complete(key, yuccawire.RunEnd_RUN_END_LOST)
	}
}

func (s *SimulatedWorker) complete(key yuccaworker.Key, outcome yuccawire.RunEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeLocked(key, outcome)
}

// completeLocked ends a run, if it is in progress, and records its completion.
// The caller must hold s.mu.
func (s *SimulatedWorker) completeLocked(key yuccaworker.Key, outcome yuccawire.RunEnd) {
	timer := s.runs[key]
	if timer == nil {
		return
	}
	timer.Stop()
	delete(s.runs, key)
	s.options.Logger.Debug("run ended", "task", key.Task, "run", key.Run, "end", outcome.String())
	s.lastCompletion++
	s.completions = append(s.completions, yuccaworker.Completion{Number: s.lastCompletion, Key: key, Outcome: outcome})
	close(s.completed)
	s.completed = make(chan struct{})
}

// runningKeys returns the keys of the runs in progress, sorted by task and run.
// The caller must hold s.mu.
func (s *SimulatedWorker) runningKeys() []yuccaworker.Key {
	var keys []yuccaworker.Key
	for key := range s.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b yuccaworker.Key) int { return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run)) })
	return keys
}

// Connect reports whether the worker is up.
func (s *SimulatedWorker) Connect(context.Context, yuccaworker.CallConnect) yuccaworker.Result {
	if s.hasCrashed() {
		return yuccaworker.ResultUnreachable
	}
	return yuccaworker.ResultOK
}

// Stop ends a run. A start of the same run that arrives later is refused.
func (s *SimulatedWorker) Stop(_ context.Context, c yuccaworker.CallStop) (bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.validateCall(c.Incarnation, c.Token) != yuccaworker.ResultOK {
		return false, s.clock()
	}
	s.lastRun[c.Key.Task] = max(s.lastRun[c.Key.Task], c.Key.Run)
	s.completeLocked(c.Key, yuccawire.RunEnd_RUN_END_STOPPED)
	return true, s.clock()
}

// Hold renews the lease and drops the completions up to the cursor, which the side
// has processed. If none remain, it waits for the next completion, at most
// for the given time. It returns the runs in progress and the remaining
// completions.
func (s *SimulatedWorker) Hold(ctx context.Context, c yuccaworker.CallHold) yuccaworker.HoldResult {
	result := yuccaworker.HoldResult{Incarnation: c.Incarnation, SentAt: c.SentAt}
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Result = s.validateCall(c.Incarnation, c.Token); result.Result != yuccaworker.ResultOK {
		result.ClockMS = s.clock()
		return result
	}
	s.renewLease(c.DeadlineMS)
	s.completions = slices.DeleteFunc(s.completions, func(e yuccaworker.Completion) bool { return e.Number <= c.Cursor })
	if len(s.completions) == 0 && c.Wait > 0 {
		s.awaitCompletion(ctx, c.Wait)
	}
	if s.isDown {
		result.Result = yuccaworker.ResultUnknown
		return result
	}
	result.ClockMS, result.Running, result.Completions = s.clock(), s.runningKeys(), slices.Clone(s.completions)
	return result
}

// awaitCompletion waits for a completion, the timeout or the end of the context.
// The caller must hold s.mu, which is released while waiting.
func (s *SimulatedWorker) awaitCompletion(ctx context.Context, wait time.Duration) {
	completed := s.completed
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-completed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Handler returns the handler for the calls of the side.
func (s *SimulatedWorker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/start", func(w http.ResponseWriter, r *http.Request) {
		serveCall(w, r, func(b startBody) replyBody {
			result, clock := s.Start(r.Context(), yuccaworker.CallStart{
				Incarnation: decodeIncarnation(b.Incarnation), Key: yuccaworker.Key{Task: b.Task, Run: b.Run}, Payload: b.Payload, DeadlineMS: b.DeadlineMS, Token: b.Token,
			})
			return replyBody{ClockMS: clock, Result: resultNames.byValue[result]}
		})
	})
	mux.HandleFunc("POST /v1/stop", func(w http.ResponseWriter, r *http.Request) {
		serveCall(w, r, func(b stopBody) replyBody {
			result := yuccaworker.ResultFenced
			ok, clock := s.Stop(r.Context(), yuccaworker.CallStop{
				Incarnation: decodeIncarnation(b.Incarnation), Key: yuccaworker.Key{Task: b.Task, Run: b.Run}, Token: b.Token,
			})
			switch {
			case ok:
				result = yuccaworker.ResultOK
			case s.hasCrashed():
				result = yuccaworker.ResultUnreachable
			}
			return replyBody{ClockMS: clock, Result: resultNames.byValue[result]}
		})
	})
	mux.HandleFunc("POST /v1/hold", func(w http.ResponseWriter, r *http.Request) {
		serveCall(w, r, func(b holdBody) replyBody {
			return encodeHoldResult(s.Hold(r.Context(), yuccaworker.CallHold{
				Incarnation: decodeIncarnation(b.Incarnation), DeadlineMS: b.DeadlineMS, Token: b.Token, Cursor: b.Cursor, Wait: time.Duration(b.WaitMS) * time.Millisecond,
			}))
		})
	})
	return mux
}

func encodeHoldResult(h yuccaworker.HoldResult) replyBody {
	reply := replyBody{ClockMS: h.ClockMS, Result: resultNames.byValue[h.Result]}
	for _, key := range h.Running {
		reply.Running = append(reply.Running, runBody{Task: key.Task, Run: key.Run})
	}
	for _, e := range h.Completions {
		reply.Completions = append(reply.Completions, completionBody{Number: e.Number, Task: e.Key.Task, Run: e.Key.Run, Outcome: outcomeNames.byValue[e.Outcome]})
	}
	return reply
}

// serveCall decodes the body of a call and writes the reply that handle returns. It
// closes the connection without a reply if there is none.
func serveCall[T any](w http.ResponseWriter, r *http.Request, handle func(T) replyBody) {
	var body T
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBytes)).Decode(&body); err != nil {
		yuccaproblem.Write(w, bodyReadProblem(err))
		return
	}
	reply := handle(body)
	if reply.Result == "" {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, reply)
}

// Serve reports to the side at a fixed interval until the context ends.
func (s *SimulatedWorker) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	registered := false
	for {
		err := s.sendReport(ctx)
		if registered != (err == nil) {
			registered = err == nil
			s.options.Logger.Info("registration with the side changed", "known", registered, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *SimulatedWorker) sendReport(ctx context.Context) error {
	r, ok := s.Report()
	if !ok {
		return errDown
	}
	var remainingMS *int64
	if r.Remaining > 0 {
		remainingMS = new(r.Remaining.Milliseconds())
	}
	body, err := json.Marshal(reportBody{
		ID: r.ID, StartedAtMS: r.StartedAtMS, Service: r.Service, CPU: &s.options.CPU, MemoryMB: r.MemoryMB, Leaving: r.Leaving,
		RemainingMS: remainingMS, ClockMS: r.ClockMS, Sequence: r.Sequence,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.options.Side+"/v1/worker", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return yuccaproblem.Read(response)
	}
	return nil
}

// reportDrain reports to the side until that succeeds, at most drainReports times. An idle
// worker ends after it.
func (s *SimulatedWorker) reportDrain(ctx context.Context) {
	for range drainReports {
		err := s.sendReport(ctx)
		if err == nil {
			return
		}
		s.options.Logger.Warn("reporting the drain to the side failed", "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainReportDelay):
		}
	}
}

// Drain reports to the side that the worker is leaving, at the context's deadline if it
// has one, and waits until no runs are in progress. If the context ends first, it returns the number of remaining
// runs.
func (s *SimulatedWorker) Drain(ctx context.Context) int {
	s.mu.Lock()
	s.leaving = true
	s.leavesAt, _ = ctx.Deadline()
	s.mu.Unlock()
	s.reportDrain(ctx)
	for {
		s.mu.Lock()
		remaining, completed := len(s.runs), s.completed
		s.mu.Unlock()
		if remaining == 0 {
			return 0
		}
		select {
		case <-completed:
		case <-ctx.Done():
			return remaining
		}
	}
}
