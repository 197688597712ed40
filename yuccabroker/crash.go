package yuccabroker

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// maxCrashes is how many workers may crash under the runs of a task before it is
	// given up. Two are enough if they crashed at the same point of its runs: that is
	// the task's doing, not that of another one on the same worker.
	maxCrashes = 3
	// maxAnyCrashes is the same with the crashes that the task may not have been there for.
	// Workers that crash before they can answer a start show no others.
	maxAnyCrashes = 4
	// Crashes happened at the same point if the run times until then differ by at most
	// samePointShare of the longer one and samePointSlack, with which the side sees
	// starts and crashes.
	samePointShare = 0.1
	samePointSlack = 15 * time.Millisecond
	// maxCountedLosses limits the number of counters of tasks by their losses.
	maxCountedLosses = 6
)

// recordLoss counts a run that ended with its worker.
func (b *Broker) recordLoss(t *task) {
	t.losses++
	b.metrics.Add("runs_lost_with_worker", 1)
	b.metrics.Add(fmt.Sprintf("tasks_lost_%d_times", min(t.losses, maxCountedLosses)), 1)
}

// HandleCrashReport records crashes of workers. New ones are published to the other
// entries. A job ends as failed if one of its tasks is the likely cause.
func (b *Broker) HandleCrashReport(now time.Time, m *yuccawire.CrashReport) {
	news := &yuccawire.CrashReport{}
	for _, c := range m.GetCrashes() {
		if !b.crashes.add(now, c, b.isExplained(c), b.isConfined) {
			continue
		}
		news.Crashes = append(news.Crashes, c)
		if c.GetUnproven() {
			b.metrics.Add("worker_crashes_suspected", 1)
			b.options.Logger.Info("worker may have crashed", "side", c.GetSide(), "worker", c.GetWorker(), "born", c.GetStartedUnixMs(),
				"age_ms", c.GetAgeMs(), "runs", len(c.GetRuns()))
			continue
		}
		b.metrics.Add("worker_crashes", 1)
		b.options.Logger.Info("worker crashed", "side", c.GetSide(), "worker", c.GetWorker(), "born", c.GetStartedUnixMs(),
			"age_ms", c.GetAgeMs(), "runs", len(c.GetRuns()))
		b.forgetWorker(c.GetSide(), "worker crashed")
		b.recordDown(c.GetSide(), now.Add(-time.Duration(c.GetAgeMs())*time.Millisecond))
		b.recordMemberCrash(now, c)
		for _, r := range c.GetRuns() {
			b.checkCrashes(now, culprit{task: r.GetTask(), queue: r.GetQueue(), service: c.GetService()})
		}
	}
	for _, confined := range m.GetConfined() {
		b.adopt(now, confined)
	}
	b.updateBulkheads(now)
	if len(news.GetCrashes()) > 0 {
		b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_CrashReport{CrashReport: news}}})
	}
}

// RecentCrashes returns the known crashes and confined queues for an entry that may not
// know them.
func (b *Broker) RecentCrashes(now time.Time) *yuccawire.CrashReport {
	report := b.crashes.report(now)
	for _, h := range b.bulkheadList {
		report.Confined = append(report.Confined, h.toWire(now))
	}
	return report
}

// checkCrashes ends the job of a task under which a worker has crashed if the task is
// the likely cause.
func (b *Broker) checkCrashes(now time.Time, c culprit) {
	name := c.task
	crashes := b.crashes.provenUnder(name)
	if !crashesWorkers(crashes) {
		return
	}
	id := jobOf(name)
	if b.recordCulprit(now, c) {
		b.metrics.Add("tasks_found_crashing", 1)
		b.options.Logger.Info("task crashes its workers", "job", id, "task", name, "queue", c.queue, "crashes", len(crashes),
			"ran_ms", crashes[len(crashes)-1].ran.Milliseconds())
	}
	if j := b.jobs[id]; j != nil {
		b.answer(now, j, crashOutcome(name, crashes))
	}
}

// isSuspect reports whether a worker has crashed under an earlier run of a task, or may have. If
// several crashed at the same moment, as after a loss of power, no task is the cause.
func (b *Broker) isSuspect(t *task) bool {
	return slices.ContainsFunc(b.crashes.byTask[t.name], func(r crashedRun) bool { return !r.crash.isSimultaneous })
}

// runsSuspect reports whether a side has a run of a suspect task.
func (b *Broker) runsSuspect(s *side) bool {
	if s.hasSuspectRun {
		return true
	}
	for t := range s.runs {
		if b.isSuspect(t) {
			return true
		}
	}
	return false
}

func crashOutcome(task string, crashes []crashedRun) Outcome {
	return Outcome{State: Failed, Reason: fmt.Sprintf("task %s crashed %d workers", task, len(crashes))}
}

// crashRefusal returns the outcome of a submitted job with a task that is known to
// crash its workers, or nil.
func (b *Broker) crashRefusal(j *job) *Outcome {
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if crashes := b.crashes.provenUnder(t.name); crashesWorkers(crashes) {
				outcome := crashOutcome(t.name, crashes)
				return &outcome
			}
		}
	}
	return nil
}

// crashesWorkers reports whether a task is the likely cause of the crashes under its
// runs.
func crashesWorkers(runs []crashedRun) bool {
	confirmed := 0
	for i, a := range runs {
		if a.isUnconfirmed {
			continue
		}
		confirmed++
		for _, b := range runs[:i] {
			if !b.isUnconfirmed && !a.isExplained && !b.isExplained && isSamePoint(a.ran, b.ran) {
				return true
			}
		}
	}
	return confirmed >= maxCrashes || len(runs) >= maxAnyCrashes
}

func isSamePoint(a, b time.Duration) bool {
	return (a - b).Abs() <= time.Duration(samePointShare*float64(max(a, b)))+samePointSlack
}
