package yuccaload_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaload"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

// TestSized checks that the load matches its settings and that each job is counted
// once, by its outcome.
func TestSized(t *testing.T) {
	var trims, checks atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Deadline string
			Payload  struct{ Sleep string }
			Steps    []struct {
				Tasks    int
				CPU      float64
				Estimate string
			}
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Steps) != 1 || body.Steps[0].CPU != 1.5 || body.Deadline != "2s" {
			t.Errorf("body %+v: %v", body, err)
		}
		if strings.HasPrefix(r.URL.Path, "/v1/queues/check/jobs/load-") {
			checks.Add(1)
			yuccaproblem.Write(w, yuccaproblem.NotRunf(http.StatusServiceUnavailable, yuccaproblem.PastDeadline, "full").WithRetryAfter(time.Second))
			return
		}
		trims.Add(1)
		_, _ = w.Write([]byte(`{"state": "completed"}`))
	}))
	defer server.Close()
	kind := func(queue string) yuccasettings.SizedJobKind {
		return yuccasettings.SizedJobKind{
			Queue: queue, JobsPerSecond: 200, Tasks: 4, Run: 50 * time.Millisecond, Spread: 0.3, CPU: 1.5, EstimateError: 0.4,
			Stretch: 1.5, TargetLatency: time.Minute, Deadline: 2 * time.Second,
		}
	}
	report := yuccaload.NewSized(&yuccasettings.SizedLoad{
		Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Seed: 3, Duration: 500 * time.Millisecond,
		Kinds:  []yuccasettings.SizedJobKind{kind("trim"), kind("check")},
		Bursts: []yuccasettings.SizedBurst{{At: 100 * time.Millisecond, For: 200 * time.Millisecond, Factor: 3}},
	}).Do(t.Context())
	trim, check := report.Kinds["trim"], report.Kinds["check"]
	if trim.Jobs == 0 || int64(trim.Jobs) != trims.Load() || trim.InTime != trim.Jobs {
		t.Errorf("trim: %d jobs sent, %d counted, %d in time", trims.Load(), trim.Jobs, trim.InTime)
	}
	if check.Jobs == 0 || int64(check.Jobs) != checks.Load() || check.Refused != check.Jobs {
		t.Errorf("check: %d jobs sent, %d counted, %d refused", checks.Load(), check.Jobs, check.Refused)
	}
	// Two kinds at 200 jobs a second for half a second, three times that rate for
	// 200 ms.
	if total := trim.Jobs + check.Jobs; total < 250 || total > 480 {
		t.Errorf("%d jobs, want about 360", total)
	}
	if share := float64(report.Large.Jobs) / float64(trim.Jobs+check.Jobs); share < 0.08 || share > 0.12 {
		t.Errorf("the largest jobs are %.3f of all, want 0.1", share)
	}
	var text bytes.Buffer
	report.Print(&text)
	for _, want := range []string{"trim", "check", "(largest)", "worst two seconds"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing from the report:\n%s", want, text.String())
		}
	}
}
