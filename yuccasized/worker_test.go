package yuccasized_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccasized"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// patience is longer than any answer in these tests.
const patience = 10 * time.Second

func newWorker(t *testing.T, handler http.Handler) *yuccasized.Worker {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return yuccasized.NewWorker(strings.TrimPrefix(server.URL, "http://"), slog.New(slog.DiscardHandler))
}

// What a worker decides comes through the calls unchanged.
func TestCalls(t *testing.T) {
	ctx := t.Context()
	standIn := yuccasized.NewStandIn(yuccasized.StandInOptions{ID: "w", Service: "belfry", CPU: 4, Sleep: time.Hour, Logger: slog.New(slog.DiscardHandler)})
	worker := newWorker(t, standIn.Handler())
	report := standIn.Report()
	life := yuccaworker.Incarnation{ID: report.ID, StartedAtMS: report.StartedAtMS}
	far := int64(time.Hour.Milliseconds())
	start := func(l yuccaworker.Incarnation, task string, run uint64, payload string, deadline, token int64) yuccaworker.Result {
		result, _ := worker.Start(ctx, yuccaworker.CallStart{
			Incarnation: l, Key: yuccaworker.Key{Task: task, Run: run}, Payload: []byte(payload), DeadlineMS: deadline, Token: token, Timeout: patience,
		})
		return result
	}
	for _, tc := range []struct {
		name      string
		got, want yuccaworker.Result
	}{
		{"a first start", start(life, "a", 2, "", far, 5), yuccaworker.ResultOK},
		{"the same again", start(life, "a", 2, "", far, 5), yuccaworker.ResultOK},
		{"an earlier run", start(life, "a", 1, "", far, 5), yuccaworker.ResultOldRun},
		{"past its deadline", start(life, "b", 1, "", 0, 5), yuccaworker.ResultExpired},
		{"a lower token", start(life, "c", 1, "", far, 4), yuccaworker.ResultFenced},
		{"another life", start(yuccaworker.Incarnation{ID: "w", StartedAtMS: 1}, "c", 1, "", far, 5), yuccaworker.ResultOtherIncarnation},
		{"an unreadable payload", start(life, "d", 1, "{", far, 5), yuccaworker.ResultInvalid},
		{"one that fails at once", start(life, "e", 1, `{"sleep": "0s", "fail": true}`, far, 5), yuccaworker.ResultOK},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: result %v, want %v", tc.name, tc.got, tc.want)
		}
	}
	if ok, _ := worker.Stop(ctx, yuccaworker.CallStop{Incarnation: life, Key: yuccaworker.Key{Task: "f", Run: 3}, Token: 6, Timeout: patience}); !ok {
		t.Error("a stop is not answered")
	}
	if got := start(life, "f", 3, "", far, 6); got != yuccaworker.ResultOldRun {
		t.Errorf("a start after its stop: result %v, want old", got)
	}
	hold := worker.Hold(ctx, yuccaworker.CallHold{Incarnation: life, DeadlineMS: far, Token: 6, Wait: 5 * time.Second, Timeout: patience})
	if hold.Result != yuccaworker.ResultOK || len(hold.Running) != 1 || hold.Running[0] != (yuccaworker.Key{Task: "a", Run: 2}) {
		t.Errorf("the hold lists %+v", hold)
	}
	if len(hold.Completions) != 1 || hold.Completions[0].Key.Task != "e" || hold.Completions[0].Outcome != yuccawire.RunEnd_RUN_END_FAILED {
		t.Errorf("the hold lists ends %+v, want that of e", hold.Completions)
	}
	hold = worker.Hold(ctx, yuccaworker.CallHold{Incarnation: life, DeadlineMS: far, Token: 6, Cursor: hold.Completions[0].Number, Timeout: patience})
	if len(hold.Completions) != 0 {
		t.Errorf("ends that were taken note of are listed again: %+v", hold.Completions)
	}
}

// No answer, or one that can't be read, is never taken for a refusal.
func TestUnknownOutcome(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"dropped":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"failing":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"unreadable": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"result": `)) },
		"new word":   func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"result": "perhaps"}`)) },
	} {
		var calls atomic.Int64
		worker := newWorker(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			handler(w, r)
		}))
		result, _ := worker.Start(t.Context(), yuccaworker.CallStart{Key: yuccaworker.Key{Task: "a", Run: 1}, Timeout: patience})
		if result != yuccaworker.ResultUnknown || calls.Load() != 1 {
			t.Errorf("%s: result %v after %d calls, want unknown after one", name, result, calls.Load())
		}
	}
}

// A run ends with the hold that nobody renews.
func TestHoldLapses(t *testing.T) { synctest.Test(t, holdLapses) }

func holdLapses(t *testing.T) {
	standIn := yuccasized.NewStandIn(yuccasized.StandInOptions{ID: "w", Service: "belfry", CPU: 4, Sleep: time.Hour, Logger: slog.New(slog.DiscardHandler)})
	report := standIn.Report()
	life := yuccaworker.Incarnation{ID: report.ID, StartedAtMS: report.StartedAtMS}
	if result, _ := standIn.Start(t.Context(), yuccaworker.CallStart{
		Incarnation: life, Key: yuccaworker.Key{Task: "a", Run: 1}, DeadlineMS: report.ClockMS + 50, Token: 1,
	}); result != yuccaworker.ResultOK {
		t.Fatalf("result %v", result)
	}
	time.Sleep(200 * time.Millisecond)
	hold := standIn.Hold(t.Context(), yuccaworker.CallHold{Incarnation: life, DeadlineMS: time.Hour.Milliseconds(), Token: 1})
	if len(hold.Completions) != 1 || hold.Completions[0].Outcome != yuccawire.RunEnd_RUN_END_LOST {
		t.Errorf("ends %+v, want the run as lost", hold.Completions)
	}
}
