package yuccasized_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccasized"
)

// Guards against a simulated worker that drains without saying how long it has.
func TestDrainWithoutRemainingTime(t *testing.T) {
	var body []byte
	side := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { body, _ = io.ReadAll(r.Body) }))
	t.Cleanup(side.Close)
	worker := yuccasized.NewSimulatedWorker(yuccasized.SimulatedWorkerOptions{
		ID: "w", Service: "belfry", CPU: 4, Side: strings.TrimPrefix(side.URL, "http://"), Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	worker.Drain(ctx)
	var report struct {
		Leaving     bool   `json:"leaving"`
		RemainingMS *int64 `json:"remaining_ms"`
	}
	if err := json.Unmarshal(body, &report); err != nil {
		t.Fatal(err)
	}
	if !report.Leaving || report.RemainingMS == nil || *report.RemainingMS < 5000 || *report.RemainingMS > 10_000 {
		t.Errorf("report is %s, want it leaving with at most 10 s remaining", body)
	}
}

// Guards against a simulated worker that ends without its side knowing, as a report got no answer.
func TestDrainIsReportedAgain(t *testing.T) {
	requests, known := 0, false
	side := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if requests++; requests < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		known = strings.Contains(string(body), `"leaving":true`)
	}))
	t.Cleanup(side.Close)
	worker := yuccasized.NewSimulatedWorker(yuccasized.SimulatedWorkerOptions{
		ID: "w", Service: "belfry", CPU: 4, Side: strings.TrimPrefix(side.URL, "http://"), Logger: slog.New(slog.DiscardHandler),
	})
	worker.Drain(t.Context())
	if !known {
		t.Errorf("the side does not know that the worker is leaving, after %d reports", requests)
	}
}

// Guards against a report of a negative time being taken in, and its fault lacking a place.
func TestNegativeRemainingTime(t *testing.T) {
	registry := yuccasized.NewRegistry(nil, slog.New(slog.DiscardHandler))
	body := "{\"id\": \"w\", \"born\": 1, \"service\": \"belfry\", \"cpu\": 4,\n\"leaving\": true, \"remaining_ms\": -5, \"clock_ms\": 1, \"sequence\": 1}"
	w := httptest.NewRecorder()
	registry.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/v1/worker", strings.NewReader(body)))
	if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), "report:2:34: remaining_ms: is -5") {
		t.Errorf("status %d: %s, want 400 with the field and its place", w.Code, w.Body)
	}
}

func TestReportOfAnotherWriterIsBelieved(t *testing.T) {
	registry := yuccasized.NewRegistry(nil, slog.New(slog.DiscardHandler))
	for field, want := range map[string]string{
		`"sequence": 9223372036854775807`: "report:1:14: sequence: is 9223372036854775807, expected 0 to 9007199254740991",
		`"born": 9223372036854775807`:     "report:1:10: born: is 9223372036854775807, expected 0 to 7258118400000 milliseconds since 1970",
		`"clock_ms": -1`:                  "report:1:14: clock_ms: is -1, expected 0 to 3162240000000 milliseconds",
		`"cpu": 1e300`:                    "report:1:9: cpu: is 1e+300, expected cores, 0 to 1000000",
		`"memory_mb": 4294967297`:         "report:1:15: memory_mb: is 4294967297, expected 0 to 1000000000 megabytes",
		`"accelerators": -1`:              "report:1:18: accelerators: is -1, expected 0 to 1000000",
		`"labels": ["\u0001"]`:            "report:1:12: labels: is ",
	} {
		body := "{" + field + `, "id": "w", "service": "belfry"`
		if !strings.HasPrefix(field, `"cpu"`) {
			body += `, "cpu": 4`
		}
		w := httptest.NewRecorder()
		registry.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/v1/worker", strings.NewReader(body+"}")))
		if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), want) || strings.Count(w.Body.String(), "expected") != 1 {
			t.Errorf("%s: status %d: %s, want %s", field, w.Code, w.Body, want)
		}
	}
}
