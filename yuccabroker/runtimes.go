package yuccabroker

import (
	"strconv"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaestimate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// minSlackShare is the least share of the time that a job has by its estimate which
	// is left to it by the learned ratios. Without it, all jobs of a queue with widely
	// spread ratios would count as late when they arrive, and wait behind all others.
	minSlackShare = 0.25
	// uncertainDelay is added to the objective of urgent jobs that are late by the learned
	// run times and not by the estimate: they go behind the other jobs in time, and not
	// from before all to behind all. No objective is longer.
	uncertainDelay = 10 * time.Minute
	// stragglerMargin times the 99th percentile of the queue marks a straggler. In a
	// queue in which 3% of the tasks take seven times as long, a third of these is
	// beyond the percentile; errors of the estimates spread them by a factor of 1.4.
	stragglerMargin = 1.5
	// shortestPercentile is that of the shortest runs of a queue, fastestWorker the
	// speed of the fastest workers: with both no task ends sooner.
	shortestPercentile = 0
	fastestWorker      = 1.6
)

// errorBoundsPercent are the exclusive upper bounds of the buckets of the relative
// errors.
var errorBoundsPercent = []int64{5, 10, 20, 40, 80, 160, 320}

// RunTimes returns the learned run times of the queues and speeds of the workers, which
// are named after their sides.
func (b *Broker) RunTimes(now time.Time) yuccaestimate.Status { return b.estimator.Status(now) }

// observeRun learns from the end of a run. Runs that failed or were lost say nothing
// about run times; one that was stopped as a straggler is a lower bound.
func (b *Broker) observeRun(now time.Time, t *task, s *side, e *yuccawire.Ended) {
	if !b.options.Scheduling.LearnedRunTimes {
		return
	}
	queue, estimate, ran := t.job.Queue.Name, t.step.Estimate, time.Duration(e.GetRanMs())*time.Millisecond
	remote := isRemote(t, s)
	switch {
	case e.GetEnd() == yuccawire.RunEnd_RUN_END_STOPPED && t.moved && !remote:
		b.estimator.ObserveStopped(now, queue, s.name, estimate, ran)
	case e.GetEnd() != yuccawire.RunEnd_RUN_END_DONE:
	default:
		b.metrics.Add("run_times_observed", 1)
		b.observeError("run_time_error_before", estimate, ran)
		b.observeError("run_time_error_after", b.runTimeAt(t, s, yuccaestimate.Median), ran)
		b.meanRun += time.Duration(meanRunWeight * float64(ran-b.meanRun))
		if remote {
			b.estimator.ObserveRemote(now, queue, s.name, estimate, ran)
		} else {
			b.estimator.Observe(now, queue, s.name, estimate, ran)
		}
	}
}

// observeError adds a run to the histogram of relative errors of that name.
func (b *Broker) observeError(name string, expected, ran time.Duration) {
	percent := int64(100 * (ran - expected).Abs() / max(expected, time.Millisecond))
	b.metrics.Add(name+"_count", 1)
	for _, bound := range errorBoundsPercent {
		if percent < bound {
			b.metrics.Add(name+"_le_"+strconv.FormatInt(bound, 10)+"_percent", 1)
			return
		}
	}
}

// isRemote reports whether a side is outside the rack of the task's data.
func isRemote(t *task, s *side) bool { return t.step.NearRack != "" && !s.hasLabel(t.step.NearRack) }

// runTimeAt returns the run time of a task at a side, at a percentile of its queue.
func (b *Broker) runTimeAt(t *task, s *side, percentile float64) time.Duration {
	expected := float64(b.estimator.RunTime(t.job.Queue.Name, s.name, t.step.Estimate, percentile))
	if isRemote(t, s) {
		expected *= b.rackFactor(t.job.Queue.Name)
	}
	return time.Duration(expected)
}

// expectedRunTime returns how long a task is expected to run at a side.
func (b *Broker) expectedRunTime(t *task, s *side) time.Duration {
	if _, runs := b.estimator.Ratio(t.job.Queue.Name, yuccaestimate.Median); runs < yuccaestimate.MinRuns {
		return time.Duration(s.slowdown * float64(t.step.Estimate))
	}
	return b.runTimeAt(t, s, yuccaestimate.Median)
}

