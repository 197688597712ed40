package yuccaside

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/yuccaturn/yuccaturn/yuccatrace"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// run is one attempt that the target works on.
type run struct {
	side    *Side
	start   *yuccawire.Start
	address string
	cancel  context.CancelFunc
	// owner is the entry that gets the result.
	owner string
}

// run passes the attempt to the target and posts its result.
func (r *run) run(ctx, posting context.Context) {
	defer r.cancel()
	began := time.Now()
	ctx, span := yuccatrace.StartRemote(ctx, "side.run", r.start.GetTraceparent(), trace.SpanKindClient)
	result := r.side.options.Runner.Run(ctx, r.address, r.start)
	span.End()
	result.Key = r.start.GetKey()
	result.Service = r.start.GetService()
	result.RunUs = uint64(time.Since(began).Microseconds())
	_ = r.side.post(posting, finished{run: r, result: result})
}

func (s *Side) start(ctx context.Context, now time.Time, from *ownerLink, m *yuccawire.Start) {
	from.startsSeen++
	deadline := from.opened.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond)
	verdict := s.gate.Start(now, deadline, m)
	switch {
	case verdict.Admitted():
		s.metrics.Add("tasks_started", 1)
		s.begin(ctx, from, m, deadline)
	case verdict.Duplicate():
		s.metrics.Add("starts_repeated", 1)
		if verdict.Result() != nil {
			s.sendFinished(from, verdict.Result())
		}
	default:
		s.metrics.Add("refused_"+refusalName(verdict.Refusal()), 1)
		s.sendRefused(from, &yuccawire.Refused{Key: m.GetKey(), Reason: verdict.Refusal(), Service: m.GetService()})
	}
}

func (s *Side) begin(ctx context.Context, from *ownerLink, m *yuccawire.Start, deadline time.Time) {
	running, cancel := context.WithDeadline(ctx, deadline)
	r := &run{side: s, start: m, address: s.targets[m.GetService()].address, cancel: cancel, owner: from.node.GetName()}
	s.running[keyOf(m.GetKey())] = r
	go r.run(running, ctx)
}

func (s *Side) finish(f finished) {
	delete(s.running, keyOf(f.result.GetKey()))
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

// cancel refuses what has not started of the jobs, and asks the target to stop
// what runs.
func (s *Side) cancel(now time.Time, c *yuccawire.Cancel) {
	for _, job := range c.GetJobs() {
		for _, key := range s.gate.Cancel(now, job) {
			if r := s.running[keyOf(key)]; r != nil {
				s.metrics.Add("tasks_cancelled", 1)
				r.cancel()
			}
		}
	}
}

func refusalName(r yuccawire.Refusal) string {
	return lowerName(r.String(), "REFUSAL_")
}
