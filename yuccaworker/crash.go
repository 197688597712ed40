package yuccaworker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// crashConfirmation is how long a worker must refuse connections before its crash
	// is reported.
	crashConfirmation = 20 * time.Millisecond
	// minUnansweredHolds is how many renewals in a row a worker must leave unanswered
	// to be suspected of a crash when its hold has expired. There are fewer if the side
	// itself stood still.
	minUnansweredHolds = 4
	// crashRetention is how long crashes are reported on new links, maxRetainedCrashes
	// limits their number.
	crashRetention     = time.Minute
	maxRetainedCrashes = 64
)

// retainedCrash is a crash of the worker that is reported on new links.
type retainedCrash struct {
	crash     *yuccawire.Crash
	crashedAt time.Time
}

// checkCrash reports the crash of a worker that keeps refusing connections. Its runs
// are reported as ended later, when the hold has expired.
func (w *Worker) checkCrash(now time.Time) {
	if w.report != nil && !w.gone && !w.report.Leaving && !w.deregistered && !w.isReachable() && now.Sub(w.unreachableSince) >= crashConfirmation {
		w.reportCrash(now)
	}
}

// reportCrash tells all owners which runs were active when this incarnation of the
// worker crashed. It does so once.
func (w *Worker) reportCrash(now time.Time) {
	if w.crashReported {
		return
	}
	p := w.newCrash(w.crashTime(now), func(r *run) bool { return r.listed || r.state == started })
	if len(p.crash.GetRuns()) == 0 {
		return
	}
	w.crashReported, w.unproven = true, nil
	w.publishCrash(now, p)
}

// reportSilence tells all owners which runs were active when a worker last answered that has been silent
// for so long that it may have crashed. They suspect their tasks, which count as the cause of a crash
// only once proveCrash has reported it.
func (w *Worker) reportSilence(now time.Time) {
	if w.crashReported || w.unproven != nil || w.report.Leaving || w.deregistered {
		return
	}
	p := w.newCrash(w.lastAnswerAt, w.isConfirmedByClock)
	if len(p.crash.GetRuns()) == 0 {
		return
	}
	p.crash.Unproven = true
	w.unproven = p
	w.publishCrash(now, p)
}

// proveCrash reports the crash that the incarnation was suspected of, as it has ended.
func (w *Worker) proveCrash(now time.Time) {
	if w.unproven != nil && !w.report.Leaving && !w.deregistered {
		w.reportCrash(now)
	}
}

// refuteCrash drops the suspicion of a crash, as the incarnation goes on. Owners that know of it
// keep suspecting its tasks.
func (w *Worker) refuteCrash() {
	if w.unproven != nil {
		w.metrics.Add("crashes_refuted", 1)
		w.dropUnproven(w.unproven.crash)
		w.unproven = nil
	}
}

// dropUnproven keeps the suspicion of a crash from new links.
func (w *Worker) dropUnproven(crash *yuccawire.Crash) {
	w.retainedCrashes = slices.DeleteFunc(w.retainedCrashes, func(c retainedCrash) bool {
		return c.crash.GetUnproven() && c.crash.GetWorker() == crash.GetWorker() && c.crash.GetStartedUnixMs() == crash.GetStartedUnixMs()
	})
}

// isConfirmedByClock reports whether this incarnation has executed the run, if the next one may have answered
// its start. The clock shows that unless it is close.
func (w *Worker) isConfirmedByClock(r *run) bool {
	return r.listed || r.clockConfirmed && !w.clock.hasJumped
}

// newCrash returns the crash of this incarnation with the runs that were active, at the beginning of its
// silence if it was suspected for that. A start without an answer may have been the cause, unless the lists show that
// it was not executed. isConfirmed tells the runs that this incarnation has executed from these.
func (w *Worker) newCrash(crashedAt time.Time, isConfirmed func(r *run) bool) *pendingCrash {
	crash := &yuccawire.Crash{Worker: w.report.ID, Service: w.report.Service, StartedUnixMs: w.report.StartedAtMS}
	if w.unproven != nil {
		crash.Runs = slices.Clone(w.unproven.crash.GetRuns())
		return &pendingCrash{crash: crash, crashedAt: w.unproven.crashedAt}
	}
	for _, r := range w.sortedRuns() {
		if !r.startSentAt.After(crashedAt) && r.lostAs == yuccawire.RunEnd_RUN_END_UNSPECIFIED && (r.state == started || !r.absent) {
			crash.Runs = append(crash.Runs, &yuccawire.CrashedRun{
				Task: r.key.Task, Queue: r.queue, CpuMilli: uint32(r.demand.cpuMilli),
				RanMs: uint32(crashedAt.Sub(r.startSentAt).Milliseconds()), Unconfirmed: !isConfirmed(r),
			})
		}
	}
	return &pendingCrash{crash: crash, crashedAt: crashedAt}
}

