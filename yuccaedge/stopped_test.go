package yuccaedge_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
)

// One caller waits for its job when the event loop ends, the others come later.
func TestCallersWaitForALoopThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		edge, stopped := serveEdge(ctx, fabric.Host("e0"), yuccametric.New("e0"))
		time.Sleep(100 * time.Millisecond)
		side := dialAs(t, fabric.Host("s"), 1)
		time.Sleep(100 * time.Millisecond)
		open, late := &waitingCaller{edge: edge, outcome: make(chan yuccabroker.Outcome, 1)}, &waitingCaller{edge: edge, outcome: make(chan yuccabroker.Outcome, 1)}
		go open.run(t.Context())
		time.Sleep(100 * time.Millisecond)
		cancel()
		<-stopped
		if outcome := <-open.outcome; outcome.State != yuccabroker.Abandoned {
			t.Errorf("the open job is answered %v, want abandoned", outcome.State)
		}
		late.run(t.Context())
		if outcome := <-late.outcome; outcome.State != yuccabroker.Rejected || outcome.RetryAfter == 0 {
			t.Errorf("the late job is answered %+v, want rejected", outcome)
		}
		if _, _, err := edge.JobState(t.Context(), "q", "a"); !errors.Is(err, yuccaquery.ErrEnded) {
			t.Errorf("state of a job: %v", err)
		}
		if _, err := edge.RunTimes(t.Context()); !errors.Is(err, yuccaquery.ErrEnded) {
			t.Errorf("run times: %v", err)
		}
		if _, err := edge.ReplaceDocument(t.Context(), 1, nil); !errors.Is(err, yuccaedge.ErrNoLeader) {
			t.Errorf("change: %v", err)
		}
		_ = side.Close()
		fabric.Crash("e0")
	})
}
