package yuccaside

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/yuccaturn/yuccaturn/yuccatrace"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// run is an attempt in progress at a target.
type run struct {
	side    *Side
	start   *yuccawire.Start
	address string
	cancel  context.CancelFunc
	// owner is the name of the entry that receives the result.
	owner    string
	deadline time.Time
}

// shorten moves the deadline forward after a suspension of the machine, during which
// the clock of its timer stood still.
func (r *run) shorten(now time.Time, suspendedFor time.Duration) {
	r.deadline = r.deadline.Add(-suspendedFor)
	if left := r.deadline.Sub(now); left > 0 {
		time.AfterFunc(left, r.cancel)
		return
	}
	r.cancel()
}

// run runs the attempt at the target and posts its result to the event loop.
// postCtx outlives ctx, which ends at the attempt's deadline or when the attempt is
// cancelled.
func (r *run) run(ctx, postCtx context.Context) {
	defer r.cancel()
	startedAt := time.Now()
	ctx, span := yuccatrace.StartRemote(ctx, "side.run", r.start.GetTraceparent(), trace.SpanKindClient)
	result := r.side.options.Runner.Run(ctx, r.address, r.start, r.side.mayStart)
	span.End()
	result.Key = r.start.GetKey()
	result.Service = r.start.GetService()
	result.RunUs = uint64(time.Since(startedAt).Microseconds())
	_ = r.side.post(postCtx, runFinished{run: r, result: result})
}

func (s *Side) handleStart(ctx context.Context, now time.Time, from *ownerLink, m *yuccawire.Start) {
	from.startsSeen++
	suspendedFor := s.suspensions.Total - from.suspendedBefore
	deadline := from.openedAt.Add(time.Duration(m.GetDeadlineMs())*time.Millisecond - suspendedFor)
	decision := s.gate.Start(now, deadline, m)
	switch {
	case decision.Admitted():
		s.metrics.Add("tasks_started", 1)
		s.startRun(ctx, from, m, deadline)
	case decision.Duplicate():
		s.metrics.Add("starts_repeated", 1)
		if decision.Result() != nil {
			s.sendFinished(from, decision.Result())
		}
	default:
		s.metrics.Add("refused_"+refusalName(decision.Refusal()), 1)
		s.sendRefused(from, &yuccawire.Refused{Key: m.GetKey(), Reason: decision.Refusal(), Service: m.GetService()})
	}
}

func (s *Side) startRun(ctx context.Context, from *ownerLink, m *yuccawire.Start, deadline time.Time) {
	runCtx, cancel := context.WithDeadline(ctx, deadline)
	r := &run{side: s, start: m, address: s.targets[m.GetService()].baseURL, cancel: cancel, owner: from.node.GetName(), deadline: deadline}
	s.running[runKeyOf(m.GetKey())] = r
	go r.run(runCtx, ctx)
}

func (s *Side) handleFinished(f runFinished) {
	delete(s.running, runKeyOf(f.result.GetKey()))
	if !s.gate.Finish(f.result) {
		s.metrics.Add("results_unexpected", 1)
		return
	}
	if f.result.GetState() == yuccawire.TaskState_TASK_FINISHED {
		s.metrics.Add("tasks_finished", 1)
	} else {
		s.metrics.Add("tasks_lost", 1)
	}
	if o := s.owners[f.run.owner]; o != nil {
		s.sendFinished(o, f.result)
		return
	}
	s.metrics.Add("results_waiting", 1)
}

// handleCancel refuses further starts of the jobs and cancels the requests of their
// running attempts. It ignores a fenced owner, whose jobs may belong to another one.
func (s *Side) handleCancel(now time.Time, from *ownerLink, c *yuccawire.Cancel) {
	if s.gate.IsFenced(from.node.GetName(), from.node.GetIncarnation()) {
		s.metrics.Add("cancels_fenced", 1)
		return
	}
	for _, job := range c.GetJobs() {
		for _, key := range s.gate.Cancel(now, job) {
			if r := s.running[runKeyOf(key)]; r != nil {
				s.metrics.Add("tasks_cancelled", 1)
				r.cancel()
			}
		}
	}
}

func refusalName(r yuccawire.Refusal) string {
	return lowerName(r.String(), "REFUSAL_")
}
