package yuccasystemtest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccahistory"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
)

// limitClaims applies a retention of claims of one minute, and waits for it.
func (c *cluster) limitClaims() {
	command := sectionCommand("limits", 1, "l2", `{"claims_kept": "1m", "teams": {"parishes": {"weight": 2}, "councils": {}}}`)
	command.GetApplySection().AtUnixMs = time.Now().UnixMilli()
	c.apply(command)
	time.Sleep(2 * time.Second)
}

func (c *cluster) allowLongRuns() {
	c.apply(sectionCommand("services", 1, "s2", `{"regulation": {"objective": "work_done", "max_run": "10m"}}`))
}

// The deadline exceeds the retention of claims.
func TestJobThatOutlivesItsClaimIsRefused(t *testing.T) {
	withCluster(t, 36, 1, 1, 1, func(t *testing.T, c *cluster) {
		c.limitClaims()
		for deadline, want := range map[time.Duration]yuccadispatch.Rejection{
			time.Minute:                    yuccadispatch.NotRejected,
			time.Minute + time.Millisecond: yuccadispatch.DeadlineTooLong,
			10 * time.Minute:               yuccadispatch.DeadlineTooLong,
		} {
			start := time.Now()
			answer := c.submit(c.entries[0], jobSpec{id: deadline.String(), tasks: 1, runTime: time.Second, deadline: deadline})
			if answer.Rejection != want || answer.Rejection.NotRun() != (want != yuccadispatch.NotRejected) {
				t.Errorf("deadline %s: answered %+v, want rejection %d", deadline, answer, want)
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("deadline %s: answered after %s", deadline, took)
			}
		}
		c.checkHistory(t)
	})
}

// As callers see it. Only requests without a key need no claim.
func TestDeadlineBeyondClaimsIsABadRequest(t *testing.T) {
	withCluster(t, 40, 1, 1, 1, func(t *testing.T, c *cluster) {
		c.limitClaims()
		for _, tc := range []struct{ timeout, key, want string }{
			{"61s", "a", "header Yucca-Timeout with Idempotency-Key: is too long, expected at most 1m0s, as long as claims are kept (limits.claims_kept)"},
			{"60s", "b", ""},
			{"", "c", ""}, // the default
			{"10m", "", ""},
		} {
			r := httptest.NewRequest("POST", "/v1/services/regulation/x", strings.NewReader("50ms"))
			for name, value := range map[string]string{"Yucca-Team": testTeam, "Yucca-Timeout": tc.timeout, "Idempotency-Key": tc.key} {
				r.Header.Set(name, value)
			}
			c.checkProblem(t, r, tc.want)
		}
		for deadline, want := range map[string]string{"61s": "deadline: is too long, expected at most 1m0s, as long as claims are kept (limits.claims_kept)", "60s": ""} {
			body := fmt.Sprintf(`{"team": "parishes", "service": "regulation", "id": %q, "submitted_at": %q, "deadline": %q, "tasks": [{"id": "t"}]}`,
				deadline, time.Now().Format(time.RFC3339), deadline)
			c.checkProblem(t, httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(body)), want)
		}
	})
}

// checkProblem sends a request to the first entry. With a detail, it must be a bad request
// that was not run.
func (c *cluster) checkProblem(t *testing.T, r *http.Request, detail string) {
	t.Helper()
	w := httptest.NewRecorder()
	c.entries[0].entry.Handler().ServeHTTP(w, r)
	if detail == "" {
		if w.Code != http.StatusOK {
			t.Errorf("%v: answered %d %s", r.Header, w.Code, w.Body)
		}
		return
	}
	p := yuccaproblem.Read(w.Result())
	if p.Type != yuccaproblem.BadRequest || p.Status != http.StatusBadRequest || !p.NotRun || p.Detail != detail {
		t.Errorf("%v: answered %+v, want the detail %q", r.Header, p, detail)
	}
}

// Until its deadline, which is the longest one, a job is neither run again nor refused as
// not run.
func TestClaimIsKeptUntilTheLongestDeadline(t *testing.T) {
	withCluster(t, 37, 1, 2, 1, func(t *testing.T, c *cluster) {
		c.allowLongRuns()
		c.limitClaims()
		time.Sleep(12 * time.Minute) // the limits before have no effect any more
		spec := jobSpec{id: "key", tasks: 1, runTime: 59 * time.Second, deadline: time.Minute}
		submitted := time.Now()
		c.submitAsync(c.entries[0], spec)
		for time.Since(submitted) < 70*time.Second {
			time.Sleep(5 * time.Second)
			refused := spec
			refused.deadline = -1
			if answer := c.submit(c.entries[1], refused); answer.Rejection.NotRun() || answer.Outcome.GetNotRun() {
				t.Errorf("after %s: answered %+v, want no refusal as not run", time.Since(submitted), answer)
			}
		}
		c.submit(c.entries[1], spec)
		c.callers.Wait()
		if starts := c.countEvents(yuccahistory.Started, ""); starts != 1 {
			t.Errorf("got %d starts of one task", starts)
		}
		c.checkHistory(t)
	})
}

// Jobs that were admitted under the limits before are still running.
func TestShorterRetentionKeepsClaimsOfRunningJobs(t *testing.T) {
	withCluster(t, 38, 3, 2, 1, func(t *testing.T, c *cluster) {
		c.allowLongRuns()
		time.Sleep(2 * time.Second)
		spec := jobSpec{id: "key", tasks: 1, runTime: 9 * time.Minute, deadline: 10 * time.Minute}
		c.submitAsync(c.entries[0], spec)
		time.Sleep(time.Second)
		c.limitClaims()
		time.Sleep(8 * time.Minute)
		again := spec
		again.deadline = 20 * time.Second
		c.submit(c.entries[1], again)
		c.callers.Wait()
		if starts := c.countEvents(yuccahistory.Started, ""); starts != 1 {
			t.Errorf("got %d starts of one task", starts)
		}
		c.checkHistory(t)
	})
}

// Another entry takes the job over shortly before its claim is dropped, for a caller who
// waits for longer than that.
func TestJobThatWasTakenOverEndsBeforeItsClaim(t *testing.T) {
	withCluster(t, 39, 1, 2, 1, func(t *testing.T, c *cluster) {
		time.Sleep(memberSettleTime)
		c.allowLongRuns()
		c.limitClaims()
		spec := jobSpec{id: "key", tasks: 3 * testSlots, runTime: 45 * time.Second, deadline: time.Minute}
		submitted := time.Now()
		c.submitAsync(c.entries[0], spec)
		time.Sleep(time.Second)
		c.crash(c.entries[0])
		time.Sleep(40 * time.Second)
		answer := c.submit(c.entries[1], spec)
		if age := time.Since(submitted); age > time.Minute {
			t.Errorf("the job ended %s after its claim: %+v", age, answer)
		}
		if starts := c.countEvents(yuccahistory.Started, ""); starts <= 2*testSlots {
			t.Errorf("got %d starts, want some by the new owner", starts)
		}
		c.callers.Wait()
		c.checkHistory(t)
	})
}
