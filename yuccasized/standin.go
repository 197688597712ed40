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

	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// StandInOptions holds what a stand-in for a worker needs.
type StandInOptions struct {
	ID      string
	Service string
	// CPU is in cores.
	CPU      float64
	MemoryMB int
	// Side is the address of the side's listener for its worker, empty where the
	// owner reports by itself.
	Side string
	// Sleep is how long a task takes whose payload says nothing.
	Sleep  time.Duration
	Logger *slog.Logger
}

// StandIn is a worker whose tasks sleep, as their payload says: {"sleep": "60ms",
// "fail": true}. It is a suture service and a [yuccadriver.Caller].
type StandIn struct {
	options StandInOptions
	life    yuccaworker.Incarnation
	began   time.Time
	client  *http.Client

	mu       sync.Mutex
	runs     map[yuccaworker.Key]*time.Timer
	seen     map[string]uint64
	ends     []yuccaworker.Completion
	number   int64
	token    int64
	hold     *time.Timer
	changed  chan struct{}
	leaving  bool
	sequence int64
	starts   int
}

// payloadBody is what the payload of a job may say to a stand-in.
type payloadBody struct {
	Sleep string `json:"sleep"`
	Fail  bool   `json:"fail"`
}

// NewStandIn returns a worker with nothing to do.
func NewStandIn(options StandInOptions) *StandIn {
	now := time.Now()
	s := &StandIn{
		options: options,
		life:    yuccaworker.Incarnation{ID: options.ID, StartedAtMS: now.UnixMilli()},
		began:   now,
		client:  &http.Client{Timeout: reportInterval},
		runs:    make(map[yuccaworker.Key]*time.Timer),
		seen:    make(map[string]uint64),
		changed: make(chan struct{}),
	}
	s.hold = time.AfterFunc(maxHold, s.lapse)
	s.hold.Stop()
	return s
}

// Report is what the worker says of itself now.
func (s *StandIn) Report() yuccaworker.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return yuccaworker.Report{
		ID: s.life.ID, StartedAtMS: s.life.StartedAtMS, Service: s.options.Service, CPUMilli: int(s.options.CPU * milli),
		MemoryMB: s.options.MemoryMB, Leaving: s.leaving, ClockMS: s.clock(), Sequence: s.sequence,
	}
}

// Starts is the number of runs that were begun.
func (s *StandIn) Starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

func (s *StandIn) clock() int64 { return time.Since(s.began).Milliseconds() }

// admits checks the life and the token of a call. The lock is held.
func (s *StandIn) admits(life yuccaworker.Incarnation, token int64) yuccaworker.Result {
	switch {
	case life != s.life:
		return yuccaworker.ResultOtherIncarnation
	case token < s.token:
		return yuccaworker.ResultFenced
	}
	s.token = token
	return yuccaworker.ResultOK
}

// Start begins a run.
func (s *StandIn) Start(_ context.Context, c yuccaworker.CallStart) (yuccaworker.Result, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.admits(c.Incarnation, c.Token); refusal != yuccaworker.ResultOK {
		return refusal, s.clock()
	}
	if s.runs[c.Key] != nil {
		return yuccaworker.ResultOK, s.clock()
	}
	if c.Key.Run <= s.seen[c.Key.Task] {
		return yuccaworker.ResultOldRun, s.clock()
	}
	if c.DeadlineMS <= s.clock() {
		return yuccaworker.ResultExpired, s.clock()
	}
	sleep, end, ok := s.behaviour(c.Payload)
	if !ok {
		return yuccaworker.ResultInvalid, s.clock()
	}
	s.seen[c.Key.Task] = c.Key.Run
	s.starts++
	s.runs[c.Key] = time.AfterFunc(sleep, func() { s.finish(c.Key, end) })
	s.renew(c.DeadlineMS)
	return yuccaworker.ResultOK, s.clock()
}

func (s *StandIn) behaviour(payload []byte) (time.Duration, yuccawire.RunEnd, bool) {
	sleep, end := s.options.Sleep, yuccawire.RunEnd_RUN_END_DONE
	if len(payload) == 0 {
		return sleep, end, true
	}
	var body payloadBody
	if json.Unmarshal(payload, &body) != nil {
		return 0, end, false
	}
	if body.Fail {
		end = yuccawire.RunEnd_RUN_END_FAILED
	}
	if body.Sleep == "" {
		return sleep, end, true
	}
	sleep, err := time.ParseDuration(body.Sleep)
	return sleep, end, err == nil
}

// renew lets the runs go on until the clock has reached the deadline. The lock
// is held.
func (s *StandIn) renew(deadline int64) {
	left := time.Duration(deadline-s.clock()) * time.Millisecond
	s.hold.Reset(max(min(left, maxHold), 0))
}

// lapse ends all runs, since nobody has renewed the hold.
func (s *StandIn) lapse() {
	s.mu.Lock()
	keys := s.running()
	s.mu.Unlock()
	for _, key := range keys {
		s.finish(key, yuccawire.RunEnd_RUN_END_LOST)
	}
}

func (s *StandIn) finish(key yuccaworker.Key, end yuccawire.RunEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endRun(key, end)
}

