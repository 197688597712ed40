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

// callTimeout is longer than any call in these tests takes.
const callTimeout = 10 * time.Second

func newWorkerClient(t *testing.T, handler http.Handler) *yuccasized.WorkerClient {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return yuccasized.NewWorkerClient(strings.TrimPrefix(server.URL, "http://"), slog.New(slog.DiscardHandler))
}

// Results, running runs and completions of a worker pass through the HTTP calls
// unchanged.
func TestWorkerClientCalls(t *testing.T) {
	ctx := t.Context()
	simulated := yuccasized.NewSimulatedWorker(yuccasized.SimulatedWorkerOptions{ID: "w", Service: "belfry", CPU: 4, Sleep: time.Hour, Logger: slog.New(slog.DiscardHandler)})
	client := newWorkerClient(t, simulated.Handler())
	report, _ := simulated.Report()
	incarnation := yuccaworker.Incarnation{ID: report.ID, StartedAtMS: report.StartedAtMS}
	farDeadline := int64(time.Hour.Milliseconds())
	start := func(callee yuccaworker.Incarnation, task string, run uint64, payload string, deadline, token int64) yuccaworker.Result {
		result, _ := client.Start(ctx, yuccaworker.CallStart{
			Incarnation: callee, Key: yuccaworker.Key{Task: task, Run: run}, Payload: []byte(payload), DeadlineMS: deadline, Token: token, Timeout: callTimeout,
		})
		return result
	}
	for _, tc := range []struct {
		name      string
		got, want yuccaworker.Result
	}{
		{"first start", start(incarnation, "a", 2, "", farDeadline, 5), yuccaworker.ResultOK},
		{"repeated start", start(incarnation, "a", 2, "", farDeadline, 5), yuccaworker.ResultOK},
		{"earlier run", start(incarnation, "a", 1, "", farDeadline, 5), yuccaworker.ResultOldRun},
		{"expired deadline", start(incarnation, "b", 1, "", 0, 5), yuccaworker.ResultExpired},
		{"lower token", start(incarnation, "c", 1, "", farDeadline, 4), yuccaworker.ResultFenced},
		{"other incarnation", start(yuccaworker.Incarnation{ID: "w", StartedAtMS: 1}, "c", 1, "", farDeadline, 5), yuccaworker.ResultOtherIncarnation},
		{"malformed payload", start(incarnation, "d", 1, "{", farDeadline, 5), yuccaworker.ResultInvalid},
		{"task that fails immediately", start(incarnation, "e", 1, `{"sleep": "0s", "fail": true}`, farDeadline, 5), yuccaworker.ResultOK},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: result %v, want %v", tc.name, tc.got, tc.want)
		}
	}
	if ok, _ := client.Stop(ctx, yuccaworker.CallStop{Incarnation: incarnation, Key: yuccaworker.Key{Task: "f", Run: 3}, Token: 6, Timeout: callTimeout}); !ok {
		t.Error("the stop was not confirmed")
	}
	if got := start(incarnation, "f", 3, "", farDeadline, 6); got != yuccaworker.ResultOldRun {
		t.Errorf("start after the stop of the same run: result %v, want old run", got)
	}
	hold := client.Hold(ctx, yuccaworker.CallHold{Incarnation: incarnation, DeadlineMS: farDeadline, Token: 6, Wait: 5 * time.Second, Timeout: callTimeout})
	if hold.Result != yuccaworker.ResultOK || len(hold.Running) != 1 || hold.Running[0] != (yuccaworker.Key{Task: "a", Run: 2}) {
		t.Errorf("hold returned %+v, want run 2 of a in progress", hold)
	}
	if len(hold.Completions) != 1 || hold.Completions[0].Key.Task != "e" || hold.Completions[0].Outcome != yuccawire.RunEnd_RUN_END_FAILED {
		t.Errorf("hold returned completions %+v, want that of e", hold.Completions)
	}
	hold = client.Hold(ctx, yuccaworker.CallHold{Incarnation: incarnation, DeadlineMS: farDeadline, Token: 6, Cursor: hold.Completions[0].Number, Timeout: callTimeout})
	if len(hold.Completions) != 0 {
		t.Errorf("completions up to the cursor were returned again: %+v", hold.Completions)
	}
}

// A missing or unreadable response gives an unknown result and never counts as a
// refusal, since the worker may have started the run.
func TestUnreadableResponse(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"dropped":        func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"failing":        func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"unreadable":     func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"result": `)) },
		"unknown result": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"result": "perhaps"}`)) },
	} {
		var calls atomic.Int64
		client := newWorkerClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			handler(w, r)
		}))
		result, _ := client.Start(t.Context(), yuccaworker.CallStart{Key: yuccaworker.Key{Task: "a", Run: 1}, Timeout: callTimeout})
		if result != yuccaworker.ResultUnknown || calls.Load() != 1 {
			t.Errorf("%s: result %v after %d calls, want unknown after 1", name, result, calls.Load())
		}
	}
}

// A run is lost when the side does not renew the lease.
func TestLeaseExpires(t *testing.T) { synctest.Test(t, leaseExpires) }

func leaseExpires(t *testing.T) {
	simulated := yuccasized.NewSimulatedWorker(yuccasized.SimulatedWorkerOptions{ID: "w", Service: "belfry", CPU: 4, Sleep: time.Hour, Logger: slog.New(slog.DiscardHandler)})
	report, _ := simulated.Report()
	incarnation := yuccaworker.Incarnation{ID: report.ID, StartedAtMS: report.StartedAtMS}
	if result, _ := simulated.Start(t.Context(), yuccaworker.CallStart{
		Incarnation: incarnation, Key: yuccaworker.Key{Task: "a", Run: 1}, DeadlineMS: report.ClockMS + 50, Token: 1,
	}); result != yuccaworker.ResultOK {
		t.Fatalf("result %v", result)
	}
	time.Sleep(200 * time.Millisecond)
	hold := simulated.Hold(t.Context(), yuccaworker.CallHold{Incarnation: incarnation, DeadlineMS: time.Hour.Milliseconds(), Token: 1})
	if len(hold.Completions) != 1 || hold.Completions[0].Outcome != yuccawire.RunEnd_RUN_END_LOST {
		t.Errorf("completions %+v, want the run as lost", hold.Completions)
	}
}
