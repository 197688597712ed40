package yuccaside

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// blockingRunner records the runs that end with their context.
type blockingRunner struct {
	mu    sync.Mutex
	ended []string
}

func (r *blockingRunner) Run(ctx context.Context, _ string, start *yuccawire.Start, _ func() bool) *yuccawire.Finished {
	<-ctx.Done()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, start.GetKey().GetTask())
	return &yuccawire.Finished{State: yuccawire.TaskState_TASK_UNKNOWN}
}

// Control and the entries have counted 4 s that the clock of the side has not. The lease
// of 3 s, also one that waits to be applied, and the deadline of a run have passed.
func TestSuspendedSide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var total time.Duration
		runner := &blockingRunner{}
		s := New(Options{
			Network: yuccamemnet.New(yuccamemnet.Options{}).Host("side-1"), Self: &yuccawire.Node{Name: "side-1", Incarnation: 1},
			Runner: runner, Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("side-1"),
			Suspensions: yuccasuspend.NewMonitorOf(func() time.Duration { return total }),
		})
		if err := s.addTarget(time.Now(), Announcement{Service: "regulation", Address: "http://127.0.0.1:1", Slots: 4, Connections: 4}); err != nil {
			t.Fatal(err)
		}
		update := yuccalease.Update{Lease: yuccalease.Lease{}.Extend(time.Now(), yuccalease.Duration), View: yuccadocument.NewView()}
		s.handleLeaseUpdate(update)
		owner := &ownerLink{node: &yuccawire.Node{Name: "entry-1", Incarnation: 1}, link: &discardingLink{}, openedAt: time.Now()}
		s.handleLinkOpened(owner)
		start := func(task string, deadline time.Duration) {
			m := &yuccawire.Start{
				Key: &yuccawire.TaskKey{Job: &yuccawire.JobKey{Team: "parishes", Id: "j"}, Task: task, Attempt: 1}, Owner: "entry-1",
				OwnerIncarnation: 1, SideIncarnation: 1, Service: "regulation", DeadlineMs: uint64(deadline.Milliseconds()),
			}
			s.handleEvent(ctx, time.Now(), linkMessage{from: owner, message: &yuccawire.Envelope{Body: &yuccawire.Envelope_Start{Start: m}}})
		}
		wantEnded := func(when string, want int) {
			t.Helper()
			synctest.Wait()
			runner.mu.Lock()
			defer runner.mu.Unlock()
			if len(runner.ended) != want {
				t.Errorf("%s: the runs %v have ended, want %d", when, runner.ended, want)
			}
		}
		start("short", 2*time.Second)
		start("long", 10*time.Second)
		total += 4 * time.Second
		start("held up", time.Minute)
		if len(s.running) != 2 {
			t.Errorf("%d runs, want 2: a task was started under a lease that has expired", len(s.running))
		}
		wantEnded("suspended", 1)
		s.handleLeaseUpdate(update)
		start("by the lease before", time.Minute)
		if len(s.running) != 2 {
			t.Errorf("%d runs, want 2: a lease from before the suspension was used", len(s.running))
		}
		time.Sleep(5900 * time.Millisecond)
		wantEnded("before the deadline", 1)
		time.Sleep(200 * time.Millisecond)
		wantEnded("after the deadline", 2)
		s.handleLeaseUpdate(yuccalease.Update{Lease: yuccalease.Lease{}.Extend(time.Now(), yuccalease.Duration), View: update.View, Suspensions: 1})
		start("late", 10*time.Second)
		start("in time", 12*time.Second)
		if len(s.running) != 3 {
			t.Errorf("%d runs, want 3: one has its deadline behind it", len(s.running))
		}
		time.Sleep(2100 * time.Millisecond)
		wantEnded("after the deadline of the last run", 3)
		cancel()
		synctest.Wait()
	})
}

// discardingLink sends nothing.
type discardingLink struct{ yuccawire.Link }

func (discardingLink) Send(*yuccawire.Envelope) error { return nil }