// pendingCrash is a crash that was noticed only by the restart. It is not reported while
// unconfirmed runs may turn out to have been started after it.
type pendingCrash struct {
	crash       *yuccawire.Crash
	crashedAt   time.Time
	unconfirmed int
}

// settleCrash records whether an unconfirmed run was active in the crash.
func (w *Worker) settleCrash(now time.Time, r *run, wasActive bool) {
	p := r.pendingCrash
	if p == nil {
		return
	}
	r.pendingCrash = nil
	if !wasActive {
		p.crash.Runs = slices.DeleteFunc(p.crash.Runs, func(c *yuccawire.CrashedRun) bool { return c.GetTask() == r.key.Task })
	}
	p.unconfirmed--
	w.publishCrash(now, p)
}

// publishCrash sends a crash to all owners if it is known under which runs it happened, and
// there are any.
func (w *Worker) publishCrash(now time.Time, p *pendingCrash) {
	if p.unconfirmed > 0 || len(p.crash.GetRuns()) == 0 {
		return
	}
	if p.crash.GetUnproven() {
		w.metrics.Add("crashes_suspected", 1)
	} else {
		w.metrics.Add("crashes_reported", 1)
		w.dropUnproven(p.crash)
	}
	w.retainedCrashes = append(w.retainedCrashes, retainedCrash{crash: p.crash, crashedAt: p.crashedAt})
	if len(w.retainedCrashes) > maxRetainedCrashes {
		w.retainedCrashes = w.retainedCrashes[1:]
	}
	for _, o := range w.ownerList {
		if o.linked {
			w.sendCrashes(now, o, w.retainedCrashes[len(w.retainedCrashes)-1:])
		}
	}
}

// seemsCrashed reports whether the worker refuses connections, or answers no calls.
func (w *Worker) seemsCrashed() bool {
	return !w.isReachable() || w.unansweredHolds >= minUnansweredHolds
}

// crashTime returns when the worker crashed, if it has crashed by now.
func (w *Worker) crashTime(now time.Time) time.Time {
	switch {
	case !w.isReachable():
		return w.unreachableSince
	case w.seemsCrashed():
		return w.lastAnswerAt
	}
	return now
}

// sendRecentCrashes reports the recent crashes on a new link.
func (w *Worker) sendRecentCrashes(now time.Time, o *owner) {
	for len(w.retainedCrashes) > 0 && now.Sub(w.retainedCrashes[0].crashedAt) > crashRetention {
		w.retainedCrashes = w.retainedCrashes[1:]
	}
	if len(w.retainedCrashes) > 0 {
		w.sendCrashes(now, o, w.retainedCrashes)
	}
}

func (w *Worker) sendCrashes(now time.Time, o *owner, crashes []retainedCrash) {
	report := &yuccawire.CrashReport{}
	for _, c := range crashes {
		report.Crashes = append(report.Crashes, &yuccawire.Crash{
			Side: w.options.Name, Worker: c.crash.GetWorker(), StartedUnixMs: c.crash.GetStartedUnixMs(),
			AgeMs: uint64(now.Sub(c.crashedAt).Milliseconds()), Runs: c.crash.GetRuns(), Service: c.crash.GetService(),
			Unproven: c.crash.GetUnproven(),
		})
	}
	w.emit(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_CrashReport{CrashReport: report}}})
}

// hasSuspectRun reports whether a task under which a worker has crashed is running or
// queued. There is one at most, so that the next crash tells which task is the cause.
func (w *Worker) hasSuspectRun() bool {
	for _, r := range w.runs {
		if r.suspect {
			return true
		}
	}
	return slices.ContainsFunc(w.queue, func(q *run) bool { return q.suspect })
}
