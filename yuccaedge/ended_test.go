package yuccaedge_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// submitShort submits the job of waitingCaller for 100 ms.
func submitShort(edge *yuccaedge.Edge) yuccabroker.Outcome {
	caller := &waitingCaller{edge: edge, outcome: make(chan yuccabroker.Outcome, 1)}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	caller.run(ctx)
	return <-caller.outcome
}

func isCancelled(o yuccabroker.Outcome) bool {
	return o.State == yuccabroker.Failed && o.Reason == "cancelled"
}

// More than 17 entries aren't all linked.
func TestCancelledJobIsAcceptedByEntriesThatAreNotLinked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 24)
		time.Sleep(4 * time.Second)
		side := dialAs(t, g.fabric.Host("s"), 1)
		time.Sleep(100 * time.Millisecond)
		caller := &waitingCaller{edge: g.edges[0], outcome: make(chan yuccabroker.Outcome, 1)}
		go caller.run(t.Context())
		time.Sleep(100 * time.Millisecond)
		if known, err := g.edges[0].Cancel(t.Context(), "q", "a"); err != nil || !known {
			t.Fatalf("the cancelling is answered %v, %v", known, err)
		}
		<-caller.outcome
		time.Sleep(500 * time.Millisecond)
		accepting := 0
		for _, edge := range g.edges {
			if !isCancelled(submitShort(edge)) {
				accepting++
			}
		}
		if accepting > 0 {
			t.Errorf("%d entries don't answer that the job is cancelled", accepting)
		}
		_ = side.Close()
	})
}

// The entry restarts, or was cut off, as the job was cancelled.
func TestEntryThatIsLinkedLaterRunsACancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		edge, stopped := serveEdge(ctx, fabric.Host("e0"), yuccametric.New("e0"))
		time.Sleep(100 * time.Millisecond)
		_, _ = edge.Cancel(ctx, "q", "a")
		time.Sleep(4 * time.Second)
		link := dialAsEntry(t, fabric.Host("e1"), "e1")
		var ended []*yuccawire.EndedJob
		for start := time.Now(); ended == nil && time.Since(start) < 5*time.Second; {
			m, err := link.Receive()
			if err != nil {
				break
			}
			ended = m.GetEndedJobs().GetJobs()
		}
		if len(ended) != 1 || ended[0].GetJob() != "a" || !ended[0].GetCancelled() || ended[0].GetRemainingMs() > 6000 {
			t.Errorf("the entry is told %v, want that job a was cancelled, for 6 s at most", ended)
		}
		cancel()
		<-stopped
		fabric.Crash("e0")
	})
}
