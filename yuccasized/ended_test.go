package yuccasized_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const endedJob = "/v1/queues/trim/jobs/j1"

func TestCancelledJobRunsAtAnotherEntry(t *testing.T) {
	for name, tc := range map[string]struct {
		// openAt are the entries that the request has reached before it is cancelled.
		openAt      []int
		cancelledAt int
		status      int
	}{
		"cancelled at its entry":       {[]int{0}, 0, http.StatusOK},
		"cancelled at the other entry": {[]int{0}, 1, http.StatusOK},
		"open at both entries":         {[]int{0, 1}, 0, http.StatusOK},
		"cancelled before it arrives":  {nil, 1, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t)
				for _, entry := range tc.openAt {
					go s.call(entry, http.MethodPost, endedJob, twoSteps("600ms"))
				}
				time.Sleep(100 * time.Millisecond)
				if status, answer := s.call(tc.cancelledAt, http.MethodDelete, endedJob, ""); status != tc.status {
					t.Errorf("the cancelling is answered with %d %v, want %d", status, answer, tc.status)
				}
				starts := s.worker.Starts()
				s.wantCancelled(0, 1)
				time.Sleep(4 * time.Second)
				s.wantCancelled(0, 1)
				if s.worker.Starts() != starts {
					t.Errorf("%d starts after the job was cancelled, want none", s.worker.Starts()-starts)
				}
			})
		})
	}
}

// wantCancelled submits the job at the entries and checks that it is answered as cancelled.
func (s *system) wantCancelled(entries ...int) {
	s.t.Helper()
	for _, entry := range entries {
		if status, answer := s.call(entry, http.MethodPost, endedJob, twoSteps("600ms")); status != http.StatusBadGateway || !strings.Contains(fmt.Sprint(answer), "cancelled") {
			s.t.Errorf("entry %d answers the request that comes again with %d %v, want it cancelled", entry, status, answer)
		}
	}
}

// The request comes again after its answer, or as that was lost.
func TestJobThatHasEndedRunsAgainAtAnotherEntry(t *testing.T) {
	for name, body := range map[string]string{
		"completed": twoSteps("60ms"),
		"failed":    `{"payload": {"sleep": "10ms", "fail": true}, "steps": [{"tasks": 1, "cpu": 1, "estimate": "10ms"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t)
				status, answer := s.call(0, http.MethodPost, endedJob, body)
				starts := s.worker.Starts()
				for _, wait := range []time.Duration{1300 * time.Millisecond, 4 * time.Second} {
					time.Sleep(wait)
					if again, other := s.call(1, http.MethodPost, endedJob, body); again != status || fmt.Sprint(other) != fmt.Sprint(answer) {
						t.Errorf("the other entry answers %d %v, want %d %v as before", again, other, status, answer)
					}
				}
				if s.worker.Starts() != starts {
					t.Errorf("%d starts after the job had ended, want none", s.worker.Starts()-starts)
				}
			})
		})
	}
}