// endRun lists the end of a run. The lock is held.
func (s *StandIn) endRun(key yuccaworker.Key, end yuccawire.RunEnd) {
	timer := s.runs[key]
	if timer == nil {
		return
	}
	timer.Stop()
	delete(s.runs, key)
	s.number++
	s.ends = append(s.ends, yuccaworker.Completion{Number: s.number, Key: key, Outcome: end})
	close(s.changed)
	s.changed = make(chan struct{})
}

// running lists the runs by name. The lock is held.
func (s *StandIn) running() []yuccaworker.Key {
	var keys []yuccaworker.Key
	for key := range s.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b yuccaworker.Key) int { return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run)) })
	return keys
}

// Stop ends a run. A start of it that comes later is refused.
func (s *StandIn) Stop(_ context.Context, c yuccaworker.CallStop) (bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admits(c.Incarnation, c.Token) != yuccaworker.ResultOK {
		return false, s.clock()
	}
	s.seen[c.Key.Task] = max(s.seen[c.Key.Task], c.Key.Run)
	s.endRun(c.Key, yuccawire.RunEnd_RUN_END_STOPPED)
	return true, s.clock()
}

// Hold renews the hold and lists what runs and what has ended, once something
// has ended or the wait is over.
func (s *StandIn) Hold(ctx context.Context, c yuccaworker.CallHold) yuccaworker.HoldResult {
	result := yuccaworker.HoldResult{Incarnation: c.Incarnation, SentAt: c.SentAt}
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Result = s.admits(c.Incarnation, c.Token); result.Result != yuccaworker.ResultOK {
		result.ClockMS = s.clock()
		return result
	}
	s.renew(c.DeadlineMS)
	s.ends = slices.DeleteFunc(s.ends, func(e yuccaworker.Completion) bool { return e.Number <= c.Cursor })
	if len(s.ends) == 0 && c.Wait > 0 {
		s.await(ctx, c.Wait)
	}
	result.ClockMS, result.Running, result.Completions = s.clock(), s.running(), slices.Clone(s.ends)
	return result
}

// await lets the lock go until a run ends or the wait is over.
func (s *StandIn) await(ctx context.Context, wait time.Duration) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Handler serves the side.
func (s *StandIn) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/start", func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(b startBody) replyBody {
			result, clock := s.Start(r.Context(), yuccaworker.CallStart{
				Incarnation: lifeOf(b.Life), Key: yuccaworker.Key{Task: b.Task, Run: b.Run}, Payload: b.Payload, DeadlineMS: b.DeadlineMS, Token: b.Token,
			})
			return replyBody{ClockMS: clock, Result: results.byValue[result]}
		})
	})
	mux.HandleFunc("POST /v1/stop", func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(b stopBody) replyBody {
			result := yuccaworker.ResultFenced
			ok, clock := s.Stop(r.Context(), yuccaworker.CallStop{
				Incarnation: lifeOf(b.Life), Key: yuccaworker.Key{Task: b.Task, Run: b.Run}, Token: b.Token,
			})
			if ok {
				result = yuccaworker.ResultOK
			}
			return replyBody{ClockMS: clock, Result: results.byValue[result]}
		})
	})
	mux.HandleFunc("POST /v1/hold", func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(b holdBody) replyBody {
			return replyOf(s.Hold(r.Context(), yuccaworker.CallHold{
				Incarnation: lifeOf(b.Life), DeadlineMS: b.DeadlineMS, Token: b.Token, Cursor: b.Cursor, Wait: time.Duration(b.WaitMS) * time.Millisecond,
			}))
		})
	})
	return mux
}

func replyOf(h yuccaworker.HoldResult) replyBody {
	reply := replyBody{ClockMS: h.ClockMS, Result: results.byValue[h.Result]}
	for _, key := range h.Running {
		reply.Running = append(reply.Running, runBody{Task: key.Task, Run: key.Run})
	}
	for _, e := range h.Completions {
		reply.Ends = append(reply.Ends, endBody{Number: e.Number, Task: e.Key.Task, Run: e.Key.Run, End: ends.byValue[e.Outcome]})
	}
	return reply
}

// serve decodes a body and answers it.
func serve[T any](w http.ResponseWriter, r *http.Request, answer func(T) replyBody) {
	var body T
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBytes)).Decode(&body); err != nil {
		yuccaproblem.Write(w, unreadable(err))
		return
	}
	writeJSON(w, answer(body))
}

// Serve reports to the side until the context ends.
func (s *StandIn) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	known := false
	for {
		err := s.tell(ctx)
		if known != (err == nil) {
			known = err == nil
			s.options.Logger.Info("the side was told of this worker", "known", known, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *StandIn) tell(ctx context.Context) error {
	r := s.Report()
	text, err := json.Marshal(reportBody{
		ID: r.ID, Born: r.StartedAtMS, Service: r.Service, CPU: s.options.CPU, MemoryMB: r.MemoryMB, Leaving: r.Leaving,
		ClockMS: r.ClockMS, Sequence: r.Sequence,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.options.Side+"/v1/worker", bytes.NewReader(text))
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

// Drain tells the side that the worker leaves, and returns the number of runs
// that are left at the end of the context.
func (s *StandIn) Drain(ctx context.Context) int {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if err := s.tell(ctx); err != nil {
		s.options.Logger.Warn("the side could not be told that this worker leaves", "error", err)
	}
	for {
		s.mu.Lock()
		left, changed := len(s.runs), s.changed
		s.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return left
		}
	}
}
