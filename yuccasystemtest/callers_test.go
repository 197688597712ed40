package yuccasystemtest

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccaentry"
	"github.com/yuccaturn/yuccaturn/yuccahistory"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// jobSpec describes a job to submit.
type jobSpec struct {
	// team defaults to testTeam.
	team       string
	id         string
	tasks      int
	runTime    time.Duration
	deadline   time.Duration
	repeatable bool
	// submittedAgo is how long ago the caller claims to have first submitted the
	// job.
	submittedAgo time.Duration
}

func (s jobSpec) key() yuccadispatch.Key {
	if s.team == "" {
		return yuccadispatch.Key{Team: testTeam, ID: s.id}
	}
	return yuccadispatch.Key{Team: s.team, ID: s.id}
}

func (s jobSpec) taskIDs() []string {
	ids := make([]string, s.tasks)
	for i := range ids {
		ids[i] = fmt.Sprintf("t%d", i)
	}
	return ids
}

func (s jobSpec) submission(now time.Time) yuccadispatch.Submission {
	digest := sha256.Sum256(fmt.Appendf(nil, "%s %d %s", s.id, s.tasks, s.runTime))
	submission := yuccadispatch.Submission{
		Key: s.key(), Service: testService, Digest: digest[:], Deadline: now.Add(s.deadline), Repeatable: s.repeatable,
	}
	if s.submittedAgo > 0 {
		submission.SubmittedAt = now.Add(-s.submittedAgo)
	}
	for _, id := range s.taskIDs() {
		submission.Tasks = append(submission.Tasks, yuccadispatch.TaskRequest{
			ID: id, Request: &yuccawire.Request{Method: "POST", Path: "/", Body: []byte(s.runTime.String())},
		})
	}
	return submission
}

// submit submits the job to the entry and records the answer. If the entry
// crashes, the outcome is recorded as unknown.
func (c *cluster) submit(n *node, s jobSpec) yuccadispatch.Answer {
	return c.submitTo(n.ctx, n.name, n.entry, s)
}

func (c *cluster) submitTo(nodeCtx context.Context, name string, entry *yuccaentry.Entry, s jobSpec) yuccadispatch.Answer {
	request := fmt.Sprintf("%s#%d", s.id, c.requestCount.Add(1))
	job := s.key().Team + "/" + s.id
	now := time.Now()
	c.recorder.Add(yuccahistory.Event{
		Kind: yuccahistory.Submitted, Node: name, Job: job, Request: request,
		Tasks: s.taskIDs(), Repeatable: s.repeatable, Deadline: now.Add(max(s.deadline, 2*time.Second)),
	})
	ctx, cancel := context.WithTimeout(nodeCtx, s.deadline+10*time.Second)
	defer cancel()
	answer, err := entry.Submit(ctx, s.submission(now))
	event := yuccahistory.Event{Kind: yuccahistory.Answered, Node: name, Job: job, Request: request}
	describeAnswer(&event, answer, err)
	c.recorder.Add(event)
	return answer
}

func describeAnswer(event *yuccahistory.Event, answer yuccadispatch.Answer, err error) {
	event.Detail = fmt.Sprintf("rejection %d, %s", answer.Rejection, answer.Outcome.GetReason())
	switch {
	case err != nil:
		event.Outcome = yuccahistory.OutcomeUnknown
	case answer.Rejection == yuccadispatch.OutcomeUnknown || answer.Rejection == yuccadispatch.Expired:
		event.Outcome = yuccahistory.OutcomeUnknown
	case answer.Rejection != yuccadispatch.NotRejected:
		event.Outcome = yuccahistory.OutcomeRefused
		event.NotRun = answer.Rejection.NotRun()
	case answer.Outcome.GetUndetermined():
		event.Outcome = yuccahistory.OutcomeUnknown
	case answer.Outcome.GetComplete():
		event.Outcome = yuccahistory.OutcomeComplete
		for _, t := range answer.Outcome.GetTasks() {
			event.Results = append(event.Results, yuccahistory.Result{Task: t.GetId(), Result: string(t.GetBody())})
		}
	default:
		event.Outcome = yuccahistory.OutcomeFailed
		event.NotRun = answer.Outcome.GetNotRun()
	}
}

// submitAsync submits the job in a new goroutine, which c.callers waits for.
func (c *cluster) submitAsync(n *node, s jobSpec) {
	nodeCtx, entry := n.ctx, n.entry
	c.callers.Go(func() { c.submitTo(nodeCtx, n.name, entry, s) })
}

// checkHistory fails the test for each violation in the history, and logs all
// events of the affected jobs.
func (c *cluster) checkHistory(t *testing.T) {
	t.Helper()
	jobs := make(map[string]bool)
	for _, v := range yuccahistory.Check(c.recorder.Events(), yuccahistory.Bounds{}) {
		t.Errorf("%s", v)
		for _, e := range v.Events {
			jobs[e.Job] = true
		}
	}
	for _, e := range c.recorder.Events() {
		if e.Job != "" && jobs[e.Job] {
			t.Logf("%s %s node=%s job=%s task=%s attempt=%d request=%s outcome=%s not_run=%t %s",
				e.At.Format("05.000"), e.Kind, e.Node, e.Job, e.Task, e.Attempt, e.Request, e.Outcome, e.NotRun, e.Detail)
		}
	}
}

// countEvents counts the events of the kind, with the outcome if it is not empty.
func (c *cluster) countEvents(kind yuccahistory.Kind, outcome string) int {
	n := 0
	for _, e := range c.recorder.Events() {
		if e.Kind == kind && (outcome == "" || e.Outcome == outcome) {
			n++
		}
	}
	return n
}
