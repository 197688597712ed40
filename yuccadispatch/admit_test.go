package yuccadispatch_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Control has dropped the claim of a job that was submitted long ago.
func TestOldJobIsNeverReportedAsNotRun(t *testing.T) {
	for name, change := range map[string]func(now time.Time, d *yuccadispatch.Dispatcher, s *yuccadispatch.Submission){
		"draining":        func(_ time.Time, d *yuccadispatch.Dispatcher, _ *yuccadispatch.Submission) { d.Drain() },
		"unknown team":    func(_ time.Time, _ *yuccadispatch.Dispatcher, s *yuccadispatch.Submission) { s.Key.Team = "x" },
		"unknown service": func(_ time.Time, _ *yuccadispatch.Dispatcher, s *yuccadispatch.Submission) { s.Service = "x" },
		"past deadline":   func(now time.Time, _ *yuccadispatch.Dispatcher, s *yuccadispatch.Submission) { s.Deadline = now },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			d := newDispatcher(t, now)
			s := submission(now, 1, 1)
			s.Unnamed, s.SubmittedAt = false, now.Add(-2*time.Hour)
			change(now, d, &s)
			d.Submit(now, s)
			for _, action := range replyToClaims(now, d, &yuccawire.ClaimReply{Result: yuccawire.ClaimResult_CLAIM_ABSENT}) {
				if a, ok := action.(yuccadispatch.Answer); ok && a.Rejection == yuccadispatch.TooOld {
					return
				} else if ok {
					t.Fatalf("rejected as %d, not run %v, want %d", a.Rejection, a.Rejection.NotRun(), yuccadispatch.TooOld)
				}
			}
			t.Error("the job was not answered")
		})
	}
}
