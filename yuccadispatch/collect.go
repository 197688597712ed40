package yuccadispatch

import (
	"fmt"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	firstErrorStatus = 400
	firstServerError = 500
)

// findAttempt returns the task whose current attempt has the given key, or nil.
// Late answers and answers to other attempts are counted and dropped.
func (d *Dispatcher) findAttempt(name string, key *yuccawire.TaskKey) *task {
	j := d.jobs[KeyOf(key.GetJob())]
	if j == nil || j.state == settled {
		d.metrics.Add("answers_late", 1)
		return nil
	}
	t := j.tasksByID[key.GetTask()]
	if t == nil || t.state != sent || t.attempt != key.GetAttempt() || t.side != name {
		d.metrics.Add("answers_crossed", 1)
		return nil
	}
	return t
}

// HandleFinished processes the completion of an attempt, sent by the named side.
func (d *Dispatcher) HandleFinished(now time.Time, name string, f *yuccawire.Finished) {
	if s := d.sides[name]; s != nil {
		d.updateFreeSlots(s, f.GetService(), f.GetFreeSlots(), f.GetStartsSeen())
	}
	if t := d.findAttempt(name, f.GetKey()); t != nil {
		d.finishTask(now, t, f)
	}
	d.placeService(now, d.service(f.GetService()))
}

func (d *Dispatcher) finishTask(now time.Time, t *task, f *yuccawire.Finished) {
	d.recordHealth(now, t, f)
	t.failedEndpoint = t.endpoint
	if f.GetState() != yuccawire.TaskState_TASK_FINISHED {
		d.handleLostAnswer(now, t, f.GetFailure())
		return
	}
	d.release(t)
	d.metrics.Add("tasks_finished", 1)
	d.applyResult(t, f)
	d.advance(now, t.job)
}

// applyResult settles the task according to the target's status, or retries it.
func (d *Dispatcher) applyResult(t *task, f *yuccawire.Finished) {
	j := t.job
	d.service(j.Service).rate.finished++
	d.service(j.Service).observeRunTime(time.Duration(f.GetRunUs()) * time.Microsecond)
	t.result = f
	minErrorStatus := uint32(firstErrorStatus)
	if j.Passthrough {
		minErrorStatus = firstServerError
	}
	switch {
	case f.GetStatus() < minErrorStatus:
		t.settle(succeeded)
	case d.allowRetry(j, t):
		d.retry(t)
	case j.Passthrough:
		t.settle(succeeded)
	default:
		t.settle(failed)
		t.failure = fmt.Sprintf("the target answered %d", f.GetStatus())
		j.failReason = fmt.Sprintf("task %q: %s", t.id, t.failure)
	}
}

// allowRetry reports whether a task that was started may be retried, and takes
// the token for it from the retry budget.
func (d *Dispatcher) allowRetry(j *job, t *task) bool {
	if !j.Repeatable || j.state != open || j.failReason != "" || t.tries+1 >= maxTries {
		return false
	}
	if j.takeover != nil && j.takeover.outlived {
		return false
	}
	if !d.retries.tryWithdraw() {
		d.metrics.Add("retries_denied", 1)
		return false
	}
	return true
}

func (d *Dispatcher) retry(t *task) {
	t.tries++
	t.maybeStarted = true
	d.metrics.Add("tasks_repeated", 1)
	d.requeue(t)
}

// handleLostAnswer retries or settles a task that was started, or may have been,
// and whose answer is lost.
func (d *Dispatcher) handleLostAnswer(now time.Time, t *task, failure string) {
	d.release(t)
	j := t.job
	if d.allowRetry(j, t) {
		d.retry(t)
		return
	}
	t.settle(unknown)
	t.failure = failure
	if j.failReason == "" {
		j.failReason = fmt.Sprintf("task %q: may have been started, and its answer is lost: %s", t.id, failure)
	}
	d.advance(now, j)
}

// HandleRefused processes a refusal: the named side has not run the attempt and
// never will.
func (d *Dispatcher) HandleRefused(now time.Time, name string, r *yuccawire.Refused) {
	s := d.sides[name]
	if s != nil {
		d.updateFreeSlots(s, r.GetService(), r.GetFreeSlots(), r.GetStartsSeen())
	}
	t := d.findAttempt(name, r.GetKey())
	if t == nil {
		return
	}
	d.metrics.Add("starts_refused", 1)
	d.release(t)
	j := t.job
	switch r.GetReason() {
	case yuccawire.Refusal_REFUSAL_NO_SLOT, yuccawire.Refusal_REFUSAL_NEVER_ARRIVED:
	case yuccawire.Refusal_REFUSAL_SEEN_BEFORE:
		d.handleLostAnswer(now, t, "the side started it before")
		return
	case yuccawire.Refusal_REFUSAL_PAST_DEADLINE, yuccawire.Refusal_REFUSAL_CANCELLED, yuccawire.Refusal_REFUSAL_FENCED:
		t.state = waiting
		d.advance(now, j)
		return
	default:
		if s != nil {
			s.blockedUntil = now.Add(refusalBackoff)
		}
	}
	if j.failReason != "" || j.state != open {
		t.state = waiting
		d.advance(now, j)
		return
	}
	d.requeue(t)
	d.placeService(now, d.service(j.Service))
}