// expectedWork returns the work of the tasks in a queue by their expected run times, in
// core-seconds.
func (b *Broker) expectedWork(q *taskQueue) float64 {
	if !b.options.Scheduling.LearnedRunTimes {
		return q.work
	}
	ratio, _ := b.estimator.Ratio(q.name, yuccaestimate.Median)
	return q.work * ratio
}

// rackFactor returns how many times as long the tasks of a queue take outside the rack
// of their data.
func (b *Broker) rackFactor(queue string) float64 {
	if factor, known := b.estimator.RackFactor(queue); known {
		return factor
	}
	return b.options.Scheduling.RemoteRackFactor
}

// forgetChangedWorker deletes the learned speed if a report shows that the worker of a
// side is another one, has restarted or has another capacity. A restart is only seen
// by the side taking over the worker again.
func (b *Broker) forgetChangedWorker(s *side, m *yuccawire.WorkerState) {
	reported := resources{cpuMilli: int(m.GetCpuMilli()), memoryMB: int(m.GetMemoryMb()), accelerators: int(m.GetAccelerators())}
	switch {
	case m.GetWorker() != "" && m.GetWorker() != s.worker:
		b.forgetWorker(s.name, "another worker")
	case m.GetWorker() != "" && reported != s.capacity:
		b.forgetWorker(s.name, "capacity changed")
	case s.taken && !m.GetTaken():
		b.forgetWorker(s.name, "worker is taken over again")
	}
	s.taken = m.GetTaken()
}

func (b *Broker) forgetWorker(name, reason string) {
	if speed, runs := b.estimator.Speed(name); runs > 0 {
		b.metrics.Add("worker_speeds_forgotten", 1)
		b.options.Logger.Info("worker speed forgotten", "side", name, "why", reason, "speed", speed, "runs", runs)
		b.estimator.Forget(name)
	}
}

// latestStart returns when a task has to start for its job to meet its objective. The
// objective is a multiple of the true run time, which is not known: a short one is
// assumed for the objective and a long one for the run. With few runs of the queue both
// are the estimate.
func (j *job) latestStart(st *step) time.Time {
	byEstimate := j.objective.Add(-st.Estimate)
	if j.estimator == nil {
		return byEstimate
	}
	run := j.estimator.RunTime(j.Queue.Name, "", st.Estimate, yuccaestimate.UpperQuartile)
	least := j.arrivedAt.Add(time.Duration(minSlackShare * float64(byEstimate.Sub(j.arrivedAt))))
	if latest := j.earlyObjective().Add(-run); latest.After(least) {
		return latest
	}
	return least
}

// earlyObjective returns the objective if the run times of the job are short ones of its
// queue.
func (j *job) earlyObjective() time.Time {
	if j.estimator == nil {
		return j.objective
	}
	short := j.estimator.RunTime(j.Queue.Name, "", j.path, yuccaestimate.Quartile)
	return j.arrivedAt.Add(j.Queue.objective(short))
}

// shortestRun returns a time that no run of a step is expected to be shorter than.
func (j *job) shortestRun(st *step) time.Duration {
	shortest := time.Duration(minTimeShare * float64(st.Estimate))
	if j.estimator == nil {
		return shortest
	}
	if ratio, runs := j.estimator.Ratio(j.Queue.Name, shortestPercentile); runs >= yuccaestimate.MinRuns {
		shortest = min(shortest, time.Duration(ratio/fastestWorker*float64(st.Estimate)))
	}
	return shortest
}

// isBeyondTail reports whether a run takes longer than nearly all runs of its queue. It
// is true with few runs of the queue.
func (b *Broker) isBeyondTail(now time.Time, t *task) bool {
	if !b.options.Scheduling.LearnedRunTimes {
		return true
	}
	if _, runs := b.estimator.Ratio(t.job.Queue.Name, yuccaestimate.Tail); runs < yuccaestimate.MinRuns {
		return true
	}
	tail := b.runTimeAt(t, t.side, yuccaestimate.Tail)
	return now.Sub(t.sentAt) > time.Duration(stragglerMargin*float64(tail))+stragglerSlack
}
