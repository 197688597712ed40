package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// A resend that joins the open job of a stopping entry does not extend it beyond the stop.
func TestResendDoesNotOutlastTheStop(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.StopAt(f.now, f.now.Add(500*time.Millisecond))
	f.submit(job("a", 1), 2)
	f.advance(540*time.Millisecond, "s1")
	f.wantState(1, yuccabroker.Abandoned)
	f.wantState(2, yuccabroker.Abandoned)
}

// The outcome of a submission is retained as long as any, also if an earlier one was abandoned.
func TestOutcomeOfAResendIsRetained(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.endRun("s1", "a.0.0.0", 1, refused, yuccawire.RunRefusal_RUN_REFUSAL_WITHDRAWN)
	f.advance(9*time.Second, "s1")
	again := job("a", 1)
	again.Deadline = f.now.Add(3 * time.Second)
	f.submit(again, 2)
	f.endRun("s1", "a.0.0.0", 2, done, 0)
	f.wantState(2, yuccabroker.Completed)
	f.advance(2*time.Second, "s1")
	f.submit(again, 3)
	f.wantState(3, yuccabroker.Completed)
	if f.sentRuns()["a.0.0.0/1"] == "" || len(f.sentRuns()) != 2 {
		t.Errorf("sent %v, want one run for each submission that was not answered", f.sentRuns())
	}
}

// A caller that comes again soon meets runs of its earlier submission that may be alive.
func TestResendWaitsForTheRunsOfTheEarlierSubmission(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 2), 1)
	first := f.sentRuns()
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.submit(job("a", 2), 2)
	f.advance(100*time.Millisecond, "s1", "s2")
	if n := len(f.sentRuns()); n != 2 {
		t.Fatalf("sent %v while the runs %v may be alive", f.sentRuns(), first)
	}
	f.endRun(first["a.0.0.0/1"], "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	if runs := f.sentRuns(); len(runs) != 3 || runs["a.0.0.0/2"] == "" {
		t.Errorf("sent %v, want a second run of a.0.0.0 only", runs)
	}
	f.advance(1600 * time.Millisecond)
	f.advance(40*time.Millisecond, "s1", "s2")
	if runs := f.sentRuns(); len(runs) != 3 {
		t.Fatalf("sent %v while the other run may be alive", runs)
	}
	f.endRun(first["a.0.0.1/1"], "a.0.0.1", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	if runs := f.sentRuns(); runs["a.0.0.1/2"] == "" {
		t.Errorf("sent %v, want a second run of a.0.0.1 once the first has ended", runs)
	}
}

// The caller has come again and left again after the deadline of its first submission.
func TestSecondResendDoesNotWaitForAnUnansweredStart(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	lost, other := f.onlySide(), "s2"
	if lost == "s2" {
		other = "s1"
	}
	for n, leavesAt := range []time.Duration{100 * time.Millisecond, 3500 * time.Millisecond} {
		f.advance(startTime.Add(leavesAt).Sub(f.now), other)
		f.broker.HandleDisconnect(f.now, "a", uint64(n+1))
		f.advance(200*time.Millisecond, other)
		resend := job("a", 1)
		resend.Deadline = f.now.Add(4 * time.Second)
		f.submit(resend, uint64(n+2))
	}
	f.advance(time.Second, other)
	if len(f.orders[other]) != 0 {
		t.Errorf("ordered %v at another side, want the run of the first submission only", f.orders[other])
	}
}

// The caller of a long job comes again once the outcome of its first submission is forgotten.
func TestRunNumberOfAnUnansweredStartIsUsedAgain(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	j := job("a", 1)
	j.Deadline = startTime.Add(30 * time.Second)
	f.submit(j, 1)
	lost, other := f.onlySide(), "s2"
	if lost == "s2" {
		other = "s1"
	}
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.advance(11*time.Second, other)
	f.submit(j, 2)
	f.advance(time.Second, other)
	if len(f.orders[other]) != 0 {
		t.Errorf("ordered %v at another side, want the run of the first submission only", f.orders[other])
	}
}

// onlySide returns the side that has got the only order.
func (f *fixture) onlySide() string {
	f.t.Helper()
	if len(f.orders) != 1 {
		f.t.Fatalf("orders are %v, want those of one side", f.orders)
	}
	for side := range f.orders {
		return side
	}
	return ""
}

// The caller that joined the job stops waiting before the first one, who comes again.
func TestShorterDeadlineOfAResendReleasesAnUnansweredStart(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	j := job("a", 1)
	j.Deadline = startTime.Add(8 * time.Second)
	f.submit(j, 1)
	lost, other := f.onlySide(), "s2"
	if lost == "s2" {
		other = "s1"
	}
	f.advance(100*time.Millisecond, other)
	f.submit(job("a", 1), 2)
	f.advance(3500*time.Millisecond, other)
	f.submit(j, 3)
	f.advance(time.Second, other)
	if len(f.orders[other]) != 0 {
		t.Errorf("ordered %v at another side, want the run of the first submission only", f.orders[other])
	}
}

// The new process of a side doesn't take its worker over, and the caller of a long job comes again.
func TestRunNumberOfAnOrphanIsUsedAgain(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	j := job("a", 1)
	j.Deadline = startTime.Add(30 * time.Second)
	f.submit(j, 1)
	lost, other := f.onlySide(), "s2"
	if lost == "s2" {
		other = "s1"
	}
	notTaken := func(m *yuccawire.WorkerState) { m.Taken, m.Ready = false, false }
	f.broker.HandleLinkDown(f.now, lost)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: lost, Incarnation: 2, DataCentre: "puno"})
	f.broker.HandleDisconnect(f.now, "a", 1)
	for range 600 {
		f.reportState(lost, 0, notTaken)
		f.advance(20*time.Millisecond, other)
	}
	f.submit(j, 2)
	f.advance(time.Second, other)
	if len(f.orders[other]) != 0 {
		t.Errorf("ordered %v at another side, want the run of the first submission only", f.orders[other])
	}
}

// The worker stands still beside its side, which reports all the while, and the caller comes again late.
func TestRunNumberOfARunAtAStandingWorkerIsUsedAgain(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	j := job("a", 1)
	j.Deadline = startTime.Add(30 * time.Second)
	f.submit(j, 1)
	standing, other := f.onlySide(), "s2"
	if standing == "s2" {
		other = "s1"
	}
	f.broker.HandleDisconnect(f.now, "a", 1)
	for range 550 {
		f.reportState(standing, 0, func(m *yuccawire.WorkerState) {
			m.Taken, m.Ready, m.OrdersSeen = false, false, f.lastOrder[standing]
		})
		f.advance(20*time.Millisecond, other)
	}
	f.submit(j, 2)
	f.advance(time.Second, other)
	if len(f.orders[other]) != 0 {
		t.Errorf("ordered %v at another side, want the run of the first submission only", f.orders[other])
	}
}

// The caller is answered at its deadline, as the side is silent, and submits again as after any such answer.
func TestResendAfterTheDeadlineWaitsForARunAtASilentSide(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.report("s1", fullCPU)
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
	for f.answers[1].State != yuccabroker.Abandoned {
		f.advance(20*time.Millisecond, "s2")
	}
	f.advance(1300*time.Millisecond, "s2")
	again := job("a", 1)
	again.Deadline = f.now.Add(3 * time.Second)
	f.submit(again, 2)
	f.advance(time.Second, "s2")
	if len(f.orders["s2"]) != 0 {
		t.Errorf("ordered %v at another side, want none while the first run may be in progress", f.orders["s2"])
	}
}
